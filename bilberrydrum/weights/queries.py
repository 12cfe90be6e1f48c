"""Questions to the replicated state about published weight versions."""

import attrs

from bilberrydrum import codec
from bilberrydrum.state import machine
from bilberrydrum.weights import commands


@codec.register("weights.list-publications")
@attrs.frozen
class ListPublications:
    """Ask for the newest publication of each trainer; answered with `Publications`."""


@codec.register("weights.publications")
@attrs.frozen
class Publications:
    """The newest publication of each trainer, by the trainer's name."""

    by_trainer: dict[str, commands.Publication] = attrs.field(factory=dict)

    def newest_model_versions(self) -> dict[str, int]:
        """Return the newest published version of each model."""
        versions: dict[str, int] = {}
        for each in self.by_trainer.values():
            known = versions.get(each.model, 0)
            versions[each.model] = max(known, each.weight_version)
        return versions


@machine.answer.register
def _(query: ListPublications, state: machine.State, now: float) -> Publications:
    return Publications(dict(commands.section_of(state).publications_by_trainer))
