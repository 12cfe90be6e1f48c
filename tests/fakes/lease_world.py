"""Gateways and leaders exchanging bundle leases, with every message in the test's hand.

Each process has a clock of its own rate. A message that was sent lies in `in_flight`
until the test delivers, copies or drops it.
"""

from typing import Any

import attrs

from bilberrydrum import options
from bilberrydrum.bundles import (
    book,
    commands,
    grants,
    holder,
    messages,
    model,
    records,
)
from bilberrydrum.state import processes
from tests.fakes import direct_state, trace

LEASE = 3.0
HOLD_LEASE = 60.0
DRIFT_MARGIN = 0.05
LEADER_ADDRESS = "leader"


@attrs.define
class Message:
    """A message on its way; the sender and receiver are gateways' keys or leaders."""

    sender: Any
    receiver: Any
    body: Any


@attrs.define(eq=False)
class Gateway:
    """One life of a gateway."""

    process_id: str
    incarnation: int
    rate: float
    holder: holder.LeaseHolder
    versions: list[int] = attrs.field(factory=list)


@attrs.define(eq=False)
class Leader:
    """One term of a leader."""

    rate: float
    book: book.GrantBook
    leads: bool = True


class World:
    """All of them, and the state they share."""

    def __init__(self, rates: dict[str, float] | None = None) -> None:
        self.now = 1000.0
        self.state = direct_state.DirectState()
        self.gateway_options = options.GatewayOptions(
            bundle_lease_seconds=LEASE, bundle_hold_lease_seconds=HOLD_LEASE
        )
        self.in_flight: list[Message] = []
        self.lives: list[Gateway] = []
        self.gateways_by_id: dict[str, Gateway] = {}
        self.leader: Leader = self.elect()
        for process_id, rate in (rates or {"g0": 1.0, "g1": 1.0}).items():
            self.start_gateway(process_id, rate)

    # What happens.

    def elect(self, rate: float = 1.0) -> Leader:
        """Let a new leader take over; the earlier one's right has ended."""
        if hasattr(self, "leader"):
            self.leader.leads = False
        self.state.apply(commands.StartGrants(1, LEASE, HOLD_LEASE))
        the_book = grants.begin_book(self.state.state(), self.now * rate)
        self.leader = Leader(rate, the_book)
        self.step_leader(book.Tick())
        return self.leader

    def start_gateway(self, process_id: str, rate: float = 1.0) -> Gateway:
        """Start a gateway, or start it anew while its earlier life lingers on."""
        command = processes.RegisterProcess(
            process_id, process_id, "z", "r", ("gateway",), f"token-{len(self.lives)}"
        )
        incarnation = self.state.apply(command).incarnation
        gateway = Gateway(
            process_id, incarnation, rate, holder.LeaseHolder(DRIFT_MARGIN)
        )
        self.lives.append(gateway)
        self.gateways_by_id[process_id] = gateway
        self.step_leader(book.Tick())
        self.step_gateway(gateway, holder.Registered(incarnation))
        return gateway

    def roll(self, policy: str = model.CUT_REFUSE, content: str = "") -> int:
        """Submit, sign off and roll the next version."""
        parent = records.newest(records.read(self.state.state()))
        version = parent + 1
        text = content or f"version: {version}\nparent: {parent}\n"
        digest = f"digest-{version}"
        for command in (
            commands.SubmitBundle(version, parent, digest, "ana", policy, text),
            commands.SignOffBundle(version, digest, "ana"),
            commands.RollBundle(version, digest, "ana"),
        ):
            answer = self.state.apply(command)
            assert isinstance(answer, commands.Changed), answer
        self.step_leader(book.Tick())
        return version

    def renew(self, process_id: str) -> None:
        self.step_gateway(self.gateways_by_id[process_id], holder.RenewalDue())

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.step_leader(book.Tick())

    def deliver(self, message: Message) -> None:
        self.in_flight.remove(message)
        self.hand_over(message)

    def hand_over(self, message: Message) -> None:
        body = message.body
        if isinstance(message.receiver, Gateway):
            if isinstance(body, messages.Unregistered):
                return
            is_grant = isinstance(body, messages.Grant)
            kind = holder.GrantHeard if is_grant else holder.PushHeard
            bundle = holder.read(body.version, body.content)
            self.step_gateway(message.receiver, kind(LEADER_ADDRESS, body, bundle))
        elif message.receiver.leads:
            # A leader that has lost its place drops what it hears.
            self.step_leader(
                book.RenewalHeard(
                    message.sender.process_id,
                    message.sender.process_id,
                    message.sender.incarnation,
                    body,
                )
            )

    def exchange(self, *process_ids: str) -> None:
        """Deliver all messages from and to the named gateways, until none is left."""
        while True:
            chosen = [
                message
                for message in self.in_flight
                if {message.sender, message.receiver}
                & {self.gateways_by_id[each] for each in process_ids}
            ]
            if not chosen:
                return
            for message in chosen:
                self.deliver(message)

    def renew_all(self, *process_ids: str) -> None:
        for process_id in process_ids:
            self.renew(process_id)
        self.exchange(*process_ids)

    # What is seen.

    def acts_on(self, gateway: Gateway) -> int | None:
        """Return the version that the gateway acts on now; None: it refuses work."""
        current = gateway.holder.current(self.now * gateway.rate)
        return current.unwrap().version if current.is_ok() else None

    def in_force(self) -> int:
        return records.read(self.state.state()).in_force

    # How it is carried out.

    def step_gateway(self, gateway: Gateway, event: object) -> None:
        trace.note(self.now, gateway.process_id, gateway.incarnation, event)
        for effect in gateway.holder.step(self.now * gateway.rate, event):
            if isinstance(effect, holder.SendRenewal):
                message = Message(gateway, self.leader, effect.renewal)
                self.in_flight.append(message)
            else:
                gateway.versions.append(effect.version)

    def step_leader(self, event: object) -> None:
        leader = self.leader
        now = self.now * leader.rate
        state = self.state.state()
        changed = grants.find_change(state, leader.book, self.gateway_options)
        for each in (changed, event):
            if each is None:
                continue
            trace.note(self.now, each)
            for effect in leader.book.step(now, each):
                self.carry_out(effect)

    def carry_out(self, effect: Any) -> None:
        if isinstance(effect, book.Propose):
            self.state.apply(effect.command)
            self.step_leader(book.ProposalEnded(effect.command))
            return
        gateway = self.gateways_by_id.get(effect.address)
        if gateway is not None:
            message = Message(self.leader, gateway, effect.message)
            self.in_flight.append(message)
