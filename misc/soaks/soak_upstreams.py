"""Stand-in upstreams of the soak: engines that generate texts, and a plain service.

They record in the ledger each request that they receive or run, and each event that
they make.
"""

import random
import time
from typing import Any, Final

import eventlet
from bilberrydrum_platform import standin_accounts, standins

from bilberrydrum import clock
from misc.soaks import soak_ledger, soak_links, soak_runs, soak_streams
from tests.fakes import scripted

CAPACITY: Final = 6
LOAD_SECONDS: Final = 0.25
ANNOUNCE_SECONDS: Final = 0.5
SLOW_FACTOR: Final = 6.0
# Time until an upstream that a request has crashed is restarted.
DOWN_SECONDS: Final = 1.0
# Share of the scoring requests that the service answers with status 500.
FAILED_SCORING_SHARE: Final = 0.1
# Share of the announcements that are followed by an invalid one, as from an unrelated
# program.
INVALID_SHARE: Final = 0.2
# Every third upstream takes this many times as long as the others.
CONSTANT_SLOW_FACTOR: Final = 2.0
# Share of the answers sent while the upstream's host is busy, and how long work takes
# then, in percent.
BUSY_SHARE: Final = 0.15
BUSY_PERCENT: Final = 250
# Share of the answers with an invalid load header, and its values.
INVALID_LOAD_SHARE: Final = 0.05
INVALID_LOADS: Final = ("1,0,6,0", "1,0", "a,b,c,d", "1,0,6,-5", "1,0,6,100,1")
_MODEL: Final = "m"


class Upstream:
    """An upstream at one link address; each start begins a new incarnation."""

    def __init__(
        self,
        name: str,
        service: str,
        link_ip: str,
        ledger: soak_ledger.Ledger,
        announce: Any,
    ) -> None:
        self.name = name
        self.link = None
        self._service = service
        self._link_ip = link_ip
        self._ledger = ledger
        # Sends a call to some control process; returns whether it was acknowledged.
        self._announce = announce
        self._n_incarnations = 0
        self._server: scripted.Scripted | None = None
        self._tasks: list[Any] = []
        self.slow_factor = 1.0
        self.version = 1
        self._is_stopped = False
        # Every second upstream announces the same id after each start, with its start
        # time. The others announce a new id for each incarnation, and no start time.
        number = int(name.rpartition("-")[2])
        self._keeps_name = number % 2 == 0
        self._constant_factor = CONSTANT_SLOW_FACTOR if number % 3 == 0 else 1.0
        # Of its own, so that a seed still draws the same faults.
        self._load_rng = random.Random(name)
        self._started_at_ms: int | None = None

    @property
    def upstream_id(self) -> str:
        """The id of the incarnation in the ledger."""
        return f"{self.name}-{self._n_incarnations}"

    @property
    def announced_id(self) -> str:
        """The id that the upstream announces."""
        return self.name if self._keeps_name else self.upstream_id

    def start(self) -> None:
        """Start a new incarnation."""
        self._n_incarnations += 1
        if self._keeps_name:
            self._started_at_ms = int(time.time() * 1000)
        self.slow_factor = 1.0
        self._n_running = 0
        self._n_orders = 0
        self._is_busy = False
        self._highest_number = 0
        self._is_leaving = False
        self._sequence = 0
        self._server = scripted.Scripted(self._serve, kind="engine")
        host, _, port = self._server.address.rpartition(":")
        if self.link is None:
            self.link = soak_links.Link((self._link_ip, 0), (host, int(port)))
        else:
            self.link.retarget((host, int(port)))
        self._tasks = [eventlet.spawn(self._announce_repeatedly)]

    def crash(self) -> None:
        """Stop without announcing it."""
        for task in self._tasks:
            task.kill()
        self._tasks = []
        if self._server is not None:
            self._server.stop()
            self._server = None
        if self.link is not None:
            self.link.close()

    def crash_for(self, seconds: float) -> None:
        """Stop without announcing it, and restart after `seconds`."""
        self.crash()
        eventlet.spawn_after(seconds, self._restart)

    def _restart(self) -> None:
        if not self.is_up and not self._is_stopped:
            self.start()

    def stop(self) -> None:
        """Stop and do not restart."""
        self._is_stopped = True
        self.crash()

    def leave(self) -> None:
        """Announce the departure from the next announcement on; continue to serve."""
        self._is_leaving = True

    @property
    def is_up(self) -> bool:
        """Whether the upstream serves."""
        return self._server is not None

    # Announcements

    def _announce_repeatedly(self) -> None:
        while True:
            self._sequence += 1
            versions = {_MODEL: self.version} if self._generates else {}
            assert self.link is not None
            announcement = standins.Announcement(
                self.announced_id,
                self._service,
                self.link.address,
                "zone",
                CAPACITY,
                self._sequence,
                self._is_leaving,
                versions,
                self._started_at_ms,
            )
            is_leaving = self._is_leaving
            if self._announce(standins.announce(announcement)) and is_leaving:
                self._ledger.record_departure(self.upstream_id, clock.now())
            # An unknown service can be rejected only once a policy lists the services.
            if self._ledger.policy_version and random.random() < INVALID_SHARE:
                self._announce_invalidly(announcement)
            eventlet.sleep(ANNOUNCE_SECONDS)

    def _announce_invalidly(self, announcement: standins.Announcement) -> None:
        call = standins.announce_corrupted(announcement, random.Random())
        self._ledger.record_invalid_announcement(call.body, self._announce(call))

    @property
    def _generates(self) -> bool:
        return self._service == "engines"

    # Requests

    def _serve(self, connection: Any, received: scripted.Received) -> Any:
        work = standins.read_request(received.headers)
        if work.expected_id and work.expected_id != self.announced_id:
            # Not all upstreams repeat in a header what the status says.
            headers = {} if self._keeps_name else standins.NOT_RUN_HEADERS
            return self._send(connection, 421, b"", headers)
        if received.target == standins.REPORT_TARGET:
            body = standins.report(
                {_MODEL: self.version},
                self._is_busy,
                self._n_orders,
                self._n_running,
                self._started_at_ms,
            )
            return self._send(connection, 200, body, {})
        if received.target == standins.ORDER_TARGET:
            return self._handle_order(connection, received)
        batch_id = received.headers.get(soak_ledger.BATCH_HEADER.lower(), "")
        self._ledger.record_request(
            self.upstream_id, work.request_id, clock.now(), batch_id
        )
        claim = standin_accounts.read_identity(received.headers)
        self._ledger.accounts.record_run(work.request_id, claim)
        if self._n_running >= CAPACITY:
            headers = standins.answer_headers(work.request_id)
            headers.update(standins.NOT_RUN_HEADERS)
            return self._send(connection, 503, b"", headers)
        self._n_running += 1
        try:
            if self._generates:
                return self._stream(connection, received, work, batch_id)
            return self._answer(connection, received, work)
        finally:
            self._n_running -= 1

    def _send(
        self, connection: Any, status: int, body: bytes, headers: dict[str, str]
    ) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def _answer(
        self,
        connection: Any,
        received: scripted.Received,
        work: standins.ReceivedRequest,
    ) -> None:
        if received.body == soak_ledger.CRASHING_BODY:
            self._ledger.record_crashing_attempt(work.request_id, clock.now())
        if received.target.startswith("/once/"):
            self._ledger.record_once_only_run(work.request_id, self.upstream_id)
        self._ledger.record_scoring_request(work.request_id)
        eventlet.sleep(random.uniform(0.005, 0.03) * self._time_factor())
        if received.body == soak_ledger.CRASHING_BODY:
            self._ledger.record_crash_by_request(clock.now())
            # In another task: `crash` also kills the task that serves this request.
            eventlet.spawn_n(self.crash_for, DOWN_SECONDS)
            return None
        headers = standins.answer_headers(work.request_id, load=self._load_header())
        is_scoring = bool(soak_ledger.scored_item(work.request_id))
        status = 500 if is_scoring and random.random() < FAILED_SCORING_SHARE else 200
        self._send(connection, status, work.request_id.encode(), headers)

    def _stream(
        self,
        connection: Any,
        received: scripted.Received,
        work: standins.ReceivedRequest,
        batch_id: str,
    ) -> bool:
        shape = soak_runs.Shape.read(received.body)
        runs = self._ledger.runs
        run = runs.begin(
            work.request_id,
            self.upstream_id,
            work.last_event or 0,
            shape.n_events,
            batch_id,
            clock.now(),
        )
        plan = soak_streams.draw(run, len(runs.of(work.request_id)))
        if plan.fault is not None:
            self._ledger.counts[f"runs {plan.fault.value}"] += 1
        stream = soak_streams.Stream(connection, run, plan)
        return stream.send(
            work.request_id,
            lambda: self.version,
            lambda: shape.pause_seconds * self._time_factor(),
            lambda: self._ledger.check_run(run, clock.now()),
            self._load_header(),
        )

    def _time_factor(self) -> float:
        return self.slow_factor * self._constant_factor

    def _load_header(self) -> str:
        rng = self._load_rng
        if rng.random() < INVALID_LOAD_SHARE:
            return rng.choice(INVALID_LOADS)
        work = BUSY_PERCENT if rng.random() < BUSY_SHARE else 100
        return f"{self._n_running},0,{CAPACITY},{work}"

    # Orders

    def _handle_order(self, connection: Any, received: scripted.Received) -> None:
        order = standins.read_order(received.body)
        self._ledger.record_order(self.upstream_id, order)
        status = self._order_status(order)
        self._send(connection, status, b"", {})

    def _order_status(self, order: standins.ReceivedOrder) -> int:
        if order.fencing_number < self._highest_number:
            return 412
        self._highest_number = order.fencing_number
        if order.expected_sequence not in (None, self._n_orders) or self._is_busy:
            return 409
        if order.version <= self.version:
            return 200
        self._n_orders += 1
        self._is_busy = True
        self._tasks.append(eventlet.spawn(self._load, order.version))
        return 202

    def _load(self, version: int) -> None:
        eventlet.sleep(LOAD_SECONDS)
        self.version = version
        self._is_busy = False
