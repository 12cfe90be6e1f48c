"""What the runner knows of each engine."""

import bisect
import collections
from collections.abc import Mapping, Sequence
from typing import Final

import attrs

from bilberrydrum import backoff
from bilberrydrum.batches import (
    engine_shares,
    item_run,
    lifecycle,
    scheduling,
    weight_plan,
)
from bilberrydrum.fleet import model, policy

# An engine that broke off a run gets no work for this long, in seconds, at first and at
# most; doubled with each failure in a row. A crashed engine is back after 4 s and more.
FIRST_BACKOFF_SECONDS: Final = 0.5
MAX_BACKOFF_SECONDS: Final = 4.0
# Weight of one pause in an engine's pace: it follows a change within some 20 events,
# which come in a tenth of a second when the engine is full.
PACE_WEIGHT: Final = 0.05
# A pace that was not renewed for this long, in seconds, says nothing: the engine may
# have recovered, and is tried again.
PACE_SECONDS: Final = 3.0
# An engine whose pace is this many times the median of the others is slow. Full and
# empty engines differ by 1.5 (0.84 and 0.57 ms a step).
SLOW_FACTOR: Final = 2.2
# An engine that was slow is tried with this many items at a time. With all its places
# filled at each try, a dozen streams are broken off every few seconds (548 on a day
# with a slow engine), and each prompt is read again.
PROBE_SLOTS: Final = 1
# A stream may pause for this many times its engine's pace.
STALL_PACES: Final = 8.0
# One that turned an item away is passed over as long as a place needs to come free.
REJECTED_SECONDS: Final = 0.05


@attrs.define(eq=False)
class Engine:
    """One incarnation of an engine."""

    upstream: model.FleetUpstream
    n_cache_tokens: int = 0
    n_running: int = 0
    # Of these, items that may have ended the engines that ran them.
    n_doubtful: int = 0
    n_tokens: int = 0
    # Items that run there, by group.
    n_by_group: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )
    # Newest versions known, from announcements, reports and answers.
    versions_by_model: dict[str, int] = attrs.field(factory=dict)
    loading: weight_plan.Load | None = None
    pause: backoff.Backoff = attrs.field(
        factory=lambda: backoff.Backoff(FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
    )
    # It turned an item away and is passed over until then.
    full_until: float = float("-inf")
    # Mean pause between two events of a stream, in seconds, lately; 0: not known.
    pace_seconds: float = 0.0
    paced_at: float = float("-inf")
    # It was slow when its pace was last known.
    was_slow: bool = False

    @property
    def upstream_id(self) -> str:
        """The incarnation's id."""
        return self.upstream.upstream_id

    @property
    def is_loading(self) -> bool:
        """Whether an order to load is under way."""
        return self.loading is not None

    def learn(self, versions_by_model: Mapping[str, int]) -> None:
        """Take over versions that are newer than the known ones.

        Announcements and reports lag; within one incarnation versions only rise.
        """
        for name, version in versions_by_model.items():
            self.learn_version(name, version)

    def learn_version(self, name: str, version: int) -> None:
        """Note that the engine serves `version` of a model, or a newer one."""
        known = self.versions_by_model.get(name)
        if known is None or version > known:
            self.versions_by_model[name] = version

    def correct_version(self, name: str, version: int) -> None:
        """Note that the engine has just worked under `version` of a model.

        Believed to serve a later one, it would be sent items that it cannot serve, as
        fast as it answers, and would never be told to load. It is not believed to
        serve an earlier one than it has announced.
        """
        announced = self.upstream.versions_by_model.get(name, version)
        self.versions_by_model[name] = max(version, announced)

    def begin(self, run: lifecycle.ItemRun) -> None:
        """Note that an item is sent."""
        self.n_running += 1
        self.n_doubtful += run.is_suspected
        self.n_tokens += run.n_expected_tokens()
        self.n_by_group[run.group_key] += 1

    def end(self, run: lifecycle.ItemRun) -> None:
        """Note that an item's attempt has ended."""
        self.n_running -= 1
        self.n_doubtful -= run.is_suspected
        self.n_tokens -= run.n_expected_tokens()
        self.n_by_group[run.group_key] -= 1
        if not self.n_by_group[run.group_key]:
            del self.n_by_group[run.group_key]

    def note_pause(self, seconds: float, now: float) -> None:
        """Note the pause before an event of a stream."""
        if self.loading is not None:
            # It says how long a load takes, not how fast the engine is.
            return
        if now - self.paced_at > PACE_SECONDS:
            self.pace_seconds = seconds
        self.paced_at = now
        self.pace_seconds += PACE_WEIGHT * (seconds - self.pace_seconds)

    def stall_seconds(self) -> float:
        """Return the longest pause of a stream that is not taken for its end."""
        if self.loading is not None:
            return item_run.LOADING_STALL_SECONDS
        return max(item_run.STALL_SECONDS, STALL_PACES * self.pace_seconds)

    def succeeded(self) -> None:
        """Note a whole answer."""
        self.pause.succeeded()

    def failed(self, now: float) -> None:
        """Note an answer that broke off, or none."""
        # Runs that break together are one failure.
        if not self.pause.remaining(now):
            self.pause.failed(now)

    def turned_away(self, now: float) -> None:
        """Note that it had no place."""
        self.full_until = now + REJECTED_SECONDS

    def is_passed_over(self, now: float) -> bool:
        """Tell whether it is sent nothing for a while."""
        return now < self.pause.until or now < self.full_until

    def place(
        self, shares: engine_shares.Shares, slow_ids: frozenset[str] = frozenset()
    ) -> scheduling.EngineCapacity:
        """Return what the choice for items needs."""
        loading = frozenset({self.loading.model} if self.loading else ())
        return scheduling.EngineCapacity(
            self.upstream_id,
            self.upstream.service,
            PROBE_SLOTS if self.was_slow else self.upstream.n_slots,
            self.n_running,
            self.versions_by_model,
            frozenset(shares.models_of(self.upstream_id)),
            loading,
            self.upstream.is_silent,
            self.upstream_id in slow_ids,
            self.n_cache_tokens,
            self.n_tokens,
            set(self.n_by_group),
            self.n_doubtful > 0,
        )


class Engines:
    """All engines that generate."""

    def __init__(self) -> None:
        self.by_id: dict[str, Engine] = {}
        # What was taken over last.
        self._upstreams: tuple[model.FleetUpstream, ...] = ()
        self._services_by_name: Mapping[str, policy.Service] = {}

    def refresh(
        self,
        upstreams: tuple[model.FleetUpstream, ...],
        services_by_name: Mapping[str, policy.Service],
    ) -> None:
        """Take over the registry and the policy if one of them has changed.

        Called at each look; they change far less often. Each state of them is another
        object, so identity tells.
        """
        is_known = self._upstreams is upstreams
        if is_known and self._services_by_name is services_by_name:
            return
        self._upstreams = upstreams
        self._services_by_name = services_by_name
        self._take(upstreams, services_by_name)

    def _take(
        self,
        upstreams: tuple[model.FleetUpstream, ...],
        services_by_name: Mapping[str, policy.Service],
    ) -> None:
        seen = set()
        for upstream in upstreams:
            service = services_by_name.get(upstream.service)
            if service is None or not service.models:
                continue
            seen.add(upstream.upstream_id)
            engine = self.by_id.get(upstream.upstream_id)
            if engine is None:
                engine = Engine(upstream)
                engine.learn(upstream.versions_by_model)
                self.by_id[upstream.upstream_id] = engine
            engine.n_cache_tokens = service.n_cache_tokens
            if engine.upstream is not upstream:
                engine.upstream = upstream
                engine.learn(upstream.versions_by_model)
        for upstream_id in set(self.by_id) - seen:
            del self.by_id[upstream_id]

    def usable(self, now: float) -> list[Engine]:
        """Return the engines that may be sent work now."""
        return [
            each
            for each in self.by_id.values()
            if not each.upstream.is_leaving and not each.is_passed_over(now)
        ]

    def lasting(self, now: float) -> list[Engine]:
        """Return the engines that a model may be given to.

        One that failed once may be back at once; a model that moved would have to be
        loaded elsewhere.
        """
        return [
            each
            for each in self.by_id.values()
            if not each.upstream.is_leaving
            and (now >= each.pause.until or each.pause.n_failures < 2)
        ]

    def n_loading(self) -> int:
        """Return how many engines load weights."""
        return sum(1 for each in self.by_id.values() if each.loading is not None)

    def slow_ids(self, now: float) -> frozenset[str]:
        """Return the engines that are much slower than the others now.

        Each engine remembers the verdict for when its pace is not known any more.
        """
        paces_by_id = {
            engine_id: each.pace_seconds
            for engine_id, each in self.by_id.items()
            if each.pace_seconds and now - each.paced_at <= PACE_SECONDS
        }
        slow = set()
        paces = sorted(paces_by_id.values())
        least_slow = SLOW_FACTOR * _least_median_of_others(paces)
        for engine_id, pace in paces_by_id.items():
            engine = self.by_id[engine_id]
            engine.was_slow = pace > least_slow and (
                pace > SLOW_FACTOR * _median_of_others(paces, pace)
            )
            if engine.was_slow:
                slow.add(engine_id)
        return frozenset(slow)

    def versions_of(self, model_name: str) -> set[int]:
        """Return the versions of a model that some engine has."""
        return {
            each.versions_by_model[model_name]
            for each in self.by_id.values()
            if model_name in each.versions_by_model
        }

    def models(self) -> list[str]:
        """Return all models that some engine serves."""
        found = {
            name for each in self.by_id.values() for name in each.versions_by_model
        }
        return sorted(found)


def _least_median_of_others(paces: Sequence[float]) -> float:
    """Return the least of all that `_median_of_others` returns for sorted `paces`."""
    if len(paces) < 2:
        return float("inf")
    return _median_of_others(paces, paces[-1])


def _median_of_others(paces: Sequence[float], own: float) -> float:
    """Return the median of sorted `paces` without one that is `own`.

    Asked for each engine that may be slow, so no list of the others is made: among
    thousands, that would hold all other tasks up.
    """
    position = bisect.bisect_left(paces, own)

    def other(index: int) -> float:
        return paces[index if index < position else index + 1]

    n_others = len(paces) - 1
    middle = n_others // 2
    if n_others % 2:
        return other(middle)
    return (other(middle - 1) + other(middle)) / 2
