"""Notice that the client of a call is gone while its task waits for an upstream.

A task waits for one socket at a time, so while it waits for the upstream it does not
see its client hang up. One task here looks at the clients of all calls that wait, and
ends the wait of those whose client is gone. Without it an engine would go on generating
for callers that gave up and came back, which under overload is most of its work.
"""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any, Final

import attrs
import eventlet
import eventlet.event
import eventlet.greenthread

from bilberrydrum import clock

CHECK_SECONDS: Final = 0.25
# Clients looked at before other tasks get their turn.
_PER_TURN: Final = 64


class ClientGoneError(Exception):
    """The client has hung up; raised in the task that waits for its answer."""


@attrs.frozen(eq=False)
class _Waiting:
    task: Any
    is_client_gone: Callable[[], bool]


class Watch:
    """The calls that wait for an upstream."""

    def __init__(self) -> None:
        self._waiting: dict[_Waiting, None] = {}
        # Sent when a call begins to wait while none did.
        self._begun = eventlet.event.Event()
        self._task: Any = None

    def start(self) -> None:
        """Start looking."""
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop looking."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    @contextlib.contextmanager
    def watching(self, is_client_gone: Callable[[], bool]) -> Iterator[None]:
        """End the block with `ClientGoneError` when the client is seen to be gone.

        The block must only wait for the upstream: an error raised in the middle of
        anything else would leave it half done.
        """
        waiting = _Waiting(eventlet.getcurrent(), is_client_gone)
        self._waiting[waiting] = None
        if not self._begun.ready():
            self._begun.send(None)
        try:
            yield
        finally:
            del self._waiting[waiting]

    def look(self) -> None:
        """Look at every client once."""
        for n_seen, waiting in enumerate(list(self._waiting)):
            if n_seen % _PER_TURN == _PER_TURN - 1:
                eventlet.sleep(0)
            if waiting in self._waiting and waiting.is_client_gone():
                eventlet.greenthread.kill(waiting.task, ClientGoneError())

    def _run(self) -> None:
        while True:
            self._begun.wait()
            clock.sleep(CHECK_SECONDS)
            self.look()
            if not self._waiting:
                # An idle gateway has nothing to wake up for.
                self._begun = eventlet.event.Event()
