"""The members of the state group, and which membership changes are safe.

A change adds, promotes or removes one replica at a time. Any majorities of two
memberships that differ by one voter have a replica in common, so two leaders cannot be
elected in the same term while a change is being replicated. A replica is identified by
an id that is created with its data folder and lost with it; its process id and address
may be used again by a later replica.
"""

from collections.abc import Collection
from typing import Final

import attrs

from bilberrydrum import codec

ADD_LEARNER: Final = "add-learner"
PROMOTE: Final = "promote"
REMOVE: Final = "remove"


@codec.register("state.replica")
@attrs.frozen
class ReplicaInfo:
    """One replica of the group."""

    replica_id: str
    process_id: str
    # Address of the process's ROUTER, ``IP:port``.
    peer_address: str
    # A learner (False) receives the log but neither votes nor counts for a commit.
    is_voter: bool = True


@codec.register("state.membership")
@attrs.frozen
class Membership:
    """All replicas of the group."""

    replicas: tuple[ReplicaInfo, ...] = ()

    def find(self, replica_id: str) -> ReplicaInfo | None:
        """Return the replica with this id."""
        for replica in self.replicas:
            if replica.replica_id == replica_id:
                return replica
        return None

    def voter_ids(self) -> list[str]:
        """Return the ids of the replicas that vote."""
        return [each.replica_id for each in self.replicas if each.is_voter]

    def majority(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voter_ids()) // 2 + 1

    def is_majority(self, replica_ids: Collection[str]) -> bool:
        """Return whether `replica_ids` include a majority of the voters."""
        n_votes = sum(1 for each in self.voter_ids() if each in replica_ids)
        return n_votes >= self.majority()


@attrs.frozen
class Change:
    """One change of the membership."""

    kind: str
    replica: ReplicaInfo


@attrs.frozen
class Refusal:
    """The reason why a change is refused."""

    detail: str


def apply_change(membership: Membership, change: Change) -> Membership | Refusal:
    """Return the membership after `change`, or why it cannot be applied."""
    replica = change.replica
    known = membership.find(replica.replica_id)
    others = tuple(
        each for each in membership.replicas if each.replica_id != replica.replica_id
    )
    if change.kind == ADD_LEARNER:
        if known is not None:
            return Refusal(f"replica {replica.replica_id} is already a member")
        return Membership((*others, attrs.evolve(replica, is_voter=False)))
    if known is None:
        return Refusal(f"replica {replica.replica_id} is not a member")
    if change.kind == PROMOTE:
        if known.is_voter:
            return Refusal(f"replica {replica.replica_id} is already a voter")
        return Membership((*others, attrs.evolve(known, is_voter=True)))
    if known.is_voter and len(membership.voter_ids()) == 1:
        return Refusal("the last voter cannot be removed")
    return Membership(others)


def check_majority(
    before: Membership, after: Membership, reachable_ids: Collection[str]
) -> Refusal | None:
    """Return why `after` would have no reachable majority, or None if it has one.

    Removing a reachable replica while another is lost can leave fewer reachable voters
    than a majority. The group could then commit nothing, not even the reversal of the
    change.
    """
    if set(before.voter_ids()) == set(after.voter_ids()):
        return None
    voter_ids = after.voter_ids()
    n_reachable = sum(1 for each in voter_ids if each in reachable_ids)
    if n_reachable >= after.majority():
        return None
    lost = sorted(each for each in voter_ids if each not in reachable_ids)
    return Refusal(
        f"the group would lose its majority: {n_reachable} of {len(voter_ids)} voters "
        f"reachable and {after.majority()} needed; not heard from: {', '.join(lost)}"
    )
