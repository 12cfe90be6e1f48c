"""Output formats of an answer: JSON, or tables for people."""

import json
from typing import Any, Final

FORM_JSON: Final = "json"
FORM_TABLE: Final = "table"
FORMS: Final = (FORM_JSON, FORM_TABLE)

_GAP: Final = "  "


def render(value: Any, form: str) -> str:
    """Return `value`, read from JSON, as text in `form`, without a final newline."""
    if form == FORM_JSON:
        return json.dumps(value, indent=2)
    return "\n".join(_lines(value))


def _lines(value: Any) -> list[str]:
    if _is_rows(value):
        return _table(value)
    if not isinstance(value, dict):
        return [_cell(value)]
    tables_by_name = {name: item for name, item in value.items() if _is_rows(item)}
    pairs = [[name, _cell(item)] for name, item in value.items() if not _is_rows(item)]
    lines = _align(pairs)
    for name, rows in tables_by_name.items():
        if lines:
            lines.append("")
        lines.append(f"{name}:")
        lines.extend(_table(rows))
    return lines


def _is_rows(value: Any) -> bool:
    """Return whether `value` is a list of rows; an empty list has no rows."""
    return isinstance(value, list) and all(isinstance(item, dict) for item in value)


def _table(rows: list[dict[str, Any]]) -> list[str]:
    if not rows:
        return ["(none)"]
    # Rows may lack columns. Columns are in the order in which they first occur.
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[_cell(row.get(name, "")) for name in names] for row in rows]
    return _align([[name.upper() for name in names], *cells])


def _align(rows: list[list[str]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        _GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _cell(value: Any) -> str:
    if isinstance(value, str):
        # Escaped, so that a control character in a name does not control the terminal.
        return "".join(c if c.isprintable() else repr(c)[1:-1] for c in value)
    return json.dumps(value)
