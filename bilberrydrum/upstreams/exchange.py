"""Replicate the records of all owners: publish own changes, apply those of others.

The exchange fills the table; it makes no decision on an upstream. Each owner numbers
its changes and states its latest number with each message, and receivers fetch the
changes that they miss. With few gateways all messages are sent directly; with many,
through the relay nodes.
"""

import functools
from collections.abc import Mapping
from typing import Any, Final

from bilberrydrum import reasons
from bilberrydrum.upstreams import (
    events,
    messages,
    records,
    relay_node,
    relay_receiver,
    relayed_loads,
    table,
    views,
)

# Minimum time between two fetches from one owner. It doubles with each fetch that was
# not answered, up to the maximum.
FETCH_INTERVAL_SECONDS: Final = 0.2
MAX_FETCH_INTERVAL_SECONDS: Final = 5.0
_MAX_DOUBLINGS: Final = 5
# Maximum number of newer records sent in one interval to owners of older ones.
MAX_CORRECTIONS: Final = 16
# Maximum number of owners with an uncalibrated clock that are asked in one tick.
MAX_INITIAL_FETCHES: Final = 16


class Exchange:
    """Keeps the views in a table up to date."""

    def __init__(
        self,
        known: table.Table,
        incarnation: int,
        heartbeat_seconds: float,
        max_mesh: int,
    ) -> None:
        self._table = known
        self._incarnation = incarnation
        self._heartbeat_seconds = heartbeat_seconds
        self._heartbeat_sent_at = table.NEVER
        self._peers: list[str] = []
        self._relay_node = relay_node.RelayNode(known, max_mesh, heartbeat_seconds)
        self._receiver = relay_receiver.Receiver(known)
        # Upstreams whose owner managed a superseded record one interval ago.
        self._superseded_ids: set[str] = set()
        self._effects: list[events.Effect] = []

    def take_effects(self) -> list[events.Effect]:
        """Return the pending effects and clear them."""
        effects, self._effects = self._effects, []
        return effects

    def set_members(self, zones_by_id: Mapping[str, str], now: float) -> None:
        """Set the registered gateways."""
        self._relay_node.set_members(zones_by_id, now)
        own = self._table.process_id
        self._peers = [peer for peer in zones_by_id if peer != own]
        views_by_owner = self._table.views_by_owner
        for owner in views_by_owner.keys() - zones_by_id.keys():
            del views_by_owner[owner]
        self._receiver.forget(set(zones_by_id))

    def tick(self, now: float) -> None:
        """Send what is due, and repeat unanswered fetches."""
        self.publish(now)
        if now - self._heartbeat_sent_at >= self._heartbeat_seconds:
            self._heartbeat_sent_at = now
            self._send_to_direct(self._table.own.heartbeat(now), now)
            self._correct_owners()
        self._effects.extend(self._relay_node.due_messages(now))
        self._fetch_uncalibrated(now)

    def publish(self, now: float) -> None:
        """Publish the own changes that are not published yet."""
        changes = self._table.take_unpublished(now)
        if changes is None:
            return
        self._send_to_direct(changes, now)
        own = self._table.process_id
        update = messages.OwnerChanges(own, self._incarnation, changes)
        self._relay_node.add(update, now)

    @property
    def uses_relay_nodes(self) -> bool:
        """Return whether messages go through relay nodes."""
        return self._relay_node.topology is not None

    def broadcast_record(self, record: records.Record, sender: str, now: float) -> None:
        """Send all gateways a record that its owner may not be able to publish."""
        if self._relay_node.topology is None:
            self._effects.append(events.SendAll(messages.RecordUpdate(record)))
            return
        is_from_group = sender in self._relay_node.group_owners
        self._relay_node.add_record(record, is_from_group, now)
        for peer in self._relay_node.group_relay_nodes(now):
            if peer != sender:
                self._send(peer, messages.RecordUpdate(record))

    def fetch_all(self, now: float) -> None:
        """Fetch all records from all owners."""
        for peer in self._peers:
            self._send(peer, messages.Fetch(0, int(now * 1000)))

    # Messages of other gateways.

    @functools.singledispatchmethod
    def receive(self, message: Any, sender: str, now: float) -> None:
        """Handle a message from the gateway `sender`."""
        self._effects.append(events.Drop(reasons.Reason.MESSAGE_UNKNOWN_TYPE))

    @receive.register
    def _receive_heartbeat(
        self, message: messages.Heartbeat, sender: str, now: float
    ) -> None:
        view = self._table.views_by_owner[sender]
        self._apply_heartbeat(sender, view, message, now)

    @receive.register
    def _receive_changes(
        self, message: messages.Changes, sender: str, now: float
    ) -> None:
        view = self._table.views_by_owner[sender]
        self._apply(sender, view, message, now)

    @receive.register
    def _receive_fetch(self, message: messages.Fetch, sender: str, now: float) -> None:
        self.publish(now)
        self._send(sender, self._table.own.fetched(message, now))

    @receive.register
    def _receive_fetched(
        self, message: messages.Fetched, sender: str, now: float
    ) -> None:
        view = self._table.views_by_owner[sender]
        view.clock.calibrate(message.standing.sent_at, message.asked_at, now)
        if view.clock.is_exact:
            view.n_unanswered = 0
        if not message.is_full:
            self._apply(sender, view, message.changes, now)
        elif message.changes.change >= view.change:
            self._table.replace(view, message, now)
            self._merge(message.changes, view, now)
            change = view.change
            marker = messages.Changes(message.changes.sent_at, change, change)
            self._relay(sender, view, marker, now)
        self._apply_heartbeat(sender, view, message.standing, now)

    @receive.register
    def _receive_relayed(
        self, message: messages.Relayed, sender: str, now: float
    ) -> None:
        self._relay_node.record_relay_node(sender, now)
        for update in message.news:
            if update.home != self._table.process_id:
                view = self._table.view(update.home, update.incarnation)
                if update.incarnation == view.incarnation:
                    self._apply(update.home, view, update.changes, now)
        for owner, changes in relayed_loads.unpack(message.loads):
            owner_view = self._table.views_by_owner.get(owner)
            if owner_view is not None:
                self._apply(owner, owner_view, changes, now)
        for record in message.unlogged:
            if self._table.merge(record, now):
                self._relay_node.add_record(record, False, now)
        topology = self._relay_node.topology
        if topology is None or topology.digest != message.topology:
            return
        owners = self._relay_node.owners_covered_by(sender, message.is_all)
        incarnation = self._table.views_by_owner[sender].incarnation
        if not self._receiver.receive(sender, incarnation, message, owners, now):
            fetch = messages.FetchVector(message.is_all, int(now * 1000))
            self._send(sender, fetch)
        for owner in self._receiver.take_behind():
            behind = self._table.views_by_owner[owner]
            self._fetch(owner, behind, now, since=behind.change)

    @receive.register
    def _receive_fetch_vector(
        self, message: messages.FetchVector, sender: str, now: float
    ) -> None:
        self._send(sender, self._relay_node.vector(message, now))

    @receive.register
    def _receive_vector(
        self, message: messages.Vector, sender: str, now: float
    ) -> None:
        incarnation = self._table.views_by_owner[sender].incarnation
        self._receiver.apply_vector(sender, incarnation, message, now)
        for owner, change in zip(message.homes, message.changes, strict=True):
            view = self._table.views_by_owner.get(owner)
            if view is not None and view.change < change:
                self._fetch(owner, view, now, since=view.change)

    # Helpers.

    def _fetch_uncalibrated(self, now: float) -> None:
        """Fetch from owners whose clock is not calibrated well, a few at a time.

        When many gateways start at once, all fetch from all. Without a limit the
        answers take too long to calibrate the clocks, and are requested again.
        """
        n_asked = 0
        for peer in self._peers:
            view = self._table.view(peer, 0)
            if view.clock.is_exact:
                continue
            n_asked += self._fetch(peer, view, now, since=view.change)
            if n_asked == MAX_INITIAL_FETCHES:
                return

    def _apply_heartbeat(
        self, owner: str, view: views.View, heartbeat: messages.Heartbeat, now: float
    ) -> None:
        if view.apply_heartbeat(heartbeat, now):
            return
        is_other = heartbeat.change <= view.change and heartbeat.digest != view.digest
        self._fetch(owner, view, now, since=0 if is_other else view.change)

    def _apply(
        self, owner: str, view: views.View, changes: messages.Changes, now: float
    ) -> None:
        before = view.change
        is_complete = self._table.apply(view, changes, now)
        self._merge(changes, view, now)
        if view.change > before:
            self._relay(owner, view, changes, now)
        if not is_complete:
            self._fetch(owner, view, now, since=view.change)

    def _merge(self, changes: messages.Changes, view: views.View, now: float) -> None:
        for item in changes.items:
            if item.record is not None:
                self._table.merge(item.record, now)
        for load in changes.loads:
            held = view.records_by_id.get(load.upstream_id)
            if held is not None:
                self._table.merge(held, now, is_load=True)

    def _relay(
        self, owner: str, view: views.View, changes: messages.Changes, now: float
    ) -> None:
        update = messages.OwnerChanges(owner, view.incarnation, changes)
        self._relay_node.add(update, now)

    def _correct_owners(self) -> None:
        """Send newer records to the owners that still manage older ones.

        After a take-over it always takes a moment until the old owner has released the
        upstream, so only records that were superseded one interval ago are sent.
        """
        superseded = self._table.superseded()
        for owner, record in superseded[:MAX_CORRECTIONS]:
            if record.upstream_id in self._superseded_ids:
                self._send(owner, messages.RecordUpdate(record))
        self._superseded_ids = {record.upstream_id for _, record in superseded}

    def _send_to_direct(self, message: Any, now: float) -> None:
        if self._relay_node.topology is None:
            self._effects.append(events.SendAll(message))
            return
        for peer in self._relay_node.group_relay_nodes(now):
            self._send(peer, message)

    def _fetch(self, owner: str, view: views.View, now: float, since: int) -> bool:
        interval = FETCH_INTERVAL_SECONDS * 2 ** min(view.n_unanswered, _MAX_DOUBLINGS)
        if now - view.asked_at < min(interval, MAX_FETCH_INTERVAL_SECONDS):
            return False
        view.asked_at = now
        view.n_unanswered += 1
        self._send(owner, messages.Fetch(since, int(now * 1000)))
        return True

    def _send(self, process_id: str, message: Any) -> None:
        self._effects.append(events.Send(process_id, message))
