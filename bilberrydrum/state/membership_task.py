"""Make membership changes at the leader, and report the status of the group.

`membership_planner` decides which change is due. This module gathers the input for the
decision, has the change made, and answers operators' requests for changes.
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
    membership_planner,
    messages,
    node,
    queries,
)

# A request to join is dropped if it is not repeated within this many seconds.
JOIN_REQUEST_SECONDS = 5.0
_PROBE_TIMEOUT_SECONDS = 2.0


class LocalReplica(Protocol):
    """The part of this process's replica that this module uses."""

    @property
    def node(self) -> node.Node:
        """The core's data."""

    def change_members(
        self, change: membership.Change, timeout: float = 5.0
    ) -> str | None:
        """Make one change; return why it was not made, or None if it was."""

    def put(self, event: Any) -> None:
        """Queue an event for the core."""


class MembershipTask:
    """Makes membership changes while the replica of this process leads."""

    def __init__(
        self,
        replica: LocalReplica,
        carrier: transport.Transport,
        opts: options.Options,
    ) -> None:
        self._replica = replica
        self._carrier = carrier
        self._options = opts
        self._joining_by_process: dict[str, membership.ReplicaInfo] = {}
        self._requested_at: dict[str, float] = {}
        self._in_progress: set[tuple[str, int]] = set()
        # Why the change that is due has not been made; empty: none is due.
        self.pending_change = ""
        # Processes whose replicas are to be replaced by others.
        self.leaving_process_ids: frozenset[str] = frozenset()
        # Availability zones of processes that may hold a replica.
        self.zones_by_process_id: Mapping[str, str] = {}

    def record_join_request(self, probe: messages.Probe, address: str) -> None:
        """Record that an empty replica requests to join.

        Unless the settings leave the group open, only processes that are named in the
        settings or the membership may join without an operator's request.
        """
        if self._options.state.is_open:
            self._record_joining(probe.process_id, probe.replica_id, address)
            return
        known = {each.process_id for each in self._options.state.members}
        known |= {each.process_id for each in self._replica.node.members.replicas}
        if probe.process_id in known:
            self._record_joining(probe.process_id, probe.replica_id, address)

    def _record_joining(self, process_id: str, replica_id: str, address: str) -> None:
        info = membership.ReplicaInfo(replica_id, process_id, address, is_voter=False)
        self._joining_by_process[process_id] = info
        self._requested_at[process_id] = clock.now()

    def step(self) -> None:
        """Make the change that is due, if any."""
        state = self._replica.node
        role = state.role
        if not isinstance(role, node.Leader):
            return
        self._expire_join_requests()
        change = membership_planner.next_change(
            state.members,
            self._joining_by_process,
            replica_progress_by_id(state, role),
            state.commit_index,
            self._policy(role),
        )
        if change is None:
            self.pending_change = ""
            return
        is_removal = change.kind == membership.REMOVE
        if is_removal and change.replica.replica_id == state.replica_id:
            # If the leader were removed while it leads, the group would be without a
            # leader for an election timeout. A leadership transfer takes no such time,
            # and the new leader then makes the removal.
            self._replica.put(events.TransferLeadership())
            return
        self._make_change(change)

    def _policy(self, role: node.Leader) -> membership_planner.Policy:
        opts = self._options.state
        now = clock.now()
        lost_ids = frozenset(
            replica_id
            for replica_id, progress in role.progress_by_id.items()
            if now - max(progress.last_contact_at, role.since) > opts.lost_seconds
        )
        return membership_planner.Policy(
            opts.n_voters, lost_ids, self.leaving_process_ids, self.zones_by_process_id
        )

    def _expire_join_requests(self) -> None:
        since = clock.now() - JOIN_REQUEST_SECONDS
        for process_id, requested_at in list(self._requested_at.items()):
            info = self._joining_by_process[process_id]
            is_in = self._replica.node.members.find(info.replica_id) is not None
            if is_in or requested_at < since:
                del self._requested_at[process_id]
                del self._joining_by_process[process_id]

    def _make_change(self, change: membership.Change) -> str | None:
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

    def handle_operator_query(
        self, address: str, client_id: str, number: int, query: object
    ) -> bool:
        """Start to make an operator's change; return False if `query` is none."""
        if not isinstance(query, commands.AddMember | commands.RemoveMember):
            return False
        key = (client_id, number)
        if key not in self._in_progress:
            self._in_progress.add(key)
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
            self._in_progress.discard(key)

    def _add(self, query: commands.AddMember) -> str | None:
        own_id = self._replica.node.replica_id
        probe = messages.Probe(self._options.process_id, own_id, is_empty=False)
        found = self._carrier.call(query.peer_address, probe, _PROBE_TIMEOUT_SECONDS)
        if isinstance(found, result.Err):
            return f"{query.peer_address} does not answer"
        reply = found.ok_value
        if not isinstance(reply, messages.ProbeReply):
            return f"{query.peer_address} holds no replica"
        if reply.process_id != query.process_id:
            return (
                f"{query.peer_address} belongs to another process, {reply.process_id}"
            )
        if self._replica.node.members.find(reply.replica_id) is not None:
            return None
        if not reply.is_empty:
            return f"{query.process_id} is not empty: its data is of another membership"
        info = membership.ReplicaInfo(
            reply.replica_id, reply.process_id, query.peer_address, is_voter=False
        )
        return self._make_change(membership.Change(membership.ADD_LEARNER, info))

    def _remove(self, query: commands.RemoveMember) -> str | None:
        replica = self._replica.node.members.find(query.replica_id)
        if replica is None:
            # The request was repeated after its answer was lost, or names no member.
            return None
        return self._make_change(membership.Change(membership.REMOVE, replica))


def replica_progress_by_id(
    state: node.Node, role: node.Leader
) -> dict[str, membership_planner.ReplicaProgress]:
    """Return what the leader knows of each replica, itself included."""
    reachable = leader.reachable_ids(state, role)
    progress_by_id = {
        replica_id: membership_planner.ReplicaProgress(
            progress.match_index, replica_id in reachable
        )
        for replica_id, progress in role.progress_by_id.items()
    }
    progress_by_id[state.replica_id] = membership_planner.ReplicaProgress(
        state.durable_index, True
    )
    return progress_by_id


def status(
    decisions: core.Core, applied_index: int, pending_change: str, failure: str
) -> queries.Status:
    """Return the status of the group, as seen by one replica."""
    state = decisions.node
    role = state.role
    progress_by_id = {}
    leader_id = ""
    if isinstance(role, node.Leader):
        progress_by_id = replica_progress_by_id(state, role)
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
        members=[_member(each, progress_by_id) for each in state.members.replicas],
        pending_change=pending_change,
        failure=failure,
    )


def _member(
    replica: membership.ReplicaInfo,
    progress_by_id: dict[str, membership_planner.ReplicaProgress],
) -> queries.ReplicaStatus:
    known = progress_by_id.get(
        replica.replica_id, membership_planner.ReplicaProgress(0, False)
    )
    return queries.ReplicaStatus(
        replica_id=replica.replica_id,
        process_id=replica.process_id,
        peer_address=replica.peer_address,
        is_voter=replica.is_voter,
        is_reachable=known.is_reachable,
        match_index=known.match_index,
    )
