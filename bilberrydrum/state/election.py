"""Elections: pre-vote, votes, and the rule that a heard leader is left alone.

A replica that hears no leader first asks whether it could win (pre-vote), without
changing anybody's term. Only then does it start a term and ask for votes. A replica
that heard a leader within the election timeout answers neither.
"""

from bilberrydrum import codec
from bilberrydrum.state import events, leader, log, membership, messages, node


def tick(state: node.Node) -> None:
    """Stand for election if no leader was heard from for long enough."""
    if state.now < state.election_deadline or not may_stand(state):
        return
    start_pre_vote(state)


def may_stand(state: node.Node) -> bool:
    """Tell whether this replica may become a leader."""
    return state.is_voter() and state.installing is None


def start_pre_vote(state: node.Node) -> None:
    """Ask whether a majority would vote for this replica.

    A replica that was cut off would otherwise come back with a higher term and depose
    a healthy leader; asking first, it disturbs nobody.
    """
    state.role = node.Candidate(is_pre_vote=True, granted_ids={state.replica_id})
    state.reset_election_deadline()
    if state.members.is_majority(state.role.granted_ids):
        campaign(state)
        return
    _ask_all(state, state.role, state.term + 1)


def campaign(state: node.Node, is_transfer: bool = False) -> None:
    """Start a new term and ask for votes in it."""
    state.term += 1
    state.voted_for = state.replica_id
    state.write()
    state.role = node.Candidate(is_pre_vote=False, is_transfer=is_transfer)
    state.reset_election_deadline()
    _ask_all(state, state.role, state.term)
    state.hold(node.CountOwnVote(state.term))


def _ask_all(state: node.Node, role: node.Candidate, term: int) -> None:
    for replica in state.members.replicas:
        if replica.replica_id == state.replica_id or not replica.is_voter:
            continue
        request = messages.VoteRequest(
            sender_id=state.replica_id,
            receiver_id=replica.replica_id,
            term=term,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            is_pre_vote=role.is_pre_vote,
            is_transfer=role.is_transfer,
        )
        state.hold(events.Send(replica.peer_address, request))


def hears_leader(state: node.Node) -> bool:
    """Tell whether a leader may hold a lease that this replica's answer gave it.

    Voting for another while that lease runs would let the new leader commit what the
    old one, answering reads under its lease, does not know.
    """
    if isinstance(state.role, node.Leader):
        return leader.lease_end(state, state.role) > state.now
    return state.now - state.heard_at < state.settings.election_timeout


def is_up_to_date(state: node.Node, request: messages.VoteRequest) -> bool:
    """Tell whether the candidate's log holds all that this replica's may commit."""
    own = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own


def on_vote_request(
    state: node.Node, address: str, request: messages.VoteRequest
) -> None:
    """Answer a candidate."""
    if hears_leader(state) and not request.is_transfer:
        return
    if request.is_pre_vote:
        is_granted = request.term > state.term and is_up_to_date(state, request)
        _reply(state, address, request, is_granted)
        return
    if request.term > state.term:
        state.become_follower(request.term)
    is_granted = (
        request.term == state.term
        and state.voted_for in ("", request.sender_id)
        and is_up_to_date(state, request)
    )
    if is_granted:
        if not state.voted_for:
            state.voted_for = request.sender_id
            state.write()
        state.reset_election_deadline()
    _reply(state, address, request, is_granted)


def _reply(
    state: node.Node, address: str, request: messages.VoteRequest, is_granted: bool
) -> None:
    reply = messages.VoteReply(
        sender_id=state.replica_id,
        receiver_id=request.sender_id,
        term=request.term if is_granted else state.term,
        is_granted=is_granted,
        is_pre_vote=request.is_pre_vote,
    )
    state.hold(events.Send(address, reply))


def on_vote_reply(state: node.Node, reply: messages.VoteReply) -> None:
    """Count a vote."""
    role = state.role
    if not reply.is_granted:
        if reply.term > state.term:
            state.become_follower(reply.term)
        return
    if not isinstance(role, node.Candidate) or reply.is_pre_vote != role.is_pre_vote:
        return
    asked_term = state.term + 1 if role.is_pre_vote else state.term
    if reply.term != asked_term:
        return
    _count(state, role, reply.sender_id)


def on_own_vote(state: node.Node, vote: node.CountOwnVote) -> None:
    """Count this candidate's own vote, now that it is synced."""
    role = state.role
    if vote.term != state.term or not isinstance(role, node.Candidate):
        return
    if not role.is_pre_vote:
        _count(state, role, state.replica_id)


def _count(state: node.Node, role: node.Candidate, voter_id: str) -> None:
    role.granted_ids.add(voter_id)
    if not state.members.is_majority(role.granted_ids):
        return
    if role.is_pre_vote:
        campaign(state)
    else:
        leader.start(state)


def on_stand_now(state: node.Node, message: messages.StandNow) -> None:
    """Stand at once: the leader of this term has given up its lease."""
    if message.term == state.term and may_stand(state):
        campaign(state, is_transfer=True)


def found(state: node.Node, first: membership.Membership) -> None:
    """Write the first membership as the first entry and stand for election."""
    if state.log.last_index or state.term:
        return
    state.term = 1
    data = codec.encode(first)
    state.append((log.Entry(1, 1, 0.0, log.KIND_MEMBERSHIP, data),))
    state.election_deadline = state.now
