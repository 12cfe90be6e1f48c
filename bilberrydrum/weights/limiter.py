"""How many engines may load from the weight store at a time.

The bundle caps the concurrent loads of each model. The weight store has a rate of its
own that is not known here: when it refuses a load, no further one is begun for the
time it asks for and the number of concurrent loads is halved; each load that succeeds
raises it by one up to the bundle's cap (additive increase, multiplicative decrease).
"""

from typing import Final

import attrs

# Shortest pause after the weight store refused a load.
MIN_PAUSE_SECONDS: Final = 0.25
# Share by which a pause is stretched at random, so that it does not end at the same
# moment for everything that loads from the store.
PAUSE_SPREAD: Final = 0.25


@attrs.define
class Window:
    """Concurrent loads of one model."""

    n_allowed: int
    n_loading: int = 0


class Limiter:
    """Loads in progress, by model, and pauses, by weight store."""

    def __init__(self) -> None:
        self._windows_by_model: dict[str, Window] = {}
        self._paused_until_by_source: dict[str, float] = {}

    def set_cap(self, model: str, cap: int, n_loading: int) -> None:
        """Set the bundle's cap and the loads that are in progress now."""
        cap = max(1, cap)
        window = self._windows_by_model.setdefault(model, Window(cap))
        window.n_allowed = min(window.n_allowed, cap)
        window.n_loading = n_loading

    def try_begin(self, model: str, source: str, now: float) -> bool:
        """Count a load as begun, if one may begin now."""
        if now < self._paused_until_by_source.get(source, 0.0):
            return False
        window = self._windows_by_model[model]
        if window.n_loading >= window.n_allowed:
            return False
        window.n_loading += 1
        return True

    def succeeded(self, model: str, cap: int) -> None:
        """Allow one load more after one that succeeded."""
        window = self._windows_by_model[model]
        window.n_allowed = min(max(1, cap), window.n_allowed + 1)

    def refused(
        self, model: str, source: str, retry_after: float, jitter: float, now: float
    ) -> None:
        """Pause after the weight store refused a load."""
        # Loads that were begun together are refused together: they tell of one
        # overload, not of several, so the window is halved once a pause.
        window = self._windows_by_model[model]
        if now >= self._paused_until_by_source.get(source, 0.0):
            window.n_allowed = max(1, window.n_allowed // 2)
        pause = max(retry_after, MIN_PAUSE_SECONDS) * (1 + PAUSE_SPREAD * jitter)
        until = max(self._paused_until_by_source.get(source, 0.0), now + pause)
        self._paused_until_by_source[source] = until
