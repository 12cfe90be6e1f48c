"""The task beside a replica that grants bundle leases while it leads.

All of it lives as long as one term: with each new term a new book is begun, after a
command of the new leader has been applied, so that the book starts from all that
earlier leaders committed.
"""

from typing import Any, Final

import eliot
import eventlet
import eventlet.queue

from bilberrydrum import clock, interfaces, options, transport
from bilberrydrum.bundles import book, commands, messages, model, peers, records
from bilberrydrum.fleet import crash_commands
from bilberrydrum.state import machine, processes
from bilberrydrum.weights import commands as weight_commands

# How soon the end of a lease is noticed while a bundle is rolling.
_ROLLING_TICK_SECONDS: Final = 0.02
_TICK_SECONDS: Final = 0.5
_RETRY_SECONDS: Final = 0.1
_NOTED_COMMANDS: Final = (
    commands.RollBundle,
    commands.MarkInForce,
    processes.RegisterProcess,
    processes.ForgetProcesses,
)


class LeaseGrants:
    """Grants leases, pushes rolling bundles and notes when one is in force."""

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
        self._book: book.GrantBook | None = None
        transport_.on(messages.Renewal, self._on_renewal)
        transport_.on(messages.Release, self._on_release)
        transport_.on(messages.AskRollStatus, self._on_ask_status)
        replica.watch(self._on_applied)

    def start(self) -> None:
        """Start granting whenever the replica leads."""
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop granting; leases that are out run on."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def _on_renewal(self, sender: transport.Sender, renewal: messages.Renewal) -> None:
        self._events.put(
            book.RenewalHeard(
                sender.process_id, sender.address, sender.incarnation, renewal
            )
        )

    def _on_release(self, sender: transport.Sender, release: messages.Release) -> None:
        self._events.put(book.ReleaseHeard(release.incarnation))

    def _on_ask_status(
        self, sender: transport.Sender, message: messages.AskRollStatus
    ) -> None:
        leadership = self._replica.leadership()
        if leadership is None or leadership.term != self._term or self._book is None:
            return
        self._transport.answer(sender, self._book.status(clock.now()))

    def _on_applied(self, command: object, answer: Any) -> None:
        if isinstance(command, _NOTED_COMMANDS):
            self._events.put(book.Tick())

    def _run(self) -> None:
        while True:
            try:
                self._take(self._next_event())
            except Exception:
                # Were this task to end, all gateways would refuse work for as long as
                # this replica leads. A new book knows nothing, and waits.
                eliot.write_traceback()
                self._book = None
                clock.sleep(_RETRY_SECONDS)

    def _take(self, event: object) -> None:
        self._forget_peers()
        leadership = self._replica.leadership()
        if leadership is None:
            self._book = None
        elif self._book is None or leadership.term != self._term:
            self._book = self._begin(leadership)
        else:
            self._step(self._book, event)

    def _forget_peers(self) -> None:
        # Followers, too: each may have led and have spoken to all gateways.
        registered = processes.read(self._replica.state())
        if registered.change == self._peers.change:
            return
        addresses = [each.peer_address for each in registered.processes_by_id.values()]
        for address in self._peers.replace(registered.change, addresses):
            self._transport.forget(address)

    def _next_event(self) -> Any:
        is_rolling = self._book is not None and self._book.newest.is_rolling
        tick = _ROLLING_TICK_SECONDS if is_rolling else _TICK_SECONDS
        # A tick is due at its time, also while gateways renew without a pause.
        now = clock.now()
        self._tick_at = min(self._tick_at, now + tick)
        if now < self._tick_at:
            try:
                return self._events.get(timeout=self._tick_at - now)
            except eventlet.queue.Empty:
                pass
        self._tick_at = clock.now() + tick
        for address in self._peers.find_strangers():
            self._transport.forget(address)
        return book.Tick()

    def _begin(self, leadership: interfaces.Leadership) -> book.GrantBook | None:
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
        return begin_book(self._replica.state(), clock.now())

    def _step(self, the_book: book.GrantBook, event: object) -> None:
        state = self._replica.state()
        the_book.weight_versions_by_trainer = weight_commands.newest_versions(state)
        the_book.crashes_index = crash_commands.section_of(state).index
        changed = find_change(state, the_book, self._options.gateway)
        for each in (changed, event):
            if each is None:
                continue
            for effect in the_book.step(clock.now(), each):
                self._carry_out(effect)

    def _carry_out(self, effect: Any) -> None:
        if isinstance(effect, book.Propose):
            eventlet.spawn(self._propose, effect.command)
            return
        # The process may have been stopped since the last look, and another replica
        # may lead: what is sent now must not speak for the state group any more.
        leadership = self._replica.leadership()
        if leadership is not None and leadership.term == self._term:
            self._transport.send(effect.address, effect.message)
            self._peers.note_sent(effect.address)

    def _propose(self, command: object) -> None:
        answer = self._replica.propose(command)
        if answer.is_err():
            clock.sleep(_RETRY_SECONDS)
        elif isinstance(command, commands.MarkInForce):
            eliot.log_message(
                message_type="bundle:in-force", version=answer.unwrap().version
            )
        self._events.put(book.ProposalEnded(command))


def begin_book(state: machine.State, now: float) -> book.GrantBook:
    """Return the book of a leader that begins to grant now.

    Not only predecessors may have granted until now. A leader that was cut off for a
    moment, and leads on in the same term, begins a new book, too: the time it became
    leader says nothing of what it granted since.
    """
    section = records.read(state)
    return book.GrantBook(now + records.longest_lease_seconds(section))


def find_change(
    state: machine.State, the_book: book.GrantBook, gateway: options.GatewayOptions
) -> book.StateChanged | None:
    """Return what has changed in `state` since the book last took it."""
    bundles = records.read(state)
    registered = processes.read(state)
    newest = records.newest_record(bundles)
    seen = the_book.newest
    is_same_bundle = (records.newest(bundles), bundles.rolling != 0) == (
        seen.version,
        seen.is_rolling,
    )
    is_same_directory = registered.change == the_book.directory.change
    former = registered.former_by_incarnation
    is_same_former = former.keys() == the_book.former_incarnations
    if is_same_bundle and is_same_directory and is_same_former:
        return None
    lease_seconds = gateway.bundle_lease_seconds
    if newest is not None and newest.cut_policy == model.CUT_HOLD:
        lease_seconds = _hold_lease_seconds(gateway)
    return book.StateChanged(
        book.Newest(
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
