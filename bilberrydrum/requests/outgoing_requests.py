"""The request of one attempt, made of a call."""

import json
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from bilberrydrum import reasons
from bilberrydrum.requests import model

REQUEST_ID: Final = "X-Request-Id"
# Headers that belong to one connection and are not passed on (RFC 9110, 7.6.1).
HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that each attempt sets itself.
NOT_PASSED_ON: Final = HOP_HEADERS | {
    "host",
    "content-length",
    "expect",
    "x-request-id",
}


@attrs.define
class Outgoing:
    """The request of one attempt."""

    # Unlike any other attempt's, so that an answer to an earlier one is told apart.
    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    deadline: float
    is_idempotent: bool
    # Asked immediately before the first byte: why it must not go out, if so.
    find_refusal: Callable[[], reasons.Reason | None]
    # Tells whether nobody waits for the answer any more.
    is_client_gone: Callable[[], bool] = model.never_gone
    # When the first byte may have gone out, in seconds of `clock.now`; None: none has.
    sent_at: float | None = None
    # Header by which the answer names this request.
    id_header: str = REQUEST_ID
    # An answer without a length ends whole where its connection is closed in order.
    # Such answers are taken where the upstreams' protocol has them.
    accepts_unframed: bool = False
    # May be sent again to the same upstream if a kept connection was dropped.
    may_repeat: bool = False
    # May go out on a kept connection; one that was dropped loses what may run once.
    uses_kept: bool = True

    @property
    def has_begun(self) -> bool:
        """Whether a byte may have gone out."""
        return self.sent_at is not None


def passed_back(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    """Return an answer's headers without those of its connection alone."""
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in NOT_PASSED_ON
    )


def for_engine(
    call: model.ModelCall,
    attempt_id: str,
    find_refusal: Callable[[], reasons.Reason | None],
) -> Outgoing:
    """Return the request that asks an engine for `call`."""
    body = {
        "model": call.model,
        "prompt": call.prompt,
        "max_tokens": call.max_tokens,
        "stream": True,
        "priority": call.priority,
        "resume_token_ids": list(call.resume_token_ids),
        "adapter": call.adapter,
    }
    headers = {"Content-Type": "application/json", REQUEST_ID: attempt_id}
    return Outgoing(
        attempt_id,
        "POST",
        "/v1/completions",
        headers,
        json.dumps(body).encode(),
        call.deadline,
        call.is_idempotent,
        find_refusal,
        call.is_client_gone,
    )


def for_application(
    call: model.ApplicationCall,
    attempt_id: str,
    find_refusal: Callable[[], reasons.Reason | None],
) -> Outgoing:
    """Return the request that makes `call`."""
    headers = {
        name: value for name, value in call.headers if name.lower() not in NOT_PASSED_ON
    }
    headers[REQUEST_ID] = attempt_id
    return Outgoing(
        attempt_id,
        call.method,
        call.target,
        headers,
        call.body,
        call.deadline,
        call.is_idempotent,
        find_refusal,
        call.is_client_gone,
    )
