"""Four trainers' steps on 24 engines of which a quarter has half the speed."""

import contextlib
import unittest
from unittest import mock

from nose2 import tools

from bilberrydrum.batches import engine_speed, moves
from tests import helpers
from tests.fakes import uneven_replay

N_STEPS = 3
# Time of an item of the maximum length at a full fast engine, in seconds.
LONGEST_SECONDS = uneven_replay.MAX_EVENTS * 1.2 * uneven_replay.FAST_SECONDS


@contextlib.contextmanager
def replay(seed, **options):
    with helpers.manual_clock() as clock:
        yield uneven_replay.Replay(seed, clock, **options)


def without_speeds():
    """Decide as if the normal speeds were never known."""
    return mock.patch.object(engine_speed, "MIN_SAMPLES", 10**9)


def play(seed, **options):
    """Return the seconds of each step and the number of moves."""
    with replay(seed, **options) as played:
        return [played.step_seconds(n) for n in range(N_STEPS)], played.n_moves()


class Steps(unittest.TestCase):
    @tools.params(*range(5))
    def test_longest_items_end_earlier(self, seed):
        """A step ends with the long items that run at slow engines.

        Once the speeds are known, the longest items take as long as at a fast engine,
        and few items are moved.
        """
        with without_speeds():
            before, n_moves_before = play(seed)
        after, n_moves = play(seed)
        self.assertLessEqual(sum(after), sum(before))
        self.assertLess(max(after[1:]), LONGEST_SECONDS)
        self.assertLess(n_moves, n_moves_before / 2)


class Failures(unittest.TestCase):
    @tools.params(*range(3))
    def test_engines_turn_slow_in_the_middle_of_a_step(self, seed):
        """Three fast engines turn 3.5 times slower while they run long items."""

        def seconds():
            with replay(seed) as played:
                played.step_seconds(0)
                began = played.clock()
                played.submit(1)
                played.run(1.0)
                played.factors_by_id.update({"e01": 3.5, "e02": 3.5, "e03": 3.5})
                played.run(uneven_replay.MAX_STEP_SECONDS, until_done=True)
                self.assertTrue(played.is_done())
                return played.clock() - began

        moved = seconds()
        with mock.patch.object(moves, "MAX_MOVES", 0):
            unmoved = seconds()
        self.assertLess(moved, 0.75 * unmoved)

    def test_engine_restarts(self):
        """An engine restarts under its id, and all its run slots are filled at once.

        The new incarnation has no speed. Until it has one, it is tried with half of
        its run slots.
        """
        with replay(0) as played:
            played.step_seconds(0)
            played.restart("e01", "e01-2")
            played.submit(1)
            engine_speeds = []
            for _ in range(100):
                played.run(uneven_replay.TICK_SECONDS)
                engine = played.runner._engines.by_id["e01-2"]
                if not engine.speed.is_known:
                    self.assertLessEqual(
                        played.n_running("e01-2"), uneven_replay.N_SLOTS // 2
                    )
                engine_speeds.append(engine.speed.is_known)
            self.assertNotIn("e01", played.runner._engines.by_id)
            self.assertEqual(set(engine_speeds), {False, True})
            played.run(uneven_replay.MAX_STEP_SECONDS, until_done=True)
            self.assertTrue(played.is_done())

    def test_nonsense_work_factors(self):
        """Engines report nonsense, and items go to the wrong engines."""

        def reports(engine, factors=(0.0, -1.0, 1e9, float("inf"), float("nan"))):
            number = int(engine.upstream_id[1:3])
            engine.record_work_factor(factors[number % 5], engine.pace_updated_at)

        seconds = []
        for report in (lambda engine: None, reports):
            with replay(0) as played:
                played.report = report
                seconds.append([played.step_seconds(n) for n in range(N_STEPS)])
        self.assertEqual(seconds[0], seconds[1])

    @tools.params(*range(3))
    def test_all_estimates_are_wrong(self, seed):
        """Long items are expected to be short, and are left behind or never moved.

        The estimates are off by a factor of 20 at one standard deviation.
        """
        seconds, _ = play(seed, estimate_error=3.0)
        self.assertLess(max(seconds), 2.0 * LONGEST_SECONDS)
