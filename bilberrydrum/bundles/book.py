"""The leader's side of the bundle leases, as a pure decision.

The book notes until when each life of each gateway may act on which version. A rolling
bundle is in force everywhere once no life may act on an older one: each has confirmed
the newest, or its lease has run out. Every grant is for the newest version, so the
leases for older ones are never extended once a roll has begun.

A new leader doesn't know what its predecessor granted. It takes every registered life
to hold a lease of the longest kind, granted at the moment it became leader: the
predecessor's right to grant had ended by then.
"""

import functools
from collections.abc import Mapping
from typing import Any, Final

import attrs

from bilberrydrum import counters, reasons
from bilberrydrum.bundles import commands, messages
from bilberrydrum.state import processes

# A gateway that was silent for this long, and whose leases have ended, is dropped from
# the registered processes. It registers again if it comes back.
FORGET_SECONDS: Final = 3600.0
# Stands for any older version in what a predecessor may have granted.
_ANY_OLDER: Final = 0


@attrs.frozen
class Newest:
    """The version that gateways shall act on."""

    version: int = 0
    content: str = ""
    is_rolling: bool = False
    # Length of the leases for it.
    lease_seconds: float = 0.0


@attrs.frozen
class RenewalHeard:
    """A gateway asked for its lease."""

    process_id: str
    address: str
    incarnation: int
    renewal: messages.Renewal


@attrs.frozen
class ReleaseHeard:
    """A gateway gave its lease back."""

    incarnation: int


@attrs.frozen
class StateChanged:
    """Bundles or processes were changed in the replicated state."""

    newest: Newest
    directory: messages.Directory
    gateways: tuple[processes.Process, ...]
    former_by_incarnation: Mapping[int, str]
    # The longest lease that anyone may have been granted.
    longest_lease_seconds: float


@attrs.frozen
class Tick:
    """Time has passed."""


@attrs.frozen
class ProposalEnded:
    """A command was committed, or is given up."""

    command: object


@attrs.frozen
class Send:
    """Send `message` to `address`."""

    address: str
    message: object


@attrs.frozen
class Propose:
    """Have `command` committed."""

    command: object


@attrs.define
class Life:
    """One life of a gateway: a process from one start to its end."""

    process_id: str
    address: str
    heard_at: float
    is_former: bool = False
    # The gateway acts on nothing older than this.
    confirmed: int = 0
    # Until when it may act on a version; no entry: it may not.
    until_by_version: dict[int, float] = attrs.field(factory=dict)

    def may_act_below(self, version: int, now: float) -> bool:
        """Tell whether this life may act on a bundle older than `version`."""
        return any(
            granted < version and now < until
            for granted, until in self.until_by_version.items()
        )

    def has_lease(self, now: float) -> bool:
        """Tell whether any lease of this life may still run."""
        return any(now < until for until in self.until_by_version.values())

    def allow(self, version: int, until: float) -> None:
        """Note that this life may act on `version` until `until`."""
        earlier = self.until_by_version.get(version, until)
        self.until_by_version[version] = max(earlier, until)

    def confirm(self, version: int) -> None:
        """Note that this life acts on nothing older than `version`."""
        self.confirmed = max(self.confirmed, version)
        for granted in list(self.until_by_version):
            if granted < self.confirmed:
                # A gateway that takes a pushed bundle keeps the time of its lease.
                # Were that time dropped with the old version, the next roll would be
                # reported in force while the gateway still acts on this one.
                self.allow(self.confirmed, self.until_by_version.pop(granted))


@attrs.define
class GrantBook:
    """All leases of one leader's term."""

    # Until when a predecessor's leases may run.
    predecessor_until: float
    newest: Newest = attrs.field(factory=Newest)
    # Lower than any change, so that the first state is taken whatever it says.
    directory: messages.Directory = messages.Directory(change=-1)
    former_incarnations: frozenset[int] = frozenset()
    weight_versions_by_trainer: dict[str, int] = attrs.field(factory=dict)
    crashes_index: int = 0
    lives_by_incarnation: dict[int, Life] = attrs.field(factory=dict)
    _is_begun: bool = False
    _proposed: set[object] = attrs.field(factory=set)

    def step(self, now: float, event: object) -> list[Any]:
        """Take `event` at time `now` and return the effects."""
        return [*_step(event, self, now), *self._propose_in_force(now)]

    def status(self, now: float) -> messages.RollStatus:
        """Return how far the newest bundle has come."""
        version = self.newest.version
        lives = [
            life for life in self.lives_by_incarnation.values() if not life.is_former
        ]
        waiting_for = {
            life.process_id
            for life in self.lives_by_incarnation.values()
            if life.may_act_below(version, now)
        }
        n_confirmed = sum(life.confirmed >= version for life in lives)
        return messages.RollStatus(
            version, n_confirmed, len(lives), tuple(sorted(waiting_for))
        )

    def grant(self, now: float, event: RenewalHeard) -> list[Any]:
        """Answer a renewal with a lease for the newest version."""
        life = self.lives_by_incarnation.get(event.incarnation)
        if life is None or life.is_former or life.process_id != event.process_id:
            counters.dropped(reasons.Reason.MESSAGE_STALE_SENDER)
            unregistered = messages.Unregistered(
                event.incarnation, self._is_superseded(event)
            )
            return [Send(event.address, unregistered)]
        life.heard_at = now
        life.confirm(event.renewal.version)
        newest = self.newest
        if event.renewal.version > newest.version:
            # Only after the state was restored from an older copy. A lease for the
            # older version would take the gateway back; the next bundle that is rolled
            # takes it on.
            counters.dropped(reasons.Reason.BUNDLE_STALE)
            return self._propose(commands.RecordSeenVersion(event.renewal.version))
        life.allow(newest.version, now + newest.lease_seconds)
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

    def take_state(self, now: float, event: StateChanged) -> list[Any]:
        """Take what the replicated state says now."""
        self.directory = event.directory
        self.former_incarnations = frozenset(event.former_by_incarnation)
        self._take_lives(now, event)
        is_newer = event.newest.version > self.newest.version
        self.newest = event.newest
        if not (is_newer and event.newest.is_rolling):
            return []
        push = messages.Push(self.newest.version, self.newest.content)
        return [
            Send(life.address, push)
            for life in self.lives_by_incarnation.values()
            if not life.is_former
        ]

    def forget(self, now: float) -> list[Any]:
        """Return the effect that drops lives which have ended."""
        ended = tuple(
            incarnation
            for incarnation, life in self.lives_by_incarnation.items()
            if not life.has_lease(now)
            and (life.is_former or now >= life.heard_at + FORGET_SECONDS)
        )
        if not ended:
            return []
        return self._propose(processes.ForgetProcesses(ended))

    def end_proposal(self, command: object) -> None:
        """Let `command` be proposed again if it is still due."""
        self._proposed.discard(command)

    def _is_superseded(self, event: RenewalHeard) -> bool:
        return any(
            life.process_id == event.process_id and incarnation > event.incarnation
            for incarnation, life in self.lives_by_incarnation.items()
        )

    def _take_lives(self, now: float, event: StateChanged) -> None:
        former = event.former_by_incarnation
        registered = {each.incarnation: each for each in event.gateways}
        for incarnation in list(self.lives_by_incarnation):
            if incarnation not in registered and incarnation not in former:
                del self.lives_by_incarnation[incarnation]
        for incarnation, process in registered.items():
            if incarnation not in self.lives_by_incarnation:
                life = Life(process.process_id, process.peer_address, now)
                self._add(incarnation, life)
        for incarnation, process_id in former.items():
            if incarnation not in self.lives_by_incarnation:
                # Nothing is known of this life but that it was: it may hold a lease.
                until = now + event.longest_lease_seconds
                life = Life(process_id, "", now, until_by_version={_ANY_OLDER: until})
                self._add(incarnation, life)
            self.lives_by_incarnation[incarnation].is_former = True
        self._is_begun = True

    def _add(self, incarnation: int, life: Life) -> None:
        # A life that this leader saw registering has had no lease before. One that
        # was there already may hold one that the predecessor granted.
        if not self._is_begun:
            life.until_by_version[_ANY_OLDER] = self.predecessor_until
        self.lives_by_incarnation[incarnation] = life

    def _propose_in_force(self, now: float) -> list[Any]:
        version = self.newest.version
        if not self.newest.is_rolling:
            return []
        lives = self.lives_by_incarnation.values()
        if any(life.may_act_below(version, now) for life in lives):
            return []
        return self._propose(commands.MarkInForce(version))

    def _propose(self, command: object) -> list[Any]:
        if command in self._proposed:
            return []
        self._proposed.add(command)
        return [Propose(command)]


@functools.singledispatch
def _step(event: object, book: GrantBook, now: float) -> list[Any]:
    raise TypeError(f"unknown event {type(event).__name__}")


@_step.register
def _(event: RenewalHeard, book: GrantBook, now: float) -> list[Any]:
    return book.grant(now, event)


@_step.register
def _(event: ReleaseHeard, book: GrantBook, now: float) -> list[Any]:
    life = book.lives_by_incarnation.get(event.incarnation)
    if life is not None:
        life.until_by_version.clear()
    return []


@_step.register
def _(event: StateChanged, book: GrantBook, now: float) -> list[Any]:
    return book.take_state(now, event)


@_step.register
def _(event: Tick, book: GrantBook, now: float) -> list[Any]:
    return book.forget(now)


@_step.register
def _(event: ProposalEnded, book: GrantBook, now: float) -> list[Any]:
    book.end_proposal(event.command)
    return []
