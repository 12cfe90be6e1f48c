"""The right to order upstreams about: at most one orderer, numbers that only rise."""

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
        self.world.turn(self.first)

    def test_first_candidate_gets_the_right_at_once(self) -> None:
        self.assertEqual(self.world.number(self.first), 1)
        self.world.turn(self.second)
        self.assertIsNone(self.world.number(self.second))

    def test_renewing_keeps_the_right(self) -> None:
        for _ in range(20):
            self.world.now += 1.0
            self.world.turn(self.first)
            self.world.turn(self.second)
            self.assertEqual(self.world.number(self.first), 1)
            self.assertIsNone(self.world.number(self.second))

    def test_silent_holder_is_followed_after_a_whole_lease(self) -> None:
        self.world.turn(self.second)
        self.world.now += LEASE - 0.01
        self.world.turn(self.second)
        self.assertIsNone(self.world.number(self.second))
        self.world.now += 0.01
        self.world.turn(self.second)
        self.assertEqual(self.world.number(self.second), 2)
        self.assertIsNone(self.world.number(self.first))

    def test_renewal_committed_just_before_makes_the_takeover_fail(self) -> None:
        """The candidate has waited a lease; the holder's renewal was only delayed.

        It is committed between the candidate's look and its take-over. Both would
        hold the right if the take-over didn't name what was seen.
        """
        self.world.turn(self.second)
        self.world.now += LEASE - 0.5
        self.world.send(self.first, controller_lease.Due())
        renewal = self.world.in_flight.pop()
        self.world.now += 0.5
        self.world.send(self.second, controller_lease.Due())
        self.world.arrive()
        self.world.send(self.second, self.second.unread.pop())
        self.world.in_flight.insert(0, renewal)
        self.world.arrive(0)
        self.world.send(self.first, self.first.unread.pop())
        self.world.arrive()
        self.world.send(self.second, self.second.unread.pop())
        self.assertEqual(self.world.number(self.first), 1)
        self.assertIsNone(self.world.number(self.second))

    def test_lease_counts_from_when_the_renewal_was_sent(self) -> None:
        """The answer to a renewal is read late, by a process that was stopped."""
        self.world.send(self.first, controller_lease.Due())
        self.world.arrive()
        self.world.now += LEASE * 0.95 + 0.01
        self.world.send(self.first, self.first.unread.pop())
        self.assertIsNone(self.world.number(self.first))

    def test_holder_with_a_longer_lease_is_waited_for(self) -> None:
        """The holder runs with an older, longer lease than the candidate."""
        world = controller_world.World()
        holder = world.candidate("a", lease=9.0)
        world.turn(holder)
        world.turn(self.second)
        for _ in range(8):
            world.now += 1.0
            world.turn(self.second)
            self.assertEqual(
                (world.number(holder), world.number(self.second)), (1, None)
            )

    def test_numbers_rise_from_holder_to_holder(self) -> None:
        numbers = []
        for candidate in (self.second, self.first, self.second):
            self.world.turn(candidate)
            self.world.now += LEASE
            self.world.turn(candidate)
            numbers.append(self.world.number(candidate))
        self.assertEqual(numbers, [2, 3, 4])

    def test_numbers_of_a_new_group_are_above_those_of_a_lost_one(self) -> None:
        """All replicas are lost and a group is founded anew, from nothing.

        Engines refuse numbers below the highest that they have met, so a group that
        counts from 1 again could order nothing.
        """
        for _ in range(3):
            self.world.turn(self.second)
            self.world.now += LEASE
            self.world.turn(self.second)
        lost = controller_commands.read(self.world.state.state()).number
        world = controller_world.World()
        world.state.time = 1000.5
        candidate = world.candidate("a")
        world.turn(candidate)
        self.assertEqual(world.number(candidate), 1000)
        self.assertLess(lost, 1000)

    def test_number_of_an_earlier_life_is_not_taken_over(self) -> None:
        """A process takes the right, orders, and crashes; it had been started anew.

        Both lives took over from the same look. The second must not order under the
        first one's number, whose orders may still be under way.
        """
        earlier, later = (self.world.candidate("b") for _ in range(2))
        for candidate in (earlier, later):
            self.world.turn(candidate)
        self.world.now += LEASE
        self.world.send(later, controller_lease.Due())
        self.world.arrive()
        self.world.send(later, later.unread.pop())
        acquisition = self.world.in_flight.pop()
        self.world.turn(earlier)
        self.assertEqual(self.world.number(earlier), 2)
        self.world.in_flight.append(acquisition)
        self.world.arrive()
        self.world.send(later, later.unread.pop())
        self.assertIsNone(self.world.number(later))

    def test_right_given_back_is_free_at_once(self) -> None:
        release = controller_commands.ReleaseController("a", 1)
        self.world.state.apply(release)
        self.world.turn(self.second)
        self.assertEqual(self.world.number(self.second), 2)

    @tools.params(("an earlier number", "a", 1), ("another process", "b", 2))
    def test_late_renewal_or_release_changes_nothing(
        self, name: str, process_id: str, number: int
    ) -> None:
        self.world.turn(self.second)
        self.world.now += LEASE
        self.world.turn(self.second)
        self.world.now += LEASE
        self.world.turn(self.first)
        self.world.now += LEASE
        self.world.turn(self.first)
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
        """The state is restored from a copy, which may be older, and give nobody.

        No number is given twice. Whoever holds the right may still order, so the
        next holder waits a whole lease, though the copy knows of no holder.
        """
        copy = controller_commands.Section(number)
        self.restore(copy, is_new_group)
        self.world.turn(self.second)
        self.assertEqual(self.world.number(self.first), 1)
        self.assertIsNone(self.world.number(self.second), name)
        self.world.now += LEASE
        self.world.turn(self.second)
        self.assertEqual(self.world.number(self.second), next_number, name)
        self.assertIsNone(self.world.number(self.first))

    def test_fleet_shares_the_looking_at_a_healthy_holder(self) -> None:
        state = controller_commands.ControllerState(1, "a", "t", 5, LEASE, 330, 0.5)
        asked = controller_commands.AskController()
        answered = controller_lease.Answered(asked, 1000.0, state)
        self.second.decision.step(1000.0, answered)
        self.assertEqual(self.second.decision.delay, 33.0)
        silent = attrs.evolve(state, silent_seconds=LEASE)
        answered = controller_lease.Answered(asked, 1033.0, silent)
        self.assertEqual(len(self.second.decision.step(1033.0, answered)), 1)


class TestOrders(unittest.TestCase):
    @tools.params((True, ["new"]), (False, ["old", "new"]))
    def test_controller_wakes_with_an_order_in_hand(
        self, checks_fencing: bool, carried_out: list[str]
    ) -> None:
        """The controller is frozen between its check and its send, and replaced.

        An upstream that checks refuses the old order whenever it comes. One that
        ignores the number gets no new order until an old one has had the time to
        arrive, so the new one is the last that it carries out.
        """
        world = controller_world.World()
        old, new = world.candidate("a"), world.candidate("b")
        upstream = Upstream(checks_fencing)
        world.turn(old)
        in_hand = world.number(old)
        assert in_hand is not None
        world.turn(new)
        world.now += LEASE
        world.turn(new)
        number = world.number(new)
        assert number is not None
        # The old controller asks once more before the next order, and gets none.
        self.assertIsNone(world.number(old))
        if checks_fencing:
            self.assertTrue(upstream.order(number, "new"))
            self.assertFalse(upstream.order(in_hand, "old"))
        else:
            self.assertFalse(world.may_order_unfenced(new))
            upstream.order(in_hand, "old")
            while not world.may_order_unfenced(new):
                self.assertLess(world.now, 1100.0)
                world.now += 1.0
                world.turn(new)
            # The old lease and the longest flight have passed since the take-over.
            self.assertGreaterEqual(
                world.now, 1000.0 + LEASE + LEASE + controller_world.FLIGHT
            )
            upstream.order(number, "new")
        self.assertEqual(upstream.orders, carried_out)


class ControllerMachine(stateful.RuleBasedStateMachine):
    """Any schedule of looks, renewals, delays, losses and freezes.

    At no time do two processes hold the right, and the number never falls.
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
    def turn(self, index: int) -> None:
        self.world.in_flight.clear()
        self.world.turn(self.candidates[index])

    @stateful.rule(data=strategies.data())
    @stateful.precondition(lambda self: self.world.in_flight)
    def arrive(self, data: Any) -> None:
        last = len(self.world.in_flight) - 1
        self.world.arrive(data.draw(strategies.integers(0, last)))

    @stateful.rule(data=strategies.data())
    @stateful.precondition(lambda self: self.world.in_flight)
    def arrive_twice(self, data: Any) -> None:
        last = len(self.world.in_flight) - 1
        index = data.draw(strategies.integers(0, last))
        self.world.in_flight.append(self.world.in_flight[index])
        self.world.arrive(index)

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
    def at_most_one_holds_the_right(self) -> None:
        numbers = [self.world.number(each) for each in self.candidates]
        held = [number for number in numbers if number is not None]
        assert len(held) <= 1, numbers
        given = controller_commands.read(self.world.state.state()).number
        assert given >= self.highest
        self.highest = given


class TestAnySchedule(ControllerMachine.TestCase):
    settings = schedules_support.of_machine(n_schedules=60, n_steps=40)


class TestController(unittest.TestCase):
    def test_task_holds_checks_and_gives_back(self) -> None:
        """The task gets the right; its process is stopped past the lease.

        The check made when it wakes refuses the order, before any other task ran.
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
