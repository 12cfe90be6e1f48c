"""Problem documents (RFC 9457), the format of all errors on the HTTP interfaces."""

import json
import math
from typing import Any, Final

import attrs

from bilberrydrum import codec, reasons

CONTENT_TYPE: Final = "application/problem+json"

# Whether the request itself has run, regardless of the outcome of single attempts.
OUTCOME_NOT_RUN: Final = "not-run"
OUTCOME_COMPLETED: Final = "completed"
OUTCOME_UNKNOWN: Final = "unknown"


@attrs.frozen
class Problem:
    """The content of one error answer."""

    status: int
    reason: reasons.Reason
    detail: str = ""
    outcome: str = OUTCOME_NOT_RUN
    # Time after which a retry may succeed; 0 if a retry is useless.
    retry_after_seconds: float = 0.0
    # Errors in a document that the client sent, each with its place and a message.
    findings: tuple[Any, ...] = ()
    # Additional members of the document, by name.
    extra: dict[str, Any] = attrs.field(factory=dict)

    def to_json(self) -> bytes:
        """Return the document as JSON."""
        document = {
            "type": f"urn:bilberrydrum:{self.reason.value}",
            "title": self.reason.value.replace("-", " "),
            "status": self.status,
            "detail": self.detail,
            "reason": self.reason.value,
            "outcome": self.outcome,
            "retry_after_seconds": round(self.retry_after_seconds, 3),
            "findings": [codec.to_plain(finding) for finding in self.findings],
        }
        document.update(self.extra)
        return json.dumps(document).encode()

    def headers(self) -> list[tuple[str, str]]:
        """Return the HTTP headers of an answer with this document."""
        headers = [("Content-Type", CONTENT_TYPE)]
        if self.retry_after_seconds > 0:
            headers.append(("Retry-After", str(math.ceil(self.retry_after_seconds))))
        return headers


class ProblemError(Exception):
    """Raised to end the handling of a request; the answer is `problem`."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail or problem.reason.value)
        self.problem = problem
