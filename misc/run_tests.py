"""Run the tests with nose2 and print a closing line with the numbers of tests.

Each test module runs in its own process, a few at a time. Modules then share no
metrics, hub or open sockets, so the result does not depend on their order.

Tests listed in KNOWN-RED.txt fail because of a known fault that is not fixed yet. They
are run as well; their failures are printed but do not fail the run. If one of them
passes, a complete run fails, so that its line is removed.
"""

import argparse
import concurrent.futures
import faulthandler
import json
import os
import pathlib
import subprocess
import sys
import time
import traceback
from typing import Any, Final

import attrs
import nose2

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
MAX_KNOWN_RED: Final = 3
# Number of modules that run concurrently. Tests that start real processes leave too
# little processor time for more.
N_WORKERS: Final = max(1, min(4, (os.cpu_count() or 1) // 2))
# A module that hangs is killed after this time and counts as failed.
MODULE_TIMEOUT_SECONDS: Final = 240.0
# After this time a module prints the stacks of its threads. nose2 prints nothing until
# the end, so a module that hangs would otherwise be killed without any output.
STACKS_SECONDS: Final = MODULE_TIMEOUT_SECONDS - 5.0
N_SLOWEST: Final = 5
# Modules that measure the memory of real processes run one at a time, after the others.
ALONE_PREFIX: Final = "tests.test_unruly_"


@attrs.define
class Tally:
    """Counts of the outcomes of one module's tests."""

    module: str
    n_passed: int = 0
    n_skipped: int = 0
    failed_ids: list[str] = attrs.field(factory=list)
    seconds: float = 0.0

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Count one outcome. nose2 requires this name."""
        if event.outcome == "skipped":
            self.n_skipped += 1
        elif event.exc_info is not None:
            self.failed_ids.append(base_id(event.test))
            _print_failure(event)
        elif event.outcome == "passed":
            self.n_passed += 1


def _print_failure(event: Any) -> None:
    """Print a failure at once: if the module hangs later, nose2 never prints it."""
    print(f"\n{event.test.id()}", file=sys.stderr)
    traceback.print_exception(*event.exc_info)
    sys.stderr.flush()


def base_id(test: Any) -> str:
    """Return the id of a test without nose2's suffix for a parameter."""
    return str(test.id()).split("\n")[0].split(":")[0]


def read_known_red() -> set[str]:
    """Return the ids of the tests that are known to fail."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = [line.strip() for line in path.read_text().splitlines()]
    return {line.split(",")[0].strip() for line in lines if line}


def read_unsteady() -> set[str]:
    """Return the ids of the known-red tests that pass in some runs."""
    path = ROOT / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    return {line.split(",")[0].strip() for line in lines if ", unsteady," in line}


def find_modules() -> list[str]:
    """Return the names of all test modules."""
    return [f"tests.{path.stem}" for path in sorted((ROOT / "tests").glob("test_*.py"))]


def run_in_process(name: str, report: str) -> int:
    """Run one module or one of its tests in this process; write its tally to a file."""
    sys.path.insert(0, str(ROOT))
    faulthandler.dump_traceback_later(STACKS_SECONDS)
    tally = Tally(name)
    start = time.monotonic()
    nose2.main(
        module=None,
        argv=["nose2", "-s", "tests", "-t", ".", name],
        exit=False,
        extraHooks=[("testOutcome", tally)],
    )
    tally.seconds = time.monotonic() - start
    pathlib.Path(report).write_text(json.dumps(attrs.asdict(tally)))
    return 0


def run_in_subprocess(name: str) -> Tally:
    """Run one module in a subprocess; print its output if a test failed."""
    read_end, write_end = os.pipe()
    with os.fdopen(read_end) as report:
        arguments = ["--here", f"/dev/fd/{write_end}", name]
        try:
            done = subprocess.run(
                [sys.executable, __file__, *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                pass_fds=[write_end],
                timeout=MODULE_TIMEOUT_SECONDS,
                check=False,
            )
            printed = done.stdout
        except subprocess.TimeoutExpired as error:
            printed = (error.stdout or b"") + b"\nkilled: the module timed out\n"
        finally:
            os.close(write_end)
        text = report.read()
    # A module that crashes its process writes no tally and counts as failed.
    tally = Tally(**json.loads(text)) if text else Tally(name, failed_ids=[name])
    if tally.failed_ids:
        sys.stdout.write(printed.decode(errors="replace"))
    print(f"{name}: {tally.n_passed} in {tally.seconds:.1f} s", flush=True)
    return tally


def main() -> int:
    """Run all tests, or the modules and tests named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--here", metavar="FILE", help="run in this process")
    parser.add_argument(
        "names", nargs="*", help="modules or tests, such as tests.test_edge"
    )
    parsed = parser.parse_args()
    if parsed.here:
        return run_in_process(parsed.names[0], parsed.here)
    known_red = read_known_red()
    # Tests of clients that do not behave do not count against the list's cap.
    if len([e for e in known_red if not e.startswith(ALONE_PREFIX)]) > MAX_KNOWN_RED:
        print(f"KNOWN-RED.txt lists more than {MAX_KNOWN_RED} tests")
        return 1
    names = parsed.names or find_modules()
    alone = [name for name in names if name.startswith(ALONE_PREFIX)]
    others = [name for name in names if name not in alone]
    with concurrent.futures.ThreadPoolExecutor(N_WORKERS) as pool:
        tallies = list(pool.map(run_in_subprocess, others))
    tallies += [run_in_subprocess(name) for name in alone]
    return print_summary(tallies, known_red, is_complete=not parsed.names)


def print_summary(tallies: list[Tally], known_red: set[str], is_complete: bool) -> int:
    """Print the closing lines; return the exit code."""
    for tally in sorted(tallies, key=lambda each: -each.seconds)[:N_SLOWEST]:
        print(f"slowest: {tally.module} {tally.seconds:.1f} s")
    failed_ids = [test_id for tally in tallies for test_id in tally.failed_ids]
    passed_again = known_red - set(failed_ids) if is_complete else set()
    passed_again -= read_unsteady()
    for test_id in sorted(set(failed_ids) & known_red):
        print(f"known red: {test_id}")
    for test_id in sorted(passed_again):
        print(f"passes again, remove it from KNOWN-RED.txt: {test_id}")
    unexpected = [test_id for test_id in failed_ids if test_id not in known_red]
    for test_id in unexpected:
        print(f"failed: {test_id}")
    n_failed = len(unexpected) + len(passed_again)
    n_passed = sum(tally.n_passed for tally in tallies)
    n_skipped = sum(tally.n_skipped for tally in tallies)
    n_skipped += len(failed_ids) - len(unexpected)
    skipped = f", {n_skipped} skipped" if n_skipped else ""
    print(f"{n_passed} passed, {n_failed} failed{skipped}")
    return 1 if n_failed or n_passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
