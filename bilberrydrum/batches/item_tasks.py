"""Tasks that each work on one item, to be broken off by item or by batch."""

from collections.abc import Callable
from typing import Any

import attrs
import eventlet

# A batch and an item of it.
Key = tuple[str, str]


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

    def cancel(self, key: Key) -> None:
        """Break off the work on an item; none if it has just ended."""
        # Breaking off other work lets this one run, and end: its entry may be gone. An
        # error here would stop the replica, which breaks off the runs of ended batches.
        entry = self._entries_by_key.pop(key, None)
        if entry is None:
            return
        entry.task.kill()
        if not entry.has_begun:
            entry.on_end()

    def cancel_batch(self, batch_id: str) -> None:
        """Break off the work on all items of a batch."""
        for key in [each for each in self._entries_by_key if each[0] == batch_id]:
            self.cancel(key)

    def cancel_all(self) -> None:
        """Break off all work."""
        for key in list(self._entries_by_key):
            self.cancel(key)
