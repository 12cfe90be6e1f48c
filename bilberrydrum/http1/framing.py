"""Where the body of a message ends (RFC 9112, 6)."""

import enum
import re
from typing import Final

import attrs

from bilberrydrum.http1 import errors, syntax

_CHUNKED: Final = "chunked"
# 18 digits are more bytes than any message has.
_LENGTH: Final = re.compile(r"[0-9]{1,18}")
# Spellings that some programs take for the fields that frame a message.
_CONFUSABLE_NAMES: Final = frozenset({"content_length", "transfer_encoding"})
_BODILESS_STATUSES: Final = frozenset({204, 304})


class Framing(enum.StrEnum):
    """What marks the end of a body."""

    # There is no body.
    NONE = "none"
    LENGTH = "length"
    CHUNKS = "chunks"
    # The body ends where its connection is closed in order.
    CLOSE = "close"


@attrs.frozen
class Extent:
    """The framing of a body, and its length in bytes if that is its framing."""

    framing: Framing
    n_bytes: int = 0


def of_request(head: syntax.RequestHead) -> Extent:
    """Return the extent of a request's body.

    Raises
    ------
    errors.MessageError
        If the extent is ambiguous, invalid, or in an unsupported coding.
    """
    confusable = [n for n, _ in head.fields if n.lower() in _CONFUSABLE_NAMES]
    if confusable:
        raise errors.MalformedError(f"expected no field {confusable[0]!r}")
    found = _marked_extent(head.fields, head.minor_version)
    return Extent(Framing.NONE) if found is None else found


def of_response(head: syntax.ResponseHead, method: str) -> Extent:
    """Return the extent of the body of a response to a request with `method`.

    Raises
    ------
    errors.MessageError
        If the extent is ambiguous, invalid, or in an unsupported coding.
    """
    found = _marked_extent(head.fields, head.minor_version)
    if method == "HEAD" or head.status in _BODILESS_STATUSES or head.status < 200:
        return Extent(Framing.NONE)
    return Extent(Framing.CLOSE) if found is None else found


def _marked_extent(fields: syntax.Fields, minor_version: int) -> Extent | None:
    lengths = syntax.values_of(fields, "content-length")
    codings = syntax.list_of(fields, "transfer-encoding")
    has_coding = bool(syntax.values_of(fields, "transfer-encoding"))
    if has_coding and lengths:
        # One reader goes by the length and another by the chunks, so that the rest of
        # the body is a message of its own to one of them.
        raise errors.MalformedError(
            "expected either Content-Length or Transfer-Encoding, got both"
        )
    if has_coding:
        return _chunked_extent(codings, minor_version)
    if not lengths:
        return None
    if len(lengths) > 1 or _LENGTH.fullmatch(lengths[0]) is None:
        raise errors.MalformedError(
            f"expected one Content-Length in digits, got {lengths!r:.80}"
        )
    return Extent(Framing.LENGTH, int(lengths[0]))


def _chunked_extent(codings: list[str], minor_version: int) -> Extent:
    if minor_version == 0:
        raise errors.MalformedError("expected no Transfer-Encoding in HTTP/1.0")
    if codings != [_CHUNKED]:
        raise errors.UnsupportedError(
            f"expected chunked as the only transfer coding, got {codings!r:.80}"
        )
    return Extent(Framing.CHUNKS)
