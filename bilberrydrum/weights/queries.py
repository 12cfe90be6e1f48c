"""Questions to the replicated state about weight versions and roles."""

from collections.abc import Iterable

import attrs

from bilberrydrum import codec
from bilberrydrum.state import machine
from bilberrydrum.weights import commands


@codec.register("weights.list-publications")
@attrs.frozen
class ListPublications:
    """Ask for versions and roles; answered with `Publications`."""


@codec.register("weights.publications")
@attrs.frozen
class Publications:
    """The newest publication and preparation of each trainer, by its name."""

    by_trainer: dict[str, commands.Publication] = attrs.field(factory=dict)
    prepared_by_trainer: dict[str, commands.Publication] = attrs.field(factory=dict)
    roles_by_upstream_id: dict[str, str] = attrs.field(factory=dict)

    def newest_model_versions(self) -> dict[str, int]:
        """Return the newest published version of each model."""
        return _newest_by_model(self.by_trainer.values())

    def prepared_model_versions(self) -> dict[str, int]:
        """Return the newest prepared version of each model."""
        return _newest_by_model(self.prepared_by_trainer.values())


@machine.answer.register
def _(query: ListPublications, state: machine.State, now: float) -> Publications:
    section = commands.section_of(state)
    return Publications(
        dict(section.publications_by_trainer),
        dict(section.preparations_by_trainer),
        dict(section.roles_by_upstream_id),
    )


def _newest_by_model(publications: Iterable[commands.Publication]) -> dict[str, int]:
    versions: dict[str, int] = {}
    for each in publications:
        versions[each.model] = max(versions.get(each.model, 0), each.weight_version)
    return versions
