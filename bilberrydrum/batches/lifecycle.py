"""The stages of one item of an open batch, from waiting to its result.

    WAITING -> GENERATING -> FINISHED                     an item that is not scored
    WAITING -> GENERATING -> UNSCORED -> SCORING -> FINISHED

An attempt that fails or is cancelled returns the item from GENERATING to WAITING, or
from SCORING to UNSCORED. An item that is given up goes to FINISHED from any stage. A
complete text is never generated again: the stores' group keeps the texts of UNSCORED
items, and a new leader continues from them. FINISHED is final: an attempt that ends
later does not change it.
"""

import enum
import math
from typing import Final

import attrs

from bilberrydrum import quarantine
from bilberrydrum.batches import memory_forecast, model, texts

# After a failure at an engine, an item is not sent to that engine for this long, in
# seconds. Other engines may run it at once, so it waits only if there is no other.
EXCLUDED_SECONDS: Final = 1.0


class Stage(enum.Enum):
    """The stage of an item."""

    # The item waits for engine capacity.
    WAITING = "waiting"
    GENERATING = "generating"
    # The text is complete and its scoring request has yet to be sent or retried.
    UNSCORED = "unscored"
    SCORING = "scoring"
    # The result is committed, or queued for commit.
    FINISHED = "finished"


@attrs.define(eq=False)
class ItemRun:
    """The state of one item of an open batch, in the runner's memory."""

    item: model.Item
    group_key: tuple[str, str]
    text: texts.Text = attrs.field(factory=texts.Text)
    stage: Stage = Stage.WAITING
    # Attempts that an engine answered with an error.
    n_failures: int = 0
    # Errors with which services answered the scoring request.
    n_scoring_failures: int = 0
    # Attempts at scoring that broke off or ended without an answer.
    n_broken_scorings: int = 0
    # Neither the item nor its scoring request is sent before this time.
    not_before: float = float("-inf")
    # The engine at which the last attempt failed, and the time until which it is
    # excluded.
    excluded_id: str = ""
    excluded_until: float = float("-inf")
    # The engine at which the item runs; empty: none.
    engine_id: str = ""
    # Number of times that the item was moved away from a slow engine.
    n_moves: int = 0
    # Time from the first to the last event of the current attempt, in seconds.
    generating_seconds: float = 0.0
    # Whether the current attempt must run apart from those of other suspected items
    # (see `quarantine`).
    is_suspected: bool = False
    # Identifies the item's work across submissions; empty: not computed yet.
    fingerprint: str = ""
    # The complete text while the stage is UNSCORED or SCORING.
    unscored: model.Result | None = None

    @property
    def is_finished(self) -> bool:
        """Whether the item has a result."""
        return self.stage is Stage.FINISHED

    def begin_generating(self, engine_id: str) -> None:
        """Record that an attempt at an engine begins."""
        self.stage = Stage.GENERATING
        self.engine_id = engine_id
        self.generating_seconds = 0.0

    def record_pause(self, seconds: float) -> None:
        """Record the pause, in seconds, before an event after an attempt's first."""
        self.generating_seconds += seconds

    def was_healthy(self) -> bool:
        """Return whether the attempt ran long enough to clear the item of suspicion."""
        return self.generating_seconds >= quarantine.HEALTHY_RUN_SECONDS

    def end_generating(self) -> None:
        """Record that the attempt at an engine has ended, with any outcome."""
        self.engine_id = ""
        if self.stage is Stage.GENERATING:
            self.stage = Stage.WAITING

    def set_complete_text(self, unscored: model.Result) -> None:
        """Record the complete text, which waits for its score."""
        if self.is_finished:
            return
        self.stage = Stage.UNSCORED
        self.unscored = unscored
        # `unscored` holds the text. Holding it twice took a third of the memory.
        self.text = texts.Text()

    def begin_scoring(self) -> None:
        """Record that the scoring request is sent."""
        self.stage = Stage.SCORING

    def end_scoring(self) -> None:
        """Record that the scoring request has ended, with any outcome."""
        if self.stage is Stage.SCORING:
            self.stage = Stage.UNSCORED

    def finish(self) -> None:
        """Record that the item has a result."""
        self.stage = Stage.FINISHED
        self.text = texts.Text()
        self.unscored = None

    def exclude(self, engine_id: str, now: float) -> None:
        """Exclude an engine for `EXCLUDED_SECONDS`.

        The exclusion expires because no other engine may serve the required version.
        """
        self.excluded_id = engine_id
        self.excluded_until = now + EXCLUDED_SECONDS

    def excluded_ids(self, now: float) -> frozenset[str]:
        """Return the engines that are excluded at `now`."""
        if self.excluded_id and now < self.excluded_until:
            return frozenset({self.excluded_id})
        return frozenset()

    def need(self, tokens_per_event: float) -> memory_forecast.Need:
        """Return what the item needs in an engine's memory from now on."""
        item = self.item
        n_prompt = item.n_expected_tokens - item.n_expected_output_tokens
        if not item.n_expected_output_tokens or n_prompt < 0:
            # Without an estimate, the lengths of the prompt and the output are unknown.
            return memory_forecast.Need(item.n_expected_tokens or item.n_tokens)
        return memory_forecast.Need.of(
            n_prompt,
            item.n_expected_output_tokens,
            item.n_tokens - n_prompt if item.n_tokens else math.inf,
            len(self.text.parts) * tokens_per_event,
        )

    def n_expected_output_tokens(self) -> int:
        """Return the expected number of output tokens."""
        return self.item.n_likely_output_tokens()
