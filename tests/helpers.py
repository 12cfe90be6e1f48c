"""Small tools shared by the tests: free ports, a manual clock and ordered tasks."""

import contextlib
import itertools
from collections.abc import Iterator
from typing import Any
from unittest import mock

from eventlet import event, hubs
from eventlet.hubs import poll
from eventlet.hubs import timer as hub_timer

from misc import loopback


def free_port() -> int:
    """Return a TCP port that is currently free on the loopback address.

    It is outside the range for outgoing connections, any of which could otherwise take
    the port before the test's process listens on it.
    """
    return loopback.free_ports(1)[0]


class ManualClock:
    """A clock that moves only by `advance`."""

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


class _OrderedSet(dict[Any, None]):
    """A set that keeps insertion order, with the methods that eventlet uses."""

    def add(self, each: Any) -> None:
        self[each] = None

    def discard(self, each: Any) -> None:
        self.pop(each, None)


@contextlib.contextmanager
def tasks_in_order() -> Iterator[None]:
    """Run tasks that are due at the same moment in the order of their timers' creation.

    The hub would order such tasks, the waiters of an event and the ready sockets by
    their addresses in memory, which differ in each process. With a manual clock, nearly
    all tasks are due at the same moment.
    """
    hub = hubs.get_hub()
    numbers = itertools.count()
    add = hub.add_timer

    def add_numbered(timer: Any) -> Any:
        timer.number = next(numbers)
        return add(timer)

    def is_before(timer: Any, other: Any) -> bool:
        return getattr(timer, "number", -1) < getattr(other, "number", -1)

    with (
        mock.patch.object(hub, "add_timer", add_numbered),
        mock.patch.object(hub_timer.Timer, "__lt__", is_before),
        mock.patch.object(event, "set", _OrderedSet, create=True),
        mock.patch.object(poll, "set", _OrderedSet, create=True),
    ):
        yield
