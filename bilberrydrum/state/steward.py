"""The membership changes that the leader makes on its own, one at a time.

A process whose data folder was lost joins under a new replica id as a learner. Its old
replica, which is not heard from any more, is removed first, and the learner gets the
vote when it has caught up. Removing first keeps the majority among replicas that are
there: two of two, where promoting first would need three of four.
"""

import attrs

from bilberrydrum.state import membership

# A learner this many entries behind the commit index may get its vote.
MAX_LAG = 256


@attrs.frozen
class Learned:
    """What the leader knows of one replica."""

    match_index: int
    is_reachable: bool


def next_change(
    current: membership.Membership,
    joining_by_process: dict[str, membership.ReplicaInfo],
    learned_by_id: dict[str, Learned],
    commit_index: int,
) -> membership.Change | None:
    """Return the change that is due, or None."""
    for replica in joining_by_process.values():
        if current.find(replica.replica_id) is None:
            return membership.Change(membership.ADD_LEARNER, replica)
    for learner in current.replicas:
        if learner.is_voter:
            continue
        old = _superseded(current, learner)
        if old is not None:
            # Heard from a moment ago, it may still be called lost too early. But with
            # both in the group, four voters of which one is gone bear no second loss.
            heard = learned_by_id.get(old.replica_id)
            if heard is not None and heard.is_reachable:
                continue
            return membership.Change(membership.REMOVE, old)
        known = learned_by_id.get(learner.replica_id)
        if known is None or not known.is_reachable or not known.match_index:
            continue
        if known.match_index >= commit_index - MAX_LAG:
            return membership.Change(membership.PROMOTE, learner)
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
