"""The leader: replication, commit, its lease, and membership changes.

The lease starts when the leader sent the newest message that a majority has
acknowledged, by the leader's own clock, and lasts one election timeout less the drift
margin. The followers measure their timeout from the later time at which they received
the message, so they refuse all candidates until after the lease has expired.
"""

from bilberrydrum.state import events, log, messages, node


def start(state: node.Node) -> None:
    """Become the leader of the current term."""
    first_index = state.log.last_index + 1
    role = node.Leader(
        since=state.now, first_index=first_index, base_time=state.log.last_time
    )
    state.role = role
    state.effects.append(events.RoleChanged(state.term, True))
    follow_membership(state, role)
    # Entries of earlier terms are committed only together with one of this term. Even
    # if a majority holds an entry of an earlier term, a later leader may overwrite it.
    entry = log.Entry(first_index, state.term, state.log.last_time, log.KIND_NOOP, b"")
    state.append((entry,))
    broadcast(state, role)


def follow_membership(state: node.Node, role: node.Leader) -> None:
    """Keep one `Progress` for each other replica of the newest membership."""
    ids = {each.replica_id for each in state.members.replicas}
    for replica_id in ids - set(role.progress_by_id) - {state.replica_id}:
        progress = node.Progress(next_index=state.log.last_index + 1)
        role.progress_by_id[replica_id] = progress
    for replica_id in set(role.progress_by_id) - ids:
        del role.progress_by_id[replica_id]


# Lease and quorum


def _quorum_value(state: node.Node, role: node.Leader, own: float, name: str) -> float:
    """Return the highest value of a `Progress` field that a majority has reached."""
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
    """Return the time until which no other replica can have been elected."""
    acknowledged_at = _quorum_value(state, role, state.now, "acknowledged_at")
    margin = 1.0 - state.settings.drift_margin
    return acknowledged_at + state.settings.election_timeout * margin


def is_established(state: node.Node, role: node.Leader) -> bool:
    """Return whether an entry of this term, and so all before it, is committed."""
    return state.commit_index >= role.first_index


def reachable_ids(state: node.Node, role: node.Leader) -> set[str]:
    """Return the ids of this replica and of those that answered recently.

    Recently means within the election timeout.
    """
    since = state.now - state.settings.election_timeout
    answered_ids = {
        replica_id
        for replica_id, progress in role.progress_by_id.items()
        if progress.last_contact_at >= since
    }
    return answered_ids | {state.replica_id}


def tick(state: node.Node, role: node.Leader) -> None:
    """Send heartbeats; stop leading if no majority has answered recently."""
    last_contact_at = _quorum_value(state, role, state.now, "last_contact_at")
    silent_since = max(last_contact_at, role.since)
    if state.now - silent_since > state.settings.election_timeout:
        # Otherwise a partitioned leader would go on accepting commands that it cannot
        # commit, and its clients would wait for it instead of finding the new leader.
        state.become_follower(state.term)
        return
    if state.now >= role.next_heartbeat:
        role.next_heartbeat = state.now + state.settings.heartbeat
        broadcast(state, role, is_heartbeat=True)


# Replication


def propose(state: node.Node, event: events.Propose) -> None:
    """Append commands to the log and replicate them."""
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
    """Return the time of new entries: the wall clock, but never a decreasing one.

    If an earlier leader's wall clock was ahead of this one, time continues from there
    at the rate of the monotonic clock. If it stood still until the wall clock caught
    up, no lease in the state would expire meanwhile.
    """
    elapsed = state.now - role.since
    return max(wall_time, role.base_time + elapsed, state.log.last_time)


def broadcast(state: node.Node, role: node.Leader, is_heartbeat: bool = False) -> None:
    """Send each replica the entries or the snapshot chunk that it lacks."""
    for replica_id, progress in role.progress_by_id.items():
        replicate(state, replica_id, progress, is_heartbeat)


def replicate(
    state: node.Node,
    replica_id: str,
    progress: node.Progress,
    is_heartbeat: bool = False,
) -> None:
    """Send one replica the entries or the snapshot chunk that it lacks."""
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
    # Until the logs are known to match, one message at a time probes for the index
    # where they do.
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
    """Process a follower's reply to entries or a heartbeat."""
    role = state.role
    if not isinstance(role, node.Leader) or reply.term != state.term:
        return
    progress = role.progress_by_id.get(reply.sender_id)
    if progress is None:
        return
    _record_contact(state, progress, reply.sent_at)
    if reply.is_success:
        _record_match(state, progress, reply.index)
    elif reply.index < progress.next_index - 1 and reply.index >= progress.match_index:
        # A message was lost, or the logs conflict: go back to the index where they may
        # match.
        progress.next_index = reply.index + 1
        progress.is_matched = False
        progress.in_flight.clear()
    advance_commit(state, role)
    if state.role is role and reply.sender_id in role.progress_by_id:
        replicate(state, reply.sender_id, progress)


def _record_contact(state: node.Node, progress: node.Progress, sent_at: float) -> None:
    progress.last_contact_at = state.now
    progress.acknowledged_at = max(progress.acknowledged_at, sent_at)


def _record_match(state: node.Node, progress: node.Progress, index: int) -> None:
    if index > state.log.last_index:
        return
    progress.match_index = max(progress.match_index, index)
    progress.is_matched = True
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    while progress.in_flight and progress.in_flight[0] <= progress.match_index:
        progress.in_flight.popleft()


def advance_commit(state: node.Node, role: node.Leader) -> None:
    """Commit the entries that a majority has synced."""
    own = float(state.durable_index)
    index = int(max(_quorum_value(state, role, own, "match_index"), 0.0))
    if index <= state.commit_index or index < role.first_index:
        return
    state.commit_to(index)
    broadcast_commit(state, role)
    if state.membership_index <= index and not state.is_voter():
        # The change that removed this replica is committed; the others elect a leader.
        state.become_follower(state.term)


def broadcast_commit(state: node.Node, role: node.Leader) -> None:
    """Send heartbeats with the commit index soon if the membership has changed.

    Otherwise followers learn the commit index with the next entries or heartbeat and
    apply slightly later than the leader; nothing waits for them, so that needs no
    message of its own.
    """
    if state.membership_index > role.first_index:
        role.next_heartbeat = state.now


def on_synced(state: node.Node) -> None:
    """Advance the commit index after this replica's own sync."""
    if isinstance(state.role, node.Leader):
        advance_commit(state, state.role)


# Snapshots


def _send_snapshot(state: node.Node, replica_id: str, progress: node.Progress) -> None:
    if state.now - progress.last_contact_at > state.settings.election_timeout:
        # Chunks for a host that is down would pile up in its connection's queue, a
        # quarter of a megabyte each time. Heartbeats continue, and the reply to one
        # starts the transfer.
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
    """Send the next chunk, or continue with the log after the last one."""
    role = state.role
    if not isinstance(role, node.Leader) or reply.term != state.term:
        return
    progress = role.progress_by_id.get(reply.sender_id)
    if progress is None:
        return
    _record_contact(state, progress, reply.sent_at)
    if progress.snapshot_offset is None or reply.index != progress.snapshot_index:
        return
    if reply.next_offset < 0:
        progress.snapshot_offset = None
        _record_match(state, progress, reply.index)
        replicate(state, reply.sender_id, progress)
    elif progress.snapshot_index == state.snapshot_index:
        if reply.next_offset < state.snapshot_bytes:
            progress.snapshot_offset = reply.next_offset
            _send_chunk(state, reply.sender_id, progress)
    else:
        _send_snapshot(state, reply.sender_id, progress)


# Leadership transfer


def successor(state: node.Node, role: node.Leader) -> str:
    """Return the id of the most advanced reachable voter; empty if there is none."""
    best_id, best_match = "", -1
    reachable = reachable_ids(state, role)
    for voter_id in state.members.voter_ids():
        progress = role.progress_by_id.get(voter_id)
        if progress is None or voter_id not in reachable:
            continue
        if progress.match_index > best_match:
            best_id, best_match = voter_id, progress.match_index
    return best_id


def transfer_leadership(state: node.Node, role: node.Leader) -> None:
    """Stop leading and let the most advanced voter start an election at once."""
    best_id = successor(state, role)
    state.become_follower(state.term)
    replica = state.members.find(best_id)
    if replica is None:
        return
    # Sent only after the lease is given up, as the receiver may be elected within it.
    timeout_now = messages.TimeoutNow(
        sender_id=state.replica_id, receiver_id=best_id, term=state.term
    )
    state.send(replica.peer_address, timeout_now)
