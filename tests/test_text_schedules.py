"""Randomised schedules over unfinished texts, and what each leader takes up of them.

The troubles are in `tests.fakes.group_faults`; what leaders do, and the checks, are
in `tests.fakes.text_group`. BILBERRYDRUM_SCHEDULES sets how many schedules are run.
"""

import os
import random
import sys
import unittest

import hypothesis
from hypothesis import strategies

from tests import schedules_support
from tests.fakes import group_faults, text_group

N_SCHEDULES = int(os.environ.get("BILBERRYDRUM_SCHEDULES", "120"))
N_TROUBLES = 6
SECONDS = (0.3, 0.8, 2.0)


def run_schedule(seed):
    """Run one schedule; return the group, whose checks have passed."""
    rng = random.Random(seed)
    group = text_group.TextGroup(3, seed, n_voters=3)
    group.add_host("h3")
    group.run(1.5)
    group_faults.inject_faults(group, rng, N_TROUBLES, SECONDS)
    group.settle()
    return group


class Schedules(unittest.TestCase):
    def test_texts(self):
        """An item's text has events of two runs, neither begun where the other ended.

        Leaders change and look late, saves are refused, late and doubled, texts begin
        anew, batches end and their items come again. What is kept, taken up or listed
        must be the beginning of one text under the versions of its events, and what
        was lost must be kept in the end.
        """
        groups = []

        @schedules_support.by_seeds(N_SCHEDULES)
        @hypothesis.given(strategies.integers(0, 2**32))
        def schedule(seed):
            with schedules_support.played_by(__name__, seed):
                group = run_schedule(seed)
            groups.append((group.n_saved, group.n_taken_up, group.n_caught_up))

        schedule()
        n_saved = sum(each[0] for each in groups)
        n_taken_up = sum(each[1] for each in groups)
        print(
            f"{len(groups)} schedules, {n_saved} saves, {n_taken_up} texts taken up",
            file=sys.stderr,
        )
        self.assertGreater(n_saved, len(groups))
        self.assertGreater(n_taken_up, len(groups))
        self.assertGreater(sum(each[2] for each in groups), len(groups))


if __name__ == "__main__":
    unittest.main()
