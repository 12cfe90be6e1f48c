"""Counts of begun requests, and how gateways tell them."""

import math

import attrs

from bilberrydrum import codec


@attrs.frozen
class UsageOptions:
    """How use is reported; times are in seconds."""

    # Length of a window. Window k begins k times this after the start of 1970.
    window_seconds: float
    # A window's report is due this long after the window's end.
    due_seconds: float
    # Where reports are sent, ``IP:port``.
    address: str


def window_at(unix_time: float, window_seconds: float) -> int:
    """Return the number of the window that `unix_time`, in seconds, lies in."""
    return math.floor(unix_time / window_seconds)


@codec.register("usage.window-counts")
@attrs.frozen
class WindowCounts:
    """Requests that began in one window."""

    window: int
    n_by_account: dict[str, int]


@codec.register("usage.telling")
@attrs.frozen
class Telling:
    """All that one gateway has counted of the windows that are not closed.

    Whole each time: a telling that is lost, doubled, or heard by another leader leaves
    nothing to be added up.
    """

    # Unlike that of any other start of the process.
    incarnation: str
    # A higher one is newer.
    sequence: int
    # No request that is under way here began before this window.
    complete_before: int
    counts: tuple[WindowCounts, ...] = ()
    # The gateway stops: nothing more will begin.
    is_last: bool = False
