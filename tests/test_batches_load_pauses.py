"""Whether loads of weights interrupt the items that an engine runs."""

import unittest

from nose2 import tools

from bilberrydrum.batches import engines, load_pauses, weight_plan
from bilberrydrum.fleet import model as fleet_model

LOAD = weight_plan.Load("e", "m", 2)


class StreamCount(unittest.TestCase):
    @tools.params(
        ("events as usual", 0.05, 18, 0.9, False),
        ("two streams", 0.05, 36, 0.9, False),
        ("none", 0.05, 0, 0.9, True),
        ("a few before the pause", 0.05, 3, 0.9, True),
        ("pace not known", 0.0, 18, 0.9, None),
        ("load too short to tell", 0.3, 0, 0.9, None),
    )
    def test_was_interrupted(self, name, event_seconds, n_events, seconds, expected):
        count = load_pauses.StreamCount(event_seconds, n_events)
        self.assertIs(count.was_interrupted(seconds), expected, name)


class LoadPauses(unittest.TestCase):
    @tools.params(
        ("no load yet", [], False),
        ("too few", [False, False], False),
        ("none interrupted", [False] * 3, True),
        ("all interrupted", [True] * 8, False),
        ("one of eight, a hanging engine", [False] * 7 + [True], True),
        ("three of eight", [True] * 3 + [False] * 5, False),
        ("can't be told", [None] * 9, False),
        ("interrupted long ago", [True] * 8 + [False] * 8, True),
    )
    def test_are_absent(self, name, loads, expected):
        """Each load pauses an engine's items, and all engines load each version."""
        pauses = load_pauses.LoadPauses()
        for each in loads:
            pauses.record(each)
        self.assertEqual(pauses.are_absent(), expected, name)


class EngineThatLoads(unittest.TestCase):
    def engine(self, n_running):
        upstream = fleet_model.FleetUpstream("e", "s", "a", "z", 6)
        return engines.Engine(upstream, n_running=n_running, pace_seconds=0.05)

    def test_events_during_a_load_are_counted(self):
        engine = self.engine(n_running=1)
        engine.begin_load(LOAD)
        for n in range(18):
            engine.record_pause(0.05, 100.0 + n * 0.05)
        self.assertIs(engine.loading_streams.was_interrupted(0.9), False)

    def test_interval_that_includes_a_load_does_not_change_the_pace(self):
        engine = self.engine(n_running=1)
        engine.begin_load(LOAD)
        engine.record_pause(1.2, 101.0)
        engine.end_load()
        self.assertEqual(engine.pace_seconds, 0.05)
        self.assertIsNone(engine.loading_streams)

    def test_engine_without_items_says_nothing(self):
        engine = self.engine(n_running=0)
        engine.begin_load(LOAD)
        self.assertIsNone(engine.loading_streams)
