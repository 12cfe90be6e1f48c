"""The replica's applying task: entries into the state, answers out, snapshots.

A snapshot is encoded in a thread. The state does not change meanwhile, as this task
applies nothing, and heartbeats go on. At the leader, no command is answered for that
time: 2.8 s for 250,000 claims with their results. So the leader waits for twice as many
entries, by when the others have made theirs, and hands a large state's leadership over
first; a follower that applies nothing holds nobody up.
"""

import random
from typing import Any, Final

import eventlet
import eventlet.queue
from eventlet import tpool

from bilberrydrum import clock
from bilberrydrum.state import (
    applier,
    disk,
    events,
    intake,
    leader,
    node,
    serving,
    snapshot,
    storage,
)

# A snapshot is made sooner if the log's commands take this much memory.
MAX_LOG_BYTES: Final = 32 * 1024 * 1024
# A snapshot of this size takes about a tenth of a second to encode.
HANDOVER_BYTES: Final = 4 * 1024 * 1024
# Entries until a snapshot at the leader, as a multiple of those at a follower.
LEADER_FACTOR: Final = 2
# Snapshots are made after as many entries, give or take this share.
SPREAD: Final = 0.2
# Time for the leadership to pass on before the snapshot is made all the same.
_HANDOVER_SECONDS: Final = 1.0
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
        rng: random.Random,
        max_log_bytes: int = MAX_LOG_BYTES,
        handover_bytes: int = HANDOVER_BYTES,
    ) -> None:
        self._handover_bytes = handover_bytes
        self._max_log_bytes = max_log_bytes
        self._owner = owner
        self._applier = applied
        self._intake = clients
        self._store = store
        self._disk = disk_task
        self._snapshot_entries = snapshot_entries
        self._rng = rng
        self._spread = self._draw_spread()
        self._effects: Any = eventlet.queue.Queue()

    def put(self, effect: events.Commit | events.Restore | serving.Save) -> None:
        """Have entries or a received snapshot applied, or the state encoded."""
        self._effects.put(effect)

    def run(self) -> None:
        """Apply what is put, in order."""
        while True:
            effect = self._effects.get()
            if isinstance(effect, events.Restore):
                restored = tpool.execute(snapshot.decode, effect.data)
                self._applier.restore(effect.data, restored)
                self._intake.waiters.clear(effect.index)
                continue
            if isinstance(effect, serving.Save):
                self._intake.saved(effect, self._encode())
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
            if self.snapshot_is_due():
                self.hand_over()
                self._make_snapshot()

    def snapshot_is_due(self) -> bool:
        """Tell whether enough was applied since the last snapshot."""
        n_entries = self._applier.index - self._owner.node.snapshot_index
        limit = self._snapshot_entries * self._spread
        if isinstance(self._owner.node.role, node.Leader):
            limit *= LEADER_FACTOR
        if n_entries >= limit:
            return True
        return self._owner.node.log.n_bytes >= self._max_log_bytes and n_entries > 1

    def _draw_spread(self) -> float:
        # All replicas count the same entries. In step, the leader would hand over to
        # one that begins its own snapshot at the same moment.
        return self._rng.uniform(1.0 - SPREAD, 1.0 + SPREAD)

    def hand_over(self) -> None:
        """Pass the leadership on before a long pause, if someone can take it."""
        state = self._owner.node
        role = state.role
        if (
            not isinstance(role, node.Leader)
            or state.snapshot_bytes < self._handover_bytes
        ):
            return
        if not leader.successor(state, role):
            return
        self._owner.put(events.TransferLeadership())
        deadline = clock.now() + _HANDOVER_SECONDS
        while state.role is role and clock.now() < deadline:
            clock.sleep(0.005)

    def _make_snapshot(self) -> None:
        header = self._applier.header()
        self._spread = self._draw_spread()
        data = self._encode()
        tpool.execute(self._store.write_snapshot, header.index, data)
        self._disk.put(disk.ActivateSnapshot(header.index, len(data)))
        # The next one is not due before this one is in use.
        while self._owner.node.snapshot_index < header.index:
            clock.sleep(0.005)

    def _encode(self) -> bytes:
        header = self._applier.header()
        return bytes(tpool.execute(snapshot.encode, header, self._applier.state))
