"""Decide which upstreams this gateway lists, and what it sends to the others.

`Directory.step` takes an event and returns effects; it reads no clock and no socket.

The owner of an upstream is the gateway that manages its lease. Renewals come through a
load balancer and may reach any gateway: one that is not the owner forwards them. It
takes the upstream over, under a higher epoch, when the owner is silent or does not
answer. The owner publishes each change at once and, in each interval, a heartbeat that
confirms the renewals of all its upstreams; `views` holds the replicas. Each query
checks the leases against the clock.
"""

import functools
from typing import Any, Final

import attrs

from bilberrydrum import reasons
from bilberrydrum.upstreams import (
    events,
    exchange,
    forwards,
    leave_requests,
    listing,
    loads,
    messages,
    pauses,
    records,
    table,
)

# Heartbeats that may be missed, beyond the lease, before an owner's records expire.
MISSED_HEARTBEATS: Final = 1.5
# Interval at which the records of upstreams that left or expired long ago are dropped.
FORGET_INTERVAL_SECONDS: Final = 5.0
# Share of the lease after which an owner that answers no renewal counts as silent. It
# leaves time to publish a take-over before the owner's records expire at any gateway.
SILENT_SHARE: Final = 0.6
# A gateway that has just started waits this long for the others' records.
SYNC_SECONDS: Final = 1.0


class Directory:
    """The decisions of one gateway on the upstreams that it lists."""

    def __init__(
        self,
        process_id: str,
        incarnation: int,
        lease_seconds: float,
        renew_seconds: float,
        heartbeat_seconds: float,
        max_mesh: int,
    ) -> None:
        self._process_id = process_id
        self._silent_seconds = SILENT_SHARE * lease_seconds
        # The owner publishes the end of a lease at once. The other gateways keep its
        # records a little longer than the lease, so that one lost heartbeat causes no
        # gap: with the defaults 2.75 s, within the 3 s that an upstream may be listed
        # after it fell silent.
        self._table = table.Table(
            process_id,
            incarnation,
            lease_seconds,
            lease_seconds + MISSED_HEARTBEATS * heartbeat_seconds,
            2 * renew_seconds,
        )
        self._exchange = exchange.Exchange(
            self._table, incarnation, heartbeat_seconds, max_mesh
        )
        self._zones_by_id: dict[str, str] = {}
        self._started_at: float | None = None
        self._forgot_at = table.NEVER
        self._forwards = forwards.Forwards(renew_seconds)
        self._leave_requests = leave_requests.LeaveRequests()
        self._pauses = pauses.PauseDetector()
        self.listing = listing.Listing(self._table, self._pauses)
        self._effects: list[events.Effect] = []

    def step(self, now: float, event: events.Event) -> list[events.Effect]:
        """Handle one event at `now`, in seconds, and return the effects."""
        self._effects = []
        if self._pauses.step(now):
            self._exchange.fetch_all(now)
        self._handle(event, now)
        self._confirm_leaves(now)
        self._effects.extend(self._table.corrections)
        self._table.corrections.clear()
        if self._table.has_urgent():
            self._exchange.publish(now)
        self._effects.extend(self._exchange.take_effects())
        return self._effects

    def is_synced(self, now: float) -> bool:
        """Return whether the others' records are here, or the wait for them is over."""
        if self._started_at is None:
            return False
        if now - self._started_at >= SYNC_SECONDS:
            return True
        views_by_owner = self._table.views_by_owner
        return self._process_id in self._zones_by_id and all(
            peer in views_by_owner and views_by_owner[peer].clock.is_known
            for peer in self._peers()
        )

    # Events.

    @functools.singledispatchmethod
    def _handle(self, event: Any, now: float) -> None:
        raise TypeError(
            f"expected an event of events.Event, got {type(event).__name__}"
        )

    @_handle.register
    def _tick(self, event: events.Tick, now: float) -> None:
        if self._started_at is None:
            self._started_at = now
        self._zones_by_id = event.zones_by_id
        self._exchange.set_members(event.zones_by_id, now)
        own = self._table.own
        for upstream_id in own.expired_ids(now):
            self._end(own.records_by_id[upstream_id], records.STATE_EXPIRED, now)
        self._take_over_from_silent_owners(now)
        for leave in self._leave_requests.overdue(now):
            others = set(self._live_peers(now)) - leave.acknowledged_by
            self._request_acknowledgements(leave.record, sorted(others))
        self._exchange.tick(now)
        if now - self._forgot_at >= FORGET_INTERVAL_SECONDS:
            self._forgot_at = now
            self._table.forget(now)
            self._forwards.keep_only(self._table.records_by_id)

    @_handle.register
    def _announced(self, event: events.Announced, now: float) -> None:
        known = self._table.records_by_id.get(event.upstream.upstream_id)
        incarnation = _incarnation(known, event)
        if known is not None and _is_stale(incarnation, known):
            # A delayed copy of an announcement must not bring the upstream back.
            self._effects.append(events.Reply(reasons.Reason.ANNOUNCEMENT_STALE))
            return
        record = records.Record(event.upstream, "", incarnation, 0)
        if known is not None and known.life == incarnation:
            record = attrs.evolve(known, upstream=event.upstream)
        record = attrs.evolve(record, state=records.STATE_ACTIVE)
        if known is not None and self._is_unchanged(known, event):
            self._table.own.renew(event.upstream.upstream_id, now)
        else:
            self._leave_requests.remove(record.upstream_id)
            self._table.put_own(record, now)
            self._log_change("announced", record)
        self._effects.append(events.Reply())

    @_handle.register
    def _renewed(self, event: events.Renewed, now: float) -> None:
        record = self._table.records_by_id.get(event.upstream_id)
        if record is None:
            self._effects.append(events.Reply(reasons.Reason.NOT_FOUND))
            return
        if record.state == records.STATE_LEFT:
            self._effects.append(events.Reply(reasons.Reason.UPSTREAM_LEFT))
            return
        self._effects.append(events.Reply())
        if self._pauses.are_own_leases_suspended(now):
            return
        self._table.record_renewal(record, now)
        if self._table.is_own(record):
            self._renew(record, event, now)
        elif self._has_expired(record, now):
            self._take_over(record, event, now)
        else:
            self._forward(record, event, now)

    @_handle.register
    def _leaving(self, event: events.Leaving, now: float) -> None:
        record = self._table.records_by_id.get(event.upstream_id)
        if record is None:
            self._effects.append(events.Reply(reasons.Reason.NOT_FOUND))
            return
        if record.state != records.STATE_LEFT:
            record = self._end(record, records.STATE_LEFT, now)
        self._effects.append(events.Reply())
        peers = self._live_peers(now)
        own_zone = self._zones_by_id.get(self._process_id, "")
        self._request_acknowledgements(
            record,
            self._leave_requests.start(record, peers, self._zones_by_id, own_zone, now),
        )

    @_handle.register
    def _drain_requested(self, event: events.DrainRequested, now: float) -> None:
        record = self._table.records_by_id.get(event.upstream_id)
        if record is None or record.state == records.STATE_LEFT:
            self._effects.append(events.Reply(reasons.Reason.NOT_FOUND))
            return
        number = max(record.drain_number + 1, event.wall_milliseconds)
        drained = attrs.evolve(record, is_drained=event.is_drained, drain_number=number)
        if now < self._table.expires_at(record):
            self._table.put_own(drained, self._table.renewed_at(record))
        else:
            self._table.end(drained, records.STATE_EXPIRED, now)
        self._log_change("drained" if event.is_drained else "undrained", drained)
        self._effects.append(events.Reply())

    @_handle.register
    def _received(self, event: events.Received, now: float) -> None:
        view = self._table.view(event.sender, event.incarnation)
        if event.incarnation < view.incarnation:
            self._effects.append(events.Drop(reasons.Reason.MESSAGE_STALE_SENDER))
            return
        view.received_at = now
        self._receive(event.message, event.sender, now)

    # Messages of other gateways.

    @functools.singledispatchmethod
    def _receive(self, message: Any, sender: str, now: float) -> None:
        self._exchange.receive(message, sender, now)

    @_receive.register
    def _receive_forward(
        self, message: messages.Forward, sender: str, now: float
    ) -> None:
        # The message may have waited in a socket while this process was paused, so the
        # renewal counts from when the message was sent.
        received_at = self._table.views_by_owner[sender].clock.local_time(
            message.sent_at, now
        )
        record = self._table.records_by_id.get(message.upstream_id)
        is_owner = (
            record is not None
            and self._table.is_own(record)
            and record.life == message.life
        )
        if record is not None and is_owner and received_at is not None:
            renewal = events.Renewed(
                message.upstream_id, message.load, message.models, message.role
            )
            self._renew(record, renewal, received_at)
        elif record is not None and not is_owner:
            self._send(sender, messages.RecordUpdate(record))
        self._send(sender, messages.Forwarded(message.upstream_id, is_owner))

    @_receive.register
    def _receive_forwarded(
        self, message: messages.Forwarded, sender: str, now: float
    ) -> None:
        record = self._table.records_by_id.get(message.upstream_id)
        if record is None or record.home != sender:
            return
        forwarding = self._forwards.remove(message.upstream_id)
        if forwarding is not None and not message.is_home:
            # The gateway is not the owner and has sent no newer record, so the upstream
            # has no owner.
            self._take_over(record, forwarding.renewal, forwarding.received_at)

    @_receive.register
    def _receive_record_update(
        self, message: messages.RecordUpdate, sender: str, now: float
    ) -> None:
        record = message.record
        is_newer = self._table.merge(record, now)
        held = self._table.records_by_id[record.upstream_id]
        if held.version() > record.version():
            self._send(sender, messages.RecordUpdate(held))
        if message.is_witness:
            self._send(
                sender, messages.RecordUpdateAck(record.upstream_id, record.life)
            )
        if is_newer and (message.is_witness or self._exchange.uses_relay_nodes):
            # The gateway that sent it may crash before it has sent it to all others.
            self._exchange.broadcast_record(record, sender, now)

    @_receive.register
    def _receive_record_update_ack(
        self, message: messages.RecordUpdateAck, sender: str, now: float
    ) -> None:
        self._leave_requests.acknowledge(message.upstream_id, message.life, sender)

    # Helpers.

    def _peers(self) -> list[str]:
        return [peer for peer in self._zones_by_id if peer != self._process_id]

    def _live_peers(self, now: float) -> list[str]:
        views_by_owner = self._table.views_by_owner
        return [
            peer
            for peer in self._peers()
            if peer in views_by_owner
            and now - views_by_owner[peer].received_at < self._table.lease_seconds
        ]

    def _is_unchanged(self, known: records.Record, event: events.Announced) -> bool:
        if not self._table.is_own(known):
            return False
        same = attrs.evolve(event.upstream, change=known.upstream.change)
        return same == known.upstream

    def _renew(self, record: records.Record, event: events.Renewed, now: float) -> None:
        """Apply a renewal as the owner of `record`."""
        self._table.own.renew(record.upstream_id, now)
        reported = _reported(record, event)
        published = record.upstream
        if attrs.evolve(reported, load=published.load) != published:
            self._table.put_own(attrs.evolve(record, upstream=reported), now)
        elif loads.affects_routing(
            published.load, reported.load, published.max_concurrency
        ):
            self._table.put_own_load(record, reported.load)

    def _has_expired(self, record: records.Record, now: float) -> bool:
        return now >= self._table.expires_at(record)

    def _take_over(
        self, record: records.Record, event: events.Renewed, received_at: float
    ) -> None:
        self._forwards.remove(record.upstream_id)
        taken = attrs.evolve(
            record, upstream=_reported(record, event), state=records.STATE_ACTIVE
        )
        self._table.put_own(taken, received_at)
        self._log_change("taken-over", record)

    def _take_over_from_silent_owners(self, now: float) -> None:
        """Take over the upstreams whose owner answers no renewal and has become silent.

        This is done before the owner's records expire, so that the upstream is listed
        without a gap. An owner that reported renewals recently is merely slow, and its
        upstreams are not taken over: on a busy host, the additional work would make
        more owners slow.
        """
        for forwarding in self._forwards.overdue(now):
            upstream_id = forwarding.renewal.upstream_id
            record = self._table.records_by_id.get(upstream_id)
            if (
                record is None
                or record.home != forwarding.owner
                or record.state == records.STATE_LEFT
                or now - forwarding.received_at >= self._table.lease_seconds
            ):
                self._forwards.remove(upstream_id)
            elif now - self._table.reported_renewed_at(
                record
            ) >= self._silent_seconds and self._forwards.may_move(forwarding, now):
                self._take_over(record, forwarding.renewal, forwarding.received_at)

    def _forward(
        self, record: records.Record, event: events.Renewed, now: float
    ) -> None:
        self._forwards.add(event, record.home, now)
        message = messages.Forward(
            record.upstream_id,
            record.life,
            int(now * 1000),
            event.load,
            event.models,
            event.role,
        )
        self._send(record.home, message)

    def _end(self, record: records.Record, state: str, now: float) -> records.Record:
        ended = self._table.end(record, state, now)
        self._forwards.remove(record.upstream_id)
        self._log_change(state, ended)
        return ended

    def _request_acknowledgements(
        self, record: records.Record, peers: list[str]
    ) -> None:
        for peer in peers:
            self._send(peer, messages.RecordUpdate(record, is_witness=True))

    def _confirm_leaves(self, now: float) -> None:
        if not self._leave_requests.has_pending:
            return
        for record in self._leave_requests.take_confirmed(len(self._live_peers(now))):
            self._effects.append(events.LeaveConfirmed(record.upstream_id, record.life))

    def _send(self, process_id: str, message: Any) -> None:
        self._effects.append(events.Send(process_id, message))

    def _log_change(self, kind: str, record: records.Record) -> None:
        self._effects.append(events.LogChange(kind, record.upstream_id))


def _incarnation(known: records.Record | None, event: events.Announced) -> int:
    """Return the number of the incarnation that an announcement belongs to."""
    if event.incarnation is not None:
        return event.incarnation
    if known is None:
        return event.wall_milliseconds
    if known.state == records.STATE_LEFT:
        return max(known.life + 1, event.wall_milliseconds)
    return known.life


def _is_stale(incarnation: int, known: records.Record) -> bool:
    if incarnation < known.life:
        return True
    return incarnation == known.life and known.state == records.STATE_LEFT


def _reported(record: records.Record, event: events.Renewed) -> Any:
    upstream = record.upstream
    return attrs.evolve(
        upstream,
        load=upstream.load if event.load is None else event.load,
        models=upstream.models if event.models is None else event.models,
        role=upstream.role if event.role is None else event.role,
    )
