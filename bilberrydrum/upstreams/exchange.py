"""Replicate the records of all homes: tell the own changes, take those of the others.

The exchange fills the table; it makes no decision on an upstream. Replicas are kept by
number: each home numbers its changes, says with each message how far it is, and is
asked for what is missing. With few gateways all messages go directly; with many,
through the seats.
"""

import functools
from collections.abc import Mapping
from typing import Any, Final

from bilberrydrum import reasons
from bilberrydrum.upstreams import (
    events,
    messages,
    records,
    relayed_loads,
    relays,
    seats,
    table,
    views,
)

# Questions to one home are at least this far apart, and twice as far with each that
# was not answered, up to the longest.
FETCH_INTERVAL_SECONDS: Final = 0.2
MAX_FETCH_INTERVAL_SECONDS: Final = 5.0
_MAX_DOUBLINGS: Final = 5
# Homes told in one interval that they answer for older records.
MAX_CORRECTIONS: Final = 16
# Homes that are asked for the first time, at most in one tick.
MAX_NEW_ASKED: Final = 16


class Exchange:
    """The replicas in a table, and the messages that keep them."""

    def __init__(
        self,
        known: table.Table,
        incarnation: int,
        standing_seconds: float,
        max_mesh: int,
    ) -> None:
        self._table = known
        self._incarnation = incarnation
        self._standing_seconds = standing_seconds
        self._stood_at = table.NEVER
        self._peers: list[str] = []
        self._seats = seats.Seats(known, max_mesh, standing_seconds)
        self._receiver = relays.Receiver(known)
        # Newer records that were to be sent to their former homes when last looked.
        self._superseded_ids: set[str] = set()
        self._effects: list[events.Effect] = []

    def take_effects(self) -> list[events.Effect]:
        """Return what is to be sent, and forget it."""
        effects, self._effects = self._effects, []
        return effects

    def arrange(self, zones_by_id: Mapping[str, str], now: float) -> None:
        """Take the registered gateways."""
        self._seats.arrange(zones_by_id, now)
        own = self._table.process_id
        self._peers = [peer for peer in zones_by_id if peer != own]
        views_by_home = self._table.views_by_home
        for home in views_by_home.keys() - zones_by_id.keys():
            del views_by_home[home]
        self._receiver.forget(set(zones_by_id))

    def tick(self, now: float) -> None:
        """Tell what is due, and ask again what was not answered."""
        self.tell(now)
        if now - self._stood_at >= self._standing_seconds:
            self._stood_at = now
            self._send_to_direct(self._table.own.standing(now), now)
            self._correct_homes()
        self._effects.extend(self._seats.tell(now))
        self._ask_new(now)

    def tell(self, now: float) -> None:
        """Tell the own changes that were not told yet."""
        changes = self._table.untold(now)
        if changes is None:
            return
        self._send_to_direct(changes, now)
        own = self._table.process_id
        news = messages.HomeChanges(own, self._incarnation, changes)
        self._seats.add(news, now)

    @property
    def relays(self) -> bool:
        """Tell whether messages go through seats."""
        return self._seats.topology is not None

    def spread(self, record: records.Record, sender: str, now: float) -> None:
        """Tell all gateways of a record that its home may not be able to tell."""
        if self._seats.topology is None:
            self._effects.append(events.SendAll(messages.News(record)))
            return
        is_from_group = sender in self._seats.group_homes
        self._seats.add_record(record, is_from_group, now)
        for seat in self._seats.own_seats(now):
            if seat != sender:
                self._send(seat, messages.News(record))

    def ask_all(self, now: float) -> None:
        """Ask all homes for everything."""
        for peer in self._peers:
            self._send(peer, messages.Fetch(0, int(now * 1000)))

    # Messages of other gateways.

    @functools.singledispatchmethod
    def hear(self, message: Any, sender: str, now: float) -> None:
        """Take a message of the gateway `sender`."""
        self._effects.append(events.Drop(reasons.Reason.MESSAGE_UNKNOWN_TYPE))

    @hear.register
    def _hear_standing(
        self, message: messages.Standing, sender: str, now: float
    ) -> None:
        view = self._table.views_by_home[sender]
        self._stand(sender, view, message, now)

    @hear.register
    def _hear_changes(self, message: messages.Changes, sender: str, now: float) -> None:
        view = self._table.views_by_home[sender]
        self._apply(sender, view, message, now)

    @hear.register
    def _hear_fetch(self, message: messages.Fetch, sender: str, now: float) -> None:
        self.tell(now)
        self._send(sender, self._table.own.fetched(message, now))

    @hear.register
    def _hear_fetched(self, message: messages.Fetched, sender: str, now: float) -> None:
        view = self._table.views_by_home[sender]
        view.clock.answer(message.standing.sent_at, message.asked_at, now)
        if view.clock.is_exact:
            view.n_unanswered = 0
        if not message.is_full:
            self._apply(sender, view, message.changes, now)
        elif message.changes.change >= view.change:
            self._table.replace(view, message, now)
            self._merge(message.changes, view, now)
            change = view.change
            marker = messages.Changes(message.changes.sent_at, change, change)
            self._relay(sender, view, marker, now)
        self._stand(sender, view, message.standing, now)

    @hear.register
    def _hear_relayed(self, message: messages.Relayed, sender: str, now: float) -> None:
        self._seats.hear_seat(sender, now)
        for news in message.news:
            if news.home != self._table.process_id:
                view = self._table.view(news.home, news.incarnation)
                if news.incarnation == view.incarnation:
                    self._apply(news.home, view, news.changes, now)
        for home, changes in relayed_loads.unpack(message.loads):
            home_view = self._table.views_by_home.get(home)
            if home_view is not None:
                self._apply(home, home_view, changes, now)
        for record in message.unlogged:
            if self._table.merge(record, now):
                self._seats.add_record(record, False, now)
        topology = self._seats.topology
        if topology is None or topology.digest != message.topology:
            return
        homes = self._seats.homes_of(sender, message.is_all)
        incarnation = self._table.views_by_home[sender].incarnation
        if not self._receiver.hear(sender, incarnation, message, homes, now):
            fetch = messages.FetchVector(message.is_all, int(now * 1000))
            self._send(sender, fetch)
        for home in self._receiver.take_behind():
            behind = self._table.views_by_home[home]
            self._fetch(home, behind, now, since=behind.change)

    @hear.register
    def _hear_fetch_vector(
        self, message: messages.FetchVector, sender: str, now: float
    ) -> None:
        self._send(sender, self._seats.vector(message, now))

    @hear.register
    def _hear_vector(self, message: messages.Vector, sender: str, now: float) -> None:
        incarnation = self._table.views_by_home[sender].incarnation
        self._receiver.take_vector(sender, incarnation, message, now)
        for home, change in zip(message.homes, message.changes, strict=True):
            view = self._table.views_by_home.get(home)
            if view is not None and view.change < change:
                self._fetch(home, view, now, since=view.change)

    # Helpers.

    def _ask_new(self, now: float) -> None:
        """Ask homes whose clock is not known well, a few at a time.

        When many gateways start at once, all ask all. Without a limit the answers
        take so long that they say too little about the clocks, and are asked for anew.
        """
        n_asked = 0
        for peer in self._peers:
            view = self._table.view(peer, 0)
            if view.clock.is_exact:
                continue
            n_asked += self._fetch(peer, view, now, since=view.change)
            if n_asked == MAX_NEW_ASKED:
                return

    def _stand(
        self, home: str, view: views.View, standing: messages.Standing, now: float
    ) -> None:
        if view.stand(standing, now):
            return
        is_other = standing.change <= view.change and standing.digest != view.digest
        self._fetch(home, view, now, since=0 if is_other else view.change)

    def _apply(
        self, home: str, view: views.View, changes: messages.Changes, now: float
    ) -> None:
        before = view.change
        is_whole = self._table.apply(view, changes, now)
        self._merge(changes, view, now)
        if view.change > before:
            self._relay(home, view, changes, now)
        if not is_whole:
            self._fetch(home, view, now, since=view.change)

    def _merge(self, changes: messages.Changes, view: views.View, now: float) -> None:
        for item in changes.items:
            if item.record is not None:
                self._table.merge(item.record, now)
        for load in changes.loads:
            held = view.records_by_id.get(load.upstream_id)
            if held is not None:
                self._table.merge(held, now, is_load=True)

    def _relay(
        self, home: str, view: views.View, changes: messages.Changes, now: float
    ) -> None:
        news = messages.HomeChanges(home, view.incarnation, changes)
        self._seats.add(news, now)

    def _correct_homes(self) -> None:
        """Send newer records to the homes that go on answering for older ones.

        Between a take-over and the old home's word of it there is always a moment, so
        that only what was so an interval ago is corrected.
        """
        superseded = self._table.superseded()
        for home, record in superseded[:MAX_CORRECTIONS]:
            if record.upstream_id in self._superseded_ids:
                self._send(home, messages.News(record))
        self._superseded_ids = {record.upstream_id for _, record in superseded}

    def _send_to_direct(self, message: Any, now: float) -> None:
        if self._seats.topology is None:
            self._effects.append(events.SendAll(message))
            return
        for seat in self._seats.own_seats(now):
            self._send(seat, message)

    def _fetch(self, home: str, view: views.View, now: float, since: int) -> bool:
        interval = FETCH_INTERVAL_SECONDS * 2 ** min(view.n_unanswered, _MAX_DOUBLINGS)
        if now - view.asked_at < min(interval, MAX_FETCH_INTERVAL_SECONDS):
            return False
        view.asked_at = now
        view.n_unanswered += 1
        self._send(home, messages.Fetch(since, int(now * 1000)))
        return True

    def _send(self, process_id: str, message: Any) -> None:
        self._effects.append(events.Send(process_id, message))
