"""Upstreams that crash when they begin to run a marked request, and restart.

Each incarnation has a new name and the address of the one before, like a process that
its host restarts. Requests whose body is `MARK` crash the upstream `RUN_SECONDS` after
it has begun to run them; all concurrent requests are cut off.
"""

import collections
import math
from collections.abc import Callable
from typing import Any

import attrs
import eventlet

from bilberrydrum import clock
from bilberrydrum.fleet import model
from tests.fakes import scripted

MARK = b"ends whatever runs it"
# Time from the start of a marked run to the crash, in seconds.
RUN_SECONDS = 0.03
# Time from a crash to the restart, in seconds.
DOWN_SECONDS = 0.4


@attrs.frozen
class Reached:
    """A marked request that has reached an upstream."""

    at: float
    request_id: str
    upstream_id: str


class CrashingUpstreams:
    """Several upstreams of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    n_upstreams : int
        How many there are.
    announce : callable
        Announces an upstream to the control group.
    answer : callable
        Answers a request on its socket; called for requests that are not marked.
    versions_by_model : dict
        Weight versions that the upstreams announce.
    """

    def __init__(
        self,
        service: str,
        n_upstreams: int,
        announce: Callable[[model.FleetUpstream], None],
        answer: scripted.Script,
        versions_by_model: dict[str, int] | None = None,
    ) -> None:
        self._service = service
        self._announce = announce
        self._answer = answer
        self._versions_by_model = versions_by_model or {}
        self._servers_by_index: dict[int, scripted.Scripted] = {}
        self._n_running_by_index: collections.Counter[int] = collections.Counter()
        self._n_starts = 0
        self.ids_by_index: dict[int, str] = {}
        # Crashes after which marked requests are answered like all others, as if the
        # crashes had other causes.
        self.n_until_calm = math.inf
        # Marked requests that reached an upstream, and times of crashes, in order.
        self.reached: list[Reached] = []
        self.ended_at: list[float] = []
        self._tasks: list[Any] = []
        for index in range(1, n_upstreams + 1):
            self._start(index, 0)

    def stop(self) -> None:
        """Stop all upstreams without a restart."""
        for task in self._tasks:
            task.kill()
        for server in self._servers_by_index.values():
            server.stop()

    def n_up(self) -> int:
        """Return how many upstreams are running."""
        return len(self._servers_by_index)

    def n_reached_after(self, seconds: float, n_crashed: int = 3) -> int:
        """Return how many attempts reached an upstream late.

        These are the attempts with a marked request, more than `seconds` after the
        `n_crashed`-th crash. One that reaches several upstreams counts once.
        """
        if len(self.ended_at) < n_crashed:
            return 0
        since = self.ended_at[n_crashed - 1] + seconds
        return len({each.request_id for each in self.reached if each.at > since})

    def busy_index(self) -> int | None:
        """Return the index, from 1, of an upstream that runs an unmarked request."""
        return next((p for p, n in self._n_running_by_index.items() if n), None)

    def crash(self, index: int) -> None:
        """Crash an upstream for an unrelated reason."""
        self._crash(index, self.ids_by_index[index])

    def _start(self, index: int, port: int) -> None:
        self._n_starts += 1
        upstream_id = f"{self._service}-{self._n_starts}"

        def run(connection: Any, received: scripted.Received) -> Any:
            is_calm = len(self.ended_at) >= self.n_until_calm
            if received.body != MARK or is_calm:
                return self._run(index, connection, received)
            self.reached.append(Reached(clock.now(), received.request_id, upstream_id))
            eventlet.sleep(RUN_SECONDS)
            eventlet.spawn_n(self._crash, index, upstream_id)
            # The connection ends with the process.
            eventlet.sleep(10.0)
            return False

        server = scripted.Scripted(run, port)
        self._servers_by_index[index] = server
        self.ids_by_index[index] = upstream_id
        upstream = model.FleetUpstream(
            upstream_id,
            self._service,
            server.address,
            "zone",
            4,
            versions_by_model=self._versions_by_model,
            sequence=1,
        )
        self._announce(upstream)

    def _run(self, index: int, connection: Any, received: scripted.Received) -> Any:
        self._n_running_by_index[index] += 1
        try:
            return self._answer(connection, received)
        finally:
            self._n_running_by_index[index] -= 1

    def _crash(self, index: int, upstream_id: str) -> None:
        if self.ids_by_index[index] != upstream_id:
            return
        server = self._servers_by_index.pop(index, None)
        if server is None:
            return
        self.ended_at.append(clock.now())
        server.stop()
        port = int(server.address.rpartition(":")[2])
        again = eventlet.spawn_after(DOWN_SECONDS, self._start, index, port)
        self._tasks.append(again)
