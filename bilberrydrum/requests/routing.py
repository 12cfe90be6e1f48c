"""Which upstream a call goes to.

Eligible is an upstream that serves what the call needs and whose lease stands. Among
those with room, the one with the least expected wait is taken. The wait is worked out
from the gateway's own calls in flight, which it knows exactly, the upstream's last
report less what of it were the gateway's own calls, and the upstream's pace. A report
stands until the next one: the registry passes on reports only when they changed. A
pace, on the contrary, is believed less as it gets older, or an upstream that was slow
once would never be tried again.

Capacity is shared among the gateways without talking about each call. Each gateway may
always use its equal part of an upstream's concurrency, so that late reports can't
starve one; beyond that part it takes what the report shows to be free. Late reports
let several gateways take the same free place; the upstream then queues the call or
says that it is busy, and is left alone for a moment.
"""

import enum
import random
from collections.abc import Iterable
from typing import Final

import attrs

from bilberrydrum.requests import health as upstream_health
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
# Waits that differ by less are the same: one in the gateway's own availability zone is
# taken, and among those one by chance. Gateways that see the same reports would
# otherwise all take the same upstream.
_TIE_SHARE: Final = 0.02


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

    def learn(self, upstream: upstream_model.Upstream) -> None:
        if self.load is upstream.load and self.change == upstream.change:
            return
        self.change = upstream.change
        self.load = upstream.load
        reported = upstream.load.n_running + upstream.load.n_waiting
        self.n_foreign = max(0, reported - self.n_in_flight)


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
        """
        usable = self._usable(eligible, now)
        if not usable:
            return Lack.UPSTREAM
        with_room = [
            upstream
            for upstream in usable
            if _has_room(upstream, self._use(upstream), now, n_gateways)
        ]
        if not with_room:
            return Lack.ROOM
        if len(with_room) == 1:
            return with_room[0]
        return self._least(with_room, now, prefix_holders)

    def _least(
        self,
        upstreams: list[upstream_model.Upstream],
        now: float,
        prefix_holders: frozenset[str],
    ) -> upstream_model.Upstream:
        typical = self._typical(upstreams)
        waits = []
        for upstream in upstreams:
            wait = self._expected_wait(upstream, typical, now)
            if upstream.upstream_id in prefix_holders:
                wait -= PREFIX_PREFERENCE * typical.seconds
            waits.append((wait, upstream))
        least = min(wait for wait, _ in waits)
        bound = least + _TIE_SHARE * typical.seconds
        best = [upstream for wait, upstream in waits if wait <= bound]
        near = [
            upstream
            for upstream in best
            if upstream.availability_zone == self.availability_zone
        ]
        return self._rng.choice(near or best)

    def _typical(self, upstreams: list[upstream_model.Upstream]) -> _Typical:
        seconds = size = 0.0
        for upstream in upstreams:
            use = self._use(upstream)
            seconds += use.mean_seconds
            size += use.mean_size
        if not size:
            return _Typical(DEFAULT_SECONDS, DEFAULT_SECONDS)
        n_known = sum(1 for u in upstreams if self._use(u).mean_size)
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

    def _expected_wait(
        self, upstream: upstream_model.Upstream, typical: _Typical, now: float
    ) -> float:
        """Return the seconds a typical call is expected to take from now."""
        use = self._use(upstream)
        relative = 1.0
        if use.mean_size:
            trust = 0.5 ** ((now - use.paced_at) / _PACE_HALF_LIFE_SECONDS)
            relative = trust * use.pace / typical.pace + (1.0 - trust)
        n_others = use.n_in_flight + use.n_foreign
        crowding = 1.0 + n_others / max(1, upstream.max_concurrency)
        wait = typical.seconds * relative * crowding
        if upstream.availability_zone != self.availability_zone:
            wait += ZONE_SECONDS
        return wait

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

    def _use(self, upstream: upstream_model.Upstream) -> _Use:
        use = self._uses_by_id.get(upstream.upstream_id)
        if use is None:
            use = self._uses_by_id[upstream.upstream_id] = _Use()
        use.learn(upstream)
        return use


def _has_room(
    upstream: upstream_model.Upstream, use: _Use, now: float, n_gateways: int
) -> bool:
    if use.busy_until > now:
        return False
    own_part = max(1, upstream.max_concurrency // max(1, n_gateways))
    if use.n_in_flight < own_part:
        return True
    return use.n_in_flight + use.n_foreign < upstream.max_concurrency
