"""Parsing of idempotency keys, some of which contain their creation time.

A key contains its creation time if it is a version 7 UUID (RFC 9562), or if it begins
with the time in whole seconds since 1970, ten digits, and a hyphen, as in
``1764692651-permit-17``. A retry has the same key, and so the same creation time.
"""

import functools
import re
from typing import Final

MAX_LENGTH: Final = 255

_UUID_7: Final = re.compile(
    r"([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}",
    re.IGNORECASE,
)
_SECONDS: Final = re.compile(r"(\d{10})-.+", re.DOTALL)


def is_valid(key: str) -> bool:
    """Return whether `key` is acceptable: not empty, printable and not too long."""
    return 0 < len(key) <= MAX_LENGTH and key.isprintable()


def normalise(text: str) -> str:
    """Return the key from a header's value, which may be quoted."""
    text = text.strip()
    if len(text) >= 2 and text[0] == text[-1] == '"':
        return text[1:-1]
    return text


@functools.lru_cache(maxsize=4096)
def time_of(key: str) -> float | None:
    """Return the creation time in `key`, in seconds since 1970, or None."""
    match = _UUID_7.fullmatch(key)
    if match is not None:
        return int(match[1] + match[2], 16) / 1000.0
    match = _SECONDS.fullmatch(key)
    return float(match[1]) if match is not None else None
