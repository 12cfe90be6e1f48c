"""Data structures of the sample service, for its messages and the replicated state.

A group is one prompt with several slots. Each slot is a request for one sample. An
attempt is one try to generate a slot's sample. The record of the accepted attempt is
kept in the replicated state; its text and tokens (the payload) are kept in memory at
gateways.
"""

import hashlib
from collections.abc import Iterable

import attrs

from bilberrydrum import codec

# Position of a slot that has not been given one yet.
UNASSIGNED = -1


@codec.register("samples.segment")
@attrs.frozen
class Segment:
    """A range of tokens that one weight version generated, both ends included."""

    weight_version: int
    first_token: int
    last_token: int


@codec.register("samples.group-request")
@attrs.frozen
class GroupRequest:
    """A group as the trainer requested it."""

    group_id: str
    prompt: str
    n_slots: int
    max_tokens: int

    def digest(self) -> bytes:
        """Return a digest of the content, to distinguish repeats from conflicts."""
        text = f"{self.n_slots} {self.max_tokens} {self.prompt}"
        return hashlib.sha256(text.encode()).digest()[:16]


@codec.register("samples.slot-ref")
@attrs.frozen
class SlotRef:
    """Identifies a slot of one trainer."""

    group_id: str
    slot: int


@codec.register("samples.record")
@attrs.frozen
class Record:
    """The attempt that was accepted as a slot's sample."""

    attempt: int
    # Epoch of the owner that ran the attempt.
    owner_epoch: int
    upstream_id: str
    segments: tuple[Segment, ...]
    score: float
    n_tokens: int
    # Digest of the payload, by which a holder's copy is verified.
    payload_digest: bytes
    # Incarnations of gateways (see `holder_name`) that hold the payload.
    holders: tuple[str, ...]

    def oldest_version(self) -> int:
        """Return the oldest weight version that generated a part of the sample."""
        return min(segment.weight_version for segment in self.segments)


@codec.register("samples.rule")
@attrs.frozen
class Rule:
    """The staleness bound of a trainer's rule, and the version of its bundle.

    The state group enforces the bound.
    """

    bundle_version: int
    staleness_bound: int


@codec.register("samples.payload")
@attrs.frozen
class Payload:
    """Text and tokens of one attempt."""

    text: str
    token_ids: tuple[int, ...]

    def digest(self) -> bytes:
        """Return the digest that is stored in the attempt's record."""
        return hashlib.sha256(codec.encode(self)).digest()[:16]


def fingerprint(records: Iterable[Record]) -> bytes:
    """Return a digest that is equal for batches of the same attempts."""
    names = [f"{each.owner_epoch}.{each.attempt}" for each in records]
    return hashlib.sha256(" ".join(names).encode()).digest()[:16]


def sample_id(trainer: str, group_id: str, slot: int) -> str:
    """Return the id of a slot's sample."""
    return f"{trainer}/{group_id}/{slot}"


def payload_key(sample: str, owner_epoch: int, attempt: int) -> str:
    """Return the key of one attempt's payload, unique among all attempts.

    The key contains the owner's epoch. A new owner does not know which attempt numbers
    a lost owner used, so the number alone would not be unique.
    """
    return f"{sample}#{owner_epoch}.{attempt}"


def holder_name(process_id: str, incarnation: int) -> str:
    """Return the name of one incarnation of a gateway.

    Payloads are kept in memory, so they are lost when the incarnation ends.
    """
    return f"{process_id}@{incarnation}"


def holder_process_id(holder: str) -> str:
    """Return the process id in a holder's name."""
    return holder.rpartition("@")[0]
