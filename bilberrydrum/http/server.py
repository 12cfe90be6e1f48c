"""Serve the edge over HTTP, with a limit on the number of connections.

eventlet's WSGI server accepts the connections; `protocol` handles each of them.
"""

import contextlib
from typing import Any, Final

import eventlet
import eventlet.wsgi
from eventlet.green import socket

from bilberrydrum import clock, counters, options, problems, reasons, tasks
from bilberrydrum.http import client_memory, edge, protocol

# Time after which a connection without a request is closed.
_IDLE_SECONDS: Final = 75.0
_BACKLOG: Final = 1024


class _BoundedListener:
    """A listening socket that answers and refuses connections beyond a limit."""

    def __init__(
        self,
        listener: Any,
        max_connections: int,
        memory: client_memory.ClientMemory,
    ) -> None:
        self._listener = listener
        self._max_connections = max_connections
        self._memory = memory
        self._refusals = eventlet.GreenPool(protocol.MAX_LINGERING)

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
            if self._has_room():
                self._memory.accept(connection)
                return connection, address
            counters.refused(reasons.Reason.TOO_MANY_CONNECTIONS)
            if self._refusals.free() > 0:
                self._refusals.spawn_n(_refuse_connection, connection)
            else:
                _refuse_now(connection)

    def _has_room(self) -> bool:
        if self._memory.n_connections >= self._max_connections:
            # A client that only keeps its connection open yields it to another one.
            self._memory.drop_stalled()
        is_free = self._memory.n_connections < self._max_connections
        return is_free and self._memory.has_room_for_connection()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listener, name)


def _refusal() -> bytes:
    problem = problems.Problem(
        503, reasons.Reason.TOO_MANY_CONNECTIONS, retry_after_seconds=1.0
    )
    return protocol.raw_answer(problem)


def _refuse_now(connection: Any) -> None:
    """Refuse a connection without waiting until the client has read the answer."""
    with contextlib.suppress(OSError):
        # The plain socket inside eventlet's, which does not block.
        connection.fd.send(_refusal())
    connection.close()


def _refuse_connection(connection: Any) -> None:
    try:
        connection.settimeout(protocol.LINGER_SECONDS)
        connection.sendall(_refusal())
        protocol.linger(connection)
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
        # Inherited by accepted connections. The kernel's own size grows to megabytes.
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, client_memory.RECEIVE_BUFFER_BYTES
        )
        limits = self._limits
        memory = self._app.memory
        fields = {"limits": limits, "memory": memory}
        handler = type("Protocol", (protocol.LimitedProtocol,), fields)
        bounded = _BoundedListener(self._listener, limits.max_connections, memory)
        self._task = eventlet.spawn(
            eventlet.wsgi.server,
            bounded,
            self._app,
            protocol=handler,
            custom_pool=self._pool,
            keepalive=_IDLE_SECONDS,
            log_output=False,
            debug=False,
            # Small events of a stream must be sent without delay.
            minimum_chunk_size=1,
            # The bytes of a whole head are limited where it is read.
            url_length_limit=2 * limits.max_header_bytes + 1,
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
