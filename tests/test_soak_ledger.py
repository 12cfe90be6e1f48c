"""What a soak finds of what clients and upstreams see."""

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


class Found(unittest.TestCase):
    """What breaks a promise is found; what keeps it is not."""

    def setUp(self):
        self.ledger = soak_ledger.Ledger()
        self.ledger.accepted("b", {"i": 2, "j": 2}, 2, 0.0)
        self.texts_by_id = {each: self.make(each) for each in "ijk"}

    def make(self, item_id, version=2):
        run = self.ledger.runs.begin(item_id, "e", 0, 2)
        return "\n".join(run.make(n, version) for n in (1, 2))

    def listed(self, item_id="i", **fields):
        return listed(item_id, **{"text": self.texts_by_id[item_id], **fields})

    def n_findings(self):
        return len(self.ledger.findings)

    @tools.params(
        ("as promised", [{}, {"item_id": "j"}], 0),
        ("a version is not named", [{"versions": (2, 3)}], 1),
        ("a version that made none", [{"versions": ()}], 1),
        ("listed twice", [{}, {}], 1),
        ("not an item of it", [{"item_id": "k"}], 1),
    )
    def test_results(self, name, results, expected):
        page = standins.Page(2, tuple(self.listed(**each) for each in results))
        self.ledger.read("b", 0, page)
        self.assertEqual(self.n_findings(), expected, self.ledger.findings)

    def test_too_old(self):
        result = self.listed(text=self.make("i", version=1), versions=(1,))
        self.ledger.read("b", 0, standins.Page(2, (result,)))
        self.assertEqual(self.n_findings(), 1, self.ledger.findings)

    def test_text_of_another_item(self):
        result = self.listed(text=self.texts_by_id["j"])
        self.ledger.read("b", 0, standins.Page(2, (result,)))
        self.assertEqual(self.n_findings(), 1, self.ledger.findings)

    @tools.params(
        ("as promised", "s.k-score", 0),
        ("none", "", 1),
        ("another's", "s.j-score", 1),
    )
    def test_scores(self, name, score, expected):
        self.ledger.accepted("c", {"k": 2}, 2, 0.0, frozenset({"k"}))
        result = self.listed("k", score=score)
        self.ledger.read("c", 0, standins.Page(1, (result,)))
        self.assertEqual(self.n_findings(), expected, name)

    @tools.params(
        ("after the text", "m-score", 2, 0),
        ("before the text", "m-score", 1, 1),
        ("no scoring request", "m", 1, 0),
    )
    def test_scored_too_early(self, name, request_id, n_made, expected):
        run = self.ledger.runs.begin("m", "e", 0, 2)
        for number in range(1, n_made + 1):
            run.make(number, 2)
        self.ledger.scored(request_id)
        self.assertEqual(self.n_findings(), expected, name)

    def test_result_that_changed(self):
        self.ledger.read("b", 0, standins.Page(2, (self.listed(),)))
        self.ledger.read("b", 0, standins.Page(2, (self.listed(),)))
        self.assertEqual(self.n_findings(), 0)
        self.ledger.read("b", 0, standins.Page(2, (self.listed("j"),)))
        self.assertEqual(self.n_findings(), 1)

    @tools.params(
        ("served", [("ran", "r"), ("answered", "r", 200)], 0),
        ("refused", [("answered", "r", 503)], 0),
        ("unknown", [("ran", "r"), ("answered", "r", 502)], 0),
        ("twice", [("ran", "r"), ("ran", "r")], 1),
        ("refused, had run", [("ran", "r"), ("answered", "r", 503)], 1),
        ("refused, ran later", [("answered", "r", 429), ("ran", "r")], 1),
    )
    def test_once_only(self, name, steps, expected):
        for what, request_id, *status in steps:
            if what == "ran":
                self.ledger.ran_once_only(request_id, "u")
            else:
                self.ledger.answered_once_only(request_id, *status)
        self.assertEqual(self.n_findings(), expected, name)

    @tools.params(
        ("its own answer", (200, b"r", "s"), 0),
        ("another's answer", (200, b"q", "s"), 1),
        ("nobody's answer", (200, b"r", ""), 1),
        ("a failure", (502, b"", ""), 0),
    )
    def test_answers(self, name, answer, expected):
        self.ledger.answered("r", *answer)
        self.assertEqual(self.n_findings(), expected, name)

    def test_policy_that_fell_back(self):
        self.ledger.put_policy(6)
        self.ledger.read_policy(6, 6)
        self.assertEqual(self.n_findings(), 0)
        self.ledger.read_policy(3, 6)
        self.assertEqual(self.n_findings(), 1)

    @tools.params(
        ("in time", 2.0, -100.0, 0),
        ("late", 4.0, -100.0, 1),
        ("late after a fault", 4.0, 1.0, 0),
    )
    def test_after_leaving(self, name, at, disturbed_at, expected):
        self.ledger.disturbed(disturbed_at)
        self.ledger.left("u", 0.0)
        self.ledger.received("u", "r", at)
        self.assertEqual(self.n_findings(), expected, name)

    @tools.params((False, 0), (True, 1))
    def test_announcement_of_nobody(self, is_acknowledged, expected):
        self.ledger.announced_wrongly(b"{}", is_acknowledged)
        self.assertEqual(self.n_findings(), expected)

    @tools.params(("in time", 2.0, 0), ("late", 4.0, 1))
    def test_after_the_end(self, name, at, expected):
        self.ledger.ended("b", 0.0)
        self.ledger.received("u", "i", at)
        self.assertEqual(self.n_findings(), expected, name)

    @tools.params(
        ("ended before", 4.0, 0.5, 1),
        ("ended later", 4.0, 2.0, 0),
        ("open", 9.0, None, 0),
    )
    def test_item_of_two_batches(self, name, at, ended_at, expected):
        """An item that comes again runs until the last of its batches has ended."""
        self.ledger.sent("c", ["i"])
        self.ledger.ended("b", 0.0)
        if ended_at is not None:
            self.ledger.accepted("c", {"i": 2}, 2, 0.0)
            self.ledger.ended("c", ended_at)
        self.ledger.received("u", "i", at)
        self.assertEqual(self.n_findings(), expected, name)

    @tools.params(
        ("of the open batch", "c", 0.0, 9.0, -100.0, 0),
        ("in time", "b", 0.0, 2.0, -100.0, 0),
        ("late", "b", 0.0, 4.0, -100.0, 1),
        ("late, sent after the end", "b", 3.5, 4.0, -100.0, 1),
        ("late after a fault", "b", 3.5, 4.0, 1.0, 0),
        ("late, met a fault", "b", -2.0, 9.0, -1.0, 0),
        ("late, sent after a fault", "b", -0.5, 9.0, -1.0, 1),
        ("of a batch that nobody acknowledged", "d", 0.0, 9.0, -100.0, 0),
        ("of no batch", "", 0.0, 9.0, -100.0, 0),
    )
    def test_attempt_that_outlives_its_batch(
        self, name, batch_id, began_at, at, disturbed_at, expected
    ):
        """An item's first batch ends while its second one is open, and stays so.

        The item's id is the same in both: only the mark of each attempt tells that it
        goes on for a batch that nobody reads, with places that others wait for.
        """
        self.ledger.accepted("c", {"i": 2}, 2, 0.0)
        run = self.ledger.runs.begin("i", "e", 0, 9, batch_id, began_at)
        self.ledger.disturbed(disturbed_at)
        self.ledger.ended("b", 0.0)
        for seconds in (0.0, 0.1):
            self.ledger.goes_on(run, at + seconds)
        self.assertEqual(self.n_findings(), expected, (name, self.ledger.findings))

    @tools.params(
        ("of the open batch", "c", 9.0, -100.0, 0),
        ("in time", "b", 2.0, -100.0, 0),
        ("late", "b", 4.0, -100.0, 1),
        ("late after a fault", "b", 4.0, 1.0, 0),
        ("of no batch", "", 9.0, -100.0, 0),
    )
    def test_request_that_outlives_its_batch(
        self, name, batch_id, at, disturbed_at, expected
    ):
        """As above, of a request that an engine gets, whether or not it runs it."""
        self.ledger.accepted("c", {"i": 2}, 2, 0.0)
        self.ledger.disturbed(disturbed_at)
        self.ledger.ended("b", 0.0)
        self.ledger.received("e", "i", at, batch_id)
        self.assertEqual(self.n_findings(), expected, (name, self.ledger.findings))

    def test_end_whose_answer_was_not_seen(self):
        """The trainer asks for the end and is stopped before the answer comes.

        The end may be in force, so the items that are left need not be made; a batch
        whose end nobody asked for must be finished.
        """
        self.assertTrue(self.ledger.must_finish("b"))
        self.ledger.end_asked("b")
        self.assertFalse(self.ledger.must_finish("b"))

    def test_two_holders_of_one_number(self):
        order = standins.ReceivedOrder("m", 2, "s0", 7, 0)
        other = standins.ReceivedOrder("m", 3, "s1", 7, 1)
        self.ledger.ordered("e", order)
        self.assertEqual(self.n_findings(), 0)
        self.ledger.ordered("e", other)
        self.assertEqual(self.n_findings(), 1)

    @tools.params((3, 0), (4, 1), (9, 1))
    def test_process_that_ends_again_and_again(self, n_ends, expected):
        for _ in range(n_ends):
            self.ledger.ended_by_itself("store-0", 1, 0.0)
        self.ledger.ended_by_itself("store-1", 1, 0.0)
        self.assertEqual(self.n_findings(), expected)

    @tools.params((0.5, 0), (1.5, 1))
    def test_unknown_batch(self, asked_at, expected):
        self.ledger.not_found("b", asked_at)
        self.assertEqual(self.n_findings(), expected)
