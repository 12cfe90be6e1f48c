"""Replicas that have just started: when they vote and start elections."""

import random
import unittest

from nose2 import tools

from bilberrydrum.state import messages, node
from tests import test_state_core
from tests.fakes import replica_group


class JustStarted(unittest.TestCase):
    """One replica that has just started; the test sends the replies of b and c."""

    def setUp(self):
        self.one = test_state_core.CoreHarness()

    def reply(self, sender, is_leading=False, incarnation=0):
        number = self.one.node.start_number + incarnation
        self.one.receive(
            messages.LeadershipReply, sender, start_number=number, is_leading=is_leading
        )

    def starts_election_within(self, seconds):
        sent = self.one.wait(seconds)
        return any(isinstance(each, messages.VoteRequest) for each in sent)

    def test_asks_all_voters(self):
        sent = self.one.wait(0.05)
        queried_ids = {
            e.receiver_id for e in sent if isinstance(e, messages.LeadershipQuery)
        }
        self.assertEqual(queried_ids, {"b", "c"})

    @tools.params(
        ("nobody leads", [("b", False), ("c", False)], True),
        ("c does not answer", [("b", False)], False),
        ("c leads", [("b", False), ("c", True)], False),
        ("c leads by now", [("c", False), ("b", False), ("c", True)], True),
        (
            "the replies are to an earlier incarnation",
            [("b", False, 1), ("c", False, 1)],
            False,
        ),
    )
    def test_starts_election_at_once(self, name, answers, expected):
        """All replicas, or only this one, were killed and restarted.

        The replica's previous incarnation may have acknowledged a leader's message. A
        vote for another candidate would then violate the leader's lease. There is no
        such lease only if all voters reply that they do not lead.
        """
        for each in answers:
            self.reply(*each)
        self.assertEqual(self.starts_election_within(0.4), expected, name)

    def test_votes_at_once(self):
        self.one.request_vote("b", 2, is_pre_vote=True)
        self.assertEqual(self.one.sent(messages.VoteReply), [])
        self.reply("b")
        self.reply("c")
        self.one.request_vote("b", 2, is_pre_vote=True)
        self.assertTrue(self.one.sent(messages.VoteReply)[0].is_granted)

    def test_live_leader_is_not_challenged(self):
        """The replies are late; meanwhile a leader was elected and sent a message."""
        self.reply("b")
        self.one.append("c")
        self.reply("c")
        self.one.request_vote("b", 2, is_pre_vote=True)
        self.assertEqual(self.one.sent(messages.VoteReply), [])

    @tools.params((node.Leader, True), (node.Follower, False))
    def test_replies_whether_it_leads(self, role, expected):
        if role is node.Leader:
            self.one.establish()
        self.one.receive(messages.LeadershipQuery, "b", start_number=7)
        reply = self.one.sent(messages.LeadershipReply)[0]
        self.assertEqual((reply.start_number, reply.is_leading), (7, expected))

    def test_answers_for_an_earlier_replica_of_its_host(self):
        """A host lost its disk; its earlier replica, "z", may have led.

        The process of "z" has ended, so no process acts under its lease. Replicas that
        query "z" must not have to wait for a reply that cannot come.
        """
        self.one.receive(
            messages.LeadershipQuery, "b", receiver_id="z", start_number=7, term=9
        )
        reply = self.one.sent(messages.LeadershipReply)[0]
        self.assertEqual((reply.sender_id, reply.receiver_id), ("z", "b"))
        self.assertEqual((reply.start_number, reply.is_leading), (7, False))
        self.assertEqual(self.one.node.term, 1)

    @tools.params(
        (messages.VoteRequest, {"last_index": 9, "last_term": 9}),
        (messages.TimeoutNow, {}),
    )
    def test_ignores_other_messages_for_an_earlier_replica(self, cls, fields):
        """A vote in the name of the earlier replica would count for lost data."""
        sent = self.one.receive(cls, "b", receiver_id="z", term=9, **fields)
        self.assertEqual(sent, [])


class Restarts(unittest.TestCase):
    """All replicas of a group are killed and restarted."""

    def seconds_without_leader(self, seed, n_late, n_wiped=0):
        group = replica_group.Group(3, seed)
        group.run(3.0)
        hosts = list(group.hosts_by_name.values())
        for host in hosts:
            group.crash(host)
        for host in hosts[:n_wiped]:
            group.lose_disk(host)
        for host in hosts[max(n_late, n_wiped) :]:
            group.start(host)
        began = group.now
        while group.leader() is None and group.now - began < 5.0:
            group.run(0.02)
        return group.now - began

    def test_all_at_once(self):
        """Without leadership queries, it takes 0.6 to 1.3 s until there is a leader."""
        waits = [self.seconds_without_leader(seed, 0) for seed in range(12)]
        waits.sort()
        self.assertLess(waits[len(waits) // 2], 0.6, waits)

    def test_one_comes_back_empty(self):
        """All lose power, and one its disk; the other two need not wait for that one.

        Without a reply for its earlier replica, it takes 0.6 to 1.3 s until there is a
        leader, during which no item of a batch runs.
        """
        waits = [self.seconds_without_leader(seed, 0, n_wiped=1) for seed in range(12)]
        waits.sort()
        self.assertLess(waits[len(waits) // 2], 0.6, waits)

    def test_one_stays_down(self):
        """The one that is down may hold a leader lease, which must expire first."""
        for seed in range(6):
            wait = self.seconds_without_leader(seed, 1)
            self.assertGreater(wait, replica_group.SETTINGS.election_timeout * 0.95)

    def test_leases_hold_while_replicas_restart(self):
        """Replicas restart in turn; messages are lost, duplicated and reordered.

        The group's checks fail if two leaders hold a lease in different terms, or if a
        leader serves a stale read.
        """
        for seed in range(10):
            group = replica_group.Group(3, 1000 + seed)
            draw = random.Random(seed)
            for _ in range(12):
                group.run(draw.uniform(0.1, 0.8), loss=0.1, doubling=0.1, crashes=0.004)
            group.run(4.0)
            self.assertIsNotNone(group.leader())
