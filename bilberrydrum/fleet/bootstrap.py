"""Choice of the initial members of the stores' group.

The replicas are spread over the availability zones. The loss of one zone must leave a
majority of the replicas, and a leader that is partitioned from the other zones must
lose its majority, so that a new leader is elected where the gateways and engines are.
If they were chosen in the order of their addresses, all five replicas could be in one
of five zones.
"""

from collections.abc import Collection, Mapping


def choose(
    addresses: Collection[str], zones_by_address: Mapping[str, str], n_replicas: int
) -> tuple[str, ...]:
    """Return `n_replicas` of the stores, spread evenly over the zones."""
    addresses_by_zone: dict[str, list[str]] = {}
    for address in sorted(addresses):
        addresses_by_zone.setdefault(zones_by_address.get(address, ""), []).append(
            address
        )
    # Rank the first store of each zone before the second of each, and so on.
    ranked = [
        (n, zone, address)
        for zone, in_zone in addresses_by_zone.items()
        for n, address in enumerate(in_zone)
    ]
    return tuple(address for _, _, address in sorted(ranked)[:n_replicas])
