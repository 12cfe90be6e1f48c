"""What is held to be slow, and what becomes of the items there."""

import random
import statistics
import unittest

from nose2 import tools

from bilberrydrum.batches import (
    engine_shares,
    engines,
    lifecycle,
    scheduling,
    weight_plan,
)
from bilberrydrum.fleet import model as fleet_model
from tests import batches_support

waiting = batches_support.waiting
place = batches_support.place


class SlowEngine(unittest.TestCase):
    """An engine turns slow in the middle of its streams."""

    def engines(self, paces, age=0.0):
        known = engines.Engines()
        for engine_id, pace in paces.items():
            upstream = fleet_model.FleetUpstream(engine_id, "s", "a", "z", 2)
            known.by_id[engine_id] = engines.Engine(upstream)
            for n in range(100):
                known.by_id[engine_id].note_pause(pace, 100.0 - age + n / 1000)
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
        """Drawn paces: slow is who is slower than the others' median by the factor."""
        rng = random.Random(11)
        for n_engines in [2, 3, 4, 5] * 20 + [300, 301]:
            drawn = rng.choices([0.02, 0.03, 0.05, 0.1, 0.3], k=n_engines)
            known = engines.Engines()
            for number, pace in enumerate(drawn):
                upstream = fleet_model.FleetUpstream(str(number), "s", "a", "z", 2)
                known.by_id[str(number)] = engines.Engine(
                    upstream, pace_seconds=pace, paced_at=100.0
                )
            expected = {
                str(number)
                for number, pace in enumerate(drawn)
                if pace
                > engines.SLOW_FACTOR
                * statistics.median(drawn[:number] + drawn[number + 1 :])
            }
            self.assertEqual(known.slow_ids(100.1), expected, drawn)

    def test_slow_engine_is_tried_with_one_item(self):
        """All items were moved away from a slow engine, so its pace is not known.

        Given all its places again, it would hold up a dozen items at each try.
        """
        known = self.engines({"a": 0.15, "b": 0.03, "c": 0.04})
        known.slow_ids(100.1)
        shares = engine_shares.Shares()
        self.assertEqual(known.slow_ids(110.0), frozenset())
        self.assertEqual(known.by_id["a"].place(shares).n_slots, 1)
        self.assertEqual(known.by_id["b"].place(shares).n_slots, 2)
        for n in range(60):
            known.by_id["a"].note_pause(0.04, 110.0 + n / 100)
            known.by_id["b"].note_pause(0.04, 110.0 + n / 100)
        known.slow_ids(110.7)
        self.assertEqual(known.by_id["a"].place(shares).n_slots, 2)

    def test_belief_in_a_version_is_corrected(self):
        """An engine is believed to serve version 3 and answers under version 2.

        Left at that, items that ask for 3 would be sent there again and again, and it
        would not be told to load.
        """
        engine = self.engines({"a": 0.04}).by_id["a"]
        engine.learn_version("m", 3)
        engine.learn_version("m", 2)
        self.assertEqual(engine.versions_by_model, {"m": 3})
        engine.correct_version("m", 2)
        self.assertEqual(engine.versions_by_model, {"m": 2})

    def test_a_load_is_no_sign_of_slowness(self):
        known = self.engines({"a": 0.04, "b": 0.04})
        known.by_id["a"].loading = weight_plan.Load("a", "m", 2)
        known.by_id["a"].note_pause(1.2, 100.1)
        self.assertEqual(known.slow_ids(100.1), frozenset())

    def test_items_move_where_there_is_room(self):
        """A slow engine holds items of every group; two places are free elsewhere.

        Left there, they would take four times as long and hold up their trainer.
        """
        items = [waiting(each, is_on_slow_engine=True) for each in ("x", "y", "z")]
        places = [place("slow", 9, is_slow=True), place("e2", 4, n_running=2)]
        moved = [each.engine_id for each in scheduling.assign(items, places, 0.0)]
        self.assertEqual(moved, ["e2", "e2"])

    @tools.params(
        ("the one at the slow engine is more urgent", 1.0, 2.0, "slow"),
        ("the one that waits is more urgent", 2.0, 1.0, "waits"),
    )
    def test_items_at_slow_engines_go_by_the_time_left(self, name, slow, waits, first):
        """Two fifths of the engines are slow, and items wait for each place elsewhere.

        Moved only to places that nobody waits for, a long item stays where it takes six
        times as long; its trainer, which waits for it, misses its next steps.
        """
        items = [
            waiting("slow", start_by=slow, is_on_slow_engine=True),
            waiting("waits", start_by=waits),
        ]
        places = [place("slow", 6, is_slow=True, n_running=6), place("e2", 1)]
        given = scheduling.assign(items, places, 0.0)
        self.assertEqual([each.key[1] for each in given], [first], name)

    def test_engine_that_failed_is_passed_over_for_a_while_only(self):
        """The one engine that serves a version fails once.

        Passed over for good, the items would wait until their time is up.
        """
        run = lifecycle.ItemRun(batches_support.batch().items[0], ("b", "g0"))
        run.exclude("e", 100.0)
        self.assertEqual(run.excluded_ids(100.5), {"e"})
        self.assertEqual(run.excluded_ids(101.5), frozenset())
