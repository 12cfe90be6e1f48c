"""Parse completion requests and build their answers in OpenAI's format."""

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
# Each 429 and 503 has a Retry-After; this one is used if none is known, in seconds.
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
    """Return the last event of a stream that failed."""
    return b'data: {"error": ' + problem.to_json() + b"}\n\n"


@attrs.frozen
class CompletionRequest:
    """The content of a completion request."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    adapter: str


def read(body: dict[str, Any], answer_type: "type[Completion]") -> CompletionRequest:
    """Parse `body`; refuse it with all errors if it is invalid."""
    faults: list[str] = []
    request = CompletionRequest(
        model=_field(body, "model", str, "", faults),
        prompt=answer_type.prompt_of(body, faults),
        max_tokens=_field(body, "max_tokens", int, DEFAULT_MAX_TOKENS, faults),
        stream=_field(body, "stream", bool, False, faults),
        adapter=_field(body, "adapter", str, "", faults),
    )
    if not request.model:
        faults.append("model: missing")
    if request.max_tokens < 1:
        faults.append("max_tokens: must be at least 1")
    if faults:
        raise edge.refuse(400, reasons.Reason.INVALID_REQUEST, "; ".join(faults))
    return request


def _field(
    body: dict[str, Any], name: str, kind: type, default: Any, faults: list[str]
) -> Any:
    value = body.get(name, default)
    # `isinstance` would accept true as an integer, as bool is a subclass of int.
    if type(value) is not kind:
        faults.append(f"{name}: must be of type {kind.__name__}")
        return default
    return value


@attrs.define
class Completion:
    """Builds the answer to one request for ``/v1/completions``."""

    call: model.ModelCall
    created: int = attrs.field(factory=lambda: int(time.time()))
    _texts: list[str] = attrs.field(factory=list)
    _token_ids: list[int] = attrs.field(factory=list)
    _weight_version: int | None = None
    _finish_reason: str | None = None

    @classmethod
    def prompt_of(cls, body: dict[str, Any], faults: list[str]) -> str:
        """Return the prompt in `body`; append errors to `faults`."""
        if "prompt" not in body:
            faults.append("prompt: missing")
        prompt: str = _field(body, "prompt", str, "", faults)
        return prompt

    def add_event(self, event: model.StreamEvent) -> bytes:
        """Add an event to the answer, and return its bytes for a stream."""
        if isinstance(event, model.Tokens):
            self._texts.append(event.text)
            self._token_ids.extend(event.token_ids)
            self._weight_version = event.weight_version
            return self._event(self._token_choice(event), event.weight_version)
        assert isinstance(event, model.Finished)
        self._finish_reason = event.finish_reason
        return (
            self._event(self._final_choice(event), self._weight_version) + events.DONE
        )

    def to_document(self) -> dict[str, Any]:
        """Return the complete answer as one JSON object."""
        return {
            "id": self.call.request_id,
            "object": "text_completion",
            "created": self.created,
            "model": self.call.model,
            "choices": [self._complete_choice("".join(self._texts))],
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

    def _token_choice(self, event: model.Tokens) -> dict[str, Any]:
        return {
            "index": 0,
            "text": event.text,
            "token_ids": event.token_ids,
            "finish_reason": None,
        }

    def _final_choice(self, event: model.Finished) -> dict[str, Any]:
        return {"index": 0, "text": "", "finish_reason": event.finish_reason}

    def _complete_choice(self, text: str) -> dict[str, Any]:
        return {
            "index": 0,
            "text": text,
            "token_ids": self._token_ids,
            "finish_reason": self._finish_reason,
        }


class ChatCompletion(Completion):
    """Builds the answer to one request for ``/v1/chat/completions``."""

    @classmethod
    def prompt_of(cls, body: dict[str, Any], faults: list[str]) -> str:
        """Return the messages in `body` as one prompt; append errors to `faults`."""
        lines = []
        for message in _field(body, "messages", list, [], faults):
            role = message.get("role") if isinstance(message, dict) else None
            content = message.get("content") if isinstance(message, dict) else None
            if not isinstance(role, str) or not isinstance(content, str):
                faults.append(
                    "messages: each must have a role and a content of type str"
                )
                break
            lines.append(f"{role}: {content}")
        if not lines:
            faults.append("messages: missing")
        return "\n".join([*lines, "assistant:"])

    def _token_choice(self, event: model.Tokens) -> dict[str, Any]:
        return {
            "index": 0,
            "delta": {"role": "assistant", "content": event.text},
            "token_ids": event.token_ids,
            "finish_reason": None,
        }

    def _final_choice(self, event: model.Finished) -> dict[str, Any]:
        return {"index": 0, "delta": {}, "finish_reason": event.finish_reason}

    def _complete_choice(self, text: str) -> dict[str, Any]:
        return {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": self._finish_reason,
        }
