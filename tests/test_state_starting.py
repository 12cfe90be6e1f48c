"""Replicas that start: whom they leave alone, and for how long."""

import random
import unittest

from nose2 import tools

from bilberrydrum.state import messages, node
from tests import test_state_core
from tests.fakes import replica_group


class One(unittest.TestCase):
    """One replica that has just started; the test plays b and c."""

    def setUp(self):
        self.one = test_state_core.One()

    def answer(self, sender, is_leading=False, life=0):
        number = self.one.node.start_number + life
        self.one.receive(
            messages.Leading, sender, start_number=number, is_leading=is_leading
        )

    def stands_within(self, seconds):
        sent = self.one.wait(seconds)
        return any(isinstance(each, messages.VoteRequest) for each in sent)

    def test_asks_all_voters(self):
        sent = self.one.wait(0.05)
        asked = {e.receiver_id for e in sent if isinstance(e, messages.AskLeading)}
        self.assertEqual(asked, {"b", "c"})

    @tools.params(
        ("nobody leads", [("b", False), ("c", False)], True),
        ("c does not answer", [("b", False)], False),
        ("c leads", [("b", False), ("c", True)], False),
        ("c leads by now", [("c", False), ("b", False), ("c", True)], True),
        ("an earlier life was answered", [("b", False, 1), ("c", False, 1)], False),
    )
    def test_stands_at_once(self, name, answers, expected):
        """All replicas were killed and start together, or only this one did.

        Its earlier life may have answered a leader, whose lease would be broken by a
        vote for another; only if all voters say that they do not lead there is none.
        """
        for each in answers:
            self.answer(*each)
        self.assertEqual(self.stands_within(0.4), expected, name)

    def test_votes_at_once(self):
        self.one.ask_vote("b", 2, is_pre_vote=True)
        self.assertEqual(self.one.sent(messages.VoteReply), [])
        self.answer("b")
        self.answer("c")
        self.one.ask_vote("b", 2, is_pre_vote=True)
        self.assertTrue(self.one.sent(messages.VoteReply)[0].is_granted)

    def test_heard_leader_is_left_alone(self):
        """The answers come late: a leader was elected and heard meanwhile."""
        self.answer("b")
        self.one.append("c")
        self.answer("c")
        self.one.ask_vote("b", 2, is_pre_vote=True)
        self.assertEqual(self.one.sent(messages.VoteReply), [])

    @tools.params((node.Leader, True), (node.Follower, False))
    def test_says_whether_it_leads(self, role, expected):
        if role is node.Leader:
            self.one.establish()
        self.one.receive(messages.AskLeading, "b", start_number=7)
        answer = self.one.sent(messages.Leading)[0]
        self.assertEqual((answer.start_number, answer.is_leading), (7, expected))

    def test_answers_for_an_earlier_replica_of_its_host(self):
        """A host lost its disk; its earlier replica, "z", may have led.

        That replica's process has ended, so its lease rests on nobody. Whoever asks
        for it must not wait for an answer that cannot come.
        """
        self.one.receive(
            messages.AskLeading, "b", receiver_id="z", start_number=7, term=9
        )
        answer = self.one.sent(messages.Leading)[0]
        self.assertEqual((answer.sender_id, answer.receiver_id), ("z", "b"))
        self.assertEqual((answer.start_number, answer.is_leading), (7, False))
        self.assertEqual(self.one.node.term, 1)

    @tools.params(
        (messages.VoteRequest, {"last_index": 9, "last_term": 9}),
        (messages.StandNow, {}),
    )
    def test_does_nothing_else_for_it(self, cls, fields):
        """A vote in its name would count one that the group has lost."""
        sent = self.one.receive(cls, "b", receiver_id="z", term=9, **fields)
        self.assertEqual(sent, [])


class Restarts(unittest.TestCase):
    """All replicas of a group are killed and start again."""

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
        """Without asking, a leader is there after 0.6 to 1.3 s."""
        waits = [self.seconds_without_leader(seed, 0) for seed in range(12)]
        waits.sort()
        self.assertLess(waits[len(waits) // 2], 0.6, waits)

    def test_one_comes_back_empty(self):
        """All lose power and one its disk: the other two need not wait for it.

        Without an answer for its earlier replica a leader is there after 0.6 to 1.3 s,
        in which no item of a batch runs.
        """
        waits = [self.seconds_without_leader(seed, 0, n_wiped=1) for seed in range(12)]
        waits.sort()
        self.assertLess(waits[len(waits) // 2], 0.6, waits)

    def test_one_stays_away(self):
        """The one that is not there may lead with a lease: it is waited out."""
        for seed in range(6):
            wait = self.seconds_without_leader(seed, 1)
            self.assertGreater(wait, replica_group.SETTINGS.election_timeout * 0.95)

    def test_leases_hold_while_replicas_restart(self):
        """Replicas restart by turns, with messages lost, doubled and out of order.

        The group's checks fail if two leaders hold a lease in different terms, or if a
        leader answers from the past.
        """
        for seed in range(10):
            group = replica_group.Group(3, 1000 + seed)
            draw = random.Random(seed)
            for _ in range(12):
                group.run(draw.uniform(0.1, 0.8), loss=0.1, doubling=0.1, crashes=0.004)
            group.run(4.0)
            self.assertIsNotNone(group.leader())
