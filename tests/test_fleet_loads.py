"""Engines announce their loaded weight versions to the control group's leader.

In a large fleet some engine loads weights every few milliseconds. If each change were
committed by itself and sent to all processes, the control leader would need 0.93 of a
core and send 33 MB a second with 300 processes and 3,000 engines, and a new policy
would come into force only after 7.5 s.
"""

import unittest

import eventlet
from nose2 import tools

from bilberrydrum.fleet import commands
from tests import helpers, test_fleet_incarnations

upstream = test_fleet_incarnations.upstream
N_ENGINES = 20


class Loads(unittest.TestCase):
    def setUp(self):
        clock = self.enterContext(helpers.manual_clock(100.0))
        self.leader = test_fleet_incarnations.Leader(clock)
        self.addCleanup(self.leader.service.stop)
        # Let the leader's tasks start and wait.
        eventlet.sleep(0)
        self.committed = []
        self.leader.replica.watch(
            lambda command, answer: self.committed.append(command)
        )
        self.clock = clock
        for number in range(N_ENGINES):
            self.announce(number, 1, 1)
        self.committed.clear()

    def announce(self, number, version, sequence, **fields):
        announced = upstream(
            f"i-{number}",
            address=f"1.1.1.{number}:80",
            sequence=sequence,
            versions_by_model={"m": version},
            **fields,
        )
        self.assertTrue(self.leader.announce(announced))

    def pass_time(self, seconds):
        self.clock.now += seconds
        for _ in range(3):
            eventlet.sleep(0)

    def versions(self):
        section = commands.section_of(self.leader.replica.state())
        return [e.versions_by_model["m"] for e in section.upstreams_by_id.values()]

    def test_committed_together(self):
        for number in range(N_ENGINES):
            self.announce(number, 2, 2)
        self.assertEqual(self.committed, [])
        self.pass_time(1.0)
        self.assertEqual(self.versions(), [2] * N_ENGINES)
        self.assertEqual([type(e) for e in self.committed], [commands.PutUpstreams])

    def test_other_changes_are_committed_at_once(self):
        self.announce(0, 2, 2, is_leaving=True)
        self.assertEqual([type(e) for e in self.committed], [commands.PutUpstream])

    @tools.params("it leaves", "it departs")
    def test_leaves_before_its_load_is_committed(self, name):
        """An engine announces that it leaves while its load waits to be committed.

        The later commit of the load must not register the engine again.
        """
        self.announce(0, 2, 2)
        if name == "it leaves":
            self.announce(0, 2, 3, is_leaving=True)
        else:
            self.leader.send(test_fleet_incarnations.messages.Depart("i-0"))
        self.pass_time(1.0)
        section = commands.section_of(self.leader.replica.state())
        known = section.upstreams_by_id.get("i-0")
        self.assertTrue(known is None or known.is_leaving, name)

    def test_next_leader(self):
        """A load that the last leader left uncommitted is announced again."""
        self.announce(0, 2, 2)
        self.leader.replica.held = type(self.leader.replica.held)(2)
        self.announce(1, 2, 2)
        self.pass_time(1.0)
        self.assertEqual(self.versions()[:2], [1, 2])
        self.announce(0, 2, 3)
        self.pass_time(1.0)
        self.assertEqual(self.versions()[:2], [2, 2])
