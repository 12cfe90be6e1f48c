"""Engines that run items of batches and end by a storm, or under guilty items.

Time is virtual, in steps. Items run for seconds and go on elsewhere when they are cut
off. The engines in a storm end again and again, a part of them at a time, and are back
half a second later.
"""

import collections
import random

import attrs

from bilberrydrum import quarantine

GUILTY = "guilty"
_STEP_SECONDS = 0.05
_DOWN_SECONDS = 0.6
# Time from the begin of a guilty item's run to the end of its engine.
_GUILTY_SECONDS = 0.1
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


class EngineStorm:
    """One play.

    Parameters
    ----------
    book : quarantine.CrashHistory
        Told of the crashes, and asked who may be sent.
    seed : int
        Seed of the play.
    storm_seconds : float
        How long the storm lasts; 0: there is none.
    n_guilty : int
        Items that end whatever runs them.
    """

    N_ENGINES = 5
    N_SLOTS = 12
    N_ITEMS = 40

    def __init__(
        self,
        book: quarantine.CrashHistory,
        seed: int,
        storm_seconds: float,
        n_guilty: int,
    ) -> None:
        self.book = book
        self._rng = random.Random(seed)
        self._storm_seconds = storm_seconds
        self._engines = [_Engine() for _ in range(self.N_ENGINES)]
        self._waiting = [f"item-{n}" for n in range(self.N_ITEMS)]
        self.guilty = {f"{GUILTY}-{n}" for n in range(n_guilty)}
        for name in sorted(self.guilty):
            self._waiting.insert(self._rng.randrange(self.N_ITEMS), name)
        self._n_new = self.N_ITEMS
        self._now = 0.0
        self.quarantined: set[str] = set()
        # Engines that ended while they ran a guilty item, by its name.
        self.n_ended_by_name: collections.Counter[str] = collections.Counter()

    def run(self) -> None:
        """Play to the end."""
        next_crash_at = 1.0
        while self._now < _UNTIL:
            self._now += _STEP_SECONDS
            self._finish_runs()
            if next_crash_at <= self._now < 1.0 + self._storm_seconds:
                for engine in self._rng.sample(self._engines, 2):
                    self._end(engine)
                next_crash_at += self._rng.uniform(0.5, 1.2)
            self._send()

    def _finish_runs(self) -> None:
        for engine in self._engines:
            guilty = [each for each in engine.runs if each.name in self.guilty]
            if any(self._now - each.began_at >= _GUILTY_SECONDS for each in guilty):
                self.n_ended_by_name.update(each.name for each in guilty)
                self._end(engine)
                continue
            for run in [each for each in engine.runs if each.ends_at <= self._now]:
                engine.runs.remove(run)
                self.book.clear(run.name)
                # The next item of some batch takes its place.
                self._n_new += 1
                self._waiting.append(f"item-{self._n_new}")

    def _end(self, engine: _Engine) -> None:
        if engine.up_from > self._now:
            return
        start = f"{id(engine)}-{engine.n_starts}"
        for run in engine.runs:
            if self._now - run.began_at >= quarantine.HEALTHY_RUN_SECONDS:
                self.book.clear(run.name)
            else:
                self.book.record(quarantine.Crash(run.name, "", start), self._now)
            if self.book.standing(run.name) is quarantine.Standing.QUARANTINED:
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
            standing = self.book.standing(name)
            if standing is quarantine.Standing.DOUBTFUL:
                up = [each for each in up if not self._has_doubtful(each)]
            if not up or standing is quarantine.Standing.QUARANTINED:
                kept.append(name)
                continue
            engine = min(up, key=lambda each: (len(each.runs), self._rng.random()))
            seconds = self._rng.uniform(0.8, 5.0)
            engine.runs.append(_Run(name, self._now, self._now + seconds))
        self._waiting = kept

    def _has_doubtful(self, engine: _Engine) -> bool:
        return any(self.book.standing(each.name) for each in engine.runs)
