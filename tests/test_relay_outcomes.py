"""Tests of relayed requests: the caller's answer after each kind of failure."""

import eventlet
from nose2 import tools

from bilberrydrum import clock, reasons
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.relay import model
from tests import relay_support

unframed = relay_support.unframed
cut = relay_support.cut
close = relay_support.close
hang = relay_support.hang
answer_with_other_id = relay_support.answer_with_other_id
OK = relay_support.OK
FULL = relay_support.FULL
MISDIRECTED = relay_support.MISDIRECTED
MISDIRECTED_WITH_HEADER = relay_support.answer(b"", 421, "Not-Run: 1")
MISDIRECTED_WITHOUT_ID = relay_support.without_id(421)
FAILED = relay_support.FAILED
NOT_GENUINE = relay_support.NOT_GENUINE
# Failures that do not say that the request did not run.
UNKNOWN_503 = relay_support.answer(b"", 503)
UNKNOWN_429 = relay_support.answer(b"", 429)
IDEMPOTENT = relay_support.IDEMPOTENT
ONCE = relay_support.ONCE


class Outcomes(relay_support.RelayCase):
    """The caller's answer, and the number of requests that each upstream received."""

    @tools.params(
        ("answered", IDEMPOTENT, (OK, OK), 200, [1, 0]),
        ("full, then answered", IDEMPOTENT, (FULL, OK), 200, [1, 1]),
        ("address of another incarnation", IDEMPOTENT, (MISDIRECTED, OK), 200, [1, 1]),
        ("failed, then answered", IDEMPOTENT, (FAILED, OK), 200, [1, 1]),
        ("closed, then answered", IDEMPOTENT, (close, OK), 200, [1, 1]),
        ("cut, then answered", IDEMPOTENT, (cut, OK), 200, [1, 1]),
        ("hung, then answered", IDEMPOTENT, (hang, OK), 200, [1, 1]),
        (
            "answer to another request",
            IDEMPOTENT,
            (answer_with_other_id, OK),
            200,
            [1, 1],
        ),
        ("answer is not genuine", IDEMPOTENT, (NOT_GENUINE, OK), 200, [1, 1]),
        ("ends with its connection", IDEMPOTENT, (unframed,), 200, [1]),
        ("both failed", IDEMPOTENT, (FAILED, FAILED), 500, [1, 1]),
        ("both full", IDEMPOTENT, (FULL, FULL), "not run", [1, 1]),
        ("full and closed", IDEMPOTENT, (FULL, close), "may have run", [1, 1]),
        ("once: answered", ONCE, (OK, OK), 200, [1, 0]),
        ("once: full, then answered", ONCE, (FULL, OK), 200, [1, 1]),
        ("once: failed", ONCE, (FAILED, OK), 500, [1, 0]),
        ("once: 503 of its own", ONCE, (UNKNOWN_503, OK), "may have run", [1, 0]),
        ("once: 429 of its own", ONCE, (UNKNOWN_429, OK), "may have run", [1, 0]),
        ("503s of their own", IDEMPOTENT, (UNKNOWN_503, UNKNOWN_503), 503, [1, 1]),
        ("once: closed", ONCE, (close, OK), "may have run", [1, 0]),
        ("once: cut", ONCE, (cut, OK), "may have run", [1, 0]),
        ("once: both full", ONCE, (FULL, FULL), "not run", [1, 1]),
        ("address, header", IDEMPOTENT, (MISDIRECTED_WITH_HEADER, OK), 200, [1, 1]),
        ("once: address, header", ONCE, (MISDIRECTED_WITH_HEADER, OK), 200, [1, 1]),
        ("both addresses", IDEMPOTENT, (MISDIRECTED, MISDIRECTED), "not run", [1, 1]),
        ("once: address", ONCE, (MISDIRECTED, OK), 200, [1, 1]),
        ("once: address, no id", ONCE, (MISDIRECTED_WITHOUT_ID, OK), 200, [1, 1]),
        ("once: both addresses", ONCE, (MISDIRECTED, MISDIRECTED), "not run", [1, 1]),
        ("once: address, closed", ONCE, (MISDIRECTED, close), "may have run", [1, 1]),
    )
    def test_outcome(self, name, kind, scripts, expected, n_received):
        given = self.handle(self.relay(*scripts), kind)
        if isinstance(given, model.Answered):
            outcome = given.status
        else:
            outcome = "may have run" if given.may_have_run else "not run"
            self.assertEqual(given.retry_after_seconds > 0, not given.may_have_run)
        self.assertEqual(outcome, expected, name)
        self.assertEqual(self.n_received(), n_received, name)

    def test_no_upstream(self):
        given = self.handle(self.relay())
        self.assertEqual(given.reason, reasons.Reason.NO_UPSTREAM)
        self.assertFalse(given.may_have_run)

    def test_unreachable(self):
        relay_ = self.relay(OK)
        self.servers[0].stop()
        self.assertFalse(self.handle(relay_).may_have_run)

    def test_leaving_upstream_gets_nothing(self):
        relay_ = self.relay(OK)
        known = self.view.registry.upstreams[0]
        gone = fleet_model.FleetUpstream(
            known.upstream_id, "s", known.address, "near", 6, is_leaving=True
        )
        self.view.registry = fleet_model.Registry(2, (gone,))
        self.assertEqual(self.handle(relay_).reason, reasons.Reason.NO_UPSTREAM)
        self.assertEqual(self.n_received(), [0])

    def test_time_left_and_incarnation_are_sent(self):
        self.handle(self.relay(FULL, OK), seconds=1.0)
        for n, server in enumerate(self.servers):
            headers = server.received[0].headers
            self.assertEqual(headers["x-only"], f"u{n}")
            self.assertLess(int(headers["x-left"]), 1000)
            self.assertEqual(server.received[0].target, "/x?q=1")

    def test_hung_upstream_leaves_time_for_another(self):
        began = clock.now()
        given = self.handle(self.relay(hang, OK), seconds=1.0)
        self.assertEqual(given.status, 200)
        self.assertLess(clock.now() - began, 0.7)


class ReusedAddress(relay_support.RelayCase):
    """Another upstream has the address of one that is gone, and answers 421."""

    def test_attempts_are_not_used_up(self):
        """Guard against 421s that count as runs and end the request."""
        relay_ = self.relay(MISDIRECTED, MISDIRECTED, MISDIRECTED, OK)
        self.assertEqual(self.handle(relay_, max_attempts=1).status, 200)

    def test_is_not_asked_again_at_once(self):
        """Guard against each request that goes to the reused address first."""
        relay_ = self.relay(MISDIRECTED, OK)
        for _ in range(20):
            self.assertEqual(self.handle(relay_, ONCE).status, 200)
        self.assertEqual(self.n_received(), [1, 20])

    @tools.params(IDEMPOTENT, ONCE)
    def test_only_upstream_is_not_asked_by_each_retry(self, kind):
        """Guard against a storm of retries at an address that refuses each of them."""
        relay_ = self.relay(MISDIRECTED)
        for _ in range(50):
            given = self.handle(relay_, kind)
            self.assertFalse(given.may_have_run)
            self.assertGreater(given.retry_after_seconds, 0)
        self.assertEqual(self.n_received(), [1])

    @tools.params(
        ("another one", 421, (OK,), 200),
        ("no other one", 421, (), "may have run"),
        ("full, and another one", 503, (OK,), 200),
        ("full, and no other one", 503, (), "may have run"),
    )
    def test_answer_to_an_earlier_request(self, name, status, others, expected):
        """Guard against "not run" on the word of an answer to another request.

        A second answer to an earlier request is left on a kept connection. It carries
        no id, so it does not show that this request did not run.
        """
        stale = relay_support.without_id(status, "Not-Run: 1")
        first = relay_support.in_turn(OK, stale)
        relay_ = self.relay(first, *others)
        self.assertEqual(self.handle(relay_).status, 200)
        # It uses up no attempt, since the upstream most likely means this request.
        given = self.handle(relay_, max_attempts=1)
        if isinstance(given, model.Answered):
            self.assertEqual(given.status, expected, name)
        else:
            self.assertEqual(given.may_have_run, expected == "may have run", name)
        self.assertEqual(self.servers[0].n_connections, 1)


class ShortDeadlines(relay_support.RelayCase):
    def test_short_deadlines_do_not_put_an_upstream_into_backoff(self):
        """Callers with deadlines of a few milliseconds time out at a healthy upstream.

        If these timeouts counted as the upstream's failures, it would be in backoff,
        and the next caller's request would be sent to the upstream in the other zone.
        With all upstreams in backoff, it would be sent to the one that failed first.
        """

        def slowly(connection, received):
            eventlet.sleep(0.05)
            return OK(connection, received)

        relay_ = self.relay(slowly, OK)
        for _ in range(3):
            self.handle(relay_, seconds=0.03, max_attempts=1)
        # With this target an answer after 0.05 s is not late, so it is not hedged.
        self.handle(relay_, target=0.4)
        self.assertEqual(self.n_received()[1], 0)
