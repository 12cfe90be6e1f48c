"""Batches, their items and results, as the stores' group keeps them.

A batch is submitted in one message and accepted once. Its results are a list that is
only appended to, so that a reader can continue from the position it has reached.
"""

import enum
import zlib
from typing import Final

import attrs

from bilberrydrum import codec

# The fastest level: it reduces texts to 0.65 of their size (random letters). Higher
# levels save little more and take several times the processor time.
_DEFLATE_LEVEL: Final = 1
# Separates the account's name from the id that the account gave its batch. That id must
# not contain the separator; the account's name may.
ID_SEPARATOR: Final = "/"


def batch_id_of(account: str | None, given_id: str) -> str:
    """Return the id under which a batch is stored.

    The id contains the account, so that no account can address another account's
    batches, and two accounts may use the same id. `account` is that of `Batch`.
    """
    return given_id if account is None else f"{account}{ID_SEPARATOR}{given_id}"


class ItemState(enum.StrEnum):
    """How an item ended."""

    COMPLETED = "completed"
    # Ended without a text: impossible, failed too often, or out of time.
    TERMINATED = "terminated"


@codec.register("batches.scoring-request")
@attrs.frozen
class ScoringRequest:
    """A request whose answer's signature is the score of an item's complete text."""

    request_id: str
    host: str
    # Path with the query.
    target: str
    body: bytes


@codec.register("batches.item")
@attrs.frozen
class Item:
    """One request of a batch."""

    item_id: str
    # Path with the query.
    target: str
    headers: dict[str, str]
    body: bytes
    # Prompt tokens plus the maximum number of output tokens.
    n_tokens: int
    # Items of one group share their prompt. Empty: the item is a group of its own.
    group: str = ""
    # Prompt tokens plus the submitter's estimate of the output tokens; 0: no estimate.
    n_expected_tokens: int = 0
    # The submitter's estimate of the output tokens; 0: no estimate.
    n_expected_output_tokens: int = 0
    # Sent once the text is complete. None: the item is not scored.
    scoring: ScoringRequest | None = None

    def n_likely_output_tokens(self) -> int:
        """Return the estimate of the output tokens; without one, `n_tokens`."""
        return self.n_expected_output_tokens or self.n_tokens

    def is_finished_by(self, result: "Result") -> bool:
        """Return whether `result` is final, not a text that still lacks its score."""
        is_completed = result.state is ItemState.COMPLETED
        return not is_completed or self.scoring is None or bool(result.score)


@codec.register("batches.batch")
@attrs.frozen
class Batch:
    """The items of one submission, with what applies to all of them."""

    # Made by `batch_id_of`.
    batch_id: str
    # Host of the request that submitted the batch; its items are routed by this host.
    host: str
    items: tuple[Item, ...]
    # The trainer's step; -1: the batch is not from a trainer.
    step: int = -1
    model: str = ""
    # Oldest weight version that may generate the batch's tokens.
    min_version: int = 0
    # Number of complete groups that the trainer waits for; 0: all.
    n_wanted_groups: int = 0
    # Account that submitted the batch, as in `upstream_protocol.Attempt`. It owns the
    # batch even if its keys change. None: no account.
    account: str | None = None


def pack_batch(batch: Batch) -> bytes:
    """Return a batch encoded and deflated, as it is sent and stored."""
    return zlib.compress(codec.encode(batch), _DEFLATE_LEVEL)


def unpack_batch(data: bytes) -> Batch:
    """Return the batch that `pack_batch` has encoded as `data`.

    Raises
    ------
    codec.DecodeError
        If `data` is not an encoded batch.
    """
    try:
        decoded: Batch = codec.decode(zlib.decompress(data))
    except zlib.error as error:
        raise codec.DecodeError(f"expected a deflated batch: {error}") from error
    return decoded


@codec.register("batches.result")
@attrs.frozen
class Result:
    """The final state of an item, with its text if it was completed."""

    item_id: str
    state: ItemState
    # The text, deflated because it is replicated, kept for minutes and sent between
    # availability zones.
    packed_text: bytes = b""
    # Weight versions that generated its events, ascending.
    versions: tuple[int, ...] = ()
    n_text_bytes: int = 0
    # Signature of the answer to the item's scoring request; empty: no score.
    score: str = ""

    @classmethod
    def of(
        cls,
        item_id: str,
        state: ItemState,
        text: bytes = b"",
        versions: tuple[int, ...] = (),
    ) -> "Result":
        """Return a result with `text` deflated."""
        packed = zlib.compress(text, _DEFLATE_LEVEL) if text else b""
        return cls(item_id, state, packed, versions, len(text))

    @property
    def text(self) -> bytes:
        """The data of all events in order, separated by line feeds."""
        return zlib.decompress(self.packed_text) if self.packed_text else b""


@codec.register("batches.progress")
@attrs.frozen
class Progress:
    """The part of an unfinished item's text to be appended to the stored part."""

    item_id: str
    # Data of the events that are not stored yet, in order.
    parts: tuple[bytes, ...]
    # Weight versions that generated the text from its first event on, ascending.
    versions: tuple[int, ...]
    # Number of the last event.
    last_number: int
    # Number of stored events that these parts follow. 0: they replace the stored ones.
    n_before: int = 0
    # Index of the log entry that stored the last of those events; 0: there are none.
    follows: int = 0


@codec.register("batches.kept-progress")
@attrs.frozen
class KeptProgress:
    """The stored part of an unfinished item's text."""

    item_id: str
    # Data of its events, in order.
    parts: tuple[bytes, ...]
    # Weight versions that generated them, ascending.
    versions: tuple[int, ...]
    # Number of the last event.
    last_number: int
    # Index of the log entry that added its last events. 0: stored by a release that did
    # not record the index, so nothing is appended to it.
    kept_by: int = 0

    @classmethod
    def of(
        cls, given: Progress, known: "KeptProgress | None", index: int
    ) -> "KeptProgress | None":
        """Return the stored text after log entry `index` has added `given` to `known`.

        Return None if `given` does not follow `known`.
        """
        before: tuple[bytes, ...] = ()
        if given.n_before:
            # An equal number of events does not show that both belong to the same
            # text: the text may have been restarted, and the first save of the
            # restarted text lost. The index of a log entry identifies one save of one
            # text, whichever leader proposed it.
            is_next = known is not None and 0 < known.kept_by == given.follows
            if known is None or not is_next or len(known.parts) != given.n_before:
                return None
            before = known.parts
        return cls(
            given.item_id,
            before + given.parts,
            given.versions,
            given.last_number,
            index,
        )


@codec.register("batches.kept")
@attrs.define
class KeptBatch:
    """A batch as the stores' group keeps it, with its results so far.

    The batch itself stays encoded: as objects, a hundred items take three times the
    memory, and a snapshot would visit each of them while no log entry is applied.
    """

    batch_id: str
    n_items: int
    # Made by `pack_batch`.
    data: bytes
    # Time of the log entry that accepted it, in seconds of the log's clock.
    submitted_at: float
    results: list[Result] = attrs.field(factory=list)
    is_ended: bool = False
    # Unfinished texts by item id. A new leader resumes the items from them.
    progress_by_item_id: dict[str, KeptProgress] = attrs.field(factory=dict)
    # Complete texts that have no score yet. A new leader has them scored: generating
    # such an item again would take seconds and might use other weights.
    unscored_by_item_id: dict[str, Result] = attrs.field(factory=dict)

    @classmethod
    def of(cls, batch: Batch, submitted_at: float) -> "KeptBatch":
        """Return `batch` as it is stored on acceptance, without results."""
        data = pack_batch(batch)
        return cls(batch.batch_id, len(batch.items), data, submitted_at)

    def decode(self) -> Batch:
        """Return the batch; decoding a hundred items takes a few milliseconds."""
        return unpack_batch(self.data)

    def finished_ids(self) -> set[str]:
        """Return the ids of the items that have a result."""
        return {each.item_id for each in self.results}

    def discard_unfinished(self, item_id: str) -> None:
        """Delete an item's unfinished or unscored text once it is superseded."""
        self.progress_by_item_id.pop(item_id, None)
        self.unscored_by_item_id.pop(item_id, None)
