"""Start, stop and watch the processes of a demo, a measurement or a test.

Signals are sent by process id, and only to processes that were started here. Each
process gets a new session, so that an interrupt from the terminal reaches only the
script, which then stops its processes in order.
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


class _DeferrableExit:
    """An exit requested by a signal, deferred while it would leave processes behind."""

    def __init__(self) -> None:
        self._n_deferrals = 0
        self._number = 0

    def request(self, number: int) -> None:
        """Exit for a signal, at once or when no block defers it any more."""
        self._number = number
        self._exit_if_requested()

    @contextlib.contextmanager
    def defer(self) -> Iterator[None]:
        """Defer the exit to the end of the block."""
        self._n_deferrals += 1
        try:
            yield
        finally:
            self._n_deferrals -= 1
            self._exit_if_requested()

    def _exit_if_requested(self) -> None:
        if self._number and not self._n_deferrals:
            number, self._number = self._number, 0
            raise SystemExit(128 + number)


_EXIT: Final = _DeferrableExit()


class ConditionTimeoutError(Exception):
    """A condition was not met in time, or a process exited before it was met."""


def wait_for(condition: Callable[[], bool], timeout: float, what: str) -> float:
    """Wait until `condition` is true; return the time that it took, in seconds.

    Raises
    ------
    ConditionTimeoutError
        If it is not true within `timeout` seconds.
    """
    start = time.monotonic()
    while not condition():
        if time.monotonic() - start > timeout:
            raise ConditionTimeoutError(f"timed out after {timeout:g} s: {what}")
        time.sleep(POLL_SECONDS)
    return time.monotonic() - start


def http_status(address: str, path: str, timeout: float = 1.0) -> int:
    """Return the status of ``GET http://address/path``, or 0 if there is no answer."""
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
        """Return whether the process has not exited; a frozen one has not."""
        return self.popen.poll() is None

    def log_tail(self, n_lines: int = 20) -> str:
        """Return the last lines of what the process printed."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return "\n".join(lines[-n_lines:])

    def send(self, number: signal.Signals) -> None:
        """Send a signal unless the process has exited."""
        if self.is_running():
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process at once, as in a crash."""
        self.send(signal.SIGKILL)
        self.popen.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP; its connections stay open."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process."""
        self.send(signal.SIGCONT)

    def hang_up(self) -> None:
        """Send SIGHUP, on which a process reads its settings again."""
        self.send(signal.SIGHUP)

    def terminate(self, timeout: float) -> int | None:
        """Send SIGTERM; return the exit code, or None if the process did not exit."""
        self.send(signal.SIGTERM)
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            return None


class Processes:
    """The processes of one run, by name; leaving the context stops all of them."""

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
        """Start a process; its output is appended to ``<name>.out``.

        A process that has exited is replaced by a new one of the same name.
        """
        earlier = self.processes_by_name.get(name)
        if earlier is not None and earlier.is_running():
            raise ValueError(f"{name} is still running")
        log_path = self.folder / f"{name}.out"
        # If a signal ended the script before the process is recorded, the process would
        # keep running.
        with log_path.open("ab") as log, _EXIT.defer():
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
        """Start a process that has exited again, with the same arguments."""
        return self.start(name, self.processes_by_name[name].arguments)

    def describe(self, n_lines: int = 5) -> str:
        """Return the state and the last lines of output of each process."""
        parts = []
        for process in self.processes_by_name.values():
            code = process.popen.poll()
            state = "runs" if code is None else f"exited with {code}"
            parts.append(f"{process.name} {state}\n{process.log_tail(n_lines)}")
        return "\n".join(parts)

    def wait_until_ready(
        self, name: str, address: str, path: str = "/readyz", timeout: float = 60.0
    ) -> float:
        """Wait until ``GET address path`` answers 200; return the time in seconds."""
        process = self.processes_by_name[name]

        def is_ready() -> bool:
            if not process.is_running():
                raise ConditionTimeoutError(f"{name} exited:\n{process.log_tail()}")
            return http_status(address, path) == 200

        return wait_for(is_ready, timeout, f"{name} ready at {address}{path}")

    def stop_all(self, grace_seconds: float = 5.0) -> None:
        """Stop all processes with SIGTERM; kill those left after the grace time."""
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
    """Make termination signals raise SystemExit, so that all processes are stopped.

    Later signals are ignored. A second interrupt would otherwise abort the shutdown and
    leave processes behind.
    """
    signals = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)

    def handle(number: int, _frame: object) -> None:
        for each in signals:
            signal.signal(each, signal.SIG_IGN)
        _EXIT.request(number)

    for each in signals:
        signal.signal(each, handle)


def run_tool(arguments: Sequence[str], timeout: float) -> tuple[int, str, str]:
    """Run a short command; return its exit code, stdout and stderr."""
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
    """Return the environment of a process, with the repository first in PYTHONPATH."""
    environment = dict(os.environ)
    earlier = environment.get("PYTHONPATH", "")
    environment["PYTHONPATH"] = os.pathsep.join(
        part for part in (str(REPOSITORY), earlier) if part
    )
    environment["PYTHONUNBUFFERED"] = "1"
    return environment
