"""What goes into the replication core and what comes out of it."""

import attrs

from bilberrydrum.state import log, membership, messages


@attrs.frozen
class Tick:
    """Time has passed."""


@attrs.frozen
class Received:
    """A message of another replica came in from `address`."""

    address: str
    message: messages.PeerMessage


@attrs.frozen
class Synced:
    """All writes up to `number` are on disk and synced."""

    number: int


@attrs.frozen
class Propose:
    """Commands to be replicated, as pairs of an entry kind and its data."""

    items: tuple[tuple[int, bytes], ...]
    # This process's wall clock in seconds.
    wall_time: float
    # Given back with `Accepted` or `NotLeader`.
    ticket: int = 0


@attrs.frozen
class ProposeChange:
    """A change of the membership is asked for."""

    change: membership.Change
    wall_time: float
    ticket: int = 0


@attrs.frozen
class SnapshotSaved:
    """The own snapshot up to `index` is on disk and synced."""

    index: int
    n_bytes: int


@attrs.frozen
class Found:
    """Start the group; the other processes hold nothing of it."""

    membership: membership.Membership


@attrs.frozen
class GiveUpLeadership:
    """The process is going to stop."""


Event = (
    Tick
    | Received
    | Synced
    | Propose
    | ProposeChange
    | SnapshotSaved
    | Found
    | GiveUpLeadership
)


@attrs.frozen
class Send:
    """Send `message` to the replica at `address`."""

    address: str
    message: messages.PeerMessage


@attrs.frozen
class HardState:
    """What a replica must not forget of the elections."""

    term: int = 0
    voted_for: str = ""


@attrs.frozen
class Write:
    """Write to the log and sync; then tell the core with `Synced(number)`.

    Entries replace those with the same or a higher index.
    """

    number: int
    hard_state: HardState
    entries: tuple[log.Entry, ...] = ()


@attrs.frozen
class SaveSnapshot:
    """Save a snapshot received from the leader, then tell with `Synced(number)`.

    Entries after the snapshot are forgotten unless `keeps_log`.
    """

    number: int
    index: int
    data: bytes
    keeps_log: bool


@attrs.frozen
class Restore:
    """Replace the applied state by that of a snapshot, now saved."""

    index: int
    data: bytes


@attrs.frozen
class Commit:
    """These entries are committed and to be applied, in order."""

    entries: tuple[log.Entry, ...]


@attrs.frozen
class SendChunk:
    """Send the part of the own snapshot at `offset` to a follower."""

    address: str
    receiver_id: str
    term: int
    index: int
    offset: int
    sent_at: float


@attrs.frozen
class DropLog:
    """Entries up to `index` are not needed any more."""

    index: int


@attrs.frozen
class Accepted:
    """The proposals of `ticket` are entries from `first_index` on."""

    ticket: int
    first_index: int
    term: int


@attrs.frozen
class NotLeader:
    """The proposals of `ticket` were not taken."""

    ticket: int


@attrs.frozen
class ChangeRefused:
    """The membership change of `ticket` is not made."""

    ticket: int
    detail: str


@attrs.frozen
class RoleChanged:
    """The replica leads from now on, or does not any more."""

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
