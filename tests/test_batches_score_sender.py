"""Scoring requests as they are sent: answers, ends, bursts and places."""

import random
import unittest

import attrs
import eventlet
from nose2 import tools

from bilberrydrum import clock, quarantine, upstream_protocol
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
Verdict = scoring.Verdict


class Protocol:
    """The names that this stand-in speaks."""

    request_id_header = ID

    def relay_headers(self, headers, attempt):
        return {**headers, ID: attempt.request_id, "X-Only": attempt.announced_id}

    def identity_of(self, headers):
        return ""

    def read_head(self, headers):
        signature = headers.get("Signature", "")
        return upstream_protocol.AnswerHead(
            is_genuine=bool(signature),
            signature=signature,
            was_not_run="Not-Run" in headers,
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
UNSIGNED = answer(headers=())
UNNAMED = answer(request_id="")
OTHERS = answer(request_id="other")
SURPLUS = answer(extra=b"HTTP/1.1 200 X\r\nSignature: x\r\nContent-Length: 0\r\n\r\n")

ROUTES = (
    policy.Route(
        "score",
        "h",
        "/s/",
        # May run once only, but for requests whose sender knows better.
        policy.RouteKind.NON_IDEMPOTENT,
        (policy.Share("apps", 1.0),),
        timeout_seconds=0.6,
        target_latency_seconds=0.1,
        max_attempts=3,
    ),
    policy.Route("p", "h", "/p/", policy.RouteKind.BATCH, (policy.Share("e", 1.0),)),
)


class View:
    """Stands for a store's copy of the registry and the policy."""

    def __init__(self, servers, n_slots):
        self.registry = fleet_model.Registry(
            1,
            tuple(
                fleet_model.FleetUpstream(f"u{n}", "apps", each.address, "z", n_slots)
                for n, each in enumerate(servers)
            ),
        )
        self.routes = policy.RouteTable(policy.Policy(1, ROUTES))
        self.crashes = quarantine.Book()
        self.crashes_index = 0

    def watch(self, callback):
        pass


class SenderCase(unittest.TestCase):
    """Real requests on loopback, the service's answers by script."""

    def begin(self, *scripts, n_items=1, n_slots=2):
        self.servers = []
        for script in scripts:
            server = scripted.Scripted(script, kind=upstream_model.KIND_APPLICATION)
            self.addCleanup(server.stop)
            self.servers.append(server)
        self.view = View(self.servers, n_slots)
        means = attempts.Means(connections.Connections(), watch.Watch())
        rng = random.Random(1)
        balancer = balancing.Balancer("z", rng)
        crashes = crash_watch.CrashWatch(self.view, None)
        passing_on = relay.Relay(Protocol(), self.view, means, balancer, rng, crashes)
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
            passing_on, self.view, given, urgency.Pace(), lambda: None
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
    """Each way in which the service may answer, and what becomes of the item."""

    @tools.params(
        ("at once", (OK,)),
        ("failed, then elsewhere", (FAILED, OK)),
        ("full, then elsewhere", (FULL, OK)),
        ("closed, then elsewhere", (close, OK)),
        ("silent, then elsewhere", (hang, OK)),
        ("not signed, then elsewhere", (UNSIGNED, OK)),
        ("another's answer, then elsewhere", (OTHERS, OK)),
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
        ("names no request", UNNAMED),
        ("another's answer", OTHERS),
        ("cannot be done", answer(422)),
        ("always full", FULL),
        ("always closed", close),
    )
    def test_never_a_score(self, name, script):
        """The service never gives a sound answer to this very request.

        Taken for a score, or for a reason to give up, the trainer would learn from a
        mark that nobody has given; the item waits and is asked for again.
        """
        self.begin(script)
        self.run_for(0.8)
        self.assertEqual((self.scored, self.finished), ([], []), name)
        self.assertIn(self.stage(), (Stage.UNSCORED, Stage.SCORING))
        self.assertGreaterEqual(self.n_received(), 1)
        self.assertLess(self.n_received(), 20, name)

    @tools.params(1, 2, 3)
    def test_failures_are_counted_over_all_upstreams(self, n_upstreams):
        """Each upstream fails at the same request, as a few requests always do.

        The route allows three failures; more would only keep places from others.
        """
        self.begin(*[FAILED] * n_upstreams)
        self.run_for(5.0, lambda: self.finished)
        self.assertEqual(
            [each.state for each in self.finished], [model.ItemState.TERMINATED]
        )
        self.assertEqual(self.n_received(), 3)
        self.assertEqual(self.scored, [])


class Ends(SenderCase):
    """A scoring request ends with its batch, its leader and its time."""

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

    def test_cancelled_before_its_first_turn(self):
        """A batch ends in the very turn in which its request was to go out.

        Left taken, the place would be missing to all later requests.
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
    def test_places_stay_free(self):
        """Forty texts end together before two upstreams of four places.

        Look-ups go there as well. With all places taken each of them would wait for a
        scoring request to end; one place at each upstream stays free.
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
    """Work that is broken off gives back what it had taken."""

    @tools.params(("before its first turn", False), ("in the middle", True))
    def test_cancel(self, name, has_begun):
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
        if has_begun:
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
