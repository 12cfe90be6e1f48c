"""The follower: accepts the leader's entries and snapshots."""

from bilberrydrum.state import events, log, messages, node, snapshot


def on_append(state: node.Node, address: str, append: messages.Append) -> None:
    """Append entries of the leader, and acknowledge them once they are synced."""
    if append.term < state.term:
        _reply(state, address, append, False, state.log.last_index)
        return
    _record_leader_contact(state, address, append)
    if state.installing is not None:
        return
    hint = _rejection_hint(state, append)
    if hint is not None:
        _reply(state, address, append, False, hint)
        return
    last_index = append.previous_index
    if append.entries:
        entries = log.unpack(append.entries)
        last_index = entries[-1].index
        _append_missing(state, entries)
    state.commit_to(min(append.commit_index, last_index))
    _reply_when_synced(state, address, append, last_index)


def _record_leader_contact(
    state: node.Node,
    address: str,
    message: messages.Append | messages.SnapshotChunk,
) -> None:
    role = state.role
    is_same = isinstance(role, node.Follower) and role.leader_id == message.sender_id
    if message.term > state.term or not is_same:
        state.become_follower(message.term, message.sender_id, address)
    state.leader_contact_at = state.now
    state.has_leader_contact = True
    state.reset_election_deadline()


def _rejection_hint(state: node.Node, append: messages.Append) -> int | None:
    """Return the highest index at which the logs may match, if they conflict.

    Returns None if they match at the append's previous index.
    """
    if append.previous_index < state.log.base_index:
        # Entries up to the base are committed, so the logs match there.
        return None
    if append.previous_index > state.log.last_index:
        return state.log.last_index
    term = state.log.term_at(append.previous_index)
    if term == append.previous_term:
        return None
    # Skip all entries of the conflicting term, but no committed entry.
    index = append.previous_index - 1
    while index > state.commit_index and state.log.term_at(index) == term:
        index -= 1
    return index


def _append_missing(state: node.Node, entries: list[log.Entry]) -> None:
    """Append the missing entries; a conflicting entry replaces all that follow."""
    for i, entry in enumerate(entries):
        if entry.index <= state.log.base_index:
            continue
        if entry.index <= state.log.last_index:
            if state.log.term_at(entry.index) == entry.term:
                continue
            state.truncate(entry.index - 1)
        state.append(tuple(entries[i:]))
        return


def _reply_when_synced(
    state: node.Node, address: str, append: messages.Append, last_index: int
) -> None:
    if state.is_term_durable() and not append.entries:
        # The reply to a heartbeat does not wait for the disk. Otherwise a slow
        # sync would let the leader's lease expire.
        index = min(last_index, state.durable_index)
        _reply(state, address, append, True, index, is_held=False)
    else:
        _reply(state, address, append, True, last_index)


def _reply(
    state: node.Node,
    address: str,
    append: messages.Append,
    is_success: bool,
    index: int,
    is_held: bool = True,
) -> None:
    reply = messages.AppendReply(
        sender_id=state.replica_id,
        receiver_id=append.sender_id,
        term=state.term,
        is_success=is_success,
        index=index,
        sent_at=append.sent_at,
    )
    if is_held:
        state.hold(events.Send(address, reply))
    else:
        state.send(address, reply)


def on_chunk(state: node.Node, address: str, chunk: messages.SnapshotChunk) -> None:
    """Store a chunk of the leader's snapshot and request the next one."""
    if chunk.term < state.term:
        return
    _record_leader_contact(state, address, chunk)
    if state.installing is not None:
        return
    if chunk.index <= state.commit_index:
        _reply_to_chunk(state, address, chunk, -1)
        return
    partial_snapshot = state.partial_snapshot
    if partial_snapshot is None or (
        partial_snapshot.sender_id,
        partial_snapshot.index,
    ) != (
        chunk.sender_id,
        chunk.index,
    ):
        partial_snapshot = node.PartialSnapshot(chunk.sender_id, chunk.index)
        state.partial_snapshot = partial_snapshot
    if chunk.offset == len(partial_snapshot.data):
        partial_snapshot.data += chunk.data
    if len(partial_snapshot.data) < chunk.n_total_bytes:
        _reply_to_chunk(state, address, chunk, len(partial_snapshot.data))
        return
    state.partial_snapshot = None
    _install(state, address, chunk, bytes(partial_snapshot.data))


def _install(
    state: node.Node, address: str, chunk: messages.SnapshotChunk, data: bytes
) -> None:
    header = snapshot.read_header(data)
    if header is None or header.index != chunk.index:
        _reply_to_chunk(state, address, chunk, 0)
        return
    state.save_snapshot(header.index, header.term, header.time, data, header.membership)
    _reply_to_chunk(state, address, chunk, -1)


def _reply_to_chunk(
    state: node.Node, address: str, chunk: messages.SnapshotChunk, next_offset: int
) -> None:
    reply = messages.SnapshotReply(
        sender_id=state.replica_id,
        receiver_id=chunk.sender_id,
        term=state.term,
        index=chunk.index,
        next_offset=next_offset,
        sent_at=chunk.sent_at,
    )
    state.hold(events.Send(address, reply))


def on_installed(state: node.Node) -> None:
    """Use a received snapshot once it is synced."""
    assert state.installing is not None
    effect = state.installing[1]
    state.installing = None
    state.snapshot_index = effect.index
    state.commit_index = max(state.commit_index, effect.index)
    state.effects.append(events.Restore(effect.index, effect.data))
    state.effects.append(events.DropLog(effect.index))
