"""The stores' state: batches by id, their results and ends.

A batch is kept while it is open, and for the retention after its submission, so that
memory and disk stay flat however long the day is.
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
    """All batches, the oldest first."""

    batches_by_id: dict[str, model.KeptBatch] = attrs.field(factory=dict)


def section_of(state: machine.State) -> Section:
    """Return the section in `state`."""
    found: Section = state.section(SECTION, Section)
    return found


@codec.register("batches.accept")
@attrs.frozen
class AcceptBatch:
    """Keep a batch from now on; a second time it changes nothing."""

    batch_id: str
    n_items: int
    # Made by `model.pack_batch`; not looked into here.
    data: bytes
    # Ended batches older than this, in seconds, are dropped.
    retention_seconds: float


@codec.register("batches.accepted")
@attrs.frozen
class Accepted:
    """The batch is kept."""

    is_new: bool


@codec.register("batches.score")
@attrs.frozen
class Score:
    """The score of a whole text that is kept."""

    item_id: str
    # Signature of the answer to the item's scoring request.
    score: str


@codec.register("batches.finish")
@attrs.frozen
class FinishItems:
    """Note how far items of a batch are; those that have a result are passed over.

    An item's text comes before its score, in an earlier command or in the same one.
    """

    batch_id: str
    # Appended to the batch's results.
    results: tuple[model.Result, ...] = ()
    # Whole texts that wait for their score.
    unscored: tuple[model.Result, ...] = ()
    # With these, texts that are kept are appended to the results.
    scores: tuple[Score, ...] = ()

    def finished_ids(self) -> list[str]:
        """Return the items that have a result by this."""
        by_result = [each.item_id for each in self.results]
        return by_result + [each.item_id for each in self.scores]


def joined(given: Iterable[FinishItems]) -> list[FinishItems]:
    """Return one command for each batch that says what `given` say in their order."""
    joined_by_batch: dict[str, FinishItems] = {}
    for each in given:
        known = joined_by_batch.get(each.batch_id, FinishItems(each.batch_id))
        joined_by_batch[each.batch_id] = FinishItems(
            each.batch_id,
            known.results + each.results,
            known.unscored + each.unscored,
            known.scores + each.scores,
        )
    return list(joined_by_batch.values())


@codec.register("batches.finished")
@attrs.frozen
class Finished:
    """How many results were appended."""

    n_appended: int


@codec.register("batches.save-progress")
@attrs.frozen
class SaveProgress:
    """Keep what has been generated of unfinished items."""

    batch_id: str
    progress: tuple[model.Progress, ...]


@codec.register("batches.progress-saved")
@attrs.frozen
class ProgressSaved:
    """Which texts are kept now up to the events that were given."""

    # That of the log entry.
    index: int
    item_ids: tuple[str, ...] = ()

    def kept_by(self, item_id: str) -> int:
        """Return the index of the entry by which an item's text is kept; 0: none."""
        return self.index if item_id in self.item_ids else 0


@codec.register("batches.end")
@attrs.frozen
class EndBatch:
    """No more items of a batch are to run."""

    batch_id: str


@codec.register("batches.ended")
@attrs.frozen
class Ended:
    """The batch has ended, or is not known."""

    is_known: bool


@machine.apply.register
def _(command: AcceptBatch, state: machine.State, context: machine.Context) -> Accepted:
    section = section_of(state)
    _drop_old(section, context.time - command.retention_seconds)
    if command.batch_id in section.batches_by_id:
        return Accepted(False)
    section.batches_by_id[command.batch_id] = model.KeptBatch(
        command.batch_id, command.n_items, command.data, context.time
    )
    return Accepted(True)


def _drop_old(section: Section, since: float) -> None:
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
            kept.forget_unfinished(text.item_id)
            kept.unscored_by_item_id[text.item_id] = text
    for result in [*_scored(kept, command.scores), *command.results]:
        # Run twice, by two leaders or after a lost answer, an item is listed once.
        if result.item_id not in finished:
            finished.add(result.item_id)
            kept.results.append(result)
            kept.forget_unfinished(result.item_id)
    return Finished(len(kept.results) - n_before)


def _scored(kept: model.KeptBatch, scores: tuple[Score, ...]) -> list[model.Result]:
    """Return the results made of kept texts and their scores."""
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
        is_whole = given.item_id in kept.unscored_by_item_id
        # Kept late, it would be a part of what is whole already.
        if given.item_id in finished or is_whole:
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
