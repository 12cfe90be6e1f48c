"""The task of each replica that grants bundle leases while the replica leads.

A lease table covers one term at most. In each new term a new table is created, after a
command of the new leader has been applied, so that the table starts from all commands
that earlier leaders committed.
"""

from typing import Any, Final

import eliot
import eventlet
import eventlet.queue

from bilberrydrum import clock, interfaces, options, tasks, transport
from bilberrydrum.bundles import commands, lease_table, messages, model, peers, records
from bilberrydrum.fleet import crash_commands
from bilberrydrum.state import machine, processes
from bilberrydrum.weights import commands as weight_commands

# Interval of ticks, and so the delay in noticing an expired lease, while a bundle is
# rolling.
_ROLLING_TICK_SECONDS: Final = 0.02
_TICK_SECONDS: Final = 0.5
_RETRY_SECONDS: Final = 0.1
# Commands after which the table is updated at once, without waiting for the next tick.
_AWAITED_COMMANDS: Final = (
    commands.RollBundle,
    commands.MarkInForce,
    processes.RegisterProcess,
    processes.ForgetProcesses,
)


class LeaseGrants:
    """Grants leases, pushes rolling bundles and records when one is in force."""

    def __init__(
        self,
        options_: options.Options,
        transport_: transport.Transport,
        replica: interfaces.Replica,
    ) -> None:
        self._options = options_
        self._transport = transport_
        self._replica = replica
        self._events: Any = eventlet.queue.LightQueue()
        self._task: Any = None
        self._term = 0
        self._peers = peers.KnownPeers()
        self._tick_at = clock.now()
        self._table: lease_table.LeaseTable | None = None
        transport_.on(messages.Renewal, self._on_renewal)
        transport_.on(messages.Release, self._on_release)
        transport_.on(messages.AskRollStatus, self._on_ask_status)
        replica.watch(self._on_applied)

    def start(self) -> None:
        """Start the task, which grants leases whenever the replica leads."""
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop granting; leases already granted stay valid until they expire."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def _on_renewal(self, sender: transport.Sender, renewal: messages.Renewal) -> None:
        self._events.put(
            lease_table.RenewalReceived(
                sender.process_id, sender.address, sender.incarnation, renewal
            )
        )

    def _on_release(self, sender: transport.Sender, release: messages.Release) -> None:
        self._events.put(lease_table.ReleaseReceived(release.incarnation))

    def _on_ask_status(
        self, sender: transport.Sender, message: messages.AskRollStatus
    ) -> None:
        leadership = self._replica.leadership()
        if leadership is None or leadership.term != self._term or self._table is None:
            return
        self._transport.answer(sender, self._table.status(clock.now()))

    def _on_applied(self, command: object, answer: Any) -> None:
        if isinstance(command, _AWAITED_COMMANDS):
            self._events.put(lease_table.Tick())

    def _run(self) -> None:
        while True:
            try:
                self._handle(self._next_event())
            except tasks.UNEXPECTED_ERRORS:
                # If this task ended, all gateways would refuse work for as long as this
                # replica leads. The table may be inconsistent after an error, so a new
                # one is created; it waits until all earlier leases have expired.
                tasks.record_error("bundle-grants")
                self._table = None
                clock.sleep(_RETRY_SECONDS)

    def _handle(self, event: object) -> None:
        self._forget_peers()
        leadership = self._replica.leadership()
        if leadership is None:
            self._table = None
        elif self._table is None or leadership.term != self._term:
            self._table = self._start_term(leadership)
        else:
            self._step(self._table, event)

    def _forget_peers(self) -> None:
        # Followers do this as well: each of them may have led before and may have
        # connections to all gateways.
        registered = processes.read(self._replica.state())
        if registered.change == self._peers.change:
            return
        addresses = [each.peer_address for each in registered.processes_by_id.values()]
        for address in self._peers.replace(registered.change, addresses):
            self._transport.forget(address)

    def _next_event(self) -> Any:
        is_rolling = self._table is not None and self._table.newest.is_rolling
        tick = _ROLLING_TICK_SECONDS if is_rolling else _TICK_SECONDS
        # Ticks must happen on time even if renewals arrive without a pause.
        now = clock.now()
        self._tick_at = min(self._tick_at, now + tick)
        if now < self._tick_at:
            try:
                return self._events.get(timeout=self._tick_at - now)
            except eventlet.queue.Empty:
                pass
        self._tick_at = clock.now() + tick
        for address in self._peers.find_unknown():
            self._transport.forget(address)
        return lease_table.Tick()

    def _start_term(
        self, leadership: interfaces.Leadership
    ) -> lease_table.LeaseTable | None:
        gateway = self._options.gateway
        started = self._replica.propose(
            commands.StartGrants(
                leadership.term,
                gateway.bundle_lease_seconds,
                _hold_lease_seconds(gateway),
            )
        )
        if started.is_err():
            clock.sleep(_RETRY_SECONDS)
            return None
        self._term = leadership.term
        eliot.log_message(message_type="bundle:grants-started", term=leadership.term)
        return create_table(self._replica.state(), clock.now())

    def _step(self, table: lease_table.LeaseTable, event: object) -> None:
        state = self._replica.state()
        table.weight_versions_by_trainer = weight_commands.newest_versions(state)
        table.crashes_index = crash_commands.section_of(state).index
        changed = find_change(state, table, self._options.gateway)
        for each in (changed, event):
            if each is None:
                continue
            for effect in table.step(clock.now(), each):
                self._carry_out(effect)

    def _carry_out(self, effect: Any) -> None:
        if isinstance(effect, lease_table.Propose):
            eventlet.spawn(self._propose, effect.command)
            return
        # The process may have been suspended since leadership was last checked, and
        # another replica may lead now. In that case this one must not send on behalf of
        # the state group.
        leadership = self._replica.leadership()
        if leadership is not None and leadership.term == self._term:
            self._transport.send(effect.address, effect.message)
            self._peers.record_sent(effect.address)

    def _propose(self, command: object) -> None:
        answer = self._replica.propose(command)
        if answer.is_err():
            clock.sleep(_RETRY_SECONDS)
        elif isinstance(command, commands.MarkInForce):
            eliot.log_message(
                message_type="bundle:in-force", version=answer.unwrap().version
            )
        self._events.put(lease_table.ProposalEnded(command))


def create_table(state: machine.State, now: float) -> lease_table.LeaseTable:
    """Return the lease table of a leader that starts granting now.

    Earlier leases may have been granted until `now`, and not just by predecessors: a
    leader that lost its leadership for a moment and still has the same term creates a
    new table as well. The time at which it became leader says nothing about the leases
    that it granted since.
    """
    section = records.read(state)
    return lease_table.LeaseTable(now + records.longest_lease_seconds(section))


def find_change(
    state: machine.State, table: lease_table.LeaseTable, gateway: options.GatewayOptions
) -> lease_table.StateChanged | None:
    """Return what has changed in `state` since it was last applied to `table`."""
    bundles = records.read(state)
    registered = processes.read(state)
    newest = records.newest_record(bundles)
    seen = table.newest
    is_same_bundle = (records.newest(bundles), bundles.rolling != 0) == (
        seen.version,
        seen.is_rolling,
    )
    is_same_directory = registered.change == table.directory.change
    former = registered.former_by_incarnation
    is_same_former = former.keys() == table.former_incarnations
    if is_same_bundle and is_same_directory and is_same_former:
        return None
    lease_seconds = gateway.bundle_lease_seconds
    if newest is not None and newest.cut_policy == model.CUT_HOLD:
        lease_seconds = _hold_lease_seconds(gateway)
    return lease_table.StateChanged(
        lease_table.Newest(
            records.newest(bundles),
            newest.content if newest is not None else "",
            bundles.rolling != 0,
            lease_seconds,
        ),
        _directory_of(registered),
        tuple(
            each
            for each in registered.processes_by_id.values()
            if options.ROLE_GATEWAY in each.roles
        ),
        dict(former),
        records.longest_lease_seconds(bundles),
    )


def _hold_lease_seconds(gateway: options.GatewayOptions) -> float:
    return max(gateway.bundle_lease_seconds, gateway.bundle_hold_lease_seconds)


def _directory_of(section: processes.Section) -> messages.Directory:
    gateways = tuple(
        interfaces.Gateway(
            each.process_id,
            each.peer_address,
            each.availability_zone,
            each.region,
            each.incarnation,
        )
        for each in section.processes_by_id.values()
        if options.ROLE_GATEWAY in each.roles
    )
    state_addresses = tuple(
        each.peer_address
        for each in section.processes_by_id.values()
        if options.ROLE_STATE in each.roles
    )
    return messages.Directory(section.change, gateways, state_addresses)
