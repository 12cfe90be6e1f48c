"""A bound on the memory that a process spends on its clients.

Each request has a largest size, but a process has hundreds of clients, and the sum of
their largest sizes exceeds its memory. So connections, heads, bodies and answers that
wait for their clients are charged to one budget. A client that would exceed it is
refused, or takes the place of one that has stalled.
"""

import contextlib
import enum
import math
import socket
from collections.abc import Iterator
from typing import Any, Final

import attrs
import eliot
import eventlet

from bilberrydrum import clock, memory

# Receive buffer of a client's connection in the kernel.
RECEIVE_BUFFER_BYTES: Final = 32 * 1024
# Most unread bytes in that buffer: the kernel doubles its size for its own needs, and
# where segments are large it needs little of that.
_UNREAD_BYTES: Final = 56 * 1024
# A connection with its task, its buffers, unread input and a head or body of up to
# `_INCLUDED_BYTES`.
CONNECTION_BYTES: Final = 48 * 1024 + _UNREAD_BYTES
_INCLUDED_BYTES: Final = 4 * 1024
# Up to this size a body or an answer is small.
SMALL_BYTES: Final = 64 * 1024
# Share of the budget that bodies and answers which are not small leave free.
RESERVE_SHARE: Final = 0.125
# The same for whatever goes beyond a connection with a small request.
SMALL_RESERVE_SHARE: Final = 0.0625
# Time without progress after which a client yields its memory to another, in seconds.
STALLED_SECONDS: Final = 1.0
# The same between two requests.
IDLE_SECONDS: Final = 0.2
# Bytes for which a buffer is charged ahead, so that not each part is a charge.
_STEP_BYTES: Final = 64 * 1024
_ANY_BYTES: Final = 2**60
# Most times that other tasks run until a dropped client's task has freed its memory.
_N_TURNS: Final = 20


class MemoryFullError(Exception):
    """The memory for clients does not suffice."""

    def __init__(self, n_bytes: int, max_bytes: int) -> None:
        super().__init__(f"expected at most {max_bytes} bytes, got {n_bytes} more")
        # Whether it would not suffice without any other client either.
        self.is_final = n_bytes > max_bytes


class Phase(enum.Enum):
    """What a holding waits for."""

    # The process works; its client can do nothing.
    WORK = enum.auto()
    # The next request.
    IDLE = enum.auto()
    # The rest of a request.
    INPUT = enum.auto()
    # The client, to read its answer.
    OUTPUT = enum.auto()


_SECONDS_BY_PHASE: Final = {
    Phase.WORK: math.inf,
    Phase.IDLE: IDLE_SECONDS,
    Phase.INPUT: STALLED_SECONDS,
    Phase.OUTPUT: STALLED_SECONDS,
}


@attrs.define(eq=False)
class Holding:
    """The memory of one connection and of its current request."""

    _memory: "ClientMemory"
    _connection: Any
    n_bytes: int = 0
    phase: Phase = Phase.WORK
    # When the client last made progress, in seconds of `clock.now`.
    moved_at: float = 0.0
    # Whether its memory was given to another client.
    is_dropped: bool = False

    def grow(self, n_bytes: int) -> None:
        """Charge `n_bytes` more.

        Raises
        ------
        MemoryFullError
            If there is no memory for them. Nothing is charged then.
        """
        self._memory.make_room(self, n_bytes)
        self.n_bytes += n_bytes
        self._memory.budget.change(n_bytes)

    def grow_to(self, n_bytes: int) -> None:
        """Charge as much as a buffer of `n_bytes` needs, in steps."""
        needed = CONNECTION_BYTES + n_bytes - _INCLUDED_BYTES
        if needed > self.n_bytes:
            self.grow(max(needed - self.n_bytes, _STEP_BYTES))

    def release(self) -> None:
        """Release what the request has; the connection stays open."""
        self.shrink_to(CONNECTION_BYTES)

    def shrink_to(self, n_bytes: int) -> None:
        """Release all but `n_bytes`."""
        if n_bytes < self.n_bytes:
            self._memory.budget.change(n_bytes - self.n_bytes)
            self.n_bytes = n_bytes

    @contextlib.contextmanager
    def waiting(self, phase: Phase) -> Iterator[None]:
        """Record that the block waits for the client."""
        self.phase = phase
        self.moved_at = clock.now()
        try:
            yield
        finally:
            self.phase = Phase.WORK

    def record_progress(self) -> None:
        """Record that the client has sent or read something."""
        self.moved_at = clock.now()

    def drop(self) -> None:
        """End what the client is waited for; its task then releases the memory.

        Where a request is received, the client can still read its refusal.
        """
        self.is_dropped = True
        is_input = self.phase is Phase.INPUT
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RD if is_input else socket.SHUT_RDWR)


class ClientMemory:
    """The memory of all clients of a process."""

    def __init__(self, budget: memory.Budget) -> None:
        self.budget = budget
        self._holdings: set[Holding] = set()
        # Of connections that were accepted and whose tasks have not begun.
        self._accepted: dict[Any, Holding] = {}

    @property
    def n_connections(self) -> int:
        """Number of connections that were accepted and have not ended."""
        return len(self._holdings)

    @property
    def max_large_bytes(self) -> int:
        """The most that bodies and answers which are not small may take."""
        return int(self.budget.max_bytes * (1 - RESERVE_SHARE))

    def accept(self, connection: Any) -> None:
        """Charge a new connection.

        It is charged before its task begins: a server accepts all waiting clients
        before any task runs.
        """
        holding = Holding(self, connection, CONNECTION_BYTES, moved_at=clock.now())
        self._holdings.add(holding)
        self._accepted[connection] = holding
        self.budget.change(CONNECTION_BYTES)

    @contextlib.contextmanager
    def connection(self, connection: Any) -> Iterator[Holding]:
        """Return the holding of a connection, which is charged until the block ends."""
        if connection not in self._accepted:
            self.accept(connection)
        holding = self._accepted.pop(connection)
        try:
            yield holding
        finally:
            self._holdings.discard(holding)
            holding.shrink_to(0)

    def has_room_for_connection(self) -> bool:
        """Return whether one more connection fits; drop a stalled one for it."""
        if not self._fits_connection():
            self.drop_stalled()
        return self._fits_connection()

    def _fits_connection(self) -> bool:
        if self.budget.n_free() < CONNECTION_BYTES:
            return False
        return not self.budget.is_crowded() or self.budget.has_room(CONNECTION_BYTES)

    def make_room(self, holding: Holding, n_bytes: int) -> None:
        """Return once `n_bytes` more fit.

        Raises
        ------
        MemoryFullError
            If they do not fit, and no stalled client has as much as that.
        """
        error = MemoryFullError(holding.n_bytes + n_bytes, self.max_large_bytes)
        while not self._fits(holding, n_bytes):
            # Nobody yields to a request that would not fit alone.
            if error.is_final or not self.drop_stalled(holding):
                raise error

    def _fits(self, holding: Holding, n_bytes: int) -> bool:
        is_small = holding.n_bytes + n_bytes <= CONNECTION_BYTES + SMALL_BYTES
        share = SMALL_RESERVE_SHARE if is_small else RESERVE_SHARE
        n_left = self.budget.n_free() - n_bytes
        if n_left < self.budget.max_bytes * share:
            return False
        if is_small and not self.budget.is_crowded():
            return True
        return self.budget.has_room(n_bytes)

    def drop_stalled(self, asking: Holding | None = None) -> bool:
        """Drop the client that has stalled for the longest time, if there is one."""
        now = clock.now()
        stalled = [
            each
            for each in self._holdings
            if each is not asking
            and not each.is_dropped
            and now - each.moved_at >= _SECONDS_BY_PHASE[each.phase]
        ]
        if not stalled:
            return False
        oldest = min(stalled, key=lambda each: each.moved_at)
        eliot.log_message(
            message_type="http:client-dropped",
            n_bytes=oldest.n_bytes,
            phase=oldest.phase.name.lower(),
            seconds=round(now - oldest.moved_at, 3),
        )
        n_bytes = oldest.n_bytes
        oldest.drop()
        for _ in range(_N_TURNS):
            eventlet.sleep(0)
            if oldest not in self._holdings or oldest.n_bytes < n_bytes:
                break
        return True


def unbounded() -> Holding:
    """Return a holding that belongs to no process, with all memory that it needs."""
    return Holding(ClientMemory(memory.Budget(_ANY_BYTES)), None)
