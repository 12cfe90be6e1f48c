"""The connections of the edge: read requests strictly, and refuse what is no request.

eventlet's WSGI server accepts connections and writes answers. Its connection handler is
extended here: `bilberrydrum.http1` reads heads and bodies, a request that exceeds a
limit is answered with a problem document and counted, and connections are closed after
their answer while the process drains.
"""

import contextlib
import http.client
import time
from typing import Any, Final

import eliot
import eventlet
import eventlet.wsgi

from bilberrydrum import counters, options, problems, reasons
from bilberrydrum.http import client_memory, edge
from bilberrydrum.http1 import errors, framing, reading, syntax

# Time that a client has to read the last answer on its connection, in seconds.
LINGER_SECONDS: Final = 1.0
# Most refused connections that are kept open for that time.
MAX_LINGERING: Final = 64
# Empty lines before a request that are skipped (RFC 9112, 2.2).
_MAX_EMPTY_LINES: Final = 1
_READ_BYTES: Final = 64 * 1024
_STATUSES_BY_FAULT: Final = {errors.Fault.TOO_LARGE: 431, errors.Fault.UNSUPPORTED: 501}
_REASONS_BY_FAULT: Final = {
    errors.Fault.TOO_LARGE: reasons.Reason.HEADERS_TOO_LARGE,
    errors.Fault.INCOMPLETE: reasons.Reason.HEAD_TRUNCATED,
}


def raw_answer(problem: problems.Problem) -> bytes:
    """Return the bytes of a complete HTTP answer that closes the connection."""
    body = problem.to_json()
    lines = [f"HTTP/1.1 {problem.status} {problem.reason.value}"]
    lines += [f"{name}: {value}" for name, value in problem.headers()]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode() + body


def linger(connection: Any) -> None:
    """Read what the client still sends, until it has read the answer and closes.

    If the socket were closed with unread input, the kernel would reset the connection,
    and the client would see the reset instead of the answer.
    """
    give_up_at = time.monotonic() + LINGER_SECONDS
    with contextlib.suppress(OSError):
        connection.settimeout(LINGER_SECONDS)
        connection.shutdown(1)
        while time.monotonic() < give_up_at and connection.recv(_READ_BYTES):
            # Reading does not switch tasks while there is input.
            eventlet.sleep(0)


class RequestBody(eventlet.wsgi.Input):  # type: ignore[misc]
    """The body of a request, as the WSGI application reads it."""

    def __init__(
        self,
        environ: dict[str, Any],
        extent: framing.Extent,
        limits: options.LimitOptions,
    ) -> None:
        """Take the place of eventlet's body in the WSGI environment."""
        replaced = environ["wsgi.input"]
        super().__init__(
            replaced.rfile,
            extent.n_bytes,
            replaced.get_socket(),
            wfile=replaced.wfile,
            wfile_line=replaced.wfile_line,
            chunked_input=extent.framing is framing.Framing.CHUNKS,
        )
        environ["wsgi.input"] = environ["eventlet.input"] = self
        self._environ = environ
        self._body = reading.Body(replaced.rfile, extent)
        self._limits = limits

    @property
    def is_complete(self) -> bool:
        """Whether all of the body was read."""
        return self._body.is_complete

    def read(self, length: int | None = None) -> bytes:
        """Return the next bytes as soon as there are any; none at the end.

        Raises
        ------
        http1.errors.MessageError
            If the body is malformed or ends early.
        """
        if self.should_send_hundred_continue and not self.is_complete:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True
        data = self._body.read1(length or _READ_BYTES)
        self.position += len(data)
        return data

    def discard(self, buffer_size: int = _READ_BYTES) -> None:
        """Read the rest of the body after the answer, so that another request can come.

        The connection is closed instead if the rest is no body, too large or too slow.
        """
        if edge.ENDS_CONNECTION in self._environ:
            return
        n_left = self._limits.max_body_bytes
        with (
            eventlet.Timeout(self._limits.read_timeout_seconds, False),
            contextlib.suppress(errors.MessageError, OSError),
        ):
            while n_left > 0 and (data := self.read(buffer_size)):
                n_left -= len(data)
        if not self.is_complete:
            self._environ[edge.ENDS_CONNECTION] = True


class LimitedProtocol(eventlet.wsgi.HttpProtocol):  # type: ignore[misc]
    """eventlet's connection handler, with strict reading and problem documents."""

    limits = options.LimitOptions()
    memory: client_memory.ClientMemory

    def __init__(self, conn_state: Any, server: Any) -> None:
        self._head_lines: list[bytes] = []
        self._extent = framing.Extent(framing.Framing.NONE)
        # Whether the client may still be sending when the connection is closed.
        self._has_input = False
        with self.memory.connection(conn_state[1]) as holding:
            self._holding = holding
            super().__init__(conn_state, server)

    def _read_request_line(self) -> bytes:
        """Read the head of the next request and return its first line.

        Returns no bytes if there is no request. Of a head that breaks off, nothing is
        used: it may lack the length of its body, or any other field.
        """
        for _ in range(1 + _MAX_EMPTY_LINES):
            if not self._has_first_byte():
                return b""
            # From here on, a shutdown of the server waits for the request.
            self.conn_state[2] = eventlet.wsgi.STATE_REQUEST
            lines = self._read_head()
            if lines is None:
                return b""
            if lines:
                self._head_lines = lines
                return lines[0]
        self._refuse(400, reasons.Reason.INVALID_REQUEST, "expected a request line")
        return b""

    def _has_first_byte(self) -> bool:
        """Wait for a request; return whether one begins before the idle timeout."""
        try:
            self.connection.settimeout(self.server.keepalive)
            with self._holding.waiting(client_memory.Phase.IDLE):
                begins = bool(self.rfile.peek(1))
            if self._holding.is_dropped:
                # A request that crossed this is not read, so that it is not run without
                # an answer.
                return False
            self.connection.settimeout(self.server.socket_timeout)
        except (OSError, ValueError):
            # Idle for too long, or closed by a shutdown of the server.
            return False
        return begins

    def _read_head(self) -> list[bytes] | None:
        """Return the lines of a head; None if it is not whole and was refused."""
        # The request line and the fields may each be as long as the limit; the edge
        # checks the exact sum of the fields.
        max_bytes = 2 * self.limits.max_header_bytes
        timeout = eventlet.Timeout(self.limits.read_timeout_seconds)
        try:
            with self._holding.waiting(client_memory.Phase.INPUT):
                return reading.read_head_lines(
                    self.rfile, max_bytes, self._holding.grow_to
                )
        except client_memory.MemoryFullError as error:
            self._refuse_for_memory(str(error))
        except errors.MessageError as error:
            if self._holding.is_dropped:
                self._refuse_for_memory("stalled")
            else:
                self._refuse_head(error)
        except OSError as error:
            self._refuse_head(errors.IncompleteError(str(error)))
        except eventlet.Timeout as error:
            if error is not timeout:
                raise
            self._refuse(408, reasons.Reason.READ_TIMEOUT)
        finally:
            timeout.cancel()
        return None

    def parse_request(self) -> bool:
        """Parse the head that was read; refuse the request if it is not well formed."""
        try:
            head = syntax.parse_request_head(self._head_lines)
            self._extent = framing.of_request(head)
        except errors.MessageError as error:
            self._refuse_head(error)
            return False
        self.requestline = self._head_lines[0].decode().rstrip()
        self.command = head.method
        self.path = head.target
        self.request_version = f"HTTP/1.{head.minor_version}"
        self.headers = http.client.HTTPMessage()
        for name, value in head.fields:
            self.headers[name] = value
        asked = syntax.list_of(head.fields, "connection")
        is_kept = head.minor_version == 1 or "keep-alive" in asked
        self.close_connection = "close" in asked or not is_kept
        return True

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, with a body that is read strictly."""
        environ: dict[str, Any] = super().get_environ()
        RequestBody(environ, self._extent, self.limits)
        environ[edge.HOLDING] = self._holding
        return environ

    def handle_one_request(self) -> None:
        """Serve one request; close the connection if the answer announced it.

        A stream that began before the shutdown did not announce it, and its client may
        have sent the next request already. That request is served too.
        """
        self.environ: dict[str, Any] = {}
        super().handle_one_request()
        if edge.ENDS_CONNECTION in self.environ:
            self.close_connection = True
        body = self.environ.get("wsgi.input")
        if body is not None and not body.is_complete:
            self._has_input = True

    def finish(self) -> None:
        """Close the connection so that the client can read the last answer."""
        if self._has_input:
            with contextlib.suppress(OSError):
                self.wfile.flush()
            self._linger()
        super().finish()

    def _linger(self) -> None:
        # Without a limit, a crowd of refused clients would keep connections open that
        # others need.
        if self.server.app.n_lingering >= MAX_LINGERING:
            return
        self.server.app.n_lingering += 1
        try:
            linger(self.connection)
        finally:
            self.server.app.n_lingering -= 1

    def send_error(
        self, code: int, message: str | None = None, explain: str | None = None
    ) -> None:
        """Answer malformed HTTP with a problem document."""
        self._refuse(int(code), reasons.Reason.INVALID_REQUEST, message or "")

    def _refuse_head(self, error: errors.MessageError) -> None:
        counters.malformed("client", "head", error.fault)
        eliot.log_message(
            message_type="http:head-refused",
            peer=str(self.client_address),
            fault=error.fault.value,
            detail=str(error),
        )
        status = _STATUSES_BY_FAULT.get(error.fault, 400)
        reason = _REASONS_BY_FAULT.get(error.fault, reasons.Reason.INVALID_REQUEST)
        self._refuse(status, reason, str(error))

    def _refuse_for_memory(self, detail: str) -> None:
        self._holding.release()
        reason = reasons.Reason.MEMORY_FULL
        self._refuse(503, reason, detail, edge.MEMORY_RETRY_SECONDS)

    def _refuse(
        self,
        status: int,
        reason: reasons.Reason,
        detail: str = "",
        retry_after_seconds: float = 0.0,
    ) -> None:
        counters.refused(reason)
        self.close_connection = True
        self._has_input = True
        with contextlib.suppress(OSError):
            problem = problems.Problem(
                status, reason, detail, retry_after_seconds=retry_after_seconds
            )
            self.wfile.write(raw_answer(problem))
            self.wfile.flush()
