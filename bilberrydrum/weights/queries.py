"""Queries of the replicated state for weight versions and roles."""

from collections.abc import Container, Mapping

import attrs

from bilberrydrum import codec
from bilberrydrum.state import machine
from bilberrydrum.weights import commands


@codec.register("weights.list-publications")
@attrs.frozen
class ListPublications:
    """Query the versions and roles; the answer is `Publications`."""


@codec.register("weights.publications")
@attrs.frozen
class Publications:
    """The newest publication and preparation of each trainer, and engines' roles."""

    by_trainer: dict[str, commands.Publication] = attrs.field(factory=dict)
    prepared_by_trainer: dict[str, commands.Publication] = attrs.field(factory=dict)
    roles_by_upstream_id: dict[str, str] = attrs.field(factory=dict)

    def newest_model_versions(self, trainers: Container[str]) -> dict[str, int]:
        """Return the newest version of each model that `trainers` have published.

        Other trainers are left out: if a trainer that the bundle no longer names had
        published a higher version, its model would stay at that version and ignore the
        publications of the remaining trainers.
        """
        return _newest_by_model(self.by_trainer, trainers)

    def prepared_model_versions(self, trainers: Container[str]) -> dict[str, int]:
        """Return the newest version of each model that `trainers` have prepared."""
        return _newest_by_model(self.prepared_by_trainer, trainers)


@machine.answer.register
def _(query: ListPublications, state: machine.State, now: float) -> Publications:
    section = commands.section_of(state)
    return Publications(
        dict(section.publications_by_trainer),
        dict(section.preparations_by_trainer),
        dict(section.roles_by_upstream_id),
    )


def _newest_by_model(
    by_trainer: Mapping[str, commands.Publication], trainers: Container[str]
) -> dict[str, int]:
    versions: dict[str, int] = {}
    for name, each in by_trainer.items():
        if name in trainers:
            versions[each.model] = max(versions.get(each.model, 0), each.weight_version)
    return versions
