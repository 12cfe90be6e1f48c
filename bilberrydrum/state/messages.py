"""Messages between replicas, and between clients and replicas.

Each message between replicas names the replica it is for: a host that lost its disk
comes back at the same address under a new id, and must not answer for the old one.
Times in messages are the leader's own monotonic clock, echoed by the follower.
"""

import attrs

from bilberrydrum import codec


@attrs.frozen(kw_only=True)
class PeerMessage:
    """What every message between replicas carries."""

    sender_id: str
    receiver_id: str
    term: int


@codec.register("state.vote-request")
@attrs.frozen(kw_only=True)
class VoteRequest(PeerMessage):
    """A candidate asks for a vote; in a pre-vote `term` is the one it would start."""

    last_index: int
    last_term: int
    is_pre_vote: bool = False
    # The old leader has given up its lease and named the candidate.
    is_transfer: bool = False


@codec.register("state.vote-reply")
@attrs.frozen(kw_only=True)
class VoteReply(PeerMessage):
    """The answer to a `VoteRequest`; `term` is the asked one if it is granted."""

    is_granted: bool
    is_pre_vote: bool = False


@codec.register("state.ask-leading")
@attrs.frozen(kw_only=True)
class AskLeading(PeerMessage):
    """A replica that has just started asks whether the receiver leads."""

    # Drawn at the start: an answer to an earlier life of the sender does not count.
    start_number: int


@codec.register("state.leading")
@attrs.frozen(kw_only=True)
class Leading(PeerMessage):
    """The answer to `AskLeading`."""

    start_number: int
    is_leading: bool


@codec.register("state.append")
@attrs.frozen(kw_only=True)
class Append(PeerMessage):
    """Entries that follow `previous_index`; without entries it is a heartbeat."""

    previous_index: int
    previous_term: int
    commit_index: int
    sent_at: float
    # Made by `log.pack`.
    entries: bytes = b""


@codec.register("state.append-reply")
@attrs.frozen(kw_only=True)
class AppendReply(PeerMessage):
    """What a follower holds durably, or where the logs may still agree."""

    is_success: bool
    # Success: the last durable index known to agree. Else: the last index to try.
    index: int
    sent_at: float


@codec.register("state.snapshot-chunk")
@attrs.frozen(kw_only=True)
class SnapshotChunk(PeerMessage):
    """A part of a snapshot's bytes."""

    index: int
    offset: int
    n_total_bytes: int
    data: bytes
    sent_at: float


@codec.register("state.snapshot-reply")
@attrs.frozen(kw_only=True)
class SnapshotReply(PeerMessage):
    """The offset of the part that the follower needs next."""

    index: int
    next_offset: int
    sent_at: float


@codec.register("state.stand-now")
@attrs.frozen(kw_only=True)
class StandNow(PeerMessage):
    """The leader stops leading and asks the receiver to stand for election."""


@codec.register("state.probe")
@attrs.frozen
class Probe:
    """A process asks what its peer knows of the group."""

    process_id: str
    replica_id: str
    # The asking replica holds no membership and looks for one that has it.
    is_empty: bool


@codec.register("state.probe-reply")
@attrs.frozen
class ProbeReply:
    """What the asked process knows of the group."""

    process_id: str
    replica_id: str
    is_empty: bool
    # The replica id in the probe.
    asked_by: str
    # Addresses of the members that the asked process knows.
    addresses: tuple[str, ...] = ()
    # The asked process leads and has committed a membership without the asking replica.
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
    """A client asks for a session."""

    client_id: str


@codec.register("state.session-opened")
@attrs.frozen
class SessionOpened:
    """The answer to `OpenSession`."""

    client_id: str
    session_id: int


@codec.register("state.submit")
@attrs.frozen
class Submit:
    """Commands of one session."""

    client_id: str
    session_id: int
    # Answers to numbers below this one have all been received or are not wanted.
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
    """The asked replica does not lead: nothing named here was or will be taken.

    Without `leader_address` the client looks on among `addresses`.
    """

    client_id: str
    numbers: list[int]
    is_query: bool
    leader_address: str
    addresses: list[str]


@codec.register("state.failed")
@attrs.frozen
class Failed:
    """The command's or query's function raised, or its class is not known."""

    detail: str


@codec.register("state.session-lost")
@attrs.frozen
class SessionLost:
    """The session is not known any more; the numbered commands were not taken."""

    client_id: str
    session_id: int
    numbers: list[int]
