"""What callers are refused, at arrival and after waiting for a place."""

import attrs
import eventlet
import result
from nose2 import tools

from bilberrydrum import reasons
from tests.fakes import deployment, gateway_parts, wsgi

Reason = reasons.Reason


class Waiting(deployment.Deployment):
    """The one place of the service is taken; further calls wait at the gateway."""

    def setUp(self):
        super().setUp()
        upstream = self.registry.upstreams["a1"]
        self.registry.upstreams["a1"] = attrs.evolve(upstream, max_concurrency=1)
        self.done = eventlet.event.Event()
        self.application.script = self.slow

    def slow(self, connection, received):
        self.done.wait()
        connection.sendall(self.book(received))

    def take_place(self):
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
    def test_bundle_that_is_over_by_the_time_of_sending_is_not_acted_on(
        self, bundle, reason
    ):
        """A call waits for a place; the lease runs out, or another bundle is rolled.

        When its place comes, nothing may be sent by the bundle it came in under: the
        operator was told that the new one is in force everywhere.
        """
        taker = self.take_place()
        for key in ("", "waiter"):
            headers = {"Idempotency_Key": key} if key else {}
            waiting = self.first.send("GET", "/apps/schedule/x", **headers)
            wsgi.run_until(lambda: self.first.dispatcher.n_waiting == 1)
            self.first.bundles.bundle = bundle
            if not self.done.ready():
                self.done.send(None)
            answer = waiting.wait()
            self.assertEqual((answer.reason, answer.outcome), (reason, "not-run"))
            taker.wait()
            self.assertEqual(self.n_bookings, 1)
            self.first.bundles.bundle = result.Ok(gateway_parts.BUNDLE)
            self.done = eventlet.event.Event()
            taker = self.first.send("GET", "/apps/schedule/taker")
            wsgi.run_until(lambda: self.n_bookings == 2)
            self.application.received.pop()
        self.done.send(None)
        taker.wait()

    def test_full_queue_costs_no_claims_and_still_gives_results_again(self):
        """The queue is full and callers retry at once.

        A claim for each refusal would fill the state group with them. What ran before
        is still given again, and a key with another body is still refused.
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
        whole = {"model": "planner", "prompt": "p", "max_tokens": 3}
        if name in ("no model", "no prompt"):
            whole = {}
        if body is None:
            body = {}
        if isinstance(body, dict):
            if body.get("model") == "x":
                whole = {"prompt": "p"}
            body = whole | body
        answer = self.first.send("POST", "/v1/completions", body, **headers).wait()
        self.assertEqual((answer.status, answer.reason), (status, reason), name)
        self.assertEqual(answer.outcome, "not-run")

    def test_application_the_caller_may_not_use(self):
        answer = self.first.send("GET", "/apps/payroll/x").wait()
        self.assertEqual((answer.status, answer.reason), (403, "caller-not-allowed"))

    def test_path_and_query_reach_the_service_as_sent(self):
        self.first.send("GET", "/apps/schedule/a%2Fb/c?x=1&y=%20").wait()
        self.assertEqual(self.application.received[-1].target, "/a%2Fb/c?x=1&y=%20")
