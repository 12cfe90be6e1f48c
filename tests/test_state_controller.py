"""The controller lease: at most one holder, and numbers that only rise."""

import unittest
from typing import Any

import attrs
import eventlet
from hypothesis import stateful, strategies
from nose2 import tools

from bilberrydrum import options
from bilberrydrum.state import (
    controller,
    controller_commands,
    controller_lease,
    machine,
)
from tests import helpers, schedules_support
from tests.fakes import controller_world, direct_state

LEASE = controller_world.LEASE


@attrs.define
class Upstream:
    """An upstream that carries out orders, and may check their fencing number."""

    checks_fencing: bool
    newest: int = 0
    orders: list[str] = attrs.field(factory=list)

    def order(self, number: int, what: str) -> bool:
        if self.checks_fencing and number < self.newest:
            return False
        self.newest = max(self.newest, number)
        self.orders.append(what)
        return True


class TestLease(unittest.TestCase):
    def setUp(self) -> None:
        self.world = controller_world.World()
        self.first = self.world.candidate("a")
        self.second = self.world.candidate("b")
        self.world.run_round(self.first)

    def test_first_candidate_acquires_the_lease_at_once(self) -> None:
        self.assertEqual(self.world.number(self.first), 1)
        self.world.run_round(self.second)
        self.assertIsNone(self.world.number(self.second))

    def test_renewals_keep_the_lease(self) -> None:
        for _ in range(20):
            self.world.now += 1.0
            self.world.run_round(self.first)
            self.world.run_round(self.second)
            self.assertEqual(self.world.number(self.first), 1)
            self.assertIsNone(self.world.number(self.second))

    def test_silent_holder_is_replaced_after_a_full_lease(self) -> None:
        self.world.run_round(self.second)
        self.world.now += LEASE - 0.01
        self.world.run_round(self.second)
        self.assertIsNone(self.world.number(self.second))
        self.world.now += 0.01
        self.world.run_round(self.second)
        self.assertEqual(self.world.number(self.second), 2)
        self.assertIsNone(self.world.number(self.first))

    def test_renewal_committed_just_before_makes_the_takeover_fail(self) -> None:
        """A candidate has waited for a full lease, but the renewal was only delayed.

        The renewal is committed between the candidate's poll and its takeover. If the
        takeover did not name the renewal that was seen, both would hold the lease.
        """
        self.world.run_round(self.second)
        self.world.now += LEASE - 0.5
        self.world.send(self.first, controller_lease.Due())
        renewal = self.world.in_flight.pop()
        self.world.now += 0.5
        self.world.send(self.second, controller_lease.Due())
        self.world.deliver()
        self.world.send(self.second, self.second.unread.pop())
        self.world.in_flight.insert(0, renewal)
        self.world.deliver(0)
        self.world.send(self.first, self.first.unread.pop())
        self.world.deliver()
        self.world.send(self.second, self.second.unread.pop())
        self.assertEqual(self.world.number(self.first), 1)
        self.assertIsNone(self.world.number(self.second))

    def test_lease_counts_from_when_the_renewal_was_sent(self) -> None:
        """A process that was suspended reads the answer to its renewal late.

        If the lease counted from then, the process would hold it for longer than the
        other candidates wait.
        """
        self.world.send(self.first, controller_lease.Due())
        self.world.deliver()
        self.world.now += LEASE * 0.95 + 0.01
        self.world.send(self.first, self.first.unread.pop())
        self.assertIsNone(self.world.number(self.first))

    def test_holder_with_a_longer_lease_is_waited_for(self) -> None:
        """The holder runs with an older, longer lease than the candidate."""
        world = controller_world.World()
        holder = world.candidate("a", lease=9.0)
        world.run_round(holder)
        world.run_round(self.second)
        for _ in range(8):
            world.now += 1.0
            world.run_round(self.second)
            self.assertEqual(
                (world.number(holder), world.number(self.second)), (1, None)
            )

    def test_numbers_rise_from_holder_to_holder(self) -> None:
        numbers = []
        for candidate in (self.second, self.first, self.second):
            self.world.run_round(candidate)
            self.world.now += LEASE
            self.world.run_round(candidate)
            numbers.append(self.world.number(candidate))
        self.assertEqual(numbers, [2, 3, 4])

    def test_numbers_of_a_new_group_are_above_those_of_a_lost_one(self) -> None:
        """All replicas are lost, and a new group is bootstrapped with an empty state.

        Engines refuse numbers below the highest that they have seen. If the new group
        counted from 1 again, all its orders would be refused.
        """
        for _ in range(3):
            self.world.run_round(self.second)
            self.world.now += LEASE
            self.world.run_round(self.second)
        lost = controller_commands.read(self.world.state.state()).number
        world = controller_world.World()
        world.state.time = 1000.5
        candidate = world.candidate("a")
        world.run_round(candidate)
        self.assertEqual(world.number(candidate), 1000)
        self.assertLess(lost, 1000)

    def test_number_of_an_earlier_incarnation_is_not_taken_over(self) -> None:
        """Two incarnations of a process try to take over after the same poll.

        The earlier one acquires the lease. The later one must not use its number,
        because orders of the earlier one may still be in transit.
        """
        earlier, later = (self.world.candidate("b") for _ in range(2))
        for candidate in (earlier, later):
            self.world.run_round(candidate)
        self.world.now += LEASE
        self.world.send(later, controller_lease.Due())
        self.world.deliver()
        self.world.send(later, later.unread.pop())
        acquisition = self.world.in_flight.pop()
        self.world.run_round(earlier)
        self.assertEqual(self.world.number(earlier), 2)
        self.world.in_flight.append(acquisition)
        self.world.deliver()
        self.world.send(later, later.unread.pop())
        self.assertIsNone(self.world.number(later))

    def test_released_lease_is_free_at_once(self) -> None:
        release = controller_commands.ReleaseController("a", 1)
        self.world.state.apply(release)
        self.world.run_round(self.second)
        self.assertEqual(self.world.number(self.second), 2)

    @tools.params(("an earlier number", "a", 1), ("another process", "b", 2))
    def test_late_renewal_or_release_changes_nothing(
        self, name: str, process_id: str, number: int
    ) -> None:
        self.world.run_round(self.second)
        self.world.now += LEASE
        self.world.run_round(self.second)
        self.world.now += LEASE
        self.world.run_round(self.first)
        self.world.now += LEASE
        self.world.run_round(self.first)
        self.assertEqual(self.world.number(self.first), 3)
        before = attrs.astuple(controller_commands.read(self.world.state.state()))
        for command in (
            controller_commands.RenewController(process_id, number),
            controller_commands.ReleaseController(process_id, number),
        ):
            self.world.state.apply(command)
        after = attrs.astuple(controller_commands.read(self.world.state.state()))
        self.assertEqual(after, before, name)

    def restore(self, copy: controller_commands.Section, is_new_group: bool) -> None:
        sections = self.world.state.state().sections
        current = sections[controller_commands.SECTION]
        machine.keep_rising(copy, None if is_new_group else current)
        sections[controller_commands.SECTION] = copy

    @tools.params(
        ("older copy", 0, False, 2),
        ("newer copy", 40, False, 41),
        ("new group", 40, True, 41),
    )
    def test_restored_state_neither_lowers_numbers_nor_shortens_leases(
        self, name: str, number: int, is_new_group: bool, next_number: int
    ) -> None:
        """The state is restored from a backup, which may be older and have no holder.

        No number may be given twice. The current holder may still send orders, so the
        next one must wait for a full lease, although the backup has no holder.
        """
        copy = controller_commands.Section(number)
        self.restore(copy, is_new_group)
        self.world.run_round(self.second)
        self.assertEqual(self.world.number(self.first), 1)
        self.assertIsNone(self.world.number(self.second), name)
        self.world.now += LEASE
        self.world.run_round(self.second)
        self.assertEqual(self.world.number(self.second), next_number, name)
        self.assertIsNone(self.world.number(self.first))

    def test_fleet_shares_the_polling_of_a_healthy_holder(self) -> None:
        state = controller_commands.ControllerState(1, "a", "t", 5, LEASE, 330, 0.5)
        query = controller_commands.AskController()
        answered = controller_lease.Answered(query, 1000.0, state)
        self.second.decision.step(1000.0, answered)
        self.assertEqual(self.second.decision.delay, 33.0)
        silent = attrs.evolve(state, silent_seconds=LEASE)
        answered = controller_lease.Answered(query, 1033.0, silent)
        self.assertEqual(len(self.second.decision.step(1033.0, answered)), 1)


class TestOrders(unittest.TestCase):
    @tools.params((True, ["new"]), (False, ["old", "new"]))
    def test_controller_resumes_with_an_order_ready_to_send(
        self, checks_fencing: bool, carried_out: list[str]
    ) -> None:
        """The controller is suspended between its check and its send, and replaced.

        An upstream that checks the number refuses the old order whenever it arrives.
        One that ignores the number gets no new order before the old ones must have
        arrived, so the new order is the last that it carries out.
        """
        world = controller_world.World()
        old, new = world.candidate("a"), world.candidate("b")
        upstream = Upstream(checks_fencing)
        world.run_round(old)
        old_number = world.number(old)
        assert old_number is not None
        world.run_round(new)
        world.now += LEASE
        world.run_round(new)
        number = world.number(new)
        assert number is not None
        # The old controller checks again before its next order, and gets no number.
        self.assertIsNone(world.number(old))
        if checks_fencing:
            self.assertTrue(upstream.order(number, "new"))
            self.assertFalse(upstream.order(old_number, "old"))
        else:
            self.assertFalse(world.may_order_unfenced(new))
            upstream.order(old_number, "old")
            while not world.may_order_unfenced(new):
                self.assertLess(world.now, 1100.0)
                world.now += 1.0
                world.run_round(new)
            # The old lease and the longest flight have passed since the takeover.
            self.assertGreaterEqual(
                world.now, 1000.0 + LEASE + LEASE + controller_world.FLIGHT
            )
            upstream.order(number, "new")
        self.assertEqual(upstream.orders, carried_out)


class ControllerMachine(stateful.RuleBasedStateMachine):
    """Random schedules of polls, renewals, delays, losses and suspended processes.

    At no time do two processes hold the lease, and the number never falls.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = controller_world.World()
        self.candidates = [
            self.world.candidate("a", 0.96),
            self.world.candidate("b", 1.0),
            self.world.candidate("c", 0.98, lease=4.0),
        ]
        self.highest = 0

    @stateful.rule(index=strategies.integers(0, 2))
    def due(self, index: int) -> None:
        self.world.send(self.candidates[index], controller_lease.Due())

    @stateful.rule(index=strategies.integers(0, 2))
    def run_round(self, index: int) -> None:
        self.world.in_flight.clear()
        self.world.run_round(self.candidates[index])

    @stateful.rule(data=strategies.data())
    @stateful.precondition(lambda self: self.world.in_flight)
    def deliver(self, data: Any) -> None:
        last = len(self.world.in_flight) - 1
        self.world.deliver(data.draw(strategies.integers(0, last)))

    @stateful.rule(data=strategies.data())
    @stateful.precondition(lambda self: self.world.in_flight)
    def deliver_twice(self, data: Any) -> None:
        last = len(self.world.in_flight) - 1
        index = data.draw(strategies.integers(0, last))
        self.world.in_flight.append(self.world.in_flight[index])
        self.world.deliver(index)

    @stateful.rule(index=strategies.integers(0, 2))
    def read(self, index: int) -> None:
        candidate = self.candidates[index]
        if candidate.unread:
            self.world.send(candidate, candidate.unread.pop(0))

    @stateful.rule(index=strategies.integers(0, 2))
    def give_up(self, index: int) -> None:
        self.world.send(self.candidates[index], controller_lease.Unanswered())

    @stateful.rule(seconds=strategies.sampled_from((0.1, 1.0, 2.9, 3.0, 4.1)))
    def advance(self, seconds: float) -> None:
        self.world.now += seconds

    @stateful.invariant()
    def at_most_one_holds_the_lease(self) -> None:
        numbers = [self.world.number(each) for each in self.candidates]
        held = [number for number in numbers if number is not None]
        assert len(held) <= 1, numbers
        number = controller_commands.read(self.world.state.state()).number
        assert number >= self.highest
        self.highest = number


class TestAnySchedule(ControllerMachine.TestCase):
    settings = schedules_support.of_machine(n_schedules=60, n_steps=40)


class TestController(unittest.TestCase):
    def test_task_acquires_checks_and_releases(self) -> None:
        """The task acquires the lease; its process is suspended until it has expired.

        The check after the process resumes refuses the order, before any other task
        has run.
        """
        state = direct_state.DirectState()
        task = controller.Controller(options.Options("a"), state)
        with helpers.manual_clock() as clock:
            task.start()
            while task.fencing_number() is None:
                eventlet.sleep(0)
            self.assertEqual(task.fencing_number(), 1)
            self.assertFalse(task.may_order_unfenced())
            clock.advance(LEASE)
            self.assertIsNone(task.fencing_number())
            task.stop()
        self.assertIsNone(task.fencing_number())
        section = controller_commands.read(state.state())
        self.assertEqual((section.number, section.holder), (1, ""))
