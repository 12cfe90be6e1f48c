"""The decisions of one process about the controller lease, free of I/O."""

import functools
from typing import Any, Final

import attrs

from bilberrydrum.state import controller_commands as commands

# Number of renewals in the length of a lease.
_RENEWALS_PER_LEASE: Final = 3
# Rate of polls while the holder renews its lease, all candidates together.
_POLLS_PER_SECOND: Final = 10


@attrs.frozen
class Timing:
    """Durations and margins, which are the same in all processes."""

    lease_seconds: float
    # The holder shortens its own lease by this fraction, to allow for clock drift.
    drift_margin: float
    # Longest time between sending an order and its arrival.
    order_flight_seconds: float


@attrs.frozen
class Due:
    """It is time to poll, renew or take over the lease."""


@attrs.frozen
class Answered:
    """The state group answered a command or query."""

    request: object
    # Monotonic time at which the request was first sent.
    sent_at: float
    state: commands.ControllerState


@attrs.frozen
class Unanswered:
    """No answer arrived in time."""


@attrs.frozen
class SendRequest:
    """Send `message`, a command or query, to the state group."""

    message: object


@attrs.define
class ControllerDecision:
    """Whether this process holds the lease, and what it sends to get or keep it."""

    process_id: str
    # Drawn at random at the start of the process.
    token: str
    timing: Timing
    # The fencing number under which this process holds the lease; 0: it does not.
    number: int = 0
    expires_at: float = float("-inf")
    # Time after which no order of an earlier holder can arrive.
    unfenced_from: float = float("inf")
    # Seconds until the next `Due`.
    delay: float = 0.0
    # Number and renewals of another holder as last seen, and the time since which
    # they have not changed.
    _observed: tuple[int, int] | None = None
    _observed_at: float = 0.0

    def step(self, now: float, event: object) -> list[Any]:
        """Handle `event` at time `now` and return the effects."""
        return _step(event, self, now)

    def fencing_number(self, now: float) -> int | None:
        """Return the fencing number for an order sent at `now`, or None."""
        return self.number if self.number and now < self.expires_at else None

    def may_order_unfenced(self, now: float) -> bool:
        """Return whether upstreams that ignore the number may be sent orders."""
        return self.fencing_number(now) is not None and now >= self.unfenced_from

    def next_request(self, now: float) -> list[Any]:
        """Return the request to send now."""
        if self.number:
            return [SendRequest(commands.RenewController(self.process_id, self.number))]
        return [SendRequest(commands.AskController())]

    def handle_answer(self, now: float, event: Answered) -> list[Any]:
        """Handle the state group's answer."""
        request = event.request
        if isinstance(request, commands.AskController):
            return self._observe_holder(now, event.state)
        if self._is_own(request, event.state):
            self._record_held(now, event)
        else:
            self._record_lost(now, event.state)
        return []

    def _is_own(self, request: Any, state: commands.ControllerState) -> bool:
        if state.holder != self.process_id:
            return False
        if isinstance(request, commands.RenewController):
            return state.number == request.number
        # An earlier incarnation of this process may have just acquired the lease. If
        # this one used the same number, upstreams would accept late orders of the
        # earlier incarnation as current ones.
        return state.token == self.token

    def _record_held(self, now: float, event: Answered) -> None:
        timing = self.timing
        if self.number != event.state.number:
            self.number = event.state.number
            # An upstream that ignores the number would carry out a late order of the
            # previous holder after a new one. After this time, the previous lease has
            # expired and the last order under it has arrived.
            self.unfenced_from = (
                now + timing.lease_seconds + timing.order_flight_seconds
            )
        # The lease counts from when the request was sent, because the time at which
        # the group committed it is not known here and can only be later.
        length = timing.lease_seconds * (1 - timing.drift_margin)
        self.expires_at = max(self.expires_at, event.sent_at + length)
        self._observed = None
        self.delay = timing.lease_seconds / _RENEWALS_PER_LEASE

    def _record_lost(self, now: float, state: commands.ControllerState) -> None:
        self.number = 0
        self.expires_at = float("-inf")
        self.unfenced_from = float("inf")
        self._record_observation(now, state)
        self.delay = self._takeover_seconds(state)

    def _observe_holder(self, now: float, state: commands.ControllerState) -> list[Any]:
        self._record_observation(now, state)
        lease_seconds = self._takeover_seconds(state)
        # A lease that was released, or never held, is free at once.
        until_over = self._observed_at + lease_seconds - now if state.holder else 0.0
        if until_over <= 0:
            seen = (state.number, state.n_renewals)
            length = self.timing.lease_seconds
            acquire = commands.AcquireController(
                self.process_id, self.token, *seen, length
            )
            return [SendRequest(acquire)]
        self.delay = until_over
        if state.silent_seconds < lease_seconds:
            # The holder has renewed recently. All processes together stay below a
            # fixed rate of polls, so that a large fleet does not overload the leader.
            self.delay = max(until_over, state.n_processes / _POLLS_PER_SECOND)
        return []

    def _record_observation(self, now: float, state: commands.ControllerState) -> None:
        seen = (state.number, state.n_renewals)
        if seen != self._observed:
            self._observed = seen
            # The wait counts from the arrival of the answer, because the renewal in it
            # was committed earlier.
            self._observed_at = now

    def _takeover_seconds(self, state: commands.ControllerState) -> float:
        # While the option is being changed, the holder may have a longer lease.
        return max(self.timing.lease_seconds, state.lease_seconds)


@functools.singledispatch
def _step(event: object, decision: ControllerDecision, now: float) -> list[Any]:
    raise TypeError(f"unknown event {type(event).__name__}")


@_step.register
def _(event: Due, decision: ControllerDecision, now: float) -> list[Any]:
    return decision.next_request(now)


@_step.register
def _(event: Answered, decision: ControllerDecision, now: float) -> list[Any]:
    return decision.handle_answer(now, event)


@_step.register
def _(event: Unanswered, decision: ControllerDecision, now: float) -> list[Any]:
    # The command may have been applied. If it was not, the lease expires.
    decision.delay = decision.timing.lease_seconds / (2 * _RENEWALS_PER_LEASE)
    return []
