"""Parse an engine's stream of server-sent events.

`StreamReader` does no I/O: it turns bytes into typed events. A text is complete once a
choice gave its finish reason; the `[DONE]` marker follows it. If the stream breaks off
between the two, nothing of the text is missing. If another event follows the finish
reason instead, the engine has mixed up its answers, and the stream has failed.
"""

import json
from typing import Any, Final

import attrs

from bilberrydrum import reasons
from bilberrydrum.requests import model

DONE: Final = b"data: [DONE]\n\n"
# Longest accepted event, in bytes. A longer one is a fault of the engine, and without a
# bound it would fill the memory.
MAX_EVENT_BYTES: Final = 1024 * 1024
_PREFIX: Final = b"data:"
_MARKER: Final = b"[DONE]"


class StreamError(Exception):
    """The stream is malformed, or does not belong to the request."""

    def __init__(self, reason: reasons.Reason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


@attrs.define
class StreamReader:
    """Turns the bytes of one engine's answer into events."""

    request_id: str
    upstream_id: str
    # True once the stream is complete.
    is_done: bool = False
    # Why the text ended; empty until the event that says so.
    finish_reason: str = ""
    _incomplete_line: bytearray = attrs.field(factory=bytearray)

    @property
    def n_unparsed(self) -> int:
        """Number of bytes of the line that is not complete yet."""
        return len(self._incomplete_line)

    def clear(self) -> None:
        """Drop the line that is not complete yet; nothing may be fed after that."""
        self._incomplete_line = bytearray()

    def feed(self, data: bytes) -> list[model.StreamEvent]:
        """Return the events that `data` completes.

        Raises
        ------
        StreamError
            If the stream is malformed, or belongs to another request.
        """
        lines: list[bytes] = []
        self._incomplete_line += data
        # Only `data` is searched. A long line that arrives byte by byte would take all
        # processor time otherwise.
        if b"\n" in data:
            *lines, rest = bytes(self._incomplete_line).split(b"\n")
            self._incomplete_line = bytearray(rest)
        if len(self._incomplete_line) > MAX_EVENT_BYTES:
            raise StreamError(
                reasons.Reason.UPSTREAM_ERROR,
                f"event too large: expected at most {MAX_EVENT_BYTES} bytes, got"
                f" {len(self._incomplete_line)} without its end",
            )
        events: list[model.StreamEvent] = []
        for line in lines:
            if line.startswith(_PREFIX):
                self._read_data(line[len(_PREFIX) :].strip(), events)
        return events

    def is_text_complete(self) -> bool:
        """Return whether the text is complete if the stream breaks off here.

        A partial line that can't become the `[DONE]` marker is another event, which
        must not follow the finish reason.
        """
        if not self.finish_reason:
            return False
        if not self._incomplete_line.startswith(_PREFIX):
            return True
        return _MARKER.startswith(self._incomplete_line[len(_PREFIX) :].strip())

    def _read_data(self, data: bytes, events: list[model.StreamEvent]) -> None:
        if self.is_done:
            raise StreamError(
                reasons.Reason.ANSWER_MISMATCHED,
                "expected nothing after the [DONE] marker, got another event",
            )
        if data == _MARKER:
            self._finish(events)
            return
        document = _parse(data)
        # Each event carries the id of its request. If an engine mixes up its answers,
        # this check prevents that one caller gets the text of another.
        if document.get("id") != self.request_id:
            raise StreamError(
                reasons.Reason.ANSWER_MISMATCHED,
                f"expected an event of this request, got one of {document.get('id')!r}",
            )
        if self.finish_reason:
            raise StreamError(
                reasons.Reason.ANSWER_MISMATCHED,
                "expected the [DONE] marker after the finish reason, got another event",
            )
        self._read_choice(document, events)

    def _read_choice(
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
                reasons.Reason.UPSTREAM_ERROR,
                f"expected an event with a choice, got {error!r}",
            ) from error
        if not _is_valid(text, token_ids, version):
            raise StreamError(
                reasons.Reason.UPSTREAM_ERROR,
                "expected a string as text, integers as token ids, and an integer or"
                " null as weight version, got another type",
            )
        if finish_reason not in (None, model.FINISH_STOP, model.FINISH_LENGTH):
            raise StreamError(
                reasons.Reason.UPSTREAM_ERROR,
                f"expected {model.FINISH_STOP!r} or {model.FINISH_LENGTH!r} as finish"
                f" reason, got {finish_reason!r}",
            )
        self.finish_reason = finish_reason or ""
        if text or token_ids:
            events.append(
                model.Tokens(
                    text, token_ids, version, self.upstream_id, self.finish_reason
                )
            )

    def _finish(self, events: list[model.StreamEvent]) -> None:
        if not self.finish_reason:
            raise StreamError(
                reasons.Reason.ANSWER_TRUNCATED,
                "expected a finish reason before the [DONE] marker, got none",
            )
        self.is_done = True
        events.append(model.Finished(self.finish_reason, self.upstream_id))


def _is_valid(text: object, token_ids: tuple[object, ...], version: object) -> bool:
    if not isinstance(text, str) or not isinstance(version, int | None):
        return False
    return all(type(token_id) is int for token_id in token_ids)


def _parse(data: bytes) -> dict[str, Any]:
    try:
        document = json.loads(data)
    except ValueError as error:
        raise StreamError(reasons.Reason.UPSTREAM_ERROR, str(error)) from error
    if not isinstance(document, dict):
        raise StreamError(
            reasons.Reason.UPSTREAM_ERROR, "expected a JSON object as event"
        )
    return document
