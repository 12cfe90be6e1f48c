"""Texts of ended batches that a later batch with the same items may reuse.

A trainer ends a batch once it has enough complete groups, and submits the items of the
incomplete groups again in a later batch, under the same ids. What was generated of them
can be reused if its weight versions fit the later batch. Ids are scoped to an account:
a batch of another account that uses the same item id finds nothing here.
"""

from collections.abc import Iterable
from typing import Any, Final

import attrs

from bilberrydrum.batches import lifecycle, model, texts
from bilberrydrum.requests import fingerprints

# Maximum number of partial texts, and of complete texts, that are kept: enough for the
# last few steps.
_MAX_TEXTS: Final = 400
# Maximum number of ids of items in incomplete groups: enough for the last few steps.
_MAX_IDS: Final = 4_000


# An account, empty for none, and an item's id.
ItemKey = tuple[str, str]
# The same, and the fingerprint of the item's request.
WorkKey = tuple[str, str, str]


def _key(account: str | None, item_id: str) -> ItemKey:
    return (account or "", item_id)


def _work_key(batch: model.Batch, item: model.Item) -> WorkKey:
    # A trainer may reuse an id for another prompt, whose text must not continue the
    # text of the first. Headers are not part of the key: they are hints that may
    # change.
    fingerprint = fingerprints.of_request(
        "POST", batch.host, item.target, batch.model, item.body
    )
    return (*_key(batch.account, item.item_id), fingerprint)


@attrs.frozen
class _CompleteText:
    """A complete text, with or without a score."""

    result: model.Result
    # The request that the score answers.
    scoring: model.ScoringRequest | None


class ReusableWork:
    """Texts and ids of incomplete groups, by account and item."""

    def __init__(self) -> None:
        self._complete_by_key: dict[WorkKey, _CompleteText] = {}
        self._texts_by_key: dict[WorkKey, texts.Text] = {}
        # Items of incomplete groups, started or not; the oldest first.
        self._incomplete_group_keys: dict[ItemKey, None] = {}

    def remember(self, batch: model.Batch, kept: model.KeptBatch) -> None:
        """Remember the complete texts and the item ids of incomplete groups.

        The ids include items that had not started, because the trainer waits for a
        resubmitted group even if none of its items had started.
        """
        finished = {each.item_id: each for each in kept.results}
        groups: dict[str, list[model.Item]] = {}
        for item in batch.items:
            groups.setdefault(item.group or item.item_id, []).append(item)
        for items in groups.values():
            if all(each.item_id in finished for each in items):
                continue
            for item in items:
                self._incomplete_group_keys[_key(batch.account, item.item_id)] = None
                result = finished.get(item.item_id)
                if result and result.state is model.ItemState.COMPLETED:
                    self._add_complete(batch, item, result)
        _drop_oldest(self._incomplete_group_keys, _MAX_IDS)

    def remember_runs(
        self, batch: model.Batch, runs: Iterable[lifecycle.ItemRun]
    ) -> None:
        """Remember the texts of items that have no result."""
        for run in runs:
            if run.unscored is not None:
                self._add_complete(batch, run.item, run.unscored)
            elif run.text.parts and not run.is_finished:
                # A copy, because an attempt of the ended batch may still be running.
                # It would write to the text of the later batch, which would then
                # contain events twice or lose them.
                self._texts_by_key[_work_key(batch, run.item)] = run.text.copy()
        _drop_oldest(self._texts_by_key, _MAX_TEXTS)

    def _add_complete(
        self, batch: model.Batch, item: model.Item, result: model.Result
    ) -> None:
        key = _work_key(batch, item)
        self._complete_by_key[key] = _CompleteText(result, item.scoring)
        _drop_oldest(self._complete_by_key, _MAX_TEXTS)

    def was_in_incomplete_group(self, account: str | None, item_id: str) -> bool:
        """Return whether the item was in a group that ended incomplete."""
        return _key(account, item_id) in self._incomplete_group_keys

    def pop_text(self, batch: model.Batch, item: model.Item) -> texts.Text | None:
        """Remove and return the text from which an item of `batch` is resumed."""
        return self._texts_by_key.pop(_work_key(batch, item), None)

    def find_complete(
        self, batch: model.Batch, item: model.Item, bounds: texts.Bounds
    ) -> model.Result | None:
        """Return the item's complete text if its versions fit the later batch.

        The score is included only if it answers the later batch's scoring request.
        """
        known = self._complete_by_key.get(_work_key(batch, item))
        if known is None or not bounds.allow_all(known.result.versions):
            return None
        if known.scoring == item.scoring:
            return known.result
        return attrs.evolve(known.result, score="")


def _drop_oldest(entries: dict[Any, Any], max_entries: int) -> None:
    while len(entries) > max_entries:
        del entries[next(iter(entries))]
