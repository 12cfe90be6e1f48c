"""An engine that starts again under its name."""

import unittest

import attrs
from nose2 import tools

from bilberrydrum import reasons
from bilberrydrum.batches import engines, lifecycle, orders, weight_plan
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy
from bilberrydrum.requests import attempts, connections, watch
from tests import batches_support
from tests.fakes import node_protocol


class Incarnations(unittest.TestCase):
    """An engine crashes while it is told to load, and starts again under its name.

    It counts its orders anew, so an order that was made for the one before would be
    carried out by the next. It may also serve other weights than its predecessor did.
    """

    def setUp(self):
        self.engine = node_protocol.PlainEngine()
        self.addCleanup(self.engine.stop)

    def carry_out(self, known_start, reported_start, is_wanted=True):
        self.engine.started_at_ms = reported_start
        upstream = fleet_model.FleetUpstream(
            "e", "s", self.engine.address, "z", 2, started_at_ms=known_start
        )
        means = attempts.Means(connections.ConnectionPool(), watch.ClientWatch())
        sender = orders.OrderSender(means, node_protocol.PlainProtocol(), lambda: 1)
        load = weight_plan.Load(upstream.upstream_id, "m", 2)
        order = orders.Order(load, True, "holder", lambda: is_wanted)
        sender.carry_out(upstream, order)
        return [each["announced_id"] for each in self.engine.orders]

    @tools.params(
        ("the same one", 5, 5, ["e"]),
        ("the next one", 5, 6, []),
        ("starts are not told", None, None, ["e"]),
        ("an engine that reports no start", 5, None, ["e"]),
    )
    def test_orders(self, name, known_start, reported_start, expected):
        self.assertEqual(self.carry_out(known_start, reported_start), expected, name)

    def test_engine_that_is_gone_meanwhile(self):
        self.assertEqual(self.carry_out(5, 5, is_wanted=False), [])

    def test_the_next_one_is_judged_by_itself(self):
        known = engines.Engines()
        services = {"s": policy.Service("s", models=("m",))}
        first = fleet_model.FleetUpstream(
            "e", "s", "a", "z", 2, versions_by_model={"m": 9}, started_at_ms=5
        )
        known.refresh([first], services)
        known.by_id[first.upstream_id].failed(100.0)
        following = attrs.evolve(first, versions_by_model={"m": 8}, started_at_ms=6)
        known.refresh([following], services)
        (engine,) = known.by_id.values()
        self.assertEqual(engine.versions_by_model, {"m": 8})
        self.assertFalse(engine.is_passed_over(100.1))

    def test_text_goes_on_at_the_next_one(self):
        """Its streams broke with it; nothing is sent to it any more.

        The next one has its name and address but is not passed over for its failures,
        and what it serves is asked anew.
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
