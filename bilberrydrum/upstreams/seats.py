"""What a gateway that holds a seat relays, and to whom.

It tells the seats of the other groups about its own group, and its own group about all
gateways. Each change that its replicas take goes out with the next message, whichever
way it came: its word is on what its replicas hold, so the receivers must be able to
hold the same.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from bilberrydrum.upstreams import events, messages, records, table, topology

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
        self._news: list[messages.HomeChanges] = []
        self._records: list[records.Record] = []

    @property
    def has_news(self) -> bool:
        """Tell whether more than loads waits to be relayed."""
        return bool(self._records) or any(news.changes.items for news in self._news)

    def add(self, news: messages.HomeChanges) -> None:
        """Relay a home's changes with the next message."""
        self._news.append(news)

    def add_record(self, record: records.Record) -> None:
        """Relay a record that no home has logged."""
        self._records.append(record)

    def clear(self) -> None:
        """Forget what waits: this gateway holds no seat."""
        self._news.clear()
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
        message = messages.Relayed(
            int(now * 1000),
            self._sequence,
            topology_digest,
            self._is_all,
            # Rounded up, so that the receiver believes no more than is known.
            int(1000 * max(in_time, default=0.0)) + 1,
            late_homes,
            self._late(homes, now),
            tuple(self._news),
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
        seats = group.seats(lambda member: self._is_live(member, now))
        if not seats:
            return group.candidates[:N_PROBED]
        return (seats[min(index, len(seats) - 1)],)

    def _is_live(self, member: str, now: float) -> bool:
        if member == self._table.process_id:
            return True
        # At first nobody was heard yet.
        if now - self._arranged_at < SEAT_SILENT_SECONDS:
            return True
        view = self._table.views_by_home.get(member)
        return view is not None and now - view.heard_at < SEAT_SILENT_SECONDS
