"""The types of a relayed request and of its outcomes."""

from collections.abc import Callable, Iterator

import attrs

from bilberrydrum import reasons
from bilberrydrum.requests import model as request_model


def never_refused() -> reasons.Reason | None:
    """Allow the request to be sent, the default of `find_refusal`."""
    return None


@attrs.frozen
class Inbound:
    """One request as it was received; its body is not parsed."""

    request_id: str
    host: str
    method: str
    # Path and query as the caller sent them.
    target: str
    # The path by which the route is chosen.
    path: str
    headers: dict[str, str]
    body: bytes
    # When the caller stops waiting, in seconds of `clock.now`.
    deadline: float
    is_client_gone: Callable[[], bool] = request_model.never_gone
    # The sender allows it to run more than once, even if its route is not idempotent.
    may_run_again: bool = False
    # Called immediately before each send; returns why the request must not be sent any
    # more, or None.
    find_refusal: Callable[[], reasons.Reason | None] = never_refused
    # Account that the request belongs to; see `upstream_protocol.Attempt`.
    account: str | None = None


@attrs.frozen
class Answered:
    """An upstream's answer, forwarded unchanged."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # The upstream's signature. Empty if the upstream sent none, or if the answer does
    # not carry the request's id and so may belong to another request.
    signature: str = ""
    # Upstreams that answered the request with status 500, including this answer.
    n_failures: int = 0


@attrs.frozen
class Streamed:
    """An upstream's stream of which the head has been received."""

    headers: tuple[tuple[str, str], ...]
    # Complete events, each as soon as it is received; raises if the stream breaks off.
    parts: Iterator[bytes]


@attrs.frozen
class Refused:
    """The request was refused: no upstream's answer can be forwarded."""

    reason: reasons.Reason
    # Whether an upstream may have run the request.
    may_have_run: bool
    # Time after which the caller may retry, in seconds; 0: it is given no such time.
    retry_after_seconds: float = 0.0
    is_timeout: bool = False
    # Upstreams that answered the request with status 500.
    n_failures: int = 0
    # A retry would be refused as well. Such a refusal does not say whether the request
    # has run.
    is_final: bool = False
