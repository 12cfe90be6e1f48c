"""The leader's task for the membership, and the group's status.

`steward` decides which change is due; this module gathers what it needs, has the change
made, and answers operators.
"""

from collections.abc import Mapping
from typing import Any, Protocol

import eliot
import eventlet
import result

from bilberrydrum import clock, codec, options, transport
from bilberrydrum.state import (
    commands,
    core,
    events,
    leader,
    membership,
    messages,
    node,
    queries,
    steward,
)

# A process that asked to join and was not heard again is forgotten after this long.
JOIN_SECONDS = 5.0
_PROBE_TIMEOUT = 2.0


class Changer(Protocol):
    """What this module needs of the replica."""

    @property
    def node(self) -> node.Node:
        """The core's data."""

    def change_members(
        self, change: membership.Change, timeout: float = 5.0
    ) -> str | None:
        """Make one change; return why it is not made, or None."""

    def put(self, event: Any) -> None:
        """Let the core take in an event."""


class StewardTask:
    """Membership changes, as the leader's process makes them."""

    def __init__(
        self,
        replica: Changer,
        carrier: transport.Transport,
        opts: options.Options,
    ) -> None:
        self._replica = replica
        self._carrier = carrier
        self._options = opts
        self._joining_by_process: dict[str, membership.ReplicaInfo] = {}
        self._joined_at: dict[str, float] = {}
        self._under_way: set[tuple[str, int]] = set()
        # Why the change that was due last is not made.
        self.pending_change = ""
        # Processes whose replicas are to be replaced by others.
        self.leaving_process_ids: frozenset[str] = frozenset()
        # Availability zones of processes that may hold a replica.
        self.zones_by_process_id: Mapping[str, str] = {}

    def joins(self, probe: messages.Probe, address: str) -> None:
        """Note that an empty replica asks to join.

        Only a process that the settings or the membership name is let in unasked,
        unless the settings leave the group open.
        """
        if self._options.state.is_open:
            self._note(probe.process_id, probe.replica_id, address)
            return
        known = {each.process_id for each in self._options.state.members}
        known |= {each.process_id for each in self._replica.node.members.replicas}
        if probe.process_id in known:
            self._note(probe.process_id, probe.replica_id, address)

    def _note(self, process_id: str, replica_id: str, address: str) -> None:
        info = membership.ReplicaInfo(replica_id, process_id, address, is_voter=False)
        self._joining_by_process[process_id] = info
        self._joined_at[process_id] = clock.now()

    def step(self) -> None:
        """Make the change that is due, if any."""
        state = self._replica.node
        role = state.role
        if not isinstance(role, node.Leader):
            return
        self._forget_old()
        change = steward.next_change(
            state.members,
            self._joining_by_process,
            learned_by_id(state, role),
            state.commit_index,
            self._policy(role),
        )
        if change is None:
            self.pending_change = ""
            return
        is_removal = change.kind == membership.REMOVE
        if is_removal and change.replica.replica_id == state.replica_id:
            # Removed while it leads, the group would stand without a leader for an
            # election timeout; handed over, it goes on at once.
            self._replica.put(events.TransferLeadership())
            return
        self._make(change)

    def _policy(self, role: node.Leader) -> steward.Policy:
        opts = self._options.state
        now = clock.now()
        lost_ids = frozenset(
            replica_id
            for replica_id, progress in role.progress_by_id.items()
            if now - max(progress.last_contact_at, role.since) > opts.lost_seconds
        )
        return steward.Policy(
            opts.n_voters, lost_ids, self.leaving_process_ids, self.zones_by_process_id
        )

    def _forget_old(self) -> None:
        since = clock.now() - JOIN_SECONDS
        for process_id, joined_at in list(self._joined_at.items()):
            info = self._joining_by_process[process_id]
            is_in = self._replica.node.members.find(info.replica_id) is not None
            if is_in or joined_at < since:
                del self._joined_at[process_id]
                del self._joining_by_process[process_id]

    def _make(self, change: membership.Change) -> str | None:
        refusal = self._replica.change_members(change)
        replica_id = change.replica.replica_id
        if refusal is None:
            self.pending_change = ""
            eliot.log_message(
                message_type="state:membership",
                kind=change.kind,
                replica_id=replica_id,
                process_id=change.replica.process_id,
            )
        else:
            self.pending_change = f"{change.kind} {replica_id}: {refusal}"
        return refusal

    # Operators

    def takes(self, address: str, client_id: str, number: int, query: object) -> bool:
        """Begin an operator's change; False if `query` is none."""
        if not isinstance(query, commands.AddMember | commands.RemoveMember):
            return False
        key = (client_id, number)
        if key not in self._under_way:
            self._under_way.add(key)
            eventlet.spawn(self._answer, address, key, query)
        return True

    def _answer(self, address: str, key: tuple[str, int], query: Any) -> None:
        try:
            if isinstance(query, commands.AddMember):
                refusal = self._add(query)
            else:
                refusal = self._remove(query)
            answer = commands.MemberChanged(refusal is None, refusal or "")
            item = messages.Item(key[1], codec.encode(answer))
            self._carrier.send(address, messages.Answers(key[0], [item], True))
        finally:
            self._under_way.discard(key)

    def _add(self, query: commands.AddMember) -> str | None:
        own_id = self._replica.node.replica_id
        probe = messages.Probe(self._options.process_id, own_id, is_empty=False)
        found = self._carrier.call(query.peer_address, probe, _PROBE_TIMEOUT)
        if isinstance(found, result.Err):
            return f"{query.peer_address} does not answer"
        reply = found.ok_value
        if not isinstance(reply, messages.ProbeReply):
            return f"{query.peer_address} holds no replica"
        if reply.process_id != query.process_id:
            return f"{query.peer_address} is {reply.process_id}"
        if self._replica.node.members.find(reply.replica_id) is not None:
            return None
        if not reply.is_empty:
            return f"{query.process_id} holds data of another membership"
        info = membership.ReplicaInfo(
            reply.replica_id, reply.process_id, query.peer_address, is_voter=False
        )
        return self._make(membership.Change(membership.ADD_LEARNER, info))

    def _remove(self, query: commands.RemoveMember) -> str | None:
        replica = self._replica.node.members.find(query.replica_id)
        if replica is None:
            # Asked again after a lost answer.
            return None
        return self._make(membership.Change(membership.REMOVE, replica))


def learned_by_id(state: node.Node, role: node.Leader) -> dict[str, steward.Learned]:
    """Return what the leader knows of the replicas, itself included."""
    reachable = leader.reachable_ids(state, role)
    learned = {
        replica_id: steward.Learned(progress.match_index, replica_id in reachable)
        for replica_id, progress in role.progress_by_id.items()
    }
    learned[state.replica_id] = steward.Learned(state.durable_index, True)
    return learned


def status(
    decisions: core.Core, applied_index: int, pending_change: str, failure: str
) -> queries.Status:
    """Return how the group stands as one replica sees it."""
    state = decisions.node
    role = state.role
    learned = {}
    leader_id = ""
    if isinstance(role, node.Leader):
        learned = learned_by_id(state, role)
        leader_id = state.replica_id
    elif isinstance(role, node.Follower):
        leader_id = role.leader_id
    leading = state.members.find(leader_id)
    return queries.Status(
        replica_id=state.replica_id,
        role=type(role).__name__.lower(),
        term=state.term,
        leader_process_id=leading.process_id if leading else "",
        commit_index=state.commit_index,
        applied_index=applied_index,
        last_index=state.log.last_index,
        durable_index=state.durable_index,
        snapshot_index=state.snapshot_index,
        members=[_member(each, learned) for each in state.members.replicas],
        pending_change=pending_change,
        failure=failure,
    )


def _member(
    replica: membership.ReplicaInfo, learned: dict[str, steward.Learned]
) -> queries.ReplicaStatus:
    known = learned.get(replica.replica_id, steward.Learned(0, False))
    return queries.ReplicaStatus(
        replica_id=replica.replica_id,
        process_id=replica.process_id,
        peer_address=replica.peer_address,
        is_voter=replica.is_voter,
        is_reachable=known.is_reachable,
        match_index=known.match_index,
    )
