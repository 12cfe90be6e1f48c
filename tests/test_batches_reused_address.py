"""Engines whose address another upstream has, which rejects each request with 421."""

import collections
import random
import unittest
from unittest import mock

import attrs
import eventlet
from nose2 import tools

from bilberrydrum import clock
from bilberrydrum.batches import (
    engine_shares,
    engines,
    hooks,
    model,
    orders,
    runner,
    weight_plan,
)
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy
from bilberrydrum.relay import balancing, crash_watch, relay
from bilberrydrum.requests import attempts, connections, watch
from tests import relay_support, test_batches_ended
from tests.fakes import node_protocol, scripted

N_SLOTS = 12
N_ITEMS = 24
COMPLETED = model.ItemState.COMPLETED
# A text takes longer than three tries at a reused address, a second apart.
N_EVENTS = 10
EVENT_SECONDS = 0.3


def generate(connection, received):
    """Answer like an engine that is busy with its first items for three seconds."""
    head = f"HTTP/1.1 200 OK\r\n{node_protocol.ID}: {received.request_id}\r\n"
    head += "Version: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    connection.sendall(head.encode())
    first = int(received.headers.get("last", 0)) + 1
    for number in range(first, N_EVENTS + 1):
        eventlet.sleep(EVENT_SECONDS)
        connection.sendall(scripted.chunk(b"id: %d\ndata: x\n\n" % number))
    connection.sendall(scripted.LAST_CHUNK)


class View(test_batches_ended.View):
    """A store's copy of a registry of several engines, and of its policy."""

    def __init__(self, servers):
        first, *others = [mock.Mock(server=each) for each in servers]
        super().__init__(first, N_SLOTS)
        for n, each in enumerate(others, 2):
            self.add(f"e{n}", each)
        (route,) = self.routes.policy.routes
        limited = attrs.evolve(route, max_queue_seconds=30.0, max_attempts=3)
        self.routes = policy.RouteTable(
            attrs.evolve(self.routes.policy, routes=(limited,))
        )


class Items(unittest.TestCase):
    """A batch runs while the registry still lists an engine that is gone."""

    def begin(self, *answers):
        """Run a batch on one engine for each of `answers`."""
        self.servers = [scripted.Scripted(each, kind="engine") for each in answers]
        for each in self.servers:
            self.addCleanup(each.stop)
        view = View(self.servers)
        resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch()
        )
        rng = random.Random(1)
        protocol = node_protocol.PlainProtocol()
        crashes = crash_watch.CrashWatch(view, None)
        balancer = balancing.Balancer("z", rng)
        self.results = []
        given = hooks.Hooks(
            finish=lambda batch_id, each: self.results.append(each),
            keep_text=lambda batch_id, each: None,
            score=lambda *each: None,
            save=lambda batch_id, progress: None,
            fencing_number=lambda: None,
            may_send=lambda: True,
            holder="me",
        )
        started = runner.BatchRunner(
            protocol,
            view,
            resources,
            given,
            relay.Relay(protocol, view, resources, balancer, rng, crashes),
            crashes,
        )
        items = tuple(
            model.Item(f"i{n}", "/p/x", {}, b"body", 20, f"g{n}")
            for n in range(N_ITEMS)
        )
        batch = model.Batch("b", "h", items, model="m")
        # The age of a batch is counted from its submission.
        started.start([model.KeptBatch.of(batch, clock.unix_now())])
        self.addCleanup(started.stop)

    def wait_for_results(self, seconds):
        end = clock.now() + seconds
        while len(self.results) < N_ITEMS and clock.now() < end:
            clock.sleep(0.02)

    @tools.params(
        ("named", relay_support.MISDIRECTED),
        ("without an id", relay_support.without_id(421)),
        ("with the header", relay_support.answer(b"", 421, "Not-Run: 1")),
    )
    def test_no_item_is_given_up(self, name, answer):
        """Guard against items that are given up although no engine has run them."""
        self.begin(answer, generate)
        self.wait_for_results(20.0)
        states = collections.Counter(each.state for each in self.results)
        self.assertEqual(states, {COMPLETED: N_ITEMS}, name)

    def test_refusing_address_is_asked_rarely(self):
        """Guard against waiting items that are sent to the address again and again."""
        self.begin(relay_support.MISDIRECTED)
        self.wait_for_results(3.0)
        self.assertEqual(self.results, [])
        # One item for each run slot, and one after each pause of 0.5, 1 and 2 s.
        self.assertLessEqual(len(self.servers[0].received), N_SLOTS + 3)


class Backoff(unittest.TestCase):
    def test_engine_is_tried_with_one_item_until_it_completes_one(self):
        """Guard against a dozen items that find out about a reused address at once."""
        upstream = fleet_model.FleetUpstream("e", "s", "a", "z", N_SLOTS)
        engine = engines.Engine(upstream)
        engine.record_misdirection(100.0)
        self.assertTrue(engine.is_excluded(100.4))
        self.assertFalse(engine.is_excluded(100.6))
        self.assertEqual(engine.capacity(engine_shares.Shares()).n_slots, 1)
        engine.record_success()
        self.assertEqual(engine.capacity(engine_shares.Shares()).n_slots, N_SLOTS)


class Orders(unittest.TestCase):
    def test_load_ends_with_the_first_report(self):
        """Guard against a load that waits 10 s for an engine that is gone.

        Other engines may not load meanwhile, and the address is asked 40 times.
        """
        other = scripted.Scripted(relay_support.MISDIRECTED, kind="engine")
        self.addCleanup(other.stop)
        upstream = fleet_model.FleetUpstream("e", "s", other.address, "z", 2)
        resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch()
        )
        sender = orders.OrderSender(resources, node_protocol.PlainProtocol(), lambda: 1)
        order = orders.Order(weight_plan.Load("e", "m", 2), True, "holder")
        with eventlet.Timeout(5.0):
            self.assertIsNone(sender.carry_out(upstream, order))
        self.assertEqual([each.target for each in other.received], ["/report"])
