"""When a store may be emptied, and when it is empty."""

from collections.abc import Collection, Iterable

import attrs

from bilberrydrum.fleet import model


@attrs.frozen
class Report:
    """What a leader of the stores' group says of the replicas with a vote."""

    term: int
    # Index of the registry that it acts on.
    registry_index: int
    voter_addresses: tuple[str, ...]


def may_retire(
    store: model.Store,
    stores: Iterable[model.Store],
    live_addresses: Collection[str],
    n_voters: int,
) -> bool:
    """Tell whether enough stores are left to hold all replicas without `store`."""
    others = [
        each
        for each in stores
        if each.name != store.name
        and not each.retiring_index
        and each.address in live_addresses
    ]
    return len(others) >= n_voters


def is_done(store: model.Store, reports: Collection[Report], n_voters: int) -> bool:
    """Tell whether the group goes on without `store` and will not take it back.

    Its place must be taken: gone before that, the group would not bear the loss of
    another disk. Only the newest leader's word counts, and only once it knows of the
    retirement: it could otherwise still choose the store to replace a lost one.
    """
    if not reports:
        return False
    newest = max(reports, key=lambda each: each.term)
    if newest.registry_index < store.retiring_index:
        return False
    voters = newest.voter_addresses
    return len(voters) >= n_voters and store.address not in voters
