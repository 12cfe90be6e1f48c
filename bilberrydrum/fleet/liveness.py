"""Which upstreams have been silent for too long, as the control leader sees it.

Renewals stay in the leader's memory: written to the log, 870 engines' renewals would be
most of its entries. A new leader starts with everyone heard at the moment it took over.
"""

from collections.abc import Iterable

import attrs

from bilberrydrum.fleet import model


@attrs.frozen
class Due:
    """Upstreams whose silence has consequences now."""

    silent_ids: tuple[str, ...] = ()
    gone_ids: tuple[str, ...] = ()


class Liveness:
    """When each upstream was last heard."""

    def __init__(self, silent_seconds: float, gone_seconds: float) -> None:
        self._silent_seconds = silent_seconds
        self._gone_seconds = gone_seconds
        self._heard_at_by_id: dict[str, float] = {}
        self._sequences_by_id: dict[str, int] = {}
        self._since = float("-inf")

    def begin(self, now: float) -> None:
        """Start over: this process has just become the leader."""
        self._since = now
        self._heard_at_by_id.clear()
        self._sequences_by_id.clear()

    def heard(self, upstream: model.FleetUpstream, now: float) -> bool:
        """Note an announcement; False if a later one was heard before it."""
        last = self._sequences_by_id.get(upstream.upstream_id, -1)
        if upstream.sequence < last:
            return False
        self._sequences_by_id[upstream.upstream_id] = upstream.sequence
        self._heard_at_by_id[upstream.upstream_id] = now
        return True

    def due(self, now: float, upstreams: Iterable[model.FleetUpstream]) -> Due:
        """Return the upstreams to be marked silent, and those to be removed."""
        silent, gone = [], []
        for upstream in upstreams:
            heard_at = self._heard_at_by_id.get(upstream.upstream_id, self._since)
            if now - heard_at > self._gone_seconds:
                gone.append(upstream.upstream_id)
            elif now - heard_at > self._silent_seconds and not upstream.is_silent:
                silent.append(upstream.upstream_id)
        return Due(tuple(silent), tuple(gone))
