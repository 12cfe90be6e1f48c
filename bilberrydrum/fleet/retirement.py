"""When a store may be retired, and when its retirement is complete."""

from collections.abc import Collection, Iterable

import attrs

from bilberrydrum.fleet import model


@attrs.frozen
class Report:
    """The voting replicas, as a leader of the stores' group reports them."""

    term: int
    # Index of the registry that the leader has.
    registry_index: int
    voter_addresses: tuple[str, ...]


def may_retire(
    store: model.Store,
    stores: Iterable[model.Store],
    live_addresses: Collection[str],
    n_voters: int,
) -> bool:
    """Return whether the other stores suffice to hold all replicas."""
    others = [
        each
        for each in stores
        if each.name != store.name
        and not each.retiring_index
        and each.address in live_addresses
    ]
    return len(others) >= n_voters


def is_done(store: model.Store, reports: Collection[Report], n_voters: int) -> bool:
    """Return whether another replica has replaced `store` and it cannot rejoin.

    The group must have its full number of voters again, as it could otherwise not
    tolerate the loss of another disk once the store is removed. Only the report of the
    leader with the highest term counts, and only once that leader knows of the
    retirement, as it might otherwise still choose the store to replace a lost replica.
    """
    if not reports:
        return False
    newest = max(reports, key=lambda each: each.term)
    if newest.registry_index < store.retiring_index:
        return False
    voters = newest.voter_addresses
    return len(voters) >= n_voters and store.address not in voters
