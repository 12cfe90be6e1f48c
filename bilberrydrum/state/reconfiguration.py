"""Membership changes at the leader: which are allowed, and their log entries.

A membership is in force at a replica as soon as its entry is in the replica's log,
whether committed or not. The changes refused here could lead to two majorities without
a common replica, or to no reachable majority.
"""

from bilberrydrum import codec
from bilberrydrum.state import events, leader, log, membership, node


def propose_change(state: node.Node, event: events.ProposeChange) -> None:
    """Append one membership change to the log, or refuse it with a reason."""
    role = state.role
    if not isinstance(role, node.Leader):
        state.effects.append(events.NotLeader(event.ticket))
        return
    refusal = _check_change(state, role, event.change)
    if refusal is not None:
        state.effects.append(events.ChangeRefused(event.ticket, refusal.detail))
        return
    after = membership.apply_change(state.members, event.change)
    assert isinstance(after, membership.Membership)
    item = (log.KIND_MEMBERSHIP, codec.encode(after))
    first_index = state.log.last_index + 1
    entry = log.Entry(
        first_index, state.term, leader.stamp(state, role, event.wall_time), *item
    )
    state.append((entry,))
    state.effects.append(events.Accepted(event.ticket, first_index, state.term))
    leader.follow_membership(state, role)
    leader.broadcast(state, role)


def _check_change(
    state: node.Node, role: node.Leader, change: membership.Change
) -> membership.Refusal | None:
    # A change appended by an earlier leader may still be uncommitted. Together with it,
    # this one could lead to two majorities without a common replica.
    if not leader.is_established(state, role):
        return membership.Refusal("the leader has not committed in its term yet")
    # The same holds for a second change before the first is committed.
    if state.membership_index > state.commit_index:
        return membership.Refusal("another change is under way")
    after = membership.apply_change(state.members, change)
    if isinstance(after, membership.Refusal):
        return after
    if change.kind == membership.PROMOTE:
        progress = role.progress_by_id.get(change.replica.replica_id)
        # If it became a voter before it has caught up, commits could have to wait until
        # it has.
        if progress is None or progress.match_index < role.first_index:
            return membership.Refusal("the learner has not caught up yet")
    return membership.check_majority(
        state.members, after, leader.reachable_ids(state, role)
    )
