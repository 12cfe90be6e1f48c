"""Registered processes and their incarnations."""

import unittest

from bilberrydrum import codec, options
from bilberrydrum.state import machine, processes
from tests.fakes import direct_state


def register(state: direct_state.DirectState, process_id: str, start_token: str) -> int:
    command = processes.RegisterProcess(
        process_id, "127.0.0.1:1", "z", "r", ("gateway",), start_token
    )
    return int(state.apply(command).incarnation)


class TestProcesses(unittest.TestCase):
    def setUp(self) -> None:
        self.state = direct_state.DirectState()

    def section(self) -> processes.Section:
        return processes.read(self.state.state())

    def test_incarnation_rises_at_each_start_of_any_process(self) -> None:
        numbers = [register(self.state, name, f"t{i}") for i, name in enumerate("abab")]
        self.assertEqual(numbers, [1, 2, 3, 4])

    def test_registration_sent_again_gets_the_same_incarnation(self) -> None:
        """The answer to a registration is lost and the process sends it again.

        If it got a second number but used the first, all others would drop its messages
        as those of an earlier incarnation.
        """
        self.assertEqual(register(self.state, "a", "t"), 1)
        self.assertEqual(register(self.state, "a", "t"), 1)
        self.assertEqual(self.section().former_by_incarnation, {})

    def test_incarnation_is_not_given_again_after_forgetting(self) -> None:
        """A process is removed from the state, and registers again.

        If its number were given again, late messages of its earlier incarnation would
        be accepted.
        """
        register(self.state, "a", "t1")
        self.state.apply(processes.ForgetProcesses((1,)))
        self.assertEqual(self.section().processes_by_id, {})
        self.assertEqual(register(self.state, "a", "t2"), 2)

    def test_earlier_incarnation_is_kept_until_forgotten(self) -> None:
        register(self.state, "a", "t1")
        register(self.state, "a", "t2")
        self.assertEqual(self.section().former_by_incarnation, {1: "a"})
        answer = self.state.apply(processes.ForgetProcesses((1, 7)))
        self.assertEqual(answer.n_forgotten, 1)
        self.assertEqual(self.section().former_by_incarnation, {})
        self.assertEqual(self.section().processes_by_id["a"].incarnation, 2)

    def test_change_rises_with_the_processes_only(self) -> None:
        changes = []
        for step in (
            lambda: register(self.state, "a", "t1"),
            lambda: register(self.state, "a", "t1"),
            lambda: register(self.state, "a", "t2"),
            lambda: self.state.apply(processes.ForgetProcesses((1,))),
            lambda: self.state.apply(processes.ForgetProcesses((2,))),
        ):
            step()
            changes.append(self.section().change)
        self.assertEqual(changes, [1, 1, 2, 2, 3])

    def test_restored_copy_gives_no_incarnation_twice(self) -> None:
        """An older backup is restored, into the same group or into a new one.

        A number given after the backup was made must not be given to another process.
        """
        register(self.state, "a", "t1")
        copy = codec.encode(self.section())
        register(self.state, "a", "t2")
        register(self.state, "b", "t3")
        current = self.section()
        for known, time, lowest in ((current, 0.0, 4), (None, 100.0, 100)):
            self.state.time = time
            restored = codec.decode(copy)
            machine.keep_rising(restored, known)
            # Incarnations that the backup lacks count as earlier incarnations.
            former = restored.former_by_incarnation.values()
            self.assertIn(processes.UNKNOWN_INCARNATIONS, former)
            self.state.state().sections[processes.SECTION] = restored
            number = register(self.state, "c", f"t{time}")
            self.assertGreaterEqual(number, lowest)
            self.assertNotIn(number, former)
            self.assertGreater(restored.change, max(current.change, int(time) - 1))

    def test_register_waits_until_the_state_group_answers(self) -> None:
        """The first answer is lost, and the process registers by a retry."""
        self.state.n_answers_to_lose = 1
        incarnation = processes.register(options.Options("a"), self.state)
        self.assertEqual(incarnation, 1)
        self.assertEqual(len(self.state.commands), 2)
        listed = self.state.query(processes.ListProcesses()).unwrap()
        self.assertEqual([each.process_id for each in listed.processes], ["a"])
