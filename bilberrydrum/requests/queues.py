"""Queues of waiting calls for `admission`, by domain and client."""

import heapq
from collections.abc import Iterator
from typing import Final

import attrs

from bilberrydrum.requests import routing

# Weight of the newest call in the moving averages of a domain.
_SMOOTHING: Final = 0.05


@attrs.define(eq=False)
class Ticket:
    """One call that wants to be sent."""

    client: str
    need: routing.Need
    # When the client stops waiting for the answer, in seconds of `clock.now`.
    deadline: float
    share: float = 1.0
    # Calls with a lower value go first, among those of one client.
    priority: int = 0
    # Capacity it is expected to use: tokens for an engine, calls for an application.
    cost: float = 1.0
    # Maximum number of the client's calls in flight; 0: no limit.
    max_in_flight: int = 0
    # Digest of the prompt's prefix, for the routing.
    prefix: str = ""
    # Position in the order of arrival.
    number: int = 0
    is_waiting: bool = False
    granted_at: float = 0.0

    def __lt__(self, other: "Ticket") -> bool:
        """Treat tickets with equal priority and number as equal in a heap.

        A call that failed at an upstream is queued again under its earlier number,
        while its earlier ticket may still be in a heap. Without this method, comparing
        the two heap entries would fail.
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
    # For each need, a heap of (priority, number, ticket).
    queues_by_need: dict[routing.Need, list[tuple[int, int, Ticket]]] = attrs.field(
        factory=dict
    )

    def may_start(self) -> bool:
        """Return whether the client may have one more call in flight."""
        return self.max_in_flight == 0 or self.n_in_flight < self.max_in_flight

    def heads(self) -> list[Ticket]:
        """Return the first waiting call of each queue, in the order of `sort_key`."""
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
        """Yield the waiting calls, in no particular order."""
        for queue in self.queues_by_need.values():
            for _, _, ticket in queue:
                if ticket.is_waiting:
                    yield ticket


@attrs.define
class Domain:
    """All calls that compete for the same upstreams; see `routing.Need.domain`."""

    clients_by_name: dict[str, Client] = attrs.field(factory=dict)
    # Virtual start time of the call that was granted last.
    virtual_time: float = 0.0
    n_waiting: int = 0
    n_in_flight: int = 0
    # Mean seconds of a call; 0 until the first complete one.
    mean_seconds: float = 0.0
    # Mean cost of a call.
    mean_cost: float = 0.0
    # Heap of the waiting calls by the latest time at which they can start and still
    # meet their deadline. Withdrawn calls may stay in it until that time.
    by_latest_start: list[tuple[float, int, Ticket]] = attrs.field(factory=list)
    # Latest time at which a refused caller was told to retry.
    last_retry_at: float = 0.0

    def update_means(self, seconds: float, cost: float) -> None:
        """Include a complete call in the moving averages."""
        if not self.mean_seconds:
            self.mean_seconds = seconds
            self.mean_cost = cost
            return
        self.mean_seconds += _SMOOTHING * (seconds - self.mean_seconds)
        self.mean_cost += _SMOOTHING * (cost - self.mean_cost)

    def expected_seconds(self, ticket: Ticket) -> float:
        """Return the seconds that the call is expected to take once it is sent.

        The cost of a waiting call is an upper bound. So a cost below the mean shortens
        the estimate, but a cost above it doesn't lengthen it; otherwise calls that use
        less than their bound would be refused as too late.
        """
        if self.mean_cost <= ticket.cost:
            return self.mean_seconds
        return self.mean_seconds * ticket.cost / self.mean_cost


def sort_key(ticket: Ticket) -> tuple[int, int]:
    """Return the key by which the waiting calls of one client are sorted."""
    return (ticket.priority, ticket.number)
