"""Forward a stream of events as it is received, and resume it if it breaks off.

A resumable stream that breaks off continues at another upstream after its last complete
event, within the same answer to the caller. The connection to the first upstream is
closed before, so that no two upstreams work on the stream. Any other stream must not
run twice: it is sent to another upstream only if the first has stated that it did not
run the request. If it breaks off, the caller's connection is closed abruptly, so that
the partial stream cannot be taken for a complete one.
"""

import contextlib
import random
from collections.abc import Generator, Iterator
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
from bilberrydrum.relay import balancing, crash_watch, model, relayed_requests, trial
from bilberrydrum.requests import (
    answers,
    attempts,
    body_reader,
    crash_probe,
    outgoing_requests,
)
from bilberrydrum.usage import meter as usage_meter

_OK: Final = 200
# Method whose answers have no body, and so no events.
_HEAD_METHOD: Final = "HEAD"
# Pause in a stream, in seconds, after which its upstream is considered lost. Callers
# abandon a stream that pauses for two seconds or more, so it is resumed elsewhere
# before.
STALL_SECONDS: Final = 1.5
# Reasons for a failed attempt that are not counted as the upstream's failure.
_NOT_UPSTREAM_FAULTS: Final = frozenset(
    {reasons.Reason.UPSTREAM_BUSY, reasons.Reason.REQUEST_QUARANTINED}
)
_RULES: Final = relayed_requests.Rules(
    "stream", max_rejections=4, retry_after_range=(0.1, 0.4)
)


class BrokenError(Exception):
    """The stream broke off; its caller must be able to notice that."""


@attrs.define
class _Source:
    """One upstream's answer while it is read."""

    upstream: fleet_model.FleetUpstream
    outgoing: outgoing_requests.Outgoing
    connection: Any
    answer: answers.Answer


@attrs.define
class _RelayedStream(relayed_requests.RelayedRequest):
    """The state of one stream."""

    service: str = ""
    # Times at which the last attempt began and its first event was received, in seconds
    # of `clock.now`.
    attempt_began_at: float = 0.0
    first_event_at: float | None = None

    def was_healthy(self) -> bool:
        """Return whether the last attempt streamed events for long enough.

        A crash that comes later than that is not attributed to the request.
        """
        if self.first_event_at is None:
            return False
        return clock.now() - self.first_event_at >= quarantine.HEALTHY_RUN_SECONDS


class StreamRelay:
    """Forwards streams at one gateway."""

    def __init__(
        self,
        protocol: upstream_protocol.UpstreamProtocol,
        view: subscriber.Subscriber,
        resources: attempts.Resources,
        balancer: balancing.Balancer,
        rng: random.Random,
        crashes: crash_watch.CrashWatch,
        meter: usage_meter.Meter | None = None,
    ) -> None:
        """Make the relay; `meter` is None if usage is not metered."""
        self._meter = meter
        self._protocol = protocol
        self._view = view
        self._resources = resources
        self._balancer = balancer
        self._rng = rng
        self._crashes = crashes

    def handle(
        self, inbound: model.Inbound, route: policy.Route
    ) -> model.Streamed | model.Answered | model.Refused:
        """Return the stream, an upstream's error answer, or a refusal."""
        deadline = min(inbound.deadline, clock.now() + route.timeout_seconds)
        service = route.choose_service(self._rng)
        last_number = self._protocol.last_event_number(inbound.headers)
        request = _RelayedStream(
            _RULES,
            inbound,
            route,
            route.is_resumable,
            deadline,
            self._protocol,
            service=service,
            last_number=last_number,
        )
        while request.may_attempt():
            source = self._open(request)
            if source is None:
                continue
            if source.answer.status == _OK:
                headers = outgoing_requests.end_to_end_headers(source.answer.headers)
                return model.Streamed(headers, self._events(request, source))
            return self._read_error_answer(source)
        return request.refusal(self._view, self._rng)

    def _open(self, request: _RelayedStream) -> _Source | None:
        """Begin an attempt; return None if it gave no answer to forward."""
        upstreams = self._view.registry.of_service(request.service)
        upstream = trial.choose(request, self._crashes, self._balancer, upstreams)
        if upstream is None:
            request.stop()
            return None
        request.excluded_ids.add(upstream.upstream_id)
        request.attempt_began_at = clock.now()
        request.first_event_at = None
        outgoing = self._outgoing(request, upstream)
        with usage_meter.attempt(self._meter, request.inbound.account) as counted:
            n_run = request.n_run
            source = self._send(request, upstream, outgoing)
            if request.n_run > n_run:
                counted.began_at = outgoing.sent_at
        return source

    def _send(
        self,
        request: _RelayedStream,
        upstream: fleet_model.FleetUpstream,
        outgoing: outgoing_requests.Outgoing,
    ) -> _Source | None:
        self._balancer.record_start(upstream.upstream_id)
        try:
            with attempts.bounded_wait(self._resources, outgoing):
                connection, answer = attempts.open_answer(
                    self._resources.pool, upstream.address, outgoing
                )
        except attempts.AttemptError as error:
            self._balancer.record_end(upstream.upstream_id)
            self._handle_failure(request, upstream, error.reason, error.may_have_run)
            if error.may_have_run:
                self._record_broken_run(request, upstream, error.reason)
            return None
        except BaseException:
            self._balancer.record_end(upstream.upstream_id)
            raise
        return self._accept_answer(
            request, _Source(upstream, outgoing, connection, answer)
        )

    def _outgoing(
        self, request: _RelayedStream, upstream: fleet_model.FleetUpstream
    ) -> outgoing_requests.Outgoing:
        inbound = request.inbound
        attempt = upstream_protocol.Attempt(
            inbound.request_id,
            upstream.announced_id,
            request.deadline - clock.now(),
            request.last_number,
            priority=relayed_requests.engine_rank(request, self._view),
            account=inbound.account,
        )
        return outgoing_requests.Outgoing(
            inbound.request_id,
            inbound.method,
            inbound.target,
            self._protocol.relay_headers(inbound.headers, attempt),
            inbound.body,
            request.deadline,
            True,
            lambda: relayed_requests.find_refusal(
                request, self._crashes, self._view, upstream.upstream_id
            ),
            inbound.is_client_gone,
            id_header=self._protocol.request_id_header,
            accepts_unframed=True,
            may_repeat=request.route.is_resumable,
            may_use_kept=request.route.is_resumable,
        )

    def _accept_answer(
        self, request: _RelayedStream, source: _Source
    ) -> _Source | None:
        answer = source.answer
        head = self._protocol.read_head(answer.status, answer.headers)
        is_stream = answer.status == _OK
        is_certain = attempts.is_answer_to(source.outgoing, source.connection, answer)
        if request.accept_rejection(head, is_certain):
            self._release(source)
            reason = relayed_requests.rejection_reason(head)
            self._handle_failure(request, source.upstream, reason, False)
            return None
        if head.was_not_run or (is_stream and not head.is_genuine):
            # It may not be the upstream's answer to this request.
            self._release(source)
            reason = reasons.Reason.ANSWER_MISMATCHED
            self._handle_failure(request, source.upstream, reason, True)
            return None
        request.n_run += 1
        if is_stream or self._may_forward_error(request, head):
            return source
        self._release(source)
        reason = reasons.Reason.UPSTREAM_ERROR
        request.record_failure(source.upstream.upstream_id, reason, self._view)
        return None

    @staticmethod
    def _may_forward_error(
        request: _RelayedStream, head: upstream_protocol.AnswerHead
    ) -> bool:
        """Return whether an upstream's error answer is the one for the caller."""
        if request.route.is_resumable:
            return not request.may_attempt()
        # A caller that takes the answer for the guarantee that the stream did not run
        # would start it again, although it may have run.
        return not head.is_guarantee

    def _events(self, request: _RelayedStream, source: _Source) -> Iterator[bytes]:
        """Yield the bytes of each event; raise if the stream ends incomplete."""
        current: _Source | None = source
        while current is not None:
            try:
                yield from self._read(request, current)
                return
            except (attempts.AttemptError, event_stream.EventError) as error:
                reason = getattr(error, "reason", reasons.Reason.ANSWER_TRUNCATED)
                self._handle_failure(request, current.upstream, reason, False)
                self._record_broken_run(request, current.upstream, reason)
            finally:
                self._release(current)
            current = self._reopen(request)
        counters.refused(request.last_reason)
        raise BrokenError(request.last_reason.value)

    def _reopen(self, request: _RelayedStream) -> _Source | None:
        while request.may_attempt():
            source = self._open(request)
            if source is not None and source.answer.status == _OK:
                return source
            if source is not None:
                self._release(source)
        return None

    def _read(self, request: _RelayedStream, source: _Source) -> Iterator[bytes]:
        # A stream that is not resumed must begin with event 1. Without this check, one
        # that begins later would be forwarded as complete although its beginning is
        # missing.
        reader = event_stream.EventReader(
            self._protocol.version_field, request.last_number or 0
        )
        max_wait = max(STALL_SECONDS, request.route.target_latency_seconds * 4)
        patience = body_reader.Patience(lambda: max_wait)
        # Closed explicitly: the socket must not be read any more once it is released.
        with contextlib.closing(self._read_events(source, reader, patience)) as events:
            for event in events:
                if request.first_event_at is None:
                    request.first_event_at = clock.now()
                request.last_number = event.number
                yield event.raw
        if not reader.is_between_events():
            raise event_stream.EventError("stream ended in the middle of an event")
        if request.first_event_at is None and not _may_be_empty(request, source):
            # An upstream that crashes before its first event may still close the
            # connection in order. If that were taken for the end, the caller would get
            # a partial or empty stream as complete; so it is handled as a break.
            raise event_stream.EventError("stream ended without an event")
        head = self._protocol.read_head(source.answer.status, source.answer.headers)
        self._balancer.record_success(source.upstream.upstream_id, head, clock.now())
        self._crashes.record_answer(request.fingerprint)

    def _read_events(
        self,
        source: _Source,
        reader: event_stream.EventReader,
        patience: body_reader.Patience,
    ) -> Generator[event_stream.Event, None, None]:
        with body_reader.reading(
            self._resources, source.outgoing, source.connection, source.answer
        ) as body:
            yield from body.events(reader, patience)

    def _release(self, source: _Source) -> None:
        """Close the connection, which cancels the work at the upstream."""
        if source.connection is not None:
            source.connection.close()
            source.connection = None
            self._balancer.record_end(source.upstream.upstream_id)

    def _read_error_answer(self, source: _Source) -> model.Answered | model.Refused:
        """Read an upstream's error answer, to be forwarded unchanged."""
        try:
            with attempts.bounded_wait(self._resources, source.outgoing):
                body = attempts.read_body(self._resources.memory, source.answer)
        except attempts.AttemptError as error:
            return model.Refused(error.reason, True)
        finally:
            self._release(source)
        headers = outgoing_requests.end_to_end_headers(source.answer.headers)
        return model.Answered(source.answer.status, headers, body)

    def _record_broken_run(
        self,
        request: _RelayedStream,
        upstream: fleet_model.FleetUpstream,
        reason: reasons.Reason,
    ) -> None:
        if request.was_healthy():
            self._crashes.record_answer(request.fingerprint)
        elif reason in crash_probe.BROKEN_REASONS:
            seconds = clock.now() - request.attempt_began_at
            self._crashes.record_broken_run(request.broken_run(upstream, seconds))

    def _handle_failure(
        self,
        request: _RelayedStream,
        upstream: fleet_model.FleetUpstream,
        reason: reasons.Reason,
        may_have_run: bool,
    ) -> None:
        request.count_failed_attempt(may_have_run)
        if reason in relayed_requests.FINAL_REASONS:
            request.stop()
        elif reason is reasons.Reason.ADDRESS_REUSED:
            self._balancer.record_misdirection(upstream.upstream_id, clock.now())
        elif reason not in _NOT_UPSTREAM_FAULTS:
            self._balancer.record_failure(upstream.upstream_id, clock.now())
        request.record_failure(upstream.upstream_id, reason, self._view)


def _may_be_empty(request: _RelayedStream, source: _Source) -> bool:
    """Return whether an answer without any event is the regular end of the stream.

    An upstream that is asked to resume after the very last event has nothing to add,
    and confirms that by the answer's length or last chunk. An answer without either
    ends when the connection closes, which happens after a crash as well.
    """
    if request.inbound.method == _HEAD_METHOD:
        return True
    return bool(request.last_number) and source.answer.is_framed
