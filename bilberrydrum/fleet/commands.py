"""The control group's state: commands and what they change.

Everything here must outlive any single process: an acknowledged policy, an upstream
that said that it leaves, a named weight version. Plain renewals are not written down;
the leader keeps them in memory (see `liveness`).
"""

from collections.abc import Iterable
from typing import Final

import attrs

from bilberrydrum import codec
from bilberrydrum.fleet import incarnations, model
from bilberrydrum.fleet import policy as fleet_policy
from bilberrydrum.state import machine

SECTION: Final = "fleet"
# An upstream that is gone is remembered this long, in seconds: announcements that were
# held up on the way by a cut arrive some ten seconds late.
FORMER_SECONDS: Final = 600.0
# Time for a command to be committed before its caller is sent on to ask again.
COMMIT_SECONDS: Final = 3.0


@codec.register("fleet.section")
@attrs.define
class Section:
    """The whole state."""

    policy_index: int = 0
    policy: fleet_policy.Policy = attrs.field(factory=lambda: fleet_policy.Policy(0))
    # The policy as it was submitted, for reading it back.
    document: bytes = b""
    registry_index: int = 0
    upstreams_by_id: dict[str, model.FleetUpstream] = attrs.field(factory=dict)
    # Upstreams that are not there any more, by the name that they gave themselves.
    formers_by_announced_id: dict[str, incarnations.Former] = attrs.field(factory=dict)
    versions_by_model: dict[str, int] = attrs.field(factory=dict)
    stores_by_name: dict[str, model.Store] = attrs.field(factory=dict)
    founder_addresses: tuple[str, ...] = ()

    def registry(self) -> model.Registry:
        """Return what gateways and stores are told."""
        return model.Registry(
            self.registry_index,
            tuple(self.upstreams_by_id.values()),
            dict(self.versions_by_model),
            tuple(self.stores_by_name.values()),
            self.founder_addresses,
        )

    def holds_store(self, given: "PutStore") -> bool:
        """Tell whether a store is noted as `given` has it."""
        known = self.stores_by_name.get(given.name)
        return known is not None and (
            (known.address, known.availability_zone)
            == (given.address, given.availability_zone)
        )

    def judge(self, given: model.FleetUpstream) -> incarnations.Judgement:
        """Return what an announcement is worth."""
        former = self.formers_by_announced_id.get(given.announced_id)
        known = self.upstreams_by_id.get(given.upstream_id)
        others: Iterable[model.FleetUpstream] = self.upstreams_by_id.values()
        if known is not None and known.address == given.address:
            # Whoever else had its name or address was taken out when it came: at each
            # load of weights, nobody has to be looked for in the whole fleet.
            others = (known,)
        return incarnations.judge(given, others, former)

    def lacks_service(self, given: model.FleetUpstream) -> bool:
        """Tell whether `given` names a service that the policy does not know.

        Taken in, it could take the place of an upstream that is in use. Without a
        policy no service is known yet, and none is lacking.
        """
        known = self.upstreams_by_id.get(given.upstream_id)
        if not self.policy.version or (
            known is not None and known.service == given.service
        ):
            return False
        return all(each.name != given.service for each in self.policy.services)

    def is_departure_known(self, announced_id: str, started_at_ms: int | None) -> bool:
        """Tell whether a departure is noted already, or comes from an earlier start.

        One that names no start concerns the incarnation that is known: what has said
        that it leaves must be sent nothing.
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

    def take_out(self, upstream_id: str, time: float) -> None:
        """Remove an upstream and remember its last word."""
        known = self.upstreams_by_id.pop(upstream_id, None)
        if known is not None:
            self.formers_by_announced_id[known.announced_id] = incarnations.Former(
                known.started_at_ms, known.sequence, False, time
            )

    def take_out_all(self, announced_id: str, time: float) -> None:
        """Remove the upstreams of one name."""
        for each in list(self.upstreams_by_id.values()):
            if each.announced_id == announced_id:
                self.take_out(each.upstream_id, time)

    def forget_formers(self, time: float) -> None:
        """Forget upstreams whose words are not on their way any more."""
        since = time - FORMER_SECONDS
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
    """Put a checked policy into force if its version is the highest."""

    policy: fleet_policy.Policy
    document: bytes


@codec.register("fleet.policy-taken")
@attrs.frozen
class PolicyTaken:
    """The version in force after a `PutPolicy`."""

    version: int


@codec.register("fleet.put-upstream")
@attrs.frozen
class PutUpstream:
    """Note a new upstream, or what has changed of a known one."""

    upstream: model.FleetUpstream
    # The leader believes it, though another incarnation has replaced it.
    is_established: bool = False


@codec.register("fleet.put-upstreams")
@attrs.frozen
class PutUpstreams:
    """Note what has changed of several known upstreams."""

    upstreams: tuple[model.FleetUpstream, ...]


@codec.register("fleet.remove-upstreams")
@attrs.frozen
class RemoveUpstreams:
    """Take out upstreams that were silent for too long; they may be heard again."""

    upstream_ids: tuple[str, ...]


@codec.register("fleet.note-departure")
@attrs.frozen
class NoteDeparture:
    """Note that an upstream has left for good."""

    announced_id: str
    # Start of the incarnation that left; None: the one that is known.
    started_at_ms: int | None = None


@codec.register("fleet.mark-silent")
@attrs.frozen
class MarkSilent:
    """Note that upstreams have not been heard from for long."""

    upstream_ids: tuple[str, ...]


@codec.register("fleet.name-version")
@attrs.frozen
class NameVersion:
    """Note that a version of a model's weights is to be served."""

    model: str
    version: int


@codec.register("fleet.put-store")
@attrs.frozen
class PutStore:
    """Note a process that can hold a replica of the stores' group."""

    name: str
    address: str
    availability_zone: str = ""


@codec.register("fleet.found-stores")
@attrs.frozen
class FoundStores:
    """Choose, once and for all, the processes that start the stores' group."""

    addresses: tuple[str, ...]


@codec.register("fleet.retire-store")
@attrs.frozen
class RetireStore:
    """Note that a store is to be emptied."""

    name: str


@codec.register("fleet.noted")
@attrs.frozen
class Noted:
    """The command is in the state."""

    is_change: bool = True


def _touch(section: Section, context: machine.Context) -> Noted:
    section.registry_index = context.index
    return Noted()


@machine.apply.register
def _(
    command: PutPolicy, state: machine.State, context: machine.Context
) -> PolicyTaken:
    section = section_of(state)
    # An older change that arrives again, or another one under the version held, is
    # acknowledged and changes nothing: the first content of a version stands.
    if command.policy.version > section.policy.version:
        section.policy = command.policy
        section.document = command.document
        section.policy_index = context.index
    return PolicyTaken(section.policy.version)


@machine.apply.register
def _(command: PutUpstream, state: machine.State, context: machine.Context) -> Noted:
    section = section_of(state)
    if not _put(section, command.upstream, command.is_established, context):
        return Noted(False)
    return _touch(section, context)


@machine.apply.register
def _(command: PutUpstreams, state: machine.State, context: machine.Context) -> Noted:
    section = section_of(state)
    n_put = sum(_put(section, each, False, context) for each in command.upstreams)
    return _touch(section, context) if n_put else Noted(False)


def _put(
    section: Section,
    given: model.FleetUpstream,
    is_established: bool,
    context: machine.Context,
) -> bool:
    """Note an upstream if its announcement is worth it."""
    judgement = section.judge(given)
    is_doubtful = judgement.verdict is incarnations.Verdict.DOUBTFUL
    is_believed = is_doubtful and is_established
    if judgement.verdict is not incarnations.Verdict.TAKEN and not is_believed:
        return False
    known = section.upstreams_by_id.get(given.upstream_id)
    for upstream_id in judgement.holder_ids:
        section.take_out(upstream_id, context.time)
    section.formers_by_announced_id.pop(given.announced_id, None)
    if known is not None and known.is_leaving:
        # Who has said that it leaves stays gone, whatever comes late.
        given = attrs.evolve(given, is_leaving=True)
    section.upstreams_by_id[given.upstream_id] = given
    return True


@machine.apply.register
def _(
    command: RemoveUpstreams, state: machine.State, context: machine.Context
) -> Noted:
    section = section_of(state)
    for upstream_id in command.upstream_ids:
        section.take_out(upstream_id, context.time)
    section.forget_formers(context.time)
    return _touch(section, context)


@machine.apply.register
def _(command: NoteDeparture, state: machine.State, context: machine.Context) -> Noted:
    section = section_of(state)
    announced_id = command.announced_id
    if section.is_departure_known(announced_id, command.started_at_ms):
        return Noted(False)
    section.take_out_all(announced_id, context.time)
    former = section.formers_by_announced_id.get(announced_id)
    started_at_ms = command.started_at_ms
    if started_at_ms is None and former is not None:
        started_at_ms = former.started_at_ms
    section.formers_by_announced_id[announced_id] = incarnations.Former(
        started_at_ms, 0, True, context.time
    )
    section.forget_formers(context.time)
    return _touch(section, context)


@machine.apply.register
def _(command: MarkSilent, state: machine.State, context: machine.Context) -> Noted:
    section = section_of(state)
    for upstream_id in command.upstream_ids:
        known = section.upstreams_by_id.get(upstream_id)
        if known is not None:
            silent = attrs.evolve(known, is_silent=True)
            section.upstreams_by_id[upstream_id] = silent
    return _touch(section, context)


@machine.apply.register
def _(command: NameVersion, state: machine.State, context: machine.Context) -> Noted:
    section = section_of(state)
    if section.versions_by_model.get(command.model, -1) >= command.version:
        return Noted(False)
    section.versions_by_model[command.model] = command.version
    return _touch(section, context)


@machine.apply.register
def _(command: PutStore, state: machine.State, context: machine.Context) -> Noted:
    section = section_of(state)
    if section.holds_store(command):
        return Noted(False)
    section.stores_by_name[command.name] = model.Store(
        command.name, command.address, availability_zone=command.availability_zone
    )
    return _touch(section, context)


@machine.apply.register
def _(command: FoundStores, state: machine.State, context: machine.Context) -> Noted:
    section = section_of(state)
    if section.founder_addresses:
        return Noted(False)
    section.founder_addresses = command.addresses
    return _touch(section, context)


@machine.apply.register
def _(command: RetireStore, state: machine.State, context: machine.Context) -> Noted:
    section = section_of(state)
    known = section.stores_by_name.get(command.name)
    if known is None or known.retiring_index:
        return Noted(False)
    retiring = attrs.evolve(known, retiring_index=context.index)
    section.stores_by_name[command.name] = retiring
    return _touch(section, context)
