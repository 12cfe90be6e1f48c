"""The data of one replica's core, and the operations shared by all its roles.

`election`, `leader` and `follower` contain the logic of the roles; `core` passes events
to them. Nothing here reads a clock, a socket or a disk.
"""

import collections
import random
from typing import Any, Final

import attrs

from bilberrydrum import codec
from bilberrydrum.state import events, log, membership, messages

# Random delay added to a voter's election deadline, as a share of the heartbeat.
# Without it, voters that missed one another's requests would collide again each time.
# The rest of the heartbeat is left for the election: two round trips and two syncs.
_ELECTION_JITTER: Final = 0.5


@attrs.frozen
class Settings:
    """Timing of the group, in seconds, and limits on message sizes."""

    heartbeat: float = 0.1
    election_timeout: float = 0.6
    # Share by which a lease is shortened to allow for clocks that run at different
    # rates.
    drift_margin: float = 0.05
    # Maximum number of entries, and approximate maximum of bytes, in one `Append`.
    max_append_entries: int = 512
    max_append_bytes: int = 512 * 1024
    # Maximum number of unacknowledged `Append` messages to one follower.
    max_appends_in_flight: int = 8
    snapshot_chunk_bytes: int = 256 * 1024
    # Entries kept before a snapshot, so that a follower that is slightly behind does
    # not need the snapshot.
    n_kept_entries: int = 2_000


@attrs.frozen
class Recovered:
    """The data that a replica read from its disk."""

    replica_id: str
    hard_state: events.HardState = attrs.field(factory=events.HardState)
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot_time: float = 0.0
    snapshot_bytes: int = 0
    members: membership.Membership = attrs.field(factory=membership.Membership)
    entries: tuple[log.Entry, ...] = ()


@attrs.define
class Follower:
    """The role of a replica that follows a leader or waits for one."""

    leader_id: str = ""
    leader_address: str = ""


@attrs.define
class Candidate:
    """The role of a replica that requests votes."""

    is_pre_vote: bool
    granted_ids: set[str] = attrs.field(factory=set)
    # The previous leader asked this replica to start the election.
    is_transfer: bool = False


@attrs.define
class Progress:
    """What the leader knows about another replica."""

    next_index: int
    match_index: int = 0
    # Sending time, by the leader's clock, of the newest message that it acknowledged.
    acknowledged_at: float = float("-inf")
    # When the leader last received a message from it.
    last_contact_at: float = float("-inf")
    # Last index of each unacknowledged `Append`.
    in_flight: collections.deque[int] = attrs.field(factory=collections.deque)
    # Whether a reply has confirmed an index up to which the logs match.
    is_matched: bool = False
    # Offset of the snapshot chunk being sent; None if no snapshot is being sent.
    snapshot_offset: int | None = None
    snapshot_index: int = 0
    # When the last snapshot chunk was sent.
    chunk_sent_at: float = 0.0


@attrs.define
class Leader:
    """The role of the replica that accepts commands."""

    since: float
    # Index of the first entry of its term.
    first_index: int
    # Lower bound of entry times: `base_time` at monotonic time `since`, rising at the
    # rate of the monotonic clock.
    base_time: float
    progress_by_id: dict[str, Progress] = attrs.field(factory=dict)
    next_heartbeat: float = float("-inf")


Role = Follower | Candidate | Leader


@attrs.define
class CountOwnVote:
    """Count the candidate's own vote; deferred until that vote is synced."""

    term: int


@attrs.define
class PartialSnapshot:
    """A snapshot that is being received in chunks."""

    sender_id: str
    index: int
    data: bytearray = attrs.field(factory=bytearray)


class Node:
    """The data of one replica's core."""

    def __init__(
        self,
        settings: Settings,
        recovered: Recovered,
        rng: random.Random,
        now: float,
    ) -> None:
        self.settings = settings
        self.replica_id = recovered.replica_id
        self.term = recovered.hard_state.term
        self.voted_for = recovered.hard_state.voted_for
        self.log = log.Log(
            recovered.snapshot_index,
            recovered.snapshot_term,
            recovered.snapshot_time,
            recovered.entries,
        )
        self.snapshot_index = recovered.snapshot_index
        self.snapshot_bytes = recovered.snapshot_bytes
        self.commit_index = recovered.snapshot_index
        self.role: Role = Follower()
        self.partial_snapshot: PartialSnapshot | None = None
        # A received snapshot that is not synced yet, with the number of its write. No
        # entries are accepted meanwhile.
        self.installing: tuple[int, events.SaveSnapshot] | None = None
        self.now = now
        # A replica that restarts may have acknowledged a leader's message just before.
        # The start counts as contact with a leader, so that this replica does not vote
        # for another one while the lease based on that acknowledgement may be valid.
        self.leader_contact_at = now
        # Whether this incarnation has received a message from a leader.
        self.has_leader_contact = False
        # Voters that replied to this incarnation that they do not lead.
        self.not_leading_ids: set[str] = set()
        self.start_number = rng.getrandbits(62)
        self.next_query_at = now
        self.rng = rng
        self.effects: list[Any] = []
        # Memberships with the index of the entry that defined each, oldest first.
        self._memberships = [(recovered.snapshot_index, recovered.members)]
        self._record_memberships(recovered.entries)
        self.election_deadline = 0.0
        self.reset_election_deadline()
        self._write_number = 0
        self._synced_number = 0
        self._durable_term = self.term
        # Number, last log index and term of each write that is not synced yet.
        self._writes: collections.deque[list[int]] = collections.deque()
        self._durable_index = self.log.last_index
        self._held: collections.deque[tuple[int, Any]] = collections.deque()

    # Membership

    @property
    def members(self) -> membership.Membership:
        """The newest membership in the log, whether committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """The index of the entry that defined the newest membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> membership.Membership:
        """Return the membership in force at log index `index`."""
        current = self._memberships[0][1]
        for made_at, each in self._memberships:
            if made_at <= index:
                current = each
        return current

    def _record_memberships(self, entries: tuple[log.Entry, ...]) -> None:
        for entry in entries:
            if entry.kind == log.KIND_MEMBERSHIP:
                self._memberships.append((entry.index, codec.decode(entry.data)))

    def is_voter(self) -> bool:
        """Return whether this replica is a voter of the newest membership."""
        info = self.members.find(self.replica_id)
        return info is not None and info.is_voter

    # Writes

    @property
    def durable_index(self) -> int:
        """The index of the last entry that is synced to this replica's disk."""
        return self._durable_index

    def is_term_durable(self) -> bool:
        """Return whether the current term is synced to disk."""
        return self._durable_term == self.term

    def write(self, entries: tuple[log.Entry, ...] = ()) -> None:
        """Request a write of the hard state and `entries`, already in the log."""
        self._write_number += 1
        hard_state = events.HardState(self.term, self.voted_for)
        self.effects.append(events.Write(self._write_number, hard_state, entries))
        self._writes.append([self._write_number, self.log.last_index, self.term])

    def append(self, entries: tuple[log.Entry, ...]) -> None:
        """Append `entries` to the log and request that they are written."""
        self.log.append(entries)
        self._record_memberships(entries)
        self.write(entries)

    def truncate(self, last_index: int) -> None:
        """Remove the entries after `last_index`, which a later leader overwrites."""
        assert last_index >= self.commit_index, "a committed entry would be truncated"
        self.log.truncate(last_index)
        while self._memberships[-1][0] > last_index:
            self._memberships.pop()
        self._durable_index = min(self._durable_index, last_index)
        for write in self._writes:
            write[1] = min(write[1], last_index)

    def save_snapshot(
        self, index: int, term: int, time: float, data: bytes, info: Any
    ) -> None:
        """Request that a received snapshot is saved, and adjust the log to it."""
        keeps_log = self.log.term_at(index) == term
        self._write_number += 1
        effect = events.SaveSnapshot(self._write_number, index, data, keeps_log)
        self.effects.append(effect)
        if keeps_log:
            self.log.compact(index)
        else:
            self.log.reset(index, term, time)
            self._durable_index = min(self._durable_index, index)
            for write in self._writes:
                write[1] = min(write[1], index)
        kept = [each for each in self._memberships if each[0] > index]
        self._memberships = [(index, info), *(kept if keeps_log else ())]
        self._writes.append([self._write_number, self.log.last_index, self.term])
        self.snapshot_bytes = len(data)
        self.installing = (self._write_number, effect)

    def hold(self, effect: Any) -> None:
        """Emit `effect` once all writes requested so far are synced.

        If a vote or an entry were acknowledged before its sync, a power loss would
        erase it, and another leader could be elected in the term or another entry
        committed at the index.
        """
        if self._synced_number >= self._write_number:
            self.release(effect)
        else:
            self._held.append((self._write_number, effect))

    def record_synced(self, number: int) -> list[Any]:
        """Record that writes up to `number` are synced; return the deferred effects."""
        self._synced_number = max(self._synced_number, number)
        while self._writes and self._writes[0][0] <= number:
            _, last_index, self._durable_term = self._writes.popleft()
            self._durable_index = last_index
        released = []
        while self._held and self._held[0][0] <= number:
            released.append(self._held.popleft()[1])
        return released

    def release(self, effect: Any) -> None:
        """Emit an effect that was deferred; the core handles `CountOwnVote`."""
        self.effects.append(effect)

    # Time and roles

    def reset_election_deadline(self) -> None:
        """Restart the election timeout.

        The voters' deadlines are staggered, so that each voter can win before the next
        one starts an election. Two candidates at once would split the votes, and the
        group would wait for another timeout. Random deadlines spread over a second
        timeout would delay the first candidate by a third of a timeout.
        """
        self.schedule_election(self.settings.election_timeout)

    def schedule_election(self, seconds: float) -> None:
        """Start an election after `seconds` plus this replica's staggered delay."""
        rank = self._election_rank() + _ELECTION_JITTER * self.rng.random()
        self.election_deadline = self.now + seconds + rank * self.settings.heartbeat

    def _election_rank(self) -> int:
        """Return how many voters other than the leader start an election earlier."""
        leader_id = self.role.leader_id if isinstance(self.role, Follower) else ""
        others = (each for each in self.members.voter_ids() if each != leader_id)
        return sum(1 for each in others if each < self.replica_id)

    def become_follower(
        self, term: int, leader_id: str = "", leader_address: str = ""
    ) -> None:
        """Become a follower in `term`, which is not below the current one."""
        was_leader = isinstance(self.role, Leader)
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self.write()
        self.role = Follower(leader_id, leader_address)
        self.reset_election_deadline()
        if was_leader:
            self.effects.append(events.RoleChanged(self.term, False))

    def commit_to(self, index: int) -> None:
        """Advance the commit index to `index` and emit the entries to be applied."""
        if index <= self.commit_index:
            return
        entries = tuple(self.log.between(self.commit_index + 1, index))
        self.commit_index = index
        self.effects.append(events.Commit(entries))

    def send(self, address: str, message: messages.PeerMessage) -> None:
        """Send `message` without waiting for pending writes."""
        self.effects.append(events.Send(address, message))

    def compact(self, index: int, n_bytes: int) -> None:
        """Record a local snapshot up to `index` and drop entries well before it."""
        self.snapshot_index = index
        self.snapshot_bytes = n_bytes
        base = min(index, self.log.last_index) - self.settings.n_kept_entries
        if base > self.log.base_index:
            at_base = self.membership_at(base)
            self.log.compact(base)
            later = [each for each in self._memberships if each[0] > base]
            self._memberships = [(base, at_base), *later]
        self.effects.append(events.DropLog(index))
