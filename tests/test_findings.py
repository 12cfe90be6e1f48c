"""Tests of findings: order and text form."""

import unittest

from bilberrydrum import findings


class TestFindings(unittest.TestCase):
    def test_sorted_by_place_without_duplicates(self):
        late = findings.Finding("a.yaml", 10, 2, "late")
        early = findings.Finding("a.yaml", 9, 7, "early")
        found = findings.in_order([late, early, late])
        self.assertEqual(found, [early, late])
        self.assertEqual(
            findings.report(found),
            "a.yaml:9:7: error: early\na.yaml:10:2: error: late",
        )

    def test_finding_without_place_names_only_the_file(self):
        finding = findings.Finding("a.yaml", 0, 0, "cannot be read")
        self.assertEqual(str(finding), "a.yaml: error: cannot be read")
