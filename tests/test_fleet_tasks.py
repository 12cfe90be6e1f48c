"""Unexpected errors in tasks that must run for as long as their process."""

import unittest
from unittest import mock

import eventlet
import result
from nose2 import tools

from bilberrydrum import codec, quarantine
from bilberrydrum.fleet import commands, feeds, messages, policy, subscriber
from tests import helpers, test_fleet_incarnations

GATEWAY = mock.Mock(address="10.0.0.1:1")


def let_others_run():
    for _ in range(10):
        eventlet.sleep(0)


class ControlLeader(unittest.TestCase):
    """The control group's leader continues after an error in one of its tasks."""

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
        """A crashed upstream is sent requests until another process leads.

        An unexpected error occurs while it is marked as silent. The error ended the
        task that looks for silent upstreams and expired quarantines. As the leader went
        on answering, no other process was elected.
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
        """Changes reach gateways only with their renewals, until another process leads.

        An unexpected error occurs while a change is sent to all subscribers. The error
        ended the task that pushes changes.
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
        self.leader.send(messages.SubmitPolicy(policy.Policy(version), b""))
        let_others_run()


class FakeCalls:
    """Calls to a leader that has a policy and a record of crashes."""

    def __init__(self):
        book = quarantine.CrashHistory()
        for upstream_id, at in (("a", 0.0), ("b", 1.0)):
            book.record(quarantine.Crash("f", "POST h/x", upstream_id), at)
        self.policy = codec.encode(policy.Policy(1))
        self.crashes = codec.encode(book)
        self.n_calls = 0

    def learn(self, addresses):
        pass

    def call(self, request, timeout):
        self.n_calls += 1
        return result.Ok(self.feed(request))

    def feed(self, request):
        policy_ = self.policy if request.policy_index < 1 else b""
        crashes = self.crashes if request.crashes_index < 1 else b""
        return messages.Feed(1, policy_, 0, b"", crashes_index=1, crashes=crashes)


class SubscriberTask(unittest.TestCase):
    def setUp(self):
        self.clock = self.enterContext(helpers.manual_clock())
        self.calls = FakeCalls()
        self.carrier = mock.Mock()
        self.view = subscriber.Subscriber(
            self.carrier, self.calls, messages.Subscribe, 5.0
        )
        self.addCleanup(self.view.stop)

    def renew(self, n_times):
        for _ in range(n_times):
            self.clock.advance(subscriber.RENEW_SECONDS)
            let_others_run()

    @tools.params("policy", "crashes")
    def test_answer_that_cannot_be_read(self, kind):
        """A gateway refuses all requests until its process is restarted.

        It cannot decode the answer to a renewal. The error ended its renewal task, and
        the lease of its policy expired.
        """
        with mock.patch.object(self.calls, kind, b"damaged"):
            self.view.start()
            let_others_run()
        self.assertEqual(self.calls.n_calls, 1)
        self.assertFalse(self.view.is_policy_confirmed())
        self.renew(3)
        self.check_up_to_date()

    @tools.params("policy", "crashes")
    def test_push_that_cannot_be_read(self, kind):
        """A gateway accepts revoked keys for as long as it runs.

        It cannot decode a push of the control group's leader. It advanced its index all
        the same, so the policy was not sent again, and renewals confirmed the old
        policy.
        """
        with mock.patch.object(self.calls, kind, b"damaged"):
            damaged = self.calls.feed(messages.Subscribe())
        self.view.start()
        on_feed = self.carrier.on.call_args.args[1]
        with self.assertRaises(codec.DecodeError):
            on_feed(None, damaged)
        # The part that could be decoded is in force.
        self.assertEqual(self.view.has_policy, kind != "policy")
        self.renew(3)
        self.check_up_to_date()

    def check_up_to_date(self):
        self.assertTrue(self.view.is_policy_confirmed())
        self.assertEqual(self.view.routes.policy.version, 1)
        self.assertIs(self.view.crashes.standing("f"), quarantine.Standing.DOUBTFUL)
