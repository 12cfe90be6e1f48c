"""The runner's view of each engine: running items, weight versions, pace, failures."""

import collections
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from bilberrydrum import backoff
from bilberrydrum.batches import (
    engine_shares,
    engine_speed,
    item_run,
    lifecycle,
    load_pauses,
    memory_forecast,
    moves,
    scheduling,
    slow_engines,
    weight_plan,
)
from bilberrydrum.fleet import model, policy

# An engine at which an attempt failed gets no work for this long, in seconds. The pause
# doubles with each consecutive failure, from the first value up to the maximum: a
# crashed engine takes 4 s or more to restart.
FIRST_BACKOFF_SECONDS: Final = 0.5
MAX_BACKOFF_SECONDS: Final = 4.0
# Weight of one interval between events in the moving average that is the engine's pace.
# The average follows a change within about 20 events, which a full engine sends in a
# tenth of a second.
PACE_WEIGHT: Final = 0.05
# A pace that was not updated for this long, in seconds, is ignored: the engine may have
# recovered and is tried again.
PACE_SECONDS: Final = 3.0
# An engine that was slow gets at most this many items until its pace is normal again,
# and one whose address another upstream had until it completes an item. If all its run
# slots were filled at each try, a dozen streams would be cancelled every few seconds
# (548 on a day with a slow engine), and each prompt would be processed again elsewhere.
PROBE_SLOTS: Final = 1
# A stream counts as stalled after a silence of this many times its engine's pace.
STALL_PACES: Final = 8.0
# An engine that rejected an item as full gets no work for this long, in seconds: about
# the time until one of its run slots becomes free.
REJECTED_SECONDS: Final = 0.05


@attrs.frozen
class Conditions:
    """What scheduling needs to know of an engine besides its own record."""

    # Time of the scheduling pass, in seconds of `clock.now`.
    now: float = 0.0
    # Ids of the slow engines (see `slow_engines`).
    slow_ids: frozenset[str] = frozenset()
    # Expected output tokens per event.
    tokens_per_event: float = 1.0
    # Seconds per event that are assumed of an engine of unknown speed; 0: unknown.
    assumed_seconds: float = 0.0


@attrs.define(eq=False)
class Engine:
    """One incarnation of an engine."""

    upstream: model.FleetUpstream
    n_cache_tokens: int = 0
    n_running: int = 0
    # How many of these are suspected of crashing engines.
    n_suspected: int = 0
    running: set[lifecycle.ItemRun] = attrs.field(factory=set)
    # Number of running items by group.
    n_by_group: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )
    # Newest weight version known for each model, from announcements, reports and
    # answers.
    versions_by_model: dict[str, int] = attrs.field(factory=dict)
    loading: weight_plan.Load | None = None
    # The events of its streams during the load in progress.
    loading_streams: load_pauses.StreamCount | None = None
    retry_backoff: backoff.Backoff = attrs.field(
        factory=lambda: backoff.Backoff(FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
    )
    # The engine rejected an item as full and gets no work until this time.
    full_until: float = float("-inf")
    # Moving average of the interval between two events of a stream, in seconds; 0 if it
    # is not known.
    pace_seconds: float = 0.0
    pace_updated_at: float = float("-inf")
    speed: engine_speed.Speed = attrs.field(factory=engine_speed.Speed)
    # The engine was slow when its pace was last known.
    was_slow: bool = False
    # Another upstream answered at the engine's address when it was last tried.
    was_misdirected: bool = False

    @property
    def upstream_id(self) -> str:
        """The incarnation's id."""
        return self.upstream.upstream_id

    @property
    def is_loading(self) -> bool:
        """Whether an order to load weights is in progress."""
        return self.loading is not None

    def learn(self, versions_by_model: Mapping[str, int]) -> None:
        """Store the versions that are newer than the known ones.

        Announcements and reports may be outdated, so an older version is ignored:
        within one incarnation versions only increase.
        """
        for name, version in versions_by_model.items():
            self.learn_version(name, version)

    def learn_version(self, name: str, version: int) -> None:
        """Record that the engine serves `version` of a model, or a newer one."""
        known = self.versions_by_model.get(name)
        if known is None or version > known:
            self.versions_by_model[name] = version

    def correct_version(self, name: str, version: int) -> None:
        """Record that the engine has just generated under `version` of a model.

        The known version may be too high. The engine would then receive items that it
        cannot serve, as fast as it answers them, and would never be ordered to load the
        version. The known version does not go below the announced one.
        """
        announced = self.upstream.versions_by_model.get(name, version)
        self.versions_by_model[name] = max(version, announced)

    def add_run(self, run: lifecycle.ItemRun) -> None:
        """Record that an attempt of an item is being sent to the engine."""
        self.n_running += 1
        self.n_suspected += run.is_suspected
        self.running.add(run)
        self.n_by_group[run.group_key] += 1

    def remove_run(self, run: lifecycle.ItemRun) -> None:
        """Record that an attempt of an item at the engine has ended."""
        self.n_running -= 1
        self.n_suspected -= run.is_suspected
        self.running.discard(run)
        self.n_by_group[run.group_key] -= 1
        if not self.n_by_group[run.group_key]:
            del self.n_by_group[run.group_key]

    def clear_suspicion(self, run: lifecycle.ItemRun) -> None:
        """Record that a suspected item runs here without crashing the engine."""
        self.n_suspected -= run.is_suspected
        run.is_suspected = False

    def record_pause(self, seconds: float, now: float) -> None:
        """Record the interval before an event of a stream, in seconds."""
        if self.loading is not None:
            # The interval includes the time of the load and says nothing of the pace.
            if self.loading_streams is not None:
                self.loading_streams.n_events += 1
            return
        if now - self.pace_updated_at > PACE_SECONDS:
            self.pace_seconds = seconds
        self.pace_updated_at = now
        self.pace_seconds += PACE_WEIGHT * (seconds - self.pace_seconds)
        self.speed.record(seconds, self.pace_seconds)

    def record_work_factor(self, factor: float, now: float) -> None:
        """Record the work factor of an answer; 1.0 is the usual time."""
        self.speed.record_work_factor(factor, now)

    def begin_load(self, load: weight_plan.Load) -> None:
        """Record that an order to load weights is being sent."""
        self.loading = load
        if self.n_running:
            self.loading_streams = load_pauses.StreamCount(self.pace_seconds)

    def end_load(self) -> None:
        """Record that the load has ended, with any outcome."""
        self.loading = None
        self.loading_streams = None

    def stall_seconds(self) -> float:
        """Return after how many seconds of silence a stream counts as stalled."""
        if self.loading is not None:
            return item_run.LOADING_STALL_SECONDS
        return max(item_run.STALL_SECONDS, STALL_PACES * self.pace_seconds)

    def record_success(self) -> None:
        """Record a complete answer."""
        self.retry_backoff.record_success()
        self.was_misdirected = False

    def record_failure(self, now: float) -> None:
        """Record that an answer broke off or did not come."""
        # All attempts that break off in one crash count as one failure.
        if not self.retry_backoff.remaining(now):
            self.retry_backoff.record_failure(now)

    def record_misdirection(self, now: float) -> None:
        """Record that another upstream has the engine's address.

        That upstream rejects every item at once, so the engine is tried rarely, and
        with few items, until the registry has its new address or drops it.
        """
        self.record_failure(now)
        self.was_misdirected = True

    def record_rejection(self, now: float) -> None:
        """Record that the engine rejected an item because it was full."""
        self.full_until = now + REJECTED_SECONDS

    def is_excluded(self, now: float) -> bool:
        """Return whether the engine gets no work at `now`."""
        return now < self.retry_backoff.until or now < self.full_until

    def capacity(
        self,
        shares: engine_shares.Shares,
        conditions: Conditions = Conditions(),
    ) -> scheduling.EngineCapacity:
        """Return what item scheduling needs to know of the engine."""
        loading = frozenset({self.loading.model} if self.loading else ())
        return scheduling.EngineCapacity(
            self.upstream_id,
            self.upstream.service,
            self._n_slots(conditions.assumed_seconds),
            self.n_running,
            self.versions_by_model,
            frozenset(shares.models_of(self.upstream_id)),
            loading,
            self.upstream.is_silent,
            self.upstream_id in conditions.slow_ids,
            self.n_cache_tokens,
            memory_forecast.Forecast(
                each.need(conditions.tokens_per_event) for each in self.running
            ),
            set(self.n_by_group),
            self.n_suspected > 0,
            self.speed.known_seconds,
            self.speed.work_factor(conditions.now),
        )

    def _n_slots(self, assumed_seconds: float) -> int:
        n_slots = self.upstream.n_slots
        if self.was_slow or self.was_misdirected:
            return PROBE_SLOTS
        return engine_speed.n_slots_to_use(self.speed, n_slots, assumed_seconds)


class Engines:
    """All engines: the upstreams of services that have models."""

    def __init__(self) -> None:
        self.by_id: dict[str, Engine] = {}
        # The registry and policy that were applied last.
        self._upstreams: tuple[model.FleetUpstream, ...] = ()
        self._services_by_name: Mapping[str, policy.Service] = {}

    def refresh(
        self,
        upstreams: tuple[model.FleetUpstream, ...],
        services_by_name: Mapping[str, policy.Service],
    ) -> None:
        """Apply the registry and the policy if one of them has changed.

        Called in each scheduling pass, while changes are rare. Each change creates a
        new object, so comparing identities is enough.
        """
        is_known = self._upstreams is upstreams
        if is_known and self._services_by_name is services_by_name:
            return
        self._upstreams = upstreams
        self._services_by_name = services_by_name
        self._apply(upstreams, services_by_name)

    def _apply(
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
        """Return the engines that may get work now."""
        return [
            each
            for each in self.by_id.values()
            if not each.upstream.is_leaving and not each.is_excluded(now)
        ]

    def assignable(self, now: float) -> list[Engine]:
        """Return the engines that models may be assigned to.

        An engine that has failed just once is included even while it gets no work: it
        may recover at once, whereas assigning the model to another engine costs a load
        of weights there.
        """
        return [
            each
            for each in self.by_id.values()
            if not each.upstream.is_leaving
            and (now >= each.retry_backoff.until or each.retry_backoff.n_failures < 2)
        ]

    def n_loading(self) -> int:
        """Return how many engines are loading weights."""
        return sum(1 for each in self.by_id.values() if each.loading is not None)

    def slow_ids(self, now: float) -> frozenset[str]:
        """Return the ids of the slow engines (see `slow_engines`).

        Also sets `Engine.was_slow` of each engine with a known pace. It keeps its value
        once the pace is outdated, so the engine is then tried with `PROBE_SLOTS` items.
        """
        paces_by_id = {
            engine_id: each.pace_seconds
            for engine_id, each in self.by_id.items()
            if each.pace_seconds and now - each.pace_updated_at <= PACE_SECONDS
        }
        normal_by_id = {
            engine_id: self.by_id[engine_id].speed.known_seconds
            for engine_id in paces_by_id
            if self.by_id[engine_id].speed.known_seconds
        }
        slow = slow_engines.find_slow(paces_by_id, normal_by_id)
        for engine_id in paces_by_id:
            self.by_id[engine_id].was_slow = engine_id in slow
        return frozenset(slow)

    def move_sources(
        self, usable: Iterable[Engine], slow_ids: frozenset[str]
    ) -> dict[str, moves.Source]:
        """Return the engines from which items may move, by id.

        `usable` are the engines to which they may move.
        """
        fastest_free = min(
            (
                each.speed.known_seconds
                for each in usable
                if each.speed.known_seconds
                and each.n_running < each.upstream.n_slots
                and each.upstream_id not in slow_ids
            ),
            default=0.0,
        )
        sources_by_id = {
            engine_id: moves.Source(each.speed.known_seconds, False)
            for engine_id, each in self.by_id.items()
            if each.n_running
            and moves.is_slower(each.speed.known_seconds, fastest_free)
        }
        for engine_id in slow_ids & self.by_id.keys():
            sources_by_id[engine_id] = moves.Source(
                self.by_id[engine_id].pace_seconds, True
            )
        return sources_by_id

    def conditions(
        self, now: float, slow_ids: frozenset[str], tokens_per_event: float
    ) -> Conditions:
        """Return the conditions of a scheduling pass."""
        assumed = engine_speed.assumed_seconds([e.speed for e in self.by_id.values()])
        return Conditions(now, slow_ids, tokens_per_event, assumed)

    def versions_of(self, model_name: str) -> set[int]:
        """Return all versions of a model that engines serve."""
        return {
            each.versions_by_model[model_name]
            for each in self.by_id.values()
            if model_name in each.versions_by_model
        }

    def models(self) -> list[str]:
        """Return all models that engines serve, sorted."""
        found = {
            name for each in self.by_id.values() for name in each.versions_by_model
        }
        return sorted(found)
