"""Experiments: faults in a plan with their locations, reports, paired differences."""

import json
import pathlib
import sys
import tempfile
import unittest

from nose2 import tools

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from bilberrydrum_experiments import comparison, plan, report  # noqa: E402

PLAN = """\
bench: {file}
sites: [{file}]
days: [d1]
seeds: [1, 2]
variants:
  before: HEAD~1
  after: HEAD
why: it is faster
"""


class Plans(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "plan.yaml"
            path.write_text(text.replace("{file}", __file__))
            given = plan.read(str(path))
            prefix = f"{path}:"
        if given.is_ok():
            return given.ok_value
        return [str(each).removeprefix(prefix) for each in given.err_value]

    def test_valid(self):
        given = self.read(PLAN)
        self.assertEqual(given.variants, {"before": "HEAD~1", "after": "HEAD"})
        self.assertEqual((given.seeds, given.n_at_a_time), ((1, 2), 4))

    @tools.params(
        (
            "one variant",
            "  after: HEAD\n",
            "",
            "6:3: error: a comparison needs at least two",
        ),
        ("no seeds", "[1, 2]", "[]", "4:8: error: seeds must have at least one entry"),
        ("a seed twice", "[1, 2]", "[1, 1]", "4:8: error: a seed is given twice"),
        ("no such site", "[{file}]", "[/none]", "2:9: error: file does not exist"),
        ("seeds are words", "[1, 2]", "[a]", "4:9: error: expected a decimal integer"),
        ("unknown field", "why:", "whi:", "8:1: error: "),
    )
    def test_faults(self, name, before, after, expected):
        found = self.read(PLAN.replace(before, after))
        self.assertTrue(any(each.startswith(expected) for each in found), found)


def document(**changes):
    given = {
        "G": 0.8,
        "served": 1.0,
        "breaks": {},
        "prices": [["memory", 3.0, 0.05], ["probes", 1.0, 0.0]],
        "parts": [["whole day", 0.4, 0.9]],
        "classes": [{"name": "look-up", "late": 2, "refused": 1, "failed": 0}],
    }
    return json.dumps({**given, **changes})


class Reports(unittest.TestCase):
    def test_figures(self):
        given = report.decode(document(breaks={"LOST": 2, "TWICE": 1}))
        self.assertEqual((given.worth, given.n_broken_rules), (0.8, 3))
        self.assertEqual(given.prices_by_name, {"memory": 0.05})
        self.assertAlmostEqual(given.earned, 0.85)
        self.assertEqual(given.n_lacking_by_kind, {"look-up": 3})

    @tools.params("", "{}", "[]", '{"G": 1}')
    def test_unreadable(self, text):
        with self.assertRaises(ValueError):
            report.decode(text)


def outcomes(*worths):
    return {
        comparison.Case("kit/small-site.toml", "d", seed): report.decode(
            document(G=worth)
        )
        for seed, worth in enumerate(worths)
        if worth is not None
    }


class Paired(unittest.TestCase):
    def test_only_cases_that_both_ran(self):
        """A seed that only one variant has run would distort the comparison.

        The third seed was run by the first variant only, and its figure differs a lot.
        If it were counted, the difference would be that between seeds and not the
        effect of the change.
        """
        before, after = outcomes(0.5, 0.7, 0.1), outcomes(0.6, 0.8, None)
        given = comparison.paired(before, after, lambda each: each.worth)
        overall = comparison.difference(list(given.values()))
        self.assertEqual(overall.n_pairs, 2)
        self.assertAlmostEqual(overall.mean, 0.1)

    @tools.params(
        ("significant", [0.1, 0.11, 0.09], True),
        ("not significant", [0.1, -0.1, 0.05], False),
        ("one pair", [0.1], False),
        ("none", [], False),
    )
    def test_is_significant(self, name, values, expected):
        self.assertEqual(comparison.difference(values).is_significant, expected, name)

    def test_table(self):
        given = {"before": outcomes(0.5, 0.7), "after": outcomes(0.6, 0.8)}
        text = comparison.table(["before", "after"], given)
        self.assertIn("+0.1000+-0.0000", text)
        self.assertIn("small-site d ", text)
        self.assertIn("broken rules 0", text)
