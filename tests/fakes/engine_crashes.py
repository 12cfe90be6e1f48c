"""Simulated engines that crash for reasons of their own or because of culprit items.

Time is virtual and advances in steps. Items run for seconds and are resumed elsewhere
when their engine crashes. During a burst of crashes two engines at a time crash again
and again, and each is back about half a second later.
"""

import collections
import random

import attrs

from bilberrydrum import quarantine

CULPRIT = "guilty"
_STEP_SECONDS = 0.05
_DOWN_SECONDS = 0.6
# Time from the start of a culprit's run to the crash of its engine, in seconds.
_CULPRIT_SECONDS = 0.1
_UNTIL = 30.0


@attrs.define
class _Run:
    name: str
    began_at: float
    ends_at: float


@attrs.define
class _Engine:
    n_starts: int = 0
    up_from: float = 0.0
    runs: list[_Run] = attrs.field(factory=list)


class EngineCrashes:
    """One simulation run.

    Parameters
    ----------
    history : quarantine.CrashHistory
        Records the crashes and decides which items may be sent.
    seed : int
        Seed of the random numbers.
    burst_seconds : float
        Duration of the burst of crashes, in seconds; 0 for none.
    n_culprits : int
        Number of items that crash each engine that runs them.
    n_engines : int
        Number of engines; eight items run at each of them.
    keeps_apart : bool
        Whether items that must run apart are kept apart, wait while engines crash if
        they must, and are cleared as soon as their run is healthy, as the sender of
        items does it. Otherwise only suspected items are kept apart, which the
        decisions have to stand as well.
    """

    N_SLOTS = 12
    N_ITEMS_PER_ENGINE = 8

    def __init__(
        self,
        history: quarantine.CrashHistory,
        seed: int,
        burst_seconds: float,
        n_culprits: int,
        n_engines: int = 5,
        keeps_apart: bool = False,
    ) -> None:
        self.history = history
        self._rng = random.Random(seed)
        self._burst_seconds = burst_seconds
        self._keeps_apart = keeps_apart
        self._engines = [_Engine() for _ in range(n_engines)]
        n_items = n_engines * self.N_ITEMS_PER_ENGINE
        self._waiting = [f"item-{n}" for n in range(n_items)]
        self.culprits = {f"{CULPRIT}-{n}" for n in range(n_culprits)}
        for name in sorted(self.culprits):
            self._waiting.insert(self._rng.randrange(n_items), name)
        self._n_new = n_items
        self._now = 0.0
        self.quarantined: set[str] = set()
        # Number of crashes of engines that ran a culprit, by the culprit's name.
        self.n_crashed_by_name: collections.Counter[str] = collections.Counter()

    def run(self) -> None:
        """Run the simulation to its end."""
        next_crash_at = 1.0
        while self._now < _UNTIL:
            self._now += _STEP_SECONDS
            self._finish_runs()
            if next_crash_at <= self._now < 1.0 + self._burst_seconds:
                for engine in self._rng.sample(self._engines, 2):
                    self._crash(engine)
                next_crash_at += self._rng.uniform(0.5, 1.2)
            self._send()

    def _finish_runs(self) -> None:
        for engine in self._engines:
            culprits = [each for each in engine.runs if each.name in self.culprits]
            if any(self._now - each.began_at >= _CULPRIT_SECONDS for each in culprits):
                self.n_crashed_by_name.update(each.name for each in culprits)
                self._crash(engine)
                continue
            if self._keeps_apart:
                self._clear_healthy(engine)
            for run in [each for each in engine.runs if each.ends_at <= self._now]:
                engine.runs.remove(run)
                self.history.clear(run.name)
                # A new item replaces the finished one.
                self._n_new += 1
                self._waiting.append(f"item-{self._n_new}")

    def _clear_healthy(self, engine: _Engine) -> None:
        for run in engine.runs:
            if self._now - run.began_at >= quarantine.HEALTHY_RUN_SECONDS:
                self.history.clear(run.name)

    def _crash(self, engine: _Engine) -> None:
        if engine.up_from > self._now:
            return
        start = f"{id(engine)}-{engine.n_starts}"
        for run in engine.runs:
            if self._now - run.began_at >= quarantine.HEALTHY_RUN_SECONDS:
                self.history.clear(run.name)
                self.history.record_upstream_crash(start, self._now)
            else:
                self.history.record(quarantine.Crash(run.name, "", start), self._now)
            if self.history.standing(run.name) is quarantine.Standing.QUARANTINED:
                self.quarantined.add(run.name)
            self._waiting.append(run.name)
        engine.runs = []
        engine.n_starts += 1
        engine.up_from = self._now + _DOWN_SECONDS

    def _send(self) -> None:
        kept = []
        for name in self._waiting:
            up = [
                each
                for each in self._engines
                if each.up_from <= self._now and len(each.runs) < self.N_SLOTS
            ]
            standing = self.history.standing(name)
            if self._must_run_apart(name):
                up = [each for each in up if not self._has_suspected(each)]
            is_quarantined = standing is quarantine.Standing.QUARANTINED
            if not up or is_quarantined or self._must_wait(name):
                kept.append(name)
                continue
            engine = min(up, key=lambda each: (len(each.runs), self._rng.random()))
            seconds = self._rng.uniform(0.8, 5.0)
            engine.runs.append(_Run(name, self._now, self._now + seconds))
        self._waiting = kept

    def _has_suspected(self, engine: _Engine) -> bool:
        return any(self._must_run_apart(each.name) for each in engine.runs)

    def _must_wait(self, name: str) -> bool:
        return self._keeps_apart and self.history.must_wait(name, self._now)

    def _must_run_apart(self, name: str) -> bool:
        if self._keeps_apart and self.history.must_run_apart(name):
            return True
        return bool(self.history.standing(name))
