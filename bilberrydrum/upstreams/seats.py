"""What a gateway that holds a seat relays, and to whom.

It tells the seats of the other groups about its own group, and its own group about all
gateways. Each change that its replicas take goes out with the next message, whichever
way it came: its word is on what its replicas hold, so the receivers must be able to
hold the same.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from bilberrydrum.upstreams import (
    events,
    messages,
    records,
    relayed_loads,
    table,
    topology,
)

# A seat that was not heard for this long is taken for dead.
SEAT_SILENT_SECONDS: Final = 1.2
# Homes whose renewals are older than this are told apart.
LATE_HOME_SECONDS: Final = 2.0
# Largest age that is sent; beyond it a home's word has long run out.
MAX_AGE_SECONDS: Final = 60.0
# Members of a group that are told while none of them is heard.
N_PROBED: Final = 3


class Outgoing:
    """What this gateway relays to one set of receivers."""

    def __init__(self, known: table.Table, is_all: bool) -> None:
        self._table = known
        self._is_all = is_all
        self._sequence = 0
        # What waits, joined for each home.
        self._news_by_home: dict[str, messages.HomeChanges] = {}
        self._records: list[records.Record] = []

    @property
    def has_news(self) -> bool:
        """Tell whether more than loads waits to be relayed."""
        return bool(self._records) or any(
            _is_urgent(news.changes) for news in self._news_by_home.values()
        )

    def add(self, news: messages.HomeChanges) -> None:
        """Relay a home's changes with the next message."""
        waiting = self._news_by_home.get(news.home)
        if waiting is not None and waiting.incarnation == news.incarnation:
            changes = _joined(waiting.changes, news.changes)
            news = attrs.evolve(news, changes=changes)
        self._news_by_home[news.home] = news

    def add_record(self, record: records.Record) -> None:
        """Relay a record that no home has logged."""
        self._records.append(record)

    def clear(self) -> None:
        """Forget what waits: this gateway holds no seat."""
        self._news_by_home.clear()
        self._records.clear()

    def relayed(
        self, homes: set[str], topology_digest: int, now: float
    ) -> messages.Relayed:
        """Return the next message."""
        self._sequence += 1
        ages_by_home = {home: now - self._vouched_at(home, now) for home in homes}
        in_time = [age for age in ages_by_home.values() if age <= LATE_HOME_SECONDS]
        late_homes = tuple(
            messages.LateHome(home, int(1000 * min(age, MAX_AGE_SECONDS)))
            for home, age in ages_by_home.items()
            if age > LATE_HOME_SECONDS
        )
        loads_by_home = {
            home: news.changes
            for home, news in self._news_by_home.items()
            if not _is_urgent(news.changes)
        }
        message = messages.Relayed(
            int(now * 1000),
            self._sequence,
            topology_digest,
            self._is_all,
            # Rounded up, so that the receiver believes no more than is known.
            int(1000 * max(in_time, default=0.0)) + 1,
            late_homes,
            self._late(homes, now),
            tuple(
                news
                for home, news in self._news_by_home.items()
                if home not in loads_by_home
            ),
            relayed_loads.pack(loads_by_home),
            tuple(self._records),
        )
        self.clear()
        return message

    def vector(
        self, homes: set[str], fetch: messages.FetchVector, now: float
    ) -> messages.Vector:
        """Return how far this seat knows the homes."""
        views_by_home = self._table.views_by_home
        known = sorted(home for home in homes if home in views_by_home)
        own = self._table.process_id
        return messages.Vector(
            fetch.asked_at,
            int(now * 1000),
            self._is_all,
            self._sequence,
            (*known, own),
            (
                *(views_by_home[home].change for home in known),
                self._table.own.change,
            ),
        )

    def _vouched_at(self, home: str, now: float) -> float:
        if home == self._table.process_id:
            return now - self._table.own.standing(now).age / 1000
        view = self._table.views_by_home.get(home)
        return table.NEVER if view is None else view.vouched_at

    def _late(self, homes: set[str], now: float) -> tuple[messages.Late, ...]:
        late = [
            attrs.evolve(entry, home=self._table.process_id)
            for entry in self._table.own.standing(now).late
        ]
        for home in homes:
            view = self._table.views_by_home.get(home)
            late_by_id = {} if view is None else view.late_by_id()
            late.extend(
                messages.Late(upstream_id, int((now - at) * 1000) + 1, home)
                for upstream_id, at in late_by_id.items()
            )
        return tuple(late)


def _is_urgent(changes: messages.Changes) -> bool:
    # Without loads, too, it may be the mark that the receivers must ask the home.
    return bool(changes.items) or not changes.loads


def _joined(first: messages.Changes, second: messages.Changes) -> messages.Changes:
    """Return two changes of a home, one after the other, as one."""
    if second.previous > first.change or not (second.items or second.loads):
        # Between them something is missing here, and the receiver must ask as well.
        return messages.Changes(second.sent_at, second.change, second.change)
    items_by_id = {item.upstream_id: item for item in (*first.items, *second.items)}
    loads_by_id = {load.upstream_id: load for load in first.loads}
    for item in second.items:
        loads_by_id.pop(item.upstream_id, None)
    for load in second.loads:
        loads_by_id[load.upstream_id] = load
    return messages.Changes(
        second.sent_at,
        first.previous,
        second.change,
        tuple(items_by_id.values()),
        tuple(loads_by_id.values()),
    )


class Seats:
    """The groups, the seats that are heard, and what this gateway relays."""

    def __init__(
        self, known: table.Table, max_mesh: int, standing_seconds: float
    ) -> None:
        self._table = known
        self._max_mesh = max_mesh
        self._standing_seconds = standing_seconds
        self._zones_by_id: Mapping[str, str] = {}
        self._arranged_at = table.NEVER
        self._told_at = table.NEVER
        self.topology: topology.Topology | None = None
        self.all_homes: set[str] = set()
        self.group_homes: set[str] = set()
        self._to_all = Outgoing(known, is_all=True)
        self._to_seats = Outgoing(known, is_all=False)
        # When seats of other groups last relayed something to this gateway.
        self._relayed_at_by_seat: dict[str, float] = {}

    def arrange(self, zones_by_id: Mapping[str, str], now: float) -> None:
        """Work out the groups when the gateways have changed."""
        if zones_by_id == self._zones_by_id:
            return
        self._zones_by_id = dict(zones_by_id)
        self._arranged_at = now
        self.all_homes = set(zones_by_id)
        self.topology = topology.arrange(
            self._table.process_id, zones_by_id, self._max_mesh
        )
        self.group_homes = (
            set() if self.topology is None else set(self.topology.own.candidates)
        )

    def own_seats(self, now: float) -> list[str]:
        """Return the gateways, but this one, that hold the seats of its group."""
        if self.topology is None:
            return []
        seats = self.topology.own.seats(lambda member: self._is_live(member, now))
        return [seat for seat in seats if seat != self._table.process_id]

    def is_seat(self, now: float) -> bool:
        """Tell whether this gateway holds a seat."""
        return self._index(now) is not None

    def homes_of(self, sender: str, is_all: bool) -> set[str]:
        """Return the homes that a seat's message speaks for."""
        if is_all or self.topology is None:
            return self.all_homes
        for group in self.topology.others:
            if sender in group.candidates:
                return set(group.candidates)
        return self.group_homes

    def hear_seat(self, sender: str, now: float) -> None:
        """Note that `sender` relayed something to this gateway."""
        self._relayed_at_by_seat[sender] = now

    def add(self, news: messages.HomeChanges, now: float) -> None:
        """Relay changes that the replica of a home, or the own log, has taken."""
        if not self.is_seat(now):
            return
        self._to_all.add(news)
        if news.home in self.group_homes:
            self._to_seats.add(news)

    def add_record(
        self, record: records.Record, is_from_group: bool, now: float
    ) -> None:
        """Relay a record that no living home may have logged."""
        if not self.is_seat(now):
            return
        self._to_all.add_record(record)
        if is_from_group:
            self._to_seats.add_record(record)

    def tell(self, now: float) -> list[events.Effect]:
        """Return the messages that are due."""
        index = self._index(now)
        if self.topology is None or index is None:
            self._to_all.clear()
            self._to_seats.clear()
            return []
        is_due = now - self._told_at >= self._standing_seconds
        if is_due:
            self._told_at = now
        effects: list[events.Effect] = []
        if is_due or self._to_seats.has_news:
            message = self._to_seats.relayed(
                self.group_homes, self.topology.digest, now
            )
            for group in self.topology.others:
                receivers = self._receivers(group, index, now)
                effects.extend(events.Send(seat, message) for seat in receivers)
        if is_due or self._to_all.has_news:
            message = self._to_all.relayed(self.all_homes, self.topology.digest, now)
            effects.extend(
                events.Send(member, message)
                for member in self.topology.own.candidates
                if member != self._table.process_id
            )
        return effects

    def vector(self, fetch: messages.FetchVector, now: float) -> messages.Vector:
        """Return how far this seat knows the homes that it speaks for."""
        if fetch.is_all:
            return self._to_all.vector(self.all_homes, fetch, now)
        return self._to_seats.vector(self.group_homes, fetch, now)

    def _index(self, now: float) -> int | None:
        if self.topology is None:
            return None
        seats = self.topology.own.seats(lambda member: self._is_live(member, now))
        own = self._table.process_id
        return seats.index(own) if own in seats else None

    def _receivers(
        self, group: topology.Group, index: int, now: float
    ) -> tuple[str, ...]:
        # Only what a seat relays shows that it is one. Other messages come from any
        # gateway, and a member that was heard for another reason would be taken for
        # the seat.
        seats = group.seats(lambda member: self._relays(member, now))
        if not seats:
            return group.candidates[:N_PROBED]
        return (seats[min(index, len(seats) - 1)],)

    def _relays(self, member: str, now: float) -> bool:
        relayed_at = self._relayed_at_by_seat.get(member, self._arranged_at)
        return now - relayed_at < SEAT_SILENT_SECONDS

    def _is_live(self, member: str, now: float) -> bool:
        if member == self._table.process_id:
            return True
        # At first nobody was heard yet.
        if now - self._arranged_at < SEAT_SILENT_SECONDS:
            return True
        view = self._table.views_by_home.get(member)
        return view is not None and now - view.heard_at < SEAT_SILENT_SECONDS
