"""Divide the engines among the models, at the leader of the stores' group.

This is the part that the runner calls. It gathers what the decision depends on (the
trainers' pace from `pacing`, the engines' rates, the versions that they have loaded),
and reports each change to the log and the metrics. `division` decides when the division
changes, `engine_shares` and `lateness` compute the new one.
"""

import math
import statistics
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Final

import attrs
import eliot

from bilberrydrum import counters
from bilberrydrum.batches import (
    demand,
    division,
    engine_shares,
    engines,
    lateness,
    model,
    pacing,
    urgency,
)

# The demand of batches without a step is the work submitted in this many seconds.
_UNTIMED_SECONDS: Final = 24.0
# A model without any submission counts as an average one for this long after the first
# submission of another, in seconds: trainers that start together submit their first
# steps within a step interval.
_FIRST_SUBMISSIONS_SECONDS: Final = 5.0
# Time over which the rate of an engine is averaged, in seconds. Slowdowns of a host
# that last fractions of a second must not move engines.
_RATE_SECONDS: Final = 5.0
# Interval between two evaluations, in seconds. Each of them visits all engines.
_EVALUATION_SECONDS: Final = 0.25


@attrs.define
class EngineRates:
    """Moving averages of the engines' output tokens per second."""

    _rates_by_id: dict[str, float] = attrs.field(factory=dict)
    _updated_at: float = float("-inf")

    def update(self, measured_by_id: Mapping[str, float], now: float) -> None:
        """Record the current rates; an engine that is left out keeps its own."""
        weight = 1.0 - math.exp(-(now - self._updated_at) / _RATE_SECONDS)
        self._updated_at = now
        for engine_id, measured in measured_by_id.items():
            known = self._rates_by_id.get(engine_id, measured)
            self._rates_by_id[engine_id] = known + weight * (measured - known)

    def of(self, engine_ids: Collection[str], default: float) -> dict[str, float]:
        """Return the rates of these engines, and forget all others.

        An engine without samples has the median of the others, or `default`.
        """
        self._rates_by_id = {
            each: self._rates_by_id[each]
            for each in engine_ids
            if each in self._rates_by_id
        }
        if self._rates_by_id:
            default = statistics.median(self._rates_by_id.values())
        return {each: self._rates_by_id.get(each, default) for each in engine_ids}


class EngineDivider:
    """The division of the engines, during the leadership of one process."""

    def __init__(self, pace: urgency.Pace) -> None:
        self._pace = pace
        self._pacing = pacing.Pacing()
        self._untimed = demand.Demand(_UNTIMED_SECONDS)
        self._first_submitted_at = float("inf")
        self._rates = EngineRates()
        self._division = division.Division()
        self._evaluated_at = float("-inf")
        # The models that the metrics are about.
        self._reported_models: frozenset[str] = frozenset()

    def stop(self) -> None:
        """Remove the metrics, which another process reports from now on."""
        _clear_metrics()

    def record_submission(
        self,
        batch: model.Batch,
        submitted_at: float,
        spare_groups: Collection[urgency.GroupKey] = (),
        has_ended: bool = False,
    ) -> None:
        """Record a batch that was submitted at `submitted_at`, by the clock.

        `spare_groups` are the groups that its trainer does not wait for.
        """
        awaited = [
            each.n_likely_output_tokens()
            for each in batch.items
            if (batch.batch_id, each.group or each.item_id) not in spare_groups
        ]
        n_tokens = sum(each.n_likely_output_tokens() for each in batch.items)
        self._first_submitted_at = min(self._first_submitted_at, submitted_at)
        if batch.step < 0:
            self._untimed.record(batch.model, n_tokens, submitted_at)
            return
        step = pacing.Step(batch.step, submitted_at, n_tokens, max(awaited, default=0))
        self._pacing.record_submission(
            batch.account or "", batch.model, step, has_ended
        )

    def record_end(self, batch: model.Batch, now: float) -> None:
        """Record that a batch has ended."""
        if batch.step >= 0:
            self._pacing.record_end(batch.account or "", batch.model, batch.step, now)

    def step(
        self,
        known: engines.Engines,
        newest_by_model: Mapping[str, int],
        now: float,
    ) -> engine_shares.Shares:
        """Return the division for the scheduling pass at `now`.

        `newest_by_model` are the newest published versions.
        """
        assignable = known.assignable(now)
        if assignable and not self._division.shares.engine_ids_by_model:
            self._resume(assignable, newest_by_model, now)
        engine_ids = {each.upstream_id for each in assignable}
        has_changed = engine_ids != self._division.engine_ids
        if not has_changed and now - self._evaluated_at < _EVALUATION_SECONDS:
            return self._division.shares
        self._evaluated_at = now
        loads = self._loads(known.models(), now)
        inputs = division.Inputs(
            self._rates_of(assignable, now), loads, self._pacing.last_submitted_at
        )
        if self._division.update(inputs, now):
            self._log(loads)
        self._report(loads)
        return self._division.shares

    def _resume(
        self,
        assignable: Sequence[engines.Engine],
        newest_by_model: Mapping[str, int],
        now: float,
    ) -> None:
        """Begin with the engines that serve each model's newest versions.

        Called at the first pass, and when engines return after all were lost.
        """
        versions = {each.upstream_id: each.versions_by_model for each in assignable}
        loaded = engine_shares.loaded(versions, newest_by_model)
        if loaded.engine_ids_by_model:
            self._division.resume(loaded, now)

    def _rates_of(
        self, assignable: Sequence[engines.Engine], now: float
    ) -> dict[str, float]:
        pace = self._pace
        measured = {
            each.upstream_id: pace.tokens_per_second(
                # A slow engine gets few items, so its other run slots do not count.
                engines.PROBE_SLOTS if each.was_slow else each.upstream.n_slots,
                each.pace_seconds,
            )
            for each in assignable
            if now - each.pace_updated_at <= engines.PACE_SECONDS
        }
        self._rates.update({e: rate for e, rate in measured.items() if rate}, now)
        n_slots = [each.upstream.n_slots for each in assignable]
        default = pace.tokens_per_second(max(n_slots, default=0))
        return self._rates.of([each.upstream_id for each in assignable], default)

    def _loads(self, models: Sequence[str], now: float) -> dict[str, lateness.Load]:
        paces_by_model = {name: self._pacing.paces_of(name, now) for name in models}
        untimed = self._untimed.by_model(models, now)
        default_interval = _median_interval(paces_by_model.values())
        loads = {
            name: _load_of(
                paces_by_model[name],
                untimed[name] / _UNTIMED_SECONDS,
                default_interval,
                lambda n_tokens: self._pace.remaining_seconds(round(n_tokens), 0),
            )
            for name in models
        }
        seen = [each.n_tokens for each in loads.values() if each.n_tokens]
        if not seen or now - self._first_submitted_at > _FIRST_SUBMISSIONS_SECONDS:
            return loads
        mean = statistics.fmean(seen)
        return {
            name: load if load.n_tokens else attrs.evolve(load, n_tokens=mean)
            for name, load in loads.items()
        }

    def _log(self, loads: Mapping[str, lateness.Load]) -> None:
        eliot.log_message(
            message_type="batches:divided",
            reason=self._division.reason.value,
            n_engines_by_model=self._division.shares.sizes(),
            lag_seconds_by_model={
                name: round(load.lag_seconds, 3) for name, load in loads.items()
            },
        )

    def _report(self, loads: Mapping[str, lateness.Load]) -> None:
        if loads.keys() != self._reported_models:
            _clear_metrics()
            self._reported_models = frozenset(loads)
        sizes = self._division.shares.sizes()
        for name, load in loads.items():
            if math.isfinite(load.max_step_seconds):
                counters.STEP_INTERVAL_SECONDS.labels(name).set(load.interval_seconds)
            counters.TRAINER_LAG_SECONDS.labels(name).set(load.lag_seconds)
            counters.MODEL_ENGINES.labels(name).set(sizes.get(name, 0))


def _clear_metrics() -> None:
    for metric in (
        counters.STEP_INTERVAL_SECONDS,
        counters.TRAINER_LAG_SECONDS,
        counters.MODEL_ENGINES,
    ):
        metric.clear()


def _median_interval(paces: Collection[Sequence[pacing.Pace]]) -> float:
    known = [e.interval_seconds for each in paces for e in each if e.interval_seconds]
    return statistics.median(known) if known else pacing.UNKNOWN_INTERVAL_SECONDS


def _load_of(
    paces: Sequence[pacing.Pace],
    untimed_tokens_per_second: float,
    default_interval_seconds: float,
    seconds_of: Callable[[float], float],
) -> lateness.Load:
    """Return the load of one model: the sum of its trainers' work.

    `seconds_of` returns the time that an item with this many tokens takes. The times
    are those of the trainer that has the least time for a step.
    """
    active = [each for each in paces if each.n_tokens]
    intervals = [each.interval_seconds for each in active if each.interval_seconds]
    interval = min(intervals, default=default_interval_seconds)
    per_second = untimed_tokens_per_second + sum(
        each.tokens_per_second(default_interval_seconds) for each in active
    )
    n_longest = max((each.n_longest_tokens for each in active), default=0.0)
    limits = [
        (seconds, each.n_open)
        for each in active
        if (seconds := each.max_step_seconds()) is not None
    ]
    max_step_seconds, n_open = min(limits, default=(math.inf, 1))
    return lateness.Load(
        interval,
        per_second * interval,
        seconds_of(n_longest) if n_longest else 0.0,
        max_step_seconds,
        n_open,
        max((each.lag_seconds for each in active), default=0.0),
    )
