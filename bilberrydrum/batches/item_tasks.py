"""Tasks that each work on one item and can be cancelled by item or by batch."""

import enum
from collections.abc import Callable
from typing import Any

import attrs
import eventlet
import greenlet

# Ids of a batch and of one of its items.
Key = tuple[str, str]


class CancelReason(enum.Enum):
    """Why the task of an item is cancelled."""

    BATCH_ENDED = "batch-ended"
    # The item continues at another engine.
    MOVED = "moved"
    # The items are taken over by another process, or by another runner in this one.
    STOPS_LEADING = "stops-leading"


class Cancelled(greenlet.GreenletExit):  # type: ignore[misc]
    """Raised within a task that is cancelled; it must not be suppressed."""

    def __init__(self, why: CancelReason) -> None:
        super().__init__(why.value)
        self.why = why


@attrs.define
class _Entry:
    on_end: Callable[[], None]
    has_started: bool = False
    task: Any = None


class ItemTasks:
    """The tasks that are running, at most one for each item."""

    def __init__(self) -> None:
        self._entries_by_key: dict[Key, _Entry] = {}

    def start(
        self, key: Key, work: Callable[[], None], on_end: Callable[[], None]
    ) -> None:
        """Start a task for an item.

        `work` has to call `remove` itself and do what `on_end` does when it ends. A
        task that is cancelled before it was scheduled runs none of `work`, so `cancel`
        calls `on_end` for it: otherwise the run slot assigned to the item would never
        be released.
        """
        entry = _Entry(on_end)
        self._entries_by_key[key] = entry
        entry.task = eventlet.spawn(self._run, entry, work)

    @staticmethod
    def _run(entry: _Entry, work: Callable[[], None]) -> None:
        entry.has_started = True
        work()

    def remove(self, key: Key) -> None:
        """Remove an item's task after it has ended."""
        self._entries_by_key.pop(key, None)

    def cancel(self, key: Key, why: CancelReason) -> None:
        """Cancel the task of an item; do nothing if it has just ended."""
        # The entry may be gone: cancelling another task lets this one run, and it may
        # end. An error here would stop the replica, because applying the end of a batch
        # cancels its tasks.
        entry = self._entries_by_key.pop(key, None)
        if entry is None:
            return
        entry.task.kill(Cancelled, Cancelled(why), None)
        if not entry.has_started:
            entry.on_end()

    def cancel_batch(self, batch_id: str) -> None:
        """Cancel the tasks of all items of a batch."""
        for key in [each for each in self._entries_by_key if each[0] == batch_id]:
            self.cancel(key, CancelReason.BATCH_ENDED)

    def cancel_all(self) -> None:
        """Cancel all tasks."""
        for key in list(self._entries_by_key):
            self.cancel(key, CancelReason.STOPS_LEADING)
