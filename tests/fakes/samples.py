"""A trainer's own account of the samples that it was given."""

import collections
from typing import Any, Final

import attrs

from tests.fakes import scorer, tokens

# Faults that are kept in full for the report.
N_EXAMPLES: Final = 5


@attrs.frozen
class Group:
    """One group that was asked for."""

    group_id: str
    prompt: str
    n_slots: int
    max_tokens: int


@attrs.define
class Account:
    """What was asked for, what came, and what was wrong with it.

    Nothing here is taken from the system's word: the versions of each token are
    checked against the token's id, and the staleness against the version that the
    trainer itself published.
    """

    trainer: str
    groups_by_id: dict[str, Group] = attrs.field(factory=dict)
    ids_by_position: dict[int, str] = attrs.field(factory=dict)
    positions_by_id: dict[str, int] = attrs.field(factory=dict)
    n_duplicates: int = 0
    n_redelivered: int = 0
    n_replaced: int = 0
    untraceable_ids: set[str] = attrs.field(factory=set)
    tokens_by_id: dict[str, tuple[int, ...]] = attrs.field(factory=dict)
    n_by_staleness: collections.Counter[int] = attrs.field(factory=collections.Counter)
    n_mixed: int = 0
    examples: list[str] = attrs.field(factory=list)

    def ask(self, group: Group) -> None:
        """Note a group that was asked for."""
        self.groups_by_id[group.group_id] = group

    def take(self, sample: dict[str, Any], published_version: int) -> None:
        """Check one sample of a batch and note it."""
        sample_id = sample["sample_id"]
        position = sample["position"]
        self._place(sample_id, position)
        versions = _versions(sample)
        fault = self._fault(sample, versions)
        if fault is not None:
            self.untraceable_ids.add(sample_id)
            self._note(f"{sample_id}: {fault}")
            return
        oldest = min(version for version in versions if version is not None)
        self.n_by_staleness[published_version - oldest] += 1
        self.n_mixed += len(set(versions)) > 1
        token_ids = tuple(sample["token_ids"])
        earlier = self.tokens_by_id.get(sample_id)
        self.n_replaced += earlier is not None and earlier != token_ids
        self.tokens_by_id[sample_id] = token_ids

    def _place(self, sample_id: str, position: int) -> None:
        """Count a sample at a second position, or a second one at a position."""
        known_id = self.ids_by_position.setdefault(position, sample_id)
        known_position = self.positions_by_id.setdefault(sample_id, position)
        if known_id != sample_id or known_position != position:
            self.n_duplicates += 1
            self._note(
                f"{sample_id} at {position}: was at {known_position}, "
                f"and {known_id} was there"
            )
        elif sample_id in self.tokens_by_id:
            self.n_redelivered += 1

    def _fault(self, sample: dict[str, Any], versions: list[int | None]) -> str | None:
        group = self.groups_by_id.get(sample["group_id"])
        if group is None:
            return "of a group that was not asked for"
        slot = sample["slot"]
        if not 0 <= slot < group.n_slots:
            return f"of slot {slot}"
        if sample["sample_id"] != f"{self.trainer}/{group.group_id}/{slot}":
            return "has another sample's id"
        token_ids = sample["token_ids"]
        if sample["text"] != tokens.text_of(token_ids):
            return "text is not that of its tokens"
        if abs(sample["score"] - scorer.score_of(token_ids)) > 1e-9:
            return "score is not that of its tokens"
        return tokens.find_fault(group.prompt, token_ids, versions, group.max_tokens)

    def _note(self, fault: str) -> None:
        if len(self.examples) < N_EXAMPLES:
            self.examples.append(fault)

    @property
    def n_asked(self) -> int:
        """Return the number of samples that were asked for."""
        return sum(group.n_slots for group in self.groups_by_id.values())

    @property
    def n_delivered(self) -> int:
        """Return the number of different samples that came."""
        return len(self.positions_by_id)

    def report(self) -> dict[str, Any]:
        """Return the figures."""
        return {
            "n_samples_asked": self.n_asked,
            "n_samples_delivered": self.n_delivered,
            "n_duplicates": self.n_duplicates,
            "n_lost": self.n_asked - self.n_delivered,
            "n_untraceable": len(self.untraceable_ids),
            "n_redelivered": self.n_redelivered,
            "n_replaced": self.n_replaced,
            "n_samples_of_several_versions": self.n_mixed,
            "max_staleness": max(self.n_by_staleness, default=0),
            "n_by_staleness": dict(sorted(self.n_by_staleness.items())),
            "examples": self.examples,
        }


def _versions(sample: dict[str, Any]) -> list[int | None]:
    """Return the version claimed for each token; none where segments disagree."""
    versions: list[int | None] = [None] * len(sample["token_ids"])
    for segment in sample["segments"]:
        for index in range(segment["first_token"], segment["last_token"] + 1):
            if index >= len(versions):
                # Claims a token that is not there.
                versions.append(None)
            elif versions[index] is None:
                versions[index] = segment["weight_version"]
            else:
                # Two segments claim the token: its origin is not known.
                versions[index] = -1
    return versions
