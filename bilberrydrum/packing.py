"""Encode msgpack values that contain large byte strings without a second copy.

The packer of the library collects its output in a buffer and copies the buffer in the
end. For a value that is nearly as large as the free memory, that copy is too much.
"""

import struct
from collections.abc import Iterator
from typing import Any, Final

import msgpack

# Size from which a byte string is worth the slower way, in bytes.
LARGE_BYTES: Final = 1024 * 1024
# Depth of the lists and maps in which large byte strings are looked for.
_MAX_DEPTH: Final = 3


def pack(value: Any) -> bytes:
    """Return `value` in msgpack, the same bytes as `msgpack.packb` returns."""
    return join(parts(value))


def parts(value: Any) -> list[bytes]:
    """Return `value` in msgpack in parts, of which each large byte string is one."""
    if not _has_large(value, _MAX_DEPTH):
        return [bytes(msgpack.packb(value))]
    return list(_parts(value, _MAX_DEPTH))


def join(given: list[bytes]) -> bytes:
    """Return the parts of a value as one byte string."""
    return given[0] if len(given) == 1 else b"".join(given)


def bin_header(n_bytes: int) -> bytes:
    """Return what precedes a large byte string."""
    return b"\xc6" + struct.pack(">I", n_bytes)


def _has_large(value: Any, depth: int) -> bool:
    kind = type(value)
    if kind is bytes:
        return len(value) >= LARGE_BYTES
    if not depth or kind not in (list, tuple, dict):
        return False
    members = value.values() if kind is dict else value
    return any(_has_large(each, depth - 1) for each in members)


def _parts(value: Any, depth: int) -> Iterator[bytes]:
    """Yield the encoded value in parts; a large byte string is a part of its own."""
    packer = msgpack.Packer()
    if not _has_large(value, depth):
        yield packer.pack(value)
    elif type(value) is bytes:
        yield bin_header(len(value))
        yield value
    elif type(value) is dict:
        yield packer.pack_map_header(len(value))
        for key, each in value.items():
            yield packer.pack(key)
            yield from _parts(each, depth - 1)
    else:
        yield packer.pack_array_header(len(value))
        for each in value:
            yield from _parts(each, depth - 1)
