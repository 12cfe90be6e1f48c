"""The platform adapter: settings, configurations, and invalid input to its calls."""

import json
import pathlib
import random
import subprocess
import sys
import tomllib
import unittest

import result
from nose2 import tools

from bilberrydrum import options, reasons
from bilberrydrum.fleet import messages, policy, policy_lease
from bilberrydrum.http import edge
from bilberrydrum.nodes import options as node_options
from bilberrydrum.relay import callers
from bilberrydrum.relay import model as relay_model
from bilberrydrum.state import client
from tests.fakes import wsgi

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from bilberrydrum_platform import (  # noqa: E402
    control_calls,
    policies,
    settings,
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


class StandardModule(unittest.TestCase):
    def test_standard_module_is_not_shadowed(self):
        """Importing `platform` from the root still gives the standard library's module.

        The folder `platform` has no `__init__.py`. As a package it would take
        precedence, and each module that imports the standard one would fail.
        """
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
    """Fake of the calls to a group's leader; it returns the given answers in order."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.messages = []

    def call(self, message, timeout, attempt_seconds=0.0, request_id=""):
        self.messages.append(message)
        return self.answers.pop(0)


def state_error(may_have_applied=True):
    reason = reasons.Reason.STATE_UNAVAILABLE
    return result.Err(client.StateError(reason, may_have_applied))


class Node:
    """Fake of a control process or a gateway."""

    def __init__(self, *answers):
        self.calls = self.store_calls = Calls(*answers)
        self.view = View()
        self.callers = callers.Callers(self.view, random.Random(1))
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

    def __init__(self, document=CONFIGURATION):
        self.policy_lease = policy_lease.PolicyLease()
        self.routes = policy.RouteTable(policies.decode(json.dumps(document).encode()))
        self.is_confirmed = True

    def is_policy_confirmed(self):
        return self.is_confirmed

    def confirm(self, timeout):
        return self.is_confirmed


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
HEARTBEAT = "/api/instances/i-1/heartbeat"
PUT = "/api/config/replace"
DONE = result.Ok(messages.Done())
UNKNOWN = result.Ok(messages.Retirement(is_known=False))
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
    """The status of each call for valid input, invalid input, and without a leader."""

    @tools.params(
        ("announced", "POST", HEARTBEAT, ANNOUNCED, DONE, 200),
        ("no leader", "POST", HEARTBEAT, ANNOUNCED, state_error(), 503),
        ("not JSON", "POST", HEARTBEAT, b"{", None, 400),
        ("a list", "POST", HEARTBEAT, [], None, 400),
        ("no number", "POST", HEARTBEAT, without(ANNOUNCED, "seq"), None, 400),
        ("slots are text", "POST", HEARTBEAT, {**ANNOUNCED, "slots": "x"}, None, 400),
        (
            "models are a number",
            "POST",
            HEARTBEAT,
            {**ANNOUNCED, "models": 3},
            None,
            400,
        ),
        ("departed", "POST", "/api/instances/i-1/deregister", b"", DONE, 200),
        ("accepted", "POST", PUT, CONFIGURATION, DONE, 200),
        ("outcome unknown", "POST", PUT, CONFIGURATION, state_error(), 503),
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
        ("no leader to read from", "GET", "/api/config/read", b"", state_error(), 503),
        (
            "version published",
            "POST",
            "/api/version-put",
            {"model": "m", "version": 2},
            DONE,
            200,
        ),
        ("no number", "POST", "/api/version-put", {"model": "m"}, None, 400),
        (
            "retirement begun",
            "POST",
            "/api/retire/s-1/begin",
            {"duration_s": 9},
            ACTIVE,
            200,
        ),
        ("unknown", "POST", "/api/retire/s-1/begin", {}, UNKNOWN, 404),
        ("too few left", "POST", "/api/retire/s-1/begin", {}, REFUSED, 409),
        ("retirement unknown", "POST", "/api/retire/s-1/begin", {}, state_error(), 503),
        ("how far it is", "GET", "/api/retire/s-1/read", b"", ACTIVE, 200),
        ("no such store", "GET", "/api/retire/s-1/read", b"", UNKNOWN, 404),
        ("no such call", "GET", "/api/other", b"", None, 404),
        ("wrong method", "GET", PUT, b"", None, 405),
    )
    def test_status(self, name, method, path, body, answer, status):
        node = Node(answer)
        app = edge.Edge(options.LimitOptions(), {})
        control_calls.ControlCalls(node).add_routes(app)
        given = call(app, method, path, dumped(body))
        self.assertEqual(given.status, status, (name, given.body))
        self.assertEqual(len(node.calls.messages), 0 if answer is None else 1, name)

    def test_announcement_is_translated(self):
        node = Node(DONE)
        app = edge.Edge(options.LimitOptions(), {})
        control_calls.ControlCalls(node).add_routes(app)
        leaving = {**ANNOUNCED, "state": "draining"}
        call(app, "POST", HEARTBEAT, dumped(leaving))
        upstream = node.calls.messages[0].upstream
        self.assertEqual(upstream.upstream_id, "i-1")
        self.assertEqual((upstream.is_leaving, upstream.sequence), (True, 3))
        self.assertEqual(upstream.versions_by_model, {"m": 4})

    @tools.params((ACTIVE, "active"), (FINISHED, "completed"))
    def test_state_of_a_retired_store(self, answer, state):
        app = edge.Edge(options.LimitOptions(), {})
        control_calls.ControlCalls(Node(answer)).add_routes(app)
        given = call(app, "GET", "/api/retire/s-1/read", b"")
        self.assertEqual(json.loads(given.body), {"state": state})
