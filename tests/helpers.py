"""Small tools shared by the tests: free ports and a clock that stands still."""

import contextlib
from collections.abc import Iterator

from eventlet import hubs

from misc import loopback


def free_port() -> int:
    """Return a TCP port of the loopback address that is free now.

    Not one that outgoing connections get: between this and the start of a test's
    process, any connection on the machine could take it.
    """
    return loopback.free_ports(1)[0]


class ManualClock:
    """A clock that moves only when told to."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now

    def advance(self, seconds: float) -> None:
        self.now += seconds


@contextlib.contextmanager
def manual_clock(now: float = 1000.0) -> Iterator[ManualClock]:
    """Replace the hub's clock while the block runs."""
    hub = hubs.get_hub()
    clock = ManualClock(now)
    original, hub.clock = hub.clock, clock
    try:
        yield clock
    finally:
        hub.clock = original
