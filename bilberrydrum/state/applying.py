"""Apply committed entries, answer their clients and make snapshots.

A snapshot is encoded in a thread. This task applies no entries meanwhile, so the state
does not change, and heartbeats continue. While the leader encodes a snapshot, it
answers no commands: for 2.8 s with 250,000 claims and their results. Therefore the
leader waits for twice as many entries as a follower before it makes a snapshot, by when
the followers have made theirs, and first transfers the leadership if its state is
large. A follower that applies no entries delays no client.
"""

import random
from typing import Any, Final

import eventlet
import eventlet.queue
from eventlet import tpool

from bilberrydrum import clock
from bilberrydrum.state import (
    applier,
    client_requests,
    disk,
    events,
    leader,
    log,
    node,
    serving,
    snapshot,
    storage,
)

# A snapshot is made earlier if the commands in the log take this many bytes.
MAX_LOG_BYTES: Final = 32 * 1024 * 1024
# The leader transfers the leadership before it makes a snapshot if its last snapshot
# had at least this many bytes. Encoding that many takes about a tenth of a second.
HANDOVER_BYTES: Final = 4 * 1024 * 1024
# The leader makes a snapshot after this many times as many entries as a follower.
LEADER_FACTOR: Final = 2
# The number of entries between two snapshots varies randomly by up to this fraction.
JITTER: Final = 0.2
# Seconds for the leadership transfer. The snapshot is made after that even if this
# replica still leads.
_TRANSFER_SECONDS: Final = 1.0
# Number of entries applied before other tasks get to run.
_ENTRIES_PER_SLICE: Final = 64


class ApplyTask:
    """The task that owns the applied state."""

    def __init__(
        self,
        replica: client_requests.LocalReplica,
        applied: applier.Applier,
        clients: client_requests.ClientRequests,
        store: storage.Storage,
        disk_task: disk.DiskTask,
        snapshot_entries: int,
        rng: random.Random,
        max_log_bytes: int = MAX_LOG_BYTES,
        handover_bytes: int = HANDOVER_BYTES,
    ) -> None:
        self._handover_bytes = handover_bytes
        self._max_log_bytes = max_log_bytes
        self._replica = replica
        self._applier = applied
        self._clients = clients
        self._store = store
        self._disk = disk_task
        self._snapshot_entries = snapshot_entries
        self._rng = rng
        self._jitter = self._draw_jitter()
        self._effects: Any = eventlet.queue.Queue()

    def put(
        self, effect: events.Commit | events.Restore | serving.SnapshotQuery
    ) -> None:
        """Queue committed entries, a received snapshot or a query for a snapshot."""
        self._effects.put(effect)

    def run(self) -> None:
        """Process the queued effects, in order."""
        while True:
            effect = self._effects.get()
            if isinstance(effect, events.Restore):
                restored = tpool.execute(snapshot.decode, effect.data)
                self._applier.restore(effect.data, restored)
                self._clients.waiters.clear(effect.index)
                continue
            if isinstance(effect, serving.SnapshotQuery):
                self._clients.send_snapshot(effect, self._encode())
                continue
            log.forget_packed()
            for i, entry in enumerate(effect.entries, 1):
                command = self._clients.waiters.command(entry.index, entry.term)
                applied = self._applier.apply(entry, command)
                if applied is not None:
                    self._clients.waiters.complete(applied)
                if i % _ENTRIES_PER_SLICE == 0:
                    self._clients.waiters.outbox.flush()
                    eventlet.sleep(0)
            self._clients.waiters.outbox.flush()
            self._clients.serve_reads()
            if self.snapshot_is_due():
                self.transfer_leadership()
                self._make_snapshot()

    def snapshot_is_due(self) -> bool:
        """Return whether enough was applied since the last snapshot for a new one."""
        n_entries = self._applier.index - self._replica.node.snapshot_index
        limit = self._snapshot_entries * self._jitter
        if isinstance(self._replica.node.role, node.Leader):
            limit *= LEADER_FACTOR
        if n_entries >= limit:
            return True
        return self._replica.node.log.n_bytes >= self._max_log_bytes and n_entries > 1

    def _draw_jitter(self) -> float:
        # All replicas apply the same entries. With the same limit everywhere, the
        # leader would transfer the leadership to a replica that starts to make its own
        # snapshot at the same moment.
        return self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)

    def transfer_leadership(self) -> None:
        """Transfer the leadership before a long pause, if a replica can take over."""
        state = self._replica.node
        role = state.role
        if (
            not isinstance(role, node.Leader)
            or state.snapshot_bytes < self._handover_bytes
        ):
            return
        if not leader.successor(state, role):
            return
        self._replica.put(events.TransferLeadership())
        deadline = clock.now() + _TRANSFER_SECONDS
        while state.role is role and clock.now() < deadline:
            clock.sleep(0.005)

    def _make_snapshot(self) -> None:
        header = self._applier.header()
        self._jitter = self._draw_jitter()
        data = self._encode()
        tpool.execute(self._store.write_snapshot, header.index, data)
        self._disk.put(disk.ActivateSnapshot(header.index, len(data)))
        # Waits until the core uses this snapshot. Before that, the next one would
        # seem due, as its entries are counted from `snapshot_index`.
        while self._replica.node.snapshot_index < header.index:
            clock.sleep(0.005)

    def _encode(self) -> bytes:
        header = self._applier.header()
        return bytes(tpool.execute(snapshot.encode, header, self._applier.state))
