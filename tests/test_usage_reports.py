"""From a request at a gateway to the receiver of reports, with what goes wrong between.

BILBERRYDRUM_SCHEDULES sets how many drawn schedules are run.
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
    """From a request at a gateway to the receiver, with what may go wrong between."""

    def check(self, made, is_exact=True):
        self.assertEqual(made.receiver.broken, [])
        if is_exact:
            told = made.receiver.counts_by_window
            for window, counts in made.truth.items():
                self.assertEqual(told.get(window), counts, window - usage_world.FIRST)

    def serve_and_run(self, made, seconds=8.0):
        for _ in range(int(seconds * 2)):
            made.serve("g0")
            made.serve("g1", "beta")
            made.step()

    def test_calm(self):
        """Each window's report is there soon after its end, and exact."""
        with usage_world.world() as made:
            self.serve_and_run(made)
            made.run(7.0)
            self.check(made)
            self.assertEqual(made.group.state_.sections["usage"].pending_by_window, {})

    @tools.params("answers", "silent", "late", "down", "busy")
    def test_receiver(self, how):
        """The receiver is out of order for 20 s; then all windows are caught up."""
        with usage_world.world() as made:
            made.receiver.how = how
            self.serve_and_run(made, 20.0)
            made.receiver.how = "answers"
            made.run(10.0)
            made.receiver.carry_out_late(random.Random(1))
            self.check(made)

    def test_holder_changes_between_the_commit_and_the_call(self):
        """The next leader reports what was closed, not what it would have closed."""
        with usage_world.world() as made:
            made.receiver.how = "down"
            self.serve_and_run(made)
            closed = dict(made.group.state_.sections["usage"].pending_by_window)
            self.assertTrue(closed)
            made.lead(1)
            made.receiver.how = "answers"
            made.run(9.0)
            self.check(made)
            for window, counts in closed.items():
                self.assertEqual(
                    made.receiver.counts_by_window[window], counts.n_by_account
                )

    def test_holder_changes_between_the_call_and_its_answer(self):
        """Sent by the first, and again by the second: the same to the receiver."""
        with usage_world.world() as made:
            made.receiver.how = "silent"
            self.serve_and_run(made)
            made.lead(2)
            made.receiver.how = "answers"
            made.run(9.0)
            self.check(made)

    def test_commit_whose_answer_is_lost(self):
        with usage_world.world() as made:
            made.group.loses_answers = True
            self.serve_and_run(made)
            made.group.loses_answers = False
            made.run(9.0)
            self.check(made)

    def test_gateway_killed(self):
        """What it told last counts; what it had not told is lost, and nothing else."""
        with usage_world.world() as made:
            self.serve_and_run(made, 3.0)
            made.serve("g0")
            made.meters["g0"] = meter.Meter(5.0)
            made.run(12.0)
            self.check(made, is_exact=False)
            missing = {
                window: counts["acme"] - made.receiver.counts_by_window[window]["acme"]
                for window, counts in made.truth.items()
            }
            self.assertEqual(sum(missing.values()), 1, missing)

    def test_gateway_cut_off_over_a_windows_end(self):
        """Its counts come four seconds late and are waited for."""
        with usage_world.world() as made:
            held = made.meters.pop("g1")
            for _ in range(8):
                made.serve("g0")
                with meter.attempt(held, "beta") as attempt:
                    attempt.began_at = made.clock.now
                window = model.window_at(
                    usage_world.UNIX + made.clock.now - 1000.0, 5.0
                )
                counts = made.truth.setdefault(window, {})
                counts["beta"] = counts.get("beta", 0) + 1
                made.step()
            made.meters["g1"] = held
            made.run(12.0)
            self.check(made)

    def test_leaders_change_in_series(self):
        with usage_world.world() as made:
            for n in (1, 2, 0, 1):
                self.serve_and_run(made, 6.0)
                made.lead(n)
            made.run(14.0)
            self.check(made)

    def test_refused_number_is_not_used_again(self):
        """The receiver has seen a higher number: the holder stops calling."""
        with usage_world.world() as made:
            made.receiver.highest_number = 99
            self.serve_and_run(made)
            made.run(12.0)
            self.assertEqual(made.receiver.n_refused, 1)

    def test_turns(self):
        """A leads, B leads and acts, A leads again: A waits until its turn is over."""
        with usage_world.world() as made:
            first, second = made.replicas[:2]
            right = fencing.FencingGuard(first, 3.0, True)
            self.assertIsNotNone(right.acquire_number())
            made.group.elect(second)
            self.assertIsNone(right.acquire_number())
            made.group.elect(first)
            made.clock.advance(2.0)
            self.assertIsNone(right.acquire_number())
            made.clock.advance(1.5)
            self.assertIsNotNone(right.acquire_number())

    @tools.params((True, 1), (False, None))
    def test_new_holder(self, is_fenced, expected):
        """Where numbers are not checked, what the one before sent must be over."""
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
        with usage_world.world(is_fenced) as made:
            for each in steps:
                self.carry_out(made, each, rng)
            made.receiver.how = "answers"
            made.group.loses_answers = False
            made.run(15.0)
            made.receiver.carry_out_late(rng)
            self.assertEqual(made.receiver.broken, [])
            # Nothing is reported that did not begin.
            for window, counts in made.receiver.counts_by_window.items():
                truth = made.truth.get(window, {})
                for account, n in counts.items():
                    self.assertLessEqual(n, truth.get(account, 0))
            # All that was closed is reported in the end.
            section = made.group.state_.sections["usage"]
            self.assertEqual(section.pending_by_window, {})

    def carry_out(self, made, step, rng):
        kind, _, what = step.partition(" ")
        if kind == "serve":
            made.serve(what, rng.choice(["acme", "beta"]))
        elif kind == "step":
            made.step(float(what or 0.5))
        elif kind == "lead":
            made.lead(int(what))
        elif kind == "kill":
            made.meters[what] = meter.Meter(5.0)
            made.renew(what)
        elif kind == "carry":
            made.receiver.carry_out_late(rng)
        elif kind in ("lose", "keep"):
            made.group.loses_answers = kind == "lose"
        else:
            made.receiver.how = kind
