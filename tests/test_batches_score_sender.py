"""Sending of scoring requests: answers, cancellation, bursts and reserved slots."""

import random
import unittest
from unittest import mock

import attrs
import eventlet
from nose2 import tools

from bilberrydrum import clock, counters, quarantine, upstream_protocol
from bilberrydrum.batches import (
    hooks,
    item_tasks,
    lifecycle,
    model,
    score_sender,
    scoring,
    texts,
    urgency,
    work,
)
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy
from bilberrydrum.relay import balancing, crash_watch, relay
from bilberrydrum.requests import attempts, connections, watch
from bilberrydrum.upstreams import model as upstream_model
from tests import test_batches_scoring
from tests.fakes import scripted

ID = "X-Request-Id"
Stage = lifecycle.Stage
Decision = scoring.Decision


class Protocol:
    """The header names that the scripted service uses."""

    request_id_header = ID

    def relay_headers(self, headers, attempt):
        return {**headers, ID: attempt.request_id, "X-Only": attempt.announced_id}

    def identity_of(self, headers):
        return ""

    def read_head(self, status, headers):
        signature = headers.get("Signature", "")
        return upstream_protocol.AnswerHead(
            is_genuine=bool(signature),
            signature=signature,
            was_not_run=status == 421 or "Not-Run" in headers,
            is_misdirected=status == 421,
        )


def answer(status=200, headers=("Signature: m",), request_id=None, extra=b""):
    def script(connection, received):
        given = received.request_id if request_id is None else request_id
        lines = [f"HTTP/1.1 {status} X", "Content-Length: 2", *headers]
        if given:
            lines.append(f"{ID}: {given}")
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\nok" + extra)

    return script


def close(connection, received):
    return False


def hang(connection, received):
    eventlet.sleep(30.0)


OK = answer()
FAILED = answer(500)
FULL = answer(503, ("Not-Run: 1",))
MISDIRECTED = answer(421, headers=())
UNSIGNED = answer(headers=())
UNNAMED = answer(request_id="")
OTHERS = answer(request_id="other")
SURPLUS = answer(extra=b"HTTP/1.1 200 X\r\nSignature: x\r\nContent-Length: 0\r\n\r\n")

ROUTES = (
    policy.Route(
        "score",
        "h",
        "/s/",
        # Requests may run just once, except if the sender sets `may_run_again`.
        policy.RouteKind.NON_IDEMPOTENT,
        (policy.Share("apps", 1.0),),
        timeout_seconds=0.6,
        target_latency_seconds=0.1,
        max_attempts=3,
    ),
    policy.Route("p", "h", "/p/", policy.RouteKind.BATCH, (policy.Share("e", 1.0),)),
)


class View:
    """A stand-in for a store's copy of the registry and the policy."""

    def __init__(self, servers, n_slots):
        self.registry = fleet_model.Registry(
            1,
            tuple(
                fleet_model.FleetUpstream(f"u{n}", "apps", each.address, "z", n_slots)
                for n, each in enumerate(servers)
            ),
        )
        self.routes = policy.RouteTable(policy.Policy(1, ROUTES))
        self.crashes = quarantine.CrashHistory()
        self.crashes_index = 0

    def watch(self, callback):
        pass


class SenderCase(unittest.TestCase):
    """Real requests on loopback, with scripted answers of the service."""

    def begin(self, *scripts, n_items=1, n_slots=2):
        self.servers = []
        for script in scripts:
            server = scripted.Scripted(script, kind=upstream_model.KIND_APPLICATION)
            self.addCleanup(server.stop)
            self.servers.append(server)
        self.view = View(self.servers, n_slots)
        resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch()
        )
        rng = random.Random(1)
        balancer = balancing.Balancer("z", rng)
        crashes = crash_watch.CrashWatch(self.view, None)
        request_relay = relay.Relay(
            Protocol(), self.view, resources, balancer, rng, crashes
        )
        self.scored, self.finished, self.may_send = [], [], True
        given = hooks.Hooks(
            finish=lambda batch_id, each: self.finished.append(each),
            keep_text=lambda batch_id, each: None,
            score=lambda *each: self.scored.append(each),
            save=lambda batch_id, progress: None,
            fencing_number=lambda: 1,
            may_send=lambda: self.may_send,
            holder="me",
        )
        self.sender = score_sender.ScoreSender(
            request_relay, self.view, given, urgency.Pace(), lambda: None
        )
        self.addCleanup(self.sender.stop)
        kept = model.KeptBatch.of(test_batches_scoring.batch(n_items=n_items), 0.0)
        self.opened = work.OpenBatches().open(kept, clock.now())
        for item_id, run in self.opened.runs_by_item_id.items():
            run.set_complete_text(test_batches_scoring.text_of(item_id))

    def step(self):
        self.sender.step([self.opened], clock.now())

    def run_for(self, seconds, is_done=lambda: False):
        end = clock.now() + seconds
        while clock.now() < end and not is_done():
            self.step()
            clock.sleep(0.01)

    def n_received(self):
        return sum(len(each.received) for each in self.servers)

    def stage(self, item_id="i0"):
        return self.opened.runs_by_item_id[item_id].stage


class Answers(SenderCase):
    """Each way in which the service may answer, and the resulting state of the item."""

    @tools.params(
        ("at once", (OK,)),
        ("failed, then elsewhere", (FAILED, OK)),
        ("full, then elsewhere", (FULL, OK)),
        ("address of another, then elsewhere", (MISDIRECTED, OK)),
        ("closed, then elsewhere", (close, OK)),
        ("silent, then elsewhere", (hang, OK)),
        ("not signed, then elsewhere", (UNSIGNED, OK)),
        ("answer to another request, then elsewhere", (OTHERS, OK)),
        ("an answer and more bytes", (SURPLUS,)),
    )
    def test_scored(self, name, scripts):
        self.begin(*scripts)
        self.run_for(5.0, lambda: self.scored)
        self.assertEqual(self.scored, [("b", "i0", "m")], name)
        self.assertEqual(self.stage(), Stage.FINISHED)
        received = self.servers[-1].received[0]
        self.assertEqual((received.method, received.target), ("POST", "/s/x?q"))
        self.assertEqual((received.body, received.request_id), (b"mark", "s-i0"))

    @tools.params(
        ("not signed", UNSIGNED),
        ("without a request id", UNNAMED),
        ("answer to another request", OTHERS),
        ("cannot be done", answer(422)),
        ("always full", FULL),
        ("always the address of another", MISDIRECTED),
        ("always closed", close),
    )
    def test_never_a_score(self, name, script):
        """A trainer gets a score that no service has given.

        The service never gives a valid answer to this request. Its answers must neither
        count as a score nor end the item: the item waits, and the request is retried at
        a limited rate.
        """
        self.begin(script)
        self.run_for(0.8)
        self.assertEqual((self.scored, self.finished), ([], []), name)
        self.assertIn(self.stage(), (Stage.UNSCORED, Stage.SCORING))
        self.assertGreaterEqual(self.n_received(), 1)
        self.assertLess(self.n_received(), 20, name)

    @tools.params(1, 2, 3)
    def test_failures_are_counted_over_all_upstreams(self, n_upstreams):
        """A request that fails at each upstream is retried too often.

        The route allows three failures in total; further attempts would only occupy
        slots that other requests need.
        """
        self.begin(*[FAILED] * n_upstreams)
        self.run_for(5.0, lambda: self.finished)
        self.assertEqual(
            [each.state for each in self.finished], [model.ItemState.TERMINATED]
        )
        self.assertEqual(self.n_received(), 3)
        self.assertEqual(self.scored, [])


class UnexpectedErrors(SenderCase):
    def test_request_that_fails_unexpectedly(self):
        """Guard against a text that gets no score, or is sent again in a tight loop."""
        self.begin(OK)
        errors = counters.TASK_ERRORS.labels("scoring")._value
        before = errors.get()
        failing = mock.Mock(side_effect=KeyError("a fault"))
        with mock.patch.object(self.sender, "_request_score", failing):
            self.run_for(0.8)
        self.assertIn(failing.call_count, (1, 2))
        self.assertEqual(errors.get(), before + failing.call_count)
        self.run_for(5.0, lambda: self.scored)
        self.assertEqual(self.scored, [("b", "i0", "m")])


class Endings(SenderCase):
    """Scoring requests that are cancelled, must not be sent, or have no route."""

    def test_batch_ends(self):
        self.begin(hang, n_items=4, n_slots=3)
        self.run_for(0.1)
        self.assertEqual(self.n_received(), 2)
        self.opened.is_ended = True
        self.sender.cancel_batch("b")
        clock.sleep(0.1)
        self.assertEqual(self.n_received(), 2)
        self.assertEqual(self.servers[0].n_closed, 0)
        self.assertEqual(self.scored, [])

    def test_not_sent_without_the_leadership(self):
        self.begin(OK)
        self.may_send = False
        self.run_for(0.3)
        self.assertEqual(self.n_received(), 0)

    def test_cancelled_before_it_was_scheduled(self):
        """A slot leaks, and all later requests have one slot less.

        A batch ends after the task of its scoring request was created, but before the
        task was scheduled, so none of the task's code runs to release the slot.
        """
        self.begin(OK, n_items=1, n_slots=2)
        self.step()
        self.sender.cancel_batch("b")
        self.assertEqual(self.stage(), Stage.UNSCORED)
        self.run_for(1.0, lambda: self.scored)
        self.assertEqual(len(self.scored), 1)

    def test_no_route(self):
        self.begin(OK)
        self.view.routes = policy.RouteTable(policy.Policy(2, ROUTES[1:]))
        self.run_for(0.2)
        self.assertEqual((self.n_received(), self.stage()), (0, Stage.UNSCORED))
        self.view.routes = policy.RouteTable(policy.Policy(3, ROUTES))
        self.run_for(2.0, lambda: self.scored)
        self.assertEqual(len(self.scored), 1)

    def test_leaving_upstream_gets_nothing(self):
        self.begin(OK, OK)
        leaving = [
            attrs.evolve(each, is_leaving=each.upstream_id == "u0")
            for each in self.view.registry.upstreams
        ]
        self.view.registry = fleet_model.Registry(2, tuple(leaving))
        self.run_for(1.0, lambda: self.scored)
        self.assertEqual([len(each.received) for each in self.servers], [0, 1])


class Burst(SenderCase):
    def test_slots_stay_free(self):
        """Look-ups wait for scoring requests that occupy all slots of a service.

        Forty texts are completed at the same time, for two upstreams with four slots
        each. One slot at each upstream must stay free for the look-ups.
        """
        running = [0, 0]
        most = [0, 0]

        def script(n):
            def answer_slowly(connection, received):
                running[n] += 1
                most[n] = max(most[n], running[n])
                eventlet.sleep(0.02)
                running[n] -= 1
                OK(connection, received)

            return answer_slowly

        self.begin(script(0), script(1), n_items=40, n_slots=4)
        self.run_for(5.0, lambda: len(self.scored) == 40)
        self.assertEqual(len(self.scored), 40)
        self.assertLessEqual(max(most), 3)


class Tasks(unittest.TestCase):
    """Cancelled tasks release their resources."""

    @tools.params(("before it was scheduled", False), ("in the middle", True))
    def test_cancel(self, name, has_started):
        ended = []
        tasks = item_tasks.ItemTasks()

        def on_end():
            ended.append(1)

        def work_on():
            try:
                eventlet.sleep(5.0)
            finally:
                on_end()

        tasks.start(("b", "i"), work_on, on_end)
        if has_started:
            eventlet.sleep(0)
        tasks.cancel_batch("b")
        eventlet.sleep(0)
        self.assertEqual(ended, [1], name)


class Bounds(unittest.TestCase):
    @tools.params(
        ("fits", (2, False), (2, 3), True),
        ("too old", (2, False), (1, 3), False),
        ("unknown", (0, False), (), False),
        ("single", (0, True), (3,), True),
        ("several", (0, True), (2, 3), False),
    )
    def test_allow_all(self, name, bounds, versions, expected):
        given = texts.Bounds(*bounds).allow_all(versions)
        self.assertEqual(given, expected, name)
