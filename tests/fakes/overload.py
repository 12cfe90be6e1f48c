"""A simulation of callers that overload a gateway, without tasks or sockets.

Upstreams serve a fixed number of calls at a time. Callers that are refused retry after
a fixed delay or after the delay in the refusal. `Admission` and `Router` are the real
ones.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

import attrs

from bilberrydrum import reasons
from bilberrydrum.requests import admission, queues, routing
from bilberrydrum.upstreams import model

NEED = routing.Need(model.KIND_APPLICATION, "schedule")


def upstreams(n: int, max_concurrency: int, **fields: Any) -> dict[str, model.Upstream]:
    return {
        f"u{i}": model.Upstream(
            f"u{i}",
            model.KIND_APPLICATION,
            f"127.0.0.1:{i + 1}",
            "a",
            max_concurrency,
            application="schedule",
            **fields,
        )
        for i in range(n)
    }


@attrs.define
class Client:
    """A client that always has `n_wanted` calls running, waiting or to be retried."""

    name: str
    n_wanted: int
    share: float = 1.0
    timeout: float = 5.0
    # Delay of a retry after a refusal; None: the delay in the refusal.
    retry_seconds: float | None = 0.002
    priority: int = 0
    max_in_flight: int = 0


class Overload:
    """Runs clients against an `Admission`, in simulated time."""

    def __init__(
        self,
        upstreams_by_id: dict[str, model.Upstream],
        clients: list[Client],
        seconds_of: Callable[[random.Random], float] = lambda rng: 0.1,
        max_queue: int = 64,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.admission = admission.Admission(max_queue, random.Random(seed + 1))
        self.router = routing.Router("a", random.Random(seed + 2))
        self.upstreams_by_id = upstreams_by_id
        self.seconds_of = seconds_of
        self.now = 1000.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.clients = clients
        self.n_done: collections.Counter[str] = collections.Counter()
        self.n_late: collections.Counter[str] = collections.Counter()
        self.n_refused: collections.Counter[reasons.Reason] = collections.Counter()
        self.n_offered = 0
        self.max_waiting = 0
        self.waits: dict[str, list[float]] = collections.defaultdict(list)
        self._clients_by_ticket: dict[int, tuple[Client, float]] = {}

    def run(self, seconds: float) -> "Overload":
        for client in self.clients:
            for _ in range(client.n_wanted):
                self.at(self.rng.random() * 0.05, lambda c=client: self._send_call(c))
        self._schedule_waiting()
        end = self.now + seconds
        while self._events and self._events[0][0] < end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self

    def at(self, delay: float, action: Callable[[], None]) -> None:
        entry = (self.now + delay, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def choose_upstream(
        self, ticket: queues.Ticket
    ) -> model.Upstream | routing.Unavailable:
        eligible = [
            upstream
            for upstream in self.upstreams_by_id.values()
            if routing.is_eligible(upstream, ticket.need)
        ]
        chosen = self.router.choose(eligible, self.now)
        if not isinstance(chosen, routing.Unavailable):
            self.router.record_start(chosen.upstream_id, self.now)
        return chosen

    def _send_call(self, client: Client) -> None:
        self.n_offered += 1
        ticket = queues.Ticket(
            client.name,
            NEED,
            self.now + client.timeout,
            client.share,
            client.priority,
            max_in_flight=client.max_in_flight,
        )
        self._clients_by_ticket[id(ticket)] = (client, self.now)
        self._carry_out(self.admission.offer(self.now, ticket, self.choose_upstream))
        self.max_waiting = max(self.max_waiting, self.admission.n_waiting)

    def _schedule_waiting(self) -> None:
        self._carry_out(self.admission.schedule_waiting(self.now, self.choose_upstream))
        self.at(0.02, self._schedule_waiting)

    def _carry_out(self, effects: list[admission.Effect]) -> None:
        for effect in effects:
            client, sent_at = self._clients_by_ticket.pop(id(effect.ticket))
            if isinstance(effect, admission.Refused):
                self._refused(client, effect)
            else:
                self._granted(client, sent_at, effect)

    def _refused(self, client: Client, effect: admission.Refused) -> None:
        self.n_refused[effect.reason] += 1
        delay = client.retry_seconds
        if delay is None:
            delay = effect.retry_after_seconds
        self.at(delay, lambda: self._send_call(client))

    def _granted(
        self, client: Client, sent_at: float, effect: admission.Granted
    ) -> None:
        self.waits[client.name].append(self.now - sent_at)

        def end() -> None:
            seconds = self.now - effect.ticket.granted_at
            self.router.record_end(effect.upstream.upstream_id, self.now, seconds)
            self.admission.record_end(self.now, effect.ticket, None, True)
            is_late = self.now > effect.ticket.deadline
            (self.n_late if is_late else self.n_done)[client.name] += 1
            self._carry_out(
                self.admission.schedule_waiting(self.now, self.choose_upstream)
            )
            self.at(0.0, lambda: self._send_call(client))

        self.at(self.seconds_of(self.rng), end)
