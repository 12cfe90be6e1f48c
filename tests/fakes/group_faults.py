"""Faults of a simulated group, and random schedules of them.

Hosts crash with half-written disks, are suspended or partitioned, restart empty, leave
and are replaced; messages are lost, duplicated and delayed.
"""

import random

from tests.fakes import group_hosts, promise_group

SECONDS = (0.3, 0.8, 2.0, 4.0)


def crash(group, host, rng):
    if host.is_up:
        group.crash(host)
        group.start(host)


def kill(group, host, rng):
    if host.is_up:
        group.kill(host)


def kill_all(group, host, rng):
    for each in group.hosts_by_name.values():
        if each.is_up:
            group.kill(each)


def power_off_all(group, host, rng):
    for each in group.hosts_by_name.values():
        if each.is_up:
            group.crash(each)
    for each in group.hosts_by_name.values():
        group.start(each)


def suspend(group, host, rng):
    host.is_suspended = True
    group.run(rng.choice(SECONDS))
    host.is_suspended = False


def suspend_leader(group, host, rng):
    suspend(group, group.leader() or host, rng)


def cut(group, host, rng):
    for other in group.hosts_by_name:
        group.cuts.add((host.name, other))
        if rng.random() < 0.7:
            group.cuts.add((other, host.name))
    group.run(rng.choice(SECONDS))
    group.cuts.clear()


def lose_disk(group, host, rng):
    others = group.hosts_by_name.values()
    # Entries that a removed voter acknowledged may be stored by a learner only. The
    # group guarantees to survive a loss only while it has all its voters.
    is_complete = all(len(_voters(each)) >= 3 for each in others if _voters(each))
    if is_complete and group_hosts.may_lose_disk(others, host):
        group.lose_disk(host)


def _voters(host):
    return host.replica_core.node.members.voter_ids()


def snapshot(group, host, rng):
    if host.runs():
        group.make_snapshot(host)


def mark_leaving(group, host, rng):
    if not group.leaving:
        group.leaving.add(host.name)


def transfer_leadership(group, host, rng):
    group.transfer_leadership(host)


FAULTS = (
    crash,
    kill,
    kill_all,
    power_off_all,
    suspend,
    suspend_leader,
    cut,
    lose_disk,
    snapshot,
    mark_leaving,
    transfer_leadership,
)


def inject_faults(
    group: promise_group.PromiseGroup,
    rng: random.Random,
    n_faults: int,
    seconds: tuple[float, ...] = SECONDS,
) -> None:
    """Inject random faults, and let the group run after each."""
    for _ in range(n_faults):
        host = rng.choice(list(group.hosts_by_name.values()))
        rng.choice(FAULTS)(group, host, rng)
        loss = rng.choice((0.0, 0.0, 0.05, 0.3))
        group.run(rng.choice(seconds), loss=loss, doubling=0.02)
