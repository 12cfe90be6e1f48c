"""Queries about the state group itself, answered by its leader."""

import attrs

from bilberrydrum import codec


@codec.register("state.get-status")
@attrs.frozen
class GetStatus:
    """Ask for the status of the group."""


@codec.register("state.replica-status")
@attrs.frozen
class ReplicaStatus:
    """The status of one replica, as seen by the leader."""

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
    """The status of the group, as seen by one replica."""

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
    # Why the membership change that is due has not been made; empty: none is due.
    pending_change: str = ""
    # Why this replica has stopped; empty: it is running.
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
