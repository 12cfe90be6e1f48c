"""Which upstream a call goes to.

Eligible is an upstream that serves what the call needs and whose lease stands. Among
those with room, the one with the least expected wait is taken. The wait is worked out
from the gateway's own calls in flight, which it knows exactly, and the upstream's last
report less what of it were the gateway's own calls. A report stands until the next one:
the registry passes on reports only when they changed.

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

# Share of the calls' seconds that the newest call counts in the mean.
_SMOOTHING: Final = 0.1
# Assumed time of a call before the first has ended.
DEFAULT_SECONDS: Final = 1.0
# Time that a call to another availability zone takes longer, there and back.
ZONE_SECONDS: Final = 0.003
# A cached prefix counts at most as this share of a call's time. More would pile calls
# with one prompt upon one engine while others are free.
PREFIX_PREFERENCE: Final = 0.15
# Waits that differ by less are the same; one of them is taken by chance. Gateways that
# see the same reports would otherwise all take the same upstream.
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
    # Mean time of a call; 0: none has ended.
    mean_seconds: float = 0.0

    def learn(self, upstream: upstream_model.Upstream) -> None:
        if self.load is upstream.load and self.change == upstream.change:
            return
        self.change = upstream.change
        self.load = upstream.load
        reported = upstream.load.n_running + upstream.load.n_waiting
        self.n_foreign = max(0, reported - self.n_in_flight)


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
        waits = [
            (self._cost(upstream, prefix_holders), upstream)
            for upstream in usable
            if _has_room(upstream, self._use(upstream), now, n_gateways)
        ]
        if not waits:
            return Lack.ROOM
        bound = min(wait for wait, _ in waits)
        bound += _TIE_SHARE * abs(bound)
        best = [upstream for wait, upstream in waits if wait <= bound]
        return best[0] if len(best) == 1 else self._rng.choice(best)

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

    def _cost(
        self, upstream: upstream_model.Upstream, prefix_holders: frozenset[str]
    ) -> float:
        use = self._use(upstream)
        wait = self._expected_wait(upstream, use)
        if upstream.upstream_id in prefix_holders:
            wait -= PREFIX_PREFERENCE * (use.mean_seconds or DEFAULT_SECONDS)
        return wait

    def _expected_wait(self, upstream: upstream_model.Upstream, use: _Use) -> float:
        """Return the seconds a call is expected to take from now."""
        mean = use.mean_seconds or DEFAULT_SECONDS
        n_others = use.n_in_flight + use.n_foreign
        wait = mean * (1.0 + n_others / max(1, upstream.max_concurrency))
        if upstream.availability_zone != self.availability_zone:
            wait += ZONE_SECONDS
        return wait

    def started(self, upstream_id: str, now: float) -> None:
        """Note that a call was given to the upstream."""
        self._uses_by_id.setdefault(upstream_id, _Use()).n_in_flight += 1
        self.health.started(upstream_id, now)

    def ended(self, upstream_id: str, seconds: float | None) -> None:
        """Note that a call is over; `seconds` it took if its answer was whole."""
        use = self._uses_by_id[upstream_id]
        use.n_in_flight -= 1
        if seconds is None:
            return
        if use.mean_seconds:
            use.mean_seconds += _SMOOTHING * (seconds - use.mean_seconds)
        else:
            use.mean_seconds = seconds

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
