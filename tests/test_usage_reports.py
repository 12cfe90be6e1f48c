"""From a request at a gateway to the receiver of reports, with failures in between.

BILBERRYDRUM_SCHEDULES sets how many random schedules are run.
"""

import os
import random
import unittest

import hypothesis
from hypothesis import strategies
from nose2 import tools

from bilberrydrum.state import fencing
from bilberrydrum.usage import meter, model
from tests import helpers
from tests.fakes import usage_world

N_SCHEDULES = int(os.environ.get("BILBERRYDRUM_SCHEDULES", "60"))


class Reported(unittest.TestCase):
    """Reports are exact in spite of one kind of failure at a time."""

    def check(self, world, is_exact=True):
        self.assertEqual(world.receiver.violations, [])
        if is_exact:
            reported = world.receiver.counts_by_window
            for window, counts in world.truth.items():
                self.assertEqual(
                    reported.get(window), counts, window - usage_world.FIRST
                )

    def serve_and_run(self, world, seconds=8.0):
        for _ in range(int(seconds * 2)):
            world.serve("g0")
            world.serve("g1", "beta")
            world.step()

    def test_no_failures(self):
        """Each window is reported soon after its end, with exact counts."""
        with usage_world.world() as world:
            self.serve_and_run(world)
            world.run(7.0)
            self.check(world)
            self.assertEqual(world.group.state_.sections["usage"].pending_by_window, {})

    @tools.params("answers", "silent", "late", "down", "busy")
    def test_receiver(self, mode):
        """The receiver fails for 20 s; then all windows are reported."""
        with usage_world.world() as world:
            world.receiver.mode = mode
            self.serve_and_run(world, 20.0)
            world.receiver.mode = "answers"
            world.run(10.0)
            world.receiver.carry_out_late(random.Random(1))
            self.check(world)

    def test_holder_changes_between_the_commit_and_the_call(self):
        """The next leader reports the counts that were closed, not counts of its own.

        A window is closed, and the leader changes before it is reported. The next
        leader may have other counts by then.
        """
        with usage_world.world() as world:
            world.receiver.mode = "down"
            self.serve_and_run(world)
            closed = dict(world.group.state_.sections["usage"].pending_by_window)
            self.assertTrue(closed)
            world.lead(1)
            world.receiver.mode = "answers"
            world.run(9.0)
            self.check(world)
            for window, counts in closed.items():
                self.assertEqual(
                    world.receiver.counts_by_window[window], counts.n_by_account
                )

    def test_holder_changes_between_the_call_and_its_answer(self):
        """Two leaders send the same report.

        The first leader's call is carried out, but its answer is lost, so the second
        leader sends the report again. The receiver must get the same counts.
        """
        with usage_world.world() as world:
            world.receiver.mode = "silent"
            self.serve_and_run(world)
            world.lead(2)
            world.receiver.mode = "answers"
            world.run(9.0)
            self.check(world)

    def test_commit_whose_answer_is_lost(self):
        with usage_world.world() as world:
            world.group.loses_answers = True
            self.serve_and_run(world)
            world.group.loses_answers = False
            world.run(9.0)
            self.check(world)

    def test_gateway_killed(self):
        """Requests in its last snapshot count; only those counted after it are lost."""
        with usage_world.world() as world:
            self.serve_and_run(world, 3.0)
            world.serve("g0")
            world.meters["g0"] = meter.Meter(5.0)
            world.run(12.0)
            self.check(world, is_exact=False)
            missing = {
                window: counts["acme"] - world.receiver.counts_by_window[window]["acme"]
                for window, counts in world.truth.items()
            }
            self.assertEqual(sum(missing.values()), 1, missing)

    def test_gateway_cut_off_over_a_windows_end(self):
        """Its counts arrive four seconds late and are waited for."""
        with usage_world.world() as world:
            held = world.meters.pop("g1")
            for _ in range(8):
                world.serve("g0")
                with meter.attempt(held, "beta") as attempt:
                    attempt.began_at = world.clock.now
                window = model.window_at(
                    usage_world.UNIX + world.clock.now - 1000.0, 5.0
                )
                counts = world.truth.setdefault(window, {})
                counts["beta"] = counts.get("beta", 0) + 1
                world.step()
            world.meters["g1"] = held
            world.run(12.0)
            self.check(world)

    def test_leaders_change_in_series(self):
        with usage_world.world() as world:
            for n in (1, 2, 0, 1):
                self.serve_and_run(world, 6.0)
                world.lead(n)
            world.run(14.0)
            self.check(world)

    def test_refused_number_is_not_used_again(self):
        """The receiver has seen a higher number, so the holder stops calling."""
        with usage_world.world() as world:
            world.receiver.highest_number = 99
            self.serve_and_run(world)
            world.run(12.0)
            self.assertEqual(world.receiver.n_refused, 1)

    def test_waits_after_regaining_leadership(self):
        """A replica that regains leadership waits before it sends again.

        A leads, B leads, A leads again. Without the wait, the receiver would see
        reports of two holders in turn.
        """
        with usage_world.world() as world:
            first, second = world.replicas[:2]
            right = fencing.FencingGuard(first, 3.0, True)
            self.assertIsNotNone(right.acquire_number())
            world.group.elect(second)
            self.assertIsNone(right.acquire_number())
            world.group.elect(first)
            world.clock.advance(2.0)
            self.assertIsNone(right.acquire_number())
            world.clock.advance(1.5)
            self.assertIsNotNone(right.acquire_number())

    @tools.params((True, 1), (False, None))
    def test_new_holder(self, is_fenced, expected):
        """If the receiver does not check numbers, a new holder waits.

        A report that the previous holder sent may still be carried out; it must be over
        before the new holder sends.
        """
        with helpers.manual_clock() as clock:
            group = usage_world.Group(clock)
            replica = usage_world.Replica(group)
            group.elect(replica)
            right = fencing.FencingGuard(replica, 3.0, is_fenced)
            self.assertEqual(right.acquire_number(), expected)
            clock.advance(3.0)
            self.assertEqual(right.acquire_number(), 1)


STEPS = strategies.lists(
    strategies.sampled_from(
        [
            *["serve g0", "serve g1", "step", "step", "step 2"],
            *["lead 0", "lead 1", "lead 2", "kill g0", "carry out"],
            *["answers", "silent", "late", "down", "busy", "lose", "keep"],
        ]
    ),
    min_size=10,
    max_size=80,
)


class Schedules(unittest.TestCase):
    """Leaders, gateways and the receiver fail in any order."""

    @hypothesis.settings(
        derandomize=True, max_examples=N_SCHEDULES, deadline=None, database=None
    )
    @hypothesis.given(
        steps=STEPS, is_fenced=strategies.booleans(), seed=strategies.integers(0, 99)
    )
    def test_no_two_reports_differ(self, steps, is_fenced, seed):
        rng = random.Random(seed)
        with usage_world.world(is_fenced) as world:
            for each in steps:
                self.carry_out(world, each, rng)
            world.receiver.mode = "answers"
            world.group.loses_answers = False
            world.run(15.0)
            world.receiver.carry_out_late(rng)
            self.assertEqual(world.receiver.violations, [])
            # No requests are reported that did not begin.
            for window, counts in world.receiver.counts_by_window.items():
                truth = world.truth.get(window, {})
                for account, n in counts.items():
                    self.assertLessEqual(n, truth.get(account, 0))
            # All closed windows are reported in the end.
            section = world.group.state_.sections["usage"]
            self.assertEqual(section.pending_by_window, {})

    def carry_out(self, world, step, rng):
        kind, _, what = step.partition(" ")
        if kind == "serve":
            world.serve(what, rng.choice(["acme", "beta"]))
        elif kind == "step":
            world.step(float(what or 0.5))
        elif kind == "lead":
            world.lead(int(what))
        elif kind == "kill":
            world.meters[what] = meter.Meter(5.0)
            world.renew(what)
        elif kind == "carry":
            world.receiver.carry_out_late(rng)
        elif kind in ("lose", "keep"):
            world.group.loses_answers = kind == "lose"
        else:
            world.receiver.mode = kind
