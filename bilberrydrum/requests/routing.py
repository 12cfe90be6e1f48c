"""Which upstream a call goes to.

Eligible is an upstream that serves what the call needs and whose lease stands. Among
those with room, the one with the least expected wait is taken. The wait is worked out
from the gateway's own calls in flight, which it knows exactly, the upstream's last
report less what of it were the gateway's own calls, and the upstream's pace.

Reports are old when they are heard. Of the calls in a report some have ended since, and
as many others have come to some upstream; `spreading` makes the choice in view of that.
A pace is believed less as it gets older, or an upstream that was slow once would never
be tried again.

Capacity is shared among the gateways without talking about each call. Each gateway may
always use its equal part of an upstream's concurrency, so that late reports can't
starve one; beyond that part it takes what the report shows to be free. Late reports
let several gateways take the same free place; the upstream then queues the call or
says that it is busy, and is left alone for a moment.
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

# Share that the newest call has in the means of an upstream.
_SMOOTHING: Final = 0.1
# Time after which an upstream's own pace counts half, and that of all half.
_PACE_HALF_LIFE_SECONDS: Final = 10.0
# Assumed time of a call before the first has ended.
DEFAULT_SECONDS: Final = 1.0
# Time that a call to another availability zone takes longer, there and back.
ZONE_SECONDS: Final = 0.003
# A cached prefix counts at most as this share of a call's time. More would pile calls
# with one prompt upon one engine while others are free.
PREFIX_PREFERENCE: Final = 0.15
# Age of a report when it is heard.
REPORT_LAG_SECONDS: Final = 0.5
# A report that stands longer has not changed much since, or there would be a new one.
MAX_REPORT_AGE_SECONDS: Final = 1.0


class Lack(enum.Enum):
    """Why no upstream was chosen."""

    # All that could do it are full; one will have room.
    ROOM = "room"
    # None could do it.
    UPSTREAM = "upstream"


@attrs.frozen
class Need:
    """What a call needs of its upstream; equal needs share a queue."""

    # `upstreams.model.KIND_ENGINE` or `KIND_APPLICATION`.
    kind: str
    # The model's or the application's name.
    name: str
    adapter: str = ""
    # -1: any.
    min_weight_version: int = -1
    must_resume: bool = False
    excluded_upstream_ids: frozenset[str] = frozenset()
    # Calls that may wait at the upstream per place it has.
    queue_depth: float = 0.0

    @property
    def domain(self) -> str:
        """Calls of one domain share upstreams, and are shared out fairly."""
        if self.kind == upstream_model.KIND_ENGINE:
            return self.kind
        return f"{self.kind}/{self.name}"


def is_eligible(upstream: upstream_model.Upstream, need: Need) -> bool:
    """Tell whether `upstream` can do what `need` asks."""
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
class _Use:
    """What this gateway knows of one upstream from its own calls."""

    n_in_flight: int = 0
    # Report that `n_foreign` was worked out from.
    change: int = -1
    load: upstream_model.Load | None = None
    heard_at: float = 0.0
    # Calls of others, by the last report.
    n_foreign: int = 0
    busy_until: float = 0.0
    # Means of the calls' seconds and of their size; 0: none has ended.
    mean_seconds: float = 0.0
    mean_size: float = 0.0
    paced_at: float = 0.0

    @property
    def pace(self) -> float:
        """Seconds for one unit of size; 0: not known."""
        return self.mean_seconds / self.mean_size if self.mean_size else 0.0

    def learn(self, upstream: upstream_model.Upstream, now: float) -> None:
        if self.load is upstream.load and self.change == upstream.change:
            return
        self.heard_at = now
        self.change = upstream.change
        self.load = upstream.load
        reported = upstream.load.n_running + upstream.load.n_waiting
        self.n_foreign = max(0, reported - self.n_in_flight)

    def n_foreign_now(self, now: float, seconds: float) -> float:
        """Return how many of the others' calls are likely to be there still.

        Each of them ends after `seconds` on average. Others have come in their stead,
        but where to is not known.
        """
        age = min(now - self.heard_at, MAX_REPORT_AGE_SECONDS) + REPORT_LAG_SECONDS
        return self.n_foreign * math.exp(-age / seconds)


@attrs.frozen
class _Typical:
    """A typical call at the upstreams that are compared."""

    seconds: float
    # Seconds for one unit of size.
    pace: float


@attrs.define
class Router:
    """Chooses upstreams, and keeps what the choice needs to know."""

    availability_zone: str
    _rng: random.Random
    health: upstream_health.Health = attrs.field(factory=upstream_health.Health)
    _uses_by_id: dict[str, _Use] = attrs.field(factory=dict)

    def choose(
        self,
        eligible: Iterable[upstream_model.Upstream],
        now: float,
        n_gateways: int = 1,
        prefix_holders: frozenset[str] = frozenset(),
        queue_depth: float = 0.0,
    ) -> upstream_model.Upstream | Lack:
        """Return the upstream with room and the least expected wait.

        Parameters
        ----------
        eligible : iterable of Upstream
            The upstreams for which `is_eligible` holds.
        now : float
            The time, in seconds.
        n_gateways : int
            Gateways that share the upstreams.
        prefix_holders : frozenset of str
            Ids of the upstreams that are likely to hold the prompt's prefix.
        queue_depth : float
            Calls that may wait at an upstream per place it has.
        """
        usable = self._usable(eligible, now)
        if not usable:
            return Lack.UPSTREAM
        typical = self._typical(usable)
        options = []
        n_moved = 0.0
        for upstream in usable:
            use = self._use(upstream, now)
            n_foreign = use.n_foreign_now(now, typical.seconds)
            n_moved += use.n_foreign - n_foreign
            if _has_room(upstream, use, now, n_gateways, queue_depth):
                options.append(self._option(upstream, n_foreign, typical, now))
        if not options:
            return Lack.ROOM
        for option in options:
            if option.upstream.upstream_id in prefix_holders:
                option.cost -= PREFIX_PREFERENCE
        return spreading.pick(options, n_moved, self._rng)

    def _typical(self, upstreams: list[upstream_model.Upstream]) -> _Typical:
        seconds = size = 0.0
        n_known = 0
        for upstream in upstreams:
            use = self._uses_by_id.get(upstream.upstream_id)
            if use is not None and use.mean_size:
                seconds += use.mean_seconds
                size += use.mean_size
                n_known += 1
        if not n_known:
            return _Typical(DEFAULT_SECONDS, DEFAULT_SECONDS)
        return _Typical(seconds / n_known, seconds / size)

    def _usable(
        self, eligible: Iterable[upstream_model.Upstream], now: float
    ) -> list[upstream_model.Upstream]:
        all_eligible = list(eligible)
        usable = [
            upstream
            for upstream in all_eligible
            if self.health.may_use(upstream.upstream_id, now)
        ]
        # When all have failed, leaving all out would turn a passing fault into an
        # outage of the length of the pause.
        return usable or all_eligible

    def _option(
        self,
        upstream: upstream_model.Upstream,
        n_foreign: float,
        typical: _Typical,
        now: float,
    ) -> spreading.Option:
        """Return what a call costs there, in times of a typical call."""
        use = self._uses_by_id[upstream.upstream_id]
        relative = 1.0
        if use.mean_size:
            trust = 0.5 ** ((now - use.paced_at) / _PACE_HALF_LIFE_SECONDS)
            relative = trust * use.pace / typical.pace + (1.0 - trust)
        cost_per_call = relative / max(1, upstream.max_concurrency)
        cost = relative + cost_per_call * (use.n_in_flight + n_foreign)
        if upstream.availability_zone != self.availability_zone:
            # As much as one call more: the near one goes first while it isn't slower.
            cost += cost_per_call + ZONE_SECONDS / typical.seconds
        return spreading.Option(upstream, cost, cost_per_call)

    def started(self, upstream_id: str, now: float) -> None:
        """Note that a call was given to the upstream."""
        self._uses_by_id.setdefault(upstream_id, _Use()).n_in_flight += 1
        self.health.started(upstream_id, now)

    def ended(
        self, upstream_id: str, now: float, seconds: float | None, size: float = 1.0
    ) -> None:
        """Note that a call is over.

        Parameters
        ----------
        upstream_id : str
            The upstream that had it.
        now : float
            The time, in seconds.
        seconds : float or None
            Time it took; None if its answer was not whole.
        size : float
            What there was to do: tokens, or 1 for a plain service.
        """
        use = self._uses_by_id[upstream_id]
        use.n_in_flight -= 1
        if seconds is None or size <= 0:
            return
        share = _SMOOTHING if use.mean_size else 1.0
        use.mean_seconds += share * (seconds - use.mean_seconds)
        use.mean_size += share * (size - use.mean_size)
        use.paced_at = now

    def busy(self, upstream_id: str, until: float) -> None:
        """Note that the upstream refused a call for lack of room."""
        self._uses_by_id.setdefault(upstream_id, _Use()).busy_until = until

    def n_in_flight(self, upstream_id: str) -> int:
        """Return the number of this gateway's calls at the upstream."""
        use = self._uses_by_id.get(upstream_id)
        return use.n_in_flight if use is not None else 0

    def keep_only(self, upstream_ids: frozenset[str]) -> None:
        """Forget the upstreams that are gone and have no call left."""
        for upstream_id in self._uses_by_id.keys() - upstream_ids:
            if self._uses_by_id[upstream_id].n_in_flight == 0:
                del self._uses_by_id[upstream_id]
        self.health.keep_only(upstream_ids)

    def _use(self, upstream: upstream_model.Upstream, now: float) -> _Use:
        use = self._uses_by_id.get(upstream.upstream_id)
        if use is None:
            use = self._uses_by_id[upstream.upstream_id] = _Use()
        use.learn(upstream, now)
        return use


def _has_room(
    upstream: upstream_model.Upstream,
    use: _Use,
    now: float,
    n_gateways: int,
    queue_depth: float,
) -> bool:
    if use.busy_until > now:
        return False
    limit = math.floor(upstream.max_concurrency * (1.0 + queue_depth))
    own_part = max(1, limit // max(1, n_gateways))
    if use.n_in_flight < own_part:
        return True
    return use.n_in_flight + use.n_foreign < limit
