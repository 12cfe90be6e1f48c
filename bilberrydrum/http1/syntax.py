"""The grammar of heads: request lines, status lines and fields (RFC 9112, 2 to 5).

Lines are bytes with their line end. Only CRLF ends a line, and a folded line is refused
like any other line that is not a field: two readers that disagree about such a line see
two different messages.
"""

import re
from collections.abc import Sequence
from typing import Final

import attrs

from bilberrydrum.http1 import errors

# Most characters of a damaged line that an error shows.
_N_SHOWN: Final = 60

_TOKEN: Final = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# Characters of field values and reason phrases: visible ones, blanks and obs-text.
_TEXT: Final = rb"[\t\x20-\x7e\x80-\xff]*"
_REQUEST_LINE: Final = re.compile(
    rb"(" + _TOKEN + rb") ([\x21-\x7e]+) HTTP/(\d)\.(\d)\r\n"
)
_STATUS_LINE: Final = re.compile(rb"HTTP/1\.([01]) ([1-9]\d\d) (" + _TEXT + rb")\r\n")
_FIELD: Final = re.compile(rb"(" + _TOKEN + rb"):(" + _TEXT + rb")\r\n")

Fields = tuple[tuple[str, str], ...]


def values_of(fields: Fields, name: str) -> list[str]:
    """Return the values of all fields with `name`, given in lower case."""
    return [value for key, value in fields if key.lower() == name]


def list_of(fields: Fields, name: str) -> list[str]:
    """Return the elements of a field that is a comma-separated list, in lower case."""
    joined = ",".join(values_of(fields, name))
    elements = (each.strip(" \t").lower() for each in joined.split(","))
    return [each for each in elements if each]


@attrs.frozen
class RequestHead:
    """The head of a request."""

    method: str
    target: str
    # The version is HTTP/1.x with this x, 0 or 1.
    minor_version: int
    fields: Fields


@attrs.frozen
class ResponseHead:
    """The head of a response."""

    status: int
    minor_version: int
    fields: Fields


def parse_request_head(lines: Sequence[bytes]) -> RequestHead:
    """Return the head of a request from its lines, without the empty one.

    Raises
    ------
    errors.MessageError
        If a line breaks the grammar, or the version is not supported.
    """
    matched = _REQUEST_LINE.fullmatch(lines[0]) if lines else None
    if matched is None:
        raise errors.MalformedError(f"expected a request line, got {_shown(lines[:1])}")
    method, target, major, minor = matched.groups()
    if major != b"1":
        version = f"{major.decode()}.{minor.decode()}"
        raise errors.UnsupportedError(f"expected HTTP/1.0 or HTTP/1.1, got {version}")
    fields = parse_fields(lines[1:])
    _check_host(fields, minor)
    # RFC 9112, 2.3: a higher minor version is read as the highest supported one.
    return RequestHead(method.decode(), target.decode(), min(int(minor), 1), fields)


def parse_response_head(lines: Sequence[bytes]) -> ResponseHead:
    """Return the head of a response from its lines, without the empty one.

    Raises
    ------
    errors.MalformedError
        If a line breaks the grammar.
    """
    matched = _STATUS_LINE.fullmatch(lines[0]) if lines else None
    if matched is None:
        raise errors.MalformedError(f"expected a status line, got {_shown(lines[:1])}")
    minor, status, _ = matched.groups()
    return ResponseHead(int(status), int(minor), parse_fields(lines[1:]))


def parse_fields(lines: Sequence[bytes]) -> Fields:
    """Return the names and values of field lines; names keep their case.

    Raises
    ------
    errors.MalformedError
        If a line is not a field.
    """
    return tuple(_parse_field(line) for line in lines)


def _parse_field(line: bytes) -> tuple[str, str]:
    matched = _FIELD.fullmatch(line)
    if matched is None:
        raise errors.MalformedError(f"expected a field, got {_shown([line])}")
    name, value = matched.groups()
    return name.decode(), value.strip(b" \t").decode("latin-1")


def _check_host(fields: Fields, minor: bytes) -> None:
    n_hosts = len(values_of(fields, "host"))
    # A request with two hosts could be routed by one and run for the other.
    if n_hosts > 1 or (n_hosts == 0 and minor != b"0"):
        raise errors.MalformedError(f"expected one Host field, got {n_hosts}")


def _shown(lines: Sequence[bytes]) -> str:
    return repr(lines[0][:_N_SHOWN]) if lines else "nothing"
