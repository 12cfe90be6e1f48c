"""The daemon with the plain policy, to compare the real one with.

Round robin over the engines that could do the work, whether they have room or not; all
attempts are sent at once, first in, first out; no second attempts, and no going on at
another engine. What must always hold for samples is left as it is.
"""

import itertools
import sys
from collections.abc import Iterable
from typing import Any

from bilberrydrum import runtime

runtime.prepare()

from bilberrydrum import main
from bilberrydrum.requests import routing
from bilberrydrum.samples import attempts, capacity, scheduling
from bilberrydrum.upstreams import model as upstream_model

_turns = itertools.count()


def choose(
    router: routing.Router,
    eligible: Iterable[upstream_model.Upstream],
    now: float,
    *others: Any,
    **options: Any,
) -> upstream_model.Upstream | routing.Unavailable:
    """Return the next engine in turn."""
    del router, now, others, options
    upstreams = sorted(eligible, key=lambda upstream: upstream.upstream_id)
    if not upstreams:
        return routing.Unavailable.NONE_ELIGIBLE
    return upstreams[next(_turns) % len(upstreams)]


def order(schedule: scheduling.Schedule, key: scheduling.Key) -> tuple[int, int]:
    """Return the place of a slot in the order of arrival."""
    return (schedule.wanted_by_key[key].sequence, key.slot)


def make_plain() -> None:
    """Put the plain policy in the place of the real one."""
    routing.Router.choose = choose  # type: ignore[method-assign, assignment]
    scheduling.Schedule._order = order  # type: ignore[method-assign, assignment]
    scheduling.SLOW_SHARE = 0.0  # type: ignore[misc]
    capacity.OVERCOMMIT = 1000.0  # type: ignore[misc]
    attempts.MAX_RESUMES = 0  # type: ignore[misc]


if __name__ == "__main__":
    make_plain()
    sys.exit(main.main())
