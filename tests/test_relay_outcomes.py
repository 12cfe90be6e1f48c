"""Requests that are passed on: what each way of failing means for the caller."""

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
others_answer = relay_support.others_answer
OK = relay_support.OK
FULL = relay_support.FULL
ELSEWHERE = relay_support.ELSEWHERE
FAILED = relay_support.FAILED
FOREIGN = relay_support.FOREIGN
IDEMPOTENT = relay_support.IDEMPOTENT
ONCE = relay_support.ONCE


class Outcomes(relay_support.RelayCase):
    """The caller's answer, and how often each upstream was asked."""

    @tools.params(
        ("answered", IDEMPOTENT, (OK, OK), 200, [1, 0]),
        ("full, then answered", IDEMPOTENT, (FULL, OK), 200, [1, 1]),
        ("another's address", IDEMPOTENT, (ELSEWHERE, OK), 200, [1, 1]),
        ("failed, then answered", IDEMPOTENT, (FAILED, OK), 200, [1, 1]),
        ("closed, then answered", IDEMPOTENT, (close, OK), 200, [1, 1]),
        ("cut, then answered", IDEMPOTENT, (cut, OK), 200, [1, 1]),
        ("hung, then answered", IDEMPOTENT, (hang, OK), 200, [1, 1]),
        ("other's answer", IDEMPOTENT, (others_answer, OK), 200, [1, 1]),
        ("not its own answer", IDEMPOTENT, (FOREIGN, OK), 200, [1, 1]),
        ("ends with its connection", IDEMPOTENT, (unframed,), 200, [1]),
        ("both failed", IDEMPOTENT, (FAILED, FAILED), 500, [1, 1]),
        ("both full", IDEMPOTENT, (FULL, FULL), "not run", [1, 1]),
        ("full and closed", IDEMPOTENT, (FULL, close), "may have run", [1, 1]),
        ("once: answered", ONCE, (OK, OK), 200, [1, 0]),
        ("once: full, then answered", ONCE, (FULL, OK), 200, [1, 1]),
        ("once: failed", ONCE, (FAILED, OK), 500, [1, 0]),
        ("once: closed", ONCE, (close, OK), "may have run", [1, 0]),
        ("once: cut", ONCE, (cut, OK), "may have run", [1, 0]),
        ("once: both full", ONCE, (FULL, FULL), "not run", [1, 1]),
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


class Hurry(relay_support.RelayCase):
    def test_hurried_callers_do_not_drive_others_away(self):
        """Callers with a few milliseconds each time out at a healthy upstream.

        Held against it, the next caller would be sent to the far one, and with all
        upstreams marked to whichever was marked first.
        """

        def slowly(connection, received):
            eventlet.sleep(0.05)
            return OK(connection, received)

        relay_ = self.relay(slowly, OK)
        for _ in range(3):
            self.handle(relay_, seconds=0.03, max_attempts=1)
        # An answer of 0.05 s is in time for this one: nobody else is asked beside it.
        self.handle(relay_, target=0.4)
        self.assertEqual(self.n_received()[1], 0)
