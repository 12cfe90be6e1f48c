"""Elections: pre-vote, votes, and the rule that protects a live leader.

A replica whose election timeout expires first asks whether it could win (pre-vote),
which changes no term. Only if a majority agrees does it start a term and request votes.
A replica that received a leader's message within the election timeout answers neither.
"""

from bilberrydrum import codec
from bilberrydrum.state import events, leader, log, membership, messages, node


def tick(state: node.Node) -> None:
    """Start an election if the election timeout has expired."""
    if state.now < state.election_deadline or not may_campaign(state):
        return
    start_pre_vote(state)


def may_campaign(state: node.Node) -> bool:
    """Return whether this replica may become a leader."""
    return state.is_voter() and state.installing is None


def start_pre_vote(state: node.Node) -> None:
    """Start a pre-vote: ask whether a majority would vote for this replica.

    Without it, a replica that was partitioned would return with a higher term and make
    a healthy leader step down.
    """
    state.role = node.Candidate(is_pre_vote=True, granted_ids={state.replica_id})
    state.reset_election_deadline()
    if state.members.is_majority(state.role.granted_ids):
        campaign(state)
        return
    _request_votes(state, state.role, state.term + 1)


def campaign(state: node.Node, is_transfer: bool = False) -> None:
    """Start a new term and request votes in it."""
    state.term += 1
    state.voted_for = state.replica_id
    state.write()
    state.role = node.Candidate(is_pre_vote=False, is_transfer=is_transfer)
    state.reset_election_deadline()
    _request_votes(state, state.role, state.term)
    state.hold(node.CountOwnVote(state.term))


def _request_votes(state: node.Node, role: node.Candidate, term: int) -> None:
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


def may_support_lease(state: node.Node) -> bool:
    """Return whether a leader's lease may rest on this replica's acknowledgement.

    If this replica voted for another candidate before that lease expires, the new
    leader could commit entries while the old one still answers reads without them.
    """
    if isinstance(state.role, node.Leader):
        return leader.lease_end(state, state.role) > state.now
    return state.now - state.leader_contact_at < state.settings.election_timeout


def is_up_to_date(state: node.Node, request: messages.VoteRequest) -> bool:
    """Return whether the candidate's log is at least as up to date as this one.

    A candidate with a majority of such votes holds all committed entries.
    """
    own = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own


def on_vote_request(
    state: node.Node, address: str, request: messages.VoteRequest
) -> None:
    """Answer a candidate's vote request."""
    if may_support_lease(state) and not request.is_transfer:
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
    """Process the reply to a vote request."""
    role = state.role
    if not reply.is_granted:
        if reply.term > state.term:
            state.become_follower(reply.term)
        return
    if not isinstance(role, node.Candidate) or reply.is_pre_vote != role.is_pre_vote:
        return
    expected_term = state.term + 1 if role.is_pre_vote else state.term
    if reply.term != expected_term:
        return
    _count_vote(state, role, reply.sender_id)


def on_own_vote(state: node.Node, vote: node.CountOwnVote) -> None:
    """Count this candidate's own vote once it is synced."""
    role = state.role
    if vote.term != state.term or not isinstance(role, node.Candidate):
        return
    if not role.is_pre_vote:
        _count_vote(state, role, state.replica_id)


def _count_vote(state: node.Node, role: node.Candidate, voter_id: str) -> None:
    role.granted_ids.add(voter_id)
    if not state.members.is_majority(role.granted_ids):
        return
    if role.is_pre_vote:
        campaign(state)
    else:
        leader.start(state)


def on_timeout_now(state: node.Node, message: messages.TimeoutNow) -> None:
    """Start an election at once: the leader of this term gave up its lease."""
    if message.term == state.term and may_campaign(state):
        campaign(state, is_transfer=True)


def bootstrap(state: node.Node, first: membership.Membership) -> None:
    """Write the first membership as the first entry and start an election."""
    if state.log.last_index or state.term:
        return
    state.term = 1
    data = codec.encode(first)
    state.append((log.Entry(1, 1, 0.0, log.KIND_MEMBERSHIP, data),))
    state.election_deadline = state.now
