"""Idempotent requests that are late are asked twice, and no others."""

from unittest import mock

import eventlet
from nose2 import tools

from bilberrydrum import clock, quarantine
from bilberrydrum.fleet import policy
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
    """An upstream takes the request and stands still.

    The caller would wait until that attempt is given up, twice the target and more.
    Another upstream is asked meanwhile, where the request may run more than once.
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
    def test_not_asked_twice(self, name, script, fields, n_received):
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
        """No third upstream is asked, and "not run" waits for the word of both."""
        given, _ = self.ask(
            self.relay(self.slow(first, script), self.slow(second, other))
        )
        if isinstance(given, model.Refused):
            may_have_run = given.may_have_run
            self.assertEqual("may have run" if may_have_run else "not run", expected)
        else:
            self.assertEqual(given.status, expected, name)
        self.assertLessEqual(max(self.n_received()), 1)

    def test_doubtful_request_is_sent_to_one_at_a_time(self):
        relay_ = self.relay(hang, OK, OK)
        crashes = {
            "standing": lambda _: quarantine.Standing.DOUBTFUL,
            "may_try": lambda _: True,
        }
        with mock.patch.multiple(relay_._crashes, **crashes):
            self.ask(relay_)
        self.assertEqual(self.n_received(), [1, 0, 0])

    def test_bounded(self):
        """All upstreams are slow: a second copy of each request would slow them more.

        Of 40 requests no more are asked twice than the budget has at its start.
        """
        given = hedging.Hedging()
        asked = 0
        for _ in range(400):
            given.first_attempt()
            asked += given.may_ask_second(1000.0)
        self.assertLess(asked, 400 * 0.05 + 20)

    @tools.params(
        ("nothing known", [], 0.2),
        ("quick answers", [0.04] * 20, 0.2),
        ("answers take most of the target", [0.3] * 20, 0.9),
    )
    def test_patience(self, name, seconds, expected):
        given = hedging.Hedging()
        for each in seconds:
            given.answered("s", each)
        route = policy.Route(
            "r", "h", "/", IDEMPOTENT, (), target_latency_seconds=self.TARGET
        )
        self.assertAlmostEqual(given.patience(route, "s"), expected, msg=name)
