"""Scoring: what is kept of a whole text, who is scored first, what an answer means."""

import random
import unittest

import attrs
import eventlet
from nose2 import tools

from bilberrydrum import clock, event_stream, reasons, upstream_protocol
from bilberrydrum.batches import (
    commands,
    hooks,
    item_run,
    item_tasks,
    lifecycle,
    model,
    score_sender,
    scoring,
    urgency,
    work,
)
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy
from bilberrydrum.relay import balancing, relay
from bilberrydrum.relay import model as relay_model
from bilberrydrum.requests import attempts, connections, watch
from bilberrydrum.state import machine
from bilberrydrum.upstreams import model as upstream_model
from tests.fakes import scripted

ID = "X-Request-Id"
Stage = lifecycle.Stage
Verdict = scoring.Verdict


def request(item_id, request_id=""):
    return model.ScoringRequest(request_id or f"s-{item_id}", "h", "/s/x?q", b"mark")


def batch(batch_id="b", n_items=2, min_version=0, marker=""):
    items = tuple(
        model.Item(
            f"i{n}",
            "/p/x",
            {},
            b"body",
            10,
            "g",
            scoring=request(f"i{n}", f"{marker}s-i{n}"),
        )
        for n in range(n_items)
    )
    return model.Batch(batch_id, "h", items, min_version=min_version)


def text_of(item_id="i0", text=b"a\nb", versions=(1,)):
    return model.Result.of(item_id, model.ItemState.COMPLETED, text, versions)


class Kept(unittest.TestCase):
    """What the stores' group keeps between a whole text and its score.

    The leader dies after an item's last event. The next one has only what the group
    keeps: it must have the text scored, generate it no second time, and list it once.
    """

    def setUp(self):
        self.state = machine.State()
        given = batch()
        data = model.pack_batch(given)
        self.apply(commands.AcceptBatch("b", len(given.items), data, 60.0))

    def apply(self, command):
        return machine.apply(command, self.state, machine.Context(1, 1.0))

    def kept(self):
        return commands.section_of(self.state).batches_by_id["b"]

    def keep_text(self, item_id="i0"):
        self.apply(commands.FinishItems("b", unscored=(text_of(item_id),)))

    def score(self, item_id="i0", score="mark"):
        given = (commands.Score(item_id, score),)
        return self.apply(commands.FinishItems("b", scores=given))

    def listed(self):
        return [(e.item_id, e.text, e.score) for e in self.kept().results]

    def test_listed_with_its_score_only(self):
        self.keep_text()
        self.assertEqual(self.listed(), [])
        self.score()
        self.assertEqual(self.listed(), [("i0", b"a\nb", "mark")])
        self.assertEqual(self.kept().unscored_by_item_id, {})

    def test_text_and_score_in_one_command(self):
        scores = (commands.Score("i0", "mark"),)
        given = commands.FinishItems("b", unscored=(text_of(),), scores=scores)
        self.assertEqual(self.apply(given).n_appended, 1)
        self.assertEqual(self.listed(), [("i0", b"a\nb", "mark")])

    def test_score_without_a_text_lists_nothing(self):
        self.assertEqual(self.score().n_appended, 0)
        self.assertEqual(self.listed(), [])

    def test_scored_by_two_leaders(self):
        """Two leaders in turn have the same text scored; a reader may know the first.

        Neither the second score nor a second text may change or double the result.
        """
        self.keep_text()
        self.score()
        self.keep_text()
        self.score(score="other")
        self.assertEqual(self.listed(), [("i0", b"a\nb", "mark")])

    def test_given_up(self):
        self.keep_text()
        given_up = model.Result("i0", model.ItemState.TERMINATED)
        self.apply(commands.FinishItems("b", results=(given_up,)))
        self.score()
        self.assertEqual(self.listed(), [("i0", b"", "")])

    def test_late_progress_does_not_replace_a_whole_text(self):
        self.keep_text()
        progress = model.Progress("i0", (b"a",), (1,), 1)
        self.apply(commands.SaveProgress("b", (progress,)))
        self.assertEqual(self.kept().progress_by_item_id, {})

    def test_nothing_is_kept_after_the_end(self):
        self.keep_text()
        self.apply(commands.EndBatch("b"))
        self.assertEqual(self.kept().unscored_by_item_id, {})
        self.keep_text("i1")
        self.score()
        self.assertEqual(self.listed(), [])

    def test_next_leader_scores_and_does_not_generate(self):
        self.keep_text()
        opened = work.Work().open(self.kept(), 0.0)
        self.assertEqual([e.item.item_id for e in opened.unscored_runs()], ["i0"])
        self.assertEqual([e.item.item_id for e in opened.waiting_runs()], ["i1"])
        run = opened.runs_by_item_id["i0"]
        self.assertEqual(run.unscored.text, b"a\nb")
        self.assertEqual(opened.take_progress(0), [])

    def test_joined_keeps_the_order_of_each_item(self):
        given = [
            commands.FinishItems("b", unscored=(text_of("i0"),)),
            commands.FinishItems("c", results=(text_of("i9"),)),
            commands.FinishItems("b", scores=(commands.Score("i0", "mark"),)),
        ]
        joined = commands.joined(given)
        self.assertEqual([each.batch_id for each in joined], ["b", "c"])
        self.assertEqual(joined[0].finished_ids(), ["i0"])
        self.apply(joined[0])
        self.assertEqual(self.listed(), [("i0", b"a\nb", "mark")])


class Course(unittest.TestCase):
    """An item's stages, and what leads where."""

    def run_of(self, **fields):
        return lifecycle.ItemRun(batch().items[0], ("b", "g"), **fields)

    def test_whole_way(self):
        run = self.run_of()
        run.text.add(event_stream.Event(1, b"a"), 1)
        run.begin_generating("e")
        run.end_generating()
        run.take_whole_text(text_of())
        self.assertEqual((run.stage, run.text.parts), (Stage.UNSCORED, []))
        run.begin_scoring()
        run.end_scoring()
        self.assertEqual(run.stage, Stage.UNSCORED)
        run.begin_scoring()
        run.finish()
        run.end_scoring()
        self.assertEqual((run.stage, run.unscored), (Stage.FINISHED, None))

    @tools.params(
        ("attempt ends", lambda run: run.end_generating()),
        ("text comes", lambda run: run.take_whole_text(text_of())),
        ("scoring ends", lambda run: run.end_scoring()),
    )
    def test_nothing_leads_out_of_the_end(self, name, event):
        run = self.run_of()
        run.finish()
        event(run)
        self.assertEqual(run.stage, Stage.FINISHED, name)

    def test_broken_attempt_waits_again(self):
        run = self.run_of()
        run.begin_generating("e")
        run.end_generating()
        self.assertEqual((run.stage, run.engine_id), (Stage.WAITING, ""))


class Carried(unittest.TestCase):
    """Groups that were not complete come again in a later batch."""

    def carry(self, later, has_score):
        known = work.Work()
        kept = model.KeptBatch.of(batch("b1"), 0.0)
        opened = known.open(kept, 0.0)
        if has_score:
            kept.results = [attrs.evolve(text_of(versions=(2,)), score="mark")]
        else:
            opened.runs_by_item_id["i0"].take_whole_text(text_of(versions=(2,)))
        known.end("b1")
        again = known.open(model.KeptBatch.of(later, 8.0), 8.0)
        carried = known.carried_results(again, None)
        run = again.runs_by_item_id["i0"]
        return run.stage, [each.score for each in carried]

    @tools.params(
        ("scored", batch("b2"), True, Stage.FINISHED, ["mark"]),
        ("not scored", batch("b2"), False, Stage.UNSCORED, [""]),
        ("another scorer", batch("b2", marker="x"), True, Stage.UNSCORED, [""]),
        ("too old", batch("b2", min_version=3), True, Stage.WAITING, []),
        ("too old, not scored", batch("b2", min_version=3), False, Stage.WAITING, []),
    )
    def test_whole_text(self, name, later, has_score, stage, scores):
        self.assertEqual(self.carry(later, has_score), (stage, scores), name)


def unscored(item_id, n_missing=1, is_spare=False, done_by=5.0):
    return scoring.Unscored(("b", item_id), is_spare, n_missing, done_by)


class Choice(unittest.TestCase):
    """Sixty texts end within a tenth of a second before a service of 18 places."""

    def test_order(self):
        """Group x lacks one score and group y five, z is one that nobody waits for.

        By turns all three would become whole at the end; the trainer needs x now.
        """
        given = [
            unscored("z0", 1, is_spare=True),
            unscored("y0", 5, done_by=2.0),
            unscored("y1", 5, done_by=2.0),
            unscored("x0", 1),
        ]
        names = [each.key[1] for each in scoring.choose(given, 3)]
        self.assertEqual(names, ["x0", "y0", "y1"])

    @tools.params((2, 2), (0, 0), (-3, 0), (9, 4))
    def test_number(self, n_free, expected):
        given = [unscored(f"i{n}") for n in range(4)]
        self.assertEqual(len(scoring.choose(given, n_free)), expected)

    @tools.params(
        ("three of six", (6, 6, 6), 15),
        ("one place each", (1, 1), 2),
        ("nothing told", (0,), 1),
        ("nobody there", (), 0),
    )
    def test_places(self, name, slots, expected):
        self.assertEqual(scoring.n_places(slots), expected, name)


def answered(status, n_failures=0):
    return relay_model.Answered(status, (), b"", n_failures=n_failures)


def refused(n_failures=0):
    reason = reasons.Reason.UPSTREAM_BUSY
    return relay_model.Refused(reason, n_failures > 0, n_failures=n_failures)


class Verdicts(unittest.TestCase):
    """What an answer means, by who gave it and what was before."""

    @tools.params(
        ("signed", answered(200), True, 0, Verdict.SCORED),
        ("after failures", answered(200, 2), True, 3, Verdict.SCORED),
        ("not signed", answered(200), False, 0, Verdict.AGAIN_LATER),
        ("failed once", answered(500, 1), True, 1, Verdict.AGAIN),
        ("failed thrice", answered(500, 1), True, 3, Verdict.GIVEN_UP),
        ("cannot be done", answered(422), True, 0, Verdict.AGAIN_LATER),
        ("cannot, after failures", answered(404), True, 3, Verdict.AGAIN_LATER),
        ("turned away", refused(), False, 0, Verdict.AGAIN),
        ("lost, failed before", refused(1), False, 2, Verdict.AGAIN),
        ("lost, failed thrice", refused(1), False, 3, Verdict.GIVEN_UP),
    )
    def test_judge(self, name, answer, is_own, n_failures, expected):
        given = scoring.judge(answer, is_own, n_failures, max_attempts=3)
        self.assertIs(given, expected, name)


class Protocol:
    """The names that this stand-in speaks."""

    request_id_header = ID

    def relay_headers(self, headers, attempt):
        return {**headers, ID: attempt.request_id, "X-Only": attempt.announced_id}

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
        passing_on = relay.Relay(Protocol(), self.view, means, balancer, rng)
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
        kept = model.KeptBatch.of(batch(n_items=n_items), 0.0)
        self.opened = work.Work().open(kept, clock.now())
        for item_id, run in self.opened.runs_by_item_id.items():
            run.take_whole_text(text_of(item_id))

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
        given = item_run.Bounds(*bounds).allow_all(versions)
        self.assertEqual(given, expected, name)
