"""What the control group's leader does about requests that end upstreams.

The decisions are in `quarantine` and `trials`.
"""

import time
from typing import Any

import eliot

from bilberrydrum import clock, transport
from bilberrydrum.fleet import commands, crash_commands, messages, trials
from bilberrydrum.state import replica


class CrashCalls:
    """The part of the leader that concerns such requests."""

    def __init__(self, replica_: replica.Replica) -> None:
        self._replica = replica_
        self._trials = trials.Trials()

    def begin(self, now: float) -> None:
        """Start over: this process has just become the leader."""
        self._trials.begin(self.section().book.evidence_by_fingerprint, now)

    def section(self) -> crash_commands.Section:
        """Return what is held against requests."""
        return crash_commands.section_of(self._replica.state())

    def on_report(
        self, sender: transport.Sender, message: messages.ReportCrashes
    ) -> Any:
        """Note what a sender of requests has seen."""
        command = crash_commands.NoteCrashes(message.reports, message.cleared)
        if not self._commit(command, sender.address):
            return None
        for report in message.reports:
            self._trials.end(report.crash.fingerprint)
        for fingerprint in message.cleared:
            self._trials.end(fingerprint)
        return messages.CrashesRecorded(self.section().index)

    def on_ask_trial(self, sender: transport.Sender, message: messages.AskTrial) -> Any:
        """Let a doubtful request be tried, if no other copy is."""
        is_granted = self._trials.grant(message.fingerprint, clock.now())
        eliot.log_message(
            message_type="crashes:trial",
            fingerprint=message.fingerprint,
            address=sender.address,
            is_granted=is_granted,
        )
        return messages.Trial(is_granted)

    def on_list(self, sender: transport.Sender, message: messages.ListCrashes) -> Any:
        """Tell what is held against requests."""
        return self.section().book

    def on_lift(
        self, sender: transport.Sender, message: messages.LiftQuarantine
    ) -> Any:
        """Have a request served again, as an operator wishes."""
        command = crash_commands.NoteCrashes(cleared=(message.fingerprint,))
        if not self._commit(command, sender.address):
            return None
        return messages.Done()

    def lapse(self) -> None:
        """End what is over; called now and then."""
        if self.section().book.is_due(time.time()):
            self._commit(crash_commands.LapseCrashes(), "")

    def _commit(self, command: object, address: str) -> bool:
        answer = self._replica.propose(command, commands.COMMIT_SECONDS)
        if answer.is_err():
            return False
        noted: crash_commands.Noted = answer.unwrap()
        known = self.section().book.evidence_by_fingerprint
        for fingerprint, standing in noted.standings_by_fingerprint.items():
            evidence = known.get(fingerprint)
            eliot.log_message(
                message_type="crashes:standing",
                fingerprint=fingerprint,
                standing=standing,
                subject=evidence.subject if evidence else "",
                ended_ids=sorted(evidence.ended_at_by_id) if evidence else [],
                n_quarantines=evidence.n_quarantines if evidence else 0,
                reported_by=address,
            )
        return True
