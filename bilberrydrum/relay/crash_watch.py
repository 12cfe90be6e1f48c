"""What a sender of requests knows of those that end upstreams, and tells of them.

After each run that broke off it finds out whether the upstream has ended, holds that
against the request until it is answered, and reports it to the group that keeps the
record for all: the control group, or the daemon's state group.
"""

from collections.abc import Callable
from typing import Any, Final, Protocol

import attrs
import eliot
import eventlet
import eventlet.event
import result

from bilberrydrum import clock, counters, line_limit, quarantine
from bilberrydrum.fleet import messages
from bilberrydrum.relay import crash_reports
from bilberrydrum.requests import attempts, examination

# A request's target in a line, at most; callers write what they like.
_SUBJECT_CHARACTERS: Final = 200
# Time for the control group to take a report, and the pause before the next try.
_REPORT_SECONDS: Final = 2.0
_PAUSE_SECONDS: Final = 0.3
# Time for the answer whether a doubtful request may be tried. Its caller waits.
_TRIAL_SECONDS: Final = 0.3


class View(Protocol):
    """The process's copy of what the group holds against requests.

    Kept by `fleet.subscriber`, and by `requests.crash_record` in the daemon.
    """

    crashes: quarantine.Book
    # How far it is; rises with each change.
    crashes_index: int

    def watch(self, callback: Callable[[], None]) -> None:
        """Call `callback()` after each change; it must not block."""

    def unwatch(self, callback: Callable[[], None]) -> None:
        """Call `callback` no more."""


class Calls(Protocol):
    """The way to whoever leads the group."""

    def call(self, message: object, timeout: float) -> result.Result[Any, Any]:
        """Return the answer to `message`, within `timeout` seconds."""


def shortened(subject: str) -> str:
    """Return what a request asks for, short enough for a line."""
    return subject[:_SUBJECT_CHARACTERS]


def subject_of(method: str, host: str, target: str) -> str:
    """Return what a request asks for, as an operator reads it."""
    return shortened(f"{method} {host}{target}")


@attrs.frozen
class BrokenRun:
    """A run that ended without an answer, by no wish of its sender."""

    # Id of the caller's attempt.
    request_id: str
    # The same for all attempts at the same work.
    fingerprint: str
    # What it asks for, as an operator reads it.
    subject: str
    upstream: attempts.Endpoint
    # Time from the request's sending to the break, in seconds.
    seconds: float
    # It had been well for so long that its upstream's end is not held against it.
    was_well: bool = False


class CrashWatch:
    """One process's part.

    Parameters
    ----------
    view : View
        The process's copy of what the group holds against requests.
    calls : Calls
        The way to the group's leader.
    n_to_report : int
        See `crash_reports.CrashReports`.
    is_crowded : bool
        Many requests run at an upstream (see `quarantine`), and only this process sends
        them. The group could not tell who was elsewhere, so verdicts alone are
        reported: whoever sends them next would else learn each anew, by six ends more.
    """

    def __init__(
        self,
        view: View,
        calls: Calls,
        n_to_report: int = 1,
        is_crowded: bool = False,
    ) -> None:
        self._view = view
        self._calls = calls
        # What this process has seen and the group is not known to have.
        self._own = quarantine.Book(is_crowded=is_crowded)
        self._reports = crash_reports.CrashReports(n_to_report)
        # Index at which the group has what was reported, by fingerprint.
        self._index_by_fingerprint: dict[str, int] = {}
        self._wake = eventlet.event.Event()
        self._dropped_lines = line_limit.LineLimit()
        self._task: Any = None

    def start(self) -> None:
        """Start to report."""
        self._view.watch(self._on_news)
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop to report."""
        if self._task is not None:
            self._view.unwatch(self._on_news)
            self._task.kill()
            self._task = None

    # What requests are held to be

    def standing(self, fingerprint: Callable[[], str]) -> quarantine.Standing:
        """Return what a request is held to be.

        `fingerprint` is asked only if something is held against any request: a body
        may be long, and nearly always nothing is.
        """
        if self._has_no_suspects():
            return quarantine.Standing.CLEAR
        name = fingerprint()
        return max(self._own.standing(name), self._view.crashes.standing(name))

    def ended_ids(self) -> frozenset[str]:
        """Return starts of upstreams that are known to have ended."""
        return self._own.ended_ids() | self._view.crashes.ended_ids()

    def may_try(self, fingerprint: str) -> bool:
        """Tell whether a doubtful request may be sent now; the leader knows of others.

        Without the leader it may not: another copy may be under way elsewhere.
        """
        asked = messages.AskTrial(fingerprint)
        answer = self._calls.call(asked, _TRIAL_SECONDS)
        return isinstance(answer, result.Ok) and bool(answer.ok_value.is_granted)

    def _has_no_suspects(self) -> bool:
        now = clock.now()
        if self._own.is_due(now):
            self._own.lapse(now)
        return self._own.is_empty() and self._view.crashes.is_empty()

    # What becomes of runs

    def run_broke(self, run: BrokenRun) -> None:
        """Note a run that broke off.

        Blocks for a connection if something is held against the request already: what
        becomes of it next depends on the outcome.
        """
        if self._is_suspect(run.fingerprint):
            self._examine(run)
        else:
            eventlet.spawn_n(self._examine, run)

    def was_answered(self, fingerprint: Callable[[], str]) -> None:
        """Note that a request came to an end, or was well for long."""
        if self._has_no_suspects():
            return
        name = fingerprint()
        self._own.clear(name)
        if self._may_be_known(name):
            self._index_by_fingerprint.pop(name, None)
            self._reports.clear(name)
            self._look()
        else:
            self._reports.forget(name)

    def _may_be_known(self, fingerprint: str) -> bool:
        """Tell whether the group may hold something against a request.

        It may have what the copy here doesn't show yet: an answer that nobody tells it
        of would leave the crashes before it to count with later ones.
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
        has_ended = examination.has_ended(run.upstream.address)
        counters.BROKEN_RUNS.labels("ended" if has_ended else "stands").inc()
        if has_ended and run.was_well:
            self._own.note_end(run.upstream.upstream_id, ended_at)
        elif has_ended:
            self._hold_against(run, ended_at)
        eliot.log_message(
            message_type="crashes:run-broken",
            request_id=run.request_id,
            fingerprint=run.fingerprint,
            subject=run.subject,
            upstream_id=run.upstream.upstream_id,
            address=run.upstream.address,
            seconds=round(run.seconds, 3),
            has_ended=has_ended,
            was_well=run.was_well,
            standing=self.standing(lambda: run.fingerprint).label,
            crashes_index=self._view.crashes_index,
        )

    def _hold_against(self, run: BrokenRun, ended_at: float) -> None:
        crash = quarantine.Crash(run.fingerprint, run.subject, run.upstream.upstream_id)
        if not self._own.note(crash, ended_at):
            return
        to_report = self._to_report(crash, ended_at)
        if not to_report:
            return
        self._index_by_fingerprint.pop(run.fingerprint, None)
        for each, each_ended_at in to_report:
            self._note_for_report(each, each_ended_at)
        self._look()

    def _to_report(
        self, crash: quarantine.Crash, ended_at: float
    ) -> list[tuple[quarantine.Crash, float]]:
        """Return the crashes that the group is to hear of now that `crash` is known."""
        is_known = crash.fingerprint in self._view.crashes.evidence_by_fingerprint
        if is_known or not self._own.is_crowded:
            return [(crash, ended_at)]
        evidence = self._own.evidence_by_fingerprint[crash.fingerprint]
        if not evidence.until:
            return []
        return [
            (attrs.evolve(crash, upstream_id=upstream_id), at)
            for upstream_id, at in evidence.ended_at_by_id.items()
        ]

    def _note_for_report(self, crash: quarantine.Crash, ended_at: float) -> None:
        if self._reports.note(crash, ended_at):
            return
        n_before = self._dropped_lines.admit(ended_at)
        if n_before is not None:
            eliot.log_message(
                message_type="crashes:report-dropped", n_not_logged=n_before
            )

    # Reports

    def _on_news(self) -> None:
        index = self._view.crashes_index
        for fingerprint, known_at in list(self._index_by_fingerprint.items()):
            if known_at <= index:
                # The group has it: what it is held to be is the group's to say, which
                # an operator may have told otherwise.
                del self._index_by_fingerprint[fingerprint]
                self._own.clear(fingerprint)

    def _look(self) -> None:
        if not self._wake.ready():
            self._wake.send(None)

    def _run(self) -> None:
        while True:
            self._wait()
            try:
                is_taken = self._report()
            except Exception:
                # Were this task to end, nobody would hear of crashes seen here.
                eliot.write_traceback()
                is_taken = False
            if not is_taken:
                clock.sleep(_PAUSE_SECONDS)

    def _report(self) -> bool:
        """Report what is due; return False if the group did not take it."""
        report = self._reports.due(clock.now(), self._view.crashes)
        if not (report.reports or report.cleared):
            return True
        answer = self._calls.call(report, _REPORT_SECONDS)
        if not isinstance(answer, result.Ok):
            return False
        self._reports.reported(report)
        index = answer.ok_value.crashes_index
        for each in report.reports:
            # One that came meanwhile is not in this report: taken for known, it would
            # count nowhere until the next.
            if not self._reports.waits(each.crash.fingerprint):
                self._index_by_fingerprint[each.crash.fingerprint] = index
        self._on_news()
        return True

    def _wait(self) -> None:
        seconds = self._reports.next_due_at(self._view.crashes) - clock.now()
        if seconds > 0:
            timeout = None if seconds == float("inf") else seconds
            with eventlet.Timeout(timeout, False):
                self._wake.wait()
        self._wake = eventlet.event.Event()
