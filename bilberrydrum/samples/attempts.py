"""One attempt at a slot: generate a sample and have it scored.

An attempt runs in its own task. It is stopped by killing the task, which closes the
stream and so cancels the work at the engine.
"""

import json
import math
from collections.abc import Callable
from typing import Final

import attrs
import result

from bilberrydrum import clock, counters, interfaces, reasons
from bilberrydrum.bundles import model as bundle_model
from bilberrydrum.requests import model as request_model
from bilberrydrum.samples import model, provenance, scheduling, staleness

# Longest time that one stream may take.
STREAM_TIMEOUT_SECONDS: Final = 3600.0
SCORE_TIMEOUT_SECONDS: Final = 60.0
SCORE_BACKOFF_SECONDS: Final = 0.1
MAX_SCORE_BACKOFF_SECONDS: Final = 5.0
# Number of times that one attempt is resumed at another engine before it fails and a
# new attempt is started.
MAX_RESUMES: Final = 3
# Calls for urgent slots go before other calls of the same trainer. At the engine both
# go after callers' requests, each of which has a caller waiting for the answer.
PRIORITY_URGENT: Final = 9
PRIORITY_NORMAL: Final = 10
# Attempts that may wait at an engine per run slot of the engine. Without them, a run
# slot would stay empty from the end of one attempt until the engine's report of it is
# received.
QUEUE_DEPTH: Final = 0.5


@attrs.frozen
class ScoredAttempt:
    """A finished attempt and its score."""

    upstream_id: str
    segments: tuple[model.Segment, ...]
    score: float
    payload: model.Payload


@attrs.frozen
class Task:
    """The input of an attempt."""

    start: scheduling.Start
    request: model.GroupRequest
    rule: bundle_model.TrainerRule
    is_urgent: bool

    @property
    def sample_id(self) -> str:
        """The id of the slot's sample."""
        key = self.start.key
        return model.sample_id(key.trainer, key.group_id, key.slot)

    @property
    def name(self) -> str:
        """A name unique to this attempt."""
        return model.payload_key(
            self.sample_id, self.start.key.owner_epoch, self.start.attempt
        )


@attrs.define
class Attempt:
    """Runs one attempt through the dispatcher."""

    task: Task
    bundles: interfaces.BundleView
    registry: interfaces.Registry
    dispatcher: interfaces.Dispatcher
    # Called with the engine's id and the number of tokens.
    on_progress: Callable[[str, int], None]
    on_generated: Callable[[], None]
    output: provenance.PartialOutput = attrs.field(factory=provenance.PartialOutput)
    upstream_id: str = ""

    def resume_from(self, earlier: provenance.PartialOutput) -> None:
        """Begin with what another attempt has generated, unless its text has ended.

        The other attempt then only waits for the end of its stream. If it fails there,
        the text is generated anew.
        """
        if not earlier.finish_reason:
            self.output = earlier.copy()

    def run(self) -> result.Result[ScoredAttempt, reasons.Reason]:
        """Return the scored attempt, or the reason why it failed."""
        segments = self._generate()
        if segments.is_err():
            return result.Err(segments.unwrap_err())
        self.on_generated()
        score = self._score()
        if score.is_err():
            return result.Err(score.unwrap_err())
        return result.Ok(
            ScoredAttempt(
                self.upstream_id,
                segments.unwrap(),
                score.unwrap(),
                self.output.payload(),
            )
        )

    def _generate(self) -> result.Result[tuple[model.Segment, ...], reasons.Reason]:
        excluded = set(self.task.start.excluded_upstream_ids)
        for n_resumes in range(MAX_RESUMES + 1):
            ended = self._stream(self._call(n_resumes, frozenset(excluded)))
            if ended.is_ok():
                return self.output.finish(ended.unwrap(), self.task.request.max_tokens)
            failed = ended.unwrap_err()
            if failed.reason in (
                reasons.Reason.SAMPLE_STALE,
                reasons.Reason.SAMPLE_UNTRACEABLE,
            ):
                return result.Err(failed.reason)
            if failed.upstream_id:
                excluded.add(failed.upstream_id)
            if not self._can_resume(failed):
                return result.Err(failed.reason)
            counters.retried(failed.reason)
        return result.Err(reasons.Reason.UPSTREAM_ERROR)

    def _call(
        self, n_resumes: int, excluded: frozenset[str]
    ) -> request_model.ModelCall:
        task = self.task
        rule = task.rule
        newest = self._newest_version()
        return request_model.ModelCall(
            request_id=f"{task.name}.{n_resumes}",
            model=rule.model,
            prompt=task.request.prompt,
            max_tokens=task.request.max_tokens,
            client=task.start.key.trainer,
            deadline=clock.now() + STREAM_TIMEOUT_SECONDS,
            share=rule.share,
            priority=PRIORITY_URGENT if task.is_urgent else PRIORITY_NORMAL,
            adapter=rule.adapter,
            min_weight_version=max(-1, newest - rule.staleness_bound),
            resume_token_ids=tuple(self.output.token_ids),
            excluded_upstream_ids=excluded,
            expected_tokens=task.request.max_tokens,
            queue_depth=QUEUE_DEPTH,
            is_owed=True,
        )

    def _stream(
        self, call: request_model.ModelCall
    ) -> result.Result[request_model.Finished, request_model.Failed]:
        events = self.dispatcher.stream(call)
        try:
            for event in events:
                if isinstance(event, request_model.Failed):
                    return result.Err(event)
                self.upstream_id = event.upstream_id
                if isinstance(event, request_model.Finished):
                    return result.Ok(event)
                self.output.add(event)
                self.on_progress(event.upstream_id, len(event.token_ids))
                reason = self._discard_reason()
                if reason is not None:
                    return result.Err(request_model.Failed(reason, True))
        finally:
            close = getattr(events, "close", None)
            if close is not None:
                close()
        return result.Err(
            request_model.Failed(
                reasons.Reason.ANSWER_TRUNCATED, True, self.upstream_id
            )
        )

    def _discard_reason(self) -> reasons.Reason | None:
        """Return why the attempt can no longer become a sample, or None."""
        if self.output.fault:
            return reasons.Reason.SAMPLE_UNTRACEABLE
        if not self.is_within_bound():
            return reasons.Reason.SAMPLE_STALE
        return None

    def is_within_bound(self) -> bool:
        """Return whether the output so far is within the bound currently in force."""
        current = self.bundles.current()
        bound = self.task.rule.staleness_bound
        if current.is_ok():
            rule = current.unwrap().trainers.get(self.task.start.key.trainer)
            bound = bound if rule is None else rule.staleness_bound
        return staleness.can_be_within_bound(
            self.output.segments, self._newest_version(), bound
        )

    def _newest_version(self) -> int:
        versions = self.bundles.weight_versions_by_trainer()
        return versions.get(self.task.start.key.trainer, 0)

    def _can_resume(self, failed: request_model.Failed) -> bool:
        if not self.output.token_ids or not failed.upstream_id:
            return False
        if self.output.finish_reason:
            # Another engine would continue the text after its end, with tokens that no
            # weight version generates.
            return False
        if len(self.output.token_ids) >= self.task.request.max_tokens:
            return False
        model_name = self.task.rule.model
        return any(
            each.can_resume
            and model_name in each.models
            and each.upstream_id != failed.upstream_id
            for each in self.registry.upstreams_by_id().values()
        )

    def _score(self) -> result.Result[float, reasons.Reason]:
        delay = SCORE_BACKOFF_SECONDS
        while True:
            score = self._score_once()
            if score is not None:
                return result.Ok(score)
            counters.retried(reasons.Reason.SCORER_FAILED)
            # The generated tokens remain valid, so scoring is retried until the sample
            # becomes too stale.
            if not self.is_within_bound():
                return result.Err(reasons.Reason.SAMPLE_STALE)
            clock.sleep(delay)
            delay = min(MAX_SCORE_BACKOFF_SECONDS, 2 * delay)

    def _score_once(self) -> float | None:
        key = self.task.start.key
        payload = self.output.payload()
        body = {
            "sample_id": self.task.sample_id,
            "group_id": key.group_id,
            "prompt": self.task.request.prompt,
            "text": payload.text,
            "token_ids": list(payload.token_ids),
        }
        answer = self.dispatcher.call_application(
            request_model.ApplicationCall(
                request_id=f"{self.task.name}.score",
                application=self.task.rule.scorer,
                method="POST",
                target="/score",
                headers=(("Content-Type", "application/json"),),
                body=json.dumps(body).encode(),
                client=key.trainer,
                deadline=clock.now() + SCORE_TIMEOUT_SECONDS,
                share=self.task.rule.share,
                is_idempotent=True,
                is_owed=True,
            )
        )
        return (
            read_score(answer.unwrap(), self.task.sample_id) if answer.is_ok() else None
        )


def read_score(answer: request_model.ApplicationAnswer, sample_id: str) -> float | None:
    """Return the score in a scorer's answer, or None if it has none for the sample."""
    if answer.status != 200:
        return None
    try:
        body = json.loads(answer.body)
    except ValueError:
        return None
    # If a scorer mixed up its answers, a sample would get the score of another one.
    if not isinstance(body, dict) or body.get("sample_id") != sample_id:
        return None
    score = body.get("score")
    if isinstance(score, bool) or not isinstance(score, int | float):
        return None
    return float(score) if math.isfinite(score) else None
