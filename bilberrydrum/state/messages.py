"""Messages between replicas, and between clients and replicas.

Each message between replicas carries the id of its receiver. A host that lost its disk
rejoins at the same address under a new replica id, and must not vote or acknowledge
entries in the name of the old one. Times in messages are of the leader's monotonic
clock; followers echo them.
"""

import attrs

from bilberrydrum import codec


@attrs.frozen(kw_only=True)
class PeerMessage:
    """Fields of every message between replicas."""

    sender_id: str
    receiver_id: str
    term: int


@codec.register("state.vote-request")
@attrs.frozen(kw_only=True)
class VoteRequest(PeerMessage):
    """A candidate requests a vote; in a pre-vote, `term` is the next term."""

    last_index: int
    last_term: int
    is_pre_vote: bool = False
    # Whether the previous leader gave up its lease in favour of the candidate.
    is_transfer: bool = False


@codec.register("state.vote-reply")
@attrs.frozen(kw_only=True)
class VoteReply(PeerMessage):
    """The reply to `VoteRequest`; if granted, `term` is the requested one."""

    is_granted: bool
    is_pre_vote: bool = False


@codec.register("state.ask-leading")
@attrs.frozen(kw_only=True)
class LeadershipQuery(PeerMessage):
    """A replica that has just started asks whether the receiver is the leader."""

    # Random number of the sender's incarnation. A reply to an earlier incarnation is
    # ignored.
    start_number: int


@codec.register("state.leading")
@attrs.frozen(kw_only=True)
class LeadershipReply(PeerMessage):
    """The reply to `LeadershipQuery`."""

    start_number: int
    is_leading: bool


@codec.register("state.append")
@attrs.frozen(kw_only=True)
class Append(PeerMessage):
    """Entries that follow `previous_index`; a heartbeat if there are none."""

    previous_index: int
    previous_term: int
    commit_index: int
    sent_at: float
    # Encoded by `log.pack`.
    entries: bytes = b""


@codec.register("state.append-reply")
@attrs.frozen(kw_only=True)
class AppendReply(PeerMessage):
    """The reply to `Append`: acceptance, or where the logs may still match."""

    is_success: bool
    # On success, the last durable index known to match the leader's log. Otherwise, the
    # highest index at which the logs may match.
    index: int
    sent_at: float


@codec.register("state.snapshot-chunk")
@attrs.frozen(kw_only=True)
class SnapshotChunk(PeerMessage):
    """A chunk of a snapshot's bytes."""

    index: int
    offset: int
    n_total_bytes: int
    data: bytes
    sent_at: float


@codec.register("state.snapshot-reply")
@attrs.frozen(kw_only=True)
class SnapshotReply(PeerMessage):
    """The reply to `SnapshotChunk`."""

    index: int
    # Offset of the chunk that the follower needs next; -1 if it has the snapshot.
    next_offset: int
    sent_at: float


@codec.register("state.stand-now")
@attrs.frozen(kw_only=True)
class TimeoutNow(PeerMessage):
    """The leader stops leading; the receiver starts an election at once."""


@codec.register("state.probe")
@attrs.frozen
class Probe:
    """A process asks its peer what it knows about the group."""

    process_id: str
    replica_id: str
    # Whether the asking replica has no membership and looks for the group.
    is_empty: bool


@codec.register("state.probe-reply")
@attrs.frozen
class ProbeReply:
    """The reply to `Probe`: what the asked process knows about the group."""

    process_id: str
    replica_id: str
    is_empty: bool
    # The replica id in the probe.
    asked_by: str
    # Addresses of the members known to the asked process.
    addresses: tuple[str, ...] = ()
    # Whether the asked process leads and has committed a membership without the asking
    # replica.
    has_removed_asker: bool = False


@codec.register("state.session-item")
@attrs.frozen
class Item:
    """A command's or query's number in its session and its codec bytes."""

    number: int
    data: bytes


@codec.register("state.open-session")
@attrs.frozen
class OpenSession:
    """A client requests a session."""

    client_id: str


@codec.register("state.session-opened")
@attrs.frozen
class SessionOpened:
    """The reply to `OpenSession`."""

    client_id: str
    session_id: int


@codec.register("state.submit")
@attrs.frozen
class Submit:
    """Commands of one session."""

    client_id: str
    session_id: int
    # Answers to commands with lower numbers were received or are not needed.
    lowest_pending: int
    items: list[Item]


@codec.register("state.ask")
@attrs.frozen
class Ask:
    """Queries of one client."""

    client_id: str
    items: list[Item]


@codec.register("state.answers")
@attrs.frozen
class Answers:
    """Answers to commands or queries, by number."""

    client_id: str
    items: list[Item]
    is_query: bool = False


@codec.register("state.redirect")
@attrs.frozen
class Redirect:
    """The asked replica does not lead; none of the numbered items was or will be run.

    If `leader_address` is empty, the client tries the replicas at `addresses`.
    """

    client_id: str
    numbers: list[int]
    is_query: bool
    leader_address: str
    addresses: list[str]


@codec.register("state.failed")
@attrs.frozen
class Failed:
    """The command's or query's function raised, or its class is unknown."""

    detail: str


@codec.register("state.session-lost")
@attrs.frozen
class SessionLost:
    """The session does not exist; the numbered commands were not applied."""

    client_id: str
    session_id: int
    numbers: list[int]
