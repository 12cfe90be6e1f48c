"""Tests of hedging: late idempotent requests are sent to a second upstream."""

from unittest import mock

import eventlet
from nose2 import tools

from bilberrydrum import clock, quarantine
from bilberrydrum.fleet import messages, policy
from bilberrydrum.relay import hedging, model
from tests import relay_support

close = relay_support.close
hang = relay_support.hang
OK = relay_support.OK
FULL = relay_support.FULL
FAILED = relay_support.FAILED
IDEMPOTENT = relay_support.IDEMPOTENT
ONCE = relay_support.ONCE


class Hedged(relay_support.RelayCase):
    """An upstream accepts the request and hangs.

    Without hedging, the caller waits until that attempt times out, after twice the
    target latency or more. So the request is sent to a second upstream as well, if
    it may run more than once.
    """

    TARGET = 0.4

    def ask(self, relay_, **fields):
        began = clock.now()
        given = self.handle(relay_, seconds=2.0, target=self.TARGET, **fields)
        return given, clock.now() - began

    def slow(self, seconds, script=OK):
        def answer_late(connection, received):
            eventlet.sleep(seconds)
            return script(connection, received)

        return answer_late

    def test_answered_inside_the_target(self):
        given, seconds = self.ask(self.relay(hang, OK))
        self.assertEqual(given.status, 200)
        self.assertLess(seconds, self.TARGET)
        self.assertEqual(self.n_received(), [1, 1])

    @tools.params(
        ("runs once", hang, {"kind": ONCE}, [1, 0]),
        ("one upstream allowed", hang, {"max_attempts": 1}, [1, 0]),
        ("answers in time", OK, {}, [1, 0]),
    )
    def test_not_hedged(self, name, script, fields, n_received):
        self.ask(self.relay(script, OK), **fields)
        self.assertEqual(self.n_received(), n_received, name)

    @tools.params(
        ("the first, a little late", 0.25, OK, 0.6, OK, 200),
        ("the second fails", 0.3, OK, 0.0, FAILED, 200),
        ("the second is full", 0.3, OK, 0.0, FULL, 200),
        ("both fail", 0.25, close, 0.1, close, "may have run"),
        ("both are full", 0.25, FULL, 0.1, FULL, "not run"),
    )
    def test_either_answers(self, name, first, script, second, other, expected):
        """The request is hedged, and its upstreams answer or fail in different orders.

        It is sent to no third upstream. The refusal says "not run" only if both
        upstreams have stated that they did not run the request.
        """
        given, _ = self.ask(
            self.relay(self.slow(first, script), self.slow(second, other))
        )
        if isinstance(given, model.Refused):
            may_have_run = given.may_have_run
            self.assertEqual("may have run" if may_have_run else "not run", expected)
        else:
            self.assertEqual(given.status, expected, name)
        self.assertLessEqual(max(self.n_received()), 1)

    def test_suspected_request_is_sent_to_one_upstream_at_a_time(self):
        relay_ = self.relay(hang, OK, OK)
        crashes = {
            "standing": lambda _: quarantine.Standing.DOUBTFUL,
            "may_try": lambda *_: messages.Trial(True),
        }
        with mock.patch.multiple(relay_._crashes, **crashes):
            self.ask(relay_)
        self.assertEqual(self.n_received(), [1, 0, 0])

    def test_number_of_hedges_is_bounded(self):
        """All upstreams are slow, and every request is late.

        A second copy of each request would slow the upstreams down further. Of 400
        requests, no more are hedged than the budget's share plus its initial content.
        """
        given = hedging.Hedging()
        asked = 0
        for _ in range(400):
            given.count_first_attempt()
            asked += given.try_take_hedge(1000.0)
        self.assertLess(asked, 400 * 0.05 + 20)

    @tools.params(
        ("no answers yet", [], 0.2),
        ("quick answers", [0.04] * 20, 0.2),
        ("answers take most of the target", [0.3] * 20, 0.9),
    )
    def test_hedge_delay(self, name, seconds, expected):
        given = hedging.Hedging()
        for each in seconds:
            given.record_latency("s", each)
        route = policy.Route(
            "r", "h", "/", IDEMPOTENT, (), target_latency_seconds=self.TARGET
        )
        self.assertAlmostEqual(given.hedge_delay(route, "s"), expected, msg=name)
