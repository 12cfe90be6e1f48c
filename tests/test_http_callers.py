"""Tests of the callers' interface: idempotency keys, claims and outcomes."""

import attrs
import eventlet
import result
from nose2 import tools

from bilberrydrum import clock as hub_clock
from bilberrydrum import reasons
from bilberrydrum.bundles import model as bundle_model
from bilberrydrum.requests import claims, claims_state
from tests import helpers
from tests.fakes import deployment, gateway_parts, scripted, wsgi

Reason = reasons.Reason


class AtMostOnce(deployment.Deployment):
    @tools.params(
        ("before the claim", 1, 201, "completed"),
        ("after the claim, before the first byte", 0, 409, "unknown"),
        ("after the answer, before it is recorded", 1, 409, "unknown"),
        ("after it is recorded, before the caller's answer", 1, 201, "completed"),
    )
    def test_retry_through_another_gateway_after_a_crash(
        self, point, n_bookings, status, outcome
    ):
        """A gateway crashes at a point of a booking; the caller retries at another.

        The booking must be sent once at most. While the first gateway might still send
        it or receive an answer, a retry must be refused at once as in progress. After
        that, it must get the recorded answer or an unknown outcome, never not-run.
        """
        with helpers.manual_clock(hub_clock.now()) as clock:
            self.stop_first(point)
            self.first.book()
            wsgi.run_until(lambda: self.first.state.is_stopped)
            answers = []
            for _ in range(200):
                answers.append(self.second.book().wait())
                if answers[-1].status != 409 or answers[-1].reason != "key-in-progress":
                    break
                self.assertEqual(answers[-1].outcome, "unknown")
                self.assertIn("Retry-After", answers[-1].headers)
                clock.advance(1.0)
                eventlet.sleep(0)
                self.second.claims.resolve_due()
            self.assertEqual(answers[-1].status, status, point)
            if status == 201:
                self.assertEqual(answers[-1].body, b"booked")
            else:
                self.assertEqual(answers[-1].outcome, outcome)
            again = self.second.book().wait()
            self.assertEqual(again.status, status)
            self.assertEqual(self.n_bookings, n_bookings)

    def test_gateway_crashes_after_the_first_byte(self):
        """The gateway crashes when the service has received the booking.

        It may have run, so no gateway may send it again, and the outcome is unknown.
        """
        self.application.script = lambda connection, received: eventlet.sleep(1e6)
        with helpers.manual_clock(hub_clock.now()) as clock:
            self.first.book()
            wsgi.run_until(lambda: self.n_bookings == 1)
            self.assertEqual(self.second.book().wait().reason, "key-in-progress")
            clock.advance(100.0)
            self.second.claims.resolve_due()
            answer = self.second.book().wait()
            self.assertEqual((answer.status, answer.outcome), (409, "unknown"))
            self.assertEqual(self.n_bookings, 1)

    def test_retries_at_any_gateway_get_the_recorded_answer(self):
        answers = [self.first.book().wait()]
        answers += [self.first.book().wait(), self.second.book().wait()]
        for answer in answers:
            self.assertEqual((answer.status, answer.body), (201, b"booked"))
        self.assertEqual(self.n_bookings, 1)

    def test_gateway_stopped_between_claim_and_dispatch_sends_nothing_later(self):
        """A gateway claims a key and is suspended; the caller retries at another.

        The second gateway waits until the first may no longer send, and then records
        the outcome as unknown. When the first one resumes, it still has its claim but
        must not send: the caller may have booked in some other way by then.
        """
        with helpers.manual_clock(hub_clock.now()) as clock:
            self.stop_first("after the claim, before the first byte")
            pending = self.first.book()
            wsgi.run_until(lambda: self.first.state.is_stopped)
            self.second.book().wait()
            clock.advance(100.0)
            self.second.claims.resolve_due()
            self.assertEqual(self.second.book().wait().reason, "outcome-unknown")
            self.first.state.stops_after = None
            self.first.state.resumed.send(None)
            late = pending.wait()
            self.assertEqual(self.n_bookings, 0)
            self.assertEqual(late.outcome, "unknown")
            self.assertEqual(self.second.book().wait().reason, "outcome-unknown")

    def test_outcome_is_not_unknown_while_the_holder_may_send(self):
        """The holder's time to send must end before other gateways resolve the claim.

        Otherwise a request could run after its outcome was recorded as unknown.
        """
        with helpers.manual_clock(hub_clock.now()) as clock:
            requested_at = clock.now
            held = self.first.claims.claim("desk", "k", "d", 30.0).ok_value
            self.assertIsInstance(held, claims.Held)
            # The other gateway sees the claim as early as it can.
            self.second.claims.claim("desk", "k", "d", 30.0)
            for _ in range(400):
                clock.advance(0.1)
                self.second.claims.resolve_due()
                found = self.second.claims.find("desk", "k").ok_value
                if held.may_send():
                    self.assertNotIsInstance(found, claims.Recorded)
                    self.assertLess(clock.now, requested_at + claims.SEND_SECONDS)
            self.assertIsInstance(found, claims.Recorded)

    def test_stopped_gateway_does_not_send_for_a_caller_that_left(self):
        """A gateway is suspended before it claims the key, and its caller disconnects.

        The caller retries at another gateway, which refuses with the outcome not-run.
        When the first gateway resumes, it must not claim the key and send the request,
        which would make that outcome wrong.
        """
        self.stop_first("before the claim")
        pending = self.first.book()
        wsgi.run_until(lambda: self.first.state.is_stopped)
        self.registry.upstreams.clear()
        refused = self.second.book().wait()
        self.assertEqual((refused.reason, refused.outcome), ("no-upstream", "not-run"))
        pending.disconnect()
        self.registry.upstreams["a1"] = self.application.upstream("a1")
        eventlet.sleep(0.05)
        self.first.state.stops_before = None
        self.first.state.resumed.send(None)
        self.assertEqual(pending.wait().outcome, "not-run")
        self.assertEqual(self.n_bookings, 0)

    def test_same_key_for_another_body_is_refused(self):
        self.first.book(body=b"window 7").wait()
        for gateway in (self.first, self.second):
            answer = gateway.book(body=b"window 8").wait()
            self.assertEqual((answer.status, answer.reason), (422, "key-reused"))
        self.assertEqual(self.n_bookings, 1)

    def test_equal_keys_of_two_callers_are_different_keys(self):
        self.first.book().wait()
        answer = self.first.book(X_Caller="other").wait()
        self.assertEqual(answer.status, 201)
        self.assertEqual(self.n_bookings, 2)

    def begin_slow_booking(self):
        """Book at a service that answers when the returned event is sent."""
        done = eventlet.event.Event()

        def slow(connection, received):
            done.wait()
            connection.sendall(self.book(received))

        self.application.script = slow
        pending = self.first.book()
        wsgi.run_until(lambda: self.n_bookings == 1)
        return done, pending

    def test_retry_while_in_progress_is_answered_at_once(self):
        """The service is slow; a retry must be refused at once and not wait as well."""
        done, pending = self.begin_slow_booking()
        for gateway in (self.first, self.second):
            answer = gateway.book().wait()
            self.assertEqual((answer.status, answer.reason), (409, "key-in-progress"))
            self.assertEqual(answer.outcome, "unknown")
            self.assertGreaterEqual(int(answer.headers["Retry-After"]), 1)
        done.send(None)
        self.assertEqual(pending.wait().status, 201)
        self.assertEqual(self.second.book().wait().status, 201)
        self.assertEqual(self.n_bookings, 1)

    def test_connection_refused_frees_the_key(self):
        """The connection is refused, so the booking has not run and may be sent later.

        If the key stayed claimed, all retries would be refused.
        """
        self.application.stop()
        answer = self.first.book().wait()
        self.assertEqual((answer.status, answer.outcome), (503, "not-run"))
        other = scripted.Scripted(
            scripted.serve(self.book), kind="application", application="schedule"
        )
        self.addCleanup(other.stop)
        self.registry.upstreams = {"a2": other.upstream("a2")}
        eventlet.sleep(0.03)
        self.assertEqual(self.second.book().wait().status, 201)

    @tools.params(
        ("reset", lambda received: b""),
        ("cut", lambda received: scripted.answer(received, b"booked")[:-2]),
        ("another's answer", lambda r: scripted.answer(r, b"no", request_id="x")),
    )
    def test_connection_lost_after_the_request_leaves_it_unknown(self, name, make):
        """The connection fails after the service received the booking.

        It may have run, so the outcome is unknown and no retry may send it again.
        """
        self.application.script = scripted.serve_and_close(make)
        answer = self.first.book().wait()
        self.assertEqual((answer.status, answer.outcome), (502, "unknown"), name)
        self.application.script = scripted.serve(self.book)
        for gateway in (self.first, self.second):
            answer = gateway.book().wait()
            self.assertEqual((answer.status, answer.outcome), (409, "unknown"))
        self.assertEqual(self.n_bookings, 1)

    def test_late_result_replaces_the_unknown_outcome(self):
        """Another gateway resolves the claim; then its holder receives the answer."""
        done, pending = self.begin_slow_booking()
        command = self.group.submitted[0]
        self.group.submit(
            claims_state.FinishClaim(command.caller, command.key, command.claim_id)
        )
        self.assertEqual(self.second.book().wait().reason, "outcome-unknown")
        done.send(None)
        self.assertEqual(pending.wait().status, 201)
        self.assertEqual(self.second.book().wait().status, 201)

    def test_result_too_large_to_keep_is_not_run_again(self):
        gateway = self.gateway("g3", max_result_bytes=3)
        self.assertEqual(gateway.book().wait().body, b"booked")
        answer = self.second.book().wait()
        self.assertEqual(
            (answer.status, answer.reason, answer.outcome),
            (409, "result-not-kept", "completed"),
        )
        self.assertEqual(self.n_bookings, 1)

    def test_request_without_a_key_is_sent_once(self):
        """The connection of a POST without a key is reset after the request was sent.

        A POST is not idempotent, so it must not be retried. Its outcome is unknown.
        """
        self.application.script = scripted.serve_and_close(lambda received: b"")
        answer = self.first.send("POST", "/apps/schedule/book", b"x").wait()
        self.assertEqual((answer.status, answer.outcome), (502, "unknown"))
        self.assertEqual(self.n_bookings, 1)

    def test_show_request(self):
        answer = self.first.send("GET", "/v1/requests/k").wait()
        self.assertEqual((answer.status, answer.outcome), (404, "not-run"))
        self.first.book().wait()
        answer = self.second.send("GET", "/v1/requests/k").wait()
        self.assertEqual(answer.document["outcome"], "completed")
        self.assertEqual(answer.document["status"], 201)

    def test_completion_with_a_key_is_generated_once(self):
        engine = self.engine("e1", scripted.serve(scripted.complete_stream))
        body = {"model": "planner", "prompt": "p", "max_tokens": 3}
        for stream in (False, True):
            body["stream"] = stream
            first, second = (
                self.first.send(
                    "POST", "/v1/completions", body, Idempotency_Key=f"k{stream}"
                ).wait()
                for _ in range(2)
            )
            self.assertEqual(first.body, second.body)
            self.assertIn(b"t2", first.body)
        self.assertEqual(len(engine.received), 2)

    def test_complete_text_is_recorded_when_its_engine_crashes(self):
        """An engine crashes between the finish reason and the end of its stream.

        If the complete text counted as a failure, its outcome would be unknown: the
        caller could neither get the text nor send the request again.
        """

        def crash(received):
            part = scripted.event(received.request_id, "t2", [2], "stop")
            return scripted.stream_head(received) + scripted.chunk(part)

        engine = self.engine("e1", scripted.serve_and_close(crash))
        body = {"model": "planner", "prompt": "p", "max_tokens": 3}
        for stream in (False, True):
            body["stream"] = stream
            for _ in range(2):
                answer = self.first.send(
                    "POST", "/v1/completions", body, Idempotency_Key=f"k{stream}"
                ).wait()
                self.assertEqual(answer.status, 200)
                self.assertIn(b"t2", answer.body)
        self.assertEqual(len(engine.received), 2)


class NoMajority(deployment.Deployment):
    def test_only_requests_with_a_key_are_refused_as_unknown(self):
        """The state group has no majority, so no key can be looked up or claimed.

        A booking is refused without being sent. An earlier attempt may have run, so the
        outcome must not be not-run. Lookups need no claim and are still served.
        """
        self.first.book("earlier").wait()
        self.group.has_majority = False
        for key in ("earlier", "new"):
            answer = self.first.book(key).wait()
            self.assertEqual(
                (answer.status, answer.reason, answer.outcome),
                (503, "state-unavailable", "unknown"),
            )
            self.assertIn("Retry-After", answer.headers)
        self.assertEqual(self.n_bookings, 1)
        lookup = self.first.send("GET", "/apps/schedule/windows").wait()
        self.assertEqual(lookup.status, 201)

    def test_answer_reaches_the_caller_when_it_cannot_be_recorded(self):
        """The majority is lost while the service books; its answer is still valid.

        It must reach the caller even though it cannot be recorded. A retry must not
        send the booking again.
        """

        def book(connection, received):
            self.group.has_majority = False
            connection.sendall(self.book(received))

        self.application.script = book
        with helpers.manual_clock(hub_clock.now()) as clock:
            pending = self.first.book()
            wsgi.run_until(lambda: self.n_bookings == 1)
            for _ in range(100):
                wsgi.run_until(lambda: True)
                clock.advance(0.1)
                eventlet.sleep(0)
                eventlet.patcher.original("time").sleep(0.001)
            self.assertEqual(pending.wait().status, 201)
            self.group.has_majority = True
            self.assertIn(self.second.book().wait().status, (201, 409))
        self.assertEqual(self.n_bookings, 1)

    def test_claim_whose_answer_was_lost_is_released(self):
        """A claim is committed, but the gateway does not receive the answer.

        If the claim were not released, retries would find the key in progress.
        """
        self.group.loses_answers = True
        answer = self.first.book().wait()
        self.assertEqual(
            (answer.reason, answer.outcome),
            (
                "state-unavailable",
                "unknown",
            ),
        )
        self.group.loses_answers = False
        eventlet.sleep(0.3)
        self.assertEqual(self.first.book().wait().status, 201)


class NotRun(deployment.Deployment):
    """A refusal has the outcome not-run only if the request has not run anywhere."""

    def lose_lease(self):
        self.second.bundles.bundle = result.Err(Reason.BUNDLE_LEASE_EXPIRED)

    def forbid_caller(self):
        bundle = gateway_parts.BUNDLE
        self.second.bundles.bundle = result.Ok(attrs.evolve(bundle, callers={}))

    def lose_application(self):
        rule = bundle_model.CallerRule(applications=("schedule",))
        bundle = attrs.evolve(
            gateway_parts.BUNDLE, callers={"desk": rule}, applications={}
        )
        self.second.bundles.bundle = result.Ok(bundle)

    def lose_upstreams(self):
        self.registry.upstreams = {}
        eventlet.sleep(0.03)

    @tools.params(
        ("lose_lease", "bundle-lease-expired"),
        ("forbid_caller", "caller-not-allowed"),
        ("lose_application", "application-unknown"),
    )
    def test_refused_retry_of_a_completed_request_says_completed(self, how, reason):
        """A booking ran through one gateway, and another one refuses its retry.

        The refusal concerns the retry only. If its outcome were not-run, the caller
        would book again with another key.
        """
        self.first.book().wait()
        getattr(self, how)()
        ran = self.second.book().wait()
        self.assertEqual((ran.reason, ran.outcome), (reason, "completed"))
        new = self.second.book("new").wait()
        self.assertEqual((new.reason, new.outcome), (reason, "not-run"))
        self.group.has_majority = False
        self.assertEqual(self.second.book("new").wait().outcome, "unknown")

    def test_retry_without_an_upstream_still_gets_the_result(self):
        self.first.book().wait()
        self.lose_upstreams()
        self.assertEqual(self.second.book().wait().status, 201)
        self.assertEqual(self.second.book("new").wait().outcome, "not-run")
