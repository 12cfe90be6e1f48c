"""What trainers ask for lately: how much work, and under which versions."""

from collections.abc import Mapping, Sequence
from typing import Final

# The newest version is known this long after the step that was handed in with it.
LAG_SECONDS: Final = 0.3


class Demand:
    """How much work each model's trainer has asked for lately."""

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._noted: list[tuple[float, str, float]] = []

    def note(self, model_name: str, amount: float, now: float) -> None:
        """Note work that was asked for."""
        self._noted.append((now, model_name, amount))

    def by_model(self, models: Sequence[str], now: float) -> dict[str, float]:
        """Return the demand of the last window by model, those without included."""
        since = now - self._window_seconds
        self._noted = [each for each in self._noted if each[0] >= since]
        demand = dict.fromkeys(models, 0.0)
        for _, model_name, amount in self._noted:
            if model_name in demand:
                demand[model_name] += amount
        return demand


class NamedVersions:
    """When versions were named, and how old a version a model's steps allow."""

    def __init__(self) -> None:
        self._versions_by_model: dict[str, int] = {}
        self._named_at_by_model: dict[str, float] = {}
        self._lags_by_model: dict[str, int] = {}
        # Oldest version that the newest step allows, and when the step came.
        self._new_steps_by_model: dict[str, tuple[int, float]] = {}

    def note(self, versions_by_model: Mapping[str, int], now: float) -> None:
        """Take in the newest versions."""
        for name, version in versions_by_model.items():
            if self._versions_by_model.get(name) != version:
                self._versions_by_model[name] = version
                self._named_at_by_model[name] = now
        for name, (min_version, came_at) in list(self._new_steps_by_model.items()):
            if now - came_at >= LAG_SECONDS:
                newest = self._versions_by_model.get(name, min_version)
                self._lags_by_model[name] = max(newest - min_version, 0)
                del self._new_steps_by_model[name]

    def note_step(self, model_name: str, min_version: int, now: float) -> None:
        """Take in the oldest version that a new step allows.

        Its trainer has named a version just before. The news of that takes another
        way and may come after the step, so the two are compared a little later.
        """
        self._new_steps_by_model[model_name] = (min_version, now)

    def named_at(self, model_name: str) -> float:
        """Return when the newest version was heard of; long ago if it is not known."""
        return self._named_at_by_model.get(model_name, float("-inf"))

    def lag(self, model_name: str) -> int:
        """Return by how many versions an engine may be behind; 0: not known."""
        return self._lags_by_model.get(model_name, 0)
