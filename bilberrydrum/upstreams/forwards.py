"""Renewals passed on to the upstream's home, until the home has answered."""

from typing import Final

import attrs

from bilberrydrum.upstreams import events

# Share of the renewals' interval within which a home answers.
ANSWER_SHARE: Final = 0.8


@attrs.frozen
class Forwarding:
    """A renewal that was passed on."""

    renewal: events.Renewed
    home: str
    heard_at: float


class Forwards:
    """The renewals that are under way."""

    def __init__(self, renew_seconds: float) -> None:
        self._timeout = ANSWER_SHARE * renew_seconds
        self._forwards_by_id: dict[str, Forwarding] = {}

    def add(self, renewal: events.Renewed, home: str, now: float) -> None:
        """Note a renewal; an older one to the same home keeps its time."""
        known = self._forwards_by_id.get(renewal.upstream_id)
        if known is None or known.home != home:
            forwarding = Forwarding(renewal, home, now)
            self._forwards_by_id[renewal.upstream_id] = forwarding

    def end(self, upstream_id: str) -> Forwarding | None:
        """Forget what is under way for an upstream, and return it."""
        return self._forwards_by_id.pop(upstream_id, None)

    def take_overdue(self, now: float) -> list[Forwarding]:
        """Return the renewals whose home did not answer in time, and forget them."""
        overdue = [
            forwarding
            for forwarding in self._forwards_by_id.values()
            if now - forwarding.heard_at >= self._timeout
        ]
        for forwarding in overdue:
            del self._forwards_by_id[forwarding.renewal.upstream_id]
        return overdue
