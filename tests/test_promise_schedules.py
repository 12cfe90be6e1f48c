"""Random schedules of faults, in a group that stores batches and registrations.

The faults are in `tests.fakes.group_faults`. The checks that nothing acknowledged is
lost are in `tests.fakes.promise_group`. BILBERRYDRUM_SCHEDULES sets how many schedules
are run; the number of schedules and steps is printed at the end.
"""

import os
import random
import sys
import unittest

import hypothesis
from hypothesis import strategies

from tests import schedules_support
from tests.fakes import group_faults, promise_group

N_SCHEDULES = int(os.environ.get("BILBERRYDRUM_SCHEDULES", "12"))
N_FAULTS = 12


def run_schedule(seed):
    """Run one schedule; return the group, whose checks have passed."""
    rng = random.Random(seed)
    group = promise_group.PromiseGroup(3, seed, n_voters=3)
    group.add_host("h3")
    group.run(2.0)
    group_faults.inject_faults(group, rng, N_FAULTS)
    group.run(6.0)
    return group


class Schedules(unittest.TestCase):
    def test_guarantees(self):
        """A leader acknowledged batches, results, ends of batches and departures.

        Whatever faults the hosts have, no later leader may contradict it, as long as no
        more disks are lost than the group tolerates.
        """
        n_steps = []

        @schedules_support.by_seeds(N_SCHEDULES)
        @hypothesis.given(strategies.integers(0, 2**32))
        def schedule(seed):
            with schedules_support.played_by(__name__, seed):
                n_steps.append(run_schedule(seed).n_steps)

        schedule()
        total = sum(n_steps)
        print(f"{len(n_steps)} schedules, {total} steps", file=sys.stderr)
        self.assertGreater(total, 1000)


class Progress(unittest.TestCase):
    def test_group_commits_after_a_store_is_replaced(self):
        """A store is drained and removed, and another loses its disk right after.

        The group must commit again, because three other stores are voters by then.
        """
        for seed in range(4):
            group = promise_group.PromiseGroup(3, seed, n_voters=3)
            group.add_host("h3")
            group.run(2.0)
            group.leaving.add("h0")
            for _ in range(40):
                group.run(0.25)
                voters = {
                    each.process_id
                    for each in group.hosts_by_name[
                        "h1"
                    ].replica_core.node.members.replicas
                    if each.is_voter
                }
                if voters == {"h1", "h2", "h3"}:
                    break
            self.assertEqual(voters, {"h1", "h2", "h3"})
            group.crash(group.hosts_by_name.pop("h0"))
            group.lose_disk(group.hosts_by_name["h1"])
            before = group.n_commits
            group.run(8.0)
            self.assertGreater(group.n_commits, before)
