"""Snapshots: the applied state as bytes, with a digest.

A snapshot consists of a 32-byte SHA-256 digest and a msgpack list of the format number,
the last applied entry's index, term and time, the membership, and the sections of the
state by name, each as codec bytes. Reading the header does not decode the sections.
"""

import hashlib
from typing import Any, Final

import attrs
import msgpack

from bilberrydrum import codec
from bilberrydrum.state import machine, membership

FORMAT: Final = 1
_N_DIGEST_BYTES: Final = 32


class SnapshotError(Exception):
    """The bytes are not a complete snapshot of a known format."""


@attrs.frozen
class Header:
    """The last log entry that a snapshot covers, and the membership there."""

    index: int
    term: int
    # Time of the last applied entry.
    time: float
    membership: membership.Membership


def encode(header: Header, state: machine.State) -> bytes:
    """Return the bytes of `state` as of `header`."""
    sections = {name: codec.encode(each) for name, each in list(state.sections.items())}
    body = msgpack.packb(
        [
            FORMAT,
            header.index,
            header.term,
            header.time,
            codec.encode(header.membership),
            sections,
        ]
    )
    return hashlib.sha256(body).digest() + bytes(body)


def _unpack(data: bytes) -> list[Any]:
    body = memoryview(data)[_N_DIGEST_BYTES:]
    if hashlib.sha256(body).digest() != data[:_N_DIGEST_BYTES]:
        raise SnapshotError("the snapshot's digest does not match its content")
    fields: list[Any] = msgpack.unpackb(body)
    if fields[0] != FORMAT:
        # The text becomes part of the replicated answer to a restore. If two releases
        # had different texts, the states of their replicas would differ.
        raise SnapshotError(f"snapshot format {fields[0]} is not known")
    return fields


def read(data: bytes) -> Header:
    """Return the header of the snapshot `data`; raise `SnapshotError`."""
    _, index, term, time, members, _ = _unpack(data)
    return Header(index, term, time, codec.decode(members))


def read_header(data: bytes) -> Header | None:
    """Return the header of the snapshot `data`, or None if it is damaged."""
    try:
        return read(data)
    except SnapshotError:
        return None


def decode(data: bytes) -> machine.State:
    """Return the state in the snapshot `data`; raise `SnapshotError`."""
    sections = _unpack(data)[5]
    return machine.State({name: codec.decode(each) for name, each in sections.items()})


def section_names(data: bytes) -> list[str]:
    """Return the names of the state's sections in `data`."""
    return sorted(_unpack(data)[5])


def digest(data: bytes) -> str:
    """Return the snapshot's digest in hex."""
    return data[:_N_DIGEST_BYTES].hex()
