"""Input events and output effects of the replication core."""

import attrs

from bilberrydrum.state import log, membership, messages


@attrs.frozen
class Tick:
    """Time has passed."""


@attrs.frozen
class Received:
    """A message of another replica was received from `address`."""

    address: str
    message: messages.PeerMessage


@attrs.frozen
class Synced:
    """All writes up to `number` are synced to disk."""

    number: int


@attrs.frozen
class Propose:
    """Commands to be replicated, as pairs of an entry kind and its data."""

    items: tuple[tuple[int, bytes], ...]
    # This process's wall clock in seconds.
    wall_time: float
    # Returned with `Accepted` or `NotLeader`.
    ticket: int = 0


@attrs.frozen
class ProposeChange:
    """A membership change is requested."""

    change: membership.Change
    wall_time: float
    ticket: int = 0


@attrs.frozen
class SnapshotSaved:
    """The local snapshot up to `index` is synced to disk."""

    index: int
    n_bytes: int


@attrs.frozen
class BootstrapGroup:
    """Start a new group; no other process holds data of one."""

    membership: membership.Membership


@attrs.frozen
class TransferLeadership:
    """Stop leading and let another voter start an election.

    Used before the process stops, and before the leader encodes a large snapshot.
    """


Event = (
    Tick
    | Received
    | Synced
    | Propose
    | ProposeChange
    | SnapshotSaved
    | BootstrapGroup
    | TransferLeadership
)


@attrs.frozen
class Send:
    """Send `message` to the replica at `address`."""

    address: str
    message: messages.PeerMessage


@attrs.frozen
class HardState:
    """The term and vote, which must survive a restart (Raft's hard state)."""

    term: int = 0
    voted_for: str = ""


@attrs.frozen
class Write:
    """Write to the log and sync; `Synced(number)` reports completion.

    Entries replace those with the same or a higher index.
    """

    number: int
    hard_state: HardState
    entries: tuple[log.Entry, ...] = ()


@attrs.frozen
class SaveSnapshot:
    """Save a snapshot received from the leader; `Synced(number)` reports completion.

    Entries after the snapshot are removed unless `keeps_log`.
    """

    number: int
    index: int
    data: bytes
    keeps_log: bool


@attrs.frozen
class Restore:
    """Replace the applied state by that of a received snapshot, which is saved."""

    index: int
    data: bytes


@attrs.frozen
class Commit:
    """The entries are committed and are to be applied in order."""

    entries: tuple[log.Entry, ...]


@attrs.frozen
class SendChunk:
    """Send the chunk of the local snapshot at `offset` to a follower."""

    address: str
    receiver_id: str
    term: int
    index: int
    offset: int
    sent_at: float


@attrs.frozen
class DropLog:
    """Entries up to `index` may be removed from disk."""

    index: int


@attrs.frozen
class Accepted:
    """The proposals of `ticket` were appended from `first_index` on."""

    ticket: int
    first_index: int
    term: int


@attrs.frozen
class NotLeader:
    """The proposals of `ticket` were not appended: this replica does not lead."""

    ticket: int


@attrs.frozen
class ChangeRefused:
    """The membership change of `ticket` was refused."""

    ticket: int
    detail: str


@attrs.frozen
class RoleChanged:
    """The replica became the leader or stopped leading."""

    term: int
    is_leader: bool


Effect = (
    Send
    | Write
    | SaveSnapshot
    | Restore
    | Commit
    | SendChunk
    | DropLog
    | Accepted
    | NotLeader
    | ChangeRefused
    | RoleChanged
)
