"""The gateway's task that keeps its bundle current and renews the lease on it."""

from collections.abc import Mapping
from typing import Any, Final

import attrs
import eliot
import eventlet
import eventlet.queue
import result
from eventlet import tpool

from bilberrydrum import clock, counters, interfaces, options, reasons, tasks, transport
from bilberrydrum.bundles import holder, messages, model, peers
from bilberrydrum.state import client, processes

_STATUS_TIMEOUT_SECONDS: Final = 2.0


class GatewayLease:
    """Implements `interfaces.BundleView` for this process."""

    def __init__(
        self,
        options_: options.Options,
        transport_: transport.Transport,
        state: client.StateClient,
    ) -> None:
        self._options = options_
        self._transport = transport_
        self._state = state
        self._holder = holder.LeaseHolder(options_.state.drift_margin)
        self._events: Any = eventlet.queue.LightQueue()
        self._tasks: list[Any] = []
        self._peers = peers.KnownPeers()
        self._is_registering = False
        # The newest version that was parsed or is being parsed.
        self._version_read = 0
        transport_.on(messages.Grant, self._on_grant)
        transport_.on(messages.Push, self._on_push)
        transport_.on(messages.Unregistered, self._on_unregistered)

    def start(self) -> None:
        """Start renewing; the process must be registered."""
        self._events.put(holder.Registered(self._transport.incarnation))
        self._tasks.append(eventlet.spawn(self._run))

    def stop(self) -> None:
        """Refuse new work from now on, and release the lease."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()
        self._holder.step(clock.now(), holder.Released())
        if self._holder.leader_address is not None:
            release = messages.Release(self._holder.incarnation)
            self._transport.send(self._holder.leader_address, release)

    def current(self) -> result.Result[model.Bundle, reasons.Reason]:
        """Return the bundle to act on now, or why there is none."""
        return self._holder.current(clock.now())

    def gateways_by_id(self) -> Mapping[str, interfaces.Gateway]:
        """Return the registered gateways, this one included."""
        return self._holder.gateways_by_id

    def weight_versions_by_trainer(self) -> Mapping[str, int]:
        """Return the newest published versions, as received with the last grant."""
        return self._holder.weight_versions_by_trainer

    def crashes_index(self) -> int:
        """Return the latest known index of the record of crash-causing requests."""
        return self._holder.crashes_index

    def ask_roll_status(
        self,
    ) -> result.Result[messages.RollStatus, transport.CallError]:
        """Ask the leader for the progress of the newest bundle's roll."""
        address = self._holder.leader_address
        if address is None:
            return result.Err(transport.CallError(reasons.Reason.STATE_UNAVAILABLE))
        answer = self._transport.call(
            address, messages.AskRollStatus(), _STATUS_TIMEOUT_SECONDS
        )
        if answer.is_ok() and not isinstance(answer.unwrap(), messages.RollStatus):
            return result.Err(transport.CallError(reasons.Reason.STATE_UNAVAILABLE))
        return answer

    def _on_grant(self, sender: transport.Sender, grant: messages.Grant) -> None:
        if grant.content is not None and grant.version > self._version_read:
            self._version_read = grant.version
            eventlet.spawn(self._read_grant, sender.address, grant)
            return
        # Renewals that are sent while the bundle is being parsed still name the old
        # version, so their grants contain the bundle again. It is not parsed twice.
        grant = attrs.evolve(grant, content=None)
        self._events.put(holder.GrantReceived(sender.address, grant))

    def _on_push(self, sender: transport.Sender, push: messages.Push) -> None:
        if push.version > self._version_read:
            self._version_read = push.version
            eventlet.spawn(self._read_push, sender.address, push)

    # Parsing a large bundle takes long enough to delay heartbeats and streams of this
    # process, so it is done in a thread. Bundles may be parsed in any order: the holder
    # adopts none that is older than its current one.

    def _read_grant(self, address: str, grant: messages.Grant) -> None:
        bundle = tpool.execute(holder.read, grant.version, grant.content)
        self._events.put(holder.GrantReceived(address, grant, bundle))

    def _read_push(self, address: str, push: messages.Push) -> None:
        bundle = tpool.execute(holder.read, push.version, push.content)
        self._events.put(holder.PushReceived(address, push, bundle))

    def _on_unregistered(
        self, sender: transport.Sender, message: messages.Unregistered
    ) -> None:
        is_current = message.incarnation == self._transport.incarnation
        # A process that is shutting down stays unregistered.
        if not is_current or self._is_registering or self._holder.is_released:
            return
        if message.is_superseded:
            # A host that was considered lost is reachable again, together with the host
            # that replaced it. If both registered in turn, they would invalidate each
            # other's leases forever.
            self._holder.step(clock.now(), holder.Released())
            eliot.log_message(
                message_type="process:superseded", incarnation=message.incarnation
            )
            return
        self._is_registering = True
        self._tasks.append(eventlet.spawn(self._register))

    def _register(self) -> None:
        """Register again, as the leader has dropped this process."""
        try:
            incarnation = processes.register(self._options, self._state)
            self._transport.incarnation = incarnation
            self._events.put(holder.Registered(incarnation))
        except tasks.UNEXPECTED_ERRORS:
            tasks.record_error("registration")
        finally:
            # After an error the leader's next message begins another registration.
            self._is_registering = False

    def _run(self) -> None:
        renew_seconds = self._options.gateway.bundle_renew_seconds
        due_at = clock.now() + renew_seconds
        while True:
            try:
                event = self._events.get(timeout=max(0.0, due_at - clock.now()))
            except eventlet.queue.Empty:
                event = holder.RenewalDue()
                due_at = clock.now() + renew_seconds
            # If this task ended, the gateway would refuse work from then on.
            with tasks.errors_recorded("bundle-lease"):
                self._handle(event)

    def _handle(self, event: object) -> None:
        for effect in self._holder.step(clock.now(), event):
            self._carry_out(effect)
        self._forget_peers()

    def _forget_peers(self) -> None:
        directory = self._holder.directory
        gateways = [each.peer_address for each in directory.gateways]
        addresses = [*gateways, *directory.state_addresses]
        for address in self._peers.replace(directory.change, addresses):
            self._transport.forget(address)

    def _carry_out(self, effect: Any) -> None:
        if isinstance(effect, holder.Adopted):
            counters.BUNDLE_VERSION.set(effect.version)
            eliot.log_message(
                message_type="bundle:adopted",
                version=effect.version,
                is_valid=effect.is_valid,
            )
            return
        for address in self._addresses(effect.address):
            self._transport.send(address, effect.renewal)

    def _addresses(self, leader_address: str | None) -> list[str]:
        if leader_address is not None:
            return [leader_address]
        # The renewal is sent to all state processes, of which only the leader answers.
        # A process without members in its settings forms a group by itself.
        members = [each.peer_address for each in self._options.state.members]
        known = self._holder.directory.state_addresses
        addresses = list(dict.fromkeys([*members, *known]))
        return addresses or [self._options.peer_address]
