"""Apply committed entries to the state, in order.

The applier is deterministic: all replicas that apply the same entries have the same
state and compute the same answers.
"""

from collections.abc import Callable
from typing import Any

import attrs
import eliot

from bilberrydrum import codec
from bilberrydrum.state import log, machine, membership, messages, sessions, snapshot

Watcher = Callable[[object, Any], None]


@attrs.frozen
class Applied:
    """The result of applying one entry."""

    index: int
    term: int
    # The encoded answer. None if there is none: the entry is not a command, its
    # session has expired, or the client has already acknowledged the answer.
    answer: bytes | None = None
    # What the command's apply function returned. None if it did not run for this
    # entry, for example because the same command was applied before.
    value: Any = None


class Applier:
    """The state, and the position of the last log entry applied to it."""

    def __init__(self) -> None:
        self.state = machine.State()
        self.index = 0
        self.term = 0
        self.time = 0.0
        self.membership = membership.Membership()
        self._watchers: list[Watcher] = []

    def watch(self, callback: Watcher) -> None:
        """Call `callback(command, answer)` after each command that did not fail."""
        self._watchers.append(callback)

    def restore(self, data: bytes, state: machine.State | None = None) -> None:
        """Replace the state by that of a snapshot, unless the snapshot is older.

        `state` is the decoded state of the snapshot; None: it is decoded here.
        """
        header = snapshot.read(data)
        if header.index <= self.index:
            return
        self.state = snapshot.decode(data) if state is None else state
        self.index = header.index
        self.term = header.term
        self.time = header.time
        self.membership = header.membership

    def header(self) -> snapshot.Header:
        """Return the snapshot header that describes the current state."""
        return snapshot.Header(self.index, self.term, self.time, self.membership)

    def apply(self, entry: log.Entry, command: object | None = None) -> Applied | None:
        """Apply one entry; `command` is its command, if already decoded.

        Returns
        -------
        Applied or None
            None for an entry that was already applied.
        """
        if entry.index <= self.index:
            return None
        self.index, self.term, self.time = entry.index, entry.term, entry.time
        if entry.kind == log.KIND_SESSION:
            return self._apply_session(entry, command)
        if entry.kind == log.KIND_LOCAL:
            answer, value = self._run(entry, entry.data, command)
            return Applied(entry.index, entry.term, answer, value)
        if entry.kind == log.KIND_OPEN_SESSION:
            table = sessions.table(self.state)
            client_id = entry.data.decode()
            sessions.open_session(table, entry.index, client_id, entry.time)
        elif entry.kind == log.KIND_MEMBERSHIP:
            self.membership = codec.decode(entry.data)
        return Applied(entry.index, entry.term)

    def _apply_session(self, entry: log.Entry, command: object | None) -> Applied:
        item = sessions.unpack(entry.data)
        session = sessions.find(sessions.table(self.state), item, entry.time)
        if session is None:
            return Applied(entry.index, entry.term)
        sessions.forget_answers(session, item.lowest_pending)
        answer = session.answers_by_number.get(item.number)
        if answer is not None or item.number < session.floor:
            # The client has sent the command again, because the answer was lost. The
            # command is not applied twice; the client gets the first answer.
            return Applied(entry.index, entry.term, answer)
        answer, value = self._run(entry, item.data, command)
        sessions.keep_answer(session, item.number, answer)
        return Applied(entry.index, entry.term, answer, value)

    def _run(
        self, entry: log.Entry, data: bytes, command: object | None
    ) -> tuple[bytes, Any]:
        if command is None:
            # If the command's class is from a newer release, decoding fails and the
            # replica stops. If it skipped the command, its state would differ from
            # that of the other replicas.
            command = codec.decode(data)
        context = machine.Context(entry.index, entry.time)
        try:
            value = machine.apply(command, self.state, context)
            answer = codec.encode(value)
        except Exception as error:
            eliot.write_traceback()
            value = messages.Failed(f"{type(error).__name__}: {error}")
            return codec.encode(value), value
        for callback in self._watchers:
            callback(command, value)
        return answer, value
