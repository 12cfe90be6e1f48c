"""The waiting calls of the clients in one domain, for `admission`."""

import heapq
from collections.abc import Iterator
from typing import Final

import attrs

from bilberrydrum.requests import routing

# Share that the newest call has in the means of a domain.
_SMOOTHING: Final = 0.05


@attrs.define(eq=False)
class Ticket:
    """One call that wants to be sent."""

    client: str
    need: routing.Need
    # When its answer is of no more use.
    deadline: float
    share: float = 1.0
    # Lower goes first among the calls of one client.
    priority: int = 0
    # What it is expected to take of the capacity, in units of its domain.
    cost: float = 1.0
    # Most calls of the client in flight; 0: no bound.
    max_in_flight: int = 0
    # Prompt prefix, for the routing.
    prefix: str = ""
    # Position in the order of arrival.
    number: int = 0
    is_waiting: bool = False
    granted_at: float = 0.0

    def __lt__(self, other: "Ticket") -> bool:
        """Leave the order of two tickets of one call, which share a number, open.

        A call that failed at an upstream and comes back may find its earlier ticket
        still in a heap.
        """
        return False


@attrs.define
class Client:
    """The calls of one client in one domain."""

    share: float = 1.0
    # Virtual time at which its next call starts.
    start: float = 0.0
    n_waiting: int = 0
    n_in_flight: int = 0
    max_in_flight: int = 0
    # Heaps of (priority, number, ticket) by need.
    queues_by_need: dict[routing.Need, list[tuple[int, int, Ticket]]] = attrs.field(
        factory=dict
    )

    def may_start(self) -> bool:
        """Tell whether it may have one more call in flight."""
        return self.max_in_flight == 0 or self.n_in_flight < self.max_in_flight

    def heads(self) -> list[Ticket]:
        """Return the first call of each queue, those to go first in front."""
        found = []
        for need in list(self.queues_by_need):
            queue = self.queues_by_need[need]
            while queue and not queue[0][2].is_waiting:
                heapq.heappop(queue)
            if queue:
                found.append(queue[0])
            else:
                del self.queues_by_need[need]
        return [entry[2] for entry in sorted(found)]

    def waiting(self) -> Iterator[Ticket]:
        """Return the waiting calls, in no order."""
        for queue in self.queues_by_need.values():
            for _, _, ticket in queue:
                if ticket.is_waiting:
                    yield ticket


@attrs.define
class Domain:
    """Calls that share upstreams."""

    clients_by_name: dict[str, Client] = attrs.field(factory=dict)
    # Start time of the call that was sent last.
    virtual_time: float = 0.0
    n_waiting: int = 0
    n_in_flight: int = 0
    # Mean seconds of a call; 0: none has ended.
    mean_seconds: float = 0.0
    # Mean cost of a call.
    mean_cost: float = 0.0
    # Waiting calls by the time at which it is too late for them; withdrawn ones stay
    # until that time has come.
    by_latest_start: list[tuple[float, int, Ticket]] = attrs.field(factory=list)
    # Time given to the caller that was refused last.
    last_appointment: float = 0.0

    def learn(self, seconds: float, cost: float) -> None:
        """Take a whole call into the means."""
        if not self.mean_seconds:
            self.mean_seconds = seconds
            self.mean_cost = cost
            return
        self.mean_seconds += _SMOOTHING * (seconds - self.mean_seconds)
        self.mean_cost += _SMOOTHING * (cost - self.mean_cost)

    def seconds_of(self, ticket: Ticket) -> float:
        """Return how long the call should take once it is sent; never too much.

        A call's cost is the most it may take, so it can only shorten the mean.
        """
        if self.mean_cost <= ticket.cost:
            return self.mean_seconds
        return self.mean_seconds * ticket.cost / self.mean_cost


def order(ticket: Ticket) -> tuple[int, int]:
    """Return the key by which the calls of one client are ordered."""
    return (ticket.priority, ticket.number)
