"""The leader: replication, commit, its lease, and membership changes.

The lease starts when the leader sent the newest message that a majority has answered,
by the leader's own clock, and lasts one election timeout less the drift margin. The
followers count from the later moment at which they received it, so that they refuse
all candidates until after the lease has ended.
"""

from bilberrydrum.state import events, log, messages, node


def start(state: node.Node) -> None:
    """Lead the current term."""
    first_index = state.log.last_index + 1
    role = node.Leader(
        since=state.now, first_index=first_index, base_time=state.log.last_time
    )
    state.role = role
    state.effects.append(events.RoleChanged(state.term, True))
    follow_membership(state, role)
    # Entries of earlier terms are committed only together with one of this term: a
    # majority that holds an old entry does not keep a later leader from replacing it.
    entry = log.Entry(first_index, state.term, state.log.last_time, log.KIND_NOOP, b"")
    state.append((entry,))
    broadcast(state, role)


def follow_membership(state: node.Node, role: node.Leader) -> None:
    """Keep a progress for each other replica of the newest membership."""
    ids = {each.replica_id for each in state.members.replicas}
    for replica_id in ids - set(role.progress_by_id) - {state.replica_id}:
        progress = node.Progress(next_index=state.log.last_index + 1)
        role.progress_by_id[replica_id] = progress
    for replica_id in set(role.progress_by_id) - ids:
        del role.progress_by_id[replica_id]


# Lease and quorum


def _quorum_value(state: node.Node, role: node.Leader, own: float, name: str) -> float:
    """Return the highest value of a progress field that a majority has reached."""
    values = []
    for voter_id in state.members.voter_ids():
        if voter_id == state.replica_id:
            values.append(own)
            continue
        progress = role.progress_by_id.get(voter_id)
        values.append(getattr(progress, name) if progress else float("-inf"))
    values.sort(reverse=True)
    return float(values[state.members.majority() - 1])


def lease_end(state: node.Node, role: node.Leader) -> float:
    """Return until when no other replica can have been elected."""
    acknowledged_at = _quorum_value(state, role, state.now, "acknowledged_at")
    margin = 1.0 - state.settings.drift_margin
    return acknowledged_at + state.settings.election_timeout * margin


def is_established(state: node.Node, role: node.Leader) -> bool:
    """Tell whether an entry of this term is committed, and so all before it."""
    return state.commit_index >= role.first_index


def reachable_ids(state: node.Node, role: node.Leader) -> set[str]:
    """Return the replicas heard from within the election timeout, and this one."""
    since = state.now - state.settings.election_timeout
    heard = {
        replica_id
        for replica_id, progress in role.progress_by_id.items()
        if progress.heard_at >= since
    }
    return heard | {state.replica_id}


def tick(state: node.Node, role: node.Leader) -> None:
    """Send heartbeats; stop leading if no majority answers."""
    heard_at = _quorum_value(state, role, state.now, "heard_at")
    silent_since = max(heard_at, role.since)
    if state.now - silent_since > state.settings.election_timeout:
        # A leader cut off from the others would go on taking commands that it can
        # never commit; its clients would wait on it instead of finding the next one.
        state.become_follower(state.term)
        return
    if state.now >= role.next_heartbeat:
        role.next_heartbeat = state.now + state.settings.heartbeat
        broadcast(state, role, is_heartbeat=True)


# Replication


def propose(state: node.Node, event: events.Propose) -> None:
    """Take commands into the log."""
    role = state.role
    if not isinstance(role, node.Leader):
        state.effects.append(events.NotLeader(event.ticket))
        return
    first_index = state.log.last_index + 1
    time = stamp(state, role, event.wall_time)
    entries = tuple(
        log.Entry(first_index + i, state.term, time, kind, data)
        for i, (kind, data) in enumerate(event.items)
    )
    state.append(entries)
    state.effects.append(events.Accepted(event.ticket, first_index, state.term))
    broadcast(state, role)


def stamp(state: node.Node, role: node.Leader, wall_time: float) -> float:
    """Return the time of new entries: the wall clock, but never a falling one.

    Behind an earlier leader whose clock ran ahead, time goes on from there at the rate
    of the monotonic clock; standing still, it would let no lease in the state end.
    """
    elapsed = state.now - role.since
    return max(wall_time, role.base_time + elapsed, state.log.last_time)


def broadcast(state: node.Node, role: node.Leader, is_heartbeat: bool = False) -> None:
    """Send each replica what it lacks."""
    for replica_id, progress in role.progress_by_id.items():
        replicate(state, replica_id, progress, is_heartbeat)


def replicate(
    state: node.Node,
    replica_id: str,
    progress: node.Progress,
    is_heartbeat: bool = False,
) -> None:
    """Send one replica the entries or the snapshot part that it lacks."""
    if progress.next_index <= state.log.base_index:
        _send_snapshot(state, replica_id, progress)
        if is_heartbeat:
            _send_append(state, replica_id, progress, state.log.last_index, [])
        return
    n_sent = 0
    while _may_send(state, progress):
        entries = _next_entries(state, progress)
        _send_append(state, replica_id, progress, progress.next_index - 1, entries)
        progress.next_index += len(entries)
        progress.in_flight.append(progress.next_index - 1)
        n_sent += 1
    if is_heartbeat and not n_sent:
        _send_append(state, replica_id, progress, progress.next_index - 1, [])


def _may_send(state: node.Node, progress: node.Progress) -> bool:
    if progress.next_index > state.log.last_index:
        return False
    # Until the logs are known to agree, one message at a time finds the place.
    limit = state.settings.max_appends_in_flight if progress.is_matched else 1
    return len(progress.in_flight) < limit


def _next_entries(state: node.Node, progress: node.Progress) -> list[log.Entry]:
    last = min(
        state.log.last_index,
        progress.next_index + state.settings.max_append_entries - 1,
    )
    entries = state.log.between(progress.next_index, last)
    n_bytes = 0
    for i, entry in enumerate(entries):
        n_bytes += len(entry.data)
        if n_bytes > state.settings.max_append_bytes:
            return entries[: max(i, 1)]
    return entries


def _send_append(
    state: node.Node,
    replica_id: str,
    progress: node.Progress,
    previous_index: int,
    entries: list[log.Entry],
) -> None:
    replica = state.members.find(replica_id)
    previous_term = state.log.term_at(previous_index)
    assert replica is not None and previous_term is not None
    append = messages.Append(
        sender_id=state.replica_id,
        receiver_id=replica_id,
        term=state.term,
        previous_index=previous_index,
        previous_term=previous_term,
        commit_index=state.commit_index,
        sent_at=state.now,
        entries=log.pack(entries) if entries else b"",
    )
    state.send(replica.peer_address, append)


def on_append_reply(state: node.Node, reply: messages.AppendReply) -> None:
    """Note what a follower holds."""
    role = state.role
    if not isinstance(role, node.Leader) or reply.term != state.term:
        return
    progress = role.progress_by_id.get(reply.sender_id)
    if progress is None:
        return
    _heard(state, progress, reply.sent_at)
    if reply.is_success:
        _matched(state, progress, reply.index)
    elif reply.index < progress.next_index - 1 and reply.index >= progress.match_index:
        # A lost message left a gap, or the logs differ: go back to where they may
        # agree.
        progress.next_index = reply.index + 1
        progress.is_matched = False
        progress.in_flight.clear()
    advance_commit(state, role)
    if state.role is role and reply.sender_id in role.progress_by_id:
        replicate(state, reply.sender_id, progress)


def _heard(state: node.Node, progress: node.Progress, sent_at: float) -> None:
    progress.heard_at = state.now
    progress.acknowledged_at = max(progress.acknowledged_at, sent_at)


def _matched(state: node.Node, progress: node.Progress, index: int) -> None:
    if index > state.log.last_index:
        return
    progress.match_index = max(progress.match_index, index)
    progress.is_matched = True
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    while progress.in_flight and progress.in_flight[0] <= progress.match_index:
        progress.in_flight.popleft()


def advance_commit(state: node.Node, role: node.Leader) -> None:
    """Commit what a majority holds durably."""
    own = float(state.durable_index)
    index = int(max(_quorum_value(state, role, own, "match_index"), 0.0))
    if index <= state.commit_index or index < role.first_index:
        return
    state.commit_to(index)
    broadcast_commit(state, role)
    if state.membership_index <= index and not state.is_voter():
        # The change that removed this replica is committed: the others go on.
        state.become_follower(state.term)


def broadcast_commit(state: node.Node, role: node.Leader) -> None:
    """Let an established group's heartbeats carry the commit index soon.

    Followers apply a little later than the leader; nothing waits for them, so no
    message of its own is spent unless the membership has just changed.
    """
    if state.membership_index > role.first_index:
        role.next_heartbeat = state.now


def on_synced(state: node.Node) -> None:
    """Count this replica's own sync towards the commit."""
    if isinstance(state.role, node.Leader):
        advance_commit(state, state.role)


# Snapshots


def _send_snapshot(state: node.Node, replica_id: str, progress: node.Progress) -> None:
    if state.now - progress.heard_at > state.settings.election_timeout:
        # Parts for a host that is down would pile up in its connection's queue, a
        # quarter of a megabyte each time. Heartbeats go on; its answer starts this.
        return
    is_same = progress.snapshot_index == state.snapshot_index
    if progress.snapshot_offset is None or not is_same:
        progress.snapshot_offset = 0
        progress.snapshot_index = state.snapshot_index
    elif state.now - progress.chunk_sent_at < state.settings.election_timeout:
        return
    _send_chunk(state, replica_id, progress)


def _send_chunk(state: node.Node, replica_id: str, progress: node.Progress) -> None:
    replica = state.members.find(replica_id)
    assert replica is not None and progress.snapshot_offset is not None
    progress.chunk_sent_at = state.now
    state.effects.append(
        events.SendChunk(
            replica.peer_address,
            replica_id,
            state.term,
            progress.snapshot_index,
            progress.snapshot_offset,
            state.now,
        )
    )


def on_snapshot_reply(state: node.Node, reply: messages.SnapshotReply) -> None:
    """Send the next part, or go on with the log after the last one."""
    role = state.role
    if not isinstance(role, node.Leader) or reply.term != state.term:
        return
    progress = role.progress_by_id.get(reply.sender_id)
    if progress is None:
        return
    _heard(state, progress, reply.sent_at)
    if progress.snapshot_offset is None or reply.index != progress.snapshot_index:
        return
    if reply.next_offset < 0:
        progress.snapshot_offset = None
        _matched(state, progress, reply.index)
        replicate(state, reply.sender_id, progress)
    elif progress.snapshot_index == state.snapshot_index:
        if reply.next_offset < state.snapshot_bytes:
            progress.snapshot_offset = reply.next_offset
            _send_chunk(state, reply.sender_id, progress)
    else:
        _send_snapshot(state, reply.sender_id, progress)


# Handover


def successor(state: node.Node, role: node.Leader) -> str:
    """Return the reachable voter that holds the most, or nothing if there is none."""
    best_id, best_match = "", -1
    reachable = reachable_ids(state, role)
    for voter_id in state.members.voter_ids():
        progress = role.progress_by_id.get(voter_id)
        if progress is None or voter_id not in reachable:
            continue
        if progress.match_index > best_match:
            best_id, best_match = voter_id, progress.match_index
    return best_id


def give_up(state: node.Node, role: node.Leader) -> None:
    """Stop leading and ask the most advanced voter to stand at once."""
    best_id = successor(state, role)
    state.become_follower(state.term)
    replica = state.members.find(best_id)
    if replica is None:
        return
    # Sent after the lease is given up: the receiver may be elected within it.
    stand_now = messages.StandNow(
        sender_id=state.replica_id, receiver_id=best_id, term=state.term
    )
    state.send(replica.peer_address, stand_now)
