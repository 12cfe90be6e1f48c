"""The replica task: carries out the effects of the replication core.

One task owns the core and reads its events from a queue, a second applies committed
entries, and a third, in `disk`, writes and syncs. All decisions are made by the core;
this module transfers messages and answers clients when their entries are applied.
"""

import random
from collections.abc import Callable, Mapping
from typing import Any, Final

import attrs
import eliot
import eventlet
import eventlet.event
import eventlet.queue
import result
from eventlet import tpool

from bilberrydrum import (
    clock,
    codec,
    counters,
    interfaces,
    options,
    reasons,
    tasks,
    transport,
)
from bilberrydrum.state import (
    applier,
    applying,
    client,
    client_requests,
    core,
    disk,
    events,
    files,
    joining,
    log,
    machine,
    membership,
    membership_task,
    messages,
    node,
    queries,
    serving,
    storage,
)

# A snapshot leaves one in this many of its entries in the log, so that a follower that
# is slightly behind does not need the snapshot.
_KEPT_DIVISOR: Final = 10
# Time for the last messages to be sent when the replica stops.
_HANDOVER_SECONDS: Final = 0.05
# Maximum time to wait for pending disk writes when the replica stops.
_STOP_SECONDS: Final = 5.0
# Failure text of a replica that its group has replaced.
REMOVED: Final = "removed from the group"
# Number of events that the core processes before other tasks run.
_EVENT_SLICE: Final = 256


@attrs.frozen
class LeaderHint:
    """The addresses at which the group's leader may be found."""

    # Empty if the leader is not known.
    leader_address: str = ""
    # Addresses of all members.
    addresses: tuple[str, ...] = ()


class Replica:
    """The replica of the state group in this process."""

    def __init__(self, opts: options.Options, carrier: transport.Transport) -> None:
        self._options = opts
        self._carrier = carrier
        self._settings = node.Settings(
            heartbeat=opts.state.heartbeat_seconds,
            election_timeout=opts.state.election_timeout_seconds,
            drift_margin=opts.state.drift_margin,
            n_kept_entries=opts.state.snapshot_entries // _KEPT_DIVISOR,
        )
        self._store = storage.Storage(files.DiskFiles(), opts.state.data_folder)
        self._inbox: Any = eventlet.queue.Queue()
        self._applier = applier.Applier()
        self._disk = disk.DiskTask(self._store, self._inbox.put)
        self._changes_by_ticket: dict[int, eventlet.event.Event] = {}
        self._last_ticket = 0
        self._tasks: list[Any] = []
        self._failure = "not started"
        self._led_since = 0.0
        self._is_disk_fault = False
        self._role_watchers: list[Callable[[], None]] = []

    # Lifecycle

    def start(self) -> None:
        """Open the data folder and start participating in the group.

        Raises
        ------
        storage.DamageError
            If the data folder is damaged; the replica must not use it.
        """
        recovered, data = self._store.open()
        if data:
            self._applier.restore(data)
        self._core = core.Core(self._settings, recovered, random.Random(), clock.now())
        self._membership_task = membership_task.MembershipTask(
            self, self._carrier, self._options
        )
        self._joining = joining.Joining(
            self, self._options, self._carrier, self._membership_task
        )
        self._client_requests = client_requests.ClientRequests(
            self, self._carrier, self._applier, self._membership_task
        )
        self._apply = applying.ApplyTask(
            self,
            self._applier,
            self._client_requests,
            self._store,
            self._disk,
            self._options.state.snapshot_entries,
            random.Random(),
            self._options.state.max_log_bytes,
            self._options.state.handover_bytes,
        )
        self._listen()
        self._client_requests.listen()
        self._joining.listen()
        self._failure = ""
        for task in (self._run, self._apply.run, self._joining.run, self._disk.run):
            self._tasks.append(eventlet.spawn(self._guard, task))

    def stop(self) -> None:
        """Transfer the leadership and stop; does nothing before `start`."""
        if self._failure:
            # Not started, or already stopped by `_guard` with all its tasks.
            return
        self._carry_out(self._core.step(clock.now(), events.TransferLeadership()))
        self._client_requests.waiters.outbox.flush()
        clock.sleep(_HANDOVER_SECONDS)
        self._failure = "stopped"
        *others, disk_task = self._tasks
        for task in others:
            task.kill()
        # The disk task's thread may be writing. If the file were closed meanwhile, its
        # descriptor could refer to another file by the time of the write.
        self._disk.put(disk.Stop())
        with eventlet.Timeout(_STOP_SECONDS, False):
            disk_task.wait()
            self._store.close()
        self._tasks.clear()

    def _guard(self, task: Callable[[], None]) -> None:
        """Run a task; an error in it stops all tasks of the replica.

        If a replica kept answering after its disk failed, it would acknowledge entries
        that it cannot store. A stopped replica is replaced like a lost host.
        """
        try:
            task()
        except tasks.UNEXPECTED_ERRORS as error:
            self.fail(error)
            tasks.record_error("replica")
            for other in self._tasks:
                if other is not eventlet.getcurrent():
                    other.kill()

    def _listen(self) -> None:
        for message_class in (
            messages.VoteRequest,
            messages.VoteReply,
            messages.LeadershipQuery,
            messages.LeadershipReply,
            messages.Append,
            messages.AppendReply,
            messages.SnapshotChunk,
            messages.SnapshotReply,
            messages.TimeoutNow,
        ):
            self._carrier.on(message_class, self._on_peer)

    # Interface to the process (interfaces.Replica)

    def leadership(self) -> interfaces.Leadership | None:
        """Return the leadership if this replica holds the leader lease."""
        role = self.node.role if not self._failure else None
        if not isinstance(role, node.Leader) or not self.has_lease():
            return None
        # Committed entries may not be applied yet. A new leader that acted on its state
        # before that could serve an older bundle than its predecessor confirmed.
        if self._applier.index < role.first_index:
            return None
        return interfaces.Leadership(self._core.node.term, self._led_since)

    def state(self) -> machine.State:
        """Return the applied state; it must not be changed."""
        return self._applier.state

    def watch(self, callback: applier.Watcher) -> None:
        """Call `callback(command, answer)` after each command applied here."""
        self._applier.watch(callback)

    def watch_role(self, callback: Callable[[], None]) -> None:
        """Call `callback()` when this replica is elected or stops leading."""
        self._role_watchers.append(callback)

    def is_elected(self) -> bool:
        """Return whether this replica is elected; it may not hold the lease yet."""
        return not self._failure and isinstance(self.node.role, node.Leader)

    def propose(
        self, command: object, timeout: float = 5.0
    ) -> result.Result[Any, client.StateError]:
        """Commit `command` once and return the answer of its apply function."""
        began = clock.now()
        done = eventlet.event.Event()
        waiter = serving.Waiter(0, command, done=done.send)
        self._client_requests.propose(
            [(log.KIND_LOCAL, codec.encode(command))], [waiter]
        )
        with eventlet.Timeout(timeout, False):
            applied = done.wait()
            if applied is None:
                return result.Err(
                    client.StateError(reasons.Reason.STATE_UNAVAILABLE, False)
                )
            if isinstance(applied, serving.Skipped):
                return result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE))
            if isinstance(applied.value, messages.Failed):
                return result.Err(
                    client.StateError(
                        reasons.Reason.INTERNAL_ERROR, True, applied.value.detail
                    )
                )
            counters.COMMIT_SECONDS.observe(clock.now() - began)
            return result.Ok(applied.value)
        return result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE))

    def change_members(
        self, change: membership.Change, timeout: float = 5.0
    ) -> str | None:
        """Make one membership change; return why it failed, or None."""
        done = eventlet.event.Event()
        ticket = self.next_ticket()
        self._changes_by_ticket[ticket] = done
        self._inbox.put(events.ProposeChange(change, serving.wall_time(), ticket))
        with eventlet.Timeout(timeout, False):
            refusal: str | None = done.wait()
            return refusal
        self._changes_by_ticket.pop(ticket, None)
        return "the change was not committed in time"

    @property
    def node(self) -> node.Node:
        """The core's data, for reading."""
        return self._core.node

    def status(self) -> queries.Status:
        """Return the state of the group as seen by this replica."""
        return membership_task.status(
            self._core,
            self._applier.index,
            self._membership_task.pending_change,
            self._failure,
        )

    def has_lease(self) -> bool:
        """Return whether this replica holds the leader lease."""
        now = clock.now()
        return not self._failure and self._core.lease_end(now) > now

    @property
    def failure(self) -> str:
        """Why the replica has stopped; empty if it is running."""
        return self._failure

    def save(self, request: serving.SnapshotQuery) -> None:
        """Queue a request to encode the state and answer the query for it."""
        self._apply.put(request)

    def put(self, event: Any) -> None:
        """Pass an event to the core."""
        self._inbox.put(event)

    # The core's task

    def _run(self) -> None:
        interval = self._settings.heartbeat / 2
        next_tick = clock.now()
        while True:
            event = None
            with eventlet.Timeout(max(next_tick - clock.now(), 0.001), False):
                event = self._inbox.get()
            now = clock.now()
            n_events = 0
            while event is not None:
                self._carry_out(self._core.step(now, event))
                n_events += 1
                if n_events >= _EVENT_SLICE or self._inbox.empty():
                    break
                event = self._inbox.get()
            if now >= next_tick:
                next_tick = now + interval
                self._carry_out(self._core.step(now, events.Tick()))
                self._client_requests.expire_reads(now)
            self._client_requests.serve_reads()
            eventlet.sleep(0)

    def _carry_out(self, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, events.Send):
                self._carrier.send(effect.address, effect.message)
            elif isinstance(
                effect, events.Write | events.SaveSnapshot | events.DropLog
            ):
                self._disk.put(effect)
            elif isinstance(effect, events.Commit | events.Restore):
                self._apply.put(effect)
            elif isinstance(effect, events.SendChunk):
                eventlet.spawn(self._send_chunk, effect)
            elif isinstance(effect, events.RoleChanged):
                self._on_role(effect)
            else:
                self._on_proposal_result(effect)

    def _on_role(self, effect: events.RoleChanged) -> None:
        self._led_since = clock.now()
        eliot.log_message(
            message_type="state:role", term=effect.term, is_leader=effect.is_leader
        )
        if not effect.is_leader:
            self._client_requests.redirect_reads()
        for callback in self._role_watchers:
            callback()

    def _on_proposal_result(self, effect: Any) -> None:
        """Pass on the result of a proposal."""
        change = self._changes_by_ticket.pop(effect.ticket, None)
        if change is not None:
            self._on_change_result(effect, change)
        else:
            self._client_requests.handle_proposal_result(effect)

    def _on_change_result(self, effect: Any, change: eventlet.event.Event) -> None:
        if isinstance(effect, events.Accepted):
            # The result is reported once the entry is applied, as for a command.
            waiter = serving.Waiter(effect.term, done=_change_callback(change))
            self._client_requests.waiters.add(effect.first_index, waiter)
        elif isinstance(effect, events.ChangeRefused):
            change.send(effect.detail)
        else:
            change.send("this replica does not lead")

    def _send_chunk(self, effect: events.SendChunk) -> None:
        size = self._settings.snapshot_chunk_bytes
        data = tpool.execute(
            self._store.read_snapshot, effect.index, effect.offset, size
        )
        if not data:
            return
        chunk = messages.SnapshotChunk(
            sender_id=self.node.replica_id,
            receiver_id=effect.receiver_id,
            term=effect.term,
            index=effect.index,
            offset=effect.offset,
            n_total_bytes=self.node.snapshot_bytes,
            data=data,
            sent_at=effect.sent_at,
        )
        if self.node.snapshot_index == effect.index:
            self._carrier.send(effect.address, chunk)

    # Messages

    def next_ticket(self) -> int:
        """Return a new number that identifies a proposal."""
        self._last_ticket += 1
        return self._last_ticket

    def _on_peer(self, sender: transport.Sender, message: messages.PeerMessage) -> None:
        if not self._failure:
            self._inbox.put(events.Received(sender.address, message))

    # Bootstrap and membership

    def on_removed(self) -> None:
        """Stop participating, because the group has replaced this replica.

        Its process may join again as a new replica once the folder is emptied.
        """
        eliot.log_message(message_type="state:removed", replica_id=self.node.replica_id)
        self._failure = REMOVED

    def fail(self, error: Exception) -> None:
        """Stop participating because of `error`."""
        self._failure = f"{type(error).__name__}: {error}"
        self._is_disk_fault = isinstance(error, OSError)

    def is_waiting_for_disk(self) -> bool:
        """Return whether a disk fault stopped this replica and writes still fail."""
        return self._is_disk_fault and not tpool.execute(self._store.accepts_writes)

    def discard(self) -> None:
        """Mark the data folder to be emptied when it is next opened.

        Used for a replica that was removed or whose folder is damaged. Its process
        then joins again under a new replica id, so that it acknowledges nothing that it
        lost.
        """
        eliot.log_message(message_type="state:discarded", detail=self._failure)
        tpool.execute(self._store.discard)

    def learn(self, addresses: tuple[str, ...]) -> None:
        """Record addresses of processes that may be members of the group."""
        if not self._failure:
            self._joining.learn(addresses)

    def replace_processes(self, process_ids: frozenset[str]) -> None:
        """Replace the replicas of these processes while this replica leads."""
        self._membership_task.leaving_process_ids = process_ids

    def spread_over(self, zones_by_process_id: Mapping[str, str]) -> None:
        """Replace lost replicas in the zones with the fewest replicas."""
        self._membership_task.zones_by_process_id = zones_by_process_id

    def leader_hint(self) -> LeaderHint:
        """Return the presumed leader's address and all members' addresses."""
        if self._failure:
            return LeaderHint()
        role = self.node.role
        address = role.leader_address if isinstance(role, node.Follower) else ""
        members = tuple(each.peer_address for each in self.node.members.replicas)
        return LeaderHint(address, members)


def _change_callback(
    change_done: eventlet.event.Event,
) -> Callable[[serving.EntryOutcome], None]:
    """Return a callback that reports the outcome of a change's entry."""

    def on_end(outcome: serving.EntryOutcome) -> None:
        is_applied = isinstance(outcome, applier.Applied)
        change_done.send(None if is_applied else "another leader took over")

    return on_end
