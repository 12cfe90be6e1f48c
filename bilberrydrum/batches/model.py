"""Batches, their items and results, as they are kept.

A batch is submitted as a whole and accepted once. Its results stand at positions that
never change; a reader goes on from the position that it has reached.
"""

import enum
import zlib
from typing import Final

import attrs

from bilberrydrum import codec

# The fastest: random letters shrink to 0.65 at this level (64 texts of a played day),
# and higher ones gain little for several times the processor time.
_DEFLATE_LEVEL: Final = 1
# Between the account's name and the id that the account gave its batch, which must not
# contain it; names of accounts may.
ID_SEPARATOR: Final = "/"


def batch_id_of(account: str | None, given_id: str) -> str:
    """Return the id by which a batch is kept.

    It names the account, so that whatever id another account asks for leads to none of
    its batches, and two accounts may use the same id. None: as in `Batch`.
    """
    return given_id if account is None else f"{account}{ID_SEPARATOR}{given_id}"


class ItemState(enum.StrEnum):
    """How an item ended."""

    COMPLETED = "completed"
    # Given up: impossible, failed too often, or out of time.
    TERMINATED = "terminated"


@codec.register("batches.scoring-request")
@attrs.frozen
class ScoringRequest:
    """A request whose answer's signature is the score of an item's whole text."""

    request_id: str
    host: str
    # Where it is sent, with the query.
    target: str
    body: bytes


@codec.register("batches.item")
@attrs.frozen
class Item:
    """One request of a batch."""

    item_id: str
    # Where it is sent, with the query.
    target: str
    headers: dict[str, str]
    body: bytes
    # Prompt tokens and the most output tokens, added up.
    n_tokens: int
    # Items of one group share their prompt; empty: a group of its own.
    group: str = ""
    # Prompt tokens and the submitter's estimate of the output tokens; 0: no estimate.
    n_expected_tokens: int = 0
    # The submitter's estimate of the output tokens; 0: no estimate.
    n_expected_output_tokens: int = 0
    # Made once the text is whole; None: the item is not scored.
    scoring: ScoringRequest | None = None

    def is_settled_by(self, result: "Result") -> bool:
        """Tell whether `result` can be listed as it is."""
        is_completed = result.state is ItemState.COMPLETED
        return not is_completed or self.scoring is None or bool(result.score)


@codec.register("batches.batch")
@attrs.frozen
class Batch:
    """One submission."""

    # Made by `batch_id_of`.
    batch_id: str
    # Host of the route it came in by; its items go by the same host.
    host: str
    items: tuple[Item, ...]
    # The trainer's step; -1: not a trainer's.
    step: int = -1
    model: str = ""
    # Oldest weight version that may generate its tokens.
    min_version: int = 0
    # Whole groups that the trainer waits for; 0: all.
    n_wanted_groups: int = 0
    # Account that submitted it: it owns the batch, whatever becomes of its keys. As in
    # `upstream_protocol.Attempt`.
    account: str | None = None


def pack_batch(batch: Batch) -> bytes:
    """Return the bytes by which a batch is sent and kept, deflated."""
    return zlib.compress(codec.encode(batch), _DEFLATE_LEVEL)


def unpack_batch(data: bytes) -> Batch:
    """Return the batch in `data`.

    Raises
    ------
    codec.DecodeError
        If `data` holds none.
    """
    try:
        decoded: Batch = codec.decode(zlib.decompress(data))
    except zlib.error as error:
        raise codec.DecodeError(f"not a batch: {error}") from error
    return decoded


@codec.register("batches.result")
@attrs.frozen
class Result:
    """One item's end."""

    item_id: str
    state: ItemState
    # The text, deflated: it is replicated, kept for minutes and sent between zones.
    packed_text: bytes = b""
    # Weight versions that made its events, rising.
    versions: tuple[int, ...] = ()
    n_text_bytes: int = 0
    # Signature of the answer to the item's scoring request; empty: it has none.
    score: str = ""

    @classmethod
    def of(
        cls,
        item_id: str,
        state: ItemState,
        text: bytes = b"",
        versions: tuple[int, ...] = (),
    ) -> "Result":
        """Return the result with this text."""
        packed = zlib.compress(text, _DEFLATE_LEVEL) if text else b""
        return cls(item_id, state, packed, versions, len(text))

    @property
    def text(self) -> bytes:
        """Data of all events in order, separated by line feeds."""
        return zlib.decompress(self.packed_text) if self.packed_text else b""


@codec.register("batches.progress")
@attrs.frozen
class Progress:
    """What is to be kept of an unfinished item's text besides what is kept of it."""

    item_id: str
    # Data of the events that are not kept yet, in order.
    parts: tuple[bytes, ...]
    # Weight versions that made the whole text, rising.
    versions: tuple[int, ...]
    # Number of the last event.
    last_number: int
    # Events kept before; these parts follow them. 0: they replace what was kept.
    n_before: int = 0
    # Index of the log entry by which those are kept; 0: there are none.
    follows: int = 0


@codec.register("batches.kept-progress")
@attrs.frozen
class KeptProgress:
    """The text of an item that is not finished, as far as it is kept."""

    item_id: str
    # Data of its events, in order.
    parts: tuple[bytes, ...]
    # Weight versions that made them, rising.
    versions: tuple[int, ...]
    # Number of the last event.
    last_number: int
    # Index of the log entry that added its last events; 0: kept by a release that did
    # not note it, so nothing is joined to it.
    kept_by: int = 0

    @classmethod
    def of(
        cls, given: Progress, known: "KeptProgress | None", index: int
    ) -> "KeptProgress | None":
        """Return what is kept once entry `index` has added `given` to `known`.

        None if `given` does not follow `known`.
        """
        before: tuple[bytes, ...] = ()
        if given.n_before:
            # An equal number of events is no sign that they are of the same text: it
            # may have begun anew, and what was kept of that have been lost. An entry's
            # index names one save of one text, whichever leader proposed it.
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
    """A batch and what has become of it.

    The batch itself stays in bytes: some hundred items as objects take three times the
    memory, and a snapshot would walk through each of them while nothing is applied.
    """

    batch_id: str
    n_items: int
    # Made by `pack_batch`.
    data: bytes
    # Time of its log entry, in seconds of the log's clock.
    submitted_at: float
    results: list[Result] = attrs.field(factory=list)
    is_ended: bool = False
    # By item id; a new leader goes on from here.
    progress_by_item_id: dict[str, KeptProgress] = attrs.field(factory=dict)
    # Whole texts without a score yet. A new leader has them scored; generated again, an
    # item would cost seconds and might come out under other weights.
    unscored_by_item_id: dict[str, Result] = attrs.field(factory=dict)

    @classmethod
    def of(cls, batch: Batch, submitted_at: float) -> "KeptBatch":
        """Return a batch without results."""
        data = pack_batch(batch)
        return cls(batch.batch_id, len(batch.items), data, submitted_at)

    def decode(self) -> Batch:
        """Return the batch; a few milliseconds for a hundred items."""
        return unpack_batch(self.data)

    def finished_ids(self) -> set[str]:
        """Return the ids of the items that have a result."""
        return {each.item_id for each in self.results}

    def forget_unfinished(self, item_id: str) -> None:
        """Drop what was kept of an item that goes on from something later."""
        self.progress_by_item_id.pop(item_id, None)
        self.unscored_by_item_id.pop(item_id, None)
