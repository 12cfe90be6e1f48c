"""What the measured slopes come to at the size the project is built towards."""

from collections.abc import Callable, Iterator, Sequence
from typing import Any, Final

import attrs

from misc import capacity_records

N_GATEWAYS: Final = 330
N_REQUESTS: Final = 8_800.0
N_TOKENS: Final = 2_200_000.0
N_TRAINERS: Final = 3
SAMPLES_PER_STEP: Final = 2_048
STEP_SECONDS: Final = 7 * 60.0
CHANGES_PER_DAY: Final = 560
DAY_SECONDS: Final = 24 * 3600.0
# What a node may spend on control.
CORE_BUDGET: Final = 0.041
MEMORY_BUDGET_MIB: Final = 128.0
BYTES_BUDGET: Final = 19_000.0

# Tokens that an engine puts into one event; its choice, not this system's.
TOKENS_PER_EVENT: Final = 1.0
# Samples whose trace the state keeps per trainer (samples.section.HISTORY_SAMPLES).
HISTORY_SAMPLES: Final = 65_536
# Claims that the state keeps at most (requests.claims_state.MAX_FORGOTTEN).
MAX_CLAIMS: Final = 250_000


@attrs.frozen
class Value:
    """One figure at full size."""

    role: str
    what: str
    formula: str
    value: str
    # Budget it is held against; empty: none is given.
    budget: str = ""


def work_out(
    daemons: Sequence[dict[str, Any]],
    fleet: Sequence[dict[str, Any]],
    records: Sequence[dict[str, Any]],
    relay: dict[str, Any],
) -> list[Value]:
    """Return the figures at full size."""
    rows = {row["kind"]: row for row in records}
    values = [*_gateway(daemons, ""), *_relaying(relay), *_replicas(daemons, "")]
    if fleet:
        values += _gateway(fleet, ", longer leases")
        values += _replicas(fleet, ", longer leases")
    return [*values, *_records(rows)]


def _line(
    daemons: Sequence[dict[str, Any]], part: str, name: str
) -> Callable[[float], float]:
    """Return the line through the means of one figure over the number of gateways."""
    points = [
        (float(run["n_gateways"]), run["parts"][part][name][0])
        for run in daemons
        if part in run["parts"]
    ]
    offset, rise = capacity_records.slope(points)

    def at(n_gateways: float) -> float:
        return float(offset + rise * n_gateways)

    return at


def _fitted(at: Callable[[float], float], factor: float, unit: str) -> str:
    return f"{factor * at(0):.3g} + {factor * (at(1) - at(0)):.3g} G {unit}"


def _gateway(daemons: Sequence[dict[str, Any]], where: str) -> Iterator[Value]:
    for part in ("gateway", "controller"):
        core = _line(daemons, part, "core_share")
        memory = _line(daemons, part, "memory_mib")
        sent = _line(daemons, part, "sent_per_second")
        yield Value(
            part,
            f"core, control only{where}",
            _fitted(core, 100, "%"),
            f"{100 * core(N_GATEWAYS):.0f}%",
            f"{100 * CORE_BUDGET:.1f}%",
        )
        yield Value(
            part,
            f"memory{where}",
            _fitted(memory, 1, "MiB"),
            f"{memory(N_GATEWAYS):.0f} MiB",
            f"{MEMORY_BUDGET_MIB:.0f} MiB",
        )
        yield Value(
            part,
            f"sent to other daemons{where}",
            _fitted(sent, 1e-3, "KB/s"),
            f"{1e-3 * sent(N_GATEWAYS):.0f} KB/s",
            f"{1e-3 * BYTES_BUDGET:.0f} KB/s",
        )


def _relaying(relay: dict[str, Any]) -> Iterator[Value]:
    requests = N_REQUESTS / N_GATEWAYS
    events = N_TOKENS / TOKENS_PER_EVENT / N_GATEWAYS
    share = requests * relay["core_seconds_per_request"]
    yield Value(
        "gateway",
        "core, requests",
        f"{1000 * relay['core_seconds_per_request']:.2f} ms x {requests:.1f}/s",
        f"{100 * share:.1f}%",
    )
    share = events * relay["core_seconds_per_event"]
    yield Value(
        "gateway",
        "core, events of one token",
        f"{1000 * relay['core_seconds_per_event']:.3f} ms x {events:.0f}/s",
        f"{100 * share:.0f}%",
    )


def _replicas(daemons: Sequence[dict[str, Any]], where: str) -> Iterator[Value]:
    for part in ("leader", "follower"):
        core = _line(daemons, part, "core_share")
        sent = _line(daemons, part, "sent_per_second")
        disk = _line(daemons, part, "disk_per_second")
        yield Value(
            part,
            f"core, control only{where}",
            _fitted(core, 100, "%"),
            f"{100 * core(N_GATEWAYS):.0f}%",
        )
        yield Value(
            part,
            f"sent{where}",
            _fitted(sent, 1e-3, "KB/s"),
            f"{1e-3 * sent(N_GATEWAYS):.0f} KB/s",
        )
        yield Value(
            part,
            f"written to disk{where}",
            _fitted(disk, 1e-3, "KB/s"),
            f"{1e-3 * disk(N_GATEWAYS):.0f} KB/s",
        )


def _records(rows: dict[str, dict[str, Any]]) -> Iterator[Value]:
    open_row, past, claim = rows["open sample"], rows["past sample"], rows["claim"]
    n_open = N_TRAINERS * SAMPLES_PER_STEP * 2
    yield _memory("open samples, two steps of each trainer", open_row, n_open)
    n_past = N_TRAINERS * HISTORY_SAMPLES
    yield _memory("traces of delivered samples", past, n_past)
    yield _memory("claims, as many as are kept", claim, MAX_CLAIMS)
    yield Value(
        "replica",
        "claims a second, at most, each kept a day",
        f"{MAX_CLAIMS:,} / 86,400 s",
        f"{MAX_CLAIMS / DAY_SECONDS:.1f}/s",
    )
    rate = N_TRAINERS * SAMPLES_PER_STEP / STEP_SECONDS
    yield Value(
        "replica",
        "log of samples",
        f"{open_row['log_bytes']:.0f} B x {rate:.1f}/s",
        f"{1e-3 * rate * open_row['log_bytes']:.1f} KB/s",
    )
    bundle = rows["bundle"]
    yield Value(
        "replica",
        "log of bundles of 16 KiB",
        f"{bundle['log_bytes']:.0f} B x {CHANGES_PER_DAY}/day",
        f"{1e-6 * CHANGES_PER_DAY * bundle['log_bytes']:.1f} MB/day",
    )
    yield _memory("bundles, 2,048 records without content", bundle, 2_048)
    yield _memory("registered gateways", rows["gateway"], N_GATEWAYS)
    seconds = MAX_CLAIMS * claim["snapshot_seconds"]
    seconds += n_past * past["snapshot_seconds"] + n_open * open_row["snapshot_seconds"]
    yield Value(
        "replica",
        "processor time of a snapshot, all of the above",
        "sum of n x snapshot slope",
        f"{seconds:.1f} s",
    )


def _memory(what: str, row: dict[str, Any], n: int) -> Value:
    return Value(
        "replica",
        f"memory: {what}",
        f"{row['memory_bytes']:.0f} B x {n:,}",
        f"{n * row['memory_bytes'] / 2**20:.1f} MiB",
    )


def table(values: Sequence[Value]) -> Iterator[str]:
    """Return the rows of the page's table."""
    yield "| role | what | formula (G gateways) | at full size | may be |"
    yield "| --- | --- | --- | --- | --- |"
    for value in values:
        cells = (value.role, value.what, value.formula, value.value, value.budget)
        yield f"| {' | '.join(cells)} |"
