"""Detection and reporting of crash-causing requests by a process that sends requests.

After each run that broke off, the process probes whether the upstream has crashed,
counts the crash against the request until the request is answered, and reports it to
the replicated group that stores the crash history for all processes: the control group,
or the daemon's state group.
"""

from collections.abc import Callable, Sequence
from typing import Any, Final, Protocol

import attrs
import eliot
import eventlet
import eventlet.event
import result

from bilberrydrum import clock, counters, log_rate_limit, quarantine, tasks
from bilberrydrum.fleet import messages
from bilberrydrum.relay import crash_reports
from bilberrydrum.requests import attempts, crash_probe

# Maximum length of a request's target in a log line; callers may send any length.
_SUBJECT_CHARACTERS: Final = 200
# Timeout for the control group to acknowledge a report, and the delay before a retry.
_REPORT_SECONDS: Final = 2.0
_PAUSE_SECONDS: Final = 0.3
# Crashes of a request from which on they are reported: other processes may send it.
_N_TO_REPORT: Final = 1
# Timeout of the query whether a suspected request may be tried. Its caller waits.
_TRIAL_SECONDS: Final = 0.3


class View(Protocol):
    """The process's copy of the group's crash history.

    Updated by `fleet.subscriber`, and by `requests.crash_record` in the daemon.
    """

    crashes: quarantine.CrashHistory
    # Index of the last change that the copy contains.
    crashes_index: int

    def watch(self, callback: Callable[[], None]) -> None:
        """Call `callback()` after each change; it must not block."""

    def unwatch(self, callback: Callable[[], None]) -> None:
        """Call `callback` no more."""


class Calls(Protocol):
    """Calls to the group's leader."""

    def call(self, message: object, timeout: float) -> result.Result[Any, Any]:
        """Return the answer to `message`, within `timeout` seconds."""


def shortened(subject: str) -> str:
    """Return what a request asks for, short enough for a log line."""
    return subject[:_SUBJECT_CHARACTERS]


def subject_of(method: str, host: str, target: str) -> str:
    """Return what a request asks for, as shown to operators."""
    return shortened(f"{method} {host}{target}")


@attrs.frozen
class BrokenRun:
    """A run that ended without an answer and was not cancelled by its sender."""

    # Id of the caller's attempt.
    request_id: str
    # Identifies the request; the same for all attempts at the same work.
    fingerprint: str
    # What the request asks for, as shown to operators.
    subject: str
    upstream: attempts.Endpoint
    # Time from the request's sending to the break, in seconds.
    seconds: float
    # Whether it had produced events for so long that a crash of its upstream is not
    # attributed to the request (see `quarantine.HEALTHY_RUN_SECONDS`).
    was_healthy: bool = False


class CrashWatch:
    """Crash detection and reporting of one process.

    Parameters
    ----------
    view : View
        The process's copy of the group's crash history.
    calls : Calls
        Calls to the group's leader.
    is_crowded : bool
        Whether many requests run at an upstream (see `quarantine`).
    is_owed : bool
        Whether the requests belong to work that was handed in for later, and are sent
        by this process only. They are never suspected or quarantined, whatever the
        group's history has of requests with the same content, and are not reported. The
        crashes are recorded for the log, and for `must_run_apart` and `must_wait`, with
        which a sender of many such requests holds them back for seconds.
    """

    def __init__(
        self,
        view: View,
        calls: Calls,
        is_crowded: bool = False,
        is_owed: bool = False,
    ) -> None:
        self.is_owed = is_owed
        self._view = view
        self._calls = calls
        # Crashes detected here that the group is not known to have stored.
        self._own = quarantine.CrashHistory(
            is_crowded=is_crowded, may_quarantine=not is_owed
        )
        self._reports = crash_reports.CrashReports(_N_TO_REPORT)
        # Index of the group's history that contains what was reported, by fingerprint.
        self._index_by_fingerprint: dict[str, int] = {}
        self._wake = eventlet.event.Event()
        self._dropped_lines = log_rate_limit.LogRateLimit()
        self._task: Any = None

    def start(self) -> None:
        """Start the reporting task."""
        self._view.watch(self._on_view_change)
        self._task = eventlet.spawn(
            tasks.run_forever, "crash-reports", self._report_when_due
        )

    def stop(self) -> None:
        """Stop the reporting task."""
        if self._task is not None:
            self._view.unwatch(self._on_view_change)
            self._task.kill()
            self._task = None

    # Classification of requests

    def standing(self, fingerprint: Callable[[], str]) -> quarantine.Standing:
        """Return the classification of a request.

        `fingerprint` is called only if any request has a crash history. This is rare,
        and the fingerprint of a long body takes time to compute.
        """
        if self.is_owed or self._is_history_empty():
            return quarantine.Standing.CLEAR
        name = fingerprint()
        return max(self._own.standing(name), self._view.crashes.standing(name))

    def crashed_ids(self) -> frozenset[str]:
        """Return the upstream incarnations that are known to have crashed."""
        return self._own.crashed_ids() | self._view.crashes.crashed_ids()

    def must_run_apart(self, fingerprint: Callable[[], str]) -> bool:
        """Return whether a request must not run where another such request does.

        This holds for all suspected requests; see
        `quarantine.CrashHistory.must_run_apart`.
        """
        if self._is_history_empty():
            return False
        name = fingerprint()
        if self.is_owed:
            return self._own.must_run_apart_still(name, clock.now())
        histories = (self._own, self._view.crashes)
        return any(each.must_run_apart(name) for each in histories)

    def must_wait(self, fingerprint: Callable[[], str]) -> bool:
        """Return whether a request must not run yet, because upstreams are crashing.

        Only the crashes that this process detected count, since no other one sends such
        requests; see `quarantine.CrashHistory.must_wait`.
        """
        if self._is_history_empty():
            return False
        return self._own.must_wait(fingerprint(), clock.now())

    def may_try(self, fingerprint: str, upstream_ids: Sequence[str]) -> messages.Trial:
        """Return whether a suspected request may be sent now, and where.

        The leader knows whether another copy of the request is being tried elsewhere,
        and at which of `upstream_ids` other requests are. If the leader does not
        answer, one may be, and the request is not sent.
        """
        request = messages.AskTrial(fingerprint, tuple(upstream_ids))
        answer = self._calls.call(request, _TRIAL_SECONDS)
        if not isinstance(answer, result.Ok):
            return messages.Trial(False)
        granted: messages.Trial = answer.ok_value
        return granted

    def _is_history_empty(self) -> bool:
        # Called for each waiting item in each scheduling pass. A history is rare.
        if not self._own.is_empty():
            now = clock.now()
            if self._own.is_due(now):
                self._own.expire(now)
            if not self._own.is_empty():
                return False
        return self.is_owed or self._view.crashes.is_empty()

    # Outcomes of runs

    def record_broken_run(self, run: BrokenRun) -> None:
        """Record a run that broke off.

        Blocks until the upstream is probed if the request has a crash history, as the
        probe's result decides whether the request may be sent again.
        """
        if self._is_suspect(run.fingerprint):
            self._examine(run)
        else:
            eventlet.spawn_n(self._examine, run)

    def record_answer(self, fingerprint: Callable[[], str]) -> None:
        """Record that a request was answered, or that its run was healthy."""
        if self._is_history_empty():
            return
        name = fingerprint()
        self._own.clear(name)
        if self.is_owed:
            return
        if self._may_be_known(name):
            self._index_by_fingerprint.pop(name, None)
            self._reports.clear(name)
            self._wake_reporter()
        else:
            self._reports.forget(name)

    def _may_be_known(self, fingerprint: str) -> bool:
        """Return whether the group may have a crash history of a request.

        The group may have stored crashes that this process's copy does not contain yet.
        If the answer were not reported to it then, the crashes before the answer would
        be counted together with later ones.
        """
        return (
            fingerprint in self._view.crashes.evidence_by_fingerprint
            or fingerprint in self._index_by_fingerprint
            or self._reports.may_be_known(fingerprint)
        )

    def _is_suspect(self, fingerprint: str) -> bool:
        known = self._view.crashes.evidence_by_fingerprint
        return fingerprint in known or fingerprint in self._own.evidence_by_fingerprint

    def _examine(self, run: BrokenRun) -> None:
        ended_at = clock.now()
        has_crashed = crash_probe.has_crashed(run.upstream.address)
        counters.BROKEN_RUNS.labels("ended" if has_crashed else "stands").inc()
        if has_crashed and run.was_healthy:
            self._own.record_upstream_crash(run.upstream.upstream_id, ended_at)
        elif has_crashed:
            self._record_crash(run, ended_at)
        eliot.log_message(
            message_type="crashes:run-broken",
            request_id=run.request_id,
            fingerprint=run.fingerprint,
            subject=run.subject,
            upstream_id=run.upstream.upstream_id,
            address=run.upstream.address,
            seconds=round(run.seconds, 3),
            has_crashed=has_crashed,
            was_healthy=run.was_healthy,
            standing=self.standing(lambda: run.fingerprint).label,
            crashes_index=self._view.crashes_index,
        )

    def _record_crash(self, run: BrokenRun, ended_at: float) -> None:
        crash = quarantine.Crash(run.fingerprint, run.subject, run.upstream.upstream_id)
        if not self._own.record(crash, ended_at) or self.is_owed:
            return
        self._index_by_fingerprint.pop(run.fingerprint, None)
        self._queue_report(crash, ended_at)
        self._wake_reporter()

    def _queue_report(self, crash: quarantine.Crash, ended_at: float) -> None:
        if self._reports.record(crash, ended_at):
            return
        n_before = self._dropped_lines.admit(ended_at)
        if n_before is not None:
            eliot.log_message(
                message_type="crashes:report-dropped", n_not_logged=n_before
            )

    # Reports

    def _on_view_change(self) -> None:
        index = self._view.crashes_index
        for fingerprint, known_at in list(self._index_by_fingerprint.items()):
            if known_at <= index:
                # The group has stored the reported crashes. From now on the replicated
                # group's history is authoritative, and an operator can override it by
                # lifting a quarantine. If the local crashes were kept, they would still
                # count here after that.
                del self._index_by_fingerprint[fingerprint]
                self._own.clear(fingerprint)

    def _wake_reporter(self) -> None:
        if not self._wake.ready():
            self._wake.send(None)

    def _report_when_due(self) -> None:
        self._wait()
        is_acknowledged = False
        # If this task ended, crashes detected here would never be reported.
        with tasks.errors_recorded("crash-reports"):
            is_acknowledged = self._report()
        if not is_acknowledged:
            clock.sleep(_PAUSE_SECONDS)

    def _report(self) -> bool:
        """Report what is due; return False if the group did not acknowledge it."""
        report = self._reports.due(clock.now(), self._view.crashes)
        if not (report.reports or report.cleared):
            return True
        answer = self._calls.call(report, _REPORT_SECONDS)
        if not isinstance(answer, result.Ok):
            return False
        self._reports.remove_acknowledged(report)
        index = answer.ok_value.crashes_index
        for each in report.reports:
            # A crash recorded while the report was sent is not part of it. If the
            # request were taken for known to the group, the local history would be
            # dropped, and that crash would count nowhere until the next report.
            if not self._reports.is_pending(each.crash.fingerprint):
                self._index_by_fingerprint[each.crash.fingerprint] = index
        self._on_view_change()
        return True

    def _wait(self) -> None:
        seconds = self._reports.next_due_at(self._view.crashes) - clock.now()
        if seconds > 0:
            timeout = None if seconds == float("inf") else seconds
            with eventlet.Timeout(timeout, False):
                self._wake.wait()
        self._wake = eventlet.event.Event()
