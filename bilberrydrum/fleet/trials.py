"""Trials of suspected requests, limited to one at a time in the complete deployment.

Copies of one request may arrive through several gateways at once. Without a common
limit each gateway would send one copy, and a crash-causing request would crash one
upstream for each gateway.
"""

from collections.abc import Iterable
from typing import Final

# A trial is over after this time without a report, in seconds: the request has been
# answered, has crashed its upstream, or has run for longer than a crash takes.
TRIAL_SECONDS: Final = 5.0


class Trials:
    """The trials that the leader has granted."""

    def __init__(self) -> None:
        self._until_by_fingerprint: dict[str, float] = {}

    def begin(self, fingerprints: Iterable[str], now: float) -> None:
        """Reset the trials when this process has become the leader.

        The previous leader may just have granted a trial of each of `fingerprints`, so
        all of these count as being tried.
        """
        until = now + TRIAL_SECONDS
        self._until_by_fingerprint = dict.fromkeys(fingerprints, until)

    def grant(self, fingerprint: str, now: float) -> bool:
        """Return whether a request may be tried now, and record the trial if so."""
        self._until_by_fingerprint = {
            each: until
            for each, until in self._until_by_fingerprint.items()
            if until > now
        }
        if fingerprint in self._until_by_fingerprint:
            return False
        self._until_by_fingerprint[fingerprint] = now + TRIAL_SECONDS
        return True

    def end(self, fingerprint: str) -> None:
        """Remove a trial whose outcome is known."""
        self._until_by_fingerprint.pop(fingerprint, None)
