"""Queries about the state group itself, answered by its leader."""

import attrs

from bilberrydrum import codec


@codec.register("state.get-status")
@attrs.frozen
class GetStatus:
    """Ask how the group stands."""


@codec.register("state.replica-status")
@attrs.frozen
class ReplicaStatus:
    """One replica as its leader sees it."""

    replica_id: str
    process_id: str
    peer_address: str
    is_voter: bool
    is_reachable: bool
    # Highest index known to be durable there.
    match_index: int


@codec.register("state.status")
@attrs.frozen
class Status:
    """How the group stands, as seen by one replica."""

    replica_id: str
    # "leader", "candidate" or "follower".
    role: str
    term: int
    leader_process_id: str
    commit_index: int
    applied_index: int
    last_index: int
    durable_index: int
    snapshot_index: int
    members: list[ReplicaStatus]
    # Why the last membership change that was due is not made; empty: none is due.
    pending_change: str = ""
    # Why this replica has stopped; empty: it runs.
    failure: str = ""


@codec.register("state.save")
@attrs.frozen
class SaveState:
    """Ask for a snapshot of the state."""


@codec.register("state.saved")
@attrs.frozen
class SavedState:
    """A snapshot of the state, in the format of `snapshot`."""

    data: bytes
