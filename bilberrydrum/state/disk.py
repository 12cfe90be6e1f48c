"""The replica's disk task, which makes several writes share one sync.

A sync blocks the calling thread, so it runs in a worker thread. Jobs that arrive
meanwhile are written with the next sync (group commit).
"""

from collections.abc import Callable
from typing import Any

import attrs
import eventlet.queue
from eventlet import tpool

from bilberrydrum.state import events, storage


@attrs.frozen
class ActivateSnapshot:
    """Start using the snapshot that was written for `index`."""

    index: int
    n_bytes: int


@attrs.frozen
class Stop:
    """End the task once all earlier jobs are done."""


class DiskTask:
    """The task that owns the log on disk."""

    def __init__(self, store: storage.Storage, done: Callable[[Any], None]) -> None:
        self._store = store
        self._done = done
        self._jobs: Any = eventlet.queue.Queue()

    def put(self, job: Any) -> None:
        """Queue a `Write`, `SaveSnapshot`, `DropLog` or `ActivateSnapshot`."""
        self._jobs.put(job)

    def run(self) -> None:
        """Carry out the jobs in order; a disk error ends the task."""
        while True:
            jobs = [self._jobs.get()]
            while not self._jobs.empty():
                jobs.append(self._jobs.get())
            is_last = any(isinstance(each, Stop) for each in jobs)
            jobs = [each for each in jobs if not isinstance(each, Stop)]
            tpool.execute(carry_out, self._store, jobs)
            for job in jobs:
                if isinstance(job, ActivateSnapshot):
                    self._done(events.SnapshotSaved(job.index, job.n_bytes))
            numbers = [each.number for each in jobs if hasattr(each, "number")]
            if numbers:
                self._done(events.Synced(max(numbers)))
            if is_last:
                return


def carry_out(store: storage.Storage, jobs: list[Any]) -> None:
    """Carry out `jobs` in order, consecutive writes with one sync."""
    writes = []
    for job in jobs:
        if isinstance(job, events.Write | events.SaveSnapshot):
            writes.append(job)
            continue
        store.append(writes)
        writes = []
        if isinstance(job, ActivateSnapshot):
            store.activate_snapshot(job.index)
        else:
            store.drop_log(job.index)
    store.append(writes)
