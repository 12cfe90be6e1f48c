"""Unexpected errors in tasks that must run for as long as their process."""

import errno
import socket
import unittest
from unittest import mock

import eventlet
import greenlet
import result
import zmq
from nose2 import tools

from bilberrydrum import clock, counters, logs, options, tasks, transport
from bilberrydrum.batches import engines, item_sender, lifecycle, loader, weight_plan
from bilberrydrum.bundles import lease
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.http import edge, server
from bilberrydrum.nodes import process, store
from bilberrydrum.relay import crash_watch
from bilberrydrum.requests import (
    claims,
    claims_state,
    crash_record,
    dispatch,
    watch,
)
from bilberrydrum.samples import commands, recorder
from bilberrydrum.state import remote
from bilberrydrum.upstreams import registry
from bilberrydrum.weights import rollout
from tests import batches_support, helpers

OPTIONS = options.Options("gw-1", peer_address="127.0.0.1:1")


class FaultError(Exception):
    """An error that nobody expects."""


def n_errors(task):
    return counters.TASK_ERRORS.labels(task)._value.get()


def let_others_run():
    for _ in range(10):
        eventlet.sleep(0)


def fails_at_first(then=None):
    """Return a function that fails when it is first called, and its mock."""
    return mock.Mock(side_effect=[FaultError(), *[then] * 1000])


def fail_then_wait():
    """Return a function that fails when it is first called, and then waits a little."""
    errors = [FaultError()]

    def step(*args, **kwargs):
        if errors:
            raise errors.pop()
        clock.sleep(0.05)

    return step


class Forever(unittest.TestCase):
    def setUp(self):
        self.clock = self.enterContext(helpers.manual_clock())
        self.task = f"test-{self.id()}"

    def start(self, step):
        started = eventlet.spawn(tasks.run_forever, self.task, step)
        self.addCleanup(started.kill)
        let_others_run()
        return started

    @tools.params(FaultError(), eventlet.Timeout(None), ValueError("x"))
    def test_goes_on_after_an_error(self, error):
        """Guard against a task that ends silently and is missed later."""
        done = eventlet.event.Event()
        step = mock.Mock(side_effect=[error, None, None, *[done] * 3])
        with mock.patch.object(tasks, "clock", wraps=clock):
            self.start(lambda: step() and done.wait())
            self.clock.advance(1.0)
            let_others_run()
        self.assertEqual(step.call_count, 4)
        self.assertEqual(n_errors(self.task), 1)

    def test_does_not_spin(self):
        """Guard against a step that fails at once and takes the processor."""
        step = mock.Mock(side_effect=FaultError())
        self.start(step)
        for _ in range(1000):
            self.clock.advance(0.001)
            eventlet.sleep(0)
        self.assertLessEqual(step.call_count, 1.0 / tasks.ERROR_PAUSE_SECONDS + 1)
        self.assertEqual(n_errors(self.task), step.call_count)

    def test_lines_are_bounded(self):
        """Guard against an error that fills the log."""
        with mock.patch.object(tasks.eliot, "log_message") as logged:
            self.start(mock.Mock(side_effect=FaultError()))
            for _ in range(3000):
                self.clock.advance(0.001)
                eventlet.sleep(0)
        self.assertLessEqual(logged.call_count, 4)
        last = logged.call_args.kwargs
        self.assertEqual(last["task"], self.task)
        self.assertGreater(last["n_not_logged"], 0)

    def test_can_be_killed(self):
        """Guard against a task that takes its own end for an error and goes on."""
        started = self.start(lambda: eventlet.sleep(10.0))
        started.kill()
        self.assertTrue(started.dead)


class Survivors(unittest.TestCase):
    """Each task goes on with its work after one error, and counts it."""

    def setUp(self):
        self.clock = self.enterContext(helpers.manual_clock())

    def pass_time(self, seconds, step=0.05):
        for _ in range(round(seconds / step)):
            self.clock.advance(step)
            let_others_run()

    def start(self, made):
        made.start()
        self.addCleanup(made.stop)
        return made

    def survives(self, task, made, name, seconds, begin=lambda: None):
        """Check that the method `name` of `made` is called again after an error."""
        before = n_errors(task)
        failing = mock.Mock(side_effect=fail_then_wait())
        with mock.patch.object(made, name, failing):
            self.start(made)
            begin()
            self.pass_time(seconds)
        self.assertGreater(failing.call_count, 1, task)
        self.assertEqual(n_errors(task), before + 1)

    def test_clients(self):
        """Guard against one client that keeps the others from being checked."""
        clients = self.start(watch.ClientWatch())
        ended = []

        def wait(is_client_gone):
            try:
                with clients.ending_with_client(is_client_gone):
                    eventlet.sleep(1000.0)
            except watch.ClientGoneError:
                ended.append(is_client_gone)

        before = n_errors("client-watch")
        failing, leaving = mock.Mock(side_effect=FaultError()), lambda: True
        for each in (failing, leaving):
            self.addCleanup(eventlet.spawn(wait, each).kill)
        let_others_run()
        self.pass_time(1.0)
        self.assertEqual(ended, [leaving])
        self.assertGreater(failing.call_count, 1)
        self.assertLessEqual(failing.call_count, 1.0 / watch.CHECK_SECONDS)
        self.assertEqual(n_errors("client-watch"), before + failing.call_count)

    def test_idle_watch_does_nothing(self):
        """Guard against an idle gateway that looks for clients all the time."""
        clients = self.start(watch.ClientWatch())
        with mock.patch.object(clients, "check_all") as checked:
            self.pass_time(2.0)
        checked.assert_not_called()

    def test_registry(self):
        """Guard against a gateway whose list of upstreams stands still."""
        made = registry.UpstreamRegistry(OPTIONS, mock.Mock(incarnation=1), mock.Mock())
        self.survives("upstream-registry", made, "_tick", 1.0)

    def test_crash_record(self):
        """Guard against a gateway that no longer learns what others quarantine."""
        bundles = mock.Mock()
        bundles.crashes_index = fails_at_first(0)
        before = n_errors("crash-record")
        self.start(crash_record.GroupRecord(mock.Mock(), bundles))
        self.pass_time(3.0)
        self.assertGreater(bundles.crashes_index.call_count, 1)
        self.assertEqual(n_errors("crash-record"), before + 1)

    def test_state_client(self):
        """Guard against a process whose commands are never sent again."""
        made = remote.RemoteStateClient(OPTIONS, mock.Mock())
        self.survives("state-client", made, "_send_due", 1.0)

    def test_dispatcher(self):
        """Guard against calls that stay in the queue."""
        made = dispatch.RequestDispatcher(OPTIONS, mock.Mock(), mock.Mock())
        waiting = mock.Mock(n_waiting=1)
        with mock.patch.object(made, "_admission", waiting):
            self.survives(
                "dispatcher", made, "_schedule_waiting", 0.5, made._queued.send
            )

    def test_crash_reports(self):
        """Guard against crashes that no other process learns of."""
        made = crash_watch.CrashWatch(mock.Mock(), mock.Mock())
        with mock.patch.object(made, "_report", return_value=True):
            self.survives("crash-reports", made, "_wait", 1.0)

    def test_weight_rollout(self):
        """Guard against weights that reach no further engine."""
        made = rollout.WeightRollout(
            OPTIONS, mock.Mock(), mock.Mock(), mock.Mock(), mock.Mock()
        )
        with mock.patch.object(made, "_run_pass"):
            self.survives("weight-rollout", made, "_collect_finished", 1.0)

    def test_claims(self):
        """Guard against one claim that keeps the others unresolved for good."""
        state = mock.Mock()
        state.submit = fails_at_first(result.Ok(None))
        before = n_errors("claims")
        made = self.start(claims.Claims(OPTIONS, state))
        for claim_id in ("a", "b"):
            made._watch(
                claims_state.Claim("c", "k", "d", claim_id, "gw-2", 0.1, 0.0, 0.0)
            )
        self.pass_time(1.0)
        resolved = [each.args[0].claim_id for each in state.submit.call_args_list]
        self.assertEqual(resolved, ["a", "b"])
        self.assertEqual(n_errors("claims"), before + 1)

    def test_sample_recorder(self):
        """Guard against attempts that wait forever for their record's outcome."""
        state, bundles = mock.Mock(), mock.Mock()
        bundles.current.return_value = result.Err("none")
        state.submit = fails_at_first(result.Ok(commands.Recorded((None,), 7)))
        made = self.start(recorder.Recorder(state, bundles))
        record = commands.SlotRecord("t", "g", 0, mock.Mock())
        first = eventlet.spawn(made.record, record)
        self.pass_time(1.0)
        self.assertRaises(FaultError, first.wait)
        second = eventlet.spawn(made.record, record)
        self.pass_time(1.0)
        self.assertEqual(second.wait().index, 7)

    def test_registration(self):
        """Guard against a process that never registers again."""
        made = lease.GatewayLease(
            OPTIONS, mock.Mock(incarnation=1), mock.Mock(spec=["submit"])
        )
        sender, message = mock.Mock(), mock.Mock(incarnation=1, is_superseded=False)
        with mock.patch.object(lease.processes, "register", fails_at_first(2)) as tried:
            for _ in range(2):
                made._on_unregistered(sender, message)
                let_others_run()
        self.assertEqual(tried.call_count, 2)
        self.assertEqual(made._transport.incarnation, 2)

    def test_process_watch(self):
        """Guard against a process that does not exit although its replica failed."""
        node = mock.Mock()
        node.failure = mock.Mock(side_effect=[FaultError(), "the disk failed"])
        made = process.Process(mock.Mock(), node, {}, mock.Mock())
        with mock.patch.object(
            process.os, "_exit", side_effect=greenlet.GreenletExit
        ) as exited:
            watcher = eventlet.spawn(made._watch)
            self.addCleanup(watcher.kill)
            self.pass_time(2.0)
        exited.assert_called_once_with(process.EXIT_FAILED)

    def test_log_output(self):
        """Guard against a process that logs nothing any more."""
        made = logs.BoundedLog(-1)
        made._lines.append(b"x")
        with mock.patch.object(made, "flush", fails_at_first()) as flushed:
            self.addCleanup(eventlet.spawn(made.run).kill)
            self.pass_time(1.0)
        self.assertGreater(flushed.call_count, 1)

    def test_message_that_cannot_be_received(self):
        """Guard against a process that hears nothing after one bad receive."""
        made = transport.Transport("g", "a", "127.0.0.1:1")
        router = mock.Mock()
        never = eventlet.event.Event()
        router.recv_multipart = mock.Mock(
            side_effect=[zmq.ZMQError(errno.EINTR), [], [b"x"], never]
        )
        before = n_errors("transport")
        made._router = router
        with mock.patch.object(made, "_receive_frame") as received:
            receiver = eventlet.spawn(
                tasks.run_forever, "transport", made._receive_next
            )
            self.addCleanup(receiver.kill)
            self.pass_time(0.3)
        received.assert_any_call(b"x")
        self.assertGreaterEqual(n_errors("transport"), before + 2)

    @tools.params([], [b"1.0"], [b"1.0", b"7", *[b""] * 4, b"no key"])
    def test_authentication_request_that_is_malformed(self, frames):
        """Guard against a socket that answers nobody after one malformed request."""
        sockets = mock.Mock()
        sockets.recv_multipart.return_value = frames
        with tasks.errors_recorded("transport-authentication"):
            transport._answer_authentication(sockets, frozenset())
        (answered,) = sockets.send_multipart.call_args.args
        self.assertIn(b"400", answered)


class Start(unittest.TestCase):
    def test_store_that_cannot_start(self):
        """Guard against a store that goes on without its replica."""
        made = mock.Mock(_start_failure="", replica=None)
        made._start_replica = mock.Mock(side_effect=FaultError("why"))
        store.Store._start_or_fail(made)
        self.assertIn("why", store.Store.failure(made))


class Accepting(unittest.TestCase):
    def test_too_many_open_descriptors(self):
        """Guard against a process that accepts no connection any more."""
        app = edge.Edge(options.LimitOptions(), {}, lambda _: edge.Response(204))
        port = helpers.free_port()
        http = server.HttpServer(f"127.0.0.1:{port}", app, options.LimitOptions())
        http.start()
        self.addCleanup(http.stop_accepting)
        original = http._listener.accept
        errors = [OSError(errno.EMFILE, "too many"), OSError(errno.ECONNABORTED, "")]

        def accept():
            if errors:
                raise errors.pop()
            return original()

        with mock.patch.object(http._listener, "accept", accept):
            eventlet.sleep(0)
            with socket.create_connection(("127.0.0.1", port), 5.0) as client:
                client.settimeout(5.0)
                client.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                self.assertEqual(client.recv(100).split()[1], b"204")
        self.assertEqual(errors, [])


class Batches(unittest.TestCase):
    """An attempt or a load that fails unexpectedly is not begun again at once."""

    def setUp(self):
        self.clock = self.enterContext(helpers.manual_clock())
        upstream = fleet_model.FleetUpstream("e", "s", "127.0.0.1:1", "z", 2)
        self.engine = engines.Engine(upstream)

    def test_item(self):
        """Guard against an item that is sent in a tight loop."""
        crashes = mock.Mock()
        crashes.must_run_apart.return_value = False
        sender = item_sender.ItemSender(*[mock.Mock()] * 5, crashes, mock.Mock())
        run = lifecycle.ItemRun(batches_support.batch().items[0], ("b", "g0"))
        with mock.patch.object(sender, "_attempt", side_effect=FaultError()):
            sender.send(mock.Mock(), run, self.engine)
            let_others_run()
        self.assertGreater(run.not_before, clock.now() + 0.1)
        self.assertIs(run.stage, lifecycle.Stage.WAITING)
        self.assertEqual(self.engine.n_running, 0)

    def test_load(self):
        """Guard against a load of weights that begins again in a tight loop."""
        hooks = loader.LoaderHooks("h", lambda: 1, lambda _: False, lambda: None)
        known = engines.Engines()
        known.by_id["e"] = self.engine
        made = loader.Loader(mock.Mock(), mock.Mock(), known, hooks)
        load = weight_plan.Load("e", "m", 2)
        self.engine.begin_load(load)
        with mock.patch.object(made._sender, "carry_out", side_effect=FaultError()):
            made._load(self.engine, load)
        self.assertFalse(self.engine.is_loading)
        self.assertTrue(self.engine.is_excluded(clock.now()))
