"""The control leader's part of usage reports: collect, close windows, report them."""

import functools
import itertools
from collections.abc import Callable
from typing import Any, Final, Protocol

import attrs
import eliot
import eventlet

from bilberrydrum import backoff, clock, counters, tasks, upstream_protocol
from bilberrydrum.requests import single_calls
from bilberrydrum.state import fencing, replica
from bilberrydrum.usage import cluster_clock, collector, commands, model

# Interval at which windows are checked: a report is due only after seconds, and a check
# is cheap.
_CHECK_SECONDS: Final = 0.25
# Time for a command to be committed before it is tried again.
_COMMIT_SECONDS: Final = 3.0
# Maximum number of windows closed by one command; after a long outage there are many.
_MAX_WINDOWS: Final = 64
# A new leader waits this long, six renewals, for snapshots of gateways. Clocks of
# processes that have been silent for this long are left out of the median.
_COLLECT_SECONDS: Final = 3.0
# Timeout of a call to the receiver, in seconds. A report may be sent again, so a slower
# answer just costs another call.
ANSWER_SECONDS: Final = 2.0
# First and longest pause after a call that was not accepted, in seconds. The receiver
# may be down, and it limits the total rate of calls of all processes.
_FIRST_PAUSE_SECONDS: Final = 0.2
_MAX_PAUSE_SECONDS: Final = 1.0
_OK: Final = 200
# Status with which the receiver refuses a number lower than one that it has seen.
_CONFLICT: Final = 409


# Calls its argument right before sending, sends the message that this returns, and
# returns the outcome.
Call = Callable[
    [Callable[[], upstream_protocol.OrderMessage | None]], single_calls.Reply
]


class ReportProtocol(Protocol):
    """Implemented by the deployment's adapter."""

    def report(
        self, counts: model.WindowCounts, holder: str, number: int
    ) -> upstream_protocol.OrderMessage:
        """Return the request that reports one window.

        Two reports of the same counts must be identical to the byte, except for the
        holder and the number.
        """


@attrs.frozen
class _Clock:
    """Offset of a process's time of day from this process's steady clock."""

    offset: float
    received_at: float


class UsageReporter:
    """The usage tasks of one replica of the control group; they act while it leads."""

    def __init__(
        self,
        options: model.UsageOptions,
        replica_: replica.Replica,
        protocol: ReportProtocol,
        holder: str,
        reports_guard: fencing.FencingGuard,
        call: Call,
    ) -> None:
        """Create the reporter; its tasks run from `start` on.

        Parameters
        ----------
        holder : str
            Name of this host, which the receiver gets with each report.
        reports_guard : fencing.FencingGuard
            The right to report.
        call : callable
            Calls the receiver; its argument prepares the message. See
            `single_calls.call`.
        """
        self._options = options
        self._replica = replica_
        self._protocol = protocol
        self._holder = holder
        self._guard = reports_guard
        self._call = call
        self._term = 0
        self._collector = collector.CountsCollector(options, 0.0)
        self._clocks_by_address: dict[str, _Clock] = {}
        self._pause = backoff.Backoff(_FIRST_PAUSE_SECONDS, _MAX_PAUSE_SECONDS)
        self._tasks: list[Any] = []

    def start(self) -> None:
        """Start the tasks that close windows and report them."""
        self._tasks = [
            eventlet.spawn(self._repeat, self.close_windows),
            eventlet.spawn(self._repeat, self.report),
        ]

    def stop(self) -> None:
        """Stop reporting; the next leader continues."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()

    # Gateways

    def handle_renewal(
        self, address: str, unix_time: float, snapshot: model.CountsSnapshot | None
    ) -> None:
        """Record the time of day and the counts that a process sent with its renewal.

        Parameters
        ----------
        address : str
            Address of the process.
        unix_time : float
            The process's time of day, in seconds; 0: not sent.
        snapshot : model.CountsSnapshot, optional
            The process's counts, if it is a gateway.
        """
        self._check_leadership()
        now = clock.now()
        if unix_time:
            self._clocks_by_address[address] = _Clock(unix_time - now, now)
        if snapshot is not None:
            self._collector.record(address, snapshot, now)

    def unix_time(self) -> float:
        """Return the cluster's time of day, in seconds."""
        now = clock.now()
        offsets = [
            each.offset
            for each in self._clocks_by_address.values()
            if now - each.received_at < _COLLECT_SECONDS
        ]
        offsets.append(clock.unix_now() - now)
        median = cluster_clock.median_offset(offsets)
        assert median is not None
        return now + median

    def closed_before(self) -> int:
        """Return the oldest window that is not closed."""
        return self._section().closed_before

    # Windows

    def _repeat(self, step: Callable[[], None]) -> None:
        while True:
            clock.sleep(_CHECK_SECONDS)
            # If this task ended, this replica could lead without reporting.
            with tasks.errors_recorded("usage-reports"):
                step()

    def _section(self) -> commands.Section:
        return commands.section_of(self._replica.state())

    def _check_leadership(self) -> None:
        held = self._replica.leadership()
        if held is not None and held.term != self._term:
            self._term = held.term
            self._clocks_by_address.clear()
            self._collector = collector.CountsCollector(self._options, clock.now())

    def close_windows(self) -> None:
        """Close the windows that are due, if this replica leads."""
        self._check_leadership()
        if self._replica.leadership() is None:
            return
        first = self._section().closed_before or self._collector.first_window()
        if first is None:
            # No gateway has counted anything yet.
            return
        windows = self._collector.closable(
            first, self.unix_time(), clock.now(), _COLLECT_SECONDS
        )
        closed = tuple(itertools.islice(windows, _MAX_WINDOWS))
        if not closed:
            return
        answer = self._replica.propose(commands.CloseWindows(closed), _COMMIT_SECONDS)
        if answer.is_ok():
            self._collector.forget_before(closed[-1].window + 1)
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
        """Report all closed windows that are not confirmed, the oldest first."""
        pending = self._section().pending_by_window
        counters.USAGE_PENDING.set(len(pending))
        accepted = []
        for window, counts in sorted(pending.items()):
            if not self._send(counts):
                break
            accepted.append(window)
        if accepted:
            # If the command is lost, the same reports are sent again, which changes
            # nothing at the receiver.
            self._replica.propose(
                commands.ConfirmWindows(tuple(accepted)), _COMMIT_SECONDS
            )

    def _send(self, counts: model.WindowCounts) -> bool:
        """Report one window; False: it was not accepted, and later windows wait."""
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
            self._guard.record_refusal(numbers[0])
        if reply.status != _OK:
            self._pause.record_failure(clock.now())
            return False
        self._pause.record_success()
        return True

    def _prepare(
        self, counts: model.WindowCounts, numbers: list[int]
    ) -> upstream_protocol.OrderMessage | None:
        number = self._guard.acquire_number()
        if number is None:
            return None
        numbers.append(number)
        return self._protocol.report(counts, self._holder, number)
