"""After a failed attempt: give up, or try another upstream."""

from typing import Final

import attrs
import eliot

from bilberrydrum import clock, counters, quarantine, reasons
from bilberrydrum.requests import (
    attempts,
    calls,
    connections,
    crash_memory,
    model,
    retries,
    routing,
)
from bilberrydrum.upstreams import model as upstream_model

# Longest and shortest time an upstream that said it was busy is left alone.
MAX_BUSY_SECONDS: Final = 1.0
MIN_BUSY_SECONDS: Final = 0.05
# Times a call goes back to the queue because its upstream was busy.
MAX_BUSY: Final = 20
# A timeout after less time says nothing about the upstream. Counted as its failure, a
# caller that asks for a millisecond would have every upstream ejected.
FAIR_SECONDS: Final = 2.0
# An attempt at a service that takes this many times as long as calls do on average, and
# at least `FAIR_SECONDS`, is broken off for another one.
PATIENCE: Final = 10.0


@attrs.define
class Progress:
    """What became of one call so far."""

    need: routing.Need
    # Position in the order of arrival; 0: none yet.
    number: int = 0
    # When the last attempt began.
    began_at: float = 0.0
    n_attempts: int = 0
    n_busy: int = 0
    n_tokens: int = 0
    may_have_run: bool = False
    # Why the last attempt failed.
    failed: model.Failed | None = None
    # The service's own answer that it failed, from the last attempt.
    answer: model.ApplicationAnswer | None = None
    # When the first tokens were there.
    first_tokens_at: float | None = None

    def note(self, event: model.StreamEvent) -> None:
        """Count the tokens of `event`."""
        if isinstance(event, model.Tokens):
            self.n_tokens += max(1, len(event.token_ids))
            if self.first_tokens_at is None:
                self.first_tokens_at = clock.now()

    def has_survived(self) -> bool:
        """Tell whether the stream was well for so long that its call is cleared."""
        if self.first_tokens_at is None:
            return False
        return clock.now() - self.first_tokens_at >= quarantine.HEALTHY_RUN_SECONDS


@attrs.frozen
class Recovery:
    """Decides after failed attempts, and notes what they say about the upstreams."""

    router: routing.Router
    pool: connections.ConnectionPool
    budget: retries.RetryBudget
    max_attempts: int
    crashes: crash_memory.CrashMemory

    def find_refusal(self, call: calls.Call, progress: Progress) -> model.Failed | None:
        """Return the failure to give up with, by what the call is held to be."""
        refusal = self.crashes.find_refusal(call, progress.may_have_run)
        if refusal is None:
            return None
        counters.refused(refusal)
        return model.Failed(refusal, progress.may_have_run)

    def answered(self, call: calls.Call) -> None:
        """Note that a call came to an end."""
        self.crashes.record_answer(call)

    def after(
        self,
        call: calls.Call,
        progress: Progress,
        upstream: upstream_model.Upstream,
        error: attempts.AttemptError,
    ) -> model.Failed | None:
        """Return the failure to give up with, or None to try again."""
        now = clock.now()
        progress.may_have_run |= error.may_have_run
        progress.answer = error.answer
        progress.failed = model.Failed(
            error.reason,
            progress.may_have_run,
            upstream.upstream_id,
            error.detail,
            error.retry_after_seconds,
        )
        if error.is_refusal:
            return progress.failed
        if progress.has_survived() or error.answer is not None:
            self.crashes.record_answer(call)
        else:
            seconds = now - progress.began_at
            self.crashes.record_broken_run(call, upstream, error, seconds)
        if error.reason is reasons.Reason.UPSTREAM_BUSY:
            self._note_busy(progress, upstream, error, now)
        else:
            self._note_failure(progress, upstream, error, now)
        if not self._may_retry(call, progress, error, now):
            return progress.failed
        counters.retried(error.reason)
        return None

    def attempt_deadline(
        self,
        call: model.ApplicationCall,
        progress: Progress,
        mean_seconds: float,
        now: float,
    ) -> float:
        """Return when an attempt is to be broken off, at the latest by the deadline.

        A service that hangs and goes on renewing its lease would hold a call to its
        deadline while others could answer it. The last attempt gets all the time that
        is left, so a call that needs long is served.
        """
        is_last = progress.n_attempts + 1 >= self.max_attempts
        if is_last or not call.is_idempotent or not mean_seconds:
            return call.deadline
        patience = max(FAIR_SECONDS, PATIENCE * mean_seconds)
        return min(call.deadline, now + patience)

    def _may_retry(
        self,
        call: calls.Call,
        progress: Progress,
        error: attempts.AttemptError,
        now: float,
    ) -> bool:
        # What may have run is not sent again unless it may run twice, and a stream that
        # has begun is its client's to resume.
        if progress.n_tokens or (error.may_have_run and not call.is_idempotent):
            return False
        if now >= call.deadline:
            return False
        if error.reason is reasons.Reason.UPSTREAM_BUSY:
            return progress.n_busy <= MAX_BUSY
        if progress.n_attempts >= self.max_attempts:
            return False
        if not self.budget.take(now):
            counters.refused(reasons.Reason.RETRY_BUDGET_SPENT)
            return False
        return True

    def _note_busy(
        self,
        progress: Progress,
        upstream: upstream_model.Upstream,
        error: attempts.AttemptError,
        now: float,
    ) -> None:
        wait = max(MIN_BUSY_SECONDS, error.retry_after_seconds)
        self.router.busy(upstream.upstream_id, now + min(wait, MAX_BUSY_SECONDS))
        progress.n_busy += 1

    def _note_failure(
        self,
        progress: Progress,
        upstream: upstream_model.Upstream,
        error: attempts.AttemptError,
        now: float,
    ) -> None:
        progress.n_attempts += 1
        progress.need = attrs.evolve(
            progress.need,
            excluded_upstream_ids=progress.need.excluded_upstream_ids
            | {upstream.upstream_id},
        )
        is_timeout = error.reason is reasons.Reason.UPSTREAM_TIMEOUT
        if is_timeout and now - progress.began_at < FAIR_SECONDS:
            return
        # Others of its connections are likely to be dead too.
        self.pool.forget(upstream.address)
        if self.router.health.failed(upstream.upstream_id, now):
            eliot.log_message(
                message_type="upstream:ejected",
                upstream_id=upstream.upstream_id,
                reason=error.reason.value,
            )
