"""Decide after a failed attempt whether to retry a call or to give up."""

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

# Bounds of the time for which an upstream that answered as busy gets no calls.
MAX_BUSY_PAUSE_SECONDS: Final = 1.0
MIN_BUSY_PAUSE_SECONDS: Final = 0.05
# Maximum number of times that a call is queued again because its upstream was busy.
MAX_BUSY_RETRIES: Final = 20
# A timeout of an attempt that took less time is not counted as a failure of the
# upstream. Otherwise a caller with a deadline of a millisecond would get each upstream
# ejected.
MIN_ATTEMPT_TIMEOUT_SECONDS: Final = 2.0
# The timeout of an attempt at a service is this factor times the mean time of a call,
# and at least `MIN_ATTEMPT_TIMEOUT_SECONDS`. After it, another upstream is tried.
ATTEMPT_TIMEOUT_FACTOR: Final = 10.0


@attrs.define
class Progress:
    """The state of one call over its attempts."""

    need: routing.Need
    # Position in the order of arrival; 0 until the call is first queued or granted.
    number: int = 0
    # When the last attempt was granted, in seconds of `clock.now`.
    began_at: float = 0.0
    n_attempts: int = 0
    n_busy_refusals: int = 0
    n_tokens: int = 0
    may_have_run: bool = False
    # Why the last attempt failed.
    last_failure: model.Failed | None = None
    # The error answer of the service itself, if the last attempt got one.
    answer: model.ApplicationAnswer | None = None
    # When the first tokens arrived, in seconds of `clock.now`.
    first_tokens_at: float | None = None

    def record_event(self, event: model.Tokens) -> None:
        """Count the tokens of `event`."""
        self.n_tokens += max(1, len(event.token_ids))
        if self.first_tokens_at is None:
            self.first_tokens_at = clock.now()

    def was_healthy(self) -> bool:
        """Return whether the stream ran long enough to clear the call of suspicion."""
        if self.first_tokens_at is None:
            return False
        return clock.now() - self.first_tokens_at >= quarantine.HEALTHY_RUN_SECONDS


@attrs.frozen
class Recovery:
    """Decides about retries, and records failures of upstreams and suspected calls."""

    router: routing.Router
    pool: connections.ConnectionPool
    budget: retries.RetryBudget
    max_attempts: int
    crashes: crash_memory.CrashMemory

    def find_refusal(self, call: calls.Call, progress: Progress) -> model.Failed | None:
        """Return the failure if the call is suspected or quarantined, or None."""
        refusal = self.crashes.find_refusal(call, progress.may_have_run)
        if refusal is None:
            return None
        counters.refused(refusal)
        return model.Failed(refusal, progress.may_have_run)

    def record_answer(self, call: calls.Call) -> None:
        """Record that a call was answered."""
        self.crashes.record_answer(call)

    def handle_failure(
        self,
        call: calls.Call,
        progress: Progress,
        upstream: upstream_model.Upstream,
        error: attempts.AttemptError,
    ) -> model.Failed | None:
        """Record a failed attempt; return the failure, or None to retry."""
        now = clock.now()
        progress.may_have_run |= error.may_have_run
        progress.answer = error.answer
        progress.last_failure = model.Failed(
            error.reason,
            progress.may_have_run,
            upstream.upstream_id,
            error.detail,
            error.retry_after_seconds,
        )
        if error.is_refusal:
            return progress.last_failure
        if progress.was_healthy() or error.answer is not None:
            self.crashes.record_answer(call)
        else:
            seconds = now - progress.began_at
            self.crashes.record_broken_run(call, upstream, error, seconds)
        if error.reason is reasons.Reason.UPSTREAM_BUSY:
            self._record_busy(progress, upstream, error, now)
        else:
            self._record_failure(progress, upstream, error, now)
        if not self._may_retry(call, progress, error, now):
            return progress.last_failure
        counters.retried(error.reason)
        return None

    def attempt_deadline(
        self,
        call: model.ApplicationCall,
        progress: Progress,
        mean_seconds: float,
        now: float,
    ) -> float:
        """Return when an attempt times out, which is at the call's deadline or before.

        Without a timeout per attempt, a service that hangs but still renews its lease
        would hold the call until its deadline, although other upstreams could answer
        it. The last attempt may take all the time that is left, so that a call that
        takes unusually long can complete.
        """
        is_last = progress.n_attempts + 1 >= self.max_attempts
        if is_last or not call.is_idempotent or not mean_seconds:
            return call.deadline
        timeout = max(
            MIN_ATTEMPT_TIMEOUT_SECONDS, ATTEMPT_TIMEOUT_FACTOR * mean_seconds
        )
        return min(call.deadline, now + timeout)

    def _may_retry(
        self,
        call: calls.Call,
        progress: Progress,
        error: attempts.AttemptError,
        now: float,
    ) -> bool:
        # A call that may have run is retried only if it is idempotent. A stream that
        # has delivered tokens is not retried here; its client may resume it.
        if progress.n_tokens or (error.may_have_run and not call.is_idempotent):
            return False
        if now >= call.deadline:
            return False
        if error.reason is reasons.Reason.UPSTREAM_BUSY:
            return progress.n_busy_refusals <= MAX_BUSY_RETRIES
        if progress.n_attempts >= self.max_attempts:
            return False
        if not self.budget.take(now):
            counters.refused(reasons.Reason.RETRY_BUDGET_SPENT)
            return False
        return True

    def _record_busy(
        self,
        progress: Progress,
        upstream: upstream_model.Upstream,
        error: attempts.AttemptError,
        now: float,
    ) -> None:
        pause = max(MIN_BUSY_PAUSE_SECONDS, error.retry_after_seconds)
        self.router.record_busy(
            upstream.upstream_id, now + min(pause, MAX_BUSY_PAUSE_SECONDS)
        )
        progress.n_busy_refusals += 1

    def _record_failure(
        self,
        progress: Progress,
        upstream: upstream_model.Upstream,
        error: attempts.AttemptError,
        now: float,
    ) -> None:
        progress.n_attempts += 1
        progress.need = progress.need.without(frozenset({upstream.upstream_id}))
        is_timeout = error.reason is reasons.Reason.UPSTREAM_TIMEOUT
        if is_timeout and now - progress.began_at < MIN_ATTEMPT_TIMEOUT_SECONDS:
            return
        # The other connections to this address are probably broken too.
        self.pool.forget(upstream.address)
        if self.router.health.record_failure(upstream.upstream_id, now):
            eliot.log_message(
                message_type="upstream:ejected",
                upstream_id=upstream.upstream_id,
                reason=error.reason.value,
            )
