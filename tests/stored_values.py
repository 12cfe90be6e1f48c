"""Values of every class that the codec writes, encoded by a released build.

``python -m tests.stored_values FILE`` writes the file that tests/test_stored_data.py
reads. Run it on the release whose logs, snapshots and messages the next one must read,
and never on the build under test, where a renamed field or enum value would not be
noticed. Each class has one value with all fields set, and further ones so that each
member of its enums occurs once.
"""

import enum
import importlib
import itertools
import json
import pathlib
import pkgutil
import sys
import types
import typing
from collections.abc import Iterator, Mapping
from typing import Any, Final

import attrs

import bilberrydrum
from bilberrydrum import codec

_SCALARS: Final[dict[type[Any], Any]] = {
    str: "text",
    int: 7,
    float: 1.5,
    bool: True,
    bytes: b"\x00bytes",
}


def import_all() -> None:
    """Import all modules of the package, so that all classes are registered."""
    for found in pkgutil.walk_packages(bilberrydrum.__path__, "bilberrydrum."):
        if not found.name.endswith("__main__"):
            importlib.import_module(found.name)


def samples(kind: Any) -> list[Any]:
    """Return values of a field's type that together include each enum member.

    Raises
    ------
    TypeError
        If there is no rule for the type yet.
    """
    origin, parts = typing.get_origin(kind), typing.get_args(kind)
    if kind is Any:
        return ["any"]
    if origin in (typing.Union, types.UnionType):
        return [value for part in parts for value in samples(part)]
    if kind is types.NoneType:
        return [None]
    if origin is tuple:
        inner = parts[:1] if parts[-1] is Ellipsis else parts
        return [tuple(row) for row in _rows([samples(part) for part in inner])]
    if origin in (list, set, frozenset):
        return [origin([value]) for value in samples(parts[0])]
    if origin is not None and issubclass(origin, Mapping):
        rows = _rows([samples(part) for part in parts])
        return [{key: value} for key, value in rows]
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return list(kind)
    if isinstance(kind, type) and attrs.has(kind):
        return instances(kind)
    if kind in _SCALARS:
        return [_SCALARS[kind]]
    raise TypeError(f"no sample for a field of type {kind!r}")


def _rows(columns: list[list[Any]]) -> Iterator[tuple[Any, ...]]:
    """Yield rows with all values of each column; shorter columns are repeated."""
    n_rows = max((len(column) for column in columns), default=0)
    cycles = [itertools.islice(itertools.cycle(each), n_rows) for each in columns]
    return zip(*cycles, strict=True)


def instances(cls: type[Any]) -> list[Any]:
    """Return instances of an attrs class with all fields set."""
    attrs.resolve_types(cls)
    fields = [each for each in attrs.fields(cls) if each.init]
    if not fields:
        return [cls()]
    columns = [samples(each.type) for each in fields]
    names = [each.alias for each in fields]
    return [cls(**dict(zip(names, row, strict=True))) for row in _rows(columns)]


def classes_by_name() -> dict[str, type[Any]]:
    """Return the registered classes of the package, by codec name."""
    import_all()
    return {
        name: cls
        for name, cls in sorted(codec._classes_by_name.items())
        if cls.__module__.startswith("bilberrydrum.")
    }


def write(path: pathlib.Path) -> None:
    """Write the encoded values, by codec name of their class."""
    encoded = {
        name: [codec.encode(value).hex() for value in instances(cls)]
        for name, cls in classes_by_name().items()
    }
    path.write_text(json.dumps(encoded, indent=1) + "\n")


if __name__ == "__main__":
    write(pathlib.Path(sys.argv[1]))
