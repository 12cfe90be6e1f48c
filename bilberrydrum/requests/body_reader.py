"""Read the body of an answer part by part, with a limit on the time of each read.

A process reads thousands of parts a second from the streams of its engines, and nearly
all of them arrive long before the limit. A timer that is created and cancelled for each
read takes more processor time than the read. So each reader has one timer: a read only
records the time at which it has taken too long, and a timer that fires before that time
is scheduled again for the rest. For the same reason, the socket stays registered at the
hub between the reads.
"""

import contextlib
import math
from collections.abc import Callable, Generator, Iterator
from typing import Any, Final, Self

import eventlet
from eventlet import hubs

from bilberrydrum import clock, event_stream, reasons
from bilberrydrum.requests import (
    answer_memory,
    answers,
    attempts,
    connections,
    model,
    outgoing_requests,
    watch,
)

# A timer that fires this much too early, in seconds, counts as on time. The difference
# between two times is rounded.
_ROUNDING_SECONDS: Final = 1e-6


class _ReadTimer:
    """Raises `timeout` in a task whose read has taken too long."""

    def __init__(self) -> None:
        self.timeout = eventlet.Timeout(None)
        # The task that reads, and the time at which its read has taken too long, in
        # seconds of `clock.now`. The task is None between reads.
        self._task: Any = None
        self._until = math.inf
        self._timer: Any = None
        # Time at which the timer fires, in seconds of `clock.now`.
        self._fires_at = math.inf

    def begin(self, until: float, now: float) -> None:
        """Record that the calling task begins a read, which may last until `until`."""
        self._task = eventlet.getcurrent()
        self._until = until
        if until < self._fires_at:
            self.cancel()
            self._schedule(now)

    def end(self) -> None:
        """Record that the read has ended."""
        self._task = None

    def cancel(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._fires_at = math.inf

    def _schedule(self, now: float) -> None:
        self._fires_at = self._until
        seconds = max(self._until - now, 0.0)
        self._timer = hubs.get_hub().schedule_call_global(seconds, self._fire)

    def _fire(self) -> None:
        self._timer = None
        self._fires_at = math.inf
        if self._task is None:
            # The next read schedules the timer again.
            return
        now = clock.now()
        if now + _ROUNDING_SECONDS < self._until:
            self._schedule(now)
        else:
            self._task.throw(self.timeout)


class Patience:
    """A limit on the time without progress, however many bytes arrive meanwhile.

    An upstream may send bytes that lead to nothing without end.
    """

    def __init__(self, seconds: Callable[[], float]) -> None:
        self._seconds = seconds
        self._since = clock.now()

    def renew(self) -> None:
        """Record progress."""
        self._since = clock.now()

    def left(self) -> float:
        """Return the time that is left until the next progress, in seconds."""
        return self._since + self._seconds() - clock.now()


class BodyReader:
    """Reads the body of one answer; a context manager that cancels its timer."""

    def __init__(
        self,
        resources: attempts.Resources,
        outgoing: outgoing_requests.Outgoing,
        answer: answers.Answer,
    ) -> None:
        self._clients = resources.clients
        self._memory = resources.memory
        self._outgoing = outgoing
        self._is_client_gone = attempts.client_check(outgoing)
        self._parts = attempts.read_parts(answer)
        self._timer = _ReadTimer()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *error: object) -> None:
        self._timer.cancel()

    def read(self, max_wait: float = math.inf) -> bytes | None:
        """Return the next part of the body; None at its end.

        `max_wait` limits the time of this read, in seconds, in addition to the
        request's deadline.

        Raises
        ------
        AttemptError
            If the body is truncated, at the deadline, after `max_wait`, or when the
            client is gone.
        """
        now = clock.now()
        self._timer.begin(min(self._outgoing.deadline, now + max_wait), now)
        try:
            return self._next_part()
        except watch.ClientGoneError as error:
            raise attempts.AttemptError(
                reasons.Reason.CALLER_GONE, self._outgoing.has_begun, is_refusal=True
            ) from error
        except eventlet.Timeout as error:
            if error is not self._timer.timeout:
                raise
            raise attempts.AttemptError(
                reasons.Reason.UPSTREAM_TIMEOUT, self._outgoing.has_begun
            ) from error
        finally:
            self._timer.end()

    def parts(self, max_wait: Callable[[], float]) -> Iterator[bytes]:
        """Yield the parts of the body, each read as by `read`.

        `max_wait` returns the limit of the next read in seconds.
        """
        while (part := self.read(max_wait())) is not None:
            yield part

    def events(
        self, reader: event_stream.EventReader, patience: Patience
    ) -> Generator[event_stream.Event, None, None]:
        """Yield the events of the body; each of them is progress.

        Raises
        ------
        AttemptError
            As `read`, after a time without an event, or if unfinished events take too
            much memory.
        event_stream.EventError
            If an event is damaged or out of order.
        """
        with self._memory.share(reader.clear) as share:
            for part in self.parts(patience.left):
                try:
                    share.check()
                    events = reader.feed(part)
                    share.resize(reader.n_unparsed)
                except answer_memory.AnswerDroppedError as error:
                    raise attempts.dropped(error) from error
                yield from events
                if events:
                    # Whoever takes the events may be slow.
                    patience.renew()

    def _next_part(self) -> bytes | None:
        if self._is_client_gone is model.never_gone:
            return next(self._parts, None)
        with self._clients.ending_with_client(self._is_client_gone):
            return next(self._parts, None)


@contextlib.contextmanager
def reading(
    resources: attempts.Resources,
    outgoing: outgoing_requests.Outgoing,
    connection: connections.Connection,
    answer: answers.Answer,
) -> Iterator[BodyReader]:
    """Return a reader of the body of `answer`, which is received on `connection`.

    The block must neither close the connection nor return it to the pool.
    """
    with (
        connections.staying_registered(connection),
        BodyReader(resources, outgoing, answer) as body,
    ):
        yield body
