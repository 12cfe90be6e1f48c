"""Compare ways to choose an engine, in a simulation of the same workload.

Several gateways send calls with heavy-tailed lengths to engines of a fixed concurrency.
An engine queues the calls beyond that and runs them in order. Load reports reach the
gateways late. A call is shorter if the engine has the prefix of its prompt cached. The
real `Admission` and `Router` are compared with round-robin and random choice, which
send calls at once.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Final

import attrs

from bilberrydrum.requests import admission, queues, routing
from bilberrydrum.upstreams import model

NEED: Final = routing.Need(model.KIND_ENGINE, "planner")
REPORT_SECONDS: Final = 0.5
REPORT_LAG_SECONDS: Final = 0.5
# Share of a call's time that is saved if the engine has its prefix cached.
PREFIX_SAVING: Final = 0.15
CACHE_SIZE: Final = 40
N_PREFIXES: Final = 200


@attrs.frozen
class Sizes:
    """Parameters of the simulation."""

    n_gateways: int = 3
    n_engines: int = 5
    max_concurrency: int = 16
    load: float = 0.8
    n_calls: int = 20_000
    seed: int = 1


@attrs.define(eq=False)
class _Call:
    gateway: int
    prefix: str
    seconds: float
    arrived: float
    ticket: queues.Ticket | None = None


@attrs.define
class _Engine:
    max_concurrency: int
    n_running: int = 0
    waiting: collections.deque[_Call] = attrs.field(factory=collections.deque)
    cache: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )


@attrs.frozen
class Outcome:
    """Waiting times of the calls, in seconds, and their share of prefix hits."""

    p50_wait: float
    p99_wait: float
    mean_wait: float
    prefix_hits: float


class Model:
    """Simulates the workload under one policy."""

    def __init__(self, sizes: Sizes, policy: str) -> None:
        self.sizes = sizes
        self.policy = policy
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._engines = {
            f"e{i}": _Engine(sizes.max_concurrency) for i in range(sizes.n_engines)
        }
        self._ids = list(self._engines)
        self._counters = [itertools.count(i) for i in range(sizes.n_gateways)]
        self._rng = random.Random(sizes.seed + 1)
        self._waits: list[float] = []
        self._n_hits = 0
        self._calls_by_ticket: dict[int, _Call] = {}
        self._reports = {
            upstream_id: _upstream(upstream_id, sizes.max_concurrency)
            for upstream_id in self._ids
        }
        self._admissions = [
            admission.Admission(10_000, random.Random(i))
            for i in range(sizes.n_gateways)
        ]
        self._routers = [
            routing.Router("a", random.Random(100 + i)) for i in range(sizes.n_gateways)
        ]

    def run(self) -> Outcome:
        self._schedule_arrivals()
        self._report()
        while len(self._waits) < self.sizes.n_calls:
            self.now, _, action = heapq.heappop(self._events)
            action()
        waits = sorted(self._waits)
        return Outcome(
            waits[len(waits) // 2],
            waits[int(0.99 * len(waits))],
            sum(waits) / len(waits),
            self._n_hits / len(waits),
        )

    def _schedule_arrivals(self) -> None:
        """Schedule the arrival of every call; the same calls for each policy."""
        rng = random.Random(self.sizes.seed)
        total_concurrency = self.sizes.n_engines * self.sizes.max_concurrency
        lengths = [_length(rng) for _ in range(self.sizes.n_calls)]
        rate = self.sizes.load * total_concurrency / (sum(lengths) / len(lengths))
        at = 0.0
        for seconds in lengths:
            at += rng.expovariate(rate)
            prefix = str(int(rng.paretovariate(0.7)) % N_PREFIXES)
            call = _Call(rng.randrange(self.sizes.n_gateways), prefix, seconds, at)
            self._schedule(at, lambda call=call: self._arrive(call))

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _report(self) -> None:
        for upstream_id, engine in self._engines.items():
            load = model.Load(engine.n_running, len(engine.waiting))
            report = _upstream(upstream_id, engine.max_concurrency, load)
            self._schedule(
                self.now + REPORT_LAG_SECONDS,
                lambda report=report: self._receive_report(report),
            )
        self._schedule(self.now + REPORT_SECONDS, self._report)

    def _receive_report(self, report: model.Upstream) -> None:
        self._reports[report.upstream_id] = report
        for gateway in range(self.sizes.n_gateways):
            self._schedule_waiting(gateway)

    def _arrive(self, call: _Call) -> None:
        if self.policy == "round-robin":
            turn = next(self._counters[call.gateway])
            self._submit(call, self._ids[turn % len(self._ids)])
        elif self.policy == "random":
            self._submit(call, self._rng.choice(self._ids))
        else:
            self._offer(call)

    def _offer(self, call: _Call) -> None:
        ticket = queues.Ticket("c", NEED, self.now + 1e6, prefix=call.prefix)
        call.ticket = ticket
        self._calls_by_ticket[id(ticket)] = call
        queue = self._admissions[call.gateway]
        choose = self._chooser(call.gateway)
        self._carry_out(queue.offer(self.now, ticket, choose))

    def _schedule_waiting(self, gateway: int) -> None:
        queue = self._admissions[gateway]
        self._carry_out(queue.schedule_waiting(self.now, self._chooser(gateway)))

    def _chooser(self, gateway: int) -> admission.ChooseUpstream:
        def choose(ticket: queues.Ticket) -> model.Upstream | routing.Unavailable:
            holders = frozenset()
            if self.policy == "expected-wait-and-prefix":
                holders = frozenset(
                    upstream_id
                    for upstream_id, engine in self._engines.items()
                    if ticket.prefix in engine.cache
                )
            chosen = self._routers[gateway].choose(
                self._reports.values(), self.now, self.sizes.n_gateways, holders
            )
            if not isinstance(chosen, routing.Unavailable):
                self._routers[gateway].record_start(chosen.upstream_id, self.now)
            return chosen

        return choose

    def _carry_out(self, effects: list[admission.Effect]) -> None:
        for effect in effects:
            assert isinstance(effect, admission.Granted)
            call = self._calls_by_ticket.pop(id(effect.ticket))
            self._submit(call, effect.upstream.upstream_id)

    def _submit(self, call: _Call, upstream_id: str) -> None:
        engine = self._engines[upstream_id]
        if engine.n_running < engine.max_concurrency:
            self._begin(call, upstream_id)
        else:
            engine.waiting.append(call)

    def _begin(self, call: _Call, upstream_id: str) -> None:
        engine = self._engines[upstream_id]
        engine.n_running += 1
        self._waits.append(self.now - call.arrived)
        seconds = call.seconds
        if call.prefix in engine.cache:
            self._n_hits += 1
            seconds *= 1.0 - PREFIX_SAVING
        engine.cache[call.prefix] = None
        engine.cache.move_to_end(call.prefix)
        if len(engine.cache) > CACHE_SIZE:
            engine.cache.popitem(last=False)
        self._schedule(self.now + seconds, lambda: self._end(call, upstream_id))

    def _end(self, call: _Call, upstream_id: str) -> None:
        engine = self._engines[upstream_id]
        engine.n_running -= 1
        if engine.waiting:
            self._begin(engine.waiting.popleft(), upstream_id)
        if call.ticket is None:
            return
        seconds = self.now - call.ticket.granted_at
        self._routers[call.gateway].record_end(
            upstream_id, self.now, seconds, call.seconds
        )
        self._admissions[call.gateway].record_end(self.now, call.ticket, None, True)
        self._schedule_waiting(call.gateway)


def _length(rng: random.Random) -> float:
    """Return a heavy-tailed length in seconds: many of about 1, few of up to 60."""
    return min(60.0, 0.5 * rng.paretovariate(1.2))


def _upstream(
    upstream_id: str, max_concurrency: int, load: model.Load | None = None
) -> model.Upstream:
    return model.Upstream(
        upstream_id,
        model.KIND_ENGINE,
        "",
        "a",
        max_concurrency,
        {"planner": model.ServedModel(1)},
        load=load or model.Load(),
    )


POLICIES: Final = (
    "round-robin",
    "random",
    "expected-wait",
    "expected-wait-and-prefix",
)


def compare(sizes: Sizes) -> dict[str, Outcome]:
    """Return the outcome of each policy on the same workload."""
    return {policy: Model(sizes, policy).run() for policy in POLICIES}
