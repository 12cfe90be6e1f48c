"""Read a YAML document into attrs classes, with the place of every value.

A place is a line and a column. The document is parsed into a tree of YAML nodes, which
have places, and the tree is traversed along the fields of an attrs class. An error is
recorded with its place, and the traversal continues with the field's default, so that
all errors are found at once. The caller adds the errors of its own checks by
`Reading.report` and then calls `Reading.finish`.

Supported field types: str, bool, int, float, tuple[X, ...], dict[str, X] and attrs
classes.
"""

import math
import re
import types
import typing
from collections.abc import Iterator
from typing import Any, Final, Generic, TypeVar

import attrs
import result
import yaml

from bilberrydrum import findings

T = TypeVar("T")

# The keys and list indexes that lead from the root of the document to a value.
Path = tuple[str | int, ...]

_TAG: Final = "tag:yaml.org,2002:"
_KINDS_BY_TAG: Final = types.MappingProxyType(
    {
        f"{_TAG}str": "a string",
        f"{_TAG}int": "an integer",
        f"{_TAG}float": "a number",
        f"{_TAG}bool": "true or false",
        f"{_TAG}null": "nothing",
        f"{_TAG}timestamp": "a date",
        f"{_TAG}map": "a mapping",
        f"{_TAG}seq": "a list",
    }
)
_INTEGER: Final = re.compile(r"[-+]?(0|[1-9][0-9]*)\Z")
_NUMBER: Final = re.compile(r"[-+]?([0-9]+\.?[0-9]*|\.[0-9]+)([eE][-+]?[0-9]+)?\Z")
# Most characters of a number. For thousands of digits, `int` raises an error.
_MAX_DIGITS: Final = 40
# Placeholder for a required value that is missing or invalid, by its type.
_EMPTY_BY_TYPE: Final[dict[Any, Any]] = {str: "", bool: False, int: 0, float: 0.0}


@attrs.define
class Reading(Generic[T]):
    """The value of a document, and the errors found in it so far.

    `value` is complete even if there are findings: invalid fields have their default.
    It is meant for further checks, and must not be used otherwise before `finish`.
    """

    file: str
    value: T
    found: list[findings.Finding] = attrs.field(factory=list)
    # Line and column of each value, by path.
    places_by_path: dict[Path, tuple[int, int]] = attrs.field(factory=dict)
    # Paths of the values that are missing or have the wrong type.
    faulty_paths: set[Path] = attrs.field(factory=set)

    def report(self, message: str, path: Path, *involved: Path) -> None:
        """Record an error of the value at `path`.

        It is not recorded if that value, or one of those at the `involved` paths, is
        already known to be faulty. Such a value was replaced by a default, so an error
        about it would not be about the document.
        """
        if any(self._is_faulty(each) for each in (path, *involved)):
            return
        line, column = self.place(path)
        self.found.append(findings.Finding(self.file, line, column, message))

    def place(self, path: Path) -> tuple[int, int]:
        """Return line and column of the value, or of its parent if it is missing."""
        while path and path not in self.places_by_path:
            path = path[:-1]
        return self.places_by_path.get(path, (1, 1))

    def finish(self) -> result.Result[T, list[findings.Finding]]:
        """Return the value, or all findings, sorted by place."""
        if self.found:
            return result.Err(findings.in_order(self.found))
        return result.Ok(self.value)

    def _is_faulty(self, path: Path) -> bool:
        return any(path[:n] in self.faulty_paths for n in range(len(path) + 1))


def read(
    text: str, file: str, cls: type[T]
) -> result.Result[Reading[T], list[findings.Finding]]:
    """Read `text` into an instance of the attrs class `cls`.

    Parameters
    ----------
    text : str
        The YAML document.
    file : str
        Name of the file, for the findings.
    cls : type
        The attrs class.

    Returns
    -------
    result.Result
        The reading, which may contain findings; or the finding in a text that is not
        a YAML mapping.
    """
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        return result.Err([_of_marked_error(file, error)])
    except yaml.reader.ReaderError as error:
        message = f"character {_show_character(error.character)} is not allowed in YAML"
        return result.Err([_at_offset(file, text, error.position, message)])
    except RecursionError:
        message = "values are nested too deeply"
        return result.Err([findings.Finding(file, 1, 1, message)])
    if root is None:
        message = "the document is empty"
        return result.Err([findings.Finding(file, 1, 1, message)])
    if not isinstance(root, yaml.MappingNode):
        message = f"expected a mapping, found {_kind_of(root)}"
        return result.Err([findings.Finding(file, *_place_of(root), message)])
    walk = _Walk(file)
    value = walk.read_class(root, cls, ())
    return result.Ok(
        Reading(file, value, walk.found, walk.places_by_path, walk.faulty_paths)
    )


def read_file(
    path: str, cls: type[T]
) -> result.Result[Reading[T], list[findings.Finding]]:
    """Read the file at `path` like `read`; an unreadable file is a finding."""
    return read_text(path).and_then(lambda text: read(text, path, cls))


def read_text(path: str) -> result.Result[str, list[findings.Finding]]:
    """Return the text of a UTF-8 file, or the reason why it cannot be read."""
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        message = f"cannot be read: {error.strerror}"
        return result.Err([findings.Finding(path, 0, 0, message)])
    try:
        return result.Ok(data.decode())
    except UnicodeDecodeError as error:
        text = data[: error.start].decode()
        message = f"byte 0x{data[error.start]:02x} is not UTF-8"
        return result.Err([_at_offset(path, text, len(text), message)])


class _Walk:
    """One traversal of a node tree along the fields of a class."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.found: list[findings.Finding] = []
        self.places_by_path: dict[Path, tuple[int, int]] = {}
        self.faulty_paths: set[Path] = set()

    def read_class(self, node: yaml.Node, cls: type[T], path: Path) -> T:
        """Return an instance of `cls` with the values of a mapping node."""
        if not isinstance(node, yaml.MappingNode):
            self._expected("a mapping", node, path)
            return typing.cast(T, _empty(cls))
        self._record_place(node, path)
        fields_by_name = attrs.fields_dict(typing.cast(Any, cls))
        hints = typing.get_type_hints(cls)
        values: dict[str, Any] = {}
        for name, key_node, value_node in self._items(node, path):
            if name not in fields_by_name:
                self._report(
                    key_node,
                    f"unknown key {name!r}{_hint(name, fields_by_name)}",
                )
                continue
            values[name] = self._read(value_node, hints[name], (*path, name))
        for name, field in fields_by_name.items():
            if name not in values and field.default is attrs.NOTHING:
                self._report(node, f"key {name!r} is missing")
                self.faulty_paths.add((*path, name))
                values[name] = _empty(hints[name])
        return cls(**values)

    def _read(self, node: yaml.Node, hint: Any, path: Path) -> Any:
        self._record_place(node, path)
        origin = typing.get_origin(hint)
        if origin is tuple:
            return self._read_list(node, typing.get_args(hint)[0], path)
        if origin is dict:
            return self._read_dict(node, typing.get_args(hint)[1], path)
        if attrs.has(hint):
            return self.read_class(node, hint, path)
        return self._read_scalar(node, hint, path)

    def _read_list(self, node: yaml.Node, hint: Any, path: Path) -> tuple[Any, ...]:
        if not isinstance(node, yaml.SequenceNode):
            self._expected("a list", node, path)
            return ()
        return tuple(
            self._read(item, hint, (*path, index))
            for index, item in enumerate(node.value)
        )

    def _read_dict(self, node: yaml.Node, hint: Any, path: Path) -> dict[str, Any]:
        if not isinstance(node, yaml.MappingNode):
            self._expected("a mapping", node, path)
            return {}
        return {
            name: self._read(value_node, hint, (*path, name))
            for name, _, value_node in self._items(node, path)
        }

    def _read_scalar(self, node: yaml.Node, hint: Any, path: Path) -> Any:
        expected, value = _scalar(node, hint)
        if value is None:
            self._expected(expected, node, path)
            return _EMPTY_BY_TYPE[hint]
        return value

    def _items(
        self, node: yaml.MappingNode, path: Path
    ) -> Iterator[tuple[str, yaml.Node, yaml.Node]]:
        """Yield key, key node and value node; report invalid and duplicate keys."""
        lines_by_name: dict[str, int] = {}
        for key_node, value_node in node.value:
            if not isinstance(key_node, yaml.ScalarNode):
                self._report(key_node, f"a key cannot be {_kind_of(key_node)}")
                continue
            name = key_node.value
            line, _ = _place_of(key_node)
            if name in lines_by_name:
                first = lines_by_name[name]
                self._report(key_node, f"key {name!r} is on line {first} already")
                continue
            lines_by_name[name] = line
            yield name, key_node, value_node

    def _record_place(self, node: yaml.Node, path: Path) -> None:
        self.places_by_path[path] = _place_of(node)

    def _expected(self, expected: str, node: yaml.Node, path: Path) -> None:
        self._report(node, f"expected {expected}, found {_kind_of(node)}")
        self.faulty_paths.add(path)

    def _report(self, node: yaml.Node, message: str) -> None:
        self.found.append(findings.Finding(self.file, *_place_of(node), message))


def _scalar(node: yaml.Node, hint: Any) -> tuple[str, Any]:
    """Return a description of the expected type, and the value or None."""
    # A quoted scalar is a string, even if it looks like a number.
    plain = ""
    if isinstance(node, yaml.ScalarNode) and node.style is None:
        plain = node.value[: _MAX_DIGITS + 1]
    if hint is str:
        return "a string", node.value if node.tag == f"{_TAG}str" else None
    if hint is bool:
        # YAML 1.1 also accepts words such as yes and on, which are easily misread.
        return "true or false", {"true": True, "false": False}.get(plain.lower())
    # YAML 1.1 reads 010 as 8 and 1:30 as 90, which is hardly ever intended. Only plain
    # decimals are accepted.
    is_short = len(plain) <= _MAX_DIGITS
    if hint is int:
        is_number = is_short and _INTEGER.match(plain)
        return "a decimal integer", int(plain) if is_number else None
    if is_short and _NUMBER.match(plain) and math.isfinite(float(plain)):
        return "a decimal number", float(plain)
    return "a decimal number", None


def _empty(hint: Any) -> Any:
    if attrs.has(hint):
        hints = typing.get_type_hints(hint)
        return hint(
            **{
                field.name: _empty(hints[field.name])
                for field in attrs.fields(hint)
                if field.default is attrs.NOTHING
            }
        )
    origin = typing.get_origin(hint)
    return origin() if origin else _EMPTY_BY_TYPE[hint]


def _hint(name: str, fields_by_name: dict[str, Any]) -> str:
    """Return a hint at a known key with a similar spelling, or an empty string."""
    close = [known for known in fields_by_name if _is_similar(name, known)]
    return f"; did you mean {close[0]!r}?" if close else ""


def _is_similar(name: str, known: str) -> bool:
    strip = str.maketrans("", "", "-_ ")
    return name.lower().translate(strip) == known.translate(strip)


def _kind_of(node: yaml.Node) -> str:
    kind = _KINDS_BY_TAG.get(node.tag, f"a value with the tag {node.tag}")
    if isinstance(node, yaml.ScalarNode) and node.value:
        return f"{kind} ({node.value[:40]})"
    return kind


def _place_of(node: yaml.Node) -> tuple[int, int]:
    return node.start_mark.line + 1, node.start_mark.column + 1


def _of_marked_error(file: str, error: yaml.MarkedYAMLError) -> findings.Finding:
    mark = error.problem_mark or error.context_mark
    message = "; ".join(part for part in (error.context, error.problem) if part)
    if mark is None:
        return findings.Finding(file, 1, 1, message)
    return findings.Finding(file, mark.line + 1, mark.column + 1, message)


def _at_offset(file: str, text: str, offset: int, message: str) -> findings.Finding:
    before = text[:offset]
    line = before.count("\n") + 1
    column = offset - (before.rfind("\n") + 1) + 1
    return findings.Finding(file, line, column, message)


def _show_character(character: Any) -> str:
    code = character if isinstance(character, int) else ord(character)
    return f"U+{code:04X}"
