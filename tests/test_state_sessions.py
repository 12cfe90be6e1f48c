"""Client sessions: a command sent twice has one effect and one answer."""

import unittest

import attrs
from nose2 import tools

from bilberrydrum import codec
from bilberrydrum.state import (
    applier,
    commands,
    log,
    machine,
    membership,
    queries,
    sessions,
    snapshot,
)
from misc.measures import state_process


@codec.register("test.lease-section")
@attrs.define
class Fenced:
    """A section with a number that must not fall."""

    fencing_number: int = 0
    note: str = ""


@machine.keep_rising.register
def _keep_fencing(section: Fenced, current: Fenced | None) -> None:
    floor = current.fencing_number if current else 0
    section.fencing_number = max(section.fencing_number, floor)


class Applying(unittest.TestCase):
    def setUp(self) -> None:
        self.applier = applier.Applier()
        self.time = 100.0

    def apply(self, kind: int, data: bytes) -> applier.Applied:
        entry = log.Entry(self.applier.index + 1, 1, self.time, kind, data)
        applied = self.applier.apply(entry)
        assert applied is not None
        return applied

    def open(self, client_id: str = "c") -> int:
        return self.apply(log.KIND_OPEN_SESSION, client_id.encode()).index

    def add(
        self, session_id: int, number: int, lowest: int = 0, client_id: str = "c"
    ) -> int | None:
        """Return the answer's total, or None if there is no answer."""
        item = sessions.SessionCommand(
            client_id,
            session_id,
            number,
            lowest,
            codec.encode(state_process.Add("k")),
        )
        applied = self.apply(log.KIND_SESSION, sessions.pack(item))
        if applied.answer is None:
            return None
        total: int = codec.decode(applied.answer).total
        return total

    def total(self) -> int:
        answer = machine.answer(state_process.Read("k"), self.applier.state, 0.0)
        total: int = answer.total
        return total

    def test_command_sent_again_has_one_effect_and_the_first_answer(self) -> None:
        """An answer is lost; the client retries after other commands were applied."""
        session = self.open()
        self.assertEqual(self.add(session, 1), 1)
        self.assertEqual(self.add(session, 2), 2)
        self.assertEqual(self.add(session, 1), 1)
        self.assertEqual(self.total(), 2)

    def test_late_copy_of_an_answered_command_has_no_effect(self) -> None:
        """The client has acknowledged the answer, and a copy arrives late."""
        session = self.open()
        self.add(session, 1)
        self.add(session, 2, lowest=2)
        self.assertIsNone(self.add(session, 1))
        self.assertEqual(self.total(), 2)

    def test_command_in_an_expired_session_has_no_effect(self) -> None:
        """A session has expired, and its client sends a command again.

        There is no record of whether it was applied, so it must not be applied now.
        """
        session = self.open()
        self.add(session, 1)
        self.time += sessions.IDLE_SECONDS + 1
        other = self.open("d")
        self.assertIsNone(self.add(session, 1))
        self.assertEqual(self.add(other, 1, client_id="d"), 2)

    def test_session_id_given_twice_is_not_shared(self) -> None:
        """A restored group gives the id of a session again, to another client."""
        session = self.open("new")
        self.assertIsNone(self.add(session, 1, client_id="old"))
        self.assertEqual(self.total(), 0)

    def test_table_is_bounded_and_keeps_sessions_in_use(self) -> None:
        used = self.open("used")
        for i in range(sessions.MAX_SESSIONS + 50):
            self.open(f"c{i}")
            if i % 1000 == 0:
                self.add(used, i + 1, lowest=i + 1, client_id="used")
        table = sessions.table(self.applier.state)
        self.assertEqual(len(table.by_id), sessions.MAX_SESSIONS)
        self.assertIn(used, table.by_id)

    def test_answers_are_bounded(self) -> None:
        session = self.open()
        for number in range(1, sessions.MAX_ANSWERS + 100):
            self.add(session, number)
        table = sessions.table(self.applier.state)
        answers = table.by_id[session].answers_by_number
        self.assertEqual(len(answers), sessions.MAX_ANSWERS)
        self.assertIsNone(self.add(session, 1))

    def test_command_that_raises_is_answered_and_remembered(self) -> None:
        @codec.register("test.raises")
        @attrs.frozen
        class Raises:
            pass

        @machine.apply.register
        def _raise(
            command: Raises, state: machine.State, context: machine.Context
        ) -> None:
            raise ValueError("no")

        session = self.open()
        item = sessions.SessionCommand("c", session, 1, 0, codec.encode(Raises()))
        answers = [
            self.apply(log.KIND_SESSION, sessions.pack(item)).answer for _ in range(2)
        ]
        self.assertEqual(answers[0], answers[1])
        self.assertIn("ValueError", codec.decode(answers[0] or b"").detail)

    def test_snapshot_holds_sessions_and_state(self) -> None:
        session = self.open()
        self.add(session, 1)
        data = snapshot.encode(self.applier.header(), self.applier.state)
        self.applier = applier.Applier()
        self.applier.restore(data)
        self.assertEqual(self.add(session, 1), 1)
        self.assertEqual(self.add(session, 2), 2)


class Restore(unittest.TestCase):
    """A backup is restored, and monotonic numbers do not fall."""

    def state(self, fencing_number: int, note: str) -> machine.State:
        state = machine.State({"test.fenced": Fenced(fencing_number, note)})
        sessions.open_session(sessions.table(state), fencing_number, note, 1.0)
        return state

    def saved(self, state: machine.State) -> bytes:
        header = snapshot.Header(3, 1, 1.0, membership.Membership())
        return snapshot.encode(header, state)

    @tools.params((5, 9, 9), (9, 5, 9), (5, None, 5))
    def test_fencing_number_does_not_fall(
        self, saved: int, current: int | None, expected: int
    ) -> None:
        """The group gave out fencing numbers after the backup was made.

        Upstreams remember the highest. If the group continued from a lower one, they
        would refuse every order, and two controllers could hold the same number.
        """
        state = machine.State()
        if current is not None:
            state = self.state(current, "current")
        data = self.saved(self.state(saved, "saved"))
        context = machine.Context(1, 1.0)
        answer = machine.apply(commands.RestoreState(data), state, context)
        self.assertTrue(answer.is_restored)
        section = state.sections["test.fenced"]
        self.assertEqual((section.fencing_number, section.note), (expected, "saved"))

    def test_number_of_a_section_that_the_backup_lacks_does_not_fall(self) -> None:
        """The backup was made before the first fencing number was given."""
        state = self.state(9, "current")
        context = machine.Context(1, 1.0)
        command = commands.RestoreState(self.saved(machine.State()))
        machine.apply(command, state, context)
        section = state.sections["test.fenced"]
        self.assertEqual((section.fencing_number, section.note), (9, ""))

    def test_current_sessions_are_kept(self) -> None:
        state = self.state(9, "current")
        data = self.saved(self.state(5, "saved"))
        context = machine.Context(1, 1.0)
        machine.apply(commands.RestoreState(data), state, context)
        self.assertEqual(list(sessions.table(state).by_id), [9])

    @tools.params(0, 31, 32, 60, -1)
    def test_damaged_backup_changes_nothing(self, position: int) -> None:
        state = self.state(9, "current")
        data = bytearray(self.saved(self.state(5, "saved")))
        data[position] ^= 1
        context = machine.Context(1, 1.0)
        command = commands.RestoreState(bytes(data))
        answer = machine.apply(command, state, context)
        self.assertFalse(answer.is_restored)
        self.assertEqual(state.sections["test.fenced"].note, "current")


class SaveQuery(unittest.TestCase):
    def test_saved_state_reads_back(self) -> None:
        state = machine.State({"test.fenced": Fenced(4, "x")})
        header = snapshot.Header(7, 2, 3.0, membership.Membership())
        saved = queries.SavedState(snapshot.encode(header, state))
        again = codec.decode(codec.encode(saved))
        self.assertEqual(snapshot.read(again.data), header)
        self.assertEqual(snapshot.decode(again.data), state)
        self.assertEqual(snapshot.section_names(again.data), ["test.fenced"])
