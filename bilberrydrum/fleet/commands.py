"""The control group's replicated state and the commands that change it.

Everything here must survive the loss of any single process: an acknowledged policy, an
upstream's notice that it is leaving, an announced weight version. Announcements that
only renew a registration are not written to the log; the leader keeps them in memory
(see `liveness`).
"""

from collections.abc import Iterable
from typing import Final

import attrs

from bilberrydrum import codec
from bilberrydrum.fleet import incarnations, model
from bilberrydrum.fleet import policy as fleet_policy
from bilberrydrum.state import machine

SECTION: Final = "fleet"
# How long a removed upstream is remembered, in seconds. Announcements that a network
# partition has delayed arrive some ten seconds late.
FORMER_RETENTION_SECONDS: Final = 600.0
# Time for a command to be committed, in seconds. After it the caller is referred to the
# leader that this replica knows, and retries there.
COMMIT_SECONDS: Final = 3.0


@codec.register("fleet.section")
@attrs.define
class Section:
    """The complete state of the control group."""

    policy_index: int = 0
    policy: fleet_policy.Policy = attrs.field(factory=lambda: fleet_policy.Policy(0))
    # The policy document as it was submitted, returned to those who read the policy.
    document: bytes = b""
    registry_index: int = 0
    upstreams_by_id: dict[str, model.FleetUpstream] = attrs.field(factory=dict)
    # The last incarnation of upstreams that were removed, by the upstream's own id.
    formers_by_announced_id: dict[str, incarnations.FormerIncarnation] = attrs.field(
        factory=dict
    )
    versions_by_model: dict[str, int] = attrs.field(factory=dict)
    stores_by_name: dict[str, model.Store] = attrs.field(factory=dict)
    founder_addresses: tuple[str, ...] = ()

    def registry(self) -> model.Registry:
        """Return the registry that is sent to gateways and stores."""
        return model.Registry(
            self.registry_index,
            tuple(self.upstreams_by_id.values()),
            dict(self.versions_by_model),
            tuple(self.stores_by_name.values()),
            self.founder_addresses,
        )

    def is_store_recorded(self, command: "PutStore") -> bool:
        """Return whether a store is recorded with the values of `command`."""
        known = self.stores_by_name.get(command.name)
        return known is not None and (
            (known.address, known.availability_zone)
            == (command.address, command.availability_zone)
        )

    def assess(self, announced: model.FleetUpstream) -> incarnations.Assessment:
        """Return whether to accept an announcement, and which upstreams it replaces."""
        former = self.formers_by_announced_id.get(announced.announced_id)
        known = self.upstreams_by_id.get(announced.upstream_id)
        others: Iterable[model.FleetUpstream] = self.upstreams_by_id.values()
        if known is not None and known.address == announced.address:
            # Upstreams with the same id or address were removed when this one was
            # registered. So no announcement of a load of weights needs a search through
            # the complete fleet.
            others = (known,)
        return incarnations.assess(announced, others, former)

    def names_unknown_service(self, announced: model.FleetUpstream) -> bool:
        """Return whether `announced` has a service that the policy does not define.

        Such an upstream must not be registered, as it could replace one that is in use.
        Before the first policy no service is known, and all are accepted.
        """
        known = self.upstreams_by_id.get(announced.upstream_id)
        if not self.policy.version or (
            known is not None and known.service == announced.service
        ):
            return False
        return all(each.name != announced.service for each in self.policy.services)

    def is_departure_known(self, announced_id: str, started_at_ms: int | None) -> bool:
        """Return whether a departure is recorded, or is of an earlier incarnation.

        A departure without a start time applies to the registered incarnation, as an
        upstream that has announced its departure must not be sent any more requests.
        """
        starts = [
            each.started_at_ms
            for each in self.upstreams_by_id.values()
            if each.announced_id == announced_id
        ]
        former = self.formers_by_announced_id.get(announced_id)
        if not starts and former is not None:
            if former.has_left and started_at_ms in (None, former.started_at_ms):
                return True
            starts = [former.started_at_ms]
        return started_at_ms is not None and any(
            incarnations.compare_starts(started_at_ms, each) < 0 for each in starts
        )

    def remove_upstream(self, upstream_id: str, time: float) -> None:
        """Remove an upstream and remember its last announcement."""
        known = self.upstreams_by_id.pop(upstream_id, None)
        if known is not None:
            self.formers_by_announced_id[known.announced_id] = (
                incarnations.FormerIncarnation(
                    known.started_at_ms, known.sequence, False, time
                )
            )

    def remove_all_named(self, announced_id: str, time: float) -> None:
        """Remove all incarnations that are registered under one id."""
        for each in list(self.upstreams_by_id.values()):
            if each.announced_id == announced_id:
                self.remove_upstream(each.upstream_id, time)

    def prune_formers(self, time: float) -> None:
        """Forget upstreams whose last announcements can no longer be under way."""
        since = time - FORMER_RETENTION_SECONDS
        self.formers_by_announced_id = {
            announced_id: former
            for announced_id, former in self.formers_by_announced_id.items()
            if former.at >= since
        }


def section_of(state: machine.State) -> Section:
    """Return the section in `state`."""
    found: Section = state.section(SECTION, Section)
    return found


@codec.register("fleet.put-policy")
@attrs.frozen
class PutPolicy:
    """Put a validated policy into force if its version is the highest."""

    policy: fleet_policy.Policy
    document: bytes


@codec.register("fleet.policy-taken")
@attrs.frozen
class PolicyInForce:
    """The version in force after a `PutPolicy`."""

    version: int


@codec.register("fleet.put-upstream")
@attrs.frozen
class PutUpstream:
    """Register a new upstream, or update a registered one."""

    upstream: model.FleetUpstream
    # Whether the leader has confirmed it, though another incarnation replaced it.
    is_established: bool = False


@codec.register("fleet.put-upstreams")
@attrs.frozen
class PutUpstreams:
    """Update several registered upstreams."""

    upstreams: tuple[model.FleetUpstream, ...]


@codec.register("fleet.remove-upstreams")
@attrs.frozen
class RemoveUpstreams:
    """Remove upstreams that have not announced themselves; they may register again."""

    upstream_ids: tuple[str, ...]


@codec.register("fleet.note-departure")
@attrs.frozen
class RecordDeparture:
    """Record the permanent departure of an incarnation."""

    announced_id: str
    # Start of the incarnation that left; None for the registered one.
    started_at_ms: int | None = None


@codec.register("fleet.mark-silent")
@attrs.frozen
class MarkSilent:
    """Mark upstreams whose announcements are overdue as silent."""

    upstream_ids: tuple[str, ...]


@codec.register("fleet.name-version")
@attrs.frozen
class AnnounceVersion:
    """Record that a version of a model's weights is to be served."""

    model: str
    version: int


@codec.register("fleet.put-store")
@attrs.frozen
class PutStore:
    """Record a process that can hold a replica of the stores' group."""

    name: str
    address: str
    availability_zone: str = ""


@codec.register("fleet.found-stores")
@attrs.frozen
class BootstrapStores:
    """Set the initial members of the stores' group; only the first one is applied."""

    addresses: tuple[str, ...]


@codec.register("fleet.retire-store")
@attrs.frozen
class RetireStore:
    """Record that a store is to be retired: its replica moves to another store."""

    name: str


@codec.register("fleet.noted")
@attrs.frozen
class Applied:
    """Answer to a command that was applied."""

    # Whether it changed the state.
    is_change: bool = True


def _mark_changed(section: Section, context: machine.Context) -> Applied:
    section.registry_index = context.index
    return Applied()


@machine.apply.register
def _(
    command: PutPolicy, state: machine.State, context: machine.Context
) -> PolicyInForce:
    section = section_of(state)
    # A policy with an older version, or other content under the current version, is
    # acknowledged without a change: the first content of a version stays in force.
    if command.policy.version > section.policy.version:
        section.policy = command.policy
        section.document = command.document
        section.policy_index = context.index
    return PolicyInForce(section.policy.version)


@machine.apply.register
def _(command: PutUpstream, state: machine.State, context: machine.Context) -> Applied:
    section = section_of(state)
    if not _put(section, command.upstream, command.is_established, context):
        return Applied(False)
    return _mark_changed(section, context)


@machine.apply.register
def _(command: PutUpstreams, state: machine.State, context: machine.Context) -> Applied:
    section = section_of(state)
    n_put = sum(_put(section, each, False, context) for each in command.upstreams)
    return _mark_changed(section, context) if n_put else Applied(False)


def _put(
    section: Section,
    announced: model.FleetUpstream,
    is_established: bool,
    context: machine.Context,
) -> bool:
    """Register an upstream if its announcement is accepted; return whether it was."""
    assessment = section.assess(announced)
    is_unconfirmed = assessment.decision is incarnations.Decision.UNCONFIRMED
    is_confirmed = is_unconfirmed and is_established
    if assessment.decision is not incarnations.Decision.ACCEPTED and not is_confirmed:
        return False
    known = section.upstreams_by_id.get(announced.upstream_id)
    for upstream_id in assessment.replaced_ids:
        section.remove_upstream(upstream_id, context.time)
    section.formers_by_announced_id.pop(announced.announced_id, None)
    if known is not None and known.is_leaving:
        # An upstream that has announced that it is leaving stays so, even if an earlier
        # announcement arrives late.
        announced = attrs.evolve(announced, is_leaving=True)
    section.upstreams_by_id[announced.upstream_id] = announced
    return True


@machine.apply.register
def _(
    command: RemoveUpstreams, state: machine.State, context: machine.Context
) -> Applied:
    section = section_of(state)
    for upstream_id in command.upstream_ids:
        section.remove_upstream(upstream_id, context.time)
    section.prune_formers(context.time)
    return _mark_changed(section, context)


@machine.apply.register
def _(
    command: RecordDeparture, state: machine.State, context: machine.Context
) -> Applied:
    section = section_of(state)
    announced_id = command.announced_id
    if section.is_departure_known(announced_id, command.started_at_ms):
        return Applied(False)
    section.remove_all_named(announced_id, context.time)
    former = section.formers_by_announced_id.get(announced_id)
    started_at_ms = command.started_at_ms
    if started_at_ms is None and former is not None:
        started_at_ms = former.started_at_ms
    section.formers_by_announced_id[announced_id] = incarnations.FormerIncarnation(
        started_at_ms, 0, True, context.time
    )
    section.prune_formers(context.time)
    return _mark_changed(section, context)


@machine.apply.register
def _(command: MarkSilent, state: machine.State, context: machine.Context) -> Applied:
    section = section_of(state)
    for upstream_id in command.upstream_ids:
        known = section.upstreams_by_id.get(upstream_id)
        if known is not None:
            silent = attrs.evolve(known, is_silent=True)
            section.upstreams_by_id[upstream_id] = silent
    return _mark_changed(section, context)


@machine.apply.register
def _(
    command: AnnounceVersion, state: machine.State, context: machine.Context
) -> Applied:
    section = section_of(state)
    if section.versions_by_model.get(command.model, -1) >= command.version:
        return Applied(False)
    section.versions_by_model[command.model] = command.version
    return _mark_changed(section, context)


@machine.apply.register
def _(command: PutStore, state: machine.State, context: machine.Context) -> Applied:
    section = section_of(state)
    if section.is_store_recorded(command):
        return Applied(False)
    section.stores_by_name[command.name] = model.Store(
        command.name, command.address, availability_zone=command.availability_zone
    )
    return _mark_changed(section, context)


@machine.apply.register
def _(
    command: BootstrapStores, state: machine.State, context: machine.Context
) -> Applied:
    section = section_of(state)
    if section.founder_addresses:
        return Applied(False)
    section.founder_addresses = command.addresses
    return _mark_changed(section, context)


@machine.apply.register
def _(command: RetireStore, state: machine.State, context: machine.Context) -> Applied:
    section = section_of(state)
    known = section.stores_by_name.get(command.name)
    if known is None or known.retiring_index:
        return Applied(False)
    retiring = attrs.evolve(known, retiring_index=context.index)
    section.stores_by_name[command.name] = retiring
    return _mark_changed(section, context)
