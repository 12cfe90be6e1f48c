"""The order in which the items of open batches should start.

The order is designed for a load in which each trainer's batch fills the engines of its
model and a few items are ten times as long as the others. A trainer waits for complete
groups, so a batch finishes with its longest item. A long item that starts last delays
its batch by its full duration. With the shortest groups first, items of 5 s started up
to 3 s after their batch and ended after its deadline, when half of the engine capacity
was already idle.

So an item is ranked by the latest time at which it can start and still be on time:

- Long items start first, and short ones use the remaining capacity.
- Batches that are due earlier go first, but only as far as they need to.
- Surplus groups, which the trainer does not wait for, go last. They are the groups
  whose longest item is expected to be the longest.
- Groups that can no longer be complete in time go after those that can. Under overload,
  each late group would otherwise make another one late.
- A late group does not go after its own trainer's next step, because the trainer starts
  the step after that only when it has finished this one. If late groups did, a step
  that is late after a power failure would end after its successor and delay the trainer
  by another five seconds.
"""

import enum
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from bilberrydrum.batches import backlog, memory_forecast

GroupKey = tuple[str, str]

# Time per event that is assumed before any was measured, in seconds: that of a full
# engine.
FIRST_EVENT_SECONDS: Final = 0.05
# Weight of one finished item in the moving averages of `Pace`. They follow a change
# within some 50 items, which finish within a second when the engines are full.
PACE_WEIGHT: Final = 0.02
# Time per scoring request that is assumed before any was measured, in seconds: a few
# service times of a plain service.
FIRST_SCORING_SECONDS: Final = 0.2
# Time to commit and read a result, in seconds. Readers poll twice a second.
READ_SECONDS: Final = 0.6
# A batch without a deadline is due this many seconds after its submission, so that
# such batches are served in the order in which they were submitted.
DEFAULT_DEADLINE_SECONDS: Final = 60.0
# An item counts as late only if even this share of its expected duration exceeds the
# remaining time. Estimates are wrong by half and more. With the full estimate, a
# quarter of the long items (4.8 s each) counted as late before they had started, and
# then started 7 s after their batch.
MIN_TIME_SHARE: Final = 0.4


class Tier(enum.IntEnum):
    """Priority classes of groups; a lower one goes first whatever the items' times."""

    # The trainer waits for the group, and the group can be complete in time or delays
    # the trainer's next step.
    IN_TIME = 0
    # The trainer waits for the group, which will be late.
    LATE = 1
    # The trainer does not wait for the group.
    SPARE = 2


class Pace:
    """Estimates of how long items take, as moving averages over finished items."""

    def __init__(self) -> None:
        self._event_seconds = FIRST_EVENT_SECONDS
        # Expected output tokens per event of finished items.
        self.tokens_per_event = 1.0
        self._has_samples = False
        # What the engines deliver while items wait.
        self.throughput = backlog.Throughput()
        # Duration of a scoring request in seconds, without the wait before it is sent.
        self.scoring_seconds = FIRST_SCORING_SECONDS

    def record_scoring(self, seconds: float) -> None:
        """Record the duration, in seconds, of a scoring request that gave a score."""
        self.scoring_seconds += PACE_WEIGHT * (seconds - self.scoring_seconds)

    def record(self, n_expected_tokens: int, n_events: int, seconds: float) -> None:
        """Record an item that a single attempt has completed.

        Parameters
        ----------
        n_expected_tokens : int
            Expected number of output tokens.
        n_events : int
            Number of events of the item.
        seconds : float
            Duration of the attempt in seconds.
        """
        if n_events <= 0 or n_expected_tokens <= 0:
            return
        weight = PACE_WEIGHT if self._has_samples else 1.0
        self._has_samples = True
        self._event_seconds += weight * (seconds / n_events - self._event_seconds)
        ratio = n_expected_tokens / n_events
        self.tokens_per_event += weight * (ratio - self.tokens_per_event)

    def remaining_events(self, n_expected_tokens: int, n_events: int) -> float:
        """Return the expected number of events after the first `n_events` of an item.

        An item that has reached its estimate is expected to continue.
        """
        n_expected = n_expected_tokens / self.tokens_per_event
        return max(memory_forecast.n_expected_left(n_expected, n_events), 1.0)

    def remaining_seconds(self, n_expected_tokens: int, n_events: int) -> float:
        """Return the expected remaining time of an item with `n_events`, in seconds.

        An item that has reached its estimate counts as about to end, unlike in
        `remaining_events`. The order of waiting items depends on this value only.
        """
        n_expected = n_expected_tokens / self.tokens_per_event
        return max(n_expected - n_events, 1.0) * self._event_seconds

    def tokens_per_second(self, n_slots: int, event_seconds: float = 0.0) -> float:
        """Return the expected tokens per second of `n_slots` items; 0: not known.

        `event_seconds` is the time per event; if it is 0, the usual one counts.
        """
        if not self._has_samples:
            return 0.0
        return n_slots * self.tokens_per_event / (event_seconds or self._event_seconds)


def spare_groups(
    longest_by_group: Mapping[GroupKey, int],
    resubmitted: frozenset[GroupKey],
    n_wanted: int,
) -> frozenset[GroupKey]:
    """Return the surplus groups of a batch, which its submitter does not wait for.

    Parameters
    ----------
    longest_by_group : mapping
        Expected output tokens of each group's longest item.
    resubmitted : frozenset
        Groups that were incomplete in an earlier batch. The submitter always waits for
        them.
    n_wanted : int
        Number of complete groups that the submitter waits for; 0: all.
    """
    if not n_wanted:
        return frozenset()
    n_free = max(n_wanted - len(resubmitted), 0)
    others = [each for each in longest_by_group if each not in resubmitted]
    others.sort(key=lambda each: longest_by_group[each])
    return frozenset(others[n_free:])


@attrs.frozen
class Candidate:
    """The properties of a waiting item that determine its tier."""

    group_key: GroupKey
    # Time after which it can no longer be on time, in seconds of the clock.
    late_at: float
    is_spare: bool
    model: str = ""
    # Time at which its batch is due, in seconds of the clock.
    done_by: float = 0.0


def tiers_by_group(candidates: Iterable[Candidate], now: float) -> dict[GroupKey, Tier]:
    """Return the tier of each group that has waiting items."""
    given = list(candidates)
    last_due_by_model: dict[str, float] = {}
    for each in given:
        last_due = last_due_by_model.get(each.model, each.done_by)
        last_due_by_model[each.model] = max(last_due, each.done_by)
    tiers: dict[GroupKey, Tier] = {}
    for each in given:
        tier = Tier.IN_TIME
        if each.is_spare:
            tier = Tier.SPARE
        elif each.late_at < now and each.done_by >= last_due_by_model[each.model]:
            tier = Tier.LATE
        tiers[each.group_key] = max(tier, tiers.get(each.group_key, Tier.IN_TIME))
    return tiers
