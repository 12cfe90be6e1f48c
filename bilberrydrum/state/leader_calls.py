"""Calls that the leader of a group answers, from any process.

A replica that does not lead answers `NotLeading` with the leader it knows of. The
caller follows such hints and moves on from replicas that are silent, until its time is
up. A call may therefore be carried out more than once, by the same leader or by two in
turn: every message served this way must be safe to repeat. The serving side is in
`leader_service`, apart: a gateway, which only calls, would otherwise import the whole
replica, a fifth of its time to start.
"""

from collections.abc import Sequence
from typing import Any, Final

import attrs
import eliot
import result

from bilberrydrum import clock, codec, counters, reasons, transport
from bilberrydrum.state import client, messages, targets

# Time for one replica to answer a call that needs no more than a commit. A commit takes
# some 20 ms across availability zones; the rest is for a slow disk.
TRY_SECONDS: Final = 0.7
# Pause before the next replica is asked when none is known to lead.
_SEARCH_SECONDS: Final = 0.05


@codec.register("state.not-leading")
@attrs.frozen
class NotLeading:
    """The asked replica does not lead."""

    leader_address: str = ""
    addresses: tuple[str, ...] = ()
    # It led when the call came, and the call may have had its effect.
    may_have_applied: bool = False


class LeaderCalls:
    """The calling side, in any process."""

    def __init__(
        self, carrier: transport.Transport, addresses: Sequence[str] = ()
    ) -> None:
        self._carrier = carrier
        self._targets = targets.Targets(addresses) if addresses else None

    def learn(self, addresses: Sequence[str]) -> None:
        """Take over the addresses of the group's processes."""
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
        try_seconds: float = TRY_SECONDS,
        request_id: str = "",
    ) -> result.Result[Any, client.StateError]:
        """Return the leader's answer to `message`.

        Parameters
        ----------
        message : object
            A registered message that is safe to repeat.
        timeout : float
            Seconds after which the call is given up.
        try_seconds : float
            Seconds for one replica to answer.
        request_id : str
            The request that waits for the answer, for the log; empty: none does.
        """
        began = clock.now()
        answer = self._call(message, began + timeout, try_seconds)
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
        self, message: object, deadline: float, try_seconds: float
    ) -> result.Result[Any, client.StateError]:
        may_have_applied = False
        while self._targets is not None:
            remaining = deadline - clock.now()
            if remaining <= 0:
                break
            answer = self._try(message, min(try_seconds, remaining))
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
            else:
                return result.Ok(answer)
        return result.Err(
            client.StateError(reasons.Reason.STATE_UNAVAILABLE, may_have_applied)
        )

    def _try(self, message: object, seconds: float) -> Any:
        assert self._targets is not None
        address = self._targets.current
        answer = self._carrier.call(address, message, seconds)
        now = clock.now()
        if isinstance(answer, result.Err):
            if self._targets.current == address:
                self._targets.skip_current(now)
            # A message that could not be queued was not sent; waiting a little keeps
            # the loop from spinning on it.
            clock.sleep(_SEARCH_SECONDS)
            return None
        self._targets.record_answer(address)
        reply = answer.ok_value
        if isinstance(reply, NotLeading) and self._targets.current == address:
            self._targets.learn(reply.addresses)
            if not self._targets.follow_redirect(now, reply.leader_address):
                clock.sleep(_SEARCH_SECONDS)
        return reply
