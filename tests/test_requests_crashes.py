"""Crash-causing calls through the daemon's gateways take down an application.

A caller retries such a call. Without a crash history each of its attempts is tried at
several upstreams, and all upstreams of the application crash each time they have
restarted.
"""

from unittest import mock

import eventlet
import result
from nose2 import tools

from bilberrydrum import clock, quarantine, reasons
from bilberrydrum.requests import model
from tests.fakes import dispatching, scripted

MARK = "ends whatever runs it"
N_UPSTREAMS = 3
N_ROUNDS = 6
# Delay until the caller retries a call, and time from the start of a run to the crash.
PAUSE_SECONDS = 1.0
RUN_SECONDS = 0.03


class Crashing(dispatching.Gateway):
    def setUp(self):
        super().setUp()
        self.n_crashed = 0
        # Number of runs that still crash their upstreams, whatever they are.
        self.n_unrelated = 0

    def put(self, kind, number):
        """Start or restart an upstream."""
        name = f"{kind}-{number}"

        def run(connection, received):
            is_marked = MARK.encode() in received.body or self.n_unrelated > 0
            if is_marked:
                self.n_unrelated -= 1
                eventlet.sleep(RUN_SECONDS)
                self.n_crashed += 1
                server.stop()
            elif kind == "engine":
                connection.sendall(scripted.complete_stream(received))
            else:
                connection.sendall(scripted.answer(received))
            return not is_marked

        server = getattr(self, kind)(name, run)

    def put_all(self, kind):
        self.registry.upstreams = {}
        for number in range(N_UPSTREAMS):
            self.put(kind, number)

    def call(self, kind, mark, number, dispatcher=None, is_owed=False):
        """Make one call; return why it failed, or None."""
        dispatcher = dispatcher or self.dispatcher
        deadline = clock.now() + 5.0
        if kind == "engine":
            asked = model.ModelCall(
                f"r{number}", "planner", mark, 5, "desk", deadline, is_owed=is_owed
            )
            last = list(dispatcher.stream(asked))[-1]
            return last.reason if isinstance(last, model.Failed) else None
        asked = model.ApplicationCall(
            f"r{number}",
            "schedule",
            "GET",
            "/x",
            (),
            mark.encode(),
            "desk",
            deadline,
            is_owed=is_owed,
        )
        answer = dispatcher.call_application(asked)
        return answer.err_value.reason if isinstance(answer, result.Err) else None

    @tools.params("application", "engine")
    def test_retried(self, kind):
        """A retried call crashes at most three upstreams; others are served."""
        for number in range(N_ROUNDS):
            self.put_all(kind)
            failed = self.call(kind, MARK, number)
            self.assertIsNotNone(failed)
            self.put_all(kind)
            self.assertIsNone(self.call(kind, "innocent", number))
            clock.sleep(PAUSE_SECONDS)
        self.assertEqual(self.n_crashed, quarantine.QUARANTINE_THRESHOLD)
        self.assertEqual(failed, reasons.Reason.REQUEST_QUARANTINED)

    @tools.params("application", "engine")
    def test_retried_through_other_gateways(self, kind):
        """A call crashes more upstreams if it is retried through three gateways.

        Each gateway detects one crash in three, and these have to count together. If
        each gateway counted by itself, the call would crash nine upstreams.
        """
        dispatchers = [self.dispatcher, *(self.start_dispatcher() for _ in range(2))]
        for number in range(2 * N_ROUNDS):
            self.put_all(kind)
            asked = dispatchers[number % len(dispatchers)]
            failed = self.call(kind, MARK, number, asked)
            self.assertIsNotNone(failed)
            clock.sleep(PAUSE_SECONDS)
        self.assertEqual(self.n_crashed, quarantine.QUARANTINE_THRESHOLD)
        self.put_all(kind)
        for each in dispatchers:
            refused = self.call(kind, MARK, 99, each)
            self.assertEqual(refused, reasons.Reason.REQUEST_QUARANTINED)
            self.assertIsNone(self.call(kind, "innocent", 100, each))

    def test_answered_sample_is_cleared(self):
        """A sample is cut off by an unrelated crash once in each of several rounds.

        It is answered by another engine each time, and its reader stops at `Finished`.
        If the answer did not clear it, it would be quarantined in the third round.
        """
        for number in range(N_ROUNDS):
            self.put_all("engine")
            self.n_unrelated = 1
            asked = model.ModelCall(
                f"r{number}", "planner", "sample", 5, "trainer", clock.now() + 5.0
            )
            events = self.dispatcher.stream(asked)
            ends = (model.Finished, model.Failed)
            last = next(event for event in events if isinstance(event, ends))
            events.close()
            self.assertIsInstance(last, model.Finished, number)
            clock.sleep(PAUSE_SECONDS)
        self.assertEqual(self.n_crashed, N_ROUNDS)

    @tools.params("engine", "application")
    def test_sample_under_which_upstreams_crashed(self, kind):
        """A sample, or its scoring, is refused for minutes after a burst of crashes.

        Its trainer waits for it, and nobody sends it again.
        """
        n_answered = 0
        for number in range(N_ROUNDS):
            self.put_all(kind)
            self.n_unrelated = N_UPSTREAMS if number < N_ROUNDS - 1 else 0
            n_answered += self.call(kind, "sample", number, is_owed=True) is None
            clock.sleep(PAUSE_SECONDS)
        self.assertEqual(n_answered, 1)
        self.assertGreaterEqual(self.n_crashed, N_ROUNDS - 1)

    def test_suspected_calls_run_apart(self):
        """Calls that were cut off repeatedly share an upstream, and it crashes.

        The crash shows nothing of which of them caused it. So one that finds another at
        each upstream is refused, as not run.
        """

        def run(connection, received):
            eventlet.sleep(0.2)
            connection.sendall(scripted.answer(received))

        for number in range(N_UPSTREAMS):
            self.application(f"application-{number}", run)
        apart = mock.patch.object(
            self.dispatcher.crashes, "_must_run_apart", lambda call: True
        )
        with apart:
            tasks = [
                eventlet.spawn(self.call, "application", f"suspected {n}", n)
                for n in range(N_UPSTREAMS + 1)
            ]
            failures = [task.wait() for task in tasks]
        self.assertEqual([len(each.received) for each in self.fakes.values()], [1] * 3)
        self.assertEqual(
            [each for each in failures if each], [reasons.Reason.NO_UPSTREAM]
        )
