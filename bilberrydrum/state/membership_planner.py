"""Choose the membership changes that the leader makes on its own, one at a time.

A process whose data folder was lost joins as a learner, under a new replica id. Its old
replica, which can no longer be reached, is removed first, and the learner is promoted
when it has caught up. In a group of three, a majority is then two of the two running
voters. If the learner were promoted first, it would be three of four.

A group with a fixed number of voters replaces a lost replica in the same order: a spare
process becomes a learner, and once it has caught up, the old replica is removed and the
learner promoted. A replica that is running but is to be replaced is removed last, after
the learner was promoted.
"""

from collections.abc import Collection, Mapping
from typing import Final

import attrs

from bilberrydrum.state import membership

# A learner may be promoted if it is at most this many entries behind the commit index.
MAX_LAG: Final = 256


@attrs.frozen
class ReplicaProgress:
    """What the leader knows of one replica."""

    match_index: int
    is_reachable: bool


@attrs.frozen
class Policy:
    """How many replicas the group keeps, and which are to be replaced."""

    # Number of voters to keep; 0: not limited.
    n_voters: int = 0
    # Replicas that have not replied to the leader for a long time.
    lost_ids: frozenset[str] = frozenset()
    # Processes that are leaving the group, so that their replicas are replaced.
    leaving_process_ids: frozenset[str] = frozenset()
    # Availability zones of the processes for which they are known.
    zones_by_process_id: Mapping[str, str] = attrs.field(factory=dict)


NO_BOUND: Final = Policy()


@attrs.frozen
class _Group:
    """The input from which a change is chosen."""

    current: membership.Membership
    joining: Collection[membership.ReplicaInfo]
    replica_progress_by_id: Mapping[str, ReplicaProgress]
    commit_index: int
    policy: Policy

    def is_to_be_removed(self, replica: membership.ReplicaInfo) -> bool:
        """Return whether `replica` is lost or its process is leaving."""
        is_leaving = replica.process_id in self.policy.leaving_process_ids
        return is_leaving or replica.replica_id in self.policy.lost_ids

    def count_remaining(self) -> int:
        """Return how many replicas, learners included, are not to be removed."""
        return sum(
            1 for each in self.current.replicas if not self.is_to_be_removed(each)
        )

    def count_remaining_in_zone(self, replica: membership.ReplicaInfo) -> int:
        """Return how many other replicas in the zone of `replica` are to remain.

        If replicas were chosen in the order of their requests to join, they would
        gather in few zones over the weeks. The loss of one zone could then take the
        majority.
        """
        zones = self.policy.zones_by_process_id
        own = zones.get(replica.process_id, "")
        return sum(
            1
            for each in self.current.replicas
            if not self.is_to_be_removed(each)
            and each.process_id != replica.process_id
            and zones.get(each.process_id, "") == own
        )

    def has_caught_up(self, learner: membership.ReplicaInfo) -> bool:
        """Return whether `learner` has caught up, so that it may be promoted."""
        known = self.replica_progress_by_id.get(learner.replica_id)
        if known is None or not known.is_reachable or not known.match_index:
            return False
        return known.match_index >= self.commit_index - MAX_LAG


def next_change(
    current: membership.Membership,
    joining_by_process: Mapping[str, membership.ReplicaInfo],
    replica_progress_by_id: Mapping[str, ReplicaProgress],
    commit_index: int,
    policy: Policy = NO_BOUND,
) -> membership.Change | None:
    """Return the change that is due, or None."""
    joining = joining_by_process.values()
    group = _Group(current, joining, replica_progress_by_id, commit_index, policy)
    return _next_addition(group) or _next_learner_change(group) or _next_removal(group)


def _next_addition(group: _Group) -> membership.Change | None:
    candidates = [
        each
        for each in group.joining
        if group.current.find(each.replica_id) is None and _may_join(group, each)
    ]
    if not candidates:
        return None
    chosen = min(candidates, key=group.count_remaining_in_zone)
    return membership.Change(membership.ADD_LEARNER, chosen)


def _may_join(group: _Group, replica: membership.ReplicaInfo) -> bool:
    if not group.policy.n_voters:
        return True
    if replica.process_id in group.policy.leaving_process_ids:
        return False
    if _previous_replica(group.current, replica) is not None:
        return True
    return group.count_remaining() < group.policy.n_voters


def _next_learner_change(group: _Group) -> membership.Change | None:
    for learner in group.current.replicas:
        if learner.is_voter:
            continue
        change = _learner_change(group, learner)
        if change is not None:
            return change
    return None


def _learner_change(
    group: _Group, learner: membership.ReplicaInfo
) -> membership.Change | None:
    old = _previous_replica(group.current, learner)
    if old is not None:
        # A replica that replied a moment ago may not be lost, so it is not removed
        # yet. It is removed before the learner is promoted, because four voters of
        # which one is lost do not tolerate a second loss.
        old_progress = group.replica_progress_by_id.get(old.replica_id)
        if old_progress is not None and old_progress.is_reachable:
            return None
        return membership.Change(membership.REMOVE, old)
    if group.policy.n_voters and group.is_to_be_removed(learner):
        return membership.Change(membership.REMOVE, learner)
    if not group.has_caught_up(learner):
        return None
    n_voters = len(group.current.voter_ids())
    if not group.policy.n_voters or n_voters < group.policy.n_voters:
        return membership.Change(membership.PROMOTE, learner)
    to_remove = [
        e for e in group.current.replicas if e.is_voter and group.is_to_be_removed(e)
    ]
    lost = [each for each in to_remove if each.replica_id in group.policy.lost_ids]
    if lost:
        return membership.Change(membership.REMOVE, lost[0])
    if to_remove:
        # A running replica stays a voter until the learner is promoted. With one voter
        # less, the loss of another disk would leave no majority.
        return membership.Change(membership.PROMOTE, learner)
    return None


def _next_removal(group: _Group) -> membership.Change | None:
    """Return the removal that is due when there are enough other voters."""
    n_bound = group.policy.n_voters
    remaining = [
        each
        for each in group.current.replicas
        if each.is_voter and not group.is_to_be_removed(each)
    ]
    if not n_bound or len(remaining) < n_bound:
        return None
    for replica in group.current.replicas:
        if group.is_to_be_removed(replica):
            return membership.Change(membership.REMOVE, replica)
    return None


def _previous_replica(
    current: membership.Membership, learner: membership.ReplicaInfo
) -> membership.ReplicaInfo | None:
    """Return the earlier replica of the learner's process, or None."""
    for replica in current.replicas:
        is_same = replica.process_id == learner.process_id
        if is_same and replica.replica_id != learner.replica_id:
            return replica
    return None
