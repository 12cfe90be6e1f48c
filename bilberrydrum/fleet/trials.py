"""Trials of suspected requests, limited in the complete deployment.

Copies of one request may arrive through several gateways at once. Without a common
limit each gateway would send one copy, and a crash-causing request would crash one
upstream for each gateway. So one copy of a request is tried at a time.

Two requests are never tried at the same upstream at once: its crash would not show
which of them caused it (see `quarantine.CrashHistory.must_run_apart`).
"""

from collections.abc import Iterable, Sequence
from typing import Final

import attrs

# A trial is over after this time without a report, in seconds: the request has been
# answered, has crashed its upstream, or has run for longer than a crash takes.
TRIAL_SECONDS: Final = 5.0


@attrs.frozen
class _Trial:
    until: float
    # Where the request is tried; empty: not known.
    upstream_id: str = ""


class Trials:
    """The trials that the leader has granted."""

    def __init__(self) -> None:
        self._trials_by_fingerprint: dict[str, _Trial] = {}

    def begin(self, fingerprints: Iterable[str], now: float) -> None:
        """Reset the trials when this process has become the leader.

        The previous leader may just have granted a trial of each of `fingerprints`, so
        all of these count as being tried.
        """
        trial = _Trial(now + TRIAL_SECONDS)
        self._trials_by_fingerprint = dict.fromkeys(fingerprints, trial)

    def grant(
        self, fingerprint: str, now: float, upstream_ids: Sequence[str] = ()
    ) -> bool:
        """Return whether a request may be tried now, and record the trial if so.

        Parameters
        ----------
        fingerprint : str
            The request.
        now : float
            Seconds of `clock.now`.
        upstream_ids : sequence of str
            Where its sender can try it, the best one first; empty: not known.
        """
        self._trials_by_fingerprint = {
            each: trial
            for each, trial in self._trials_by_fingerprint.items()
            if trial.until > now
        }
        if fingerprint in self._trials_by_fingerprint:
            return False
        occupied = {each.upstream_id for each in self._trials_by_fingerprint.values()}
        free = [each for each in upstream_ids if each not in occupied]
        if upstream_ids and not free:
            return False
        self._trials_by_fingerprint[fingerprint] = _Trial(
            now + TRIAL_SECONDS, free[0] if free else ""
        )
        return True

    def upstream_of(self, fingerprint: str) -> str:
        """Return where a request is tried; empty if that is not known."""
        trial = self._trials_by_fingerprint.get(fingerprint)
        return trial.upstream_id if trial is not None else ""

    def end(self, fingerprint: str) -> None:
        """Remove a trial whose outcome is known."""
        self._trials_by_fingerprint.pop(fingerprint, None)
