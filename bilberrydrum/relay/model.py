"""A caller's request that is passed on, and what comes back."""

from collections.abc import Callable, Iterator

import attrs

from bilberrydrum import reasons
from bilberrydrum.requests import model as request_model


def never_refused() -> reasons.Reason | None:
    """Return that a request's sender still wants it."""
    return None


@attrs.frozen
class Inbound:
    """One request as it came in; its body is not looked into."""

    request_id: str
    host: str
    method: str
    # Path and query as the caller wrote them.
    target: str
    # The path that routes are chosen by.
    path: str
    headers: dict[str, str]
    body: bytes
    # When the caller stops waiting, in seconds of `clock.now`.
    deadline: float
    is_client_gone: Callable[[], bool] = request_model.never_gone
    # Its sender lets it run more than once, whatever its route says.
    may_run_again: bool = False
    # Asked right before each sending: why the sender does not want it any more, if so.
    find_refusal: Callable[[], reasons.Reason | None] = never_refused
    # As in `upstream_protocol.Attempt`.
    account: str | None = None


@attrs.frozen
class Answered:
    """An upstream's answer, passed on unchanged."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # The upstream's signature; empty: it gave none, or the answer does not name the
    # request and may be another one's.
    signature: str = ""
    # Upstreams that answered the request with a failure of their own, this answer
    # included.
    n_failures: int = 0


@attrs.frozen
class Streamed:
    """An upstream's stream that has begun."""

    headers: tuple[tuple[str, str], ...]
    # Whole events, each as soon as it is there; raises if the stream breaks off.
    parts: Iterator[bytes]


@attrs.frozen
class Refused:
    """There is no upstream's answer."""

    reason: reasons.Reason
    # Whether an upstream may have run the request.
    may_have_run: bool
    # When coming back is worthwhile, in seconds.
    retry_after_seconds: float = 0.0
    is_timeout: bool = False
    # Upstreams that answered the request with a failure of their own.
    n_failures: int = 0
    # Coming back is in vain; whether it has run is not said.
    is_final: bool = False
