"""The membership changes that the leader makes on its own, one at a time.

A process whose data folder was lost joins under a new replica id as a learner. Its old
replica, which is not heard from any more, is removed first, and the learner gets the
vote when it has caught up. Removing first keeps the majority among replicas that are
there: two of two, where promoting first would need three of four.

A group that keeps to a number of votes replaces a lost replica in the same order: a
process that stood by becomes a learner, and once it has caught up the old replica is
removed and the learner promoted. A replica that is there and is to be taken away goes
last: it is removed once the learner has its vote.
"""

from collections.abc import Collection, Mapping
from typing import Final

import attrs

from bilberrydrum.state import membership

# A learner this many entries behind the commit index may get its vote.
MAX_LAG: Final = 256


@attrs.frozen
class Learned:
    """What the leader knows of one replica."""

    match_index: int
    is_reachable: bool


@attrs.frozen
class Policy:
    """How many replicas the group keeps, and which are to be replaced."""

    # Replicas with a vote; 0: no bound.
    n_voters: int = 0
    # Replicas that were not heard from for long.
    lost_ids: frozenset[str] = frozenset()
    # Processes that are being taken away.
    leaving_process_ids: frozenset[str] = frozenset()
    # Availability zones of processes, as far as they are known.
    zones_by_process_id: Mapping[str, str] = attrs.field(factory=dict)


NO_BOUND: Final = Policy()


@attrs.frozen
class _Group:
    """What a change is chosen from."""

    current: membership.Membership
    joining: Collection[membership.ReplicaInfo]
    learned_by_id: Mapping[str, Learned]
    commit_index: int
    policy: Policy

    def is_to_go(self, replica: membership.ReplicaInfo) -> bool:
        """Tell whether `replica` is lost or being taken away."""
        is_leaving = replica.process_id in self.policy.leaving_process_ids
        return is_leaving or replica.replica_id in self.policy.lost_ids

    def n_staying(self) -> int:
        """Return how many replicas, learners included, are there to stay."""
        return sum(1 for each in self.current.replicas if not self.is_to_go(each))

    def n_staying_beside(self, replica: membership.ReplicaInfo) -> int:
        """Return how many replicas are there to stay in the zone of `replica`.

        Chosen by the order in which they asked, replicas would gather in few zones
        over the weeks, and the loss of one could take the majority.
        """
        zones = self.policy.zones_by_process_id
        own = zones.get(replica.process_id, "")
        return sum(
            1
            for each in self.current.replicas
            if not self.is_to_go(each)
            and each.process_id != replica.process_id
            and zones.get(each.process_id, "") == own
        )

    def has_caught_up(self, learner: membership.ReplicaInfo) -> bool:
        """Tell whether `learner` may get a vote."""
        known = self.learned_by_id.get(learner.replica_id)
        if known is None or not known.is_reachable or not known.match_index:
            return False
        return known.match_index >= self.commit_index - MAX_LAG


def next_change(
    current: membership.Membership,
    joining_by_process: Mapping[str, membership.ReplicaInfo],
    learned_by_id: Mapping[str, Learned],
    commit_index: int,
    policy: Policy = NO_BOUND,
) -> membership.Change | None:
    """Return the change that is due, or None."""
    joining = joining_by_process.values()
    group = _Group(current, joining, learned_by_id, commit_index, policy)
    return _due_addition(group) or _due_for_learners(group) or _due_shrinking(group)


def _due_addition(group: _Group) -> membership.Change | None:
    able = [
        each
        for each in group.joining
        if group.current.find(each.replica_id) is None and _has_place(group, each)
    ]
    if not able:
        return None
    chosen = min(able, key=group.n_staying_beside)
    return membership.Change(membership.ADD_LEARNER, chosen)


def _has_place(group: _Group, replica: membership.ReplicaInfo) -> bool:
    if not group.policy.n_voters:
        return True
    if replica.process_id in group.policy.leaving_process_ids:
        return False
    if _superseded(group.current, replica) is not None:
        return True
    return group.n_staying() < group.policy.n_voters


def _due_for_learners(group: _Group) -> membership.Change | None:
    for learner in group.current.replicas:
        if learner.is_voter:
            continue
        change = _due_for_learner(group, learner)
        if change is not None:
            return change
    return None


def _due_for_learner(
    group: _Group, learner: membership.ReplicaInfo
) -> membership.Change | None:
    old = _superseded(group.current, learner)
    if old is not None:
        # Heard from a moment ago, it may still be called lost too early. But with
        # both in the group, four voters of which one is gone bear no second loss.
        heard = group.learned_by_id.get(old.replica_id)
        if heard is not None and heard.is_reachable:
            return None
        return membership.Change(membership.REMOVE, old)
    if group.policy.n_voters and group.is_to_go(learner):
        return membership.Change(membership.REMOVE, learner)
    if not group.has_caught_up(learner):
        return None
    n_voters = len(group.current.voter_ids())
    if not group.policy.n_voters or n_voters < group.policy.n_voters:
        return membership.Change(membership.PROMOTE, learner)
    going = [e for e in group.current.replicas if e.is_voter and group.is_to_go(e)]
    lost = [each for each in going if each.replica_id in group.policy.lost_ids]
    if lost:
        return membership.Change(membership.REMOVE, lost[0])
    if going:
        # One that is there keeps its vote until its place is taken: with one vote
        # less, the loss of another disk would leave no majority.
        return membership.Change(membership.PROMOTE, learner)
    return None


def _due_shrinking(group: _Group) -> membership.Change | None:
    """Remove a replica that is to go once enough others have a vote."""
    n_bound = group.policy.n_voters
    staying = [
        each
        for each in group.current.replicas
        if each.is_voter and not group.is_to_go(each)
    ]
    if not n_bound or len(staying) < n_bound:
        return None
    for replica in group.current.replicas:
        if group.is_to_go(replica):
            return membership.Change(membership.REMOVE, replica)
    return None


def _superseded(
    current: membership.Membership, learner: membership.ReplicaInfo
) -> membership.ReplicaInfo | None:
    """Return an earlier replica of the learner's process."""
    for replica in current.replicas:
        is_same = replica.process_id == learner.process_id
        if is_same and replica.replica_id != learner.replica_id:
            return replica
    return None
