"""The HTTP interface of upstreams over real registries of one or two gateways."""

import json
import unittest

import eventlet
from nose2 import tools

from bilberrydrum import counters, interfaces, options, reasons, transport
from bilberrydrum.http import edge, upstreams
from bilberrydrum.upstreams import messages, registry
from tests import helpers
from tests.fakes import wsgi

ENGINE = {
    "kind": "engine",
    "address": "127.0.0.1:9000",
    "availability_zone": "Callao",
    "models": {"planner": {"weight_version": 3, "loaded_versions": [3, 4]}},
}
APPLICATION = {
    "kind": "application",
    "address": "127.0.0.1:9001",
    "application": "schedule",
}


class Bundles:
    def __init__(self, gateways_by_id):
        self.gateways = gateways_by_id

    def gateways_by_id(self):
        return self.gateways


class Gateway:
    """One registry with its HTTP interface."""

    def __init__(self, name, gateways_by_id):
        own = gateways_by_id[name]
        self.transport = transport.Transport(name, "main", own.peer_address)
        self.transport.incarnation = 1
        self.options = options.Options(name)
        self.registry = registry.UpstreamRegistry(
            self.options, self.transport, Bundles(gateways_by_id)
        )
        self.edge = edge.Edge(self.options.limits, {edge.GUARD_OPERATOR: b"secret"})
        upstreams.add_routes(self.edge, self.options, self.registry)
        self.is_client_gone = False

    def start(self):
        self.transport.start()
        self.registry.start()

    def stop(self):
        self.registry.stop()
        self.transport.stop()

    def call(self, method, path, body=None, token="secret"):
        data = body if isinstance(body, bytes) else json.dumps(body or {}).encode()
        environ = wsgi.environ_of(method, f"/v1/upstreams{path}", data, token)
        answer = wsgi.call(self.edge, {**environ, "eventlet.input": self})
        return answer.status, answer.document

    # The connection of the request, as the edge checks it.

    def get_socket(self):
        return self

    def fileno(self):
        return self.sockets[1].fileno()

    def recv(self, n_bytes, flags):
        return b"" if self.is_client_gone else b"x"

    sockets = eventlet.patcher.original("socket").socketpair()


def gateways(*names):
    return {
        name: interfaces.Gateway(
            name, f"127.0.0.1:{helpers.free_port()}", name, "region", 1
        )
        for name in names
    }


def refusals(reason):
    return counters.REFUSALS.labels(reason.value)._value.get()


class Announcements(unittest.TestCase):
    def setUp(self):
        self.gateway = Gateway("gw-0", gateways("gw-0"))
        self.gateway.start()
        self.addCleanup(self.gateway.stop)

    def listed(self):
        return dict(self.gateway.registry.upstreams_by_id())

    def test_an_engine_and_an_application(self):
        status, answer = self.gateway.call("PUT", "/e0", ENGINE)
        self.assertEqual((200, 2.0, 0.5), (status, *answer.values()))
        self.gateway.call("PUT", "/a0", APPLICATION)
        listed = self.listed()
        self.assertEqual((3, 4), listed["e0"].models["planner"].loaded_versions)
        self.assertEqual("schedule", listed["a0"].application)

    @tools.params(
        ("no JSON", "/e0", b"{", "invalid-json", ""),
        ("a list", "/e0", b"[]", "invalid-json", ""),
        ("nothing", "/e0", {}, "invalid-request", "kind"),
        ("an id with a slash", "/a%2Fb", ENGINE, "invalid-request", "id"),
        ("an id too long", "/" + "x" * 200, ENGINE, "invalid-request", "id"),
        ("a kind unknown", "/e0", {"kind": "disk"}, "invalid-request", "kind"),
        ("a name for address", "/e0", {"address": "host:1"}, None, "address"),
        ("a port too large", "/e0", {"address": "127.0.0.1:99999"}, None, "address"),
        ("no port", "/e0", {"address": "127.0.0.1"}, None, "address"),
        ("no room", "/e0", {"max_concurrency": 0}, None, "max_concurrency"),
        ("a flag as number", "/e0", {"checks_fencing": 1}, None, "checks_fencing"),
        ("models as list", "/e0", {"models": []}, None, "models"),
        ("a model as text", "/e0", {"models": {"planner": "3"}}, None, "models.plan"),
        (
            "a version below 0",
            "/e0",
            {"models": {"planner": {"weight_version": -1}}},
            None,
            "models.planner.weight_version",
        ),
        ("a load not finite", "/e0", b'{"load": {"kv_cache_used": NaN}}', None, "load"),
        ("a load too large", "/e0", {"load": {"kv_cache_used": 1.5}}, None, "load"),
        ("an incarnation as text", "/e0", {"incarnation": "1"}, None, "incarnation"),
        ("an application without name", "/e0", {"kind": "application"}, None, "appl"),
    )
    def test_a_bad_announcement_changes_nothing(self, case, path, body, reason, field):
        """It is refused with every finding and counted, and the list is unchanged."""
        self.gateway.call("PUT", "/e0", ENGINE)
        before = self.listed()
        reason = reasons.Reason(reason or "invalid-request")
        n_refused = refusals(reason)
        if isinstance(body, dict) and reason == reasons.Reason.INVALID_REQUEST and body:
            body = {**ENGINE, **body}
        status, answer = self.gateway.call("PUT", path, body)
        self.assertEqual((400, reason.value), (status, answer["reason"]), case)
        fields = [finding["field"] for finding in answer["findings"]]
        self.assertTrue(any(name.startswith(field) for name in fields) or not field)
        self.assertEqual(n_refused + 1, refusals(reason))
        self.assertEqual(before, self.listed())

    def test_all_findings_come_together(self):
        body = {"kind": "engine", "address": "x", "max_concurrency": "8", "load": 3}
        _, answer = self.gateway.call("PUT", "/e0", body)
        fields = {finding["field"] for finding in answer["findings"]}
        self.assertEqual({"address", "max_concurrency", "load"}, fields)

    @tools.params(
        ("/e9/renew", {}, 404, "not-found"),
        ("/e9/leave", {}, 404, "not-found"),
        ("/e0/renew", {"load": {"n_running": "1"}}, 400, "invalid-request"),
        ("/e0/cache-events", {"events": []}, 400, "invalid-request"),
        ("/e0/cache-events", {"sequence": 1, "events": [4]}, 400, "invalid-request"),
        (
            "/e0/cache-events",
            {"sequence": 1, "events": [{"kind": "stored", "prefix": "xyz"}]},
            400,
            "invalid-request",
        ),
    )
    def test_other_bad_requests(self, path, body, status, reason):
        self.gateway.call("PUT", "/e0", ENGINE)
        got, answer = self.gateway.call("POST", path, body)
        self.assertEqual((status, reason), (got, answer["reason"]))
        self.assertEqual({"e0"}, set(self.listed()))

    def test_a_request_whose_client_has_disconnected_is_refused(self):
        """A gateway was paused; an upstream's renewal waits in its socket, and the
        upstream has long closed the connection. Read when the gateway resumes, the
        renewal must not list the upstream for another lease.
        """
        self.gateway.is_client_gone = True
        self.gateway.sockets[0].send(b"x")
        self.addCleanup(self.gateway.sockets[1].recv, 1)
        for method, path, body in (
            ("PUT", "/e0", ENGINE),
            ("POST", "/e0/renew", {}),
        ):
            status, answer = self.gateway.call(method, path, body)
            self.assertEqual((400, "caller-gone"), (status, answer["reason"]))
        self.assertEqual({}, self.listed())

    def test_drain_and_undrain(self):
        self.gateway.call("PUT", "/e0", ENGINE)
        self.assertEqual(200, self.gateway.call("POST", "/e0/drain")[0])
        self.assertEqual({}, self.listed())
        _, answer = self.gateway.call("GET", "")
        self.assertTrue(answer["upstreams"][0]["is_drained"])
        self.assertEqual(200, self.gateway.call("DELETE", "/e0/drain")[0])
        self.assertEqual({"e0"}, set(self.listed()))
        self.assertEqual(401, self.gateway.call("POST", "/e0/drain", token="no")[0])
        self.assertEqual(404, self.gateway.call("POST", "/e9/drain")[0])

    def test_cache_events_become_hints(self):
        self.gateway.call("PUT", "/e0", ENGINE)
        prefix = "0123456789abcdef"
        events = [{"kind": "stored", "prefix": prefix}]
        self.gateway.call("POST", "/e0/cache-events", {"sequence": 1, "events": events})
        self.assertEqual({"e0"}, self.gateway.registry.prefix_holders(prefix))


class TwoGateways(unittest.TestCase):
    def setUp(self):
        known = gateways("gw-0", "gw-1")
        self.first, self.second = (Gateway(name, known) for name in known)

    def start(self, *started):
        for gateway in started:
            gateway.start()
            self.addCleanup(gateway.stop)

    def test_a_leave_is_answered_once_the_other_knows(self):
        self.start(self.first, self.second)
        self.first.call("PUT", "/e0", ENGINE)
        with eventlet.Timeout(5.0):
            while "e0" not in self.second.registry.upstreams_by_id():
                eventlet.sleep(0.01)
        status, _ = self.first.call("POST", "/e0/leave")
        self.assertEqual(200, status)
        self.assertEqual({}, dict(self.second.registry.upstreams_by_id()))

    def test_a_malformed_message_does_not_end_the_task(self):
        """A faulty release sends columns of unequal length: the message must be dropped
        and counted, and the gateway must continue to answer.
        """
        self.start(self.first, self.second)
        self.first.call("PUT", "/e0", ENGINE)
        dropped = counters.DROPS.labels("message-damaged")._value
        n_dropped = dropped.get()
        bad = messages.Relayed(0, 1, 0, True, 0, loads=messages.Loads(homes=("x",)))
        self.second.transport.send(self.first.transport.address, bad)
        with eventlet.Timeout(5.0):
            while dropped.get() == n_dropped:
                eventlet.sleep(0.01)
        with eventlet.Timeout(5.0):
            status, _ = self.first.call("POST", "/e0/renew")
        self.assertEqual(200, status)

    def test_before_its_start_a_gateway_refuses(self):
        """The process is not registered, so it has no incarnation for its messages."""
        status, answer = self.first.call("PUT", "/e0", ENGINE)
        self.assertEqual((503, "state-unavailable"), (status, answer["reason"]))
        self.assertEqual({}, dict(self.first.registry.upstreams_by_id()))
