"""A crash-causing request that is retried through any gateway takes a service down.

A gateway tries such a look-up at two upstreams, and its caller retries it through
another gateway. Without a shared crash history the second gateway has no record of the
first crashes: a service of three upstreams is down, and unrelated look-ups are refused.
Once the upstreams have restarted, the next retry takes them down again. Six such rounds
crashed 18 upstreams, and 29 of 191 look-ups were refused. Log lines of one round, from
three gateways, in seconds from the first:

    0.00  connect-failed    n_run 1  at the first upstream
    0.13  connection-reset  n_run 2  at the second, "may have run"
    0.33  connection-reset  n_run 1  at the third, another id, another gateway
"""

import tempfile
import unittest

import eventlet
from nose2 import tools

from bilberrydrum import clock, quarantine, reasons
from bilberrydrum.fleet import messages, policy
from bilberrydrum.nodes import control, gateway, options
from bilberrydrum.relay import model as relay_model
from bilberrydrum.relay import streams
from tests import helpers, test_nodes_path
from tests.fakes import crashing, node_protocol, scripted

# Time after which all connected processes have to know of a request that has crashed
# three upstreams, in seconds. Three more attempts are tolerated.
PROPAGATION_SECONDS = 3.0
MAX_LATE_ATTEMPTS = 3
N_UPSTREAMS = 3
N_GATEWAYS = 3
# Rounds of retries after `PROPAGATION_SECONDS`.
N_LATE_ROUNDS = 4
# A look-up with this body takes `SLOW_SECONDS`.
SLOW = b"slow"
SLOW_SECONDS = 0.2


def plain(name, kind, **fields):
    return policy.Route(
        name,
        "h",
        f"/{name}/",
        kind,
        (policy.Share("apps", 1.0),),
        timeout_seconds=2.0,
        target_latency_seconds=0.2,
        max_attempts=2,
        **fields,
    )


ROUTES = (
    plain("look-ups", policy.RouteKind.IDEMPOTENT),
    plain("once", policy.RouteKind.NON_IDEMPOTENT),
    plain("streams", policy.RouteKind.STREAMING, is_resumable=True),
    # Batches, as in the path's own tests.
    test_nodes_path.ROUTES[1],
)


def answer_plainly(connection, received):
    eventlet.sleep(SLOW_SECONDS if received.body == SLOW else 0.02)
    if received.target.startswith("/streams/"):
        connection.sendall(node_protocol.stream(received, 1, 3))
    else:
        signature = f"Signature: by-{received.request_id}\r\n"
        given = scripted.answer(received).decode()
        connection.sendall(given.replace("\r\n", f"\r\n{signature}", 1).encode())


class CrashingCase(unittest.TestCase):
    """A control process, three gateways, and a service of three upstreams."""

    def setUp(self):
        self.control_address = f"127.0.0.1:{helpers.free_port()}"
        # Folder of each process's disk, and its options.
        self.folders = {}
        self.nodes = {}
        self.protocol = node_protocol.PlainProtocol()
        self.control = self.start(control.Control, options.Role.CONTROL)
        self.gateways = [self.start_gateway() for _ in range(N_GATEWAYS)]
        document = policy.Policy(3, ROUTES, test_nodes_path.SERVICES)
        self.ask_control(messages.SubmitPolicy(document, b"as submitted"))
        self.apps = self.start_upstreams("apps", N_UPSTREAMS, answer_plainly)
        self.n_requests = 0

    def start(self, make, role, *more):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        node = test_nodes_path.node(role, folder.name, self.control_address)
        started = make(node, *more)
        self.folders[started] = folder.name
        self.nodes[started] = node
        started.start()
        self.addCleanup(started.stop)
        return started

    def start_gateway(self):
        return self.start(gateway.Gateway, options.Role.GATEWAY, self.protocol)

    def start_upstreams(self, service, n_upstreams, answer, versions=None):
        started = crashing.CrashingUpstreams(
            service,
            n_upstreams,
            lambda upstream: self.ask_control(messages.Announce(upstream)),
            answer,
            versions,
        )
        self.addCleanup(started.stop)
        return started

    def ask_control(self, message):
        return self.control.calls.call(message, 10.0).unwrap()

    def wait_for(self, condition):
        with eventlet.Timeout(20.0):
            while not (found := condition()):
                clock.sleep(0.005)
        return found

    def is_known(self, given):
        """Return whether all upstreams serve and are known to all gateways."""
        ids = set(given.ids_by_index.values())
        return given.n_up() == len(ids) and all(
            ids <= {each.upstream_id for each in gateway_.view.registry.upstreams}
            for gateway_ in self.gateways
        )

    def send(self, gateway_, path, body, caller="desk"):
        """Send one attempt of a caller and return its outcome."""
        self.n_requests += 1
        inbound = relay_model.Inbound(
            f"r{self.n_requests}",
            "h",
            "POST",
            path,
            path,
            {"Caller": caller},
            body,
            clock.now() + 2.0,
        )
        route = gateway_.find_route(inbound.request_id, "h", path)
        if route.kind is not policy.RouteKind.STREAMING:
            return gateway_.relay.handle(inbound, route)
        answer = gateway_.streams.handle(inbound, route)
        if isinstance(answer, relay_model.Streamed):
            try:
                list(answer.parts)
            except streams.BrokenError:
                return relay_model.Refused(answer, may_have_run=True)
        return answer

    def retry(self, path, number):
        """Send a crash-causing request as a caller does: twice, to two gateways."""
        for step in range(2):
            gateway_ = self.gateways[(number + step) % len(self.gateways)]
            answer = self.send(gateway_, path, crashing.MARK)
            is_completed = isinstance(
                answer, relay_model.Answered | relay_model.Streamed
            )
            self.assertFalse(
                is_completed and answer.status == 200, "it never completes"
            )

    def run_rounds(self, path):
        """Let a caller retry, before `PROPAGATION_SECONDS` have passed and after."""
        number = 0
        while len(self.apps.ended_at) < 3:
            self.wait_for(lambda: self.is_known(self.apps))
            self.retry(path, number)
            number += 1
            self.assertLess(number, 10)
        since = self.apps.ended_at[2] + PROPAGATION_SECONDS
        clock.sleep(max(since - clock.now(), 0.0) + 0.1)
        for each in range(N_LATE_ROUNDS):
            self.wait_for(lambda: self.is_known(self.apps))
            self.retry(path, number + each)


class Requests(CrashingCase):
    @tools.params("/look-ups/x", "/streams/x", "/once/x")
    def test_single_requests(self, path):
        """A request crashes upstreams when retried seconds after the third crash.

        The retries arrive through other gateways. At most three of them may still reach
        an upstream, and unrelated requests are answered afterwards as before.
        """
        self.wait_for(lambda: self.is_known(self.apps))
        self.run_rounds(path)
        n_late = self.apps.n_reached_after(PROPAGATION_SECONDS)
        self.assertLessEqual(n_late, MAX_LATE_ATTEMPTS, path)
        self.wait_for(lambda: self.is_known(self.apps))
        for gateway_ in self.gateways:
            answer = self.send(gateway_, "/look-ups/x", b"innocent")
            self.assertEqual(answer.status, 200)


class QuarantinedEverywhere(CrashingCase):
    """After three crashes every gateway refuses the request, also after restarts."""

    def setUp(self):
        super().setUp()
        self.wait_for(lambda: self.is_known(self.apps))
        number = 0
        while len(self.apps.ended_at) < 3:
            # One crash at each gateway: none has seen more than one or two itself.
            gateway_ = self.gateways[number % len(self.gateways)]
            self.send(gateway_, "/look-ups/x", crashing.MARK)
            number += 1
            clock.sleep(quarantine.SPREAD_SECONDS)
            self.wait_for(lambda: self.is_known(self.apps))

    def check_refused(self, gateway_):
        n_before = len(self.apps.reached)
        answer = self.send(gateway_, "/look-ups/x", crashing.MARK)
        self.assertEqual(answer.reason, reasons.Reason.REQUEST_QUARANTINED)
        # The refusal does not say that the request has not run, and has no retry time.
        self.assertTrue(answer.is_final)
        self.assertEqual(answer.retry_after_seconds, 0.0)
        self.assertEqual(len(self.apps.reached), n_before)
        self.assertEqual(len(self.apps.ended_at), 3)

    def test_other_requests_are_served(self):
        """Another caller, another path or another body is another request."""
        for gateway_ in self.gateways:
            self.check_refused(gateway_)
            answer = self.send(gateway_, "/look-ups/x", b"other")
            self.assertEqual(answer.status, 200)
            answer = self.send(gateway_, "/look-ups/y", b"other", caller="planner")
            self.assertEqual(answer.status, 200)

    def test_gateway_that_starts(self):
        """A new gateway receives the history before it has a policy to serve by."""
        started = self.start_gateway()
        self.wait_for(started.is_ready)
        self.check_refused(started)

    def test_control_process_that_starts_again(self):
        """The group's only process restarts, and a gateway starts meanwhile."""
        self.control.stop()
        self.wait_for(lambda: test_nodes_path.is_free(self.control_address))
        folder = self.folders[self.control]
        node = test_nodes_path.node(
            options.Role.CONTROL, folder, self.control_address, False
        )
        self.control = control.Control(node)
        self.control.start()
        self.addCleanup(self.control.stop)
        started = self.start_gateway()
        self.wait_for(started.is_ready)
        self.check_refused(started)

    def test_gateway_that_was_cut_off(self):
        """A gateway that missed all crashes reads them at its next lease renewal."""
        cut_off = self.start_gateway()
        self.wait_for(cut_off.is_ready)
        cut_off.view.crashes = quarantine.CrashHistory()
        cut_off.view.crashes_index = 0
        self.wait_for(lambda: not cut_off.view.crashes.is_empty())
        self.check_refused(cut_off)

    def test_operator_lifts_it(self):
        """After an operator lifts the quarantine, all gateways serve the request."""
        histories = self.ask_control(messages.ListCrashes())
        (history,) = histories.evidence_by_fingerprint.values()
        self.assertEqual(history.subject, "POST h/look-ups/x")
        self.assertEqual(len(history.ended_at_by_id), 3)
        self.ask_control(messages.LiftQuarantine(history.fingerprint))
        self.wait_for(lambda: all(e.view.crashes.is_empty() for e in self.gateways))
        answer = self.send(self.gateways[0], "/look-ups/x", crashing.MARK)
        self.assertNotEqual(answer.reason, reasons.Reason.REQUEST_QUARANTINED)
        self.assertGreater(len(self.apps.ended_at), 3)


class UnrelatedCrashes(CrashingCase):
    """Upstreams crash while they run unrelated requests."""

    def test_upstreams_crash_one_after_the_other(self):
        """An unrelated look-up is refused because upstreams crash while they run it.

        It is cut off six times within seconds, and another upstream answers it each
        time. Each answer has to clear its crash history, so it is never refused.
        """
        self.wait_for(lambda: self.is_known(self.apps))
        for number in range(6):
            gateway_ = self.gateways[number % len(self.gateways)]
            answer_task = eventlet.spawn(self.send, gateway_, "/look-ups/x", SLOW)
            index = self.wait_for(self.apps.busy_index)
            self.apps.crash(index)
            self.assertEqual(answer_task.wait().status, 200)
            self.wait_for(lambda: self.is_known(self.apps))
        self.wait_for(lambda: all(e.view.crashes.is_empty() for e in self.gateways))

    def test_suspected_request_is_tried_and_cleared(self):
        """An unrelated look-up stays suspected after two upstreams crashed.

        Neither of the two has answered it. Its next attempt is refused while upstreams
        are down. The following one is sent to an available upstream as a trial, is
        answered, and clears the look-up.
        """
        self.wait_for(lambda: self.is_known(self.apps))
        answer_task = eventlet.spawn(self.send, self.gateways[0], "/look-ups/x", SLOW)
        for _ in range(2):
            index = self.wait_for(self.apps.busy_index)
            clock.sleep(2 * quarantine.CONCURRENT_SECONDS)
            self.apps.crash(index)
        self.assertTrue(answer_task.wait().may_have_run)
        view = self.gateways[1].view
        # The first crash may be reported before the second one happens.
        self.wait_for(lambda: len(view.crashes.crashed_ids()) == 2)
        refused = self.send(self.gateways[1], "/look-ups/x", SLOW)
        self.assertEqual(refused.reason, reasons.Reason.REQUEST_DOUBTFUL)
        self.assertFalse(refused.may_have_run)
        self.assertGreaterEqual(refused.retry_after_seconds, 1.0)
        self.wait_for(lambda: self.is_known(self.apps))
        answer = self.send(self.gateways[1], "/look-ups/x", SLOW)
        self.assertEqual(answer.status, 200)
        self.wait_for(lambda: all(e.view.crashes.is_empty() for e in self.gateways))
