"""The simulation that compares mechanisms of `batches` and `relay`."""

import unittest

import attrs
from nose2 import tools

from simulation import events, load, rollouts, service
from tests.fakes import trace

TRAINERS = (load.Trainer(8, 8, 23.0), load.Trainer(10, 4, 10.0))


class VirtualTime(unittest.TestCase):
    def test_calls_run_in_the_order_of_their_times(self):
        loop = events.Loop()
        seen = []
        loop.call_later(2.0, lambda: seen.append(("late", loop.now)))
        loop.call_later(1.0, lambda: seen.append(("first", loop.now)))
        loop.call_later(
            1.0, lambda: loop.call_later(0.5, lambda: seen.append("made later"))
        )
        loop.run_until(2.0)
        self.assertEqual(seen, [("first", 1.0), "made later"])
        self.assertEqual(loop.now, 2.0)


def figures(workload, n_reserved, seed=1, n_steps=5):
    seen = rollouts.Simulation(workload, load.Policy(n_reserved), seed).run(n_steps)
    trace.note(seen)
    return seen


class EngineRate(unittest.TestCase):
    def test_new_items_do_not_add_rounds_of_events(self):
        """Several items are assigned at once to an engine that runs no items.

        If each of them scheduled a round of events, the engine would generate the
        events of all its items several times as fast.
        """
        trainer = load.Trainer(12, 1, 50.0, 0.0, long_share=0.0)
        workload = load.Load(
            (trainer,),
            10.0,
            n_engines=1,
            engine_capacity=4,
            look_ups_per_second=0.001,
            service_spread=0.0,
        )
        seen = figures(workload, 0, n_steps=3)
        # Three rounds of four items with 50 events each, and one score.
        expected = 3 * 50 * (0.035 + 3 * 0.00075) + 0.096
        for seconds in seen.step_seconds:
            self.assertAlmostEqual(seconds, expected, delta=0.15)


class Scoring(unittest.TestCase):
    """104 texts every 4 s are scored by a service that also serves look-ups."""

    def test_same_seed_same_figures(self):
        workload = load.Load(TRAINERS)
        first, again = figures(workload, 1), figures(workload, 1)
        self.assertEqual(first.step_seconds, again.step_seconds)
        self.assertEqual(first.look_up_seconds, again.look_up_seconds)

    def test_look_ups_do_not_wait_for_scores(self):
        """The service has only one of its three upstreams, with six slots.

        If scoring requests filled all slots and the queue, look-ups would wait for
        several of them. With one slot reserved, look-ups keep their latency, and nine
        of ten texts have their score within 1.5 s.
        """
        workload = load.Load(TRAINERS, n_upstreams=1)
        seen = figures(workload, 1)
        self.assertLess(service.percentile(seen.look_up_seconds, 0.99), 0.167)
        self.assertLess(service.percentile(seen.scoring_seconds, 0.9), 1.5)

    def test_too_many_reserved_slots_delay_scores(self):
        workload = load.Load(TRAINERS, n_upstreams=1)
        waits = [figures(workload, n).scoring_seconds for n in (1, 4)]
        slow = [service.percentile(each, 0.9) for each in waits]
        self.assertGreater(slow[1], 3 * slow[0])


class Steps(unittest.TestCase):
    """Loads with other step intervals and sizes than the default."""

    @tools.params(
        ("as played", load.Load(TRAINERS)),
        ("twice as often", load.Load(TRAINERS, step_seconds=2.0, n_engines=12)),
        (
            "half the pace, twice the time",
            load.Load(TRAINERS, 8.0, 15.0, event_seconds=0.07),
        ),
        ("one trainer", load.Load(TRAINERS[:1], n_engines=4)),
        ("slow scores", load.Load(TRAINERS, scoring_seconds=0.3, n_slots=18)),
        ("small engines", load.Load(TRAINERS, n_engines=18, engine_capacity=4)),
    )
    def test_nearly_all_groups_in_time(self, name, workload):
        seen = figures(workload, 1)
        n_groups = 5 * sum(each.n_groups for each in workload.trainers)
        self.assertLess(seen.n_late_groups, 0.05 * n_groups, name)
        self.assertEqual(len(seen.step_seconds), 5 * len(workload.trainers), name)


class WaitingTrainers(unittest.TestCase):
    """Trainers that request a step once they have trained on the last but one."""

    LOAD = load.Load(TRAINERS[1:], n_engines=2, training_seconds=0.5)

    def test_without_outage(self):
        """Each step is requested at its time, and all its groups are in time."""
        seen = figures(self.LOAD, 1)
        self.assertEqual(seen.n_steps_begun, 5)
        self.assertEqual(seen.earned, 5 * 9)

    def test_outage_longer_than_a_step(self):
        """No engine generates for 9 s, longer than a step's groups may take.

        The step's groups are late and later steps are delayed. With an outage of 30 s,
        the steps that would begin after five step intervals never begin.
        """
        down = attrs.evolve(self.LOAD, outage_at=4.5, outage_seconds=9.0)
        seen = figures(down, 1)
        self.assertLess(seen.earned, 5 * 9)
        self.assertGreater(seen.n_late_groups, 0)
        down = attrs.evolve(self.LOAD, outage_at=4.5, outage_seconds=30.0)
        self.assertLess(figures(down, 1).n_steps_begun, 5)
