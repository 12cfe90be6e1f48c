"""Run the tests with nose2 and end with one line that counts them.

Tests named in KNOWN-RED.txt fail for a fault that is known and not mended yet. They
run all the same; their failures are printed and passed over, and one that passes
again fails the run, so that its line is removed.
"""

import pathlib
import sys
from typing import Any, Final

import nose2

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
MAX_KNOWN_RED: Final = 3


def read_known_red() -> set[str]:
    """Return the ids of the tests that are known to fail."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = [line.strip() for line in path.read_text().splitlines()]
    return {line.split(",")[0].strip() for line in lines if line}


def base_id(test: Any) -> str:
    """Return the id of a test without nose2's suffix for a parameter."""
    return str(test.id()).split("\n")[0].split(":")[0]


class Tally:
    """Counts outcomes, as nose2 reports them."""

    def __init__(self) -> None:
        self.n_passed = 0
        self.n_skipped = 0
        self.failed_ids: list[str] = []

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Take one outcome; the name is nose2's."""
        if event.outcome == "skipped":
            self.n_skipped += 1
        elif event.exc_info is not None:
            self.failed_ids.append(base_id(event.test))
        elif event.outcome == "passed":
            self.n_passed += 1


def main() -> int:
    """Run all tests, or those named on the command line."""
    known_red = read_known_red()
    if len(known_red) > MAX_KNOWN_RED:
        print(f"KNOWN-RED.txt names more than {MAX_KNOWN_RED} tests")
        return 1
    sys.path.insert(0, str(ROOT))
    tally = Tally()
    nose2.main(
        module=None,
        argv=["nose2", "-s", "tests", "-t", ".", *sys.argv[1:]],
        exit=False,
        extraHooks=[("testOutcome", tally)],
    )
    sys.stderr.flush()
    failed_ids = set(tally.failed_ids)
    passed_again = set() if sys.argv[1:] else known_red - failed_ids
    for test_id in sorted(failed_ids & known_red):
        print(f"known red: {test_id}")
    for test_id in sorted(passed_again):
        print(f"passes again, remove it from KNOWN-RED.txt: {test_id}")
    unexpected = [test_id for test_id in tally.failed_ids if test_id not in known_red]
    n_failed = len(unexpected) + len(passed_again)
    n_skipped = tally.n_skipped + len(tally.failed_ids) - len(unexpected)
    skipped = f", {n_skipped} skipped" if n_skipped else ""
    print(f"{tally.n_passed} passed, {n_failed} failed{skipped}")
    return 1 if n_failed or tally.n_passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
