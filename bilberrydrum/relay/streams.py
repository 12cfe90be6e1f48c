"""Pass a stream of events on as it comes, and go on elsewhere when it breaks.

A stream that may be resumed goes on at another upstream after its last whole event,
inside the same answer; the upstream before is let go first, so that no two work on it.
Any other stream may run once only: it is sent elsewhere only after a promise that it
has not run, and when it breaks the caller's connection is cut, so that what it got does
not look complete.
"""

import random
from collections.abc import Iterator
from typing import Any, Final

import attrs

from bilberrydrum import (
    clock,
    counters,
    event_stream,
    quarantine,
    reasons,
    upstream_protocol,
)
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy, subscriber
from bilberrydrum.relay import balancing, courses, crash_watch, model, trial
from bilberrydrum.requests import attempts, crash_probe, outgoing_requests
from bilberrydrum.usage import meter as usage_meter

_OK: Final = 200
# Method whose answers have no events.
_BODILESS: Final = "HEAD"
# A stream that pauses for this long, in seconds, has lost its upstream: callers abandon
# one after two seconds at the least.
STALL_SECONDS: Final = 1.5
# Ends of an attempt that are no fault of the upstream.
_NO_FAULT: Final = frozenset(
    {reasons.Reason.UPSTREAM_BUSY, reasons.Reason.REQUEST_QUARANTINED}
)
_RULES: Final = courses.Rules("stream", max_rejections=4, retry_after_range=(0.1, 0.4))


class BrokenError(Exception):
    """The stream ended early; its caller must see that."""


@attrs.define
class _Source:
    """One upstream's answer, being read."""

    upstream: fleet_model.FleetUpstream
    outgoing: outgoing_requests.Outgoing
    connection: Any
    answer: Any


@attrs.define
class _Course(courses.Course):
    """How far one stream is."""

    service: str = ""
    # When the last attempt was sent, and when its first event was there.
    tried_at: float = 0.0
    first_event_at: float | None = None

    def has_survived(self) -> bool:
        """Tell whether the last attempt was well for so long that it is cleared."""
        if self.first_event_at is None:
            return False
        return clock.now() - self.first_event_at >= quarantine.HEALTHY_RUN_SECONDS


class StreamRelay:
    """Passes streams on at one gateway."""

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
        self._balancer = balancer
        self._rng = rng
        self._crashes = crashes

    def handle(
        self, inbound: model.Inbound, route: policy.Route
    ) -> model.Streamed | model.Answered | model.Refused:
        """Return a stream that has begun, an upstream's own refusal, or why none."""
        deadline = min(inbound.deadline, clock.now() + route.timeout_seconds)
        service = route.choose_service(self._rng)
        last_number = self._protocol.last_event_number(inbound.headers)
        course = _Course(
            _RULES,
            inbound,
            route,
            route.is_resumable,
            deadline,
            self._protocol,
            service=service,
            last_number=last_number,
        )
        while course.may_go_on():
            source = self._open(course)
            if source is None:
                continue
            if source.answer.status == _OK:
                headers = outgoing_requests.passed_back(source.answer.headers)
                return model.Streamed(headers, self._events(course, source))
            return self._whole_refusal(source)
        return course.refusal(self._view, self._rng)

    def _open(self, course: _Course) -> _Source | None:
        """Begin an attempt; None: it gave nothing to be passed on."""
        upstreams = self._view.registry.of_service(course.service)
        refusal = trial.find_refusal(course, self._crashes, self._balancer, upstreams)
        if refusal is not None:
            course.refuse(refusal)
            return None
        now = clock.now()
        upstream = self._balancer.choose(upstreams, course.excluded_ids, now)
        if upstream is None:
            course.stop()
            return None
        course.excluded_ids.add(upstream.upstream_id)
        course.tried_at = now
        course.first_event_at = None
        outgoing = self._outgoing(course, upstream)
        with usage_meter.attempt(self._meter, course.inbound.account) as counted:
            n_run = course.n_run
            source = self._send(course, upstream, outgoing)
            if course.n_run > n_run:
                counted.began_at = outgoing.sent_at
        return source

    def _send(
        self,
        course: _Course,
        upstream: fleet_model.FleetUpstream,
        outgoing: outgoing_requests.Outgoing,
    ) -> _Source | None:
        self._balancer.begin(upstream.upstream_id)
        try:
            with attempts.waiting(self._means, outgoing):
                connection, answer = attempts.open_answer(
                    self._means.pool, upstream.address, outgoing
                )
        except attempts.AttemptError as error:
            self._balancer.end(upstream.upstream_id)
            self._failed(course, upstream, error.reason, error.may_have_run)
            if error.may_have_run:
                self._note_broken(course, upstream, error.reason)
            return None
        except BaseException:
            self._balancer.end(upstream.upstream_id)
            raise
        return self._taken(course, _Source(upstream, outgoing, connection, answer))

    def _outgoing(
        self, course: _Course, upstream: fleet_model.FleetUpstream
    ) -> outgoing_requests.Outgoing:
        inbound = course.inbound
        attempt = upstream_protocol.Attempt(
            inbound.request_id,
            upstream.announced_id,
            course.deadline - clock.now(),
            course.last_number,
            priority=courses.engine_rank(course, self._view),
            account=inbound.account,
        )
        return outgoing_requests.Outgoing(
            inbound.request_id,
            inbound.method,
            inbound.target,
            self._protocol.relay_headers(inbound.headers, attempt),
            inbound.body,
            course.deadline,
            True,
            lambda: courses.find_refusal(
                course, self._crashes, self._view, upstream.upstream_id
            ),
            inbound.is_client_gone,
            id_header=self._protocol.request_id_header,
            accepts_unframed=True,
            may_repeat=course.route.is_resumable,
            uses_kept=course.route.is_resumable,
        )

    def _taken(self, course: _Course, source: _Source) -> _Source | None:
        head = self._protocol.read_head(source.answer.headers)
        is_stream = source.answer.status == _OK
        if head.was_not_run or (is_stream and not head.is_genuine):
            self._let_go(source)
            may_have_run = not head.was_not_run
            reason = reasons.Reason.UPSTREAM_BUSY
            self._failed(course, source.upstream, reason, may_have_run)
            return None
        course.n_run += 1
        if is_stream or not (course.route.is_resumable and course.may_go_on()):
            return source
        self._let_go(source)
        reason = reasons.Reason.UPSTREAM_ERROR
        course.note_failure(source.upstream.upstream_id, reason, self._view)
        return None

    def _events(self, course: _Course, source: _Source) -> Iterator[bytes]:
        """Yield the events' bytes; raise if the stream does not end whole."""
        current: _Source | None = source
        while current is not None:
            try:
                yield from self._read(course, current)
                return
            except (attempts.AttemptError, event_stream.EventError) as error:
                reason = getattr(error, "reason", reasons.Reason.ANSWER_TRUNCATED)
                self._failed(course, current.upstream, reason, False)
                self._note_broken(course, current.upstream, reason)
            finally:
                self._let_go(current)
            current = self._reopen(course)
        counters.refused(course.last_reason)
        raise BrokenError(course.last_reason.value)

    def _reopen(self, course: _Course) -> _Source | None:
        while course.may_go_on():
            source = self._open(course)
            if source is not None and source.answer.status == _OK:
                return source
            if source is not None:
                self._let_go(source)
        return None

    def _read(self, course: _Course, source: _Source) -> Iterator[bytes]:
        # Not asked to go on after an event, a stream begins with event 1; one that
        # begins later, read as whole, would lack its beginning.
        reader = event_stream.EventReader(
            self._protocol.version_field, course.last_number or 0
        )
        parts = attempts.read_parts(source.answer)
        patience = max(STALL_SECONDS, course.route.target_latency_seconds * 4)
        while True:
            with attempts.waiting(self._means, source.outgoing, patience):
                part = next(parts, None)
            if part is None:
                break
            for event in reader.feed(part):
                if course.first_event_at is None:
                    course.first_event_at = clock.now()
                course.last_number = event.number
                yield event.raw
        if not reader.is_between_events():
            raise event_stream.EventError("ended in the middle of an event")
        if course.first_event_at is None and not _may_lack_events(course, source):
            # An upstream that ends before its first event may close in order: half a
            # stream would look whole. Its caller sees a break, which is no false end.
            raise event_stream.EventError("ended without an event")
        head = self._protocol.read_head(source.answer.headers)
        self._balancer.succeeded(source.upstream.upstream_id, head, clock.now())
        self._crashes.record_answer(course.fingerprint)

    def _let_go(self, source: _Source) -> None:
        """Close the connection, which ends the work at the upstream."""
        if source.connection is not None:
            source.connection.close()
            source.connection = None
            self._balancer.end(source.upstream.upstream_id)

    def _whole_refusal(self, source: _Source) -> model.Answered | model.Refused:
        """Pass on an upstream's own failure, unchanged."""
        try:
            with attempts.waiting(self._means, source.outgoing):
                body = b"".join(attempts.read_parts(source.answer))
        except attempts.AttemptError as error:
            return model.Refused(error.reason, True)
        finally:
            self._let_go(source)
        headers = outgoing_requests.passed_back(source.answer.headers)
        return model.Answered(source.answer.status, headers, body)

    def _note_broken(
        self,
        course: _Course,
        upstream: fleet_model.FleetUpstream,
        reason: reasons.Reason,
    ) -> None:
        if course.has_survived():
            self._crashes.record_answer(course.fingerprint)
        elif reason in crash_probe.BROKEN_REASONS:
            seconds = clock.now() - course.tried_at
            self._crashes.record_broken_run(course.broken_run(upstream, seconds))

    def _failed(
        self,
        course: _Course,
        upstream: fleet_model.FleetUpstream,
        reason: reasons.Reason,
        may_have_run: bool,
    ) -> None:
        course.count(may_have_run)
        if reason in courses.FINAL_REASONS:
            course.stop()
        elif reason not in _NO_FAULT:
            self._balancer.failed(upstream.upstream_id, clock.now())
        course.note_failure(upstream.upstream_id, reason, self._view)


def _may_lack_events(course: _Course, source: _Source) -> bool:
    """Tell whether an answer that has ended without an event ends the stream.

    Asked to go on after the very last event, an upstream has nothing to add, and says
    so by its answer's length or last chunk. A closed connection says nothing.
    """
    if course.inbound.method == _BODILESS:
        return True
    return bool(course.last_number) and attempts.is_framed(source.answer)
