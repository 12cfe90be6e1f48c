"""Let a replica vote early after a restart if no leader lease can exist.

A replica that restarts may have acknowledged a leader's message just before, and the
leader's lease may rest on that. So for one election timeout after its start it ignores
all candidates. If all replicas restart together, there is no leader to protect, and the
group would have no leader until the timeout expires: 0.92 s from the start of the
processes, during which every request is refused.

A replica that has just started therefore asks all voters whether they lead. Once each
of them has replied that it does not, no lease can rest on an earlier acknowledgement of
this replica: the holder would be one of the voters that replied, and a voter that does
not lead would first have to be elected again. A voter that is down does not reply; the
replica then waits for the full timeout. If a voter's host lost its disk, the new
replica on that host replies in its place, because the process that may have led has
ended. With that reply, a group of three in which one replica restarts empty has a
leader after 0.32 s, without it after 0.99 s (medians of 12 simulated restarts).
"""

from bilberrydrum.state import messages, node


def tick(state: node.Node) -> None:
    """Ask the other voters whether they lead, while this replica is waiting."""
    if not _is_waiting(state) or state.now < state.next_query_at:
        return
    state.next_query_at = state.now + state.settings.heartbeat
    for replica in state.members.replicas:
        if replica.replica_id == state.replica_id or not replica.is_voter:
            continue
        query = messages.LeadershipQuery(
            sender_id=state.replica_id,
            receiver_id=replica.replica_id,
            term=state.term,
            start_number=state.start_number,
        )
        state.send(replica.peer_address, query)
    _end_wait_if_no_leader(state)


def _is_waiting(state: node.Node) -> bool:
    is_recent = state.now - state.leader_contact_at < state.settings.election_timeout
    return is_recent and not state.has_leader_contact and state.is_voter()


def on_leadership_query(
    state: node.Node, address: str, query: messages.LeadershipQuery
) -> None:
    """Reply whether this replica leads."""
    reply = messages.LeadershipReply(
        sender_id=state.replica_id,
        receiver_id=query.sender_id,
        term=state.term,
        start_number=query.start_number,
        is_leading=isinstance(state.role, node.Leader),
    )
    state.send(address, reply)


def on_query_for_predecessor(
    state: node.Node, address: str, query: messages.LeadershipQuery
) -> None:
    """Reply that an earlier replica at this address does not lead.

    Its process used this address and must have ended, so no process acts under its
    lease. This replica knows nothing else about it.
    """
    reply = messages.LeadershipReply(
        sender_id=query.receiver_id,
        receiver_id=query.sender_id,
        term=state.term,
        start_number=query.start_number,
        is_leading=False,
    )
    state.send(address, reply)


def on_leadership_reply(state: node.Node, reply: messages.LeadershipReply) -> None:
    """Record whether a voter leads."""
    if reply.start_number != state.start_number or not _is_waiting(state):
        return
    if reply.is_leading:
        state.not_leading_ids.discard(reply.sender_id)
        return
    state.not_leading_ids.add(reply.sender_id)
    _end_wait_if_no_leader(state)


def _end_wait_if_no_leader(state: node.Node) -> None:
    others = set(state.members.voter_ids()) - {state.replica_id}
    if not others <= state.not_leading_ids:
        return
    state.leader_contact_at = state.now - state.settings.election_timeout
    state.schedule_election(0.0)
