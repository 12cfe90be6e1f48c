"""How long a group has no leader after its leader crashed."""

import statistics
import unittest

from nose2 import tools

from tests.fakes import replica_group

N_SEEDS = 40


def seconds_without_leader(n_hosts, seed, n_lost=0):
    """Crash the leader and some of the others; return the time without a leader.

    Messages and syncs take up to about 40 ms each here, as much as on a busy site.
    """
    group = replica_group.Group(n_hosts, seed)
    group.run(3.0)
    leader = group.leader()
    others = [e for e in group.hosts_by_name.values() if e is not leader]
    group.crash(leader)
    for host in others[:n_lost]:
        group.crash(host)
    began = group.now
    while group.leader() is None and group.now - began < 10.0:
        group.run(0.02)
    return group.now - began


class Succession(unittest.TestCase):
    """The leader's process is killed; the others detect it by the missing heartbeats.

    Until there is a new leader, nothing is committed and no item of a batch runs, so
    each loss delays the current training step. With deadlines drawn at random from a
    second timeout, the mean times were 0.96, 0.92 and 0.97 s (80 seeds), and one loss
    in ten took 1.2 s. With staggered deadlines they are 0.80, 0.79 and 0.88 s, and one
    loss in ten takes 0.9 to 1.0 s.
    """

    @tools.params((3, 0, 0.87), (5, 0, 0.86), (5, 1, 0.93))
    def test_leader_is_lost(self, n_hosts, n_lost, mean_seconds):
        waits = [
            seconds_without_leader(n_hosts, seed, n_lost) for seed in range(N_SEEDS)
        ]
        self.assertLess(statistics.mean(waits), mean_seconds, sorted(waits))
