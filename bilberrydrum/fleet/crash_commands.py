"""Commands on the control group's history of crash-causing requests.

The history is replicated, because the next attempt may arrive at any gateway. Crashes
that three gateways have detected, one each, count together, and the history survives
the loss of each gateway and each leader.
"""

from typing import Final

import attrs

from bilberrydrum import codec, quarantine
from bilberrydrum.fleet import messages
from bilberrydrum.state import machine

SECTION = "crashes"
# Cleared requests of which the crashed upstreams are stored. A report is resent within
# seconds, and few requests with a crash history are cleared in that time.
MAX_CLEARED: Final = 64


@codec.register("fleet.crash-section")
@attrs.define
class Section:
    """The complete crash history in the group's state."""

    # Index of the last log entry that changed it.
    index: int = 0
    book: quarantine.CrashHistory = attrs.field(factory=quarantine.CrashHistory)
    # Upstream incarnations that crashed while they ran a request, before the request
    # was cleared, by its fingerprint; the latest last.
    cleared_of_by_fingerprint: dict[str, tuple[str, ...]] = attrs.field(factory=dict)

    def record(
        self, report: messages.CrashReport, time: float, are_kept_apart: bool
    ) -> bool:
        """Record a reported crash; return False if that changes nothing."""
        crash = report.crash
        if crash.upstream_id in self.cleared_of_by_fingerprint.get(
            crash.fingerprint, ()
        ):
            # An incarnation crashes only once, so this report is a retry. A sender
            # whose acknowledgement was lost resends its report to the next leader; if
            # it counted again, the crash would be attributed to a request that was
            # answered in the meantime.
            return False
        ended_at = time - report.age_seconds
        return self.book.record(crash, ended_at, are_kept_apart)

    def clear(self, fingerprint: str) -> bool:
        """Drop the history of an answered request; return whether it had one."""
        history = self.book.evidence_by_fingerprint.get(fingerprint)
        if history is None:
            return False
        known = self.cleared_of_by_fingerprint.pop(fingerprint, ())
        ended_ids = (*known, *history.ended_at_by_id)[-quarantine.MAX_UPSTREAMS :]
        self.cleared_of_by_fingerprint[fingerprint] = ended_ids
        if len(self.cleared_of_by_fingerprint) > MAX_CLEARED:
            del self.cleared_of_by_fingerprint[
                next(iter(self.cleared_of_by_fingerprint))
            ]
        return self.book.clear(fingerprint)


def section_of(state: machine.State) -> Section:
    """Return the crash section of `state`."""
    found: Section = state.section(SECTION, Section)
    return found


@codec.register("fleet.note-crashes", added_fields=("are_kept_apart",))
@attrs.frozen
class RecordCrashes:
    """Record upstreams that crashed while they ran requests, and answered requests."""

    reports: tuple[messages.CrashReport, ...] = ()
    # Fingerprints of the requests that were answered.
    cleared: tuple[str, ...] = ()
    # See `quarantine.CrashHistory.record`.
    are_kept_apart: bool = True


@codec.register("fleet.lapse-crashes")
@attrs.frozen
class ExpireCrashes:
    """End expired quarantines and drop histories past their retention time."""


@codec.register("fleet.read-crashes")
@attrs.frozen
class ReadCrashes:
    """Query of the complete crash history; the answer is the section."""


@codec.register("fleet.crashes-noted")
@attrs.frozen
class CrashesRecorded:
    """Result of a command: the standings that it has changed, by fingerprint."""

    # Labels of `quarantine.Standing`.
    standings_by_fingerprint: dict[str, str]


def _to_result(
    section: Section,
    before: dict[str, quarantine.Standing],
    is_change: bool,
    context: machine.Context,
) -> CrashesRecorded:
    if is_change:
        section.index = context.index
    now = _standings(section)
    clear = quarantine.Standing.CLEAR
    return CrashesRecorded(
        {
            fingerprint: now.get(fingerprint, clear).label
            for fingerprint in sorted(before.keys() | now.keys())
            if before.get(fingerprint, clear) is not now.get(fingerprint, clear)
        }
    )


def _standings(section: Section) -> dict[str, quarantine.Standing]:
    known = section.book.evidence_by_fingerprint
    return {fingerprint: each.standing() for fingerprint, each in known.items()}


@machine.apply.register
def _(
    command: RecordCrashes, state: machine.State, context: machine.Context
) -> CrashesRecorded:
    section = section_of(state)
    before = _standings(section)
    is_change = False
    for fingerprint in command.cleared:
        is_change |= section.clear(fingerprint)
    for report in command.reports:
        is_change |= section.record(report, context.time, command.are_kept_apart)
    return _to_result(section, before, is_change, context)


@machine.apply.register
def _(
    command: ExpireCrashes, state: machine.State, context: machine.Context
) -> CrashesRecorded:
    section = section_of(state)
    before = _standings(section)
    is_change = section.book.is_due(context.time)
    section.book.expire(context.time)
    return _to_result(section, before, is_change, context)


@machine.answer.register
def _(query: ReadCrashes, state: machine.State, now: float) -> Section:
    return section_of(state)
