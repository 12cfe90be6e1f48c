"""Operators' routes to list crash-causing requests and to lift a quarantine."""

import unittest

import result
from nose2 import tools

from bilberrydrum import options, quarantine, reasons
from bilberrydrum.fleet import messages
from bilberrydrum.http import crashes, edge
from bilberrydrum.requests import crash_memory, crash_record
from bilberrydrum.state import client
from tests.fakes import wsgi


def history_of(*ended_at):
    """Return a history with one request that was cut off by crashes."""
    history = quarantine.CrashHistory()
    for number, at in enumerate(ended_at):
        history.record(quarantine.Crash("ab", "POST h/x", f"u{number}"), at)
    return history


class Calls:
    """Fake of the calls to the control group."""

    def __init__(self, history=None):
        self.history = history
        self.lifted = []

    def call(self, message, timeout):
        if self.history is None:
            error = client.StateError(reasons.Reason.STATE_UNAVAILABLE)
            return result.Err(error)
        if isinstance(message, messages.LiftQuarantine):
            self.lifted.append(message.fingerprint)
            return result.Ok(messages.Done())
        return result.Ok(self.history)


def send(record, method, target, tokens=None, headers=None):
    app = edge.Edge(options.LimitOptions(), tokens or {})
    crashes.add_routes(app, record)
    return wsgi.send(app, method, target, headers=headers).wait()


class GroupHistory(unittest.TestCase):
    @tools.params(
        ("doubtful", (1.0, 2.0), "doubtful", 0),
        ("quarantined", (1.0, 2.0, 3.0), "quarantined", 1),
    )
    def test_list(self, name, ended_at, standing, n_quarantines):
        record = crashes.GroupRecord(Calls(history_of(*ended_at)))
        (row,) = send(record, "GET", "/v1/quarantine").document["requests"]
        self.assertEqual(row["standing"], standing, name)
        self.assertEqual(row["n_quarantines"], n_quarantines)
        self.assertEqual(row["subject"], "POST h/x")
        self.assertEqual(row["ended_ids"], [f"u{n}" for n in range(len(ended_at))])

    @tools.params(("ab", 200, ["ab"]), ("cd", 404, []))
    def test_lift(self, fingerprint, status, lifted):
        calls = Calls(history_of(1.0, 2.0, 3.0))
        record = crashes.GroupRecord(calls)
        answer = send(record, "DELETE", f"/v1/quarantine/{fingerprint}")
        self.assertEqual((answer.status, calls.lifted), (status, lifted))

    @tools.params(("GET", "/v1/quarantine"), ("DELETE", "/v1/quarantine/ab"))
    def test_no_leader(self, method, target):
        answer = send(crashes.GroupRecord(Calls()), method, target)
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)

    def test_token(self):
        record = crashes.GroupRecord(Calls(history_of()))
        tokens = {edge.GUARD_OPERATOR: b"secret"}
        self.assertEqual(send(record, "GET", "/v1/quarantine", tokens).status, 401)


class LocalGatewayHistory(unittest.TestCase):
    def test_list_and_lift(self):
        record = crash_record.LocalRecord()
        memory = crash_memory.CrashMemory(record)
        crash = quarantine.Crash("ab", "desk: GET schedule/x", "u")
        report = messages.CrashReport(crash, 0.0)
        record.call(messages.ReportCrashes((report,)), 1.0).unwrap()
        (row,) = send(memory, "GET", "/v1/quarantine").document["requests"]
        self.assertEqual(row["standing"], "clear")
        self.assertEqual(send(memory, "DELETE", "/v1/quarantine/ab").status, 200)
        self.assertTrue(memory.history().is_empty())
