"""Replays of competing trainers: no trainer is late where the engines can do the work.

The bounds are those of the deployments: a trainer that is behind at the end of the day
has not submitted its last steps, so at the end none may be more than a second behind.
Where the engines can't do the work, every trainer must get steps done.
"""

import math
import unittest

import attrs
from nose2 import tools

from simulation import load, rollouts
from tests.fakes import trace

N_STEPS = 8
MAX_LATE_SECONDS = 1.0


def trainers(*n_groups):
    """Return four trainers of unequal steps with these numbers of groups."""
    sizes = ((8, 8.0), (8, 4.0), (8, 6.0), (16, 7.0))
    return tuple(
        load.Trainer(n, size, n_events)
        for n, (size, n_events) in zip(n_groups, sizes, strict=True)
    )


# An engine generates 80 events per second, and a step has 1,560 events: the trainers
# need five of the twelve engines all the time.
LOAD = load.Load(
    trainers(6, 3, 4, 5),
    n_engines=12,
    engine_capacity=8,
    event_seconds=0.1,
    extra_item_seconds=0.0,
    n_upstreams=8,
    training_seconds=0.5,
    look_ups_per_second=0.01,
    needs_new_weights=True,
)
# Eight engines, which generate 2,560 events in a step interval.
SMALL = attrs.evolve(LOAD, n_engines=8)
EXACT = attrs.evolve(SMALL, trainers=trainers(10, 5, 6, 8))


def replay(workload, seed=1, n_steps=N_STEPS, **policy):
    policy_ = load.Policy(1, **policy)
    seen = rollouts.Simulation(workload, policy_, seed).run(n_steps)
    trace.note(seen)
    return seen


class CompetingTrainers(unittest.TestCase):
    @tools.params(
        ("unequal steps", LOAD, 1),
        (
            "a third of the engines 3.5 times slower",
            attrs.evolve(LOAD, n_slow_engines=4, slow_factor=3.5),
            1,
        ),
        (
            "a third of the engines 3.5 times slower",
            attrs.evolve(LOAD, n_slow_engines=4, slow_factor=3.5),
            2,
        ),
        (
            "a third of the engines 3.5 times slower",
            attrs.evolve(LOAD, n_slow_engines=4, slow_factor=3.5),
            3,
        ),
        (
            "an availability zone lost for 8 s",
            attrs.evolve(LOAD, n_zones=3, outage_at=10.0, outage_seconds=8.0),
            1,
        ),
        ("demand equal to the capacity", EXACT, 1),
    )
    def test_work_that_can_be_done(self, name, workload, seed):
        """Guard against a trainer that is late while others have a reserve."""
        seen = replay(workload, seed)
        for trainer, lateness in seen.lateness_seconds.items():
            self.assertEqual(seen.n_steps_done[trainer], N_STEPS, name)
            self.assertLessEqual(lateness[-1], MAX_LATE_SECONDS, name)

    @tools.params(
        ("1.2 times the capacity", 1.2, trainers(12, 6, 7, 10)),
        ("1.5 times the capacity", 1.5, trainers(15, 7, 9, 12)),
    )
    def test_more_work_than_can_be_done(self, name, demand, given):
        """Guard against a trainer that stops in favour of the others.

        The engines can do a share of all steps. Each trainer gets at least half of that
        share of its own.
        """
        n_steps = 6
        seen = replay(attrs.evolve(SMALL, trainers=given), n_steps=n_steps)
        for trainer in range(len(given)):
            n_min = math.floor(n_steps / demand / 2)
            self.assertGreaterEqual(seen.n_steps_done[trainer], n_min, name)

    def test_one_trainer_with_idle_engines(self):
        """Guard against pacing that costs a trainer steps when it has no competitor."""
        alone = attrs.evolve(LOAD, trainers=LOAD.trainers[:1])
        before = replay(alone, has_division=False)
        seen = replay(alone)
        self.assertGreaterEqual(seen.n_steps_done[0], before.n_steps_done[0])
        self.assertEqual(seen.n_moved_engines, 0)

    def test_engines_rarely_move(self):
        """Guard against loads of weights when no trainer is behind.

        The trainers' work is learned in the first steps, and hardly changes later.
        """
        seen = replay(LOAD)
        self.assertLessEqual(seen.n_moved_engines, LOAD.n_engines // 2)
