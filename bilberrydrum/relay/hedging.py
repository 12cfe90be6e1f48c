"""When a second upstream is asked although the first may still answer.

Answers the load in which an upstream stands still, or is many times as slow as its
peers, and takes connections all the same. Gateways that see a request every few seconds
learn of it one by one, and each pays with a caller who waits until the first attempt is
given up: three and a half times the target latency. Asked a second time after half of
the target, another upstream still answers inside it.

The first attempt goes on: broken off, its work would be lost if the second one fails.
Only requests that may run more than once, whose route allows one more upstream, are
asked twice, and no more of them than the budget lets: where all upstreams are slow, a
second copy of each request would make them slower.
"""

from typing import Final

from bilberrydrum.fleet import policy
from bilberrydrum.requests import retries

# Share of the target latency after which a second upstream is asked: as much is left
# for its answer.
_TARGET_SHARE: Final = 0.5
# An answer is late by its peers' measure after this many times their mean. Services
# whose answers take most of their target are not asked twice for that alone.
_MEAN_FACTOR: Final = 3.0
# Weight of one answer in the mean, which so follows some twenty answers.
_WEIGHT: Final = 0.05
# Requests that may be asked twice, as a share of all; beside it the budget lets one
# every two seconds pass.
_BUDGET_SHARE: Final = 0.05


class Hedging:
    """The waits before second attempts of one gateway, by service, and their budget."""

    def __init__(self) -> None:
        self._mean_seconds_by_service: dict[str, float] = {}
        self._budget = retries.RetryBudget(_BUDGET_SHARE)

    def answered(self, service: str, seconds: float) -> None:
        """Take in how long an attempt took that was answered."""
        mean = self._mean_seconds_by_service.get(service, seconds)
        mean += _WEIGHT * (seconds - mean)
        self._mean_seconds_by_service[service] = mean

    def first_attempt(self) -> None:
        """Count a request."""
        self._budget.first_attempt()

    def patience(self, route: policy.Route, service: str) -> float | None:
        """Return how long to wait for the first answer; None: until it is given up."""
        if not route.target_latency_seconds:
            return None
        mean = self._mean_seconds_by_service.get(service, 0.0)
        return max(route.target_latency_seconds * _TARGET_SHARE, mean * _MEAN_FACTOR)

    def may_ask_second(self, now: float) -> bool:
        """Tell whether the budget has a second attempt left, and take it."""
        return self._budget.take(now)
