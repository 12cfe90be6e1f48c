"""Measure what each kind of record costs a replica: memory, disk and processor time.

For each kind its real commands create three different numbers of records in an empty
state; the cost per record is the slope of a least-squares line. Memory is what Python
allocated for the records (tracemalloc). The bytes of the log are those of the encoded
commands, the bytes of a snapshot those of the encoded sections of the state.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs

from bilberrydrum import codec, registrations
from bilberrydrum.bundles import commands as bundle_commands
from bilberrydrum.requests import claims_state
from bilberrydrum.samples import commands as sample_commands
from bilberrydrum.samples import model as sample_model
from bilberrydrum.state import machine, processes
from bilberrydrum.weights import commands as weight_commands

# Importing these modules registers the functions that apply the commands.
COMMAND_MODULES: Final = registrations.MODULES
DAY_SECONDS: Final = 24 * 3600.0
SLOTS_PER_GROUP: Final = 8
RECORDS_PER_COMMAND: Final = 64
SAMPLES_PER_BATCH: Final = 256
SAMPLES_PER_STEP: Final = 2048
PAYLOAD_TOKENS: Final = (1_000, 8_000, 64_000)
PAYLOAD_REPEATS: Final = 5
PROMPT: Final = "outage of unit 3, " * 30
RESULT: Final = b'{"booked": true}' * 16
RULE: Final = sample_model.Rule(1, 2)

# Returns the commands that create n records.
Commands = Callable[[int], Iterator[object]]


def claims(n: int) -> Iterator[object]:
    """Claim keys and record their results, 256 bytes each."""
    for i in range(n):
        key, claim_id = f"booking-{i:012}", f"{i:032x}"
        yield claims_state.ClaimKey(
            caller="planners",
            key=key,
            digest=f"{i:064x}",
            claim_id=claim_id,
            holder="gateway-17",
            holds_seconds=90.0,
            lifetime_seconds=DAY_SECONDS,
        )
        answer = claims_state.Result(200, (("Content-Type", "text/json"),), RESULT)
        yield claims_state.FinishClaim("planners", key, claim_id, answer)


def open_samples(n: int, first: int = 0) -> Iterator[object]:
    """Request samples and record them, without delivering any."""
    yield sample_commands.RenewOwner("gateway-17", 1, DAY_SECONDS, 0)
    names = []
    for i in range(first, first + n, SLOTS_PER_GROUP):
        group_id = f"step-{i // SAMPLES_PER_STEP}-group-{i}"
        group = sample_model.GroupRequest(group_id, PROMPT, SLOTS_PER_GROUP, 4096)
        yield sample_commands.AddGroups("outage", (group,), n + 1)
        names += [(group_id, slot) for slot in range(SLOTS_PER_GROUP)]
    for i in range(0, n, RECORDS_PER_COMMAND):
        records = tuple(_slot_record(*each) for each in names[i:][:RECORDS_PER_COMMAND])
        yield sample_commands.RecordSamples(records, {"outage": RULE})


def _slot_record(group_id: str, slot: int) -> sample_commands.SlotRecord:
    segments = (
        sample_model.Segment(41, 0, 600),
        sample_model.Segment(42, 601, 1500),
    )
    holders = ("gateway-17@12", "gateway-203@7")
    record = sample_model.Record(
        *(1, 1, "engine-0417", segments, 0.5, 1501, bytes(16), holders)
    )
    return sample_commands.SlotRecord("outage", group_id, slot, record)


def past_samples(n: int) -> Iterator[object]:
    """Deliver and acknowledge steps of samples, of which the state keeps the trace."""
    yield weight_commands.PublishWeights("outage", "planner", 42)
    yield sample_commands.OpenReader("outage")
    for first in range(0, n, SAMPLES_PER_STEP):
        n_samples = min(n - first, SAMPLES_PER_STEP)
        yield from open_samples(n_samples, first)
        for i in range(0, n_samples + 1, SAMPLES_PER_BATCH):
            yield sample_commands.AssignBatch(
                "outage", 1, first + i, SAMPLES_PER_BATCH, RULE
            )


def bundles(n: int) -> Iterator[object]:
    """Submit, sign off and roll bundles of 16 KiB."""
    content = "# rule\n" * 2340
    for version in range(1, n + 1):
        digest = f"{version:064x}"
        yield bundle_commands.SubmitBundle(
            *(version, version - 1, digest, "ana", "refuse", content)
        )
        yield bundle_commands.SignOffBundle(version, digest, "ben")
        yield bundle_commands.RollBundle(version, digest, "ben")
        yield bundle_commands.MarkInForce(version)


def gateways(n: int) -> Iterator[object]:
    """Register processes."""
    for i in range(n):
        yield processes.RegisterProcess(
            *(f"gateway-{i}", f"10.0.{i // 250}.{i % 250}:9080"),
            *("zone-1", "region-1", ("gateway",), f"{i:032x}"),
        )


@attrs.frozen
class Kind:
    """One kind of record and the numbers of records that are measured."""

    name: str
    commands: Commands
    sizes: tuple[int, ...]


KINDS: Final = (
    Kind("claim", claims, (2_000, 8_000, 32_000)),
    Kind("open sample", open_samples, (2_048, 6_144, 18_432)),
    Kind("past sample", past_samples, (2_048, 6_144, 18_432)),
    Kind("bundle", bundles, (100, 560, 1_680)),
    Kind("gateway", gateways, (30, 110, 330)),
)


@attrs.frozen
class Cost:
    """What n records of one kind cost."""

    n: int
    memory_bytes: int
    snapshot_bytes: int
    snapshot_seconds: float
    log_bytes: int
    apply_seconds: float


def cost(kind: Kind, n: int) -> Cost:
    """Return what `n` records of `kind` cost a replica."""
    commands = list(kind.commands(n))
    log_bytes = sum(len(codec.encode(each)) for each in commands)
    started = time.process_time()
    _state_after(commands)
    apply_seconds = time.process_time() - started
    # The state is decoded from bytes, as after a restart of a replica. If it were the
    # applied one, it would share objects with the commands and measure too small.
    sections = [codec.encode(each) for each in _state_after(commands).sections.values()]
    del commands
    gc.collect()
    tracemalloc.start()
    restored = [codec.decode(each) for each in sections]
    gc.collect()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started = time.process_time()
    snapshot_bytes = sum(len(codec.encode(each)) for each in restored)
    snapshot_seconds = time.process_time() - started
    return Cost(
        n, memory_bytes, snapshot_bytes, snapshot_seconds, log_bytes, apply_seconds
    )


def _state_after(commands: list[Any]) -> machine.State:
    state = machine.State()
    for i, command in enumerate(commands):
        machine.apply(command, state, machine.Context(i + 1, 1000.0))
    return state


def payload_cost(n: int) -> Cost:
    """Return what a payload of `n` tokens costs the gateways that hold it."""
    token_ids = tuple((7919 * i) % 128_000 for i in range(n))
    data = codec.encode(sample_model.Payload("abcd" * n, token_ids))
    gc.collect()
    tracemalloc.start()
    # A gateway that holds the payload has received and decoded it.
    payload = codec.decode(data)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started = time.process_time()
    for _ in range(PAYLOAD_REPEATS):
        codec.encode(payload)
    encode_seconds = (time.process_time() - started) / PAYLOAD_REPEATS
    started = time.process_time()
    for _ in range(PAYLOAD_REPEATS):
        codec.decode(data)
    decode_seconds = (time.process_time() - started) / PAYLOAD_REPEATS
    return Cost(n, memory_bytes, len(data), encode_seconds, len(data), decode_seconds)


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return the least-squares line through `points`: its value at 0 and its slope.

    If all points have the same x, the slope is unknown and returned as 0.
    """
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / (spread or 1.0)
    return mean_y - slope * mean_x, slope


def worst_error(points: list[tuple[float, float]]) -> float:
    """Return the largest deviation from the line, as a share of the point."""
    offset, slope = fit_line(points)
    return max(abs(y - offset - slope * x) / abs(y) for x, y in points if y)


def measure(share: float = 1.0) -> list[dict[str, Any]]:
    """Return the costs per record of all kinds; `share` scales the large sizes."""
    rows = []
    for kind in KINDS:
        is_large = kind.sizes[0] >= 1_000
        sizes = [int(share * n) if is_large else n for n in kind.sizes]
        rows.append(_row(kind.name, [cost(kind, n) for n in sizes]))
    return rows


def measure_payloads() -> dict[str, Any]:
    """Return the costs of a payload per token."""
    return _row("payload's token", [payload_cost(n) for n in PAYLOAD_TOKENS])


def _row(kind: str, costs: list[Cost]) -> dict[str, Any]:
    row: dict[str, Any] = {"kind": kind, "sizes": [each.n for each in costs]}
    for field in attrs.fields(Cost)[1:]:
        points = [(float(each.n), float(getattr(each, field.name))) for each in costs]
        row[field.name] = fit_line(points)[1]
        row[f"{field.name}_error"] = round(worst_error(points), 3)
    return row
