"""Moves of running items from slower engines to faster ones."""

import unittest
from unittest import mock

import eliot
import hypothesis
from hypothesis import strategies
from nose2 import tools

from bilberrydrum import clock, counters
from bilberrydrum.batches import engines, lifecycle, model, moves, scheduling, urgency
from bilberrydrum.batches import work as work_module
from bilberrydrum.fleet import model as fleet_model
from tests import batches_support
from tests import test_batches_scheduling_pass as scheduling_pass

FAST = 0.04
SLOW = 0.09
INFINITE = float("inf")
SECONDS = strategies.floats(0.01, 0.5)


def engine_of(engine_id, pace, n_running=0, n_slots=6):
    upstream = fleet_model.FleetUpstream(engine_id, "s", "a", "z", n_slots)
    engine = engines.Engine(upstream, n_running=n_running)
    for number in range(100 if pace else 0):
        engine.record_pause(pace, 100.0 + number / 1000)
    return engine


class Gain(unittest.TestCase):
    @tools.params(
        ("long", 100, SLOW, FAST, True),
        ("as fast", 100, SLOW, SLOW, False),
        ("a little faster", 100, SLOW, 0.8 * SLOW, False),
        ("costs more than it saves", 5, SLOW, FAST, False),
        ("saves less than a quarter", 12, SLOW, FAST, False),
        ("about to end", 0, SLOW, FAST, False),
        ("speed unknown", 1, 0.0, FAST, True),
    )
    def test_is_worthwhile(self, name, n_events, here, there, expected):
        source = moves.Source(here, False)
        limit = moves.max_target_seconds(n_events, source)
        self.assertEqual(there <= limit, expected, name)

    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    @hypothesis.given(SECONDS, SECONDS, strategies.floats(0.0, 200.0))
    def test_not_back_and_forth(self, here, there, n_events):
        """An item moves to and fro, and each time its text is read again."""
        away = there <= moves.max_target_seconds(n_events, moves.Source(here, False))
        back = here <= moves.max_target_seconds(n_events, moves.Source(there, False))
        self.assertFalse(away and back)
        if away:
            gain = moves.gain_seconds(max(n_events, 1.0), here, there)
            self.assertGreaterEqual(gain, moves.MIN_GAIN_SHARE * n_events * here - 1e-9)


class Sources(unittest.TestCase):
    @tools.params(
        ("a fast one is free", FAST, 0, SLOW, frozenset(), {"b"}),
        ("the fast one is full", FAST, 6, SLOW, frozenset(), set()),
        ("the fast one is slow now", FAST, 0, SLOW, frozenset("a"), {"a"}),
        ("about equal", FAST, 0, 1.2 * FAST, frozenset(), set()),
        ("no speed is known", 0.0, 0, 0.0, frozenset(), set()),
        ("slow engine", FAST, 0, FAST, frozenset("b"), {"b"}),
        ("slow engine that has gone", FAST, 0, FAST, frozenset("gone"), set()),
    )
    def test_sources(self, name, pace_a, n_running_a, pace_b, slow_ids, expected):
        known = engines.Engines()
        known.by_id["a"] = engine_of("a", pace_a, n_running_a)
        known.by_id["b"] = engine_of("b", pace_b, 6)
        sources_by_id = known.move_sources(known.by_id.values(), slow_ids)
        self.assertEqual(set(sources_by_id), expected, name)


class Considered(unittest.TestCase):
    """Twenty items of different lengths run at a slower engine."""

    def setUp(self):
        items = tuple(
            model.Item(f"i{n:02}", "/", {}, b"", 500, "g", 0, 100 + n)
            for n in range(20)
        )
        kept = model.KeptBatch.of(model.Batch("b", "h", items, model="m"), 0.0)
        self.work = work_module.OpenBatches()
        self.runs_by_item_id = self.work.open(kept, 0.0).runs_by_item_id
        for run in self.runs_by_item_id.values():
            run.begin_generating("e")

    def considered(self):
        sources_by_id = {"e": moves.Source(SLOW, False)}
        found = work_module.movable_runs(self.work, sources_by_id, urgency.Pace())
        return [each.key[1] for each in found]

    def test_longest_first(self):
        expected = [f"i{n:02}" for n in range(19, 3, -1)]
        self.assertEqual(self.considered(), expected)

    def test_at_most_three_times(self):
        self.runs_by_item_id["i19"].n_moves = moves.MAX_MOVES
        self.runs_by_item_id["i18"].n_moves = moves.MAX_MOVES - 1
        self.assertEqual(self.considered()[0], "i18")

    def test_waiting_items_are_no_moves(self):
        self.runs_by_item_id["i19"].end_generating()
        self.assertEqual(self.considered()[0], "i18")


class Assignment(unittest.TestCase):
    @tools.params(
        ("the running item is more urgent", 1.0, 2.0, "runs"),
        ("the waiting item is more urgent", 2.0, 1.0, "waits"),
    )
    def test_order(self, name, runs, waits, first):
        """A move takes the run slot of an item that is more urgent."""
        items = [
            batches_support.waiting(
                "runs", runs, is_running=True, max_event_seconds=0.06
            ),
            batches_support.waiting("waits", waits),
        ]
        capacities = [batches_support.make_engine("a", 1, event_seconds=FAST)]
        given = scheduling.assign(items, capacities, 0.0)
        self.assertEqual([each.key[1] for each in given], [first], name)

    @tools.params(
        ("faster", FAST, True, True),
        ("not faster", SLOW, True, False),
        ("unknown, from a slow engine", 0.0, True, True),
        ("unknown, from a slower engine", 0.0, False, False),
    )
    def test_target(self, name, event_seconds, may_try_unknown, expected):
        item = batches_support.waiting(
            is_running=True,
            max_event_seconds=0.06,
            may_try_unknown=may_try_unknown,
        )
        engine = batches_support.make_engine(event_seconds=event_seconds)
        given = scheduling.assign([item], [engine], 0.0)
        self.assertEqual(bool(given), expected, name)


class Pass(scheduling_pass.SchedulingPassCase):
    """A long item runs at a slower engine while a fast one is free."""

    def test_move(self):
        """The last item of a step runs at a slow engine beside idle fast ones."""
        slow, fast = scheduling_pass.upstream(0), scheduling_pass.upstream(1)
        self.change(slow, fast)
        opened = self.runner._work.open_batches()[0]
        run, *others = opened.runs_by_item_id.values()
        for each in others:
            each.finish()
        self.runner._engines.refresh(
            self.view.registry.upstreams, self.view.routes.services_by_name
        )
        known = self.runner._engines.by_id
        for engine, pace in (("e00", SLOW), ("e01", FAST)):
            for _ in range(100):
                known[engine].record_pause(pace, clock.now())
        run.begin_generating("e00")
        known["e00"].add_run(run)

        def cancel(key):
            known["e00"].remove_run(run)
            run.end_generating()

        before = counters.ITEM_MOVES._value.get()
        lines = []
        eliot.add_destinations(lines.append)
        self.addCleanup(eliot.remove_destination, lines.append)
        with mock.patch.object(self.runner._items, "cancel_for_move", cancel):
            sent_to = [each.upstream_id for each in self.run_pass()]
        self.assertEqual(sent_to, ["e01"])
        self.assertEqual(run.stage, lifecycle.Stage.WAITING)
        self.assertEqual(counters.ITEM_MOVES._value.get() - before, 1)
        gains = [e["gain_seconds"] for e in lines if "gain_seconds" in e]
        expected = moves.gain_seconds(20, SLOW, FAST)
        self.assertEqual(gains, [round(expected, 3)])
