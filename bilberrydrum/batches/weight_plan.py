"""Plan which engines load which weight version next.

Only a few engines load at a time, because each load takes longer while others are in
progress, and at most half of a model's engines, but always one: the others continue
under the previous version if the step allows it.

The plan is designed for trainers that announce a version and submit their next step at
the same moment, every few seconds. A load stops an engine for a second: its streams
pause, and it starts no new item. If each engine loaded each version at once, half of
them would be unavailable just when the step arrives, and each item of 5 s would be
paused once. So:

- an engine whose version is too old for the newest step loads at once;
- of the others, as many load as are needed to have half of the engines at the newest
  version, so that not all engines are too old once the next version is announced. The
  two halves alternate, each loading every second version. These loads are deferred
  until no item waits for a run slot, at most for `MAX_DEFER_SECONDS`;
- an engine without work loads the newest version, so its next samples are less stale.

If loads are known not to interrupt running items (see `load_pauses`), a load costs an
engine only the items of its model that could have started there in the meantime. Then
all engines of a model load each version as soon as no item of the model waits, so that
all of them can serve the next step at once. With the alternating halves, half of the
engines load for a second when a step arrives, and its items wait for run slots.
"""

import enum
from collections.abc import Collection, Mapping
from typing import Final, Protocol

import attrs

# A step that is submitted together with a new version arrives within this time after
# the announcement of the version, in seconds.
STEP_ARRIVAL_SECONDS: Final = 0.3
# Deferred loads start at the latest this long after the version was announced, in
# seconds. The next version may follow after 4 s, and two consecutive loads take 2.4 s.
MAX_DEFER_SECONDS: Final = 1.5


class EngineWeights(Protocol):
    """The part of an engine's state that the plan needs.

    The runner passes its own engine objects instead of copies: there may be thousands.
    """

    @property
    def upstream_id(self) -> str:
        """The incarnation's id."""

    @property
    def versions_by_model(self) -> Mapping[str, int]:
        """The weight version that it serves of each model."""

    @property
    def is_loading(self) -> bool:
        """Whether it carries out an order, or the result of an order is unknown."""

    @property
    def n_running(self) -> int:
        """Number of requests that it runs for this service."""


@attrs.frozen
class Wanted:
    """The weight version that a model's trainer asks for."""

    # The newest version that was announced.
    version: int
    # By how many versions an engine may be behind and still serve the newest step.
    lag: int = 0
    # Time since the version was announced, in seconds.
    age_seconds: float = float("inf")
    # Items of the model wait for a run slot.
    has_waiting: bool = False
    # Loads are known not to interrupt running items.
    keeps_items_running: bool = False

    def oldest(self) -> int:
        """Return the oldest version that the newest step allows."""
        return self.version - self.lag

    def may_load_ahead(self) -> bool:
        """Return whether loads cost no running or waiting item anything."""
        return self.keeps_items_running and not self.has_waiting

    def is_deferral_over(self) -> bool:
        """Return whether deferred loads should start."""
        is_quiet = not self.has_waiting and self.age_seconds >= STEP_ARRIVAL_SECONDS
        return is_quiet or self.age_seconds >= MAX_DEFER_SECONDS


class Reason(enum.StrEnum):
    """Why an engine loads a version, for the log and metrics."""

    # It is too old for the newest step.
    STEP = "step"
    # Half of the model's engines should serve the newest version.
    HALF = "half"
    # All of them should, because loads do not interrupt items.
    AHEAD = "ahead"
    # It runs nothing.
    IDLE = "idle"


@attrs.frozen
class Load:
    """A load of a weight version at an engine."""

    engine_id: str
    model: str
    version: int
    reason: Reason = Reason.STEP


@attrs.define
class _ModelEngines:
    """The usable engines of one model, and which of them are loading.

    The engines are counted once per plan. With thousands of engines and hundreds of
    loads due at the same time, counting them for each load would block all other tasks
    of the process.
    """

    engine_ids: frozenset[str]
    # Engines that are loading or are planned to load.
    loading_ids: set[str]

    @classmethod
    def of(
        cls, engine_ids: frozenset[str], by_id: Mapping[str, EngineWeights]
    ) -> "_ModelEngines":
        present = engine_ids & by_id.keys()
        return cls(present, {each for each in present if by_id[each].is_loading})

    def may_load(self, engine_id: str) -> bool:
        """Return whether an engine may start to load.

        At least half of the engines keep serving, but one engine may always load.
        """
        if engine_id in self.loading_ids:
            return False
        n_loading = len(self.loading_ids)
        return n_loading == 0 or n_loading + 1 <= len(self.engine_ids) // 2

    def record_load(self, engine_id: str) -> None:
        """Record that an engine is planned to load, if it is one of this model's."""
        if engine_id in self.engine_ids:
            self.loading_ids.add(engine_id)


def plan(
    engines: Collection[EngineWeights],
    engine_ids_by_model: Mapping[str, frozenset[str]],
    wanted_by_model: Mapping[str, Wanted],
    max_loading: int,
) -> list[Load]:
    """Return the loads to start now, so that at most `max_loading` engines load."""
    n_free = max_loading - sum(1 for each in engines if each.is_loading)
    if n_free <= 0:
        return []
    by_id = {each.upstream_id: each for each in engines}
    due_loads = _due_loads(by_id, engine_ids_by_model, wanted_by_model)
    if not due_loads:
        return []
    model_engines_by_model = {
        model: _ModelEngines.of(engine_ids, by_id)
        for model, engine_ids in engine_ids_by_model.items()
    }
    loads: list[Load] = []
    for load in due_loads:
        if len(loads) >= n_free:
            break
        if not model_engines_by_model[load.model].may_load(load.engine_id):
            continue
        loads.append(load)
        for model_engines in model_engines_by_model.values():
            model_engines.record_load(load.engine_id)
    return loads


def _due_loads(
    by_id: Mapping[str, EngineWeights],
    engine_ids_by_model: Mapping[str, frozenset[str]],
    wanted_by_model: Mapping[str, Wanted],
) -> list[Load]:
    """Return all loads that are due, starting with the engine furthest behind.

    Loads of engines without work are returned only if no other load is due: there may
    be hundreds of them, and they would delay the one that a step waits for.
    """
    due = []
    idle = []
    for model, engine_ids in engine_ids_by_model.items():
        wanted = wanted_by_model.get(model)
        if wanted is None:
            continue
        present = [by_id[each] for each in engine_ids if each in by_id]
        able = [each for each in present if model in each.versions_by_model]
        too_old = _too_old(model, wanted, able)
        due += _ranked(model, wanted, too_old, Reason.STEP)
        behind = _behind(model, wanted, able)
        reason = Reason.AHEAD if wanted.may_load_ahead() else Reason.HALF
        due += _ranked(model, wanted, behind, reason)
        idle += _ranked(model, wanted, _idle(model, wanted, able), Reason.IDLE)
    ranked = sorted(due or idle, key=lambda each: each[0])
    return [load for _, load in ranked]


def _ranked(
    model: str, wanted: Wanted, engines: Collection[EngineWeights], reason: Reason
) -> list[tuple[tuple[int, int, str], Load]]:
    return [
        (
            (
                each.versions_by_model[model] - wanted.version,
                each.n_running,
                each.upstream_id,
            ),
            Load(each.upstream_id, model, wanted.version, reason),
        )
        for each in engines
    ]


def _too_old(
    model: str, wanted: Wanted, engines: Collection[EngineWeights]
) -> list[EngineWeights]:
    """Return the engines of a model that cannot serve its newest step."""
    return [e for e in engines if e.versions_by_model[model] < wanted.oldest()]


def _behind(
    model: str, wanted: Wanted, engines: Collection[EngineWeights]
) -> list[EngineWeights]:
    """Return the engines that serve the newest step but should load for the next."""
    if not wanted.is_deferral_over():
        return []
    behind = [e for e in engines if wanted.oldest() <= e.versions_by_model[model]]
    behind = [e for e in behind if e.versions_by_model[model] < wanted.version]
    behind.sort(key=lambda e: (e.versions_by_model[model], e.n_running, e.upstream_id))
    # Engines that are too old count as newest, because they load it too.
    n_newest = len(engines) - len(behind) + sum(1 for e in behind if e.is_loading)
    n_wanted = len(engines) if wanted.may_load_ahead() else len(engines) // 2
    n_missing = max(n_wanted - n_newest, 0)
    waiting = [each for each in behind if not each.is_loading]
    return waiting[:n_missing]


def _idle(
    model: str, wanted: Wanted, engines: Collection[EngineWeights]
) -> list[EngineWeights]:
    """Return the engines without work that could load the newest version."""
    if wanted.has_waiting or wanted.age_seconds < MAX_DEFER_SECONDS:
        return []
    return [
        each
        for each in engines
        if each.versions_by_model[model] < wanted.version and not each.n_running
    ]
