"""Findings: what is wrong in a file or document, each with its place.

A check goes on after the first fault, so that whoever wrote the file mends all of
them in one go.
"""

from collections.abc import Iterable

import attrs


@attrs.frozen(order=True)
class Finding:
    """One fault. Findings sort by file, then by place."""

    file: str
    # Both count from 1; 0 means that the fault has no place in the file.
    line: int
    column: int
    message: str

    def __str__(self) -> str:
        place = self.file
        if self.line:
            place = f"{self.file}:{self.line}:{self.column}"
        return f"{place}: error: {self.message}"


def in_order(found: Iterable[Finding]) -> list[Finding]:
    """Return the findings sorted by place, each said once."""
    return sorted(set(found))


def report(found: Iterable[Finding]) -> str:
    """Return the findings as text, one a line."""
    return "\n".join(str(finding) for finding in found)
