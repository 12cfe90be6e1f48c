"""Routing: choose the upstream for a call.

An upstream is eligible if it serves what the call needs and its lease is valid. Among
the eligible upstreams with free capacity, the one with the least expected wait is
chosen. The wait is estimated from three things: the gateway's own calls in flight,
which it knows exactly; the load in the upstream's last report, without the gateway's
own calls; and the measured time of calls at the upstream.

A report is out of date when it arrives. Some of the calls in it have finished since,
and about as many new ones have been sent to some upstream; `spreading` takes this into
account. The measured time of an upstream counts less the older it is. Otherwise an
upstream that was slow once would never be tried again.

The gateways share the capacity without coordinating each call. Each gateway may always
use its equal share of an upstream's concurrency, so that late reports can't starve it.
Beyond that share it uses what the last report shows as free. Because reports are late,
several gateways may use the same free capacity. The upstream then queues the call, or
refuses it as busy and gets no calls for a short time.
"""

import enum
import math
import random
from collections.abc import Iterable
from typing import Final

import attrs

from bilberrydrum.requests import health as upstream_health
from bilberrydrum.requests import spreading
from bilberrydrum.upstreams import model as upstream_model

# Weight of the newest call in the moving averages of an upstream.
_SMOOTHING: Final = 0.1
# Time after which the measured speed of an upstream counts half; the other half is the
# mean speed of all upstreams that are compared.
_SPEED_HALF_LIFE_SECONDS: Final = 10.0
# Assumed time of a call until the first one has finished.
DEFAULT_CALL_SECONDS: Final = 1.0
# Additional round-trip time of a call to another availability zone.
CROSS_ZONE_SECONDS: Final = 0.003
# A cached prefix lowers the cost of an engine by this part of a typical call's time. A
# larger value would concentrate calls with the same prompt on one engine while others
# are idle.
PREFIX_PREFERENCE: Final = 0.15
# Assumed age of a report when it arrives.
REPORT_LAG_SECONDS: Final = 0.5
# Upper limit of the time since a report arrived. If there was no newer report for
# longer, the load has not changed much, so the report is not treated as older.
MAX_REPORT_AGE_SECONDS: Final = 1.0


class Unavailable(enum.Enum):
    """Why no upstream was chosen."""

    # All eligible upstreams are full; the call can wait until one has free capacity.
    ALL_FULL = "room"
    # No upstream is eligible.
    NONE_ELIGIBLE = "upstream"


@attrs.frozen
class Need:
    """What a call requires of its upstream; equal needs share a queue."""

    # `upstreams.model.KIND_ENGINE` or `KIND_APPLICATION`.
    kind: str
    # The model's or the application's name.
    name: str
    adapter: str = ""
    # Lowest weight version that is accepted; -1: any.
    min_weight_version: int = -1
    must_resume: bool = False
    excluded_upstream_ids: frozenset[str] = frozenset()
    # Calls that may be queued at the upstream, per unit of its capacity.
    queue_depth: float = 0.0

    def without(self, upstream_ids: frozenset[str]) -> "Need":
        """Return the need with these upstreams excluded as well."""
        if not upstream_ids:
            return self
        excluded_ids = self.excluded_upstream_ids | upstream_ids
        return attrs.evolve(self, excluded_upstream_ids=excluded_ids)

    @property
    def domain(self) -> str:
        """Name of the group of calls that compete for the same upstreams.

        Fair sharing among clients applies within a domain.
        """
        if self.kind == upstream_model.KIND_ENGINE:
            return self.kind
        return f"{self.kind}/{self.name}"


def is_eligible(upstream: upstream_model.Upstream, need: Need) -> bool:
    """Return whether `upstream` meets `need`."""
    if upstream.kind != need.kind:
        return False
    if upstream.upstream_id in need.excluded_upstream_ids:
        return False
    if need.kind == upstream_model.KIND_APPLICATION:
        return upstream.application == need.name
    return _engine_is_eligible(upstream, need)


def _engine_is_eligible(upstream: upstream_model.Upstream, need: Need) -> bool:
    served = upstream.models.get(need.name)
    if served is None or upstream.role != upstream_model.ROLE_GENERATE:
        return False
    if need.adapter and need.adapter not in served.adapters:
        return False
    if need.must_resume and not upstream.can_resume:
        return False
    return served.weight_version >= need.min_weight_version


@attrs.define
class _UpstreamStats:
    """What this gateway knows about the load and speed of one upstream."""

    n_in_flight: int = 0
    # Change number and load of the report from which `n_others` was computed.
    change: int = -1
    load: upstream_model.Load | None = None
    received_at: float = 0.0
    # Calls of other gateways at the upstream, by the last report.
    n_others: int = 0
    busy_until: float = 0.0
    # Moving averages of the calls' seconds and sizes; 0 until the first complete call.
    mean_seconds: float = 0.0
    mean_size: float = 0.0
    measured_at: float = 0.0

    @property
    def seconds_per_unit(self) -> float:
        """Mean seconds for one unit of size; 0 if not known."""
        return self.mean_seconds / self.mean_size if self.mean_size else 0.0

    def update_from_report(self, upstream: upstream_model.Upstream, now: float) -> None:
        if self.load is upstream.load and self.change == upstream.change:
            return
        self.received_at = now
        self.change = upstream.change
        self.load = upstream.load
        reported = upstream.load.n_running + upstream.load.n_waiting
        self.n_others = max(0, reported - self.n_in_flight)

    def estimate_n_others(self, now: float, seconds: float) -> float:
        """Return how many of the other gateways' calls are probably still running.

        Each of them takes `seconds` on average. New calls have replaced those that
        finished, but it is not known at which upstream.
        """
        age = min(now - self.received_at, MAX_REPORT_AGE_SECONDS) + REPORT_LAG_SECONDS
        return self.n_others * math.exp(-age / seconds)


@attrs.frozen
class _TypicalCall:
    """A typical call at the upstreams that are compared."""

    seconds: float
    # Mean seconds for one unit of size.
    seconds_per_unit: float


@attrs.define
class Router:
    """Chooses upstreams, and keeps the statistics for the choice."""

    availability_zone: str
    _rng: random.Random
    health: upstream_health.Health = attrs.field(factory=upstream_health.Health)
    _stats_by_id: dict[str, _UpstreamStats] = attrs.field(factory=dict)

    def choose(
        self,
        eligible: Iterable[upstream_model.Upstream],
        now: float,
        n_gateways: int = 1,
        prefix_holders: frozenset[str] = frozenset(),
        queue_depth: float = 0.0,
    ) -> upstream_model.Upstream | Unavailable:
        """Return the upstream with free capacity and the least expected wait.

        Parameters
        ----------
        eligible : iterable of Upstream
            The upstreams for which `is_eligible` holds.
        now : float
            The time, in seconds.
        n_gateways : int
            Number of gateways that share the upstreams.
        prefix_holders : frozenset of str
            Ids of the upstreams that probably have the prompt's prefix in their cache.
        queue_depth : float
            Calls that may be queued at an upstream, per unit of its capacity.
        """
        usable = self._usable(eligible, now)
        if not usable:
            return Unavailable.NONE_ELIGIBLE
        typical = self._typical(usable)
        options = []
        n_moved = 0.0
        for upstream in usable:
            stats = self._stats_of(upstream, now)
            n_others = stats.estimate_n_others(now, typical.seconds)
            n_moved += stats.n_others - n_others
            if _has_room(upstream, stats, now, n_gateways, queue_depth):
                options.append(self._option(upstream, n_others, typical, now))
        if not options:
            return Unavailable.ALL_FULL
        for option in options:
            if option.upstream.upstream_id in prefix_holders:
                option.cost -= PREFIX_PREFERENCE
        return spreading.pick(options, n_moved, self._rng)

    def _typical(self, upstreams: list[upstream_model.Upstream]) -> _TypicalCall:
        seconds = size = 0.0
        n_known = 0
        for upstream in upstreams:
            stats = self._stats_by_id.get(upstream.upstream_id)
            if stats is not None and stats.mean_size:
                seconds += stats.mean_seconds
                size += stats.mean_size
                n_known += 1
        if not n_known:
            return _TypicalCall(DEFAULT_CALL_SECONDS, DEFAULT_CALL_SECONDS)
        return _TypicalCall(seconds / n_known, seconds / size)

    def _usable(
        self, eligible: Iterable[upstream_model.Upstream], now: float
    ) -> list[upstream_model.Upstream]:
        all_eligible = list(eligible)
        usable = [
            upstream
            for upstream in all_eligible
            if self.health.may_use(upstream.upstream_id, now)
        ]
        # If all are ejected, all are used. Otherwise a short fault of all upstreams
        # would become an outage that lasts as long as the ejection.
        return usable or all_eligible

    def _option(
        self,
        upstream: upstream_model.Upstream,
        n_others: float,
        typical: _TypicalCall,
        now: float,
    ) -> spreading.Option:
        """Return the cost of a call there, in units of a typical call's time."""
        stats = self._stats_by_id[upstream.upstream_id]
        relative = 1.0
        if stats.mean_size:
            weight = 0.5 ** ((now - stats.measured_at) / _SPEED_HALF_LIFE_SECONDS)
            relative = weight * stats.seconds_per_unit / typical.seconds_per_unit + (
                1.0 - weight
            )
        cost_per_call = relative / max(1, upstream.max_concurrency)
        cost = relative + cost_per_call * (stats.n_in_flight + n_others)
        if upstream.availability_zone != self.availability_zone:
            # Another zone costs as much as one more call in flight, so an upstream in
            # the same zone is preferred unless it is slower or more loaded.
            cost += cost_per_call + CROSS_ZONE_SECONDS / typical.seconds
        return spreading.Option(upstream, cost, cost_per_call)

    def record_start(self, upstream_id: str, now: float) -> None:
        """Record that a call was assigned to the upstream."""
        self._stats_by_id.setdefault(upstream_id, _UpstreamStats()).n_in_flight += 1
        self.health.record_start(upstream_id, now)

    def record_end(
        self, upstream_id: str, now: float, seconds: float | None, size: float = 1.0
    ) -> None:
        """Record the end of a call.

        Parameters
        ----------
        upstream_id : str
            The upstream that ran the call.
        now : float
            The time, in seconds.
        seconds : float or None
            Time the call took; None if its answer was not complete.
        size : float
            Amount of work: tokens, or 1 for a plain service.
        """
        stats = self._stats_by_id[upstream_id]
        stats.n_in_flight -= 1
        if seconds is None or size <= 0:
            return
        share = _SMOOTHING if stats.mean_size else 1.0
        stats.mean_seconds += share * (seconds - stats.mean_seconds)
        stats.mean_size += share * (size - stats.mean_size)
        stats.measured_at = now

    def record_busy(self, upstream_id: str, until: float) -> None:
        """Record that the upstream refused a call as busy; skip it until `until`."""
        self._stats_by_id.setdefault(upstream_id, _UpstreamStats()).busy_until = until

    def n_in_flight(self, upstream_id: str) -> int:
        """Return the number of this gateway's calls in flight at the upstream."""
        stats = self._stats_by_id.get(upstream_id)
        return stats.n_in_flight if stats is not None else 0

    def keep_only(self, upstream_ids: frozenset[str]) -> None:
        """Remove the statistics of other upstreams that have no call in flight."""
        for upstream_id in self._stats_by_id.keys() - upstream_ids:
            if self._stats_by_id[upstream_id].n_in_flight == 0:
                del self._stats_by_id[upstream_id]
        self.health.keep_only(upstream_ids)

    def _stats_of(
        self, upstream: upstream_model.Upstream, now: float
    ) -> _UpstreamStats:
        stats = self._stats_by_id.get(upstream.upstream_id)
        if stats is None:
            stats = self._stats_by_id[upstream.upstream_id] = _UpstreamStats()
        stats.update_from_report(upstream, now)
        return stats


def _has_room(
    upstream: upstream_model.Upstream,
    stats: _UpstreamStats,
    now: float,
    n_gateways: int,
    queue_depth: float,
) -> bool:
    if stats.busy_until > now:
        return False
    limit = math.floor(upstream.max_concurrency * (1.0 + queue_depth))
    own_share = max(1, limit // max(1, n_gateways))
    if stats.n_in_flight < own_share:
        return True
    return stats.n_in_flight + stats.n_others < limit
