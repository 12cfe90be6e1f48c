"""The adapter: settings, configurations, and bad input on each of its interfaces."""

import base64
import json
import pathlib
import subprocess
import sys
import tomllib
import unittest

import attrs
import result
from nose2 import tools

from bilberrydrum import clock, options, reasons, upstream_protocol
from bilberrydrum.batches import messages as batch_messages
from bilberrydrum.batches import model as batch_model
from bilberrydrum.fleet import messages, policy
from bilberrydrum.http import edge
from bilberrydrum.nodes import options as node_options
from bilberrydrum.relay import model as relay_model
from bilberrydrum.state import client
from tests.fakes import wsgi

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from bilberrydrum_platform import (  # noqa: E402
    client_calls,
    control_calls,
    policies,
    settings,
    upstreams,
)

SETTINGS = """
node_name = "core-b-1"
role = "control"
serves = ["control_plane"]
ip = "10.2.0.7"
zone = "b"
internal_ports = [7300,7315]
seeds = ["10.1.0.4:8262","10.2.0.7:8262"]
bootstrap = true
data_dir = "/data/x"
heartbeat_ms = 1200
[listen]
control_plane = "10.2.0.7:8262"
[limits]
max_fds = 4100
[fault_tolerance]
machines = 2
[bounds]
retention_s = 120
fencing_enforced = true
lease_ms = 3000
grace_s = 8
"""


class Folder(unittest.TestCase):
    def test_standard_module_is_not_shadowed(self):
        """A package at the root with this name would break whoever imports it."""
        code = "import platform; print(platform.python_version())"
        done = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=False
        )
        self.assertEqual(done.returncode, 0, done.stderr)


class Settings(unittest.TestCase):
    def read(self, **changes):
        document = tomllib.loads(SETTINGS)
        document.update(changes)
        return settings.decode(document)

    def test_control(self):
        read = self.read()
        self.assertIs(read.role, node_options.Role.CONTROL)
        self.assertEqual(read.control_address, "10.2.0.7:7300")
        self.assertEqual(read.seed_addresses, ("10.1.0.4:7300", "10.2.0.7:7300"))
        self.assertEqual((read.n_voters(), read.announce_seconds), (5, 1.2))
        self.assertTrue(read.is_first_start)

    @tools.params(("frontend", 7302), ("storage", 7304))
    def test_processes_on_one_machine_share_no_port(self, served, port):
        read = self.read(serves=[served])
        self.assertEqual(read.control_address, f"10.2.0.7:{port}")
        self.assertEqual(read.store_address, f"10.2.0.7:{port + 1}")

    def test_not_the_first_start(self):
        document = tomllib.loads(SETTINGS)
        del document["bootstrap"]
        self.assertFalse(settings.decode(document).is_first_start)


ROUTE = {
    "name": "r",
    "host": "h.example",
    "path_prefix": "/a/",
    "type": "idempotent",
    "timeout_ms": 2000,
    "slo_ms": 191,
    "priority": 2,
    "service": "s",
    "max_attempts": 2,
}
BATCH_ROUTE = {
    **ROUTE,
    "name": "b",
    "path_prefix": "/b/",
    "type": "generation",
    "max_queue_s": 40.0,
    "result_deadline_ms": 7500,
    "single_version": True,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE, BATCH_ROUTE],
    "services": [
        {"name": "s", "engine": {"kv_capacity": 99, "models": [{"name": "m"}]}}
    ],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
}


def without(document, name):
    return {key: value for key, value in document.items() if key != name}


class Configuration(unittest.TestCase):
    def test_decoded(self):
        decoded = policies.decode(json.dumps(CONFIGURATION).encode())
        plain, batches = decoded.routes
        self.assertIs(plain.kind, policy.RouteKind.IDEMPOTENT)
        self.assertEqual(plain.timeout_seconds, 2.0)
        self.assertEqual(plain.target_latency_seconds, 0.191)
        self.assertIs(batches.kind, policy.RouteKind.BATCH)
        self.assertTrue(batches.is_single_version)
        self.assertEqual(batches.max_queue_seconds, 40.0)
        self.assertEqual(decoded.services[0].models, ("m",))
        self.assertEqual(decoded.limits.idle_timeout_seconds, 15.0)

    def test_split(self):
        split = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
        entry = {**without(ROUTE, "service"), "split": split}
        body = json.dumps({**CONFIGURATION, "routes": [entry]}).encode()
        shares = policies.decode(body).routes[0].shares
        self.assertEqual(
            [(e.service, e.weight) for e in shares], [("s", 90), ("t", 10)]
        )

    @tools.params(
        ("cut short", json.dumps(CONFIGURATION).encode()[:-9]),
        ("not an object", b"[]"),
        ("no version", json.dumps(without(CONFIGURATION, "version")).encode()),
        ("version is text", json.dumps({**CONFIGURATION, "version": "7"}).encode()),
        ("version is true", json.dumps({**CONFIGURATION, "version": True}).encode()),
        ("routes are none", json.dumps({**CONFIGURATION, "routes": None}).encode()),
        ("no services", json.dumps(without(CONFIGURATION, "services")).encode()),
        (
            "unknown type",
            json.dumps({**CONFIGURATION, "routes": [{**ROUTE, "type": "x"}]}).encode(),
        ),
        (
            "no service",
            json.dumps(
                {**CONFIGURATION, "routes": [without(ROUTE, "service")]}
            ).encode(),
        ),
    )
    def test_unreadable(self, name, body):
        with self.assertRaises(policies.PolicyError, msg=name):
            policies.decode(body)


class Calls:
    """Stands for the way to a group's leader."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []

    def call(self, message, timeout, try_seconds=0.0, request_id=""):
        self.asked.append(message)
        return self.answers.pop(0)


def lost(may_have_applied=True):
    reason = reasons.Reason.STATE_UNAVAILABLE
    return result.Err(client.StateError(reason, may_have_applied))


class Node:
    """Stands for a control process or a gateway."""

    def __init__(self, *answers):
        self.calls = self.store_calls = Calls(*answers)
        self.view = View()
        self.relay = self
        self.inbound = []
        self.relayed = relay_model.Answered(200, (), b"ok")

    def is_ready(self):
        return True

    def find_route(self, request_id, host, path):
        found = self.view.routes.find(host, path)
        return found or relay_model.Refused(reasons.Reason.NOT_FOUND, False)

    def handle(self, inbound, route):
        self.inbound.append(inbound)
        return self.relayed


class View:
    has_policy = True
    routes = policy.RouteTable(policies.decode(json.dumps(CONFIGURATION).encode()))


ANNOUNCED = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "cold_remaining_ms": 0,
    "models": [{"name": "m", "version": 4, "adapters": []}],
    "seq": 3,
}
BEAT = "/api/instances/i-1/heartbeat"
PUT = "/api/config/replace"
DONE = result.Ok(messages.Done())
NO = result.Ok(messages.Retirement(is_known=False))
REFUSED = result.Ok(messages.Retirement(is_refused=True))
ACTIVE = result.Ok(messages.Retirement())
FINISHED = result.Ok(messages.Retirement(is_done=True))
READ = result.Ok(messages.PolicyDocument(7, b"{}"))
NONE_YET = result.Ok(messages.PolicyDocument(0, b""))


def call(app, method, path, body, headers=None):
    return wsgi.send(app, method, path, body, headers).wait()


def dumped(value):
    return value if isinstance(value, bytes) else json.dumps(value).encode()


class ControlInterface(unittest.TestCase):
    """Each call's status for good input, bad input, and an unreachable leader."""

    @tools.params(
        ("announced", "POST", BEAT, ANNOUNCED, DONE, 200),
        ("no leader", "POST", BEAT, ANNOUNCED, lost(), 503),
        ("not JSON", "POST", BEAT, b"{", None, 400),
        ("a list", "POST", BEAT, [], None, 400),
        ("no number", "POST", BEAT, without(ANNOUNCED, "seq"), None, 400),
        ("slots are text", "POST", BEAT, {**ANNOUNCED, "slots": "x"}, None, 400),
        ("models are a number", "POST", BEAT, {**ANNOUNCED, "models": 3}, None, 400),
        ("left", "POST", "/api/instances/i-1/deregister", b"", DONE, 200),
        ("taken", "POST", PUT, CONFIGURATION, DONE, 200),
        ("taken or not", "POST", PUT, CONFIGURATION, lost(), 503),
        ("cut short", "POST", PUT, dumped(CONFIGURATION)[:-3], None, 400),
        (
            "no timeout",
            "POST",
            PUT,
            {**CONFIGURATION, "routes": [{**ROUTE, "timeout_ms": 0}]},
            None,
            400,
        ),
        (
            "unknown service",
            "POST",
            PUT,
            {**CONFIGURATION, "routes": [{**ROUTE, "service": "t"}]},
            None,
            400,
        ),
        ("read", "GET", "/api/config/read", b"", READ, 200),
        ("nothing yet", "GET", "/api/config/read", b"", NONE_YET, 503),
        ("not sure", "GET", "/api/config/read", b"", lost(), 503),
        ("named", "POST", "/api/version-put", {"model": "m", "version": 2}, DONE, 200),
        ("no number", "POST", "/api/version-put", {"model": "m"}, None, 400),
        ("emptied", "POST", "/api/retire/s-1/begin", {"duration_s": 9}, ACTIVE, 200),
        ("unknown", "POST", "/api/retire/s-1/begin", {}, NO, 404),
        ("too few left", "POST", "/api/retire/s-1/begin", {}, REFUSED, 409),
        ("not sure", "POST", "/api/retire/s-1/begin", {}, lost(), 503),
        ("how far", "GET", "/api/retire/s-1/read", b"", ACTIVE, 200),
        ("nobody's", "GET", "/api/retire/s-1/read", b"", NO, 404),
        ("no such call", "GET", "/api/other", b"", None, 404),
        ("wrong method", "GET", PUT, b"", None, 405),
    )
    def test_status(self, name, method, path, body, answer, status):
        node = Node(answer)
        app = edge.Edge(options.LimitOptions(), {})
        control_calls.ControlCalls(node).add_routes(app)
        given = call(app, method, path, dumped(body))
        self.assertEqual(given.status, status, (name, given.body))
        self.assertEqual(len(node.calls.asked), 0 if answer is None else 1, name)

    def test_announcement_is_translated(self):
        node = Node(DONE)
        app = edge.Edge(options.LimitOptions(), {})
        control_calls.ControlCalls(node).add_routes(app)
        leaving = {**ANNOUNCED, "state": "draining"}
        call(app, "POST", BEAT, dumped(leaving))
        upstream = node.calls.asked[0].upstream
        self.assertEqual(upstream.upstream_id, "i-1")
        self.assertEqual((upstream.is_leaving, upstream.sequence), (True, 3))
        self.assertEqual(upstream.versions_by_model, {"m": 4})

    @tools.params((ACTIVE, "active"), (FINISHED, "completed"))
    def test_state_of_an_emptied_store(self, answer, state):
        app = edge.Edge(options.LimitOptions(), {})
        control_calls.ControlCalls(Node(answer)).add_routes(app)
        given = call(app, "GET", "/api/retire/s-1/read", b"")
        self.assertEqual(json.loads(given.body), {"state": state})


ITEM = {
    "id": "i1",
    "path": "/b/3/x",
    "headers": {"X-Token-Count": "540,400", "X-Length-Hint": "120"},
    "body": base64.b64encode(b"bytes").decode(),
    "tokens": 940,
    "group": "g",
}
SCORER = {
    "id": "s1",
    "host": "h.example:80",
    "path": "/a/x?q=%41",
    "body": base64.b64encode(b"mark").decode(),
}
SCORED_ITEM = {**ITEM, "scorer": SCORER}
BATCH = {"step": 7, "model": "m", "min_version": 6, "desired": 1, "requests": [ITEM]}
KEPT = result.Ok(batch_messages.Submitted())
RESULT = batch_model.Result.of("i1", batch_model.ItemState.COMPLETED, b"a\nb", (6, 7))
PAGE = result.Ok(batch_messages.Page(True, 3, (RESULT,)))
UNKNOWN_PAGE = result.Ok(batch_messages.Page(False))
BODY = result.Ok(batch_messages.Body(True, b"bytes"))
NO_BODY = result.Ok(batch_messages.Body(False))
ENDED = result.Ok(batch_messages.EndTaken(True))
NOT_ENDED = result.Ok(batch_messages.EndTaken(False))


class ClientInterface(unittest.TestCase):
    """Each call's status for good input, bad input, and unreachable stores."""

    def call(self, node, method, path, body, headers=()):
        clients = client_calls.ClientCalls(node)
        app = edge.Edge(options.LimitOptions(), {}, fallback=clients.serve)
        clients.add_routes(app)
        names = {"Host": "h.example:80", "X-Attempt-Id": "b1", **dict(headers)}
        return call(app, method, path, dumped(body), names)

    @tools.params(
        ("kept", "POST", "/b/1", BATCH, KEPT, 202),
        ("not kept", "POST", "/b/1", BATCH, lost(False), 503),
        ("kept or not", "POST", "/b/1", BATCH, lost(), 502),
        ("not JSON", "POST", "/b/1", b"{", None, 400),
        ("no items", "POST", "/b/1", {**BATCH, "requests": []}, None, 400),
        ("items are text", "POST", "/b/1", {**BATCH, "requests": "x"}, None, 400),
        (
            "twice the same id",
            "POST",
            "/b/1",
            {**BATCH, "requests": [ITEM, ITEM]},
            None,
            400,
        ),
        (
            "not base64",
            "POST",
            "/b/1",
            {**BATCH, "requests": [{**ITEM, "body": "*"}]},
            None,
            400,
        ),
        (
            "no path",
            "POST",
            "/b/1",
            {**BATCH, "requests": [without(ITEM, "path")]},
            None,
            400,
        ),
        (
            "headers are a list",
            "POST",
            "/b/1",
            {**BATCH, "requests": [{**ITEM, "headers": []}]},
            None,
            400,
        ),
        ("read", "GET", "/api/lots/b1?after=2", b"", PAGE, 200),
        ("no such batch", "GET", "/api/lots/b1", b"", UNKNOWN_PAGE, 404),
        ("not sure", "GET", "/api/lots/b1", b"", lost(), 503),
        ("not a position", "GET", "/api/lots/b1?after=x", b"", None, 400),
        ("body", "GET", "/api/items/b1?id=i1", b"", BODY, 200),
        ("no body", "GET", "/api/items/b1?id=i1", b"", NO_BODY, 404),
        ("body, not sure", "GET", "/api/items/b1?id=i1", b"", lost(), 503),
        ("ended", "DELETE", "/api/lots/b1", b"", ENDED, 200),
        ("nothing to end", "DELETE", "/api/lots/b1", b"", NOT_ENDED, 404),
        ("ended or not", "DELETE", "/api/lots/b1", b"", lost(), 503),
        ("relayed", "POST", "/a/1", b"x", None, 200),
        ("no route", "POST", "/c/1", b"x", None, 404),
    )
    def test_status(self, name, method, path, body, answer, status):
        node = Node(answer)
        given = self.call(node, method, path, body)
        self.assertEqual(given.status, status, (name, given.body))
        self.assertEqual(len(node.calls.asked), 0 if answer is None else 1, name)

    def test_batch_is_translated(self):
        node = Node(KEPT)
        self.call(node, "POST", "/b/1", BATCH)
        kept = batch_model.unpack_batch(node.calls.asked[0].data)
        self.assertEqual((kept.batch_id, kept.host), ("b1", "h.example"))
        self.assertEqual((kept.step, kept.min_version), (7, 6))
        item = kept.items[0]
        self.assertEqual((item.body, item.target), (b"bytes", "/b/3/x"))
        self.assertEqual(item.n_expected_tokens, 660)

    def test_scoring_request_is_translated(self):
        node = Node(KEPT)
        self.call(node, "POST", "/b/1", {**BATCH, "requests": [SCORED_ITEM]})
        kept = batch_model.unpack_batch(node.calls.asked[0].data)
        expected = batch_model.ScoringRequest("s1", "h.example", "/a/x?q=%41", b"mark")
        self.assertEqual(kept.items[0].scoring, expected)

    @tools.params(
        ("not an object", "x", "requests[1].scorer: not an object"),
        ("no id", without(SCORER, "id"), "requests[1].scorer.id: not a text"),
        ("no host", without(SCORER, "host"), "requests[1].scorer.host: not a text"),
        ("id is a number", {**SCORER, "id": 7}, "requests[1].scorer.id: not a text"),
        (
            "path without a slash",
            {**SCORER, "path": "a/x"},
            "requests[1].scorer.path: does not begin with a slash",
        ),
        (
            "path with a line end",
            {**SCORER, "path": "/a HTTP/1.1\r\nX: y"},
            "requests[1].scorer.path: has blanks or control characters",
        ),
        ("body", {**SCORER, "body": "*"}, "requests[1].scorer.body: not base64"),
        (
            "body is null",
            {**SCORER, "body": None},
            "requests[1].scorer.body: not base64",
        ),
        ("twice the same id", SCORER, "scorer: the same id twice"),
    )
    def test_unreadable_scoring_request(self, name, scorer, expected):
        """One of two items names a scoring request that cannot be made.

        Kept, the batch could never be whole; the submitter is told where and why, and
        nothing of the batch is kept.
        """
        node = Node()
        items = [SCORED_ITEM, {**ITEM, "id": "i2", "scorer": scorer}]
        given = self.call(node, "POST", "/b/1", {**BATCH, "requests": items})
        self.assertEqual(given.status, 400, name)
        self.assertIn(expected, given.body.decode())
        self.assertEqual(node.calls.asked, [])

    def test_headers_that_would_end_a_line(self):
        node = Node()
        item = {**ITEM, "headers": {"X-A": "b\r\nX-C: d"}}
        given = self.call(node, "POST", "/b/1", {**BATCH, "requests": [item]})
        self.assertEqual(given.status, 400)

    def test_score_is_translated(self):
        scored = attrs.evolve(RESULT, score="mark")
        page = result.Ok(batch_messages.Page(True, 3, (scored, RESULT)))
        given = self.call(Node(page), "GET", "/api/lots/b1", b"")
        entries = json.loads(given.body)["results"]
        self.assertEqual([e.get("score") for e in entries], ["mark", None])

    def test_results_are_translated(self):
        given = self.call(Node(PAGE), "GET", "/api/lots/b1?after=2", b"")
        entry = {"id": "i1", "state": "completed", "text": "a\nb", "versions": [6, 7]}
        expected = {"total": 3, "next_token": 3, "results": [entry]}
        self.assertEqual(json.loads(given.body), expected)

    def test_request_is_passed_on_as_it_came(self):
        node = Node()
        headers = {
            "X-Deadline-Ms": "1500",
            "X-Other": "1",
            "Connection": "keep-alive, X-Hop",
            "X-Hop": "1",
        }
        self.call(node, "POST", "/a/b%20c?q=%41", b"\x00x", headers)
        inbound = node.inbound[0]
        self.assertEqual(inbound.target, "/a/b%20c?q=%41")
        self.assertEqual((inbound.body, inbound.request_id), (b"\x00x", "b1"))
        self.assertAlmostEqual(inbound.deadline - clock.now(), 1.5, delta=0.5)
        self.assertIn("X-Other", inbound.headers)
        self.assertNotIn("X-Hop", inbound.headers)

    @tools.params(
        ("not run", (False, 0.2, False), 503, "0.200"),
        ("time is up, not run", (False, 0.2, True), 503, "0.200"),
        ("may have run", (True, 0.0, False), 502, None),
        ("time is up", (True, 0.0, True), 504, None),
    )
    def test_refusals(self, name, refused, status, retry_after):
        node = Node()
        node.relayed = relay_model.Refused(reasons.Reason.NO_UPSTREAM, *refused)
        given = self.call(node, "POST", "/a/1", b"x")
        headers = given.headers
        self.assertEqual(given.status, status, name)
        self.assertEqual(headers.get("Retry-After"), retry_after)


class UpstreamWords(unittest.TestCase):
    """What is put on a request, and what an answer's headers say."""

    PROTOCOL = upstreams.PlatformProtocol()

    def test_attempt(self):
        attempt = upstream_protocol.Attempt("r", "i-1", 1.2345, last_event_number=4)
        sent = self.PROTOCOL.relay_headers(
            {"X-Deadline-Ms": "9", "x-expect-instance": "other", "X-Model": "m"},
            attempt,
        )
        expected = {
            "X-Model": "m",
            "X-Attempt-Id": "r",
            "X-Expect-Instance": "i-1",
            "X-Deadline-Ms": "1234",
            "Last-Event-Id": "4",
        }
        self.assertEqual(sent, expected)

    @tools.params(
        ("load", {"X-Instance-Load": "3,1,8"}, ("n_running", 3)),
        ("waiting", {"X-Instance-Load": "3,1,8"}, ("n_waiting", 1)),
        ("damaged load", {"X-Instance-Load": "3,x"}, ("n_running", None)),
        ("version", {"x-weight-versions": "7"}, ("version", 7)),
        ("damaged version", {"X-Weight-Versions": "a"}, ("version", None)),
        ("not run", {"X-Not-Executed": "1"}, ("was_not_run", True)),
        ("stamp", {"X-Server-Stamp": "s"}, ("is_genuine", True)),
        ("no stamp", {}, ("is_genuine", False)),
    )
    def test_head(self, name, headers, expected):
        head = self.PROTOCOL.read_head(headers)
        self.assertEqual(getattr(head, expected[0]), expected[1], name)

    @tools.params(b"", b"{", b"[]", b'{"busy": false}', b'{"models": 3}')
    def test_unreadable_report(self, body):
        self.assertIsNone(self.PROTOCOL.read_report(body))
