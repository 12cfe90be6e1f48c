"""Decoding announcements, departures and reports, also those of other programs."""

import json
import pathlib
import sys
import unittest

import hypothesis
import result
from hypothesis import strategies
from nose2 import tools

from bilberrydrum import options
from bilberrydrum.http import edge
from tests import helpers, test_fleet_incarnations
from tests.fakes import wsgi

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from bilberrydrum_platform import (  # noqa: E402
    announcements,
    control_calls,
    reports,
    strict,
)

ENGINE = {
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "cold_remaining_ms": 0,
    "stage": "prefill_decode",
    "models": [{"name": "m", "version": 4, "adapters": []}],
    "seq": 3,
}
BORN = 1790548312101
REPORT = {
    "stage": "prefill_decode",
    "models": [{"name": "m", "version": 4, "adapters": []}],
    "busy": False,
    "seq": 2,
    "num_waiting": 1,
    "num_running": 12,
    "kv_used": 41000,
    "kv_total": 90000,
    "handles": 0,
}
REQUIRED = ("service", "address", "zone", "version", "slots", "state", "seq")
REQUIRED += ("cold_remaining_ms",)


def dumped(value):
    return value if isinstance(value, bytes) else json.dumps(value).encode()


def without(document, name):
    return {key: value for key, value in document.items() if key != name}


def read(body, announced_id="i-1"):
    """Return the announced upstream, or None if the announcement is rejected."""
    try:
        return announcements.read_announcement(announced_id, dumped(body))
    except strict.DocumentError:
        return None


class Announcements(unittest.TestCase):
    """An announcement with any invalid field registers no upstream.

    Another program may send requests to the same addresses. If "12" were accepted as a
    number, or true as 1, its document would register an upstream that does not exist,
    and would replace a valid one of the same id.
    """

    @tools.params(
        ("an engine", ENGINE, None),
        ("a plain service", without(without(ENGINE, "models"), "stage"), None),
        ("with its start time", {**ENGINE, "born": BORN}, BORN),
        ("fields of a later release", {**ENGINE, "more": [{}]}, None),
    )
    def test_valid(self, name, document, start):
        found = read(document)
        self.assertEqual((found.announced_id, found.n_slots), ("i-1", 12), name)
        self.assertEqual(found.started_at_ms, start, name)
        self.assertEqual(found.sequence, 3)

    @tools.params(*REQUIRED)
    def test_missing(self, field):
        self.assertIsNone(read(without(ENGINE, field)))

    @tools.params(
        ("service", 3),
        ("service", ""),
        ("service", None),
        ("address", "10.128.0.9"),
        ("address", "10.128.0.9:0"),
        ("address", "10.128.0.9:99999999999"),
        ("address", "host:80"),
        ("address", ["10.128.0.9:80"]),
        ("zone", {}),
        ("version", 1),
        ("slots", "12"),
        ("slots", True),
        ("slots", 12.5),
        ("slots", 0),
        ("slots", -3),
        ("slots", 10**30),
        ("state", "starting"),
        ("state", 1),
        ("state", ["ready"]),
        ("cold_remaining_ms", "0"),
        ("cold_remaining_ms", -1),
        ("cold_remaining_ms", 10**400),
        ("models", 3),
        ("models", None),
        ("models", [3]),
        ("models", [{"name": "m"}]),
        ("models", [{"name": 1, "version": 4}]),
        ("models", [{"name": "m", "version": "4"}]),
        ("models", [{"name": "m", "version": True}]),
        ("models", {"name": "m", "version": 4}),
        ("seq", "3"),
        ("seq", None),
        ("seq", -1),
        ("seq", 2**60),
        ("born", str(BORN)),
        ("born", float(BORN)),
        ("born", True),
        ("born", None),
        ("born", [BORN]),
        ("born", -BORN),
        ("born", 10**40),
    )
    def test_wrong_type_or_range(self, field, value):
        self.assertIsNone(read({**ENGINE, field: value}), (field, value))

    @tools.params(
        ("not JSON", b"{"),
        ("empty", b""),
        ("a list", b"[]"),
        ("text", b'"ready"'),
        ("nothing", b"null"),
        ("bytes that are not UTF-8", b"\xff\xfe\x00{"),
        ("string that is not UTF-8", dumped(ENGINE).replace(b'"z"', b'"\xff"')),
        ("nested too deeply", b'{"models":' * 100_000),
        ("a number with too many digits", b'{"seq":' + b"9" * 10_000 + b"}"),
    )
    def test_unreadable(self, name, body):
        self.assertIsNone(read(body), name)

    @tools.params("", "a b", "a\r\nX: y", "\x00", "a/b", "ä", "i" * 200)
    def test_invalid_names(self, announced_id):
        """An id with special characters would break a header.

        The id is sent in a header of each request to the upstream.
        """
        self.assertIsNone(read(ENGINE, announced_id))

    def test_all_faults_are_reported(self):
        body = dumped({**ENGINE, "slots": "x", "seq": None})
        with self.assertRaises(strict.DocumentError) as caught:
            announcements.read_announcement("i-1", body)
        self.assertIn("slots", str(caught.exception))
        self.assertIn("seq", str(caught.exception))


class Departures(unittest.TestCase):
    @tools.params(
        ("no body", b"", None),
        ("empty object", {}, None),
        ("start time", {"born": BORN}, BORN),
    )
    def test_valid(self, name, body, start):
        found = announcements.read_departure("i-1", dumped(body))
        self.assertEqual((found.announced_id, found.started_at_ms), ("i-1", start))

    @tools.params([], {"born": "5"}, {"born": None}, b"\xff", b"{")
    def test_invalid(self, body):
        with self.assertRaises(strict.DocumentError):
            announcements.read_departure("i-1", dumped(body))


class Reports(unittest.TestCase):
    def test_valid(self):
        found = reports.read_report(dumped({**REPORT, "born": BORN}))
        self.assertEqual(found.versions_by_model, {"m": 4})
        self.assertEqual((found.sequence, found.n_running), (2, 12))
        self.assertEqual(found.started_at_ms, BORN)

    @tools.params(
        ("busy", 1),
        ("busy", "false"),
        ("seq", True),
        ("seq", "2"),
        ("models", None),
        ("num_running", -1),
        ("kv_total", "many"),
        ("born", "5"),
    )
    def test_wrong_type(self, field, value):
        with self.assertRaises(strict.DocumentError):
            reports.read_report(dumped({**REPORT, field: value}))


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=True)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)
FIELDS = (*ENGINE, "born")


class ArbitraryAnnouncements(unittest.TestCase):
    """Any document is rejected or gives an upstream whose fields are valid."""

    def check(self, body):
        found = read(body)
        if found is None:
            return
        self.assertIs(type(found.n_slots), int)
        self.assertGreater(found.n_slots, 0)
        self.assertIs(type(found.sequence), int)
        self.assertIn(type(found.started_at_ms), (int, type(None)))
        self.assertTrue(all(type(v) is int for v in found.versions_by_model.values()))
        self.assertTrue(all(type(k) is str for k in found.versions_by_model))
        self.assertRegex(found.address, r"^\d+\.\d+\.\d+\.\d+:\d+$")

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.dictionaries(strategies.sampled_from(FIELDS), VALUES, max_size=3)
    )
    def test_fields_of_other_types(self, changed):
        self.check({**ENGINE, **changed})

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(strategies.binary(max_size=60), strategies.integers(0, 250))
    def test_inserted_bytes(self, inserted, at):
        body = dumped(ENGINE)
        self.check(body[:at] + inserted + body[at + len(inserted) :])


class Calls:
    """Passes messages to the control leader, as `leader_calls.LeaderCalls` does."""

    def __init__(self, leader):
        self.leader = leader

    def call(self, message, timeout):
        return result.Ok(self.leader.send(message))


class ControlNode:
    """A control process of which only the calls to the leader are used."""

    def __init__(self, leader):
        self.calls = Calls(leader)


class InvalidForms(unittest.TestCase):
    """Documents of another implementation, sent over HTTP to a control leader.

    Two upstreams are registered. An invalid document for a new id, or for the id of one
    of them, must be refused, register no upstream and change none: otherwise requests
    are sent to an upstream that does not exist, or not to one that does.
    """

    def setUp(self):
        self.clock = self.enterContext(helpers.manual_clock())
        self.leader = test_fleet_incarnations.Leader(self.clock)
        self.addCleanup(self.leader.service.stop)
        self.leader.put_policy("s")
        self.app = edge.Edge(options.LimitOptions(), {})
        control_calls.ControlCalls(ControlNode(self.leader)).add_routes(self.app)
        for announced_id, address in (("i-1", "10.0.0.1:80"), ("i-2", "10.0.0.2:80")):
            document = {**ENGINE, "address": address, "born": BORN}
            self.assertEqual(self.send(announced_id, "heartbeat", document), 200)
        self.known = dict(self.leader.section.upstreams_by_id)
        self.assertEqual(len(self.known), 2)

    def send(self, announced_id, call, document):
        path = f"/api/instances/{announced_id}/{call}"
        return wsgi.send(self.app, "POST", path, dumped(document)).wait().status

    def check(self, call, document, statuses=(400,)):
        for announced_id in ("i-1", "i-9"):
            status = self.send(announced_id, call, document)
            self.assertIn(status, statuses, (announced_id, document))
            self.assertEqual(dict(self.leader.section.upstreams_by_id), self.known)

    @tools.params(
        *(without(ENGINE, name) for name in REQUIRED),
        *({**ENGINE, name: None} for name in REQUIRED),
        *({**ENGINE, name: [ENGINE[name]]} for name in REQUIRED),
        *({**ENGINE, name: {"is": ENGINE[name]}} for name in REQUIRED),
        {**ENGINE, "service": 3},
        {**ENGINE, "address": 80},
        {**ENGINE, "slots": "12"},
        {**ENGINE, "slots": 1.5},
        {**ENGINE, "seq": "4"},
        {**ENGINE, "seq": 4.5},
        {**ENGINE, "cold_remaining_ms": "0"},
        {**ENGINE, "models": "m"},
        {**ENGINE, "state": "gone"},
        {**ENGINE, "state": "READY"},
        {**ENGINE, "state": ""},
        {**ENGINE, "born": "x"},
        {**ENGINE, "born": str(BORN)},
        {**ENGINE, "born": BORN + 0.5},
        {**ENGINE, "born": float(BORN)},
        {**ENGINE, "born": True},
        {**ENGINE, "born": -BORN},
        {**ENGINE, "born": None},
        [ENGINE],
        "ready",
        b"",
        b"{",
        b"\xff\xfe",
        b"\x1f\x8b\x08\x00",
        dumped(ENGINE).replace(b'"z"', b'"\xc3\x28"'),
        dumped(ENGINE).replace(b"12", b"NaN"),
        dumped(ENGINE)[:-1],
        dumped(ENGINE) + b"}",
    )
    def test_announcement(self, document):
        self.check("heartbeat", document)

    def test_announcement_for_an_unknown_service(self):
        self.check("heartbeat", {**ENGINE, "service": "other"}, (409,))

    @tools.params(
        {"born": "x"},
        {"born": str(BORN)},
        {"born": BORN + 0.5},
        {"born": float(BORN)},
        {"born": True},
        {"born": -BORN},
        {"born": None},
        {"born": [BORN]},
        {"born": {}},
        [],
        "gone",
        7,
        b"null",
        b"{",
        b"born",
        b"\xff\xfe",
        b'{"born": 1e999}',
        b'{"born": NaN}',
        b'{"born": ' + b"9" * 40 + b"}",
    )
    def test_departure(self, document):
        self.check("deregister", document)

    def test_valid_forms_take_effect(self):
        """The tests above would pass if the calls did nothing at all."""
        self.assertEqual(self.send("i-9", "heartbeat", {**ENGINE, "born": BORN}), 200)
        self.assertEqual(self.send("i-1", "deregister", {"born": BORN}), 200)
        known = {each.split("/")[0]: leaving for each, leaving in self.leader.known()}
        self.assertEqual(known, {"i-2": False, "i-9": False})
