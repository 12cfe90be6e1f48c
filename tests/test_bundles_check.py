"""A bundle's text: all findings at once, each with its position."""

import unittest

from nose2 import tools

from bilberrydrum.bundles import check, model

VALID = """\
version: 2
parent: 1
models:
  planner:
    weight_store: http://127.0.0.1:7000
    adapters: [dry, wet]
applications:
  schedule: {timeout_seconds: 5}
  scorer: {}
callers:
  lima:
    models: [planner]
    applications: [schedule]
trainers:
  outage: {model: planner, scorer: scorer, adapter: wet}
"""

# name, what is replaced in VALID, by what, line, column, part of the message
FAULTS = (
    ("unknown key", "parent: 1", "parent: 1\nfoo: 1", 3, 1, "unknown key 'foo'"),
    ("missing key", "parent: 1\n", "", 1, 1, "'parent' is missing"),
    ("nested unknown key", "timeout_seconds", "timeout", 8, 14, "unknown key"),
    ("wrong type", "version: 2", "version: two", 1, 10, "expected a decimal integer"),
    ("version range", "version: 2", "version: 0", 1, 10, "version must be"),
    ("parent not lower", "parent: 1", "parent: 2", 2, 9, "lower than version 2"),
    ("negative parent", "parent: 1", "parent: -1", 2, 9, "0 or more"),
    ("trainer's model", "model: planner", "model: plan", 15, 19, "'plan' is not in"),
    ("trainer's scorer", "scorer: scorer", "scorer: sc", 15, 36, "'sc' is not in"),
    ("trainer's adapter", "adapter: wet", "adapter: x", 15, 53, "no adapter 'x'"),
    ("caller's model", "[planner]", "[planner, x]", 12, 23, "model 'x' is not"),
    ("caller's application", "[schedule]", "[x]", 13, 20, "application 'x'"),
    ("repeated name", "[dry, wet]", "[dry, wet, dry]", 6, 26, "already"),
    ("timeout", "timeout_seconds: 5", "timeout_seconds: 0", 8, 31, "over 0"),
    ("weight store", "http://", "ftp://", 5, 19, "not http://HOST:PORT"),
    ("bad name", "  lima:", "  li/ma:", 12, 5, "is not a name"),
    ("cut policy", "parent: 1", "parent: 1\ncut_policy: wait", 3, 13, "refuse or hold"),
    ("share", "  lima:", "  lima:\n    share: 0", 12, 12, "share must be"),
    ("broken YAML", "version: 2", "version: [2", 2, 7, "expected ',' or ']'"),
)


class TestCheck(unittest.TestCase):
    def test_valid_bundle_is_read_completely(self) -> None:
        bundle = check.check(VALID, "b.yaml").unwrap()
        self.assertEqual((bundle.version, bundle.parent), (2, 1))
        self.assertEqual(bundle.applications["schedule"].timeout_seconds, 5.0)
        self.assertEqual(bundle.trainers["outage"].adapter, "wet")
        self.assertEqual(bundle.cut_policy, model.CUT_REFUSE)

    @tools.params(*FAULTS)
    def test_fault_is_found_at_its_position(
        self, name: str, old: str, new: str, line: int, column: int, message: str
    ) -> None:
        self.assertEqual(VALID.count(old), 1, f"{name}: the case does not apply")
        found = check.check(VALID.replace(old, new), "b.yaml").unwrap_err()
        self.assertEqual([(each.line, each.column) for each in found], [(line, column)])
        self.assertIn(message, found[0].message)
        self.assertEqual(found[0].file, "b.yaml")

    def test_all_faults_are_reported_together(self) -> None:
        """The operator sends a bundle with several faults.

        One answer reports them all, in the order of their positions, so that the
        operator does not need one submission per fault.
        """
        content = VALID.replace("parent: 1", "parent: 9").replace("planner", "x", 1)
        content += "extra: 1\n"
        found = check.check(content, "b.yaml").unwrap_err()
        lines = [each.line for each in found]
        self.assertEqual(lines, [2, 12, 15, 16])

    def test_digest_is_of_the_text(self) -> None:
        self.assertEqual(check.digest_of(VALID), check.digest_of(VALID))
        self.assertNotEqual(check.digest_of(VALID), check.digest_of(VALID + "\n"))

    @tools.params(
        "",
        "[]",
        "\ud800",
        "a: &a [*a]",
        "version: " + "9" * 5000,
        "[" * 5000,
        VALID + "#" * check.MAX_CONTENT_BYTES,
    )
    def test_hostile_text_is_a_finding(self, content: str) -> None:
        self.assertTrue(check.check(content, "b.yaml").is_err())
