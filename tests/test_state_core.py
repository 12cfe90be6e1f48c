"""The replication core: the effects of single events."""

import random
import unittest
from typing import Any

from nose2 import tools

from bilberrydrum import codec
from bilberrydrum.state import core, events, log, membership, messages, node

SETTINGS = node.Settings(heartbeat=0.1, election_timeout=0.6, drift_margin=0.05)
MEMBERS = membership.Membership(
    tuple(membership.ReplicaInfo(each, f"p-{each}", f"at-{each}") for each in "abc")
)


def entry(
    index: int, term: int, kind: int = log.KIND_LOCAL, data: bytes = b""
) -> log.Entry:
    return log.Entry(index, term, 1.0, kind, data)


def first_entry() -> log.Entry:
    return entry(1, 1, log.KIND_MEMBERSHIP, codec.encode(MEMBERS))


class CoreHarness:
    """One core of the group a, b and c; the test sends the others' messages."""

    def __init__(
        self, replica_id: str = "a", *later: log.Entry, term: int = 1, now: float = 0.0
    ) -> None:
        self.id = replica_id
        self.now = now
        recovered = node.Recovered(
            replica_id,
            events.HardState(term, ""),
            entries=(first_entry(), *later),
        )
        self.core = core.Core(SETTINGS, recovered, random.Random(1), now)
        self.effects: list[Any] = []

    @property
    def node(self) -> node.Node:
        return self.core.node

    def step(self, event: Any) -> list[Any]:
        self.effects = self.core.step(self.now, event)
        return self.effects

    def receive(self, cls: type[Any], sender: str, **fields: Any) -> list[Any]:
        fields = {"receiver_id": self.id, "term": self.node.term, **fields}
        message = cls(sender_id=sender, **fields)
        return self.step(events.Received(f"at-{sender}", message))

    def sent(self, cls: type[Any]) -> list[Any]:
        messages_sent = [e.message for e in self.effects if isinstance(e, events.Send)]
        return [each for each in messages_sent if isinstance(each, cls)]

    def sync(self) -> None:
        """Sync all writes; the effects are added to the previous ones."""
        before = self.effects
        self.step(events.Synced(self.node._write_number))
        self.effects = before + self.effects

    def wait(self, seconds: float) -> list[Any]:
        """Let time pass with a tick every 50 ms; return the messages sent."""
        sent = []
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            self.step(events.Tick())
            sent += self.sent(messages.PeerMessage)
        return sent

    def request_vote(self, sender: str, term: int, **fields: Any) -> list[Any]:
        fields = {
            "last_index": self.node.log.last_index,
            "last_term": self.node.log.last_term,
            **fields,
        }
        return self.receive(messages.VoteRequest, sender, term=term, **fields)

    def lead(self) -> None:
        """Let this replica be elected with the votes of b."""
        self.wait(1.3)
        term = self.node.term + 1
        grant = {"term": term, "is_granted": True}
        self.receive(messages.VoteReply, "b", is_pre_vote=True, **grant)
        self.sync()
        self.receive(messages.VoteReply, "b", **grant)

    def acknowledge(
        self, sender: str, index: int, sent_at: float | None = None
    ) -> None:
        self.receive(
            messages.AppendReply,
            sender,
            is_success=True,
            index=index,
            sent_at=self.now if sent_at is None else sent_at,
        )

    def establish(self) -> None:
        self.lead()
        self.sync()
        self.acknowledge("b", self.node.log.last_index)

    def append(
        self, sender: str, entries: tuple[log.Entry, ...] = (), **fields: Any
    ) -> None:
        last = self.node.log
        fields = {
            "previous_index": last.last_index,
            "previous_term": last.last_term,
            "commit_index": 0,
            "sent_at": 0.0,
            "entries": log.pack(entries) if entries else b"",
            **fields,
        }
        self.receive(messages.Append, sender, **fields)

    def committed(self) -> list[int]:
        commits = [each for each in self.effects if isinstance(each, events.Commit)]
        return [each.index for commit in commits for each in commit.entries]

    def has_lease(self) -> bool:
        return self.core.lease_end(self.now) > self.now


class AnswersAfterSync(unittest.TestCase):
    """A replica acknowledges only data that is synced.

    If it answered before the sync and lost power, it would restart without that data:
    it could vote twice in a term, or an acknowledged entry would be lost.
    """

    def test_vote_waits_for_its_sync(self) -> None:
        one = CoreHarness(now=0.0)
        one.now = 1.0
        one.request_vote("b", 2)
        self.assertEqual(one.sent(messages.VoteReply), [])
        one.sync()
        self.assertTrue(one.sent(messages.VoteReply)[0].is_granted)

    def test_append_is_acknowledged_after_its_sync(self) -> None:
        one = CoreHarness()
        one.append("b", (entry(2, 1),))
        self.assertEqual(one.sent(messages.AppendReply), [])
        one.sync()
        self.assertEqual(one.sent(messages.AppendReply)[0].index, 2)

    def test_heartbeat_acknowledges_only_synced_entries(self) -> None:
        one = CoreHarness()
        one.append("b", (entry(2, 1),))
        one.append("b")
        self.assertEqual(one.sent(messages.AppendReply)[0].index, 1)

    def test_candidate_counts_its_own_vote_after_its_sync(self) -> None:
        one = CoreHarness()
        one.wait(1.3)
        grant = {"term": 2, "is_granted": True}
        one.receive(messages.VoteReply, "b", is_pre_vote=True, **grant)
        one.receive(messages.VoteReply, "b", **grant)
        self.assertIsInstance(one.node.role, node.Candidate)
        one.sync()
        self.assertIsInstance(one.node.role, node.Leader)

    def test_leader_counts_itself_after_its_sync(self) -> None:
        one = CoreHarness()
        one.lead()
        one.acknowledge("b", 2)
        self.assertEqual(one.node.commit_index, 0)
        one.sync()
        self.assertEqual(one.committed(), [1, 2])

    def test_second_candidate_of_a_term_gets_no_vote_after_restart(self) -> None:
        one = CoreHarness()
        one.now = 1.0
        one.request_vote("b", 2)
        writes = [each for each in one.effects if isinstance(each, events.Write)]
        self.assertEqual(writes[-1].hard_state, events.HardState(2, "b"))
        recovered = node.Recovered("a", writes[-1].hard_state, entries=(first_entry(),))
        one.core = core.Core(SETTINGS, recovered, random.Random(1), one.now)
        one.now = 2.0
        one.request_vote("c", 2)
        one.sync()
        self.assertFalse(one.sent(messages.VoteReply)[0].is_granted)


class LeaderStickiness(unittest.TestCase):
    """A healthy leader is not deposed, and its followers respect its lease."""

    @tools.params(True, False)
    def test_candidate_is_ignored_while_the_leader_is_alive(self, is_pre: bool) -> None:
        """A partitioned replica returns with a higher term and requests votes.

        Replicas in contact with the leader must not even adopt the term, or the leader
        would have to step down because of it.
        """
        one = CoreHarness()
        one.now = 5.0
        one.append("b")
        one.now = 5.5
        one.request_vote("c", 9, is_pre_vote=is_pre)
        self.assertEqual(one.effects, [])
        self.assertEqual(one.node.term, 1)
        one.now = 5.61
        one.request_vote("c", 9, is_pre_vote=is_pre)
        one.sync()
        self.assertTrue(is_pre or one.sent(messages.VoteReply)[0].is_granted)

    def test_restarted_replica_keeps_the_lease_it_may_have_supported(self) -> None:
        """A follower answers the leader, restarts at once, and receives a vote request.

        It has lost the record of its answer, but the leader still serves reads under
        the lease that rests on it. So its start counts as contact with a leader.
        """
        one = CoreHarness(now=100.0)
        one.now = 100.5
        one.request_vote("c", 2)
        self.assertEqual(one.effects, [])
        one.now = 100.7
        one.request_vote("c", 2)
        one.sync()
        self.assertTrue(one.sent(messages.VoteReply)[0].is_granted)

    def test_isolated_replica_starts_no_term(self) -> None:
        """A replica is partitioned for a minute and then returns.

        Meanwhile it has sent only pre-votes, which were not answered, so its term has
        not risen. With a higher term, its return would depose the leader.
        """
        one = CoreHarness()
        sent = one.wait(60.0)
        self.assertGreater(len(sent), 50)
        vote_requests = [e for e in sent if not isinstance(e, messages.LeadershipQuery)]
        self.assertTrue(all(each.is_pre_vote for each in vote_requests))
        self.assertTrue(vote_requests)
        self.assertEqual(one.node.term, 1)

    def test_isolated_leader_stops_acting_within_its_lease(self) -> None:
        """The leader is partitioned without notice and still receives commands.

        Its lease must expire before the others elect a leader, and it must stop leading
        soon after. The commands that it alone received are never committed.
        """
        one = CoreHarness()
        one.establish()
        self.assertTrue(one.has_lease())
        cut_at = one.now
        one.step(events.Propose(((log.KIND_LOCAL, b"x"),), 0.0, 7))
        one.sync()
        one.wait(0.55)
        self.assertTrue(one.has_lease())
        one.now = cut_at + 0.58
        self.assertFalse(one.has_lease())
        one.wait(0.2)
        self.assertIsInstance(one.node.role, node.Follower)
        self.assertEqual(one.node.commit_index, 2)

    def test_suspended_leader_resumes_without_its_lease(self) -> None:
        """The leader is suspended until its lease has expired, and then serves a read.

        The read comes before any event or tick, so the lease must be compared with the
        clock at the time of the call.
        """
        one = CoreHarness()
        one.establish()
        one.now += 30.0
        self.assertFalse(one.has_lease())

    def test_late_answers_do_not_renew_the_lease(self) -> None:
        """A resumed leader processes replies that arrived while it was suspended.

        They extend the lease from the time at which the messages were sent, not from
        the time at which the replies are processed.
        """
        one = CoreHarness()
        one.establish()
        asked_at = one.now
        one.now += 30.0
        one.acknowledge("b", 2, sent_at=asked_at)
        one.acknowledge("c", 2, sent_at=asked_at)
        self.assertFalse(one.has_lease())

    def test_new_leader_reads_only_after_a_commit_in_its_term(self) -> None:
        one = CoreHarness()
        one.lead()
        one.acknowledge("b", 1)
        self.assertFalse(one.has_lease())
        one.sync()
        one.acknowledge("b", 2)
        self.assertTrue(one.has_lease())

    def test_learners_do_not_renew_the_lease(self) -> None:
        one = CoreHarness()
        one.establish()
        one.step(
            events.ProposeChange(
                membership.Change(
                    membership.ADD_LEARNER,
                    membership.ReplicaInfo("d", "p-d", "at-d", is_voter=False),
                ),
                0.0,
            )
        )
        for _ in range(20):
            one.wait(0.05)
            if one.has_lease():
                one.acknowledge("d", 1)
        self.assertFalse(one.has_lease())


class LeadershipTransfer(unittest.TestCase):
    def test_stopping_leader_names_its_successor_and_gives_up_its_lease(self) -> None:
        one = CoreHarness()
        one.establish()
        one.step(events.TransferLeadership())
        self.assertEqual(len(one.sent(messages.TimeoutNow)), 1)
        self.assertFalse(one.has_lease())

    def test_successor_is_elected_within_the_old_lease(self) -> None:
        one = CoreHarness("b")
        one.append("a")
        one.receive(messages.TimeoutNow, "a")
        one.sync()
        requests = one.sent(messages.VoteRequest)
        self.assertEqual({each.is_transfer for each in requests}, {True})
        other = CoreHarness("c")
        other.append("a")
        other.request_vote("b", 2, is_transfer=True)
        other.sync()
        self.assertTrue(other.sent(messages.VoteReply)[0].is_granted)
