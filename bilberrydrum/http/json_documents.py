"""Decode JSON documents of clients in a bounded multiple of their size.

A decoded document may take thirty times its size, and a single character beyond Latin-1
makes the text of a whole document four times as large.
"""

import codecs
import json
from typing import Any, Final

# Upper bounds of what an object takes, in bytes: an empty list or map, an entry of a
# map, any other value. Each is a few words of CPython and its place in its container.
_LIST_BYTES: Final = 80
_MAP_BYTES: Final = 240
_ENTRY_BYTES: Final = 100
_VALUE_BYTES: Final = 72
# Most strings with escapes that are measured one by one.
_MAX_MEASURED: Final = 256
# What a string with escapes takes for each character while it is decoded: its pieces,
# and four bytes each in their join and in its copy.
_ESCAPED_BYTES: Final = 7
_PART_BYTES: Final = 64 * 1024


def _escape(error: UnicodeError) -> tuple[str, int]:
    assert isinstance(error, UnicodeEncodeError)
    text = error.object[error.start : error.end]
    return json.dumps(text)[1:-1], error.end


codecs.register_error("bilberrydrum.json", _escape)


def ascii_text(body: bytes) -> str:
    """Return the document with all other characters as escapes.

    Raises
    ------
    UnicodeDecodeError
        If `body` is not UTF-8.
    """
    if body.isascii():
        return body.decode("ascii")
    decoder = codecs.getincrementaldecoder("utf-8-sig")()
    parts = []
    for start in range(0, len(body), _PART_BYTES):
        part = body[start : start + _PART_BYTES]
        is_last = start + _PART_BYTES >= len(body)
        text = decoder.decode(part, is_last)
        parts.append(text.encode("ascii", "bilberrydrum.json").decode("ascii"))
    return "".join(parts)


def peak_bytes(text: str) -> int:
    """Return the most that `text`, which is ASCII, and its value take together."""
    return (
        2 * len(text)
        + (_ESCAPED_BYTES - 1) * _n_escaped(text)
        + _LIST_BYTES * text.count("[")
        + _MAP_BYTES * text.count("{")
        + _ENTRY_BYTES * text.count(":")
        + _VALUE_BYTES * text.count(",")
    )


def _n_escaped(text: str) -> int:
    """Return the length of all strings with escapes."""
    total, position = 0, text.find("\\")
    for _ in range(_MAX_MEASURED):
        if position < 0:
            return total
        end = _end_of_string(text, position)
        total += end - _start_of_string(text, position)
        position = text.find("\\", end)
    return len(text)


def _start_of_string(text: str, position: int) -> int:
    start = text.rfind('"', 0, position)
    while start > 0 and _is_escaped(text, start):
        start = text.rfind('"', 0, start)
    return max(start, 0)


def _end_of_string(text: str, position: int) -> int:
    end = text.find('"', position)
    while end >= 0 and _is_escaped(text, end):
        end = text.find('"', end + 1)
    return len(text) if end < 0 else end


def _is_escaped(text: str, position: int) -> bool:
    n_before = 0
    while n_before < position and text[position - 1 - n_before] == "\\":
        n_before += 1
    return n_before % 2 == 1


def decode(text: str) -> Any:
    """Return the value of a document.

    Raises
    ------
    ValueError, RecursionError
        If it is not JSON.
    """
    return json.loads(text)
