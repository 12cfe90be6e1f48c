"""Checksummed frames of the log file, one for each sync.

A frame consists of a magic number, the file's salt, the frame's number, the payload's
length, a CRC-32 of the salt, the number, the length and the payload, and the payload.
The records of one group commit form one frame, and the next frame is written only after
it is synced. A bad frame at the end is therefore a write that was interrupted by a
power loss and never acknowledged; a bad frame followed by a good one is damage.
"""

import struct
import zlib
from typing import Final

import attrs

MAGIC: Final = b"\xb1\x1b\xe5\xd7"
_HEAD: Final = struct.Struct("<4s4sQII")


@attrs.frozen
class Scan:
    """The result of reading a file."""

    payloads: list[bytes]
    # Number of bytes of the good frames at the start of the file.
    n_good_bytes: int
    # Whether a good frame follows a bad one.
    is_damaged: bool


def encode(salt: bytes, number: int, payload: bytes) -> bytes:
    """Return the frame of `payload`; `salt` has four bytes."""
    return head(salt, number, payload) + payload


def head(salt: bytes, number: int, payload: bytes) -> bytes:
    """Return what precedes `payload` in its frame."""
    checksum = _checksum(salt, number, payload)
    return _HEAD.pack(MAGIC, salt, number, len(payload), checksum)


def _checksum(salt: bytes, number: int, payload: bytes) -> int:
    start = zlib.crc32(struct.pack("<4sQI", salt, number, len(payload)))
    return zlib.crc32(payload, start)


def scan(data: bytes, salt: bytes) -> Scan:
    """Return the good frames at the start of `data`, and whether more follow."""
    payloads: list[bytes] = []
    position = 0
    while (payload := _payload_at(data, position, salt, len(payloads))) is not None:
        payloads.append(payload)
        position += _HEAD.size + len(payload)
    return Scan(payloads, position, _has_frame(data, position, salt, len(payloads)))


def _payload_at(data: bytes, position: int, salt: bytes, number: int) -> bytes | None:
    if position + _HEAD.size > len(data):
        return None
    fields = _HEAD.unpack_from(data, position)
    magic, found_salt, found_number, length, checksum = fields
    if (magic, found_salt, found_number) != (MAGIC, salt, number):
        return None
    start = position + _HEAD.size
    payload = data[start : start + length]
    if len(payload) < length or _checksum(salt, number, payload) != checksum:
        return None
    return payload


def _has_frame(data: bytes, position: int, salt: bytes, number: int) -> bool:
    """Return whether a good frame with a higher number follows `position`.

    Clients do not know the salt, so a command that contains a copy of a log is not
    mistaken for a frame.
    """
    mark = MAGIC + salt
    position = data.find(mark, position + 1)
    while position >= 0:
        if position + _HEAD.size <= len(data):
            found_number = _HEAD.unpack_from(data, position)[2]
            payload = _payload_at(data, position, salt, found_number)
            if found_number > number and payload is not None:
                return True
        position = data.find(mark, position + 1)
    return False
