"""What a gateway that holds a seat relays, and to whom.

It tells the seats of the other groups about its own group, and its own group about all
gateways. Each change that its replicas take goes out with the next message, whichever
way it came: its word is on what its replicas hold, so the receivers must be able to
hold the same.
"""

from collections.abc import Mapping
from typing import Final

from bilberrydrum.upstreams import (
    events,
    messages,
    outgoing,
    records,
    table,
    topology,
)

# A seat that was not heard for this long is taken for dead.
SEAT_SILENT_SECONDS: Final = 1.2
# Members of a group that are told while none of them is heard.
N_PROBED: Final = 3


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
        self._to_all = outgoing.Outgoing(known, is_all=True)
        self._to_seats = outgoing.Outgoing(known, is_all=False)
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
