"""Usage reports: what gateways count, and what the control group closes."""

import unittest

from nose2 import tools

from bilberrydrum.state import machine
from bilberrydrum.usage import (
    cluster_clock,
    collector,
    commands,
    meter,
    model,
)
from tests import helpers
from tests.fakes import usage_world

FIRST = usage_world.FIRST
OPTIONS = usage_world.OPTIONS
UNIX = usage_world.UNIX


def snapshot(
    counts=None,
    complete_before=FIRST + 1,
    incarnation="a",
    sequence=1,
    is_last=False,
):
    windows = tuple(
        model.WindowCounts(window, n_by_account)
        for window, n_by_account in (counts or {}).items()
    )
    return model.CountsSnapshot(
        incarnation, sequence, complete_before, windows, is_last
    )


class ClusterClock(unittest.TestCase):
    """The clocks of a third of the hosts jump by two seconds and back."""

    @tools.params(
        ("none", [], None),
        ("alone", [7.0], 7.0),
        ("a third ahead", [7.0, 7.001, 6.999, 7.002, 9.0, 9.0], 7.0015),
        ("a third behind", [7.0, 7.001, 6.999, 5.0, 7.002, 5.0], 6.9995),
        ("one far off", [7.0, 7.0, 1e9], 7.0),
    )
    def test_median(self, name, offsets, expected):
        found = cluster_clock.median_offset(offsets)
        if expected is None:
            self.assertIsNone(found, name)
        else:
            self.assertAlmostEqual(found, expected, msg=name)

    def test_fastest_answer_counts(self):
        """With a round trip of a second, the estimate may be off by half a second."""
        time = cluster_clock.ClusterClock()
        time.add_sample(UNIX + 0.9, 1000.0, 1001.0)
        time.add_sample(UNIX + 2.0005, 1002.0, 1002.001)
        time.add_sample(UNIX + 3.1, 1003.0, 1004.0)
        self.assertAlmostEqual(time.unix_time(1010.0), UNIX + 10.0, places=6)


class Metered(unittest.TestCase):
    """What a gateway counts, and which windows it reports as complete."""

    def setUp(self):
        held = helpers.manual_clock()
        self.clock = held.__enter__()
        self.addCleanup(held.__exit__, None, None, None)
        self.meter = meter.Meter(5.0)
        self.update()

    def update(self, closed_before=0):
        unix_time = UNIX + self.clock.now - 1000.0
        self.meter.update(unix_time, self.clock.now, self.clock.now, closed_before)

    def run_one(self, account="acme", began=True, seconds=0.01):
        with meter.attempt(self.meter, account) as attempt:
            attempt.began_at = self.clock.now if began else None
            self.clock.advance(seconds)

    def counts(self):
        windows = self.meter.snapshot().counts
        return {each.window - FIRST: each.n_by_account for each in windows}

    def test_by_window_and_account(self):
        self.run_one()
        self.run_one("beta")
        self.run_one(began=False)
        self.run_one("")
        self.run_one(None)
        self.clock.advance(4.99)
        self.run_one()
        self.assertEqual(self.counts(), {0: {"acme": 1, "beta": 1}, 1: {"acme": 1}})

    def test_counted_in_the_window_of_sending(self):
        """A request counts in the window it was sent in, however long it takes."""
        self.clock.advance(4.9)
        self.run_one(seconds=1.0)
        self.assertEqual(self.counts(), {0: {"acme": 1}})

    def test_complete_once_nothing_is_in_flight(self):
        self.clock.advance(4.9)
        with meter.attempt(self.meter, "acme"):
            self.clock.advance(1.0)
            self.assertEqual(self.meter.snapshot().complete_before, FIRST)
        self.assertEqual(self.meter.snapshot().complete_before, FIRST + 1)

    def test_sent_until_closed(self):
        """A snapshot may be lost, so each contains all windows that are not closed."""
        self.run_one()
        first, second = self.meter.snapshot(), self.meter.snapshot()
        self.assertEqual(first.counts, second.counts)
        self.assertLess(first.sequence, second.sequence)
        self.update(FIRST + 1)
        self.assertEqual(self.counts(), {})
        self.run_one()
        self.assertEqual(self.counts(), {}, "counted after its window was closed")

    def test_bounded(self):
        """Without a control group the oldest windows are dropped."""
        for _ in range(meter.MAX_WINDOWS + 5):
            self.run_one()
            self.clock.advance(5.0)
        self.assertEqual(len(self.counts()), meter.MAX_WINDOWS)

    def test_last_snapshot(self):
        self.assertFalse(self.meter.snapshot().is_last)
        self.meter.is_stopping = True
        self.assertTrue(self.meter.snapshot().is_last)

    def test_before_the_first_answer(self):
        fresh = meter.Meter(5.0)
        with meter.attempt(fresh, "acme") as attempt:
            attempt.began_at = self.clock.now
        self.assertIsNone(fresh.snapshot())

    def test_not_counted(self):
        with meter.attempt(None, "acme") as attempt:
            attempt.began_at = 1.0


class Collected(unittest.TestCase):
    """When a window is closed, and with which counts; times are since its beginning."""

    DONE = snapshot({FIRST: {"acme": 2}})
    OPEN = snapshot({FIRST: {"acme": 2}}, FIRST)

    @tools.params(
        ("received from all", [("g1", DONE), ("g2", DONE)], 5.1, {"acme": 4}),
        ("window not over", [("g1", DONE)], 4.9, None),
        ("one has a request in flight", [("g1", DONE), ("g2", OPEN)], 5.1, None),
        ("no longer waited for", [("g1", DONE), ("g2", OPEN)], 11.0, {"acme": 4}),
        ("no snapshots", [], 5.1, {}),
        (
            "killed and started again",
            [("g1", OPEN), ("g1", snapshot({FIRST: {"beta": 1}}, incarnation="b"))],
            5.1,
            {"acme": 2, "beta": 1},
        ),
        (
            "two snapshots, the later first",
            [
                ("g1", snapshot({FIRST: {"acme": 3}}, sequence=2)),
                ("g1", snapshot({FIRST: {"acme": 1}}, sequence=1)),
            ],
            5.1,
            {"acme": 3},
        ),
        (
            "stopped gracefully",
            [("g1", snapshot({FIRST: {"acme": 1}}, FIRST, is_last=True))],
            5.1,
            {"acme": 1},
        ),
    )
    def test_close(self, name, snapshots, seconds, expected):
        collected = collector.CountsCollector(OPTIONS, 900.0)
        for address, each in snapshots:
            collected.record(address, each, 1004.0)
        closed = collected.closable(FIRST, UNIX + seconds, 1000.0 + seconds, 3.0)
        counts = [each.n_by_account for each in closed]
        self.assertEqual(counts, [] if expected is None else [expected], name)

    A1 = snapshot({FIRST: {"acme": 1}}, sequence=4)
    A2 = snapshot({FIRST: {"acme": 2}}, sequence=5)
    B1 = snapshot({FIRST: {"beta": 1}}, incarnation="b")
    B2 = snapshot({FIRST: {"beta": 2}}, incarnation="b", sequence=2)

    @tools.params(
        ("an older one arrives late", [A2, B1, A1, B2], {"acme": 2, "beta": 2}),
        ("the last one arrives late", [A1, B1, A2, B2], {"acme": 2, "beta": 2}),
        ("in alternating order", [A1, B1, A2, A1, B2, B1, A2], {"acme": 2, "beta": 2}),
        ("the later start arrives first", [B1, A1, B2], {"acme": 1, "beta": 2}),
    )
    def test_interleaved_snapshots_of_two_starts(self, name, snapshots, expected):
        """An account is reported with more requests than upstreams began for it.

        A gateway is killed and starts again. Snapshots of the first start are delayed,
        in the network or by a suspended leader, and arrive between those of the second.
        When counts were added in order of arrival, those of one start counted two or
        three times: in the first case 3 and 3 were reported instead of 2 and 2.
        """
        collected = collector.CountsCollector(OPTIONS, 900.0)
        for each in snapshots:
            collected.record("g1", each, 1004.0)
        closed = list(collected.closable(FIRST, UNIX + 5.1, 1005.1, 3.0))
        self.assertEqual(closed, [model.WindowCounts(FIRST, expected)], name)

    def test_new_leader_waits_for_snapshots(self):
        collected = collector.CountsCollector(OPTIONS, 1004.0)
        collected.record("g1", self.DONE, 1004.5)
        self.assertEqual(list(collected.closable(FIRST, UNIX + 6, 1006.0, 3.0)), [])
        closed = list(collected.closable(FIRST, UNIX + 7.5, 1007.5, 3.0))
        self.assertEqual(closed, [model.WindowCounts(FIRST, {"acme": 2})])

    def test_after_a_long_suspension(self):
        """All windows that have passed are closed, in order, including empty ones."""
        collected = collector.CountsCollector(OPTIONS, 900.0)
        collected.record("g1", snapshot({FIRST + 2: {"acme": 1}}, FIRST + 9), 1040.0)
        closed = list(collected.closable(FIRST, UNIX + 21.0, 1041.0, 3.0))
        self.assertEqual([each.window - FIRST for each in closed], [0, 1, 2, 3])
        self.assertEqual(closed[2].n_by_account, {"acme": 1})

    def test_former_processes_are_forgotten(self):
        collected = collector.CountsCollector(OPTIONS, 900.0)
        collected.record("g1", self.DONE, 1004.0)
        collected.record("g1", snapshot({}, FIRST + 3, "b"), 1004.0)
        self.assertEqual(collected.first_window(), FIRST)
        collected.forget_before(FIRST + 1)
        self.assertIsNone(collected.first_window())


class Closed(unittest.TestCase):
    """A window keeps the counts with which it was closed first."""

    def apply(self, *given):
        state = machine.State()
        for index, command in enumerate(given, 1):
            machine.apply(command, state, machine.Context(index, float(index)))
        return commands.section_of(state)

    def close(self, window, n):
        return commands.CloseWindows((model.WindowCounts(window, {"acme": n}),))

    def test_once(self):
        section = self.apply(self.close(5, 1), self.close(5, 2), self.close(4, 3))
        self.assertEqual(section.closed_before, 6)
        pending = {k: v.n_by_account for k, v in section.pending_by_window.items()}
        self.assertEqual(pending, {5: {"acme": 1}})

    def test_confirmed(self):
        confirm = commands.ConfirmWindows((5,))
        section = self.apply(self.close(5, 1), confirm, confirm, self.close(5, 2))
        self.assertEqual(section.pending_by_window, {})

    def test_bounded(self):
        given = [self.close(n, 1) for n in range(commands.MAX_PENDING + 3)]
        section = self.apply(*given)
        self.assertEqual(min(section.pending_by_window), 3)
