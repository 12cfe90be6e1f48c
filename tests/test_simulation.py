"""The simulation: what it replays for the choices of `batches` and `relay`."""

import unittest

import attrs
from nose2 import tools

from simulation import events, load, rollouts, service
from tests.fakes import trace

TRAINERS = (load.Trainer(8, 8, 23.0), load.Trainer(10, 4, 10.0))


class Time(unittest.TestCase):
    def test_calls_come_in_the_order_of_their_moments(self):
        loop = events.Loop()
        seen = []
        loop.after(2.0, lambda: seen.append(("late", loop.now)))
        loop.after(1.0, lambda: seen.append(("first", loop.now)))
        loop.after(1.0, lambda: loop.after(0.5, lambda: seen.append("made later")))
        loop.run_until(2.0)
        self.assertEqual(seen, [("first", 1.0), "made later"])
        self.assertEqual(loop.now, 2.0)


def figures(given, n_free, seed=1, n_steps=5):
    seen = rollouts.Simulation(given, load.Policy(n_free), seed).run(n_steps)
    trace.note(seen)
    return seen


class Engine(unittest.TestCase):
    def test_pace_does_not_grow_with_what_comes(self):
        """Items come to an engine that has just made its last event.

        Were each of them to set off a round of events of its own, the engine would
        make the events of all its items several times as fast.
        """
        trainer = load.Trainer(12, 1, 50.0, 0.0, long_share=0.0)
        given = load.Load(
            (trainer,),
            10.0,
            n_engines=1,
            n_places=4,
            look_ups_per_second=0.001,
            service_spread=0.0,
        )
        seen = figures(given, 0, n_steps=3)
        # Three rounds of four items, and a score.
        expected = 3 * 50 * (0.035 + 3 * 0.00075) + 0.096
        for seconds in seen.step_seconds:
            self.assertAlmostEqual(seconds, expected, delta=0.15)


class Scoring(unittest.TestCase):
    """104 texts every 4 s are scored by a service that look-ups use as well."""

    def test_same_seed_same_figures(self):
        given = load.Load(TRAINERS)
        first, again = figures(given, 1), figures(given, 1)
        self.assertEqual(first.step_seconds, again.step_seconds)
        self.assertEqual(first.look_up_seconds, again.look_up_seconds)

    def test_look_ups_do_not_wait_for_scores(self):
        """Two of three upstreams were taken away; six places are left for all.

        With a place free for them, look-ups are as quick as before; scores come within
        a second and a half.
        """
        given = load.Load(TRAINERS, n_upstreams=1)
        seen = figures(given, 1)
        self.assertLess(service.percentile(seen.look_up_seconds, 0.99), 0.167)
        self.assertLess(service.percentile(seen.scoring_seconds, 0.9), 1.5)

    def test_too_many_free_places_leave_scores_behind(self):
        given = load.Load(TRAINERS, n_upstreams=1)
        waits = [figures(given, n).scoring_seconds for n in (1, 4)]
        slow = [service.percentile(each, 0.9) for each in waits]
        self.assertGreater(slow[1], 3 * slow[0])


class Steps(unittest.TestCase):
    """Other rhythms and sizes than those that anything was measured with."""

    @tools.params(
        ("as played", load.Load(TRAINERS)),
        ("twice as often", load.Load(TRAINERS, step_seconds=2.0, n_engines=12)),
        (
            "half the pace, twice the time",
            load.Load(TRAINERS, 8.0, 15.0, event_seconds=0.07),
        ),
        ("one trainer", load.Load(TRAINERS[:1], n_engines=4)),
        ("slow scores", load.Load(TRAINERS, scoring_seconds=0.3, n_slots=18)),
        ("small engines", load.Load(TRAINERS, n_engines=18, n_places=4)),
    )
    def test_nearly_all_groups_in_time(self, name, given):
        seen = figures(given, 1)
        n_groups = 5 * sum(each.n_groups for each in given.trainers)
        self.assertLess(seen.n_late_groups, 0.05 * n_groups, name)
        self.assertEqual(len(seen.step_seconds), 5 * len(given.trainers), name)


class Waiting(unittest.TestCase):
    """Trainers that ask for a step once they are done with the last but one."""

    LOAD = load.Load(TRAINERS[1:], n_engines=2, training_seconds=0.5)

    def test_calm(self):
        """Each step comes at its time, and all its groups are in time."""
        seen = figures(self.LOAD, 1)
        self.assertEqual(seen.n_steps_begun, 5)
        self.assertEqual(seen.earned, 5 * 9)

    def test_processes_are_down(self):
        """Nothing is made for longer than a step may take: its groups are late.

        The steps behind it come later, and those that the time does not reach are
        never begun.
        """
        down = attrs.evolve(self.LOAD, outage_at=4.5, outage_seconds=9.0)
        seen = figures(down, 1)
        self.assertLess(seen.earned, 5 * 9)
        self.assertGreater(seen.n_late_groups, 0)
        down = attrs.evolve(self.LOAD, outage_at=4.5, outage_seconds=30.0)
        self.assertLess(figures(down, 1).n_steps_begun, 5)
