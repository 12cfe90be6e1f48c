"""Tests of the dispatcher with plain services that fail."""

import unittest
import unittest.mock

import eventlet
import result
from nose2 import tools

from bilberrydrum import clock, reasons
from bilberrydrum.requests import health, model, recovery
from tests.fakes import dispatching, scripted

Reason = reasons.Reason


def application_call(**fields):
    values = {
        "request_id": "r",
        "application": "schedule",
        "method": "GET",
        "target": "/x",
        "headers": (),
        "body": b"",
        "client": "desk",
        "deadline": clock.now() + 5.0,
    }
    values.update(fields)
    return model.ApplicationCall(**values)


class Applications(dispatching.Gateway):
    def test_idempotent_call_is_made_again_elsewhere(self):
        self.application("a1", scripted.serve_and_close(lambda received: b""))
        self.application("a2", scripted.serve(scripted.answer))
        for _ in range(3):
            answer = self.dispatcher.call_application(application_call())
            self.assertEqual(answer.ok_value.upstream_id, "a2")

    @tools.params(
        ("reset after the request", scripted.serve_and_close(lambda r: b"")),
        (
            "truncated in the body",
            scripted.serve_and_close(lambda r: scripted.answer(r)[:-1]),
        ),
        ("503", scripted.serve(lambda r: scripted.answer(r, status="503 Busy"))),
    )
    def test_call_that_may_run_once_is_sent_once(self, name, script):
        """A booking fails after bytes of it were sent.

        It may have run, so it must not be sent again.
        """
        self.application("a1", script)
        self.application("a2", script)
        answer = self.dispatcher.call_application(
            application_call(method="POST", is_idempotent=False)
        )
        self.assertEqual(self.n_received(), 1, name)
        if isinstance(answer, result.Err):
            self.assertTrue(answer.err_value.may_have_run)
        else:
            self.assertEqual(answer.ok_value.status, 503)

    def test_call_that_may_run_once_goes_on_after_a_refused_connection(self):
        """The first service refuses the connection.

        No byte was sent to it, so the call may be sent to the second one.
        """
        self.application("a1", scripted.serve(scripted.answer))
        self.application("a2", scripted.serve(scripted.answer))
        self.fakes["a1"].stop()
        for _ in range(4):
            answer = self.dispatcher.call_application(
                application_call(method="POST", is_idempotent=False)
            )
            self.assertEqual(answer.ok_value.upstream_id, "a2")

    def test_call_refused_by_all_is_not_run(self):
        self.application("a1", scripted.serve(scripted.answer))
        self.fakes["a1"].stop()
        answer = self.dispatcher.call_application(application_call())
        self.assertEqual(answer.err_value.reason, Reason.CONNECT_FAILED)
        self.assertFalse(answer.err_value.may_have_run)

    def test_retries_stay_within_the_budget(self):
        """All services fail, and each call would be attempted three times.

        Unbounded retries would triple the load at the moment of the least capacity.
        """
        reset = scripted.serve_and_close(lambda received: b"")
        for i in range(4):
            self.application(f"a{i}", reset)
        n_calls = 100
        for _ in range(n_calls):
            self.dispatcher.call_application(application_call())
        # A fifth of the calls, the budget's initial content, and what time adds.
        self.assertLessEqual(self.n_received(), n_calls * 1.2 + 15)

    def test_last_answer_of_failing_services_is_forwarded(self):
        failing = scripted.serve(lambda r: scripted.answer(r, b"no", "503 Busy"))
        self.application("a1", failing)
        self.application("a2", failing)
        answer = self.dispatcher.call_application(application_call())
        self.assertEqual(answer.ok_value.status, 503)
        self.assertEqual(self.n_received(), 2)

    def test_service_that_goes_on_failing_is_left_out_until_a_probe_succeeds(self):
        reset = scripted.serve_and_close(lambda received: b"")
        bad = self.application("a1", reset)
        self.application("a2", scripted.serve(scripted.answer))
        for _ in range(60):
            self.dispatcher.budget.count_first_attempt()
            self.dispatcher.call_application(application_call())
        self.assertEqual(len(bad.received), health.EJECT_AFTER_FAILURES)
        bad.script = scripted.serve(scripted.answer)
        record = self.dispatcher._router.health._records_by_id["a1"]
        record.ejected_until = clock.now()
        for _ in range(20):
            self.dispatcher.call_application(application_call())
        self.assertGreater(len(bad.received), health.EJECT_AFTER_FAILURES)
        self.assertEqual(self.dispatcher._router.health._records_by_id, {})

    def test_short_deadlines_do_not_have_a_service_ejected(self):
        """Callers have deadlines of a few milliseconds; the service needs more.

        If these timeouts had the service ejected, callers with longer deadlines, whom
        it could serve, would lose it.
        """

        def slow(connection, received):
            eventlet.sleep(0.03)
            connection.sendall(scripted.answer(received))

        self.application("a1", slow)
        for _ in range(2 * health.EJECT_AFTER_FAILURES):
            deadline = clock.now() + 0.005
            self.dispatcher.call_application(application_call(deadline=deadline))
        self.assertEqual(self.dispatcher._router.health._records_by_id, {})

    @tools.params(("lookup", True), ("booking", False))
    def test_idempotent_call_leaves_a_hanging_service(self, name, is_idempotent):
        """One service hangs while its lease is still valid; another one would answer.

        A lookup is sent to the other one long before its deadline. A booking may have
        run, so it must wait for the answer of the first.
        """
        self.application("a1", scripted.serve(scripted.answer))
        self.dispatcher.call_application(application_call())
        self.fakes["a1"].script = lambda connection, received: eventlet.sleep(30)
        with unittest.mock.patch.object(recovery, "MIN_ATTEMPT_TIMEOUT_SECONDS", 0.05):
            task = eventlet.spawn(
                self.dispatcher.call_application,
                application_call(
                    is_idempotent=is_idempotent, deadline=clock.now() + 0.5
                ),
            )
            eventlet.sleep(0.01)
            self.application("a2", scripted.serve(scripted.answer))
            answer = task.wait()
        if is_idempotent:
            self.assertEqual(answer.ok_value.upstream_id, "a2", name)
        else:
            self.assertEqual(answer.err_value.reason, Reason.UPSTREAM_TIMEOUT)
            self.assertEqual(len(self.fakes["a2"].received), 0)

    def test_drain_waits_for_calls_in_flight(self):
        def slow(connection, received):
            eventlet.sleep(0.1)
            connection.sendall(scripted.answer(received))

        self.application("a1", slow)
        task = eventlet.spawn(self.dispatcher.call_application, application_call())
        eventlet.sleep(0.02)
        self.assertFalse(self.dispatcher.drain(0.0))
        self.assertTrue(self.dispatcher.drain(5.0))
        self.assertEqual(task.wait().ok_value.body, b"ok")
