"""Tests of the dispatcher with engines whose streams fail."""

import json
import unittest
import unittest.mock

import eventlet
from nose2 import tools

from bilberrydrum import clock, reasons
from bilberrydrum.requests import model, resume, text_streams
from bilberrydrum.upstreams import model as upstream_model
from tests.fakes import dispatching, scripted

Reason = reasons.Reason


def call(**fields):
    values = {
        "request_id": "r",
        "model": "planner",
        "prompt": "p",
        "max_tokens": 8,
        "client": "desk",
        "deadline": clock.now() + 5.0,
    }
    values.update(fields)
    return model.ModelCall(**values)


def text_of(seen):
    return "".join(event.text for event in seen if isinstance(event, model.Tokens))


def crash_after(n_tokens):
    """Return a script that sends some tokens, then closes the connection."""

    def script(connection, received):
        made = resumed(received)
        connection.sendall(scripted.stream_head(received))
        for i in range(made, made + n_tokens):
            part = scripted.event(received.request_id, f"t{i}", [i])
            connection.sendall(scripted.chunk(part))
        eventlet.sleep(0.01)
        return False

    return script


def stall_after_one(connection, received):
    part = scripted.event(received.request_id, "t0", [0])
    connection.sendall(scripted.stream_head(received) + scripted.chunk(part))
    eventlet.sleep(30)


def resumed(received):
    return len(json.loads(received.body)["resume_token_ids"])


def finish(n_tokens, weight_version=3):
    """Return a script that generates the tokens up to `n_tokens` that are missing."""

    def make(received):
        parts = [
            scripted.event(
                received.request_id, f"t{i}", [i], weight_version=weight_version
            )
            for i in range(resumed(received), n_tokens)
        ]
        parts.append(scripted.event(received.request_id, "", [], "stop"))
        parts.append(scripted.DONE)
        body = b"".join(scripted.chunk(part) for part in parts)
        return scripted.stream_head(received) + body + scripted.LAST_CHUNK

    return scripted.serve(make)


def texts_of(received, parts):
    """Return the start of a stream: two tokens, and `parts` of it after them."""
    tokens = scripted.event(received.request_id, "t0t1", [0, 1])
    body = b"".join(scripted.chunk(part) for part in (tokens, *parts))
    return scripted.stream_head(received) + body


def ends_after(*parts, last=b""):
    """Return a script that closes the connection after `parts` of a stream."""
    return scripted.serve_and_close(
        lambda received: (
            texts_of(received, [part(received.request_id) for part in parts]) + last
        )
    )


def hangs_after(*parts):
    """Return a script that sends `parts` of a stream and then nothing more."""

    def script(connection, received):
        given = [part(received.request_id) for part in parts]
        connection.sendall(texts_of(received, given))
        eventlet.sleep(30)

    return script


def last_tokens(request_id):
    return scripted.event(request_id, "t2", [2], "stop")


def finish_reason(request_id):
    return scripted.event(request_id, "", [], "stop")


def marker(request_id):
    return scripted.DONE


def half_marker(request_id):
    return scripted.DONE[:8]


def more_tokens(request_id):
    return scripted.event(request_id, "t3", [3])


def half_event(request_id):
    return more_tokens(request_id)[:20]


def foreign_tokens(request_id):
    return scripted.event("another", "no", [9])


def busy(connection, received):
    connection.sendall(scripted.answer(received, status="503 Busy\r\nRetry-After: 1"))


class Models(dispatching.Gateway):
    def test_engine_that_fails_before_its_first_token_is_replaced(self):
        self.engine("e1", scripted.serve_and_close(lambda received: b""))
        self.engine("e2", finish(3))
        for _ in range(4):
            seen = list(self.dispatcher.stream(call()))
            self.assertEqual(text_of(seen), "t0t1t2")
            self.assertIsInstance(seen[-1], model.Finished)

    @tools.params(
        ("crash", crash_after(2), Reason.ANSWER_TRUNCATED),
        ("stall", stall_after_one, Reason.UPSTREAM_TIMEOUT),
        (
            "truncated between two chunks, without the marker",
            scripted.serve_and_close(
                lambda received: (
                    scripted.stream_head(received)
                    + scripted.chunk(scripted.event(received.request_id, "t0", [0]))
                )
            ),
            Reason.ANSWER_TRUNCATED,
        ),
        (
            "ended by the last chunk, without the marker",
            scripted.serve(
                lambda received: (
                    scripted.stream_head(received)
                    + scripted.chunk(scripted.event(received.request_id, "t0", [0]))
                    + scripted.LAST_CHUNK
                )
            ),
            Reason.ANSWER_TRUNCATED,
        ),
        (
            "another request's tokens",
            scripted.serve(
                lambda received: (
                    scripted.stream_head(received)
                    + scripted.chunk(scripted.event(received.request_id, "t0", [0]))
                    + scripted.chunk(scripted.event("another", "no", [9]))
                )
            ),
            Reason.ANSWER_MISMATCHED,
        ),
    )
    def test_stream_is_resumed_from_the_tokens_so_far(self, name, script, reason):
        """An engine fails in the middle of a stream, and another can resume it.

        The caller must see one stream with each token once, the later ones with the
        weight version of the engine that generated them.
        """
        self.engine("e1", script, availability_zone="a")
        second = self.engine("e2", finish(5, 4), availability_zone="far")
        with unittest.mock.patch.object(text_streams, "STALL_SECONDS", 0.1):
            seen = list(resume.stream(self.dispatcher, call()))
        self.assertEqual(seen[0].upstream_id, "e1", name)
        self.assertEqual(text_of(seen), "t0t1t2t3t4", name)
        self.assertIsInstance(seen[-1], model.Finished)
        self.assertEqual(seen[-2].weight_version, 4)
        self.assertEqual(len(second.received), 1)

    @tools.params(
        ("closed after the last tokens", ends_after(last_tokens), "t0t1t2"),
        ("closed after the finish reason", ends_after(finish_reason), "t0t1"),
        (
            "ended in order without the marker",
            ends_after(last_tokens, last=scripted.LAST_CHUNK),
            "t0t1t2",
        ),
        (
            "closed within the marker",
            ends_after(last_tokens, half_marker),
            "t0t1t2",
        ),
        (
            "closed after the marker, before the last chunk",
            ends_after(last_tokens, marker),
            "t0t1t2",
        ),
        ("hangs after the last tokens", hangs_after(last_tokens), "t0t1t2"),
        ("hangs after the marker", hangs_after(last_tokens, marker), "t0t1t2"),
    )
    def test_complete_text_is_not_resumed(self, name, script, text):
        """An engine fails after the finish reason, and the text continues elsewhere.

        The caller gets tokens after the end of its text, or an error in place of it.
        """
        self.engine("e1", script, availability_zone="a")
        second = self.engine("e2", finish(9), availability_zone="far")
        with unittest.mock.patch.object(text_streams, "END_SECONDS", 0.1):
            seen = list(resume.stream(self.dispatcher, call()))
        self.assertEqual(text_of(seen), text, name)
        self.assertEqual(seen[-1], model.Finished("stop", "e1"), name)
        self.assertEqual(len(second.received), 0, name)
        self.assertEqual(self.dispatcher.n_in_flight, 0, name)

    def test_text_of_full_length_is_not_resumed(self):
        """An engine crashes after the last token that the caller allows.

        The finish reason is missing, and the engine that resumes the text generates
        more tokens than allowed.
        """
        self.engine("e1", crash_after(3), availability_zone="a")
        second = self.engine("e2", finish(9), availability_zone="far")
        seen = list(resume.stream(self.dispatcher, call(max_tokens=3)))
        self.assertEqual(text_of(seen), "t0t1t2")
        self.assertEqual(seen[-1], model.Finished("length", "e1"))
        self.assertEqual(len(second.received), 0)

    @tools.params(
        ("tokens", ends_after(last_tokens, more_tokens)),
        ("tokens after the reason", ends_after(finish_reason, more_tokens)),
        ("part of an event", ends_after(last_tokens, half_event)),
        ("another request's", ends_after(finish_reason, foreign_tokens)),
        ("tokens after the marker", ends_after(last_tokens, marker, more_tokens)),
    )
    def test_mixed_up_answer_is_neither_complete_nor_resumed(self, name, script):
        """An engine sends another event after the finish reason.

        Which of the two answers the text belongs to is unknown, and another engine
        would continue it after its end.
        """
        self.engine("e1", script, availability_zone="a")
        second = self.engine("e2", finish(9), availability_zone="far")
        seen = list(resume.stream(self.dispatcher, call()))
        self.assertIsInstance(seen[-1], model.Failed, name)
        self.assertNotIn(model.Finished, [type(event) for event in seen], name)
        self.assertEqual(len(second.received), 0, name)

    def test_resumed_stream_goes_before_new_calls_when_the_queue_is_full(self):
        """An engine crashes during a stream, and its client's queue is full.

        If the resumed stream were refused, it would break off, and the tokens generated
        so far would be wasted. So a new call is refused instead.
        """
        self.start(max_queue_per_caller=1)
        self.engine("e1", finish(3), max_concurrency=1)
        holder = self.dispatcher.stream(call())
        next(holder)
        new = eventlet.spawn(list, self.dispatcher.stream(call()))
        eventlet.sleep(0.01)
        resumed_call = call(resume_token_ids=(0, 1))
        task = eventlet.spawn(list, self.dispatcher.stream(resumed_call))
        eventlet.sleep(0.01)
        holder.close()
        self.assertEqual(text_of(task.wait()), "t2")
        self.assertEqual(new.wait()[-1].reason, Reason.QUEUE_FULL)

    def test_stream_that_no_engine_can_resume_ends_as_failed(self):
        self.engine("e1", crash_after(2), can_resume=False)
        seen = list(resume.stream(self.dispatcher, call()))
        self.assertEqual(text_of(seen), "t0t1")
        self.assertIsInstance(seen[-1], model.Failed)
        self.assertTrue(seen[-1].may_have_run)

    def test_dispatcher_does_not_retry_a_stream_that_has_begun(self):
        self.engine("e1", crash_after(2))
        self.engine("e2", crash_after(2))
        seen = list(self.dispatcher.stream(call()))
        self.assertIsInstance(seen[-1], model.Failed)
        self.assertEqual(self.n_received(), 1)

    def test_busy_engine_is_left_alone_and_the_call_goes_elsewhere(self):
        self.engine("e1", busy)
        self.engine("e2", finish(3))
        for number in range(6):
            # A busy engine has not run the call that it refused, so the call may be
            # sent again even if it must not run twice.
            is_idempotent = number % 2 == 0
            seen = list(self.dispatcher.stream(call(is_idempotent=is_idempotent)))
            self.assertIsInstance(seen[-1], model.Finished)
        self.assertLessEqual(len(self.fakes["e1"].received), 1)

    def test_closing_the_iterator_closes_the_engines_connection(self):
        """The caller stops after the first token, so the engine must stop too."""

        def endless(connection, received):
            connection.sendall(scripted.stream_head(received))
            while True:
                part = scripted.event(received.request_id, "t", [1])
                connection.sendall(scripted.chunk(part))
                eventlet.sleep(0.01)

        fake = self.engine("e1", endless)
        events = self.dispatcher.stream(call())
        next(events)
        events.close()
        with eventlet.Timeout(5):
            while not fake.n_closed:
                eventlet.sleep(0.01)
        self.assertEqual(self.dispatcher.n_in_flight, 0)

    def test_killed_task_leaves_the_queue(self):
        """The task of a call that waits for engine capacity is killed.

        The call must leave the queue, so that the capacity is granted to another one.
        """
        self.engine("e1", lambda connection, received: eventlet.sleep(30))
        self.registry.upstreams["e1"] = upstream_model.Upstream(
            "e1",
            "engine",
            self.fakes["e1"].address,
            max_concurrency=1,
            models={"planner": upstream_model.ServedModel(3)},
        )
        first = eventlet.spawn(list, self.dispatcher.stream(call()))
        eventlet.sleep(0.02)
        second = eventlet.spawn(list, self.dispatcher.stream(call()))
        eventlet.sleep(0.02)
        self.assertEqual(self.dispatcher.n_waiting, 1)
        second.kill()
        self.assertEqual(self.dispatcher.n_waiting, 0)
        first.kill()
        self.assertEqual(self.dispatcher.n_in_flight, 0)

    def test_capacity_granted_to_a_killed_task_is_returned(self):
        """A waiting call is granted capacity, and its task is killed before it resumes.

        No code would run that ends the call, so the engine would have one run slot less
        permanently.
        """
        self.engine("e1", finish(1), max_concurrency=1)
        self.registry.upstreams["e1"] = self.fakes["e1"].upstream("e1")
        holder = self.dispatcher.stream(call())
        next(holder)
        waiting = eventlet.spawn(list, self.dispatcher.stream(call()))
        eventlet.sleep(0.02)
        self.assertEqual(self.dispatcher.n_waiting, 1)
        # This grants the capacity to the waiting call, whose task is killed before it
        # runs.
        holder.close()
        waiting.kill()
        self.assertEqual(self.dispatcher.n_in_flight, 0)
        self.assertIsInstance(list(self.dispatcher.stream(call()))[-1], model.Finished)

    def test_waiting_call_of_a_client_that_disconnects_is_refused_at_once(self):
        self.engine("e1", lambda c, r: eventlet.sleep(30), max_concurrency=1)
        first = eventlet.spawn(list, self.dispatcher.stream(call()))
        eventlet.sleep(0.02)
        with eventlet.Timeout(3):
            (failed,) = self.dispatcher.stream(call(is_client_gone=lambda: True))
        self.assertEqual(failed.reason, Reason.CALLER_GONE)
        self.assertFalse(failed.may_have_run)
        first.kill()

    def test_no_engine_has_the_version(self):
        self.engine("e1", finish(3), weight_version=2)
        (failed,) = self.dispatcher.stream(call(min_weight_version=3))
        self.assertEqual(failed.reason, Reason.NO_UPSTREAM)
        self.assertFalse(failed.may_have_run)
        self.assertGreater(failed.retry_after_seconds, 0)
