"""One attempt against engines and scorers that fail."""

import json
import unittest

import attrs
import eventlet
from nose2 import tools

from bilberrydrum import clock, reasons
from bilberrydrum.requests import events
from bilberrydrum.requests import model as request_model
from bilberrydrum.samples import attempts, model, provenance, scheduling
from tests import samples_support as support

R = reasons.Reason
KEY = scheduling.Key(support.TRAINER, "g0", 0, 1)
OK = [support.tokens(1, 2), support.finished()]


def failed(reason: reasons.Reason = R.ANSWER_TRUNCATED) -> request_model.Failed:
    return request_model.Failed(reason, True, "engine-1")


class Attempts(unittest.TestCase):
    def setUp(self) -> None:
        self.bundles = support.FakeBundles(support.bundle())
        self.registry = support.FakeRegistry(
            {name: support.engine(name) for name in ("engine-1", "engine-2")}
        )

    def attempt(
        self,
        scripts: list[support.Script],
        score_bodies: list[bytes | None] | None = None,
    ) -> attempts.Attempt:
        self.dispatcher = support.FakeDispatcher(scripts, score_bodies or [])
        self.generated: list[bool] = []
        task = attempts.Task(
            scheduling.Start(KEY, 1),
            model.GroupRequest("g0", "plan", 1, 4),
            self.bundles.bundle.trainers[support.TRAINER],
            False,
        )
        return attempts.Attempt(
            task,
            self.bundles,
            self.registry,
            self.dispatcher,
            lambda upstream_id, n_tokens: None,
            lambda: self.generated.append(True),
        )

    def test_complete_attempt(self) -> None:
        scored = self.attempt([OK]).run().unwrap()
        self.assertEqual(scored.segments, (model.Segment(0, 0, 1),))
        self.assertEqual((scored.score, scored.payload.token_ids), (0.5, (1, 2)))
        body = json.loads(self.dispatcher.application_calls[0].body)
        self.assertEqual(
            body,
            {
                "sample_id": "outage/g0/0",
                "group_id": "g0",
                "prompt": "plan",
                "text": " 1 2",
                "token_ids": [1, 2],
            },
        )

    @tools.params(
        ("fails before a token", [failed()], R.ANSWER_TRUNCATED),
        ("ends without a final event", [support.tokens(1)], R.ANSWER_TRUNCATED),
        ("no version", [support.tokens(1, version=None)], R.SAMPLE_UNTRACEABLE),
        ("no tokens", [support.finished()], R.SAMPLE_UNTRACEABLE),
    )
    def test_attempt_that_fails(
        self, name: str, script: support.Script, reason: reasons.Reason
    ) -> None:
        self.registry.upstreams.clear()
        attempt = self.attempt([script])
        self.assertEqual(attempt.run().err(), reason, name)
        self.assertEqual(self.dispatcher.application_calls, [], name)
        self.assertEqual(self.dispatcher.n_closed, 1, name)

    def test_engine_crash_is_resumed_from_the_tokens_so_far(self) -> None:
        """An engine crashes in mid-stream and the sample is resumed at another engine.

        The tokens generated before the crash keep the version that generated them.
        """
        rest = [support.tokens(3, version=1), support.finished()]
        scored = self.attempt([[support.tokens(1, 2), failed()], rest]).run().unwrap()
        self.assertEqual(
            scored.segments, (model.Segment(0, 0, 1), model.Segment(1, 2, 2))
        )
        self.assertEqual(scored.payload.token_ids, (1, 2, 3))
        resumed = self.dispatcher.calls[1]
        self.assertEqual(resumed.resume_token_ids, (1, 2))
        self.assertEqual(resumed.excluded_upstream_ids, {"engine-1"})
        ids = [call.request_id for call in self.dispatcher.calls]
        self.assertEqual(len(set(ids)), 2)

    def test_complete_text_is_not_resumed(self) -> None:
        """An engine crashes after its last event and before the end marker.

        The event has the finish reason, so the text is complete. If the attempt is
        resumed after it, the sample continues after the end of its text, and its tokens
        are not those that a weight version generates.
        """
        reader = events.StreamReader("r", "engine-1")
        choice = {"text": " 1 2", "token_ids": [1, 2], "finish_reason": "stop"}
        document = {"id": "r", "choices": [choice], "weight_version": 0}
        received = reader.feed(b"data: " + json.dumps(document).encode() + b"\n\n")
        rest = [support.tokens(3), support.finished()]
        self.attempt([[*received, failed()], rest]).run()
        resumed_from = [call.resume_token_ids for call in self.dispatcher.calls]
        self.assertNotIn((1, 2), resumed_from)

    def test_second_attempt_does_not_resume_a_complete_text(self) -> None:
        """A second attempt starts while the first one's stream hangs after its text.

        If it began with the text so far, it would continue the text after its end.
        """
        earlier = provenance.PartialOutput()
        for finish_reason, expected in (("", (1, 2)), ("stop", ())):
            received = attrs.evolve(support.tokens(1, 2), finish_reason=finish_reason)
            earlier.add(received)
            attempt = self.attempt([OK])
            attempt.resume_from(earlier)
            attempt.run()
            (call,) = self.dispatcher.calls
            self.assertEqual(call.resume_token_ids, expected, finish_reason)
            earlier = provenance.PartialOutput()

    def test_attempt_is_not_resumed_without_another_engine(self) -> None:
        """An engine crashes in mid-stream and no other engine can resume the sample.

        The attempt fails; it is not sent to an engine that would start over.
        """
        self.registry.upstreams.pop("engine-2")
        attempt = self.attempt([[support.tokens(1), failed()], OK])
        self.assertEqual(attempt.run().err(), R.ANSWER_TRUNCATED)
        self.assertEqual(len(self.dispatcher.calls), 1)

    def test_attempt_past_the_bound_is_stopped_early(self) -> None:
        """Versions are published while an engine generates with an old one.

        The attempt can no longer be within the bound, so its stream is closed at the
        next event and the remaining tokens are not generated.
        """
        script = [support.tokens(1), support.tokens(2), *OK]
        attempt = self.attempt([script])
        attempt.on_progress = lambda *_: self.bundles.versions_by_trainer.update(
            {support.TRAINER: 3}
        )
        self.assertEqual(attempt.run().err(), R.SAMPLE_STALE)
        self.assertEqual(len(attempt.output.token_ids), 1)
        self.assertEqual(self.dispatcher.n_closed, 1)

    def test_bound_tightened_while_generating(self) -> None:
        """A bundle with a tighter bound is rolled while an engine generates.

        The bound in force counts, not the one at the start of the attempt.
        """
        attempt = self.attempt([[support.tokens(1), support.tokens(2), *OK]])
        self.bundles.versions_by_trainer[support.TRAINER] = 1
        attempt.on_progress = lambda *_: setattr(
            self.bundles, "bundle", support.bundle(bound=0, version=2)
        )
        self.assertEqual(attempt.run().err(), R.SAMPLE_STALE)

    def test_engines_with_stale_weights_are_excluded(self) -> None:
        """An engine still has weights that exceed the bound.

        A sample that it generated would be discarded, so the call names the oldest
        weight version that is allowed.
        """
        self.bundles.versions_by_trainer[support.TRAINER] = 5
        self.attempt([[support.tokens(1, version=5), support.finished()]]).run()
        self.assertEqual(self.dispatcher.calls[0].min_weight_version, 3)

    def test_failed_scoring_is_retried_with_the_same_sample(self) -> None:
        """A scorer's answer is broken or for another sample.

        The tokens are kept and the same request is sent to the scorer again.
        """
        bodies: list[bytes | None] = [b"{", b'{"sample_id": "x", "score": 1}', None]
        scored = self.attempt([OK], bodies).run().unwrap()
        self.assertEqual(scored.score, 0.5)
        self.assertEqual(len(self.dispatcher.calls), 1)
        bodies_sent = {call.body for call in self.dispatcher.application_calls}
        self.assertEqual(
            (len(self.dispatcher.application_calls), len(bodies_sent)), (3, 1)
        )

    def test_scoring_stops_when_the_sample_is_stale(self) -> None:
        """A scorer never gives a valid answer while versions are published.

        Scoring is retried without limit, so the attempt must fail once the sample
        exceeds the bound.
        """
        attempt = self.attempt([OK], [b"{"] * 1000)

        def age() -> None:
            clock.sleep(0.3)
            self.bundles.versions_by_trainer[support.TRAINER] = 9

        eventlet.spawn(age)
        with eventlet.Timeout(30):
            self.assertEqual(attempt.run().err(), R.SAMPLE_STALE)

    def test_killed_attempt_closes_its_stream(self) -> None:
        """An attempt is killed while its engine generates.

        The engine would continue to generate if the stream were not closed.
        """
        attempt = self.attempt([[support.tokens(1), 3600.0, *OK]])
        thread = eventlet.spawn(attempt.run)
        clock.sleep(0.01)
        thread.kill()
        self.assertEqual(self.dispatcher.n_closed, 1)
        self.assertEqual(self.generated, [])


class Scores(unittest.TestCase):
    @tools.params(
        (200, b'{"sample_id": "a", "score": 1}', 1.0),
        (200, b'{"sample_id": "a", "score": -0.5}', -0.5),
        (200, b'{"sample_id": "b", "score": 1}', None),
        (200, b'{"sample_id": "a", "score": true}', None),
        (200, b'{"sample_id": "a", "score": "1"}', None),
        (200, b'{"sample_id": "a", "score": NaN}', None),
        (200, b'{"sample_id": "a"}', None),
        (200, b"[]", None),
        (200, b"", None),
        (500, b'{"sample_id": "a", "score": 1}', None),
    )
    def test_read_score(self, status: int, body: bytes, score: float | None) -> None:
        answer = request_model.ApplicationAnswer(status, (), body, "scorer-1")
        self.assertEqual(attempts.read_score(answer, "a"), score)
