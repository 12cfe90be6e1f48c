"""The tool tries another gateway when one is down, suspended or busy."""

import json
import unittest

import attrs
import urllib3
from nose2 import tools

from bilberrydrum_cli import client, rotation

A, B, C = "http://a", "http://b", "http://c"
FAILED = rotation.Failed()


def retry_after(seconds):
    return rotation.Failed(seconds)


# Gateways, deadline, and triples of time, event and expected effect.
ROTATIONS = (
    (
        "each gets its share of the time",
        (A, B, C),
        9.0,
        [
            (0.0, None, rotation.Try(A, 3.0)),
            (3.0, FAILED, rotation.Try(B, 3.0)),
            (6.0, FAILED, rotation.Try(C, 3.0)),
            (9.0, FAILED, rotation.GiveUp()),
        ],
    ),
    (
        "a round of gateways that are down is followed by a pause that grows",
        (A, B),
        100.0,
        [
            (0.0, None, rotation.Try(A, 50.0)),
            (0.0, FAILED, rotation.Try(B, 100.0)),
            (0.0, FAILED, rotation.Try(A, 49.9, 0.2)),
            (0.2, FAILED, rotation.Try(B, 99.8)),
            (0.2, FAILED, rotation.Try(A, 49.7, 0.4)),
        ],
    ),
    (
        "the shortest Retry-After of a round is used",
        (A, B, C),
        60.0,
        [
            (0.0, None, rotation.Try(A, 20.0)),
            (0.0, retry_after(7.0), rotation.Try(B, 30.0)),
            (0.0, retry_after(2.0), rotation.Try(C, 60.0)),
            (0.0, FAILED, rotation.Try(A, 58.0 / 3, 2.0)),
        ],
    ),
    (
        "a wait that would exceed the deadline is not begun",
        (A,),
        10.0,
        [
            (0.0, None, rotation.Try(A, 10.0)),
            (1.0, retry_after(30.0), rotation.GiveUp()),
        ],
    ),
    (
        "an attempt gets at least a second if there is one",
        (A, B, C),
        1.2,
        [
            (0.0, None, rotation.Try(A, 1.0)),
            (1.0, FAILED, rotation.Try(B, 1.2 - 1.0)),
        ],
    ),
)


@attrs.frozen
class Response:
    status: int
    data: bytes = b"{}"
    given_headers: dict[str, str] = attrs.field(factory=dict)
    # Whether the connection broke off within the head.
    is_cut: bool = False

    @property
    def headers(self):
        length = {} if self.is_cut else {"Content-Length": str(len(self.data))}
        return {**length, **self.given_headers}


REFUSED = urllib3.exceptions.NewConnectionError(None, "Connection refused")
RESET = urllib3.exceptions.ProtocolError("Connection aborted.")
FROZEN = urllib3.exceptions.ReadTimeoutError(None, "/", "Read timed out.")
NOT_CONNECTED = urllib3.exceptions.ConnectTimeoutError("timed out")
BUSY = Response(503, b'{"reason": "state-unavailable"}', {"Retry-After": "2"})
NOT_RUN = Response(503, b'{"outcome": "not-run"}', {"Retry-After": "2"})
OK = Response(200, b'{"x": 1}')


class Http:
    """Fake of urllib3: returns or raises the scripted outcomes in order."""

    def __init__(self, *script):
        self.script = list(script)
        self.requests = []

    def request(self, method, url, **details):
        self.requests.append((method, url, details))
        outcome = self.script.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


class Clock:
    """A clock that advances by each sleep, and a little each time it is read."""

    def __init__(self):
        self.now = 0.0
        self.sleeps = []

    def __call__(self):
        self.now += 0.01
        return self.now

    def sleep(self, seconds):
        self.sleeps.append(seconds)
        self.now += seconds


def make_client(http, gateways=(A, B), timeout=10.0, token=""):
    clock = Clock()
    made = client.Client(gateways, "ana", token, timeout, clock, clock.sleep, http)
    return made, clock


class TestRotation(unittest.TestCase):
    @tools.params(*ROTATIONS)
    def test_order_and_times(self, name, gateways, deadline, steps):
        order = rotation.Rotation(gateways)
        for now, event, expected in steps:
            effect = order.step(now, event or rotation.Begin(deadline))
            self.assertEqual(_rounded(effect), _rounded(expected))

    def test_last_gateway_that_answered_is_tried_first(self):
        order = rotation.Rotation((A, B))
        order.step(0.0, rotation.Begin(10.0))
        order.step(0.0, FAILED)
        self.assertEqual(order.step(0.0, rotation.Answered()), rotation.Done())
        self.assertEqual(order.step(5.0, rotation.Begin(15.0)), rotation.Try(B, 5.0))


def _rounded(effect):
    if isinstance(effect, rotation.Try):
        return attrs.evolve(effect, timeout_seconds=round(effect.timeout_seconds, 6))
    return effect


class TestClient(unittest.TestCase):
    @tools.params(
        ("dead", REFUSED, []),
        ("not connected in time", NOT_CONNECTED, []),
        ("crashed during the request", RESET, []),
        ("frozen", FROZEN, []),
        ("crashed within the head", Response(200, b"", is_cut=True), []),
        ("busy", BUSY, []),
        ("busy without a time", Response(503), []),
        ("its queue is full", Response(429, b"{}", {"Retry-After": "1"}), []),
        ("busy until a date", Response(503, b"", {"Retry-After": "Mon"}), []),
    )
    def test_change_goes_on_to_the_next_gateway(self, name, outcome, sleeps):
        """A change succeeds although the first gateway does not answer.

        The first gateway fails the request in the given way; the second one accepts the
        same request with the same body. Sending it twice is safe, since a bundle is
        identified by its digest.
        """
        http = Http(outcome, OK)
        made, clock = make_client(http)
        answer = made.json("POST", "/v1/bundles", {"content": "c"})
        self.assertEqual(answer.ok_value, {"x": 1})
        self.assertEqual(
            [url for _, url, _ in http.requests], [f"{A}/v1/bundles", f"{B}/v1/bundles"]
        )
        bodies = {details["body"] for _, _, details in http.requests}
        self.assertEqual(bodies, {b'{"content": "c"}'})
        self.assertEqual(clock.sleeps, sleeps)

    def test_waits_while_all_gateways_are_busy(self):
        http = Http(BUSY, BUSY, OK)
        made, clock = make_client(http)
        self.assertTrue(made.json("GET", "/v1/bundles").is_ok())
        self.assertEqual(clock.sleeps, [2.0])

    @tools.params(
        ("never sent", [REFUSED, NOT_CONNECTED], False),
        ("sent to one", [REFUSED, RESET], True),
        ("outcome unknown", [BUSY, REFUSED], True),
        ("refused as not run", [NOT_RUN, REFUSED], False),
    )
    def test_unavailable_says_whether_the_change_may_have_been_made(
        self, name, script, may_have_run
    ):
        made, _ = make_client(Http(*script), timeout=0.1)
        failure = made.json("POST", "/v1/bundles", {}).err_value
        self.assertIsInstance(failure, client.Unavailable)
        self.assertEqual(failure.may_have_run, may_have_run)
        self.assertEqual(set(failure.attempts_by_gateway), {A, B})

    def test_failed_query_has_changed_nothing(self):
        made, _ = make_client(Http(RESET, RESET), timeout=0.1)
        failure = made.json("GET", "/v1/bundles").err_value
        self.assertFalse(failure.may_have_run)

    @tools.params(
        ("conflict", Response(409, b'{"reason": "bundle-conflict"}'), "Refused"),
        ("error without a document", Response(500, b"<html>"), "Refused"),
        ("answer that is not JSON", Response(200, b"<html>"), "InvalidAnswer"),
        ("answer nested too deeply", Response(200, b"[" * 100_000), "InvalidAnswer"),
        ("elsewhere", Response(302, b"", {"Location": B}), "InvalidAnswer"),
    )
    def test_other_answers_are_final(self, name, response, expected):
        http = Http(response)
        made, _ = make_client(http)
        failure = made.json("GET", "/v1/bundles").err_value
        self.assertEqual(type(failure).__name__, expected)
        self.assertEqual(failure.gateway, A)

    def test_a_shorter_time_for_one_request(self):
        http = Http(FROZEN, FROZEN)
        made, _ = make_client(http, (A,), timeout=10.0)
        failure = made.json("GET", "/v1/bundles", timeout=0.02).err_value
        self.assertEqual((failure.seconds, len(http.requests)), (0.02, 1))

    def test_headers(self):
        http = Http(OK)
        made, _ = make_client(http, token="s3cret")
        made.json("GET", "/v1/bundles")
        headers = http.requests[0][2]["headers"]
        self.assertEqual(headers["X-Operator"], "ana")
        self.assertEqual(headers["Authorization"], "Bearer s3cret")
        self.assertEqual(json.loads(OK.data), {"x": 1})
