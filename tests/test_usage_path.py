"""Keys and usage reports over real sockets: gateway, control process and receiver."""

import json
import tempfile
import unittest

import attrs
import eventlet

from bilberrydrum import clock, reasons
from bilberrydrum.fleet import accounts, messages, model, policy
from bilberrydrum.nodes import control, gateway, options
from bilberrydrum.relay import model as relay_model
from bilberrydrum.usage import model as usage_model
from tests import helpers, test_nodes_path
from tests.fakes import node_protocol, receiver, scripted

WINDOW_SECONDS = 1.0
ACCOUNTS = (
    accounts.Account("acme", (accounts.digest_of("key-a"),)),
    accounts.Account("beta", (accounts.digest_of("key-b"),)),
)


class Path(unittest.TestCase):
    def setUp(self):
        self.reports = []
        self.receiver_server = scripted.Scripted(self.handle_report, kind="receiver")
        self.addCleanup(self.receiver_server.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.control_address = f"127.0.0.1:{helpers.free_port()}"
        node = self.options(options.Role.CONTROL, folder.name)
        self.control = control.Control(node, receiver.PlainReports())
        node = self.options(options.Role.GATEWAY, "")
        self.gateway = gateway.Gateway(node, node_protocol.PlainProtocol())
        for each in (self.control, self.gateway):
            each.start()
        self.is_stopped = False
        self.addCleanup(self.control.stop)
        self.addCleanup(self.stop_gateway)
        self.app = node_protocol.PlainEngine()
        self.addCleanup(self.app.stop)
        self.put(3, *ACCOUNTS)
        upstream = model.FleetUpstream("app", "apps", self.app.address, "zone", 4)
        self.ask_control(messages.Announce(upstream))
        self.wait_for(lambda: self.gateway.view.registry.upstreams)

    def options(self, role, folder):
        return attrs.evolve(
            test_nodes_path.node(role, folder, self.control_address),
            revocation_seconds=2.0,
            usage=usage_model.UsageOptions(
                WINDOW_SECONDS, 4.0, self.receiver_server.address
            ),
        )

    def stop_gateway(self):
        if not self.is_stopped:
            self.is_stopped = True
            self.gateway.stop()

    def handle_report(self, connection, received):
        self.reports.append(json.loads(received.body))
        connection.sendall(scripted.answer(received, b""))

    def put(self, version, *accounts):
        document = policy.Policy(
            version,
            test_nodes_path.ROUTES,
            test_nodes_path.SERVICES,
            accounts=accounts,
        )
        self.ask_control(messages.SubmitPolicy(document, b"as submitted"))

    def ask_control(self, message):
        return self.control.calls.call(message, 10.0).unwrap()

    def wait_for(self, condition):
        with eventlet.Timeout(15.0):
            while not condition():
                clock.sleep(0.02)

    def send(self, key, before_sending=lambda: None):
        route = self.gateway.find_route("r1", "h", "/plain/x")
        caller = self.gateway.callers.of_request("r1", route, key)
        if isinstance(caller, relay_model.Refused):
            return caller.reason
        inbound = relay_model.Inbound(
            "r1",
            "h",
            "POST",
            "/plain/x",
            "/plain/x",
            {},
            b"",
            clock.now() + 2.0,
            find_refusal=caller.find_refusal,
            account=caller.account,
        )
        before_sending()
        answer = self.gateway.relay.handle(inbound, route)
        if isinstance(answer, relay_model.Refused):
            # Since the caller was checked, nothing but the lease may have expired.
            self.assertIs(answer.reason, reasons.Reason.BUNDLE_LEASE_EXPIRED)
            return answer.reason
        return answer.status

    def n_reported(self):
        total = {}
        for report in self.reports:
            for account, n in report["counts"].items():
                total[account] = total.get(account, 0) + n
        return total

    def test_keys_and_reports(self):
        """Requests of two accounts are served and reported; one key is revoked."""
        self.wait_for(lambda: self.send("key-a") == 200)
        for _ in range(4):
            self.assertEqual(self.send("key-a"), 200)
            self.assertEqual(self.send("key-b"), 200)
        self.assertIs(self.send("key-c"), reasons.Reason.UNAUTHORIZED)
        self.put(4, ACCOUNTS[1])
        self.wait_for(lambda: self.send("key-a") is reasons.Reason.UNAUTHORIZED)
        n_before = self.app.request_ids.count("r1")
        self.wait_for(lambda: sum(self.n_reported().values()) >= n_before)
        self.assertEqual(sum(self.n_reported().values()), n_before)
        self.assertEqual(self.n_reported()["beta"], 4)
        windows = [each["window"] for each in self.reports]
        self.assertEqual(windows, sorted(set(windows)))

    def test_stopping_gateway_sends_its_counts(self):
        """A gateway that stops sends its last counts, which no other process has.

        It stops within one renewal interval of its last request, so the counts of that
        request have not been sent before.
        """
        self.wait_for(lambda: self.send("key-a") == 200)
        self.assertEqual(self.send("key-b"), 200)
        self.stop_gateway()
        self.wait_for(lambda: self.n_reported().get("beta") == 1)
        self.assertEqual(self.n_reported(), {"acme": 1, "beta": 1})

    def test_no_leader(self):
        """No leader answers: keys are accepted until the lease expires, then none."""
        self.wait_for(lambda: self.send("key-a") == 200)
        self.control.replica.stop()
        self.assertEqual(self.send("key-a"), 200)
        expired = reasons.Reason.BUNDLE_LEASE_EXPIRED
        is_confirmed = self.gateway.view.is_policy_confirmed
        # The lease expires between the check of the caller and the sending.
        answer = self.send("key-a", lambda: self.wait_for(lambda: not is_confirmed()))
        self.assertIs(answer, expired)
        self.assertIs(self.send("key-a"), expired)
        self.assertIs(self.send("unknown"), expired)
        self.assertFalse(self.gateway.is_ready())
