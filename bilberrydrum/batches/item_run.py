"""One attempt to run an item at one engine, and what it adds to the item's text."""

import enum
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs

from bilberrydrum import clock, event_stream, reasons, upstream_protocol
from bilberrydrum.batches import model, texts
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.requests import attempts, crash_probe, outgoing_requests

# An engine that sends no answer's head for this long, in seconds, hangs: items are sent
# only to free places, where the first token takes some 20 ms.
FIRST_EVENT_SECONDS: Final = 1.5
# A stream that pauses for this long, in seconds, is broken off and goes on at another
# engine: six times the pause of an engine that runs four times slower than usual. What
# a false alarm costs is one reading of the prompt.
STALL_SECONDS: Final = 1.0
# The same while the engine loads weights, which takes a second and more.
LOADING_STALL_SECONDS: Final = 4.0
# Answers without an event, one after the other, that end a text.
_N_EMPTY_ANSWERS: Final = 2
_OK: Final = 200
_IMPOSSIBLE: Final = 422


class Outcome(enum.Enum):
    """How an attempt ended."""

    COMPLETED = "completed"
    # The engine says that the item can never be done.
    IMPOSSIBLE = "impossible"
    # The engine ran it and failed.
    FAILED = "failed"
    # It did not run.
    NOT_RUN = "not-run"
    # There is no connection to the engine.
    UNREACHABLE = "unreachable"
    # The answer broke off, or was damaged; what was read stands.
    BROKEN = "broken"
    # The engine says that the text was whole before; it is asked for once more.
    UNCONFIRMED = "unconfirmed"
    # It was broken off on purpose; what was read stands.
    BROKEN_OFF = "broken-off"
    # The engine's weights are not those that the batch asks for.
    WRONG_VERSION = "wrong-version"


class Framing(enum.StrEnum):
    """How an answer tells its end."""

    # There is no answer.
    NONE = ""
    LENGTH = "length"
    CHUNKS = "chunks"
    # Only by the closing of the connection, as it is closed when an engine ends.
    CLOSE = "close"


@attrs.define
class Reading:
    """What an attempt asked for and what it has read, for its log line."""

    # Event that the engine was asked to go on after; None: it was to begin.
    asked_after: int | None
    # Numbers of the events that came; None: none came.
    first_number: int | None = None
    last_number: int | None = None
    framing: Framing = Framing.NONE

    def note(self, event: event_stream.Event) -> None:
        """Note an event that came."""
        if self.first_number is None:
            self.first_number = event.number
        self.last_number = event.number


@attrs.frozen
class Ended:
    """The end of an attempt."""

    outcome: Outcome
    detail: str = ""
    # Weight version of the last event that this attempt read; None: it read none.
    version: int | None = None
    # The connection ended in the middle, as it does when the engine crashes.
    is_cut_off: bool = False
    reading: Reading = attrs.field(factory=lambda: Reading(None), eq=False)


@attrs.frozen
class Run:
    """What an attempt is made from."""

    item: model.Item
    host: str
    text: texts.Text
    bounds: texts.Bounds
    # When the item is given up, in seconds of `clock.now`.
    deadline: float
    find_refusal: Callable[[], reasons.Reason | None]
    # Longest pause of a healthy engine now, in seconds.
    stall_seconds: Callable[[], float] = lambda: STALL_SECONDS
    # Told the pause before each event but the first.
    on_event: Callable[[float], None] = lambda seconds: None
    # As in `model.Batch`.
    account: str | None = None
    # Rank at the engine, 0 first; None: the engine's own default.
    priority: int | None = None
    # Also there if the attempt is broken off, and so has no `Ended`.
    reading: Reading = attrs.field(init=False, eq=False)

    @reading.default
    def _begin_reading(self) -> Reading:
        return Reading(self.text.last_number)


def carry_out(
    means: attempts.Means,
    protocol: upstream_protocol.UpstreamProtocol,
    engine: fleet_model.FleetUpstream,
    run: Run,
    remaining_seconds: float,
) -> Ended:
    """Send the item to `engine` and add what comes back to the run's text."""
    ended = _send(means, protocol, engine, run, remaining_seconds, run.reading)
    return attrs.evolve(ended, reading=run.reading)


def _send(
    means: attempts.Means,
    protocol: upstream_protocol.UpstreamProtocol,
    engine: fleet_model.FleetUpstream,
    run: Run,
    remaining_seconds: float,
    reading: Reading,
) -> Ended:
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
        first = max(FIRST_EVENT_SECONDS, run.stall_seconds())
        with attempts.waiting(means, outgoing, first):
            connection, answer = attempts.open_answer(
                means.pool, engine.address, outgoing
            )
    except attempts.AttemptError as error:
        return _without_answer(error)
    reading.framing = _framing_of(answer)
    return _read(means, protocol, engine, run, outgoing, connection, answer, reading)


def _framing_of(answer: Any) -> Framing:
    """Return how an answer, of which nothing was read yet, tells its end."""
    if answer.headers.get("Transfer-Encoding", "").lower() == "chunked":
        return Framing.CHUNKS
    # A length that is no number is none.
    return Framing.CLOSE if answer.length_remaining is None else Framing.LENGTH


def _without_answer(error: attempts.AttemptError) -> Ended:
    is_cut_off = error.may_have_run and error.reason in crash_probe.BROKEN_REASONS
    detail = f"{error.reason.value} {error.detail}".strip()
    return Ended(_outcome_of(error), detail, is_cut_off=is_cut_off)


def _outcome_of(error: attempts.AttemptError) -> Outcome:
    """Return what an attempt without an answer was."""
    if error.may_have_run:
        return Outcome.BROKEN
    if error.is_refusal:
        return Outcome.NOT_RUN
    return Outcome.UNREACHABLE


def _read(
    means: attempts.Means,
    protocol: upstream_protocol.UpstreamProtocol,
    engine: fleet_model.FleetUpstream,
    run: Run,
    outgoing: outgoing_requests.Outgoing,
    connection: Any,
    answer: Any,
    reading: Reading,
) -> Ended:
    is_whole = False
    try:
        ended = _consume(means, protocol, run, outgoing, answer, reading)
        is_whole = ended.outcome not in (Outcome.BROKEN, Outcome.WRONG_VERSION)
        return ended
    except attempts.AttemptError as error:
        return _without_answer(error)
    except event_stream.EventError as error:
        run.text.clear()
        return Ended(Outcome.BROKEN, str(error))
    finally:
        # A connection that is closed before its end makes the engine drop the run.
        if is_whole:
            is_named = protocol.request_id_header in answer.headers
            attempts.settle(means.pool, engine.address, connection, answer, is_named)
        else:
            connection.close()


def _consume(
    means: attempts.Means,
    protocol: upstream_protocol.UpstreamProtocol,
    run: Run,
    outgoing: outgoing_requests.Outgoing,
    answer: Any,
    reading: Reading,
) -> Ended:
    head = protocol.read_head(answer.headers)
    if answer.status != _OK:
        return _refused(means, outgoing, answer, head)
    if not head.is_genuine:
        # A damaged head with nothing after it looks like an engine that has nothing to
        # add: half a text would be listed as whole. An engine marks each such answer.
        return Ended(Outcome.BROKEN, "an answer without the engine's mark")
    version = head.version
    # Not the text's own last event: it may have changed since the request was made, and
    # would take a run that was not asked to go on after it.
    reader = event_stream.EventReader(protocol.version_field, reading.asked_after or 0)
    last_at = None
    last_version = None
    for part in _parts(means, outgoing, answer, run.stall_seconds):
        for event in reader.feed(part):
            reading.note(event)
            now = clock.now()
            if last_at is not None:
                run.on_event(now - last_at)
            last_at = now
            version = event.version if event.version is not None else version
            if version is None:
                return Ended(Outcome.BROKEN, "an event names no weight version")
            last_version = version
            if not run.bounds.allow(version, run.text):
                if run.bounds.is_single:
                    # All engines may have left the text's version behind.
                    run.text.clear()
                detail = f"made under version {version}"
                return Ended(Outcome.WRONG_VERSION, detail, version)
            run.text.add(event, version)
    return _at_the_end(run.text, reader, reading, last_version)


def _at_the_end(
    text: texts.Text,
    reader: event_stream.EventReader,
    reading: Reading,
    version: int | None,
) -> Ended:
    """Return how an attempt ended whose answer ended without an error."""
    if not reader.is_between_events() or not reader.last_number:
        return Ended(Outcome.BROKEN, "ended in the middle of an event")
    if text.last_number != reader.last_number:
        # Another run has changed the text: this answer's end is not its end.
        detail = (
            f"event {reader.last_number} ended a text that is at {text.last_number}"
        )
        raise event_stream.EventError(detail)
    if reading.first_number is None and reading.framing is Framing.CLOSE:
        # An engine that ends before its first event looks the same, and half a text
        # would be listed as whole. Begun anew, the item can't meet this once more.
        text.clear()
        return Ended(Outcome.BROKEN, "closed without an event")
    if reading.first_number is None:
        # A text whose last event was read before its end was is whole: resumed after
        # that event, the engine has nothing to add. One that fails at its beginning may
        # say the same, and half a text would be listed as whole; so it takes two such
        # answers in a row.
        text.n_empty_answers += 1
        if text.n_empty_answers < _N_EMPTY_ANSWERS:
            return Ended(Outcome.UNCONFIRMED, "no event")
    return Ended(Outcome.COMPLETED, version=version)


def _refused(
    means: attempts.Means,
    outgoing: outgoing_requests.Outgoing,
    answer: Any,
    head: upstream_protocol.AnswerHead,
) -> Ended:
    # Read to its end, so that the connection can be used again.
    for _ in _parts(means, outgoing, answer, lambda: STALL_SECONDS):
        pass
    detail = f"status {answer.status}"
    is_named = outgoing.id_header in answer.headers
    if answer.status == _IMPOSSIBLE and is_named:
        return Ended(Outcome.IMPOSSIBLE, detail)
    if head.was_not_run:
        return Ended(Outcome.NOT_RUN, detail)
    if not is_named:
        # A head that is cut off, perhaps that of an extra answer to another request:
        # its status would end the item, or count against it.
        return Ended(Outcome.BROKEN, f"{detail} that names no request")
    return Ended(Outcome.FAILED, detail)


def _parts(
    means: attempts.Means,
    outgoing: outgoing_requests.Outgoing,
    answer: Any,
    stall_seconds: Callable[[], float],
) -> Iterator[bytes]:
    parts = attempts.read_parts(answer)
    while True:
        with attempts.waiting(means, outgoing, stall_seconds()):
            part = next(parts, None)
        if part is None:
            return
        yield part
