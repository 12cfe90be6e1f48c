"""Run the tests with nose2 and end with one line that counts them.

Each test module runs in a process of its own, a few at a time: modules then share no
metrics, hub or open sockets, so the verdict does not depend on their order.

Tests named in KNOWN-RED.txt fail for a fault that is known and not mended yet. They
run all the same; their failures are printed and passed over, and one that passes
again fails the run, so that its line is removed.
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
# Modules that run at a time; tests with real processes leave little for more.
N_WORKERS: Final = max(1, min(4, (os.cpu_count() or 1) // 2))
# A module that hangs fails the run instead of stopping it.
MODULE_TIMEOUT_SECONDS: Final = 240.0
# So long before, a module that hangs says where: nose2 prints nothing until its end.
STACKS_SECONDS: Final = MODULE_TIMEOUT_SECONDS - 5.0
N_SLOWEST: Final = 5


@attrs.define
class Tally:
    """Counts the outcomes of one module."""

    module: str
    n_passed: int = 0
    n_skipped: int = 0
    failed_ids: list[str] = attrs.field(factory=list)
    seconds: float = 0.0

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Take one outcome; the name is nose2's."""
        if event.outcome == "skipped":
            self.n_skipped += 1
        elif event.exc_info is not None:
            self.failed_ids.append(base_id(event.test))
            _print_at_once(event)
        elif event.outcome == "passed":
            self.n_passed += 1


def _print_at_once(event: Any) -> None:
    """Print why a test failed; a module that hangs later would not come to say it."""
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


def find_modules() -> list[str]:
    """Return the names of all test modules."""
    return [f"tests.{path.stem}" for path in sorted((ROOT / "tests").glob("test_*.py"))]


def run_here(name: str, report: str) -> int:
    """Run one module, or one test of it, in this process; write its tally."""
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


def run_apart(name: str) -> Tally:
    """Run one module in a process of its own and print what it printed."""
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
            printed = (error.stdout or b"") + b"\nended: it ran for too long\n"
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
    parser.add_argument("names", nargs="*", help="as in tests.test_edge")
    parsed = parser.parse_args()
    if parsed.here:
        return run_here(parsed.names[0], parsed.here)
    known_red = read_known_red()
    if len(known_red) > MAX_KNOWN_RED:
        print(f"KNOWN-RED.txt names more than {MAX_KNOWN_RED} tests")
        return 1
    names = parsed.names or find_modules()
    with concurrent.futures.ThreadPoolExecutor(N_WORKERS) as pool:
        tallies = list(pool.map(run_apart, names))
    return judge(tallies, known_red, is_whole=not parsed.names)


def judge(tallies: list[Tally], known_red: set[str], is_whole: bool) -> int:
    """Print the closing lines; return the exit code."""
    for tally in sorted(tallies, key=lambda each: -each.seconds)[:N_SLOWEST]:
        print(f"slowest: {tally.module} {tally.seconds:.1f} s")
    failed_ids = [test_id for tally in tallies for test_id in tally.failed_ids]
    passed_again = known_red - set(failed_ids) if is_whole else set()
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
