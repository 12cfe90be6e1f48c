"""Invariants of samples on the state machine alone, as tables of failures."""

import unittest
from collections.abc import Callable
from typing import Any

from nose2 import tools

from bilberrydrum import reasons
from bilberrydrum.samples import commands, model, queries
from tests import samples_support as support

R = reasons.Reason


class Recording(unittest.TestCase):
    """A slot accepts one attempt, of its current owner, that is within the bound."""

    @tools.params(
        ("the same record again", {}, None),
        ("another attempt that came late", {"attempt": 2}, R.ATTEMPT_SUPERSEDED),
        ("an earlier owner's attempt", {"epoch": 0}, R.EPOCH_STALE),
        ("same number, other content", {"text": "other"}, R.ATTEMPT_SUPERSEDED),
    )
    def test_second_record_of_a_slot(
        self, name: str, changes: dict[str, Any], refusal: reasons.Reason | None
    ) -> None:
        machine = support.ready_machine()
        before = support.trace(machine, "g0", 0)
        self.assertEqual(machine.record("g0", 0, **changes), refusal, name)
        self.assertEqual(support.trace(machine, "g0", 0), before, name)

    def test_late_record_of_a_finished_group_is_refused(self) -> None:
        """A second attempt ends long after the trainer received the sample.

        The group was removed when the cursor moved past it, so there is no slot left
        for the late attempt.
        """
        machine = support.ready_machine()
        machine.read(0)
        machine.read(2)
        self.assertEqual(machine.record("g0", 0, attempt=2), R.ATTEMPT_SUPERSEDED)

    def test_discarded_record_is_not_restored(self) -> None:
        """A sample whose payload was lost is recorded again by a repeated command.

        The recorder received no answer to its first command and sends it again after
        the loss was reported. Accepting it would restore the record without its
        payload.
        """
        machine = support.ready_machine()
        batch = machine.read(0)
        machine.apply(commands.ReportLost(support.TRAINER, batch.samples[:1]))
        self.assertEqual(machine.record("g0", 0), R.ATTEMPT_SUPERSEDED)
        self.assertEqual(support.trace(machine, "g0", 0).state, queries.STATE_WANTED)
        self.assertIsNone(machine.record("g0", 0, attempt=2))

    def test_record_older_than_the_bound_is_refused(self) -> None:
        """Versions are published between the end of an attempt and its record."""
        machine = support.Machine()
        machine.renew("gw-1")
        machine.add("g0")
        machine.publish(3)
        self.assertEqual(machine.record("g0", 0, version=0), R.SAMPLE_STALE)
        self.assertIsNone(machine.record("g0", 0, attempt=2, version=1))


class Groups(unittest.TestCase):
    """A group that is requested several times is generated once."""

    def test_repeated_group_request(self) -> None:
        """The answer to the trainer's request was lost, and the trainer repeats it.

        It does so in each state of its group, the last time long after all its samples
        were received. The group must not be generated again.
        """
        machine = support.Machine()
        machine.renew("gw-1")
        steps: list[tuple[str, Callable[[], Any]]] = [
            ("accepted", lambda: machine.add("g0")),
            ("one sample", lambda: machine.record("g0", 0)),
            ("whole", lambda: machine.record("g0", 1)),
            ("reader", machine.open_reader),
            ("assigned", lambda: machine.read(0)),
            ("acknowledged", lambda: machine.read(2)),
            ("restarted", machine.restart),
        ]
        for name, step in steps:
            step()
            with self.subTest(name):
                self.assertEqual(machine.add("g0").n_known, 1)
                self.assertEqual(machine.add("g0", prompt="x").conflicts, ("g0",))

    def test_same_group_twice_in_one_request(self) -> None:
        machine = support.Machine()
        group = model.GroupRequest("g0", "plan", 2, 8)
        added = machine.apply(commands.AddGroups(support.TRAINER, (group, group), 9))
        self.assertEqual((added.n_accepted, added.n_known), (1, 1))

    def test_open_slots_are_bounded(self) -> None:
        machine = support.Machine()
        group = model.GroupRequest("g0", "plan", 9, 8)
        command = commands.AddGroups(support.TRAINER, (group,), 8)
        self.assertTrue(machine.apply(command).is_full)
        self.assertEqual(machine.answer(queries.ListTrainers()).trainers[0].n_groups, 0)


class Delivery(unittest.TestCase):
    """Each sample has one position, and a cursor always returns the same batch."""

    def test_same_cursor_gives_the_same_batch(self) -> None:
        """The answer to a batch request is lost, and the trainer retries several times.

        In the meantime more samples become ready and all processes restart. The batch
        must not change until the cursor moves.
        """
        machine = support.ready_machine()
        first = support.positions_of(machine.read(0))
        self.assertEqual(first, [(0, "g0", 0, 1), (1, "g0", 1, 1)])
        machine.add("g1", n_slots=1)
        machine.record("g1", 0)
        machine.restart()
        for n_samples in (1, 2, 3):
            self.assertEqual(support.positions_of(machine.read(0, n_samples)), first)

    def test_batch_that_is_not_ready_assigns_nothing(self) -> None:
        """A trainer requests more samples than are ready.

        Positions assigned to a part of the batch would fix its size too early.
        """
        machine = support.ready_machine()
        batch = machine.read(0, n_samples=3)
        self.assertEqual((batch.refusal, batch.n_assigned), (R.BATCH_NOT_READY, 0))

    def test_groups_are_delivered_complete(self) -> None:
        """A group with a missing sample does not block a complete group.

        None of its samples is delivered before it is complete, and the samples of a
        group get consecutive positions.
        """
        machine = support.ready_machine()
        machine.read(0)
        machine.add("g1", n_slots=3)
        machine.add("g2")
        for group_id, slot in (("g1", 0), ("g1", 2), ("g2", 0)):
            machine.record(group_id, slot)
        self.assertEqual(machine.read(2, n_samples=1).refusal, R.BATCH_NOT_READY)
        machine.record("g2", 1)
        self.assertEqual(
            support.positions_of(machine.read(2)), [(2, "g2", 0, 1), (3, "g2", 1, 1)]
        )
        machine.record("g1", 1)
        batch = machine.read(4, n_samples=3)
        self.assertEqual([each.slot for each in batch.samples], [0, 1, 2])

    @tools.params(
        ("below what was acknowledged", 0, 1, R.CURSOR_INVALID),
        ("between", 1, 1, R.CURSOR_INVALID),
        ("above what was assigned", 3, 1, R.CURSOR_INVALID),
        ("older reader", 2, 1, R.READER_SUPERSEDED),
        ("reader epoch not given out yet", 2, 3, R.READER_SUPERSEDED),
    )
    def test_cursor_is_refused(
        self, name: str, cursor: int, epoch: int, refusal: reasons.Reason
    ) -> None:
        """A trainer sends a cursor or an epoch from before its restart.

        Positions below the acknowledged cursor are removed. The trainer gets a refusal
        with the current cursors, and not other samples for the old positions.
        """
        machine = support.ready_machine()
        machine.read(0)
        machine.read(2)
        if refusal == R.READER_SUPERSEDED:
            machine.open_reader()
        batch = machine.read(cursor, epoch=epoch)
        self.assertEqual(batch.refusal, refusal, name)
        self.assertEqual((batch.acknowledged, batch.n_assigned), (2, 2), name)

    def test_restarted_trainer_resumes_at_the_acknowledged_cursor(self) -> None:
        """A trainer restarts without having acknowledged its last batch.

        The new reader must get the acknowledged cursor and the same batch there.
        """
        machine = support.ready_machine()
        machine.add("g1")
        machine.record("g1", 0)
        machine.record("g1", 1)
        machine.read(0)
        before = support.positions_of(machine.read(2))
        reader = machine.open_reader()
        self.assertEqual((reader.reader_epoch, reader.cursor), (2, 2))
        self.assertEqual(support.positions_of(machine.read(2, epoch=2)), before)

    def test_cursor_within_a_batch_acknowledges_a_part(self) -> None:
        machine = support.ready_machine()
        machine.read(0)
        self.assertEqual(support.positions_of(machine.read(1)), [(1, "g0", 1, 1)])

    def test_older_reader_does_not_move_the_cursor(self) -> None:
        """Two processes read for one trainer; the older one requests the next batch.

        Its cursor would acknowledge samples that the newer one has not received.
        """
        machine = support.ready_machine()
        machine.read(0)
        machine.open_reader()
        self.assertEqual(machine.read(2, epoch=1).refusal, R.READER_SUPERSEDED)
        self.assertEqual(len(machine.read(0, epoch=2).samples), 2)

    def test_lost_payload_gets_another_attempt_at_its_position(self) -> None:
        """Both holders of a payload are lost before the trainer's cursor moves.

        The trainer may or may not have received the sample and requests it again.
        Another attempt fills the same position, and a repeated report of the first loss
        must not discard the new attempt.
        """
        machine = support.ready_machine()
        batch = machine.read(0)
        report = commands.ReportLost(support.TRAINER, batch.samples[:1])
        self.assertEqual(machine.apply(report).n_expired, 1)
        self.assertEqual(machine.read(0).refusal, R.BATCH_NOT_READY)
        self.assertIsNone(machine.record("g0", 0, attempt=2))
        self.assertEqual(machine.apply(report).n_expired, 0)
        self.assertEqual(
            support.positions_of(machine.read(0)), [(0, "g0", 0, 2), (1, "g0", 1, 1)]
        )

    def test_late_report_of_a_loss_after_the_cursor_moved(self) -> None:
        """A report of a lost payload arrives after its sample was acknowledged."""
        machine = support.ready_machine()
        batch = machine.read(0, n_samples=1)
        machine.read(1, n_samples=1)
        report = commands.ReportLost(support.TRAINER, batch.samples)
        self.assertEqual(machine.apply(report).n_expired, 0)


class Staleness(unittest.TestCase):
    """No sample is delivered, first or again, beyond the bound in force."""

    def test_waiting_sample_that_becomes_too_old_is_not_assigned(self) -> None:
        """Versions are published while samples wait for a position."""
        machine = support.ready_machine()
        machine.publish(3)
        batch = machine.read(0)
        self.assertEqual((batch.refusal, batch.n_expired), (R.BATCH_NOT_READY, 2))
        self.assertEqual(batch.owners, ("gw-1",))

    def test_sample_too_old_at_redelivery_is_replaced_at_its_position(self) -> None:
        """The answer with a batch is lost, versions are published, the trainer retries.

        One sample of the batch exceeds the bound by then. It gets another attempt at
        the same position, whether or not the trainer received the first.
        """
        machine = support.Machine()
        machine.renew("gw-1")
        machine.add("g0")
        machine.open_reader()
        machine.publish(1)
        machine.record("g0", 0, version=0)
        machine.record("g0", 1, version=1)
        machine.read(0)
        machine.publish(3)
        self.assertEqual(machine.read(0).refusal, R.BATCH_NOT_READY)
        self.assertIsNone(machine.record("g0", 0, attempt=2, version=3))
        batch = machine.read(0)
        self.assertEqual(
            support.positions_of(batch), [(0, "g0", 0, 2), (1, "g0", 1, 1)]
        )
        self.assertEqual([each.staleness for each in batch.samples], [0, 2])

    def test_oldest_segment_counts(self) -> None:
        """A swap in mid-stream leaves a sample with one segment beyond the bound."""
        machine = support.Machine()
        machine.renew("gw-1")
        machine.add("g0", n_slots=1)
        machine.publish(3)
        taken = support.slot_record("g0", 0, version=0)
        segments = (model.Segment(3, 0, 0), model.Segment(0, 1, 1))
        record = model.Record(1, 1, "engine-1", segments, 0.5, 2, b"", ("gw-1@1",))
        taken = commands.SlotRecord(taken.trainer, "g0", 0, record)
        command = commands.RecordSamples((taken,), {support.TRAINER: support.RULE})
        self.assertEqual(machine.apply(command).refusals, (R.SAMPLE_STALE,))

    @tools.params(
        ("assigned", lambda machine, rule: machine.read(0, rule=rule)),
        (
            "waiting",
            lambda machine, rule: machine.apply(
                commands.ExpireSamples(support.TRAINER, rule)
            ),
        ),
    )
    def test_tightened_bound_applies_to_existing_samples(
        self, name: str, act: Callable[[support.Machine, model.Rule], Any]
    ) -> None:
        """A bundle with a tighter bound is rolled while samples wait.

        The next command comes from a gateway that has not received the bundle and
        carries the older bound, which must not be restored.
        """
        machine = support.ready_machine()
        machine.publish(1)
        if name == "assigned":
            machine.read(0)
        self.assertEqual(act(machine, model.Rule(2, 0)).n_expired, 2)
        self.assertEqual(machine.record("g0", 0, attempt=2), R.SAMPLE_STALE)

    def test_received_sample_is_not_regenerated(self) -> None:
        """The trainer trains on a batch and publishes before its cursor has moved.

        The samples exceed the bound by then, but the trainer has received them.
        """
        machine = support.ready_machine()
        machine.read(0)
        machine.publish(9)
        expire = commands.ExpireSamples(support.TRAINER, support.RULE)
        self.assertEqual(machine.apply(expire).n_expired, 0)
        self.assertEqual(machine.read(2).n_expired, 0)

    def test_last_check_sees_what_changed_since_the_assignment(self) -> None:
        """A batch is assigned, and the state changes before its first byte is sent."""
        changes: list[tuple[str, Callable[[support.Machine], Any]]] = [
            ("published", lambda machine: machine.publish(3)),
            ("another reader", lambda machine: machine.open_reader()),
            ("cursor moved", lambda machine: machine.read(2)),
            ("bound", lambda machine: None),
            ("sample lost", lambda machine: self._lose(machine, replace=False)),
            ("sample replaced", lambda machine: self._lose(machine, replace=True)),
        ]
        for name, change in [("nothing", lambda machine: None), *changes]:
            with self.subTest(name):
                machine = support.ready_machine()
                batch = machine.read(0)
                change(machine)
                rule = model.Rule(2, -1) if name == "bound" else support.RULE
                check = machine.answer(
                    queries.CheckBatch(support.TRAINER, 1, 0, 2, rule)
                )
                mark = model.fingerprint(each.record for each in batch.samples)
                is_same = check.refusal is None and check.fingerprint == mark
                is_same = is_same and check.weight_version == batch.weight_version
                self.assertEqual(is_same, name == "nothing")

    def _lose(self, machine: support.Machine, replace: bool) -> None:
        lost = machine.read(0).samples[:1]
        machine.apply(commands.ReportLost(support.TRAINER, lost))
        if replace:
            machine.record("g0", 0, attempt=2)
