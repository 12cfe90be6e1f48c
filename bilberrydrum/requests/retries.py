"""The retry budget: retries as a bounded share of first attempts.

This is a token bucket that gains `share` tokens with each first attempt. When upstreams
fail, unbounded retries multiply the load at the moment of the least capacity. With the
budget, the load grows by at most `share`. In addition the bucket fills slowly with
time, so that a gateway with few requests can retry too.
"""

from typing import Final

import attrs

# Capacity of the bucket: most retries that can be saved up.
MAX_TOKENS: Final = 20.0
# Retries per second that are allowed independently of the number of first attempts.
RESERVE_PER_SECOND: Final = 0.5


@attrs.define
class RetryBudget:
    """Limits the retries of one gateway."""

    # Retries that each first attempt adds to the budget.
    share: float
    _tokens: float = MAX_TOKENS / 2
    _filled_at: float = 0.0

    def count_first_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + self.share)

    def take(self, now: float) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if self._filled_at:
            gained = RESERVE_PER_SECOND * (now - self._filled_at)
            self._tokens = min(MAX_TOKENS, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
