"""Published weight versions and engines' roles in the replicated state.

A trainer publishes a version once its weights are in the weight store. The newest
version of a trainer only rises: a publication that is sent again, or arrives after a
newer one, is answered with the newest version and changes nothing. A trainer may
prepare a version before it publishes it: engines then load the version into memory,
but do not generate with it.
"""

from typing import Any, Final

import attrs

from bilberrydrum import codec
from bilberrydrum.state import machine

SECTION: Final = "weights"


@codec.register("weights.publication")
@attrs.frozen
class Publication:
    """The newest version that a trainer has published."""

    trainer: str
    model: str
    weight_version: int
    # Time at which the state group accepted it, wall clock in seconds.
    time: float = 0.0


@codec.register("weights.section")
@attrs.define
class Section:
    """The section of the replicated state that holds weight versions and roles."""

    publications_by_trainer: dict[str, Publication] = attrs.field(factory=dict)
    # Versions to load before their publication, each newer than its trainer's
    # publication.
    preparations_by_trainer: dict[str, Publication] = attrs.field(factory=dict)
    # Roles that operators have set, by engine.
    roles_by_upstream_id: dict[str, str] = attrs.field(factory=dict)


@codec.register("weights.publish")
@attrs.frozen
class PublishWeights:
    """Publish `weight_version` of `model`; the answer is the newest `Publication`."""

    trainer: str
    model: str
    weight_version: int


@codec.register("weights.prepare")
@attrs.frozen
class PrepareWeights:
    """Load `weight_version` ahead of its publication.

    The answer is the `Publication` with the newest prepared or published version.
    """

    trainer: str
    model: str
    weight_version: int


@codec.register("weights.role")
@attrs.frozen
class Role:
    """The role that an operator set for an engine; empty if none is set."""

    upstream_id: str
    role: str


@codec.register("weights.set-role")
@attrs.frozen
class SetRole:
    """Set an engine's role; the answer is a `Role`.

    An empty role removes the setting, and the engine keeps the role that it reports.
    """

    upstream_id: str
    role: str


@machine.apply.register
def _(
    command: PublishWeights, state: machine.State, context: machine.Context
) -> Publication:
    section = section_of(state)
    known = section.publications_by_trainer.get(command.trainer)
    # A trainer may resend a publication after a lost answer, or an older publication
    # may be delayed on the network. If either lowered the newest version, samples
    # would count as fresher than they are, so only a higher version changes the state.
    if known is not None and command.weight_version <= known.weight_version:
        return known
    publication = Publication(
        command.trainer, command.model, command.weight_version, context.time
    )
    section.publications_by_trainer[command.trainer] = publication
    prepared = section.preparations_by_trainer.get(command.trainer)
    if prepared is not None and prepared.weight_version <= command.weight_version:
        del section.preparations_by_trainer[command.trainer]
    return publication


@machine.apply.register
def _(
    command: PrepareWeights, state: machine.State, context: machine.Context
) -> Publication:
    section = section_of(state)
    preparation = Publication(
        command.trainer, command.model, command.weight_version, context.time
    )
    published = section.publications_by_trainer.get(command.trainer)
    known = section.preparations_by_trainer.get(command.trainer, published)
    if known is None or command.weight_version > known.weight_version:
        section.preparations_by_trainer[command.trainer] = preparation
        return preparation
    return known


@machine.apply.register
def _(command: SetRole, state: machine.State, context: machine.Context) -> Role:
    roles = section_of(state).roles_by_upstream_id
    if command.role:
        roles[command.upstream_id] = command.role
    else:
        roles.pop(command.upstream_id, None)
    return Role(command.upstream_id, command.role)


@machine.keep_rising.register
def _(section: Section, current: Any) -> None:
    # If a restored backup lowered a published version, samples would count as fresher
    # than they are, and the engines would return to older weights.
    if not isinstance(current, Section):
        return
    for trainer, publication in current.publications_by_trainer.items():
        restored = section.publications_by_trainer.get(trainer, publication)
        if publication.weight_version >= restored.weight_version:
            section.publications_by_trainer[trainer] = publication


def section_of(state: machine.State) -> Section:
    """Return the section of weight versions and roles."""
    section = state.section(SECTION, Section)
    assert isinstance(section, Section)
    return section


def newest_version(state: machine.State, trainer: str) -> int:
    """Return the newest version that `trainer` has published, or 0 if there is none."""
    publication = section_of(state).publications_by_trainer.get(trainer)
    return 0 if publication is None else publication.weight_version


def newest_versions(state: machine.State) -> dict[str, int]:
    """Return the newest published version of each trainer that has published."""
    publications = section_of(state).publications_by_trainer.values()
    return {each.trainer: each.weight_version for each in publications}


def newest_model_version(state: machine.State, model: str) -> int:
    """Return the newest version of `model` that any trainer has published, or 0."""
    publications = section_of(state).publications_by_trainer.values()
    versions = [each.weight_version for each in publications if each.model == model]
    return max(versions, default=0)
