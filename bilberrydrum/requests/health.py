"""Outlier ejection: stop sending calls to an upstream that fails repeatedly.

After `EJECT_AFTER_FAILURES` consecutive failures an upstream is ejected for a time that
doubles with each further ejection. After that time it gets one call as a probe. A
success resets its record; a failure ejects it again. Without this, a broken upstream
that still renews its lease would attract calls: it answers them with errors faster than
others complete theirs, and so has free capacity more often.
"""

from typing import Final

import attrs

EJECT_AFTER_FAILURES: Final = 5
FIRST_EJECTION_SECONDS: Final = 1.0
MAX_EJECTION_SECONDS: Final = 30.0
# Time after which the next probe may be sent although the last one has no result yet.
PROBE_SECONDS: Final = 10.0


@attrs.define
class _Record:
    n_failures: int = 0
    n_ejections: int = 0
    ejected_until: float = 0.0
    probe_until: float = 0.0


@attrs.define
class Health:
    """The failure record of each upstream, kept by one gateway."""

    _records_by_id: dict[str, _Record] = attrs.field(factory=dict)

    def may_use(self, upstream_id: str, now: float) -> bool:
        """Return whether a call may be sent to the upstream now."""
        record = self._records_by_id.get(upstream_id)
        if record is None or record.n_ejections == 0:
            return True
        return record.ejected_until <= now and record.probe_until <= now

    def record_start(self, upstream_id: str, now: float) -> None:
        """Record that a call was sent; after an ejection it is the probe."""
        record = self._records_by_id.get(upstream_id)
        if record is not None and record.n_ejections > 0:
            record.probe_until = now + PROBE_SECONDS

    def record_success(self, upstream_id: str) -> None:
        """Record a complete answer."""
        self._records_by_id.pop(upstream_id, None)

    def record_failure(self, upstream_id: str, now: float) -> bool:
        """Record a failure; return whether the upstream is ejected because of it."""
        record = self._records_by_id.setdefault(upstream_id, _Record())
        record.n_failures += 1
        record.probe_until = 0.0
        if record.n_failures < EJECT_AFTER_FAILURES or record.ejected_until > now:
            return False
        seconds = FIRST_EJECTION_SECONDS * 2.0 ** min(record.n_ejections, 10)
        record.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        record.n_ejections += 1
        return True

    def keep_only(self, upstream_ids: frozenset[str]) -> None:
        """Remove the records of all other upstreams."""
        for upstream_id in self._records_by_id.keys() - upstream_ids:
            del self._records_by_id[upstream_id]
