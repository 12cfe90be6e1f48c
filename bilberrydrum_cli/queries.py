"""Verbs that change nothing."""

import difflib
import urllib.parse
from collections.abc import Callable
from typing import Any

import result

from bilberrydrum import yaml_places
from bilberrydrum.state import snapshot
from bilberrydrum_cli import (
    client,
    codes,
    local,
    output,
    rows,
    session,
    verbs,
)


@verbs.run.register
def _(verb: verbs.CheckBundle, current: session.Session) -> int:
    text = yaml_places.read_text(verb.file)
    if isinstance(text, result.Err):
        return current.report(text.err_value)
    body = {"content": text.ok_value, "file_name": verb.file}
    return _answer(current, current.gateways.json("POST", "/v1/bundles/check", body))


@verbs.run.register
def _(verb: verbs.BundleStatus, current: session.Session) -> int:
    return _get(current, f"/v1/bundles/{verb.version}/status")


@verbs.run.register
def _(verb: verbs.ListBundles, current: session.Session) -> int:
    return _get(current, "/v1/bundles")


@verbs.run.register
def _(verb: verbs.ShowBundle, current: session.Session) -> int:
    outcome = current.gateways.json("GET", f"/v1/bundles/{verb.version}")
    if isinstance(outcome, result.Ok) and current.form == output.FORM_TABLE:
        # Only the content, so that the output can be edited and submitted as the next
        # version.
        current.out.write(str(outcome.ok_value.get("content", "")))
        return codes.OK
    return _answer(current, outcome)


@verbs.run.register
def _(verb: verbs.DiffBundles, current: session.Session) -> int:
    texts = []
    for source in (verb.old, verb.new):
        if not source.isdigit():
            text = yaml_places.read_text(source)
            if isinstance(text, result.Err):
                return current.report(text.err_value)
            texts.append(text.ok_value)
            continue
        outcome = current.gateways.json("GET", f"/v1/bundles/{source}")
        if isinstance(outcome, result.Err):
            return current.fail(outcome.err_value)
        texts.append(str(outcome.ok_value.get("content", "")))
    lines = list(_differences(texts[0], texts[1], verb.old, verb.new))
    if current.form == output.FORM_JSON:
        return current.show({"differences": lines})
    for line in lines:
        print(line, file=current.out)
    return codes.OK


@verbs.run.register
def _(verb: verbs.ListUpstreams, current: session.Session) -> int:
    return _list(current, "/v1/upstreams", "upstreams", rows.upstream_row)


@verbs.run.register
def _(verb: verbs.ListQuarantine, current: session.Session) -> int:
    return _list(current, "/v1/quarantine", "requests", rows.quarantine_row)


@verbs.run.register
def _(verb: verbs.WeightStatus, current: session.Session) -> int:
    outcome = current.gateways.json("GET", "/v1/weights")
    if isinstance(outcome, result.Ok) and current.form == output.FORM_TABLE:
        return current.show(rows.weight_tables(outcome.ok_value))
    return _answer(current, outcome)


@verbs.run.register
def _(verb: verbs.ListTrainers, current: session.Session) -> int:
    return _get(current, "/v1/trainers")


@verbs.run.register
def _(verb: verbs.ShowTrainer, current: session.Session) -> int:
    return _get(current, f"/v1/trainers/{quote(verb.trainer)}")


@verbs.run.register
def _(verb: verbs.TraceSample, current: session.Session) -> int:
    # A sample id has slashes between trainer, group and slot; they separate the
    # segments of the path.
    target = urllib.parse.quote(verb.sample_id, safe="/")
    return _get(current, f"/v1/samples/{target}")


@verbs.run.register
def _(verb: verbs.StateStatus, current: session.Session) -> int:
    return _get(current, "/v1/state")


@verbs.run.register
def _(verb: verbs.ListMembers, current: session.Session) -> int:
    outcome = current.gateways.json("GET", "/v1/state")
    return _answer(
        current, outcome.map(lambda value: {"members": value.get("members", [])})
    )


@verbs.run.register
def _(verb: verbs.SaveSnapshot, current: session.Session) -> int:
    outcome = current.gateways.call(client.Call("GET", "/v1/state/snapshot"))
    if isinstance(outcome, result.Err):
        return current.fail(outcome.err_value)
    data = outcome.ok_value.body
    saved = local.check_snapshot(verb.file, data).and_then(
        lambda complete: local.write_new(verb.file, complete)
    )
    if isinstance(saved, result.Err):
        return current.report([saved.err_value])
    digest = snapshot.digest(data)
    return current.show({"file": verb.file, "n_bytes": len(data), "digest": digest})


def quote(text: str) -> str:
    """Return `text` percent-encoded as one segment of a path."""
    return urllib.parse.quote(text, safe="")


def _get(current: session.Session, target: str) -> int:
    return _answer(current, current.gateways.json("GET", target))


def _list(
    current: session.Session,
    target: str,
    key: str,
    row_of: Callable[[dict[str, Any]], dict[str, Any]],
) -> int:
    """Show the list under `key` in the answer; as a table, one row for each entry."""
    outcome = current.gateways.json("GET", target)
    if isinstance(outcome, result.Ok) and current.form == output.FORM_TABLE:
        listed = outcome.ok_value.get(key, [])
        return current.show([row_of(each) for each in listed])
    return _answer(current, outcome)


def _answer(
    current: session.Session, outcome: result.Result[Any, client.Failure]
) -> int:
    if isinstance(outcome, result.Err):
        return current.fail(outcome.err_value)
    return current.show(outcome.ok_value)


def _differences(old: str, new: str, old_name: str, new_name: str) -> Any:
    return difflib.unified_diff(
        old.splitlines(), new.splitlines(), old_name, new_name, lineterm=""
    )
