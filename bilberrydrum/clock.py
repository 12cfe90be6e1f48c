"""The runtime's clock: the eventlet hub's monotonic time.

Every task reads time here and passes it to the decision it drives, so that a test
which replaces the hub's clock pauses and advances all of them.
"""

import time

import eventlet
from eventlet import hubs


def now() -> float:
    """Return the hub's monotonic time in seconds."""
    return float(hubs.get_hub().clock())


def unix_now() -> float:
    """Return this host's time of day, in seconds; it may jump, and may be wrong."""
    return time.time()


def sleep(seconds: float) -> None:
    """Let other tasks run for at least `seconds`."""
    eventlet.sleep(seconds)
