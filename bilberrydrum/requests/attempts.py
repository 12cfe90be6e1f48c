"""One attempt at one upstream: what goes out, what comes back, and what it means.

An attempt uses one connection and sends a request once; only if a kept connection turns
out to be closed, a request that may be repeated is sent again on a fresh one. Its error
tells whether a byte may have gone out: only when none has is the request known not to
have run.
"""

import contextlib
import http.client
import math
from collections.abc import Generator, Iterator
from typing import Any, Final, Protocol

import attrs
import eventlet
import urllib3.exceptions

from bilberrydrum import clock, reasons
from bilberrydrum.requests import (
    connections,
    events,
    model,
    outgoing_requests,
    watch,
)

# Time that connecting to an upstream may take.
CONNECT_SECONDS: Final = 2.0
# A stream that has begun and stops for longer than a swap of weights takes is one of an
# engine that hangs. It is broken off, so that another engine can go on.
STALL_SECONDS: Final = 20.0
# A kept connection that the upstream had dropped is reset within a round trip of the
# sending; what breaks later than this, in seconds, may be a run that was cut short.
STALE_SECONDS: Final = 0.25
# An idle connection is given up this long before the upstream says that it closes it.
KEEP_ALIVE_MARGIN_SECONDS: Final = 1.0
# Largest answer of a plain service.
MAX_ANSWER_BYTES: Final = 64 * 1024 * 1024
_READ_BYTES: Final = 64 * 1024
# Statuses by which a service says that another one might do better.
_FAILED_STATUSES: Final = frozenset({502, 503, 504})


class AttemptError(Exception):
    """The attempt gave no whole answer."""

    def __init__(
        self,
        reason: reasons.Reason,
        may_have_run: bool,
        detail: str = "",
        retry_after_seconds: float = 0.0,
        answer: model.ApplicationAnswer | None = None,
        is_refusal: bool = False,
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.may_have_run = may_have_run
        self.detail = detail
        self.retry_after_seconds = retry_after_seconds
        # A whole answer by which the upstream says that it failed.
        self.answer = answer
        # It was decided here not to send, or not to go on; no fault of the upstream's.
        self.is_refusal = is_refusal


@attrs.frozen
class Means:
    """What attempts are made with."""

    pool: connections.Connections
    clients: watch.Watch


@contextlib.contextmanager
def waiting(
    means: Means, outgoing: outgoing_requests.Outgoing, patience: float = math.inf
) -> Iterator[None]:
    """End the block with an error at the deadline, or when the client is gone.

    `patience` is the longest time to wait, in seconds, whatever the deadline.
    """
    remaining = max(0.0, outgoing.deadline - clock.now())
    timeout = eventlet.Timeout(min(remaining, patience))
    is_client_gone = outgoing.is_client_gone
    if not outgoing.is_idempotent:
        # What may run once only is not broken off: its result is kept for the retry.
        is_client_gone = model.never_gone
    try:
        with means.clients.watching(is_client_gone):
            yield
    except watch.ClientGoneError as error:
        raise AttemptError(
            reasons.Reason.CALLER_GONE, outgoing.has_begun, is_refusal=True
        ) from error
    except eventlet.Timeout as error:
        if error is not timeout:
            raise
        raise AttemptError(
            reasons.Reason.UPSTREAM_TIMEOUT, outgoing.has_begun
        ) from error
    finally:
        timeout.cancel()


def open_answer(
    pool: connections.Connections, address: str, outgoing: outgoing_requests.Outgoing
) -> tuple[connections.Connection, Any]:
    """Send `outgoing` and return the connection and the answer's head.

    Raises
    ------
    AttemptError
        If there is no answer.
    """
    taken = _connect(pool, address, outgoing)
    sent_at = clock.now()
    try:
        return taken.connection, _exchange(taken.connection, outgoing)
    except AttemptError as error:
        taken.connection.close()
        is_young = clock.now() - sent_at <= STALE_SECONDS
        is_reset = error.reason is reasons.Reason.CONNECTION_RESET
        if not (taken.is_kept and is_reset and is_young and outgoing.may_repeat):
            raise
    except BaseException:
        # What may still come belongs to this request; nobody else may read it.
        taken.connection.close()
        raise
    return _open_again(pool, address, outgoing)


def _open_again(
    pool: connections.Connections, address: str, outgoing: outgoing_requests.Outgoing
) -> tuple[connections.Connection, Any]:
    """Send `outgoing` once more, on a fresh connection.

    An upstream, or something on the way to it, may drop an idle connection without a
    word; what is sent next on it is reset. Taken for a failure of the upstream, it
    would use up one of the request's attempts and have the upstream passed over. The
    others that are kept have most likely been dropped as well.
    """
    pool.forget(address)
    try:
        taken = _connect(pool, address, outgoing)
    except AttemptError as error:
        raise AttemptError(error.reason, True, error.detail) from error
    try:
        return taken.connection, _exchange(taken.connection, outgoing)
    except BaseException:
        taken.connection.close()
        raise


def _connect(
    pool: connections.Connections, address: str, outgoing: outgoing_requests.Outgoing
) -> connections.Taken:
    remaining = outgoing.deadline - clock.now()
    if remaining <= 0:
        raise AttemptError(reasons.Reason.UPSTREAM_TIMEOUT, False)
    try:
        return pool.take(
            address,
            timeout=min(CONNECT_SECONDS, remaining),
            fresh=not (outgoing.is_idempotent and outgoing.uses_kept),
        )
    except (OSError, urllib3.exceptions.HTTPError) as error:
        raise AttemptError(reasons.Reason.CONNECT_FAILED, False, str(error)) from error


def _exchange(
    connection: connections.Connection, outgoing: outgoing_requests.Outgoing
) -> Any:
    # Connecting may have taken long, and the process may have been stopped since the
    # request was admitted or claimed. Once another bundle may be in force, or the claim
    # may be held for lost by other gateways, the request must not go out any more; so
    # this is asked with the connection in hand.
    refusal = outgoing.find_refusal()
    if refusal is not None:
        raise AttemptError(refusal, False, "not sent", is_refusal=True)
    outgoing.sent_at = clock.now()
    try:
        connection.request(
            outgoing.method,
            outgoing.target,
            body=outgoing.body or None,
            headers=outgoing.headers,
            preload_content=False,
            decode_content=False,
        )
        answer = connection.getresponse()
    except (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError) as error:
        raise AttemptError(
            reasons.Reason.CONNECTION_RESET, True, repr(error)
        ) from error
    _check_id(answer, outgoing)
    return answer


def _check_id(answer: Any, outgoing: outgoing_requests.Outgoing) -> None:
    given = answer.headers.get(outgoing.id_header)
    if given is not None and given != outgoing.request_id:
        raise AttemptError(
            reasons.Reason.ANSWER_MISMATCHED, True, f"answer for {given!r}"
        )


def read_parts(answer: Any) -> Iterator[bytes]:
    """Yield the answer's body as it comes; it has ended whole when this ends.

    Raises
    ------
    AttemptError
        If the body ends early.
    """
    try:
        while part := answer.read1(_READ_BYTES):
            yield part
    except (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError) as error:
        raise AttemptError(
            reasons.Reason.ANSWER_TRUNCATED, True, repr(error)
        ) from error


def is_framed(answer: Any) -> bool:
    """Tell whether the answer itself says where it ends, by a length or by chunks.

    Any other one ends with its connection. A length that is no number is none.
    """
    encoding = answer.headers.get("Transfer-Encoding", "").lower()
    return encoding == "chunked" or answer.length_remaining is not None


def settle(
    pool: connections.Connections,
    address: str,
    connection: connections.Connection,
    answer: Any,
    is_named: bool,
) -> None:
    """Keep the connection if its answer named the request, else close it.

    An upstream that answers twice is told by the ids only; on a connection without
    them the second answer would be taken for that to the next request.
    """
    closes = answer.headers.get("Connection", "").lower() == "close"
    framed = "Content-Length" in answer.headers or "Transfer-Encoding" in answer.headers
    if is_named and framed and not closes:
        idle_seconds = _idle_seconds(answer.headers.get("Keep-Alive", ""))
        pool.keep(address, connection, idle_seconds)
    else:
        connection.close()


class Target(Protocol):
    """Where an attempt is sent."""

    @property
    def upstream_id(self) -> str:
        """Name of the upstream."""

    @property
    def address(self) -> str:
        """Address of the upstream, ``IP:port``."""


def call(
    means: Means,
    upstream: Target,
    outgoing: outgoing_requests.Outgoing,
) -> model.ApplicationAnswer:
    """Make one call and return its whole answer.

    Raises
    ------
    AttemptError
        If there is no whole answer.
    """
    with waiting(means, outgoing):
        connection, answer = open_answer(means.pool, upstream.address, outgoing)
        try:
            body = _read_whole(answer, outgoing)
        except BaseException:
            connection.close()
            raise
        is_named = outgoing.id_header in answer.headers
        settle(means.pool, upstream.address, connection, answer, is_named)
    headers = outgoing_requests.passed_back(answer.headers)
    whole = model.ApplicationAnswer(
        answer.status, headers, body, upstream.upstream_id, is_named
    )
    if outgoing.is_idempotent and answer.status in _FAILED_STATUSES:
        detail = f"status {answer.status}"
        raise AttemptError(reasons.Reason.UPSTREAM_ERROR, True, detail, answer=whole)
    return whole


def _read_whole(answer: Any, outgoing: outgoing_requests.Outgoing) -> bytes:
    has_no_body = outgoing.method == "HEAD" or answer.status in (204, 304)
    length = answer.headers.get("Content-Length")
    chunked = "chunked" in answer.headers.get("Transfer-Encoding", "").lower()
    is_framed = has_no_body or length is not None or chunked
    if not is_framed and not outgoing.accepts_unframed:
        # Only the closing of the connection would end this body, which looks the same
        # whether the upstream had said all or crashed.
        raise AttemptError(
            reasons.Reason.ANSWER_TRUNCATED, True, "no length and no chunks"
        )
    parts, n_bytes = [], 0
    for part in read_parts(answer):
        n_bytes += len(part)
        if n_bytes > MAX_ANSWER_BYTES:
            # It is held in memory until it is known to be whole.
            raise AttemptError(reasons.Reason.UPSTREAM_ERROR, True, "answer too large")
        parts.append(part)
    return b"".join(parts)


def stream(
    means: Means,
    upstream: Target,
    outgoing: outgoing_requests.Outgoing,
) -> Generator[model.StreamEvent, None, None]:
    """Yield the events of one engine's answer; the last is `Finished`.

    Closing the iterator closes the connection, which cancels the work at the engine.

    Raises
    ------
    AttemptError
        If the stream does not end whole.
    """
    with waiting(means, outgoing):
        connection, answer = open_answer(means.pool, upstream.address, outgoing)
    is_whole = False
    try:
        _check_status(answer)
        reader = events.StreamReader(outgoing.request_id, upstream.upstream_id)
        parts = read_parts(answer)
        # The first token may wait in the engine's queue for as long as the call may.
        patience = math.inf
        while True:
            with waiting(means, outgoing, patience):
                part = next(parts, None)
            if part is None:
                break
            patience = STALL_SECONDS
            yield from _feed(reader, part)
        if not reader.is_done:
            raise AttemptError(
                reasons.Reason.ANSWER_TRUNCATED, True, "ended without its marker"
            )
        is_whole = True
    finally:
        if is_whole:
            # Each event named the request, so nothing else can have been read.
            settle(means.pool, upstream.address, connection, answer, is_named=True)
        else:
            connection.close()


def _idle_seconds(keep_alive: str) -> float:
    """Return for how long an idle connection may be used again.

    An upstream that names its timeout closes the connection then; a request on its way
    at that moment is lost with unknown outcome, so the last second is not used.
    """
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return max(float(value) - KEEP_ALIVE_MARGIN_SECONDS, 0.0)
    return connections.MAX_IDLE_SECONDS


def _feed(reader: events.StreamReader, part: bytes) -> list[model.StreamEvent]:
    try:
        return reader.feed(part)
    except events.StreamError as error:
        raise AttemptError(error.reason, True, error.detail) from error


def _check_status(answer: Any) -> None:
    if answer.status == 200:
        return
    detail = f"status {answer.status}"
    if answer.status == 503:
        wait = _seconds(answer.headers.get("Retry-After", ""))
        # An engine that says so has not begun: the contract of its interface.
        raise AttemptError(reasons.Reason.UPSTREAM_BUSY, False, detail, wait)
    raise AttemptError(reasons.Reason.UPSTREAM_ERROR, True, detail)


def _seconds(text: str) -> float:
    return float(text) if text.isdecimal() else 1.0
