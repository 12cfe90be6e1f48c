"""The replica's disk task: writes that come together share one sync.

A sync stops the thread that asks for it, so it is made in a thread of its own, and what
arrives meanwhile is written with the next (group commit).
"""

from collections.abc import Callable
from typing import Any

import attrs
import eventlet.queue
from eventlet import tpool

from bilberrydrum.state import events, storage


@attrs.frozen
class Adopt:
    """Use the snapshot that was written for `index`."""

    index: int
    n_bytes: int


@attrs.frozen
class Stop:
    """End the task once all before is done."""


class DiskTask:
    """The task that owns the log on disk."""

    def __init__(self, store: storage.Storage, done: Callable[[Any], None]) -> None:
        self._store = store
        self._done = done
        self._jobs: Any = eventlet.queue.Queue()

    def put(self, job: Any) -> None:
        """Have a `Write`, `SaveSnapshot`, `DropLog` or `Adopt` carried out."""
        self._jobs.put(job)

    def run(self) -> None:
        """Carry out the jobs, in order; an error of the disk ends the task."""
        while True:
            jobs = [self._jobs.get()]
            while not self._jobs.empty():
                jobs.append(self._jobs.get())
            is_last = any(isinstance(each, Stop) for each in jobs)
            jobs = [each for each in jobs if not isinstance(each, Stop)]
            tpool.execute(carry_out, self._store, jobs)
            for job in jobs:
                if isinstance(job, Adopt):
                    self._done(events.SnapshotSaved(job.index, job.n_bytes))
            numbers = [each.number for each in jobs if hasattr(each, "number")]
            if numbers:
                self._done(events.Synced(max(numbers)))
            if is_last:
                return


def carry_out(store: storage.Storage, jobs: list[Any]) -> None:
    """Carry out `jobs` in order, runs of writes with one sync."""
    writes = []
    for job in jobs:
        if isinstance(job, events.Write | events.SaveSnapshot):
            writes.append(job)
            continue
        store.append(writes)
        writes = []
        if isinstance(job, Adopt):
            store.adopt_snapshot(job.index)
        else:
            store.drop_log(job.index)
    store.append(writes)
