"""Decide whether a batch is refused at submission because the queue is too long.

A batch whose items cannot start before they are abandoned would only delay others and
end without results, and its submitter would learn of it at the deadline. So it is
refused when it is submitted, with the time until the queue has room.

The work is counted by owner: the account, or the model of batches without one. Owners
get equal shares of the engines. So an owner's work ends after the work of all others,
each counted at most as much as its own. An owner without queued work is never refused,
however much others have queued.

Pure functions and classes: amounts of work are in expected output tokens, times in
seconds.
"""

from collections.abc import Mapping
from typing import Final

import attrs

# The rate is that of the last seconds in which items waited. It is not known before
# there are this many.
MIN_BUSY_SECONDS: Final = 5.0
MAX_BUSY_SECONDS: Final = 20.0
# Two observations that are further apart than this do not show whether items waited
# throughout.
MAX_GAP_SECONDS: Final = 1.0


def owner_of(account: str | None, model_name: str) -> tuple[str, str]:
    """Return the owner of a batch's work."""
    return (account, "") if account else ("", model_name)


@attrs.define
class Throughput:
    """The tokens per second that the engines deliver while items wait."""

    _busy_seconds: float = 0.0
    _n_tokens: float = 0.0
    _observed_at: float | None = None
    _was_busy: bool = False
    # Tokens of the items that have ended since the last observation.
    _n_new_tokens: float = 0.0

    def record_finished(self, n_tokens: float) -> None:
        """Record the work of an item whose text is complete."""
        self._n_new_tokens += n_tokens

    def observe(self, has_waiting: bool, now: float) -> None:
        """Record whether items wait for engines."""
        if self._observed_at is not None and has_waiting and self._was_busy:
            seconds = now - self._observed_at
            if seconds <= MAX_GAP_SECONDS:
                self._busy_seconds += seconds
                self._n_tokens += self._n_new_tokens
        self._n_new_tokens = 0.0
        self._observed_at = now
        self._was_busy = has_waiting
        if self._busy_seconds > MAX_BUSY_SECONDS:
            share = MAX_BUSY_SECONDS / self._busy_seconds
            self._busy_seconds *= share
            self._n_tokens *= share

    def tokens_per_second(self) -> float:
        """Return the rate; 0 if it is not known."""
        if self._busy_seconds < MIN_BUSY_SECONDS:
            return 0.0
        return self._n_tokens / self._busy_seconds


@attrs.frozen
class Submission:
    """A batch that is submitted."""

    owner: tuple[str, str]
    n_tokens: float
    # Time after its submission at which its items are abandoned; 0: never.
    max_queue_seconds: float


def retry_after_seconds(
    given: Submission,
    queued_by_owner: Mapping[tuple[str, str], float],
    tokens_per_second: float,
) -> float:
    """Return after how many seconds a refused batch has room; 0: it is accepted.

    Parameters
    ----------
    given : Submission
        The batch.
    queued_by_owner : mapping
        Work of the items that wait for an engine, without this batch.
    tokens_per_second : float
        Rate of the engines; 0 if it is not known.
    """
    queued = queued_by_owner.get(given.owner, 0.0)
    if not given.max_queue_seconds or not tokens_per_second:
        return 0.0
    others = [n for owner, n in queued_by_owner.items() if owner != given.owner]

    def seconds_until_done(n_tokens: float) -> float:
        shared = sum(min(each, n_tokens) for each in others)
        return (n_tokens + shared) / tokens_per_second

    # A batch that is too large for an empty queue has room once nothing is queued.
    largest = given.max_queue_seconds * tokens_per_second
    seconds = seconds_until_done(queued + min(given.n_tokens, largest))
    excess = max(seconds - given.max_queue_seconds, 0.0)
    # This is 0 if the owner itself has nothing queued.
    return min(excess, seconds_until_done(queued))
