"""The pace of each trainer, derived from its submissions and ends of batches.

A trainer submits a step at its scheduled time, or when it has trained on an earlier
step that it had to wait for, whichever is later. It keeps a fixed number of steps open.
So a submission that comes long after the end of that earlier step is on schedule, and
one that follows the end after the training time is late. The step interval is learned
from submissions on schedule, and the lag is the delay that the others accumulate.

All times are in seconds, and amounts of work in expected output tokens.
"""

import statistics
from collections.abc import Sequence
from typing import Final

import attrs

# Number of steps from which a trainer's pace is learned.
N_STEPS: Final = 16
# The usual work is the mean of this many steps, as the number of groups varies.
N_WORK_STEPS: Final = 12
# Intervals that differ by less than this share count as equal.
SAME_INTERVAL_SHARE: Final = 0.05
# A submission counts as late if it comes less than this time after the shortest time
# between the end of a step and the submission that waited for it, in seconds. Trainers
# poll for results twice a second.
HELD_SLACK_SECONDS: Final = 0.5
# A trainer without events for this many step intervals has stopped. With open steps the
# limit is higher, since a late trainer submits nothing until a step ends.
STOPPED_INTERVALS: Final = 5
STOPPED_INTERVALS_OPEN: Final = 10
# Assumed for a trainer whose step interval is not known, in seconds.
UNKNOWN_INTERVAL_SECONDS: Final = 5.0


@attrs.frozen
class Step:
    """One submitted step."""

    number: int
    submitted_at: float
    # Expected output tokens of all its items.
    n_tokens: int
    # The same of the longest item that the trainer waits for.
    n_longest_tokens: int


@attrs.frozen
class Pace:
    """What is known of one trainer at a moment."""

    # Interval at which steps are due; None: not known.
    interval_seconds: float | None
    # How far the trainer is behind its step interval.
    lag_seconds: float
    # Usual expected output tokens of a step; 0: the trainer has stopped.
    n_tokens: float
    # The same of the longest item of a step.
    n_longest_tokens: float
    # Number of steps that the trainer keeps open.
    n_open: int
    # Time between the end of a step and the submission that waited for it.
    training_seconds: float

    def tokens_per_second(self, default_interval_seconds: float) -> float:
        """Return the usual work per second; the default is for an unknown interval."""
        return self.n_tokens / (self.interval_seconds or default_interval_seconds)

    def max_step_seconds(self) -> float | None:
        """Return how long a step may take without delaying the trainer.

        None means that the step interval is not known.
        """
        if self.interval_seconds is None:
            return None
        return max(self.n_open * self.interval_seconds - self.training_seconds, 0.0)


class Trainer:
    """The steps of one trainer."""

    def __init__(self) -> None:
        self._steps: list[Step] = []
        # None: the step has ended at an unknown time.
        self._ended_at_by_number: dict[int, float | None] = {}
        # Intervals per step between consecutive submissions that were on schedule.
        self._intervals: list[float] = []
        # Times between an end and the submission that may have waited for it.
        self._gaps: list[float] = []
        self._open_counts: list[int] = []
        self._interval_seconds: float | None = None
        # Lag at the last submission.
        self._lag_seconds = 0.0
        self._is_last_held = False
        self._last_event_at = float("-inf")

    def record_submission(self, step: Step, has_ended: bool = False) -> None:
        """Record a step; one that is not newer than the last changes nothing.

        `has_ended` is for a step that has ended before it is recorded.
        """
        if self._steps and step.number <= self._steps[-1].number:
            return
        is_held = self._record_gap(step)
        if self._steps:
            self._record_interval(self._steps[-1], step, is_held)
        self._is_last_held = bool(is_held)
        self._steps.append(step)
        self._last_event_at = step.submitted_at
        if has_ended:
            self._ended_at_by_number[step.number] = None
        else:
            self._open_counts.append(len(self._open_numbers()))
        for each in (self._steps, self._intervals, self._gaps, self._open_counts):
            del each[:-N_STEPS]
        oldest = self._steps[0].number
        for number in [e for e in self._ended_at_by_number if e < oldest]:
            del self._ended_at_by_number[number]

    def record_end(self, number: int, now: float) -> None:
        """Record that a step has ended."""
        if number not in self._ended_at_by_number:
            self._ended_at_by_number[number] = now
            self._last_event_at = max(self._last_event_at, now)

    def last_number(self) -> int:
        """Return the number of the newest step; -1: there is none."""
        return self._steps[-1].number if self._steps else -1

    def pace(self, now: float) -> Pace:
        """Return what is known at `now`."""
        recent = self._steps[-N_WORK_STEPS:]
        has_stopped = not recent or self._has_stopped(now)
        return Pace(
            self._interval_seconds,
            0.0 if has_stopped else self._lag(now),
            0.0 if has_stopped else statistics.fmean(e.n_tokens for e in recent),
            statistics.fmean(e.n_longest_tokens for e in recent) if recent else 0.0,
            self._n_open(),
            min(self._gaps, default=0.0),
        )

    def _record_gap(self, step: Step) -> bool | None:
        """Return whether a step had to wait for an earlier one; None: not known."""
        ended_at = self._ended_at_by_number.get(step.number - self._n_open())
        if ended_at is None:
            return None
        gap = max(step.submitted_at - ended_at, 0.0)
        self._gaps.append(gap)
        return gap <= min(self._gaps) + HELD_SLACK_SECONDS

    def _record_interval(self, last: Step, step: Step, is_held: bool | None) -> None:
        n_steps = step.number - last.number
        # Submission times of stored batches come from clocks that may be set back.
        seconds = max(step.submitted_at - last.submitted_at, 0.0)
        if seconds and not is_held and not self._is_last_held:
            self._intervals.append(seconds / n_steps)
            self._interval_seconds = _usual_interval(self._intervals[-N_STEPS:])
        if self._interval_seconds is None:
            return
        lag = self._lag_seconds + seconds - n_steps * self._interval_seconds
        # A trainer that could have submitted earlier submits on schedule.
        self._lag_seconds = 0.0 if is_held is False else max(lag, 0.0)

    def _n_open(self) -> int:
        return max(self._open_counts, default=1)

    def _open_numbers(self) -> list[int]:
        ended = self._ended_at_by_number
        return [each.number for each in self._steps if each.number not in ended]

    def _has_stopped(self, now: float) -> bool:
        n_intervals = (
            STOPPED_INTERVALS_OPEN if self._open_numbers() else STOPPED_INTERVALS
        )
        interval = self._interval_seconds or UNKNOWN_INTERVAL_SECONDS
        return now - self._last_event_at > n_intervals * interval

    def _lag(self, now: float) -> float:
        """Return the lag, including that of a step which should have been submitted."""
        if self._interval_seconds is None:
            return 0.0
        # Without an open step, the trainer does not wait for the service.
        if not self._open_numbers():
            return self._lag_seconds
        due_at = self._steps[-1].submitted_at - self._lag_seconds
        return max(self._lag_seconds, now - due_at - self._interval_seconds)


class Pacing:
    """The trainers of all models."""

    def __init__(self) -> None:
        # By account (empty for none) and model.
        self._trainers_by_key: dict[tuple[str, str], Trainer] = {}
        self.last_submitted_at = float("-inf")

    def record_submission(
        self, account: str, model_name: str, step: Step, has_ended: bool = False
    ) -> None:
        """Record a submitted step; a much lower number begins a new history."""
        trainer = self._trainers_by_key.setdefault((account, model_name), Trainer())
        if step.number < trainer.last_number() - N_STEPS:
            trainer = self._trainers_by_key[account, model_name] = Trainer()
        trainer.record_submission(step, has_ended)
        self.last_submitted_at = max(self.last_submitted_at, step.submitted_at)

    def record_end(
        self, account: str, model_name: str, number: int, now: float
    ) -> None:
        """Record that a trainer has ended a step."""
        trainer = self._trainers_by_key.get((account, model_name))
        if trainer is not None:
            trainer.record_end(number, now)

    def paces_of(self, model_name: str, now: float) -> list[Pace]:
        """Return the pace of each trainer of a model."""
        return [
            trainer.pace(now)
            for (_, name), trainer in self._trainers_by_key.items()
            if name == model_name
        ]


def _usual_interval(intervals: Sequence[float]) -> float:
    """Return the interval that occurs most often, the shortest if several do.

    If all differ, the trainer may never have been on schedule. The median then gives a
    lag of about 0, rather than one that is too long.
    """

    def n_same(value: float) -> int:
        slack = SAME_INTERVAL_SHARE * value
        return sum(1 for each in intervals if abs(each - value) <= slack)

    n_most = max(n_same(each) for each in intervals)
    if n_most == 1:
        return statistics.median(intervals)
    return min(each for each in intervals if n_same(each) == n_most)
