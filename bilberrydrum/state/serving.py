"""The clients' side of a replica: who waits for which entry, and reads.

A command's answer goes out when its entry is applied, if the entry at that index is
still the one that was taken. A read is answered when the state holds every entry that
was committed when it came in, and while this replica holds the leader lease; the lease
is checked after the answer is made, so that a process that was stopped in between does
not answer from the past.
"""

import collections
import time
from collections.abc import Callable
from typing import Any

import attrs
import eliot

from bilberrydrum import codec
from bilberrydrum.state import applier, machine, messages

# A read waits this long for the lease before its client is sent on.
READ_WAIT_SECONDS = 1.0


@attrs.frozen
class Skipped:
    """A received snapshot has taken an entry's place, and may hold what it did."""


# What becomes of an entry that this replica took; None: it is not in the log.
End = applier.Applied | Skipped | None


@attrs.define
class Waiter:
    """Who waits for an entry."""

    term: int
    # Decoded when it came in, so that it is not decoded again.
    command: object | None = None
    # A client's command.
    address: str = ""
    client_id: str = ""
    number: int = 0
    session_id: int = 0
    # Called with the end of a command of this process.
    done: Callable[[End], None] | None = None


@attrs.define
class Read:
    """A query that waits."""

    address: str
    client_id: str
    number: int
    query: object
    since: float
    # What the state must hold; None until the leader is established.
    needed_index: int | None = None


@attrs.frozen
class Save:
    """A query for a snapshot of the state."""

    address: str
    client_id: str
    number: int


Answerer = Callable[[object], Any]
Sender = Callable[[str, object], Any]


class Outbox:
    """Answers collected by client, sent in one message for many."""

    def __init__(self, send: Sender) -> None:
        self._send = send
        self._items: dict[tuple[str, str, bool], list[messages.Item]] = {}

    def add(
        self, address: str, client_id: str, item: messages.Item, is_query: bool = False
    ) -> None:
        """Add one answer."""
        self._items.setdefault((address, client_id, is_query), []).append(item)

    def flush(self) -> None:
        """Send what was added."""
        items, self._items = self._items, {}
        for (address, client_id, is_query), each in items.items():
            self._send(address, messages.Answers(client_id, each, is_query))


class Waiters:
    """Who waits for the entries that this replica took as the leader."""

    def __init__(self, send: Sender) -> None:
        self._by_index: dict[int, Waiter] = {}
        self._send = send
        self.outbox = Outbox(send)

    def __len__(self) -> int:
        return len(self._by_index)

    def add(self, index: int, waiter: Waiter) -> None:
        """Let `waiter` wait for the entry at `index`."""
        replaced = self._by_index.get(index)
        if replaced is not None:
            self._end(replaced, None)
        self._by_index[index] = waiter

    def command(self, index: int, term: int) -> object | None:
        """Return the decoded command of an entry taken here."""
        waiter = self._by_index.get(index)
        return waiter.command if waiter and waiter.term == term else None

    def applied(self, applied: applier.Applied) -> None:
        """Answer who waits for an entry."""
        waiter = self._by_index.pop(applied.index, None)
        if waiter is None:
            return
        if waiter.term != applied.term:
            # Another leader's entry took the place: ours is not in the log.
            self._end(waiter, None)
        elif waiter.done is not None:
            waiter.done(applied)
        elif waiter.number == 0:
            opened = messages.SessionOpened(waiter.client_id, applied.index)
            self._send(waiter.address, opened)
        elif applied.answer is not None:
            item = messages.Item(waiter.number, applied.answer)
            self.outbox.add(waiter.address, waiter.client_id, item)
        else:
            lost = messages.SessionLost(
                waiter.client_id, waiter.session_id, [waiter.number]
            )
            self._send(waiter.address, lost)

    def clear(self, up_to_index: int) -> None:
        """Forget who waits for entries that a snapshot has skipped."""
        for index in [each for each in self._by_index if each <= up_to_index]:
            # Another leader may have committed the very entry that was taken here:
            # called not in the log, a batch would be refused for good, and run.
            self._end(self._by_index.pop(index), Skipped())

    def _end(self, waiter: Waiter, end: End) -> None:
        # A client sends again by itself; a task of this process must be told.
        if waiter.done is not None:
            waiter.done(end)


class Reads:
    """Queries that wait for the lease or for entries to be applied."""

    def __init__(self, outbox: Outbox, answer: Answerer) -> None:
        self._waiting: collections.deque[Read] = collections.deque()
        self._outbox = outbox
        self._answer = answer

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, read: Read) -> None:
        """Let a read wait until `serve` can answer it."""
        self._waiting.append(read)

    def serve(
        self, commit_index: int, applied_index: int, has_lease: Callable[[], bool]
    ) -> None:
        """Answer the reads that can be answered now."""
        if not self._waiting or not has_lease():
            return
        n_waiting = len(self._waiting)
        for _ in range(n_waiting):
            read = self._waiting.popleft()
            if read.needed_index is None:
                read.needed_index = commit_index
            if applied_index < read.needed_index:
                self._waiting.append(read)
                continue
            data = self._answer_bytes(read.query)
            if not has_lease():
                self._waiting.append(read)
                return
            item = messages.Item(read.number, data)
            self._outbox.add(read.address, read.client_id, item, is_query=True)

    def _answer_bytes(self, query: object) -> bytes:
        try:
            return codec.encode(self._answer(query))
        except Exception as error:
            eliot.write_traceback()
            return codec.encode(messages.Failed(f"{type(error).__name__}: {error}"))

    def take_expired(self, now: float) -> list[Read]:
        """Remove and return the reads that have waited too long."""
        expired = []
        while self._waiting and now - self._waiting[0].since > READ_WAIT_SECONDS:
            expired.append(self._waiting.popleft())
        return expired

    def take_all(self) -> list[Read]:
        """Remove and return all reads."""
        taken = list(self._waiting)
        self._waiting.clear()
        return taken


def wall_time() -> float:
    """Return this process's wall clock, in seconds."""
    return time.time()


def answer_query(query: object, state: machine.State, applied_time: float) -> Any:
    """Answer from the state at the leader's wall clock.

    The time is never below that of the last applied entry, so that a query does not
    see as valid what a command before it has found to be expired.
    """
    return machine.answer(query, state, max(wall_time(), applied_time))
