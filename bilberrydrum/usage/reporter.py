"""The control leader's part of reports of use: gather, close windows, report them."""

import functools
import itertools
from collections.abc import Callable
from typing import Any, Final, Protocol

import attrs
import eliot
import eventlet

from bilberrydrum import backoff, clock, counters, upstream_protocol
from bilberrydrum.requests import single_calls
from bilberrydrum.state import replica, tenure
from bilberrydrum.usage import agreed_time, commands, gathering, model

# How often windows are looked at: a report has seconds, and each look is cheap.
_LOOK_SECONDS: Final = 0.25
# Time for a command to be committed before it is tried again.
_COMMIT_SECONDS: Final = 3.0
# Windows closed by one command; after a long stand-still there are many.
_MAX_WINDOWS: Final = 64
# A new leader waits this long for gateways it has not heard of; six renewals. The
# clocks of processes that are silent for so long count no more.
_GATHER_SECONDS: Final = 3.0
# Time for the receiver to answer, in seconds. A report may be sent again, so what is
# slower costs a call and nothing else.
ANSWER_SECONDS: Final = 2.0
# Pauses after a call that was not taken, in seconds, first and at most: the receiver
# may be down, and bounds the calls of all processes together.
_FIRST_PAUSE_SECONDS: Final = 0.2
_MAX_PAUSE_SECONDS: Final = 1.0
_OK: Final = 200
# The receiver has seen a higher number.
_CONFLICT: Final = 409


# Sends a message that is made last, and returns what became of it.
Call = Callable[
    [Callable[[], upstream_protocol.OrderMessage | None]], single_calls.Reply
]


class ReportProtocol(Protocol):
    """Kept by the deployment's adapter."""

    def report(
        self, counts: model.WindowCounts, holder: str, number: int
    ) -> upstream_protocol.OrderMessage:
        """Return the request that reports one window.

        Two reports of the same counts must be the same to the byte, but for who sends
        them.
        """


@attrs.frozen
class _Clock:
    """What a process's time of day said, against this one's steady clock."""

    offset: float
    heard_at: float


class UsageReporter:
    """The task beside one replica of the control group."""

    def __init__(
        self,
        options: model.UsageOptions,
        replica_: replica.Replica,
        protocol: ReportProtocol,
        holder: str,
        reports_tenure: tenure.Tenure,
        call: Call,
    ) -> None:
        """Make the task; nothing runs before `start`.

        Parameters
        ----------
        holder : str
            Name of this host, for the receiver.
        reports_tenure : tenure.Tenure
            The right to report.
        call : callable
            Sends what its argument returns to the receiver; see `single_calls.call`.
        """
        self._options = options
        self._replica = replica_
        self._protocol = protocol
        self._holder = holder
        self._tenure = reports_tenure
        self._call = call
        self._term = 0
        self._gathering = gathering.Gathering(options, 0.0)
        self._clocks_by_address: dict[str, _Clock] = {}
        self._pause = backoff.Backoff(_FIRST_PAUSE_SECONDS, _MAX_PAUSE_SECONDS)
        self._tasks: list[Any] = []

    def start(self) -> None:
        """Start to close windows and to report them."""
        self._tasks = [
            eventlet.spawn(self._repeat, self.close_windows),
            eventlet.spawn(self._repeat, self.report),
        ]

    def stop(self) -> None:
        """Send nothing more; the next leader goes on."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()

    # Gateways

    def heard(
        self, address: str, unix_time: float, telling: model.Telling | None
    ) -> None:
        """Take what a process tells with its renewal."""
        self._notice_leadership()
        now = clock.now()
        if unix_time:
            self._clocks_by_address[address] = _Clock(unix_time - now, now)
        if telling is not None:
            self._gathering.note(address, telling, now)

    def unix_time(self) -> float:
        """Return the time of day that most processes agree on, in seconds."""
        now = clock.now()
        offsets = [
            each.offset
            for each in self._clocks_by_address.values()
            if now - each.heard_at < _GATHER_SECONDS
        ]
        offsets.append(clock.unix_now() - now)
        agreed = agreed_time.median_offset(offsets)
        assert agreed is not None
        return now + agreed

    def closed_before(self) -> int:
        """Return the oldest window that is not closed."""
        return self._section().closed_before

    # Windows

    def _repeat(self, step: Callable[[], None]) -> None:
        while True:
            clock.sleep(_LOOK_SECONDS)
            try:
                step()
            except Exception:
                # Were this task to end, this replica could lead without reporting.
                eliot.write_traceback()

    def _section(self) -> commands.Section:
        return commands.section_of(self._replica.state())

    def _notice_leadership(self) -> None:
        held = self._replica.leadership()
        if held is not None and held.term != self._term:
            self._term = held.term
            self._clocks_by_address.clear()
            self._gathering = gathering.Gathering(self._options, clock.now())

    def close_windows(self) -> None:
        """Close the windows that are due, if this replica leads."""
        self._notice_leadership()
        if self._replica.leadership() is None:
            return
        first = self._section().closed_before or self._gathering.first_window()
        if first is None:
            # Nothing was ever counted.
            return
        windows = self._gathering.closable(
            first, self.unix_time(), clock.now(), _GATHER_SECONDS
        )
        closed = tuple(itertools.islice(windows, _MAX_WINDOWS))
        if not closed:
            return
        answer = self._replica.propose(commands.CloseWindows(closed), _COMMIT_SECONDS)
        if answer.is_ok():
            self._gathering.forget_before(closed[-1].window + 1)
        for each in closed:
            eliot.log_message(
                message_type="usage:closed",
                window=each.window,
                n_accounts=len(each.n_by_account),
                n_requests=sum(each.n_by_account.values()),
                is_committed=answer.is_ok(),
                term=self._term,
            )

    def report(self) -> None:
        """Send all closed windows that are not confirmed, the oldest first."""
        pending = self._section().pending_by_window
        counters.USAGE_PENDING.set(len(pending))
        taken = []
        for window, counts in sorted(pending.items()):
            if not self._send(counts):
                break
            taken.append(window)
        if taken:
            # Lost, they are sent again, which changes nothing at the receiver.
            self._replica.propose(
                commands.ConfirmWindows(tuple(taken)), _COMMIT_SECONDS
            )

    def _send(self, counts: model.WindowCounts) -> bool:
        """Report one window; False: it was not taken, and others wait."""
        if self._pause.remaining(clock.now()) or self._replica.leadership() is None:
            return False
        numbers: list[int] = []
        prepare = functools.partial(self._prepare, counts, numbers)
        reply = self._call(prepare)
        eliot.log_message(
            message_type="usage:reported",
            window=counts.window,
            fencing_number=numbers[0] if numbers else None,
            status=reply.status,
            is_withheld=reply.is_withheld,
        )
        if not reply.is_withheld:
            counters.USAGE_REPORTS.labels(str(reply.status)).inc()
        if reply.status == _CONFLICT and numbers:
            self._tenure.was_refused(numbers[0])
        if reply.status != _OK:
            self._pause.record_failure(clock.now())
            return False
        self._pause.record_success()
        return True

    def _prepare(
        self, counts: model.WindowCounts, numbers: list[int]
    ) -> upstream_protocol.OrderMessage | None:
        number = self._tenure.take_number()
        if number is None:
            return None
        numbers.append(number)
        return self._protocol.report(counts, self._holder, number)
