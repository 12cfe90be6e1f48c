"""Batches that end while their items run, and items that are resubmitted at once.

These tests guard against a text in which events of two attempts alternate. A trainer
ends a batch whose items still run and submits the unfinished ones again, under the same
ids. Cancelling an attempt yields to other tasks. If the batch is still open then, the
runner's loop finds the cancelled items waiting and sends them again. Nothing cancels
these attempts, and the later batch resumes the same text to which they write.
"""

import random
import unittest
from unittest import mock

import attrs
import eliot
import eventlet
from nose2 import tools

from bilberrydrum import clock, quarantine
from bilberrydrum.batches import (
    engine_speed,
    engines,
    hooks,
    item_sender,
    item_tasks,
    model,
    runner,
)
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy
from bilberrydrum.relay import balancing, crash_watch, relay
from bilberrydrum.requests import attempts, connections, fingerprints, watch
from tests.fakes import node_protocol, scripted

N_EVENTS = 12
# Pause between two events, in seconds: long enough for attempts to be cancelled
# between them, and short enough for a fast test.
EVENT_SECONDS = 0.03
COMPLETE = b"\n".join(b"e%d" % n for n in range(1, N_EVENTS + 1))


class SlowEngine:
    """Generates an item's events one by one, after the event to resume from."""

    def __init__(self) -> None:
        self.n_running = 0
        self.received: list[scripted.Received] = []
        self.connections_by_item_id = {}
        self.server = scripted.Scripted(self.answer, kind="engine")

    def finish(self, item_id):
        """Send all remaining events of an item, and the end, without a pause."""
        connection, number = self.connections_by_item_id.pop(item_id)
        for each in range(number + 1, N_EVENTS + 1):
            connection.sendall(chunk_of(each))
        connection.sendall(scripted.LAST_CHUNK)

    def answer(self, connection, received):
        self.received.append(received)
        self.n_running += 1
        try:
            self._stream(connection, received)
        finally:
            self.n_running -= 1

    def _stream(self, connection, received):
        head = f"HTTP/1.1 200 OK\r\n{node_protocol.ID}: {received.request_id}\r\n"
        head += "Version: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection.sendall(head.encode())
        first = int(received.headers.get("last", 0)) + 1
        for number in range(first, N_EVENTS + 1):
            eventlet.sleep(EVENT_SECONDS)
            if (
                number > first
                and received.request_id not in self.connections_by_item_id
            ):
                # Finished by the test.
                return
            connection.sendall(chunk_of(number))
            self.connections_by_item_id[received.request_id] = (connection, number)
        connection.sendall(scripted.LAST_CHUNK)


def chunk_of(number):
    return scripted.chunk(b"id: %d\ndata: e%d\n\n" % (number, number))


class View:
    """Substitute for a store's copy of the registry and the policy."""

    def __init__(self, engine, n_slots):
        share = policy.Share("s", 1.0)
        route = policy.Route("r", "h", "/p/", policy.RouteKind.BATCH, (share,))
        service = policy.Service("s", models=("m",))
        self._n_slots = n_slots
        self.registry = fleet_model.Registry()
        self.add("e1", engine)
        self.routes = policy.RouteTable(policy.Policy(1, (route,), (service,)))
        self.crashes = quarantine.CrashHistory()
        self.crashes_index = 0

    def add(self, upstream_id, engine):
        upstream = fleet_model.FleetUpstream(
            upstream_id,
            "s",
            engine.server.address,
            "z",
            self._n_slots,
            versions_by_model={"m": 1},
        )
        known = self.registry
        upstreams = (*known.upstreams, upstream)
        self.registry = fleet_model.Registry(known.index + 1, upstreams)

    def watch(self, callback):
        pass

    def unwatch(self, callback):
        pass


def batch(batch_id, n_items):
    items = tuple(
        model.Item(f"i{n}", "/p/x", {}, b"body", 20, f"g{n}") for n in range(n_items)
    )
    return model.KeptBatch.of(model.Batch(batch_id, "h", items, model="m"), 0.0)


class RunnerCase(unittest.TestCase):
    """The runner on loopback, with a scheduling pass due at every yield."""

    def engine_server(self):
        engine = SlowEngine()
        self.addCleanup(engine.server.stop)
        return engine

    def begin(self, n_items):
        self.engine = self.engine_server()
        self.before_pass = lambda: None
        self.view = view = View(self.engine, n_slots=2 * n_items)
        resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch()
        )
        rng = random.Random(1)
        protocol = node_protocol.PlainProtocol()
        crashes = crash_watch.CrashWatch(view, None)
        self.results = []
        given = hooks.Hooks(
            finish=lambda batch_id, each: self.results.append((batch_id, each)),
            keep_text=lambda batch_id, each: None,
            score=lambda *each: None,
            save=lambda batch_id, progress: None,
            fencing_number=lambda: None,
            may_send=self.may_send,
            holder="me",
        )
        relay_ = relay.Relay(
            protocol, view, resources, balancing.Balancer("z", rng), rng, crashes
        )
        # In production, a pass begins after a pause, which may end at any moment.
        for name in ("_COALESCE_SECONDS", "_PAUSE_FACTOR"):
            gathering = mock.patch.object(runner, name, 0.0)
            gathering.start()
            self.addCleanup(gathering.stop)
        self.runner = runner.BatchRunner(
            protocol, view, resources, given, relay_, crashes
        )
        self.runner.start([batch("b1", n_items)])
        self.addCleanup(self.runner.stop)
        self.wait_for(lambda: self.engine.n_running == n_items)
        clock.sleep(3 * EVENT_SECONDS)

    def may_send(self):
        self.before_pass()
        return True

    def wait_for(self, condition):
        with eventlet.Timeout(10.0):
            while not condition():
                clock.sleep(0.005)

    def slow(self, upstream_id):
        """Make an engine count as slow during the block."""
        return mock.patch.object(
            engines.Engines, "slow_ids", lambda known, now: frozenset({upstream_id})
        )

    def results_of(self, batch_id):
        return [result for given, result in self.results if given == batch_id]


class EndedBatches(RunnerCase):
    """No item of an ended batch runs on, and its texts are not shared."""

    @tools.params(1, 2, 6)
    def test_no_item_is_sent_while_its_batch_ends(self, n_items):
        self.begin(n_items)
        self.runner.end("b1")
        clock.sleep(2 * EVENT_SECONDS)
        self.assertEqual(len(self.engine.received), n_items)
        self.wait_for(lambda: self.engine.n_running == 0)

    @tools.params(1, 2, 6)
    def test_items_resubmitted_at_once(self, n_items):
        self.begin(n_items)
        self.runner.end("b1")
        self.runner.accept(batch("b2", n_items))
        self.wait_for(lambda: len(self.results_of("b2")) == n_items)
        for result in self.results_of("b2"):
            self.assertEqual(result.text, COMPLETE, result.item_id)


class Reports(RunnerCase):
    def test_work_factor(self):
        """An engine's speed is not known although the head of its answer reports it."""
        read_head = node_protocol.PlainProtocol.read_head

        def with_factor(protocol, status, headers):
            return attrs.evolve(read_head(protocol, status, headers), work_factor=2.5)

        began = clock.now()
        with (
            mock.patch.object(node_protocol.PlainProtocol, "read_head", with_factor),
            mock.patch.object(engine_speed.Speed, "record_work_factor") as recorded,
        ):
            self.begin(1)
        factor, reported_at = recorded.call_args.args
        self.assertEqual(factor, 2.5)
        self.assertGreaterEqual(reported_at, began)


class Moves(RunnerCase):
    """Items move away from a slow engine while others there end by themselves."""

    def test_item_that_has_just_finished(self):
        """Guard against a finished item that runs once more.

        Two items are to be moved, and the last bytes of the second one have arrived.
        Cancelling the first one's attempt yields, and the second one's attempt ends. If
        the second item were sent all the same, it would run again from its beginning.
        """
        self.begin(2)
        other = self.engine_server()
        self.view.add("e2", other)

        def finish_once():
            self.before_pass = lambda: None
            self.engine.finish("i1")

        self.before_pass = finish_once
        with self.slow("e1"):
            self.runner.wake()
            self.wait_for(lambda: len(self.results) == 2)
        self.assertEqual([each.request_id for each in other.received], ["i0"])
        self.assertEqual([each.text for each in self.results_of("b1")], [COMPLETE] * 2)

    @tools.params(1, 2, 6)
    def test_item_whose_batch_has_just_ended(self, n_items):
        """Guard against an item that is sent after its batch has ended.

        A batch ends while the first of its items is moved away from a slow engine. If
        the item were sent all the same, it would take capacity for which others wait.
        Its request would be held back only when the connection is established, which
        counts as a rejection by the healthy engine.
        """
        self.begin(n_items)
        other = self.engine_server()
        self.view.add("e2", other)
        take, send = item_sender.ItemSender.cancel_for_move, item_sender.ItemSender.send
        ended, sent, passes = [], [], []

        def end():
            self.runner.end("b1")
            ended.append("b1")

        def end_and_cancel(sender, key):
            # Runs as soon as the cancellation yields.
            eventlet.spawn(end)
            take(sender, key)

        def record_and_send(sender, opened, run, engine):
            sent.append((opened.batch.batch_id, run.item.item_id))
            send(sender, opened, run, engine)

        self.before_pass = lambda: passes.append(list(ended))
        with (
            self.slow("e1"),
            mock.patch.object(
                item_sender.ItemSender, "cancel_for_move", end_and_cancel
            ),
            mock.patch.object(item_sender.ItemSender, "send", record_and_send),
        ):
            self.runner.wake()
            self.wait_for(lambda: ended and passes[-1] == ["b1"])
        self.assertEqual(ended, ["b1"])
        self.assertEqual(sent, [])
        self.wait_for(lambda: self.engine.n_running == 0)
        self.assertEqual(other.server.n_connections, 0)


class LogLines(RunnerCase):
    """Each attempt of an item writes one log line, with any outcome.

    This guards against attempts without a log line. If cancelled attempts have none, an
    operator who examines a text out of order can't see which engine has generated which
    events.
    """

    def begin(self, n_items):
        self.lines = []
        eliot.add_destinations(self.lines.append)
        self.addCleanup(eliot.remove_destination, self.lines.append)
        # The first destination also receives the messages logged before.
        self.lines.clear()
        super().begin(n_items)

    def attempts(self, outcome):
        return [
            each
            for each in self.lines
            if each["message_type"] == "batches:attempt" and each["outcome"] == outcome
        ]

    @tools.params(
        ("batch-ended", lambda case: case.runner.end("b1")),
        ("stops-leading", lambda case: case.runner.stop()),
    )
    def test_cancelled_attempts(self, why, cancel):
        self.begin(3)
        cancel(self)
        self.wait_for(lambda: self.engine.n_running == 0)
        lines = self.attempts("broken-off")
        self.assertEqual(sorted(each["item_id"] for each in lines), ["i0", "i1", "i2"])
        for each in lines:
            details = each["detail"], each["upstream_id"], each["asked_after"]
            self.assertEqual(details, (why, "e1", None))
            self.assertEqual(each["first_number"], 1)
            self.assertGreater(each["last_number"], 1)
            self.assertEqual(each["last_number"], each["n_events"])

    def test_moved(self):
        self.begin(2)
        self.view.add("e2", self.engine_server())
        with self.slow("e1"):
            self.runner.wake()
            self.wait_for(lambda: len(self.results) == 2)
        lines = self.attempts("broken-off")
        details = sorted((each["item_id"], each["detail"]) for each in lines)
        self.assertEqual(details, [("i0", "moved"), ("i1", "moved")])
        last_by_item_id = {each["item_id"]: each["last_number"] for each in lines}
        for each in self.attempts("completed"):
            self.assertEqual(each["upstream_id"], "e2")
            self.assertEqual(each["asked_after"], last_by_item_id[each["item_id"]])

    def test_not_started(self):
        self.begin(1)
        start = item_tasks.ItemTasks.start

        def start_and_end(tasks, key, work, on_end):
            start(tasks, key, work, on_end)
            self.runner.end(key[0])

        with mock.patch.object(item_tasks.ItemTasks, "start", start_and_end):
            self.runner.accept(batch("b2", 1))
            self.wait_for(lambda: self.attempts("broken-off"))
        (line,) = self.attempts("broken-off")
        self.assertEqual((line["batch_id"], line["detail"]), ("b2", "not-begun"))
        self.assertEqual(len(self.engine.received), 1)


class Tasks(unittest.TestCase):
    """Work that ends by itself while other work is cancelled."""

    @tools.params("a batch", "all")
    def test_work_that_has_just_ended(self, name):
        """Guard against a replica that stops when a batch ends.

        While one attempt of the batch is cancelled, another receives its last bytes and
        ends. Its entry no longer exists when it is to be cancelled. If that raises
        `KeyError` in the task that applies the group's log, where any error stops the
        replica, the remaining attempts of the batch are not cancelled either.
        """
        tasks = item_tasks.ItemTasks()
        cancelled, ended = [], []

        def first():
            try:
                clock.sleep(10.0)
            finally:
                cancelled.append("i1")

        def second():
            while not cancelled:
                clock.sleep(0)
            tasks.remove(("b", "i2"))
            ended.append("i2")

        tasks.start(("b", "i1"), first, lambda: None)
        tasks.start(("b", "i2"), second, lambda: None)
        clock.sleep(0)
        if name == "all":
            tasks.cancel_all()
        else:
            tasks.cancel_batch("b")
        self.assertEqual(ended, ["i2"])


class SuspectedItems(RunnerCase):
    """Items that were cut off repeatedly run at different engines, or in turn."""

    def test_next_one_is_sent_once_a_run_is_healthy(self):
        """Many items that were cut off wait for the trial of one another.

        If a trial lasted until the item's end, the last of them would wait for minutes.
        """
        self.begin(1)
        self.wait_for(lambda: not self.engine.n_running)
        item = batch("b2", 1).decode().items[0]
        identity = node_protocol.PlainProtocol().identity_of(item.headers)
        fingerprint = fingerprints.of_request(
            "POST", "h", item.target, identity, item.body, ""
        )
        for at, upstream_id in enumerate(("a", "b")):
            crash = quarantine.Crash(fingerprint, "", upstream_id)
            self.view.crashes.record(crash, float(at))
        n_running = []
        self.before_pass = lambda: n_running.append(self.engine.n_running)
        with mock.patch.object(quarantine, "HEALTHY_RUN_SECONDS", 2 * EVENT_SECONDS):
            self.runner.accept(batch("b2", 2))
            self.wait_for(lambda: len(self.engine.received) == 3)
        self.assertEqual(n_running[-1], 1)
