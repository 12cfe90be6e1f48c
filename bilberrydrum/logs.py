"""Log lines for changes of state, as JSON by eliot."""

import sys

import eliot


def open_log(path: str) -> None:
    """Write log lines to the file `path`, or to standard error if it is empty."""
    # Line-buffered: the line that explains a crash must not be lost with the process.
    # It stays open for as long as the process runs.
    if path:
        eliot.to_file(open(path, "a", buffering=1))  # noqa: SIM115
    else:
        eliot.to_file(sys.stderr)
