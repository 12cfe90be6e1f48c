"""Decide when the division of the engines among the models changes, and to what.

While no trainer is behind, `engine_shares` divides by the usual work of the models, or
`lateness.even_out` does if the engines differ much in speed. When one is behind,
`lateness.rebalance` moves engines to the trainers that would be the furthest behind.
These functions are pure; `Division` holds the current division and the time of its last
change. A change of the engines or models takes effect at once. Each other change costs
loads of weights, so these are at least a step interval apart. They are postponed during
a burst of submissions, in which the first batches hide the work of the others.
"""

import enum
from collections.abc import Mapping
from typing import Final

import attrs

from bilberrydrum.batches import engine_shares, lateness

# A burst of submissions is over after this time without one, in seconds.
BURST_GAP_SECONDS: Final = 0.5
# Maximum time that a burst postpones a change, in seconds.
MAX_BURST_SECONDS: Final = 2.0
# Engines are divided by rate instead of number if their rates differ by more than this
# factor.
UNEQUAL_FACTOR: Final = 1.5
# Minimum time between two changes while no model has work, in seconds.
IDLE_INTERVAL_SECONDS: Final = 4.0


class Reason(enum.StrEnum):
    """Why a division was chosen."""

    # The engines that can be used, or the models, have changed.
    ENGINES = "engines"
    # No trainer is behind.
    WORK = "work"
    # A trainer is behind.
    LATENESS = "lateness"


@attrs.frozen
class Inputs:
    """What a division depends on."""

    # Output tokens per second of each engine that can be used; 0: not known.
    rates_by_engine: Mapping[str, float]
    # One load for each model that is served.
    loads_by_model: Mapping[str, lateness.Load]
    # Time of the last submission, in seconds of the clock.
    last_submitted_at: float = float("-inf")

    def is_behind(self) -> bool:
        """Return whether a trainer is behind, and engines can be compared."""
        return all(self.rates_by_engine.values()) and any(
            each.lag_seconds > lateness.BEHIND_SECONDS
            for each in self.loads_by_model.values()
        )

    def are_unequal(self) -> bool:
        """Return whether the engines' rates are known and differ much."""
        known = self.rates_by_engine.values()
        return all(known) and max(known) > UNEQUAL_FACTOR * min(known)

    def min_change_seconds(self) -> float:
        """Return the minimum time between two changes: the shortest step interval."""
        intervals = [
            each.interval_seconds
            for each in self.loads_by_model.values()
            if each.n_tokens
        ]
        return min(intervals, default=IDLE_INTERVAL_SECONDS)


class Division:
    """The current division of the engines."""

    def __init__(self) -> None:
        self.shares = engine_shares.Shares()
        self.reason = Reason.ENGINES
        # The engines that the current division is of.
        self.engine_ids: frozenset[str] = frozenset()
        self._models: frozenset[str] = frozenset()
        self._changed_at = float("-inf")
        # Since when a change has been postponed because of a burst.
        self._postponed_at: float | None = None
        # Whether engines were last moved because a trainer was behind.
        self._is_by_lateness = False

    def resume(self, loaded: engine_shares.Shares, now: float) -> None:
        """Begin with the division that an earlier leader has left.

        It is kept for the first interval, in which this leader learns the trainers'
        pace.
        """
        self.shares = loaded
        self._changed_at = now

    def update(self, inputs: Inputs, now: float) -> bool:
        """Apply the inputs; return whether the division has changed."""
        before = self.shares
        engine_ids = frozenset(inputs.rates_by_engine)
        models = frozenset(inputs.loads_by_model)
        if (engine_ids, models) != (self.engine_ids, self._models):
            self.engine_ids, self._models = engine_ids, models
            self.shares = self._redivided(inputs)
            self.reason = Reason.ENGINES
            return self.shares != before
        if not self._has_enough_engines() or not self._is_due(inputs, now):
            return False
        self.shares = self._rebalanced(inputs)
        if self.shares == before:
            return False
        self._changed_at = now
        self.reason = Reason.LATENESS if self._is_by_lateness else Reason.WORK
        return True

    def _redivided(self, inputs: Inputs) -> engine_shares.Shares:
        """Return the division among engines or models that have changed."""
        previous = self.shares
        if not previous.is_disjoint():
            previous = engine_shares.Shares()
        are_rates_known = all(inputs.rates_by_engine.values())
        is_by_lateness = self._is_by_lateness or inputs.is_behind()
        if self._has_enough_engines() and is_by_lateness and are_rates_known:
            return engine_shares.Shares(
                lateness.fill(
                    inputs.loads_by_model,
                    inputs.rates_by_engine,
                    previous.engine_ids_by_model,
                )
            )
        if self._is_complete(previous):
            return previous
        return engine_shares.divide(self.engine_ids, _demand(inputs), previous)

    def _has_enough_engines(self) -> bool:
        """Return whether there are models, and at least one engine for each."""
        return len(self.engine_ids) >= len(self._models) > 0

    def _is_complete(self, shares: engine_shares.Shares) -> bool:
        """Return whether each model has an engine, and each engine a model."""
        assigned = frozenset().union(*shares.engine_ids_by_model.values())
        models = {name for name, ids in shares.engine_ids_by_model.items() if ids}
        return assigned == self.engine_ids and models == self._models

    def _is_due(self, inputs: Inputs, now: float) -> bool:
        """Return whether a change is allowed at `now`, apart from changed engines."""
        if now - self._changed_at < inputs.min_change_seconds():
            return False
        if now - inputs.last_submitted_at >= BURST_GAP_SECONDS:
            self._postponed_at = None
            return True
        if self._postponed_at is None:
            self._postponed_at = now
        if now - self._postponed_at < MAX_BURST_SECONDS:
            return False
        self._postponed_at = None
        return True

    def _rebalanced(self, inputs: Inputs) -> engine_shares.Shares:
        """Return the division among the same engines and models."""
        by_work = self._divided_by_work(inputs)
        if not inputs.is_behind():
            # Engines that have helped a trainer catch up stay with it as long as it
            # would be late without them.
            if self._is_by_lateness and self._is_late(inputs, by_work):
                return self.shares
            self._is_by_lateness = False
            return by_work
        self._is_by_lateness = True
        return engine_shares.Shares(
            lateness.rebalance(
                inputs.loads_by_model,
                inputs.rates_by_engine,
                self.shares.engine_ids_by_model,
            )
        )

    def _divided_by_work(self, inputs: Inputs) -> engine_shares.Shares:
        """Return the division while no trainer is behind."""
        if inputs.are_unequal() and self._is_complete(self.shares):
            return engine_shares.Shares(
                lateness.even_out(
                    inputs.loads_by_model,
                    inputs.rates_by_engine,
                    self.shares.engine_ids_by_model,
                )
            )
        return engine_shares.divide(self.engine_ids, _demand(inputs), self.shares)

    def _is_late(self, inputs: Inputs, shares: engine_shares.Shares) -> bool:
        """Return whether a trainer that is on time would be late with `shares`."""

        def rate_of(given: engine_shares.Shares, model: str) -> float:
            engine_ids = given.engine_ids_by_model[model]
            return sum(inputs.rates_by_engine[each] for each in engine_ids)

        return any(
            load.lateness_seconds(rate_of(shares, model))
            > load.excess_seconds(rate_of(self.shares, model))
            for model, load in inputs.loads_by_model.items()
        )


def _demand(inputs: Inputs) -> dict[str, float]:
    return {
        model: load.tokens_per_second() for model, load in inputs.loads_by_model.items()
    }
