"""Which gateway to try next, and when: a pure decision.

Gateways are tried in turn, beginning with the one that answered last. After a round in
which none answered, the tool waits as long as the gateways asked it to, or a little
longer each round, and begins anew until its time is up.
"""

from typing import Final

import attrs

FIRST_PAUSE_SECONDS: Final = 0.2
LONGEST_PAUSE_SECONDS: Final = 5.0
# Time that one attempt gets at least, if there is that much left.
LEAST_ATTEMPT_SECONDS: Final = 1.0


@attrs.frozen
class Begin:
    """A request is to be sent."""

    deadline: float


@attrs.frozen
class Missed:
    """The attempt got no answer that counts."""

    # Time the gateway asked to be left alone; 0: none was given.
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
    """The time is up."""


@attrs.frozen
class Done:
    """Nothing is left to do for this request."""


Event = Begin | Missed | Answered
Effect = Try | GiveUp | Done


class Rotation:
    """The gateways' order of use over the life of the tool."""

    def __init__(self, gateways: tuple[str, ...]) -> None:
        self._gateways = gateways
        self._index = 0
        self._deadline = 0.0
        self._n_missed = 0
        self._shortest_wait = 0.0

    def step(self, now: float, event: Event) -> Effect:
        """Return what to do after `event` at time `now`, in seconds."""
        if isinstance(event, Begin):
            self._deadline = event.deadline
            self._n_missed = 0
            self._shortest_wait = 0.0
            return self._try(now, 0.0)
        if isinstance(event, Answered):
            return Done()
        self._note_wait(event.retry_after_seconds)
        self._n_missed += 1
        self._index = (self._index + 1) % len(self._gateways)
        if self._n_missed % len(self._gateways):
            return self._try(now, 0.0)
        pause = self._pause()
        self._shortest_wait = 0.0
        return self._try(now, pause)

    def _try(self, now: float, pause: float) -> Effect:
        left = self._deadline - now - pause
        if left <= 0:
            return GiveUp()
        # A frozen gateway takes the request and never answers; it must leave time
        # for the others.
        n_left = len(self._gateways) - self._n_missed % len(self._gateways)
        share = max(left / n_left, LEAST_ATTEMPT_SECONDS)
        return Try(self._gateways[self._index], min(share, left), pause)

    def _note_wait(self, seconds: float) -> None:
        if seconds > 0 and not 0 < self._shortest_wait <= seconds:
            self._shortest_wait = seconds

    def _pause(self) -> float:
        if self._shortest_wait:
            return self._shortest_wait
        n_rounds = self._n_missed // len(self._gateways)
        return min(
            FIRST_PAUSE_SECONDS * 2.0 ** min(n_rounds - 1, 10), LONGEST_PAUSE_SECONDS
        )
