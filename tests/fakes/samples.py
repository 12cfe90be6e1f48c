"""Checks of the samples that a trainer received against its requests."""

import collections
from typing import Any, Final

import attrs

from tests.fakes import scorer, tokens

# Number of faults that the report quotes.
N_EXAMPLES: Final = 5


@attrs.frozen
class Group:
    """A group that was requested."""

    group_id: str
    prompt: str
    n_slots: int
    max_tokens: int


@attrs.define
class SampleLedger:
    """The requested groups, the received samples and their faults.

    The checks do not rely on the system's claims: the versions of each token are
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

    def record_request(self, group: Group) -> None:
        """Record a requested group."""
        self.groups_by_id[group.group_id] = group

    def check_sample(self, sample: dict[str, Any], published_version: int) -> None:
        """Check one sample of a batch and record it."""
        sample_id = sample["sample_id"]
        position = sample["position"]
        self._record_position(sample_id, position)
        versions = _versions(sample)
        fault = self._fault(sample, versions)
        if fault is not None:
            self.untraceable_ids.add(sample_id)
            self._record_fault(f"{sample_id}: {fault}")
            return
        oldest = min(version for version in versions if version is not None)
        self.n_by_staleness[published_version - oldest] += 1
        self.n_mixed += len(set(versions)) > 1
        token_ids = tuple(sample["token_ids"])
        earlier = self.tokens_by_id.get(sample_id)
        self.n_replaced += earlier is not None and earlier != token_ids
        self.tokens_by_id[sample_id] = token_ids

    def _record_position(self, sample_id: str, position: int) -> None:
        """Count a sample at a second position, or a second one at the same position."""
        known_id = self.ids_by_position.setdefault(position, sample_id)
        known_position = self.positions_by_id.setdefault(sample_id, position)
        if known_id != sample_id or known_position != position:
            self.n_duplicates += 1
            self._record_fault(
                f"{sample_id} at position {position}: expected at {known_position}, "
                f"and {known_id} at this position"
            )
        elif sample_id in self.tokens_by_id:
            self.n_redelivered += 1

    def _fault(self, sample: dict[str, Any], versions: list[int | None]) -> str | None:
        group = self.groups_by_id.get(sample["group_id"])
        if group is None:
            return "its group was not requested"
        slot = sample["slot"]
        if not 0 <= slot < group.n_slots:
            return f"its group has no slot {slot}"
        if sample["sample_id"] != f"{self.trainer}/{group.group_id}/{slot}":
            return "its id is not that of its group and slot"
        token_ids = sample["token_ids"]
        if sample["text"] != tokens.text_of(token_ids):
            return "its text does not match its tokens"
        if abs(sample["score"] - scorer.score_of(token_ids)) > 1e-9:
            return "its score does not match its tokens"
        return tokens.find_fault(group.prompt, token_ids, versions, group.max_tokens)

    def _record_fault(self, fault: str) -> None:
        if len(self.examples) < N_EXAMPLES:
            self.examples.append(fault)

    @property
    def n_requested(self) -> int:
        """Return the number of requested samples."""
        return sum(group.n_slots for group in self.groups_by_id.values())

    @property
    def n_delivered(self) -> int:
        """Return the number of different samples that were received."""
        return len(self.positions_by_id)

    def report(self) -> dict[str, Any]:
        """Return the figures."""
        return {
            "n_samples_asked": self.n_requested,
            "n_samples_delivered": self.n_delivered,
            "n_duplicates": self.n_duplicates,
            "n_lost": self.n_requested - self.n_delivered,
            "n_untraceable": len(self.untraceable_ids),
            "n_redelivered": self.n_redelivered,
            "n_replaced": self.n_replaced,
            "n_samples_of_several_versions": self.n_mixed,
            "max_staleness": max(self.n_by_staleness, default=0),
            "n_by_staleness": dict(sorted(self.n_by_staleness.items())),
            "examples": self.examples,
        }


def _versions(sample: dict[str, Any]) -> list[int | None]:
    """Return the version claimed for each token.

    The version is None for a token in no segment, and -1 for a token in several.
    """
    versions: list[int | None] = [None] * len(sample["token_ids"])
    for segment in sample["segments"]:
        for index in range(segment["first_token"], segment["last_token"] + 1):
            if index >= len(versions):
                # The segment claims a token that does not exist.
                versions.append(None)
            elif versions[index] is None:
                versions[index] = segment["weight_version"]
            else:
                # Two segments claim the token, so its version is not known.
                versions[index] = -1
    return versions
