"""Extrapolate the measured costs to the planned full size of a deployment."""

from collections.abc import Iterator, Sequence
from typing import Any, Final

import attrs

from bilberrydrum import options
from bilberrydrum.requests import claims_state
from bilberrydrum.samples import section
from misc.measures import capacity_records

N_GATEWAYS: Final = 330
N_REQUESTS: Final = 8_800.0
N_TOKENS: Final = 2_200_000.0
N_TRAINERS: Final = 3
SAMPLES_PER_STEP: Final = 2_048
STEP_SECONDS: Final = 7 * 60.0
CHANGES_PER_DAY: Final = 560
DAY_SECONDS: Final = 24 * 3600.0
# Budget of a node without requests: share of a core, memory, bytes sent per second.
CORE_BUDGET: Final = 0.041
MEMORY_BUDGET_MIB: Final = 128.0
BYTES_BUDGET: Final = 19_000.0

# Up to this many gateways exchange upstream records directly, without relay nodes.
MAX_MESH: Final = options.UpstreamOptions().max_mesh_gateways
# Number of sizes that a fit needs.
MIN_POINTS: Final = 3

# Tokens in one event of a stream; the engine chooses the number, not this system.
TOKENS_PER_EVENT: Final = 1.0
# Number of samples per trainer whose trace the state keeps.
HISTORY_SAMPLES: Final = section.HISTORY_SAMPLES
# Keys without a creation time are refused once this many keys are stored.
MAX_UNTIMED_KEYS: Final = claims_state.MAX_FORGOTTEN
# Assumed share of non-idempotent requests; the real share is not known.
CLAIM_SHARE: Final = 0.01


@attrs.frozen
class Value:
    """One figure at full size."""

    role: str
    what: str
    formula: str
    value: str
    # Budget for the figure; empty if there is none.
    budget: str = ""


def compute_values(
    daemons: Sequence[dict[str, Any]],
    fleet: Sequence[dict[str, Any]],
    records: Sequence[dict[str, Any]],
    payload: dict[str, Any],
    relay: dict[str, Any],
) -> list[Value]:
    """Return the figures at full size."""
    rows = {row["kind"]: row for row in records}
    values = [*_gateway(daemons, ""), *_relaying(relay), *_payloads(payload)]
    values += _replicas(daemons, "")
    if fleet:
        values += _gateway(fleet, ", longer leases")
        values += _replicas(fleet, ", longer leases")
    return [*values, *_records(rows)]


@attrs.frozen
class Fit:
    """A line through the means of one figure over the number of gateways G.

    `power` is 0.5 for figures that depend on relay nodes, whose work grows with the
    square root of G, and 1 for all others.
    """

    offset: float
    slope: float
    power: float

    def value_at(self, n_gateways: float) -> float:
        """Return the value with `n_gateways` gateways."""
        return float(self.offset + self.slope * n_gateways**self.power)

    def formula(self, factor: float, unit: str) -> str:
        """Return the line as text, scaled by `factor`."""
        variable = "G" if self.power == 1 else "sqrt(G)"
        return (
            f"{factor * self.offset:.3g} + {factor * self.slope:.3g} {variable} {unit}"
        )


def _fit(daemons: Sequence[dict[str, Any]], part: str, name: str, power: float) -> Fit:
    points = [
        (float(run["n_gateways"]) ** power, run["parts"][part][name][0])
        for run in daemons
        if part in run["parts"]
        # Up to this number of gateways there are no relay nodes.
        and (power == 1 or run["n_gateways"] > MAX_MESH)
    ]
    offset, slope = capacity_records.fit_line(points)
    return Fit(offset, slope, power)


def _gateway(daemons: Sequence[dict[str, Any]], where: str) -> Iterator[Value]:
    n_relayed = sum(run["n_gateways"] > MAX_MESH for run in daemons)
    power = 0.5 if n_relayed >= MIN_POINTS else 1.0
    core = _fit(daemons, "gateway", "core_share", power)
    memory = _fit(daemons, "gateway", "memory_mib", 1.0)
    sent = _fit(daemons, "gateway", "sent_per_second", power)
    yield Value(
        "gateway",
        f"core, control only{where}",
        core.formula(100, "%"),
        f"{100 * core.value_at(N_GATEWAYS):.0f}%",
        f"{100 * CORE_BUDGET:.1f}%",
    )
    yield Value(
        "gateway",
        f"memory{where}",
        memory.formula(1, "MiB"),
        f"{memory.value_at(N_GATEWAYS):.0f} MiB",
        f"{MEMORY_BUDGET_MIB:.0f} MiB",
    )
    yield Value(
        "gateway",
        f"sent to other daemons{where}",
        sent.formula(1e-3, "KB/s"),
        f"{1e-3 * sent.value_at(N_GATEWAYS):.0f} KB/s",
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


def _payloads(payload: dict[str, Any]) -> Iterator[Value]:
    n_samples = N_TRAINERS * SAMPLES_PER_STEP
    n_tokens = N_TOKENS * STEP_SECONDS / n_samples
    yield Value(
        "gateway",
        "tokens a sample, if all tokens are samples'",
        f"{N_TOKENS:,.0f}/s x {STEP_SECONDS:.0f} s / {n_samples:,}",
        f"{n_tokens:,.0f}",
    )
    held = 2 * 2 * n_samples * n_tokens / N_GATEWAYS
    yield Value(
        "gateway",
        "memory: payloads of two steps, two copies",
        f"{payload['memory_bytes']:.0f} B x {held:,.0f} tokens",
        f"{held * payload['memory_bytes'] / 2**20:.0f} MiB",
    )
    tokens_per_second = N_TOKENS / N_GATEWAYS
    yield Value(
        "gateway",
        "sent: copies of payloads",
        f"{payload['snapshot_bytes']:.1f} B x {tokens_per_second:,.0f} tokens/s",
        f"{1e-3 * payload['snapshot_bytes'] * tokens_per_second:.0f} KB/s",
    )


def _replicas(daemons: Sequence[dict[str, Any]], where: str) -> Iterator[Value]:
    for part in ("leader", "follower"):
        core = _fit(daemons, part, "core_share", 1.0)
        yield Value(
            part,
            f"core, control only{where}",
            core.formula(100, "%"),
            f"{100 * core.value_at(N_GATEWAYS):.0f}%",
        )
        for what, name in (("sent", "sent"), ("written to disk", "disk")):
            rate = _fit(daemons, part, f"{name}_per_second", 1.0)
            yield Value(
                part,
                f"{what}{where}",
                rate.formula(1e-3, "KB/s"),
                f"{1e-3 * rate.value_at(N_GATEWAYS):.0f} KB/s",
            )


def _records(rows: dict[str, dict[str, Any]]) -> Iterator[Value]:
    open_row, past, claim = rows["open sample"], rows["past sample"], rows["claim"]
    n_open = N_TRAINERS * SAMPLES_PER_STEP * 2
    yield _memory("open samples, two steps of each trainer", open_row, n_open)
    n_past = N_TRAINERS * HISTORY_SAMPLES
    yield _memory("traces of delivered samples", past, n_past)
    n_claims = int(DAY_SECONDS)
    yield _memory("claims, for each claim a second, kept a day", claim, n_claims)
    n_claims_of_share = int(CLAIM_SHARE * N_REQUESTS * DAY_SECONDS)
    yield _memory("claims, if 1% of the requests have a key", claim, n_claims_of_share)
    yield Value(
        "replica",
        "keys without a time, ever",
        "a bound in the code",
        f"{MAX_UNTIMED_KEYS:,}",
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
    seconds = n_claims * claim["snapshot_seconds"]
    seconds += n_past * past["snapshot_seconds"] + n_open * open_row["snapshot_seconds"]
    yield Value(
        "replica",
        "processor time of a snapshot, one claim a second",
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
