"""Failure detection for upstreams by their announcements, in the control leader.

The times of announcements are kept in the leader's memory only: written to the log, the
announcements of 870 engines would be most of its entries. A new leader treats all
upstreams as if they had announced themselves when its term began.
"""

from collections.abc import Collection, Iterable

import attrs

from bilberrydrum.fleet import model


@attrs.frozen
class Due:
    """Upstreams to be marked as silent, and upstreams to be removed."""

    silent_ids: tuple[str, ...] = ()
    gone_ids: tuple[str, ...] = ()


@attrs.define
class _Candidate:
    """Consecutive unconfirmed announcements of one incarnation."""

    # When the first of them arrived, in seconds.
    since: float
    # The highest sequence number among them.
    sequence: int


class Liveness:
    """Keeps the time of the last announcement of each upstream."""

    def __init__(self, silent_seconds: float, removal_seconds: float) -> None:
        self._silent_seconds = silent_seconds
        self._removal_seconds = removal_seconds
        self._announced_at_by_id: dict[str, float] = {}
        self._sequences_by_id: dict[str, int] = {}
        self._candidates_by_id: dict[str, _Candidate] = {}
        self._since = float("-inf")

    def reset(self, now: float) -> None:
        """Forget all announcements, as this process has just become the leader."""
        self._since = now
        self._announced_at_by_id.clear()
        self._sequences_by_id.clear()
        self._candidates_by_id.clear()

    def record_announcement(self, upstream: model.FleetUpstream, now: float) -> bool:
        """Record an announcement; return False if a later one arrived before it."""
        last = self._sequences_by_id.get(upstream.upstream_id, -1)
        if upstream.sequence < last:
            return False
        self._sequences_by_id[upstream.upstream_id] = upstream.sequence
        self._announced_at_by_id[upstream.upstream_id] = now
        return True

    def is_established(
        self, upstream: model.FleetUpstream, replaced_ids: Collection[str], now: float
    ) -> bool:
        """Record an unconfirmed announcement; return whether it is now confirmed.

        A running upstream announces itself periodically. The last announcements of a
        crashed one arrive for a few seconds at most, while its replacement announces
        itself too. So an incarnation is confirmed once its announcements have arrived
        with rising sequence numbers for the time after which an upstream is marked
        silent, and none has arrived from `replaced_ids` meanwhile.
        """
        announced_at = max(
            (self._announced_at_by_id.get(each, self._since) for each in replaced_ids),
            default=float("-inf"),
        )
        candidate = self._candidates_by_id.get(upstream.upstream_id)
        if candidate is None or candidate.since <= announced_at:
            candidate = _Candidate(now, upstream.sequence)
            self._candidates_by_id[upstream.upstream_id] = candidate
        if upstream.sequence <= candidate.sequence:
            return False
        candidate.sequence = upstream.sequence
        return now - candidate.since >= self._silent_seconds

    def due(self, now: float, upstreams: Iterable[model.FleetUpstream]) -> Due:
        """Return the upstreams to be marked as silent, and those to be removed."""
        silent, gone = [], []
        for upstream in upstreams:
            announced_at = self._announced_at_by_id.get(
                upstream.upstream_id, self._since
            )
            if now - announced_at > self._removal_seconds:
                gone.append(upstream.upstream_id)
            elif now - announced_at > self._silent_seconds and not upstream.is_silent:
                silent.append(upstream.upstream_id)
        return Due(tuple(silent), tuple(gone))
