"""The trainers' interface over the real service, with fake upstreams and state."""

import json
import unittest
from typing import Any

from nose2 import tools

from bilberrydrum import interfaces, options, reasons, transport
from bilberrydrum.http import edge, trainers
from bilberrydrum.samples import service
from tests import helpers
from tests import samples_support as support
from tests.fakes import wsgi

SCRIPT: support.Script = [
    support.tokens(1, 2, version=0),
    support.tokens(3, version=1),
    support.finished(),
]


class Site:
    """The sample service of one gateway behind an edge."""

    def __init__(self, script: support.Script = SCRIPT) -> None:
        address = f"127.0.0.1:{helpers.free_port()}"
        self.options = options.Options("gw-1", peer_address=address)
        self.state = support.FakeState()
        gateway = interfaces.Gateway("gw-1", address, "Ate", "Lima", 1)
        self.bundles = support.FakeBundles(support.bundle(), gateways={"gw-1": gateway})
        self.registry = support.FakeRegistry({"engine-1": support.engine()})
        self.dispatcher = support.FakeDispatcher([script])
        self.transport = transport.Transport("gw-1", "main", address)
        self.transport.incarnation = 1
        self.transport.start()
        self.service = service.SampleService(
            self.options,
            self.transport,
            self.state,
            self.bundles,
            self.registry,
            self.dispatcher,
        )
        self.service.start()
        self.edge = edge.Edge(self.options.limits, {edge.GUARD_OPERATOR: b"secret"})
        trainers.add_routes(self.edge, self.service)

    def stop(self) -> None:
        self.service.stop()
        self.transport.stop()

    def call(
        self, method: str, path: str, body: Any = None, token: str = ""
    ) -> tuple[int, Any]:
        data = body if isinstance(body, bytes) else json.dumps(body or {}).encode()
        answer = wsgi.call(self.edge, wsgi.environ_of(method, path, data, token))
        return answer.status, answer.document


def group(**changes: Any) -> dict[str, Any]:
    fields = {"group_id": "s1-g0", "prompt": "plan", "n_slots": 2, "max_tokens": 8}
    return {**fields, **changes}


class Trainers(unittest.TestCase):
    def setUp(self) -> None:
        self.site = Site()
        self.addCleanup(self.site.stop)

    def read(self, cursor: int, epoch: int = 1, wait: float = 20) -> tuple[int, Any]:
        query = f"reader_epoch={epoch}&cursor={cursor}&n_samples=2&wait_seconds={wait}"
        return self.site.call("GET", f"/v1/trainers/outage/batches?{query}")

    def test_sample_from_request_to_acknowledgement(self) -> None:
        status, reader = self.site.call("POST", "/v1/trainers/outage/readers")
        self.assertEqual((status, reader), (201, {"reader_epoch": 1, "cursor": 0}))
        groups = {"groups": [group()]}
        answers = [
            self.site.call("POST", "/v1/trainers/outage/groups", groups)
            for _ in range(2)
        ]
        self.assertEqual(answers[0], (202, {"n_accepted": 1, "n_known": 0}))
        self.assertEqual(answers[1], (202, {"n_accepted": 0, "n_known": 1}))
        status, batch = self.read(0)
        self.assertEqual(status, 200)
        self.assertEqual((batch["cursor"], batch["next_cursor"]), (0, 2))
        self.assertEqual([s["position"] for s in batch["samples"]], [0, 1])
        sample = batch["samples"][1]
        self.assertEqual(sample["sample_id"], "outage/s1-g0/1")
        self.assertEqual(sample["token_ids"], [1, 2, 3])
        self.assertEqual(
            sample["segments"],
            [
                {"weight_version": 0, "first_token": 0, "last_token": 1},
                {"weight_version": 1, "first_token": 2, "last_token": 2},
            ],
        )
        self.assertEqual(self.read(0), (200, batch))
        status, problem = self.read(2, wait=0)
        self.assertEqual((status, problem["reason"]), (503, "batch-not-ready"))
        status, problem = self.read(0, wait=0)
        self.assertEqual((status, problem["reason"]), (409, "cursor-invalid"))
        self.assertEqual((problem["acknowledged"], problem["n_assigned"]), (2, 2))
        status, trace = self.site.call(
            "GET", "/v1/samples/outage/s1-g0/1", token="secret"
        )
        self.assertEqual((status, trace["state"]), (200, "acknowledged"))
        self.assertEqual(trace["segments"], sample["segments"])
        status, listed = self.site.call("GET", "/v1/trainers/outage", token="secret")
        self.assertEqual((status, listed["cursor"]), (200, 2))

    def test_older_reader_is_refused(self) -> None:
        """Two processes read for one trainer; the older one requests a batch."""
        for _ in range(2):
            self.site.call("POST", "/v1/trainers/outage/readers")
        status, problem = self.read(0, epoch=1, wait=0)
        self.assertEqual((status, problem["reason"]), (409, "reader-superseded"))

    @tools.params(
        ("no groups", {}, "groups"),
        ("empty list", {"groups": []}, "groups"),
        ("not an object", {"groups": [3]}, "groups[0]"),
        ("no id", {"groups": [{**group(), "group_id": None}]}, "group_id"),
        ("bad id", {"groups": [group(group_id="a/b")]}, "group_id"),
        ("long prompt", {"groups": [group(prompt="x" * 16_385)]}, "prompt"),
        ("no slots", {"groups": [group(n_slots=0)]}, "n_slots"),
        ("true slots", {"groups": [group(n_slots=True)]}, "n_slots"),
        ("text tokens", {"groups": [group(max_tokens="8")]}, "max_tokens"),
        ("not json", b"{", ""),
    )
    def test_bad_groups_are_refused(self, name: str, body: Any, part: str) -> None:
        status, problem = self.site.call("POST", "/v1/trainers/outage/groups", body)
        self.assertEqual((status, problem["outcome"]), (400, "not-run"), name)
        text = problem["detail"] + json.dumps(problem["findings"])
        self.assertIn(part, text, name)

    def test_all_faults_are_reported_together(self) -> None:
        groups = [group(n_slots=0, max_tokens=0), group(group_id="")]
        _, problem = self.site.call(
            "POST", "/v1/trainers/outage/groups", {"groups": groups}
        )
        self.assertEqual(len(problem["findings"]), 3)

    @tools.params(
        ("POST", "/v1/trainers/unknown/readers", 404, "trainer-unknown"),
        ("POST", "/v1/trainers/unknown/groups", 404, "trainer-unknown"),
        ("GET", "/v1/trainers/outage/batches?cursor=0", 400, "invalid-request"),
        (
            "GET",
            "/v1/trainers/outage/batches?reader_epoch=1&cursor=-1&n_samples=1",
            400,
            "invalid-request",
        ),
        ("GET", "/v1/trainers/outage", 401, "unauthorized"),
        ("GET", "/v1/samples/outage/g/0", 401, "unauthorized"),
    )
    def test_bad_requests_are_refused(
        self, method: str, path: str, status: int, reason: str
    ) -> None:
        answer = self.site.call(method, path)
        self.assertEqual((answer[0], answer[1]["reason"]), (status, reason))

    def test_operator_requests_for_unknown_items(self) -> None:
        for path, status in (
            ("/v1/samples/outage/g/0", 404),
            ("/v1/samples/outage/g/x", 400),
            ("/v1/trainers/outage", 404),
        ):
            with self.subTest(path=path):
                self.assertEqual(self.site.call("GET", path, token="secret")[0], status)

    def test_group_id_with_other_content_is_refused(self) -> None:
        """A request repeats a group's id with another prompt.

        None of its groups may be added, or the trainer could not repair and retry it.
        """
        path = "/v1/trainers/outage/groups"
        self.site.call("POST", path, {"groups": [group()]})
        other = {"groups": [group(prompt="other"), group(group_id="new")]}
        status, problem = self.site.call("POST", path, other)
        self.assertEqual((status, problem["reason"]), (409, "group-conflict"))
        self.assertEqual(
            self.site.call("POST", path, {"groups": [group(group_id="new")]})[1],
            {"n_accepted": 1, "n_known": 0},
        )

    def test_gateway_without_bundle_refuses(self) -> None:
        """A gateway whose bundle lease has expired does not know the current rules."""
        self.site.bundles.refusal = reasons.Reason.BUNDLE_LEASE_EXPIRED
        status, problem = self.site.call("POST", "/v1/trainers/outage/readers")
        self.assertEqual((status, problem["reason"]), (503, "bundle-lease-expired"))
        self.assertEqual(problem["outcome"], "not-run")
