"""Read the daemon's settings, a YAML file, into `options.Options`.

The keys of the file are the attribute names of the option classes, nested like the
classes. `yaml_places` parses the file, checks types and reports unknown keys. This
module defines the ranges of numbers and the checks that involve several values.
"""

import math
import re
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs
import result

from bilberrydrum import addresses, findings, options, yaml_places

ROLES: Final = (options.ROLE_GATEWAY, options.ROLE_STATE)
# Renewals that must fit into a lease, so that it does not expire because one is lost.
RENEWALS_PER_LEASE: Final = 3
# Heartbeat intervals that must fit into the election timeout, so that a follower does
# not start an election because one heartbeat is lost.
HEARTBEATS_PER_ELECTION: Final = 3
# Election timeouts that must fit into a lease: an election takes up to two of them, and
# then the gateways must find the new leader.
ELECTIONS_PER_LEASE: Final = 3

_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")
_NAME_RULE: Final = (
    "must be 1 to 64 letters, digits, dots, underscores or hyphens,"
    " and begin with a letter or digit"
)
_MIB: Final = 1024 * 1024
_DAY: Final = 24 * 3600.0


@attrs.frozen
class Range:
    """The smallest and the largest valid value of a number."""

    least: float
    greatest: float

    def __contains__(self, value: float) -> bool:
        return self.least <= value <= self.greatest

    def __str__(self) -> str:
        if math.isinf(self.greatest):
            return f"at least {self.least:g}"
        return f"{self.least:g} to {self.greatest:g}"


# Numbers without a row below may have any value that is not negative.
ANY_RANGE: Final = Range(0, math.inf)
RANGES_BY_PATH: Final[dict[yaml_places.Path, Range]] = {
    ("state", "heartbeat_seconds"): Range(0.01, 10),
    ("state", "election_timeout_seconds"): Range(0.05, 60),
    ("state", "drift_margin"): Range(0, 0.5),
    ("state", "snapshot_entries"): Range(10, 10_000_000),
    ("state", "max_log_bytes"): Range(64 * 1024, 1024 * _MIB),
    ("state", "handover_bytes"): Range(64 * 1024, 1024 * _MIB),
    ("state", "n_voters"): Range(0, 9),
    ("state", "lost_seconds"): Range(0.5, _DAY),
    ("gateway", "bundle_lease_seconds"): Range(0.2, 300),
    ("gateway", "bundle_renew_seconds"): Range(0.02, 60),
    ("gateway", "bundle_hold_lease_seconds"): Range(0.2, 3600),
    ("limits", "max_body_bytes"): Range(1024, 1024 * _MIB),
    ("limits", "max_header_bytes"): Range(1024, _MIB),
    ("limits", "memory_mb"): Range(64, 1_000_000),
    ("limits", "max_connections"): Range(1, 1_000_000),
    ("limits", "read_timeout_seconds"): Range(0.1, 600),
    ("upstreams", "lease_seconds"): Range(0.2, 60),
    ("upstreams", "renew_seconds"): Range(0.02, 20),
    ("upstreams", "standing_seconds"): Range(0.02, 20),
    ("upstreams", "max_mesh_gateways"): Range(2, 64),
    ("upstreams", "controller_lease_seconds"): Range(0.2, 300),
    ("upstreams", "order_flight_seconds"): Range(0.1, 3600),
    ("requests", "default_timeout_seconds"): Range(0.1, _DAY),
    ("requests", "max_timeout_seconds"): Range(0.1, _DAY),
    ("requests", "retry_budget"): Range(0, 1),
    ("requests", "max_attempts"): Range(1, 20),
    ("requests", "max_queue_per_caller"): Range(1, 100_000),
    ("requests", "claim_seconds"): Range(60, 90 * _DAY),
    ("requests", "max_result_bytes"): Range(1024, 16 * _MIB),
    ("samples", "owner_lease_seconds"): Range(0.2, 300),
    ("samples", "max_prompt_bytes"): Range(1, 64 * _MIB),
    ("samples", "max_open_slots"): Range(1, 1_000_000),
    ("samples", "max_wait_seconds"): Range(0.1, 600),
    ("samples", "second_attempt_budget"): Range(0, 1),
    ("samples", "swap_share"): Range(0.01, 1),
    ("samples", "load_timeout_seconds"): Range(1, _DAY),
    ("shutdown", "balancer_seconds"): Range(0, 600),
    ("shutdown", "limit_seconds"): Range(0, _DAY),
}

# Rows of value, factor and limit: the value times the factor must not exceed the limit.
_LIMIT_PAIRS: Final[tuple[tuple[yaml_places.Path, int, yaml_places.Path], ...]] = (
    (
        ("state", "heartbeat_seconds"),
        HEARTBEATS_PER_ELECTION,
        ("state", "election_timeout_seconds"),
    ),
    # Otherwise the leases of all gateways would expire at each change of leader.
    (
        ("state", "election_timeout_seconds"),
        ELECTIONS_PER_LEASE,
        ("gateway", "bundle_lease_seconds"),
    ),
    (
        ("gateway", "bundle_renew_seconds"),
        RENEWALS_PER_LEASE,
        ("gateway", "bundle_lease_seconds"),
    ),
    (
        ("gateway", "bundle_lease_seconds"),
        1,
        ("gateway", "bundle_hold_lease_seconds"),
    ),
    (
        ("upstreams", "renew_seconds"),
        RENEWALS_PER_LEASE,
        ("upstreams", "lease_seconds"),
    ),
    (
        ("upstreams", "standing_seconds"),
        RENEWALS_PER_LEASE,
        ("upstreams", "lease_seconds"),
    ),
    (
        ("requests", "default_timeout_seconds"),
        1,
        ("requests", "max_timeout_seconds"),
    ),
    # Otherwise a claim could be deleted while its request is still running, and the
    # result could not be recorded.
    (("requests", "max_timeout_seconds"), 1, ("requests", "claim_seconds")),
    (("shutdown", "balancer_seconds"), 1, ("shutdown", "limit_seconds")),
)

_Reading = yaml_places.Reading[options.Options]


def load(path: str) -> result.Result[options.Options, list[findings.Finding]]:
    """Read the settings file at `path`.

    Returns
    -------
    result.Result
        The options, or all findings, sorted by line.
    """
    return yaml_places.read_text(path).and_then(lambda text: parse(text, path))


def parse(
    text: str, file: str
) -> result.Result[options.Options, list[findings.Finding]]:
    """Read settings from `text`; findings contain `file` as the name of the file."""
    outcome = yaml_places.read(text, file, options.Options)
    if isinstance(outcome, result.Err):
        return outcome
    reading = outcome.ok_value
    for check in _CHECKS:
        check(reading)
    return reading.finish()


def numbers(
    value: Any, path: yaml_places.Path = ()
) -> Iterator[tuple[yaml_places.Path, float]]:
    """Yield the path and the value of each numeric option, recursively."""
    for field in attrs.fields(type(value)):
        field_path = (*path, field.name)
        field_value = getattr(value, field.name)
        if attrs.has(type(field_value)):
            yield from numbers(field_value, field_path)
        elif isinstance(field_value, int | float) and not isinstance(field_value, bool):
            yield field_path, field_value


def _check_ranges(reading: _Reading) -> None:
    for path, value in numbers(reading.value):
        allowed = RANGES_BY_PATH.get(path, ANY_RANGE)
        if value not in allowed:
            reading.report(f"{path[-1]} must be {allowed}, found {value:g}", path)


def _check_names(reading: _Reading) -> None:
    value = reading.value
    names_by_path: dict[yaml_places.Path, str] = {
        ("process_id",): value.process_id,
        ("group",): value.group,
    }
    for index, member in enumerate(value.state.members):
        names_by_path["state", "members", index, "process_id"] = member.process_id
    for path, name in names_by_path.items():
        if not _NAME.match(name):
            reading.report(f"{path[-1]} {_NAME_RULE}, found {name!r}", path)
    for key in ("availability_zone", "region"):
        if not getattr(value, key).strip():
            reading.report(f"{key} must not be empty", (key,))


def _check_roles(reading: _Reading) -> None:
    roles = reading.value.roles
    if not roles:
        reading.report(
            f"roles must name at least one of {', '.join(ROLES)}", ("roles",)
        )
    for index, role in enumerate(roles):
        path = ("roles", index)
        if role not in ROLES:
            reading.report(
                f"role must be one of {', '.join(ROLES)}, found {role!r}", path
            )
        elif role in roles[:index]:
            reading.report(f"role {role!r} is named twice", path)


def _check_addresses(reading: _Reading) -> None:
    value = reading.value
    fault = addresses.fault(value.gateway.http_address, is_wildcard_allowed=True)
    path: yaml_places.Path = ("gateway", "http_address")
    if fault:
        reading.report(f"http_address {fault}", path)
    elif value.gateway.http_address == value.peer_address:
        reading.report("http_address must not equal peer_address", path)
    if fault := addresses.fault(value.peer_address):
        reading.report(f"peer_address {fault}", ("peer_address",))
    for index, member in enumerate(value.state.members):
        if fault := addresses.fault(member.peer_address):
            path = ("state", "members", index, "peer_address")
            reading.report(f"peer_address {fault}", path)


def _check_members(reading: _Reading) -> None:
    value = reading.value
    members = value.state.members
    for index, member in enumerate(members):
        path = ("state", "members", index)
        earlier = members[:index]
        if member.process_id in [other.process_id for other in earlier]:
            message = f"member {member.process_id!r} is named twice"
            reading.report(message, (*path, "process_id"))
        if member.peer_address in [other.peer_address for other in earlier]:
            message = f"peer_address {member.peer_address} is another member's already"
            reading.report(message, (*path, "peer_address"))
        is_self = member.process_id == value.process_id
        if is_self and member.peer_address != value.peer_address:
            reading.report(
                f"peer_address of this process is {value.peer_address}"
                f" elsewhere in this file, found {member.peer_address}",
                (*path, "peer_address"),
                ("peer_address",),
                ("process_id",),
            )


def _check_state_role(reading: _Reading) -> None:
    value = reading.value
    if options.ROLE_STATE in value.roles:
        if not value.state.data_folder:
            reading.report(
                "data_folder is needed by the role state",
                ("state", "data_folder"),
                ("roles",),
            )
    elif value.roles and not value.state.members:
        reading.report(
            "members are needed by a process without the role state",
            ("state", "members"),
            ("roles",),
        )


def _check_limit_pairs(reading: _Reading) -> None:
    numbers_by_path = dict(numbers(reading.value))
    for path, factor, limit_path in _LIMIT_PAIRS:
        number, limit = numbers_by_path[path], numbers_by_path[limit_path]
        if number * factor <= limit:
            continue
        bound = limit_path[-1] if factor == 1 else f"{limit_path[-1]} / {factor}"
        # The place of a value that the file contains is more useful to the reader than
        # that of a default, which the file does not contain.
        places = sorted((path, limit_path), key=_is_default_in(reading))
        reading.report(
            f"{path[-1]} must be at most {bound} = {limit / factor:g},"
            f" found {number:g}",
            *places,
        )


def _check_curve(reading: _Reading) -> None:
    curve = reading.value.curve
    if curve.key_file and not curve.peers_file:
        reading.report("key_file requires peers_file", ("curve", "key_file"))
    if curve.peers_file and not curve.key_file:
        reading.report("peers_file requires key_file", ("curve", "peers_file"))


def _is_default_in(reading: _Reading) -> Callable[[yaml_places.Path], bool]:
    return lambda path: path not in reading.places_by_path


_CHECKS: Final = (
    _check_ranges,
    _check_names,
    _check_roles,
    _check_addresses,
    _check_members,
    _check_state_role,
    _check_limit_pairs,
    _check_curve,
)
