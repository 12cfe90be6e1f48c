"""Who may send a call now, who waits, and who is refused.

Start-time fair queueing: each client has a virtual time that grows by cost over share
with each call; the waiting client with the least start time goes next. A client with
nothing waiting holds nobody up, so capacity is used as long as anyone wants it. The
queue of each client is bounded. A call that would miss its deadline is refused when
that is seen, at its arrival or while it waits, never held to the deadline.

The upstreams' capacity is not known here: `place` (of the routing) says whether there
is room for a need. What cannot be placed waits until `pump` finds room for it.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from typing import Final

import attrs

from bilberrydrum import reasons
from bilberrydrum.requests import queues, routing
from bilberrydrum.upstreams import model as upstream_model

# Longest time after which a refused caller is told to come back.
MAX_RETRY_AFTER_SECONDS: Final = 30.0
MIN_RETRY_AFTER_SECONDS: Final = 0.05


@attrs.frozen
class Granted:
    """The call goes to this upstream now."""

    ticket: queues.Ticket
    upstream: upstream_model.Upstream


@attrs.frozen
class Refused:
    """The call is not sent."""

    ticket: queues.Ticket
    reason: reasons.Reason
    retry_after_seconds: float


Effect = Granted | Refused
# Returns the upstream that takes the call, or why none does.
Place = Callable[[queues.Ticket], upstream_model.Upstream | routing.Lack]


@attrs.define
class Admission:
    """The waiting calls of one gateway."""

    max_queue_per_client: int
    _rng: random.Random
    _domains_by_name: dict[str, queues.Domain] = attrs.field(factory=dict)
    _numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    @property
    def n_waiting(self) -> int:
        """Number of calls that wait."""
        return sum(domain.n_waiting for domain in self._domains_by_name.values())

    @property
    def n_in_flight(self) -> int:
        """Number of calls that were granted and have not ended."""
        return sum(domain.n_in_flight for domain in self._domains_by_name.values())

    def offer(self, now: float, ticket: queues.Ticket, place: Place) -> list[Effect]:
        """Grant, queue (no effect) or refuse a call that arrives."""
        domain = self._domain(ticket.need)
        client = self._client(domain, ticket)
        ticket.number = ticket.number or next(self._numbers)
        # Whatever else waits was found to have no place when it came or at the last
        # pump. Only calls with the same need compete for a place that is free now.
        if client.may_start() and not _has_rival(domain, ticket.need):
            placed = place(ticket)
            if placed is routing.Lack.UPSTREAM:
                return [self._refuse(domain, ticket, _NO_UPSTREAM, now)]
            if not isinstance(placed, routing.Lack):
                return [self._grant(domain, client, ticket, placed, now)]
        if ticket.deadline <= now + self._expected_seconds(domain, client, ticket):
            return [self._refuse(domain, ticket, _LATE, now)]
        effects: list[Effect] = []
        if client.n_waiting >= self.max_queue_per_client:
            last = max(client.waiting(), key=queues.order, default=None)
            if last is None or queues.order(last) < queues.order(ticket):
                return [self._refuse(domain, ticket, reasons.Reason.QUEUE_FULL, now)]
            self._remove(domain, client, last)
            effects = [self._refuse(domain, last, reasons.Reason.QUEUE_FULL, now)]
        self._enqueue(domain, client, ticket)
        return effects

    def foresee(self, now: float, ticket: queues.Ticket) -> Refused | None:
        """Return the refusal that `offer` would give if there is no place now."""
        domain = self._domain(ticket.need)
        client = self._client(domain, ticket)
        if not domain.n_waiting:
            return None
        if ticket.deadline <= now + self._expected_seconds(domain, client, ticket):
            return self._refuse(domain, ticket, _LATE, now)
        if client.n_waiting >= self.max_queue_per_client:
            return self._refuse(domain, ticket, reasons.Reason.QUEUE_FULL, now)
        return None

    def pump(self, now: float, place: Place) -> list[Effect]:
        """Refuse waiting calls that are too late, and grant those that have a place."""
        effects: list[Effect] = []
        for domain in self._domains_by_name.values():
            if domain.n_waiting:
                effects += self._refuse_late(domain, now)
                effects += self._grant_waiting(domain, now, place)
        return effects

    def ended(
        self, now: float, ticket: queues.Ticket, cost: float | None, is_whole: bool
    ) -> None:
        """Note that a granted call is over, and what it took of the capacity."""
        domain = self._domain(ticket.need)
        client = self._client(domain, ticket)
        domain.n_in_flight -= 1
        client.n_in_flight -= 1
        if cost is not None:
            client.start += (cost - ticket.cost) / ticket.share
        if is_whole:
            spent = ticket.cost if cost is None else cost
            domain.learn(now - ticket.granted_at, spent)
        self._forget_idle(domain, ticket.client, client)

    def mean_seconds(self, need: routing.Need) -> float:
        """Return the mean time of a call with such a need; 0: not known."""
        return self._domain(need).mean_seconds

    def withdraw(self, ticket: queues.Ticket) -> None:
        """Take a waiting call out of its queue: nobody wants it any more."""
        if ticket.is_waiting:
            domain = self._domain(ticket.need)
            self._remove(domain, self._client(domain, ticket), ticket)

    def _domain(self, need: routing.Need) -> queues.Domain:
        domain = self._domains_by_name.get(need.domain)
        if domain is None:
            domain = self._domains_by_name[need.domain] = queues.Domain()
        return domain

    def _client(self, domain: queues.Domain, ticket: queues.Ticket) -> queues.Client:
        client = domain.clients_by_name.get(ticket.client)
        if client is None:
            client = domain.clients_by_name[ticket.client] = queues.Client()
            client.start = domain.virtual_time
        client.share = ticket.share
        client.max_in_flight = ticket.max_in_flight
        return client

    def _enqueue(
        self, domain: queues.Domain, client: queues.Client, ticket: queues.Ticket
    ) -> None:
        queue = client.queues_by_need.setdefault(ticket.need, [])
        heapq.heappush(queue, (ticket.priority, ticket.number, ticket))
        latest = ticket.deadline - domain.seconds_of(ticket)
        heapq.heappush(domain.by_latest_start, (latest, ticket.number, ticket))
        ticket.is_waiting = True
        client.n_waiting += 1
        domain.n_waiting += 1

    def _remove(
        self, domain: queues.Domain, client: queues.Client, ticket: queues.Ticket
    ) -> None:
        ticket.is_waiting = False
        client.n_waiting -= 1
        domain.n_waiting -= 1
        # Withdrawn entries are left in the heaps until they come up; when they are the
        # most, the heap is made anew, or clients that come and go would fill it.
        late = domain.by_latest_start
        if len(late) > 64 + 4 * domain.n_waiting:
            domain.by_latest_start = [entry for entry in late if entry[2].is_waiting]
            heapq.heapify(domain.by_latest_start)
        queue = client.queues_by_need[ticket.need]
        if len(queue) > 64 + 2 * client.n_waiting:
            queue[:] = [entry for entry in queue if entry[2].is_waiting]
            heapq.heapify(queue)
        client.heads()

    def _grant(
        self,
        domain: queues.Domain,
        client: queues.Client,
        ticket: queues.Ticket,
        upstream: upstream_model.Upstream,
        now: float,
    ) -> Granted:
        start = max(domain.virtual_time, client.start)
        domain.virtual_time = start
        client.start = start + ticket.cost / ticket.share
        client.n_in_flight += 1
        domain.n_in_flight += 1
        ticket.granted_at = now
        return Granted(ticket, upstream)

    def _grant_waiting(
        self, domain: queues.Domain, now: float, place: Place
    ) -> Iterator[Effect]:
        full: set[routing.Need] = set()
        while domain.n_waiting:
            effect = self._serve_next(domain, now, place, full)
            if effect is None:
                return
            yield effect

    def _serve_next(
        self, domain: queues.Domain, now: float, place: Place, full: set[routing.Need]
    ) -> Effect | None:
        waiting = [
            (max(client.start, domain.virtual_time), name, client)
            for name, client in domain.clients_by_name.items()
            if client.n_waiting and client.may_start()
        ]
        for _, _, client in sorted(waiting, key=lambda entry: entry[:2]):
            for ticket in client.heads():
                if ticket.need in full:
                    continue
                placed = place(ticket)
                if placed is routing.Lack.ROOM:
                    full.add(ticket.need)
                    continue
                self._remove(domain, client, ticket)
                if isinstance(placed, routing.Lack):
                    return self._refuse(domain, ticket, _NO_UPSTREAM, now)
                return self._grant(domain, client, ticket, placed, now)
        return None

    def _refuse_late(self, domain: queues.Domain, now: float) -> Iterator[Effect]:
        late = domain.by_latest_start
        while late and (late[0][0] <= now or not late[0][2].is_waiting):
            _, _, ticket = heapq.heappop(late)
            if ticket.is_waiting:
                self._remove(domain, self._client(domain, ticket), ticket)
                late = domain.by_latest_start
                yield self._refuse(domain, ticket, _LATE, now)

    def _expected_seconds(
        self, domain: queues.Domain, client: queues.Client, ticket: queues.Ticket
    ) -> float:
        """Return how long the call will wait and take if nothing changes."""
        if not domain.mean_seconds or not domain.n_in_flight:
            return 0.0
        # Little's law: calls in flight over their mean time is the rate of calls that
        # end. Of it the client gets its share among those that wait.
        rate = domain.n_in_flight / domain.mean_seconds
        shares = sum(
            other.share
            for other in domain.clients_by_name.values()
            if other.n_waiting and other is not client
        )
        own_rate = rate * client.share / (shares + client.share)
        n_ahead = sum(
            queues.order(other) < queues.order(ticket) for other in client.waiting()
        )
        return (n_ahead + 1) / own_rate + domain.seconds_of(ticket)

    def _refuse(
        self,
        domain: queues.Domain,
        ticket: queues.Ticket,
        reason: reasons.Reason,
        now: float,
    ) -> Refused:
        return Refused(ticket, reason, self._appointment(domain, now))

    def _appointment(self, domain: queues.Domain, now: float) -> float:
        """Return in how many seconds a refused caller should come back.

        Callers refused in one moment and told the same time would come back in one
        moment. So each gets the next of a row of appointments that are as far apart
        as calls end, after those that wait now, with some chance for several gateways
        whose rows begin at the same time.
        """
        mean = domain.mean_seconds or routing.DEFAULT_SECONDS
        gap = mean / max(1, domain.n_in_flight)
        drained = now + gap * domain.n_waiting
        at = max(domain.last_appointment, drained) + gap
        if at > now + MAX_RETRY_AFTER_SECONDS:
            at = now + MAX_RETRY_AFTER_SECONDS * self._rng.uniform(0.5, 1.0)
        else:
            domain.last_appointment = at
        return max(MIN_RETRY_AFTER_SECONDS, (at - now) * self._rng.uniform(0.8, 1.2))

    def _forget_idle(
        self, domain: queues.Domain, name: str, client: queues.Client
    ) -> None:
        # A client ahead of the virtual time is kept: coming back under a fresh record
        # would let it start over with each call.
        is_idle = not client.n_waiting and not client.n_in_flight
        if is_idle and client.start <= domain.virtual_time:
            del domain.clients_by_name[name]


_LATE: Final = reasons.Reason.DEADLINE_UNREACHABLE
_NO_UPSTREAM: Final = reasons.Reason.NO_UPSTREAM


def _has_rival(domain: queues.Domain, need: routing.Need) -> bool:
    if not domain.n_waiting:
        return False
    return any(
        need in client.queues_by_need and client.may_start()
        for client in domain.clients_by_name.values()
    )
