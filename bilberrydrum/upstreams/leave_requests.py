"""Leave requests that are not answered yet, and the gateways that acknowledged them.

The gateway that receives a leave request may crash next, with its messages to the
others unsent. So it answers only after some other gateways have acknowledged the leave,
and these send it to all gateways, too. Gateways in other availability zones are asked
first, since a zone may fail as a whole. The rest are asked if those do not answer soon.
"""

from collections.abc import Mapping
from typing import Final

import attrs

from bilberrydrum.upstreams import records

# Number of other gateways that must acknowledge a leave before it is answered.
N_ACKNOWLEDGEMENTS: Final = 2
# Time after which all other live gateways are asked, and then asked again.
RETRY_SECONDS: Final = 0.3


@attrs.define
class LeaveRequest:
    """One leave request that is not answered yet."""

    record: records.Record
    asked_at: float
    acknowledged_by: set[str] = attrs.field(factory=set)


class LeaveRequests:
    """The leave requests that are not answered yet."""

    def __init__(self) -> None:
        self._requests_by_id: dict[str, LeaveRequest] = {}

    def start(
        self,
        record: records.Record,
        live_peers: list[str],
        zones_by_id: Mapping[str, str],
        own_zone: str,
        now: float,
    ) -> list[str]:
        """Record a leave request and return the gateways to ask for acknowledgement."""
        self._requests_by_id[record.upstream_id] = LeaveRequest(record, now)
        by_zone = sorted(live_peers, key=lambda peer: zones_by_id.get(peer) == own_zone)
        return by_zone[: N_ACKNOWLEDGEMENTS + 1]

    @property
    def has_pending(self) -> bool:
        """Return whether any leave request is not answered yet."""
        return bool(self._requests_by_id)

    def acknowledge(self, upstream_id: str, incarnation: int, sender: str) -> None:
        """Record that `sender` acknowledged a leave."""
        request = self._requests_by_id.get(upstream_id)
        if request is not None and request.record.life == incarnation:
            request.acknowledged_by.add(sender)

    def take_confirmed(self, n_live_peers: int) -> list[records.Record]:
        """Remove and return the leaves that enough gateways have acknowledged.

        Gateways that are silent are not waited for: their copies of this gateway's
        records expire, as do the copies of their records here.
        """
        n_needed = min(N_ACKNOWLEDGEMENTS, n_live_peers)
        known = [
            request.record
            for request in self._requests_by_id.values()
            if len(request.acknowledged_by) >= n_needed
        ]
        for record in known:
            del self._requests_by_id[record.upstream_id]
        return known

    def overdue(self, now: float) -> list[LeaveRequest]:
        """Return the requests for which acknowledgements must be requested again."""
        overdue = []
        for request in self._requests_by_id.values():
            if now - request.asked_at >= RETRY_SECONDS:
                request.asked_at = now
                overdue.append(request)
        return overdue

    def remove(self, upstream_id: str) -> None:
        """Drop a leave request, since the upstream has a new incarnation."""
        self._requests_by_id.pop(upstream_id, None)
