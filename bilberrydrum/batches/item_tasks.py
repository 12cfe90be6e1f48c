"""Tasks that each work on one item, to be broken off by item or by batch."""

import enum
from collections.abc import Callable
from typing import Any

import attrs
import eventlet
import greenlet

# A batch and an item of it.
Key = tuple[str, str]


class BreakOff(enum.Enum):
    """Why work on an item is broken off."""

    BATCH_ENDED = "batch-ended"
    # The item goes on elsewhere.
    MOVED = "moved"
    # Another process runs the items, or another runner here.
    STOPS_LEADING = "stops-leading"


class BrokenOff(greenlet.GreenletExit):  # type: ignore[misc]
    """Raised in the midst of work that is broken off; it must not be held up."""

    def __init__(self, why: BreakOff) -> None:
        super().__init__(why.value)
        self.why = why


@attrs.define
class _Entry:
    on_end: Callable[[], None]
    has_begun: bool = False
    task: Any = None


class ItemTasks:
    """The tasks that are under way, one for an item."""

    def __init__(self) -> None:
        self._entries_by_key: dict[Key, _Entry] = {}

    def start(
        self, key: Key, work: Callable[[], None], on_end: Callable[[], None]
    ) -> None:
        """Begin to work on an item.

        `work` calls `ended` and `on_end` itself. A task that is broken off before its
        first turn runs none of `work`, so `on_end` is called for it: the place that it
        was given would stay taken.
        """
        entry = _Entry(on_end)
        self._entries_by_key[key] = entry
        entry.task = eventlet.spawn(self._run, entry, work)

    @staticmethod
    def _run(entry: _Entry, work: Callable[[], None]) -> None:
        entry.has_begun = True
        work()

    def ended(self, key: Key) -> None:
        """Note that the work on an item has ended."""
        self._entries_by_key.pop(key, None)

    def cancel(self, key: Key, why: BreakOff) -> None:
        """Break off the work on an item; none if it has just ended."""
        # Breaking off other work lets this one run, and end: its entry may be gone. An
        # error here would stop the replica, which breaks off the runs of ended batches.
        entry = self._entries_by_key.pop(key, None)
        if entry is None:
            return
        entry.task.kill(BrokenOff, BrokenOff(why), None)
        if not entry.has_begun:
            entry.on_end()

    def cancel_batch(self, batch_id: str) -> None:
        """Break off the work on all items of a batch."""
        for key in [each for each in self._entries_by_key if each[0] == batch_id]:
            self.cancel(key, BreakOff.BATCH_ENDED)

    def cancel_all(self) -> None:
        """Break off all work."""
        for key in list(self._entries_by_key):
            self.cancel(key, BreakOff.STOPS_LEADING)
