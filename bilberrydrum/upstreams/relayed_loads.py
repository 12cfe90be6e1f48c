"""Pack the load changes of many homes into columns, and unpack them."""

from bilberrydrum.upstreams import messages, model

_THOUSANDTHS = 1000


def pack(changes_by_home: dict[str, messages.Changes]) -> messages.Loads:
    """Return the loads in `changes_by_home`, which hold nothing else, as columns."""
    homes: list[str] = []
    spans: list[int] = []
    items: list[messages.LoadItem] = []
    for home, changes in changes_by_home.items():
        previous = changes.previous
        for item in sorted(changes.loads, key=lambda load: load.change):
            homes.append(home)
            spans.append(item.change - previous)
            items.append(item)
            previous = item.change
    loads = [item.load for item in items]
    return messages.Loads(
        tuple(homes),
        tuple(item.change for item in items),
        tuple(spans),
        tuple(item.upstream_id for item in items),
        tuple(load.n_running for load in loads),
        tuple(load.n_waiting for load in loads),
        tuple(round(load.kv_cache_used * _THOUSANDTHS) for load in loads),
        tuple(round(load.tokens_per_second) for load in loads),
    )


def unpack(loads: messages.Loads) -> list[tuple[str, messages.Changes]]:
    """Return the changes in `loads` one by one, each with its home.

    Raises
    ------
    ValueError
        If the columns are not equally long.
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
    for home, change, span, upstream_id, n_running, n_waiting, cache, speed in rows:
        load = model.Load(n_running, n_waiting, cache / _THOUSANDTHS, float(speed))
        item = messages.LoadItem(change, upstream_id, load)
        changes = messages.Changes(0, change - span, change, loads=(item,))
        unpacked.append((home, changes))
    return unpacked
