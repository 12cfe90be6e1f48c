"""Selection of the crashes that a sender of requests reports to the control group.

Most requests that are cut off by a crash are unrelated to it and are answered by
another upstream a moment later; these are not reported. The code here does no input or
output.
"""

import collections
from typing import Final

import attrs

from bilberrydrum import quarantine
from bilberrydrum.fleet import messages

# A request that is answered elsewhere within this time, in seconds, is not reported. It
# allows for two runs of a look-up. The third crash of a request has to be known to all
# processes within some seconds, so the delay does no harm.
REPORT_DELAY_SECONDS: Final = 0.1
# Requests with crashes to be reported. More are pending only while the control group is
# unavailable.
MAX_PENDING: Final = 256


@attrs.frozen
class _Pending:
    crash: quarantine.Crash
    ended_at: float


class CrashReports:
    """Crashes and answers that are pending to be reported.

    Parameters
    ----------
    n_to_report : int
        Number of crashes of one request after which it is reported: 1 if other senders
        may see its next crash, 2 if this process is the only sender.
    """

    def __init__(self, n_to_report: int) -> None:
        self._n_to_report = n_to_report
        self._pending_by_fingerprint: collections.OrderedDict[str, list[_Pending]] = (
            collections.OrderedDict()
        )
        # Requests with crashes in a report that is not acknowledged yet.
        self._sent: set[str] = set()
        self._cleared: set[str] = set()
        # Those of `_cleared` that were cleared after the last report was made.
        self._cleared_since: set[str] = set()

    def record(self, crash: quarantine.Crash, ended_at: float) -> bool:
        """Record a crash; return False if another request had to be dropped for it."""
        pending = self._pending_by_fingerprint.setdefault(crash.fingerprint, [])
        pending.append(_Pending(crash, ended_at))
        if len(self._pending_by_fingerprint) <= MAX_PENDING:
            return True
        dropped, _ = self._pending_by_fingerprint.popitem(last=False)
        self._sent.discard(dropped)
        return False

    def forget(self, fingerprint: str) -> None:
        """Drop the pending crashes of a request that was answered."""
        self._pending_by_fingerprint.pop(fingerprint, None)
        self._sent.discard(fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Report a request as answered, so that the group clears its history."""
        self.forget(fingerprint)
        self._cleared.add(fingerprint)
        self._cleared_since.add(fingerprint)

    def due(
        self, now: float, suspects: quarantine.CrashHistory
    ) -> messages.ReportCrashes:
        """Return what is to be reported now.

        Parameters
        ----------
        now : float
            Seconds of `clock.now`.
        suspects : quarantine.CrashHistory
            The control group's crash history. A further crash of a request in it is
            reported at once.
        """
        reports = []
        for fingerprint, pending in self._pending_by_fingerprint.items():
            if self._due_at(fingerprint, pending, suspects) <= now:
                reports += [
                    messages.CrashReport(each.crash, max(now - each.ended_at, 0.0))
                    for each in pending
                ]
                self._sent.add(fingerprint)
        self._cleared_since.clear()
        return messages.ReportCrashes(tuple(reports), tuple(sorted(self._cleared)))

    def next_due_at(self, suspects: quarantine.CrashHistory) -> float:
        """Return when a report is due.

        The result is infinite if no report will be due by time alone.
        """
        if self._cleared:
            return float("-inf")
        return min(
            (
                self._due_at(fingerprint, pending, suspects)
                for fingerprint, pending in self._pending_by_fingerprint.items()
            ),
            default=float("inf"),
        )

    def remove_acknowledged(self, report: messages.ReportCrashes) -> None:
        """Remove what the control group has received with a report."""
        for each in report.reports:
            fingerprint = each.crash.fingerprint
            pending = self._pending_by_fingerprint.get(fingerprint, [])
            left = [one for one in pending if one.crash != each.crash]
            if left:
                self._pending_by_fingerprint[fingerprint] = left
            else:
                self.forget(fingerprint)
        # A request that was cleared again after the report was made stays pending:
        # another sender may have reported a crash between the two answers.
        self._cleared.difference_update({*report.cleared} - self._cleared_since)

    def may_be_known(self, fingerprint: str) -> bool:
        """Return whether the group may know of a crash of a request from here.

        This is so if a report of it is on its way, or if the acknowledgement was lost.
        """
        return fingerprint in self._sent

    def is_pending(self, fingerprint: str) -> bool:
        """Return whether a crash of a request is not acknowledged yet."""
        return fingerprint in self._pending_by_fingerprint

    def _due_at(
        self,
        fingerprint: str,
        pending: list[_Pending],
        suspects: quarantine.CrashHistory,
    ) -> float:
        is_suspect = fingerprint in suspects.evidence_by_fingerprint
        if is_suspect or len(pending) >= quarantine.SUSPECT_THRESHOLD:
            return float("-inf")
        if len(pending) < self._n_to_report:
            return float("inf")
        return pending[0].ended_at + REPORT_DELAY_SECONDS
