"""A plain service: upstreams with places, each with a queue, chosen by balancers."""

import collections
import random
from collections.abc import Callable, Sequence

import numpy as np

from bilberrydrum import upstream_protocol
from bilberrydrum.fleet import model
from bilberrydrum.relay import balancing
from simulation import events, load


class Upstream:
    """One upstream: so many requests at a time, the others wait in order."""

    def __init__(self, loop: events.Loop, n_slots: int) -> None:
        self._loop = loop
        self._n_slots = n_slots
        self.n_running = 0
        self._waiting: collections.deque[tuple[float, Callable[[], None]]] = (
            collections.deque()
        )

    @property
    def n_waiting(self) -> int:
        """Requests that have no place yet."""
        return len(self._waiting)

    def take(self, seconds: float, done: Callable[[], None]) -> None:
        """Run a request of `seconds` as soon as there is a place."""
        if self.n_running >= self._n_slots:
            self._waiting.append((seconds, done))
            return
        self.n_running += 1
        self._loop.after(seconds, lambda: self._ended(done))

    def _ended(self, done: Callable[[], None]) -> None:
        self.n_running -= 1
        if self._waiting:
            self.take(*self._waiting.popleft())
        done()


class Service:
    """All upstreams, and one balancer for each process that sends to them."""

    def __init__(
        self, loop: events.Loop, given: load.Load, rng: np.random.Generator
    ) -> None:
        self._loop = loop
        self._rng = rng
        self._spread = given.service_spread
        self.described = [
            model.FleetUpstream(f"u{n}", "s", "", f"z{n}", given.n_slots)
            for n in range(given.n_upstreams)
        ]
        self._upstreams_by_id = {
            each.upstream_id: Upstream(loop, given.n_slots) for each in self.described
        }

    def balancer(self, number: int) -> balancing.Balancer:
        """Return the balancer of the sender with this number."""
        zone = f"z{number % len(self.described)}"
        return balancing.Balancer(zone, random.Random(int(self._rng.integers(2**32))))

    def send(
        self,
        balancer: balancing.Balancer,
        mean_seconds: float,
        done: Callable[[float], None],
    ) -> None:
        """Send a request; `done` is told how long it took."""
        began = self._loop.now
        chosen = balancer.choose(self.described, (), began)
        assert chosen is not None
        upstream_id = chosen.upstream_id
        upstream = self._upstreams_by_id[upstream_id]
        balancer.begin(upstream_id)

        def answered() -> None:
            balancer.end(upstream_id)
            head = upstream_protocol.AnswerHead(
                n_running=upstream.n_running, n_waiting=upstream.n_waiting
            )
            balancer.succeeded(upstream_id, head, self._loop.now)
            done(self._loop.now - began)

        upstream.take(lognormal(self._rng, mean_seconds, self._spread), answered)


def lognormal(rng: np.random.Generator, mean: float, spread: float) -> float:
    """Return a draw with this mean and spread of its logarithm."""
    return float(rng.lognormal(np.log(mean) - spread**2 / 2, spread))


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which `share` of `values` lie; 0: there are none."""
    return float(np.quantile(values, share)) if values else 0.0
