"""Serve requests that may run at most once.

The idempotency key is claimed in the state group before the first byte is sent, and the
result is recorded before the caller is answered. If a request is refused before its key
is claimed, the outcome is not-run only if the state group shows that the request has
not run through another gateway.
"""

from collections.abc import Callable
from typing import Any, Final

import attrs
import result

from bilberrydrum import clock, problems, reasons
from bilberrydrum.http import edge
from bilberrydrum.requests import claims as request_claims
from bilberrydrum.requests import claims_state
from bilberrydrum.state import client

# Sends the request. The argument is the claim, or None if there is no key.
Send = Callable[[request_claims.Held | None], edge.Response]

# Refusals for lack of capacity. They do not concern the caller's rights, so a recorded
# answer may be returned instead.
_CAPACITY_REASONS: Final = frozenset(
    {reasons.Reason.QUEUE_FULL, reasons.Reason.DEADLINE_UNREACHABLE}
)
# Retry-After if all keys are used. It is long, as only an operator can make room.
_KEYS_FULL_SECONDS: Final = 60.0


@attrs.frozen
class Prepared:
    """A request that has been checked and may be sent."""

    send: Send
    # Deadline of the request, in seconds of `clock.now`.
    deadline: float


def run(
    claims: request_claims.Claims,
    caller: str,
    key: str,
    digest: str,
    prepared: Prepared,
) -> edge.Response:
    """Claim the key and send the request, or replay the recorded answer of the key."""
    timeout = max(0.0, prepared.deadline - clock.now())
    claimed = claims.claim(caller, key, digest, timeout)
    if isinstance(claimed, result.Err):
        raise state_unavailable(claimed.err_value)
    held = claimed.ok_value
    if not isinstance(held, request_claims.Held):
        return _answer_known(held)
    return _send_held(claims, held, prepared.send)


def _send_held(
    claims: request_claims.Claims, held: request_claims.Held, send: Send
) -> edge.Response:
    try:
        response = send(held)
    except problems.ProblemError as error:
        if error.problem.outcome == problems.OUTCOME_NOT_RUN:
            recorded = claims.release(held)
            if recorded is not None:
                return _replay(recorded)
            raise
        claims.finish(held, None)
        raise
    except BaseException:
        claims.finish(held, None)
        raise
    assert isinstance(response.body, bytes)
    claims.finish(
        held,
        claims_state.Result(response.status, tuple(response.headers), response.body),
    )
    return response


def refuse(
    claims: request_claims.Claims,
    caller: str,
    key: str,
    digest: str,
    error: problems.ProblemError,
) -> edge.Response:
    """Refuse a request that was not claimed, with the outcome that its key implies.

    The refusal concerns this attempt only. An earlier attempt through another gateway
    may have run, and then the outcome not-run would be wrong. If the refusal is for
    lack of capacity, a recorded answer is replayed instead.
    """
    found = claims.find(caller, key)
    if isinstance(found, result.Err):
        raise _with_outcome(error, problems.OUTCOME_UNKNOWN)
    known = found.ok_value
    if known is None:
        raise error
    if not isinstance(known, request_claims.Recorded):
        raise _with_outcome(error, problems.OUTCOME_UNKNOWN)
    if error.problem.reason in _CAPACITY_REASONS:
        if known.claim.digest != digest:
            raise _refusal(reasons.Reason.KEY_REUSED)
        return _replay(known.claim)
    raise _with_outcome(error, _outcome(known.claim))


def _with_outcome(error: problems.ProblemError, outcome: str) -> problems.ProblemError:
    return problems.ProblemError(attrs.evolve(error.problem, outcome=outcome))


def state_unavailable(error: client.StateError) -> problems.ProblemError:
    """Return the refusal of a request whose key could not be looked up."""
    # This attempt was not sent, but an earlier one may have run.
    unknown = problems.ProblemError(error.to_problem())
    return _with_outcome(unknown, problems.OUTCOME_UNKNOWN)


def show(key: str, known: request_claims.Claimed | None) -> edge.Response:
    """Return the answer to ``GET /v1/requests/{key}``."""
    if known is None:
        raise edge.refuse(404, reasons.Reason.NOT_FOUND, f"key {key!r}")
    if isinstance(known, request_claims.Recorded):
        claim = known.claim
        document: dict[str, Any] = {
            "key": key,
            "state": claim.state,
            "outcome": _outcome(claim),
        }
        if claim.result is not None:
            document["status"] = claim.result.status
        return edge.Response.of_json(document)
    if isinstance(known, request_claims.Refusal):
        state = known.reason.value
    else:
        state = reasons.Reason.KEY_IN_PROGRESS.value
    return edge.Response.of_json(
        {"key": key, "state": state, "outcome": problems.OUTCOME_UNKNOWN}
    )


def _outcome(claim: claims_state.Claim) -> str:
    if claim.state == claims_state.STATE_DONE:
        return problems.OUTCOME_COMPLETED
    return problems.OUTCOME_UNKNOWN


def _answer_known(known: request_claims.Claimed) -> edge.Response:
    if isinstance(known, request_claims.Recorded):
        return _replay(known.claim)
    if isinstance(known, request_claims.InProgress):
        raise edge.refuse(
            409,
            reasons.Reason.KEY_IN_PROGRESS,
            outcome=problems.OUTCOME_UNKNOWN,
            retry_after_seconds=known.retry_after_seconds,
        )
    assert isinstance(known, request_claims.Refusal)
    raise _refusal(known.reason)


def _refusal(reason: reasons.Reason) -> problems.ProblemError:
    if reason is reasons.Reason.KEY_REUSED:
        return edge.refuse(422, reason, "the key was used for another request")
    if reason is reasons.Reason.KEY_EXPIRED:
        return edge.refuse(
            410,
            reason,
            "the key is older than the time for which keys are kept",
            outcome=problems.OUTCOME_UNKNOWN,
        )
    if reason is reasons.Reason.INVALID_REQUEST:
        return edge.refuse(400, reason, "the key's time is in the future")
    return edge.refuse(
        503,
        reason,
        "no room for more keys that contain no time",
        retry_after_seconds=_KEYS_FULL_SECONDS,
    )


def _replay(claim: claims_state.Claim) -> edge.Response:
    """Return the recorded answer, or refuse if only the outcome is known."""
    if claim.result is None:
        raise edge.refuse(
            409, reasons.Reason.OUTCOME_UNKNOWN, outcome=problems.OUTCOME_UNKNOWN
        )
    if not claim.result.is_kept:
        raise edge.refuse(
            409,
            reasons.Reason.RESULT_NOT_KEPT,
            f"the request ended with status {claim.result.status}",
            outcome=problems.OUTCOME_COMPLETED,
        )
    headers = [*claim.result.headers, ("Idempotency-Replayed", "true")]
    return edge.Response(claim.result.status, claim.result.body, headers)
