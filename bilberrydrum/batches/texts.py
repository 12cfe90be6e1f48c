"""An item's text while it is generated, by one attempt or by several in succession.

Each attempt resumes the text where the last one ended. A text belongs to one item of
one open batch, and only that item's current attempt appends to it. The stores' group
stores the text in parts, called saves. Each save names the log entry of the save that
it follows.
"""

from collections.abc import Collection

import attrs

from bilberrydrum import event_stream
from bilberrydrum.batches import model


@attrs.frozen(eq=False)
class Save:
    """A part of a text that is being stored."""

    text: "Text"
    progress: model.Progress

    def end(self, saved_index: int) -> None:
        """Record the index of the log entry that stored it; 0: none is known."""
        self.text.record_save_end(self, saved_index)


@attrs.define
class Text:
    """What has been generated of an item so far."""

    parts: list[bytes] = attrs.field(factory=list)
    versions: set[int] = attrs.field(factory=set)
    # Number of the last complete event; None: there is none yet.
    last_number: int | None = None
    # Number of parts in saves so far, the pending save included.
    n_submitted: int = 0
    # Index of the log entry of the last successful save; 0: not known.
    saved_index: int = 0
    # Complete answers without an event since the last event.
    n_empty_answers: int = 0
    # The pending save, until its outcome is known.
    _save: Save | None = attrs.field(default=None, eq=False, repr=False)

    def clear(self) -> None:
        """Delete all events, so that the text restarts from its beginning."""
        self.parts.clear()
        self.versions.clear()
        self.last_number = None
        self.n_empty_answers = 0
        self.restart_saves()

    @classmethod
    def of_progress(cls, kept: model.KeptProgress) -> "Text":
        """Return the text that was stored of an unfinished item."""
        if len(kept.parts) != kept.last_number:
            # Stored by an earlier release, which accepted streams that did not start
            # with event 1. Later events would follow the last one, and the text would
            # lack its beginning. Events are numbered from 1, so a last number that
            # differs from the count shows it.
            return cls()
        return cls(
            list(kept.parts),
            set(kept.versions),
            kept.last_number,
            len(kept.parts) if kept.kept_by else 0,
            kept.kept_by,
        )

    def copy(self) -> "Text":
        """Return an independent copy of the events, of which nothing has been saved."""
        return Text(list(self.parts), set(self.versions), self.last_number)

    def restart_saves(self) -> None:
        """Make the next save contain the complete text.

        Needed when the text is no continuation of what was saved, or when it is not
        known whether the last save was stored.
        """
        self.n_submitted = 0
        self.saved_index = 0
        self._save = None

    def begin_save(self, item_id: str) -> Save | None:
        """Return a save of the parts that no save contains yet; None: nothing to save.

        No save begins before the last one has ended, because it names the log entry
        that stored the last one.
        """
        if self._save is not None or self.last_number is None:
            return None
        if len(self.parts) <= self.n_submitted:
            return None
        progress = model.Progress(
            item_id,
            tuple(self.parts[self.n_submitted :]),
            tuple(sorted(self.versions)),
            self.last_number,
            self.n_submitted,
            self.saved_index,
        )
        self.n_submitted = len(self.parts)
        self._save = Save(self, progress)
        return self._save

    def record_save_end(self, save: Save, saved_index: int) -> None:
        """Record the outcome of `save`, as in `Save.end`."""
        if save is not self._save:
            # It began before the text was restarted, so it is no save of this text.
            return
        self._save = None
        if saved_index:
            self.saved_index = saved_index
        else:
            # Later parts would follow a save that may not be stored and be refused, and
            # a new leader would resume at the last stored event. A save of the complete
            # text follows no other save.
            self.restart_saves()

    def add(self, event: event_stream.Event, version: int) -> None:
        """Append one event, generated under weight version `version`.

        Raises
        ------
        EventError
            If the event does not follow the last one.
        """
        if event.number != (self.last_number or 0) + 1:
            # Two attempts that write to one text, or one that resumes after another
            # event than requested, would omit or repeat an event. Every event is added
            # here, and an attempt that fails here restarts the text.
            detail = (
                f"got event {event.number}, expected the one after {self.last_number}"
            )
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
    """The weight versions that may generate an item's text."""

    min_version: int = 0
    is_single: bool = False

    def allow(self, version: int, text: Text) -> bool:
        """Return whether `version` may generate the next event of `text`."""
        if version < self.min_version:
            return False
        return not self.is_single or not text.versions or text.versions == {version}

    def allow_all(self, versions: Collection[int]) -> bool:
        """Return whether `versions` may have generated a complete text.

        No version means that they are unknown, and is not allowed.
        """
        if not versions or min(versions) < self.min_version:
            return False
        return not self.is_single or len(set(versions)) == 1
