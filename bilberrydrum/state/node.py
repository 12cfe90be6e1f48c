"""The data of one replica's core, and the steps that all its roles share.

`election`, `leader` and `follower` hold the decisions; `core` hands them the events.
Nothing here reads a clock, a socket or a disk.
"""

import collections
import random
from typing import Any, Final

import attrs

from bilberrydrum import codec
from bilberrydrum.state import events, log, membership, messages

# A voter stands within this share of a heartbeat after its turn has come, so that those
# that missed one another's requests do not do so again and again. The rest of the
# heartbeat is for the election: two round trips and two syncs.
_TURN_SPREAD: Final = 0.5


@attrs.frozen
class Settings:
    """Timing of the group, in seconds, and limits on its messages."""

    heartbeat: float = 0.1
    election_timeout: float = 0.6
    # Share taken off a lease for clocks that run at unlike rates.
    drift_margin: float = 0.05
    # Most entries, and about the most bytes, in one `Append`.
    max_append_entries: int = 512
    max_append_bytes: int = 512 * 1024
    # Appends that may be under way to one follower.
    max_appends_in_flight: int = 8
    snapshot_chunk_bytes: int = 256 * 1024
    # Entries kept behind a snapshot, for followers that are a little late.
    n_kept_entries: int = 2_000


@attrs.frozen
class Recovered:
    """What a replica found on its disk."""

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
    """The role of a replica that hears a leader or waits for one."""

    leader_id: str = ""
    leader_address: str = ""


@attrs.define
class Candidate:
    """The role of a replica that asks for votes."""

    is_pre_vote: bool
    granted_ids: set[str] = attrs.field(factory=set)
    # The old leader asked this replica to stand.
    is_transfer: bool = False


@attrs.define
class Progress:
    """What the leader knows of one other replica."""

    next_index: int
    match_index: int = 0
    # When the last answered message to it was sent, by the leader's clock.
    acknowledged_at: float = float("-inf")
    # When it was last heard from.
    heard_at: float = float("-inf")
    # Last indexes of the Appends under way.
    in_flight: collections.deque[int] = attrs.field(factory=collections.deque)
    # Its log and the leader's are known to agree up to `next_index`.
    is_matched: bool = False
    # Offset of the snapshot part under way; None: no snapshot is being sent.
    snapshot_offset: int | None = None
    snapshot_index: int = 0
    # When the snapshot part under way was sent.
    chunk_sent_at: float = 0.0


@attrs.define
class Leader:
    """The role of the replica that takes commands."""

    since: float
    # Index of the first entry of its term.
    first_index: int
    # Wall clock to stamp entries with: `base_time` at monotonic time `since`.
    base_time: float
    progress_by_id: dict[str, Progress] = attrs.field(factory=dict)
    next_heartbeat: float = float("-inf")


Role = Follower | Candidate | Leader


@attrs.define
class CountOwnVote:
    """Held back until the candidate's own vote is synced."""

    term: int


@attrs.define
class Assembly:
    """A snapshot that is being received."""

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
        self.assembly: Assembly | None = None
        # A received snapshot waits for its sync; entries are not taken meanwhile.
        self.installing: tuple[int, events.SaveSnapshot] | None = None
        self.now = now
        # A replica that restarts may have answered a leader just before: to keep the
        # lease that the answer gave, it counts as having heard a leader now.
        self.heard_at = now
        # A leader was heard from in this life.
        self.has_heard = False
        # Voters that said in this life that they do not lead.
        self.not_leading_ids: set[str] = set()
        self.start_number = rng.getrandbits(62)
        self.next_ask_at = now
        self.rng = rng
        self.effects: list[Any] = []
        # Memberships by the index of the entry that made them, oldest first.
        self._memberships = [(recovered.snapshot_index, recovered.members)]
        self._note_memberships(recovered.entries)
        self.election_deadline = 0.0
        self.reset_election_deadline()
        self._write_number = 0
        self._synced_number = 0
        self._durable_term = self.term
        # Last log index and term by write under way.
        self._writes: collections.deque[list[int]] = collections.deque()
        self._durable_index = self.log.last_index
        self._held: collections.deque[tuple[int, Any]] = collections.deque()

    # Membership

    @property
    def members(self) -> membership.Membership:
        """The newest membership in the log, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """The index of the entry that made the newest membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> membership.Membership:
        """Return the membership as of the log index `index`."""
        current = self._memberships[0][1]
        for made_at, each in self._memberships:
            if made_at <= index:
                current = each
        return current

    def _note_memberships(self, entries: tuple[log.Entry, ...]) -> None:
        for entry in entries:
            if entry.kind == log.KIND_MEMBERSHIP:
                self._memberships.append((entry.index, codec.decode(entry.data)))

    def is_voter(self) -> bool:
        """Tell whether this replica may stand for election."""
        info = self.members.find(self.replica_id)
        return info is not None and info.is_voter

    # Writes

    @property
    def durable_index(self) -> int:
        """The last index that this replica holds on disk, synced."""
        return self._durable_index

    def is_term_durable(self) -> bool:
        """Tell whether the current term is on disk."""
        return self._durable_term == self.term

    def write(self, entries: tuple[log.Entry, ...] = ()) -> None:
        """Have the hard state and `entries` written; the entries are in the log."""
        self._write_number += 1
        hard_state = events.HardState(self.term, self.voted_for)
        self.effects.append(events.Write(self._write_number, hard_state, entries))
        self._writes.append([self._write_number, self.log.last_index, self.term])

    def append(self, entries: tuple[log.Entry, ...]) -> None:
        """Add `entries` to the log and have them written."""
        self.log.append(entries)
        self._note_memberships(entries)
        self.write(entries)

    def truncate(self, last_index: int) -> None:
        """Forget the entries after `last_index`, of a leader that lost its term."""
        assert last_index >= self.commit_index, "a committed entry would be lost"
        self.log.truncate(last_index)
        while self._memberships[-1][0] > last_index:
            self._memberships.pop()
        self._durable_index = min(self._durable_index, last_index)
        for write in self._writes:
            write[1] = min(write[1], last_index)

    def save_snapshot(
        self, index: int, term: int, time: float, data: bytes, info: Any
    ) -> None:
        """Have a received snapshot saved; the log is cut to fit when it is synced."""
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
        """Let `effect` out once all writes so far are synced.

        A vote or an entry that is answered for before its sync is forgotten with the
        power, and another leader or another entry could then take its place.
        """
        if self._synced_number >= self._write_number:
            self.release(effect)
        else:
            self._held.append((self._write_number, effect))

    def synced(self, number: int) -> list[Any]:
        """Note that writes up to `number` are synced; return what was held for them."""
        self._synced_number = max(self._synced_number, number)
        while self._writes and self._writes[0][0] <= number:
            _, last_index, self._durable_term = self._writes.popleft()
            self._durable_index = last_index
        released = []
        while self._held and self._held[0][0] <= number:
            released.append(self._held.popleft()[1])
        return released

    def release(self, effect: Any) -> None:
        """Let out an effect that was held back; the core handles own votes."""
        self.effects.append(effect)

    # Time and roles

    def reset_election_deadline(self) -> None:
        """Put off standing for election until no leader was heard for long enough.

        Voters stand one after the other, so that each can win before the next one
        stands: two that ask at once share the votes, and the group waits once more.
        With times drawn from one more timeout the first stood a third of that later.
        """
        self.stand_after(self.settings.election_timeout)

    def stand_after(self, seconds: float) -> None:
        """Stand for election when it is this replica's turn after `seconds`."""
        turn = self._turn() + _TURN_SPREAD * self.rng.random()
        self.election_deadline = self.now + seconds + turn * self.settings.heartbeat

    def _turn(self) -> int:
        """Return how many voters stand before this one; the leader does not."""
        leader_id = self.role.leader_id if isinstance(self.role, Follower) else ""
        others = (each for each in self.members.voter_ids() if each != leader_id)
        return sum(1 for each in others if each < self.replica_id)

    def become_follower(
        self, term: int, leader_id: str = "", leader_address: str = ""
    ) -> None:
        """Follow in `term`, which is not below the current one."""
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
        """Let the entries up to `index` be applied."""
        if index <= self.commit_index:
            return
        entries = tuple(self.log.between(self.commit_index + 1, index))
        self.commit_index = index
        self.effects.append(events.Commit(entries))

    def send(self, address: str, message: messages.PeerMessage) -> None:
        """Send `message` now, whatever is being written."""
        self.effects.append(events.Send(address, message))

    def compact(self, index: int, n_bytes: int) -> None:
        """Note an own snapshot up to `index` and forget entries far behind it."""
        self.snapshot_index = index
        self.snapshot_bytes = n_bytes
        base = min(index, self.log.last_index) - self.settings.n_kept_entries
        if base > self.log.base_index:
            at_base = self.membership_at(base)
            self.log.compact(base)
            later = [each for each in self._memberships if each[0] > base]
            self._memberships = [(base, at_base), *later]
        self.effects.append(events.DropLog(index))
