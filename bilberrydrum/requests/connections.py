"""A pool of connections to upstreams, reused only if no answer can be left on them.

A connection is kept for reuse only after a complete answer that carried the id of its
request. Otherwise a late or duplicate answer could still arrive on the connection; it
would be read as the answer to the next request, and reach the wrong caller.
"""

import collections
import contextlib
import functools
import http.client
import math
import socket
from collections.abc import Iterator
from typing import Any, Final, cast

import attrs
import eventlet
import eventlet.greenio
import urllib3.connection
import urllib3.exceptions
from eventlet import hubs

from bilberrydrum import clock
from bilberrydrum.requests import answers

# Most idle connections kept for one upstream.
MAX_IDLE: Final = 64
# Idle time after which a connection is not reused, in seconds. Many servers close idle
# connections after some seconds, and a request that is sent at that moment is lost with
# unknown outcome.
MAX_IDLE_SECONDS: Final = 4.0
# An idle connection is closed this long before the time, announced by the upstream, at
# which the upstream closes it.
KEEP_ALIVE_MARGIN_SECONDS: Final = 1.0

# Number of upstreams whose idle connections are checked for expiry each time that a
# connection is kept.
_N_SWEPT_PER_KEEP: Final = 4


class _Socket(eventlet.greenio.GreenSocket):  # type: ignore[misc]
    """A socket that raises an error if its connection is reset.

    eventlet's own socket reports a reset as the end of the data. An answer that ends
    when its connection closes would then look complete although a reset truncated it.
    The connections of a process that is killed may still be closed in order, which
    can't be detected here.

    It may also stay registered for reading at the hub (see `staying_registered`).
    """

    _stays_registered = False
    # The registration at the hub; None: not registered, or only for one read.
    _listener: Any = None
    # The task that waits until the registered socket can be read; None: no task does.
    _reader: Any = None

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Return up to `bufsize` bytes; none only if the peer closed in order."""
        while True:
            try:
                received: bytes = self.fd.recv(bufsize, flags)
                return received
            except BlockingIOError:
                if self._stays_registered and self.gettimeout() is None:
                    self._wait_registered()
                else:
                    self._read_trampoline()

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Send all of `data`; eventlet's own method copies the rest for each send."""
        super().sendall(memoryview(data), flags)

    def stay_registered(self) -> None:
        """Keep the registration of the next read until `unregister`."""
        self._stays_registered = True

    def unregister(self) -> None:
        """End the registration.

        If a failed read has closed the descriptor, no other task may run before this:
        its next connection could get the same descriptor.
        """
        self._stays_registered = False
        self._remove_listener()

    def _wait_registered(self) -> None:
        hub = hubs.get_hub()
        if self._closed:
            raise hubs.IOClosed()
        if self._listener is None:
            self._listener = hub.add(
                hub.READ,
                self.fd.fileno(),
                self._on_readable,
                self._on_closed,
                self._mark_as_closed,
            )
        self._reader = eventlet.getcurrent()
        try:
            hub.switch()
        finally:
            self._reader = None

    def _on_readable(self, fileno: int) -> None:
        if self._reader is not None:
            self._reader.switch()
        else:
            # The task waits for something else. The hub reports a readable socket again
            # in each round until it is read, so it would use all processor time.
            self._remove_listener()

    def _on_closed(self, error: BaseException) -> None:
        if self._reader is not None:
            self._reader.throw(error)

    def _remove_listener(self) -> None:
        if self._listener is not None:
            hubs.get_hub().remove(self._listener)
            self._listener = None


class Connection(urllib3.connection.HTTPConnection):
    """A connection to an upstream."""

    # It has carried an earlier request, to which a late answer may still arrive.
    was_kept: bool = False

    def connect(self) -> None:
        """Connect within the connection's timeout; reads have none.

        The deadline of an attempt bounds each read. With the timeout for connecting, a
        request would be aborted if its upstream takes longer than that for the first
        byte.

        Raises
        ------
        OSError
            If the connection cannot be established.
        """
        self.sock = _connect(self.host, self.port, self.timeout, self.socket_options)
        self.timeout = None

    def getresponse(self, head_seconds: float = math.inf) -> answers.Answer:  # type: ignore[override]
        """Read the head of the answer to the request that was sent.

        `head_seconds` limits the time from the first byte of the head to its last one.

        Raises
        ------
        OSError, http1.errors.MessageError
            If there is no whole and well-formed head.
        """
        self.response_class = functools.partial(  # type: ignore[assignment]
            answers.Answer, head_seconds=head_seconds
        )
        # urllib3's own method would wrap the answer in a class that decodes bodies.
        answer: Any = http.client.HTTPConnection.getresponse(self)
        return cast(answers.Answer, answer)


@contextlib.contextmanager
def staying_registered(connection: Connection) -> Iterator[None]:
    """Keep the socket of `connection` registered at the hub while the block reads it.

    eventlet registers a socket for each wait and unregisters it afterwards, which costs
    more processor time than reading an event of a stream. Must be used only where one
    task reads the socket, and while the connection is neither closed nor returned to
    the pool.
    """
    kept = connection.sock
    if not isinstance(kept, _Socket):
        yield
        return
    kept.stay_registered()
    try:
        yield
    finally:
        kept.unregister()


@attrs.frozen
class TakenConnection:
    """A connection that was taken from the pool or opened, ready for a request."""

    connection: Connection
    # It was used by an earlier request; the upstream may have dropped it since.
    is_kept: bool


@attrs.frozen
class _Idle:
    connection: Connection
    # Time after which it is closed, in seconds of `clock.now`.
    until: float


class ConnectionPool:
    """The connections of one gateway to all upstreams."""

    def __init__(self) -> None:
        # Ordered by the time of the last check for expired connections, oldest first.
        self._idle_by_address: collections.OrderedDict[
            str, collections.deque[_Idle]
        ] = collections.OrderedDict()

    @property
    def n_idle(self) -> int:
        """Number of connections that are kept."""
        return sum(len(idle) for idle in self._idle_by_address.values())

    def take(
        self, address: str, timeout: float, fresh: bool = False
    ) -> TakenConnection:
        """Return a connected connection to `address`.

        Parameters
        ----------
        address : str
            ``IP:port`` of the upstream.
        timeout : float
            Longest time for connecting, in seconds.
        fresh : bool
            Never reuse an idle connection. The upstream may be closing it at this
            moment; the outcome of a request that is sent on it is then unknown.

        Raises
        ------
        OSError, urllib3.exceptions.HTTPError
            If there is no connection; no byte of a request was sent.
        """
        if not fresh:
            kept = self._take_idle(address)
            if kept is not None:
                return TakenConnection(kept, is_kept=True)
        host, _, port = address.rpartition(":")
        connection = Connection(host.strip("[]"), int(port), timeout=timeout)
        connection.connect()
        return TakenConnection(connection, is_kept=False)

    def keep(
        self,
        address: str,
        connection: Connection,
        idle_seconds: float = MAX_IDLE_SECONDS,
    ) -> None:
        """Keep `connection` for reuse, after a complete answer was read on it."""
        self._close_expired()
        idle = self._idle_by_address.setdefault(address, collections.deque())
        if connection.sock is None or len(idle) >= MAX_IDLE:
            connection.close()
            return
        connection.was_kept = True
        idle.append(_Idle(connection, clock.now() + idle_seconds))

    def forget(self, address: str) -> None:
        """Close the idle connections to `address`."""
        for idle in self._idle_by_address.pop(address, ()):
            idle.connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.forget(address)

    def _close_expired(self) -> None:
        """Close the expired idle connections of the next few upstreams.

        The connection kept last is taken first. Those kept earlier, and those to an
        upstream to which nothing is sent any more, would therefore stay open forever,
        up to one for each run slot of each engine, and use up the process's file
        descriptors. Each time a connection is kept, the `_N_SWEPT_PER_KEEP` upstreams
        that were checked longest ago are checked. So every upstream is checked within a
        bounded number of kept connections, however many connections it has.
        """
        now = clock.now()
        for _ in range(min(_N_SWEPT_PER_KEEP, len(self._idle_by_address))):
            address, idle = self._idle_by_address.popitem(last=False)
            left = collections.deque(each for each in idle if each.until >= now)
            if left:
                self._idle_by_address[address] = left
            for each in idle:
                if each.until < now:
                    each.connection.close()

    def _take_idle(self, address: str) -> Connection | None:
        idle = self._idle_by_address.get(address)
        now = clock.now()
        while idle:
            kept = idle.pop()
            if kept.until >= now and _has_no_input(kept.connection):
                return kept.connection
            kept.connection.close()
        return None


def keep_or_close(
    pool: ConnectionPool,
    address: str,
    connection: Connection,
    answer: answers.Answer,
    is_named: bool,
) -> None:
    """Keep the connection for reuse if its answer carried the request's id.

    Otherwise close it. An upstream may answer a request twice, and only the ids show
    that: on a connection without ids, the second answer would be read as the answer to
    the next request.
    """
    if is_named and answer.may_be_followed:
        idle_seconds = _idle_seconds(answer.headers.get("Keep-Alive", ""))
        pool.keep(address, connection, idle_seconds)
    else:
        connection.close()


def _idle_seconds(keep_alive: str) -> float:
    """Return for how long an idle connection may be reused, in seconds.

    An upstream that announces an idle timeout closes the connection at that time. A
    request that is on its way at that moment is lost with unknown outcome, so the
    connection is not reused in the last second before.
    """
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return max(float(value) - KEEP_ALIVE_MARGIN_SECONDS, 0.0)
    return MAX_IDLE_SECONDS


def _connect(host: str, port: int, timeout: Any, socket_options: Any) -> Any:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    connected = _Socket(family, socket.SOCK_STREAM)
    try:
        for option in socket_options or ():
            connected.setsockopt(*option)
        connected.settimeout(timeout)
        connected.connect((host, port))
        connected.settimeout(None)
    except BaseException:
        connected.close()
        raise
    return connected


def _has_no_input(connection: Connection) -> bool:
    """Return whether there is nothing to read on an idle connection, not even its end.

    Bytes that are ready to be read belong to no request, and the end of the data means
    that the upstream closed the connection. urllib3's own check goes through eventlet's
    hub, which costs two task switches for each request; peeking at the socket does not
    block, and is sufficient.
    """
    # The plain socket inside eventlet's, which is in non-blocking mode.
    plain: Any = getattr(connection.sock, "fd", None)
    if plain is None:
        return False
    try:
        plain.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
