"""Messages from gateways to the stores' leader, and its answers.

All of them are safe to repeat, as `state.leader_calls` asks.
"""

import attrs

from bilberrydrum import codec
from bilberrydrum.batches import model


@codec.register("batches.submit")
@attrs.frozen
class Submit:
    """Keep a batch and have it run."""

    batch_id: str
    n_items: int
    # Made by `model.pack_batch`.
    data: bytes

    @classmethod
    def of(cls, batch: model.Batch) -> "Submit":
        """Return the message that hands in `batch`."""
        return cls(batch.batch_id, len(batch.items), model.pack_batch(batch))


@codec.register("batches.submitted")
@attrs.frozen
class Submitted:
    """The batch is kept."""


@codec.register("batches.read")
@attrs.frozen
class Read:
    """Ask for results from a position on."""

    batch_id: str
    position: int
    # Longest time to wait for a result, in seconds.
    wait_seconds: float


@codec.register("batches.page")
@attrs.frozen
class Page:
    """Results from the asked position on."""

    is_known: bool
    n_items: int = 0
    results: tuple[model.Result, ...] = ()


@codec.register("batches.read-body")
@attrs.frozen
class ReadBody:
    """Ask for the body of an item that has no result yet."""

    batch_id: str
    item_id: str


@codec.register("batches.body")
@attrs.frozen
class Body:
    """An item's body."""

    is_known: bool
    body: bytes = b""


@codec.register("batches.ask-end")
@attrs.frozen
class AskEnd:
    """Have no more items of a batch run."""

    batch_id: str


@codec.register("batches.end-taken")
@attrs.frozen
class EndTaken:
    """The batch has ended, or is not known."""

    is_known: bool
