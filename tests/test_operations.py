"""The operators' page must explain each reason, metric and type of log line."""

import json
import pathlib
import re
import unittest

from bilberrydrum import reasons

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
# A row of a table of reasons: the reason, how it is counted, its meaning, what to do.
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


class TestLogLines(unittest.TestCase):
    """The log lines on the page must be lines that the program writes."""

    LINE = re.compile(r"^ *(\{\"[a-z_]+\": .*\"message_type\": \"[a-z:-]+\"\})$", re.M)
    CALL = re.compile(r"eliot\.log_message\(.*?\n? *\)\n", re.S)
    ALWAYS = {"timestamp", "message_type"}

    def sources(self):
        folders = (ROOT / "bilberrydrum", ROOT / "platform" / "bilberrydrum_platform")
        return [p.read_text() for folder in folders for p in folder.rglob("*.py")]

    def fields_by_type(self):
        found = {}
        for text in self.sources():
            for call in self.CALL.findall(text):
                named = re.search(r"message_type=\"([a-z:-]+)\"", call)
                if named:
                    fields = set(re.findall(r"[(\s]([a-z_]+)=", call))
                    found.setdefault(named[1], set()).update(fields)
        return found

    def test_every_field_is_written(self):
        lines = [json.loads(line) for line in self.LINE.findall(PAGE)]
        self.assertGreater(len(lines), 8)
        known = self.fields_by_type()
        for line in lines:
            name = line["message_type"]
            self.assertIn(name, known)
            missing = set(line) - self.ALWAYS - known[name]
            self.assertEqual(missing, set(), name)

    def test_every_type_on_the_page_is_written(self):
        text = "\n".join(self.sources())
        for name in re.findall(r"`([a-z]+:[a-z-]+)`", PAGE):
            self.assertIn(f'"{name}"', text)
