"""The operators' interface to the state group."""

import json
import unittest
from typing import Any

import result
from nose2 import tools

from bilberrydrum import options, reasons
from bilberrydrum.http import edge, state_operators
from bilberrydrum.state import (
    client,
    commands,
    machine,
    membership,
    queries,
    snapshot,
)
from tests.fakes import wsgi

STATUS = queries.Status("r1", "leader", 3, "p1", 9, 9, 9, 9, 0, [])
UNAVAILABLE = result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE))


class FakeState:
    """Answers by the class of the command or query, and records it."""

    def __init__(self, answers: dict[type[Any], Any]) -> None:
        self.answers = answers
        self.received: list[Any] = []

    def query(self, query: object, timeout: float = 5.0) -> Any:
        self.received.append(query)
        return self.answers.get(type(query), UNAVAILABLE)

    submit = query


class FakeReplica:
    def status(self) -> queries.Status:
        return queries.Status("r2", "follower", 2, "", 8, 8, 8, 8, 0, [])


def saved() -> bytes:
    header = snapshot.Header(3, 1, 1.0, membership.Membership())
    return snapshot.encode(header, machine.State())


class Routes(unittest.TestCase):
    def call(
        self,
        answers: dict[type[Any], Any],
        method: str,
        path: str,
        body: bytes = b"",
        replica: Any = None,
        token: str = "t",
    ) -> tuple[int, dict[str, str], bytes]:
        self.state = FakeState(answers)
        routes = edge.Edge(options.LimitOptions(), {edge.GUARD_OPERATOR: b"t"})
        settings = options.Options("gw")
        state_operators.add_routes(routes, settings, self.state, replica)
        answer = wsgi.call(routes, wsgi.environ_of(method, path, body, token))
        return answer.status, answer.headers, answer.body

    def test_status_is_the_leaders(self) -> None:
        answers = {queries.GetStatus: result.Ok(STATUS)}
        status, _, body = self.call(answers, "GET", "/v1/state")
        document = json.loads(body)
        self.assertEqual((status, document["leader"], document["term"]), (200, "p1", 3))

    def test_status_without_a_majority_is_the_local_replicas(self) -> None:
        status, _, body = self.call({}, "GET", "/v1/state", replica=FakeReplica())
        self.assertEqual((status, json.loads(body)["replica_id"]), (200, "r2"))

    @tools.params(
        ("GET", "/v1/state", b""),
        ("GET", "/v1/state/snapshot", b""),
        ("POST", "/v1/state/snapshot", saved()),
        ("DELETE", "/v1/state/members/r1", b""),
        ("POST", "/v1/state/members", b'{"process_id": "p", "peer_address": "a"}'),
    )
    def test_unreachable_group_is_answered_with_retry_after(
        self, method: str, path: str, body: bytes
    ) -> None:
        status, headers, answer = self.call({}, method, path, body)
        problem = json.loads(answer)
        self.assertEqual((status, headers["Retry-After"]), (503, "1"))
        self.assertEqual(problem["reason"], "state-unavailable")
        self.assertEqual(problem["outcome"], "unknown")
        self.assertEqual(self.call({}, method, path, body, token="no")[0], 401)

    @tools.params((True, "", 202), (False, "would lose its majority", 409))
    def test_removal(self, is_made: bool, detail: str, expected: int) -> None:
        changed = result.Ok(commands.MemberChanged(is_made, detail))
        answers = {commands.RemoveMember: changed}
        status, _, body = self.call(answers, "DELETE", "/v1/state/members/r1")
        self.assertEqual(status, expected)
        self.assertEqual(self.state.received, [commands.RemoveMember("r1")])
        self.assertIn(detail, json.loads(body).get("detail", ""))

    @tools.params(
        (b'{"process_id": "p4", "peer_address": "1.1.1.1:1"}', 202),
        (b'{"process_id": "p4"}', 400),
        (b'{"process_id": 4, "peer_address": "1.1.1.1:1"}', 400),
    )
    def test_addition(self, body: bytes, expected: int) -> None:
        answers = {commands.AddMember: result.Ok(commands.MemberChanged(True))}
        status, _, _ = self.call(answers, "POST", "/v1/state/members", body)
        self.assertEqual(status, expected)

    def test_snapshot_is_saved_and_restored_with_its_digest(self) -> None:
        data = saved()
        answers = {
            queries.SaveState: result.Ok(queries.SavedState(data)),
            commands.RestoreState: result.Ok(
                commands.Restored(True, snapshot.digest(data))
            ),
        }
        status, headers, body = self.call(answers, "GET", "/v1/state/snapshot")
        self.assertEqual((status, body), (200, data))
        digest = headers["X-Snapshot-Digest"]
        status, _, body = self.call(answers, "POST", "/v1/state/snapshot", data)
        self.assertEqual((status, json.loads(body)), (200, {"digest": digest}))

    @tools.params(0, 40, -1)
    def test_damaged_snapshot_is_refused_and_not_submitted(self, position: int) -> None:
        data = bytearray(saved())
        data[position] ^= 1
        status, _, body = self.call({}, "POST", "/v1/state/snapshot", bytes(data))
        self.assertEqual(status, 422)
        self.assertEqual(json.loads(body)["reason"], "snapshot-invalid")
        self.assertEqual(self.state.received, [])
