"""Which crashes a sender of requests tells the control group of, and when.

Most requests that are cut off by a crash are bystanders, and are answered by another
upstream a moment later; nothing is said of them. Pure.
"""

import collections
from typing import Final

import attrs

from bilberrydrum import quarantine
from bilberrydrum.fleet import messages

# A request that is answered elsewhere within this time, in seconds, is not reported:
# two runs of a look-up. The third crash of a request must be known to all within some
# seconds, so this is no loss.
REPORT_SECONDS: Final = 0.1
# Requests that wait to be reported; more come only while the control group is away.
MAX_WAITING: Final = 256


@attrs.frozen
class _Seen:
    crash: quarantine.Crash
    ended_at: float


class CrashReports:
    """What waits to be reported.

    Parameters
    ----------
    n_to_report : int
        Crashes of one request after which it is reported: 1 where other senders may
        see the next one, 2 where this is the only one.
    """

    def __init__(self, n_to_report: int) -> None:
        self._n_to_report = n_to_report
        self._seen_by_fingerprint: collections.OrderedDict[str, list[_Seen]] = (
            collections.OrderedDict()
        )
        # Requests whose crashes a report named that is not known to be taken.
        self._told: set[str] = set()
        self._cleared: set[str] = set()
        # Of these, those that were cleared after the last report was made.
        self._cleared_since: set[str] = set()

    def note(self, crash: quarantine.Crash, ended_at: float) -> bool:
        """Note a crash; return False if another one had to be forgotten for it."""
        seen = self._seen_by_fingerprint.setdefault(crash.fingerprint, [])
        seen.append(_Seen(crash, ended_at))
        if len(self._seen_by_fingerprint) <= MAX_WAITING:
            return True
        dropped, _ = self._seen_by_fingerprint.popitem(last=False)
        self._told.discard(dropped)
        return False

    def forget(self, fingerprint: str) -> None:
        """Forget a request that was answered."""
        self._seen_by_fingerprint.pop(fingerprint, None)
        self._told.discard(fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Have a request cleared that others hold something against."""
        self.forget(fingerprint)
        self._cleared.add(fingerprint)
        self._cleared_since.add(fingerprint)

    def due(self, now: float, suspects: quarantine.Book) -> messages.ReportCrashes:
        """Return what is to be reported now.

        Parameters
        ----------
        now : float
            Seconds of `clock.now`.
        suspects : quarantine.Book
            What the control group holds against requests. One more crash of these is
            reported at once.
        """
        reports = []
        for fingerprint, seen in self._seen_by_fingerprint.items():
            if self._due_at(fingerprint, seen, suspects) <= now:
                reports += [
                    messages.CrashReport(each.crash, max(now - each.ended_at, 0.0))
                    for each in seen
                ]
                self._told.add(fingerprint)
        self._cleared_since.clear()
        return messages.ReportCrashes(tuple(reports), tuple(sorted(self._cleared)))

    def next_due_at(self, suspects: quarantine.Book) -> float:
        """Return when there is something to report; infinite: not by time alone."""
        if self._cleared:
            return float("-inf")
        return min(
            (
                self._due_at(fingerprint, seen, suspects)
                for fingerprint, seen in self._seen_by_fingerprint.items()
            ),
            default=float("inf"),
        )

    def reported(self, report: messages.ReportCrashes) -> None:
        """Note that the control group has a report."""
        for each in report.reports:
            fingerprint = each.crash.fingerprint
            seen = self._seen_by_fingerprint.get(fingerprint, [])
            left = [one for one in seen if one.crash != each.crash]
            if left:
                self._seen_by_fingerprint[fingerprint] = left
            else:
                self.forget(fingerprint)
        # Another sender's crash may lie between two answers: the second is told, too.
        self._cleared.difference_update({*report.cleared} - self._cleared_since)

    def may_be_known(self, fingerprint: str) -> bool:
        """Tell whether the group may have a crash of a request by a report from here.

        It is on its way, or its answer was lost.
        """
        return fingerprint in self._told

    def waits(self, fingerprint: str) -> bool:
        """Tell whether the control group is yet to be told of a crash of a request."""
        return fingerprint in self._seen_by_fingerprint

    def _due_at(
        self, fingerprint: str, seen: list[_Seen], suspects: quarantine.Book
    ) -> float:
        is_suspect = fingerprint in suspects.evidence_by_fingerprint
        if is_suspect or len(seen) >= quarantine.N_FOR_DOUBT:
            return float("-inf")
        if len(seen) < self._n_to_report:
            return float("inf")
        return seen[0].ended_at + REPORT_SECONDS
