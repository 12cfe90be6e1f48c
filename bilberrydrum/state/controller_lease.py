"""The right to order upstreams about, as a pure decision of one process."""

import functools
from typing import Any, Final

import attrs

from bilberrydrum.state import controller_commands as commands

# Renewals per lease.
_RENEWALS: Final = 3
# Looks at a healthy holder, all candidates together.
_LOOKS_PER_SECOND: Final = 10


@attrs.frozen
class Timing:
    """Lengths of time, in seconds, that all processes have alike."""

    lease_seconds: float
    drift_margin: float
    # Longest time between sending an order and its arrival.
    order_flight_seconds: float


@attrs.frozen
class Due:
    """It is time to look, to renew or to take over."""


@attrs.frozen
class Answered:
    """The state group answered a command or query."""

    asked: object
    # When it was first sent.
    sent_at: float
    state: commands.ControllerState


@attrs.frozen
class Unanswered:
    """No answer came in time."""


@attrs.frozen
class Ask:
    """Send `message`, a command or query, to the state group."""

    message: object


@attrs.define
class ControllerDecision:
    """Whether this process holds the right, and what it does about it."""

    process_id: str
    # Drawn at random at the start of the process.
    token: str
    timing: Timing
    # The number held; 0: none.
    number: int = 0
    expires_at: float = float("-inf")
    # When an earlier holder's last order has surely arrived.
    unfenced_from: float = float("inf")
    # Seconds until the next `Due`.
    delay: float = 0.0
    # What was seen of another holder, and since when it has stood unchanged.
    _seen: tuple[int, int] | None = None
    _seen_at: float = 0.0

    def step(self, now: float, event: object) -> list[Any]:
        """Take `event` at time `now` and return the effects."""
        return _step(event, self, now)

    def fencing_number(self, now: float) -> int | None:
        """Return the number for an order sent at `now`; None: none may be sent."""
        return self.number if self.number and now < self.expires_at else None

    def may_order_unfenced(self, now: float) -> bool:
        """Tell whether upstreams that ignore the number may be given orders."""
        return self.fencing_number(now) is not None and now >= self.unfenced_from

    def plan(self, now: float) -> list[Any]:
        """Return what to send now."""
        if self.number:
            return [Ask(commands.RenewController(self.process_id, self.number))]
        return [Ask(commands.AskController())]

    def take(self, now: float, event: Answered) -> list[Any]:
        """Take the state group's answer."""
        asked = event.asked
        if isinstance(asked, commands.AskController):
            return self._watch(now, event.state)
        if self._is_mine(asked, event.state):
            self._hold(now, event)
        else:
            self._lose(now, event.state)
        return []

    def _is_mine(self, asked: Any, state: commands.ControllerState) -> bool:
        if state.holder != self.process_id:
            return False
        if isinstance(asked, commands.RenewController):
            return state.number == asked.number
        # An earlier life of this process may have taken the right a moment ago. Were
        # its number used again, its orders under way would pass for this one's.
        return state.token == self.token

    def _hold(self, now: float, event: Answered) -> None:
        timing = self.timing
        if self.number != event.state.number:
            self.number = event.state.number
            # An upstream that ignores the number would carry out an old order after a
            # new one. By then the old holder's lease and its last order have ended.
            self.unfenced_from = (
                now + timing.lease_seconds + timing.order_flight_seconds
            )
        # Counted from sending: when the group took the command isn't known here.
        length = timing.lease_seconds * (1 - timing.drift_margin)
        self.expires_at = max(self.expires_at, event.sent_at + length)
        self._seen = None
        self.delay = timing.lease_seconds / _RENEWALS

    def _lose(self, now: float, state: commands.ControllerState) -> None:
        self.number = 0
        self.expires_at = float("-inf")
        self.unfenced_from = float("inf")
        self._see(now, state)
        self.delay = self._lease_of(state)

    def _watch(self, now: float, state: commands.ControllerState) -> list[Any]:
        self._see(now, state)
        lease_seconds = self._lease_of(state)
        # A right that was given back, or never held, has no lease to wait out.
        until_over = self._seen_at + lease_seconds - now if state.holder else 0.0
        if until_over <= 0:
            seen = (state.number, state.n_renewals)
            length = self.timing.lease_seconds
            acquire = commands.AcquireController(
                self.process_id, self.token, *seen, length
            )
            return [Ask(acquire)]
        self.delay = until_over
        if state.silent_seconds < lease_seconds:
            # Nothing hints at a silent holder. In a fleet the candidates share the
            # looking, lest they keep the leader busy.
            self.delay = max(until_over, state.n_processes / _LOOKS_PER_SECOND)
        return []

    def _see(self, now: float, state: commands.ControllerState) -> None:
        seen = (state.number, state.n_renewals)
        if seen != self._seen:
            self._seen = seen
            # Counted from the answer: what it tells of was committed before.
            self._seen_at = now

    def _lease_of(self, state: commands.ControllerState) -> float:
        # The holder may run with another length while options are being changed.
        return max(self.timing.lease_seconds, state.lease_seconds)


@functools.singledispatch
def _step(event: object, decision: ControllerDecision, now: float) -> list[Any]:
    raise TypeError(f"unknown event {type(event).__name__}")


@_step.register
def _(event: Due, decision: ControllerDecision, now: float) -> list[Any]:
    return decision.plan(now)


@_step.register
def _(event: Answered, decision: ControllerDecision, now: float) -> list[Any]:
    return decision.take(now, event)


@_step.register
def _(event: Unanswered, decision: ControllerDecision, now: float) -> list[Any]:
    # The command may have been applied; the lease runs out if it was not.
    decision.delay = decision.timing.lease_seconds / (2 * _RENEWALS)
    return []
