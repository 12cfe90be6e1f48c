"""Random schedules of messages, suspensions, restarts, rolls and new leaders."""

from typing import Any

from hypothesis import stateful, strategies

from bilberrydrum.bundles import model
from tests import schedules_support
from tests.fakes import lease_world


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Gateways and leaders under any schedule of messages, time, restarts and rolls.

    In every state, no incarnation of a gateway acts on a bundle older than the one in
    force, and none reverts to an older version.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = lease_world.World({"g0": 1.0, "g1": 0.96})
        self.world.roll()
        self.world.renew_all("g0", "g1")

    @stateful.rule(gateway=strategies.sampled_from(("g0", "g1")))
    def renew(self, gateway: str) -> None:
        self.world.renew(gateway)

    @stateful.rule(data=strategies.data())
    @stateful.precondition(lambda self: self.world.in_flight)
    def deliver(self, data: Any) -> None:
        last = len(self.world.in_flight) - 1
        index = data.draw(strategies.integers(0, last))
        self.world.deliver(self.world.in_flight[index])

    @stateful.rule(data=strategies.data())
    @stateful.precondition(lambda self: self.world.in_flight)
    def copy(self, data: Any) -> None:
        last = len(self.world.in_flight) - 1
        index = data.draw(strategies.integers(0, last))
        self.world.receive(self.world.in_flight[index])

    @stateful.rule(gateway=strategies.sampled_from(("g0", "g1")))
    def exchange(self, gateway: str) -> None:
        self.world.renew_all(gateway)

    @stateful.rule(seconds=strategies.sampled_from((0.1, 1.0, 2.9, 3.0, 58.0)))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @stateful.rule(policy=strategies.sampled_from((model.CUT_REFUSE, model.CUT_HOLD)))
    def roll(self, policy: str) -> None:
        self.world.roll(policy)

    @stateful.rule(rate=strategies.sampled_from((0.97, 1.0)))
    def elect(self, rate: float) -> None:
        self.world.elect(rate)

    @stateful.rule(
        gateway=strategies.sampled_from(("g0", "g1")),
        rate=strategies.sampled_from((0.96, 1.0)),
    )
    @stateful.precondition(lambda self: len(self.world.incarnations) < 6)
    def restart(self, gateway: str, rate: float) -> None:
        self.world.start_gateway(gateway, rate)

    @stateful.invariant()
    def nothing_older_than_in_force_is_acted_on(self) -> None:
        for gateway in self.world.incarnations:
            version = self.world.acts_on(gateway)
            if version is not None:
                assert version >= self.world.in_force(), (
                    gateway,
                    self.world.in_force(),
                )
            assert gateway.versions == sorted(set(gateway.versions))


class TestAnySchedule(LeaseMachine.TestCase):
    settings = schedules_support.of_machine(n_schedules=60, n_steps=40)

    def runTest(self) -> None:  # noqa: N802
        """Run the schedules; the name is unittest's."""
        with schedules_support.played_by(__name__):
            super().runTest()
