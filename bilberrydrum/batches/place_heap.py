"""Find the best place for each of many items, before thousands of places.

Comparing each item with each place would hold all other tasks up at each look. So the
places are ranked once for each kind of item. While items are given out places only
fill: a rank only rises and a place that was closed stays closed, so a heap whose
entries are corrected when they come to the top always has the best place there.

Items of sizes that alternate, before memories that are nearly full, are still compared
with most of the places.

Where items of the same group run, a place ranks better than without. These few are kept
in heaps of their own, and the best of both is taken.
"""

import collections
import heapq
from collections.abc import Hashable, Iterable, Sequence
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from bilberrydrum.batches import scheduling

Rank: TypeAlias = tuple[bool, bool, bool, float, str]
# A place's rank and its number.
_Entry: TypeAlias = tuple[Rank, int]
_GroupKey: TypeAlias = tuple[str, str]


class _Heap:
    """The places that suit items of one kind, the best on top."""

    def __init__(
        self,
        places: Sequence["scheduling.EngineCapacity"],
        numbers: Iterable[int],
        item: "scheduling.WaitingItem",
        has_group: bool,
    ) -> None:
        self._places = places
        # Any item of the kind.
        self._item = item
        self._has_group = has_group
        suiting = [each for each in numbers if places[each].suits(item)]
        self._entries = [self._entry(each) for each in suiting]
        heapq.heapify(self._entries)
        # Places whose memory was too full for an item, those with most left first.
        self._short: list[tuple[int, _Entry]] = []

    def add(self, number: int) -> None:
        """Add a place if it suits."""
        if self._places[number].suits(self._item):
            heapq.heappush(self._entries, self._entry(number))

    def best(self, item: "scheduling.WaitingItem") -> _Entry | None:
        """Return the place where `item` is best; None: nowhere."""
        self._take_back(item.n_tokens)
        passed_over = []
        found = None
        while self._entries and found is None:
            entry = self._entries[0]
            place = self._places[entry[1]]
            corrected = self._entry(entry[1])
            if place.is_full_for(item):
                heapq.heappop(self._entries)
            elif corrected != entry:
                heapq.heapreplace(self._entries, corrected)
            elif place.engine_id in item.excluded_ids:
                passed_over.append(heapq.heappop(self._entries))
            elif not place.has_memory(item):
                heapq.heappop(self._entries)
                left = place.n_cache_tokens - place.n_tokens
                heapq.heappush(self._short, (-left, entry))
            else:
                found = entry
        for each in passed_over:
            heapq.heappush(self._entries, each)
        return found

    def _take_back(self, n_tokens: int) -> None:
        """Look again at the places that may hold `n_tokens` more."""
        while self._short and -self._short[0][0] >= n_tokens:
            heapq.heappush(self._entries, heapq.heappop(self._short)[1])

    def _entry(self, number: int) -> _Entry:
        return self._places[number].rank(self._item, self._has_group), number


class Choice:
    """Gives out places to items, one after the other."""

    def __init__(
        self,
        items: Iterable["scheduling.WaitingItem"],
        places: Iterable["scheduling.EngineCapacity"],
    ) -> None:
        """Prepare the choice.

        Parameters
        ----------
        items : iterable of scheduling.WaitingItem
            All that places will be asked for.
        places : iterable of scheduling.EngineCapacity
            Meanwhile changed by this object only.
        """
        self._places = [each for each in places if each.n_running < each.n_slots]
        self._numbers_by_group: dict[_GroupKey, list[int]] = {
            each.group_key: [] for each in items
        }
        for number, place in enumerate(self._places):
            for group_key in place.group_keys & self._numbers_by_group.keys():
                self._numbers_by_group[group_key].append(number)
        self._heaps_by_kind: dict[Hashable, _Heap] = {}
        self._group_heaps: dict[_GroupKey, dict[Hashable, _Heap]] = (
            collections.defaultdict(dict)
        )

    def take(
        self, item: "scheduling.WaitingItem"
    ) -> "scheduling.EngineCapacity | None":
        """Take the best place for `item`; None: no place can take it now."""
        best = self._heap(item).best(item)
        if best is None:
            return None
        near = self._group_heap(item).best(item)
        if near is not None:
            best = min(best, near)
        number = best[1]
        place = self._places[number]
        is_new = item.group_key not in place.group_keys
        place.reserve(item)
        if is_new:
            self._join(number, item.group_key)
        return place

    def _heap(self, item: "scheduling.WaitingItem") -> _Heap:
        kind = item.kind()
        if kind not in self._heaps_by_kind:
            numbers = range(len(self._places))
            self._heaps_by_kind[kind] = _Heap(self._places, numbers, item, False)
        return self._heaps_by_kind[kind]

    def _group_heap(self, item: "scheduling.WaitingItem") -> _Heap:
        kind = item.kind()
        heaps = self._group_heaps[item.group_key]
        if kind not in heaps:
            numbers = self._numbers_by_group[item.group_key]
            heaps[kind] = _Heap(self._places, numbers, item, True)
        return heaps[kind]

    def _join(self, number: int, group_key: _GroupKey) -> None:
        """Note that a place has its first item of a group."""
        self._numbers_by_group[group_key].append(number)
        for heap in self._group_heaps[group_key].values():
            heap.add(number)
