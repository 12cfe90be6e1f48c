"""How a replica comes into its group, and hears that the group goes on without it.

An empty replica asks the processes that it knows of until it may start the group, or
until a leader lets it in. A replica that hears no leader asks whether it was removed:
a leader sends nothing to who is not in the group.
"""

from typing import Any, Final, Protocol

from bilberrydrum import clock, interfaces, options, transport
from bilberrydrum.state import events, founding, membership_task, messages, node

# A replica that heard no leader for this long asks whether it was removed. Longer than
# any election.
_UNHEARD_SECONDS: Final = 3.0


class Owner(Protocol):
    """What this module needs of the replica."""

    @property
    def node(self) -> node.Node:
        """The core's data."""

    @property
    def failure(self) -> str:
        """Why the replica has stopped; empty: it runs."""

    def put(self, event: Any) -> None:
        """Let the core take in an event."""

    def leadership(self) -> interfaces.Leadership | None:
        """Return the leadership if this replica holds the leader lease now."""

    def removed(self) -> None:
        """Take part no more: the group has replaced this replica."""


class Joining:
    """The task that keeps a replica in its group, or finds it one."""

    def __init__(
        self,
        owner: Owner,
        opts: options.Options,
        carrier: transport.Transport,
        steward: membership_task.MembershipTask,
    ) -> None:
        self._owner = owner
        self._options = opts
        self._carrier = carrier
        self._steward = steward
        self._founding = founding.Founding(
            opts.process_id,
            owner.node.replica_id,
            opts.peer_address,
            opts.state.members,
            opts.state.may_found,
        )

    def listen(self) -> None:
        """Take the messages of other processes from now on."""
        self._carrier.on(messages.Probe, self._on_probe)
        self._carrier.on(messages.ProbeReply, self._on_probe_reply)

    def learn(self, addresses: tuple[str, ...]) -> None:
        """Note addresses of processes that may hold the group."""
        self._founding.learn(addresses)

    def run(self) -> None:
        """Found, join, tend the membership, or ask after it (a task)."""
        while True:
            state = self._owner.node
            if not state.members.replicas:
                self._found_or_wait()
            elif isinstance(state.role, node.Leader):
                self._steward.step()
            elif clock.now() - state.heard_at > _UNHEARD_SECONDS:
                self._probe_all(is_empty=False)
            clock.sleep(founding.PROBE_SECONDS)

    def _found_or_wait(self) -> None:
        first = self._founding.first_membership()
        if first is not None:
            self._owner.put(events.Found(first))
            return
        self._probe_all(is_empty=True)

    def _probe_all(self, is_empty: bool) -> None:
        state = self._owner.node
        probe = messages.Probe(self._options.process_id, state.replica_id, is_empty)
        known = {each.peer_address for each in state.members.replicas}
        known.discard(self._options.peer_address)
        for address in known | set(self._founding.addresses()):
            self._carrier.send(address, probe)

    def _on_probe(self, sender: transport.Sender, probe: messages.Probe) -> None:
        if self._owner.failure:
            return
        state = self._owner.node
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
            self._steward.record_join_request(probe, sender.address)

    def _has_removed(self, probe: messages.Probe) -> bool:
        """Tell whether the group, led from here, goes on without the asking replica."""
        if probe.is_empty or self._owner.leadership() is None:
            return False
        state = self._owner.node
        # A change that is not committed yet could still be undone.
        is_settled = state.membership_index <= state.commit_index
        return is_settled and state.members.find(probe.replica_id) is None

    def _on_probe_reply(
        self, sender: transport.Sender, reply: messages.ProbeReply
    ) -> None:
        self._founding.heard(reply)
        if reply.addresses:
            self._founding.learn(reply.addresses)
        is_for_this = reply.asked_by == self._owner.node.replica_id
        if reply.has_removed_asker and is_for_this and not self._owner.failure:
            self._owner.removed()
