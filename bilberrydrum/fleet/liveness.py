"""Which upstreams have been silent for too long, as the control leader sees it.

Renewals stay in the leader's memory: written to the log, 870 engines' renewals would be
most of its entries. A new leader starts with everyone heard at the moment it took over.
"""

from collections.abc import Collection, Iterable

import attrs

from bilberrydrum.fleet import model


@attrs.frozen
class Due:
    """Upstreams whose silence has consequences now."""

    silent_ids: tuple[str, ...] = ()
    gone_ids: tuple[str, ...] = ()


@attrs.define
class _Claim:
    """Doubtful announcements of one incarnation, in a row."""

    since: float
    sequence: int


class Liveness:
    """When each upstream was last heard."""

    def __init__(self, silent_seconds: float, gone_seconds: float) -> None:
        self._silent_seconds = silent_seconds
        self._gone_seconds = gone_seconds
        self._heard_at_by_id: dict[str, float] = {}
        self._sequences_by_id: dict[str, int] = {}
        self._claims_by_id: dict[str, _Claim] = {}
        self._since = float("-inf")

    def begin(self, now: float) -> None:
        """Start over: this process has just become the leader."""
        self._since = now
        self._heard_at_by_id.clear()
        self._sequences_by_id.clear()
        self._claims_by_id.clear()

    def heard(self, upstream: model.FleetUpstream, now: float) -> bool:
        """Note an announcement; False if a later one was heard before it."""
        last = self._sequences_by_id.get(upstream.upstream_id, -1)
        if upstream.sequence < last:
            return False
        self._sequences_by_id[upstream.upstream_id] = upstream.sequence
        self._heard_at_by_id[upstream.upstream_id] = now
        return True

    def is_established(
        self, upstream: model.FleetUpstream, holder_ids: Collection[str], now: float
    ) -> bool:
        """Tell whether a doubtful announcement is to be believed; note it.

        A living upstream announces itself again and again. One that crashed is heard
        for as long as its last words are on their way, a few seconds, while the one in
        its place is heard too. So it takes later and later words over the time in
        which silence is noticed, and nothing from those in its place meanwhile.
        """
        heard_at = max(
            (self._heard_at_by_id.get(each, self._since) for each in holder_ids),
            default=float("-inf"),
        )
        claim = self._claims_by_id.get(upstream.upstream_id)
        if claim is None or claim.since <= heard_at:
            claim = _Claim(now, upstream.sequence)
            self._claims_by_id[upstream.upstream_id] = claim
        if upstream.sequence <= claim.sequence:
            return False
        claim.sequence = upstream.sequence
        return now - claim.since >= self._silent_seconds

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
