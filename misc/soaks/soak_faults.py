"""The faults of a soak and their times, drawn from a seed."""

import enum
import random
from collections.abc import Sequence
from typing import Final

import attrs


class Kind(enum.Enum):
    """What a fault does to its target."""

    # Faults of one process.
    KILL = "kill"
    # Killed; garbage is appended to its log, as by a write that was never synced.
    TEAR = "tear"
    # Killed; its data folder is deleted.
    WIPE = "wipe"
    TERMINATE = "terminate"
    PAUSE = "pause"
    HANGUP = "hangup"
    CLOCK = "clock"
    # All processes of one role, or all processes, are killed.
    KILL_ROLE = "kill-role"
    KILL_ALL = "kill-all"
    # Faults of the links to a process or an upstream.
    DELAY = "delay"
    SILENCE = "silence"
    SILENCE_INWARD = "silence-inward"
    SILENCE_OUTWARD = "silence-outward"
    MUTE = "mute"
    RESET = "reset"
    # Faults of an upstream.
    CRASH = "crash"
    SLOW = "slow"
    LEAVE = "leave"


PROCESS_KINDS: Final = (
    Kind.KILL,
    Kind.TERMINATE,
    Kind.PAUSE,
    Kind.HANGUP,
    Kind.CLOCK,
)
LINK_KINDS: Final = (
    Kind.DELAY,
    Kind.SILENCE,
    Kind.SILENCE_INWARD,
    Kind.SILENCE_OUTWARD,
    Kind.MUTE,
    Kind.RESET,
)
UPSTREAM_KINDS: Final = (Kind.CRASH, Kind.SLOW, Kind.LEAVE)
# Mean pause between the starts of two faults, in seconds. Most faults last longer, so
# that faults overlap.
MEAN_PAUSE_SECONDS: Final = 0.8
# Minimum time in seconds between two lost disks of one group. A group tolerates one
# lost disk, and the next one only after the replacement has caught up, which takes a
# process start and a few elections.
WIPE_SECONDS: Final = 9.0
# Target name that stands for the store that leads, and so runs the items, when the
# fault begins.
LEADER: Final = "store-leader"
# Mean pause between two faults of the leader, in seconds, and their kinds. There are
# only a few per run, so that most items that resume from a saved text are completed.
MEAN_LEADER_PAUSE_SECONDS: Final = 5.0
LEADER_KINDS: Final = (Kind.KILL, Kind.PAUSE, Kind.SILENCE, Kind.KILL_ALL)
_FIRST_SECONDS: Final = 0.5


@attrs.frozen
class Fault:
    """One fault; times are in seconds from the start of the traffic."""

    at: float
    kind: Kind
    target: str
    seconds: float


@attrs.frozen
class Targets:
    """Names of the processes and upstreams that faults may be drawn for."""

    processes_by_role: dict[str, tuple[str, ...]]
    # Roles whose processes have a disk.
    roles_with_disk: tuple[str, ...]
    upstreams: tuple[str, ...]

    def processes(self) -> tuple[str, ...]:
        """Return the names of all processes."""
        return tuple(n for names in self.processes_by_role.values() for n in names)


def draw(seed: int, seconds: float, targets: Targets) -> tuple[Fault, ...]:
    """Return the faults of one run, the earliest first."""
    rng = random.Random(seed)
    faults = _draw_for_leader(seed, seconds)
    wiped_at_by_role = dict.fromkeys(targets.roles_with_disk, -WIPE_SECONDS)
    at = _FIRST_SECONDS
    while True:
        at += rng.expovariate(1 / MEAN_PAUSE_SECONDS)
        if at >= seconds:
            return tuple(sorted(faults, key=lambda each: each.at))
        kind = _draw_kind(rng)
        fault = Fault(at, kind, _draw_target(rng, kind, targets), rng.uniform(0.2, 3.5))
        if kind is Kind.WIPE:
            role = _role_of(fault.target, targets)
            if at - wiped_at_by_role[role] < WIPE_SECONDS:
                continue
            wiped_at_by_role[role] = at
        faults.append(fault)


def _draw_for_leader(seed: int, seconds: float) -> list[Fault]:
    # A separate generator: the other faults of a seed must not depend on how many
    # faults of the leader are drawn.
    rng = random.Random(f"{seed} leader")
    faults = []
    at = _FIRST_SECONDS
    while True:
        at += rng.expovariate(1 / MEAN_LEADER_PAUSE_SECONDS)
        if at >= seconds:
            return faults
        kind = rng.choice(LEADER_KINDS)
        target = "" if kind is Kind.KILL_ALL else LEADER
        faults.append(Fault(at, kind, target, rng.uniform(0.2, 3.5)))


def _draw_kind(rng: random.Random) -> Kind:
    point = rng.random()
    if point < 0.4:
        return rng.choice(PROCESS_KINDS)
    if point < 0.65:
        return rng.choice(LINK_KINDS)
    if point < 0.83:
        return rng.choice(UPSTREAM_KINDS)
    if point < 0.93:
        return rng.choice((Kind.WIPE, Kind.TEAR))
    return rng.choice((Kind.KILL_ROLE, Kind.KILL_ALL))


def _draw_target(rng: random.Random, kind: Kind, targets: Targets) -> str:
    if kind is Kind.KILL_ALL:
        return ""
    if kind is Kind.KILL_ROLE:
        return rng.choice(sorted(targets.processes_by_role))
    if kind in UPSTREAM_KINDS:
        return rng.choice(targets.upstreams)
    names: Sequence[str] = targets.processes()
    if kind in (Kind.WIPE, Kind.TEAR):
        names = [
            name
            for role in targets.roles_with_disk
            for name in targets.processes_by_role[role]
        ]
    elif kind in LINK_KINDS:
        names = [*names, *targets.upstreams]
    return rng.choice(names)


def _role_of(name: str, targets: Targets) -> str:
    return next(r for r, names in targets.processes_by_role.items() if name in names)
