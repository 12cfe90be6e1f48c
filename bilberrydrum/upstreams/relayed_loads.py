"""Pack the load changes of many owners into columns, and unpack them."""

from bilberrydrum.upstreams import messages, model

_THOUSANDTHS = 1000


def pack(changes_by_owner: dict[str, messages.Changes]) -> messages.Loads:
    """Return the changes, which must be of loads alone, as columns."""
    owners: list[str] = []
    spans: list[int] = []
    items: list[messages.LoadItem] = []
    for owner, changes in changes_by_owner.items():
        previous = changes.previous
        for item in sorted(changes.loads, key=lambda load: load.change):
            owners.append(owner)
            spans.append(item.change - previous)
            items.append(item)
            previous = item.change
    loads = [item.load for item in items]
    return messages.Loads(
        tuple(owners),
        tuple(item.change for item in items),
        tuple(spans),
        tuple(item.upstream_id for item in items),
        tuple(load.n_running for load in loads),
        tuple(load.n_waiting for load in loads),
        tuple(round(load.kv_cache_used * _THOUSANDTHS) for load in loads),
        tuple(round(load.tokens_per_second) for load in loads),
    )


def unpack(loads: messages.Loads) -> list[tuple[str, messages.Changes]]:
    """Return the changes in `loads` one by one, each with its owner.

    Raises
    ------
    ValueError
        If the columns differ in length.
    """
    rows = zip(
        loads.homes,
        loads.changes,
        loads.spans,
        loads.upstream_ids,
        loads.n_running,
        loads.n_waiting,
        loads.kv_cache_used,
        loads.tokens_per_second,
        strict=True,
    )
    unpacked = []
    for owner, change, span, upstream_id, n_running, n_waiting, cache, speed in rows:
        load = model.Load(n_running, n_waiting, cache / _THOUSANDTHS, float(speed))
        item = messages.LoadItem(change, upstream_id, load)
        changes = messages.Changes(0, change - span, change, loads=(item,))
        unpacked.append((owner, changes))
    return unpacked
