"""Callbacks through which the batch runner reaches the process that runs it."""

from collections.abc import Callable

import attrs

from bilberrydrum.batches import model, texts


@attrs.frozen
class Hooks:
    """Callbacks and identity of the leading process.

    `finish`, `keep_text` and `score` queue an update of an item. The updates are
    committed in the order in which they were queued. The first argument of each, and of
    `save`, is the batch's id.
    """

    # Queue an item's result.
    finish: Callable[[str, model.Result], None]
    # Queue a complete text that waits for its score.
    keep_text: Callable[[str, model.Result], None]
    # Queue the score of a text that `keep_text` has queued: batch id, item id, score.
    score: Callable[[str, str, str], None]
    # Store unfinished texts, in no order relative to the queued updates. `Save.end` is
    # called on each save with the outcome.
    save: Callable[[str, tuple[texts.Save, ...]], None]
    # Fencing number for an order sent now; None: this process may not send orders.
    fencing_number: Callable[[], int | None]
    # Whether this process may still send items.
    may_send: Callable[[], bool]
    # Id of this process, by which engines identify the sender of an order.
    holder: str
