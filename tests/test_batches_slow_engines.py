"""Detection of slow engines, and what happens to the items that run there."""

import random
import statistics
import unittest

from nose2 import tools

from bilberrydrum.batches import (
    engine_shares,
    engines,
    lifecycle,
    scheduling,
    slow_engines,
    weight_plan,
)
from bilberrydrum.fleet import model as fleet_model
from tests import batches_support

waiting = batches_support.waiting
make_engine = batches_support.make_engine


class SlowEngine(unittest.TestCase):
    """An engine becomes slow while it sends streams."""

    def engines(self, paces, age=0.0):
        known = engines.Engines()
        for engine_id, pace in paces.items():
            upstream = fleet_model.FleetUpstream(engine_id, "s", "a", "z", 2)
            known.by_id[engine_id] = engines.Engine(upstream)
            for n in range(100):
                known.by_id[engine_id].record_pause(pace, 100.0 - age + n / 1000)
        return known

    @tools.params(
        ("alike", {"a": 0.04, "b": 0.03, "c": 0.04}, 0.0, set()),
        ("one slow", {"a": 0.15, "b": 0.03, "c": 0.04}, 0.0, {"a"}),
        (
            "two slow of five",
            {"a": 0.15, "b": 0.15, "c": 0.04, "d": 0.04, "e": 0.04},
            0.0,
            {"a", "b"},
        ),
        ("long ago", {"a": 0.15, "b": 0.03, "c": 0.04}, 4.0, set()),
        ("alone", {"a": 0.15}, 0.0, set()),
    )
    def test_slow(self, name, paces, age, expected):
        self.assertEqual(self.engines(paces, age).slow_ids(100.1), expected, name)

    def test_slow_among_many(self):
        """Random paces: the result equals a direct comparison with the median."""
        rng = random.Random(11)
        for n_engines in [2, 3, 4, 5] * 20 + [300, 301]:
            drawn = rng.choices([0.02, 0.03, 0.05, 0.1, 0.3], k=n_engines)
            known = engines.Engines()
            for number, pace in enumerate(drawn):
                upstream = fleet_model.FleetUpstream(str(number), "s", "a", "z", 2)
                known.by_id[str(number)] = engines.Engine(
                    upstream, pace_seconds=pace, pace_updated_at=100.0
                )
            expected = {
                str(number)
                for number, pace in enumerate(drawn)
                if pace
                > slow_engines.SLOW_FACTOR
                * statistics.median(drawn[:number] + drawn[number + 1 :])
            }
            self.assertEqual(known.slow_ids(100.1), expected, drawn)

    def test_slow_engine_is_tried_with_one_item(self):
        """A slow engine delays a dozen items each time it is tried again.

        All items were moved away from the engine, so its pace is not known any more. It
        must be tried with one item, until its pace is normal again.
        """
        known = self.engines({"a": 0.15, "b": 0.03, "c": 0.04})
        known.slow_ids(100.1)
        shares = engine_shares.Shares()
        self.assertEqual(known.slow_ids(110.0), frozenset())
        self.assertEqual(known.by_id["a"].capacity(shares).n_slots, 1)
        self.assertEqual(known.by_id["b"].capacity(shares).n_slots, 2)
        for n in range(60):
            known.by_id["a"].record_pause(0.04, 110.0 + n / 100)
            known.by_id["b"].record_pause(0.04, 110.0 + n / 100)
        known.slow_ids(110.7)
        self.assertEqual(known.by_id["a"].capacity(shares).n_slots, 2)

    def test_known_version_is_corrected(self):
        """An engine is recorded with version 3 but answers under version 2.

        If the record were not corrected, items that require version 3 would be sent
        there again and again, and the engine would not be ordered to load it.
        """
        engine = self.engines({"a": 0.04}).by_id["a"]
        engine.learn_version("m", 3)
        engine.learn_version("m", 2)
        self.assertEqual(engine.versions_by_model, {"m": 3})
        engine.correct_version("m", 2)
        self.assertEqual(engine.versions_by_model, {"m": 2})

    def test_load_does_not_make_an_engine_slow(self):
        known = self.engines({"a": 0.04, "b": 0.04})
        known.by_id["a"].loading = weight_plan.Load("a", "m", 2)
        known.by_id["a"].record_pause(1.2, 100.1)
        self.assertEqual(known.slow_ids(100.1), frozenset())

    def test_items_move_where_there_is_room(self):
        """Items stay at a slow engine, take four times as long and delay their trainer.

        The slow engine runs items of several groups, and two run slots are free at
        another engine.
        """
        items = [waiting(each, is_running=True) for each in ("x", "y", "z")]
        capacities = [
            make_engine("slow", 9, is_slow=True),
            make_engine("e2", 4, n_running=2),
        ]
        moved = [each.engine_id for each in scheduling.assign(items, capacities, 0.0)]
        self.assertEqual(moved, ["e2", "e2"])

    @tools.params(
        ("the item at the slow engine is more urgent", 1.0, 2.0, "slow"),
        ("the waiting item is more urgent", 2.0, 1.0, "waits"),
    )
    def test_items_at_slow_engines_are_ordered_by_time_left(
        self, name, slow, waits, first
    ):
        """An item stays at a slow engine, takes six times as long, delays its trainer.

        Two fifths of the engines are slow, and waiting items compete for the run slots
        of the others. If items were moved only to slots that nobody waits for, a long
        item would never move, and its trainer would miss its next steps.
        """
        items = [
            waiting("slow", start_by=slow, is_running=True),
            waiting("waits", start_by=waits),
        ]
        capacities = [
            make_engine("slow", 6, is_slow=True, n_running=6),
            make_engine("e2", 1),
        ]
        given = scheduling.assign(items, capacities, 0.0)
        self.assertEqual([each.key[1] for each in given], [first], name)

    def test_failed_engine_is_excluded_for_a_limited_time(self):
        """Items wait until their deadline although an engine could run them.

        The only engine that serves a version has failed once. It must not be excluded
        forever.
        """
        run = lifecycle.ItemRun(batches_support.batch().items[0], ("b", "g0"))
        run.exclude("e", 100.0)
        self.assertEqual(run.excluded_ids(100.5), {"e"})
        self.assertEqual(run.excluded_ids(101.5), frozenset())
