"""The retry budget: retries as a bounded share of first attempts.

A token bucket that fills by `share` with each first attempt. When upstreams fail, calls
that are retried without bound multiply the load just when there is the least capacity;
with the budget the load grows by `share` at most. A small reserve, filled by time,
lets a gateway with few requests retry at all.
"""

from typing import Final

import attrs

# Retries that may be saved up.
MAX_TOKENS: Final = 20.0
# Retries per second that are allowed whatever the number of first attempts.
RESERVE_PER_SECOND: Final = 0.5


@attrs.define
class RetryBudget:
    """Tells whether one more attempt may be made."""

    # Retries allowed for one first attempt.
    share: float
    _tokens: float = MAX_TOKENS / 2
    _filled_at: float = 0.0

    def first_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + self.share)

    def take(self, now: float) -> bool:
        """Take one retry out of the budget; False if there is none left."""
        if self._filled_at:
            gained = RESERVE_PER_SECOND * (now - self._filled_at)
            self._tokens = min(MAX_TOKENS, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
