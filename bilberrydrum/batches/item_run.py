"""Run one attempt of an item at one engine and append its events to the item's text."""

import contextlib
import enum
from collections.abc import Callable
from typing import Any, Final

import attrs

from bilberrydrum import clock, event_stream, reasons, upstream_protocol
from bilberrydrum.batches import model, texts
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.http1 import framing as http_framing
from bilberrydrum.requests import (
    attempts,
    body_reader,
    connections,
    crash_probe,
    outgoing_requests,
)

# An engine that doesn't send the head of its answer within this time, in seconds, is
# treated as hanging. Items are sent only to engines with a free run slot, where the
# first token takes about 20 ms.
HEAD_TIMEOUT_SECONDS: Final = 1.5
# A stream that is silent for this long, in seconds, is aborted and resumed at another
# engine. This is six times the interval between events of an engine that runs four
# times slower than usual. A false alarm costs one processing of the prompt.
STALL_SECONDS: Final = 1.0
# The same while the engine loads weights, which takes a second or more.
LOADING_STALL_SECONDS: Final = 4.0
# Number of consecutive complete answers without an event after which a resumed text
# counts as complete.
_MIN_EMPTY_ANSWERS: Final = 2
# Largest body of an error that is read.
_MAX_ERROR_BYTES: Final = 1024 * 1024
_OK: Final = 200
_IMPOSSIBLE: Final = 422


class Outcome(enum.Enum):
    """How an attempt ended."""

    COMPLETED = "completed"
    # The engine answered that the item can never be generated.
    IMPOSSIBLE = "impossible"
    # The engine answered with an error after it had started to run the item.
    FAILED = "failed"
    # The item did not run.
    NOT_RUN = "not-run"
    # The item did not run: another upstream has the engine's address.
    MISDIRECTED = "misdirected"
    # The connection to the engine could not be opened.
    UNREACHABLE = "unreachable"
    # The answer broke off or was damaged. The events read before are kept, unless they
    # contradict the text.
    BROKEN = "broken"
    # The engine answered that there is nothing left to generate. One more such answer
    # is required before the text counts as complete.
    UNCONFIRMED = "unconfirmed"
    # This process cancelled the attempt. The events read before are kept.
    CANCELLED = "broken-off"
    # The engine's weight version is not one that the batch allows.
    WRONG_VERSION = "wrong-version"


@attrs.define
class Reading:
    """What an attempt requested and which events it read, for its log line."""

    # Number of the event after which the engine was asked to resume; None if it was
    # asked to start from the beginning.
    asked_after: int | None
    # Numbers of the first and the last event read; None if none was read.
    first_number: int | None = None
    last_number: int | None = None
    # How the end of the answer is marked; None if there was no answer.
    framing: http_framing.Framing | None = None

    def record(self, event: event_stream.Event) -> None:
        """Record an event that was read."""
        if self.first_number is None:
            self.first_number = event.number
        self.last_number = event.number


@attrs.frozen
class AttemptResult:
    """How an attempt ended."""

    outcome: Outcome
    detail: str = ""
    # Weight version of the last event that this attempt read; None if it read none.
    version: int | None = None
    # The connection broke before the end of the answer, as it does when the engine
    # crashes.
    is_cut_off: bool = False
    reading: Reading = attrs.field(factory=lambda: Reading(None), eq=False)


@attrs.frozen
class Run:
    """The inputs of one attempt."""

    item: model.Item
    host: str
    text: texts.Text
    bounds: texts.Bounds
    # When the item is given up, in seconds of `clock.now`.
    deadline: float
    # Returns why the request must not be sent; called right before the first byte.
    find_refusal: Callable[[], reasons.Reason | None]
    # Returns after how many seconds of silence the stream counts as stalled.
    stall_seconds: Callable[[], float] = lambda: STALL_SECONDS
    # Called with the interval before each event except the first, in seconds.
    on_event: Callable[[float], None] = lambda seconds: None
    # Called with the work factor that the head of the answer reports, if it does.
    on_work_factor: Callable[[float], None] = lambda factor: None
    # The client account, as in `model.Batch`.
    account: str | None = None
    # Priority at the engine, where 0 goes first; None for the engine's own default.
    priority: int | None = None
    # Kept here so that it is available if the attempt is cancelled and therefore
    # returns no `AttemptResult`.
    reading: Reading = attrs.field(init=False, eq=False)

    @reading.default
    def _begin_reading(self) -> Reading:
        return Reading(self.text.last_number)


def carry_out(
    resources: attempts.Resources,
    protocol: upstream_protocol.UpstreamProtocol,
    engine: fleet_model.FleetUpstream,
    run: Run,
    remaining_seconds: float,
) -> AttemptResult:
    """Send the item to `engine` and append the events of the answer to the text."""
    result = _send(resources, protocol, engine, run, remaining_seconds, run.reading)
    return attrs.evolve(result, reading=run.reading)


def _send(
    resources: attempts.Resources,
    protocol: upstream_protocol.UpstreamProtocol,
    engine: fleet_model.FleetUpstream,
    run: Run,
    remaining_seconds: float,
    reading: Reading,
) -> AttemptResult:
    attempt = upstream_protocol.Attempt(
        run.item.item_id,
        engine.announced_id,
        remaining_seconds,
        last_event_number=reading.asked_after,
        priority=run.priority,
        account=run.account,
    )
    outgoing = outgoing_requests.Outgoing(
        run.item.item_id,
        "POST",
        run.item.target,
        protocol.relay_headers({**run.item.headers, "Host": run.host}, attempt),
        run.item.body,
        run.deadline,
        True,
        run.find_refusal,
        id_header=protocol.request_id_header,
        accepts_unframed=True,
        may_repeat=True,
    )
    try:
        first = max(HEAD_TIMEOUT_SECONDS, run.stall_seconds())
        with attempts.bounded_wait(resources, outgoing, first):
            connection, answer = attempts.open_answer(
                resources.pool, engine.address, outgoing
            )
    except attempts.AttemptError as error:
        return _without_answer(error)
    reading.framing = answer.framing
    return _read(
        resources, protocol, engine, run, outgoing, connection, answer, reading
    )


def _without_answer(error: attempts.AttemptError) -> AttemptResult:
    is_cut_off = error.may_have_run and error.reason in crash_probe.BROKEN_REASONS
    detail = f"{error.reason.value} {error.detail}".strip()
    return AttemptResult(_outcome_of(error), detail, is_cut_off=is_cut_off)


def _outcome_of(error: attempts.AttemptError) -> Outcome:
    """Return the outcome of an attempt that got no complete answer."""
    if error.may_have_run:
        return Outcome.BROKEN
    if error.is_refusal:
        return Outcome.NOT_RUN
    return Outcome.UNREACHABLE


def _read(
    resources: attempts.Resources,
    protocol: upstream_protocol.UpstreamProtocol,
    engine: fleet_model.FleetUpstream,
    run: Run,
    outgoing: outgoing_requests.Outgoing,
    connection: Any,
    answer: Any,
    reading: Reading,
) -> AttemptResult:
    is_complete = False
    try:
        with body_reader.reading(resources, outgoing, connection, answer) as body:
            result = _consume(protocol, run, answer, body, reading)
        is_complete = result.outcome not in (Outcome.BROKEN, Outcome.WRONG_VERSION)
        return result
    except attempts.AttemptError as error:
        return _without_answer(error)
    except event_stream.EventError as error:
        run.text.clear()
        return AttemptResult(Outcome.BROKEN, str(error))
    finally:
        # Closing the connection before the end of the answer makes the engine cancel
        # the run.
        if is_complete:
            is_named = protocol.request_id_header in answer.headers
            connections.keep_or_close(
                resources.pool, engine.address, connection, answer, is_named
            )
        else:
            connection.close()


def _consume(
    protocol: upstream_protocol.UpstreamProtocol,
    run: Run,
    answer: Any,
    body: body_reader.BodyReader,
    reading: Reading,
) -> AttemptResult:
    head = protocol.read_head(answer.status, answer.headers)
    if head.is_genuine and head.work_factor is not None:
        run.on_work_factor(head.work_factor)
    if answer.status != _OK:
        return _result_of_error(protocol, answer, body, head)
    if not head.is_genuine:
        # A damaged head with nothing after it looks like the answer of an engine that
        # has nothing left to generate, so an incomplete text would be listed as
        # completed. Engines sign each of their answers.
        return AttemptResult(Outcome.BROKEN, "answer without the engine's signature")
    version = head.version
    # The reader continues after the event named in the request, not after the text's
    # current last event. The text may have changed since, and would then accept events
    # of a run that was not asked to resume after that event.
    reader = event_stream.EventReader(protocol.version_field, reading.asked_after or 0)
    last_at = None
    last_version = None
    patience = body_reader.Patience(run.stall_seconds)
    with contextlib.closing(body.events(reader, patience)) as events:
        for event in events:
            reading.record(event)
            now = clock.now()
            if last_at is not None:
                run.on_event(now - last_at)
            last_at = now
            version = event.version if event.version is not None else version
            if version is None:
                return AttemptResult(Outcome.BROKEN, "event without a weight version")
            last_version = version
            if not run.bounds.allow(version, run.text):
                if run.bounds.is_single:
                    # A text of a single version can be resumed only under it, and all
                    # engines may already serve a newer one.
                    run.text.clear()
                detail = f"event generated under weight version {version}"
                return AttemptResult(Outcome.WRONG_VERSION, detail, version)
            run.text.add(event, version)
    return _result_at_end(run.text, reader, reading, last_version)


def _result_at_end(
    text: texts.Text,
    reader: event_stream.EventReader,
    reading: Reading,
    version: int | None,
) -> AttemptResult:
    """Return the result of an attempt whose answer ended without an error."""
    if not reader.is_between_events() or not reader.last_number:
        return AttemptResult(Outcome.BROKEN, "answer ended within or before an event")
    if text.last_number != reader.last_number:
        # Another run has changed the text, so the end of this answer is not the end of
        # the text.
        detail = (
            f"answer ended at event {reader.last_number}, but the text is at event "
            f"{text.last_number}"
        )
        raise event_stream.EventError(detail)
    if reading.first_number is None and reading.framing is http_framing.Framing.CLOSE:
        # An engine that crashes before its first event looks the same, so an incomplete
        # text would be listed as completed. The text is generated again from the start:
        # an answer to a request from the start is never taken for complete if it has no
        # event.
        text.clear()
        return AttemptResult(Outcome.BROKEN, "connection closed before the first event")
    if reading.first_number is None:
        # The text may have been complete already: an earlier attempt read its last
        # event, but not the end of the answer, so an engine that resumes after that
        # event has nothing to add. But an engine that fails right at the start may give
        # the same answer, and an incomplete text would be listed as completed. So two
        # such answers in a row are required.
        text.n_empty_answers += 1
        if text.n_empty_answers < _MIN_EMPTY_ANSWERS:
            return AttemptResult(Outcome.UNCONFIRMED, "answer without an event")
    return AttemptResult(Outcome.COMPLETED, version=version)


def _result_of_error(
    protocol: upstream_protocol.UpstreamProtocol,
    answer: Any,
    body: body_reader.BodyReader,
    head: upstream_protocol.AnswerHead,
) -> AttemptResult:
    _discard(body)
    detail = f"status {answer.status}"
    is_named = protocol.request_id_header in answer.headers
    if answer.status == _IMPOSSIBLE and is_named:
        return AttemptResult(Outcome.IMPOSSIBLE, detail)
    if head.was_not_run:
        # Also if it may be the answer to another request: the item may run again, and
        # nobody is told that it did not run.
        is_misdirected = head.is_misdirected
        outcome = Outcome.MISDIRECTED if is_misdirected else Outcome.NOT_RUN
        return AttemptResult(outcome, detail)
    if not is_named:
        # The head may be truncated, and may belong to a surplus answer to another
        # request. Its status must neither end this item nor count as its failure.
        return AttemptResult(Outcome.BROKEN, f"{detail} without a request id")
    return AttemptResult(Outcome.FAILED, detail)


def _discard(body: body_reader.BodyReader) -> None:
    """Read the body of an error to its end, so that the connection can be reused.

    A body that is too long or too slow is taken for a broken one.
    """
    patience = body_reader.Patience(lambda: STALL_SECONDS)
    n_bytes = 0
    for part in body.parts(patience.left):
        n_bytes += len(part)
        if n_bytes > _MAX_ERROR_BYTES:
            raise attempts.AttemptError(
                reasons.Reason.ANSWER_TRUNCATED,
                True,
                f"expected an error of at most {_MAX_ERROR_BYTES} bytes",
            )
