"""Write log lines as JSON with eliot, to a file, standard error or standard output.

`open_log` is for a daemon that logs only changes of its state, and writes at once.
`open_output` is for processes that log every decision: a bounded queue holds the lines,
and a separate task writes them. If the reader of the output stops reading, lines are
dropped, but no request is delayed.
"""

import collections
import errno
import json
import os
import sys
from typing import Any, Final

import eliot
import eventlet
import result

from bilberrydrum import clock, counters, findings, tasks

# Most lines in the queue; further lines are counted and dropped, lines that report no
# failure first. At 600 bytes a line this is 1.2 MB.
MAX_WAITING: Final = 2_000
# Lines that report a failure may fill the queue, all others only this share of it.
_NON_FAILURE_SHARE: Final = 0.8
# Interval at which queued lines are written; a process that exits writes the rest.
_FLUSH_SECONDS: Final = 0.2
_WRITE_BYTES: Final = 64 * 1024
# A line reports a failure if its type contains one of these words.
_FAILURE_WORDS: Final = ("failed", "refused", "lost", "dropped", "traceback")


def open_log(path: str) -> result.Result[None, list[findings.Finding]]:
    """Write log lines to the file `path`, or to standard error if it is empty."""
    if not path:
        eliot.to_file(sys.stderr)
        return result.Ok(None)
    try:
        # The file is line-buffered: otherwise a crash could lose the line that explains
        # it. It stays open for as long as the process runs.
        output = open(path, "a", buffering=1)  # noqa: SIM115
    except OSError as error:
        message = f"cannot be opened for log lines: {error.strerror}"
        return result.Err([findings.Finding(path, 0, 0, message)])
    eliot.to_file(output)
    return result.Ok(None)


class BoundedLog:
    """A bounded queue of log lines for a non-blocking file descriptor."""

    def __init__(self, descriptor: int, max_waiting: int = MAX_WAITING) -> None:
        self._descriptor = descriptor
        self._max_waiting = max_waiting
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self.n_dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue one message, or drop it if the queue is full (an eliot destination)."""
        kind = str(message.get("message_type", ""))
        is_failure = any(each in kind for each in _FAILURE_WORDS)
        limit = self._max_waiting * (1.0 if is_failure else _NON_FAILURE_SHARE)
        if len(self._lines) >= limit:
            self.n_dropped += 1
            counters.LOG_LINES_DROPPED.inc()
            return
        self._lines.append(_encode(message))

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        if self.n_dropped and len(self._lines) < self._max_waiting:
            dropped = {"message_type": "log:dropped", "n_lines": self.n_dropped}
            self.n_dropped = 0
            self._lines.append(_encode(dropped))
        while self._unwritten or self._lines:
            while self._lines and len(self._unwritten) < _WRITE_BYTES:
                self._unwritten += self._lines.popleft()
            try:
                n_written = os.write(self._descriptor, self._unwritten)
            except OSError as error:
                if error.errno not in (errno.EAGAIN, errno.EINTR):
                    # The output was closed, so the error cannot be logged either.
                    self.n_dropped += len(self._lines)
                    self._lines.clear()
                    self._unwritten = b""
                return
            self._unwritten = self._unwritten[n_written:]

    def run(self) -> None:
        """Write queued lines periodically (a task)."""
        tasks.run_forever("log-output", self._flush_later)

    def _flush_later(self) -> None:
        clock.sleep(_FLUSH_SECONDS)
        if self._lines or self._unwritten:
            self.flush()


def _encode(message: dict[str, Any]) -> bytes:
    # eliot's two fields for the position in a tree of actions are not used here.
    fields = {
        name: value
        for name, value in message.items()
        if name not in ("task_uuid", "task_level")
    }
    return json.dumps(fields, default=str).encode() + b"\n"


def open_output() -> BoundedLog:
    """Write log lines to standard output through a bounded queue, without blocking."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    bounded = BoundedLog(descriptor)
    eliot.add_destinations(bounded)
    eventlet.spawn(bounded.run)
    return bounded
