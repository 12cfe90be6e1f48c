"""Random schedules of suspended gateways, lost majorities and failing services."""

import collections
import random
import unittest

import attrs
import eventlet
import hypothesis
from hypothesis import strategies

from tests import helpers, schedules_support
from tests.fakes import gateway_parts, request_path, scripted, trace, wsgi

N_STEPS = 30
KEYS = ("k1", "k2")


class Schedule:
    """Three gateways, one service, and callers that send bookings with two keys."""

    def __init__(self, seed, clock):
        self.rng = random.Random(seed)
        self.clock = clock
        self.group = gateway_parts.StateGroup()
        self.service = scripted.Scripted(
            self.serve, kind="application", application="schedule"
        )
        self.registry = gateway_parts.Registry()
        self.move_service()
        self.gateways = [
            request_path.Gateway(f"g{i}", self.group, self.registry) for i in range(3)
        ]
        self.n_sent = collections.Counter()
        self.reported_unknown = set()
        self.pending = []
        self.violations = []
        self.n_answers = collections.Counter()

    def serve(self, connection, received):
        key = received.headers["idempotency-key"]
        self.n_sent[key] += 1
        trace.note(self.clock.now, key, "served")
        if key in self.reported_unknown:
            self.violations.append((key, "sent after a caller received unknown"))
        answer = scripted.answer(received, b"booked", "201 Created")
        mode = self.rng.randrange(4)
        if mode == 0:
            return False
        if mode == 1:
            connection.sendall(answer[:-1])
            return False
        if mode == 2:
            eventlet.sleep(self.rng.choice([0.5, 20.0]))
        connection.sendall(answer)
        return True

    def book(self):
        key = self.rng.choice(KEYS)
        pending = self.rng.choice(self.gateways).book(key, X_Timeout_Seconds="10")
        pending.on_done(lambda answer: self.check(key, answer))
        self.pending.append(pending)

    def check(self, key, answer):
        """Check an answer at the moment when the caller receives it."""
        outcome = "completed"
        if answer.status != 201:
            outcome = answer.outcome
        self.n_answers[outcome] += 1
        trace.note(self.clock.now, key, answer.status, outcome)
        if outcome != "completed" and answer.reason == "outcome-unknown":
            self.reported_unknown.add(key)
        if outcome == "not-run" and self.n_sent[key]:
            self.violations.append((key, answer.reason))
        if outcome == "completed" and not self.n_sent[key]:
            self.violations.append((key, "answered without a run"))

    def suspend_gateway(self):
        how, command = self.rng.choice(list(request_path.STOPS.values()))
        setattr(self.rng.choice(self.gateways).state, how, command)

    def resume_gateways(self):
        for gateway in self.gateways:
            gateway.state.resume()

    def disconnect_caller(self):
        if self.pending:
            self.pending.pop(self.rng.randrange(len(self.pending))).disconnect()

    def lose_majority(self):
        self.group.has_majority = not self.group.has_majority

    def move_service(self):
        """Make the service unregistered, unreachable or available, at random."""
        upstream = self.service.upstream("a1")
        gone = attrs.evolve(upstream, address="127.0.0.1:1")
        choices = [{}, {"a1": gone}, {"a1": upstream}, {"a1": upstream}]
        self.registry.upstreams = self.rng.choice(choices)

    def pass_time(self):
        self.clock.advance(self.rng.choice([0.1, 1.0, 7.0, 30.0]))

    def run(self):
        steps = [self.book] * 5 + [
            self.suspend_gateway,
            self.resume_gateways,
            self.disconnect_caller,
            self.lose_majority,
            self.move_service,
            self.pass_time,
            self.pass_time,
        ]
        for _ in range(N_STEPS):
            self.rng.choice(steps)()
            self.settle()
        self.group.has_majority = True
        # The claims of suspended gateways are resolved before these are resumed.
        for _ in range(3):
            for _ in KEYS:
                self.book()
            self.settle()
            self.clock.advance(20.0)
        self.registry.upstreams = {"a1": self.service.upstream("a1")}
        self.resume_gateways()
        for _ in range(12):
            self.clock.advance(5.0)
            self.settle()

    def settle(self):
        turns = iter(range(12))
        wsgi.run_until(lambda: next(turns, None) is None)

    def stop(self):
        for gateway in self.gateways:
            gateway.stop()
        self.service.stop()


def run_schedule(seed):
    """Run one schedule and check its answers."""
    # The clock starts at a fixed time, as sums of seconds are rounded differently
    # from another start.
    with helpers.manual_clock() as clock, helpers.tasks_in_order():
        schedule = Schedule(seed, clock)
        try:
            schedule.run()
        finally:
            schedule.stop()
    assert schedule.violations == [], schedule.violations
    assert max(schedule.n_sent.values(), default=0) <= 1, schedule.n_sent
    assert schedule.n_answers.total() > 0


class AtMostOnce(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=12, deadline=None)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_any_schedule_sends_a_key_once_and_says_not_run_only_if_true(self, seed):
        """A booking must not run twice, nor be reported as not run if it was sent.

        Gateways are suspended and resumed at any step of a booking, and callers retry
        at all of them. Majorities are lost, the service fails, callers disconnect, time
        passes. The request of a key is sent at most once, and never after a caller
        received "unknown" for it. An answer "not-run" is given only if the request was
        not sent before.
        """
        with schedules_support.played_by(__name__, seed):
            run_schedule(seed)
