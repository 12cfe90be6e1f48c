"""Verbs that change something.

Each change may be sent again after a lost answer: a bundle is identified by its digest,
and the other changes have the same effect the second time.
"""

from typing import Any

import result

from bilberrydrum import yaml_places
from bilberrydrum_cli import client, local, queries, rollout, session, verbs


@verbs.run.register
def _(verb: verbs.SubmitBundle, current: session.Session) -> int:
    text = yaml_places.read_text(verb.file)
    if isinstance(text, result.Err):
        return current.report(text.err_value)
    body = {"content": text.ok_value, "file_name": verb.file}
    return _send(current, "POST", "/v1/bundles", body)


@verbs.run.register
def _(verb: verbs.SignOffBundle, current: session.Session) -> int:
    target = f"/v1/bundles/{verb.version}/sign-off"
    return _send(current, "POST", target, {"digest": verb.digest})


@verbs.run.register
def _(verb: verbs.RollBundle, current: session.Session) -> int:
    target = f"/v1/bundles/{verb.version}/roll"
    outcome = current.gateways.json("POST", target, {"digest": verb.digest})
    if isinstance(outcome, result.Err):
        return current.fail(outcome.err_value)
    if verb.wait:
        return rollout.wait(verb.version, verb.wait_seconds, current)
    return current.show(outcome.ok_value)


@verbs.run.register
def _(verb: verbs.DrainUpstream, current: session.Session) -> int:
    target = f"/v1/upstreams/{queries.quote(verb.upstream_id)}/drain"
    return _send(current, "POST", target, {})


@verbs.run.register
def _(verb: verbs.UndrainUpstream, current: session.Session) -> int:
    target = f"/v1/upstreams/{queries.quote(verb.upstream_id)}/drain"
    return _send(current, "DELETE", target)


@verbs.run.register
def _(verb: verbs.LiftQuarantine, current: session.Session) -> int:
    return _send(current, "DELETE", f"/v1/quarantine/{verb.fingerprint}")


@verbs.run.register
def _(verb: verbs.SetRole, current: session.Session) -> int:
    target = f"/v1/upstreams/{queries.quote(verb.upstream_id)}/role"
    return _send(current, "POST", target, {"role": verb.role})


@verbs.run.register
def _(verb: verbs.AddMember, current: session.Session) -> int:
    body = {"process_id": verb.process_id, "peer_address": verb.peer_address}
    return _send(current, "POST", "/v1/state/members", body)


@verbs.run.register
def _(verb: verbs.RemoveMember, current: session.Session) -> int:
    target = f"/v1/state/members/{queries.quote(verb.replica_id)}"
    return _send(current, "DELETE", target)


@verbs.run.register
def _(verb: verbs.RestoreSnapshot, current: session.Session) -> int:
    data = local.read_snapshot(verb.file)
    if isinstance(data, result.Err):
        return current.report([data.err_value])
    target = "/v1/state/snapshot"
    call = client.Call("POST", target, data.ok_value, client.BYTES_TYPE)
    outcome = current.gateways.call(call)
    if isinstance(outcome, result.Err):
        return current.fail(outcome.err_value)
    return current.show(outcome.ok_value.problem())


def _send(current: session.Session, method: str, target: str, body: Any = None) -> int:
    outcome = current.gateways.json(method, target, body)
    if isinstance(outcome, result.Err):
        return current.fail(outcome.err_value)
    return current.show(outcome.ok_value)
