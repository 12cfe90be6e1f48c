"""Make one attempt at one upstream: send the request, read and check the answer.

An attempt uses one connection and sends the request once. There is one exception: if a
reused connection turns out to be closed, a request that may be repeated is sent again
on a fresh connection. `AttemptError` says whether a byte of the request may have been
sent; the request is known not to have run only if none was.
"""

import contextlib
import functools
import http.client
import io
import math
from collections.abc import Callable, Iterator
from typing import Final, Protocol

import attrs
import eliot
import eventlet
import urllib3.exceptions

from bilberrydrum import clock, counters, reasons
from bilberrydrum.http1 import errors
from bilberrydrum.requests import (
    answer_memory,
    answers,
    connections,
    model,
    outgoing_requests,
    watch,
)

# Longest time for connecting to an upstream, in seconds.
CONNECT_SECONDS: Final = 2.0
# A reused connection that the upstream had dropped is reset within one round trip after
# the request was sent. If it breaks later than this, in seconds, the upstream may have
# run a part of the request, so the request is not sent again.
STALE_SECONDS: Final = 0.25
# Largest body of an answer, in bytes.
MAX_ANSWER_BYTES: Final = 64 * 1024 * 1024
# Longest time from the first byte of an answer to the end of its head, in seconds, if
# the request may be sent elsewhere. Heads fit into one packet; callers abandon a stream
# after two seconds.
HEAD_SECONDS: Final = 1.0
_READ_BYTES: Final = 64 * 1024
# Statuses after which another instance of the service may succeed.
_FAILED_STATUSES: Final = frozenset({502, 503, 504})


class AttemptError(Exception):
    """The attempt ended without a complete, successful answer."""

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
        # The complete answer by which the upstream reported its failure, if any.
        self.answer = answer
        # This process decided not to send the request, or to cancel it; the upstream
        # did not fail.
        self.is_refusal = is_refusal


@attrs.frozen
class Resources:
    """The connections, client checks and memory that a process's attempts share."""

    pool: connections.ConnectionPool
    clients: watch.ClientWatch
    # Shared by all answers that the process receives at the same time.
    memory: answer_memory.AnswerMemory = attrs.field(factory=answer_memory.AnswerMemory)


@contextlib.contextmanager
def bounded_wait(
    resources: Resources,
    outgoing: outgoing_requests.Outgoing,
    max_wait: float = math.inf,
) -> Iterator[None]:
    """Raise `AttemptError` in the block at the deadline, or when the client is gone.

    `max_wait` limits the time in the block, in seconds, in addition to the deadline.
    """
    remaining = max(0.0, outgoing.deadline - clock.now())
    timeout = eventlet.Timeout(min(remaining, max_wait))
    try:
        with resources.clients.ending_with_client(client_check(outgoing)):
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


def client_check(outgoing: outgoing_requests.Outgoing) -> Callable[[], bool]:
    """Return the check that says whether `outgoing` is to be cancelled."""
    if not outgoing.is_idempotent:
        # A request that must not run twice is not cancelled: its result is kept for the
        # client's retry.
        return model.never_gone
    return outgoing.is_client_gone


def open_answer(
    pool: connections.ConnectionPool, address: str, outgoing: outgoing_requests.Outgoing
) -> tuple[connections.Connection, answers.Answer]:
    """Send `outgoing`; return the connection, and the answer of which the head is read.

    Raises
    ------
    AttemptError
        If no head of an answer was received.
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
        # An answer to this request may still arrive on the connection. If the
        # connection were reused, the next request would read it.
        taken.connection.close()
        raise
    return _resend(pool, address, outgoing)


def _resend(
    pool: connections.ConnectionPool, address: str, outgoing: outgoing_requests.Outgoing
) -> tuple[connections.Connection, answers.Answer]:
    """Send `outgoing` once more, on a fresh connection.

    An upstream, or a device on the network path, may drop an idle connection without
    closing it; the next request on it is reset. If that counted as a failure of the
    upstream, it would use up one of the request's attempts and put a healthy upstream
    into backoff. The other idle connections to the upstream have most likely been
    dropped as well, so they are closed.
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
    pool: connections.ConnectionPool, address: str, outgoing: outgoing_requests.Outgoing
) -> connections.TakenConnection:
    remaining = outgoing.deadline - clock.now()
    if remaining <= 0:
        raise AttemptError(reasons.Reason.UPSTREAM_TIMEOUT, False)
    try:
        return pool.take(
            address,
            timeout=min(CONNECT_SECONDS, remaining),
            fresh=not (outgoing.is_idempotent and outgoing.may_use_kept),
        )
    except (OSError, urllib3.exceptions.HTTPError) as error:
        raise AttemptError(reasons.Reason.CONNECT_FAILED, False, str(error)) from error


def _exchange(
    connection: connections.Connection, outgoing: outgoing_requests.Outgoing
) -> answers.Answer:
    # Connecting may have taken long, and the process may have been suspended since the
    # request was admitted or claimed. Meanwhile another bundle may have come into
    # force, or other gateways may consider the claim lost; then the request must not be
    # sent. This is therefore checked after connecting, immediately before the send.
    refusal = outgoing.find_refusal()
    if refusal is not None:
        raise AttemptError(refusal, False, "request was not sent", is_refusal=True)
    outgoing.sent_at = clock.now()
    try:
        connection.request(
            outgoing.method,
            outgoing.target,
            body=outgoing.body or None,
            headers=outgoing.headers,
        )
        answer = connection.getresponse(
            HEAD_SECONDS if outgoing.may_repeat else math.inf
        )
    except errors.MessageError as error:
        # Whatever these bytes are, they do not say what became of the request. A part
        # of a head could lack the length, and its body would seem to be empty.
        raise _without_head(error, outgoing, connection) from error
    except (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError) as error:
        raise AttemptError(
            reasons.Reason.CONNECTION_RESET, True, repr(error)
        ) from error
    answer.request_id = outgoing.request_id
    answer.address = f"{connection.host}:{connection.port}"
    _check_id(answer, outgoing)
    return answer


def _without_head(
    error: errors.MessageError,
    outgoing: outgoing_requests.Outgoing,
    connection: connections.Connection,
) -> AttemptError:
    """Return the failure of an attempt whose answer has no whole head."""
    reason = reasons.Reason.CONNECTION_RESET
    if not isinstance(error, errors.NoMessageError):
        address = f"{connection.host}:{connection.port}"
        _report_malformed("head", error, outgoing.request_id, address)
        if isinstance(error, errors.IncompleteError):
            reason = reasons.Reason.ANSWER_TRUNCATED
    return AttemptError(reason, True, repr(error))


def _report_malformed(
    part: str, error: errors.MessageError, request_id: str, address: str
) -> None:
    counters.malformed("upstream", part, error.fault)
    eliot.log_message(
        message_type="requests:answer-refused",
        request_id=request_id,
        address=address,
        part=part,
        fault=error.fault.value,
        detail=str(error),
    )


def _check_id(answer: answers.Answer, outgoing: outgoing_requests.Outgoing) -> None:
    given = answer.headers.get(outgoing.id_header)
    if given is not None and given != outgoing.request_id:
        raise AttemptError(
            reasons.Reason.ANSWER_MISMATCHED,
            True,
            f"expected an answer to this request, got one to {given!r}",
        )


def is_answer_to(
    outgoing: outgoing_requests.Outgoing,
    connection: connections.Connection,
    answer: answers.Answer,
) -> bool:
    """Return whether `answer` is certainly the one to `outgoing`.

    It is if it carries the request's id, or if its connection has carried no other
    request. Otherwise it may be a second answer to an earlier request, and its
    statement that the request did not run proves nothing about this one.
    """
    return outgoing.id_header in answer.headers or not connection.was_kept


def read_parts(answer: answers.Answer) -> Iterator[bytes]:
    """Yield the parts of the answer's body as they are received.

    Raises
    ------
    AttemptError
        If the body is truncated or malformed. If the iterator ends without this error,
        the body is complete, except that an answer without length or chunks may lack
        its end after a crash (see `answers.Answer.is_framed`).
    """
    try:
        while part := answer.read1(_READ_BYTES):
            yield part
    except errors.MessageError as error:
        _report_malformed("body", error, answer.request_id, answer.address)
        raise AttemptError(
            reasons.Reason.ANSWER_TRUNCATED, True, repr(error)
        ) from error
    except OSError as error:
        raise AttemptError(
            reasons.Reason.ANSWER_TRUNCATED, True, repr(error)
        ) from error


def read_body(memory: answer_memory.AnswerMemory, answer: answers.Answer) -> bytes:
    """Return the complete body of an answer.

    Raises
    ------
    AttemptError
        If the body is truncated, malformed or too large.
    """
    # Its value is the body itself, not a copy.
    buffer = io.BytesIO()
    with memory.share(functools.partial(buffer.truncate, 0)) as share:
        try:
            for part in read_parts(answer):
                share.check()
                buffer.write(part)
                _check_size(buffer.tell())
                share.resize(buffer.tell())
            share.check()
        except answer_memory.AnswerDroppedError as error:
            raise dropped(error) from error
        return buffer.getvalue()


def dropped(error: answer_memory.AnswerDroppedError) -> AttemptError:
    """Return the failure of an attempt whose answer took too much memory."""
    counters.malformed("upstream", "body", errors.Fault.TOO_LARGE)
    return AttemptError(reasons.Reason.UPSTREAM_ERROR, True, str(error))


def _check_size(n_bytes: int) -> None:
    if n_bytes > MAX_ANSWER_BYTES:
        counters.malformed("upstream", "body", errors.Fault.TOO_LARGE)
        raise AttemptError(
            reasons.Reason.UPSTREAM_ERROR,
            True,
            f"answer too large: got {n_bytes} bytes or more, expected at most"
            f" {MAX_ANSWER_BYTES}",
        )


class Endpoint(Protocol):
    """The upstream that an attempt is sent to."""

    @property
    def upstream_id(self) -> str:
        """Name of the upstream."""

    @property
    def address(self) -> str:
        """Address of the upstream, ``IP:port``."""


def call(
    resources: Resources,
    upstream: Endpoint,
    outgoing: outgoing_requests.Outgoing,
) -> model.ApplicationAnswer:
    """Make one attempt and return the complete answer.

    Raises
    ------
    AttemptError
        If there is no complete answer, or if it reports that the service failed.
    """
    with bounded_wait(resources, outgoing):
        connection, answer = open_answer(resources.pool, upstream.address, outgoing)
        try:
            body = _read_complete(resources.memory, answer, outgoing)
        except BaseException:
            connection.close()
            raise
        is_named = outgoing.id_header in answer.headers
        is_certain = is_answer_to(outgoing, connection, answer)
        connections.keep_or_close(
            resources.pool, upstream.address, connection, answer, is_named
        )
    headers = outgoing_requests.end_to_end_headers(answer.headers)
    complete = model.ApplicationAnswer(
        answer.status, headers, body, upstream.upstream_id, is_named, is_certain
    )
    if outgoing.is_idempotent and answer.status in _FAILED_STATUSES:
        detail = f"status {answer.status}"
        raise AttemptError(reasons.Reason.UPSTREAM_ERROR, True, detail, answer=complete)
    return complete


def _read_complete(
    memory: answer_memory.AnswerMemory,
    answer: answers.Answer,
    outgoing: outgoing_requests.Outgoing,
) -> bytes:
    if not answer.is_framed and not outgoing.accepts_unframed:
        # Such a body ends when the connection closes, which looks the same whether the
        # upstream has sent all of it or has crashed.
        raise AttemptError(
            reasons.Reason.ANSWER_TRUNCATED,
            True,
            "expected an answer with a length or chunks, got neither",
        )
    return read_body(memory, answer)
