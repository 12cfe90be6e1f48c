"""What ended batches have left that a later batch with the same items may use.

A trainer hands in the groups that were not complete once more, under the same ids.
What was generated of them is still good if its weight versions fit the later batch.
"""

from collections.abc import Iterable
from typing import Any, Final

import attrs

from bilberrydrum.batches import item_run, lifecycle, model

# Unfinished texts, and whole ones, that are remembered: those of the last few steps.
_MAX_TEXTS: Final = 400
# Ids of items in groups that were not complete: those of the last few steps.
_MAX_IDS: Final = 4_000


@attrs.frozen
class _WholeText:
    """A text that was whole, with a score or without."""

    result: model.Result
    # The request that the score answers.
    scoring: model.ScoringRequest | None


class CarriedOver:
    """Texts and ids by item."""

    def __init__(self) -> None:
        self._whole_by_item_id: dict[str, _WholeText] = {}
        self._texts_by_item_id: dict[str, item_run.Text] = {}
        # Items of groups that were not complete, begun or not; the oldest first.
        self._left_ids: dict[str, None] = {}

    def remember(self, batch: model.Batch, kept: model.KeptBatch) -> None:
        """Remember what there is of groups that were not complete.

        Their trainer waits for such a group when it comes again, also if none of its
        items had begun.
        """
        finished = {each.item_id: each for each in kept.results}
        groups: dict[str, list[model.Item]] = {}
        for item in batch.items:
            groups.setdefault(item.group or item.item_id, []).append(item)
        for items in groups.values():
            if all(each.item_id in finished for each in items):
                continue
            for item in items:
                self._left_ids[item.item_id] = None
                result = finished.get(item.item_id)
                if result and result.state is model.ItemState.COMPLETED:
                    self._add_whole(item, result)
        _drop_oldest(self._left_ids, _MAX_IDS)

    def remember_runs(self, runs: Iterable[lifecycle.ItemRun]) -> None:
        """Remember the texts of items that have no result."""
        for run in runs:
            if run.unscored is not None:
                self._add_whole(run.item, run.unscored)
            elif run.text.parts and not run.is_finished:
                self._texts_by_item_id[run.item.item_id] = run.text
        _drop_oldest(self._texts_by_item_id, _MAX_TEXTS)

    def _add_whole(self, item: model.Item, result: model.Result) -> None:
        self._whole_by_item_id[item.item_id] = _WholeText(result, item.scoring)
        _drop_oldest(self._whole_by_item_id, _MAX_TEXTS)

    def is_left(self, item_id: str) -> bool:
        """Tell whether the item's group was not complete."""
        return item_id in self._left_ids

    def take_text(self, item_id: str) -> item_run.Text | None:
        """Return the text that an item goes on from, and forget it."""
        text = self._texts_by_item_id.pop(item_id, None)
        if text is not None:
            text.n_taken = 0
        return text

    def find_whole(
        self, item: model.Item, bounds: item_run.Bounds
    ) -> model.Result | None:
        """Return the item's whole text if its versions fit the later batch.

        It has its score only if that answers the scoring request of the later batch.
        """
        known = self._whole_by_item_id.get(item.item_id)
        if known is None or not bounds.allow_all(known.result.versions):
            return None
        if known.scoring == item.scoring:
            return known.result
        return attrs.evolve(known.result, score="")


def _drop_oldest(entries: dict[str, Any], n_most: int) -> None:
    while len(entries) > n_most:
        del entries[next(iter(entries))]
