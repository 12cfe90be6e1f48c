"""Which entries the core accepts, overwrites and commits."""

import unittest

from nose2 import tools

from bilberrydrum.state import events, log, messages
from tests import test_state_core

entry = test_state_core.entry


class Logs(unittest.TestCase):
    """Which entries are accepted, overwritten and committed."""

    def test_entry_of_earlier_term_is_committed_only_with_one_of_current_term(
        self,
    ) -> None:
        """A leader replicates an entry of an earlier term to a majority and crashes.

        The next leader may lack the entry and still have a newer last term, and then
        overwrites it. If the entry had been reported as committed, it would be lost.
        """
        one = test_state_core.CoreHarness("a", entry(2, 1), term=3)
        one.lead()
        one.sync()
        one.acknowledge("b", 2)
        self.assertEqual(one.node.commit_index, 0)
        one.acknowledge("b", 3)
        self.assertEqual(one.committed(), [1, 2, 3])

    @tools.params((1, 9, False), (5, 2, True), (2, 3, True), (2, 2, False))
    def test_vote_only_for_an_up_to_date_log(
        self, last_term: int, last_index: int, is_granted: bool
    ) -> None:
        one = test_state_core.CoreHarness("a", entry(2, 2), entry(3, 2), term=2)
        one.now = 1.0
        one.request_vote("b", 6, last_term=last_term, last_index=last_index)
        one.sync()
        self.assertIs(one.sent(messages.VoteReply)[0].is_granted, is_granted)

    def test_differing_suffix_is_replaced_once(self) -> None:
        one = test_state_core.CoreHarness("a", entry(2, 1), entry(3, 1), term=1)
        new = (entry(2, 2), entry(3, 2), entry(4, 2))
        for _ in range(2):
            one.append("b", new, previous_index=1, previous_term=1, term=2)
            one.sync()
            self.assertEqual(one.sent(messages.AppendReply)[0].index, 4)
        self.assertEqual(
            [each.term for each in one.node.log.between(1, 4)], [1, 2, 2, 2]
        )

    def test_delayed_older_append_removes_nothing(self) -> None:
        one = test_state_core.CoreHarness()
        new = (entry(2, 1), entry(3, 1), entry(4, 1))
        one.append("b", new)
        one.append("b", new[:1], previous_index=1, previous_term=1)
        self.assertEqual(one.node.log.last_index, 4)

    def test_gap_is_refused_with_the_index_to_continue_from(self) -> None:
        one = test_state_core.CoreHarness()
        one.append("b", (entry(9, 1),), previous_index=8, previous_term=1)
        one.sync()
        reply = one.sent(messages.AppendReply)[0]
        self.assertFalse(reply.is_success)
        self.assertEqual(reply.index, 1)

    def test_message_for_the_replica_whose_disk_was_lost_is_dropped(self) -> None:
        """A host restarts empty at its old address and receives delayed messages.

        A vote or an acknowledgement in the name of the old replica would count for
        votes and entries that were lost with the disk.
        """
        one = test_state_core.CoreHarness("new")
        one.now = 1.0
        one.request_vote("b", 2, receiver_id="a")
        self.assertEqual(one.effects, [])
        one.append("b", (entry(2, 1),), receiver_id="a")
        self.assertEqual(one.effects, [])

    def test_time_of_entries_never_falls(self) -> None:
        """The wall clock of a new leader is an hour behind the previous leader's."""
        one = test_state_core.CoreHarness(
            "a", log.Entry(2, 1, 5000.0, log.KIND_LOCAL, b"")
        )
        one.establish()
        times = []
        for wall_time in (1400.0, 1300.0, 9000.0, 8000.0):
            one.now += 1.0
            one.step(events.Propose(((log.KIND_LOCAL, b""),), wall_time))
            times.append(one.node.log.last_time)
        self.assertEqual(times, sorted(times))
        self.assertGreater(times[1], times[0])
        self.assertEqual(times[2], 9000.0)


class Snapshots(unittest.TestCase):
    def test_no_chunks_for_a_host_that_is_down(self) -> None:
        """A host is down for a day, and a snapshot has replaced the entries it lacks.

        Chunks that are sent repeatedly would fill its connection's queue at the leader.
        """
        one = test_state_core.CoreHarness()
        one.establish()
        items = ((log.KIND_LOCAL, b"x"),) * 3000
        one.step(events.Propose(items, 0.0))
        one.sync()
        one.acknowledge("b", one.node.log.last_index)
        one.step(events.SnapshotSaved(one.node.commit_index, 10_000_000))
        chunks = []
        for _ in range(100):
            one.now += 0.1
            one.step(events.Tick())
            chunks += [e for e in one.effects if isinstance(e, events.SendChunk)]
            one.acknowledge("b", one.node.log.last_index)
        self.assertEqual(chunks, [])
        fields = {"is_success": False, "index": 1, "sent_at": one.now}
        one.receive(messages.AppendReply, "c", **fields)
        chunks = [e for e in one.effects if isinstance(e, events.SendChunk)]
        self.assertEqual([each.offset for each in chunks], [0])
