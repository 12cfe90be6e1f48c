"""The control group's state: commands and what they change.

Everything here must outlive any single process: an acknowledged policy, an upstream
that said that it leaves, a named weight version. Plain renewals are not written down;
the leader keeps them in memory (see `liveness`).
"""

from typing import Final

import attrs

from bilberrydrum import codec
from bilberrydrum.fleet import model
from bilberrydrum.fleet import policy as fleet_policy
from bilberrydrum.state import machine

SECTION: Final = "fleet"
# An upstream that left is remembered this long, in seconds: announcements that were
# held up on the way by a cut arrive some ten seconds late.
DEPARTED_SECONDS: Final = 600.0
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
    # When upstreams left, by id, in seconds of the log's time.
    departed_by_id: dict[str, float] = attrs.field(factory=dict)
    # The last announcement of upstreams whose address was taken over, by id.
    displaced_sequences_by_id: dict[str, int] = attrs.field(factory=dict)
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


@codec.register("fleet.remove-upstreams")
@attrs.frozen
class RemoveUpstreams:
    """Note that upstreams have left for good."""

    upstream_ids: tuple[str, ...]


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
    given = command.upstream
    if given.upstream_id in section.departed_by_id:
        return Noted(False)
    known = section.upstreams_by_id.get(given.upstream_id)
    if known is not None and given.sequence < known.sequence:
        return Noted(False)
    last = section.displaced_sequences_by_id.get(given.upstream_id)
    if last is not None and given.sequence <= last:
        # Held up on its way until after another upstream took over the address.
        return Noted(False)
    _displace(section, given)
    section.displaced_sequences_by_id.pop(given.upstream_id, None)
    if known is not None and known.is_leaving:
        # Who has said that it leaves stays gone, whatever comes late.
        given = attrs.evolve(given, is_leaving=True)
    section.upstreams_by_id[given.upstream_id] = given
    return _touch(section, context)


def _displace(section: Section, given: model.FleetUpstream) -> None:
    """Remove the upstreams whose address `given` has."""
    for known in list(section.upstreams_by_id.values()):
        if known.address == given.address and known.upstream_id != given.upstream_id:
            del section.upstreams_by_id[known.upstream_id]
            section.displaced_sequences_by_id[known.upstream_id] = known.sequence


@machine.apply.register
def _(
    command: RemoveUpstreams, state: machine.State, context: machine.Context
) -> Noted:
    section = section_of(state)
    for upstream_id in command.upstream_ids:
        section.upstreams_by_id.pop(upstream_id, None)
        section.displaced_sequences_by_id.pop(upstream_id, None)
        section.departed_by_id[upstream_id] = context.time
    since = context.time - DEPARTED_SECONDS
    for upstream_id in [k for k, at in section.departed_by_id.items() if at < since]:
        del section.departed_by_id[upstream_id]
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
    known = section.stores_by_name.get(command.name)
    if known is not None and known.address == command.address:
        return Noted(False)
    section.stores_by_name[command.name] = model.Store(command.name, command.address)
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
