"""Batches, waiting items and engine capacities for tests."""

from bilberrydrum import event_stream
from bilberrydrum.batches import commands, model, scheduling


def batch(batch_id="b", n_items=2, **fields):
    items = tuple(
        model.Item(f"i{n}", "/p/x", {}, b"body", 10, f"g{n // 2}")
        for n in range(n_items)
    )
    return model.Batch(batch_id, "h", items, **fields)


def accept(given):
    data = model.pack_batch(given)
    return commands.AcceptBatch(given.batch_id, len(given.items), data, 60.0)


def result(item_id="i0", versions=(1,), text=b"x"):
    return model.Result.of(item_id, model.ItemState.COMPLETED, text, versions)


def generated(run, first, n_events):
    """Return the data of events that the named run generates."""
    return [f"{run} {n}".encode() for n in range(first, first + n_events)]


def generate(text, run, n_events, version):
    """Append the next events of a run to `text`."""
    first = (text.last_number or 0) + 1
    for n, data in enumerate(generated(run, first, n_events), first):
        text.add(event_stream.Event(n, data), version)


def waiting(item_id="i", start_by=1.0, **fields):
    values = {"model": "m", "min_version": 1, "services": frozenset({"s"})}
    values.update(fields)
    group = values.pop("group", item_id)
    is_spare = values.pop("is_spare", False)
    late_at = values.pop("late_at", start_by)
    return scheduling.WaitingItem(
        ("b", item_id), ("b", group), start_by, late_at, is_spare, **values
    )


def make_engine(engine_id="e", n_slots=2, n_running=0, version=1, **fields):
    values = {"models": frozenset({"m"})}
    values.update(fields)
    service = values.pop("service", "s")
    return scheduling.EngineCapacity(
        engine_id, service, n_slots, n_running, {"m": version}, **values
    )
