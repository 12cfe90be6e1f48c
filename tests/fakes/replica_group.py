"""A group of replication cores with fake disks, clocks and network, and its checks.

The test or its random numbers determine everything that happens: which message is
delivered, lost, duplicated or delayed, when a sync completes, and which host crashes or
is suspended. After each step the group checks its invariants, and raises AssertionError
if one is violated.
"""

import collections
import contextlib
import random
import uuid
from collections.abc import Iterator, Sequence
from unittest import mock

import attrs

from bilberrydrum import codec
from bilberrydrum.state import (
    applier,
    core,
    disk,
    events,
    log,
    membership,
    membership_planner,
    membership_task,
    messages,
    node,
    sessions,
    snapshot,
    storage,
)
from tests.fakes import files, group_hosts, group_invariants, trace

FOLDER = "data"
MAX_PACKETS = 300
SETTINGS = node.Settings(
    heartbeat=0.1,
    election_timeout=0.6,
    drift_margin=0.05,
    max_append_entries=4,
    max_appends_in_flight=3,
    snapshot_chunk_bytes=200,
    n_kept_entries=5,
)


@attrs.frozen
class Packet:
    sender: str
    receiver: str
    message: messages.PeerMessage


@attrs.define
class Client:
    """A client that sends each command until it receives the answer."""

    name: str
    session_id: int = 0
    last_number: int = 0
    answers_by_number: dict[int, int] = attrs.field(factory=dict)


class Group:
    """The hosts, the network between them, and the checks."""

    def __init__(self, n_hosts: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 1000.0
        self.hosts_by_name: dict[str, group_hosts.Host] = {}
        self.packets: list[Packet] = []
        self.cuts: set[tuple[str, str]] = set()
        self.clients = [Client("c0"), Client("c1")]
        self.n_steps = 0
        self.invariants = group_invariants.Invariants()
        self._tickets: dict[int, tuple[Client, int]] = {}
        self._waiting: dict[tuple[str, int], tuple[int, Client, int]] = {}
        self._last_ticket = 0
        for i in range(n_hosts):
            self.add_host(f"h{i}")
        self._bootstrap(n_hosts)

    # Hosts

    def add_host(self, name: str) -> group_hosts.Host:
        rate = self.random.uniform(-0.02, 0.02)
        host = group_hosts.Host(
            name, files.FakeFiles(), rate, self.random.uniform(0, 1000)
        )
        self.hosts_by_name[name] = host
        self.start(host)
        return host

    def _bootstrap(self, n_hosts: int) -> None:
        first = membership.Membership(
            tuple(
                membership.ReplicaInfo(
                    host.replica_core.node.replica_id, host.name, host.name
                )
                for host in list(self.hosts_by_name.values())[:n_hosts]
            )
        )
        self.step(self.hosts_by_name["h0"], events.BootstrapGroup(first))

    def time_at(self, host: group_hosts.Host) -> float:
        return host.offset + self.now * (1.0 + host.rate)

    def start(self, host: group_hosts.Host) -> None:
        host.store = storage.Storage(host.disk, FOLDER, 2_000)
        with self._seeded_ids():
            recovered, data = host.store.open()
        host.applied = applier.Applier()
        if data:
            host.applied.restore(data)
        host.replica_core = core.Core(
            SETTINGS, recovered, random.Random(self.random.random()), self.time_at(host)
        )
        host.jobs = []
        host.is_up = True
        host.is_suspended = False
        host.n_starts += 1

    def crash(self, host: group_hosts.Host) -> None:
        """Cut the power of a host, possibly in the middle of a write."""
        if host.jobs and self.random.random() < 0.5:
            self.stop_writing(host, self.random.randrange(4))
        share = self.random.choice((0.0, 0.5, 1.0))
        garbled, names = self.random.random() < 0.3, self.random.random() < 0.5
        host.disk.lose_power(files.Leftover(share, garbled, names))
        host.is_up = False
        for key in [each for each in self._waiting if each[0] == host.name]:
            del self._waiting[key]

    def stop_writing(self, host: group_hosts.Host, n_operations: int) -> None:
        """Run at most `n_operations` file operations of a host's pending writes."""
        host.disk.fails_at = host.disk.n_operations + n_operations
        with contextlib.suppress(files.PowerLostError):
            self._write(host, host.jobs)

    def _write(self, host: group_hosts.Host, jobs: Sequence[object]) -> None:
        with self._seeded_ids():
            disk.carry_out(host.store, jobs)

    @contextlib.contextmanager
    def _seeded_ids(self) -> Iterator[None]:
        """Draw the ids and salts of a storage from the schedule's random numbers.

        Replica ids determine the order in which voters start elections. If they
        differed between runs, no seed would reproduce its schedule.
        """
        with (
            mock.patch.object(storage.uuid, "uuid4", self._draw_id),
            mock.patch.object(storage.os, "urandom", self.random.randbytes),
        ):
            yield

    def _draw_id(self) -> uuid.UUID:
        return uuid.UUID(int=self.random.getrandbits(128), version=4)

    def lose_disk(self, host: group_hosts.Host) -> None:
        """Restart the host with an empty disk under its old name and address."""
        self.crash(host)
        host.disk = files.FakeFiles()
        self.start(host)

    # Steps

    def step(self, host: group_hosts.Host, event: object) -> None:
        """Pass an event to a host's core, carry out the effects, and check."""
        trace.note(self.now, host.name, event)
        effects = host.replica_core.step(self.time_at(host), event)
        n_before = len(self.packets)
        for effect in effects:
            self._carry_out(host, effect)
        # A leader keeps its peers in the order of a set, which differs between
        # processes. The sort keeps the order of messages to one receiver; the ids are
        # random, so it favours no host.
        sent = self.packets[n_before:]
        sent.sort(key=lambda packet: packet.message.receiver_id)
        self.packets[n_before:] = sent
        self.n_steps += 1
        self.check()

    def _carry_out(self, host: group_hosts.Host, effect: object) -> None:
        if isinstance(effect, events.Send):
            self.packets.append(Packet(host.name, effect.address, effect.message))
        elif isinstance(effect, events.Write | events.SaveSnapshot | events.DropLog):
            if isinstance(effect, events.Write):
                self.invariants.check_written(host.replica_core.node.log, effect)
            host.jobs.append(effect)
        elif isinstance(effect, events.Commit):
            for entry in effect.entries:
                self._commit(host, entry)
        elif isinstance(effect, events.Restore):
            host.applied.restore(effect.data)
        elif isinstance(effect, events.SendChunk):
            self._send_chunk(host, effect)
        elif isinstance(effect, events.Accepted):
            placed = self._tickets.pop(effect.ticket, None)
            if placed:
                key = (host.name, effect.first_index)
                self._waiting[key] = (effect.term, *placed)

    def _commit(self, host: group_hosts.Host, entry: log.Entry) -> None:
        trace.note(host.name, entry)
        self.invariants.check_committed(entry)
        applied = host.applied.apply(entry)
        self.invariants.check_effects(host.applied.state)
        waiting = self._waiting.pop((host.name, entry.index), None)
        if waiting is None or applied is None or waiting[0] != entry.term:
            return
        _, client, number = waiting
        if entry.kind == log.KIND_OPEN_SESSION:
            client.session_id = client.session_id or entry.index
        elif applied.answer is not None:
            version = codec.decode(applied.answer).version
            first = client.answers_by_number.setdefault(number, version)
            self.invariants.check_answer(first, version)

    @property
    def n_commits(self) -> int:
        return self.invariants.n_commits

    @property
    def n_elections(self) -> int:
        return self.invariants.n_elections

    def _send_chunk(self, host: group_hosts.Host, effect: events.SendChunk) -> None:
        state = host.replica_core.node
        data = host.store.read_snapshot(
            effect.index, effect.offset, SETTINGS.snapshot_chunk_bytes
        )
        if not data or state.snapshot_index != effect.index:
            return
        chunk = messages.SnapshotChunk(
            sender_id=state.replica_id,
            receiver_id=effect.receiver_id,
            term=effect.term,
            index=effect.index,
            offset=effect.offset,
            n_total_bytes=state.snapshot_bytes,
            data=data,
            sent_at=effect.sent_at,
        )
        self.packets.append(Packet(host.name, effect.address, chunk))

    def sync(self, host: group_hosts.Host) -> None:
        """Run a host's pending writes and report their sync."""
        jobs, host.jobs = host.jobs, []
        if not jobs:
            return
        self._write(host, jobs)
        numbers = [each.number for each in jobs if hasattr(each, "number")]
        if numbers:
            self.step(host, events.Synced(max(numbers)))

    def make_snapshot(self, host: group_hosts.Host) -> None:
        header = host.applied.header()
        if (
            header.index <= host.replica_core.node.snapshot_index
            or host.replica_core.node.installing
        ):
            return
        data = snapshot.encode(header, host.applied.state)
        host.store.save_snapshot(header.index, data)
        self.step(host, events.SnapshotSaved(header.index, len(data)))

    def submit(self, client: Client, host: group_hosts.Host, number: int = 0) -> None:
        """Send a client's next command, or retry one without an answer, at a host."""
        if not client.session_id:
            item = (log.KIND_OPEN_SESSION, client.name.encode())
        else:
            pending = [
                each
                for each in range(1, client.last_number + 1)
                if each not in client.answers_by_number
            ]
            if not number and (not pending or self.random.random() < 0.5):
                client.last_number += 1
                pending.append(client.last_number)
            number = number or self.random.choice(pending)
            packed = sessions.SessionCommand(
                client.name,
                client.session_id,
                number,
                min(pending),
                codec.encode(group_invariants.Roll(client.name, number)),
            )
            item = (log.KIND_SESSION, sessions.pack(packed))
        self._last_ticket += 1
        self._tickets[self._last_ticket] = (client, number)
        self.step(host, events.Propose((item,), self.now, self._last_ticket))

    def apply_due_change(self) -> None:
        """Make the membership change that a leader considers due."""
        for host in self.leaders():
            due = self.due_change(host)
            if due is not None:
                self.change(host, due)

    def leaders(self) -> Iterator[group_hosts.Host]:
        """Yield the running hosts whose core has the leader role."""
        for host in self.hosts_by_name.values():
            if self._runs(host) and isinstance(
                host.replica_core.node.role, node.Leader
            ):
                yield host

    def due_change(
        self,
        leader: group_hosts.Host,
        policy: membership_planner.Policy = membership_planner.NO_BOUND,
    ) -> membership.Change | None:
        """Return the membership change that a leader considers due."""
        state = leader.replica_core.node
        assert isinstance(state.role, node.Leader)
        return membership_planner.next_change(
            state.members,
            group_hosts.joining(self.hosts_by_name.values()),
            membership_task.replica_progress_by_id(state, state.role),
            state.commit_index,
            policy,
        )

    def change(self, host: group_hosts.Host, change: membership.Change) -> None:
        self.step(host, events.ProposeChange(change, self.now, 0))

    def transfer_leadership(self, host: group_hosts.Host) -> None:
        if self._runs(host):
            self.step(host, events.TransferLeadership())

    def deliver(self, position: int) -> None:
        """Deliver one message in flight, if its receiver is reachable."""
        packet = self.packets.pop(position)
        receiver = self.hosts_by_name.get(packet.receiver)
        if receiver is None or not receiver.is_up:
            return
        if (packet.sender, packet.receiver) in self.cuts:
            return
        if receiver.is_suspended:
            # The message waits in the receiver's socket, whose queue is bounded.
            if len(self.packets) < MAX_PACKETS:
                self.packets.append(packet)
            return
        self.step(receiver, events.Received(packet.sender, packet.message))

    def run(
        self,
        seconds: float,
        loss: float = 0.0,
        doubling: float = 0.0,
        is_ordered: bool = False,
        crashes: float = 0.0,
    ) -> None:
        """Let time pass, with messages delivered in random order.

        `loss` and `doubling` are probabilities per message, `crashes` is one per host
        and step.
        """
        end = self.now + seconds
        sync_shares = {
            name: self.random.choice((0.9, 0.9, 0.2)) for name in self.hosts_by_name
        }
        while self.now < end:
            self.now += 0.02
            hosts = [each for each in self.hosts_by_name.values() if self._runs(each)]
            self.random.shuffle(hosts)
            for host in hosts:
                self.step(host, events.Tick())
                if self.random.random() < sync_shares[host.name]:
                    self.sync(host)
                if self.random.random() < crashes:
                    self.crash(host)
                    self.start(host)
            if hosts and self.random.random() < 0.3:
                self.submit(self.random.choice(self.clients), self.random.choice(hosts))
            if self.random.random() < 0.2:
                self.apply_due_change()
            self._deliver_some(loss, doubling, is_ordered)

    def _runs(self, host: group_hosts.Host) -> bool:
        return host.is_up and not host.is_suspended

    def _deliver_some(self, loss: float, doubling: float, is_ordered: bool) -> None:
        for _ in range(len(self.packets)):
            if not self.packets:
                return
            i = 0 if is_ordered else self.random.randrange(len(self.packets))
            if not is_ordered and self.random.random() < 0.2:
                continue
            if self.random.random() < loss:
                self.packets.pop(i)
                continue
            # Packets for a suspended host are kept, so their number must be bounded.
            if len(self.packets) < MAX_PACKETS and self.random.random() < doubling:
                self.packets.append(self.packets[i])
            self.deliver(i)

    # Checks

    def leader(self) -> group_hosts.Host | None:
        """Return the host that holds the leader lease."""
        for host in self.hosts_by_name.values():
            if host.is_up and self._has_lease(host):
                return host
        return None

    def _has_lease(self, host: group_hosts.Host) -> bool:
        now = self.time_at(host)
        return host.replica_core.lease_end(now) > now

    def check(self) -> None:
        """Check the invariants."""
        leading = [
            each.replica_core.node
            for each in self.hosts_by_name.values()
            if each.is_up and isinstance(each.replica_core.node.role, node.Leader)
        ]
        self.invariants.check_leaders(leading)
        for host in self.hosts_by_name.values():
            if host.is_up and self._has_lease(host):
                self.invariants.check_read(host.applied.state)

    def check_durable(self) -> None:
        """Check that all committed entries survive a power cut of all hosts at once."""
        for host in self.hosts_by_name.values():
            if host.is_up:
                self.crash(host)
        for host in self.hosts_by_name.values():
            self.start(host)
        held = collections.Counter[int]()
        for host in self.hosts_by_name.values():
            state = host.replica_core.node
            info = state.members.find(state.replica_id)
            if info is not None and info.is_voter:
                held.update(i for i in range(1, state.log.last_index + 1))
        assert len(self.hosts_by_name) < 3 or all(
            held[i] >= 2 for i in range(1, self.n_commits + 1)
        ), "a committed entry is on fewer disks than a majority"
