"""Decide when a late request is hedged: sent to a second upstream as well.

This guards against an upstream that hangs, or is many times slower than its peers, but
still accepts connections. Gateways that see a request every few seconds notice it one
by one, and at each of them a caller waits until the first attempt times out, after
three and a half times the target latency. If the request is sent to a second
upstream after half of the target, its answer still arrives within the target.

The first attempt continues meanwhile, because its work would be lost if the second one
failed. Only requests that may run more than once and whose route allows one more
attempt are hedged, and only within a budget: if all upstreams are slow, a second copy
of each request would make them slower.
"""

from typing import Final

from bilberrydrum.fleet import policy
from bilberrydrum.requests import retries

# Share of the target latency after which a request is hedged. The other half is left
# for the second upstream's answer.
_TARGET_SHARE: Final = 0.5
# A request is hedged only after this many times the service's mean latency. Without
# this bound, all requests to a service that normally needs most of its target would be
# hedged.
_MEAN_FACTOR: Final = 3.0
# Weight of one answer in the moving mean, which so covers about twenty answers.
_WEIGHT: Final = 0.05
# Hedged requests as a share of all requests. In addition the budget allows one every
# two seconds.
_BUDGET_SHARE: Final = 0.05


class Hedging:
    """The hedging state of one gateway: mean latencies by service, and the budget."""

    def __init__(self) -> None:
        self._mean_seconds_by_service: dict[str, float] = {}
        self._budget = retries.RetryBudget(_BUDGET_SHARE)

    def record_latency(self, service: str, seconds: float) -> None:
        """Record the latency of an attempt that was answered, in seconds."""
        mean = self._mean_seconds_by_service.get(service, seconds)
        mean += _WEIGHT * (seconds - mean)
        self._mean_seconds_by_service[service] = mean

    def count_first_attempt(self) -> None:
        """Count a request's first attempt, which adds to the budget."""
        self._budget.count_first_attempt()

    def hedge_delay(self, route: policy.Route, service: str) -> float | None:
        """Return the time after which to hedge, in seconds; None: do not hedge."""
        if not route.target_latency_seconds:
            return None
        mean = self._mean_seconds_by_service.get(service, 0.0)
        return max(route.target_latency_seconds * _TARGET_SHARE, mean * _MEAN_FACTOR)

    def try_take_hedge(self, now: float) -> bool:
        """Take one hedge from the budget; return False if none is left."""
        return self._budget.take(now)
