"""Counts of begun requests, and the message in which gateways send them."""

import math

import attrs

from bilberrydrum import codec


@attrs.frozen
class UsageOptions:
    """How usage is reported; times are in seconds."""

    # Length of a window. Window k begins k times this length after the Unix epoch.
    window_seconds: float
    # A window's report is due this long after the window's end.
    due_seconds: float
    # Address to which reports are sent, ``IP:port``.
    address: str


def window_at(unix_time: float, window_seconds: float) -> int:
    """Return the number of the window that contains `unix_time`, in seconds."""
    return math.floor(unix_time / window_seconds)


@codec.register("usage.window-counts")
@attrs.frozen
class WindowCounts:
    """Numbers of requests that began in one window."""

    window: int
    n_by_account: dict[str, int]


@codec.register("usage.telling")
@attrs.frozen
class CountsSnapshot:
    """All counts of one gateway for the windows that are not closed.

    Each snapshot is complete, so it does no harm if one is lost, duplicated or received
    by another leader.
    """

    # Identifies one start of the process.
    incarnation: str
    # A snapshot with a higher number is newer.
    sequence: int
    # No request that is in flight at this gateway began before this window.
    complete_before: int
    counts: tuple[WindowCounts, ...] = ()
    # Whether the gateway is stopping, so that no more requests will begin.
    is_last: bool = False
