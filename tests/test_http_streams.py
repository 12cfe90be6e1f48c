"""Tests of streams to callers, and of their end when an engine fails."""

import json

from bilberrydrum import reasons
from tests.fakes import deployment, scripted

Reason = reasons.Reason


class Streams(deployment.Deployment):
    def complete(self, **body):
        values = {"model": "planner", "prompt": "p", "max_tokens": 8, "stream": True}
        return self.first.send("POST", "/v1/completions", values | body).wait()

    def crash(self, connection, received):
        part = scripted.event(received.request_id, "t0", [0])
        connection.sendall(scripted.stream_head(received) + scripted.chunk(part))
        return False

    def test_failed_stream_ends_with_an_error_and_is_cut_off(self):
        """The engine crashes mid-stream, and no other engine can resume the stream.

        The caller must get an error event, and then neither the [DONE] marker nor the
        end of the body. With either of them, the partial answer would look complete.
        """
        self.engine("e1", self.crash)
        answer = self.complete()
        self.assertEqual(answer.status, 200)
        self.assertFalse(answer.is_complete)
        self.assertNotIn(b"[DONE]", answer.body)
        last = answer.body.strip().split(b"\n\n")[-1].removeprefix(b"data: ")
        self.assertEqual(json.loads(last)["error"]["outcome"], "unknown")

    def test_stream_is_complete_if_another_engine_resumes_it(self):
        self.engine("e1", self.crash, availability_zone="a")
        self.engine(
            "e2",
            scripted.serve(scripted.complete_stream),
            availability_zone="far",
            can_resume=True,
        )
        answer = self.complete()
        self.assertTrue(answer.is_complete)
        self.assertTrue(answer.body.endswith(b"data: [DONE]\n\n"))

    def test_complete_text_without_the_end_of_its_stream(self):
        """The engine crashes after the finish reason; the caller has a complete text.

        An error in place of its end would have the caller discard the text.
        """

        def crash(received):
            part = scripted.event(received.request_id, "t0", [0], "stop")
            return scripted.stream_head(received) + scripted.chunk(part)

        self.engine("e1", scripted.serve_and_close(crash), can_resume=True)
        streamed = self.complete()
        self.assertTrue(streamed.is_complete)
        self.assertTrue(streamed.body.endswith(scripted.DONE))
        self.assertEqual(streamed.body.count(b"t0"), 1)
        whole = self.complete(stream=False)
        self.assertEqual(whole.document["choices"][0]["text"], "t0")
        self.assertEqual(whole.document["choices"][0]["finish_reason"], "stop")

    def test_failure_before_the_first_token_sets_the_status(self):
        self.engine("e1", scripted.serve_and_close(lambda received: b""))
        answer = self.complete()
        self.assertEqual((answer.status, answer.outcome), (502, "unknown"))

    def test_truncated_answer_without_streaming_is_a_failure(self):
        self.engine("e1", self.crash)
        answer = self.complete(stream=False)
        self.assertEqual((answer.status, answer.reason), (502, "answer-truncated"))
