"""Encode typed values for the log, the snapshots and the peer protocol.

Each attrs class that leaves the process is registered under a stable name. A value is
a msgpack pair ``[name, fields]``; cattrs turns fields into the class and back. Fields
unknown to the reader are ignored and missing ones take their default, so that two
neighbouring releases understand each other.
"""

from collections.abc import Callable
from typing import Any, Final, TypeVar

import cattrs.preconf.msgpack
import msgpack

T = TypeVar("T")

_converter: Final = cattrs.preconf.msgpack.make_converter()
_classes_by_name: Final[dict[str, type[Any]]] = {}
_names_by_class: Final[dict[type[Any], str]] = {}


class DecodeError(Exception):
    """The bytes are not a value of a registered class."""


class UnknownTypeError(DecodeError):
    """The bytes name a class that this release does not have."""


def register(name: str) -> Callable[[type[T]], type[T]]:
    """Register the decorated attrs class under `name`, which must never change."""

    def add(cls: type[T]) -> type[T]:
        if name in _classes_by_name:
            raise ValueError(f"codec name {name!r} is registered twice")
        _classes_by_name[name] = cls
        _names_by_class[cls] = name
        return cls

    return add


def encode(value: object) -> bytes:
    """Return the bytes of `value`, an instance of a registered class."""
    name = _names_by_class[type(value)]
    return bytes(msgpack.packb([name, _converter.unstructure(value)]))


def decode(data: bytes) -> Any:
    """Return the value in `data`.

    Raises
    ------
    UnknownTypeError
        If the value's class is not known to this release.
    DecodeError
        If `data` is damaged or a field has the wrong type.
    """
    try:
        name, fields = msgpack.unpackb(data, strict_map_key=False)
    except Exception as error:
        raise DecodeError(f"not a message: {error}") from error
    cls = _classes_by_name.get(name) if isinstance(name, str) else None
    if cls is None:
        raise UnknownTypeError(f"unknown type {name!r}")
    try:
        return _converter.structure(fields, cls)
    except Exception as error:
        raise DecodeError(f"{name}: {error}") from error


def to_plain(value: object) -> Any:
    """Return `value` as maps, lists and scalars, for JSON."""
    return _converter.unstructure(value)


def from_plain(fields: Any, cls: type[T]) -> T:
    """Return an instance of `cls` made from maps, lists and scalars."""
    return _converter.structure(fields, cls)
