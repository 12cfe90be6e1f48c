"""Calls from any process to the leader of a group.

A replica that does not lead answers `NotLeading`, with the leader that it knows of. The
caller follows these hints, and tries another replica if one does not answer, until its
timeout. A call may therefore be carried out more than once, by one leader or by two
successive ones: every message that is served this way must be idempotent. The serving
side is in a module of its own, `leader_service`, because a gateway only calls. If it
had to import the replica too, that import would take a fifth of its start-up time.
"""

from collections.abc import Sequence
from typing import Any, Final

import attrs
import eliot
import result

from bilberrydrum import clock, codec, counters, reasons, transport
from bilberrydrum.state import client, messages, targets

# Seconds that one replica has to answer a call that needs at most a commit. A commit
# takes about 20 ms across availability zones; the rest allows for a slow disk.
ATTEMPT_SECONDS: Final = 0.7
# Seconds to wait before the next replica is called if no leader is known.
_SEARCH_PAUSE_SECONDS: Final = 0.05


@codec.register("state.not-leading")
@attrs.frozen
class NotLeading:
    """The answer of a replica that does not lead, or that lost its leader lease."""

    leader_address: str = ""
    addresses: tuple[str, ...] = ()
    # The replica led when it received the call, and the call may have taken effect.
    may_have_applied: bool = False


class NoEffect:
    """Base of answers of a leader which say that the call had no effect.

    An earlier attempt of the same call that was not answered may still arrive and take
    effect. The call then fails with an unknown outcome instead.
    """


class LeaderCalls:
    """Calls the leader of a group."""

    def __init__(
        self, carrier: transport.Transport, addresses: Sequence[str] = ()
    ) -> None:
        self._carrier = carrier
        self._targets = targets.Targets(addresses) if addresses else None

    def learn(self, addresses: Sequence[str]) -> None:
        """Replace the known addresses of the group's processes."""
        if not addresses:
            return
        if self._targets is None:
            self._targets = targets.Targets(addresses)
        else:
            self._targets.learn(addresses)

    def call(
        self,
        message: object,
        timeout: float,
        attempt_seconds: float = ATTEMPT_SECONDS,
        request_id: str = "",
    ) -> result.Result[Any, client.StateError]:
        """Return the leader's answer to `message`.

        Parameters
        ----------
        message : object
            An idempotent message, registered with the codec.
        timeout : float
            Seconds after which the call fails.
        attempt_seconds : float
            Seconds for one replica to answer.
        request_id : str
            Id of the request that waits for the answer, written to the log if the call
            fails; empty: a failure is not logged.
        """
        began = clock.now()
        answer = self._call(message, began + timeout, attempt_seconds)
        outcome = "answered" if answer.is_ok() else "not-answered"
        name = type(message).__name__
        histogram = counters.LEADER_CALL_SECONDS.labels(name, outcome)
        histogram.observe(clock.now() - began)
        if request_id and isinstance(answer, result.Err):
            eliot.log_message(
                message_type="call:failed",
                request_id=request_id,
                message=name,
                reason=answer.err_value.reason.value,
                detail=answer.err_value.detail,
                may_have_applied=answer.err_value.may_have_applied,
                asked_address=self._targets.current if self._targets else "",
                seconds=round(clock.now() - began, 3),
            )
        return answer

    def _call(
        self, message: object, deadline: float, attempt_seconds: float
    ) -> result.Result[Any, client.StateError]:
        may_have_applied = False
        while self._targets is not None:
            remaining = deadline - clock.now()
            if remaining <= 0:
                break
            answer = self._attempt(message, min(attempt_seconds, remaining))
            if isinstance(answer, messages.Failed):
                return result.Err(
                    client.StateError(
                        reasons.Reason.INTERNAL_ERROR, True, answer.detail
                    )
                )
            if answer is None:
                may_have_applied = True
            elif isinstance(answer, NotLeading):
                may_have_applied |= answer.may_have_applied
            elif may_have_applied and isinstance(answer, NoEffect):
                break
            else:
                return result.Ok(answer)
        return result.Err(
            client.StateError(reasons.Reason.STATE_UNAVAILABLE, may_have_applied)
        )

    def _attempt(self, message: object, seconds: float) -> Any:
        assert self._targets is not None
        address = self._targets.current
        answer = self._carrier.call(address, message, seconds)
        now = clock.now()
        if isinstance(answer, result.Err):
            if self._targets.current == address:
                self._targets.skip_current(now)
            # If the message could not be queued, `call` has returned at once. The
            # pause keeps the loop of attempts from spinning.
            clock.sleep(_SEARCH_PAUSE_SECONDS)
            return None
        self._targets.record_answer(address)
        reply = answer.ok_value
        if isinstance(reply, NotLeading) and self._targets.current == address:
            self._targets.learn(reply.addresses)
            if not self._targets.follow_redirect(now, reply.leader_address):
                clock.sleep(_SEARCH_PAUSE_SECONDS)
        return reply
