"""Which stores start their group.

The loss of an availability zone must not take the majority of the replicas with it,
and a leader that is cut off from the other zones must lose its majority, so that
another takes over where the gateways and engines are. Taken in the order of their
addresses, all five replicas stood in one of five zones.
"""

from collections.abc import Collection, Mapping


def choose(
    addresses: Collection[str], zones_by_address: Mapping[str, str], n_replicas: int
) -> tuple[str, ...]:
    """Return `n_replicas` of the stores, from as many zones as there are."""
    waiting: dict[str, list[str]] = {}
    for address in sorted(addresses):
        waiting.setdefault(zones_by_address.get(address, ""), []).append(address)
    # The first of each zone, then the second of each, and so on.
    ranked = [
        (n, zone, address)
        for zone, in_zone in waiting.items()
        for n, address in enumerate(in_zone)
    ]
    return tuple(address for _, _, address in sorted(ranked)[:n_replicas])
