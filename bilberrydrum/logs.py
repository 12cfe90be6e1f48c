"""Log lines as JSON, by eliot: to a file or standard error, or bounded to the output.

`open_log` is for a daemon whose lines are for changes of state only. `open_output` is
for processes that write a line for each decision: lines wait in a bounded queue and are
written by a task of their own, so that a reader that stops reading costs lines, never
requests.
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

from bilberrydrum import clock, counters, findings

# Lines that wait to be written; further ones are counted and dropped, the plain ones
# first. At 600 bytes a line this is 1.2 MB.
MAX_WAITING: Final = 2_000
# Lines for failures may use the whole queue, all others this share of it.
_PLAIN_SHARE: Final = 0.8
# Lines are written together this often; a process that ends writes what is left.
_FLUSH_SECONDS: Final = 0.2
_WRITE_BYTES: Final = 64 * 1024
_FAILURE_WORDS: Final = ("failed", "refused", "lost", "dropped", "traceback")


def open_log(path: str) -> result.Result[None, list[findings.Finding]]:
    """Write log lines to the file `path`, or to standard error if it is empty."""
    if not path:
        eliot.to_file(sys.stderr)
        return result.Ok(None)
    try:
        # Line-buffered: the line that explains a crash must not be lost with the
        # process. It stays open for as long as the process runs.
        output = open(path, "a", buffering=1)  # noqa: SIM115
    except OSError as error:
        message = f"cannot be opened for log lines: {error.strerror}"
        return result.Err([findings.Finding(path, 0, 0, message)])
    eliot.to_file(output)
    return result.Ok(None)


class BoundedLog:
    """Lines on their way to a file descriptor that may not take them."""

    def __init__(self, descriptor: int, max_waiting: int = MAX_WAITING) -> None:
        self._descriptor = descriptor
        self._max_waiting = max_waiting
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self.n_dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue one message (an eliot destination)."""
        kind = str(message.get("message_type", ""))
        is_failure = any(each in kind for each in _FAILURE_WORDS)
        limit = self._max_waiting * (1.0 if is_failure else _PLAIN_SHARE)
        if len(self._lines) >= limit:
            self.n_dropped += 1
            counters.LOG_LINES_DROPPED.inc()
            return
        self._lines.append(_encode(message))

    def flush(self) -> None:
        """Write what the descriptor takes now; never blocks."""
        if self.n_dropped and len(self._lines) < self._max_waiting:
            dropped = {"message_type": "log:dropped", "n_lines": self.n_dropped}
            self.n_dropped = 0
            self._lines.append(_encode(dropped))
        while self._rest or self._lines:
            while self._lines and len(self._rest) < _WRITE_BYTES:
                self._rest += self._lines.popleft()
            try:
                n_written = os.write(self._descriptor, self._rest)
            except OSError as error:
                if error.errno not in (errno.EAGAIN, errno.EINTR):
                    # Nobody reads any more; there is nowhere to say so.
                    self.n_dropped += len(self._lines)
                    self._lines.clear()
                    self._rest = b""
                return
            self._rest = self._rest[n_written:]

    def run(self) -> None:
        """Write what comes, from time to time (a task)."""
        while True:
            clock.sleep(_FLUSH_SECONDS)
            if self._lines or self._rest:
                self.flush()


def _encode(message: dict[str, Any]) -> bytes:
    # The two fields that place a message in a tree of actions say nothing here.
    fields = {
        name: value
        for name, value in message.items()
        if name not in ("task_uuid", "task_level")
    }
    return json.dumps(fields, default=str).encode() + b"\n"


def open_output() -> BoundedLog:
    """Write log lines to standard output, bounded and without ever blocking."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    bounded = BoundedLog(descriptor)
    eliot.add_destinations(bounded)
    eventlet.spawn(bounded.run)
    return bounded
