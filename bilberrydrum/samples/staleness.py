"""Staleness of samples in weight versions, and the check against the bound."""

from collections.abc import Iterable

from bilberrydrum.samples import model


def staleness(newest_version: int, oldest_version: int) -> int:
    """Return the staleness in versions, at least 0.

    An engine may generate with a version that has not been published yet.
    """
    return max(0, newest_version - oldest_version)


def is_within_bound(record: model.Record, newest_version: int, bound: int) -> bool:
    """Return whether `record` may be delivered while `newest_version` is the newest."""
    return staleness(newest_version, record.oldest_version()) <= bound


def can_be_within_bound(
    segments: Iterable[model.Segment], newest_version: int, bound: int
) -> bool:
    """Return whether an attempt with these segments so far can be within the bound.

    The newest version only rises and a segment's version never changes, so an attempt
    that exceeds the bound will always exceed it.
    """
    versions = [segment.weight_version for segment in segments]
    return not versions or staleness(newest_version, min(versions)) <= bound
