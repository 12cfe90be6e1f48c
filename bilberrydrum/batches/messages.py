"""Messages from gateways to the stores' leader, and its answers.

All of them are idempotent, as `state.leader_calls` requires.
"""

import attrs

from bilberrydrum import codec
from bilberrydrum.batches import model
from bilberrydrum.state import leader_calls


@codec.register("batches.submit", added_fields=("accepts_refusal",))
@attrs.frozen
class Submit:
    """Store a batch and run its items."""

    batch_id: str
    n_items: int
    # Made by `model.pack_batch`.
    data: bytes
    # Whether the sender knows the answer `Refused`. An earlier release would take it
    # for a lost answer, and tell its client that the batch may run.
    accepts_refusal: bool = False

    @classmethod
    def of(cls, batch: model.Batch) -> "Submit":
        """Return the message that submits `batch`."""
        return cls(batch.batch_id, len(batch.items), model.pack_batch(batch), True)


@codec.register("batches.ask-room")
@attrs.frozen
class AskRoom:
    """Ask whether a large batch may be submitted, before it is sent."""

    batch_id: str
    # Size of `Submit.data`, and of the batch as objects.
    n_packed_bytes: int
    n_item_bytes: int


@codec.register("batches.room")
@attrs.frozen
class Room:
    """Answer to `AskRoom`: the batch may be submitted now."""


@codec.register("batches.submitted")
@attrs.frozen
class Submitted:
    """Answer to `Submit`: the batch is stored."""


@codec.register("batches.refused")
@attrs.frozen
class Refused(leader_calls.NoEffect):
    """Answer to `Submit`: the batch is not stored, since its items would not start."""

    # Time until the queue has room, in seconds.
    retry_after_seconds: float


@codec.register("batches.read")
@attrs.frozen
class Read:
    """Request the results from a position on."""

    batch_id: str
    position: int
    # Maximum time to wait for a result, in seconds.
    wait_seconds: float


@codec.register("batches.page")
@attrs.frozen
class Page:
    """Answer to `Read`: results from the requested position on."""

    is_known: bool
    n_items: int = 0
    results: tuple[model.Result, ...] = ()


@codec.register("batches.read-body")
@attrs.frozen
class ReadBody:
    """Request the body of an item that has no result yet."""

    batch_id: str
    item_id: str


@codec.register("batches.body")
@attrs.frozen
class Body:
    """Answer to `ReadBody`: the item's body."""

    is_known: bool
    body: bytes = b""


@codec.register("batches.ask-end")
@attrs.frozen
class AskEnd:
    """Request the end of a batch, so that no more of its items run."""

    batch_id: str


@codec.register("batches.end-taken")
@attrs.frozen
class EndTaken:
    """Answer to `AskEnd`: the batch has ended, or is not known."""

    is_known: bool
