"""Bundles through the operators' HTTP interface, the lease tasks and their sockets."""

import contextlib
import io
import json
import unittest
from typing import Any

import eventlet
import result
from nose2 import tools

from bilberrydrum import options, reasons, transport
from bilberrydrum.bundles import (
    check,
    commands,
    grants,
    lease,
    lease_table,
    messages,
    records,
)
from bilberrydrum.http import bundles, edge
from bilberrydrum.state import processes
from tests import helpers
from tests.fakes import direct_state, wsgi

OPERATOR = {"HTTP_X_OPERATOR": "ana", "HTTP_AUTHORIZATION": "Bearer secret"}


NO_BUNDLE = result.Err(reasons.Reason.NO_BUNDLE)


def text_of(version: int, extra: str = "") -> str:
    return f"version: {version}\nparent: {version - 1}\n{extra}"


def wait_for(condition: Any) -> None:
    with eventlet.Timeout(60):
        while not condition():
            eventlet.sleep(0.005)


class Site(unittest.TestCase):
    """A leader and a gateway on loopback sockets, with a state group of one."""

    def setUp(self) -> None:
        self.state = direct_state.DirectState()
        self.leader_address = f"127.0.0.1:{helpers.free_port()}"
        members = (options.Member("s0", self.leader_address),)
        self.state_options = options.StateOptions(members=members)
        self.lease_options = options.GatewayOptions(
            bundle_lease_seconds=1.0, bundle_renew_seconds=0.05
        )
        carrier = self.start_transport("s0", self.leader_address)
        leader_options = options.Options("s0", gateway=self.lease_options)
        self.grants = grants.LeaseGrants(leader_options, carrier, self.state)
        self.grants.start()
        self.addCleanup(self.grants.stop)
        self.gateway = self.start_gateway("g0")
        wait_for(lambda: self.gateway.current() == NO_BUNDLE)
        self.edge = edge.Edge(options.LimitOptions(), {"operator": b"secret"})
        bundles.add_routes(self.edge, options.Options("g0"), self.state, self.gateway)

    def start_transport(self, process_id: str, address: str) -> transport.Transport:
        carrier = transport.Transport(process_id, "main", address)
        carrier.start()
        self.addCleanup(carrier.stop)
        return carrier

    def start_gateway(self, process_id: str) -> lease.GatewayLease:
        address = f"127.0.0.1:{helpers.free_port()}"
        opts = options.Options(
            process_id,
            peer_address=address,
            roles=(options.ROLE_GATEWAY,),
            state=self.state_options,
            gateway=self.lease_options,
        )
        carrier = self.start_transport(process_id, address)
        carrier.incarnation = processes.register(opts, self.state)
        gateway = lease.GatewayLease(opts, carrier, self.state)
        gateway.start()
        self.addCleanup(gateway.stop)
        return gateway

    def in_force(self) -> int:
        return records.read(self.state.state()).in_force

    def roll(self, version: int) -> None:
        text = text_of(version)
        digest = check.digest_of(text)
        for command in (
            commands.SubmitBundle(version, version - 1, digest, "a", "refuse", text),
            commands.SignOffBundle(version, digest, "a"),
            commands.RollBundle(version, digest, "a"),
        ):
            self.state.apply(command)

    def acts_on(self, gateway: lease.GatewayLease) -> int:
        current = gateway.current()
        return current.unwrap().version if current.is_ok() else 0

    def call(
        self, method: str, path: str, body: Any = None, headers: Any = OPERATOR
    ) -> tuple[int, Any]:
        data = json.dumps(body).encode() if body is not None else b""
        environ = {**wsgi.environ_of(method, path, data), **headers}
        answer = wsgi.call(self.edge, environ)
        return answer.status, answer.document


class TestOperators(Site):
    def test_operator_brings_a_bundle_in_force(self) -> None:
        sent = {"content": text_of(1), "file_name": "b.yaml"}
        digest = check.digest_of(text_of(1))
        signed = {"digest": digest}
        steps = (
            ("check", "/v1/bundles/check", sent, 200, None),
            ("submit", "/v1/bundles", sent, 201, "draft"),
            ("sign off", "/v1/bundles/1/sign-off", signed, 200, "signed-off"),
            ("roll", "/v1/bundles/1/roll", signed, 202, "rolling"),
            # Sent again after a lost answer.
            ("submit again", "/v1/bundles", sent, 201, "draft"),
            ("roll again", "/v1/bundles/1/roll", signed, 202, "rolling"),
        )
        for name, path, body, expected, state in steps:
            status, answer = self.call("POST", path, body)
            self.assertEqual((status, answer["digest"]), (expected, digest), name)
            self.assertEqual(answer.get("state"), state, name)
        wait_for(lambda: self.in_force() == 1)
        status, answer = self.call("GET", "/v1/bundles/1/status")
        self.assertEqual(status, 200)
        self.assertEqual(
            answer,
            {
                "version": 1,
                "state": "in-force",
                "n_confirmed": 1,
                "n_gateways": 1,
                "waiting_for": [],
            },
        )
        self.assertEqual(self.acts_on(self.gateway), 1)
        self.assertEqual(self.call("GET", "/v1/bundles")[1]["in_force"], 1)
        found = self.call("GET", "/v1/bundles/1")[1]
        self.assertEqual((found["content"], found["author"]), (text_of(1), "ana"))

    @tools.params(
        ("POST", "/v1/bundles", {"content": text_of(1, "x: 1")}, 409, "conflict"),
        ("POST", "/v1/bundles", {"content": text_of(3)}, 409, "bundle-stale"),
        ("POST", "/v1/bundles", {"content": "version: x"}, 422, "bundle-invalid"),
        ("POST", "/v1/bundles/check", {"content": "a: 1"}, 422, "bundle-invalid"),
        ("POST", "/v1/bundles", {"content": 7}, 400, "invalid-request"),
        ("POST", "/v1/bundles/1/roll", {"digest": "d"}, 409, "conflict"),
        ("POST", "/v1/bundles/9/sign-off", {"digest": "d"}, 404, "not-found"),
        ("POST", "/v1/bundles/one/roll", {"digest": "d"}, 400, "invalid-request"),
        ("GET", "/v1/bundles/9", None, 404, "not-found"),
    )
    def test_refusal(
        self, method: str, path: str, body: Any, status: int, reason: str
    ) -> None:
        text = text_of(1, "callers: {}\n")
        self.call("POST", "/v1/bundles", {"content": text})
        if "x: 1" in str(body):
            body = {"content": text_of(1)}
        answered, problem = self.call(method, path, body)
        self.assertEqual(answered, status)
        self.assertIn(reason, problem["reason"])
        self.assertEqual(problem["outcome"], "not-run")
        if reason == "conflict":
            self.assertEqual(problem["winner_digest"], check.digest_of(text))
            self.assertEqual(problem["winner_author"], "ana")
        if status == 422:
            self.assertTrue(problem["findings"][0]["line"])

    def test_operator_must_be_named_and_hold_the_token(self) -> None:
        sent = {"content": text_of(1)}
        unnamed = {"HTTP_AUTHORIZATION": "Bearer secret"}
        self.assertEqual(self.call("POST", "/v1/bundles", sent, unnamed)[0], 400)
        self.assertEqual(self.call("POST", "/v1/bundles", sent, {})[0], 401)

    def test_change_without_an_answer_is_not_reported_as_not_run(self) -> None:
        """The state group applies the submission, and its answer is lost.

        The operator gets the outcome "unknown", submits again, and gets the answer.
        """
        sent = {"content": text_of(1)}
        self.state.n_answers_to_lose = 1
        status, problem = self.call("POST", "/v1/bundles", sent)
        self.assertEqual((status, problem["outcome"]), (503, "unknown"))
        self.assertEqual(self.call("POST", "/v1/bundles", sent)[0], 201)


class TestTasks(Site):
    @tools.params(("another leader", 2), ("the same leader, after a short cut", 1))
    def test_new_leader_waits_for_a_silent_gateway(self, name: str, term: int) -> None:
        """A gateway is cut off, and the leader changes before a bundle is rolled.

        The leader creates a new lease table, which contains no leases. It must not
        assume that all earlier leases were granted before it became leader: a leader
        that was cut off for a moment, and leads in the same term, granted later ones.
        """
        self.roll(1)
        wait_for(lambda: self.in_force() == 1 and self.acts_on(self.gateway) == 1)
        earlier_table = self.grants._table
        # Its socket is closed: it receives nothing, and serves until its lease expires.
        self.gateway._transport.stop()
        if term == self.state.term:
            self.state.leads_since = None
            self.grants._events.put(lease_table.Tick())
            wait_for(lambda: self.grants._table is None)
        self.state.term, self.state.leads_since = term, 0.0
        self.grants._events.put(lease_table.Tick())
        # What the replica itself granted is no bound: another one may have led since.
        wait_for(
            lambda: (
                self.grants._table is not None
                and self.grants._table is not earlier_table
            )
        )
        self.roll(2)
        wait_for(lambda: self.in_force() == 2)
        self.assertEqual(self.acts_on(self.gateway), 0, name)

    def test_stopped_gateway_releases_its_lease(self) -> None:
        self.roll(1)
        wait_for(lambda: self.in_force() == 1)
        wait_for(lambda: self.acts_on(self.gateway) == 1)
        self.gateway.stop()
        self.assertEqual(self.acts_on(self.gateway), 0)
        kept = self.grants._table
        assert kept is not None
        gateway = kept.gateways_by_incarnation[1]
        self.assertTrue(gateway.until_by_version)
        wait_for(lambda: not gateway.until_by_version)

    def test_error_in_one_event_does_not_stop_the_tasks(self) -> None:
        """One event raises an error in the leader's task, and one in the gateway's.

        Both tasks must continue with the next event. Otherwise every gateway would
        refuse work until another replica leads, or this gateway until it restarts.
        """
        self.roll(1)
        wait_for(lambda: self.acts_on(self.gateway) == 1)
        with contextlib.redirect_stderr(io.StringIO()):
            self.grants._events.put("no event")
            self.gateway._events.put("no event")
            eventlet.sleep(0)
        self.roll(2)
        wait_for(lambda: self.acts_on(self.gateway) == 2 and self.in_force() == 2)

    def test_forgotten_gateway_registers_again(self) -> None:
        self.roll(1)
        wait_for(lambda: self.acts_on(self.gateway) == 1)
        self.state.apply(processes.ForgetProcesses((1,)))
        self.assertEqual(self.gateway._transport.incarnation, 1)
        wait_for(lambda: self.gateway._transport.incarnation == 2)
        self.roll(2)
        wait_for(lambda: self.acts_on(self.gateway) == 2)
        wait_for(lambda: self.gateway.gateways_by_id()["g0"].incarnation == 2)

    def test_superseded_process_does_not_register_again(self) -> None:
        """A host that was replaced under its name runs again alongside the new one.

        The leader drops its messages, but a new leader that has received none from
        either host accepts them. The old host must refuse work permanently. If it
        registered again, the two would invalidate each other's leases in turn, and
        every roll would wait for them.
        """
        incarnations_by_sender = self.grants._transport._incarnations_by_sender

        def is_superseded() -> bool:
            incarnations_by_sender.clear()
            return self.gateway._holder.is_released

        self.start_gateway("g0")
        wait_for(is_superseded)
        self.roll(1)
        wait_for(lambda: self.in_force() == 1)
        eventlet.sleep(0.2)
        self.assertEqual(self.acts_on(self.gateway), 0)
        registered = processes.read(self.state.state()).processes_by_id
        self.assertEqual(registered["g0"].incarnation, 2)

    def test_connections_to_processes_that_left_are_closed(self) -> None:
        """A fleet replaces hosts all day, and each new host has a new address.

        Sockets to hosts that have left would accumulate until no more can be opened.
        """
        other = self.start_gateway("g1")
        wait_for(lambda: len(self.gateway.gateways_by_id()) == 2)
        address = other._transport.address
        carriers = (self.gateway._transport, self.grants._transport)
        carriers[0].send(address, messages.Release(0))
        wait_for(lambda: other.current() == NO_BUNDLE)
        known = [address in carrier._dealers_by_address for carrier in carriers]
        self.assertEqual(known, [True, True])
        other.stop()
        self.state.apply(processes.ForgetProcesses((2,)))
        # The answer to a late message of the stopped gateway opens a connection again.
        wait_for(lambda: address not in carriers[1]._dealers_by_address)
        renewal = messages.Renewal(1, 0, 0)
        other._transport.send(self.leader_address, renewal)
        wait_for(lambda: address in carriers[1]._dealers_by_address)
        wait_for(
            lambda: not any(address in each._dealers_by_address for each in carriers)
        )

    def test_resumed_leader_does_not_send_a_prepared_grant(self) -> None:
        """The leader is suspended after it prepared a grant, and replaced meanwhile.

        It must check its leadership again right before it sends.
        """
        self.grants.stop()
        table = self.grants._table
        assert table is not None
        sent: list[object] = []
        self.grants._transport.send = lambda *message: sent.append(message)  # type: ignore[method-assign,assignment]
        renewal = messages.Renewal(1, 0, 0)
        event = lease_table.RenewalReceived("g0", "address", 1, renewal)
        for leads_since, n_sent in ((None, 0), (0.0, 1)):
            self.state.leads_since = leads_since
            self.grants._step(table, event)
            self.assertEqual(len(sent), n_sent)
