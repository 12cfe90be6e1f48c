"""Decide which gateway to try next, and when. Pure.

Gateways are tried in turn, beginning with the last one that answered. After a round
without an answer, the tool waits for the shortest time that a gateway gave in
Retry-After. If none gave one, it waits a time that doubles with each round. Then the
next round begins, until the deadline.
"""

from typing import Final

import attrs

FIRST_PAUSE_SECONDS: Final = 0.2
MAX_PAUSE_SECONDS: Final = 5.0
# Minimum timeout of one attempt, unless the deadline is closer.
MIN_ATTEMPT_SECONDS: Final = 1.0


@attrs.frozen
class Begin:
    """A request is to be sent."""

    deadline: float


@attrs.frozen
class Failed:
    """The attempt got no answer, or a temporary refusal."""

    # Time from the gateway's Retry-After; 0 if it gave none.
    retry_after_seconds: float = 0.0


@attrs.frozen
class Answered:
    """The attempt got an answer."""


@attrs.frozen
class Try:
    """Send the request to this gateway, after a pause."""

    gateway: str
    timeout_seconds: float
    pause_seconds: float = 0.0


@attrs.frozen
class GiveUp:
    """The deadline has passed, or the next attempt would begin after it."""


@attrs.frozen
class Done:
    """Nothing is left to do for this request."""


Event = Begin | Failed | Answered
Effect = Try | GiveUp | Done


class Rotation:
    """The order in which one run of the tool tries the gateways."""

    def __init__(self, gateways: tuple[str, ...]) -> None:
        self._gateways = gateways
        self._index = 0
        self._deadline = 0.0
        self._n_failed = 0
        self._shortest_wait = 0.0

    def step(self, now: float, event: Event) -> Effect:
        """Return what to do after `event` at time `now`, in seconds."""
        if isinstance(event, Begin):
            self._deadline = event.deadline
            self._n_failed = 0
            self._shortest_wait = 0.0
            return self._try(now, 0.0)
        if isinstance(event, Answered):
            return Done()
        self._record_wait(event.retry_after_seconds)
        self._n_failed += 1
        self._index = (self._index + 1) % len(self._gateways)
        if self._n_failed % len(self._gateways):
            return self._try(now, 0.0)
        pause = self._pause()
        self._shortest_wait = 0.0
        return self._try(now, pause)

    def _try(self, now: float, pause: float) -> Effect:
        left = self._deadline - now - pause
        if left <= 0:
            return GiveUp()
        # A suspended gateway accepts the connection and never answers. So each attempt
        # gets only its share of the time, to leave enough for the other gateways.
        n_left = len(self._gateways) - self._n_failed % len(self._gateways)
        share = max(left / n_left, MIN_ATTEMPT_SECONDS)
        return Try(self._gateways[self._index], min(share, left), pause)

    def _record_wait(self, seconds: float) -> None:
        if seconds > 0 and not 0 < self._shortest_wait <= seconds:
            self._shortest_wait = seconds

    def _pause(self) -> float:
        if self._shortest_wait:
            return self._shortest_wait
        n_rounds = self._n_failed // len(self._gateways)
        return min(
            FIRST_PAUSE_SECONDS * 2.0 ** min(n_rounds - 1, 10), MAX_PAUSE_SECONDS
        )
