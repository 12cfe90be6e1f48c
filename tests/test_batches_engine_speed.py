"""The speed of engines, learned from their streams and reports."""

import unittest

from nose2 import tools

from bilberrydrum.batches import engine_shares, engine_speed, engines
from bilberrydrum.fleet import model as fleet_model


def make_engine(engine_id="e", pace=0.0, n_events=100, n_slots=6):
    """Return an engine that has sent `n_events` at an interval of `pace`."""
    upstream = fleet_model.FleetUpstream(engine_id, "s", "a", "z", n_slots)
    engine = engines.Engine(upstream)
    for number in range(n_events if pace else 0):
        engine.record_pause(pace, 100.0 + number / 1000)
    return engine


def slots_of(known, engine_id):
    conditions = known.conditions(101.0, frozenset(), 1.0)
    return known.by_id[engine_id].capacity(engine_shares.Shares(), conditions).n_slots


def engines_of(*given):
    known = engines.Engines()
    known.by_id.update((each.upstream_id, each) for each in given)
    return known


class NormalSpeed(unittest.TestCase):
    def test_average(self):
        self.assertAlmostEqual(make_engine(pace=0.05).speed.normal_seconds, 0.05)

    @tools.params(("for a second", 40, 0.05, 0.065), ("for good", 3_000, 0.14, 0.16))
    def test_slowdown(self, name, n_events, least, most):
        """A slow engine counts as normal as soon as its slowdown is learned.

        A slowdown of seconds must hardly change the normal speed, and one that lasts
        must become normal.
        """
        engine = make_engine(pace=0.05, n_events=400)
        for number in range(n_events):
            engine.record_pause(0.16, 101.0 + number / 50)
        seconds = engine.speed.normal_seconds
        self.assertTrue(least <= seconds <= most, (name, seconds))

    def test_events_that_arrive_together(self):
        """The reader pauses, and the events of half a second arrive at once."""
        engine = make_engine(pace=0.05, n_events=400)
        for number in range(400):
            engine.record_pause(0.5 if number % 10 == 0 else 0.0, 101.0 + number / 20)
        seconds = engine.speed.normal_seconds
        self.assertTrue(0.04 <= seconds <= 0.06, seconds)


class WorkFactors(unittest.TestCase):
    @tools.params(
        ("none", (), 1.0),
        ("now", ((2.5, 100.0),), 2.5),
        ("the newest counts", ((2.5, 99.9), (1.2, 100.0)), 1.2),
        ("outdated", ((2.5, 99.4),), 1.0),
        ("zero", ((0.0, 100.0),), 1.0),
        ("negative", ((-3.0, 100.0),), 1.0),
        ("far too high", ((1e9, 100.0),), 1.0),
        ("infinite", ((float("inf"), 100.0),), 1.0),
        ("no number", ((float("nan"), 100.0),), 1.0),
        ("nonsense after a valid one", ((2.5, 99.9), (1e9, 100.0)), 2.5),
    )
    def test_work_factor(self, name, reports, expected):
        """An engine that reports nonsense gets no items, or all of them."""
        engine = make_engine()
        for factor, now in reports:
            engine.record_work_factor(factor, now)
        self.assertEqual(engine.speed.work_factor(100.0), expected, name)


class UnknownSpeed(unittest.TestCase):
    def test_restarted_engine_is_tried_with_few_items(self):
        """An engine that restarts and crashes again breaks off a full load of items.

        The new incarnation has no speed, so it gets half of its run slots until it has
        sent some events.
        """
        known = engines_of(*(make_engine(each, 0.05) for each in "abc"))
        registered = known.by_id["a"].upstream
        known.by_id["a"] = engines.Engine(registered)
        self.assertEqual(slots_of(known, "a"), 3)
        self.assertEqual(slots_of(known, "b"), 6)
        for number in range(engine_speed.MIN_SAMPLES):
            known.by_id["a"].record_pause(0.05, 100.0 + number / 100)
        self.assertEqual(slots_of(known, "a"), 6)

    @tools.params(
        ("no speed is known", (), 6),
        ("few are known", ("a",), 6),
        ("half are known", ("a", "b"), 3),
    )
    def test_new_leader(self, name, fast_ids, expected):
        """A new leader knows no speed and leaves half of all run slots empty."""
        known = engines_of(
            *(make_engine(each, 0.05 if each in fast_ids else 0.0) for each in "abcd")
        )
        self.assertEqual(slots_of(known, "d"), expected, name)

    def test_single_slot(self):
        known = engines_of(make_engine("a", 0.05), make_engine("b", n_slots=1))
        self.assertEqual(slots_of(known, "b"), 1)
