"""The state of one relayed request or stream over its attempts at upstreams."""

import random
from typing import Final

import attrs
import eliot

from bilberrydrum import clock, counters, quarantine, reasons, upstream_protocol
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy, subscriber
from bilberrydrum.relay import crash_watch, model
from bilberrydrum.requests import fingerprints

# Time after which the caller of a request suspected of crashing upstreams may retry, in
# seconds. Such a request is not sent to the last running upstream, and crashed
# upstreams restart within some seconds.
SUSPECTED_RETRY_RANGE: Final = (1.0, 2.0)
# Reasons after which no further attempt is made: no caller waits for the answer, or the
# sender must not be served.
FINAL_REASONS: Final = frozenset(
    {
        reasons.Reason.CALLER_GONE,
        reasons.Reason.ATTEMPT_SUPERSEDED,
        reasons.Reason.UNAUTHORIZED,
        reasons.Reason.BUNDLE_LEASE_EXPIRED,
    }
)


@attrs.frozen
class Rules:
    """The limits on attempts and retries of one kind of request."""

    # Name of the kind in log lines.
    kind: str
    # Rejections by upstreams before the request ran that are tolerated; with one more
    # the caller is refused.
    max_rejections: int
    # Shortest and longest time after which a refused caller may retry, in seconds. The
    # time is drawn at random, so that callers refused together don't retry together.
    retry_after_range: tuple[float, float]


@attrs.define
class RelayedRequest:
    """The state of one request over its attempts at upstreams."""

    rules: Rules
    inbound: model.Inbound
    route: policy.Route
    # Whether it may be sent to another upstream after an attempt that may have run it.
    may_run_again: bool
    # Time by which the caller must have an answer, in seconds of `clock.now`.
    deadline: float
    protocol: upstream_protocol.UpstreamProtocol
    # Upstreams that were tried already.
    excluded_ids: set[str] = attrs.field(factory=set)
    # Attempts after which the request may have run.
    n_run: int = 0
    # Attempts that are known not to have run the request.
    n_rejections: int = 0
    # An answer said that the request did not run, but may be that to another request.
    is_uncertain: bool = False
    # Answers with status 500.
    n_failures: int = 0
    last_reason: reasons.Reason = reasons.Reason.NO_UPSTREAM
    # Number of the last event that the caller has: the last one forwarded, or the one
    # that the caller asked to resume after. None if there is none, or if this is no
    # stream.
    last_number: int | None = None
    # It is suspected of crashing upstreams, and was allowed one trial.
    is_trial: bool = False
    # Where it is to be tried; empty: any upstream.
    trial_upstream_id: str = ""
    _fingerprint: str = ""

    def fingerprint(self) -> str:
        """Return a digest that all attempts at the same work have in common."""
        if not self._fingerprint:
            inbound = self.inbound
            identity = self.protocol.identity_of(inbound.headers)
            self._fingerprint = fingerprints.of_request(
                inbound.method,
                inbound.host,
                inbound.target,
                identity,
                inbound.body,
                inbound.account or "",
            )
        return self._fingerprint

    def broken_run(
        self, upstream: fleet_model.FleetUpstream, seconds: float
    ) -> crash_watch.BrokenRun:
        """Return the record of an attempt that broke off after `seconds`."""
        inbound = self.inbound
        return crash_watch.BrokenRun(
            inbound.request_id,
            self.fingerprint(),
            crash_watch.subject_of(inbound.method, inbound.host, inbound.target),
            upstream,
            seconds,
        )

    def may_attempt(self) -> bool:
        """Return whether one more attempt may be made."""
        is_over = self.n_rejections > self.rules.max_rejections
        if is_over or clock.now() >= self.deadline:
            return False
        if self.n_run == 0:
            return True
        return self.may_run_again and self.n_run < self.route.max_attempts

    def stop(self) -> None:
        """Make no further attempt: the caller is gone, or no upstream is left."""
        self.n_rejections = self.rules.max_rejections + 1

    def refuse(self, reason: reasons.Reason) -> None:
        """Make no further attempt, because the request itself is refused."""
        self.last_reason = reason
        self.stop()

    def count_failed_attempt(self, may_have_run: bool) -> None:
        """Count an attempt without an answer that can be forwarded."""
        if may_have_run:
            self.n_run += 1
        else:
            self.n_rejections += 1

    def accept_rejection(
        self, head: upstream_protocol.AnswerHead, is_certain: bool
    ) -> bool:
        """Return whether an answer is accepted as saying that the request did not run.

        One that may be the answer to another request is accepted only if another run
        does no harm, and then the caller is not told that the request did not run.
        """
        if not head.was_not_run:
            return False
        if not is_certain:
            self.is_uncertain = True
        return is_certain or self.may_run_again

    def record_failure(
        self,
        upstream_id: str,
        reason: reasons.Reason,
        view: subscriber.Subscriber,
    ) -> None:
        """Record and log an attempt without an answer that can be forwarded."""
        self.last_reason = reason
        counters.retried(reason)
        eliot.log_message(
            message_type="relay:attempt-failed",
            kind=self.rules.kind,
            request_id=self.inbound.request_id,
            upstream_id=upstream_id,
            reason=reason.value,
            n_run=self.n_run,
            remaining_seconds=round(self.deadline - clock.now(), 3),
            last_event_number=self.last_number,
            registry_index=view.registry.index,
        )

    def refusal(self, view: subscriber.Subscriber, rng: random.Random) -> model.Refused:
        """Return the refusal for the caller when no further attempt is made."""
        may_have_run = self.n_run > 0 or self.is_uncertain
        # The refusal of a quarantined request is final and gives no time for a retry: a
        # caller that learns that its request did not run, or when to retry, sends it
        # again.
        is_final = self.last_reason is reasons.Reason.REQUEST_QUARANTINED
        is_denied = self.last_reason is reasons.Reason.UNAUTHORIZED
        may_retry = not may_have_run and not is_final and not is_denied
        counters.refused(self.last_reason)
        eliot.log_message(
            message_type="relay:refused",
            kind=self.rules.kind,
            request_id=self.inbound.request_id,
            route=self.route.name,
            reason=self.last_reason.value,
            may_have_run=may_have_run,
            is_final=is_final,
            fingerprint=self._fingerprint,
            n_run=self.n_run,
            n_rejections=self.n_rejections,
            policy_version=view.routes.policy.version,
            registry_index=view.registry.index,
        )
        return model.Refused(
            self.last_reason,
            may_have_run,
            rng.uniform(*self._retry_after_range()) if may_retry else 0.0,
            is_timeout=clock.now() >= self.deadline,
            n_failures=self.n_failures,
            is_final=is_final,
        )

    def _retry_after_range(self) -> tuple[float, float]:
        if self.last_reason is reasons.Reason.REQUEST_DOUBTFUL:
            return SUSPECTED_RETRY_RANGE
        return self.rules.retry_after_range


def rejection_reason(head: upstream_protocol.AnswerHead) -> reasons.Reason:
    """Return the reason to record for an answer that the request did not run."""
    if head.is_misdirected:
        return reasons.Reason.ADDRESS_REUSED
    return reasons.Reason.UPSTREAM_BUSY


def find_refusal(
    request: RelayedRequest,
    crashes: crash_watch.CrashWatch,
    view: subscriber.Subscriber,
    upstream_id: str,
) -> reasons.Reason | None:
    """Return why the request must not be sent; called immediately before each send."""
    refusal = request.inbound.find_refusal()
    if refusal is not None:
        return refusal
    if crashes.standing(request.fingerprint) is quarantine.Standing.QUARANTINED:
        # Crashes that other gateways reported since this one chose the upstream.
        return reasons.Reason.REQUEST_QUARANTINED
    return view.registry.find_refusal(upstream_id)


def engine_rank(request: RelayedRequest, view: subscriber.Subscriber) -> int | None:
    """Return the request's priority at an engine; None if it has no account."""
    account = request.inbound.account
    if not account:
        return None
    return view.routes.precedence_of(request.route, account).engine_rank()
