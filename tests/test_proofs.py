"""docs/PROOFS.md must list existing tests for each promise and each failure."""

import ast
import pathlib
import re
import unittest

from nose2 import tools

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "PROOFS.md"
N_PROMISES = 9
FAILURES = (
    "engine crash",
    "process death in mid-step",
    "failed weight swap",
    "silent partition of a control host",
    "operators racing with equal versions",
    "changes sent again",
    "second host lost after a repair",
    "restart after hundreds of changes",
    "several failures together",
)
TEST_ID = re.compile(r"`([\w.]+)`")
NOT_PROVED = re.compile(r"not proved: \S.{10,}")


def read_tables(text):
    """Return, by heading, the cells of each row of the page's tables."""
    rows_by_heading = {}
    heading = ""
    for line in text.splitlines():
        if line.startswith("## "):
            heading = line[3:]
        elif line.startswith("|") and not line.startswith("| ---"):
            cells = [cell.strip() for cell in line.strip("|").split("|")]
            rows_by_heading.setdefault(heading, []).append(cells)
    return {heading: rows[1:] for heading, rows in rows_by_heading.items()}


def existing_ids():
    """Return the ids of all tests in the tree, without importing them."""
    ids = set()
    for path in (ROOT / "tests").glob("test_*.py"):
        for node in ast.parse(path.read_text()).body:
            if not isinstance(node, ast.ClassDef):
                continue
            own = [each.name for each in node.body if isinstance(each, ast.FunctionDef)]
            names = own + (["runTest"] if is_stateful(node) else [])
            ids |= {f"tests.{path.stem}.{node.name}.{name}" for name in names}
    return ids


def is_stateful(node):
    """Return whether a class is the test case of a hypothesis state machine."""
    return any(
        isinstance(base, ast.Attribute)
        and base.attr == "TestCase"
        and ast.unparse(base) != "unittest.TestCase"
        for base in node.bases
    )


def find_faults(text, ids):
    """Return the errors of a page that may refer to the tests `ids`."""
    faults = []
    tables = read_tables(text)
    if len(tables) != N_PROMISES:
        faults.append(f"{len(tables)} promises")
    for heading, rows in tables.items():
        named = [row[0] for row in rows]
        if sorted(named) != sorted(FAILURES):
            faults.append(f"{heading}: failures {named}")
        for row in rows:
            faults += [f"{heading}, {row[0]}: {fault}" for fault in check(row, ids)]
    return faults + check_lists(text, ids)


def check_lists(text, ids):
    """Return errors for tests in the page's lists that do not exist."""
    items = [line for line in text.splitlines() if line.startswith("- ")]
    named = [each for item in items for each in TEST_ID.findall(item)]
    return [f"no test {each}" for each in named if each not in ids]


def check(row, ids):
    if len(row) != 2:
        return [f"{len(row)} cells"]
    named = TEST_ID.findall(row[1])
    if not named and not NOT_PROVED.fullmatch(row[1]):
        return ["neither a test nor why it is not proved"]
    return [f"no test {test_id}" for test_id in named if test_id not in ids]


class ProofsTest(unittest.TestCase):
    def test_each_cell_names_tests_that_exist_or_says_why_not(self):
        self.assertEqual([], find_faults(PAGE.read_text(), existing_ids()))

    @tools.params(
        ("a test that is not there", "`tests.test_a.A.test_b`", "`tests.test_a.A.x`"),
        ("an empty cell", "`tests.test_a.A.test_b`", ""),
        ("no reason", "`tests.test_a.A.test_b`", "not proved:"),
        ("a failure left out", f"| {FAILURES[0]} |", f"| {FAILURES[1]} |"),
        ("a promise left out", "## 9\n", "\n"),
        ("a list", "- `tests.test_a.A.test_b`", "- `tests.test_a.A.x`"),
    )
    def test_fault_of_the_page_is_found(self, what, good, bad):
        cell = "`tests.test_a.A.test_b`"
        rows = "\n".join(f"| {failure} | {cell} |" for failure in FAILURES)
        table = f"| failure | tests |\n| --- | --- |\n{rows}\n"
        page = "\n".join(f"## {number}\n\n{table}" for number in range(1, 10))
        page += "\n- `tests.test_a.A.test_b`\n"
        ids = {"tests.test_a.A.test_b"}
        self.assertEqual([], find_faults(page, ids))
        self.assertTrue(find_faults(page.replace(good, bad, 1), ids), what)
