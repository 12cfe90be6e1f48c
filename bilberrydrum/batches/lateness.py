"""Predict how far trainers will be behind, and move engines to those furthest behind.

Pure functions of loads and engines, which `division` uses. The lateness of a trainer is
predicted for some steps ahead, from its lag and from the duration of its steps on the
engines of its model. An engine is moved to the trainer that would be the furthest
behind, as long as this makes neither that trainer nor the one that gives the engine as
late as it would have been. So trainers that are all behind converge on the same
lateness. An engine that helps little, and makes another trainer later by much more, is
not moved: otherwise one trainer that can't be helped would make all others late.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

# A trainer counts as behind from this lag on, in seconds. A smaller lag may come from
# the intervals at which trainers poll.
BEHIND_SECONDS: Final = 0.5
# Number of steps for which the lateness is predicted.
HORIZON_STEPS: Final = 4
# An engine that is moved loads weights for this long, in seconds, and starts no new
# items meanwhile. Engines move only if the prediction improves by more than that.
LOAD_SECONDS: Final = 0.9
# Minimum improvement by a single engine, in seconds.
MIN_GAIN_SECONDS: Final = 0.05
# An engine is not moved if the trainer that gives it loses more than this many times
# what the other gains. With 2, a trainer gets at most 1.4 times the engines of another
# one that has the same work and is late as well.
MAX_LOSS_FACTOR: Final = 2.0

# Lowest rate that is calculated with, in tokens per second. A model may have lost all
# its engines.
_MIN_RATE: Final = 1e-9


@attrs.frozen
class Load:
    """The work that a model's trainers ask for."""

    # Time from one step to the next when the trainer is not behind, in seconds.
    interval_seconds: float
    # Expected output tokens of a step; 0: nothing is asked for.
    n_tokens: float
    # Time that the longest item of a step takes, in seconds.
    longest_seconds: float
    # Time that a step may take without delaying the trainer, in seconds.
    max_step_seconds: float
    # Number of steps that the trainer keeps open.
    n_open: int = 1
    # How far the trainer is behind, in seconds.
    lag_seconds: float = 0.0

    def tokens_per_second(self) -> float:
        """Return the work for each second of the step interval."""
        return self.n_tokens / self.interval_seconds

    def lateness_seconds(self, tokens_per_second: float) -> float:
        """Return the predicted lag after `HORIZON_STEPS`; below 0 it is a reserve.

        `tokens_per_second` is the rate of the engines that serve the model.
        """
        if not self.n_tokens:
            return -HORIZON_STEPS * self.interval_seconds
        work_seconds = self.n_tokens / max(tokens_per_second, _MIN_RATE)
        # More engines do not help against items that are too long in any case.
        longest_seconds = min(self.longest_seconds, self.max_step_seconds)
        step_seconds = longest_seconds + work_seconds
        # A chain of steps delays its trainer by what each step takes too long, and all
        # steps together by work that the engines do not finish within an interval.
        by_chain = (step_seconds - self.max_step_seconds) / self.n_open
        by_work = work_seconds - self.interval_seconds
        return self.lag_seconds + HORIZON_STEPS * max(by_chain, by_work)

    def excess_seconds(self, tokens_per_second: float) -> float:
        """Return by how much the predicted lateness exceeds what was observed.

        `tokens_per_second` is the rate of the current engines. A trainer that is not
        behind on them needs no more, although the estimated lengths, which are too long
        as often as too short, may say so.
        """
        if self.lag_seconds > BEHIND_SECONDS or not tokens_per_second:
            return 0.0
        return max(self.lateness_seconds(tokens_per_second), 0.0)


@attrs.define
class _Assignment:
    """The engines of each model while they are moved."""

    loads_by_model: Mapping[str, Load]
    rates_by_engine: Mapping[str, float]
    # Sorted by rate, the slowest first.
    engines_by_model: dict[str, list[str]]
    rates_by_model: dict[str, float]
    # By how much the prediction exceeds what was observed, in seconds.
    excess_by_model: dict[str, float]

    @classmethod
    def of(
        cls,
        loads_by_model: Mapping[str, Load],
        rates_by_engine: Mapping[str, float],
        engine_ids_by_model: Mapping[str, Iterable[str]],
        is_corrected: bool = True,
    ) -> "_Assignment":
        """Return the given assignment.

        `is_corrected` says whether predictions are corrected by what was observed.
        """
        engines_by_model = {
            model: sorted(
                (e for e in engine_ids_by_model.get(model, ()) if e in rates_by_engine),
                key=lambda e: (rates_by_engine[e], e),
            )
            for model in loads_by_model
        }
        rates_by_model = {
            model: sum(rates_by_engine[e] for e in engine_ids)
            for model, engine_ids in engines_by_model.items()
        }
        excess = {
            model: load.excess_seconds(rates_by_model[model]) if is_corrected else 0.0
            for model, load in loads_by_model.items()
        }
        return cls(
            loads_by_model, rates_by_engine, engines_by_model, rates_by_model, excess
        )

    def lateness(self, model: str, added_rate: float = 0.0) -> float:
        """Return the predicted lateness of a model's trainers, in seconds."""
        rate = self.rates_by_model[model] + added_rate
        seconds = self.loads_by_model[model].lateness_seconds(rate)
        return seconds - self.excess_by_model[model]

    def by_lateness(self) -> list[str]:
        """Return the models, the one that is the furthest behind first."""
        return sorted(self.loads_by_model, key=lambda e: (-self.lateness(e), e))

    def add(self, model: str, engine_id: str) -> None:
        rates = self.rates_by_engine
        self.engines_by_model[model].append(engine_id)
        self.engines_by_model[model].sort(key=lambda e: (rates[e], e))
        self.rates_by_model[model] += rates[engine_id]

    def move(self, engine_id: str, donor: str, receiver: str) -> None:
        self.engines_by_model[donor].remove(engine_id)
        self.rates_by_model[donor] -= self.rates_by_engine[engine_id]
        self.add(receiver, engine_id)

    def take(self, receiver: str) -> bool:
        """Move the engine to `receiver` that helps most; return whether one does."""
        before = self.lateness(receiver)
        moves = []
        for donor, engine_ids in self.engines_by_model.items():
            if donor == receiver or len(engine_ids) < 2:
                continue
            for engine_id in (engine_ids[0], engine_ids[-1]):
                rate = self.rates_by_engine[engine_id]
                helped = self.lateness(receiver, rate)
                given = self.lateness(donor, -rate)
                later = max(helped, given)
                loss = -_gain(self.lateness(donor), given)
                is_worth_it = loss <= MAX_LOSS_FACTOR * _gain(before, helped)
                if later <= before - MIN_GAIN_SECONDS and is_worth_it:
                    moves.append((later, given, engine_id, donor))
        if not moves:
            return False
        _, _, engine_id, donor = min(moves)
        self.move(engine_id, donor, receiver)
        return True


def fill(
    loads_by_model: Mapping[str, Load],
    rates_by_engine: Mapping[str, float],
    engine_ids_by_model: Mapping[str, Iterable[str]],
) -> dict[str, frozenset[str]]:
    """Return the assignment with the engines added that no model has.

    Each model gets at least one engine, which another model gives if none is free.
    There must be as many engines as models.
    """
    known = _Assignment.of(loads_by_model, rates_by_engine, engine_ids_by_model)
    held = {e for engine_ids in known.engines_by_model.values() for e in engine_ids}
    free = sorted(rates_by_engine.keys() - held, key=lambda e: (rates_by_engine[e], e))
    for model in [e for e in known.by_lateness() if not known.engines_by_model[e]]:
        if free:
            known.add(model, free.pop())
            continue
        donor = max(
            known.engines_by_model, key=lambda e: len(known.engines_by_model[e])
        )
        known.move(known.engines_by_model[donor][0], donor, model)
    while free:
        known.add(known.by_lateness()[0], free.pop())
    return {model: frozenset(e) for model, e in known.engines_by_model.items()}


def rebalance(
    loads_by_model: Mapping[str, Load],
    rates_by_engine: Mapping[str, float],
    engine_ids_by_model: Mapping[str, Iterable[str]],
) -> dict[str, frozenset[str]]:
    """Return the assignment after engines have moved to the trainers behind.

    A trainer gets engines only if its predicted lateness improves by more than
    `LOAD_SECONDS`. Each model keeps at least one engine.
    """
    return _rebalanced(loads_by_model, rates_by_engine, engine_ids_by_model, True)


def even_out(
    loads_by_model: Mapping[str, Load],
    rates_by_engine: Mapping[str, float],
    engine_ids_by_model: Mapping[str, Iterable[str]],
) -> dict[str, frozenset[str]]:
    """Return the assignment after engines have moved towards equal times of work.

    For unequal engines while no trainer is behind: divided by number, all slow ones may
    have one model. The time is that of a step's work on the engines of its model, and
    lateness is what exceeds the time on all engines. Lags and long items do not count.
    """
    per_second = sum(each.tokens_per_second() for each in loads_by_model.values())
    utilization = per_second / sum(rates_by_engine.values())
    if not utilization:
        return {model: frozenset(e) for model, e in engine_ids_by_model.items()}
    loads = {
        model: attrs.evolve(
            load,
            interval_seconds=load.interval_seconds * utilization,
            longest_seconds=0.0,
            max_step_seconds=math.inf,
            lag_seconds=0.0,
        )
        for model, load in loads_by_model.items()
    }
    return _rebalanced(loads, rates_by_engine, engine_ids_by_model, False)


def _rebalanced(
    loads_by_model: Mapping[str, Load],
    rates_by_engine: Mapping[str, float],
    engine_ids_by_model: Mapping[str, Iterable[str]],
    is_corrected: bool,
) -> dict[str, frozenset[str]]:
    may_receive = set(loads_by_model)
    while True:
        known = _Assignment.of(
            loads_by_model, rates_by_engine, engine_ids_by_model, is_corrected
        )
        before = {model: known.lateness(model) for model in loads_by_model}
        held = {model: frozenset(e) for model, e in known.engines_by_model.items()}
        _move_to_latest(known, may_receive)
        not_worth_it = {
            model
            for model in may_receive
            if not held[model].issuperset(known.engines_by_model[model])
            and _gain(before[model], known.lateness(model)) <= LOAD_SECONDS
        }
        if not not_worth_it:
            break
        may_receive -= not_worth_it
    return {model: frozenset(e) for model, e in known.engines_by_model.items()}


def _gain(before: float, after: float) -> float:
    """Return the improvement of a lateness, in seconds; a larger reserve is none."""
    return max(before, 0.0) - max(after, 0.0)


def _move_to_latest(known: _Assignment, may_receive: set[str]) -> None:
    """Move engines to the models that are the furthest behind."""
    open_models = set(may_receive)
    # No plan needs more moves than there are engines.
    n_left = len(known.rates_by_engine)
    while open_models and n_left:
        model = next(e for e in known.by_lateness() if e in open_models)
        if known.lateness(model) <= 0:
            break
        if known.take(model):
            n_left -= 1
        else:
            open_models.discard(model)
