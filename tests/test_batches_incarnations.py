"""An engine that restarts under the same name."""

import unittest
from unittest import mock

import attrs
import eventlet
from nose2 import tools

from bilberrydrum import clock, reasons
from bilberrydrum.batches import (
    engine_shares,
    engines,
    lifecycle,
    loader,
    orders,
    weight_plan,
)
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy
from bilberrydrum.requests import attempts, connections, watch
from tests import batches_support
from tests.fakes import node_protocol


class Incarnations(unittest.TestCase):
    """An engine carries out an order that was meant for its previous incarnation.

    The engine crashes while it gets an order to load, and restarts under the same name.
    It counts its orders from 0 again, so the old order could match. The new incarnation
    may also serve other weight versions than the previous one.
    """

    def setUp(self):
        self.engine = node_protocol.PlainEngine()
        self.addCleanup(self.engine.stop)
        self.shares = engine_shares.Shares()

    def carry_out(self, known_start, reported_start, is_wanted=True):
        self.engine.started_at_ms = reported_start
        upstream = fleet_model.FleetUpstream(
            "e", "s", self.engine.address, "z", 2, started_at_ms=known_start
        )
        resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch()
        )
        sender = orders.OrderSender(resources, node_protocol.PlainProtocol(), lambda: 1)
        load = weight_plan.Load(upstream.upstream_id, "m", 2)
        order = orders.Order(load, True, "holder", lambda: is_wanted)
        sender.carry_out(upstream, order)
        return [each["announced_id"] for each in self.engine.orders]

    @tools.params(
        ("the same incarnation", 5, 5, ["e"]),
        ("the next incarnation", 5, 6, []),
        ("starts are not reported", None, None, ["e"]),
        ("an engine that reports no start", 5, None, ["e"]),
    )
    def test_orders(self, name, known_start, reported_start, expected):
        self.assertEqual(self.carry_out(known_start, reported_start), expected, name)

    def test_engine_that_left_meanwhile(self):
        self.assertEqual(self.carry_out(5, 5, is_wanted=False), [])

    def test_restart_during_a_load(self):
        """An engine restarts while it loads; its next incarnation has no order.

        Guards against a load of the previous incarnation that keeps the next one from
        being ordered, and against a failure that is counted for it.
        """
        for name in ("_FIRST_POLL_SECONDS", "_POLL_SECONDS"):
            poll = mock.patch.object(orders, name, 0.01)
            poll.start()
            self.addCleanup(poll.stop)
        first = fleet_model.FleetUpstream(
            "e",
            "s",
            self.engine.address,
            "z",
            2,
            versions_by_model={"m": 1},
            started_at_ms=5,
        )
        self.engine.started_at_ms = 5
        self.engine.holds_loads = True
        known = engines.Engines()
        loads = self.make_loader(known)
        self.step(loads, known, first)
        self.wait_for(lambda: len(self.engine.orders) == 1)
        before = known.by_id[first.upstream_id]
        self.engine.orders.clear()
        self.engine.started_at_ms = 6
        following = attrs.evolve(first, started_at_ms=6)
        self.step(loads, known, following)
        self.wait_for(lambda: len(self.engine.orders) == 1)
        self.wait_for(lambda: not before.is_loading)
        (engine,) = known.by_id.values()
        self.assertTrue(engine.is_loading)
        self.assertEqual(engine.versions_by_model, {"m": 1})
        self.engine.finish_load()
        self.wait_for(lambda: not engine.is_loading)
        self.assertEqual([e["expected_sequence"] for e in self.engine.orders], [0])
        self.assertEqual(engine.versions_by_model, {"m": 2})
        self.assertEqual(before.versions_by_model, {"m": 1})
        self.assertFalse(engine.is_excluded(clock.now()))

    def make_loader(self, known):
        made = loader.Loader(
            attempts.Resources(connections.ConnectionPool(), watch.ClientWatch()),
            node_protocol.PlainProtocol(),
            known,
            loader.LoaderHooks("holder", lambda: 1, lambda name: False, lambda: None),
        )
        self.addCleanup(made.stop)
        return made

    def step(self, loads, known, upstream):
        """Start the loads that are due once `upstream` is the only engine."""
        known.refresh((upstream,), {"s": policy.Service("s", models=("m",))})
        shares = engine_shares.divide([upstream.upstream_id], {"m": 1.0}, self.shares)
        loads.step(clock.now(), known.usable(clock.now()), {"m": 2}, (), shares)

    def wait_for(self, condition):
        with eventlet.Timeout(10.0):
            while not condition():
                clock.sleep(0.005)

    def test_next_incarnation_starts_without_failures(self):
        known = engines.Engines()
        services = {"s": policy.Service("s", models=("m",))}
        first = fleet_model.FleetUpstream(
            "e", "s", "a", "z", 2, versions_by_model={"m": 9}, started_at_ms=5
        )
        known.refresh([first], services)
        known.by_id[first.upstream_id].record_failure(100.0)
        following = attrs.evolve(first, versions_by_model={"m": 8}, started_at_ms=6)
        known.refresh([following], services)
        (engine,) = known.by_id.values()
        self.assertEqual(engine.versions_by_model, {"m": 8})
        self.assertFalse(engine.is_excluded(100.1))

    def test_item_may_resume_at_the_next_incarnation(self):
        """An item avoids the new incarnation because its previous attempt broke off.

        The new incarnation has the same name and address, but the item may resume there
        at once. Nothing is sent to the previous incarnation any more.
        """
        first = fleet_model.FleetUpstream("e", "s", "a", "z", 2, started_at_ms=5)
        following = attrs.evolve(first, started_at_ms=6)
        run = lifecycle.ItemRun(batches_support.batch().items[0], ("b", "g0"))
        run.exclude(first.upstream_id, 100.0)
        self.assertNotIn(following.upstream_id, run.excluded_ids(100.1))
        registry = fleet_model.Registry(1, (following,))
        self.assertIsNone(registry.find_refusal(following.upstream_id))
        self.assertEqual(
            registry.find_refusal(first.upstream_id), reasons.Reason.UPSTREAM_LEFT
        )
