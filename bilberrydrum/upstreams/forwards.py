"""Renewals forwarded to the upstream's owner, until the owner has answered."""

from collections.abc import Container
from typing import Final

import attrs

from bilberrydrum.upstreams import events

# Share of the renewal interval within which an owner must answer.
TIMEOUT_SHARE: Final = 0.8


# Minimum time that an owner keeps an upstream which has just moved to it. On a busy
# host each move makes work for all gateways, which makes the next owner answer late.
MIN_OWNERSHIP_SECONDS: Final = 5.0


@attrs.frozen
class _Owner:
    """The owner that last left a renewal unanswered, and since when it is the owner."""

    process_id: str
    since: float


@attrs.define
class Forwarding:
    """Renewals of one upstream that were forwarded and not answered."""

    owner: str
    # When the first of them was forwarded.
    forwarded_at: float
    # The last of them, and when it was received.
    renewal: events.Renewed
    received_at: float


class Forwards:
    """Forwarded renewals that are not answered yet."""

    def __init__(self, renew_seconds: float) -> None:
        self._timeout = TIMEOUT_SHARE * renew_seconds
        self._forwards_by_id: dict[str, Forwarding] = {}
        self._owners_by_id: dict[str, _Owner] = {}

    def add(self, renewal: events.Renewed, owner: str, now: float) -> None:
        """Record a renewal; its timeout counts from the first one to the same owner."""
        known = self._forwards_by_id.get(renewal.upstream_id)
        forwarded_at = (
            now if known is None or known.owner != owner else known.forwarded_at
        )
        forwarding = Forwarding(owner, forwarded_at, renewal, now)
        self._forwards_by_id[renewal.upstream_id] = forwarding

    def remove(self, upstream_id: str) -> Forwarding | None:
        """Remove the unanswered renewals of an upstream and return them."""
        return self._forwards_by_id.pop(upstream_id, None)

    def overdue(self, now: float) -> list[Forwarding]:
        """Return the renewals whose owner did not answer in time."""
        return [
            forwarding
            for forwarding in self._forwards_by_id.values()
            if now - forwarding.forwarded_at >= self._timeout
        ]

    def may_move(self, forwarding: Forwarding, now: float) -> bool:
        """Return whether the upstream may be taken over from its owner."""
        upstream_id = forwarding.renewal.upstream_id
        known = self._owners_by_id.get(upstream_id)
        if known is not None and known.process_id == forwarding.owner:
            return now - known.since >= MIN_OWNERSHIP_SECONDS
        since = float("-inf") if known is None else now
        self._owners_by_id[upstream_id] = _Owner(forwarding.owner, since)
        return known is None

    def keep_only(self, upstream_ids: Container[str]) -> None:
        """Drop the owners recorded for all other upstreams."""
        for upstream_id in list(self._owners_by_id):
            if upstream_id not in upstream_ids:
                del self._owners_by_id[upstream_id]
