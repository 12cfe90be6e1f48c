"""Track what was requested recently: amount of work and weight versions.

`engine_divider` uses `Demand` for batches without a step; the work of trainers is in
`pacing`. `loader` uses `AnnouncedVersions`.
"""

from collections.abc import Mapping, Sequence
from typing import Final

# A trainer announces a version and submits a step at the same time. The announcement
# arrives by another path and is assumed to be known this many seconds after the step.
VERSION_DELAY_SECONDS: Final = 0.3


class Demand:
    """How much work was requested for each model within a time window."""

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._entries: list[tuple[float, str, float]] = []

    def record(self, model_name: str, amount: float, now: float) -> None:
        """Record work that was requested."""
        self._entries.append((now, model_name, amount))

    def by_model(self, models: Sequence[str], now: float) -> dict[str, float]:
        """Return the demand within the window for each of `models`; it may be 0."""
        since = now - self._window_seconds
        self._entries = [each for each in self._entries if each[0] >= since]
        demand = dict.fromkeys(models, 0.0)
        for _, model_name, amount in self._entries:
            if model_name in demand:
                demand[model_name] += amount
        return demand


class AnnouncedVersions:
    """When each model's newest version was announced, and the staleness allowed."""

    def __init__(self) -> None:
        self._versions_by_model: dict[str, int] = {}
        self._announced_at_by_model: dict[str, float] = {}
        self._lags_by_model: dict[str, int] = {}
        # The oldest version that a model's newest step allows, and when that step was
        # submitted.
        self._new_steps_by_model: dict[str, tuple[int, float]] = {}

    def record(self, versions_by_model: Mapping[str, int], now: float) -> None:
        """Record the newest version announced for each model."""
        for name, version in versions_by_model.items():
            if self._versions_by_model.get(name) != version:
                self._versions_by_model[name] = version
                self._announced_at_by_model[name] = now
        for name, (min_version, submitted_at) in list(self._new_steps_by_model.items()):
            if now - submitted_at >= VERSION_DELAY_SECONDS:
                newest = self._versions_by_model.get(name, min_version)
                self._lags_by_model[name] = max(newest - min_version, 0)
                del self._new_steps_by_model[name]

    def record_step(self, model_name: str, min_version: int, now: float) -> None:
        """Record the oldest version that a new step allows.

        The trainer has announced a version just before. That update arrives by another
        path and possibly after the step, so the two are compared only after
        `VERSION_DELAY_SECONDS`.
        """
        self._new_steps_by_model[model_name] = (min_version, now)

    def announced_at(self, model_name: str) -> float:
        """Return when the newest version became known; minus infinity if none is."""
        return self._announced_at_by_model.get(model_name, float("-inf"))

    def lag(self, model_name: str) -> int:
        """Return by how many versions an engine may be behind; 0 if not known."""
        return self._lags_by_model.get(model_name, 0)
