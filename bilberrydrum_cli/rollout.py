"""Wait until a rolled bundle is in force everywhere, with a progress line."""

from typing import Any, Final

import result

from bilberrydrum_cli import client, codes, messages, session

POLL_SECONDS: Final = 0.25
IN_FORCE: Final = "in-force"
SUPERSEDED: Final = "superseded"


def wait(version: int, seconds: float, current: session.Session) -> int:
    """Poll the bundle's status for at most `seconds`; return an exit code.

    If no gateway answers for some time, polling continues: the roll does not depend on
    this tool.
    """
    begin = current.clock()
    progress = _Progress(current)
    while True:
        elapsed = current.clock() - begin
        left = max(seconds - elapsed, POLL_SECONDS)
        target = f"/v1/bundles/{version}/status"
        outcome = current.gateways.json("GET", target, timeout=left)
        if isinstance(outcome, result.Ok):
            status = outcome.ok_value
            progress.show(_line(version, status, elapsed))
            if status.get("state") == IN_FORCE:
                progress.end()
                return current.show(status)
            if status.get("state") == SUPERSEDED:
                progress.end()
                current.print_message(messages.ROLL_SUPERSEDED.format(version=version))
                current.show(status)
                return codes.NOT_IN_FORCE
        elif not isinstance(outcome.err_value, client.Unavailable):
            progress.end()
            return current.fail(outcome.err_value)
        if current.clock() - begin >= seconds:
            progress.end()
            current.print_message(
                messages.ROLL_LATE.format(version=version, seconds=seconds)
            )
            if isinstance(outcome, result.Err):
                return current.fail(outcome.err_value)
            current.show(outcome.ok_value)
            return codes.NOT_IN_FORCE
        current.sleep(POLL_SECONDS)


class _Progress:
    """A line that is overwritten on a terminal; otherwise, one line for each change."""

    def __init__(self, current: session.Session) -> None:
        self._err = current.err
        self._is_terminal = current.err.isatty()
        self._width = 0
        self._last = ""

    def show(self, line: str) -> None:
        """Show the line for the current state."""
        if self._is_terminal:
            self._err.write("\r" + line.ljust(self._width))
            self._width = len(line)
        elif _without_time(line) != _without_time(self._last):
            self._err.write(line + "\n")
        self._last = line
        self._err.flush()

    def end(self) -> None:
        """End the line, so that other output may follow."""
        if self._is_terminal and self._last:
            self._err.write("\n")


def _line(version: int, status: dict[str, Any], elapsed: float) -> str:
    names = [str(name) for name in status.get("waiting_for") or ()]
    waiting = messages.ROLL_WAITING.format(names=", ".join(names)) if names else ""
    return messages.ROLL_PROGRESS.format(
        version=version,
        state=status.get("state", ""),
        n_confirmed=status.get("n_confirmed", 0),
        n_gateways=status.get("n_gateways", 0),
        seconds=elapsed,
        waiting=waiting,
    )


def _without_time(line: str) -> str:
    before, _, rest = line.partition(" (")
    return before + rest.partition(")")[2]
