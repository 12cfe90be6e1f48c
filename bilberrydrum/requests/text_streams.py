"""Make one attempt at an engine: send the call, and read the text as it is generated.

A text is complete once its finish reason was read, whatever becomes of its stream after
that. `requests.events` parses the stream.
"""

import math
from collections.abc import Generator
from typing import Final

import eliot

from bilberrydrum import reasons
from bilberrydrum.requests import (
    answer_memory,
    answers,
    attempts,
    body_reader,
    connections,
    events,
    model,
    outgoing_requests,
)

# Longest pause within a stream after its first bytes, in seconds. An engine that swaps
# its weights pauses its streams, but for less than this. An engine that sends nothing
# for longer hangs, and its callers would wait until their deadlines; so the stream is
# broken off, and another engine can resume it.
STALL_SECONDS: Final = 20.0
# Longest wait for the end of a stream after the finish reason, in seconds. An engine
# has nothing left to generate then, and the caller has the complete text already.
END_SECONDS: Final = 1.0


def stream(
    resources: attempts.Resources,
    upstream: attempts.Endpoint,
    outgoing: outgoing_requests.Outgoing,
) -> Generator[model.Tokens | model.Finished, None, None]:
    """Yield the events of one engine's answer; the last is `Finished`.

    `Finished` comes after the end of the answer, so no failure can follow it. Closing
    the iterator closes the connection, which cancels the work at the engine.

    Raises
    ------
    attempts.AttemptError
        If the text is incomplete, or if the engine mixed up its answers.
    """
    with attempts.bounded_wait(resources, outgoing):
        connection, answer = attempts.open_answer(
            resources.pool, upstream.address, outgoing
        )
    reader = events.StreamReader(outgoing.request_id, upstream.upstream_id)
    is_read_to_end = False
    try:
        _check_status(answer)
        with body_reader.reading(resources, outgoing, connection, answer) as body:
            is_read_to_end = yield from _read_text(resources, outgoing, body, reader)
    finally:
        if is_read_to_end:
            # Each event carried the request's id, so no other answer can have been
            # read.
            connections.keep_or_close(
                resources.pool, upstream.address, connection, answer, is_named=True
            )
        else:
            connection.close()
    yield model.Finished(reader.finish_reason, upstream.upstream_id)


def _read_text(
    resources: attempts.Resources,
    outgoing: outgoing_requests.Outgoing,
    body: body_reader.BodyReader,
    reader: events.StreamReader,
) -> Generator[model.Tokens, None, bool]:
    """Yield the tokens of a text; return whether its answer was read to its end.

    Once the finish reason was read, the text is complete. The connection may break
    after it, as it does when the engine crashes then, but that takes nothing from the
    text.
    """
    # Until the first bytes arrive, the call may wait in the engine's queue; only the
    # deadline bounds this wait.
    max_wait = math.inf
    patience = body_reader.Patience(lambda: max_wait)
    with resources.memory.share(reader.clear) as share:
        while True:
            try:
                part = body.read(patience.left())
            except attempts.AttemptError as error:
                if error.is_refusal or not reader.is_text_complete():
                    raise
                _log_lost_end(outgoing, reader, error.reason)
                return False
            if part is None:
                break
            has_progress = max_wait == math.inf
            for tokens in _feed(reader, part, share):
                yield tokens
                has_progress = True
            if has_progress:
                # Whoever takes the tokens may be slow.
                patience.renew()
            max_wait = END_SECONDS if reader.finish_reason else STALL_SECONDS
    if reader.is_done:
        return True
    if not reader.is_text_complete():
        raise attempts.AttemptError(
            reasons.Reason.ANSWER_TRUNCATED,
            True,
            "stream ended without its finish reason and its [DONE] marker",
        )
    _log_lost_end(outgoing, reader, reasons.Reason.ANSWER_TRUNCATED)
    return False


def _feed(
    reader: events.StreamReader, part: bytes, share: answer_memory.Share
) -> Generator[model.Tokens, None, None]:
    """Yield the tokens in `part`, and the finish reason, with or without tokens."""
    has_ended = bool(reader.finish_reason)
    failure = None
    read: list[model.StreamEvent] = []
    try:
        share.check()
        read = reader.feed(part)
        share.resize(reader.n_unparsed)
    except events.StreamError as error:
        failure = error
    except answer_memory.AnswerDroppedError as error:
        raise attempts.dropped(error) from error
    for event in read:
        if isinstance(event, model.Tokens):
            yield event
            has_ended = bool(event.finish_reason)
    if reader.finish_reason and not has_ended:
        yield model.Tokens("", (), None, reader.upstream_id, reader.finish_reason)
    if failure is not None:
        raise attempts.AttemptError(failure.reason, True, failure.detail) from failure


def _log_lost_end(
    outgoing: outgoing_requests.Outgoing,
    reader: events.StreamReader,
    reason: reasons.Reason,
) -> None:
    eliot.log_message(
        message_type="requests:stream-end-lost",
        request_id=outgoing.request_id,
        upstream_id=reader.upstream_id,
        finish_reason=reader.finish_reason,
        reason=reason.value,
    )


def _check_status(answer: answers.Answer) -> None:
    if answer.status == 200:
        return
    detail = f"status {answer.status}"
    if answer.status == 503:
        wait = _retry_after_seconds(answer.headers.get("Retry-After", ""))
        # By the contract of the engines' interface, an engine that answers 503 has not
        # begun to run the request.
        raise attempts.AttemptError(reasons.Reason.UPSTREAM_BUSY, False, detail, wait)
    raise attempts.AttemptError(reasons.Reason.UPSTREAM_ERROR, True, detail)


def _retry_after_seconds(text: str) -> float:
    return float(text) if text.isdecimal() else 1.0
