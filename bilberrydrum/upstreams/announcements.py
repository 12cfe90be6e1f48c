"""Validate the bodies that upstreams send, and convert them to typed values.

All findings of a body are collected and reported together. Fields that this release
does not know are ignored, so that newer upstreams can announce themselves.
"""

import ipaddress
import re
from typing import Any, Final

import attrs
import result

from bilberrydrum.upstreams import events, messages, model

_ID: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_PREFIX: Final = re.compile(r"[0-9a-f]{16}")
# Upper limits of the values. They bound the harm that a faulty upstream can do.
MAX_CONCURRENCY: Final = 1_000_000
MAX_COUNT: Final = 2**53
MAX_NAMES: Final = 256
MAX_NAME_LENGTH: Final = 128
MAX_CACHE_EVENTS: Final = 4096


@attrs.frozen
class Finding:
    """One field of a body that is not valid, and why."""

    field: str
    message: str


@attrs.frozen
class Announcement:
    """An announcement that passed all checks."""

    upstream: model.Upstream
    incarnation: int | None


@attrs.define
class _Reader:
    """Reads the fields of one JSON object and collects findings."""

    fields: dict[str, Any]
    path: str = ""
    findings: list[Finding] = attrs.field(factory=list)

    def add_finding(self, name: str, message: str) -> None:
        self.findings.append(Finding(self.path + name, message))

    def text(self, name: str, default: str | None = None) -> str:
        value = self.fields.get(name, default)
        if not isinstance(value, str) or not value and default is None:
            self.add_finding(name, "expected a non-empty string")
            return ""
        if len(value) > MAX_NAME_LENGTH:
            self.add_finding(name, f"expected at most {MAX_NAME_LENGTH} characters")
        return value

    def integer(self, name: str, default: int | None, low: int, high: int) -> int:
        value = self.fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int):
            self.add_finding(name, "expected an integer")
            return low
        if not low <= value <= high:
            self.add_finding(name, f"expected a value between {low} and {high}")
            return low
        return value

    def number(self, name: str, high: float) -> float:
        value = self.fields.get(name, 0.0)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            self.add_finding(name, "expected a number")
            return 0.0
        if not 0 <= value <= high:
            self.add_finding(name, f"expected a value between 0 and {high}")
            return 0.0
        return float(value)

    def flag(self, name: str) -> bool:
        value = self.fields.get(name, False)
        if not isinstance(value, bool):
            self.add_finding(name, "expected true or false")
            return False
        return value

    def items(self, name: str, kind: type) -> tuple[Any, ...]:
        value = self.fields.get(name, [])
        if not isinstance(value, list) or not all(type(v) is kind for v in value):
            self.add_finding(name, f"expected a list of {kind.__name__} values")
            return ()
        if len(value) > MAX_NAMES:
            self.add_finding(name, f"expected at most {MAX_NAMES} values")
            return ()
        return tuple(value)

    def inner(self, name: str) -> "_Reader":
        value = self.fields.get(name, {})
        if not isinstance(value, dict):
            self.add_finding(name, "expected an object")
            value = {}
        return _Reader(value, f"{self.path}{name}.", self.findings)


def announcement(
    upstream_id: str, body: dict[str, Any]
) -> result.Result[Announcement, list[Finding]]:
    """Return the announcement in the body of ``PUT /v1/upstreams/{id}``."""
    reader = _Reader(body)
    if not _ID.fullmatch(upstream_id):
        reader.add_finding(
            "id", "expected 1 to 128 letters, digits, dots, dashes or underscores"
        )
    kind = reader.text("kind")
    if kind and kind not in (model.KIND_ENGINE, model.KIND_APPLICATION):
        reader.add_finding("kind", "expected engine or application")
    address = reader.text("address")
    if address and not _is_address(address):
        reader.add_finding("address", "expected IP:port")
    upstream = model.Upstream(
        upstream_id,
        kind,
        address,
        availability_zone=reader.text("availability_zone", ""),
        max_concurrency=reader.integer("max_concurrency", 16, 1, MAX_CONCURRENCY),
        models=_models(reader) if kind == model.KIND_ENGINE else {},
        role=reader.text("role", model.ROLE_GENERATE),
        checks_fencing=reader.flag("checks_fencing"),
        can_resume=reader.flag("can_resume"),
        application=reader.text("application")
        if kind == model.KIND_APPLICATION
        else "",
        load=_load(reader),
    )
    incarnation = None
    if body.get("incarnation") is not None:
        incarnation = reader.integer("incarnation", None, 0, MAX_COUNT)
    if reader.findings:
        return result.Err(reader.findings)
    return result.Ok(Announcement(upstream, incarnation))


def renewal(
    upstream_id: str, body: dict[str, Any]
) -> result.Result[events.Renewed, list[Finding]]:
    """Return the renewal in the body of ``POST /v1/upstreams/{id}/renew``."""
    reader = _Reader(body)
    renewed = events.Renewed(
        upstream_id,
        _load(reader) if "load" in body else None,
        _models(reader) if "models" in body else None,
        reader.text("role") if "role" in body else None,
    )
    return result.Err(reader.findings) if reader.findings else result.Ok(renewed)


def cache_events(
    upstream_id: str, body: dict[str, Any]
) -> result.Result[messages.Prefixes, list[Finding]]:
    """Return the events in the body of ``POST /v1/upstreams/{id}/cache-events``."""
    reader = _Reader(body)
    sequence = reader.integer("sequence", None, 0, MAX_COUNT)
    listed = body.get("events", [])
    if not isinstance(listed, list) or len(listed) > MAX_CACHE_EVENTS:
        reader.add_finding(
            "events", f"expected at most {MAX_CACHE_EVENTS} events in a list"
        )
        return result.Err(reader.findings)
    # Only the last event of a prefix counts.
    is_stored_by_prefix: dict[str, bool] = {}
    is_cleared = False
    for i, fields in enumerate(listed):
        event = _Reader(fields if isinstance(fields, dict) else {}, f"events[{i}].")
        event.findings = reader.findings
        kind = event.text("kind")
        if kind == "cleared":
            is_cleared = True
            is_stored_by_prefix.clear()
            continue
        if kind and kind not in ("stored", "removed"):
            event.add_finding("kind", "expected stored, removed or cleared")
        prefix = event.text("prefix")
        if prefix and not _PREFIX.fullmatch(prefix):
            event.add_finding("prefix", "expected 16 hexadecimal digits")
        is_stored_by_prefix[prefix] = kind == "stored"
    if reader.findings:
        return result.Err(reader.findings)
    stored = tuple(p for p, is_stored in is_stored_by_prefix.items() if is_stored)
    removed = tuple(p for p, is_stored in is_stored_by_prefix.items() if not is_stored)
    return result.Ok(
        messages.Prefixes(upstream_id, sequence, stored, removed, is_cleared)
    )


def _load(reader: _Reader) -> model.Load:
    load = reader.inner("load")
    return model.Load(
        load.integer("n_running", 0, 0, MAX_COUNT),
        load.integer("n_waiting", 0, 0, MAX_COUNT),
        load.number("kv_cache_used", 1.0),
        load.number("tokens_per_second", 1e12),
    )


def _models(reader: _Reader) -> dict[str, model.ServedModel]:
    served = reader.inner("models")
    if len(served.fields) > MAX_NAMES:
        reader.add_finding("models", f"expected a number of models up to {MAX_NAMES}")
        return {}
    return {name: _model(served.inner(name)) for name in served.fields}


def _model(reader: _Reader) -> model.ServedModel:
    return model.ServedModel(
        reader.integer("weight_version", 0, 0, MAX_COUNT),
        reader.items("loaded_versions", int),
        reader.items("adapters", str),
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return port.isascii() and port.isdecimal() and 0 < int(port) < 65536
