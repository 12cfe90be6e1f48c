"""Read an engine's stream of server-sent events, and write one for a caller.

`StreamReader` is pure: bytes in, typed events out. It holds a stream to be whole only
when a choice named its finish reason and the `[DONE]` marker followed; whatever else
ends the bytes is a failure.
"""

import json
from typing import Any, Final

import attrs

from bilberrydrum import reasons
from bilberrydrum.requests import model

DONE: Final = b"data: [DONE]\n\n"
# Longest event taken; a longer one is an engine's fault and would fill the memory.
MAX_EVENT_BYTES: Final = 1024 * 1024
_PREFIX: Final = b"data:"


class StreamError(Exception):
    """The stream is not one that answers the request."""

    def __init__(self, reason: reasons.Reason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


@attrs.define
class StreamReader:
    """Turns the bytes of one engine's answer into events."""

    request_id: str
    upstream_id: str
    # True once the stream has ended whole.
    is_done: bool = False
    _rest: bytes = b""
    _finish_reason: str = ""

    def feed(self, data: bytes) -> list[model.StreamEvent]:
        """Return the events that `data` completes.

        Raises
        ------
        StreamError
            If the stream is damaged, or belongs to another request.
        """
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise StreamError(reasons.Reason.UPSTREAM_ERROR, "event too large")
        events: list[model.StreamEvent] = []
        for line in lines:
            if line.startswith(_PREFIX):
                self._take(line[len(_PREFIX) :].strip(), events)
        return events

    def _take(self, data: bytes, events: list[model.StreamEvent]) -> None:
        if self.is_done:
            raise StreamError(
                reasons.Reason.ANSWER_MISMATCHED, "events after the end of the stream"
            )
        if data == b"[DONE]":
            self._end(events)
            return
        document = _parse(data)
        # An engine that mixes up its answers must not give one caller the text of
        # another; every event names the request that it belongs to.
        if document.get("id") != self.request_id:
            raise StreamError(
                reasons.Reason.ANSWER_MISMATCHED, f"answer for {document.get('id')!r}"
            )
        if self._finish_reason:
            raise StreamError(
                reasons.Reason.ANSWER_MISMATCHED, "tokens after the finish reason"
            )
        self._take_choice(document, events)

    def _take_choice(
        self, document: dict[str, Any], events: list[model.StreamEvent]
    ) -> None:
        try:
            choice = document["choices"][0]
            text = choice.get("text") or ""
            token_ids = tuple(choice.get("token_ids") or ())
            finish_reason = choice.get("finish_reason")
            version = document.get("weight_version")
        except (KeyError, IndexError, TypeError, AttributeError) as error:
            raise StreamError(
                reasons.Reason.UPSTREAM_ERROR, f"event without a choice: {error}"
            ) from error
        if not _is_sound(text, token_ids, version):
            raise StreamError(reasons.Reason.UPSTREAM_ERROR, "field of a wrong type")
        if text or token_ids:
            events.append(model.Tokens(text, token_ids, version, self.upstream_id))
        if finish_reason is None:
            return
        if finish_reason not in (model.FINISH_STOP, model.FINISH_LENGTH):
            raise StreamError(
                reasons.Reason.UPSTREAM_ERROR, f"finish reason {finish_reason!r}"
            )
        self._finish_reason = finish_reason

    def _end(self, events: list[model.StreamEvent]) -> None:
        if not self._finish_reason:
            raise StreamError(
                reasons.Reason.ANSWER_TRUNCATED, "no finish reason before the end"
            )
        self.is_done = True
        events.append(model.Finished(self._finish_reason, self.upstream_id))


def _is_sound(text: object, token_ids: tuple[object, ...], version: object) -> bool:
    if not isinstance(text, str) or not isinstance(version, int | None):
        return False
    return all(type(token_id) is int for token_id in token_ids)


def _parse(data: bytes) -> dict[str, Any]:
    try:
        document = json.loads(data)
    except ValueError as error:
        raise StreamError(reasons.Reason.UPSTREAM_ERROR, str(error)) from error
    if not isinstance(document, dict):
        raise StreamError(reasons.Reason.UPSTREAM_ERROR, "event is no object")
    return document
