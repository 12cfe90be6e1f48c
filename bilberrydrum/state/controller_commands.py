"""Commands and query on the right to order upstreams about.

One process at a time holds it, under a fencing number that rises with each holder. No
wall clock is compared: a candidate takes the right over by naming the renewal it saw
last, after it has waited a whole lease, by its own monotonic clock, without seeing
another. Any renewal committed in between makes the take-over fail.
"""

from typing import Final

import attrs

from bilberrydrum import codec
from bilberrydrum.state import machine, processes

SECTION: Final = "controller"

# Stands for the unknown holder after the state was restored from a copy.
RESTORED: Final = "(restored)"


@codec.register("controller.section")
@attrs.define
class Section:
    """Who holds the right."""

    # The fencing number of the holder, or of the last one; it only rises.
    number: int = 0
    # Process id; empty: nobody holds the right.
    holder: str = ""
    # Drawn by the holder at its start.
    token: str = ""
    n_renewals: int = 0
    # The holder's lease, in seconds.
    lease_seconds: float = 0.0
    # Wall clock of the last renewal: a hint of when to look closer, no more.
    renewed_at: float = 0.0


@codec.register("controller.acquire")
@attrs.frozen
class AcquireController:
    """Take the right over; answered by `ControllerState`."""

    process_id: str
    # Tells this life of the process from its earlier ones.
    token: str
    # What the candidate saw a whole lease ago.
    seen_number: int
    seen_n_renewals: int
    lease_seconds: float


@codec.register("controller.renew")
@attrs.frozen
class RenewController:
    """Keep the right; answered by `ControllerState`."""

    process_id: str
    number: int


@codec.register("controller.release")
@attrs.frozen
class ReleaseController:
    """Give the right back; answered by `ControllerState`."""

    process_id: str
    number: int


@codec.register("controller.ask")
@attrs.frozen
class AskController:
    """Ask who holds the right; answered by `ControllerState`."""


@codec.register("controller.state")
@attrs.frozen
class ControllerState:
    """Who holds the right."""

    number: int
    holder: str
    token: str
    n_renewals: int
    lease_seconds: float
    # Processes that may look from time to time.
    n_processes: int = 0
    # Time since the last renewal by the leader's wall clock; a hint.
    silent_seconds: float = 0.0


def read(state: machine.State) -> Section:
    """Return the section of `state`, for readers, who must not change the state."""
    section: Section = state.sections.get(SECTION) or Section()
    return section


@machine.apply.register
def _(
    command: AcquireController, state: machine.State, context: machine.Context
) -> ControllerState:
    section = _section_of(state)
    seen = (command.seen_number, command.seen_n_renewals)
    # The holder renewed, or another candidate came first, since the candidate looked.
    # Without this check two processes would hold the right at the same time.
    if seen == (section.number, section.n_renewals):
        section.number = processes.next_number(section.number, context)
        section.n_renewals = 0
        section.holder = command.process_id
        section.token = command.token
        section.lease_seconds = command.lease_seconds
        section.renewed_at = context.time
    return _answer(section)


@machine.apply.register
def _(
    command: RenewController, state: machine.State, context: machine.Context
) -> ControllerState:
    section = _section_of(state)
    if (command.process_id, command.number) == (section.holder, section.number):
        section.n_renewals += 1
        section.renewed_at = context.time
    return _answer(section)


@machine.apply.register
def _(
    command: ReleaseController, state: machine.State, context: machine.Context
) -> ControllerState:
    section = _section_of(state)
    if (command.process_id, command.number) == (section.holder, section.number):
        section.n_renewals += 1
        section.holder = ""
    return _answer(section)


@machine.keep_rising.register
def _(section: Section, current: Section | None) -> None:
    """Keep the number rising when an older copy of the state is restored."""
    if current is not None and current.number >= section.number:
        for field in attrs.fields(Section):
            setattr(section, field.name, getattr(current, field.name))
        return
    # Whoever held the right before the restore may still act on its lease, so the
    # right does not count as given back.
    section.holder = RESTORED
    section.n_renewals = 0


@machine.answer.register
def _(query: AskController, state: machine.State, now: float) -> ControllerState:
    section = read(state)
    return attrs.evolve(
        _answer(section),
        n_processes=len(processes.read(state).processes_by_id),
        silent_seconds=now - section.renewed_at,
    )


def _section_of(state: machine.State) -> Section:
    section: Section = state.section(SECTION, Section)
    return section


def _answer(section: Section) -> ControllerState:
    return ControllerState(
        section.number,
        section.holder,
        section.token,
        section.n_renewals,
        section.lease_seconds,
    )
