"""Which weight versions generated which tokens, as the engine's stream reports it.

`PartialOutput` collects the events of an attempt's streams in order. Missing data is
not guessed: after an event with tokens but no version, or with text but no tokens, the
attempt can't become a sample.
"""

import attrs
import result

from bilberrydrum import reasons
from bilberrydrum.requests import model as request_model
from bilberrydrum.samples import model


@attrs.define
class PartialOutput:
    """The segments, tokens and text of one attempt so far."""

    segments: list[model.Segment] = attrs.field(factory=list)
    token_ids: list[int] = attrs.field(factory=list)
    texts: list[str] = attrs.field(factory=list)
    # Why the attempt can't be traced; empty if it can.
    fault: str = ""
    # Why the text has ended; empty if more tokens may follow.
    finish_reason: str = ""

    def add(self, tokens: request_model.Tokens) -> None:
        """Append one event of the stream."""
        self.finish_reason = tokens.finish_reason
        n_tokens = len(tokens.token_ids)
        if n_tokens == 0:
            # If the engine has left out tokens, the segments after them would refer to
            # the wrong tokens.
            if tokens.text:
                self.fault = "text without tokens"
            return
        if tokens.weight_version is None or tokens.weight_version < 0:
            self.fault = "tokens without a weight version"
            return
        self._extend(tokens.weight_version, n_tokens)
        self.token_ids.extend(tokens.token_ids)
        self.texts.append(tokens.text)

    def _extend(self, weight_version: int, n_tokens: int) -> None:
        first = len(self.token_ids)
        last = first + n_tokens - 1
        if self.segments and self.segments[-1].weight_version == weight_version:
            first = self.segments.pop().first_token
        self.segments.append(model.Segment(weight_version, first, last))

    def copy(self) -> "PartialOutput":
        """Return an independent copy."""
        return PartialOutput(
            list(self.segments),
            list(self.token_ids),
            list(self.texts),
            self.fault,
            self.finish_reason,
        )

    def payload(self) -> model.Payload:
        """Return the text and tokens so far."""
        return model.Payload("".join(self.texts), tuple(self.token_ids))

    def finish(
        self, finished: request_model.Finished, max_tokens: int
    ) -> result.Result[tuple[model.Segment, ...], reasons.Reason]:
        """Return the segments of the finished attempt, or why it can't be a sample."""
        n_tokens = len(self.token_ids)
        is_at_limit = finished.finish_reason == request_model.FINISH_LENGTH
        # If the engine stopped at the maximum length and the token count differs from
        # it, tokens were lost or duplicated on the way.
        if n_tokens > max_tokens or (is_at_limit and n_tokens != max_tokens):
            self.fault = "token count differs from the requested length"
        if self.fault or not covers(self.segments, n_tokens):
            return result.Err(reasons.Reason.SAMPLE_UNTRACEABLE)
        return result.Ok(tuple(self.segments))


def covers(segments: list[model.Segment] | tuple[model.Segment, ...], n: int) -> bool:
    """Return whether `segments` cover `n` tokens, each once and in order."""
    expected = 0
    for segment in segments:
        if segment.first_token != expected or segment.last_token < segment.first_token:
            return False
        if segment.weight_version < 0:
            return False
        expected = segment.last_token + 1
    return n > 0 and expected == n
