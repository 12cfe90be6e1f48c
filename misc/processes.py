"""Start, stop and watch the processes of a demo, a measurement or a test.

Processes are ended by their process id, each one that was started and no other. A
process gets a session of its own, so that an interrupt from the terminal reaches only
the script, which then ends its processes in order.
"""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time
import types
from collections.abc import Callable, Iterator, Sequence
from typing import Final, Self

import attrs
import urllib3

REPOSITORY: Final = pathlib.Path(__file__).resolve().parent.parent

POLL_SECONDS: Final = 0.05


class _Exit:
    """The exit that a signal asks for, put off while it would leave things behind."""

    def __init__(self) -> None:
        self._n_put_off = 0
        self._number = 0

    def ask(self, number: int) -> None:
        """Exit for a signal, now or once nothing puts it off."""
        self._number = number
        self._exit_if_asked()

    @contextlib.contextmanager
    def put_off(self) -> Iterator[None]:
        """Put the exit off to the end of the block."""
        self._n_put_off += 1
        try:
            yield
        finally:
            self._n_put_off -= 1
            self._exit_if_asked()

    def _exit_if_asked(self) -> None:
        if self._number and not self._n_put_off:
            number, self._number = self._number, 0
            raise SystemExit(128 + number)


_EXIT: Final = _Exit()


class ConditionTimeoutError(Exception):
    """A condition did not come true in time, or a process ended before it did."""


def wait_for(condition: Callable[[], bool], timeout: float, what: str) -> float:
    """Wait until `condition` holds; return the seconds that it took.

    Raises
    ------
    ConditionTimeoutError
        If it does not hold within `timeout` seconds.
    """
    start = time.monotonic()
    while not condition():
        if time.monotonic() - start > timeout:
            raise ConditionTimeoutError(f"not within {timeout:g} s: {what}")
        time.sleep(POLL_SECONDS)
    return time.monotonic() - start


def http_status(address: str, path: str, timeout: float = 1.0) -> int:
    """Return the status of ``GET http://address/path``; 0 if nobody answers."""
    try:
        answer = urllib3.request(
            "GET", f"http://{address}{path}", timeout=timeout, retries=False
        )
    except urllib3.exceptions.HTTPError:
        return 0
    return answer.status


@attrs.define
class Process:
    """One process that was started here."""

    name: str
    arguments: tuple[str, ...]
    log_path: pathlib.Path
    popen: subprocess.Popen[bytes]

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.popen.pid

    def is_running(self) -> bool:
        """Tell whether the process has not ended; a frozen one has not."""
        return self.popen.poll() is None

    def log_tail(self, n_lines: int = 20) -> str:
        """Return the last lines of what the process printed."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return "\n".join(lines[-n_lines:])

    def send(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.is_running():
            self.popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once, as a crash would."""
        self.send(signal.SIGKILL)
        self.popen.wait()

    def freeze(self) -> None:
        """Stop the process where it is; its connections stay open."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.send(signal.SIGCONT)

    def hang_up(self) -> None:
        """Ask the process to read its settings again."""
        self.send(signal.SIGHUP)

    def terminate(self, timeout: float) -> int | None:
        """Ask the process to end; return its exit code, None if it did not end."""
        self.send(signal.SIGTERM)
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            return None


class Processes:
    """The processes of one run, by name; ends all of them on exit."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes_by_name: dict[str, Process] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.stop_all()

    def __getitem__(self, name: str) -> Process:
        return self.processes_by_name[name]

    def start(self, name: str, arguments: Sequence[str]) -> Process:
        """Start a process; what it prints is added to ``<name>.out``.

        Starting a name again replaces the ended process of that name.
        """
        earlier = self.processes_by_name.get(name)
        if earlier is not None and earlier.is_running():
            raise ValueError(f"{name} is still running")
        log_path = self.folder / f"{name}.out"
        # A signal in between would end the script before it knows of the process.
        with log_path.open("ab") as log, _EXIT.put_off():
            popen = subprocess.Popen(
                arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=REPOSITORY,
                env=_environment(),
                start_new_session=True,
            )
            process = Process(name, tuple(arguments), log_path, popen)
            self.processes_by_name[name] = process
        return process

    def start_module(self, name: str, module: str, *arguments: str) -> Process:
        """Start ``python -m module`` with this interpreter."""
        return self.start(name, module_command(module, *arguments))

    def restart(self, name: str) -> Process:
        """Start an ended process again with the arguments that it had."""
        return self.start(name, self.processes_by_name[name].arguments)

    def describe(self, n_lines: int = 5) -> str:
        """Return each process's state and the last lines that it printed."""
        parts = []
        for process in self.processes_by_name.values():
            code = process.popen.poll()
            state = "runs" if code is None else f"ended with {code}"
            parts.append(f"{process.name} {state}\n{process.log_tail(n_lines)}")
        return "\n".join(parts)

    def wait_until_ready(
        self, name: str, address: str, path: str = "/readyz", timeout: float = 60.0
    ) -> float:
        """Wait until ``GET address path`` answers 200; return the seconds taken."""
        process = self.processes_by_name[name]

        def is_ready() -> bool:
            if not process.is_running():
                raise ConditionTimeoutError(f"{name} ended:\n{process.log_tail()}")
            return http_status(address, path) == 200

        return wait_for(is_ready, timeout, f"{name} ready at {address}{path}")

    def stop_all(self, grace_seconds: float = 5.0) -> None:
        """End every process: first asked to, killed after the grace time."""
        running = [
            process
            for process in self.processes_by_name.values()
            if process.is_running()
        ]
        for process in running:
            process.send(signal.SIGTERM)
            process.thaw()
        deadline = time.monotonic() + grace_seconds
        for process in running:
            try:
                process.popen.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()


def module_command(module: str, *arguments: str) -> list[str]:
    """Return the command that runs a module with this interpreter."""
    return [sys.executable, "-m", module, *arguments]


def exit_on_signals() -> None:
    """Turn the signals that ask for an end into an exit that ends the processes.

    Later ones are ignored: a second interrupt would break off the ending and leave
    processes behind.
    """
    ending = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)

    def handle(number: int, _frame: object) -> None:
        for each in ending:
            signal.signal(each, signal.SIG_IGN)
        _EXIT.ask(number)

    for each in ending:
        signal.signal(each, handle)


def run_tool(arguments: Sequence[str], timeout: float) -> tuple[int, str, str]:
    """Run a short command; return its exit code and what it printed."""
    done = subprocess.run(
        arguments,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        cwd=REPOSITORY,
        env=_environment(),
        timeout=timeout,
        check=False,
    )
    return done.returncode, done.stdout, done.stderr


def _environment() -> dict[str, str]:
    """Return the environment of a process: the repository's modules come first."""
    environment = dict(os.environ)
    earlier = environment.get("PYTHONPATH", "")
    environment["PYTHONPATH"] = os.pathsep.join(
        part for part in (str(REPOSITORY), earlier) if part
    )
    environment["PYTHONUNBUFFERED"] = "1"
    return environment
