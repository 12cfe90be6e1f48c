"""Bundles in the replicated state: racing operators, lost answers, resent changes."""

import itertools
import unittest
import unittest.mock
from typing import Any

import attrs
import hypothesis
from hypothesis import strategies
from nose2 import tools

from bilberrydrum import clock, codec, reasons
from bilberrydrum.bundles import commands, model, queries, records
from bilberrydrum.state import machine
from tests.fakes import direct_state


def submit(
    version: int, parent: int, content: str = "a", author: str = "ana"
) -> commands.SubmitBundle:
    return commands.SubmitBundle(
        version, parent, f"digest-{content}", author, model.CUT_REFUSE, content
    )


def changes(
    version: int, parent: int, content: str = "a", operator: str = "ana"
) -> list[Any]:
    digest = f"digest-{content}"
    return [
        submit(version, parent, content, operator),
        commands.SignOffBundle(version, digest, operator),
        commands.RollBundle(version, digest, operator),
    ]


def bring_in_force(state: direct_state.DirectState, version: int, parent: int) -> None:
    for command in changes(version, parent, f"c{version:06}"):
        answer = state.apply(command)
        assert isinstance(answer, commands.Changed), answer
    state.apply(commands.MarkInForce(version))


def section(state: direct_state.DirectState) -> records.Section:
    return records.read(state.state())


class TestLifeCycle(unittest.TestCase):
    def setUp(self) -> None:
        self.state = direct_state.DirectState()

    def test_draft_signed_off_rolling_in_force(self) -> None:
        states = []
        for command in changes(1, 0):
            self.state.apply(command)
            states.append(section(self.state).records_by_version[1].state)
        self.assertEqual(states, ["draft", "signed-off", "rolling"])
        self.assertEqual(section(self.state).in_force, 0)
        self.state.apply(commands.MarkInForce(1))
        self.assertEqual(section(self.state).in_force, 1)
        self.assertEqual(section(self.state).records_by_version[1].state, "in-force")

    @tools.params(
        ("draft", commands.RollBundle(3, "digest-a", "ana"), "BUNDLE_NOT_SIGNED_OFF"),
        ("no such", commands.RollBundle(9, "digest-a", "ana"), "NOT_FOUND"),
        ("no such", commands.SignOffBundle(9, "digest-a", "ana"), "NOT_FOUND"),
        ("digest", commands.SignOffBundle(3, "digest-b", "ana"), "BUNDLE_CONFLICT"),
        ("digest", commands.RollBundle(3, "digest-b", "ana"), "BUNDLE_CONFLICT"),
        ("content", submit(3, 2, "b", "eva"), "BUNDLE_CONFLICT"),
        ("old parent", submit(4, 1), "BUNDLE_STALE"),
        ("no parent", submit(4, 0), "BUNDLE_STALE"),
        ("future parent", submit(5, 3), "BUNDLE_STALE"),
        ("version in force", submit(2, 1, "z"), "BUNDLE_CONFLICT"),
        ("skipped version", submit(1, 0, "z"), "BUNDLE_CONFLICT"),
    )
    def test_refusal_changes_nothing(
        self, name: str, command: Any, reason: str
    ) -> None:
        bring_in_force(self.state, 1, 0)
        bring_in_force(self.state, 2, 1)
        self.state.apply(submit(3, 2))
        before = codec.encode(section(self.state))
        answer = self.state.apply(command)
        self.assertIsInstance(answer, commands.Refused, name)
        self.assertEqual(answer.reason, reasons.Reason[reason])
        self.assertEqual(codec.encode(section(self.state)), before)

    def test_draft_made_from_a_superseded_parent_is_not_rolled(self) -> None:
        """Two operators make bundles 2 and 3 from bundle 1; 2 is rolled first.

        Rolling 3 would undo the changes of 2, which nobody decided. Its operator gets
        the answer that 2 is newest.
        """
        bring_in_force(self.state, 1, 0)
        for command in changes(3, 1, "late")[:2]:
            self.state.apply(command)
        bring_in_force(self.state, 2, 1)
        answer = self.state.apply(commands.RollBundle(3, "digest-late", "eva"))
        self.assertEqual(answer.reason, reasons.Reason.BUNDLE_STALE)
        self.assertEqual(records.newest(section(self.state)), 2)

    def test_later_roll_replaces_the_earlier_which_is_never_in_force(self) -> None:
        """Bundle 2 is still rolling, delayed by a partition, when 3 is rolled.

        Gateways continue to 3. The leader's command that 2 is in force is delayed and
        applied last; it must not revert the deployment from 3.
        """
        bring_in_force(self.state, 1, 0)
        for command in [*changes(2, 1, "b"), *changes(3, 2, "c")]:
            self.assertIsInstance(self.state.apply(command), commands.Changed)
        self.state.apply(commands.MarkInForce(2))
        self.assertEqual(section(self.state).in_force, 1)
        self.state.apply(commands.MarkInForce(3))
        self.assertEqual(self.state.apply(commands.MarkInForce(2)).version, 3)
        self.assertEqual(section(self.state).records_by_version[2].state, "superseded")

    def test_drafts_on_one_parent_are_bounded(self) -> None:
        for version in range(1, records.MAX_OPEN_DRAFTS + 1):
            answer = self.state.apply(submit(version, 0))
            self.assertIsInstance(answer, commands.Changed)
        answer = self.state.apply(submit(1000, 0))
        self.assertEqual(answer.reason, reasons.Reason.BUNDLE_TOO_MANY_DRAFTS)

    @unittest.mock.patch.object(records, "RECORDS_KEPT", 200)
    def test_state_size_is_bounded_under_many_changes(self) -> None:
        """After weeks of changes, the state is no larger than after some days."""
        sizes = []
        for version in range(1, 1200):
            bring_in_force(self.state, version, version - 1)
            # From there on, all version numbers kept have the same encoded size.
            if version > records.RECORDS_KEPT + 300 and version % 100 == 0:
                sizes.append(len(codec.encode(section(self.state))))
        # In addition to those, the one in force and the newest are kept.
        kept = section(self.state).records_by_version
        self.assertLessEqual(len(kept), records.RECORDS_KEPT + 2)
        n_contents = sum(bool(record.content) for record in kept.values())
        self.assertLessEqual(n_contents, records.CONTENTS_KEPT + 2)
        self.assertLess(max(sizes) - min(sizes), 100)

    def test_queries_show_the_bundles(self) -> None:
        bring_in_force(self.state, 1, 0)
        self.state.apply(submit(2, 1, "b"))
        listed = self.state.query(queries.ListBundles()).unwrap()
        self.assertEqual((listed.in_force, listed.rolling), (1, 0))
        self.assertEqual([each.version for each in listed.bundles], [1, 2])
        found = self.state.query(queries.GetBundle(2)).unwrap()
        self.assertEqual(found.record.content, "b")
        self.assertIsNone(self.state.query(queries.GetBundle(7)).unwrap().record)


# Faults of one change between an operator and the state group: none; its answer is lost
# and it is sent again; a duplicate arrives after everything else. A change that is lost
# itself and sent again just arrives later, which another of the orders covers.
FAULTS = ("none", "answer-lost", "late-copy")


@attrs.define
class Operator:
    """An operator who sends each change until it is answered, and then the next."""

    name: str
    changes: list[Any]
    answers: list[Any] = attrs.field(factory=list)


class TestOperatorsRace(unittest.TestCase):
    def test_every_interleaving_and_fault(self) -> None:
        """Two operators bring different contents under version 2, made from 1.

        Their changes interleave in every order, and at every step an answer is lost and
        its change sent again, or a duplicate arrives late. The first submission wins;
        the other operator gets the winner's digest and name; a change that is sent
        again gets its first answer; the version in force never falls.
        """
        n_schedules = 0
        for order in sorted(set(itertools.permutations("aaaeee"))):
            for faulty_step in range(6):
                for fault in FAULTS:
                    with self.subTest(order=order, step=faulty_step, fault=fault):
                        self.run_schedule(order, faulty_step, fault)
                        n_schedules += 1
        self.assertEqual(n_schedules, 20 * 6 * len(FAULTS))

    def run_schedule(
        self, order: tuple[str, ...], faulty_step: int, fault: str
    ) -> None:
        state = direct_state.DirectState()
        bring_in_force(state, 1, 0)
        operators = {
            "a": Operator("ana", changes(2, 1, "ana", "ana")),
            "e": Operator("eva", changes(2, 1, "eva", "eva")),
        }
        late = []
        for step, key in enumerate(order):
            operator = operators[key]
            command = operator.changes[len(operator.answers)]
            answer = state.apply(command)
            if step == faulty_step and fault == "answer-lost":
                repeated = state.apply(command)
                self.assertEqual(repeated, answer)
            if step == faulty_step and fault == "late-copy":
                late.append((command, answer))
            operator.answers.append(answer)
        for command, answer in late:
            self.assertEqual(state.apply(command), answer)
        winner, loser = (operators[key] for key in dict.fromkeys(order))
        for answer in winner.answers:
            self.assertIsInstance(answer, commands.Changed)
        for answer in loser.answers:
            self.assertEqual(answer.reason, reasons.Reason.BUNDLE_CONFLICT)
            self.assertEqual(answer.winner_digest, f"digest-{winner.name}")
            self.assertEqual(answer.winner_author, winner.name)
        record = section(state).records_by_version[2]
        self.assertEqual(record.content, winner.name)
        self.assertEqual(section(state).rolling, 2)

    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("submit", "sign", "roll", "note")),
                strategies.integers(1, 5),
                strategies.integers(0, 4),
                strategies.sampled_from("xy"),
            ),
            max_size=40,
        )
    )
    def test_any_order_of_changes(self, steps: list[Any]) -> None:
        """Operators send any changes, in any order, any number of times.

        The version in force and the newest version never fall, a version number keeps
        its content, and an accepted change gets the same answer each time it is sent.
        """
        state = direct_state.DirectState()
        accepted: dict[Any, Any] = {}
        contents: dict[int, str] = {}
        for kind, version, parent, content in steps:
            before = (section(state).in_force, records.newest(section(state)))
            command: Any = {
                "submit": submit(version, parent, content),
                "sign": commands.SignOffBundle(version, f"digest-{content}", "o"),
                "roll": commands.RollBundle(version, f"digest-{content}", "o"),
                "note": commands.MarkInForce(version),
            }[kind]
            answer = state.apply(command)
            after = (section(state).in_force, records.newest(section(state)))
            self.assertGreaterEqual(after[0], before[0])
            self.assertGreaterEqual(after[1], before[1])
            if isinstance(answer, commands.Changed):
                self.assertEqual(accepted.setdefault(command, answer), answer)
                self.assertEqual(contents.setdefault(version, content), content)
            elif command in accepted:
                self.fail(f"{command} was accepted before, now {answer}")


class TestRestore(unittest.TestCase):
    @tools.params(("older copy", 2, 3), ("copy of today", 3, 3), ("newer copy", 4, 4))
    def test_restore_reverts_no_accepted_bundle(
        self, name: str, version_of_copy: int, in_force: int
    ) -> None:
        """A copy of the state is restored to a group that has version 3 in force."""
        states = [direct_state.DirectState() for _ in range(2)]
        for state, newest in zip(states, (3, version_of_copy), strict=True):
            for version in range(1, newest + 1):
                bring_in_force(state, version, version - 1)
        current, copy = (section(state) for state in states)
        machine.keep_rising(copy, current)
        self.assertEqual(copy.in_force, in_force, name)
        self.assertEqual(copy.records_by_version[in_force].state, "in-force")

    def test_version_on_which_gateways_acted_is_refused(self) -> None:
        state = direct_state.DirectState()
        bring_in_force(state, 1, 0)
        state.apply(commands.RecordSeenVersion(7))
        refused = state.apply(submit(7, 1))
        self.assertEqual(refused.reason, reasons.Reason.BUNDLE_STALE)
        self.assertIsInstance(state.apply(submit(8, 1)), commands.Changed)


class TestClock(unittest.TestCase):
    def test_apply_reads_no_clock(self) -> None:
        """Replicas apply the same commands at different times to the same state."""
        states = [direct_state.DirectState() for _ in range(2)]
        for state in states:
            bring_in_force(state, 1, 0)
            clock.sleep(0.001)
        encoded = [codec.encode(section(state)) for state in states]
        self.assertEqual(encoded[0], encoded[1])
