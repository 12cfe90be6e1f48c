"""Errors that nobody expects, in tasks that run for as long as their process."""

import unittest
from unittest import mock

import eventlet

from bilberrydrum.fleet import commands, feeds, messages, policy
from tests import helpers, test_fleet_incarnations

GATEWAY = mock.Mock(address="10.0.0.1:1")


def let_others_run():
    for _ in range(10):
        eventlet.sleep(0)


class ControlLeader(unittest.TestCase):
    """The control group's leader goes on after an error in one of its tasks."""

    def setUp(self):
        self.clock = self.enterContext(helpers.manual_clock())
        self.leader = test_fleet_incarnations.Leader(self.clock)
        self.addCleanup(self.leader.service.stop)
        self.leader.put_policy(test_fleet_incarnations.SERVICE)

    def pass_time(self, seconds):
        for _ in range(int(seconds)):
            self.clock.advance(1.0)
            let_others_run()

    def test_sweep_that_fails(self):
        """An upstream that is gone is sent requests until another process leads.

        An unexpected error comes up while it is marked as silent. It ended the task
        that looks for silent upstreams, and for quarantines whose time is up; the
        leader went on answering, so no other took its place.
        """
        propose = self.leader.replica.propose
        failed = []

        def fail_once(command, timeout=5.0):
            if isinstance(command, commands.MarkSilent) and not failed:
                failed.append(command)
                raise KeyError("a fault of this program")
            return propose(command, timeout)

        self.leader.replica.propose = fail_once
        self.assertTrue(self.leader.announce(test_fleet_incarnations.upstream()))
        self.pass_time(test_fleet_incarnations.SILENT_SECONDS + 4)
        self.assertTrue(failed)
        (known,) = self.leader.section.upstreams_by_id.values()
        self.assertTrue(known.is_silent)

    def test_push_that_fails(self):
        """Changes reach gateways with their next renewal only, until another leads.

        An unexpected error comes up while one change is told to all. It ended the task
        that tells them.
        """
        sent = []
        self.leader.carrier.send = lambda address, message: sent.append(message)
        request = messages.Subscribe()
        handler = self.leader.carrier.handlers_by_class[messages.Subscribe]
        handler(GATEWAY, request)
        let_others_run()
        with mock.patch.object(feeds.Feeds, "make", side_effect=KeyError("a fault")):
            self.put_policy(2)
        self.assertEqual(sent, [])
        self.put_policy(3)
        self.assertEqual([each.policy_index > 0 for each in sent], [True])

    def put_policy(self, version):
        self.leader.tell(messages.SubmitPolicy(policy.Policy(version), b""))
        let_others_run()
