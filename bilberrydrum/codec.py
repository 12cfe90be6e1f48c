"""Encode typed values for the log, the snapshots and the peer protocol.

Each attrs class whose instances leave the process is registered under a stable name. A
value is encoded as a msgpack pair ``[name, fields]``, and cattrs converts between the
fields and the class. A reader ignores fields that it does not know, and missing fields
have their default, so that two consecutive releases understand each other.
"""

from collections.abc import Callable, Sequence
from typing import Any, Final, TypeVar

import cattrs.gen
import cattrs.preconf.msgpack
import msgpack

from bilberrydrum import packing

T = TypeVar("T")

_converter: Final = cattrs.preconf.msgpack.make_converter()
_classes_by_name: Final[dict[str, type[Any]]] = {}
_names_by_class: Final[dict[type[Any], str]] = {}


class DecodeError(Exception):
    """The bytes are not a value of a registered class."""


class UnknownTypeError(DecodeError):
    """The class named in the bytes is not registered in this release."""


def register(
    name: str, added_fields: Sequence[str] = ()
) -> Callable[[type[T]], type[T]]:
    """Register the decorated attrs class under `name`.

    The name must never change: stored data and other releases refer to it.

    Parameters
    ----------
    name : str
        Name of the class in encoded values.
    added_fields : sequence of str
        Fields that the first release of the class did not have. They are left out where
        they have their default, so a value that doesn't use them is encoded as before.
    """

    def add(cls: type[T]) -> type[T]:
        if name in _classes_by_name:
            raise ValueError(f"codec name {name!r} is registered twice")
        _classes_by_name[name] = cls
        _names_by_class[cls] = name
        if added_fields:
            left_out = cattrs.gen.override(omit_if_default=True)
            overrides: dict[str, Any] = dict.fromkeys(added_fields, left_out)
            to_fields = cattrs.gen.make_dict_unstructure_fn(
                cls, _converter, **overrides
            )
            _converter.register_unstructure_hook(cls, to_fields)
        return cls

    return add


def encode(value: object) -> bytes:
    """Return the bytes of `value`, an instance of a registered class."""
    return packing.join(encode_parts(value))


def encode_parts(value: object) -> list[bytes]:
    """Return the bytes of `value` in parts, as `packing.parts` does."""
    name = _names_by_class[type(value)]
    return packing.parts([name, _converter.unstructure(value)])


def decode(data: bytes) -> Any:
    """Return the value that `data` encodes.

    Raises
    ------
    UnknownTypeError
        If the value's class is not registered in this release.
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
