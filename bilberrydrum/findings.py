"""Findings: the errors in a file or document, each with line and column.

A check continues after the first error and reports all of them, so that the author of
the file can correct them at once.
"""

from collections.abc import Iterable

import attrs


@attrs.frozen(order=True)
class Finding:
    """One error. Findings sort by file, then by line and column."""

    file: str
    # Both count from 1. They are 0 for an error that belongs to no line, such as a file
    # that cannot be read.
    line: int
    column: int
    message: str

    def __str__(self) -> str:
        place = self.file
        if self.line:
            place = f"{self.file}:{self.line}:{self.column}"
        return f"{place}: error: {self.message}"


def in_order(found: Iterable[Finding]) -> list[Finding]:
    """Return the findings sorted and without duplicates."""
    return sorted(set(found))


def report(found: Iterable[Finding]) -> str:
    """Return the findings as text, one per line."""
    return "\n".join(str(finding) for finding in found)
