"""What a relay node sends, and to which gateways.

It sends the state of its own group to the relay nodes of the other groups, and the
state of all gateways to its own group. Each change that is applied to its views is
relayed with the next message, whichever gateway sent it: a message confirms renewals
for the state that the views hold, so the receivers must be able to reach that state.
"""

from collections.abc import Mapping
from typing import Final

from bilberrydrum.upstreams import (
    events,
    messages,
    outgoing,
    records,
    table,
    topology,
)

# A relay node from which nothing was received for this long counts as crashed.
RELAY_NODE_TIMEOUT_SECONDS: Final = 1.2
# Number of members of a group that are sent messages while none of them relays.
N_PROBED: Final = 3


class RelayNode:
    """The groups, the relay nodes that are live, and what this gateway relays."""

    def __init__(
        self, known: table.Table, max_mesh: int, heartbeat_seconds: float
    ) -> None:
        self._table = known
        self._max_mesh = max_mesh
        self._heartbeat_seconds = heartbeat_seconds
        self._zones_by_id: Mapping[str, str] = {}
        self._members_changed_at = table.NEVER
        self._published_at = table.NEVER
        self.topology: topology.Topology | None = None
        self.all_owners: set[str] = set()
        self.group_owners: set[str] = set()
        self._to_group = outgoing.Outgoing(known, is_all=True)
        self._to_relay_nodes = outgoing.Outgoing(known, is_all=False)
        # When relay nodes last sent a relayed message to this gateway.
        self._relayed_at_by_peer: dict[str, float] = {}

    def set_members(self, zones_by_id: Mapping[str, str], now: float) -> None:
        """Compute the groups if the set of gateways has changed."""
        if zones_by_id == self._zones_by_id:
            return
        self._zones_by_id = dict(zones_by_id)
        self._members_changed_at = now
        self.all_owners = set(zones_by_id)
        self.topology = topology.build(
            self._table.process_id, zones_by_id, self._max_mesh
        )
        self.group_owners = (
            set() if self.topology is None else set(self.topology.own.candidates)
        )

    def group_relay_nodes(self, now: float) -> list[str]:
        """Return the relay nodes of the own group, except this gateway."""
        if self.topology is None:
            return []
        relay_nodes = self.topology.own.relay_nodes(
            lambda member: self._is_live(member, now)
        )
        return [
            relay_node
            for relay_node in relay_nodes
            if relay_node != self._table.process_id
        ]

    def is_relay_node(self, now: float) -> bool:
        """Return whether this gateway is a relay node."""
        return self._index(now) is not None

    def owners_covered_by(self, sender: str, is_all: bool) -> set[str]:
        """Return the owners that a relay node's message covers."""
        if is_all or self.topology is None:
            return self.all_owners
        for group in self.topology.others:
            if sender in group.candidates:
                return set(group.candidates)
        return self.group_owners

    def record_relay_node(self, sender: str, now: float) -> None:
        """Record that `sender` sent a relayed message to this gateway."""
        self._relayed_at_by_peer[sender] = now

    def add(self, update: messages.OwnerChanges, now: float) -> None:
        """Relay changes that were applied to a view, or written to the own log."""
        if not self.is_relay_node(now):
            return
        self._to_group.add(update)
        if update.home in self.group_owners:
            self._to_relay_nodes.add(update)

    def add_record(
        self, record: records.Record, is_from_group: bool, now: float
    ) -> None:
        """Relay a record that may be in the log of no running owner."""
        if not self.is_relay_node(now):
            return
        self._to_group.add_record(record)
        if is_from_group:
            self._to_relay_nodes.add_record(record)

    def due_messages(self, now: float) -> list[events.Effect]:
        """Return the messages that are due."""
        index = self._index(now)
        if self.topology is None or index is None:
            self._to_group.clear()
            self._to_relay_nodes.clear()
            return []
        is_due = now - self._published_at >= self._heartbeat_seconds
        if is_due:
            self._published_at = now
        effects: list[events.Effect] = []
        if is_due or self._to_relay_nodes.has_urgent:
            message = self._to_relay_nodes.next_message(
                self.group_owners, self.topology.digest, now
            )
            for group in self.topology.others:
                receivers = self._receivers(group, index, now)
                effects.extend(
                    events.Send(relay_node, message) for relay_node in receivers
                )
        if is_due or self._to_group.has_urgent:
            message = self._to_group.next_message(
                self.all_owners, self.topology.digest, now
            )
            effects.extend(
                events.Send(member, message)
                for member in self.topology.own.candidates
                if member != self._table.process_id
            )
        return effects

    def vector(self, fetch: messages.FetchVector, now: float) -> messages.Vector:
        """Return how far this relay node knows the owners that it covers."""
        if fetch.is_all:
            return self._to_group.vector(self.all_owners, fetch, now)
        return self._to_relay_nodes.vector(self.group_owners, fetch, now)

    def _index(self, now: float) -> int | None:
        if self.topology is None:
            return None
        relay_nodes = self.topology.own.relay_nodes(
            lambda member: self._is_live(member, now)
        )
        own = self._table.process_id
        return relay_nodes.index(own) if own in relay_nodes else None

    def _receivers(
        self, group: topology.Group, index: int, now: float
    ) -> tuple[str, ...]:
        # Only a relayed message shows that its sender is a relay node. Any gateway may
        # send other messages, and would be mistaken for a relay node if they counted.
        relay_nodes = group.relay_nodes(lambda member: self._is_relaying(member, now))
        if not relay_nodes:
            return group.candidates[:N_PROBED]
        return (relay_nodes[min(index, len(relay_nodes) - 1)],)

    def _is_relaying(self, member: str, now: float) -> bool:
        relayed_at = self._relayed_at_by_peer.get(member, self._members_changed_at)
        return now - relayed_at < RELAY_NODE_TIMEOUT_SECONDS

    def _is_live(self, member: str, now: float) -> bool:
        if member == self._table.process_id:
            return True
        # Right after a change of the members, most have not sent anything yet.
        if now - self._members_changed_at < RELAY_NODE_TIMEOUT_SECONDS:
            return True
        view = self._table.views_by_owner.get(member)
        return view is not None and now - view.received_at < RELAY_NODE_TIMEOUT_SECONDS
