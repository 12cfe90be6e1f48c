"""Read completions' requests and write their answers, OpenAI style."""

import json
import time
from typing import Any, Final

import attrs

from bilberrydrum import problems, reasons
from bilberrydrum.http import edge
from bilberrydrum.requests import events, model

STREAM_HEADERS: Final = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-cache"),
]
DEFAULT_MAX_TOKENS: Final = 16

_STATUS_BY_REASON: Final = {
    reasons.Reason.QUEUE_FULL: 429,
    reasons.Reason.DEADLINE_UNREACHABLE: 503,
    reasons.Reason.NO_UPSTREAM: 503,
    reasons.Reason.SHUTTING_DOWN: 503,
    reasons.Reason.CALLER_GONE: 503,
    reasons.Reason.CLAIM_LAPSED: 503,
    reasons.Reason.BUNDLE_LEASE_EXPIRED: 503,
    reasons.Reason.NO_BUNDLE: 503,
    reasons.Reason.CALLER_NOT_ALLOWED: 403,
    reasons.Reason.CONNECT_FAILED: 503,
    reasons.Reason.UPSTREAM_BUSY: 503,
    reasons.Reason.UPSTREAM_TIMEOUT: 504,
}
# Each 429 and 503 says when to come back.
_DEFAULT_RETRY_AFTER: Final = 1.0


def problem_of(failed: model.Failed) -> problems.Problem:
    """Return the problem document of a call that failed."""
    status = _STATUS_BY_REASON.get(failed.reason, 502)
    outcome = (
        problems.OUTCOME_UNKNOWN if failed.may_have_run else problems.OUTCOME_NOT_RUN
    )
    retry_after = failed.retry_after_seconds
    if status in (429, 503):
        retry_after = retry_after or _DEFAULT_RETRY_AFTER
    return problems.Problem(
        status,
        failed.reason,
        failed.detail,
        outcome,
        retry_after,
    )


def error_event(problem: problems.Problem) -> bytes:
    """Return the event that ends a stream which has failed."""
    return b'data: {"error": ' + problem.to_json() + b"}\n\n"


@attrs.frozen
class Asked:
    """What a completion's body asks for."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    adapter: str


def read(body: dict[str, Any], form: "type[Completion]") -> Asked:
    """Return what `body` asks for; refuse what is not well formed."""
    wrong: list[str] = []
    asked = Asked(
        model=_field(body, "model", str, "", wrong),
        prompt=form.prompt_of(body, wrong),
        max_tokens=_field(body, "max_tokens", int, DEFAULT_MAX_TOKENS, wrong),
        stream=_field(body, "stream", bool, False, wrong),
        adapter=_field(body, "adapter", str, "", wrong),
    )
    if not asked.model:
        wrong.append("model: missing")
    if asked.max_tokens < 1:
        wrong.append("max_tokens: below 1")
    if wrong:
        raise edge.refuse(400, reasons.Reason.INVALID_REQUEST, "; ".join(wrong))
    return asked


def _field(
    body: dict[str, Any], name: str, kind: type, default: Any, wrong: list[str]
) -> Any:
    value = body.get(name, default)
    # True is an int to Python.
    if type(value) is not kind:
        wrong.append(f"{name}: not of type {kind.__name__}")
        return default
    return value


@attrs.define
class Completion:
    """Builds the answer to one ``/v1/completions``."""

    call: model.ModelCall
    created: int = attrs.field(factory=lambda: int(time.time()))
    _texts: list[str] = attrs.field(factory=list)
    _token_ids: list[int] = attrs.field(factory=list)
    _weight_version: int | None = None
    _finish_reason: str | None = None

    @classmethod
    def prompt_of(cls, body: dict[str, Any], wrong: list[str]) -> str:
        """Return the prompt that `body` gives; add to `wrong` what is not right."""
        if "prompt" not in body:
            wrong.append("prompt: missing")
        prompt: str = _field(body, "prompt", str, "", wrong)
        return prompt

    def take(self, event: model.StreamEvent) -> bytes:
        """Take an event into the answer and return its form in a stream."""
        if isinstance(event, model.Tokens):
            self._texts.append(event.text)
            self._token_ids.extend(event.token_ids)
            self._weight_version = event.weight_version
            return self._event(self._piece(event), event.weight_version)
        assert isinstance(event, model.Finished)
        self._finish_reason = event.finish_reason
        return self._event(self._end(event), self._weight_version) + events.DONE

    def whole(self) -> dict[str, Any]:
        """Return the answer as one object."""
        return {
            "id": self.call.request_id,
            "object": "text_completion",
            "created": self.created,
            "model": self.call.model,
            "choices": [self._whole_choice("".join(self._texts))],
            "usage": {"completion_tokens": len(self._token_ids)},
            "weight_version": self._weight_version,
        }

    def _event(self, choice: dict[str, Any], version: int | None) -> bytes:
        document = {
            "id": self.call.request_id,
            "object": "text_completion",
            "created": self.created,
            "model": self.call.model,
            "choices": [choice],
            "weight_version": version,
        }
        return b"data: " + json.dumps(document).encode() + b"\n\n"

    def _piece(self, event: model.Tokens) -> dict[str, Any]:
        return {
            "index": 0,
            "text": event.text,
            "token_ids": event.token_ids,
            "finish_reason": None,
        }

    def _end(self, event: model.Finished) -> dict[str, Any]:
        return {"index": 0, "text": "", "finish_reason": event.finish_reason}

    def _whole_choice(self, text: str) -> dict[str, Any]:
        return {
            "index": 0,
            "text": text,
            "token_ids": self._token_ids,
            "finish_reason": self._finish_reason,
        }


class ChatCompletion(Completion):
    """Builds the answer to one ``/v1/chat/completions``."""

    @classmethod
    def prompt_of(cls, body: dict[str, Any], wrong: list[str]) -> str:
        """Return the prompt made of the messages in `body`."""
        lines = []
        for message in _field(body, "messages", list, [], wrong):
            role = message.get("role") if isinstance(message, dict) else None
            content = message.get("content") if isinstance(message, dict) else None
            if not isinstance(role, str) or not isinstance(content, str):
                wrong.append("messages: one without role and content")
                break
            lines.append(f"{role}: {content}")
        if not lines:
            wrong.append("messages: missing")
        return "\n".join([*lines, "assistant:"])

    def _piece(self, event: model.Tokens) -> dict[str, Any]:
        return {
            "index": 0,
            "delta": {"role": "assistant", "content": event.text},
            "token_ids": event.token_ids,
            "finish_reason": None,
        }

    def _end(self, event: model.Finished) -> dict[str, Any]:
        return {"index": 0, "delta": {}, "finish_reason": event.finish_reason}

    def _whole_choice(self, text: str) -> dict[str, Any]:
        return {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": self._finish_reason,
        }
