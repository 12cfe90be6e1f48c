"""The process's clock: the eventlet hub's monotonic time.

Tasks read the time here and pass it to the code that decides. A test that replaces the
hub's clock therefore controls the time of all tasks.
"""

import time

import eventlet
from eventlet import hubs


def now() -> float:
    """Return the hub's monotonic time in seconds."""
    return float(hubs.get_hub().clock())


def unix_now() -> float:
    """Return the host's Unix time in seconds; it may jump, and may be wrong."""
    return time.time()


def sleep(seconds: float) -> None:
    """Let other tasks run for at least `seconds`."""
    eventlet.sleep(seconds)
