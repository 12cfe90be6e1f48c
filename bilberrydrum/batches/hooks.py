"""What running items needs of the process around it."""

from collections.abc import Callable

import attrs

from bilberrydrum.batches import model, texts


@attrs.frozen
class Hooks:
    """Functions and facts of the leading process.

    What is handed over is committed in the order in which it is handed over.
    """

    # Hand over an item's result.
    finish: Callable[[str, model.Result], None]
    # Hand over a whole text that waits for its score.
    keep_text: Callable[[str, model.Result], None]
    # Hand over the score of a text that was handed over: batch, item, score.
    score: Callable[[str, str, str], None]
    # Hand over unfinished texts, to be kept; not in order with the others. Each save is
    # told its end.
    save: Callable[[str, tuple[texts.Save, ...]], None]
    # The number for an order sent now; None: this process gives no orders.
    fencing_number: Callable[[], int | None]
    # Whether this process may still send items.
    may_send: Callable[[], bool]
    holder: str
