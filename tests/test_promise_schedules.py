"""Randomised schedules over batches and registrations, with their promises.

Messages are lost, doubled and late; hosts crash with half-written disks, stand still,
are cut off, come back empty, are taken away and replaced. The checks are in
`tests.fakes.promise_group`. BILBERRYDRUM_SCHEDULES sets how many schedules are run; the
number of schedules and steps is printed at the end.
"""

import os
import random
import sys
import unittest

import hypothesis
from hypothesis import strategies

from tests.fakes import group_hosts, promise_group

N_SCHEDULES = int(os.environ.get("BILBERRYDRUM_SCHEDULES", "12"))
N_TROUBLES = 12
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


def freeze(group, host, rng):
    host.is_frozen = True
    group.run(rng.choice(SECONDS))
    host.is_frozen = False


def freeze_leader(group, host, rng):
    freeze(group, group.leader() or host, rng)


def cut(group, host, rng):
    for other in group.hosts_by_name:
        group.cuts.add((host.name, other))
        if rng.random() < 0.7:
            group.cuts.add((other, host.name))
    group.run(rng.choice(SECONDS))
    group.cuts.clear()


def lose_disk(group, host, rng):
    others = group.hosts_by_name.values()
    # A learner may hold what a voter that was removed acknowledged; the group has
    # promised to outlast one loss only while all its places are taken.
    is_whole = all(len(_voters(each)) >= 3 for each in others if _voters(each))
    if is_whole and group_hosts.may_lose_disk(others, host):
        group.lose_disk(host)


def _voters(host):
    return host.decisions.node.members.voter_ids()


def snapshot(group, host, rng):
    if host.runs():
        group.make_snapshot(host)


def take_away(group, host, rng):
    if not group.leaving:
        group.leaving.add(host.name)


def give_up(group, host, rng):
    group.give_up(host)


TROUBLES = (
    crash,
    kill,
    kill_all,
    power_off_all,
    freeze,
    freeze_leader,
    cut,
    lose_disk,
    snapshot,
    take_away,
    give_up,
)


class Schedules(unittest.TestCase):
    def test_promises(self):
        """Callers were told of batches, results, ends and departures.

        Whatever happens to the hosts in between, as long as no more disks are lost
        than the group bears, every later leader says the same.
        """
        n_steps = []

        @hypothesis.settings(
            max_examples=N_SCHEDULES,
            deadline=None,
            derandomize=True,
            database=None,
            phases=[hypothesis.Phase.generate],
            suppress_health_check=list(hypothesis.HealthCheck),
        )
        @hypothesis.given(strategies.integers(0, 2**32))
        def schedule(seed):
            rng = random.Random(seed)
            group = promise_group.PromiseGroup(3, seed, n_voters=3)
            group.add_host("h3")
            group.run(2.0)
            for _ in range(N_TROUBLES):
                host = rng.choice(list(group.hosts_by_name.values()))
                rng.choice(TROUBLES)(group, host, rng)
                loss = rng.choice((0.0, 0.0, 0.05, 0.3))
                group.run(rng.choice(SECONDS), loss=loss, doubling=0.02)
            group.run(6.0)
            n_steps.append(group.n_steps)

        schedule()
        total = sum(n_steps)
        print(f"{len(n_steps)} schedules, {total} steps", file=sys.stderr)
        self.assertGreater(total, 1000)


class Progress(unittest.TestCase):
    def test_group_goes_on_after_a_store_is_taken_away(self):
        """A store is emptied, goes, and another loses its disk right after.

        The group must commit again: three others hold its places by then.
        """
        for seed in range(4):
            group = promise_group.PromiseGroup(3, seed, n_voters=3)
            group.add_host("h3")
            group.run(2.0)
            group.leaving.add("h0")
            for _ in range(40):
                group.run(0.25)
                voters = {
                    each.process_id
                    for each in group.hosts_by_name[
                        "h1"
                    ].decisions.node.members.replicas
                    if each.is_voter
                }
                if voters == {"h1", "h2", "h3"}:
                    break
            self.assertEqual(voters, {"h1", "h2", "h3"})
            group.crash(group.hosts_by_name.pop("h0"))
            group.lose_disk(group.hosts_by_name["h1"])
            before = group.n_commits
            group.run(8.0)
            self.assertGreater(group.n_commits, before)
