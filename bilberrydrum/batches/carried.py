"""What ended batches have left that a later batch with the same items may use.

A trainer hands in the groups that were not complete once more, under the same ids.
What was generated of them is still good if its weight versions fit the later batch.
Ids are an account's own: whoever else names one finds nothing here.
"""

from collections.abc import Iterable
from typing import Any, Final

import attrs

from bilberrydrum.batches import lifecycle, model, texts
from bilberrydrum.requests import fingerprints

# Unfinished texts, and whole ones, that are remembered: those of the last few steps.
_MAX_TEXTS: Final = 400
# Ids of items in groups that were not complete: those of the last few steps.
_MAX_IDS: Final = 4_000


# An account, empty for none, and an item's id.
ItemKey = tuple[str, str]
# The same, and the fingerprint of what the item asks for.
WorkKey = tuple[str, str, str]


def _key(account: str | None, item_id: str) -> ItemKey:
    return (account or "", item_id)


def _work_key(batch: model.Batch, item: model.Item) -> WorkKey:
    # An id may be used again for another prompt, whose text must not begin with what
    # was made of the first. Headers are hints that may change.
    asked = fingerprints.of_request(
        "POST", batch.host, item.target, batch.model, item.body
    )
    return (*_key(batch.account, item.item_id), asked)


@attrs.frozen
class _WholeText:
    """A text that was whole, with a score or without."""

    result: model.Result
    # The request that the score answers.
    scoring: model.ScoringRequest | None


class CarriedOver:
    """Texts and ids by account and item."""

    def __init__(self) -> None:
        self._whole_by_key: dict[WorkKey, _WholeText] = {}
        self._texts_by_key: dict[WorkKey, texts.Text] = {}
        # Items of groups that were not complete, begun or not; the oldest first.
        self._left_keys: dict[ItemKey, None] = {}

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
                self._left_keys[_key(batch.account, item.item_id)] = None
                result = finished.get(item.item_id)
                if result and result.state is model.ItemState.COMPLETED:
                    self._add_whole(batch, item, result)
        _drop_oldest(self._left_keys, _MAX_IDS)

    def remember_runs(
        self, batch: model.Batch, runs: Iterable[lifecycle.ItemRun]
    ) -> None:
        """Remember the texts of a batch's items that have no result."""
        for run in runs:
            if run.unscored is not None:
                self._add_whole(batch, run.item, run.unscored)
            elif run.text.parts and not run.is_finished:
                # A copy: an attempt of the ended batch that is still under way would
                # write into the text of the later batch, events twice or none.
                self._texts_by_key[_work_key(batch, run.item)] = run.text.copy()
        _drop_oldest(self._texts_by_key, _MAX_TEXTS)

    def _add_whole(
        self, batch: model.Batch, item: model.Item, result: model.Result
    ) -> None:
        key = _work_key(batch, item)
        self._whole_by_key[key] = _WholeText(result, item.scoring)
        _drop_oldest(self._whole_by_key, _MAX_TEXTS)

    def is_left(self, account: str | None, item_id: str) -> bool:
        """Tell whether the item's group was not complete."""
        return _key(account, item_id) in self._left_keys

    def take_text(self, batch: model.Batch, item: model.Item) -> texts.Text | None:
        """Return the text that an item of `batch` goes on from, and forget it."""
        return self._texts_by_key.pop(_work_key(batch, item), None)

    def find_whole(
        self, batch: model.Batch, item: model.Item, bounds: texts.Bounds
    ) -> model.Result | None:
        """Return the item's whole text if its versions fit the later batch.

        It has its score only if that answers the scoring request of the later batch.
        """
        known = self._whole_by_key.get(_work_key(batch, item))
        if known is None or not bounds.allow_all(known.result.versions):
            return None
        if known.scoring == item.scoring:
            return known.result
        return attrs.evolve(known.result, score="")


def _drop_oldest(entries: dict[Any, Any], n_most: int) -> None:
    while len(entries) > n_most:
        del entries[next(iter(entries))]
