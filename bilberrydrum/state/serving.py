"""What a replica has to answer: the waiters for its log entries, and reads.

A command is answered when its entry is applied, if the entry at that index is still the
one that was proposed for the command. A read is answered when the state contains every
entry that was committed when the read arrived, and only while this replica holds the
leader lease. The lease is checked again after the answer is computed, so that a process
that was suspended in between does not send an outdated answer.
"""

import collections
import time
from collections.abc import Callable
from typing import Any

import attrs
import eliot

from bilberrydrum import codec
from bilberrydrum.state import applier, machine, messages

# Seconds that a read waits to be answered before its client is redirected.
READ_WAIT_SECONDS = 1.0


@attrs.frozen
class Skipped:
    """The entry was replaced by a received snapshot, which may contain its effect."""


# The outcome of an entry that this replica was to propose. None: it is not in the log,
# because it was refused or a later leader has overwritten it.
EntryOutcome = applier.Applied | Skipped | None


@attrs.define
class Waiter:
    """A client, or a task of this process, that waits for an entry to be applied."""

    term: int
    # The command, decoded when it arrived, so that it is not decoded again.
    command: object | None = None
    # The client that waits. The number is that of its command; 0: it opens a session.
    address: str = ""
    client_id: str = ""
    number: int = 0
    session_id: int = 0
    # Called with the outcome if a task of this process waits.
    done: Callable[[EntryOutcome], None] | None = None


@attrs.define
class Read:
    """A query that waits for its answer."""

    address: str
    client_id: str
    number: int
    query: object
    since: float
    # The read is answered once the entry at this index is applied. None until this
    # replica is first seen to hold the leader lease.
    needed_index: int | None = None


@attrs.frozen
class SnapshotQuery:
    """A query for a snapshot of the state."""

    address: str
    client_id: str
    number: int


AnswerQuery = Callable[[object], Any]
SendMessage = Callable[[str, object], Any]


class Outbox:
    """Collects answers, to send those for one client in one message."""

    def __init__(self, send: SendMessage) -> None:
        self._send = send
        self._items: dict[tuple[str, str, bool], list[messages.Item]] = {}

    def add(
        self, address: str, client_id: str, item: messages.Item, is_query: bool = False
    ) -> None:
        """Add one answer."""
        self._items.setdefault((address, client_id, is_query), []).append(item)

    def flush(self) -> None:
        """Send the collected answers."""
        items, self._items = self._items, {}
        for (address, client_id, is_query), each in items.items():
            self._send(address, messages.Answers(client_id, each, is_query))


class Waiters:
    """The waiters for entries that this replica proposed as the leader."""

    def __init__(self, send: SendMessage) -> None:
        self._by_index: dict[int, Waiter] = {}
        self._send = send
        self.outbox = Outbox(send)

    def __len__(self) -> int:
        return len(self._by_index)

    def add(self, index: int, waiter: Waiter) -> None:
        """Let `waiter` wait for the entry at `index`, instead of an earlier waiter."""
        replaced = self._by_index.get(index)
        if replaced is not None:
            self._notify(replaced, None)
        self._by_index[index] = waiter

    def command(self, index: int, term: int) -> object | None:
        """Return the decoded command of an entry proposed here, or None."""
        waiter = self._by_index.get(index)
        return waiter.command if waiter and waiter.term == term else None

    def complete(self, applied: applier.Applied) -> None:
        """Answer the waiter for an applied entry, if there is one."""
        waiter = self._by_index.pop(applied.index, None)
        if waiter is None:
            return
        if waiter.term != applied.term:
            # The entry that was proposed here is not in the log: a later leader has
            # overwritten it with an entry of another term.
            self._notify(waiter, None)
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
        """Remove the waiters for entries that a received snapshot has replaced."""
        for index in [each for each in self._by_index if each <= up_to_index]:
            # Another leader may have committed the same entry that was proposed here.
            # If it were reported as not in the log, a batch would be refused with the
            # guarantee that it never runs, although it was accepted and will run.
            self._notify(self._by_index.pop(index), Skipped())

    def _notify(self, waiter: Waiter, outcome: EntryOutcome) -> None:
        # A client retries by itself; a task of this process waits for the outcome.
        if waiter.done is not None:
            waiter.done(outcome)


class Reads:
    """Queries that wait for the lease or for entries to be applied."""

    def __init__(self, outbox: Outbox, answer: AnswerQuery) -> None:
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

    def pop_expired(self, now: float) -> list[Read]:
        """Remove and return the reads that have waited too long."""
        expired = []
        while self._waiting and now - self._waiting[0].since > READ_WAIT_SECONDS:
            expired.append(self._waiting.popleft())
        return expired

    def pop_all(self) -> list[Read]:
        """Remove and return all reads."""
        taken = list(self._waiting)
        self._waiting.clear()
        return taken


def wall_time() -> float:
    """Return this process's wall clock, in seconds."""
    return time.time()


def answer_query(query: object, state: machine.State, applied_time: float) -> Any:
    """Answer a query from the state, at the time of the leader's wall clock.

    The time is never earlier than that of the last applied entry. Otherwise a query
    could treat something as valid that an earlier command has found to be expired.
    """
    return machine.answer(query, state, max(wall_time(), applied_time))
