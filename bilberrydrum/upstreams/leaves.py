"""Leaves that are not answered yet: which other gateways know of each.

The gateway that hears a leave may die next, with its messages to the others unsent. So
it answers only once some others know, and these tell everyone, too. Witnesses in other
availability zones are asked first, since a zone may fail as a whole. The rest is asked
when they do not answer soon.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from bilberrydrum.upstreams import records

# Gateways, beside the one that hears it, that must know of a leave.
N_WITNESSES: Final = 2
# Further witnesses are asked after this.
ASK_AGAIN_SECONDS: Final = 0.3


@attrs.define
class Leave:
    """One leave that is not answered yet."""

    record: records.Record
    asked_at: float
    witnesses: set[str] = attrs.field(factory=set)


class Leaves:
    """The leaves that are not answered yet."""

    def __init__(self) -> None:
        self._leaves_by_id: dict[str, Leave] = {}

    def start(
        self,
        record: records.Record,
        live_peers: list[str],
        zones_by_id: Mapping[str, str],
        own_zone: str,
        now: float,
    ) -> list[str]:
        """Note a leave and return the gateways to ask."""
        self._leaves_by_id[record.upstream_id] = Leave(record, now)
        by_zone = sorted(live_peers, key=lambda peer: zones_by_id.get(peer) == own_zone)
        return by_zone[: N_WITNESSES + 1]

    @property
    def are_open(self) -> bool:
        """Tell whether any leave waits for its answer."""
        return bool(self._leaves_by_id)

    def hear(self, upstream_id: str, life: int, witness: str) -> None:
        """Note that `witness` knows."""
        leave = self._leaves_by_id.get(upstream_id)
        if leave is not None and leave.record.life == life:
            leave.witnesses.add(witness)

    def take_known(self, n_live_peers: int) -> list[records.Record]:
        """Return the leaves that enough gateways know, and forget them.

        Gateways that are themselves silent are not waited for: what they believe of
        this gateway's upstreams runs out, as does what it believes of theirs.
        """
        n_needed = min(N_WITNESSES, n_live_peers)
        known = [
            leave.record
            for leave in self._leaves_by_id.values()
            if len(leave.witnesses) >= n_needed
        ]
        for record in known:
            del self._leaves_by_id[record.upstream_id]
        return known

    def overdue(self, now: float) -> list[Leave]:
        """Return the leaves whose witnesses are to be asked again."""
        overdue = []
        for leave in self._leaves_by_id.values():
            if now - leave.asked_at >= ASK_AGAIN_SECONDS:
                leave.asked_at = now
                overdue.append(leave)
        return overdue

    def end(self, upstream_id: str) -> None:
        """Forget a leave: the upstream has a new life."""
        self._leaves_by_id.pop(upstream_id, None)
