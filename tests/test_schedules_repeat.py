"""Random schedules that are run twice must do the same."""

import contextlib
import json
import os
import pathlib
import subprocess
import sys
import unittest

from nose2 import tools

from tests import schedules_support

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLAY_SECONDS = 120.0


@contextlib.contextmanager
def playing(hash_seed, arguments):
    """Run `misc/play_schedule` in a process with the given hash seed for strings."""
    environment = os.environ | {"PYTHONHASHSEED": str(hash_seed)}
    # If the variable sets a higher number of schedules, it does not apply here.
    environment.pop(schedules_support.N_SCHEDULES_VARIABLE, None)
    process = subprocess.Popen(
        [sys.executable, ROOT / "misc" / "play_schedule", *arguments],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def read_plays(process):
    printed, _ = process.communicate(timeout=PLAY_SECONDS)
    return [json.loads(line) for line in printed.splitlines()]


class Repeats(unittest.TestCase):
    @tools.params(
        ("tests.test_promise_schedules", "--first", "5", "--seeds", "3"),
        ("tests.test_text_schedules", "--first", "5", "--seeds", "4"),
        ("tests.test_state_schedules",),
        ("tests.test_upstreams_schedules",),
        ("tests.test_bundles_schedules",),
        ("tests.test_weights_schedules",),
        ("tests.test_simulation",),
    )
    def test_same_seed_same_trace(self, *arguments):
        """A schedule fails in one run, and the same seed passes in the next.

        The traces differed from the first steps on: replicas had different ids in each
        process, so everything that depended on the order of a set of them differed.
        """
        with playing(1, arguments) as first, playing(2, arguments) as again:
            plays = read_plays(first)
            self.assertEqual(plays, read_plays(again))
        self.assertTrue(plays)
        for play in plays:
            self.assertTrue(play["is_passed"], play)
            self.assertGreater(play["n_notes"], 0, play)
