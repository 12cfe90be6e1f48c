"""What is learned of trainers from their submissions and ends of batches."""

import unittest

from nose2 import tools

from bilberrydrum.batches import pacing

INTERVAL = 4.0
TRAINING = 0.5


def play(step_seconds, interval=INTERVAL, n_open=2):
    """Return the pacing after steps of these durations, and each step's lateness.

    A step is submitted at its time, or after its trainer has trained on the step
    `n_open` before it.
    """
    pacing_ = pacing.Pacing()
    submitted, late, events = [], [], []
    for number, seconds in enumerate(step_seconds):
        at = interval * number
        if number >= n_open:
            before = number - n_open
            at = max(at, submitted[before] + step_seconds[before] + TRAINING)
        submitted.append(at)
        late.append(at - interval * number)
        events.append((at, number, False))
        events.append((at + seconds, number, True))
    for at, number, is_end in sorted(events):
        if at > submitted[-1]:
            break
        if is_end:
            pacing_.record_end("", "m", number, at)
        else:
            step = pacing.Step(number, at, 1000, 100)
            pacing_.record_submission("", "m", step)
    return pacing_, submitted[-1], late


def pace_of(pacing_, now):
    (pace,) = pacing_.paces_of("m", now)
    return pace


class Pace(unittest.TestCase):
    @tools.params(
        ("on schedule", [5.0, 6.0, 5.5, 6.5, 5.0, 6.0, 5.0, 5.0]),
        ("one late step", [5.0, 6.0, 9.5, 6.5, 5.0, 6.0, 5.0, 5.0]),
        ("always behind", [5.0, 6.0, 9.0, 9.5, 8.5, 9.0, 9.5, 8.0]),
        ("behind, then catching up", [5.0, 6.0, 9.0, 12.0, 5.0, 4.0, 3.0, 3.0, 3.0]),
        ("far behind, then catching up", [6.0, 5.0, *[11.0] * 8, *[3.0] * 6]),
    )
    def test_interval_and_lag(self, name, step_seconds):
        pacing_, now, late = play(step_seconds)
        pace = pace_of(pacing_, now)
        self.assertAlmostEqual(pace.interval_seconds, INTERVAL, delta=0.01, msg=name)
        self.assertAlmostEqual(pace.lag_seconds, late[-1], delta=0.1, msg=name)
        self.assertEqual(pace.n_open, 2)
        self.assertEqual((pace.n_tokens, pace.n_longest_tokens), (1000, 100))

    def test_time_that_a_step_may_take(self):
        """A trainer that waits for a step shows how long it trains."""
        pacing_, now, _ = play([5.0, 6.0, 9.0, 9.0, 5.0, 5.0])
        seconds = pace_of(pacing_, now).max_step_seconds()
        self.assertAlmostEqual(seconds, 2 * INTERVAL - TRAINING, delta=0.01)

    def test_lag_grows_while_a_step_is_overdue(self):
        """Guard against a lag that is only noticed with the next submission."""
        pacing_, now, _ = play([5.0, 6.0, 5.0, 5.0])
        self.assertEqual(pace_of(pacing_, now + 3.0).lag_seconds, 0.0)
        self.assertAlmostEqual(pace_of(pacing_, now + 7.0).lag_seconds, 3.0)

    def test_stopped_trainer(self):
        """Guard against engines that are kept for a trainer which has ended."""
        pacing_, now, _ = play([5.0] * 6)
        for number in range(6):
            pacing_.record_end("", "m", number, now + 1.0)
        self.assertGreater(pace_of(pacing_, now + 3 * INTERVAL).n_tokens, 0)
        later = pace_of(pacing_, now + 6 * INTERVAL)
        self.assertEqual((later.n_tokens, later.lag_seconds), (0, 0))

    def test_unknown_interval(self):
        pacing_, now, _ = play([5.0])
        pace = pace_of(pacing_, now)
        self.assertIsNone(pace.interval_seconds)
        self.assertIsNone(pace.max_step_seconds())
        self.assertEqual(pace.tokens_per_second(2.0), 500)

    def test_restarted_trainer_begins_again(self):
        """Guard against a trainer that restarts at step 0 and is never seen again."""
        pacing_, now, _ = play([5.0] * 30)
        for number, at in enumerate((now + 50.0, now + 52.0)):
            step = pacing.Step(number, at, 7, 7)
            pacing_.record_submission("", "m", step)
        pace = pace_of(pacing_, now + 52.0)
        self.assertEqual((pace.interval_seconds, pace.n_tokens), (2.0, 7))

    @tools.params(
        ("no lag", [0.0, 4.0, 8.0, 12.0, 16.0], 0.0),
        ("a late step", [0.0, 4.0, 8.0, 14.0, 18.0], 2.0),
        ("none on schedule", [0.0, 5.2, 9.9, 16.0, 20.2], 1.0),
    )
    def test_kept_batches(self, name, times, max_lag):
        """A new leader knows the submissions of stored batches, but not their ends."""
        pacing_ = pacing.Pacing()
        for number, at in enumerate(times):
            step = pacing.Step(number + 70, at, 1000, 100)
            pacing_.record_submission("", "m", step)
        pace = pace_of(pacing_, times[-1])
        self.assertLessEqual(pace.lag_seconds, max_lag + 0.01, name)
        if max_lag == 2.0:
            self.assertAlmostEqual(pace.lag_seconds, 2.0)

    def test_steps_that_had_ended_are_not_open(self):
        """Guard against a new leader that takes all stored steps for open ones."""
        pacing_ = pacing.Pacing()
        for number in range(6):
            step = pacing.Step(number, INTERVAL * number, 1000, 100)
            pacing_.record_submission("", "m", step, has_ended=number < 4)
        self.assertEqual(pace_of(pacing_, 20.0).n_open, 2)

    def test_accounts_with_one_model(self):
        """Two accounts train the same model; the steps of both have number 0."""
        pacing_ = pacing.Pacing()
        for account in ("a", "b"):
            step = pacing.Step(0, 0.0, 1000, 100)
            pacing_.record_submission(account, "m", step)
        self.assertEqual([e.n_tokens for e in pacing_.paces_of("m", 1.0)], [1000] * 2)


class ClockSetBack(unittest.TestCase):
    def test_submission_before_the_last_one(self):
        """Guard against a negative step interval, at which a trainer seems to stop.

        Submission times of stored batches come from the clocks of several leaders.
        """
        pacing_ = pacing.Pacing()
        for number, at in enumerate((10.0, 9.9, 9.8)):
            step = pacing.Step(number, at, 1000, 100)
            pacing_.record_submission("", "m", step)
        pace = pacing_.paces_of("m", 10.0)[0]
        self.assertIsNone(pace.interval_seconds)
        self.assertEqual(pace.n_tokens, 1000)
