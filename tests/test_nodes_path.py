"""All three roles in one process on loopback, with a fake engine."""

import socket
import tempfile
import unittest

import attrs
import eventlet

from bilberrydrum import clock
from bilberrydrum.batches import commands
from bilberrydrum.batches import messages as batch_messages
from bilberrydrum.batches import model as batch_model
from bilberrydrum.fleet import messages, model, policy
from bilberrydrum.nodes import control, gateway, options, store
from bilberrydrum.relay import model as relay_model
from tests import helpers
from tests.fakes import node_protocol

ROUTES = (
    policy.Route(
        "plain",
        "h",
        "/plain/",
        policy.RouteKind.IDEMPOTENT,
        (policy.Share("apps", 1.0),),
        timeout_seconds=2.0,
        target_latency_seconds=0.2,
    ),
    policy.Route(
        "batches",
        "h",
        "/batches/",
        policy.RouteKind.BATCH,
        (policy.Share("engines", 1.0),),
        timeout_seconds=2.0,
        max_queue_seconds=30.0,
        max_attempts=3,
    ),
)
SERVICES = (
    policy.Service("apps"),
    policy.Service("engines", models=("m",), n_cache_tokens=1000),
)

LEASE_SECONDS = 1.0


def node(role, folder, control_address, is_first=True):
    first = helpers.free_port()
    own = control_address if role is options.Role.CONTROL else f"127.0.0.1:{first}"
    return options.NodeOptions(
        role,
        f"{role}-1",
        "zone",
        own,
        f"127.0.0.1:{helpers.free_port()}",
        (control_address,),
        is_first,
        folder,
        n_losses=0,
        announce_seconds=5.0,
    )


def is_free(address):
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        # ZeroMQ binds with this option, so closed connections do not block the port.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, int(port)))
        except OSError:
            return False
    return True


class Path(unittest.TestCase):
    def setUp(self):
        self.folders = [tempfile.TemporaryDirectory() for _ in range(2)]
        for folder in self.folders:
            self.addCleanup(folder.cleanup)
        self.control_address = f"127.0.0.1:{helpers.free_port()}"
        protocol = node_protocol.PlainProtocol()
        self.control = self.start(control.Control, options.Role.CONTROL, 0)
        self.store = self.start(store.Store, options.Role.STORE, 1, protocol)
        self.gateway = self.start(gateway.Gateway, options.Role.GATEWAY, None, protocol)
        self.engine = node_protocol.PlainEngine()
        self.addCleanup(self.engine.stop)
        document = policy.Policy(3, ROUTES, SERVICES)
        self.ask_control(messages.SubmitPolicy(document, b"as submitted"))
        self.announce("engine-1", "engines", {"m": 1})
        self.announce("app-1", "apps", {})

    def start(self, make, role, folder, *more):
        name = self.folders[folder].name if folder is not None else ""
        started = make(node(role, name, self.control_address), *more)
        started.start()
        self.addCleanup(started.stop)
        return started

    def ask_control(self, message):
        return self.control.calls.call(message, 10.0).unwrap()

    def ask_stores(self, message):
        return self.gateway.store_calls.call(message, 10.0).unwrap()

    def announce(self, upstream_id, service, versions):
        upstream = model.FleetUpstream(
            upstream_id,
            service,
            self.engine.address,
            "zone",
            4,
            False,
            0.0,
            versions,
            1,
        )
        # Each service needs its own address; the second would replace the first one.
        if service == "apps":
            self.app = node_protocol.PlainEngine()
            self.addCleanup(self.app.stop)
            upstream = model.FleetUpstream(
                upstream_id, service, self.app.address, "zone", 4, sequence=1
            )
        self.ask_control(messages.Announce(upstream))

    def wait_for(self, condition):
        with eventlet.Timeout(15.0):
            while not condition():
                clock.sleep(0.02)

    def is_ready(self):
        stores = self.gateway.view.registry.founder_addresses
        return self.gateway.is_ready() and bool(stores) and self.n_upstreams() == 2

    def n_upstreams(self):
        return len(self.gateway.view.registry.upstreams)

    def batch(self, batch_id="b1", min_version=0, is_scored=False):
        items = tuple(
            batch_model.Item(
                f"{batch_id}-{n}",
                "/batches/x",
                {},
                b"body",
                9,
                "g",
                scoring=batch_model.ScoringRequest(
                    f"score-{batch_id}-{n}", "h", "/plain/score", b"mark"
                )
                if is_scored
                else None,
            )
            for n in range(6)
        )
        return batch_model.Batch(batch_id, "h", items, 0, "m", min_version)

    def read(self, batch_id, n_wanted):
        results = []
        with eventlet.Timeout(15.0):
            while len(results) < n_wanted:
                read = batch_messages.Read(batch_id, len(results), 0.5)
                results += self.ask_stores(read).results
        return results

    def test_complete_path(self):
        """A policy, a request, two batches, a new version, an end and a departure."""
        self.wait_for(self.is_ready)
        inbound = relay_model.Inbound(
            "r1", "h", "POST", "/plain/x", "/plain/x", {}, b"", clock.now() + 2.0
        )
        route = self.gateway.find_route("r1", "h", "/plain/x")
        self.assertEqual(self.gateway.relay.handle(inbound, route).status, 200)

        self.ask_stores(batch_messages.Submit.of(self.batch()))
        results = self.read("b1", 6)
        self.assertEqual({each.text for each in results}, {b"e1\ne2\ne3"})
        self.assertEqual({each.versions for each in results}, {(1,)})
        again = self.ask_stores(batch_messages.Read("b1", 0, 0.0)).results
        self.assertEqual(list(again), results)

        self.ask_control(messages.PublishVersion("m", 2))
        self.ask_stores(batch_messages.Submit.of(self.batch("b2", min_version=2)))
        versions = {each.versions for each in self.read("b2", 6)}
        self.assertEqual(versions, {(2,)})
        self.assertEqual(len(self.engine.orders), 1)
        self.assertEqual(self.engine.orders[0]["expected_sequence"], 0)

        ended = self.ask_stores(batch_messages.AskEnd("b2"))
        self.assertTrue(ended.is_known)
        self.ask_control(messages.Depart("app-1"))
        self.wait_for(lambda: self.n_upstreams() == 1)
        refused = self.gateway.relay.handle(inbound, route)
        self.assertFalse(refused.may_have_run)

    def test_scored_batch(self):
        """The plain service scores each item once its text is complete."""
        self.wait_for(self.is_ready)
        self.ask_stores(batch_messages.Submit.of(self.batch("b3", is_scored=True)))
        results = self.read("b3", 6)
        self.assertEqual({each.text for each in results}, {b"e1\ne2\ne3"})
        expected = {f"b3-{n}": f"by-score-b3-{n}" for n in range(6)}
        self.assertEqual({e.item_id: e.score for e in results}, expected)
        self.assertEqual(sorted(self.engine.request_ids), sorted(expected))
        self.assertEqual(len(self.app.request_ids), 6)

    def store_options(self):
        """Return the options with which the store is restarted."""
        again = node(
            options.Role.STORE, self.folders[1].name, self.control_address, False
        )
        # The store keeps its address, as it is its id in the group.
        return attrs.evolve(again, store_address=self.store._node.store_address)

    def test_store_restarts_between_texts_and_scores(self):
        """The leading store restarts when the texts of a batch wait for their scores.

        The service that scores did not answer before. The store must have the stored
        texts scored and must not generate them again, as that could use other weights
        and would cost the trainer seconds.
        """
        self.wait_for(self.is_ready)
        self.app.is_silent = True
        self.ask_stores(batch_messages.Submit.of(self.batch("b4", is_scored=True)))
        section = commands.section_of(self.store.replica.state()).batches_by_id
        self.wait_for(lambda: len(section["b4"].unscored_by_item_id) == 6)
        self.assertEqual(section["b4"].results, [])
        self.store.stop()
        self.wait_for(lambda: is_free(self.store._node.store_address))
        self.app.is_silent = False
        protocol = node_protocol.PlainProtocol()
        self.store = store.Store(self.store_options(), protocol)
        self.store.start()
        self.addCleanup(self.store.stop)
        results = self.read("b4", 6)
        expected = {f"b4-{n}": f"by-score-b4-{n}" for n in range(6)}
        self.assertEqual({e.item_id: e.score for e in results}, expected)
        self.assertEqual(len(self.engine.request_ids), 6)

    def test_store_restarts_while_an_engine_loads(self):
        """The leading store is lost while an engine loads, and a newer version follows.

        Guards against an order that another one overtakes where engines do not check
        fencing numbers: an order that the lost leader has just sent may still be
        carried out, so the next leader sends none for the duration of a lease. It does
        not order the version that was loaded meanwhile again. Its items resume before
        the lease ends: the engine is healthy, although no order may be sent to it.
        """
        self.wait_for(self.is_ready)
        engine = self.engine
        # Half of a text is enough to be saved.
        engine.n_events = 40
        engine.holds_texts = engine.holds_loads = True
        self.ask_stores(batch_messages.Submit.of(self.batch("b5")))
        section = commands.section_of(self.store.replica.state()).batches_by_id
        self.wait_for(lambda: section["b5"].progress_by_item_id)
        self.ask_control(messages.PublishVersion("m", 2))
        self.wait_for(lambda: len(engine.orders) == 1)
        self.store.stop()
        self.wait_for(lambda: is_free(self.store._node.store_address))
        engine.holds_texts = False
        engine.finish_load()
        # An engine at version 2 is too old for the next step, so an order is due.
        self.ask_control(messages.PublishVersion("m", 3))
        n_before = len(engine.received_at)
        again = attrs.evolve(
            self.store_options(),
            do_upstreams_check_fencing=False,
            order_lease_seconds=LEASE_SECONDS,
        )
        self.store = store.Store(again, node_protocol.PlainProtocol())
        self.store.start()
        self.addCleanup(self.store.stop)
        self.ask_stores(batch_messages.Submit.of(self.batch("b6", min_version=3)))
        self.wait_for(lambda: len(engine.received_at) > n_before)
        self.wait_for(lambda: len(engine.orders) == 2)
        held = self.store.replica.leadership()
        self.assertGreaterEqual(engine.ordered_at[1], held.since + LEASE_SECONDS)
        self.assertLess(engine.received_at[n_before], engine.ordered_at[1])
        first, second = engine.orders
        self.assertEqual([first["version"], second["version"]], [2, 3])
        self.assertEqual(second["expected_sequence"], 1)
        self.assertGreater(second["fencing_number"], first["fencing_number"])
        engine.finish_load()
        results = self.read("b5", 6)
        complete = b"\n".join(b"e%d" % n for n in range(1, engine.n_events + 1))
        self.assertEqual({each.text for each in results}, {complete})
        self.assertTrue(any(engine.resumed_after[n_before:]))
        self.assertEqual({each.versions for each in self.read("b6", 6)}, {(3,)})

    def test_everything_restarts(self):
        """All processes stop during operation and are restarted.

        All acknowledged data must be on the disks of the control process and the store.
        The gateway stores nothing and fetches it again.
        """
        self.wait_for(self.is_ready)
        self.ask_stores(batch_messages.Submit.of(self.batch()))
        results = self.read("b1", 6)
        for each in (self.gateway, self.store, self.control):
            each.stop()
        # ZeroMQ releases the port of a closed socket a little later, in its own thread.
        self.wait_for(lambda: is_free(self.control_address))
        self.wait_for(lambda: is_free(self.store._node.store_address))
        protocol = node_protocol.PlainProtocol()
        controls = node(
            options.Role.CONTROL, self.folders[0].name, self.control_address, False
        )
        self.control = control.Control(controls)
        self.store = store.Store(self.store_options(), protocol)
        self.gateway = gateway.Gateway(
            node(options.Role.GATEWAY, "", self.control_address), protocol
        )
        for each in (self.control, self.store, self.gateway):
            each.start()
            self.addCleanup(each.stop)
        self.wait_for(self.is_ready)
        again = self.read("b1", 6)
        self.assertEqual(again, results)
        self.assertEqual(self.ask_control(messages.ReadPolicy()).version, 3)
