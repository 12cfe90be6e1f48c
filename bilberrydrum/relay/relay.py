"""Forward a request to an upstream, and its complete answer to the caller.

After a failure, an idempotent request is sent to another upstream, as long as the
caller's deadline and the route's number of attempts allow it. A request that must not
run twice is sent to another upstream only if the one before has stated that it did not
run the request. A refusal is marked as "not run" only if each upstream that received a
byte of the request has stated that.
"""

import random
from typing import Any, Final

import attrs
import eliot
import eventlet
import eventlet.queue

from bilberrydrum import clock, counters, reasons, tasks, upstream_protocol
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy, subscriber
from bilberrydrum.relay import (
    balancing,
    crash_watch,
    hedging,
    model,
    relayed_requests,
    trial,
)
from bilberrydrum.requests import attempts, crash_probe, outgoing_requests
from bilberrydrum.requests import model as request_model
from bilberrydrum.usage import meter as usage_meter

# Share of the remaining time that one attempt may take if others may follow. An
# upstream that does not answer then leaves time for two more attempts.
_ATTEMPT_TIME_SHARE: Final = 0.45
# Shortest time for an attempt that may be followed by another, as a multiple of the
# route's target latency, so that an attempt with a slow answer is not abandoned.
_MIN_ATTEMPT_TARGETS: Final = 2.0
# Status by which an upstream reports that it ran a request and failed.
_FAILED_STATUS: Final = 500
# Status by which an upstream rejects a request because it is full.
_BUSY_STATUS: Final = 503
# A request that times out is answered this long, in seconds, before the caller stops
# waiting. This covers a network delay of 1 ms and one pass of the event hub.
ANSWER_MARGIN_SECONDS: Final = 0.02
# A refused caller may retry after a few service times.
_RULES: Final = relayed_requests.Rules(
    "request", max_rejections=6, retry_after_range=(0.05, 0.25)
)


@attrs.define
class _PlainRequest(relayed_requests.RelayedRequest):
    """The state of one request that is answered completely, not as a stream."""

    # Chosen once per request: the route's shares are shares of requests, not of
    # attempts.
    service: str = ""
    # Latest answer with a status of 500 or more; forwarded if no attempt succeeds.
    last_failure: request_model.ApplicationAnswer | None = None
    # Attempts that have not ended.
    n_in_flight: int = 0
    # An answer was forwarded; any further answer is late.
    is_answered: bool = False


@attrs.define
class _Attempt:
    """One attempt at one upstream; a hedged request has two at the same time."""

    upstream: fleet_model.FleetUpstream
    outgoing: outgoing_requests.Outgoing
    began_at: float
    # The upstream may have run the request.
    has_run: bool = False

    @property
    def upstream_id(self) -> str:
        """Name of the upstream."""
        return self.upstream.upstream_id

    def seconds(self) -> float:
        """Return the time since the attempt began, in seconds."""
        return clock.now() - self.began_at


class Relay:
    """Forwards requests at one gateway."""

    def __init__(
        self,
        protocol: upstream_protocol.UpstreamProtocol,
        view: subscriber.Subscriber,
        resources: attempts.Resources,
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
            None if usage is not metered.
        hedges : hedging.Hedging or None
            None if requests are not hedged. Senders of bursts of requests don't hedge:
            they leave a part of the upstreams' capacity to other senders, and second
            attempts would take it.
        """
        self._meter = meter
        self._protocol = protocol
        self._view = view
        self._resources = resources
        self._rng = rng
        self._crashes = crashes
        self._balancer = balancer
        self._hedging = hedges
        view.watch(self._on_view_change)

    def _on_view_change(self) -> None:
        self._balancer.keep_only(self._view.registry.upstreams_by_id)

    def handle(
        self, inbound: model.Inbound, route: policy.Route
    ) -> model.Answered | model.Refused:
        """Return an upstream's answer to `inbound`, or the refusal for its caller."""
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
        request = _PlainRequest(
            _RULES,
            inbound,
            route,
            may_run_again,
            deadline,
            self._protocol,
            service=route.choose_service(self._rng),
        )
        if self._hedging is not None:
            self._hedging.count_first_attempt()
        while request.may_attempt():
            upstream = self._choose(request)
            if upstream is None:
                break
            answer = self._try_hedged(upstream, request)
            if answer is not None:
                return answer
        return self._give_up(request)

    def _choose(self, request: _PlainRequest) -> fleet_model.FleetUpstream | None:
        upstreams = self._view.registry.of_service(request.service)
        return trial.choose(request, self._crashes, self._balancer, upstreams)

    def _try_hedged(
        self, upstream: fleet_model.FleetUpstream, request: _PlainRequest
    ) -> model.Answered | None:
        """Send to `upstream`, and to a second one if it is late (see `hedging`).

        Returns None if no attempt had an answer to forward.
        """
        delay = self._hedge_delay(request)
        if delay is None:
            return self._try(upstream, request)
        answers: Any = eventlet.queue.LightQueue()
        answer: model.Answered | None = None
        eventlet.spawn_n(self._try_in_task, upstream, request, answers)
        try:
            answer = answers.get(timeout=delay)
            return answer
        except eventlet.queue.Empty:
            n_in_flight = 1
        second = self._choose_second(upstream, request)
        if second is not None:
            eventlet.spawn_n(self._try_in_task, second, request, answers)
            n_in_flight += 1
        while answer is None and n_in_flight:
            answer = answers.get()
            n_in_flight -= 1
        return answer

    def _hedge_delay(self, request: _PlainRequest) -> float | None:
        """Return the time after which to hedge, in seconds; None: do not hedge."""
        if self._hedging is None or not request.may_run_again:
            return None
        if request.n_run + 2 > request.route.max_attempts:
            return None
        if trial.is_suspect(request, self._crashes):
            # A request that may crash upstreams is sent to one upstream at a time.
            return None
        delay = self._hedging.hedge_delay(request.route, request.service)
        if delay is None or clock.now() + delay >= request.deadline:
            return None
        return delay

    def _choose_second(
        self, first: fleet_model.FleetUpstream, request: _PlainRequest
    ) -> fleet_model.FleetUpstream | None:
        assert self._hedging is not None
        if not request.may_attempt() or not self._hedging.try_take_hedge(clock.now()):
            return None
        second = self._choose(request)
        if second is not None:
            counters.retried(reasons.Reason.UPSTREAM_SLOW)
            eliot.log_message(
                message_type="relay:hedged",
                request_id=request.inbound.request_id,
                upstream_id=first.upstream_id,
                second_id=second.upstream_id,
                remaining_seconds=round(request.deadline - clock.now(), 3),
            )
        return second

    def _try_in_task(
        self, upstream: fleet_model.FleetUpstream, request: _PlainRequest, answers: Any
    ) -> None:
        """Make one attempt in a separate task, and put its result on `answers`."""
        answer = None
        try:
            answer = self._try(upstream, request)
        except tasks.UNEXPECTED_ERRORS:
            # Without a result from each attempt, the request's own task would wait
            # forever; the result is put on the queue below.
            tasks.record_error("hedged-attempt")
        finally:
            answers.put(answer)

    def _try(
        self, upstream: fleet_model.FleetUpstream, request: _PlainRequest
    ) -> model.Answered | None:
        """Make one attempt; return None if it gave no answer to forward."""
        outgoing = self._outgoing(upstream, request)
        attempt = _Attempt(upstream, outgoing, clock.now())
        with usage_meter.attempt(self._meter, request.inbound.account) as counted:
            answer = self._carry_out(attempt, request)
            if attempt.has_run:
                counted.began_at = outgoing.sent_at
        return answer

    def _carry_out(
        self, attempt: _Attempt, request: _PlainRequest
    ) -> model.Answered | None:
        request.excluded_ids.add(attempt.upstream_id)
        request.n_in_flight += 1
        self._balancer.record_start(attempt.upstream_id)
        try:
            answer = attempts.call(self._resources, attempt.upstream, attempt.outgoing)
        except attempts.AttemptError as error:
            return self._handle_failure(attempt, request, error)
        finally:
            self._balancer.record_end(attempt.upstream_id)
            request.n_in_flight -= 1
        return self._handle_answer(attempt, request, answer)

    def _outgoing(
        self, upstream: fleet_model.FleetUpstream, request: _PlainRequest
    ) -> outgoing_requests.Outgoing:
        inbound = request.inbound
        now = clock.now()
        remaining = request.deadline - now
        seconds = remaining
        n_started = request.n_run + request.n_in_flight
        is_last = n_started + 1 >= request.route.max_attempts
        if request.may_run_again and not is_last:
            floor = _MIN_ATTEMPT_TARGETS * request.route.target_latency_seconds
            seconds = min(remaining, max(floor, remaining * _ATTEMPT_TIME_SHARE))
        attempt = upstream_protocol.Attempt(
            inbound.request_id,
            upstream.announced_id,
            remaining,
            priority=relayed_requests.engine_rank(request, self._view),
            account=inbound.account,
        )
        return outgoing_requests.Outgoing(
            inbound.request_id,
            inbound.method,
            inbound.target,
            self._protocol.relay_headers(inbound.headers, attempt),
            inbound.body,
            now + seconds,
            request.may_run_again,
            lambda: relayed_requests.find_refusal(
                request, self._crashes, self._view, upstream.upstream_id
            ),
            inbound.is_client_gone,
            id_header=self._protocol.request_id_header,
            accepts_unframed=True,
            may_repeat=request.may_run_again,
        )

    def _handle_answer(
        self,
        attempt: _Attempt,
        request: _PlainRequest,
        answer: request_model.ApplicationAnswer,
    ) -> model.Answered | None:
        head = self._protocol.read_head(answer.status, dict(answer.headers))
        if request.accept_rejection(head, answer.is_certain):
            self._handle_rejection(attempt, request, answer.status, head)
            return None
        request.n_run += 1
        attempt.has_run = True
        if head.was_not_run or (answer.status < 300 and not head.is_genuine):
            # It may not be the upstream's answer to this request, so it must not be
            # forwarded: the caller would take it for the result, or for the guarantee
            # that the request did not run.
            self._balancer.record_failure(attempt.upstream_id, clock.now())
            reason = reasons.Reason.ANSWER_MISMATCHED
            request.record_failure(attempt.upstream_id, reason, self._view)
            return None
        self._balancer.record_success(attempt.upstream_id, head, clock.now())
        if self._hedging is not None:
            self._hedging.record_latency(request.service, attempt.seconds())
        self._crashes.record_answer(request.fingerprint)
        if answer.status == _FAILED_STATUS:
            request.n_failures += 1
        if answer.status >= 500 and request.may_run_again and request.may_attempt():
            request.last_failure = answer
            reason = reasons.Reason.UPSTREAM_ERROR
            request.record_failure(attempt.upstream_id, reason, self._view)
            return None
        if head.is_guarantee and not request.may_run_again:
            # The caller would send the request again, although it may have run.
            reason = reasons.Reason.UPSTREAM_ERROR
            request.record_failure(attempt.upstream_id, reason, self._view)
            return None
        _log_answer(request, attempt.upstream_id, answer.status)
        return self._to_answered(request, answer)

    def _handle_rejection(
        self,
        attempt: _Attempt,
        request: _PlainRequest,
        status: int,
        head: upstream_protocol.AnswerHead,
    ) -> None:
        request.n_rejections += 1
        if head.is_misdirected:
            self._balancer.record_misdirection(attempt.upstream_id, clock.now())
        elif status != _BUSY_STATUS:
            # The upstream is not merely busy, but accepts no requests at all.
            self._balancer.record_failure(attempt.upstream_id, clock.now())
        reason = relayed_requests.rejection_reason(head)
        request.record_failure(attempt.upstream_id, reason, self._view)

    def _handle_failure(
        self,
        attempt: _Attempt,
        request: _PlainRequest,
        error: attempts.AttemptError,
    ) -> model.Answered | None:
        if error.answer is not None:
            return self._handle_answer(attempt, request, error.answer)
        request.count_failed_attempt(error.may_have_run)
        attempt.has_run = error.may_have_run
        if not error.is_refusal and not self._was_cut_short_by_caller(
            attempt, request, error
        ):
            self._balancer.record_failure(attempt.upstream_id, clock.now())
        if error.reason in relayed_requests.FINAL_REASONS:
            request.stop()
        if error.may_have_run and error.reason in crash_probe.BROKEN_REASONS:
            broken = request.broken_run(attempt.upstream, attempt.seconds())
            self._crashes.record_broken_run(broken)
        request.record_failure(attempt.upstream_id, error.reason, self._view)
        return None

    @staticmethod
    def _was_cut_short_by_caller(
        attempt: _Attempt, request: _PlainRequest, error: attempts.AttemptError
    ) -> bool:
        """Return whether the caller's short deadline made the attempt time out.

        Such a timeout is not counted as the upstream's failure. Otherwise callers with
        short deadlines would put healthy upstreams into backoff for all callers.
        """
        is_timeout = error.reason is reasons.Reason.UPSTREAM_TIMEOUT
        min_seconds = _MIN_ATTEMPT_TARGETS * request.route.target_latency_seconds
        return is_timeout and attempt.seconds() < min_seconds

    def _give_up(self, request: _PlainRequest) -> model.Answered | model.Refused:
        if request.last_failure is not None:
            answer = request.last_failure
            _log_answer(request, answer.upstream_id, answer.status)
            return self._to_answered(request, answer)
        return request.refusal(self._view, self._rng)

    def _to_answered(
        self, request: _PlainRequest, answer: request_model.ApplicationAnswer
    ) -> model.Answered:
        head = self._protocol.read_head(answer.status, dict(answer.headers))
        signature = head.signature if answer.is_named else ""
        return model.Answered(
            answer.status, answer.headers, answer.body, signature, request.n_failures
        )


def _log_answer(request: _PlainRequest, upstream_id: str, status: int) -> None:
    eliot.log_message(
        message_type="relay:answered",
        request_id=request.inbound.request_id,
        route=request.route.name,
        upstream_id=upstream_id,
        status=status,
        n_run=request.n_run,
        is_late=request.is_answered,
    )
    request.is_answered = True
