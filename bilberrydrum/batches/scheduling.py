"""The assignment of waiting items to engines.

A pure function of items and engines, designed for a load in which several trainers'
batches are open and engine capacity is scarce. `urgency` determines the tier of each
item. Within a tier, the account with the higher precedence goes first, since its
batches would otherwise wait for those of others. Among the engines that can run an
item, those at which it ends clearly earlier come first (see `placement`). Among these,
the one with the smallest share of its run slots in use is chosen: engines get slower
the more they run, and a full engine takes 1.5 times as long per token as an empty one.
An engine that runs items of the same group has their prompt in memory and may be a
little busier than the others.

Items that run at slow engines, or at slower ones than those that are free, are
scheduled together with the waiting ones (see `moves`). A text is resumed where it
stopped, so a move costs one reading of the prompt, while one slow engine delays every
group that has an item on it. These items are ordered by their remaining time like all
others. If they were moved only to capacity for which no item waits, they would stay
where they are while two fifths of the engines are slow: an item of 89 events then took
9.8 s, and its trainer lost two steps.
"""

import math
from collections.abc import Callable, Hashable, Mapping, Sequence
from typing import Any

import attrs

from bilberrydrum.batches import engine_heap, memory_forecast, urgency
from bilberrydrum.fleet import policy

# An engine that has the group's prompt in memory is preferred as if it had this share
# of its run slots fewer in use. A full engine takes 1.5 times as long per token as an
# empty one, so a quarter costs an eighth in speed. Another engine has to read the
# prompt, which takes some milliseconds, and to hold it in its memory as well.
AFFINITY_SHARE = 0.25


@attrs.frozen
class WaitingItem:
    """An item that could be sent now."""

    # Batch id and item id.
    key: tuple[str, str]
    # Contains the batch id, so that groups of different batches differ.
    group_key: tuple[str, str]
    # Latest time to start in order to be on time, in seconds of the clock.
    start_by: float
    # Time after which the item can no longer be on time, in seconds of the clock.
    late_at: float
    # Whether the item's group is a surplus group, which the trainer does not wait for.
    is_spare: bool
    model: str
    min_version: int
    services: frozenset[str]
    # What the item needs in an engine's memory.
    need: memory_forecast.Need = memory_forecast.Need()
    # Engines that must not run the item now, because it has just failed there.
    excluded_ids: frozenset[str] = frozenset()
    # The only version under which the item's text can be resumed; None: any.
    only_version: int | None = None
    # Time at which its batch is due, the same for all items of a batch.
    done_by: float = 0.0
    # Whether the item is suspected of crashing engines (see `quarantine`).
    is_suspected: bool = False
    precedence: policy.Precedence = attrs.field(factory=policy.Precedence)
    # Account of the batch. Items without one (empty) are treated as one account's.
    account: str = ""
    # Whether the item runs now and may move to a faster engine (see `moves`).
    is_running: bool = False
    # Expected number of events that are still to be generated; 0: not known.
    n_events: float = 0.0
    # Most seconds per event of an engine to which the item may move from a slower one.
    max_event_seconds: float = math.inf
    # Whether it may also move to an engine of unknown speed.
    may_try_unknown: bool = True

    def kind(self) -> Hashable:
        """Return the properties that determine which engines suit the item.

        These are all that `EngineCapacity.suits`, `is_full_for` and `rank` use.
        Classes of expected ends are passed to `rank` (see `placement`).
        """
        return (
            self.services,
            self.model,
            self.min_version,
            self.only_version,
            self.is_suspected,
            self.is_running,
            self.max_event_seconds,
            self.may_try_unknown,
        )


@attrs.define
class EngineCapacity:
    """The capacity of one engine, updated as items are assigned to it."""

    engine_id: str
    service: str
    n_slots: int
    n_running: int
    versions_by_model: Mapping[str, int]
    # Models assigned to the engine. It serves others only if no other engine can.
    models: frozenset[str] = frozenset()
    # Models whose weights the engine is loading. It would reject their items.
    loading_models: frozenset[str] = frozenset()
    is_silent: bool = False
    # Whether the engine has recently been much slower than the others.
    is_slow: bool = False
    # Number of tokens that the engine's memory holds; 0: not known, and no bound.
    n_cache_tokens: int = 0
    # Use of the memory by the running items.
    forecast: memory_forecast.Forecast = attrs.field(
        factory=memory_forecast.Forecast, eq=False
    )
    # Group keys of the running items.
    group_keys: set[tuple[str, str]] = attrs.field(factory=set)
    # Whether an item that is suspected of crashing engines runs here.
    has_suspected: bool = False
    # Seconds per event at the engine's normal speed; 0: not known.
    event_seconds: float = 0.0
    # How long work takes at the engine's host now; 1.0 is the usual time.
    work_factor: float = 1.0

    def suits(self, item: WaitingItem) -> bool:
        """Return whether items of this kind can run here if there is room."""
        if self.service not in item.services or item.model in self.loading_models:
            return False
        if item.is_running and (self.is_slow or not self._is_gain(item)):
            return False
        return self._has_version(item)

    def _is_gain(self, item: WaitingItem) -> bool:
        if not self.event_seconds:
            return item.may_try_unknown
        return self.event_seconds <= item.max_event_seconds

    def is_full_for(self, item: WaitingItem) -> bool:
        """Return whether items of this kind must wait until an item here has ended."""
        # Only one suspected item runs at an engine at a time. If several ran together,
        # a crash caused by one of them would count against all of them.
        return self.n_running >= self.n_slots or (
            item.is_suspected and self.has_suspected
        )

    def has_memory(self, item: WaitingItem) -> bool:
        """Return whether the memory holds `item` until all running items have ended.

        An engine that runs nothing takes an item of any size.
        """
        if not self.n_cache_tokens or not self.n_running:
            return True
        return self.room(item.need.n_left) >= item.need.n_held

    def room(self, n_left: int) -> int:
        """Return how many tokens an item may hold that will generate `n_left`."""
        return self.forecast.room(n_left, self.n_cache_tokens)

    def rank(
        self, item: WaitingItem, has_group: bool, end_class: int = 0
    ) -> engine_heap.Rank:
        """Return the engine's rank for `item`; the lowest rank is the best.

        `has_group` says whether items of the same group run here, and `end_class` is
        the class of the item's expected end here.
        """
        load = self.n_running / max(self.n_slots, 1)
        if has_group:
            load -= AFFINITY_SHARE
        return (
            self.is_silent,
            self.is_slow,
            item.model not in self.models,
            end_class,
            load,
            self.engine_id,
        )

    def _has_version(self, item: WaitingItem) -> bool:
        if not item.model:
            return True
        version = self.versions_by_model.get(item.model)
        if version is None or version < item.min_version:
            return False
        return item.only_version is None or version == item.only_version

    def reserve(self, item: WaitingItem) -> None:
        """Reserve capacity for `item`."""
        self.n_running += 1
        self.forecast.add(item.need)
        self.group_keys.add(item.group_key)
        self.has_suspected |= item.is_suspected


@attrs.frozen
class Assignment:
    """The decision to send an item to an engine."""

    key: tuple[str, str]
    engine_id: str


def assign(
    items: Sequence[WaitingItem],
    capacities: Sequence[EngineCapacity],
    now: float,
    count_running: Callable[[], Mapping[str, int]] = dict,
) -> list[Assignment]:
    """Return the items to send now, reserving capacity for them.

    `count_running` returns the number of running items of each account. It is called
    only if an account has items that can no longer be on time.
    """
    assignments = []
    tiers = urgency.tiers_by_group(
        (
            urgency.Candidate(e.group_key, e.late_at, e.is_spare, e.model, e.done_by)
            for e in items
        ),
        now,
    )
    deprioritized = _deprioritized(items, capacities, now, count_running)

    def order(item: WaitingItem) -> tuple[Any, ...]:
        tier = tiers[item.group_key]
        return tier, item.precedence, item.key in deprioritized, item.start_by, item.key

    chooser = engine_heap.EngineChooser(items, capacities)
    for item in sorted(items, key=order):
        capacity = chooser.choose(item)
        if capacity is not None:
            assignments.append(Assignment(item.key, capacity.engine_id))
    return assignments


def _deprioritized(
    items: Sequence[WaitingItem],
    capacities: Sequence[EngineCapacity],
    now: float,
    count_running: Callable[[], Mapping[str, int]],
) -> set[tuple[str, str]]:
    """Return the items that go after those of other accounts.

    This handles a load in which one account submits many times what can be served. Its
    oldest items are always the most urgent, and the items of all other accounts would
    wait for them until they are late as well. So an account that has items which can no
    longer be on time keeps its normal order for an equal share of the run slots only,
    and its items beyond that share go after those of other accounts.
    """
    accounts = {each.account for each in items}
    overloading = {each.account for each in items if each.late_at < now}
    if len(accounts) < 2 or not overloading:
        return set()
    running = count_running()
    share = sum(each.n_slots for each in capacities) // len(accounts | running.keys())
    remaining_by_account = {
        each: max(share - running.get(each, 0), 0) for each in overloading
    }
    deprioritized = set()
    for item in sorted(items, key=lambda e: (e.start_by, e.key)):
        remaining = remaining_by_account.get(item.account)
        if remaining is None:
            continue
        if remaining == 0:
            deprioritized.add(item.key)
        else:
            remaining_by_account[item.account] = remaining - 1
    return deprioritized
