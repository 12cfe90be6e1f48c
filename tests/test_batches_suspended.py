"""A stores' leader that is suspended, and whose lease has expired when it continues."""

import unittest

import eventlet

from bilberrydrum import clock
from bilberrydrum.batches import orders, weight_plan
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.requests import attempts, connections, watch
from tests import test_batches_ended as ended_batches
from tests.fakes import node_protocol


class Items(ended_batches.RunnerCase):
    """The process is suspended between the assignment of an item and its sending."""

    holds_lease = True

    def may_send(self):
        # The scheduling pass ran before the process was suspended.
        is_pass = eventlet.getcurrent() is self.runner._task
        return is_pass or self.holds_lease

    def test_no_item_is_sent_after_the_lease(self):
        """Guard against an item that the next leader runs at the same time."""
        self.begin(1)
        self.holds_lease = False
        self.runner.accept(ended_batches.batch("b2", 1))
        clock.sleep(4 * ended_batches.EVENT_SECONDS)
        self.assertEqual(len(self.engine.received), 1)
        self.holds_lease = True
        self.wait_for(lambda: len(self.engine.received) == 2)


class Orders(unittest.TestCase):
    """The process is suspended between an engine's report and the order."""

    def test_no_order_is_sent_after_the_lease(self):
        """Guard against an order that arrives after one of the next leader."""
        engine = node_protocol.PlainEngine()
        self.addCleanup(engine.stop)
        upstream = fleet_model.FleetUpstream("e", "s", engine.address, "z", 2)
        resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch()
        )
        load = weight_plan.Load("e", "m", 2)
        for number, expected in ((None, []), (7, [7])):
            sender = orders.OrderSender(
                resources, node_protocol.PlainProtocol(), lambda given=number: given
            )
            sender.carry_out(upstream, orders.Order(load, True, "holder"))
            received = [each["fencing_number"] for each in engine.orders]
            self.assertEqual(received, expected)
