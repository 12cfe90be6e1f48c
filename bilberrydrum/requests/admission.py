"""Admission control: grant, queue or refuse calls.

Calls are scheduled by start-time fair queueing. Each client has a virtual start time,
which grows with each call by the call's cost divided by the client's share; the waiting
client with the earliest start time goes next. A client without waiting calls is
skipped, so no capacity stays idle while any client has calls waiting. The queue of each
client is bounded. A call that is expected to miss its deadline is refused as soon as
this is known, at its arrival or while it waits; it isn't kept until the deadline
passes.

This module does not know the capacity of the upstreams. The callback `choose_upstream`
(from the routing) returns an upstream with free capacity for a call, if there is one.
A call without one waits until `schedule_waiting` finds an upstream for it.
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

# Bounds of the delay after which a refused caller should retry.
MAX_RETRY_AFTER_SECONDS: Final = 30.0
MIN_RETRY_AFTER_SECONDS: Final = 0.05


@attrs.frozen
class Granted:
    """The call is to be sent to this upstream now."""

    ticket: queues.Ticket
    upstream: upstream_model.Upstream


@attrs.frozen
class Refused:
    """The call is not sent."""

    ticket: queues.Ticket
    reason: reasons.Reason
    retry_after_seconds: float


Effect = Granted | Refused
# Returns an upstream with capacity for the call, or why there is none.
ChooseUpstream = Callable[
    [queues.Ticket], upstream_model.Upstream | routing.Unavailable
]


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
        """Number of calls that were granted and are not finished yet."""
        return sum(domain.n_in_flight for domain in self._domains_by_name.values())

    def offer(
        self, now: float, ticket: queues.Ticket, choose_upstream: ChooseUpstream
    ) -> list[Effect]:
        """Grant, queue or refuse a new call; a queued call has no effect yet."""
        domain = self._domain(ticket.need)
        client = self._client(domain, ticket)
        ticket.number = ticket.number or next(self._numbers)
        # Each waiting call had no free upstream when it arrived or at the last
        # scheduling pass. So for an upstream that is free now, the new call competes
        # only with waiting calls that have the same need.
        if client.may_start() and not _has_competitor(domain, ticket.need):
            chosen = choose_upstream(ticket)
            if chosen is routing.Unavailable.NONE_ELIGIBLE:
                return [self._refuse(domain, ticket, _NO_UPSTREAM, now)]
            if not isinstance(chosen, routing.Unavailable):
                return [self._grant(domain, client, ticket, chosen, now)]
        if ticket.deadline <= now + self._expected_seconds(domain, client, ticket):
            return [self._refuse(domain, ticket, _LATE, now)]
        effects: list[Effect] = []
        if client.n_waiting >= self.max_queue_per_client:
            last = max(client.waiting(), key=queues.sort_key, default=None)
            if last is None or queues.sort_key(last) < queues.sort_key(ticket):
                return [self._refuse(domain, ticket, reasons.Reason.QUEUE_FULL, now)]
            self._remove(domain, client, last)
            effects = [self._refuse(domain, last, reasons.Reason.QUEUE_FULL, now)]
        self._enqueue(domain, client, ticket)
        return effects

    def predict_refusal(self, now: float, ticket: queues.Ticket) -> Refused | None:
        """Return the refusal `offer` would give if no upstream is free, or None."""
        domain = self._domain(ticket.need)
        client = self._client(domain, ticket)
        if not domain.n_waiting:
            return None
        if ticket.deadline <= now + self._expected_seconds(domain, client, ticket):
            return self._refuse(domain, ticket, _LATE, now)
        if client.n_waiting >= self.max_queue_per_client:
            return self._refuse(domain, ticket, reasons.Reason.QUEUE_FULL, now)
        return None

    def schedule_waiting(
        self, now: float, choose_upstream: ChooseUpstream
    ) -> list[Effect]:
        """Refuse waiting calls that will be late; grant those with a free upstream."""
        effects: list[Effect] = []
        for domain in self._domains_by_name.values():
            if domain.n_waiting:
                effects += self._refuse_late(domain, now)
                effects += self._grant_waiting(domain, now, choose_upstream)
        return effects

    def record_end(
        self, now: float, ticket: queues.Ticket, cost: float | None, is_complete: bool
    ) -> None:
        """Record the end of a granted call.

        Parameters
        ----------
        now : float
            The time, in seconds.
        ticket : Ticket
            The call.
        cost : float or None
            The capacity it used, in units of its domain; None if that is not known.
        is_complete : bool
            Whether its answer was complete.
        """
        domain = self._domain(ticket.need)
        client = self._client(domain, ticket)
        domain.n_in_flight -= 1
        client.n_in_flight -= 1
        if cost is not None:
            client.start += (cost - ticket.cost) / ticket.share
        if is_complete:
            spent = ticket.cost if cost is None else cost
            domain.update_means(now - ticket.granted_at, spent)
        self._remove_if_idle(domain, ticket.client, client)

    def mean_seconds(self, need: routing.Need) -> float:
        """Return the mean seconds of a call with such a need; 0 if not known."""
        return self._domain(need).mean_seconds

    def withdraw(self, ticket: queues.Ticket) -> None:
        """Remove a call from its queue, if it still waits there."""
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
        latest = ticket.deadline - domain.expected_seconds(ticket)
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
        # Entries of withdrawn calls stay in the heaps until they reach the top. Once
        # most entries are withdrawn, the heap is rebuilt without them. Otherwise it
        # would grow without bound while clients keep connecting and
        # disconnecting.
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
        self, domain: queues.Domain, now: float, choose_upstream: ChooseUpstream
    ) -> Iterator[Effect]:
        full: set[routing.Need] = set()
        while domain.n_waiting:
            effect = self._serve_next(domain, now, choose_upstream, full)
            if effect is None:
                return
            yield effect

    def _serve_next(
        self,
        domain: queues.Domain,
        now: float,
        choose_upstream: ChooseUpstream,
        full: set[routing.Need],
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
                chosen = choose_upstream(ticket)
                if chosen is routing.Unavailable.ALL_FULL:
                    full.add(ticket.need)
                    continue
                self._remove(domain, client, ticket)
                if isinstance(chosen, routing.Unavailable):
                    return self._refuse(domain, ticket, _NO_UPSTREAM, now)
                return self._grant(domain, client, ticket, chosen, now)
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
        """Return the seconds the call will wait and run if the load stays the same."""
        if not domain.mean_seconds or not domain.n_in_flight:
            return 0.0
        # By Little's law, the rate at which calls finish is the number of calls in
        # flight divided by their mean time. The client gets a part of this rate,
        # according to its share among the clients with waiting calls.
        rate = domain.n_in_flight / domain.mean_seconds
        shares = sum(
            other.share
            for other in domain.clients_by_name.values()
            if other.n_waiting and other is not client
        )
        own_rate = rate * client.share / (shares + client.share)
        n_ahead = sum(
            queues.sort_key(other) < queues.sort_key(ticket)
            for other in client.waiting()
        )
        return (n_ahead + 1) / own_rate + domain.expected_seconds(ticket)

    def _refuse(
        self,
        domain: queues.Domain,
        ticket: queues.Ticket,
        reason: reasons.Reason,
        now: float,
    ) -> Refused:
        return Refused(ticket, reason, self._retry_after(domain, now))

    def _retry_after(self, domain: queues.Domain, now: float) -> float:
        """Return after how many seconds a refused caller should retry.

        If callers that are refused at the same moment all got the same delay, they
        would all retry at the same moment. So each caller gets its own retry time. The
        first one comes after the waiting calls are expected to be done; each further
        one is later by the mean time between two calls that finish. The delays are
        randomised because several gateways may begin at the same time.
        """
        mean = domain.mean_seconds or routing.DEFAULT_CALL_SECONDS
        gap = mean / max(1, domain.n_in_flight)
        drained = now + gap * domain.n_waiting
        at = max(domain.last_retry_at, drained) + gap
        if at > now + MAX_RETRY_AFTER_SECONDS:
            at = now + MAX_RETRY_AFTER_SECONDS * self._rng.uniform(0.5, 1.0)
        else:
            domain.last_retry_at = at
        return max(MIN_RETRY_AFTER_SECONDS, (at - now) * self._rng.uniform(0.8, 1.2))

    def _remove_if_idle(
        self, domain: queues.Domain, name: str, client: queues.Client
    ) -> None:
        # The record of a client whose start time is ahead of the virtual time is kept.
        # With a new record its next call would start at the current virtual time, and
        # the calls that it has made already would not count against its share.
        is_idle = not client.n_waiting and not client.n_in_flight
        if is_idle and client.start <= domain.virtual_time:
            del domain.clients_by_name[name]


_LATE: Final = reasons.Reason.DEADLINE_UNREACHABLE
_NO_UPSTREAM: Final = reasons.Reason.NO_UPSTREAM


def _has_competitor(domain: queues.Domain, need: routing.Need) -> bool:
    if not domain.n_waiting:
        return False
    return any(
        need in client.queues_by_need and client.may_start()
        for client in domain.clients_by_name.values()
    )
