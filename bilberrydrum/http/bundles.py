"""The operators' interface to bundles: check, submit, sign off, roll and inspect."""

import functools
from typing import Any, Final

import attrs
from eventlet import tpool

from bilberrydrum import codec, findings, options, problems, reasons
from bilberrydrum.bundles import check, commands, lease, model, queries, records
from bilberrydrum.http import edge
from bilberrydrum.state import client

_STATUSES_BY_REASON: Final = {
    reasons.Reason.NOT_FOUND: 404,
    reasons.Reason.BUNDLE_CONFLICT: 409,
    reasons.Reason.BUNDLE_STALE: 409,
    reasons.Reason.BUNDLE_NOT_SIGNED_OFF: 409,
    reasons.Reason.BUNDLE_TOO_MANY_DRAFTS: 409,
}


def add_routes(
    edge_: edge.Edge,
    options_: options.Options,
    state: client.StateClient,
    bundles: lease.GatewayLease,
) -> None:
    """Add the operators' routes for bundles."""
    handlers = _Handlers(state, bundles)
    add = functools.partial(edge_.add, guard=edge.GUARD_OPERATOR)
    add("POST", "/v1/bundles/check", handlers.check)
    add("POST", "/v1/bundles", handlers.submit)
    add("GET", "/v1/bundles", handlers.list)
    add("GET", "/v1/bundles/{version}", handlers.get)
    add("GET", "/v1/bundles/{version}/status", handlers.status)
    add("POST", "/v1/bundles/{version}/sign-off", handlers.sign_off)
    add("POST", "/v1/bundles/{version}/roll", handlers.roll)


@attrs.frozen
class _Handlers:
    state: client.StateClient
    bundles: lease.GatewayLease

    def check(self, request: edge.Request) -> edge.Response:
        content, bundle = _read_bundle(request)
        digest = check.digest_of(content)
        return edge.Response.of_json({"digest": digest, "version": bundle.version})

    def submit(self, request: edge.Request) -> edge.Response:
        author = _operator(request)
        content, bundle = _read_bundle(request)
        command = commands.SubmitBundle(
            bundle.version,
            bundle.parent,
            check.digest_of(content),
            author,
            bundle.cut_policy,
            content,
        )
        return self._change(command, 201)

    def sign_off(self, request: edge.Request) -> edge.Response:
        operator = _operator(request)
        command = commands.SignOffBundle(_version(request), _digest(request), operator)
        return self._change(command, 200)

    def roll(self, request: edge.Request) -> edge.Response:
        operator = _operator(request)
        command = commands.RollBundle(_version(request), _digest(request), operator)
        return self._change(command, 202)

    def list(self, request: edge.Request) -> edge.Response:
        found = self._query(queries.ListBundles())
        return edge.Response.of_json(
            {
                "in_force": found.in_force,
                "rolling": found.rolling,
                "bundles": [_describe(record) for record in found.bundles],
            }
        )

    def get(self, request: edge.Request) -> edge.Response:
        record = self._find(request)
        return edge.Response.of_json({**_describe(record), "content": record.content})

    def status(self, request: edge.Request) -> edge.Response:
        # The counts are requested before the record, so the record is never older than
        # them. In the opposite order, the answer could combine the state of an earlier
        # time with the counts of a later one.
        counts = self.bundles.ask_roll_status()
        if counts.is_err():
            unanswered = client.StateError(
                reasons.Reason.STATE_UNAVAILABLE, False, "the leader does not answer"
            )
            raise problems.ProblemError(unanswered.to_problem())
        record = self._find(request)
        answer = {"version": record.version, "state": record.state}
        counted = codec.to_plain(counts.unwrap())
        is_newest = counted.pop("version") == record.version
        answer.update(counted if is_newest else _NOT_COUNTED)
        return edge.Response.of_json(answer)

    def _change(self, command: object, status: int) -> edge.Response:
        submitted = self.state.submit(command)
        if submitted.is_err():
            # The change may have been applied. A retry is safe, as a repeated change is
            # recognized by its digest.
            raise problems.ProblemError(submitted.unwrap_err().to_problem())
        answer = submitted.unwrap()
        if isinstance(answer, commands.Refused):
            raise _refusal(answer)
        return edge.Response.of_json(codec.to_plain(answer), status)

    def _query(self, query: object) -> Any:
        answer = self.state.query(query)
        if answer.is_err():
            raise problems.ProblemError(answer.unwrap_err().to_problem())
        return answer.unwrap()

    def _find(self, request: edge.Request) -> records.Record:
        version = _version(request)
        record: records.Record | None = self._query(queries.GetBundle(version)).record
        if record is None:
            detail = f"version {version} does not exist, or has been deleted"
            raise edge.refuse(404, reasons.Reason.NOT_FOUND, detail)
        return record


# Used if the counts are for a newer version than the one requested.
_NOT_COUNTED: Final = {"n_confirmed": 0, "n_gateways": 0, "waiting_for": []}


def _describe(record: records.Record) -> dict[str, Any]:
    return {
        "version": record.version,
        "parent": record.parent,
        "digest": record.digest,
        "author": record.author,
        "signed_off_by": record.signed_off_by,
        "cut_policy": record.cut_policy,
        "state": record.state,
    }


def _read_bundle(request: edge.Request) -> tuple[str, model.Bundle]:
    content = _text_field(request, "content")
    file_name = request.json().get("file_name", "bundle.yaml")
    if not isinstance(file_name, str):
        raise _invalid("file_name must be a string")
    # Checking a large bundle takes long and would block all other requests, so it is
    # done in a thread.
    checked = tpool.execute(check.check, content, file_name)
    if checked.is_err():
        found: list[findings.Finding] = checked.unwrap_err()
        raise edge.refuse(
            422,
            reasons.Reason.BUNDLE_INVALID,
            f"{len(found)} findings",
            findings=tuple(found),
        )
    return content, checked.unwrap()


def _operator(request: edge.Request) -> str:
    operator = request.header("X-Operator")
    if not operator:
        raise _invalid("header X-Operator must name the operator")
    return operator


def _version(request: edge.Request) -> int:
    text = request.variables["version"]
    if not (text.isascii() and text.isdecimal() and len(text) <= 16):
        raise _invalid(f"{text!r} is not a version number of at most 16 digits")
    return int(text)


def _digest(request: edge.Request) -> str:
    return _text_field(request, "digest")


def _text_field(request: edge.Request, name: str) -> str:
    value = request.json().get(name)
    if not isinstance(value, str):
        raise _invalid(f"{name} must be a string")
    return value


def _invalid(detail: str) -> problems.ProblemError:
    return edge.refuse(400, reasons.Reason.INVALID_REQUEST, detail)


def _refusal(refused: commands.Refused) -> problems.ProblemError:
    extra = {}
    if refused.winner_digest:
        extra = {
            "winner_digest": refused.winner_digest,
            "winner_author": refused.winner_author,
        }
    status = _STATUSES_BY_REASON[refused.reason]
    return edge.refuse(status, refused.reason, refused.detail, extra=extra)
