"""Problem documents (RFC 9457): the one form of every error on the HTTP interfaces."""

import json
import math
from typing import Any, Final

import attrs

from bilberrydrum import codec, reasons

CONTENT_TYPE: Final = "application/problem+json"

# What is known of the request itself, whatever became of single attempts.
OUTCOME_NOT_RUN: Final = "not-run"
OUTCOME_COMPLETED: Final = "completed"
OUTCOME_UNKNOWN: Final = "unknown"


@attrs.frozen
class Problem:
    """One error answer."""

    status: int
    reason: reasons.Reason
    detail: str = ""
    outcome: str = OUTCOME_NOT_RUN
    # When to come back; 0: there is no use in coming back.
    retry_after_seconds: float = 0.0
    # Findings in a document that was sent, each a map of place and text.
    findings: tuple[Any, ...] = ()
    # Further members of the document, by name.
    extra: dict[str, Any] = attrs.field(factory=dict)

    def to_json(self) -> bytes:
        """Return the document's bytes."""
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
        """Return the headers that go with the document."""
        headers = [("Content-Type", CONTENT_TYPE)]
        if self.retry_after_seconds > 0:
            headers.append(("Retry-After", str(math.ceil(self.retry_after_seconds))))
        return headers


class ProblemError(Exception):
    """Ends the handling of a request with `problem`."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail or problem.reason.value)
        self.problem = problem
