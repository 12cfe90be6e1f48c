"""The operators' page explains each reason, metric and exit code there is."""

import pathlib
import re
import unittest

from bilberrydrum import reasons

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
# A row of a table of reasons: its reason, how it is counted, meaning, what to do.
ROW = re.compile(r"^\| `([a-z-]+)` \| ([RTD, ]+) \| (.+) \| (.+) \|$", re.MULTILINE)
METRIC = re.compile(r"\"(bilberrydrum_[a-z_]+)\"")
LINK = re.compile(r"\]\(([A-Za-z./]*)#?([a-z0-9-]*)\)")


def anchors_of(text):
    titles = re.findall(r"^#+ (.+)$", text, re.MULTILINE)
    return {re.sub(r"[^a-z0-9 -]", "", t.lower()).replace(" ", "-") for t in titles}


class TestOperations(unittest.TestCase):
    def test_every_reason_has_one_entry(self):
        named = [row[0] for row in ROW.findall(PAGE)]
        self.assertEqual(sorted(named), sorted(each.value for each in reasons.Reason))

    def test_every_metric_is_explained(self):
        sources = (ROOT / "bilberrydrum").rglob("*.py")
        names = {name for path in sources for name in METRIC.findall(path.read_text())}
        self.assertGreater(len(names), 5)
        for name in names:
            self.assertIn(f"`{name}", PAGE)


class TestLinks(unittest.TestCase):
    def test_links_lead_somewhere(self):
        pages = [*ROOT.glob("*.md"), *(ROOT / "docs").glob("*.md")]
        for page in pages:
            for target, anchor in LINK.findall(page.read_text()):
                path = page.parent / target if target else page
                self.assertTrue(path.exists(), f"{page.name}: {target}")
                if anchor:
                    self.assertIn(anchor, anchors_of(path.read_text()), page.name)
