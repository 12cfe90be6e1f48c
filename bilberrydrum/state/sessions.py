"""Client sessions, by which a command that is sent twice has one effect and one answer.

A client numbers its commands. The session keeps the answer to each number until the
client acknowledges it, and a number that was answered is not applied again. Sessions
are part of the replicated state, so all replicas decide alike.

A session expires when it has been idle for `IDLE_SECONDS`, or when it is the least
recently used of more than `MAX_SESSIONS`. A command in an expired session is not
applied, because it is not known whether it was applied before.
"""

from typing import Any, Final

import attrs
import msgpack

from bilberrydrum import codec
from bilberrydrum.state import machine

SECTION: Final = "state.sessions"
MAX_SESSIONS: Final = 4096
IDLE_SECONDS: Final = 3600.0
# Most answers kept for one session. Clients have fewer commands in flight: see
# `remote.WINDOW`.
MAX_ANSWERS: Final = 1024


@codec.register("state.session")
@attrs.define
class Session:
    """The session of one client."""

    client_id: str
    used_at: float
    # Commands with lower numbers are not applied, because their answers were dropped.
    floor: int = 0
    answers_by_number: dict[int, bytes] = attrs.field(factory=dict)


@codec.register("state.sessions")
@attrs.define
class Sessions:
    """All sessions by id, the least recently used first."""

    by_id: dict[int, Session] = attrs.field(factory=dict)


@attrs.frozen
class SessionCommand:
    """A command of a client, as stored in the log."""

    client_id: str
    session_id: int
    number: int
    lowest_pending: int
    data: bytes


def pack(command: SessionCommand) -> bytes:
    """Return the bytes of `command` for the log."""
    fields = (
        command.client_id,
        command.session_id,
        command.number,
        command.lowest_pending,
        command.data,
    )
    return bytes(msgpack.packb(fields))


def unpack(data: bytes) -> SessionCommand:
    """Return the command in `data`, made by `pack`."""
    fields: list[Any] = msgpack.unpackb(data)
    return SessionCommand(*fields)


def table(state: machine.State) -> Sessions:
    """Return the sessions in `state`."""
    found: Sessions = state.section(SECTION, Sessions)
    return found


def open_session(
    sessions: Sessions, session_id: int, client_id: str, time: float
) -> None:
    """Add a session, and remove those that were idle or exceed the limit."""
    sessions.by_id[session_id] = Session(client_id, time)
    while True:
        oldest_id = next(iter(sessions.by_id))
        is_idle = time - sessions.by_id[oldest_id].used_at > IDLE_SECONDS
        if not is_idle and len(sessions.by_id) <= MAX_SESSIONS:
            return
        del sessions.by_id[oldest_id]


def find(sessions: Sessions, command: SessionCommand, time: float) -> Session | None:
    """Return the command's session, marked as just used; None: it has expired."""
    session = sessions.by_id.get(command.session_id)
    # After a backup was restored, the group may give the id of a session again.
    if session is None or session.client_id != command.client_id:
        return None
    del sessions.by_id[command.session_id]
    sessions.by_id[command.session_id] = session
    session.used_at = time
    return session


def forget_answers(session: Session, lowest_pending: int) -> None:
    """Drop the answers to numbers below `lowest_pending`."""
    if lowest_pending > session.floor:
        session.floor = lowest_pending
        answers = session.answers_by_number
        for number in [each for each in answers if each < lowest_pending]:
            del answers[number]


def keep_answer(session: Session, number: int, answer: bytes) -> None:
    """Keep the answer to a command that was just applied."""
    session.answers_by_number[number] = answer
    if len(session.answers_by_number) > MAX_ANSWERS:
        forget_answers(session, min(session.answers_by_number) + 1)
