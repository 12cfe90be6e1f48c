"""The HTTP interface for published weights and their roll-out."""

import json
import unittest

from bilberrydrum import runtime

runtime.prepare()

import result
from nose2 import tools

from bilberrydrum import options, reasons
from bilberrydrum.http import edge, weights
from bilberrydrum.state import client
from bilberrydrum.upstreams import model as upstream_model
from bilberrydrum.weights import commands, orders, planner
from tests import weights_support as support
from tests.fakes import wsgi


class FakeRegistry:
    def upstreams_by_id(self):
        models = {"planner": upstream_model.ServedModel(3, (3, 4))}
        return {
            "e0": upstream_model.Upstream("e0", "engine", "10.0.0.1:1", models=models),
            "e1": upstream_model.Upstream("e1", "engine", "10.0.0.1:2"),
            "a0": upstream_model.Upstream("a0", "application", "10.0.0.1:3"),
        }


class FakeTask:
    def gives_orders(self):
        return True

    def actions_by_engine_id(self):
        return {"e0": orders.Action(orders.SWAP, "planner", 4)}

    def failed_by_engine_id(self):
        action = orders.Action(orders.SWAP, "planner", 4)
        return {"e0": [planner.FailedAction(action, 2, "500 no memory")]}


class HttpTest(unittest.TestCase):
    def setUp(self):
        self.state = support.FakeState()
        self.bundles = support.FakeBundles()
        tokens = {edge.GUARD_OPERATOR: b"secret"}
        self.edge = edge.Edge(options.LimitOptions(), tokens)
        weights.add_routes(
            self.edge,
            options.Options("gw-1"),
            self.state,
            self.bundles,
            FakeRegistry(),
            FakeTask(),
        )

    def call(self, method, path, body=b"", token="secret"):
        answer = wsgi.call(self.edge, wsgi.environ_of(method, path, body, token))
        return answer.status, answer.document

    def post(self, path, value):
        return self.call("POST", path, json.dumps(value).encode())

    def test_publish_rises_and_is_idempotent(self):
        for version, newest in ((3, 3), (3, 3), (5, 5), (4, 5)):
            status, answer = self.post(
                "/v1/trainers/outage/weights", {"weight_version": version}
            )
            self.assertEqual((status, answer), (200, {"weight_version": newest}))

    @tools.params(
        ("missing", "outage", b"{}", 400, "invalid-request"),
        ("zero", "outage", b'{"weight_version": 0}', 400, "invalid-request"),
        ("text", "outage", b'{"weight_version": "4"}', 400, "invalid-request"),
        ("true", "outage", b'{"weight_version": true}', 400, "invalid-request"),
        ("fraction", "outage", b'{"weight_version": 1.5}', 400, "invalid-request"),
        ("huge", "outage", b'{"weight_version": 1e300}', 400, "invalid-request"),
        (
            "too_big",
            "outage",
            b'{"weight_version": %d}' % 2**60,
            400,
            "invalid-request",
        ),
        ("no_json", "outage", b"weights", 400, "invalid-json"),
        ("stranger", "nobody", b'{"weight_version": 4}', 404, "trainer-unknown"),
    )
    def test_bad_input(self, _name, trainer, body, status, reason):
        for path in ("weights", "weights/prepare"):
            answer = self.call("POST", f"/v1/trainers/{trainer}/{path}", body)
            self.assertEqual((answer[0], answer[1]["reason"]), (status, reason))
            self.assertEqual(answer[1]["outcome"], "not-run")
        self.assertEqual(self.state.state.sections, {})

    @tools.params((True, "unknown"), (False, "not-run"))
    def test_state_group_does_not_answer(self, may_have_applied, outcome):
        """The state group does not answer, so the publication may have been stored.

        The outcome "not-run" would be false if it was stored, so it is answered only
        if the publication was certainly not stored. In both cases the trainer may
        retry.
        """
        reason = reasons.Reason.STATE_UNAVAILABLE
        self.state.error = client.StateError(reason, may_have_applied)
        status, answer = self.post("/v1/trainers/outage/weights", {"weight_version": 4})
        self.assertEqual((status, answer["outcome"]), (503, outcome))
        self.assertGreater(answer["retry_after_seconds"], 0)

    def test_without_a_bundle(self):
        self.bundles.answer = result.Err(reasons.Reason.BUNDLE_LEASE_EXPIRED)
        status, answer = self.post("/v1/trainers/outage/weights", {"weight_version": 4})
        self.assertEqual((status, answer["reason"]), (503, "bundle-lease-expired"))
        self.assertGreater(answer["retry_after_seconds"], 0)

    def test_status(self):
        self.post("/v1/trainers/outage/weights", {"weight_version": 4})
        self.post("/v1/trainers/outage/weights/prepare", {"weight_version": 5})
        status, answer = self.call("GET", "/v1/weights")
        self.assertEqual(status, 200)
        self.assertTrue(answer["gives_orders"])
        (model,) = answer["models"]
        (engine,) = model.pop("engines")
        self.assertEqual(
            model,
            {
                "model": "planner",
                "weight_version": 4,
                "prepared_version": 5,
                "n_engines": 1,
                "n_current": 0,
                "n_loaded": 1,
            },
        )
        self.assertEqual(
            (engine["upstream_id"], engine["state"], engine["order"]),
            ("e0", "loaded", "swap"),
        )
        self.assertEqual(engine["failed_orders"][0]["n_failures"], 2)

    @tools.params((4, 5, 5), (5, 5, 0), (6, 5, 0))
    def test_a_version_prepared_by_one_of_two_trainers(self, published, ahead, wanted):
        """A prepared version is ignored unless it is newer than the published one."""
        self.state.submit(commands.PrepareWeights("exits", "planner", ahead))
        self.state.submit(commands.PublishWeights("outage", "planner", published))
        (model,) = self.call("GET", "/v1/weights")[1]["models"]
        self.assertEqual(model["prepared_version"], wanted)

    @tools.params(("GET", "/v1/weights"), ("POST", "/v1/upstreams/e0/role"))
    def test_operators_token(self, method, path):
        status, answer = self.call(method, path, token="other")
        self.assertEqual((status, answer["reason"]), (401, "unauthorized"))

    @tools.params(
        ({"role": "prefill"}, 200), ({"role": 3}, 400), ({"role": "x" * 65}, 400)
    )
    def test_role(self, body, status):
        answer = self.post("/v1/upstreams/e0/role", body)
        self.assertEqual(answer[0], status)
