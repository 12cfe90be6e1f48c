"""Generate a complete answer, resuming on another engine if one fails mid-stream.

The tokens generated so far are sent to the next engine, which continues from them, so
the client sees one stream. Each event of it still carries the weight version that
generated it.
"""

import contextlib
from collections.abc import Iterator
from typing import Final

import attrs

from bilberrydrum import clock, counters, interfaces
from bilberrydrum.requests import model

# How often one stream may be resumed on another engine.
MAX_RESUMES: Final = 3


def stream(
    dispatcher: interfaces.Dispatcher, call: model.ModelCall
) -> Iterator[model.StreamEvent]:
    """Yield the events of `call` like `Dispatcher.stream`, resuming after failures."""
    current = call
    last: model.Failed | None = None
    for n_resumes in range(MAX_RESUMES + 1):
        generated: list[int] = []
        can_resume = call.is_idempotent and n_resumes < MAX_RESUMES
        failed = None
        has_ended = False
        with contextlib.closing(_Closable(dispatcher.stream(current))) as events:
            for event in events:
                if isinstance(event, model.Failed):
                    failed = event
                    break
                if isinstance(event, model.Tokens):
                    has_ended = bool(event.finish_reason)
                    if not (event.text or event.token_ids):
                        continue
                    generated.extend(event.token_ids)
                    # Text without token ids can't be sent to the next engine.
                    can_resume = can_resume and bool(event.token_ids)
                yield event
        if failed is None:
            return
        if has_ended:
            # The engine failed after the end of the text. Another one would continue
            # the text after its end.
            yield failed
            return
        if len(current.resume_token_ids) + len(generated) >= call.max_tokens:
            # Nothing is missing but the finish reason. Another engine would generate
            # more tokens than the caller allows.
            yield model.Finished(model.FINISH_LENGTH, failed.upstream_id)
            return
        if not generated and last is not None:
            # No engine could resume the stream. Why it broke off before is a more
            # useful reason than that.
            yield last
            return
        if not generated or not can_resume or clock.now() >= call.deadline:
            yield failed
            return
        last = failed
        counters.retried(failed.reason)
        current = attrs.evolve(
            current,
            resume_token_ids=current.resume_token_ids + tuple(generated),
            excluded_upstream_ids=current.excluded_upstream_ids | {failed.upstream_id},
        )


class _Closable:
    """An iterator with a `close` that closes the wrapped one, if that has a `close`."""

    def __init__(self, events: Iterator[model.StreamEvent]) -> None:
        self._events = events

    def __iter__(self) -> Iterator[model.StreamEvent]:
        return self._events

    def close(self) -> None:
        close = getattr(self._events, "close", None)
        if close is not None:
            close()
