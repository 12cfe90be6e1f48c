"""Commands on the batches section of the stores' replicated state.

The section holds the batches by id, with their results and whether they have ended. A
batch is kept while it is open and until its retention time has passed since its
submission, so that memory and disk use do not grow with uptime.
"""

from collections.abc import Iterable
from typing import Final

import attrs

from bilberrydrum import codec
from bilberrydrum.batches import model
from bilberrydrum.state import machine

SECTION: Final = "batches"


@codec.register("batches.section")
@attrs.define
class Section:
    """All stored batches, the oldest first."""

    batches_by_id: dict[str, model.KeptBatch] = attrs.field(factory=dict)


def section_of(state: machine.State) -> Section:
    """Return the section in `state`."""
    found: Section = state.section(SECTION, Section)
    return found


@codec.register("batches.accept")
@attrs.frozen
class AcceptBatch:
    """Store a new batch; no effect if it is already stored."""

    batch_id: str
    n_items: int
    # Made by `model.pack_batch`; not decoded here.
    data: bytes
    # Ended batches that were submitted longer ago than this, in seconds, are deleted.
    retention_seconds: float


@codec.register("batches.accepted")
@attrs.frozen
class Accepted:
    """Answer to `AcceptBatch`: the batch is stored."""

    is_new: bool


@codec.register("batches.score")
@attrs.frozen
class Score:
    """The score of a complete text that is stored."""

    item_id: str
    # Signature of the answer to the item's scoring request.
    score: str


@codec.register("batches.finish")
@attrs.frozen
class FinishItems:
    """Record results, complete texts and scores of a batch's items.

    Items that already have a result are skipped. An item's text must precede its score,
    in an earlier command or in the same one.
    """

    batch_id: str
    # Appended to the batch's results.
    results: tuple[model.Result, ...] = ()
    # Complete texts that wait for their score.
    unscored: tuple[model.Result, ...] = ()
    # Scores of stored texts, each of which is appended to the results with its score.
    scores: tuple[Score, ...] = ()

    def finished_ids(self) -> list[str]:
        """Return the ids of the items that this command gives a result."""
        by_result = [each.item_id for each in self.results]
        return by_result + [each.item_id for each in self.scores]


def merge_by_batch(given: Iterable[FinishItems]) -> list[FinishItems]:
    """Return one command per batch that has the effect of `given` in their order."""
    merged_by_batch: dict[str, FinishItems] = {}
    for each in given:
        known = merged_by_batch.get(each.batch_id, FinishItems(each.batch_id))
        merged_by_batch[each.batch_id] = FinishItems(
            each.batch_id,
            known.results + each.results,
            known.unscored + each.unscored,
            known.scores + each.scores,
        )
    return list(merged_by_batch.values())


@codec.register("batches.finished")
@attrs.frozen
class Finished:
    """Answer to `FinishItems`."""

    n_appended: int


@codec.register("batches.save-progress")
@attrs.frozen
class SaveProgress:
    """Store what has been generated of unfinished items."""

    batch_id: str
    progress: tuple[model.Progress, ...]


@codec.register("batches.progress-saved")
@attrs.frozen
class ProgressSaved:
    """Answer to `SaveProgress`: the items whose given events were stored."""

    # Index of the log entry.
    index: int
    item_ids: tuple[str, ...] = ()

    def saved_index(self, item_id: str) -> int:
        """Return the index of the entry if it stored the item's events, else 0."""
        return self.index if item_id in self.item_ids else 0


@codec.register("batches.end")
@attrs.frozen
class EndBatch:
    """End a batch, so that no more of its items run."""

    batch_id: str


@codec.register("batches.ended")
@attrs.frozen
class Ended:
    """Answer to `EndBatch`: the batch has ended, or is not known."""

    is_known: bool


@machine.apply.register
def _(command: AcceptBatch, state: machine.State, context: machine.Context) -> Accepted:
    section = section_of(state)
    _drop_expired(section, context.time - command.retention_seconds)
    if command.batch_id in section.batches_by_id:
        return Accepted(False)
    section.batches_by_id[command.batch_id] = model.KeptBatch(
        command.batch_id, command.n_items, command.data, context.time
    )
    return Accepted(True)


def _drop_expired(section: Section, since: float) -> None:
    for batch_id, kept in list(section.batches_by_id.items()):
        if kept.submitted_at >= since:
            return
        if kept.is_ended:
            del section.batches_by_id[batch_id]


@machine.apply.register
def _(command: FinishItems, state: machine.State, context: machine.Context) -> Finished:
    kept = section_of(state).batches_by_id.get(command.batch_id)
    if kept is None or kept.is_ended:
        return Finished(0)
    n_before = len(kept.results)
    finished = kept.finished_ids()
    for text in command.unscored:
        if text.item_id not in finished:
            kept.discard_unfinished(text.item_id)
            kept.unscored_by_item_id[text.item_id] = text
    for result in [*_scored_results(kept, command.scores), *command.results]:
        # An item may have run twice, under two leaders or after a lost answer. Only its
        # first result is listed.
        if result.item_id not in finished:
            finished.add(result.item_id)
            kept.results.append(result)
            kept.discard_unfinished(result.item_id)
    return Finished(len(kept.results) - n_before)


def _scored_results(
    kept: model.KeptBatch, scores: tuple[Score, ...]
) -> list[model.Result]:
    """Return the results that combine stored texts with their scores."""
    results = []
    for each in scores:
        text = kept.unscored_by_item_id.get(each.item_id)
        if text is not None:
            results.append(attrs.evolve(text, score=each.score))
    return results


@machine.apply.register
def _(
    command: SaveProgress, state: machine.State, context: machine.Context
) -> ProgressSaved:
    kept = section_of(state).batches_by_id.get(command.batch_id)
    if kept is None or kept.is_ended:
        return ProgressSaved(context.index)
    finished = kept.finished_ids()
    saved = []
    for given in command.progress:
        is_complete = given.item_id in kept.unscored_by_item_id
        # A late save must not add a partial text next to the complete one.
        if given.item_id in finished or is_complete:
            continue
        known = kept.progress_by_item_id.get(given.item_id)
        joined = model.KeptProgress.of(given, known, context.index)
        if joined is not None:
            kept.progress_by_item_id[given.item_id] = joined
            saved.append(given.item_id)
    return ProgressSaved(context.index, tuple(saved))


@machine.apply.register
def _(command: EndBatch, state: machine.State, context: machine.Context) -> Ended:
    kept = section_of(state).batches_by_id.get(command.batch_id)
    if kept is None:
        return Ended(False)
    kept.is_ended = True
    kept.progress_by_item_id.clear()
    kept.unscored_by_item_id.clear()
    return Ended(True)
