"""What the parts of the sample service pass to one another and keep in the state.

A group is one prompt with some slots. Each slot asks for one sample. An attempt is one
try to make a slot's sample; the record of the attempt that was taken is kept in the
replicated state, its text and tokens (the payload) at the gateways that hold them.
"""

import hashlib
from collections.abc import Iterable

import attrs

from bilberrydrum import codec

# Position of a slot that is not yet assigned to one.
UNASSIGNED = -1


@codec.register("samples.segment")
@attrs.frozen
class Segment:
    """A run of tokens that one weight version made; both ends belong to it."""

    weight_version: int
    first_token: int
    last_token: int


@codec.register("samples.group-request")
@attrs.frozen
class GroupRequest:
    """A group as the trainer asked for it."""

    group_id: str
    prompt: str
    n_slots: int
    max_tokens: int

    def digest(self) -> bytes:
        """Return a digest of the content, to tell a repeat from a conflict."""
        text = f"{self.n_slots} {self.max_tokens} {self.prompt}"
        return hashlib.sha256(text.encode()).digest()[:16]


@codec.register("samples.slot-ref")
@attrs.frozen
class SlotRef:
    """Names a slot of one trainer."""

    group_id: str
    slot: int


@codec.register("samples.record")
@attrs.frozen
class Record:
    """What is known of the attempt that was taken for a slot."""

    attempt: int
    # Epoch of the owner that made the attempt.
    owner_epoch: int
    upstream_id: str
    segments: tuple[Segment, ...]
    score: float
    n_tokens: int
    # Digest of the payload, so that a holder's copy is known to be the right one.
    payload_digest: bytes
    # Lives of gateways (see `holder_name`) that hold the payload.
    holders: tuple[str, ...]

    def oldest_version(self) -> int:
        """Return the oldest weight version that made a part of the sample."""
        return min(segment.weight_version for segment in self.segments)


@codec.register("samples.rule")
@attrs.frozen
class Rule:
    """The part of a trainer's rule that the state group checks, and its bundle."""

    bundle_version: int
    staleness_bound: int


@codec.register("samples.payload")
@attrs.frozen
class Payload:
    """Text and tokens of one attempt."""

    text: str
    token_ids: tuple[int, ...]

    def digest(self) -> bytes:
        """Return the digest that the attempt's record carries."""
        return hashlib.sha256(codec.encode(self)).digest()[:16]


def fingerprint(records: Iterable[Record]) -> bytes:
    """Return a digest that tells whether a batch holds the same attempts as before."""
    names = [f"{each.owner_epoch}.{each.attempt}" for each in records]
    return hashlib.sha256(" ".join(names).encode()).digest()[:16]


def sample_id(trainer: str, group_id: str, slot: int) -> str:
    """Return the id of a slot's sample."""
    return f"{trainer}/{group_id}/{slot}"


def payload_key(sample: str, owner_epoch: int, attempt: int) -> str:
    """Return the name of one attempt's payload, unique for all attempts ever made.

    Attempts of a lost owner were numbered without the new owner's knowledge, so the
    number alone would not do.
    """
    return f"{sample}#{owner_epoch}.{attempt}"


def holder_name(process_id: str, incarnation: int) -> str:
    """Return the name of one life of a gateway; payloads don't outlive it."""
    return f"{process_id}@{incarnation}"


def holder_process_id(holder: str) -> str:
    """Return the process id in a holder's name."""
    return holder.rpartition("@")[0]
