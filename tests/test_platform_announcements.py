"""Decoding announcements, departures and reports, also those of other programs."""

import json
import pathlib
import sys
import unittest

import hypothesis
from hypothesis import strategies
from nose2 import tools

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from bilberrydrum_platform import announcements, reports, strict  # noqa: E402

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
