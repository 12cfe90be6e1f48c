"""Translation of client calls, and of headers to and from upstreams."""

import base64
import json
import pathlib
import sys
import unittest

import attrs
import result
from nose2 import tools

from bilberrydrum import clock, options, reasons, upstream_protocol
from bilberrydrum.batches import messages as batch_messages
from bilberrydrum.batches import model as batch_model
from bilberrydrum.http import edge
from bilberrydrum.relay import model as relay_model
from bilberrydrum.state import leader_calls
from tests import test_platform as shared

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from bilberrydrum_platform import (  # noqa: E402
    client_calls,
    upstreams,
)

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
SUBMITTED = result.Ok(batch_messages.Submitted())
REFUSED = result.Ok(batch_messages.Refused(2.2))
RESULT = batch_model.Result.of("i1", batch_model.ItemState.COMPLETED, b"a\nb", (6, 7))
PAGE = result.Ok(batch_messages.Page(True, 3, (RESULT,)))
UNKNOWN_PAGE = result.Ok(batch_messages.Page(False))
BODY = result.Ok(batch_messages.Body(True, b"bytes"))
NO_BODY = result.Ok(batch_messages.Body(False))
ENDED = result.Ok(batch_messages.EndTaken(True))
NOT_ENDED = result.Ok(batch_messages.EndTaken(False))


class ClientInterface(unittest.TestCase):
    """The status of each call for valid input, invalid input, and without stores."""

    def call(self, node, method, path, body, headers=()):
        clients = client_calls.ClientCalls(node)
        app = edge.Edge(options.LimitOptions(), {}, fallback=clients.serve)
        clients.add_routes(app)
        names = {"Host": "h.example:80", "X-Attempt-Id": "b1", **dict(headers)}
        return shared.call(app, method, path, shared.dumped(body), names)

    @tools.params(
        ("accepted", "POST", "/b/1", BATCH, SUBMITTED, 202),
        ("not accepted", "POST", "/b/1", BATCH, shared.state_error(False), 503),
        ("outcome unknown", "POST", "/b/1", BATCH, shared.state_error(), 502),
        ("queue is full", "POST", "/b/1", BATCH, REFUSED, 503),
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
            {**BATCH, "requests": [shared.without(ITEM, "path")]},
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
        (
            "no answer of the stores",
            "GET",
            "/api/lots/b1",
            b"",
            shared.state_error(),
            503,
        ),
        ("not a position", "GET", "/api/lots/b1?after=x", b"", None, 400),
        ("body", "GET", "/api/items/b1?id=i1", b"", BODY, 200),
        ("no body", "GET", "/api/items/b1?id=i1", b"", NO_BODY, 404),
        (
            "body, no answer of the stores",
            "GET",
            "/api/items/b1?id=i1",
            b"",
            shared.state_error(),
            503,
        ),
        ("ended", "DELETE", "/api/lots/b1", b"", ENDED, 200),
        ("nothing to end", "DELETE", "/api/lots/b1", b"", NOT_ENDED, 404),
        (
            "end, outcome unknown",
            "DELETE",
            "/api/lots/b1",
            b"",
            shared.state_error(),
            503,
        ),
        ("relayed", "POST", "/a/1", b"x", None, 200),
        ("no route", "POST", "/c/1", b"x", None, 404),
    )
    def test_status(self, name, method, path, body, answer, status):
        node = shared.Node(answer)
        given = self.call(node, method, path, body)
        self.assertEqual(given.status, status, (name, given.body))
        self.assertEqual(len(node.calls.messages), 0 if answer is None else 1, name)

    @tools.params("-1", "-3", "-0.5", "1.5", "1e30", "99999999999999999999")
    def test_invalid_position(self, position):
        """A reader that asks from a negative position would read results twice.

        If -1 were read as the start, the answer would have the results from the first
        one on, but its `next_token` would be counted from -1. After three results it
        would be 2, so the reader would get the third one again.
        """
        node = shared.Node(PAGE)
        given = self.call(node, "GET", f"/api/lots/b1?after={position}", b"")
        self.assertEqual(given.status, 400, (position, given.body))
        self.assertEqual(node.calls.messages, [], position)

    def test_batch_is_translated(self):
        node = shared.Node(SUBMITTED)
        self.call(node, "POST", "/b/1", BATCH)
        batch = batch_model.unpack_batch(node.calls.messages[0].data)
        self.assertEqual((batch.batch_id, batch.host), ("b1", "h.example"))
        self.assertEqual((batch.step, batch.min_version), (7, 6))
        item = batch.items[0]
        self.assertEqual((item.body, item.target), (b"bytes", "/b/3/x"))
        self.assertEqual(item.n_expected_tokens, 660)

    def test_scoring_request_is_translated(self):
        node = shared.Node(SUBMITTED)
        self.call(node, "POST", "/b/1", {**BATCH, "requests": [SCORED_ITEM]})
        batch = batch_model.unpack_batch(node.calls.messages[0].data)
        expected = batch_model.ScoringRequest("s1", "h.example", "/a/x?q=%41", b"mark")
        self.assertEqual(batch.items[0].scoring, expected)

    @tools.params(
        ("not an object", "x", "requests[1].scorer: must be an object"),
        (
            "no id",
            shared.without(SCORER, "id"),
            "requests[1].scorer.id: must be a non-empty string",
        ),
        (
            "no host",
            shared.without(SCORER, "host"),
            "requests[1].scorer.host: must be a non-empty string",
        ),
        (
            "id is a number",
            {**SCORER, "id": 7},
            "requests[1].scorer.id: must be a non-empty string",
        ),
        (
            "path without a slash",
            {**SCORER, "path": "a/x"},
            "requests[1].scorer.path: must begin with a slash",
        ),
        (
            "path with a line break",
            {**SCORER, "path": "/a HTTP/1.1\r\nX: y"},
            "requests[1].scorer.path: must not have blanks or control characters",
        ),
        ("body", {**SCORER, "body": "*"}, "requests[1].scorer.body: must be base64"),
        (
            "body is null",
            {**SCORER, "body": None},
            "requests[1].scorer.body: must be base64",
        ),
        ("twice the same id", SCORER, "scorer: two entries have the same id"),
    )
    def test_unreadable_scoring_request(self, name, scorer, expected):
        """One of two items has a scoring request that cannot be sent.

        If the batch were stored, it could never be completed. So it is rejected as a
        whole, and the error says which field is wrong and why.
        """
        node = shared.Node()
        items = [SCORED_ITEM, {**ITEM, "id": "i2", "scorer": scorer}]
        given = self.call(node, "POST", "/b/1", {**BATCH, "requests": items})
        self.assertEqual(given.status, 400, name)
        self.assertIn(expected, given.body.decode())
        self.assertEqual(node.calls.messages, [])

    def test_header_with_a_line_break(self):
        node = shared.Node()
        item = {**ITEM, "headers": {"X-A": "b\r\nX-C: d"}}
        given = self.call(node, "POST", "/b/1", {**BATCH, "requests": [item]})
        self.assertEqual(given.status, 400)

    def test_refused_batch_names_the_time_to_retry(self):
        """Guard against trainers that submit a refused batch again at once."""
        given = self.call(shared.Node(REFUSED), "POST", "/b/1", BATCH)
        self.assertEqual(dict(given.headers)["Retry-After"], "3")
        self.assertEqual(json.loads(given.body)["reason"], "batch-queue-full")

    def test_score_is_translated(self):
        scored = attrs.evolve(RESULT, score="mark")
        page = result.Ok(batch_messages.Page(True, 3, (scored, RESULT)))
        given = self.call(shared.Node(page), "GET", "/api/lots/b1", b"")
        entries = json.loads(given.body)["results"]
        self.assertEqual([e.get("score") for e in entries], ["mark", None])

    def test_results_are_translated(self):
        given = self.call(shared.Node(PAGE), "GET", "/api/lots/b1?after=2", b"")
        entry = {"id": "i1", "state": "completed", "text": "a\nb", "versions": [6, 7]}
        expected = {"total": 3, "next_token": 3, "results": [entry]}
        self.assertEqual(json.loads(given.body), expected)

    def test_request_is_forwarded_unchanged(self):
        node = shared.Node()
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
        node = shared.Node()
        node.relayed = relay_model.Refused(reasons.Reason.NO_UPSTREAM, *refused)
        given = self.call(node, "POST", "/a/1", b"x")
        headers = given.headers
        self.assertEqual(given.status, status, name)
        self.assertEqual(headers.get("Retry-After"), retry_after)


class UpstreamHeaders(unittest.TestCase):
    """Headers set on a request, and headers read from an answer."""

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
        ("no work", {"X-Instance-Load": "3,1,8"}, ("work_factor", None)),
        ("work", {"X-Instance-Load": "3,1,8,250"}, ("work_factor", 2.5)),
        ("load with work", {"X-Instance-Load": "3,1,8,250"}, ("n_waiting", 1)),
        ("blanks around", {"X-Instance-Load": " 3,1,8,50\t"}, ("work_factor", 0.5)),
        ("version", {"x-weight-versions": "7"}, ("version", 7)),
        ("damaged version", {"X-Weight-Versions": "a"}, ("version", None)),
        ("stamp", {"X-Server-Stamp": "s"}, ("is_genuine", True)),
        ("no stamp", {}, ("is_genuine", False)),
    )
    def test_head(self, name, headers, expected):
        head = self.PROTOCOL.read_head(200, headers)
        self.assertEqual(getattr(head, expected[0]), expected[1], name)

    @tools.params(
        (421, {}, (True, True)),
        (421, {"X-Not-Executed": "1"}, (True, True)),
        (503, {"x-not-executed": "1"}, (True, False)),
        (429, {"X-Not-Executed": "1"}, (True, False)),
        (400, {"X-Not-Executed": "1"}, (True, False)),
        (503, {}, (False, False)),
        (429, {}, (False, False)),
        (500, {}, (False, False)),
        (200, {}, (False, False)),
    )
    def test_not_run(self, status, headers, expected):
        """Guard against a 421 that counts as a failure for lack of a header."""
        head = self.PROTOCOL.read_head(status, headers)
        self.assertEqual((head.was_not_run, head.is_misdirected), expected)

    @tools.params(
        "",
        ",",
        "3",
        "3,1",
        "3,1,8,",
        "3,1,8,100,1",
        "3,1,8, 3,1,8",
        "3,1,,100",
        "-3,1,8",
        "+3,1,8,100",
        "3,1,8,-100",
        "3, 1,8",
        "3,1,8, 100",
        "3,1 1,8",
        "3,1,8\n",
        "3,1,8,1.5",
        "3.0,1,8",
        "3,1,8,1e2",
        "3,1,8,100%",
        "3,1,8,NaN",
        "0x3,1,8",
        "\u0663,1,8",
        "3;1;8",
        "9" * 20 + ",1,8",
        "3,1,8," + "9" * 20,
        "3,1,8,0",
        "3,1,8,000",
    )
    def test_invalid_load(self, value):
        """An invalid report changes which upstreams get requests, or loses its answer.

        Nothing of the report is used, and the rest of the head is read as without it.
        """
        rest = {"X-Weight-Versions": "7", "X-Server-Stamp": "s", "X-Attempt-Id": "r"}
        head = self.PROTOCOL.read_head(200, {**rest, "X-Instance-Load": value})
        self.assertEqual(head, self.PROTOCOL.read_head(200, rest))

    @tools.params(b"", b"{", b"[]", b'{"busy": false}', b'{"models": 3}')
    def test_unreadable_report(self, body):
        self.assertIsNone(self.PROTOCOL.read_report(body))


class Attempts(unittest.TestCase):
    @tools.params(
        (batch_messages.Submit("b", 1, bytes(200_000)), leader_calls.ATTEMPT_SECONDS),
        (batch_messages.Submit("b", 1, bytes(2**20)), client_calls._STORE_SECONDS),
        (batch_messages.Read("b", 0, 0.0), leader_calls.ATTEMPT_SECONDS),
    )
    def test_time_for_one_store(self, message, seconds):
        """Guards against usual batches that wait for a store which is down."""
        self.assertEqual(client_calls._attempt_seconds(message), seconds)
