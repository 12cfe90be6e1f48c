"""In which order the items of open batches should start.

Answers the load in which each trainer's batch fills the engines of its model and a few
items are ten times as long as the others. A trainer waits for whole groups, so a batch
is done when its longest item is. Started last, a long item adds its whole time to the
wait for places: with the shortest groups first, items of 5 s began up to 3 s after
their batch and ended after its deadline, while half of the places stood empty by then.

So an item's rank is the latest time at which it may still start to be done in time:

- long items start first, and short ones fill the places that are left;
- batches that are due earlier go first as far as they need it, no further;
- groups that the trainer doesn't wait for go last: those whose longest item is expected
  to be the longest;
- groups that cannot be whole in time any more go after those that can. At a load that
  cannot be served, each late group would otherwise make another one late;
- but not after those of their own trainer's next step: the trainer comes to the step
  after that only once it is done with this one. Put behind, a step that a loss of power
  had made late ended after its successor and held the trainer up for five seconds more.
"""

import enum
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

GroupKey = tuple[str, str]

# Time that one event takes before any was seen, in seconds: what full engines need.
FIRST_EVENT_SECONDS: Final = 0.05
# Weight of one finished item in the pace: it follows a change within some 50 items,
# which finish within a second when the engines are full.
PACE_WEIGHT: Final = 0.02
# Time that a scoring request takes before any was seen, in seconds: a few service times
# of a plain service.
FIRST_SCORING_SECONDS: Final = 0.2
# Time for a result to be committed and read, in seconds: readers come twice a second.
READ_SECONDS: Final = 0.6
# An item without a bound on its batch's time is due after this many seconds, so that
# such batches are served in the order in which they came.
UNBOUNDED_SECONDS: Final = 60.0
# An item is held to be late only if even this share of its expected time is more than
# is left. Estimates are off by half and more: taken at their word, they had a quarter
# of the long items, of 4.8 s each, called late before they began, and these then began
# 7 s after their batch.
SURE_SHARE: Final = 0.4


class Tier(enum.IntEnum):
    """Which items go before which others, whatever their times."""

    # Its group is waited for and can be whole in time, or holds up its trainer's next
    # step.
    IN_TIME = 0
    # Its group is waited for and will be late.
    LATE = 1
    # Its group is not waited for.
    SPARE = 2


class Pace:
    """How long items take, learned from those that finished."""

    def __init__(self) -> None:
        self._event_seconds = FIRST_EVENT_SECONDS
        self._tokens_per_event = 1.0
        self._has_noted = False
        # How long a scoring request takes, without the wait for its turn.
        self.scoring_seconds = FIRST_SCORING_SECONDS

    def note_scoring(self, seconds: float) -> None:
        """Take in how long a scoring request has taken that gave a score."""
        self.scoring_seconds += PACE_WEIGHT * (seconds - self.scoring_seconds)

    def note(self, n_expected_tokens: int, n_events: int, seconds: float) -> None:
        """Take in an item that one attempt has finished.

        Parameters
        ----------
        n_expected_tokens : int
            Output tokens that were expected of it.
        n_events : int
            Events that it took.
        seconds : float
            Time that the attempt took.
        """
        if n_events <= 0 or n_expected_tokens <= 0:
            return
        weight = PACE_WEIGHT if self._has_noted else 1.0
        self._has_noted = True
        self._event_seconds += weight * (seconds / n_events - self._event_seconds)
        ratio = n_expected_tokens / n_events
        self._tokens_per_event += weight * (ratio - self._tokens_per_event)

    def remaining_seconds(self, n_expected_tokens: int, n_events: int) -> float:
        """Return how long an item with `n_events` so far is likely to take."""
        n_expected = n_expected_tokens / self._tokens_per_event
        return max(n_expected - n_events, 1.0) * self._event_seconds


def spare_groups(
    longest_by_group: Mapping[GroupKey, int],
    carried: frozenset[GroupKey],
    n_wanted: int,
) -> frozenset[GroupKey]:
    """Return the groups of a batch that its submitter does not wait for.

    Parameters
    ----------
    longest_by_group : mapping
        Output tokens expected of each group's longest item.
    carried : frozenset
        Groups that came back from an earlier batch; they are always waited for.
    n_wanted : int
        Whole groups that are waited for; 0: all.
    """
    if not n_wanted:
        return frozenset()
    n_free = max(n_wanted - len(carried), 0)
    others = [each for each in longest_by_group if each not in carried]
    others.sort(key=lambda each: longest_by_group[each])
    return frozenset(others[n_free:])


@attrs.frozen
class Candidate:
    """A waiting item, as far as the order matters."""

    group_key: GroupKey
    # When it cannot be done in time any more, in seconds of the clock.
    late_at: float
    is_spare: bool
    model: str = ""
    # When its batch is due.
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
