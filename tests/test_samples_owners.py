"""Owners, traces, restored states and payload records on the state machine alone."""

import unittest
from collections.abc import Callable
from typing import Any

from bilberrydrum import codec, reasons
from bilberrydrum.samples import commands, model, queries, section
from bilberrydrum.state import machine as state_machine
from tests import samples_support as support

R = reasons.Reason


class Ownership(unittest.TestCase):
    """A group has one owner at a time, under an epoch."""

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
        """An owner is suspended until its lease expires, and then records its sample.

        Another gateway owns the group by then. What the first one generated under the
        older epoch must not fill a slot.
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

    def test_restarted_owner_is_a_new_incarnation(self) -> None:
        """A gateway restarts within its lease; its attempts and payloads are lost.

        Records of its earlier incarnation may still be in transit.
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

    def test_state_group_outage_keeps_owners(self) -> None:
        """There is no leader for longer than a lease; one owner then renews first.

        No owner could renew during that time, so none must lose its groups or payloads.
        """
        machine = self.machine()
        machine.add("g0")
        machine.record("g0", 0, holders=("gw-1@1", "gw-2@1"))
        machine.time += 60.0
        machine.renew("gw-3")
        self.assertEqual(support.trace(machine, "g0", 0).state, queries.STATE_READY)
        self.assertIsNone(machine.record("g0", 1))

    def test_leaving_owner_releases_its_groups(self) -> None:
        """An owner leaves; its groups are reassigned and its payloads remain."""
        machine = self.machine()
        machine.add("g0")
        machine.record("g0", 0)
        machine.apply(commands.LeaveOwner("gw-1", 1))
        self.assertEqual(self.work(machine, "gw-2"), {"g0": 2})
        self.assertEqual(support.trace(machine, "g0", 0).state, queries.STATE_READY)

    def test_returning_owner_receives_its_groups(self) -> None:
        """An owner loses its groups, and the answer to its next renewal is lost.

        It still knows the revision from before. If it got that revision again, the
        answer would mean that nothing has changed, and the samples of the groups
        assigned to it since would never be generated.
        """
        machine = self.machine()
        machine.add("g0")
        known = machine.renew("gw-1").revision
        machine.apply(commands.LeaveOwner("gw-1", 1))
        machine.renew("gw-1", revision=known)
        machine.add("late")
        self.assertIsNotNone(machine.renew("gw-1", revision=known).work)

    def test_group_without_an_owner_waits_for_one(self) -> None:
        """A group is added before any gateway has renewed as an owner."""
        machine = support.Machine()
        machine.add("g0")
        self.assertEqual(self.work(machine, "gw-1"), {"g0": 2})

    def test_work_list_is_sent_once_per_change(self) -> None:
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
    """A sample can be traced in each of its states, after every restart."""

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
        """The traces of acknowledged samples would fill the state if all were kept."""
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
    """A backup of the state is restored."""

    def test_samples_received_after_the_backup_are_not_redelivered(self) -> None:
        """A backup is made, the trainer reads on, and the backup is restored."""
        machine = support.ready_machine()
        old = codec.decode(codec.encode(section.of(machine.state)))
        machine.read(0)
        machine.read(2)
        current = section.of(machine.state)
        state_machine.keep_rising(old, current)
        machine.state.sections[section.SECTION] = old
        self.assertEqual(machine.read(0).refusal, R.CURSOR_INVALID)
        self.assertEqual(machine.add("g0").n_known, 1)

    def test_new_state_group_refuses_earlier_owners_and_readers(self) -> None:
        """A state group is created from a backup while its former owners run.

        Their commands, and those of former readers, are based on a state that the
        backup does not have, so they must be refused.
        """
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
            unneeded = machine.answer(
                queries.ListUnusedPayloads((key, "outage/g0/1#1.9"))
            )
            with self.subTest(name):
                self.assertIn("outage/g0/1#1.9", unneeded.keys)
                self.assertEqual(key not in unneeded.keys, is_needed)
