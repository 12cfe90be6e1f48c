"""The control group leader's handlers for crash-causing requests.

The decisions are made in `quarantine` and `trials`.
"""

import time
from typing import Any

import eliot

from bilberrydrum import clock, transport
from bilberrydrum.fleet import commands, crash_commands, messages, trials
from bilberrydrum.state import replica


class CrashCalls:
    """The leader's handlers of crash reports, trials and operators' calls."""

    def __init__(self, replica_: replica.Replica) -> None:
        self._replica = replica_
        self._trials = trials.Trials()

    def begin(self, now: float) -> None:
        """Reset the trials when this process has become the leader."""
        self._trials.begin(self.section().book.evidence_by_fingerprint, now)

    def section(self) -> crash_commands.Section:
        """Return the group's crash history."""
        return crash_commands.section_of(self._replica.state())

    def on_report(
        self, sender: transport.Sender, message: messages.ReportCrashes
    ) -> Any:
        """Record the crashes and answers that a sender of requests reports."""
        command = crash_commands.RecordCrashes(message.reports, message.cleared)
        if not self._commit(command, sender.address):
            return None
        for report in message.reports:
            self._trials.end(report.crash.fingerprint)
        for fingerprint in message.cleared:
            self._trials.end(fingerprint)
        return messages.CrashesRecorded(self.section().index)

    def on_ask_trial(self, sender: transport.Sender, message: messages.AskTrial) -> Any:
        """Grant the trial of a suspected request unless another copy is being tried.

        It is refused as well if another request is being tried at each upstream.
        """
        is_granted = self._trials.grant(
            message.fingerprint, clock.now(), message.upstream_ids
        )
        upstream_id = ""
        if is_granted:
            upstream_id = self._trials.upstream_of(message.fingerprint)
        eliot.log_message(
            message_type="crashes:trial",
            fingerprint=message.fingerprint,
            address=sender.address,
            is_granted=is_granted,
            upstream_id=upstream_id,
        )
        return messages.Trial(is_granted, upstream_id)

    def on_list(self, sender: transport.Sender, message: messages.ListCrashes) -> Any:
        """Return the crash history for operators."""
        return self.section().book

    def on_lift(
        self, sender: transport.Sender, message: messages.LiftQuarantine
    ) -> Any:
        """Lift a quarantine on behalf of an operator."""
        command = crash_commands.RecordCrashes(cleared=(message.fingerprint,))
        if not self._commit(command, sender.address):
            return None
        return messages.Done()

    def expire(self) -> None:
        """Expire quarantines and old histories; called periodically."""
        if self.section().book.is_due(time.time()):
            self._commit(crash_commands.ExpireCrashes(), "")

    def _commit(self, command: object, address: str) -> bool:
        answer = self._replica.propose(command, commands.COMMIT_SECONDS)
        if answer.is_err():
            return False
        recorded: crash_commands.CrashesRecorded = answer.unwrap()
        known = self.section().book.evidence_by_fingerprint
        for fingerprint, standing in recorded.standings_by_fingerprint.items():
            history = known.get(fingerprint)
            eliot.log_message(
                message_type="crashes:standing",
                fingerprint=fingerprint,
                standing=standing,
                subject=history.subject if history else "",
                ended_ids=sorted(history.ended_at_by_id) if history else [],
                n_quarantines=history.n_quarantines if history else 0,
                reported_by=address,
            )
        return True
