"""Owners, traces, restored states and payload records, on the state machine alone."""

import unittest
from collections.abc import Callable
from typing import Any

from bilberrydrum import codec, reasons
from bilberrydrum.samples import commands, model, queries, section
from bilberrydrum.state import machine as state_machine
from tests import samples_support as support

R = reasons.Reason


class Ownership(unittest.TestCase):
    """A group is driven by one gateway under an epoch."""

    def machine(self) -> support.Machine:
        machine = support.Machine()
        for process_id in ("gw-1", "gw-2", "gw-3"):
            machine.renew(process_id)
        return machine

    def work(self, machine: support.Machine, process_id: str) -> dict[str, int]:
        renewed = machine.renew(process_id)
        assert renewed.work is not None
        return {each.group_id: each.owner_epoch for each in renewed.work}

    def test_groups_are_spread(self) -> None:
        machine = self.machine()
        for i in range(6):
            machine.add(f"g{i}")
        sizes = [len(self.work(machine, f"gw-{i}")) for i in (1, 2, 3)]
        self.assertEqual(sizes, [2, 2, 2])

    def test_group_is_taken_over_and_the_earlier_owner_refused(self) -> None:
        """An owner is frozen past its lease, wakes up and records its sample.

        Another gateway drives the group by then; what the first one made under the
        older epoch must not get into a slot.
        """
        machine = self.machine()
        machine.add("g0")
        for _ in range(4):
            machine.time += 1.0
            machine.renew("gw-2")
            machine.renew("gw-3")
        self.assertEqual(self.work(machine, "gw-2"), {"g0": 2})
        self.assertEqual(machine.record("g0", 0, epoch=1), R.EPOCH_STALE)
        self.assertIsNone(machine.record("g0", 0, epoch=2))
        self.assertEqual(self.work(machine, "gw-1"), {})

    def test_restarted_owner_is_another_life(self) -> None:
        """A gateway restarts within its lease; its attempts and payloads are gone.

        Records of its earlier life may still be on their way.
        """
        machine = self.machine()
        machine.add("g0", n_slots=3)
        machine.record("g0", 0, holders=("gw-1@1",))
        machine.record("g0", 1, holders=("gw-1@1", "gw-2@1"))
        machine.renew("gw-1", incarnation=2)
        self.assertEqual(machine.record("g0", 2, epoch=1), R.EPOCH_STALE)
        states = [support.trace(machine, "g0", i).state for i in range(3)]
        self.assertEqual(states, ["wanted", "ready", "wanted"])
        self.assertFalse(machine.renew("gw-1", incarnation=1).is_current)

    def test_state_group_was_out(self) -> None:
        """No leader for longer than a lease; then one owner renews before the others.

        Nobody could renew, so nobody has lost its groups or its payloads.
        """
        machine = self.machine()
        machine.add("g0")
        machine.record("g0", 0, holders=("gw-1@1", "gw-2@1"))
        machine.time += 60.0
        machine.renew("gw-3")
        self.assertEqual(support.trace(machine, "g0", 0).state, queries.STATE_READY)
        self.assertIsNone(machine.record("g0", 1))

    def test_owner_that_leaves_hands_its_groups_on(self) -> None:
        machine = self.machine()
        machine.add("g0")
        machine.record("g0", 0)
        machine.apply(commands.LeaveOwner("gw-1", 1))
        self.assertEqual(self.work(machine, "gw-2"), {"g0": 2})
        self.assertEqual(support.trace(machine, "g0", 0).state, queries.STATE_READY)

    def test_owner_that_comes_back_learns_of_its_groups(self) -> None:
        """An owner loses its groups; the answer to its next renewal is lost.

        It still knows a revision of the time before. Met again, that number would mean
        that nothing has changed, and nobody would ever make the samples it got since.
        """
        machine = self.machine()
        machine.add("g0")
        known = machine.renew("gw-1").revision
        machine.apply(commands.LeaveOwner("gw-1", 1))
        machine.renew("gw-1", revision=known)
        machine.add("late")
        self.assertIsNotNone(machine.renew("gw-1", revision=known).work)

    def test_group_without_an_owner_waits_for_one(self) -> None:
        machine = support.Machine()
        machine.add("g0")
        self.assertEqual(self.work(machine, "gw-1"), {"g0": 2})

    def test_work_comes_once_per_change(self) -> None:
        machine = self.machine()
        machine.add("g0")
        renewed = machine.renew("gw-1")
        self.assertIsNone(machine.renew("gw-1", revision=renewed.revision).work)
        machine.publish(9)
        machine.record("g0", 0, version=9)
        machine.publish(20)
        machine.apply(commands.ExpireSamples(support.TRAINER, support.RULE))
        again = machine.renew("gw-1", revision=renewed.revision)
        assert again.work is not None
        self.assertEqual(again.work[0].n_attempts_by_slot, {0: 1, 1: 0})


class Traces(unittest.TestCase):
    """A sample can be traced through its whole life, after every restart."""

    def test_trace(self) -> None:
        machine = support.Machine()
        machine.renew("gw-1")
        machine.open_reader()
        steps: list[tuple[str, Callable[[], Any]]] = [
            ("", lambda: None),
            ("wanted", lambda: machine.add("g0", n_slots=1)),
            ("ready", lambda: machine.record("g0", 0)),
            ("assigned", lambda: machine.read(0, n_samples=1)),
            ("acknowledged", lambda: machine.read(1, n_samples=1)),
        ]
        for state, step in steps:
            step()
            machine.restart()
            with self.subTest(state):
                self.assertEqual(support.trace(machine, "g0", 0).state, state)
        found = support.trace(machine, "g0", 0)
        self.assertEqual((found.position, found.staleness), (0, 0))
        assert found.record is not None
        self.assertEqual(found.record.segments, (model.Segment(0, 0, 1),))

    def test_history_is_bounded(self) -> None:
        machine = support.Machine()
        machine.renew("gw-1")
        machine.open_reader()
        limit, section.HISTORY_SAMPLES = section.HISTORY_SAMPLES, 4
        self.addCleanup(setattr, section, "HISTORY_SAMPLES", limit)
        for i in range(4):
            machine.add(f"g{i}")
            machine.record(f"g{i}", 0)
            machine.record(f"g{i}", 1)
            machine.read(2 * i)
        machine.read(8)
        states = [support.trace(machine, f"g{i}", 0).state for i in range(4)]
        self.assertEqual(states, ["", "", "acknowledged", "acknowledged"])


class Restored(unittest.TestCase):
    """A back-up of the state is restored."""

    def test_what_was_received_since_is_not_delivered_again(self) -> None:
        """A back-up is made, the trainer reads on, and the back-up is restored."""
        machine = support.ready_machine()
        old = codec.decode(codec.encode(section.of(machine.state)))
        machine.read(0)
        machine.read(2)
        current = section.of(machine.state)
        state_machine.keep_rising(old, current)
        machine.state.sections[section.SECTION] = old
        self.assertEqual(machine.read(0).refusal, R.CURSOR_INVALID)
        self.assertEqual(machine.add("g0").n_known, 1)

    def test_new_state_group_refuses_what_comes_from_the_old_one(self) -> None:
        """A state group is made anew from a back-up; its owners and readers live on."""
        machine = support.ready_machine()
        machine.add("g1")
        old = codec.decode(codec.encode(section.of(machine.state)))
        state_machine.keep_rising(old, None)
        machine.state.sections[section.SECTION] = old
        self.assertEqual(machine.read(0).refusal, R.READER_SUPERSEDED)
        self.assertEqual(machine.record("g1", 0), R.EPOCH_STALE)
        renewed = machine.renew("gw-2")
        assert renewed.work is not None
        epochs = {each.owner_epoch for each in renewed.work}
        self.assertGreater(min(epochs), section.EPOCH_JUMP)


class Payloads(unittest.TestCase):
    """A payload is needed until the cursor has moved past its sample."""

    def test_payload_is_needed(self) -> None:
        machine = support.ready_machine()
        key = "outage/g0/0#1.1"
        steps: list[tuple[str, Callable[[], Any], bool]] = [
            ("ready", lambda: None, True),
            ("assigned", lambda: machine.read(0), True),
            ("acknowledged", lambda: machine.read(2), False),
        ]
        for name, step, is_needed in steps:
            step()
            unneeded = machine.answer(queries.ListUnneeded((key, "outage/g0/1#1.9")))
            with self.subTest(name):
                self.assertIn("outage/g0/1#1.9", unneeded.keys)
                self.assertEqual(key not in unneeded.keys, is_needed)
