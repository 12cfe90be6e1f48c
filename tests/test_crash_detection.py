"""Fingerprints of requests, and the probe of whether an upstream has crashed."""

import pathlib
import sys
import unittest

import eventlet
from nose2 import tools

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from bilberrydrum_platform import upstreams

from bilberrydrum.requests import crash_probe, fingerprints

GIVEN = ("POST", "Host.example", "/a/b?page=1", "desk", b"body")


class Fingerprints(unittest.TestCase):
    """The same work has the same fingerprint; a changed part is other work."""

    @tools.params(
        ("again", GIVEN, True),
        ("host in small letters", ("POST", "host.example", *GIVEN[2:]), True),
        ("method", ("PUT", *GIVEN[1:]), False),
        ("host", ("POST", "other.example", *GIVEN[2:]), False),
        ("path", (*GIVEN[:2], "/a/c?page=1", *GIVEN[3:]), False),
        ("query", (*GIVEN[:2], "/a/b?page=2", *GIVEN[3:]), False),
        ("caller", (*GIVEN[:3], "planner", b"body"), False),
        ("body", (*GIVEN[:4], b"bodz"), False),
        (
            "parts run together",
            ("POST", "host.example", "/a/b?page=1d", "esk", b"body"),
            0,
        ),
        ("body run together", (*GIVEN[:3], "deskb", b"ody"), False),
    )
    def test_same(self, name, other, is_same):
        first = fingerprints.of_request(*GIVEN)
        second = fingerprints.of_request(*other)
        self.assertEqual(first == second, bool(is_same), name)


class Identity(unittest.TestCase):
    """Headers of an attempt are not part of the identity, those of a caller are."""

    HEADERS = {"X-Model": "m", "X-Token-Count": "5,9", "Authorization": "a"}

    @tools.params(
        ("the same", {}, True),
        ("another attempt", {"X-Attempt-Id": "2", "X-Deadline-Ms": "7"}, True),
        ("traced", {"Traceparent": "00-1"}, True),
        ("case of names", {"x-model": "m"}, True),
        ("another caller", {"Authorization": "b"}, False),
        ("another model", {"X-Model": "n"}, False),
    )
    def test_identity(self, name, changed, is_same):
        protocol = upstreams.PlatformProtocol()
        given = protocol.identity_of({**self.HEADERS, **changed})
        self.assertEqual(given == protocol.identity_of(self.HEADERS), is_same, name)


class HasCrashed(unittest.TestCase):
    """Connections to a crashed process are refused; others succeed or time out."""

    def test_listens(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.assertFalse(crash_probe.has_crashed(address))

    def test_nobody_listens(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        listener.close()
        self.assertTrue(crash_probe.has_crashed(address))

    def test_no_address(self):
        self.assertFalse(crash_probe.has_crashed("nowhere.invalid:1"))
