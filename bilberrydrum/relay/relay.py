"""Pass a request on to an upstream and its whole answer back.

An idempotent request goes to another upstream after a failure, as long as the caller's
time allows and the route's number of attempts is not used up. One that may run once
only goes on to another upstream just after a promise that it has not run. A refusal is
called "not run" only if every upstream that was sent a byte has promised so.
"""

import random
from typing import Any, Final

import attrs
import eliot
import eventlet
import eventlet.queue

from bilberrydrum import clock, counters, quarantine, reasons, upstream_protocol
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy, subscriber
from bilberrydrum.relay import balancing, courses, crash_watch, hedging, model, trial
from bilberrydrum.requests import attempts, crash_probe, outgoing_requests
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

    # Chosen once: the route's shares are those of requests, not of attempts.
    service: str = ""
    last_failure: request_model.ApplicationAnswer | None = None
    # Attempts that have not ended.
    n_under_way: int = 0
    # An answer is passed on; what else comes is late.
    is_answered: bool = False


@attrs.define
class _Attempt:
    """One upstream that is asked; two may be at the same time."""

    upstream: fleet_model.FleetUpstream
    outgoing: outgoing_requests.Outgoing
    began_at: float
    # The upstream may have run it.
    has_run: bool = False

    @property
    def upstream_id(self) -> str:
        """Name of the upstream."""
        return self.upstream.upstream_id

    def seconds(self) -> float:
        """Return for how long it has been under way."""
        return clock.now() - self.began_at


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
        hedges: hedging.Hedging | None = None,
    ) -> None:
        """Make the relay.

        Parameters
        ----------
        meter : usage.meter.Meter or None
            None where use is not counted.
        hedges : hedging.Hedging or None
            None where no second upstream is asked beside the first: by senders of
            bursts that leave places for others, who would lose these places.
        """
        self._meter = meter
        self._protocol = protocol
        self._view = view
        self._means = means
        self._rng = rng
        self._crashes = crashes
        self._balancer = balancer
        self._hedging = hedges
        view.watch(self._on_news)

    def _on_news(self) -> None:
        self._balancer.keep_only(self._view.registry.upstreams_by_id)

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
            _RULES,
            inbound,
            route,
            may_run_again,
            deadline,
            self._protocol,
            service=route.choose_service(self._rng),
        )
        if self._hedging is not None:
            self._hedging.first_attempt()
        while course.may_go_on():
            upstream = self._choose(course)
            if upstream is None:
                break
            answer = self._try_hedged(upstream, course)
            if answer is not None:
                return answer
        return self._give_up(course)

    def _choose(self, course: _Course) -> fleet_model.FleetUpstream | None:
        upstreams = self._view.registry.of_service(course.service)
        refusal = trial.find_refusal(course, self._crashes, self._balancer, upstreams)
        if refusal is not None:
            course.refuse(refusal)
            return None
        return self._balancer.choose(upstreams, course.excluded_ids, clock.now())

    def _try_hedged(
        self, upstream: fleet_model.FleetUpstream, course: _Course
    ) -> model.Answered | None:
        """Ask `upstream`, and another one if its answer is late (see `hedging`)."""
        patience = self._patience(course)
        if patience is None:
            return self._try(upstream, course)
        answers: Any = eventlet.queue.LightQueue()
        answer: model.Answered | None = None
        eventlet.spawn_n(self._try_apart, upstream, course, answers)
        try:
            answer = answers.get(timeout=patience)
            return answer
        except eventlet.queue.Empty:
            n_under_way = 1
        second = self._choose_second(upstream, course)
        if second is not None:
            eventlet.spawn_n(self._try_apart, second, course, answers)
            n_under_way += 1
        while answer is None and n_under_way:
            answer = answers.get()
            n_under_way -= 1
        return answer

    def _patience(self, course: _Course) -> float | None:
        """Return when a second upstream may be asked; None: it may not."""
        if self._hedging is None or not course.may_run_again:
            return None
        if course.n_run + 2 > course.route.max_attempts:
            return None
        if self._crashes.standing(course.fingerprint) is not quarantine.Standing.CLEAR:
            # What may end upstreams is sent to one at a time.
            return None
        patience = self._hedging.patience(course.route, course.service)
        if patience is None or clock.now() + patience >= course.deadline:
            return None
        return patience

    def _choose_second(
        self, first: fleet_model.FleetUpstream, course: _Course
    ) -> fleet_model.FleetUpstream | None:
        assert self._hedging is not None
        if not course.may_go_on() or not self._hedging.may_ask_second(clock.now()):
            return None
        second = self._choose(course)
        if second is not None:
            counters.retried(reasons.Reason.UPSTREAM_SLOW)
            eliot.log_message(
                message_type="relay:asked-second",
                request_id=course.inbound.request_id,
                upstream_id=first.upstream_id,
                second_id=second.upstream_id,
                remaining_seconds=round(course.deadline - clock.now(), 3),
            )
        return second

    def _try_apart(
        self, upstream: fleet_model.FleetUpstream, course: _Course, answers: Any
    ) -> None:
        """Make one attempt in a task of its own, and hand over what it gave."""
        answer = None
        try:
            answer = self._try(upstream, course)
        except Exception:
            # The request's own task waits for a word of each attempt.
            eliot.write_traceback()
        finally:
            answers.put(answer)

    def _try(
        self, upstream: fleet_model.FleetUpstream, course: _Course
    ) -> model.Answered | None:
        """Make one attempt; None: it gave nothing to be passed on."""
        outgoing = self._outgoing(upstream, course)
        attempt = _Attempt(upstream, outgoing, clock.now())
        with usage_meter.attempt(self._meter, course.inbound.account) as counted:
            answer = self._carry_out(attempt, course)
            if attempt.has_run:
                counted.began_at = outgoing.sent_at
        return answer

    def _carry_out(self, attempt: _Attempt, course: _Course) -> model.Answered | None:
        course.excluded_ids.add(attempt.upstream_id)
        course.n_under_way += 1
        self._balancer.begin(attempt.upstream_id)
        try:
            answer = attempts.call(self._means, attempt.upstream, attempt.outgoing)
        except attempts.AttemptError as error:
            return self._failed(attempt, course, error)
        finally:
            self._balancer.end(attempt.upstream_id)
            course.n_under_way -= 1
        return self._answered(attempt, course, answer)

    def _outgoing(
        self, upstream: fleet_model.FleetUpstream, course: _Course
    ) -> outgoing_requests.Outgoing:
        inbound = course.inbound
        now = clock.now()
        remaining = course.deadline - now
        seconds = remaining
        n_asked = course.n_run + course.n_under_way
        is_last = n_asked + 1 >= course.route.max_attempts
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
            lambda: courses.find_refusal(
                course, self._crashes, self._view, upstream.upstream_id
            ),
            inbound.is_client_gone,
            id_header=self._protocol.request_id_header,
            accepts_unframed=True,
            may_repeat=course.may_run_again,
        )

    def _answered(
        self,
        attempt: _Attempt,
        course: _Course,
        answer: request_model.ApplicationAnswer,
    ) -> model.Answered | None:
        head = self._protocol.read_head(dict(answer.headers))
        if head.was_not_run:
            self._rejected(attempt, course, answer)
            return None
        course.n_run += 1
        attempt.has_run = True
        if answer.status < 300 and not head.is_genuine:
            # Passed on, it would be taken for the work's result.
            self._balancer.failed(attempt.upstream_id, clock.now())
            reason = reasons.Reason.ANSWER_MISMATCHED
            course.note_failure(attempt.upstream_id, reason, self._view)
            return None
        self._balancer.succeeded(attempt.upstream_id, head, clock.now())
        if self._hedging is not None:
            self._hedging.answered(course.service, attempt.seconds())
        self._crashes.record_answer(course.fingerprint)
        if answer.status == _FAILED_STATUS:
            course.n_failures += 1
        if answer.status >= 500 and course.may_run_again and course.may_go_on():
            course.last_failure = answer
            reason = reasons.Reason.UPSTREAM_ERROR
            course.note_failure(attempt.upstream_id, reason, self._view)
            return None
        _log_end(course, attempt.upstream_id, answer.status)
        return self._passed_on(course, answer)

    def _rejected(
        self,
        attempt: _Attempt,
        course: _Course,
        answer: request_model.ApplicationAnswer,
    ) -> None:
        course.n_rejections += 1
        if answer.status != 503:
            # Another incarnation has its address, or it takes no requests at all.
            self._balancer.failed(attempt.upstream_id, clock.now())
        reason = reasons.Reason.UPSTREAM_BUSY
        course.note_failure(attempt.upstream_id, reason, self._view)

    def _failed(
        self,
        attempt: _Attempt,
        course: _Course,
        error: attempts.AttemptError,
    ) -> model.Answered | None:
        if error.answer is not None:
            return self._answered(attempt, course, error.answer)
        course.count(error.may_have_run)
        attempt.has_run = error.may_have_run
        if not error.is_refusal and not self._was_hurried(attempt, course, error):
            self._balancer.failed(attempt.upstream_id, clock.now())
        if error.reason in courses.FINAL_REASONS:
            course.stop()
        if error.may_have_run and error.reason in crash_probe.BROKEN_REASONS:
            broken = course.broken_run(attempt.upstream, attempt.seconds())
            self._crashes.record_broken_run(broken)
        course.note_failure(attempt.upstream_id, error.reason, self._view)
        return None

    @staticmethod
    def _was_hurried(
        attempt: _Attempt, course: _Course, error: attempts.AttemptError
    ) -> bool:
        """Tell whether the caller's own short time ended the attempt.

        Held against the upstream, callers in a hurry would drive all others away from
        healthy upstreams.
        """
        is_timeout = error.reason is reasons.Reason.UPSTREAM_TIMEOUT
        fair = _TRY_TARGETS * course.route.target_latency_seconds
        return is_timeout and attempt.seconds() < fair

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
        is_late=course.is_answered,
    )
    course.is_answered = True
