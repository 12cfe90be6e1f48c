"""Who tells whom: all gateways each other, or groups with seats that relay.

A few gateways tell each other everything directly. With n of them each would hear n
standing messages an interval, so beyond a limit they form about sqrt(n) groups within
availability zones. Two members of each group hold a seat. A member tells its seats; a
seat tells the same seat of each other group about its own group, and its own group
about all. A gateway hears 2 messages an interval, a seat about 2 sqrt(n).

Each gateway works this out for itself from the registered gateways and from whom it
hears. When two disagree for a while, messages are sent twice or to a gateway that needs
none, and nothing else. The two seats are independent ways, so that a seat may die
without a gap.
"""

import hashlib
import math
from collections.abc import Callable, Mapping

import attrs

# Seats of a group.
N_SEATS = 2


@attrs.frozen
class Group:
    """Gateways of one availability zone, in the order in which they take the seats."""

    candidates: tuple[str, ...]

    def seats(self, is_live: Callable[[str], bool]) -> tuple[str, ...]:
        """Return the members that hold the seats."""
        live = [member for member in self.candidates if is_live(member)]
        return tuple(live[:N_SEATS])


@attrs.frozen
class Topology:
    """The groups, from one gateway's place."""

    own: Group
    others: tuple[Group, ...]
    # Tells this set of gateways from any other.
    digest: int


def arrange(
    process_id: str, zones_by_id: Mapping[str, str], max_mesh: int
) -> Topology | None:
    """Return the groups; None: all gateways tell each other directly."""
    n_gateways = len(zones_by_id)
    if n_gateways <= max_mesh or process_id not in zones_by_id:
        return None
    members_by_zone: dict[str, list[str]] = {}
    for member, zone in zones_by_id.items():
        members_by_zone.setdefault(zone, []).append(member)
    groups = []
    for _, members in sorted(members_by_zone.items()):
        n_groups = max(1, round(len(members) / math.sqrt(n_gateways)))
        groups.extend(_split(members, n_groups))
    own = next(group for group in groups if process_id in group.candidates)
    others = tuple(group for group in groups if group is not own)
    return Topology(own, others, _hash(repr(sorted(zones_by_id.items()))))


def _split(members: list[str], n_groups: int) -> list[Group]:
    # The order by hash, not by name, so that the seats don't all fall to the hosts that
    # were set up first.
    ordered = sorted(members, key=_hash)
    return [Group(tuple(ordered[i::n_groups])) for i in range(n_groups)]


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())
