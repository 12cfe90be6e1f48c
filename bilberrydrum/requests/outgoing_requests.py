"""Build the HTTP request of one attempt from a call."""

import json
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from bilberrydrum import reasons
from bilberrydrum.requests import model

REQUEST_ID: Final = "X-Request-Id"
# Headers that apply to a single connection and are not forwarded (RFC 9110, 7.6.1).
HOP_BY_HOP_HEADERS: Final = frozenset(
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
NOT_FORWARDED_HEADERS: Final = HOP_BY_HOP_HEADERS | {
    "host",
    "content-length",
    "expect",
    "x-request-id",
}


@attrs.define
class Outgoing:
    """The HTTP request of one attempt."""

    # Unique for each attempt, so that a late answer to an earlier one is recognised.
    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    deadline: float
    is_idempotent: bool
    # Called immediately before the first byte is sent; returns why the request must not
    # be sent, or None.
    find_refusal: Callable[[], reasons.Reason | None]
    # Returns whether the client has stopped waiting for the answer.
    is_client_gone: Callable[[], bool] = model.never_gone
    # Time at which the first byte may have been sent, in seconds of `clock.now`; None:
    # no byte was sent.
    sent_at: float | None = None
    # Header by which the answer carries the id of this request.
    id_header: str = REQUEST_ID
    # Whether an answer without length and chunks is accepted. It counts as complete if
    # its connection is closed in order. For protocols that have such answers.
    accepts_unframed: bool = False
    # May be sent again to the same upstream if the upstream had dropped the reused
    # connection.
    may_repeat: bool = False
    # May be sent on a reused connection. False for a request that must not run twice:
    # if the upstream has dropped the connection, the request's outcome is unknown.
    may_use_kept: bool = True

    @property
    def has_begun(self) -> bool:
        """Whether a byte may have been sent."""
        return self.sent_at is not None


def end_to_end_headers(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    """Return an answer's headers without the hop-by-hop ones."""
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in NOT_FORWARDED_HEADERS
    )


def for_engine(
    call: model.ModelCall,
    attempt_id: str,
    find_refusal: Callable[[], reasons.Reason | None],
) -> Outgoing:
    """Return the request for `call` to an engine."""
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
    """Return the request for `call` to a plain service."""
    headers = {
        name: value
        for name, value in call.headers
        if name.lower() not in NOT_FORWARDED_HEADERS
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
