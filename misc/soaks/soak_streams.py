"""The event streams that the soak's engines send, and the faults in them."""

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

# Shares of the faulty runs: of those that begin a text, and of those that resume one.
_FRESH_SHARE: Final = 0.15
_RESUMED_SHARE: Final = 0.3
# Share of the runs without any event, of the resumed runs that may be of this kind.
_EMPTY_SHARE: Final = 0.4
# Share of the omitted events that are the first event of their run.
_FIRST_SHARE: Final = 0.5
# Number of runs of one item that may be faulty; later ones are not, so that the item is
# completed.
_MAX_FAULTY_RUNS: Final = 4
_LAST_CHUNK: Final = b"0\r\n\r\n"
# With this value of SO_LINGER, closing a socket sends a TCP reset.
_RESET: Final = struct.pack("ii", 1, 0)


class StreamFault(enum.Enum):
    """A fault in the stream of a run."""

    # The stream ends within an event: the connection is closed, or the answer ended.
    CUT = "cut in an event"
    ENDED = "ended in an event"
    # The stream ends between two events: the connection is reset or closed.
    RESET = "reset"
    CLOSED = "closed"
    # The stream has no event: the answer is ended, or the connection is closed, with
    # chunked framing or without framing.
    EMPTY_ENDED = "ended at once"
    EMPTY_CLOSED = "closed at once"
    EMPTY_UNFRAMED = "unframed, closed at once"
    # An event is sent twice, is not sent, or is sent without its number.
    DUPLICATED = "an event twice"
    OMITTED = "an event left out"
    DAMAGED = "an event damaged"


_EMPTY: Final = (
    StreamFault.EMPTY_ENDED,
    StreamFault.EMPTY_CLOSED,
    StreamFault.EMPTY_UNFRAMED,
)
# The stream continues after these faults.
_NON_TERMINAL: Final = (
    StreamFault.DUPLICATED,
    StreamFault.OMITTED,
    StreamFault.DAMAGED,
)


@attrs.frozen
class Plan:
    """The fault of a stream, or None, and the number of the event it affects."""

    fault: StreamFault | None = None
    at: int = 0


def draw(run: soak_runs.EngineRun, n_runs: int) -> Plan:
    """Return the plan of a run; it depends only on the item and `n_runs`.

    The run is the `n_runs`-th one of its item.
    """
    rng = random.Random(f"{run.item_id}/{n_runs}")
    first = run.resume_after + 1
    # No fault affects the last event: a reader could not detect that it was omitted or
    # that the answer ended right after it.
    if n_runs > _MAX_FAULTY_RUNS or first >= run.n_expected:
        return Plan()
    # An answer without an event is also what an engine sends when it is asked to resume
    # a text that is already complete. A second one for the same item is accepted as the
    # end of the text, so at most one is drawn for an item.
    empty_run = random.Random(run.item_id).choice((2, 2, 3))
    if run.resume_after and n_runs == empty_run and rng.random() < _EMPTY_SHARE:
        return Plan(rng.choice(_EMPTY), first)
    if rng.random() >= (_RESUMED_SHARE if run.resume_after else _FRESH_SHARE):
        return Plan()
    fault = rng.choice([each for each in StreamFault if each not in _EMPTY])
    if fault is StreamFault.OMITTED and rng.random() < _FIRST_SHARE:
        return Plan(fault, first)
    return Plan(fault, rng.randrange(first, run.n_expected))


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
        before_event: Callable[[], None],
        load: str,
    ) -> bool:
        """Send the answer; return whether the connection can be used again.

        Calls `before_event` for each event after checking that the connection is open.
        `pause` returns the time in seconds that an event takes. `load` is the value of
        the load header.
        """
        version = read_version()
        self._send_head(standins.answer_headers(request_id, version, load))
        for number in range(self._run.resume_after + 1, self._run.n_expected + 1):
            fault = self._plan.fault if number == self._plan.at else None
            if fault in _EMPTY:
                return self._end_early(fault, b"")
            self._pause(pause())
            before_event()
            if fault is StreamFault.OMITTED:
                continue
            changed = read_version() if read_version() != version else None
            version = read_version()
            if fault is not None and fault not in _NON_TERMINAL:
                data = soak_runs.event_data(self._run, number, version)
                return self._end_early(fault, standins.event(number, data, changed))
            if fault is StreamFault.DAMAGED:
                data = soak_runs.event_data(self._run, number, version)
                self._send_chunk(standins.event(number, data).replace(b"id:", b"\xffd"))
                continue
            data = self._run.make_event(number, version)
            self._send_chunk(standins.event(number, data, changed))
            if fault is StreamFault.DUPLICATED:
                self._send_chunk(standins.event(number, data))
        self._connection.sendall(_LAST_CHUNK)
        self._run.end = self._plan.fault.value if self._plan.fault else "whole"
        return True

    def _pause(self, seconds: float) -> None:
        """Wait for the time of an event; raise if the connection is closed."""
        with eventlet.Timeout(seconds, False):
            # Readers send nothing after the request: `recv` returns only at the end.
            self._connection.recv(1)
            raise ConnectionAbortedError

    def _send_head(self, headers: dict[str, str]) -> None:
        is_framed = self._plan.fault is not StreamFault.EMPTY_UNFRAMED
        framing = "Transfer-Encoding: chunked" if is_framed else "Connection: close"
        lines = ["HTTP/1.1 200 X", framing]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self._connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())

    def _send_chunk(self, data: bytes) -> None:
        self._connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))

    def _end_early(self, fault: StreamFault, event: bytes) -> bool:
        """End the stream with a fault before `event` or in the middle of it."""
        self._run.end = fault.value
        if fault in (StreamFault.CUT, StreamFault.ENDED):
            self._send_chunk(event[: len(event) // 2])
        if fault is StreamFault.RESET:
            self._connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        if fault in (StreamFault.ENDED, StreamFault.EMPTY_ENDED):
            self._connection.sendall(_LAST_CHUNK)
            return True
        return False
