"""Tests of refusals to callers, at once and after waiting in the queue."""

import attrs
import eventlet
import result
from nose2 import tools

from bilberrydrum import reasons
from tests.fakes import deployment, gateway_parts, wsgi

Reason = reasons.Reason


class Waiting(deployment.Deployment):
    """The service is at its concurrency limit of 1; further calls are queued."""

    def setUp(self):
        super().setUp()
        upstream = self.registry.upstreams["a1"]
        self.registry.upstreams["a1"] = attrs.evolve(upstream, max_concurrency=1)
        self.done = eventlet.event.Event()
        self.application.script = self.slow

    def slow(self, connection, received):
        self.done.wait()
        connection.sendall(self.book(received))

    def occupy_service(self):
        pending = self.first.book("taker")
        wsgi.run_until(lambda: self.n_bookings == 1)
        return pending

    @tools.params(
        (result.Err(Reason.BUNDLE_LEASE_EXPIRED), "bundle-lease-expired"),
        (
            result.Ok(attrs.evolve(gateway_parts.BUNDLE, version=2, callers={})),
            "caller-not-allowed",
        ),
    )
    def test_queued_call_is_not_sent_under_an_outdated_bundle(self, bundle, reason):
        """While a call is queued, the lease expires or another bundle is rolled.

        The call must not be sent under the bundle under which it was admitted: the
        operator has seen that the new bundle is in force everywhere.
        """
        first_call = self.occupy_service()
        for key in ("", "waiter"):
            headers = {"Idempotency_Key": key} if key else {}
            waiting = self.first.send("GET", "/apps/schedule/x", **headers)
            wsgi.run_until(lambda: self.first.dispatcher.n_waiting == 1)
            self.first.bundles.bundle = bundle
            if not self.done.ready():
                self.done.send(None)
            answer = waiting.wait()
            self.assertEqual((answer.reason, answer.outcome), (reason, "not-run"))
            first_call.wait()
            self.assertEqual(self.n_bookings, 1)
            self.first.bundles.bundle = result.Ok(gateway_parts.BUNDLE)
            self.done = eventlet.event.Event()
            first_call = self.first.send("GET", "/apps/schedule/taker")
            wsgi.run_until(lambda: self.n_bookings == 2)
            self.application.received.pop()
        self.done.send(None)
        first_call.wait()

    def test_full_queue_makes_no_claims_and_still_replays_results(self):
        """The queue is full, and callers retry at once.

        If each refused request were claimed first, the claims would overload the state
        group. Recorded results must still be replayed, and a key with another body must
        still be refused.
        """
        self.done.send(None)
        self.first.book("earlier").wait()
        self.done = eventlet.event.Event()
        first = self.gateway("g3", max_queue_per_caller=1)
        pending = [first.book("a"), first.book("b")]
        wsgi.run_until(lambda: first.dispatcher.n_waiting == 1)
        n_submitted = len(self.group.submitted)
        for _ in range(5):
            answer = first.book("new").wait()
            self.assertEqual((answer.status, answer.outcome), (429, "not-run"))
        self.assertEqual(first.book("earlier").wait().status, 201)
        answer = first.book("earlier", b"window 8").wait()
        self.assertEqual(answer.reason, "key-reused")
        self.assertEqual(len(self.group.submitted), n_submitted)
        self.done.send(None)
        for each in pending:
            self.assertEqual(each.wait().status, 201)


class BadInput(deployment.Deployment):
    @tools.params(
        ("no caller", {"X_Caller": ""}, None, 403, "caller-not-allowed"),
        ("unknown caller", {"X_Caller": "x"}, None, 403, "caller-not-allowed"),
        ("no JSON", {}, b"{", 400, "invalid-json"),
        ("no object", {}, b"[]", 400, "invalid-json"),
        ("no model", {}, {"prompt": "p"}, 400, "invalid-request"),
        ("no prompt", {}, {"model": "planner"}, 400, "invalid-request"),
        ("model not allowed", {}, {"model": "x"}, 403, "caller-not-allowed"),
        ("prompt of a wrong type", {}, {"prompt": 1}, 400, "invalid-request"),
        ("max_tokens a bool", {}, {"max_tokens": True}, 400, "invalid-request"),
        ("max_tokens 0", {}, {"max_tokens": 0}, 400, "invalid-request"),
        ("unknown adapter", {}, {"adapter": "x"}, 404, "model-unknown"),
        ("timeout no number", {"X_Timeout_Seconds": "x"}, {}, 400, "invalid-request"),
        ("timeout 0", {"X_Timeout_Seconds": "0"}, {}, 400, "invalid-request"),
        ("priority inf", {"X_Priority": "inf"}, {}, 400, "invalid-request"),
        ("key too long", {"Idempotency_Key": "k" * 300}, {}, 400, "invalid-request"),
        ("no engine", {}, {}, 503, "no-upstream"),
    )
    def test_bad_input_is_refused_with_its_reason(
        self, name, headers, body, status, reason
    ):
        valid = {"model": "planner", "prompt": "p", "max_tokens": 3}
        if name in ("no model", "no prompt"):
            valid = {}
        if body is None:
            body = {}
        if isinstance(body, dict):
            if body.get("model") == "x":
                valid = {"prompt": "p"}
            body = valid | body
        answer = self.first.send("POST", "/v1/completions", body, **headers).wait()
        self.assertEqual((answer.status, answer.reason), (status, reason), name)
        self.assertEqual(answer.outcome, "not-run")

    def test_application_the_caller_may_not_use(self):
        answer = self.first.send("GET", "/apps/payroll/x").wait()
        self.assertEqual((answer.status, answer.reason), (403, "caller-not-allowed"))

    def test_path_and_query_reach_the_service_as_sent(self):
        self.first.send("GET", "/apps/schedule/a%2Fb/c?x=1&y=%20").wait()
        self.assertEqual(self.application.received[-1].target, "/a%2Fb/c?x=1&y=%20")
