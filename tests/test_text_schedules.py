"""Randomised schedules of a group whose leaders save and resume unfinished texts.

The faults are in `tests.fakes.group_faults`; the leaders' actions and the checks are
in `tests.fakes.text_group`. BILBERRYDRUM_SCHEDULES sets the number of schedules.
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
N_FAULTS = 6
SECONDS = (0.3, 0.8, 2.0)


def run_schedule(seed):
    """Run one schedule with its checks; return the group."""
    rng = random.Random(seed)
    group = text_group.TextGroup(3, seed, n_voters=3)
    group.add_host("h3")
    group.run(1.5)
    group_faults.inject_faults(group, rng, N_FAULTS, SECONDS)
    group.settle()
    return group


class Schedules(unittest.TestCase):
    def test_texts(self):
        """Guard against a text with events of two runs that do not continue each other.

        Leaders change and detect it late; saves are refused, delayed and duplicated;
        texts are restarted; batches end and their items are submitted again. Everything
        stored, resumed or listed must be the beginning of one text with the versions of
        its events. Texts whose saves were lost must be stored in the end.
        """
        groups = []

        @schedules_support.by_seeds(N_SCHEDULES)
        @hypothesis.given(strategies.integers(0, 2**32))
        def schedule(seed):
            with schedules_support.played_by(__name__, seed):
                group = run_schedule(seed)
            groups.append((group.n_saved, group.n_resumed, group.n_caught_up))

        schedule()
        n_saved = sum(each[0] for each in groups)
        n_resumed = sum(each[1] for each in groups)
        print(
            f"{len(groups)} schedules, {n_saved} saves, {n_resumed} texts resumed",
            file=sys.stderr,
        )
        self.assertGreater(n_saved, len(groups))
        self.assertGreater(n_resumed, len(groups))
        self.assertGreater(sum(each[2] for each in groups), len(groups))


if __name__ == "__main__":
    unittest.main()
