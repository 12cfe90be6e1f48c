"""Links of the soak: loopback proxies that delay, block, reset and refuse connections.

Everything that reaches a process or an upstream over the network passes through a link.
Blocked bytes are delivered once the link is open again, as TCP does after a network
partition. A muted connection never carries data again, and is not reset either.
"""

import contextlib
import enum
import socket
import struct
from typing import Any, Final

import eventlet

_READ_BYTES: Final = 64 * 1024
# How often a blocked pump checks the state of its link, in seconds.
_POLL_SECONDS: Final = 0.02
# With this value of SO_LINGER, closing a socket sends a TCP reset.
_RESET: Final = struct.pack("ii", 1, 0)


class State(enum.Enum):
    """What a link does with data and new connections."""

    OPEN = "whole"
    # Nothing passes in either direction; new connections are accepted and hang.
    SILENT = "silent"
    # Nothing passes towards the process, or nothing passes away from it.
    SILENT_INWARD = "silent-inward"
    SILENT_OUTWARD = "silent-outward"
    # New connections are closed at once, as if there were no process.
    REFUSING = "refusing"


class _Pair:
    """The two sockets of one connection through a link.

    Both sockets are closed when the second of the two pumps ends. If a socket were
    closed while another task waits on it, that task would then wait on the next socket
    that gets the same file descriptor.
    """

    def __init__(self, outer: Any, inner: Any) -> None:
        self.outer = outer
        self.inner = inner
        self.is_muted = False
        self._n_pumps = 2

    def reset(self) -> None:
        """Reset the connection on both sides."""
        for each in (self.outer, self.inner):
            # The connection may be closed already.
            with contextlib.suppress(OSError):
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.shut_down()

    def shut_down(self) -> None:
        """Shut both sockets down, so that both pumps end."""
        self.is_muted = False
        for each in (self.outer, self.inner):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)

    def release(self) -> None:
        """Record the end of a pump; the second call closes both sockets."""
        self._n_pumps -= 1
        if not self._n_pumps:
            self.outer.close()
            self.inner.close()


class Link:
    """Proxy from one listening address to one target address."""

    def __init__(self, address: tuple[str, int], target: tuple[str, int]) -> None:
        self._target = target
        self.state = State.OPEN
        self.delay_seconds = 0.0
        self._pairs: list[_Pair] = []
        self._listen(address)

    def _listen(self, address: tuple[str, int]) -> None:
        self._listener = eventlet.listen(address, backlog=128)
        self._name: tuple[str, int] = self._listener.getsockname()
        self._tasks = [eventlet.spawn(self._accept)]

    @property
    def address(self) -> str:
        """The address that the link listens on, as ``IP:port``."""
        host, port = self._name
        return f"{host}:{port}"

    def retarget(self, target: tuple[str, int]) -> None:
        """Connect new connections to another target; listen again if closed."""
        self._target = target
        if not self._tasks:
            self._listen(self._name)

    def close(self) -> None:
        """Refuse new connections and reset the open ones until `retarget` is called.

        Clients see the same as at a host on which the process does not run.
        """
        self._listener.close()
        for task in self._tasks:
            task.kill()
        self._tasks.clear()
        self.reset()

    def heal(self) -> None:
        """Let all data pass again, except on muted connections."""
        self.state = State.OPEN
        self.delay_seconds = 0.0

    def reset(self) -> None:
        """Reset all open connections."""
        pairs, self._pairs = self._pairs, []
        for pair in pairs:
            pair.reset()

    def mute(self) -> None:
        """Block the open connections permanently, without a reset."""
        for pair in self._pairs:
            pair.is_muted = True

    def stop(self) -> None:
        """Close the listener and all connections."""
        self.close()
        self.heal()

    def _accept(self) -> None:
        while True:
            outer, _ = self._listener.accept()
            if self.state is State.REFUSING:
                outer.close()
                continue
            eventlet.spawn_n(self._open, outer)

    def _open(self, outer: Any) -> None:
        while self.state is State.SILENT:
            eventlet.sleep(_POLL_SECONDS)
        try:
            inner = eventlet.connect(self._target)
        except OSError:
            # The process does not listen: close the connection of its client.
            outer.close()
            return
        pair = _Pair(outer, inner)
        self._pairs.append(pair)
        eventlet.spawn_n(self._pump, pair, outer, inner, State.SILENT_INWARD)
        eventlet.spawn_n(self._pump, pair, inner, outer, State.SILENT_OUTWARD)

    def _pump(self, pair: _Pair, source: Any, sink: Any, blocking_state: State) -> None:
        try:
            while data := source.recv(_READ_BYTES):
                if self.delay_seconds:
                    eventlet.sleep(self.delay_seconds)
                while pair.is_muted or self.state in (State.SILENT, blocking_state):
                    eventlet.sleep(_POLL_SECONDS)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One side has closed the connection: close it on the other side too.
            pair.shut_down()
        finally:
            if pair in self._pairs:
                self._pairs.remove(pair)
            pair.release()
