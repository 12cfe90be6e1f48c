"""Choose the upstream for a plain request.

Each gateway sees a small part of the traffic, and chooses by its own observations: the
requests that it has in flight, the load and the speed that answers reported, and its
own failed attempts. After a failure an upstream is avoided for a backoff time that
doubles with each failure in a row. If all upstreams are in backoff, the one whose
backoff ends first is tried, so that no upstream is avoided permanently. One whose
address another upstream has gets nothing until its backoff has ended.

Gateways also avoid upstreams that have failed at several others (see `shared_health`).
"""

import random
from collections.abc import Collection, Iterable
from typing import Final

import attrs

from bilberrydrum import backoff, upstream_protocol
from bilberrydrum.fleet import model
from bilberrydrum.relay import shared_health

# First and longest backoff after a failure, in seconds. The first is about ten service
# times. The longest is below the time that a crashed upstream takes to restart (4 s and
# more), so that its return is noticed soon.
FIRST_BACKOFF_SECONDS: Final = 0.5
MAX_BACKOFF_SECONDS: Final = 4.0
# Age beyond which a load report is ignored, in seconds: about five service times.
MAX_REPORT_AGE_SECONDS: Final = 0.5


@attrs.define
class _UpstreamState:
    """What this process has observed of one upstream."""

    n_in_flight: int = 0
    backoff_state: backoff.Backoff = attrs.field(
        factory=lambda: backoff.Backoff(FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
    )
    # Another upstream answered at its address when it was last tried.
    was_misdirected: bool = False
    # Requests at the upstream as last reported, and the time of that report.
    n_reported: int = 0
    reported_at: float = float("-inf")
    # How long work takes, as a multiple of the usual time, in that report.
    work_factor: float = 1.0

    def weighted_load(self, n_slots: int, now: float) -> float:
        """Return the load, weighted with how long work takes at the upstream's host.

        The load is the number of requests per slot. The request to be sent is one of
        them, so a host on which work takes longer also ranks lower while it is idle.
        Its usual share is subtracted, so that the result is the load without it if the
        factor is 1 or not known.
        """
        n_requests, factor = self.n_in_flight, 1.0
        if now - self.reported_at <= MAX_REPORT_AGE_SECONDS:
            n_requests = max(n_requests, self.n_reported)
            factor = self.work_factor
        return (n_requests + (n_requests + 1) * (factor - 1)) / max(n_slots, 1)


class Balancer:
    """Chooses upstreams, and keeps the observations that it chooses by."""

    def __init__(
        self,
        availability_zone: str,
        rng: random.Random,
        shared: shared_health.SharedHealth | None = None,
    ) -> None:
        """Make the balancer; `shared` is None where observations are not exchanged."""
        self._zone = availability_zone
        self._rng = rng
        self._shared = shared
        self._states_by_id: dict[str, _UpstreamState] = {}

    def choose(
        self,
        upstreams: Iterable[model.FleetUpstream],
        excluded_ids: Collection[str],
        now: float,
    ) -> model.FleetUpstream | None:
        """Return the upstream to send to, or None if no candidate is left."""
        candidates = self._candidates(upstreams, excluded_ids, now)
        return min(candidates, key=lambda each: self._rank(each, now), default=None)

    def ranked(
        self,
        upstreams: Iterable[model.FleetUpstream],
        excluded_ids: Collection[str],
        now: float,
    ) -> list[model.FleetUpstream]:
        """Return the upstreams that a request can be sent to, the best one first."""
        candidates = self._candidates(upstreams, excluded_ids, now)
        return sorted(candidates, key=lambda each: self._rank(each, now))

    def _candidates(
        self,
        upstreams: Iterable[model.FleetUpstream],
        excluded_ids: Collection[str],
        now: float,
    ) -> list[model.FleetUpstream]:
        return [
            each
            for each in upstreams
            if not each.is_leaving
            and each.upstream_id not in excluded_ids
            and not self._is_misdirected(each.upstream_id, now)
        ]

    def _is_misdirected(self, upstream_id: str, now: float) -> bool:
        state = self._states_by_id.get(upstream_id)
        if state is None or not state.was_misdirected:
            return False
        return state.backoff_state.remaining(now) > 0

    def _rank(
        self, upstream: model.FleetUpstream, now: float
    ) -> tuple[float, bool, float, bool, float]:
        state = self._states_by_id.get(upstream.upstream_id, _UpstreamState())
        wait = self._backoff_of(upstream.upstream_id, now)
        load = state.weighted_load(upstream.n_slots, now)
        # While less than half of an upstream's slots are in use the zone decides: an
        # answer from another zone takes longer and its traffic costs money, whereas one
        # more request at an engine hardly slows it down.
        is_far = upstream.availability_zone != self._zone
        is_busy = load >= 0.5
        return (
            wait,
            upstream.is_silent,
            load if is_busy else 0.0,
            is_far,
            load + self._rng.random() / 100,
        )

    def has_spare(
        self,
        upstreams: Iterable[model.FleetUpstream],
        crashed_ids: Collection[str],
        now: float,
    ) -> bool:
        """Return whether the service could lose one of its upstreams now.

        It could if at least two upstreams are healthy, or if all that are registered
        are. In the second case even the only upstream may be put at risk.
        """
        present = [each for each in upstreams if not each.is_leaving]
        healthy = [
            each
            for each in present
            if not each.is_silent
            and each.upstream_id not in crashed_ids
            and not self._backoff_of(each.upstream_id, now)
        ]
        return len(healthy) > 1 or (bool(healthy) and len(healthy) == len(present))

    def _backoff_of(self, upstream_id: str, now: float) -> float:
        state = self._states_by_id.get(upstream_id)
        own = state.backoff_state.remaining(now) if state is not None else 0.0
        if self._shared is None:
            return own
        return max(own, self._shared.remaining(upstream_id, now))

    def record_start(self, upstream_id: str) -> None:
        """Count a request that is sent to the upstream."""
        self._state_of(upstream_id).n_in_flight += 1

    def record_end(self, upstream_id: str) -> None:
        """Count a request as no longer in flight, whatever its outcome."""
        self._state_of(upstream_id).n_in_flight -= 1

    def record_success(
        self, upstream_id: str, head: upstream_protocol.AnswerHead, now: float
    ) -> None:
        """Record an answer: end the backoff, and store the load that it reports."""
        state = self._state_of(upstream_id)
        if self._shared is not None:
            n_failures = state.backoff_state.n_failures
            self._shared.record_answer(upstream_id, n_failures, now)
        state.backoff_state.record_success()
        state.was_misdirected = False
        if head.n_running is not None:
            state.n_reported = head.n_running + (head.n_waiting or 0)
            state.work_factor = _plausible_factor(head)
            state.reported_at = now

    def record_failure(self, upstream_id: str, now: float) -> None:
        """Record that an upstream gave no valid answer, and start its backoff."""
        state = self._state_of(upstream_id)
        state.was_misdirected = False
        own = state.backoff_state
        own.record_failure(now)
        if self._shared is not None:
            self._shared.record_failure(upstream_id, own.n_failures, now)

    def record_misdirection(self, upstream_id: str, now: float) -> None:
        """Record that another upstream has the upstream's address.

        That one rejects every request at once. If it were tried for lack of others, as
        a crashed one is, callers that retry would ask it as often as they can.
        """
        self.record_failure(upstream_id, now)
        self._state_of(upstream_id).was_misdirected = True

    def keep_only(self, upstream_ids: Collection[str]) -> None:
        """Remove upstreams that have left, unless a request is in flight there."""
        for upstream_id, state in list(self._states_by_id.items()):
            if upstream_id not in upstream_ids and not state.n_in_flight:
                del self._states_by_id[upstream_id]

    def _state_of(self, upstream_id: str) -> _UpstreamState:
        return self._states_by_id.setdefault(upstream_id, _UpstreamState())


def _plausible_factor(head: upstream_protocol.AnswerHead) -> float:
    """Return the reported work factor; 1.0 if there is no plausible one."""
    factor = head.work_factor
    if factor is None or not upstream_protocol.is_plausible_factor(factor):
        return 1.0
    return factor
