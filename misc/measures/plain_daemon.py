"""Run the daemon with a plain policy, as a baseline for the real one.

Engines are chosen by round robin among the eligible ones, whether they have capacity or
not. All attempts are sent at once, in the order of arrival, without second attempts and
without resuming at another engine. The guarantees for samples are unchanged.
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

_counter = itertools.count()


def choose(
    router: routing.Router,
    eligible: Iterable[upstream_model.Upstream],
    now: float,
    *others: Any,
    **options: Any,
) -> upstream_model.Upstream | routing.Unavailable:
    """Return the next engine in round-robin order."""
    del router, now, others, options
    upstreams = sorted(eligible, key=lambda upstream: upstream.upstream_id)
    if not upstreams:
        return routing.Unavailable.NONE_ELIGIBLE
    return upstreams[next(_counter) % len(upstreams)]


def order(schedule: scheduling.Schedule, key: scheduling.Key) -> tuple[int, int]:
    """Return the sort key that puts slots in the order of arrival."""
    return (schedule.wanted_by_key[key].sequence, key.slot)


def install_plain_policy() -> None:
    """Replace the real policy by the plain one."""
    routing.Router.choose = choose  # type: ignore[method-assign, assignment]
    scheduling.Schedule._order = order  # type: ignore[method-assign, assignment]
    scheduling.SLOW_SHARE = 0.0  # type: ignore[misc]
    capacity.OVERCOMMIT = 1000.0  # type: ignore[misc]
    attempts.MAX_RESUMES = 0  # type: ignore[misc]


if __name__ == "__main__":
    install_plain_policy()
    sys.exit(main.main())
