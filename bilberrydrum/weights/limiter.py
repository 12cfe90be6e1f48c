"""Limits on how many engines load from the weight store at a time.

The bundle caps the concurrent loads of each model. The weight store also has a rate
limit, which this service does not know. When the store refuses a load, no further load
starts until the time in its Retry-After header has passed, and the number of concurrent
loads is halved. Each load that succeeds raises the number by one, up to the bundle's
cap (additive increase, multiplicative decrease).
"""

from typing import Final

import attrs

# Shortest pause after the weight store refused a load. It applies if the store names no
# time or a shorter one.
MIN_PAUSE_SECONDS: Final = 0.25
# A pause is extended at random by up to this share. Otherwise it would end at the same
# moment for all clients of the store, whose loads would then overload it again.
PAUSE_SPREAD: Final = 0.25


@attrs.define
class Window:
    """Number of concurrent loads of one model, allowed and in progress."""

    n_allowed: int
    n_loading: int = 0


class Limiter:
    """Tracks loads in progress by model, and pauses by weight store."""

    def __init__(self) -> None:
        self._windows_by_model: dict[str, Window] = {}
        self._paused_until_by_source: dict[str, float] = {}

    def set_cap(self, model: str, cap: int, n_loading: int) -> None:
        """Set the bundle's cap and the number of loads in progress."""
        cap = max(1, cap)
        window = self._windows_by_model.setdefault(model, Window(cap))
        window.n_allowed = min(window.n_allowed, cap)
        window.n_loading = n_loading

    def try_begin(self, model: str, source: str, now: float) -> bool:
        """Count a load as started and return True, if one may start at `now`."""
        if now < self._paused_until_by_source.get(source, 0.0):
            return False
        window = self._windows_by_model[model]
        if window.n_loading >= window.n_allowed:
            return False
        window.n_loading += 1
        return True

    def record_success(self, model: str, cap: int) -> None:
        """Allow one more concurrent load of `model` after a load succeeded."""
        window = self._windows_by_model[model]
        window.n_allowed = min(max(1, cap), window.n_allowed + 1)

    def record_refusal(
        self, model: str, source: str, retry_after: float, jitter: float, now: float
    ) -> None:
        """Pause loads from `source` after it refused a load of `model`.

        Parameters
        ----------
        model : str
            Model whose load was refused.
        source : str
            Base URL of the weight store.
        retry_after : float
            Seconds that the store asks to wait.
        jitter : float
            Random number between 0 and 1.
        now : float
            Current time in seconds.
        """
        # Loads that started together are refused together because of one overload, so
        # the window is halved only once in each pause. Otherwise a single overload
        # would reduce it to one load.
        window = self._windows_by_model[model]
        if now >= self._paused_until_by_source.get(source, 0.0):
            window.n_allowed = max(1, window.n_allowed // 2)
        pause = max(retry_after, MIN_PAUSE_SECONDS) * (1 + PAUSE_SPREAD * jitter)
        until = max(self._paused_until_by_source.get(source, 0.0), now + pause)
        self._paused_until_by_source[source] = until
