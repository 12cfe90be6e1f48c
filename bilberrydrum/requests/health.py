"""Outlier ejection: an upstream that fails time after time gets a pause.

After `EJECT_AFTER` failures in a row an upstream is left out for a time that doubles
with each further ejection. When the time is over it gets one call as a probe; the
probe's end decides. A crashed or broken upstream that goes on renewing its lease would
otherwise draw work, because it answers its errors faster than others do the work.
"""

from typing import Final

import attrs

EJECT_AFTER: Final = 5
FIRST_PAUSE_SECONDS: Final = 1.0
LONGEST_PAUSE_SECONDS: Final = 30.0
# A probe that has not come back after this long does not hold up the next one.
PROBE_SECONDS: Final = 10.0


@attrs.define
class _Record:
    n_failures: int = 0
    n_ejections: int = 0
    ejected_until: float = 0.0
    probe_until: float = 0.0


@attrs.define
class Health:
    """What the ends of calls say about each upstream."""

    _records_by_id: dict[str, _Record] = attrs.field(factory=dict)

    def may_use(self, upstream_id: str, now: float) -> bool:
        """Tell whether a call may be sent to the upstream now."""
        record = self._records_by_id.get(upstream_id)
        if record is None or record.n_ejections == 0:
            return True
        return record.ejected_until <= now and record.probe_until <= now

    def started(self, upstream_id: str, now: float) -> None:
        """Note that a call was sent; after an ejection it is the probe."""
        record = self._records_by_id.get(upstream_id)
        if record is not None and record.n_ejections > 0:
            record.probe_until = now + PROBE_SECONDS

    def succeeded(self, upstream_id: str) -> None:
        """Note a whole answer."""
        self._records_by_id.pop(upstream_id, None)

    def failed(self, upstream_id: str, now: float) -> bool:
        """Note a failure; return True if the upstream is ejected by it."""
        record = self._records_by_id.setdefault(upstream_id, _Record())
        record.n_failures += 1
        record.probe_until = 0.0
        if record.n_failures < EJECT_AFTER or record.ejected_until > now:
            return False
        pause = FIRST_PAUSE_SECONDS * 2.0 ** min(record.n_ejections, 10)
        record.ejected_until = now + min(pause, LONGEST_PAUSE_SECONDS)
        record.n_ejections += 1
        return True

    def keep_only(self, upstream_ids: frozenset[str]) -> None:
        """Forget the upstreams that are gone."""
        for upstream_id in self._records_by_id.keys() - upstream_ids:
            del self._records_by_id[upstream_id]
