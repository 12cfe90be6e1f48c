"""The streams that the soak's engines send, and what goes wrong with them."""

import enum
import random
import socket
import struct
from collections.abc import Callable
from typing import Any, Final

import attrs
import eventlet
from bilberrydrum_platform import standins

from misc.soaks import soak_runs

# Shares of the runs that go wrong: of those that begin a text, and that go on with one.
_FRESH_SHARE: Final = 0.15
_RESUMED_SHARE: Final = 0.3
# Share of the resumed runs that make nothing, where this may come.
_EMPTY_SHARE: Final = 0.4
# Share of the left out events that are the first ones of their runs.
_FIRST_SHARE: Final = 0.5
# Runs of one item that may go wrong; the next ones are well, so that it is made.
_RUNS: Final = 4
_LAST_CHUNK: Final = b"0\r\n\r\n"
# Closing with this set sends a reset.
_RESET: Final = struct.pack("ii", 1, 0)


class Trouble(enum.Enum):
    """What goes wrong in a run."""

    # It ends in the middle of an event: the connection closes, or the answer is ended.
    CUT = "cut in an event"
    ENDED = "ended in an event"
    # It ends between two events.
    RESET = "reset"
    CLOSED = "closed"
    # It makes nothing: the answer is ended, broken off, or has no framing.
    EMPTY_ENDED = "ended at once"
    EMPTY_CLOSED = "closed at once"
    EMPTY_UNFRAMED = "unframed, closed at once"
    # An event comes twice, not at all, or without its number.
    TWICE = "an event twice"
    LEFT_OUT = "an event left out"
    DAMAGED = "an event damaged"


_EMPTY: Final = (Trouble.EMPTY_ENDED, Trouble.EMPTY_CLOSED, Trouble.EMPTY_UNFRAMED)
# The run goes on after these.
_PASSING: Final = (Trouble.TWICE, Trouble.LEFT_OUT, Trouble.DAMAGED)


@attrs.frozen
class Plan:
    """What goes wrong, and at which event; None: nothing."""

    trouble: Trouble | None = None
    at: int = 0


def draw(run: soak_runs.EngineRun, n_runs: int) -> Plan:
    """Return the plan of an item's run, the same for its `n_runs`-th run."""
    rng = random.Random(f"{run.item_id}/{n_runs}")
    first = run.asked_after + 1
    # The last event is never left out or ended after: nobody could tell.
    if n_runs > _RUNS or first >= run.n_due:
        return Plan()
    # An answer without an event may look like one that goes on with a whole text: it
    # comes once for an item, so that a second one can be believed.
    empty_run = random.Random(run.item_id).choice((2, 2, 3))
    if run.asked_after and n_runs == empty_run and rng.random() < _EMPTY_SHARE:
        return Plan(rng.choice(_EMPTY), first)
    if rng.random() >= (_RESUMED_SHARE if run.asked_after else _FRESH_SHARE):
        return Plan()
    trouble = rng.choice([each for each in Trouble if each not in _EMPTY])
    if trouble is Trouble.LEFT_OUT and rng.random() < _FIRST_SHARE:
        return Plan(trouble, first)
    return Plan(trouble, rng.randrange(first, run.n_due))


class Stream:
    """One answer of an engine."""

    def __init__(self, connection: Any, run: soak_runs.EngineRun, plan: Plan) -> None:
        self._connection = connection
        self._run = run
        self._plan = plan

    def send(
        self,
        request_id: str,
        read_version: Callable[[], int],
        pause: Callable[[], float],
        note: Callable[[], None],
    ) -> bool:
        """Send the whole answer; tell whether the connection can be used again.

        `note` is called before each event, once the connection is seen to stand.
        """
        version = read_version()
        self._send_head(standins.answer_headers(request_id, version))
        for number in range(self._run.asked_after + 1, self._run.n_due + 1):
            trouble = self._plan.trouble if number == self._plan.at else None
            if trouble in _EMPTY:
                return self._break_off(trouble, b"")
            self._pause(pause())
            note()
            if trouble is Trouble.LEFT_OUT:
                continue
            changed = read_version() if read_version() != version else None
            version = read_version()
            if trouble is not None and trouble not in _PASSING:
                data = soak_runs.event_data(self._run, number, version)
                return self._break_off(trouble, standins.event(number, data, changed))
            if trouble is Trouble.DAMAGED:
                data = soak_runs.event_data(self._run, number, version)
                self._send_chunk(standins.event(number, data).replace(b"id:", b"\xffd"))
                continue
            data = self._run.make(number, version)
            self._send_chunk(standins.event(number, data, changed))
            if trouble is Trouble.TWICE:
                self._send_chunk(standins.event(number, data))
        self._connection.sendall(_LAST_CHUNK)
        self._run.end = self._plan.trouble.value if self._plan.trouble else "whole"
        return True

    def _pause(self, seconds: float) -> None:
        """Make an event; a run whose connection ends meanwhile is dropped."""
        with eventlet.Timeout(seconds, False):
            # A reader sends nothing after its request.
            self._connection.recv(1)
            raise ConnectionAbortedError

    def _send_head(self, headers: dict[str, str]) -> None:
        is_framed = self._plan.trouble is not Trouble.EMPTY_UNFRAMED
        framing = "Transfer-Encoding: chunked" if is_framed else "Connection: close"
        lines = ["HTTP/1.1 200 X", framing]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self._connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())

    def _send_chunk(self, data: bytes) -> None:
        self._connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))

    def _break_off(self, trouble: Trouble, event: bytes) -> bool:
        """End as a run does that fails before `event`, or in the middle of it."""
        self._run.end = trouble.value
        if trouble in (Trouble.CUT, Trouble.ENDED):
            self._send_chunk(event[: len(event) // 2])
        if trouble is Trouble.RESET:
            self._connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        if trouble in (Trouble.ENDED, Trouble.EMPTY_ENDED):
            self._connection.sendall(_LAST_CHUNK)
            return True
        return False
