"""Choose the best of thousands of engines for each of many waiting items.

Comparing each item with each engine would block all other tasks of the process in each
scheduling pass. So the engines are ranked once for each kind of item and kept in a
heap. While items are assigned, engines only fill up: ranks only increase, and an engine
that cannot take more items of a kind stays closed to them. So it is enough to update an
entry of the heap when it reaches the top: the best engine is then on top.

The worst case remains items of alternating sizes while the memories of the engines are
almost full: each item is then still compared with most of the engines. Items of falling
lengths, which is the usual order, are no such case: an engine without room is compared
again once for each class of lengths.

An engine ranks better for an item if it runs items of the same group. These few engines
are kept in separate heaps, one for each group and kind, and the better of both tops is
chosen.
"""

import collections
import heapq
from collections.abc import Collection, Hashable, Iterable, Sequence
from typing import TYPE_CHECKING, TypeAlias

from bilberrydrum.batches import memory_forecast, placement

if TYPE_CHECKING:
    from bilberrydrum.batches import scheduling

Rank: TypeAlias = tuple[bool, bool, bool, int, float, str]
# An engine's rank, and its index in the list of engines.
_Entry: TypeAlias = tuple[Rank, int]
_GroupKey: TypeAlias = tuple[str, str]


class _Heap:
    """The engines that suit items of one kind, with the best on top."""

    def __init__(
        self,
        engines: Sequence["scheduling.EngineCapacity"],
        numbers: Iterable[int],
        item: "scheduling.WaitingItem",
        has_group: bool,
        end_classes: placement.EndClasses,
    ) -> None:
        self._engines = engines
        self._end_classes = end_classes
        # Some item of the kind.
        self._item = item
        self._has_group = has_group
        suitable = [each for each in numbers if engines[each].suits(item)]
        self._entries = [self._entry(each) for each in suitable]
        heapq.heapify(self._entries)
        # Engines whose memory had no room for an item, by the item's length class. Each
        # is a heap by the room for the shortest items of the class, with the most on
        # top.
        self._low_memory: dict[int, list[tuple[int, _Entry]]] = {}

    def add(self, number: int) -> None:
        """Add an engine if it suits items of the kind."""
        if self._engines[number].suits(self._item):
            heapq.heappush(self._entries, self._entry(number))

    def best(self, item: "scheduling.WaitingItem") -> _Entry | None:
        """Return the entry of the best engine for `item`; None if there is none."""
        length_class = item.need.length_class()
        self._restore(item.need.n_held, length_class)
        excluded = []
        found = None
        while self._entries and found is None:
            entry = self._entries[0]
            engine = self._engines[entry[1]]
            corrected = self._entry(entry[1])
            if engine.is_full_for(item):
                heapq.heappop(self._entries)
            elif corrected != entry:
                heapq.heapreplace(self._entries, corrected)
            elif engine.engine_id in item.excluded_ids:
                excluded.append(heapq.heappop(self._entries))
            elif not engine.has_memory(item):
                heapq.heappop(self._entries)
                room = engine.room(memory_forecast.shortest_of_class(length_class))
                low = self._low_memory.setdefault(length_class, [])
                heapq.heappush(low, (-room, entry))
            else:
                found = entry
        for each in excluded:
            heapq.heappush(self._entries, each)
        return found

    def _restore(self, n_held: int, length_class: int) -> None:
        """Put the engines that may have room for an item back into the main heap.

        An engine without room for items of one class has none for longer items that
        hold as much. So an engine is restored at most once per class, not per item.
        Items of unknown length hold the same all the time, so the room for them cannot
        be compared with that for others.
        """
        is_unknown = length_class == memory_forecast.UNKNOWN_LENGTH
        for each, low in self._low_memory.items():
            if each > length_class or (is_unknown and each != length_class):
                for _, entry in low:
                    heapq.heappush(self._entries, entry)
                low.clear()
            while low and -low[0][0] >= n_held:
                heapq.heappush(self._entries, heapq.heappop(low)[1])

    def _entry(self, number: int) -> _Entry:
        engine = self._engines[number]
        end_class = self._end_classes.of(self._item, engine)
        return engine.rank(self._item, self._has_group, end_class), number


class EngineChooser:
    """Chooses an engine for one item after another."""

    def __init__(
        self,
        items: Collection["scheduling.WaitingItem"],
        engines: Sequence["scheduling.EngineCapacity"],
    ) -> None:
        """Initialise the chooser.

        Parameters
        ----------
        items : collection of scheduling.WaitingItem
            All items that `choose` will be called with.
        engines : sequence of scheduling.EngineCapacity
            Must not be changed by anyone else while the chooser is in use.
        """
        self._end_classes = placement.EndClasses(items, engines)
        self._engines = [each for each in engines if each.n_running < each.n_slots]
        self._numbers_by_group: dict[_GroupKey, list[int]] = {
            each.group_key: [] for each in items
        }
        for number, engine in enumerate(self._engines):
            for group_key in engine.group_keys & self._numbers_by_group.keys():
                self._numbers_by_group[group_key].append(number)
        self._heaps_by_kind: dict[Hashable, _Heap] = {}
        self._group_heaps: dict[_GroupKey, dict[Hashable, _Heap]] = (
            collections.defaultdict(dict)
        )

    def choose(
        self, item: "scheduling.WaitingItem"
    ) -> "scheduling.EngineCapacity | None":
        """Assign `item` to the best engine and return it; None if none can take it."""
        best = self._heap(item).best(item)
        if best is None:
            return None
        in_group = self._group_heap(item).best(item)
        if in_group is not None:
            best = min(best, in_group)
        number = best[1]
        engine = self._engines[number]
        is_new = item.group_key not in engine.group_keys
        engine.reserve(item)
        if is_new:
            self._add_to_group(number, item.group_key)
        return engine

    def _heap(self, item: "scheduling.WaitingItem") -> _Heap:
        kind = self._kind(item)
        if kind not in self._heaps_by_kind:
            numbers = range(len(self._engines))
            self._heaps_by_kind[kind] = self._new_heap(numbers, item, False)
        return self._heaps_by_kind[kind]

    def _group_heap(self, item: "scheduling.WaitingItem") -> _Heap:
        kind = self._kind(item)
        heaps = self._group_heaps[item.group_key]
        if kind not in heaps:
            numbers = self._numbers_by_group[item.group_key]
            heaps[kind] = self._new_heap(numbers, item, True)
        return heaps[kind]

    def _kind(self, item: "scheduling.WaitingItem") -> Hashable:
        return item.kind(), self._end_classes.kind(item)

    def _new_heap(
        self,
        numbers: Iterable[int],
        item: "scheduling.WaitingItem",
        has_group: bool,
    ) -> _Heap:
        return _Heap(self._engines, numbers, item, has_group, self._end_classes)

    def _add_to_group(self, number: int, group_key: _GroupKey) -> None:
        """Record that an engine has got its first item of a group."""
        self._numbers_by_group[group_key].append(number)
        for heap in self._group_heaps[group_key].values():
            heap.add(number)
