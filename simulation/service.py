"""A plain service whose upstreams have slots and queues, and its balancers."""

import collections
import random
from collections.abc import Callable, Sequence

import numpy as np

from bilberrydrum import upstream_protocol
from bilberrydrum.fleet import model
from bilberrydrum.relay import balancing
from simulation import events, load


class Upstream:
    """One upstream that runs `n_slots` requests at a time and queues the others."""

    def __init__(self, loop: events.Loop, n_slots: int) -> None:
        self._loop = loop
        self._n_slots = n_slots
        self.n_running = 0
        self._waiting: collections.deque[tuple[float, Callable[[], None]]] = (
            collections.deque()
        )

    @property
    def n_waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def submit(self, seconds: float, done: Callable[[], None]) -> None:
        """Run a request of `seconds` as soon as a slot is free, then call `done`."""
        if self.n_running >= self._n_slots:
            self._waiting.append((seconds, done))
            return
        self.n_running += 1
        self._loop.call_later(seconds, lambda: self._finish(done))

    def _finish(self, done: Callable[[], None]) -> None:
        self.n_running -= 1
        if self._waiting:
            self.submit(*self._waiting.popleft())
        done()


class Service:
    """The upstreams of a service, and a balancer for each process that sends to it."""

    def __init__(
        self, loop: events.Loop, workload: load.Load, rng: np.random.Generator
    ) -> None:
        self._loop = loop
        self._rng = rng
        self._spread = workload.service_spread
        self.fleet_upstreams = [
            model.FleetUpstream(f"u{n}", "s", "", f"z{n}", workload.n_slots)
            for n in range(workload.n_upstreams)
        ]
        self._upstreams_by_id = {
            each.upstream_id: Upstream(loop, workload.n_slots)
            for each in self.fleet_upstreams
        }

    def balancer(self, number: int) -> balancing.Balancer:
        """Return a balancer for the sender with this number."""
        zone = f"z{number % len(self.fleet_upstreams)}"
        return balancing.Balancer(zone, random.Random(int(self._rng.integers(2**32))))

    def send(
        self,
        balancer: balancing.Balancer,
        mean_seconds: float,
        done: Callable[[float], None],
    ) -> None:
        """Send a request, and call `done` with its duration in seconds."""
        began = self._loop.now
        chosen = balancer.choose(self.fleet_upstreams, (), began)
        assert chosen is not None
        upstream_id = chosen.upstream_id
        upstream = self._upstreams_by_id[upstream_id]
        balancer.record_start(upstream_id)

        def on_answer() -> None:
            balancer.record_end(upstream_id)
            head = upstream_protocol.AnswerHead(
                n_running=upstream.n_running, n_waiting=upstream.n_waiting
            )
            balancer.record_success(upstream_id, head, self._loop.now)
            done(self._loop.now - began)

        upstream.submit(lognormal(self._rng, mean_seconds, self._spread), on_answer)


def lognormal(rng: np.random.Generator, mean: float, spread: float) -> float:
    """Return a log-normal draw with mean `mean` and log standard deviation `spread`."""
    return float(rng.lognormal(np.log(mean) - spread**2 / 2, spread))


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which `share` of `values` lie, or 0 without values."""
    return float(np.quantile(values, share)) if values else 0.0
