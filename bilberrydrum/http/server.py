"""Serve the edge over HTTP, with limits on connections, headers and reading time.

eventlet's WSGI server implements the protocol. Its connection handler is extended here:
a request that exceeds a limit is answered with a problem document and counted, and
connections are closed after their answer while the process drains.
"""

import time
from typing import Any, Final

import eventlet
import eventlet.wsgi

from bilberrydrum import clock, counters, options, problems, reasons, tasks
from bilberrydrum.http import edge

# Time that a client has to read the answer if its connection is refused.
_REFUSAL_LINGER_SECONDS: Final = 1.0
# Largest number of refused connections that stay open for that time. Further ones are
# closed without an answer.
_MAX_REFUSALS: Final = 64
# Time after which a connection without a request is closed.
_IDLE_SECONDS: Final = 75.0
_BACKLOG: Final = 1024


def raw_answer(problem: problems.Problem) -> bytes:
    """Return the bytes of a complete HTTP answer that closes the connection."""
    body = problem.to_json()
    lines = [f"HTTP/1.1 {problem.status} {problem.reason.value}"]
    lines += [f"{name}: {value}" for name, value in problem.headers()]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode() + body


class LimitedProtocol(eventlet.wsgi.HttpProtocol):  # type: ignore[misc]
    """eventlet's connection handler, extended by limits and problem documents."""

    limits = options.LimitOptions()

    def parse_request(self) -> bool:
        """Read the headers; refuse them if they are too large or too slow."""
        timeout = eventlet.Timeout(self.limits.read_timeout_seconds)
        try:
            return bool(super().parse_request())
        except (
            eventlet.wsgi.HeaderLineTooLong,
            eventlet.wsgi.HeadersTooLarge,
        ):
            self._refuse(431, reasons.Reason.HEADERS_TOO_LARGE)
            return False
        except eventlet.Timeout as error:
            if error is not timeout:
                raise
            self._refuse(408, reasons.Reason.READ_TIMEOUT)
            return False
        finally:
            timeout.cancel()

    def handle_one_request(self) -> None:
        """Serve one request; close the connection if the answer announced it.

        A stream that began before the shutdown did not announce it, and its client may
        have sent the next request already. That request is served too.
        """
        self.environ: dict[str, Any] = {}
        super().handle_one_request()
        if edge.ENDS_CONNECTION in self.environ:
            self.close_connection = True

    def send_error(
        self, code: int, message: str | None = None, explain: str | None = None
    ) -> None:
        """Answer malformed HTTP with a problem document."""
        self._refuse(int(code), reasons.Reason.INVALID_REQUEST, message or "")

    def _refuse(self, status: int, reason: reasons.Reason, detail: str = "") -> None:
        counters.refused(reason)
        self.wfile.write(raw_answer(problems.Problem(status, reason, detail)))
        self.wfile.flush()
        self.close_connection = True


class _BoundedListener:
    """A listening socket that answers and refuses connections beyond a limit."""

    def __init__(self, listener: Any, pool: Any, max_connections: int) -> None:
        self._listener = listener
        self._pool = pool
        self._max_connections = max_connections
        self._refusals = eventlet.GreenPool(_MAX_REFUSALS)

    def accept(self) -> Any:
        # With a full pool, eventlet's server stops accepting. New clients would then
        # wait in the kernel's queue until others close their connections.
        while True:
            try:
                connection, address = self._listener.accept()
            except OSError:
                if self._listener.fileno() < 0:
                    raise
                # Such as EMFILE: too many descriptors are open at this moment. eventlet
                # would end the server, and the process would accept nobody any more.
                tasks.record_error("http-accept")
                clock.sleep(tasks.ERROR_PAUSE_SECONDS)
                continue
            if self._pool.running() < self._max_connections:
                return connection, address
            counters.refused(reasons.Reason.TOO_MANY_CONNECTIONS)
            if self._refusals.free() > 0:
                self._refusals.spawn_n(_refuse_connection, connection)
            else:
                connection.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listener, name)


def _refuse_connection(connection: Any) -> None:
    problem = problems.Problem(
        503, reasons.Reason.TOO_MANY_CONNECTIONS, retry_after_seconds=1.0
    )
    give_up_at = time.monotonic() + _REFUSAL_LINGER_SECONDS
    try:
        connection.settimeout(_REFUSAL_LINGER_SECONDS)
        connection.sendall(raw_answer(problem))
        # If the socket were closed with unread input, the kernel would reset the
        # connection, and the client would see the reset instead of the answer.
        connection.shutdown(1)
        while time.monotonic() < give_up_at and connection.recv(4096):
            pass
    except OSError:
        pass
    finally:
        connection.close()


class HttpServer:
    """The task that listens for HTTP and serves the edge."""

    def __init__(self, address: str, app: edge.Edge, limits: options.LimitOptions):
        self._address = address
        self._app = app
        self._limits = limits
        self._pool = eventlet.GreenPool(limits.max_connections)
        self._listener: Any = None
        self._task: Any = None

    def start(self) -> None:
        """Bind the address and start the server task."""
        host, _, port = self._address.rpartition(":")
        self._listener = eventlet.listen((host, int(port)), backlog=_BACKLOG)
        limits = self._limits
        # eventlet's limits are module constants. One header line may be as long as the
        # limit for all; the edge checks the exact sum.
        eventlet.wsgi.MAX_HEADER_LINE = limits.max_header_bytes + 1
        eventlet.wsgi.MAX_TOTAL_HEADER_SIZE = limits.max_header_bytes + 1
        protocol = type("Protocol", (LimitedProtocol,), {"limits": limits})
        bounded = _BoundedListener(self._listener, self._pool, limits.max_connections)
        self._task = eventlet.spawn(
            eventlet.wsgi.server,
            bounded,
            self._app,
            protocol=protocol,
            custom_pool=self._pool,
            keepalive=_IDLE_SECONDS,
            log_output=False,
            debug=False,
            # Small events of a stream must be sent without delay.
            minimum_chunk_size=1,
            url_length_limit=limits.max_header_bytes,
        )

    def stop_accepting(self) -> None:
        """Close the listening socket and idle connections, but no active ones."""
        if self._task is None:
            return
        self._task.kill()
        self._task = None
        # eventlet closes the listening socket only after the last request has ended.
        # Until then the kernel would accept connections that are never served, and the
        # clients would wait until the longest stream ends.
        self._listener.close()
