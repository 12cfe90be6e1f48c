"""The replica's applying task: entries into the state, answers out, snapshots.

A snapshot is encoded in a thread. The state does not change meanwhile, as this task
applies nothing, and heartbeats go on.
"""

from typing import Any, Final

import eventlet
import eventlet.queue
from eventlet import tpool

from bilberrydrum import clock
from bilberrydrum.state import applier, disk, events, intake, snapshot, storage

# A snapshot is made sooner if the log's commands take this much memory.
MAX_LOG_BYTES: Final = 32 * 1024 * 1024
# Entries applied before other tasks run.
_SLICE: Final = 64


class ApplyTask:
    """The task that owns the applied state."""

    def __init__(
        self,
        owner: intake.Owner,
        applied: applier.Applier,
        clients: intake.Intake,
        store: storage.Storage,
        disk_task: disk.DiskTask,
        snapshot_entries: int,
    ) -> None:
        self._owner = owner
        self._applier = applied
        self._intake = clients
        self._store = store
        self._disk = disk_task
        self._snapshot_entries = snapshot_entries
        self._effects: Any = eventlet.queue.Queue()

    def put(self, effect: events.Commit | events.Restore) -> None:
        """Have committed entries or a received snapshot applied."""
        self._effects.put(effect)

    def run(self) -> None:
        """Apply what is put, in order."""
        while True:
            effect = self._effects.get()
            if isinstance(effect, events.Restore):
                self._applier.restore(effect.data)
                self._intake.waiters.clear(effect.index)
                continue
            for i, entry in enumerate(effect.entries, 1):
                command = self._intake.waiters.command(entry.index, entry.term)
                applied = self._applier.apply(entry, command)
                if applied is not None:
                    self._intake.waiters.applied(applied)
                if i % _SLICE == 0:
                    self._intake.waiters.outbox.flush()
                    eventlet.sleep(0)
            self._intake.waiters.outbox.flush()
            self._intake.serve_reads()
            if self._snapshot_is_due():
                self._make_snapshot()

    def _snapshot_is_due(self) -> bool:
        n_entries = self._applier.index - self._owner.node.snapshot_index
        if n_entries >= self._snapshot_entries:
            return True
        return self._owner.node.log.n_bytes >= MAX_LOG_BYTES and n_entries > 1

    def _make_snapshot(self) -> None:
        header = self._applier.header()
        data = tpool.execute(snapshot.encode, header, self._applier.state)
        tpool.execute(self._store.write_snapshot, header.index, data)
        self._disk.put(disk.Adopt(header.index, len(data)))
        # The next one is not due before this one is in use.
        while self._owner.node.snapshot_index < header.index:
            clock.sleep(0.005)
