"""Commands and query for the controller lease, the right to send orders to upstreams.

One process at a time holds the lease, under a fencing number that rises with each
holder. Wall clocks are not compared. A candidate first waits for the length of a lease,
by its own monotonic clock, in which it sees no renewal. Its takeover then names the
last renewal that it saw, and fails if another renewal was committed in between.
"""

from typing import Final

import attrs

from bilberrydrum import codec
from bilberrydrum.state import machine, processes

SECTION: Final = "controller"

# Holder after the state was restored from a backup: the real one is not known.
RESTORED: Final = "(restored)"


@codec.register("controller.section")
@attrs.define
class Section:
    """The holder of the lease."""

    # The fencing number of the holder, or of the last holder; it never falls.
    number: int = 0
    # Process id of the holder; empty: the lease is free.
    holder: str = ""
    # Random token that the holder drew when its process started.
    token: str = ""
    n_renewals: int = 0
    # Length of the holder's lease, in seconds.
    lease_seconds: float = 0.0
    # Wall clock time of the last renewal. It only determines how often candidates
    # poll, never who holds the lease.
    renewed_at: float = 0.0


@codec.register("controller.acquire")
@attrs.frozen
class AcquireController:
    """Acquire the lease; answered by `ControllerState`."""

    process_id: str
    # Distinguishes this incarnation of the process from its earlier ones.
    token: str
    # Number and renewals of the holder that the candidate saw one lease ago.
    seen_number: int
    seen_n_renewals: int
    lease_seconds: float


@codec.register("controller.renew")
@attrs.frozen
class RenewController:
    """Renew the lease; answered by `ControllerState`."""

    process_id: str
    number: int


@codec.register("controller.release")
@attrs.frozen
class ReleaseController:
    """Release the lease; answered by `ControllerState`."""

    process_id: str
    number: int


@codec.register("controller.ask")
@attrs.frozen
class AskController:
    """Ask who holds the lease; answered by `ControllerState`."""


@codec.register("controller.state")
@attrs.frozen
class ControllerState:
    """The holder of the lease."""

    number: int
    holder: str
    token: str
    n_renewals: int
    lease_seconds: float
    # Number of registered processes, each of which may poll.
    n_processes: int = 0
    # Seconds since the last renewal, by the leader's wall clock. It only determines
    # how often candidates poll.
    silent_seconds: float = 0.0


def read(state: machine.State) -> Section:
    """Return the section of `state` for reading; callers must not change it."""
    section: Section = state.sections.get(SECTION) or Section()
    return section


@machine.apply.register
def _(
    command: AcquireController, state: machine.State, context: machine.Context
) -> ControllerState:
    section = _section_of(state)
    seen = (command.seen_number, command.seen_n_renewals)
    # The numbers differ if, since the candidate polled, the holder has renewed or
    # another candidate has taken over. Without this check two processes would hold the
    # lease at the same time.
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
    """Keep the number from falling when an older backup is restored."""
    if current is not None and current.number >= section.number:
        for field in attrs.fields(Section):
            setattr(section, field.name, getattr(current, field.name))
        return
    # The holder before the restore may continue to send orders until its lease
    # expires, so the lease must not appear to be free.
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
