"""The demo's checks: a run that violates a condition must not pass."""

import json
import pathlib
import tempfile
import unittest

import attrs
from nose2 import tools

from misc.demos import andes, figures, probe
from tests.fakes import samples, scorer, tokens

PROMPT = "Plan week 7."
GROUP = samples.Group("g1", PROMPT, 2, 4)


def make_sample(slot=0, position=0, **changes):
    """Return a correct sample: two tokens of version 3, then two of version 4."""
    token_ids = [tokens.token_id(PROMPT, 3 + i // 2, i) for i in range(4)]
    sample = {
        "sample_id": f"outage/g1/{slot}",
        "position": position,
        "group_id": "g1",
        "slot": slot,
        "text": tokens.text_of(token_ids),
        "token_ids": token_ids,
        "segments": [
            {"weight_version": 3, "first_token": 0, "last_token": 1},
            {"weight_version": 4, "first_token": 2, "last_token": 3},
        ],
        "score": scorer.score_of(token_ids),
    }
    sample.update(changes)
    if "token_ids" in changes:
        sample["text"] = tokens.text_of(changes["token_ids"])
        sample["score"] = scorer.score_of(changes["token_ids"])
    return sample


def segment(version, first, last):
    return {"weight_version": version, "first_token": first, "last_token": last}


CORRECT_IDS = make_sample()["token_ids"]


class AccountTest(unittest.TestCase):
    def setUp(self):
        self.account = samples.SampleLedger("outage")
        self.account.record_request(GROUP)

    def test_correct_samples_leave_all_counts_zero(self):
        for slot in range(2):
            self.account.check_sample(make_sample(slot, slot), published_version=5)
        report = self.account.report()
        self.assertEqual([], report["examples"])
        names = ("n_samples_delivered", "n_duplicates", "n_lost", "n_untraceable")
        self.assertEqual([2, 0, 0, 0], [report[name] for name in names])
        self.assertEqual(2, report["max_staleness"])

    def test_sample_read_again_at_its_position_is_no_duplicate(self):
        for _ in range(2):
            self.account.check_sample(make_sample(), published_version=5)
        report = self.account.report()
        self.assertEqual([0, 1], [report["n_duplicates"], report["n_redelivered"]])

    @tools.params(
        ("one sample at two positions", make_sample(0, 0), make_sample(0, 1)),
        ("two samples at one position", make_sample(0, 0), make_sample(1, 0)),
    )
    def test_second_delivery_is_a_duplicate(self, what, first, second):
        self.account.check_sample(first, published_version=5)
        self.account.check_sample(second, published_version=5)
        self.assertEqual(1, self.account.report()["n_duplicates"])

    def test_missing_sample_is_lost(self):
        self.account.check_sample(make_sample(), published_version=5)
        self.assertEqual(1, self.account.report()["n_lost"])

    @tools.params(
        ("a token lost", {"token_ids": CORRECT_IDS[:3]}),
        (
            "a token twice",
            {"token_ids": [*CORRECT_IDS[:2], CORRECT_IDS[1], CORRECT_IDS[3]]},
        ),
        (
            "tokens swapped",
            {"token_ids": [CORRECT_IDS[1], CORRECT_IDS[0], *CORRECT_IDS[2:]]},
        ),
        ("cut short", {"token_ids": CORRECT_IDS[:2], "segments": [segment(3, 0, 1)]}),
        ("no tokens", {"token_ids": [], "segments": []}),
        ("a version too old", {"segments": [segment(3, 0, 2), segment(4, 3, 3)]}),
        ("one version for all", {"segments": [segment(4, 0, 3)]}),
        ("a gap", {"segments": [segment(3, 0, 1), segment(4, 3, 3)]}),
        ("an overlap", {"segments": [segment(3, 0, 2), segment(4, 2, 3)]}),
        ("a segment too long", {"segments": [segment(3, 0, 1), segment(4, 2, 4)]}),
        ("another text", {"text": " 1 2 3 4"}),
        ("another sample's score", {"score": 2.0}),
        ("another sample's id", {"sample_id": "outage/g1/1"}),
        ("a group not asked for", {"group_id": "g2"}),
        ("a slot not asked for", {"slot": 2, "sample_id": "outage/g1/2"}),
    )
    def test_wrong_sample_is_untraceable(self, what, changes):
        self.account.check_sample(make_sample(**changes), published_version=5)
        self.assertEqual(1, self.account.report()["n_untraceable"], what)

    def test_sample_with_end_token_may_be_short(self):
        short = [*CORRECT_IDS[:2], tokens.END_TOKEN_ID]
        segments = [segment(3, 0, 1), segment(4, 2, 2)]
        self.account.check_sample(
            make_sample(token_ids=short, segments=segments), published_version=5
        )
        self.assertEqual(0, self.account.report()["n_untraceable"])


def make_bookings(folder, runs, outcomes):
    for number, booking_id in enumerate(runs):
        path = folder / f"schedule-{number % 2}.journal"
        event = {"kind": "booking", "booking_id": booking_id}
        with path.open("a") as file:
            file.write(json.dumps(event) + "\n")
    with (folder / "planner.journal").open("a") as file:
        for booking_id, outcome in outcomes.items():
            event = {"kind": "outcome", "booking_id": booking_id, "outcome": outcome}
            file.write(json.dumps(event) + "\n")
    return figures.count_bookings(folder)


class FiguresTest(unittest.TestCase):
    good_trainer = {
        "n_samples_delivered": 320,
        "n_duplicates": 0,
        "n_lost": 0,
        "n_untraceable": 0,
        "max_staleness": andes.STALENESS_BOUND,
        "n_steps": 20,
        "weight_version": 3,
    }
    good_bookings = figures.Bookings(5, 0, 0, 0, 0, 0)

    @tools.params(
        ("all well", ["a", "b"], {"a": "booked", "b": "booked"}, (0, 0, 0)),
        ("run twice, at two processes", ["a", "a"], {"a": "booked"}, (1, 0, 0)),
        (
            "run twice, outcome unknown to the planner",
            ["a", "b", "a"],
            {"a": "unknown"},
            (1, 0, 0),
        ),
        ("confirmed, not run", ["b"], {"a": "booked"}, (0, 1, 0)),
        ("refused, but run", ["a"], {"a": "given-up"}, (0, 0, 1)),
        ("refused, not run", [], {"a": "given-up"}, (0, 0, 0)),
        ("unknown, run once", ["a"], {"a": "unknown"}, (0, 0, 0)),
    )
    def test_bookings_are_counted_from_the_journals(self, what, runs, outcomes, want):
        with tempfile.TemporaryDirectory() as folder:
            found = make_bookings(pathlib.Path(folder), runs, outcomes)
        got = (found.n_double, found.n_confirmed_not_run, found.n_refused_but_run)
        self.assertEqual(want, got, what)

    def breaches(self, trainer=None, planner=None, bookings=None, reverts=()):
        return figures.find_breaches(
            {**self.good_trainer, **(trainer or {})},
            {"n_mismatched": 0, **(planner or {})},
            attrs.evolve(self.good_bookings, **(bookings or {})),
            list(reverts),
        )

    def test_good_run_passes(self):
        self.assertEqual([], self.breaches())

    @tools.params(
        {"trainer": {"n_duplicates": 1}},
        {"trainer": {"n_lost": 1}},
        {"trainer": {"n_untraceable": 1}},
        {"trainer": {"max_staleness": andes.STALENESS_BOUND + 1}},
        {"trainer": {"n_steps": 19}},
        {"trainer": {"weight_version": 2}},
        {"planner": {"n_mismatched": 1}},
        {"bookings": {"n_double": 1}},
        {"bookings": {"n_confirmed_not_run": 1}},
        {"bookings": {"n_refused_but_run": 1}},
        {"bookings": {"n_confirmed": 0}},
        {"reverts": ["gw-ate applied a bundle older than 2"]},
    )
    def test_run_that_violates_one_condition_fails(self, changes):
        self.assertEqual(1, len(self.breaches(**changes)))


class FakeDeployment:
    """A deployment of which only the gateways' names are used."""

    daemons_by_id = {"gw-1": None}


class ProbeTest(unittest.TestCase):
    @tools.params(
        ("before the newer one was seen or reported", None, None, 100.0, 100.1, False),
        (
            "sent after this gateway applied the newer one",
            99.0,
            None,
            100.0,
            100.1,
            True,
        ),
        ("sent after the newer one was reported", None, 99.0, 100.0, 100.1, True),
        (
            "in flight when the newer one was reported",
            None,
            100.05,
            100.0,
            100.1,
            False,
        ),
        ("answered by a gateway that was frozen", None, 100.05, 100.0, 109.0, True),
    )
    def test_older_bundle_after_newer_was_in_force_is_a_revert(
        self, what, seen, reported, sent, received, is_revert
    ):
        gateway_probe = probe.Probe(FakeDeployment())
        if seen is not None:
            gateway_probe.seen_by_version[2] = {"gw-1": seen}
        if reported is not None:
            gateway_probe.report(andes.RolledBundle(2, "", 98.0, reported))
        gateway_probe._check_revert("gw-1", 2, sent, received)
        self.assertEqual(is_revert, bool(gateway_probe.reverts), what)
