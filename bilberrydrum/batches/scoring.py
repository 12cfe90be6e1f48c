"""Choose which texts are scored next, limit concurrency, and interpret answers.

All functions are pure. They are designed for steps whose items end at the same time: a
hundred scoring requests within a second, for a service with a dozen slots that also
serves look-ups from gateways which don't know of one another's load. If all requests
were sent at once, they would fill the service's slots and queues, and a look-up would
wait for several of them. So:

- scoring requests use all slots of the service except one at each upstream;
- the remaining requests wait here, where they can be ordered. A trainer waits for
  complete groups, so the group that lacks the fewest results goes first, and groups
  that nobody waits for go last.
"""

import enum
from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from bilberrydrum.relay import model as relay_model

# Slots of each upstream that scoring requests leave free for other requests. One
# reserved slot protects services with much other traffic. With three look-ups a second,
# look-ups took under 0.17 s whatever the number of reserved slots. More than one delays
# scores: in simulations of one upstream with six slots, 99 of 100 texts had their score
# within 1.4 s of their last event with one reserved slot and within 1.9 s with two, and
# with four scoring could not keep up.
RESERVED_SLOTS: Final = 1
# Pause before a scoring request is retried after an attempt without a score, in
# seconds: about one service time.
PAUSE_SECONDS: Final = 0.1
# The same, in seconds, where an early retry is unlikely to help: there is no route for
# the request, or the answer was neither a success nor a failure of the service.
LONG_PAUSE_SECONDS: Final = 0.5
# Longest pause after attempts that broke off, in seconds. It bounds how often a scoring
# request meets crashing upstreams, and a score still comes within seconds after them.
MAX_PAUSE_SECONDS: Final = 2.0


@attrs.frozen
class Unscored:
    """A complete text that waits for its score."""

    # Ids of its batch and its item.
    key: tuple[str, str]
    # The trainer doesn't wait for its group.
    is_spare: bool
    # Number of items of its group without a result, this one included.
    n_missing: int
    # When the item has to be finished, in seconds of `clock.now`.
    done_by: float


def max_concurrent(slots: Iterable[int], n_reserved: int = RESERVED_SLOTS) -> int:
    """Return how many scoring requests may be in flight at a time.

    Parameters
    ----------
    slots : iterable of int
        Number of slots of each upstream of the service; 0 if not reported, which
        allows one request.
    n_reserved : int
        Number of slots of each upstream that are left to other requests.
    """
    return sum(max(each - n_reserved, 1) for each in slots)


def choose(unscored: Sequence[Unscored], n_free: int) -> list[Unscored]:
    """Return the texts to score now in order of priority, at most `n_free`."""
    ranked = sorted(unscored, key=lambda e: (e.is_spare, e.n_missing, e.done_by, e.key))
    return ranked[: max(n_free, 0)]


class Decision(enum.Enum):
    """What to do after the answer to a scoring request."""

    SCORED = "scored"
    # The service has failed as often as the route allows.
    GIVEN_UP = "given-up"
    RETRY = "again"
    RETRY_LATER = "again-later"


def pause_seconds(n_broken: int) -> float:
    """Return the pause before a retry, after `n_broken` attempts that broke off."""
    return min(PAUSE_SECONDS * 2.0 ** min(n_broken, 10), MAX_PAUSE_SECONDS)


def decide(
    answer: relay_model.Answered | relay_model.Refused,
    is_signed: bool,
    n_failures: int,
    max_attempts: int,
) -> Decision:
    """Return what to do after an answer to a scoring request.

    Parameters
    ----------
    answer : relay_model.Answered or relay_model.Refused
        The answer.
    is_signed : bool
        Whether an upstream has signed it as the answer to this request.
    n_failures : int
        Number of error answers from upstreams to this request so far, this one
        included.
    max_attempts : int
        Number of error answers that the route allows.
    """
    if isinstance(answer, relay_model.Answered):
        if answer.status // 100 == 2:
            return Decision.SCORED if is_signed else Decision.RETRY_LATER
        if not answer.n_failures:
            return Decision.RETRY_LATER
    if n_failures >= max_attempts:
        return Decision.GIVEN_UP
    return Decision.RETRY
