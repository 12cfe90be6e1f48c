"""The way of one item of an open batch, from waiting to its result.

    WAITING -> GENERATING -> FINISHED                     an item that is not scored
    WAITING -> GENERATING -> UNSCORED -> SCORING -> FINISHED

An attempt that breaks off leads back: from GENERATING to WAITING, from SCORING to
UNSCORED. An item that is given up is FINISHED from wherever it is. A text that is whole
is never generated again: UNSCORED is kept by the stores' group, and a new leader goes
on from there. Nothing leads out of FINISHED, whatever an attempt under way still says.
"""

import enum
from typing import Final

import attrs

from bilberrydrum import quarantine
from bilberrydrum.batches import model, texts

# An item does not go back to an engine that it failed at for this long, in seconds, if
# that engine is the only one; others take it at once.
EXCLUDED_SECONDS: Final = 1.0


class Stage(enum.Enum):
    """How far an item is."""

    # For a place at an engine.
    WAITING = "waiting"
    GENERATING = "generating"
    # Its text is whole; its scoring request is yet to be made, or made again.
    UNSCORED = "unscored"
    SCORING = "scoring"
    # Its result is committed, or handed over to be.
    FINISHED = "finished"


@attrs.define(eq=False)
class ItemRun:
    """One item of an open batch."""

    item: model.Item
    group_key: tuple[str, str]
    text: texts.Text = attrs.field(factory=texts.Text)
    stage: Stage = Stage.WAITING
    # Runs that the engine ended with a failure of its own.
    n_failures: int = 0
    # Failures of their own by which services answered the scoring request.
    n_scoring_failures: int = 0
    # Not sent, to an engine or to be scored, before this time.
    not_before: float = float("-inf")
    # The engine that the last attempt failed at, and how long it is passed over.
    excluded_id: str = ""
    excluded_until: float = float("-inf")
    # The engine that it runs at; empty: none.
    engine_id: str = ""
    # Times that it was taken away from a slow engine.
    n_moves: int = 0
    # Time from the first event of the attempt under way to its last, in seconds.
    generating_seconds: float = 0.0
    # It was doubtful when the attempt under way was sent (see `quarantine`).
    is_doubtful: bool = False
    # What is the same whenever its work is asked for; empty: not worked out yet.
    fingerprint: str = ""
    # The whole text, while it is UNSCORED or SCORING.
    unscored: model.Result | None = None

    @property
    def is_finished(self) -> bool:
        """Whether there is a result."""
        return self.stage is Stage.FINISHED

    def begin_generating(self, engine_id: str) -> None:
        """Note an attempt at an engine."""
        self.stage = Stage.GENERATING
        self.engine_id = engine_id
        self.generating_seconds = 0.0

    def note_pause(self, seconds: float) -> None:
        """Note the pause before an event, but the first of an attempt."""
        self.generating_seconds += seconds

    def has_survived(self) -> bool:
        """Tell whether the attempt was well for so long that it clears the item."""
        return self.generating_seconds >= quarantine.HEALTHY_RUN_SECONDS

    def end_generating(self) -> None:
        """Note that the attempt at an engine has ended, however."""
        self.engine_id = ""
        if self.stage is Stage.GENERATING:
            self.stage = Stage.WAITING

    def take_whole_text(self, unscored: model.Result) -> None:
        """Note that the text is whole and waits for its score."""
        if self.is_finished:
            return
        self.stage = Stage.UNSCORED
        self.unscored = unscored
        # The result has it; kept twice, texts were a third of the memory.
        self.text = texts.Text()

    def begin_scoring(self) -> None:
        """Note that the scoring request goes out."""
        self.stage = Stage.SCORING

    def end_scoring(self) -> None:
        """Note that the scoring request has ended, however."""
        if self.stage is Stage.SCORING:
            self.stage = Stage.UNSCORED

    def finish(self) -> None:
        """Note that there is a result."""
        self.stage = Stage.FINISHED
        self.text = texts.Text()
        self.unscored = None

    def exclude(self, engine_id: str, now: float) -> None:
        """Pass over an engine for a while.

        For a while only: it may be the one engine that serves the version asked for.
        """
        self.excluded_id = engine_id
        self.excluded_until = now + EXCLUDED_SECONDS

    def excluded_ids(self, now: float) -> frozenset[str]:
        """Return the engines that are passed over now."""
        if self.excluded_id and now < self.excluded_until:
            return frozenset({self.excluded_id})
        return frozenset()

    def n_expected_tokens(self) -> int:
        """Return the tokens that the item is likely to take."""
        return self.item.n_expected_tokens or self.item.n_tokens

    def n_expected_output_tokens(self) -> int:
        """Return the tokens that are likely to be generated."""
        return self.item.n_expected_output_tokens or self.item.n_tokens
