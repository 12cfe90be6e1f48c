"""Membership changes at the leader: when one may be made, and its entry.

A membership is in force at a replica as soon as its entry is in the log there,
committed or not. What is refused here could leave two majorities that do not meet, or
none.
"""

from bilberrydrum import codec
from bilberrydrum.state import events, leader, log, membership, node


def propose_change(state: node.Node, event: events.ProposeChange) -> None:
    """Take one membership change into the log, or say why not."""
    role = state.role
    if not isinstance(role, node.Leader):
        state.effects.append(events.NotLeader(event.ticket))
        return
    refusal = _check_change(state, role, event.change)
    if refusal is not None:
        state.effects.append(events.ChangeRefused(event.ticket, refusal.detail))
        return
    after = membership.changed(state.members, event.change)
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
    # A change left behind by an earlier leader may not be settled yet; together with
    # it, this one could give two majorities without a common replica.
    if not leader.is_established(state, role):
        return membership.Refusal("the leader has not committed in its term yet")
    # So could a second change before the first is committed.
    if state.membership_index > state.commit_index:
        return membership.Refusal("another change is under way")
    after = membership.changed(state.members, change)
    if isinstance(after, membership.Refusal):
        return after
    if change.kind == membership.PROMOTE:
        progress = role.progress_by_id.get(change.replica.replica_id)
        # A vote before it has caught up would make each commit wait for its catch-up.
        if progress is None or progress.match_index < role.first_index:
            return membership.Refusal("the learner has not caught up yet")
    return membership.check_majority(
        state.members, after, leader.reachable_ids(state, role)
    )
