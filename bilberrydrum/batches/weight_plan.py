"""Which engines load which version of a model's weights next.

Engines are loaded a few at a time, as each load takes longer while others load, and
never more than half of a model's engines at once: the others go on under the version
before, if a step allows it.

Answers the load in which a trainer names a version and hands in its next step at the
same moment, every few seconds. A load stops an engine for a second: its streams pause
and it starts nothing. Were each engine to load each version at once, half of them would
be away just when the step comes, and each item of 5 s would be paused once. So:

- an engine that is too old for the next step loads at once;
- of the others, half are kept at the newest version, so that not all are too old when
  the next one is named; the two halves then load by turns, each every second version.
  They wait until nothing waits for them, or for so long that they would be late;
- an engine without work loads what is newest: its next samples are fresher for it.
"""

from collections.abc import Collection, Mapping
from typing import Final, Protocol

import attrs

# A step that is handed in with a new version is there within this time, in seconds.
SETTLE_SECONDS: Final = 0.3
# Loads that are put off begin this long after the version was named, in seconds, at the
# latest: the next one may come after 4 s, and two loads one after the other take 2.4 s.
DEFER_SECONDS: Final = 1.5


class EngineWeights(Protocol):
    """One engine, as far as its weights matter.

    The runner's own engines are looked at, not copies: there may be thousands.
    """

    @property
    def upstream_id(self) -> str:
        """The incarnation's id."""

    @property
    def versions_by_model(self) -> Mapping[str, int]:
        """The versions that it serves."""

    @property
    def is_loading(self) -> bool:
        """Whether it carries out an order, or an order's fate is not known yet."""

    @property
    def n_running(self) -> int:
        """Requests that it runs for this system."""


@attrs.frozen
class Wanted:
    """What a model's trainer asks for."""

    # The newest version that was named.
    version: int
    # Versions by which an engine may be behind and still serve the newest step.
    lag: int = 0
    # Time since it was named, in seconds.
    age_seconds: float = float("inf")
    # Items of the model wait for a place.
    has_waiting: bool = False

    def may_defer_no_longer(self) -> bool:
        """Tell whether loads that can wait should begin."""
        is_quiet = not self.has_waiting and self.age_seconds >= SETTLE_SECONDS
        return is_quiet or self.age_seconds >= DEFER_SECONDS


@attrs.frozen
class Load:
    """An engine is to serve a version."""

    engine_id: str
    model: str
    version: int


@attrs.define
class _Mates:
    """The engines of one model that are there.

    Counted once for a plan: with thousands of engines and hundreds of loads due
    together, counting for each load would hold all other tasks up.
    """

    engine_ids: frozenset[str]
    # Those that load, or are to begin.
    loading_ids: set[str]

    @classmethod
    def of(
        cls, engine_ids: frozenset[str], by_id: Mapping[str, EngineWeights]
    ) -> "_Mates":
        present = engine_ids & by_id.keys()
        return cls(present, {each for each in present if by_id[each].is_loading})

    def may_begin(self, engine_id: str) -> bool:
        """Tell whether one may begin: half of them go on serving."""
        if engine_id in self.loading_ids:
            return False
        n_loading = len(self.loading_ids)
        return n_loading == 0 or n_loading + 1 <= len(self.engine_ids) // 2

    def begin(self, engine_id: str) -> None:
        """Note that an engine is to begin, if it is one of them."""
        if engine_id in self.engine_ids:
            self.loading_ids.add(engine_id)


def plan(
    engines: Collection[EngineWeights],
    engine_ids_by_model: Mapping[str, frozenset[str]],
    wanted_by_model: Mapping[str, Wanted],
    max_loading: int,
) -> list[Load]:
    """Return the loads that are to begin now."""
    n_free = max_loading - sum(1 for each in engines if each.is_loading)
    if n_free <= 0:
        return []
    by_id = {each.upstream_id: each for each in engines}
    needs = _needs(by_id, engine_ids_by_model, wanted_by_model)
    if not needs:
        return []
    mates_by_model = {
        model: _Mates.of(engine_ids, by_id)
        for model, engine_ids in engine_ids_by_model.items()
    }
    loads: list[Load] = []
    for need in needs:
        if len(loads) >= n_free:
            break
        if not mates_by_model[need.model].may_begin(need.engine_id):
            continue
        loads.append(need)
        for mates in mates_by_model.values():
            mates.begin(need.engine_id)
    return loads


def _needs(
    by_id: Mapping[str, EngineWeights],
    engine_ids_by_model: Mapping[str, frozenset[str]],
    wanted_by_model: Mapping[str, Wanted],
) -> list[Load]:
    """Return all loads that are due, the engine furthest behind first.

    Loads of engines without work come only if no other is due: there may be hundreds
    of them, and they would hold up the one that a step waits for.
    """
    due = []
    idle = []
    for model, engine_ids in engine_ids_by_model.items():
        wanted = wanted_by_model.get(model)
        if wanted is None:
            continue
        present = [by_id[each] for each in engine_ids if each in by_id]
        able = [each for each in present if model in each.versions_by_model]
        due += _ranked(model, wanted, _due(model, wanted, able))
        idle += _ranked(model, wanted, _idle(model, wanted, able))
    ranked = sorted(due or idle, key=lambda each: each[0])
    return [load for _, load in ranked]


def _ranked(
    model: str, wanted: Wanted, engines: Collection[EngineWeights]
) -> list[tuple[tuple[int, int, str], Load]]:
    return [
        (
            (
                each.versions_by_model[model] - wanted.version,
                each.n_running,
                each.upstream_id,
            ),
            Load(each.upstream_id, model, wanted.version),
        )
        for each in engines
    ]


def _due(
    model: str, wanted: Wanted, engines: Collection[EngineWeights]
) -> list[EngineWeights]:
    """Return the engines of a model that should load now."""
    oldest = wanted.version - wanted.lag
    too_old = [e for e in engines if e.versions_by_model[model] < oldest]
    if not wanted.may_defer_no_longer():
        return too_old
    behind = [e for e in engines if oldest <= e.versions_by_model[model]]
    behind = [e for e in behind if e.versions_by_model[model] < wanted.version]
    behind.sort(key=lambda e: (e.versions_by_model[model], e.n_running, e.upstream_id))
    # Those that are too old will have the newest version as well.
    n_newest = len(engines) - len(behind) + sum(1 for e in behind if e.is_loading)
    n_missing = max(len(engines) // 2 - n_newest, 0)
    waiting = [each for each in behind if not each.is_loading]
    return too_old + waiting[:n_missing]


def _idle(
    model: str, wanted: Wanted, engines: Collection[EngineWeights]
) -> list[EngineWeights]:
    """Return the engines without work that could load what is newest."""
    if wanted.has_waiting or wanted.age_seconds < DEFER_SECONDS:
        return []
    return [
        each
        for each in engines
        if each.versions_by_model[model] < wanted.version and not each.n_running
    ]
