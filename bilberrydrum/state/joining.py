"""How a replica joins its group, and how it learns that it was removed.

An empty replica probes the processes that it knows until it may bootstrap the group or
until a leader adds it. A replica without contact to a leader asks whether it was
removed, because a leader sends nothing to replicas outside the group.
"""

from typing import Any, Final, Protocol

from bilberrydrum import clock, interfaces, options, transport
from bilberrydrum.state import bootstrap, events, membership_task, messages, node

# A replica without contact to a leader for this long asks whether it was removed. This
# is longer than any election.
_NO_LEADER_SECONDS: Final = 3.0


class LocalReplica(Protocol):
    """The part of this process's replica that this module uses."""

    @property
    def node(self) -> node.Node:
        """The core's data."""

    @property
    def failure(self) -> str:
        """Why the replica has stopped; empty if it is running."""

    def put(self, event: Any) -> None:
        """Pass an event to the core."""

    def leadership(self) -> interfaces.Leadership | None:
        """Return the leadership if this replica holds the leader lease."""

    def on_removed(self) -> None:
        """Stop participating, because the group has replaced this replica."""


class Joining:
    """The task that joins a group and watches the membership in it."""

    def __init__(
        self,
        replica: LocalReplica,
        opts: options.Options,
        carrier: transport.Transport,
        membership: membership_task.MembershipTask,
    ) -> None:
        self._replica = replica
        self._options = opts
        self._carrier = carrier
        self._membership_task = membership
        self._bootstrap = bootstrap.Bootstrap(
            opts.process_id,
            replica.node.replica_id,
            opts.peer_address,
            opts.state.members,
            opts.state.may_found,
        )

    def listen(self) -> None:
        """Register the handlers of messages from other processes."""
        self._carrier.on(messages.Probe, self._on_probe)
        self._carrier.on(messages.ProbeReply, self._on_probe_reply)

    def learn(self, addresses: tuple[str, ...]) -> None:
        """Record addresses of processes that may be members of the group."""
        self._bootstrap.learn(addresses)

    def run(self) -> None:
        """Bootstrap or join the group; at the leader, maintain the membership (a task).

        A member without contact to a leader asks the others whether it was removed.
        """
        while True:
            state = self._replica.node
            if not state.members.replicas:
                self._bootstrap_or_wait()
            elif isinstance(state.role, node.Leader):
                self._membership_task.step()
            elif clock.now() - state.leader_contact_at > _NO_LEADER_SECONDS:
                self._probe_all(is_empty=False)
            clock.sleep(bootstrap.PROBE_SECONDS)

    def _bootstrap_or_wait(self) -> None:
        first = self._bootstrap.first_membership()
        if first is not None:
            self._replica.put(events.BootstrapGroup(first))
            return
        self._probe_all(is_empty=True)

    def _probe_all(self, is_empty: bool) -> None:
        state = self._replica.node
        probe = messages.Probe(self._options.process_id, state.replica_id, is_empty)
        known = {each.peer_address for each in state.members.replicas}
        known.discard(self._options.peer_address)
        for address in known | set(self._bootstrap.addresses()):
            self._carrier.send(address, probe)

    def _on_probe(self, sender: transport.Sender, probe: messages.Probe) -> None:
        if self._replica.failure:
            return
        state = self._replica.node
        reply = messages.ProbeReply(
            self._options.process_id,
            state.replica_id,
            not state.members.replicas,
            probe.replica_id,
            tuple(each.peer_address for each in state.members.replicas),
            self._has_removed(probe),
        )
        self._carrier.answer(sender, reply)
        if probe.is_empty and isinstance(state.role, node.Leader):
            self._membership_task.record_join_request(probe, sender.address)

    def _has_removed(self, probe: messages.Probe) -> bool:
        """Return whether this leader's group has removed the requesting replica."""
        if probe.is_empty or self._replica.leadership() is None:
            return False
        state = self._replica.node
        # An uncommitted change could still be overwritten by a later leader.
        is_settled = state.membership_index <= state.commit_index
        return is_settled and state.members.find(probe.replica_id) is None

    def _on_probe_reply(
        self, sender: transport.Sender, reply: messages.ProbeReply
    ) -> None:
        self._bootstrap.record_reply(reply)
        if reply.addresses:
            self._bootstrap.learn(reply.addresses)
        is_for_this = reply.asked_by == self._replica.node.replica_id
        if reply.has_removed_asker and is_for_this and not self._replica.failure:
            self._replica.on_removed()
