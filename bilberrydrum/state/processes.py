"""Processes registered with the state group, and their incarnations.

A process registers at each start and gets an incarnation higher than any given before,
so that late messages of its earlier incarnations are recognised. A host without a disk
cannot store such a number itself.
"""

import secrets
from typing import Final

import attrs
import eliot

from bilberrydrum import clock, codec, options
from bilberrydrum.state import client, machine

SECTION: Final = "processes"
_RETRY_SECONDS: Final = 0.2
# Process id of the incarnations that are missing from a restored backup.
UNKNOWN_INCARNATIONS: Final = "(unknown)"


@codec.register("processes.process")
@attrs.frozen
class Process:
    """A registered process."""

    process_id: str
    # Where other processes of the system reach it, ``IP:port``.
    peer_address: str
    availability_zone: str
    region: str
    roles: tuple[str, ...]
    incarnation: int
    # Drawn at random by the process at its start.
    start_token: str = ""


@codec.register("processes.section")
@attrs.define
class Section:
    """All registered processes."""

    last_incarnation: int = 0
    # Increases with each change of the registered processes.
    change: int = 0
    processes_by_id: dict[str, Process] = attrs.field(factory=dict)
    # Process ids of earlier incarnations that may still be running, by incarnation.
    former_by_incarnation: dict[int, str] = attrs.field(factory=dict)


@codec.register("processes.register")
@attrs.frozen
class RegisterProcess:
    """Register the start of a process; answered by `Registered`."""

    process_id: str
    peer_address: str
    availability_zone: str
    region: str
    roles: tuple[str, ...]
    start_token: str


@codec.register("processes.forget")
@attrs.frozen
class ForgetProcesses:
    """Remove incarnations that have ended; answered by `Forgotten`."""

    incarnations: tuple[int, ...]


@codec.register("processes.registered")
@attrs.frozen
class Registered:
    """The incarnation given to a process."""

    incarnation: int


@codec.register("processes.forgotten")
@attrs.frozen
class Forgotten:
    """The number of incarnations that were removed."""

    n_forgotten: int


@codec.register("processes.list")
@attrs.frozen
class ListProcesses:
    """Ask for all processes; answered by `ProcessList`."""


@codec.register("processes.process_list")
@attrs.frozen
class ProcessList:
    """All registered processes."""

    change: int
    processes: tuple[Process, ...]


def next_number(last: int, context: machine.Context) -> int:
    """Return a number above `last` and above those that a lost group may have given.

    After the loss of a majority, a new group starts empty or from an old backup. Other
    processes remember the numbers of the lost group and ignore lower ones. Therefore a
    number is at least the wall clock time in seconds. Within a group it rises even if
    the clock is set back.
    """
    return max(last + 1, int(context.time))


def section_of(state: machine.State) -> Section:
    """Return the section of `state`; commands may change it."""
    section: Section = state.section(SECTION, Section)
    return section


def read(state: machine.State) -> Section:
    """Return the section of `state` for reading; callers must not change it."""
    section: Section = state.sections.get(SECTION) or Section()
    return section


@machine.apply.register
def _(
    command: RegisterProcess, state: machine.State, context: machine.Context
) -> Registered:
    section = section_of(state)
    known = section.processes_by_id.get(command.process_id)
    if known is not None and known.start_token == command.start_token:
        # The command was sent again, because the answer was lost. If it got a second
        # number, other processes would drop what this one sends under the first.
        return Registered(known.incarnation)
    if known is not None:
        section.former_by_incarnation[known.incarnation] = known.process_id
    section.last_incarnation = next_number(section.last_incarnation, context)
    section.change = next_number(section.change, context)
    section.processes_by_id[command.process_id] = Process(
        command.process_id,
        command.peer_address,
        command.availability_zone,
        command.region,
        command.roles,
        section.last_incarnation,
        command.start_token,
    )
    return Registered(section.last_incarnation)


@machine.apply.register
def _(
    command: ForgetProcesses, state: machine.State, context: machine.Context
) -> Forgotten:
    section = section_of(state)
    n_forgotten = 0
    for incarnation in command.incarnations:
        if section.former_by_incarnation.pop(incarnation, None) is not None:
            n_forgotten += 1
    for process in list(section.processes_by_id.values()):
        if process.incarnation in command.incarnations:
            del section.processes_by_id[process.process_id]
            section.change = next_number(section.change, context)
            n_forgotten += 1
    return Forgotten(n_forgotten)


@machine.keep_rising.register
def _(section: Section, current: Section | None) -> None:
    """Keep the current processes when an older backup is restored."""
    if current is not None:
        section.last_incarnation = max(
            section.last_incarnation, current.last_incarnation
        )
        section.change = max(section.change, current.change)
        section.processes_by_id = dict(current.processes_by_id)
        section.former_by_incarnation = dict(current.former_by_incarnation)
    # Gateways that are in neither state may be running and hold leases. They register
    # again; one entry represents all their earlier incarnations.
    section.change += 1
    section.last_incarnation += 1
    section.former_by_incarnation[section.last_incarnation] = UNKNOWN_INCARNATIONS


@machine.answer.register
def _(query: ListProcesses, state: machine.State, now: float) -> ProcessList:
    section = read(state)
    return ProcessList(section.change, tuple(section.processes_by_id.values()))


def register(options_: options.Options, state: client.StateClient) -> int:
    """Register this process, and retry until the state group answers.

    Returns
    -------
    int
        The incarnation, higher than that of all earlier starts of all processes.
    """
    command = RegisterProcess(
        options_.process_id,
        options_.peer_address,
        options_.availability_zone,
        options_.region,
        tuple(options_.roles),
        secrets.token_hex(8),
    )
    while True:
        answer = state.submit(command)
        if answer.is_ok():
            incarnation = int(answer.unwrap().incarnation)
            eliot.log_message(
                message_type="process:registered",
                process_id=options_.process_id,
                incarnation=incarnation,
            )
            return incarnation
        clock.sleep(_RETRY_SECONDS)
