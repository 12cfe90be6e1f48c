"""Which gateways send to which: a full mesh, or groups with relay nodes.

A few gateways send all messages to each other directly. With n gateways, each would
receive n heartbeats per interval, so above a limit they form about sqrt(n) groups, each
within one availability zone. Two members of each group are its relay nodes. A member
sends to the relay nodes of its group. A relay node sends the state of its own group to
the corresponding relay node of each other group, and the state of all gateways to its
own group. A gateway receives 2 messages per interval, a relay node about 2 sqrt(n).

Each gateway computes the groups by itself from the registered gateways, and the relay
nodes from the gateways that it receives messages from. While two gateways disagree,
messages are sent twice or to a gateway that does not need them, which does no other
harm. The two relay nodes of a group work independently, so that one may crash without a
gap.
"""

import hashlib
import math
from collections.abc import Callable, Mapping

import attrs

# Number of relay nodes of a group.
N_RELAY_NODES = 2


@attrs.frozen
class Group:
    """Gateways of one availability zone, in the order of election as relay nodes."""

    candidates: tuple[str, ...]

    def relay_nodes(self, is_live: Callable[[str], bool]) -> tuple[str, ...]:
        """Return the members that are relay nodes."""
        live = [member for member in self.candidates if is_live(member)]
        return tuple(live[:N_RELAY_NODES])


@attrs.frozen
class Topology:
    """The groups, as seen from one gateway."""

    own: Group
    others: tuple[Group, ...]
    # Hash that identifies this set of gateways.
    digest: int


def build(
    process_id: str, zones_by_id: Mapping[str, str], max_mesh: int
) -> Topology | None:
    """Return the groups, or None if all gateways send to each other directly."""
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
    # Ordered by hash and not by name: otherwise the hosts that were set up first would
    # be the relay nodes of all groups.
    ordered = sorted(members, key=_hash)
    return [Group(tuple(ordered[i::n_groups])) for i in range(n_groups)]


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())
