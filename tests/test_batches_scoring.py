"""Scoring: stored state of complete texts, order of requests, handling of answers."""

import unittest

import attrs
from nose2 import tools

from bilberrydrum import event_stream, reasons
from bilberrydrum.batches import (
    commands,
    lifecycle,
    model,
    scoring,
    work,
)
from bilberrydrum.relay import model as relay_model
from bilberrydrum.state import machine

ID = "X-Request-Id"
Stage = lifecycle.Stage
Decision = scoring.Decision


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
    """What the state group stores between the completion of a text and its score.

    The leader crashes after an item's last event. The next leader has only the
    replicated state: it must have the text scored, must not generate it again, and must
    list it once.
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
        """A result changes or is listed twice after a change of leader.

        Two leaders have the same text scored one after the other, and a reader may have
        read the first result already. A second score or text must have no effect.
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

    def test_late_progress_does_not_replace_a_complete_text(self):
        self.keep_text()
        progress = model.Progress("i0", (b"a",), (1,), 1)
        self.apply(commands.SaveProgress("b", (progress,)))
        self.assertEqual(self.kept().progress_by_item_id, {})

    def test_nothing_is_kept_after_the_batch_ends(self):
        self.keep_text()
        self.apply(commands.EndBatch("b"))
        self.assertEqual(self.kept().unscored_by_item_id, {})
        self.keep_text("i1")
        self.score()
        self.assertEqual(self.listed(), [])

    def test_next_leader_scores_and_does_not_generate(self):
        self.keep_text()
        opened = work.OpenBatches().open(self.kept(), 0.0)
        self.assertEqual([e.item.item_id for e in opened.unscored_runs()], ["i0"])
        self.assertEqual([e.item.item_id for e in opened.waiting_runs()], ["i1"])
        run = opened.runs_by_item_id["i0"]
        self.assertEqual(run.unscored.text, b"a\nb")
        self.assertEqual(opened.begin_saves(0), [])

    def test_joined_keeps_the_order_of_each_item(self):
        given = [
            commands.FinishItems("b", unscored=(text_of("i0"),)),
            commands.FinishItems("c", results=(text_of("i9"),)),
            commands.FinishItems("b", scores=(commands.Score("i0", "mark"),)),
        ]
        joined = commands.merge_by_batch(given)
        self.assertEqual([each.batch_id for each in joined], ["b", "c"])
        self.assertEqual(joined[0].finished_ids(), ["i0"])
        self.apply(joined[0])
        self.assertEqual(self.listed(), [("i0", b"a\nb", "mark")])


class Stages(unittest.TestCase):
    """The stages of an item and the transitions between them."""

    def run_of(self, **fields):
        return lifecycle.ItemRun(batch().items[0], ("b", "g"), **fields)

    def test_all_stages(self):
        run = self.run_of()
        run.text.add(event_stream.Event(1, b"a"), 1)
        run.begin_generating("e")
        run.end_generating()
        run.set_complete_text(text_of())
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
        ("text comes", lambda run: run.set_complete_text(text_of())),
        ("scoring ends", lambda run: run.end_scoring()),
    )
    def test_finished_is_final(self, name, event):
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
    """Groups that were not complete are submitted again in a later batch."""

    def carry(self, later, has_score):
        known = work.OpenBatches()
        kept = model.KeptBatch.of(batch("b1"), 0.0)
        opened = known.open(kept, 0.0)
        if has_score:
            kept.results = [attrs.evolve(text_of(versions=(2,)), score="mark")]
        else:
            opened.runs_by_item_id["i0"].set_complete_text(text_of(versions=(2,)))
        known.remember_closed(known.close("b1"))
        again = known.open(model.KeptBatch.of(later, 8.0), 8.0)
        carried = known.reusable_results(again, None)
        run = again.runs_by_item_id["i0"]
        return run.stage, [each.score for each in carried]

    @tools.params(
        ("scored", batch("b2"), True, Stage.FINISHED, ["mark"]),
        ("not scored", batch("b2"), False, Stage.UNSCORED, [""]),
        ("another scorer", batch("b2", marker="x"), True, Stage.UNSCORED, [""]),
        ("too old", batch("b2", min_version=3), True, Stage.WAITING, []),
        ("too old, not scored", batch("b2", min_version=3), False, Stage.WAITING, []),
    )
    def test_complete_text(self, name, later, has_score, stage, scores):
        self.assertEqual(self.carry(later, has_score), (stage, scores), name)


def unscored(item_id, n_missing=1, is_spare=False, done_by=5.0):
    return scoring.Unscored(("b", item_id), is_spare, n_missing, done_by)


class Choice(unittest.TestCase):
    """The choice of texts to score when more wait than the service has free slots."""

    def test_order(self):
        """A trainer waits too long for its first complete groups.

        Group x lacks one score, group y five, and nobody waits for group z. If they
        were scored in turns, all three would be complete only at the end.
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
        ("one slot each", (1, 1), 2),
        ("slots not reported", (0,), 1),
        ("no upstreams", (), 0),
    )
    def test_max_concurrent(self, name, slots, expected):
        self.assertEqual(scoring.max_concurrent(slots), expected, name)


def answered(status, n_failures=0):
    return relay_model.Answered(status, (), b"", n_failures=n_failures)


def refused(n_failures=0):
    reason = reasons.Reason.UPSTREAM_BUSY
    return relay_model.Refused(reason, n_failures > 0, n_failures=n_failures)


class Decisions(unittest.TestCase):
    """The decision after an answer, by its origin and the failures so far."""

    @tools.params(
        ("signed", answered(200), True, 0, Decision.SCORED),
        ("after failures", answered(200, 2), True, 3, Decision.SCORED),
        ("not signed", answered(200), False, 0, Decision.RETRY_LATER),
        ("failed once", answered(500, 1), True, 1, Decision.RETRY),
        ("failed three times", answered(500, 1), True, 3, Decision.GIVEN_UP),
        ("cannot be done", answered(422), True, 0, Decision.RETRY_LATER),
        ("cannot, after failures", answered(404), True, 3, Decision.RETRY_LATER),
        ("rejected as busy", refused(), False, 0, Decision.RETRY),
        ("lost, failed before", refused(1), False, 2, Decision.RETRY),
        ("lost, failed three times", refused(1), False, 3, Decision.GIVEN_UP),
    )
    def test_decide(self, name, answer, is_signed, n_failures, expected):
        given = scoring.decide(answer, is_signed, n_failures, max_attempts=3)
        self.assertIs(given, expected, name)
