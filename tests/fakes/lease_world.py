"""Gateways and leaders that exchange bundle leases; the test controls every message.

The clock of each process has its own rate. A message that was sent stays in `in_flight`
until the test delivers, copies or drops it.
"""

from typing import Any

import attrs

from bilberrydrum import options
from bilberrydrum.bundles import (
    commands,
    grants,
    holder,
    lease_table,
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
    """A message in flight between a `Gateway` and a `Leader`."""

    sender: Any
    receiver: Any
    body: Any


@attrs.define(eq=False)
class Gateway:
    """One incarnation of a gateway."""

    process_id: str
    incarnation: int
    rate: float
    holder: holder.LeaseHolder
    versions: list[int] = attrs.field(factory=list)


@attrs.define(eq=False)
class Leader:
    """One term of a leader."""

    rate: float
    lease_table: lease_table.LeaseTable
    leads: bool = True


class World:
    """The gateways, the leader, and the replicated state."""

    def __init__(self, rates: dict[str, float] | None = None) -> None:
        self.now = 1000.0
        self.state = direct_state.DirectState()
        self.gateway_options = options.GatewayOptions(
            bundle_lease_seconds=LEASE, bundle_hold_lease_seconds=HOLD_LEASE
        )
        self.in_flight: list[Message] = []
        self.incarnations: list[Gateway] = []
        self.gateways_by_id: dict[str, Gateway] = {}
        self.leader: Leader = self.elect()
        for process_id, rate in (rates or {"g0": 1.0, "g1": 1.0}).items():
            self.start_gateway(process_id, rate)

    # Events

    def elect(self, rate: float = 1.0) -> Leader:
        """Let a new leader take over; the earlier leader's right to grant has ended."""
        if hasattr(self, "leader"):
            self.leader.leads = False
        self.state.apply(commands.StartGrants(1, LEASE, HOLD_LEASE))
        table = grants.create_table(self.state.state(), self.now * rate)
        self.leader = Leader(rate, table)
        self.step_leader(lease_table.Tick())
        return self.leader

    def start_gateway(self, process_id: str, rate: float = 1.0) -> Gateway:
        """Start a gateway, or restart it while its earlier incarnation still runs."""
        command = processes.RegisterProcess(
            process_id,
            process_id,
            "z",
            "r",
            ("gateway",),
            f"token-{len(self.incarnations)}",
        )
        incarnation = self.state.apply(command).incarnation
        gateway = Gateway(
            process_id, incarnation, rate, holder.LeaseHolder(DRIFT_MARGIN)
        )
        self.incarnations.append(gateway)
        self.gateways_by_id[process_id] = gateway
        self.step_leader(lease_table.Tick())
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
        self.step_leader(lease_table.Tick())
        return version

    def renew(self, process_id: str) -> None:
        self.step_gateway(self.gateways_by_id[process_id], holder.RenewalDue())

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.step_leader(lease_table.Tick())

    def deliver(self, message: Message) -> None:
        self.in_flight.remove(message)
        self.receive(message)

    def receive(self, message: Message) -> None:
        body = message.body
        if isinstance(message.receiver, Gateway):
            if isinstance(body, messages.Unregistered):
                return
            is_grant = isinstance(body, messages.Grant)
            kind = holder.GrantReceived if is_grant else holder.PushReceived
            bundle = holder.read(body.version, body.content)
            self.step_gateway(message.receiver, kind(LEADER_ADDRESS, body, bundle))
        elif message.receiver.leads:
            # A former leader drops all messages.
            self.step_leader(
                lease_table.RenewalReceived(
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

    # Observations

    def acts_on(self, gateway: Gateway) -> int | None:
        """Return the version that the gateway acts on now; None: it refuses work."""
        current = gateway.holder.current(self.now * gateway.rate)
        return current.unwrap().version if current.is_ok() else None

    def in_force(self) -> int:
        return records.read(self.state.state()).in_force

    # Implementation

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
        changed = grants.find_change(state, leader.lease_table, self.gateway_options)
        for each in (changed, event):
            if each is None:
                continue
            trace.note(self.now, each)
            for effect in leader.lease_table.step(now, each):
                self.carry_out(effect)

    def carry_out(self, effect: Any) -> None:
        if isinstance(effect, lease_table.Propose):
            self.state.apply(effect.command)
            self.step_leader(lease_table.ProposalEnded(effect.command))
            return
        gateway = self.gateways_by_id.get(effect.address)
        if gateway is not None:
            message = Message(self.leader, gateway, effect.message)
            self.in_flight.append(message)
