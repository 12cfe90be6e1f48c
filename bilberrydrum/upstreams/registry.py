"""The upstreams this gateway may use: the task that runs the directory.

One task runs the directory. HTTP handlers and the transport put events on its queue; it
steps the directory and carries out the effects. `upstreams_by_id` reads the directory
directly, with the clock, so that it never lists an upstream whose lease expired while
the task waited.
"""

from collections.abc import Mapping
from typing import Any, Final

import attrs
import eliot
import eventlet
import eventlet.event
import eventlet.queue
import result

from bilberrydrum import clock, counters, interfaces, options, reasons, tasks
from bilberrydrum import transport as transports
from bilberrydrum.upstreams import (
    announcements,
    directory,
    events,
    messages,
    model,
    prefixes,
    records,
)

TICK_SECONDS: Final = 0.1
# How long a leave request waits until enough other gateways have acknowledged it.
LEAVE_TIMEOUT_SECONDS: Final = 1.5
# Longest time that a request waits for the task.
REQUEST_TIMEOUT_SECONDS: Final = 2.0
_SYNC_POLL_SECONDS: Final = 0.05
_TASK: Final = "upstream-registry"
_MESSAGE_CLASSES: Final = (
    messages.Changes,
    messages.Heartbeat,
    messages.Fetch,
    messages.Fetched,
    messages.Forward,
    messages.Forwarded,
    messages.RecordUpdate,
    messages.RecordUpdateAck,
    messages.Relayed,
    messages.FetchVector,
    messages.Vector,
)


@attrs.frozen
class _Request:
    """An event whose sender waits for the reply."""

    event: events.Event
    done: eventlet.event.Event


@attrs.frozen
class Status:
    """The status of one upstream at this gateway, for operators."""

    upstream: model.Upstream
    home: str
    state: str
    is_drained: bool
    # Time until the lease expires; 0 if it has expired.
    lease_seconds: float


class UpstreamRegistry:
    """The task that maintains the upstreams of one gateway."""

    def __init__(
        self,
        options: options.Options,
        transport: transports.Transport,
        bundles: interfaces.BundleView,
    ) -> None:
        self._process_id = options.process_id
        self._transport = transport
        self._bundles = bundles
        self._options = options.upstreams
        self._directory = self._new_directory()
        self._is_started = False
        self._prefixes = prefixes.PrefixHints()
        self._outgoing_prefixes = prefixes.Outgoing()
        self._queue: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        # When the next tick is due, in seconds of `clock.now`.
        self._tick_at = 0.0
        self._task: Any = None
        self._gateways_by_id: Mapping[str, interfaces.Gateway] = {}
        self._leave_confirmed_by_id: dict[str, eventlet.event.Event] = {}

    def start(self) -> None:
        """Start to receive messages. The process must have been registered before."""
        self._directory = self._new_directory()
        self._is_started = True
        for message_class in _MESSAGE_CLASSES:
            self._transport.on(message_class, self._receive)
        self._transport.on(messages.Prefixes, self._receive_prefixes)
        self._tick_at = clock.now()
        self._task = eventlet.spawn(tasks.run_forever, _TASK, self._handle_next)

    def stop(self) -> None:
        """End the task; later requests are refused, and clients try another gateway."""
        self._is_started = False
        if self._task is not None:
            self._task.kill()
            self._task = None

    def _new_directory(self) -> directory.Directory:
        return directory.Directory(
            self._process_id,
            self._transport.incarnation,
            self._options.lease_seconds,
            self._options.renew_seconds,
            self._options.standing_seconds,
            self._options.max_mesh_gateways,
        )

    # Queries.

    def upstreams_by_id(self) -> Mapping[str, model.Upstream]:
        """Return the upstreams that may be given new work now."""
        return self._directory.listing.usable_by_id(clock.now())

    def owner_of(self, upstream_id: str) -> str | None:
        """Return the gateway that owns the upstream, if the lease is valid."""
        return self._directory.listing.owner_of(upstream_id, clock.now())

    def prefix_holders(self, prefix: str) -> frozenset[str]:
        """Return the engines that are likely to hold a prompt's prefix; a hint.

        Parameters
        ----------
        prefix : str
            First 16 hexadecimal digits of the SHA-256 of the prompt's first 256 bytes.
        """
        return self._prefixes.holders(prefix, clock.now())

    def statuses_by_id(self) -> dict[str, Status]:
        """Return the status of all known upstreams, for operators."""
        now = clock.now()
        statuses_by_id = {}
        for upstream_id, record in self._directory.listing.records_by_id().items():
            left = max(0.0, self._directory.listing.expires_at(record) - now)
            state = record.state
            if state == records.STATE_ACTIVE and not left:
                state = records.STATE_EXPIRED
            statuses_by_id[upstream_id] = Status(
                record.upstream, record.home, state, record.is_drained, left
            )
        return statuses_by_id

    # Commands.

    def announce(
        self, announcement: announcements.Announcement
    ) -> result.Result[None, reasons.Reason]:
        """Handle an upstream's announcement."""
        self._wait_until_synced()
        return self._request(
            events.Announced(
                announcement.upstream,
                announcement.incarnation,
                records.wall_milliseconds(),
            )
        )

    def renew(self, renewed: events.Renewed) -> result.Result[None, reasons.Reason]:
        """Handle an upstream's renewal."""
        if renewed.upstream_id not in self._directory.listing.records_by_id():
            self._wait_until_synced()
        return self._request(renewed)

    def leave(self, upstream_id: str) -> result.Result[None, reasons.Reason]:
        """Give an upstream no new work; return once other gateways acknowledged it."""
        if upstream_id not in self._directory.listing.records_by_id():
            self._wait_until_synced()
        known = self._leave_confirmed_by_id.get(upstream_id)
        if known is None:
            known = eventlet.event.Event()
            self._leave_confirmed_by_id[upstream_id] = known
        reply = self._request(events.Leaving(upstream_id))
        if reply.is_err():
            self._leave_confirmed_by_id.pop(upstream_id, None)
            return reply
        with eventlet.Timeout(LEAVE_TIMEOUT_SECONDS, False):
            known.wait()
            return result.Ok(None)
        return result.Err(reasons.Reason.PEER_UNREACHABLE)

    def drain(
        self, upstream_id: str, is_drained: bool
    ) -> result.Result[None, reasons.Reason]:
        """Give an upstream no new work, or give it work again, for an operator."""
        return self._request(
            events.DrainRequested(upstream_id, is_drained, records.wall_milliseconds())
        )

    def handle_cache_events(self, prefixes: messages.Prefixes) -> None:
        """Apply an engine's cache events and forward them."""
        if self._prefixes.apply(prefixes, clock.now()):
            self._outgoing_prefixes.add(prefixes)

    # The task.

    def _handle_next(self) -> None:
        """Handle the next message or request, or the tick if it is due."""
        wait = self._tick_at - clock.now()
        if wait > 0:
            try:
                item = self._queue.get(timeout=wait)
            except eventlet.queue.Empty:
                pass
            else:
                self._handle(item)
                return
        self._tick_at = clock.now() + TICK_SECONDS
        self._tick()

    def _tick(self) -> None:
        self._gateways_by_id = self._bundles.gateways_by_id()
        zones_by_id = {
            process_id: gateway.availability_zone
            for process_id, gateway in self._gateways_by_id.items()
        }
        self._step(events.Tick(zones_by_id))
        self._prefixes.keep_only(self._directory.listing.records_by_id())
        events_by_engine = self._outgoing_prefixes.take()
        if len(self._gateways_by_id) <= self._options.max_mesh_gateways:
            for event in events_by_engine:
                self._send_all(event)

    def _handle(self, item: Any) -> None:
        if not isinstance(item, _Request):
            self._step(item)
            return
        refusal: reasons.Reason | None = reasons.Reason.INTERNAL_ERROR
        for effect in self._step(item.event):
            if isinstance(effect, events.Reply):
                refusal = effect.refusal
        item.done.send(events.Reply(refusal))

    def _step(self, event: events.Event) -> list[events.Effect]:
        try:
            effects = self._directory.step(clock.now(), event)
        except tasks.UNEXPECTED_ERRORS:
            # A malformed message from another release must not end the task: this
            # gateway would no longer list any upstream.
            tasks.record_error(_TASK)
            counters.dropped(reasons.Reason.MESSAGE_DAMAGED)
            return []
        for effect in effects:
            self._apply_effect(effect)
        return effects

    def _apply_effect(self, effect: events.Effect) -> None:
        if isinstance(effect, events.Send):
            gateway = self._gateways_by_id.get(effect.process_id)
            if gateway is not None:
                self._transport.send(gateway.peer_address, effect.message)
        elif isinstance(effect, events.SendAll):
            self._send_all(effect.message)
        elif isinstance(effect, events.LeaveConfirmed):
            known = self._leave_confirmed_by_id.pop(effect.upstream_id, None)
            if known is not None:
                known.send(None)
        elif isinstance(effect, events.Drop):
            counters.dropped(effect.reason)
        elif isinstance(effect, events.LogChange):
            eliot.log_message(
                message_type=f"upstreams:{effect.kind}",
                upstream_id=effect.upstream_id,
                gateway=effect.gateway,
            )

    def _send_all(self, message: object) -> None:
        for process_id, gateway in self._gateways_by_id.items():
            if process_id != self._process_id:
                self._transport.send(gateway.peer_address, message)

    def _receive(self, sender: transports.Sender, message: Any) -> None:
        if sender.process_id != self._process_id:
            self._queue.put(
                events.Received(sender.process_id, sender.incarnation, message)
            )

    def _receive_prefixes(
        self, sender: transports.Sender, message: messages.Prefixes
    ) -> None:
        self._prefixes.apply(message, clock.now())

    def _request(self, event: events.Event) -> result.Result[None, reasons.Reason]:
        if not self._is_started:
            # This incarnation of the process has no number yet, so the other gateways
            # could not tell its messages from those of an earlier incarnation.
            return result.Err(reasons.Reason.STATE_UNAVAILABLE)
        done = eventlet.event.Event()
        self._queue.put(_Request(event, done))
        with eventlet.Timeout(REQUEST_TIMEOUT_SECONDS, False):
            reply = done.wait()
            if reply.refusal is not None:
                return result.Err(reply.refusal)
            return result.Ok(None)
        # The process is being stopped or is overloaded, and must not hold the request.
        return result.Err(reasons.Reason.SHUTTING_DOWN)

    def _wait_until_synced(self) -> None:
        while self._is_started and not self._directory.is_synced(clock.now()):
            clock.sleep(_SYNC_POLL_SECONDS)
