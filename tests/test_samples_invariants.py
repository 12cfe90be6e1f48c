"""Random schedules over the samples' apply functions; invariants after each step."""

import unittest
from typing import Any

from hypothesis import stateful
from hypothesis import strategies as st

from bilberrydrum.samples import commands, model, ownership, section, staleness
from bilberrydrum.weights import commands as weight_commands
from tests import samples_support as support
from tests import schedules_support

GATEWAYS = ("gw-1", "gw-2", "gw-3")
N_GROUPS = 6


class Samples(stateful.RuleBasedStateMachine):
    """A trainer, changing owners, late and repeated records, lost answers."""

    def __init__(self) -> None:
        super().__init__()
        self.machine = support.Machine()
        self.rule = support.RULE
        self.version = 0
        # The trainer's view: its reader epoch, its cursor and the batch it received
        # there.
        self.epoch = 0
        self.cursor = 0
        self.batch: commands.Batch | None = None
        self.samples_by_position: dict[int, model.SlotRef] = {}
        self.received: list[model.SlotRef] = []
        self.incarnations = dict.fromkeys(GATEWAYS, 1)
        # Records that were sent, to be sent again late.
        self.sent: list[commands.SlotRecord] = []
        self.given_up: set[tuple[str, int, int, int]] = set()

    @property
    def trainer(self) -> section.Trainer:
        return section.trainer_of(self.machine.state, support.TRAINER)

    @stateful.rule(i=st.integers(0, N_GROUPS - 1), n_slots=st.integers(1, 3))
    def add_group(self, i: int, n_slots: int) -> None:
        self.machine.add(f"g{i}", n_slots)

    @stateful.rule(process_id=st.sampled_from(GATEWAYS))
    def renew(self, process_id: str) -> None:
        self.machine.renew(process_id, self.incarnations[process_id])

    @stateful.rule(process_id=st.sampled_from(GATEWAYS))
    def restart_gateway(self, process_id: str) -> None:
        self.incarnations[process_id] += 1
        self.machine.renew(process_id, self.incarnations[process_id])

    @stateful.rule(process_id=st.sampled_from(GATEWAYS))
    def leave(self, process_id: str) -> None:
        self.machine.apply(
            commands.LeaveOwner(process_id, self.incarnations[process_id])
        )

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 1.4, 5.0]))
    def wait(self, seconds: float) -> None:
        self.machine.time += seconds

    @stateful.rule()
    def restart_from_snapshot(self) -> None:
        self.machine.restart()

    @stateful.rule()
    def publish(self) -> None:
        self.version += 1
        self.machine.publish(self.version)

    @stateful.rule(bound=st.integers(0, 3))
    def roll_bundle(self, bound: int) -> None:
        self.rule = model.Rule(self.rule.bundle_version + 1, bound)

    @stateful.rule(
        data=st.data(),
        age=st.integers(0, 3),
        epoch_lag=st.integers(0, 1),
        n_holders=st.integers(1, 2),
    )
    def record(self, data: Any, age: int, epoch_lag: int, n_holders: int) -> None:
        slots = list(section.slots_in_order(self.trainer))
        if not slots:
            return
        group, i_slot, slot = data.draw(st.sampled_from(slots))
        holders = tuple(
            model.holder_name(each, self.incarnations[each])
            for each in GATEWAYS[:n_holders]
        )
        taken = support.slot_record(
            group.request.group_id,
            i_slot,
            slot.n_attempts + data.draw(st.integers(0, 2)),
            group.owner_epoch - epoch_lag,
            max(0, self.version - age),
            holders=holders,
        )
        self.sent.append(taken)
        self._send(taken)

    @stateful.rule(data=st.data())
    def record_again(self, data: Any) -> None:
        if self.sent:
            self._send(data.draw(st.sampled_from(self.sent)))

    def _send(self, taken: commands.SlotRecord) -> None:
        group = self.trainer.groups_by_id.get(taken.group_id)
        before = None if group is None else group.slots[taken.slot].record
        command = commands.RecordSamples((taken,), {support.TRAINER: self.rule})
        refusal = self.machine.apply(command).refusals[0]
        if refusal is None:
            assert group is not None
            assert taken.record.owner_epoch == group.owner_epoch
            if before is None:
                assert self._name(taken) not in self.given_up

    def _name(self, taken: commands.SlotRecord) -> tuple[str, int, int, int]:
        record = taken.record
        return (taken.group_id, taken.slot, record.owner_epoch, record.attempt)

    @stateful.rule()
    def open_reader(self) -> None:
        reader = self.machine.open_reader()
        assert reader.reader_epoch > self.epoch
        self.epoch = reader.reader_epoch
        # A trainer that has lost its cursor continues at the one in the answer.
        assert reader.cursor <= self.cursor
        if reader.cursor < self.cursor:
            self.received = self.received[: reader.cursor]
        self.cursor = reader.cursor

    @stateful.rule(n_samples=st.integers(1, 4), is_lost=st.booleans())
    def read(self, n_samples: int, is_lost: bool) -> None:
        batch = self.machine.read(self.cursor, n_samples, self.epoch, self.rule)
        if self.epoch == 0:
            assert batch.refusal is not None
            return
        if batch.refusal is None:
            self._check(batch)
            if not is_lost:
                self._receive(batch)

    @stateful.rule(lag=st.integers(1, 3), n_samples=st.integers(1, 3))
    def read_with_an_older_epoch(self, lag: int, n_samples: int) -> None:
        before = (self.trainer.acknowledged, self.trainer.n_assigned)
        batch = self.machine.read(self.cursor, n_samples, self.epoch - lag, self.rule)
        assert batch.refusal is not None
        assert before == (self.trainer.acknowledged, self.trainer.n_assigned)

    @stateful.rule()
    def lose_payloads(self) -> None:
        waiting = [
            commands.Assigned(slot.position, group.request.group_id, i, 0, slot.record)
            for group, i, slot in section.slots_in_order(self.trainer)
            if slot.record is not None
        ]
        if waiting:
            lost = waiting[:1]
            self.machine.apply(commands.ReportLost(support.TRAINER, tuple(lost)))

    @stateful.rule()
    def expire(self) -> None:
        self.machine.apply(commands.ExpireSamples(support.TRAINER, self.rule))

    def _check(self, batch: commands.Batch) -> None:
        assert batch.samples[0].position == self.cursor
        newest = weight_commands.newest_version(self.machine.state, support.TRAINER)
        for i, sample in enumerate(batch.samples):
            assert sample.position == self.cursor + i
            ref = model.SlotRef(sample.group_id, sample.slot)
            # Once a position refers to a sample, it always refers to that sample.
            assert self.samples_by_position.setdefault(sample.position, ref) == ref
            age = staleness.staleness(newest, sample.record.oldest_version())
            assert sample.staleness == age <= self.rule.staleness_bound

    def _receive(self, batch: commands.Batch) -> None:
        for sample in batch.samples:
            self.received.append(model.SlotRef(sample.group_id, sample.slot))
        self.cursor = batch.n_assigned
        # Each sample is received exactly once: none has two positions.
        assert len(set(self.received)) == len(self.received) == self.cursor

    @stateful.invariant()
    def given_up_attempts_stay_given_up(self) -> None:
        for taken in self.sent:
            group = self.trainer.groups_by_id.get(taken.group_id)
            if group is None:
                continue
            slot = group.slots[taken.slot]
            name = self._name(taken)
            is_held = slot.record is not None and (
                slot.record.owner_epoch,
                slot.record.attempt,
            ) == (taken.record.owner_epoch, taken.record.attempt)
            if is_held:
                assert name not in self.given_up
            elif taken.record.attempt <= slot.n_attempts:
                self.given_up.add(name)

    @stateful.invariant()
    def counts_are_right(self) -> None:
        trainer = self.trainer
        slots = list(section.slots_in_order(trainer))
        unacknowledged = [
            slot
            for _, _, slot in slots
            if not 0 <= slot.position < trainer.acknowledged
        ]
        ready = [
            slot
            for group, _, slot in slots
            if slot.position == model.UNASSIGNED
            and all(
                each.record is not None or each.position != model.UNASSIGNED
                for each in group.slots
            )
        ]
        assert trainer.n_ready == len(ready)
        assert trainer.n_open_slots == len(unacknowledged)
        positions = sorted(slot.position for slot in unacknowledged)
        assigned = [each for each in positions if each != model.UNASSIGNED]
        assert assigned == list(range(trainer.acknowledged, trainer.n_assigned))
        assert sorted(trainer.slots_by_position) == assigned

    @stateful.invariant()
    def owners_are_right(self) -> None:
        samples = section.of(self.machine.state)
        n_by_owner = dict.fromkeys(samples.owners_by_id, 0)
        for group in self.trainer.groups_by_id.values():
            if samples.owners_by_id:
                assert group.owner in samples.owners_by_id
                n_by_owner[group.owner] += len(group.slots) - group.n_acknowledged
        for owner in samples.owners_by_id.values():
            assert owner.n_slots == n_by_owner[owner.process_id]
        assert ownership.choose_owner(samples) in {"", *samples.owners_by_id}


Samples.TestCase.settings = schedules_support.of_machine(n_schedules=150, n_steps=60)


class Schedules(Samples.TestCase, unittest.TestCase):  # type: ignore[misc,name-defined]
    """The random schedules as a test."""
