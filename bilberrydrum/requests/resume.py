"""Generate a whole answer, resuming on another engine when one fails mid-stream.

The tokens made so far are handed to the next engine, which goes on from them; the
client sees one stream. Each piece of it still names the weight version that made it.
"""

import contextlib
from collections.abc import Iterator
from typing import Final

import attrs

from bilberrydrum import clock, counters, interfaces
from bilberrydrum.requests import model

# Engines that one stream may be resumed on.
MAX_RESUMES: Final = 3


def stream(
    dispatcher: interfaces.Dispatcher, call: model.ModelCall
) -> Iterator[model.StreamEvent]:
    """Yield the events of `call` as `Dispatcher.stream` does, resumed when need be."""
    current = call
    last: model.Failed | None = None
    for n_resumes in range(MAX_RESUMES + 1):
        made: list[int] = []
        can_resume = call.is_idempotent and n_resumes < MAX_RESUMES
        failed = None
        with contextlib.closing(_Closable(dispatcher.stream(current))) as events:
            for event in events:
                if isinstance(event, model.Failed):
                    failed = event
                    break
                if isinstance(event, model.Tokens):
                    made.extend(event.token_ids)
                    # Text without its tokens can't be handed on.
                    can_resume = can_resume and bool(event.token_ids)
                yield event
        if failed is None:
            return
        if not made and last is not None:
            # No engine could go on. That the stream broke off says more than that.
            yield last
            return
        if not made or not can_resume or clock.now() >= call.deadline:
            yield failed
            return
        last = failed
        counters.retried(failed.reason)
        current = attrs.evolve(
            current,
            resume_token_ids=current.resume_token_ids + tuple(made),
            excluded_upstream_ids=current.excluded_upstream_ids | {failed.upstream_id},
        )


class _Closable:
    """An iterator whose end is passed on to the one inside, if that can be closed."""

    def __init__(self, events: Iterator[model.StreamEvent]) -> None:
        self._events = events

    def __iter__(self) -> Iterator[model.StreamEvent]:
        return self._events

    def close(self) -> None:
        close = getattr(self._events, "close", None)
        if close is not None:
            close()
