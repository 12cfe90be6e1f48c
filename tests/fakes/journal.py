"""A file of JSON lines in which a fake upstream or client records its actions.

Each line is written by one system call, so that a process which is killed at any moment
leaves only complete lines. An action is recorded before its answer is sent.
"""

import json
import os
import pathlib
from collections.abc import Iterator
from typing import Any


class Journal:
    """The journal of one process; with an empty path nothing is written."""

    def __init__(self, path: str) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags, 0o644) if path else None

    def write(self, kind: str, **fields: Any) -> None:
        """Write one event."""
        if self._file is None:
            return
        line = json.dumps({"kind": kind, **fields}) + "\n"
        os.write(self._file, line.encode())


def read(path: pathlib.Path, kind: str) -> Iterator[dict[str, Any]]:
    """Yield the events of a kind; none if the file does not exist."""
    if not path.exists():
        return
    for line in path.read_text().splitlines():
        event = json.loads(line)
        if event["kind"] == kind:
            yield event
