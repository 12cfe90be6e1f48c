"""The refusal of batches whose items would be abandoned before they start."""

import unittest
from unittest import mock

import attrs
from nose2 import tools

from bilberrydrum import clock
from bilberrydrum.batches import backlog, model
from bilberrydrum.fleet import policy
from tests import test_batches_scheduling_pass as shared

A, B, C = ("a", ""), ("b", ""), ("", "m")
# At 100 tokens per second, 4,000 tokens are done before items are abandoned.
RATE = 100.0
MAX_QUEUE = 40.0


def retry_after(queued, n_tokens=1000.0, owner=A, rate=RATE, max_queue=MAX_QUEUE):
    submission = backlog.Submission(owner, n_tokens, max_queue)
    return backlog.retry_after_seconds(submission, queued, rate)


class Refusal(unittest.TestCase):
    @tools.params(
        ("nothing queued", {}, 0.0),
        ("fits", {A: 3000.0}, 0.0),
        ("does not fit", {A: 4000.0}, 10.0),
        ("others have as much", {A: 3000.0, B: 4000.0}, 40.0),
        ("others have less", {A: 3000.0, B: 500.0, C: 700.0}, 12.0),
        ("only others have work", {B: 1e6, C: 1e6}, 0.0),
        ("little of its own", {A: 1.0, B: 1e6}, 0.0),
    )
    def test_queue(self, name, queued, expected):
        self.assertAlmostEqual(retry_after(queued), expected, msg=name)

    @tools.params(
        ("unknown rate", {"rate": 0.0}),
        ("no limit", {"max_queue": 0.0}),
    )
    def test_accepted_if_unknown(self, name, given):
        self.assertEqual(retry_after({A: 1e9}, **given), 0.0, name)

    def test_batch_that_is_too_large_for_an_empty_queue(self):
        """Guard against a batch that is refused however often it is submitted."""
        self.assertEqual(retry_after({}, 1e6), 0.0)
        self.assertEqual(retry_after({B: 1e6, C: 1e6}, 1e6), 0.0)
        self.assertAlmostEqual(retry_after({A: 200.0}, 1e6), 2.0)

    def test_retry_after_is_true(self):
        """Guard against callers who come back at the named time and are refused."""
        for queued in (3500.0, 9000.0, 50000.0):
            for others in ({}, {B: 2000.0}, {B: 2000.0, C: 90000.0}):
                remaining = {A: queued, **others}
                seconds = retry_after(remaining)
                for _ in range(round(seconds * 10) + 1):
                    share = RATE / 10 / sum(1 for e in remaining.values() if e)
                    remaining = {e: max(n - share, 0) for e, n in remaining.items()}
                self.assertLess(retry_after(remaining), 0.5, (queued, others))

    def test_owner(self):
        """Batches without an account are counted by model."""
        self.assertNotEqual(backlog.owner_of(None, "a"), backlog.owner_of("a", "m"))
        self.assertEqual(backlog.owner_of("a", "m"), backlog.owner_of("a", "n"))


class Throughput(unittest.TestCase):
    def observed(self, n_passes, has_waiting, n_tokens=25.0):
        """Observe passes at an interval of 0.25 s, with `n_tokens` in each."""
        throughput = backlog.Throughput()
        for number in range(n_passes):
            throughput.observe(has_waiting(number), 0.25 * number)
            throughput.record_finished(n_tokens)
        return throughput

    def test_busy_engines(self):
        throughput = self.observed(200, lambda number: True)
        self.assertAlmostEqual(throughput.tokens_per_second(), RATE)

    @tools.params(
        ("just started", 10, lambda number: True),
        ("nothing waits", 200, lambda number: False),
        ("short queues", 200, lambda number: number % 20 < 2),
    )
    def test_unknown(self, name, n_passes, has_waiting):
        """Guard against refusals by engines that had nothing to do.

        What idle engines deliver is what was asked for, not what they can do.
        """
        throughput = self.observed(n_passes, has_waiting)
        self.assertEqual(throughput.tokens_per_second(), 0.0, name)

    def test_idle_time_does_not_count(self):
        throughput = self.observed(200, lambda number: number % 20 < 10)
        self.assertAlmostEqual(throughput.tokens_per_second(), RATE)

    def test_follows_a_change(self):
        """Engines are lost, and the rate falls by three quarters within 40 s."""
        throughput = self.observed(200, lambda number: True)
        for number in range(200, 360):
            throughput.observe(True, 0.25 * number)
            throughput.record_finished(6.25)
        self.assertLess(throughput.tokens_per_second(), 0.4 * RATE)

    def test_suspended_process(self):
        """Guard against a rate near 0 after the process was suspended."""
        throughput = self.observed(200, lambda number: True)
        throughput.observe(True, 500.0)
        self.assertAlmostEqual(throughput.tokens_per_second(), RATE)


class Queue(shared.SchedulingPassCase):
    """The queue of a runner, from which no item has been sent yet."""

    def limit_queue(self):
        table = self.view.routes.policy
        route = attrs.evolve(table.routes[0], max_queue_seconds=MAX_QUEUE)
        changed = attrs.evolve(table, routes=(route,))
        self.view.routes = policy.RouteTable(changed)

    def submitted(self, model_name):
        item = model.Item("i", "/p/x", {}, b"body", 400)
        batch = model.Batch("new", "h", (item,), model=model_name)
        return self.runner.retry_after_seconds(batch)

    @tools.params(
        ("same model", "m", 40.0, 0.0),
        ("same model, slow engines", "m", 32.0, 10.0),
        ("same model, slower engines", "m", 20.0, 40.0),
        ("another model", "n", 0.1, 0.0),
        ("rate not known", "m", 0.0, 0.0),
    )
    def test_submission(self, name, model_name, rate, expected):
        """60 items of 20 tokens wait; the new batch has 400 tokens."""
        self.limit_queue()
        self.assertTrue(self.runner.has_queue())
        throughput = self.runner._pace.throughput
        with mock.patch.object(type(throughput), "tokens_per_second", lambda _: rate):
            self.assertAlmostEqual(self.submitted(model_name), expected, msg=name)

    def test_rate_is_learned_in_passes(self):
        """Guard against a rate that is never known, so that nothing is refused."""
        throughput = self.runner._pace.throughput
        now = clock.now()
        for number in range(60):
            throughput.record_finished(100)
            with mock.patch.object(clock, "now", lambda n=number: now + 0.1 * n):
                self.run_pass()
        self.assertAlmostEqual(throughput.tokens_per_second(), 1000.0, delta=1.0)
