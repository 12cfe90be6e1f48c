"""Findings of a soak about what clients and upstreams observe."""

import pathlib
import sys
import unittest

from nose2 import tools

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from bilberrydrum_platform import standins

from misc.soaks import soak_ledger


def listed(item_id="i", text="", versions=(2,), score=""):
    return standins.BatchResult(item_id, True, text, versions, score)


class Findings(unittest.TestCase):
    """Broken guarantees are found, and correct behaviour causes no finding."""

    def setUp(self):
        self.ledger = soak_ledger.Ledger()
        self.ledger.record_accepted_batch("b", {"i": 2, "j": 2}, 2, 0.0)
        self.texts_by_id = {each: self.make_text(each) for each in "ijk"}

    def make_text(self, item_id, version=2):
        run = self.ledger.runs.begin(item_id, "e", 0, 2)
        return "\n".join(run.make_event(n, version) for n in (1, 2))

    def listed(self, item_id="i", **fields):
        return listed(item_id, **{"text": self.texts_by_id[item_id], **fields})

    def n_findings(self):
        return len(self.ledger.findings)

    @tools.params(
        ("all correct", [{}, {"item_id": "j"}], 0),
        ("a listed version that made no event", [{"versions": (2, 3)}], 1),
        ("a version that is not listed", [{"versions": ()}], 1),
        ("listed twice", [{}, {}], 1),
        ("item of another batch", [{"item_id": "k"}], 1),
    )
    def test_results(self, name, results, expected):
        page = standins.Page(2, tuple(self.listed(**each) for each in results))
        self.ledger.record_page("b", 0, page)
        self.assertEqual(self.n_findings(), expected, self.ledger.findings)

    def test_weight_version_below_the_minimum(self):
        result = self.listed(text=self.make_text("i", version=1), versions=(1,))
        self.ledger.record_page("b", 0, standins.Page(2, (result,)))
        self.assertEqual(self.n_findings(), 1, self.ledger.findings)

    def test_text_of_another_item(self):
        result = self.listed(text=self.texts_by_id["j"])
        self.ledger.record_page("b", 0, standins.Page(2, (result,)))
        self.assertEqual(self.n_findings(), 1, self.ledger.findings)

    @tools.params(
        ("correct score", "s.k-score", 0),
        ("none", "", 1),
        ("another's", "s.j-score", 1),
    )
    def test_scores(self, name, score, expected):
        self.ledger.record_accepted_batch("c", {"k": 2}, 2, 0.0, frozenset({"k"}))
        result = self.listed("k", score=score)
        self.ledger.record_page("c", 0, standins.Page(1, (result,)))
        self.assertEqual(self.n_findings(), expected, name)

    @tools.params(
        ("after the text is complete", "m-score", 2, 0),
        ("before the text is complete", "m-score", 1, 1),
        ("not a scoring request", "m", 1, 0),
    )
    def test_scored_too_early(self, name, request_id, n_made, expected):
        run = self.ledger.runs.begin("m", "e", 0, 2)
        for number in range(1, n_made + 1):
            run.make_event(number, 2)
        self.ledger.record_scoring_request(request_id)
        self.assertEqual(self.n_findings(), expected, name)

    def test_changed_result(self):
        self.ledger.record_page("b", 0, standins.Page(2, (self.listed(),)))
        self.ledger.record_page("b", 0, standins.Page(2, (self.listed(),)))
        self.assertEqual(self.n_findings(), 0)
        self.ledger.record_page("b", 0, standins.Page(2, (self.listed("j"),)))
        self.assertEqual(self.n_findings(), 1)

    @tools.params(
        ("served", [("ran", "r"), ("answered", "r", 200)], 0),
        ("refused", [("answered", "r", 503)], 0),
        ("unknown", [("ran", "r"), ("answered", "r", 502)], 0),
        ("twice", [("ran", "r"), ("ran", "r")], 1),
        ("refused after it had run", [("ran", "r"), ("answered", "r", 503)], 1),
        ("ran after it was refused", [("answered", "r", 429), ("ran", "r")], 1),
    )
    def test_once_only(self, name, steps, expected):
        for what, request_id, *status in steps:
            if what == "ran":
                self.ledger.record_once_only_run(request_id, "u")
            else:
                self.ledger.record_once_only_answer(request_id, *status)
        self.assertEqual(self.n_findings(), expected, name)

    @tools.params(
        ("correct answer", (200, b"r", "s"), 0),
        ("answer of another request", (200, b"q", "s"), 1),
        ("answer without a stamp", (200, b"r", ""), 1),
        ("a failure", (502, b"", ""), 0),
    )
    def test_answers(self, name, answer, expected):
        self.ledger.record_answer("r", *answer)
        self.assertEqual(self.n_findings(), expected, name)

    def test_older_policy_is_read(self):
        self.ledger.record_policy(6)
        self.ledger.record_policy_read(6, 6)
        self.assertEqual(self.n_findings(), 0)
        self.ledger.record_policy_read(3, 6)
        self.assertEqual(self.n_findings(), 1)

    @tools.params(
        ("in time", 2.0, -100.0, 0),
        ("late", 4.0, -100.0, 1),
        ("late after a fault", 4.0, 1.0, 0),
    )
    def test_request_after_departure(self, name, at, disturbed_at, expected):
        self.ledger.record_disturbance(disturbed_at)
        self.ledger.record_departure("u", 0.0)
        self.ledger.record_request("u", "r", at)
        self.assertEqual(self.n_findings(), expected, name)

    @tools.params((False, 0), (True, 1))
    def test_invalid_announcement(self, is_acknowledged, expected):
        self.ledger.record_invalid_announcement(b"{}", is_acknowledged)
        self.assertEqual(self.n_findings(), expected)

    @tools.params(("in time", 2.0, 0), ("late", 4.0, 1))
    def test_item_after_the_end_of_its_batch(self, name, at, expected):
        self.ledger.record_end("b", 0.0)
        self.ledger.record_request("u", "i", at)
        self.assertEqual(self.n_findings(), expected, name)

    @tools.params(
        ("ended before", 4.0, 0.5, 1),
        ("ended later", 4.0, 2.0, 0),
        ("open", 9.0, None, 0),
    )
    def test_item_of_two_batches(self, name, at, ended_at, expected):
        """An item of two batches may run until both batches have ended."""
        self.ledger.record_submission("c", ["i"])
        self.ledger.record_end("b", 0.0)
        if ended_at is not None:
            self.ledger.record_accepted_batch("c", {"i": 2}, 2, 0.0)
            self.ledger.record_end("c", ended_at)
        self.ledger.record_request("u", "i", at)
        self.assertEqual(self.n_findings(), expected, name)

    @tools.params(
        ("of the open batch", "c", 0.0, 9.0, -100.0, 0),
        ("in time", "b", 0.0, 2.0, -100.0, 0),
        ("late", "b", 0.0, 4.0, -100.0, 1),
        ("late, sent after the end", "b", 3.5, 4.0, -100.0, 1),
        ("late after a fault", "b", 3.5, 4.0, 1.0, 0),
        ("late, fault during the run", "b", -2.0, 9.0, -1.0, 0),
        ("late, started after a fault", "b", -0.5, 9.0, -1.0, 1),
        ("of a batch that was not acknowledged", "d", 0.0, 9.0, -100.0, 0),
        ("of no batch", "", 0.0, 9.0, -100.0, 0),
    )
    def test_run_after_the_end_of_its_batch(
        self, name, batch_id, started_at, at, disturbed_at, expected
    ):
        """A run continues after its batch has ended while a second batch has its item.

        The item id is the same in both batches, so only the batch header of the attempt
        shows that the run is for the ended batch. Such a run occupies engine capacity
        that other items wait for, and nobody reads its result.
        """
        self.ledger.record_accepted_batch("c", {"i": 2}, 2, 0.0)
        run = self.ledger.runs.begin("i", "e", 0, 9, batch_id, started_at)
        self.ledger.record_disturbance(disturbed_at)
        self.ledger.record_end("b", 0.0)
        for seconds in (0.0, 0.1):
            self.ledger.check_run(run, at + seconds)
        self.assertEqual(self.n_findings(), expected, (name, self.ledger.findings))

    @tools.params(
        ("of the open batch", "c", 9.0, -100.0, 0),
        ("in time", "b", 2.0, -100.0, 0),
        ("late", "b", 4.0, -100.0, 1),
        ("late after a fault", "b", 4.0, 1.0, 0),
        ("of no batch", "", 9.0, -100.0, 0),
    )
    def test_request_after_the_end_of_its_batch(
        self, name, batch_id, at, disturbed_at, expected
    ):
        """As above, for a request that an engine receives but may not have run."""
        self.ledger.record_accepted_batch("c", {"i": 2}, 2, 0.0)
        self.ledger.record_disturbance(disturbed_at)
        self.ledger.record_end("b", 0.0)
        self.ledger.record_request("e", "i", at, batch_id)
        self.assertEqual(self.n_findings(), expected, (name, self.ledger.findings))

    def test_end_whose_answer_was_not_seen(self):
        """The trainer requests the end of a batch and is stopped before the answer.

        The end may have taken effect, so the remaining items need not be completed. A
        batch whose end was not requested must be finished.
        """
        self.assertTrue(self.ledger.must_finish("b"))
        self.ledger.record_end_request("b")
        self.assertFalse(self.ledger.must_finish("b"))

    def test_two_holders_of_one_number(self):
        order = standins.ReceivedOrder("m", 2, "s0", 7, 0)
        other = standins.ReceivedOrder("m", 3, "s1", 7, 1)
        self.ledger.record_order("e", order)
        self.assertEqual(self.n_findings(), 0)
        self.ledger.record_order("e", other)
        self.assertEqual(self.n_findings(), 1)

    @tools.params((3, 0), (4, 1), (9, 1))
    def test_process_that_exits_repeatedly(self, n_ends, expected):
        for _ in range(n_ends):
            self.ledger.record_unexpected_exit("store-0", 1, 0.0)
        self.ledger.record_unexpected_exit("store-1", 1, 0.0)
        self.assertEqual(self.n_findings(), expected)

    @tools.params((0.5, 0), (1.5, 1))
    def test_unknown_batch(self, requested_at, expected):
        self.ledger.record_not_found("b", requested_at)
        self.assertEqual(self.n_findings(), expected)
