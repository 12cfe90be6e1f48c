"""Which waiting items go to which engines now.

Pure: items and engines in, assignments out. Answers the load in which several trainers'
batches are open and places at engines are scarce. `urgency` says who goes first; within
a tier the more urgent account does, whose batches would else wait for others'. Among
the engines that can take an item, the one with the smallest share of its places in use
is chosen: engines generate more slowly the more they run, by half when they are full.
One that runs items of the same group has their prompt in memory and may be a little
busier.

Items that run at slow engines are among those that wait: a text goes on where it
stopped, so a move costs one reading of the prompt, and left there, one slow engine
holds up every group that has an item on it. They go by the time that is left like all
others. Moved only to places that nobody waits for, they stayed while two fifths of the
engines were slow: an item of 89 events took 9.8 s, and its trainer lost two steps.
"""

from collections.abc import Callable, Hashable, Mapping, Sequence
from typing import Any

import attrs

from bilberrydrum.batches import engine_heap, urgency
from bilberrydrum.fleet import policy

# Share of an engine's places by which one that has the group's prompt may be busier
# than another. A full engine generates 1.5 times as slowly as an empty one, so a
# quarter costs an eighth of the pace; the prompt costs its reading, some milliseconds,
# and its room in the memory of each engine.
AFFINITY_SHARE = 0.25


@attrs.frozen
class WaitingItem:
    """An item that could be sent now."""

    key: tuple[str, str]
    # Groups of different batches differ.
    group_key: tuple[str, str]
    # Latest start, in seconds of the clock, to be done in time.
    start_by: float
    # When it cannot be done in time any more.
    late_at: float
    # Its group is not waited for.
    is_spare: bool
    model: str
    min_version: int
    services: frozenset[str]
    # Tokens it needs in an engine's memory.
    n_tokens: int = 0
    # Engines that it should not go to again soon.
    excluded_ids: frozenset[str] = frozenset()
    # Text of a broken run can go on only under this version; None: any.
    only_version: int | None = None
    # When its batch is due; the same for all items of a batch.
    done_by: float = 0.0
    # It may have ended the engines that ran it (see `quarantine`).
    is_doubtful: bool = False
    precedence: policy.Precedence = attrs.field(factory=policy.Precedence)
    # Whose batch it is of; empty: nobody's, all such items are one account's.
    account: str = ""
    # It runs at a slow engine, and would go on where it stopped at another one.
    is_at_slow: bool = False

    def kind(self) -> Hashable:
        """Return what `Place.suits`, `is_closed_to` and `rank` know it by."""
        return (
            self.services,
            self.model,
            self.min_version,
            self.only_version,
            self.is_doubtful,
            self.is_at_slow,
        )


@attrs.define
class Place:
    """One engine, as far as sending items matters; changed as places are taken."""

    engine_id: str
    service: str
    n_slots: int
    n_running: int
    versions_by_model: Mapping[str, int]
    # Models that it is meant to serve; others only if nobody else can.
    models: frozenset[str] = frozenset()
    # Loading weights of these models: items of theirs would be turned away.
    loading_models: frozenset[str] = frozenset()
    is_silent: bool = False
    # Much slower than the others lately.
    is_slow: bool = False
    # Tokens that its memory holds, and those of what runs; 0 slots known: no bound.
    n_cache_tokens: int = 0
    n_tokens: int = 0
    # Group keys of what runs there.
    group_keys: set[tuple[str, str]] = attrs.field(factory=set)
    # A doubtful item runs there.
    has_doubtful: bool = False

    def suits(self, item: WaitingItem) -> bool:
        """Tell whether items of this kind may be sent here while there is room."""
        if self.service not in item.services or item.model in self.loading_models:
            return False
        if item.is_at_slow and self.is_slow:
            return False
        return self._has_version(item)

    def is_closed_to(self, item: WaitingItem) -> bool:
        """Tell whether items of this kind have to wait until one here has ended."""
        # Doubtful ones together would look alike: the guilty one takes the others
        # along.
        return self.n_running >= self.n_slots or (
            item.is_doubtful and self.has_doubtful
        )

    def has_memory(self, item: WaitingItem) -> bool:
        """Tell whether its memory holds `item` besides what runs."""
        fits = self.n_tokens + item.n_tokens <= self.n_cache_tokens
        return not self.n_cache_tokens or not self.n_running or fits

    def rank(self, item: WaitingItem, has_group: bool) -> engine_heap.Rank:
        """Return its rank among the places that can take `item`; the least is best.

        `has_group` tells whether items of its group run here.
        """
        load = self.n_running / max(self.n_slots, 1)
        if has_group:
            load -= AFFINITY_SHARE
        return (
            self.is_silent,
            self.is_slow,
            item.model not in self.models,
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

    def take(self, item: WaitingItem) -> None:
        """Note that `item` goes here."""
        self.n_running += 1
        self.n_tokens += item.n_tokens
        self.group_keys.add(item.group_key)
        self.has_doubtful |= item.is_doubtful


@attrs.frozen
class Assignment:
    """An item goes to an engine."""

    key: tuple[str, str]
    engine_id: str


def assign(
    items: Sequence[WaitingItem],
    places: Sequence[Place],
    now: float,
    count_running: Callable[[], Mapping[str, int]] = dict,
) -> list[Assignment]:
    """Return what is to be sent now; `places` are changed accordingly.

    `count_running` returns how many items of each account run; asked only if an account
    asks for more than can be done in time.
    """
    assignments = []
    tiers = urgency.tiers_by_group(
        (
            urgency.Candidate(e.group_key, e.late_at, e.is_spare, e.model, e.done_by)
            for e in items
        ),
        now,
    )
    behind = _behind(items, places, now, count_running)

    def order(item: WaitingItem) -> tuple[Any, ...]:
        tier = tiers[item.group_key]
        return tier, item.precedence, item.key in behind, item.start_by, item.key

    chooser = engine_heap.EngineChooser(items, places)
    for item in sorted(items, key=order):
        place = chooser.choose(item)
        if place is not None:
            assignments.append(Assignment(item.key, place.engine_id))
    return assignments


def _behind(
    items: Sequence[WaitingItem],
    places: Sequence[Place],
    now: float,
    count_running: Callable[[], Mapping[str, int]],
) -> set[tuple[str, str]]:
    """Return the items that go behind other accounts', as theirs has its share.

    Answers the load in which one account asks for many times what can be done: its
    oldest items are always the most urgent, and those of all others would wait behind
    them until they are late as well. An account that has items which cannot be in time
    keeps its turn for an equal share of the places, and yields what is beyond it.
    """
    accounts = {each.account for each in items}
    crowding = {each.account for each in items if each.late_at < now}
    if len(accounts) < 2 or not crowding:
        return set()
    running = count_running()
    share = sum(each.n_slots for each in places) // len(accounts | running.keys())
    left_by_account = {each: max(share - running.get(each, 0), 0) for each in crowding}
    behind = set()
    for item in sorted(items, key=lambda e: (e.start_by, e.key)):
        left = left_by_account.get(item.account)
        if left is None:
            continue
        if left == 0:
            behind.add(item.key)
        else:
            left_by_account[item.account] = left - 1
    return behind
