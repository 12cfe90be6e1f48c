"""The leader's side of the bundle leases: events in, effects out, no I/O.

The table records until when each incarnation of each gateway may act on which version.
A rolling bundle is in force everywhere as soon as no incarnation may act on an older
one: each has confirmed the newest version, or its lease has expired. Every grant is for
the newest version, so leases for older ones are never extended once a roll has started.

A new leader does not know what its predecessor granted. It assumes that each registered
incarnation holds a lease of the longest kind, granted when the table was created: the
predecessor's right to grant leases had ended by then.
"""

import functools
from collections.abc import Mapping
from typing import Any, Final

import attrs

from bilberrydrum import counters, reasons
from bilberrydrum.bundles import commands, messages
from bilberrydrum.state import processes

# A gateway that has not renewed for this long, and whose leases have expired, is
# dropped from the registered processes. If it is still running, it registers again.
FORGET_SECONDS: Final = 3600.0
# Represents any older version in the leases that a predecessor may have granted.
_ANY_OLDER: Final = 0


@attrs.frozen
class Newest:
    """The version on which gateways must act."""

    version: int = 0
    content: str = ""
    is_rolling: bool = False
    # Length of the leases for this version.
    lease_seconds: float = 0.0


@attrs.frozen
class RenewalReceived:
    """A gateway's renewal request was received."""

    process_id: str
    address: str
    incarnation: int
    renewal: messages.Renewal


@attrs.frozen
class ReleaseReceived:
    """A gateway released its lease."""

    incarnation: int


@attrs.frozen
class StateChanged:
    """Bundles or registered processes have changed in the replicated state."""

    newest: Newest
    directory: messages.Directory
    gateways: tuple[processes.Process, ...]
    former_by_incarnation: Mapping[int, str]
    # The longest lease that any gateway may have been granted.
    longest_lease_seconds: float


@attrs.frozen
class Tick:
    """Time has passed."""


@attrs.frozen
class ProposalEnded:
    """A proposed command was committed, or its proposal failed."""

    command: object


@attrs.frozen
class Send:
    """Send `message` to `address`."""

    address: str
    message: object


@attrs.frozen
class Propose:
    """Propose `command` to the state group."""

    command: object


@attrs.define
class GatewayIncarnation:
    """One incarnation of a gateway, with the leases that it may hold."""

    process_id: str
    address: str
    # Time of its last renewal, or of its registration if it has not renewed yet.
    renewed_at: float
    is_former: bool = False
    # The gateway has confirmed that it acts on no version older than this one.
    confirmed: int = 0
    # Until when it may act on a version. It may not act on a version without an entry.
    until_by_version: dict[int, float] = attrs.field(factory=dict)

    def may_act_below(self, version: int, now: float) -> bool:
        """Return whether it may act on a bundle older than `version`."""
        return any(
            granted < version and now < until
            for granted, until in self.until_by_version.items()
        )

    def has_lease(self, now: float) -> bool:
        """Return whether it may hold a lease that has not expired."""
        return any(now < until for until in self.until_by_version.values())

    def allow(self, version: int, until: float) -> None:
        """Record that it may act on `version` until `until`."""
        earlier = self.until_by_version.get(version, until)
        self.until_by_version[version] = max(earlier, until)

    def confirm(self, version: int) -> None:
        """Record that it acts on no version older than `version`."""
        self.confirmed = max(self.confirmed, version)
        for granted in list(self.until_by_version):
            if granted < self.confirmed:
                # A gateway that adopts a pushed bundle keeps the expiry of its lease,
                # so the entry moves to the confirmed version. If it were dropped with
                # the old version, the next roll would be reported in force while the
                # gateway still acts on this version.
                self.allow(self.confirmed, self.until_by_version.pop(granted))


@attrs.define
class LeaseTable:
    """All leases that are relevant during one leader's term."""

    # Until when leases granted before this table was created may be valid.
    predecessor_until: float
    newest: Newest = attrs.field(factory=Newest)
    # Its change number is lower than any real one, so that the first state is always
    # applied.
    directory: messages.Directory = messages.Directory(change=-1)
    former_incarnations: frozenset[int] = frozenset()
    weight_versions_by_trainer: dict[str, int] = attrs.field(factory=dict)
    crashes_index: int = 0
    gateways_by_incarnation: dict[int, GatewayIncarnation] = attrs.field(factory=dict)
    _has_state: bool = False
    _proposed: set[object] = attrs.field(factory=set)

    def step(self, now: float, event: object) -> list[Any]:
        """Apply `event` at time `now` and return the effects."""
        return [*_step(event, self, now), *self._propose_in_force(now)]

    def status(self, now: float) -> messages.RollStatus:
        """Return the progress of the newest bundle's roll."""
        version = self.newest.version
        gateways = [
            gateway
            for gateway in self.gateways_by_incarnation.values()
            if not gateway.is_former
        ]
        waiting_for = {
            gateway.process_id
            for gateway in self.gateways_by_incarnation.values()
            if gateway.may_act_below(version, now)
        }
        n_confirmed = sum(gateway.confirmed >= version for gateway in gateways)
        return messages.RollStatus(
            version, n_confirmed, len(gateways), tuple(sorted(waiting_for))
        )

    def grant(self, now: float, event: RenewalReceived) -> list[Any]:
        """Answer a renewal with a lease for the newest version."""
        gateway = self.gateways_by_incarnation.get(event.incarnation)
        if (
            gateway is None
            or gateway.is_former
            or gateway.process_id != event.process_id
        ):
            counters.dropped(reasons.Reason.MESSAGE_STALE_SENDER)
            unregistered = messages.Unregistered(
                event.incarnation, self._is_superseded(event)
            )
            return [Send(event.address, unregistered)]
        gateway.renewed_at = now
        gateway.confirm(event.renewal.version)
        newest = self.newest
        if event.renewal.version > newest.version:
            # This happens only after the state was restored from an older copy. A lease
            # for the older version would revert the gateway, so it gets none until the
            # next bundle, whose version must be higher, is rolled.
            counters.dropped(reasons.Reason.BUNDLE_STALE)
            return self._propose(commands.RecordSeenVersion(event.renewal.version))
        gateway.allow(newest.version, now + newest.lease_seconds)
        is_behind = event.renewal.version < newest.version
        is_directory_old = event.renewal.directory_change != self.directory.change
        grant = messages.Grant(
            event.renewal.sequence,
            event.incarnation,
            newest.version,
            newest.lease_seconds,
            newest.content if is_behind else None,
            self.directory if is_directory_old else None,
            self.weight_versions_by_trainer,
            self.crashes_index,
        )
        return [Send(event.address, grant)]

    def apply_state(self, now: float, event: StateChanged) -> list[Any]:
        """Apply the current content of the replicated state."""
        self.directory = event.directory
        self.former_incarnations = frozenset(event.former_by_incarnation)
        self._apply_incarnations(now, event)
        is_newer = event.newest.version > self.newest.version
        self.newest = event.newest
        if not (is_newer and event.newest.is_rolling):
            return []
        push = messages.Push(self.newest.version, self.newest.content)
        return [
            Send(gateway.address, push)
            for gateway in self.gateways_by_incarnation.values()
            if not gateway.is_former
        ]

    def forget(self, now: float) -> list[Any]:
        """Return the effect that drops incarnations that are no longer needed."""
        ended = tuple(
            incarnation
            for incarnation, gateway in self.gateways_by_incarnation.items()
            if not gateway.has_lease(now)
            and (gateway.is_former or now >= gateway.renewed_at + FORGET_SECONDS)
        )
        if not ended:
            return []
        return self._propose(processes.ForgetProcesses(ended))

    def end_proposal(self, command: object) -> None:
        """Allow `command` to be proposed again if it is still due."""
        self._proposed.discard(command)

    def _is_superseded(self, event: RenewalReceived) -> bool:
        return any(
            gateway.process_id == event.process_id and incarnation > event.incarnation
            for incarnation, gateway in self.gateways_by_incarnation.items()
        )

    def _apply_incarnations(self, now: float, event: StateChanged) -> None:
        former = event.former_by_incarnation
        registered = {each.incarnation: each for each in event.gateways}
        for incarnation in list(self.gateways_by_incarnation):
            if incarnation not in registered and incarnation not in former:
                del self.gateways_by_incarnation[incarnation]
        for incarnation, process in registered.items():
            if incarnation not in self.gateways_by_incarnation:
                gateway = GatewayIncarnation(
                    process.process_id, process.peer_address, now
                )
                self._add(incarnation, gateway)
        for incarnation, process_id in former.items():
            if incarnation not in self.gateways_by_incarnation:
                # All that is known of this incarnation is that it existed, so it may
                # hold a lease.
                until = now + event.longest_lease_seconds
                gateway = GatewayIncarnation(
                    process_id, "", now, until_by_version={_ANY_OLDER: until}
                )
                self._add(incarnation, gateway)
            self.gateways_by_incarnation[incarnation].is_former = True
        self._has_state = True

    def _add(self, incarnation: int, gateway: GatewayIncarnation) -> None:
        # An incarnation that registers after the first state was applied has had no
        # lease before. One that was registered earlier may hold a lease that the
        # predecessor granted.
        if not self._has_state:
            gateway.until_by_version[_ANY_OLDER] = self.predecessor_until
        self.gateways_by_incarnation[incarnation] = gateway

    def _propose_in_force(self, now: float) -> list[Any]:
        version = self.newest.version
        if not self.newest.is_rolling:
            return []
        gateways = self.gateways_by_incarnation.values()
        if any(gateway.may_act_below(version, now) for gateway in gateways):
            return []
        return self._propose(commands.MarkInForce(version))

    def _propose(self, command: object) -> list[Any]:
        if command in self._proposed:
            return []
        self._proposed.add(command)
        return [Propose(command)]


@functools.singledispatch
def _step(event: object, lease_table: LeaseTable, now: float) -> list[Any]:
    raise TypeError(f"expected an event of the lease table, got {type(event).__name__}")


@_step.register
def _(event: RenewalReceived, lease_table: LeaseTable, now: float) -> list[Any]:
    return lease_table.grant(now, event)


@_step.register
def _(event: ReleaseReceived, lease_table: LeaseTable, now: float) -> list[Any]:
    gateway = lease_table.gateways_by_incarnation.get(event.incarnation)
    if gateway is not None:
        gateway.until_by_version.clear()
    return []


@_step.register
def _(event: StateChanged, lease_table: LeaseTable, now: float) -> list[Any]:
    return lease_table.apply_state(now, event)


@_step.register
def _(event: Tick, lease_table: LeaseTable, now: float) -> list[Any]:
    return lease_table.forget(now)


@_step.register
def _(event: ProposalEnded, lease_table: LeaseTable, now: float) -> list[Any]:
    lease_table.end_proposal(event.command)
    return []
