"""Reads under the lease, waiters for log entries, and bootstrapping a group."""

import unittest
from typing import Any

from nose2 import tools

from bilberrydrum import codec, options
from bilberrydrum.state import applier, bootstrap, messages, serving
from misc.measures import state_process


class Sent:
    """Records what is sent."""

    def __init__(self) -> None:
        self.messages: list[Any] = []

    def __call__(self, address: str, message: Any) -> bool:
        self.messages.append(message)
        return True


class Reading(unittest.TestCase):
    def setUp(self) -> None:
        self.sent = Sent()
        self.outbox = serving.Outbox(self.sent)
        self.has_lease = True
        self.lease_ends_while_answering = False
        self.reads = serving.Reads(self.outbox, self.answer)
        self.reads.add(serving.Read("at", "c", 1, state_process.Read("k"), 10.0))

    def answer(self, query: object) -> Any:
        if self.lease_ends_while_answering:
            self.has_lease = False
        return state_process.Sum(3)

    def serve(self, commit_index: int, applied_index: int) -> int:
        self.reads.serve(commit_index, applied_index, lambda: self.has_lease)
        self.outbox.flush()
        return len(self.sent.messages)

    def test_answered_once_all_that_was_committed_is_applied(self) -> None:
        """A command was committed just before the read, and is not yet applied."""
        self.assertEqual(self.serve(commit_index=7, applied_index=6), 0)
        self.assertEqual(self.serve(commit_index=9, applied_index=7), 1)
        total = codec.decode(self.sent.messages[0].items[0].data).total
        self.assertEqual(total, 3)

    def test_waits_without_the_lease(self) -> None:
        self.has_lease = False
        self.assertEqual(self.serve(7, 7), 0)
        self.has_lease = True
        self.assertEqual(self.serve(7, 7), 1)

    def test_answer_is_withheld_if_the_lease_expires_meanwhile(self) -> None:
        """The process is suspended after it has checked the lease, and resumes late.

        Another leader has committed commands meanwhile, so the answer is out of date.
        The lease is checked again before the answer is sent, and has expired.
        """
        self.lease_ends_while_answering = True
        self.assertEqual(self.serve(7, 7), 0)
        self.assertEqual(len(self.reads), 1)

    def test_client_is_redirected_after_a_timeout(self) -> None:
        self.has_lease = False
        self.assertEqual(self.reads.pop_expired(10.5), [])
        self.assertEqual(len(self.reads.pop_expired(11.5)), 1)


class Waiting(unittest.TestCase):
    def setUp(self) -> None:
        self.sent = Sent()
        self.waiters = serving.Waiters(self.sent)

    @tools.params((2, True), (3, False))
    def test_answer_is_sent_only_for_the_entry_that_was_proposed(
        self, term: int, is_answered: bool
    ) -> None:
        """The leader lost its leadership, and its entry was overwritten.

        The answer of the entry that is now at this index must not be sent to the client
        of the overwritten one.
        """
        waiter = serving.Waiter(2, None, "at", "c", 1, 5)
        self.waiters.add(9, waiter)
        self.waiters.complete(applier.Applied(9, term, b"answer"))
        self.waiters.outbox.flush()
        self.assertEqual(bool(self.sent.messages), is_answered)

    def test_replaced_proposal_is_reported_as_not_in_the_log(self) -> None:
        outcomes: list[Any] = []
        self.waiters.add(9, serving.Waiter(2, done=outcomes.append))
        self.waiters.add(9, serving.Waiter(4, done=outcomes.append))
        self.assertEqual(outcomes, [None])


class BootstrapTest(unittest.TestCase):
    """An empty host bootstraps a group only if all others are empty too."""

    MEMBERS = tuple(options.Member(each, f"at-{each}") for each in "abc")

    def bootstrap(
        self, process_id: str = "a", replica_id: str = "r1"
    ) -> bootstrap.Bootstrap:
        return bootstrap.Bootstrap(process_id, replica_id, "at-a", self.MEMBERS)

    @tools.params(
        ("all are empty", "a", {"b": True, "c": True}, True),
        ("one is silent", "a", {"b": True}, False),
        ("one holds the group", "a", {"b": True, "c": False}, False),
        ("another is lower", "b", {"a": True, "c": True}, False),
    )
    def test_bootstraps(
        self, name: str, process_id: str, empty: dict[str, bool], bootstraps: bool
    ) -> None:
        """A host that lost its disk is restarted while one of the others is down.

        If it bootstrapped a group with the third, which is empty too, there would be
        two groups: the data of the first is still on the host that is down.
        """
        bootstrap_ = self.bootstrap(process_id)
        for other, is_empty in empty.items():
            bootstrap_.record_reply(
                messages.ProbeReply(other, f"r-{other}", is_empty, "r1")
            )
        self.assertEqual(bootstrap_.first_membership() is not None, bootstraps, name)

    def test_answer_to_an_earlier_replica_is_not_counted(self) -> None:
        """All were empty, a host bootstrapped the group, and then it lost its disk.

        An answer to a probe of its former replica arrives late and says "empty". If it
        counted, the host would bootstrap a second group.
        """
        bootstrap_ = self.bootstrap(replica_id="r2")
        for other in "bc":
            bootstrap_.record_reply(
                messages.ProbeReply(other, f"r-{other}", True, "r1")
            )
        self.assertIsNone(bootstrap_.first_membership())

    def test_existing_group_is_remembered(self) -> None:
        bootstrap_ = self.bootstrap()
        bootstrap_.record_reply(messages.ProbeReply("b", "r-b", False, "r1"))
        for other in "bc":
            bootstrap_.record_reply(
                messages.ProbeReply(other, f"r-{other}", True, "r1")
            )
        self.assertIsNone(bootstrap_.first_membership())
