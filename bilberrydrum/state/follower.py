"""The follower: takes the leader's entries and snapshots."""

from bilberrydrum.state import events, log, messages, node, snapshot


def on_append(state: node.Node, address: str, append: messages.Append) -> None:
    """Take entries of the leader, and answer once they are synced."""
    if append.term < state.term:
        _reply(state, address, append, False, state.log.last_index)
        return
    _hear(state, address, append)
    if state.installing is not None:
        return
    agreed = _agreement(state, append)
    if agreed is not None:
        _reply(state, address, append, False, agreed)
        return
    last_index = append.previous_index
    if append.entries:
        entries = log.unpack(append.entries)
        last_index = entries[-1].index
        _take(state, entries)
    state.commit_to(min(append.commit_index, last_index))
    _reply_when_synced(state, address, append, last_index)


def _hear(
    state: node.Node,
    address: str,
    message: messages.Append | messages.SnapshotChunk,
) -> None:
    role = state.role
    is_same = isinstance(role, node.Follower) and role.leader_id == message.sender_id
    if message.term > state.term or not is_same:
        state.become_follower(message.term, message.sender_id, address)
    state.heard_at = state.now
    state.has_heard = True
    state.reset_election_deadline()


def _agreement(state: node.Node, append: messages.Append) -> int | None:
    """Return where the logs may agree if they do not at the previous index."""
    if append.previous_index < state.log.base_index:
        # What the base covers is committed, so the logs agree on it.
        return None
    if append.previous_index > state.log.last_index:
        return state.log.last_index
    term = state.log.term_at(append.previous_index)
    if term == append.previous_term:
        return None
    # Skip the whole term that differs, down to what is known to be committed.
    index = append.previous_index - 1
    while index > state.commit_index and state.log.term_at(index) == term:
        index -= 1
    return index


def _take(state: node.Node, entries: list[log.Entry]) -> None:
    """Add the entries not yet held; a differing one replaces all that follow."""
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
        # A heartbeat does not wait for the disk: a slow sync must not end the lease.
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
    """Take a part of the leader's snapshot and ask for the next."""
    if chunk.term < state.term:
        return
    _hear(state, address, chunk)
    if state.installing is not None:
        return
    if chunk.index <= state.commit_index:
        _ask(state, address, chunk, -1)
        return
    assembly = state.assembly
    if assembly is None or (assembly.sender_id, assembly.index) != (
        chunk.sender_id,
        chunk.index,
    ):
        assembly = node.Assembly(chunk.sender_id, chunk.index)
        state.assembly = assembly
    if chunk.offset == len(assembly.data):
        assembly.data += chunk.data
    if len(assembly.data) < chunk.n_total_bytes:
        _ask(state, address, chunk, len(assembly.data))
        return
    state.assembly = None
    _install(state, address, chunk, bytes(assembly.data))


def _install(
    state: node.Node, address: str, chunk: messages.SnapshotChunk, data: bytes
) -> None:
    header = snapshot.read_header(data)
    if header is None or header.index != chunk.index:
        _ask(state, address, chunk, 0)
        return
    state.save_snapshot(header.index, header.term, header.time, data, header.membership)
    _ask(state, address, chunk, -1)


def _ask(
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
    """Go on after a received snapshot, which is now synced."""
    assert state.installing is not None
    effect = state.installing[1]
    state.installing = None
    state.snapshot_index = effect.index
    state.commit_index = max(state.commit_index, effect.index)
    state.effects.append(events.Restore(effect.index, effect.data))
    state.effects.append(events.DropLog(effect.index))
