"""Log lines for changes of state, as JSON by eliot."""

import sys

import eliot
import result

from bilberrydrum import findings


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
