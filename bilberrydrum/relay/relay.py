"""Pass a request on to an upstream and its whole answer back.

An idempotent request goes to another upstream after a failure, as long as the caller's
time allows and the route's number of attempts is not used up. One that may run once
only goes on to another upstream just after a promise that it has not run. A refusal is
called "not run" only if every upstream that was sent a byte has promised so.
"""

import random
from typing import Final

import attrs
import eliot

from bilberrydrum import clock, counters, quarantine, reasons, upstream_protocol
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy, subscriber
from bilberrydrum.relay import balancing, courses, crash_watch, model, trial
from bilberrydrum.requests import attempts, examination, outgoing_requests
from bilberrydrum.requests import model as request_model
from bilberrydrum.usage import meter as usage_meter

# Share of the time left that one attempt may take while others may follow: a silent
# upstream then leaves time for two more.
_TRY_SHARE: Final = 0.45
# An attempt that may be followed by another is given at least this many times the
# route's target latency, so that a slow answer isn't taken for a lost one.
_TRY_TARGETS: Final = 2.0
# Status by which an upstream says that it ran a request and failed.
_FAILED_STATUS: Final = 500
# A request whose time is up is answered this long, in seconds, before the caller stops
# to wait: a way of 1 ms and a hub turn.
ANSWER_MARGIN_SECONDS: Final = 0.02
# A caller that was refused comes back after a few service times.
_RULES: Final = courses.Rules(
    "request", max_rejections=6, retry_after_range=(0.05, 0.25)
)


@attrs.define
class _Course(courses.Course):
    """What has become of one request so far."""

    # When the last attempt began.
    tried_at: float = 0.0
    last_failure: request_model.ApplicationAnswer | None = None


class Relay:
    """Passes requests on at one gateway."""

    def __init__(
        self,
        protocol: upstream_protocol.UpstreamProtocol,
        view: subscriber.Subscriber,
        means: attempts.Means,
        balancer: balancing.Balancer,
        rng: random.Random,
        crashes: crash_watch.CrashWatch,
        meter: usage_meter.Meter | None = None,
    ) -> None:
        """Make the relay; `meter` is None where use is not counted."""
        self._meter = meter
        self._protocol = protocol
        self._view = view
        self._means = means
        self._rng = rng
        self._crashes = crashes
        self._balancer = balancer
        view.watch(self._on_news)

    def _on_news(self) -> None:
        known = {each.upstream_id for each in self._view.registry.upstreams}
        self._balancer.keep_only(known)

    def handle(
        self, inbound: model.Inbound, route: policy.Route
    ) -> model.Answered | model.Refused:
        """Return an upstream's answer to `inbound`, or why there is none."""
        began = clock.now()
        answer = self._handle(inbound, route)
        outcome = "refused"
        if isinstance(answer, model.Answered):
            outcome = f"{answer.status // 100}xx"
        counters.RELAY_SECONDS.labels(outcome).observe(clock.now() - began)
        return answer

    def _handle(
        self, inbound: model.Inbound, route: policy.Route
    ) -> model.Answered | model.Refused:
        deadline = min(inbound.deadline, clock.now() + route.timeout_seconds)
        is_idempotent = route.kind is policy.RouteKind.IDEMPOTENT
        may_run_again = is_idempotent or inbound.may_run_again
        deadline -= ANSWER_MARGIN_SECONDS
        course = _Course(
            _RULES, inbound, route, may_run_again, deadline, self._protocol
        )
        service = route.choose_service(self._rng)
        while course.may_go_on():
            upstream = self._choose(service, course)
            if upstream is None:
                break
            answer = self._try(upstream, course)
            if answer is not None:
                return answer
        return self._give_up(course)

    def _choose(
        self, service: str, course: _Course
    ) -> fleet_model.FleetUpstream | None:
        upstreams = self._view.registry.of_service(service)
        refusal = trial.find_refusal(course, self._crashes, self._balancer, upstreams)
        if refusal is not None:
            course.refuse(refusal)
            return None
        return self._balancer.choose(upstreams, course.excluded_ids, clock.now())

    def _try(
        self, upstream: fleet_model.FleetUpstream, course: _Course
    ) -> model.Answered | None:
        """Make one attempt; None: it gave nothing to be passed on."""
        outgoing = self._outgoing(upstream, course)
        with usage_meter.attempt(self._meter, course.inbound.account) as counted:
            n_run = course.n_run
            answer = self._attempt(upstream, course, outgoing)
            if course.n_run > n_run:
                counted.began_at = outgoing.sent_at
        return answer

    def _attempt(
        self,
        upstream: fleet_model.FleetUpstream,
        course: _Course,
        outgoing: outgoing_requests.Outgoing,
    ) -> model.Answered | None:
        course.excluded_ids.add(upstream.upstream_id)
        course.tried_at = clock.now()
        self._balancer.begin(upstream.upstream_id)
        try:
            answer = attempts.call(self._means, upstream, outgoing)
        except attempts.AttemptError as error:
            return self._failed(upstream, course, error)
        finally:
            self._balancer.end(upstream.upstream_id)
        return self._answered(upstream, course, answer)

    def _outgoing(
        self, upstream: fleet_model.FleetUpstream, course: _Course
    ) -> outgoing_requests.Outgoing:
        inbound = course.inbound
        now = clock.now()
        remaining = course.deadline - now
        seconds = remaining
        is_last = course.n_run + 1 >= course.route.max_attempts
        if course.may_run_again and not is_last:
            floor = _TRY_TARGETS * course.route.target_latency_seconds
            seconds = min(remaining, max(floor, remaining * _TRY_SHARE))
        attempt = upstream_protocol.Attempt(
            inbound.request_id,
            upstream.announced_id,
            remaining,
            priority=courses.engine_rank(course, self._view),
            account=inbound.account,
        )
        return outgoing_requests.Outgoing(
            inbound.request_id,
            inbound.method,
            inbound.target,
            self._protocol.relay_headers(inbound.headers, attempt),
            inbound.body,
            now + seconds,
            course.may_run_again,
            lambda: self._find_refusal(course, upstream),
            inbound.is_client_gone,
            id_header=self._protocol.request_id_header,
            accepts_unframed=True,
            may_repeat=course.may_run_again,
        )

    def _find_refusal(
        self, course: _Course, upstream: fleet_model.FleetUpstream
    ) -> reasons.Reason | None:
        refusal = course.inbound.find_refusal()
        if refusal is not None:
            return refusal
        standing = self._crashes.standing(course.fingerprint)
        if standing is quarantine.Standing.QUARANTINED:
            # Other gateways have seen it end upstreams since this one chose.
            return reasons.Reason.REQUEST_QUARANTINED
        return self._view.registry.find_refusal(upstream.upstream_id)

    def _answered(
        self,
        upstream: fleet_model.FleetUpstream,
        course: _Course,
        answer: request_model.ApplicationAnswer,
    ) -> model.Answered | None:
        head = self._protocol.read_head(dict(answer.headers))
        if head.was_not_run:
            self._rejected(upstream, course, answer)
            return None
        if answer.status < 300 and not head.is_genuine:
            # Passed on, it would be taken for the work's result.
            course.n_run += 1
            self._balancer.failed(upstream.upstream_id, clock.now())
            reason = reasons.Reason.ANSWER_MISMATCHED
            course.note_failure(upstream.upstream_id, reason, self._view)
            return None
        self._balancer.succeeded(upstream.upstream_id, head, clock.now())
        self._crashes.was_answered(course.fingerprint)
        course.n_run += 1
        if answer.status == _FAILED_STATUS:
            course.n_failures += 1
        if answer.status >= 500 and course.may_run_again and course.may_go_on():
            course.last_failure = answer
            reason = reasons.Reason.UPSTREAM_ERROR
            course.note_failure(upstream.upstream_id, reason, self._view)
            return None
        _log_end(course, upstream.upstream_id, answer.status)
        return self._passed_on(course, answer)

    def _rejected(
        self,
        upstream: fleet_model.FleetUpstream,
        course: _Course,
        answer: request_model.ApplicationAnswer,
    ) -> None:
        course.n_rejections += 1
        if answer.status != 503:
            # Another incarnation has its address, or it takes no requests at all.
            self._balancer.failed(upstream.upstream_id, clock.now())
        reason = reasons.Reason.UPSTREAM_BUSY
        course.note_failure(upstream.upstream_id, reason, self._view)

    def _failed(
        self,
        upstream: fleet_model.FleetUpstream,
        course: _Course,
        error: attempts.AttemptError,
    ) -> model.Answered | None:
        if error.answer is not None:
            return self._answered(upstream, course, error.answer)
        course.count(error.may_have_run)
        if not error.is_refusal and not self._was_hurried(course, error):
            self._balancer.failed(upstream.upstream_id, clock.now())
        if error.reason in courses.FINAL_REASONS:
            course.stop()
        if error.may_have_run and error.reason in examination.BROKEN:
            seconds = clock.now() - course.tried_at
            self._crashes.run_broke(course.broken_run(upstream, seconds))
        course.note_failure(upstream.upstream_id, error.reason, self._view)
        return None

    @staticmethod
    def _was_hurried(course: _Course, error: attempts.AttemptError) -> bool:
        """Tell whether the caller's own short time ended the attempt.

        Held against the upstream, callers in a hurry would drive all others away from
        healthy upstreams.
        """
        is_timeout = error.reason is reasons.Reason.UPSTREAM_TIMEOUT
        fair = _TRY_TARGETS * course.route.target_latency_seconds
        return is_timeout and clock.now() - course.tried_at < fair

    def _give_up(self, course: _Course) -> model.Answered | model.Refused:
        if course.last_failure is not None:
            answer = course.last_failure
            _log_end(course, answer.upstream_id, answer.status)
            return self._passed_on(course, answer)
        return course.refusal(self._view, self._rng)

    def _passed_on(
        self, course: _Course, answer: request_model.ApplicationAnswer
    ) -> model.Answered:
        head = self._protocol.read_head(dict(answer.headers))
        signature = head.signature if answer.is_named else ""
        return model.Answered(
            answer.status, answer.headers, answer.body, signature, course.n_failures
        )


def _log_end(course: _Course, upstream_id: str, status: int) -> None:
    eliot.log_message(
        message_type="relay:answered",
        request_id=course.inbound.request_id,
        route=course.route.name,
        upstream_id=upstream_id,
        status=status,
        n_run=course.n_run,
    )
