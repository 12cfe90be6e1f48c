"""The control group's record of requests that end upstreams: commands.

Kept by the group, as any gateway may be asked next: what three gateways have seen, one
crash each, counts together, and outlives each of them and each leader.
"""

from typing import Final

import attrs

from bilberrydrum import codec, quarantine
from bilberrydrum.fleet import messages
from bilberrydrum.state import machine

SECTION = "crashes"
# Cleared requests whose upstreams' ends are remembered. A report that is sent again
# comes within seconds, in which few requests are cleared of anything.
MAX_CLEARED: Final = 64


@codec.register("fleet.crash-section")
@attrs.define
class Section:
    """The whole record."""

    # Index of the last log entry that changed it.
    index: int = 0
    book: quarantine.Book = attrs.field(factory=quarantine.Book)
    # Incarnations of upstreams that ended with a request before it was cleared, by its
    # fingerprint; the latest last.
    cleared_of_by_fingerprint: dict[str, tuple[str, ...]] = attrs.field(factory=dict)

    def note(self, report: messages.CrashReport, time: float) -> bool:
        """Note what a report says; return whether that was news."""
        crash = report.crash
        if crash.upstream_id in self.cleared_of_by_fingerprint.get(
            crash.fingerprint, ()
        ):
            # An incarnation ends once. Sent again to another leader after a lost
            # answer, the report would be held against the request that was answered
            # meanwhile.
            return False
        return self.book.note(crash, time - report.age_seconds)

    def clear(self, fingerprint: str) -> bool:
        """Forget a request that was answered; return whether anything was known."""
        evidence = self.book.evidence_by_fingerprint.get(fingerprint)
        if evidence is None:
            return False
        known = self.cleared_of_by_fingerprint.pop(fingerprint, ())
        ended_ids = (*known, *evidence.ended_at_by_id)[-quarantine.MAX_UPSTREAMS :]
        self.cleared_of_by_fingerprint[fingerprint] = ended_ids
        if len(self.cleared_of_by_fingerprint) > MAX_CLEARED:
            del self.cleared_of_by_fingerprint[
                next(iter(self.cleared_of_by_fingerprint))
            ]
        return self.book.clear(fingerprint)


def section_of(state: machine.State) -> Section:
    """Return the section in `state`."""
    found: Section = state.section(SECTION, Section)
    return found


@codec.register("fleet.note-crashes")
@attrs.frozen
class NoteCrashes:
    """Note upstreams that ended while they ran requests, and requests answered."""

    reports: tuple[messages.CrashReport, ...] = ()
    # Fingerprints.
    cleared: tuple[str, ...] = ()


@codec.register("fleet.lapse-crashes")
@attrs.frozen
class LapseCrashes:
    """End quarantines whose time is up, and forget what is old."""


@codec.register("fleet.read-crashes")
@attrs.frozen
class ReadCrashes:
    """Ask for the whole record; answered with the section."""


@codec.register("fleet.crashes-noted")
@attrs.frozen
class Noted:
    """Requests whose standing the command has changed, by fingerprint."""

    # Labels of `quarantine.Standing`.
    standings_by_fingerprint: dict[str, str]


def _noted(
    section: Section,
    before: dict[str, quarantine.Standing],
    is_change: bool,
    context: machine.Context,
) -> Noted:
    if is_change:
        section.index = context.index
    now = _standings(section)
    clear = quarantine.Standing.CLEAR
    return Noted(
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
def _(command: NoteCrashes, state: machine.State, context: machine.Context) -> Noted:
    section = section_of(state)
    before = _standings(section)
    is_change = False
    for fingerprint in command.cleared:
        is_change |= section.clear(fingerprint)
    for report in command.reports:
        is_change |= section.note(report, context.time)
    return _noted(section, before, is_change, context)


@machine.apply.register
def _(command: LapseCrashes, state: machine.State, context: machine.Context) -> Noted:
    section = section_of(state)
    before = _standings(section)
    is_change = section.book.is_due(context.time)
    section.book.lapse(context.time)
    return _noted(section, before, is_change, context)


@machine.answer.register
def _(query: ReadCrashes, state: machine.State, now: float) -> Section:
    return section_of(state)
