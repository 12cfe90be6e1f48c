"""Renewals passed on to the upstream's home, until the home has answered."""

from collections.abc import Container
from typing import Final

import attrs

from bilberrydrum.upstreams import events

# Share of the renewals' interval within which a home answers.
ANSWER_SHARE: Final = 0.8


# A home that an upstream has only just moved to keeps it at least this long. On a busy
# host each move makes work for all gateways, which makes the next home answer late.
HOLD_SECONDS: Final = 5.0


@attrs.frozen
class _Home:
    """The home that was last met as silent, and since when it is the home."""

    process_id: str
    since: float


@attrs.define
class Forwarding:
    """Renewals of one upstream that were passed on and not answered."""

    home: str
    # When the first was passed on.
    asked_at: float
    # The last one, and when it was heard.
    renewal: events.Renewed
    heard_at: float


class Forwards:
    """The renewals that are under way."""

    def __init__(self, renew_seconds: float) -> None:
        self._timeout = ANSWER_SHARE * renew_seconds
        self._forwards_by_id: dict[str, Forwarding] = {}
        self._homes_by_id: dict[str, _Home] = {}

    def add(self, renewal: events.Renewed, home: str, now: float) -> None:
        """Note a renewal; it waits as long as the first to the same home."""
        known = self._forwards_by_id.get(renewal.upstream_id)
        asked_at = now if known is None or known.home != home else known.asked_at
        forwarding = Forwarding(home, asked_at, renewal, now)
        self._forwards_by_id[renewal.upstream_id] = forwarding

    def end(self, upstream_id: str) -> Forwarding | None:
        """Forget what is under way for an upstream, and return it."""
        return self._forwards_by_id.pop(upstream_id, None)

    def overdue(self, now: float) -> list[Forwarding]:
        """Return the renewals whose home did not answer in time."""
        return [
            forwarding
            for forwarding in self._forwards_by_id.values()
            if now - forwarding.asked_at >= self._timeout
        ]

    def may_move(self, forwarding: Forwarding, now: float) -> bool:
        """Tell whether the upstream may be moved from its home."""
        upstream_id = forwarding.renewal.upstream_id
        known = self._homes_by_id.get(upstream_id)
        if known is not None and known.process_id == forwarding.home:
            return now - known.since >= HOLD_SECONDS
        since = float("-inf") if known is None else now
        self._homes_by_id[upstream_id] = _Home(forwarding.home, since)
        return known is None

    def keep_only(self, upstream_ids: Container[str]) -> None:
        """Forget the homes of all other upstreams."""
        for upstream_id in list(self._homes_by_id):
            if upstream_id not in upstream_ids:
                del self._homes_by_id[upstream_id]
