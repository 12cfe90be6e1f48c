"""What has become of one request or stream so far, and whether it may go on."""

import random
from typing import Final

import attrs
import eliot

from bilberrydrum import clock, counters, quarantine, reasons, upstream_protocol
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy, subscriber
from bilberrydrum.relay import crash_watch, model
from bilberrydrum.requests import fingerprints

# When the caller of a doubtful request may come back, in seconds: upstreams that ended
# start again within some seconds, and it is not sent to the last one that stands.
DOUBTFUL_RETRY_RANGE: Final = (1.0, 2.0)
# Reasons by which no upstream is to be asked any more: nobody waits, or the sender must
# not be served.
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
    """How far one kind of request goes on."""

    # What it is called in the log.
    kind: str
    # Upstreams that may turn it away before it runs; beyond it the caller is told.
    max_rejections: int
    # When a refused caller may come back, in seconds, from and to: spread out, so that
    # those refused together don't come back together.
    retry_after_range: tuple[float, float]


@attrs.define
class Course:
    """One request on its way from upstream to upstream."""

    rules: Rules
    inbound: model.Inbound
    route: policy.Route
    # May be sent to another upstream after it may have run.
    may_run_again: bool
    # When its caller must have an answer, in seconds of `clock.now`.
    deadline: float
    protocol: upstream_protocol.UpstreamProtocol
    excluded_ids: set[str] = attrs.field(factory=set)
    # Attempts that may have run.
    n_run: int = 0
    n_rejections: int = 0
    # Answers by which upstreams said that they had failed.
    n_failures: int = 0
    last_reason: reasons.Reason = reasons.Reason.NO_UPSTREAM
    # Number of the last event that was passed on; None: none, or it is no stream.
    last_number: int | None = None
    # It is doubtful, and may be sent to one upstream to see what becomes of it.
    is_trial: bool = False
    _fingerprint: str = ""

    def fingerprint(self) -> str:
        """Return what is the same for all attempts at the same work."""
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
        """Return an attempt that broke off after `seconds`."""
        inbound = self.inbound
        return crash_watch.BrokenRun(
            inbound.request_id,
            self.fingerprint(),
            crash_watch.subject_of(inbound.method, inbound.host, inbound.target),
            upstream,
            seconds,
        )

    def may_go_on(self) -> bool:
        """Tell whether another upstream may be asked."""
        is_over = self.n_rejections > self.rules.max_rejections
        if is_over or clock.now() >= self.deadline:
            return False
        if self.n_run == 0:
            return True
        return self.may_run_again and self.n_run < self.route.max_attempts

    def stop(self) -> None:
        """Ask nobody any more: the caller has gone, or no upstream is left."""
        self.n_rejections = self.rules.max_rejections + 1

    def refuse(self, reason: reasons.Reason) -> None:
        """Ask nobody any more, for what the request is held to be."""
        self.last_reason = reason
        self.stop()

    def count(self, may_have_run: bool) -> None:
        """Count an attempt that gave no answer."""
        if may_have_run:
            self.n_run += 1
        else:
            self.n_rejections += 1

    def note_failure(
        self,
        upstream_id: str,
        reason: reasons.Reason,
        view: subscriber.Subscriber,
    ) -> None:
        """Note an attempt that gave nothing to be passed on."""
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
        """Return what the caller is told when no upstream is left."""
        may_have_run = self.n_run > 0
        # Whoever is told that a quarantined request did not run, or when to come back,
        # sends it again.
        is_final = self.last_reason is reasons.Reason.REQUEST_QUARANTINED
        is_denied = self.last_reason is reasons.Reason.UNAUTHORIZED
        may_come_back = not may_have_run and not is_final and not is_denied
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
            rng.uniform(*self._retry_after_range()) if may_come_back else 0.0,
            is_timeout=clock.now() >= self.deadline,
            n_failures=self.n_failures,
            is_final=is_final,
        )

    def _retry_after_range(self) -> tuple[float, float]:
        if self.last_reason is reasons.Reason.REQUEST_DOUBTFUL:
            return DOUBTFUL_RETRY_RANGE
        return self.rules.retry_after_range


def find_refusal(
    course: Course,
    crashes: crash_watch.CrashWatch,
    view: subscriber.Subscriber,
    upstream_id: str,
) -> reasons.Reason | None:
    """Return why nothing must be sent any more, looked up right before each sending."""
    refusal = course.inbound.find_refusal()
    if refusal is not None:
        return refusal
    if crashes.standing(course.fingerprint) is quarantine.Standing.QUARANTINED:
        # Other gateways have seen it end upstreams since this one chose.
        return reasons.Reason.REQUEST_QUARANTINED
    return view.registry.find_refusal(upstream_id)


def engine_rank(course: Course, view: subscriber.Subscriber) -> int | None:
    """Return the rank of a request at an engine; None: its account has none."""
    account = course.inbound.account
    if not account:
        return None
    return view.routes.precedence_of(course.route, account).engine_rank()
