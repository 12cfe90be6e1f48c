"""An item's text while it is made: one chain of runs, each begun where the last ended.

A text belongs to one item of one open batch; only the attempt under way at that item
adds to it. What is handed over of it, to be kept by the group, is a chain as well: each
save names the log entry that it follows.
"""

from collections.abc import Collection

import attrs

from bilberrydrum import event_stream
from bilberrydrum.batches import model


@attrs.frozen(eq=False)
class Save:
    """A part of a text that was taken to be kept."""

    text: "Text"
    progress: model.Progress

    def end(self, kept_by: int) -> None:
        """Note the index of the log entry by which it is kept; 0: none is known."""
        self.text.end_save(self, kept_by)


@attrs.define
class Text:
    """What has been generated of an item so far."""

    parts: list[bytes] = attrs.field(factory=list)
    versions: set[int] = attrs.field(factory=set)
    # Number of the last whole event; None: nothing yet.
    last_number: int | None = None
    # Parts that were handed over to be kept.
    n_taken: int = 0
    # Index of the log entry by which they are kept; 0: none is known.
    kept_by: int = 0
    # Answers since the last event that had none and were whole.
    n_empty_answers: int = 0
    # What was handed over last, until it is known whether it is kept.
    _save: Save | None = attrs.field(default=None, eq=False, repr=False)

    def clear(self) -> None:
        """Begin anew."""
        self.parts.clear()
        self.versions.clear()
        self.last_number = None
        self.n_empty_answers = 0
        self.forget_kept()

    @classmethod
    def of_progress(cls, kept: model.KeptProgress) -> "Text":
        """Return the text that was kept of an unfinished item."""
        if len(kept.parts) != kept.last_number:
            # Kept by an earlier release, which took streams that begin late: what is
            # made after the last event follows it, and the text lacks its beginning.
            # Events are numbered from 1, so their number shows it.
            return cls()
        return cls(
            list(kept.parts),
            set(kept.versions),
            kept.last_number,
            len(kept.parts) if kept.kept_by else 0,
            kept.kept_by,
        )

    def copy(self) -> "Text":
        """Return a text of its own with the same events, nothing of it handed over."""
        return Text(list(self.parts), set(self.versions), self.last_number)

    def forget_kept(self) -> None:
        """Have the next save hand over the whole text.

        For a text that is not what was handed over and more, or that is kept elsewhere.
        """
        self.n_taken = 0
        self.kept_by = 0
        self._save = None

    def take_progress(self, item_id: str) -> Save | None:
        """Return what is to be kept besides what was taken before; None: nothing.

        Nothing is taken before the last save has ended: the next one names the entry by
        which that is kept.
        """
        if self._save is not None or self.last_number is None:
            return None
        if len(self.parts) <= self.n_taken:
            return None
        progress = model.Progress(
            item_id,
            tuple(self.parts[self.n_taken :]),
            tuple(sorted(self.versions)),
            self.last_number,
            self.n_taken,
            self.kept_by,
        )
        self.n_taken = len(self.parts)
        self._save = Save(self, progress)
        return self._save

    def end_save(self, save: Save, kept_by: int) -> None:
        """Note what became of `save`; as in `Save.end`."""
        if save is not self._save:
            # Taken before the text began anew: what it says is not of this text.
            return
        self._save = None
        if kept_by:
            self.kept_by = kept_by
        else:
            # Later parts would follow what is not kept, and a new leader would begin
            # where this one was lost. A whole text follows nothing.
            self.forget_kept()

    def add(self, event: event_stream.Event, version: int) -> None:
        """Add one event, made under `version`.

        Raises
        ------
        EventError
            If it does not follow the last one.
        """
        if event.number != (self.last_number or 0) + 1:
            # Two runs that write one text, or one that goes on elsewhere than it was
            # asked to, would leave an event out or in twice. All that is added comes by
            # here, and the run that is refused begins the text anew.
            detail = f"event {event.number} for a text that ends at {self.last_number}"
            raise event_stream.EventError(detail)
        self.n_empty_answers = 0
        self.parts.append(event.data)
        self.versions.add(version)
        self.last_number = event.number

    def result(self, item_id: str) -> model.Result:
        """Return the completed item's result."""
        return model.Result.of(
            item_id,
            model.ItemState.COMPLETED,
            b"\n".join(self.parts),
            tuple(sorted(self.versions)),
        )


@attrs.frozen
class Bounds:
    """The weight versions that an item's text may come from."""

    min_version: int = 0
    is_single: bool = False

    def allow(self, version: int, text: Text) -> bool:
        """Tell whether the next event may be made under `version`."""
        if version < self.min_version:
            return False
        return not self.is_single or not text.versions or text.versions == {version}

    def allow_all(self, versions: Collection[int]) -> bool:
        """Tell whether a whole text may be made of `versions`; none: it is unknown."""
        if not versions or min(versions) < self.min_version:
            return False
        return not self.is_single or len(set(versions)) == 1
