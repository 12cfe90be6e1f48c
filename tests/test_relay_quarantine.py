"""How the relay treats suspected and quarantined requests, and how it answers."""

import result
from nose2 import tools

from bilberrydrum import quarantine, reasons
from bilberrydrum.fleet import messages
from bilberrydrum.relay import model, relayed_requests
from bilberrydrum.requests import fingerprints
from bilberrydrum.state import client
from tests import relay_support

close = relay_support.close
OK = relay_support.OK
FULL = relay_support.FULL
FAILED = relay_support.FAILED


class Group:
    """Fake of the control group, which grants trials or refuses them."""

    def __init__(self, grants, upstream_id=""):
        self.grants = grants
        self.upstream_id = upstream_id
        self.n_asked = 0

    def call(self, message, timeout):
        self.n_asked += 1
        if self.grants is None:
            error = client.StateError(reasons.Reason.STATE_UNAVAILABLE)
            return result.Err(error)
        return result.Ok(messages.Trial(self.grants, self.upstream_id))


class CrashesOfRequest(relay_support.RelayCase):
    """Outcome of a request with a crash history, before and after a run."""

    def record_crashes(self, relay_, ended_ids, n_seconds=1.0):
        """Store crashes of the request in the control group's history."""
        fingerprint = fingerprints.of_request("POST", "h", "/x?q=1", "", b"body")
        history = quarantine.CrashHistory()
        for number, upstream_id in enumerate(ended_ids):
            crash = quarantine.Crash(fingerprint, "", upstream_id)
            history.record(crash, 100.0 + number * n_seconds)
        self.view.crashes = history
        relay_._crashes._calls = self.group

    @tools.params(
        # Name, upstreams' scripts, crashed upstreams, whether a trial is granted (None:
        # no leader); outcome, requests that each upstream received, calls to the group.
        ("one crash", (OK, OK), ("a",), False, "200", [1, 0], 0),
        ("two, tried", (OK, OK), ("a", "b"), True, "200", [1, 0], 1),
        ("two, another copy is", (OK, OK), ("a", "b"), False, "retry later", [0, 0], 1),
        ("two, no leader", (OK, OK), ("a", "b"), None, "retry later", [0, 0], 1),
        (
            "two, the last but one",
            (OK, OK),
            ("a", "u1"),
            True,
            "retry later",
            [0, 0],
            0,
        ),
        ("two, the only one", (OK,), ("a", "b"), True, "200", [1], 1),
        ("two, tried at one only", (close, OK), ("a", "b"), True, "ran", [1, 0], 1),
        ("two, a full one first", (FULL, OK), ("a", "b"), True, "200", [1, 1], 1),
        ("three", (OK, OK), ("a", "b", "c"), True, "final", [0, 0], 0),
    )
    def test_outcome(self, name, scripts, ended, grants, expected, received, n_asked):
        self.group = Group(grants)
        relay_ = self.relay(*scripts)
        self.record_crashes(relay_, ended)
        given = self.handle(relay_)
        self.assertEqual(self.outcome(given), expected, name)
        self.assertEqual(self.n_received(), received, name)
        self.assertEqual(self.group.n_asked, n_asked, name)

    @tools.params(("u0", [1, 0]), ("u1", [0, 1]), ("has left", [1, 0]))
    def test_trial_goes_to_the_upstream_that_was_granted(self, upstream_id, received):
        """Another request is being tried at the upstream that the gateway prefers."""
        self.group = Group(True, upstream_id)
        relay_ = self.relay(OK, OK)
        self.record_crashes(relay_, ("a", "b"))
        self.assertEqual(self.outcome(self.handle(relay_)), "200")
        self.assertEqual(self.n_received(), received)

    def test_request_with_attributed_crashes_is_tried(self):
        """All crashes of a request are attributed to one that is quarantined.

        It is clear, but is not sent where others that were cut off repeatedly run.
        """
        self.group = Group(False)
        relay_ = self.relay(OK, OK)
        self.record_crashes(relay_, ("a", "b"))
        history = self.view.crashes
        for number, upstream_id in enumerate("abc"):
            crash = quarantine.Crash("culprit", "", upstream_id)
            history.record(crash, 100.0 + number)
        (own,) = history.evidence_by_fingerprint.keys() - {"culprit"}
        self.assertIs(history.standing(own), quarantine.Standing.CLEAR)
        self.assertEqual(self.outcome(self.handle(relay_)), "retry later")
        self.assertEqual((self.n_received(), self.group.n_asked), ([0, 0], 1))

    def outcome(self, given):
        if isinstance(given, model.Answered):
            return str(given.status)
        if given.is_final:
            return "final"
        if given.may_have_run:
            return "ran"
        least, most = relayed_requests.SUSPECTED_RETRY_RANGE
        self.assertTrue(least <= given.retry_after_seconds <= most)
        return "retry later"

    def test_quarantined_between_two_attempts(self):
        """A request is quarantined while its first attempt runs, and is sent again.

        Other gateways report the third crash during the attempt. The next attempt of
        the same request must not be sent.
        """
        self.group = Group(True)

        def fail(connection, received):
            self.record_crashes(relay_, ("a", "b", "c"))
            return FAILED(connection, received)

        relay_ = self.relay(fail, OK)
        given = self.handle(relay_)
        self.assertEqual(given.status, 500)
        self.assertEqual(self.n_received(), [1, 0])
