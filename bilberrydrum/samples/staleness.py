"""How old a sample is, in weight versions, and whether it may still be delivered."""

from collections.abc import Iterable

from bilberrydrum.samples import model


def staleness(newest_version: int, oldest_version: int) -> int:
    """Return the staleness; an engine may run ahead of what was published."""
    return max(0, newest_version - oldest_version)


def is_fit(record: model.Record, newest_version: int, bound: int) -> bool:
    """Tell whether `record` may be delivered while `newest_version` is the newest."""
    return staleness(newest_version, record.oldest_version()) <= bound


def can_still_be_fit(
    segments: Iterable[model.Segment], newest_version: int, bound: int
) -> bool:
    """Tell whether an attempt with these first segments can end as a fit sample.

    The newest version only rises and a segment's version never changes, so an attempt
    that is past the bound stays past it.
    """
    versions = [segment.weight_version for segment in segments]
    return not versions or staleness(newest_version, min(versions)) <= bound
