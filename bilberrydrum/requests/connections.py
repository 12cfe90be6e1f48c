"""Connections to upstreams, kept for reuse while nothing can be left on them.

A connection is kept only after a whole answer that named the request it belongs to. A
late or doubled answer on a connection that was given up on would otherwise be read as
the answer to the next request, and reach the wrong caller.
"""

import collections
import logging
import socket
from typing import Any, Final

import attrs
import eventlet.greenio
import urllib3.connection
import urllib3.exceptions

from bilberrydrum import clock

# Idle connections kept for one upstream.
MAX_IDLE: Final = 64
# Idle time after which a connection is not used again: many servers close theirs after
# some seconds, and a request sent into that closing is lost with unknown outcome.
MAX_IDLE_SECONDS: Final = 4.0

# Upstreams whose idle connections are looked through when one is kept.
_N_LOOKED_THROUGH: Final = 4

# It logs a warning with a traceback for each damaged answer; those are counted here.
logging.getLogger("urllib3.connection").setLevel(logging.ERROR)

Connection = urllib3.connection.HTTPConnection


class _Socket(eventlet.greenio.GreenSocket):  # type: ignore[misc]
    """A socket on which a reset is an error.

    eventlet's own reads a reset as an end. An answer that ends with its connection then
    looks whole where it was broken off by a reset. A process that is killed may still
    have its connections closed in order; nothing here can tell that.
    """

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Read into `buffer`; 0 only if the peer has closed in order."""
        while True:
            try:
                n_read: int = self.fd.recv_into(buffer, nbytes, flags)
                return n_read
            except BlockingIOError:
                self._read_trampoline()


@attrs.frozen
class Taken:
    """A connection that is ready for a request."""

    connection: Connection
    # It was kept since an earlier request; the upstream may have dropped it.
    is_kept: bool


@attrs.frozen
class _Idle:
    connection: Connection
    # When it is given up.
    until: float


class Connections:
    """The connections of one gateway to all upstreams."""

    def __init__(self) -> None:
        # Those that were not looked through for the longest time first.
        self._idle_by_address: collections.OrderedDict[
            str, collections.deque[_Idle]
        ] = collections.OrderedDict()

    @property
    def n_idle(self) -> int:
        """Number of connections that are kept."""
        return sum(len(idle) for idle in self._idle_by_address.values())

    def take(self, address: str, timeout: float, fresh: bool = False) -> Taken:
        """Return a connected connection to `address`.

        Parameters
        ----------
        address : str
            ``IP:port`` of the upstream.
        timeout : float
            Seconds that connecting may take.
        fresh : bool
            Never use an idle connection. The upstream may be closing it at this
            moment, which leaves the outcome of what is sent unknown.

        Raises
        ------
        OSError, urllib3.exceptions.HTTPError
            If there is no connection; no byte of a request was sent.
        """
        if not fresh:
            kept = self._take_idle(address)
            if kept is not None:
                return Taken(kept, is_kept=True)
        host, _, port = address.rpartition(":")
        # The deadline of the whole attempt bounds each read. urllib3 sets the socket's
        # timeout anew with each request and answer; with the time for connecting, it
        # would cut off an upstream whose first byte takes longer.
        connection = Connection(host.strip("[]"), int(port), timeout=None)
        connection.sock = _connect(connection.host, connection.port, timeout)
        return Taken(connection, is_kept=False)

    def keep(
        self,
        address: str,
        connection: Connection,
        idle_seconds: float = MAX_IDLE_SECONDS,
    ) -> None:
        """Keep `connection`, on which a whole answer was read, for reuse."""
        self._close_ended()
        idle = self._idle_by_address.setdefault(address, collections.deque())
        if connection.sock is None or len(idle) >= MAX_IDLE:
            connection.close()
            return
        idle.append(_Idle(connection, clock.now() + idle_seconds))

    def forget(self, address: str) -> None:
        """Close the idle connections to `address`."""
        for idle in self._idle_by_address.pop(address, ()):
            idle.connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.forget(address)

    def _close_ended(self) -> None:
        """Close connections of some upstreams whose time is up.

        The last one kept is the first one taken, so those below it, and those to an
        upstream that nothing is sent to any more, would stay open for good: up to one
        for each place at each engine. Looked through at each keeping, what is open
        beyond its time is a part of the upstreams', however many connections each had.
        """
        now = clock.now()
        for _ in range(min(_N_LOOKED_THROUGH, len(self._idle_by_address))):
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
            if kept.until >= now and _is_silent(kept.connection):
                return kept.connection
            kept.connection.close()
        return None


def _connect(host: str, port: int, timeout: float) -> Any:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    connected = _Socket(family, socket.SOCK_STREAM)
    try:
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connected.settimeout(timeout)
        connected.connect((host, port))
        connected.settimeout(None)
    except BaseException:
        connected.close()
        raise
    return connected


def _is_silent(connection: Connection) -> bool:
    """Tell whether there is nothing to read on an idle connection.

    Bytes that wait on it belong to no request, and an end means that the upstream
    closed it. urllib3's own check goes through the hub, which costs two switches of
    tasks for each request; a look at the socket, which never blocks, is enough.
    """
    # The socket under eventlet's, which is set not to block.
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
