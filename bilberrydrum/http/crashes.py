"""Operators' routes to list crash-causing requests and to lift a quarantine."""

from typing import Any, Protocol

import result

from bilberrydrum import quarantine, reasons
from bilberrydrum.fleet import messages
from bilberrydrum.http import edge
from bilberrydrum.state import leader_calls

# Timeout of calls to the control group, in seconds.
_CALL_SECONDS = 2.0


class Record(Protocol):
    """A stored crash history that operators can read and change."""

    def history(self) -> quarantine.CrashHistory:
        """Return the crash history of all requests."""

    def lift(self, fingerprint: str) -> None:
        """Drop the crash history of one request, which lifts its quarantine."""


class GroupRecord:
    """The control group's crash history, which applies to all processes."""

    def __init__(self, calls: leader_calls.LeaderCalls) -> None:
        self._calls = calls

    def history(self) -> quarantine.CrashHistory:
        """Return the crash history of all requests."""
        found: quarantine.CrashHistory = self._ask(messages.ListCrashes())
        return found

    def lift(self, fingerprint: str) -> None:
        """Drop the crash history of one request, which lifts its quarantine."""
        self._ask(messages.LiftQuarantine(fingerprint))

    def _ask(self, message: object) -> Any:
        answer = self._calls.call(message, _CALL_SECONDS)
        if isinstance(answer, result.Ok):
            return answer.ok_value
        error = answer.err_value
        raise edge.refuse(503, error.reason, error.detail, retry_after_seconds=1.0)


def add_routes(edge_: edge.Edge, record: Record) -> None:
    """Serve the operators' routes under ``/v1/quarantine``."""
    handlers = _Handlers(record)
    operator = edge.GUARD_OPERATOR
    edge_.add("GET", "/v1/quarantine", handlers.list, operator)
    edge_.add("DELETE", "/v1/quarantine/{fingerprint}", handlers.lift, operator)


class _Handlers:
    """Handlers of the routes."""

    def __init__(self, record: Record) -> None:
        self._record = record

    def list(self, request: edge.Request) -> edge.Response:
        """Handle ``GET /v1/quarantine``."""
        known = self._record.history().evidence_by_fingerprint.values()
        listed = sorted(known, key=lambda each: (-each.standing(), -each.last_at))
        return edge.Response.of_json({"requests": [_row(each) for each in listed]})

    def lift(self, request: edge.Request) -> edge.Response:
        """Handle ``DELETE /v1/quarantine/{fingerprint}``."""
        fingerprint = request.variables["fingerprint"]
        if fingerprint not in self._record.history().evidence_by_fingerprint:
            raise edge.refuse(404, reasons.Reason.NOT_FOUND, fingerprint)
        self._record.lift(fingerprint)
        return edge.Response.of_json({"fingerprint": fingerprint})


def _row(history: quarantine.RequestHistory) -> dict[str, Any]:
    return {
        "fingerprint": history.fingerprint,
        "standing": history.standing().label,
        "subject": history.subject,
        "ended_ids": sorted(history.ended_at_by_id),
        "n_quarantines": history.n_quarantines,
    }
