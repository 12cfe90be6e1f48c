"""Detect that the client of a call is gone while its task waits for an upstream.

A task waits for one socket at a time, so a task that waits for an upstream does not
notice that its client closes the connection. One task here checks the clients of all
waiting calls, and interrupts the calls whose client is gone. Without these checks, an
engine would continue to generate for callers that gave up and sent a retry. Under
overload that is most of its work.
"""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs
import eventlet
import eventlet.event
import eventlet.greenthread

from bilberrydrum import clock, tasks

# Time between checks of the clients, in seconds.
CHECK_SECONDS: Final = 0.25
# Number of clients checked before the checking task yields to other tasks.
_CHECKS_PER_YIELD: Final = 64
_TASK: Final = "client-watch"


class ClientGoneError(Exception):
    """The client is gone; raised in the task that waits for the client's answer."""


@attrs.frozen(eq=False)
class _Waiting:
    task: Any
    is_client_gone: Callable[[], bool]


class ClientWatch:
    """Checks the clients of the calls that wait for an upstream."""

    def __init__(self) -> None:
        self._waiting: dict[_Waiting, None] = {}
        # Sent when a call begins to wait and no other call was waiting.
        self._became_busy = eventlet.event.Event()
        self._task: Any = None

    def start(self) -> None:
        """Start the periodic checks."""
        self._task = eventlet.spawn(tasks.run_forever, _TASK, self._check_waiting)

    def stop(self) -> None:
        """Stop the periodic checks."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    @contextlib.contextmanager
    def ending_with_client(self, is_client_gone: Callable[[], bool]) -> Iterator[None]:
        """Raise `ClientGoneError` in the block when the client is found to be gone.

        The block must only wait for the upstream. The error may be raised anywhere in
        it, and would leave any other operation half done.
        """
        waiting = _Waiting(eventlet.getcurrent(), is_client_gone)
        self._waiting[waiting] = None
        if not self._became_busy.ready():
            self._became_busy.send(None)
        try:
            yield
        finally:
            del self._waiting[waiting]

    @property
    def n_waiting(self) -> int:
        """Number of calls that wait for an upstream."""
        return len(self._waiting)

    def check_all(self) -> None:
        """Check every client once."""
        for n_seen, waiting in enumerate(list(self._waiting)):
            if n_seen % _CHECKS_PER_YIELD == _CHECKS_PER_YIELD - 1:
                eventlet.sleep(0)
            if waiting in self._waiting:
                # One client that cannot be checked must not keep the others from it.
                with tasks.errors_recorded(_TASK):
                    self._check(waiting)

    @staticmethod
    def _check(waiting: _Waiting) -> None:
        if waiting.is_client_gone():
            eventlet.greenthread.kill(waiting.task, ClientGoneError())

    def _check_waiting(self) -> None:
        self._became_busy.wait()
        clock.sleep(CHECK_SECONDS)
        self.check_all()
        if not self._waiting:
            # Sleep until a call waits: an idle gateway has nothing to do.
            self._became_busy = eventlet.event.Event()
