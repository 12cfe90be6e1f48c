"""Stand-in upstreams of the soak: engines that generate, and a plain service.

They tell the ledger each request that they get and run, and each event that they make.
"""

import random
import time
from typing import Any, Final

import eventlet
from bilberrydrum_platform import standin_accounts, standins

from bilberrydrum import clock
from misc.soaks import soak_ledger, soak_links, soak_runs, soak_streams
from tests.fakes import scripted

SLOTS: Final = 6
LOAD_SECONDS: Final = 0.25
ANNOUNCE_SECONDS: Final = 0.5
SLOW_FACTOR: Final = 6.0
# Time until an upstream that a request has ended starts again.
DOWN_SECONDS: Final = 1.0
# Share of the scoring requests that the service fails at.
FAILED_SHARE: Final = 0.1
# Share of the announcements that another program follows up with one of its own.
WRONG_SHARE: Final = 0.2
_MODEL: Final = "m"


class Upstream:
    """One incarnation after the other at one address, behind a link."""

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
        # Sends a call to some control process; tells whether it was acknowledged.
        self._announce = announce
        self._n_lives = 0
        self._server: scripted.Scripted | None = None
        self._tasks: list[Any] = []
        self.slow_factor = 1.0
        self.version = 1
        self._is_stopped = False
        # Every second upstream starts again under its name and tells its start; the
        # others have a new name each time, and don't.
        self._keeps_name = int(name.rpartition("-")[2]) % 2 == 0
        self._started_at_ms: int | None = None

    @property
    def upstream_id(self) -> str:
        """The incarnation's id, for the ledger."""
        return f"{self.name}-{self._n_lives}"

    @property
    def announced_id(self) -> str:
        """The name under which it announces itself."""
        return self.name if self._keeps_name else self.upstream_id

    def start(self) -> None:
        """Begin a new life."""
        self._n_lives += 1
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
        self._tasks = [eventlet.spawn(self._renew)]

    def crash(self) -> None:
        """End without a word."""
        for task in self._tasks:
            task.kill()
        self._tasks = []
        if self._server is not None:
            self._server.stop()
            self._server = None
        if self.link is not None:
            self.link.close()

    def crash_for(self, seconds: float) -> None:
        """End without a word, and start again after a while."""
        self.crash()
        eventlet.spawn_after(seconds, self._start_again)

    def _start_again(self) -> None:
        if not self.is_up and not self._is_stopped:
            self.start()

    def stop(self) -> None:
        """End for good."""
        self._is_stopped = True
        self.crash()

    def leave(self) -> None:
        """Say that it leaves; it goes on serving."""
        self._is_leaving = True

    @property
    def is_up(self) -> bool:
        """Whether it serves."""
        return self._server is not None

    # Announcements

    def _renew(self) -> None:
        while True:
            self._sequence += 1
            versions = {_MODEL: self.version} if self._generates else {}
            assert self.link is not None
            announcement = standins.Announcement(
                self.announced_id,
                self._service,
                self.link.address,
                "zone",
                SLOTS,
                self._sequence,
                self._is_leaving,
                versions,
                self._started_at_ms,
            )
            is_leaving = self._is_leaving
            if self._announce(standins.announce(announcement)) and is_leaving:
                self._ledger.left(self.upstream_id, clock.now())
            # Services are known once there is a policy.
            if self._ledger.policy_version and random.random() < WRONG_SHARE:
                self._announce_wrongly(announcement)
            eventlet.sleep(ANNOUNCE_SECONDS)

    def _announce_wrongly(self, announcement: standins.Announcement) -> None:
        call = standins.announce_corrupted(announcement, random.Random())
        self._ledger.announced_wrongly(call.body, self._announce(call))

    @property
    def _generates(self) -> bool:
        return self._service == "engines"

    # Requests

    def _serve(self, connection: Any, received: scripted.Received) -> Any:
        work = standins.read_request(received.headers)
        if work.expected_id and work.expected_id != self.announced_id:
            return self._send(connection, 421, b"", standins.NOT_RUN_HEADERS)
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
            return self._order(connection, received)
        batch_id = received.headers.get(soak_ledger.BATCH_HEADER.lower(), "")
        self._ledger.received(self.upstream_id, work.request_id, clock.now(), batch_id)
        claim = standin_accounts.read_identity(received.headers)
        self._ledger.accounts.ran(work.request_id, claim)
        if self._n_running >= SLOTS:
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
            self._ledger.crashing_reached(work.request_id, clock.now())
        if received.target.startswith("/once/"):
            self._ledger.ran_once_only(work.request_id, self.upstream_id)
        self._ledger.scored(work.request_id)
        eventlet.sleep(random.uniform(0.005, 0.03) * self.slow_factor)
        if received.body == soak_ledger.CRASHING_BODY:
            self._ledger.crashed_by_request(clock.now())
            # Not from here: this task ends with the process.
            eventlet.spawn_n(self.crash_for, DOWN_SECONDS)
            return None
        headers = standins.answer_headers(work.request_id)
        is_scoring = bool(soak_ledger.scored_item(work.request_id))
        status = 500 if is_scoring and random.random() < FAILED_SHARE else 200
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
        if plan.trouble is not None:
            self._ledger.counts[f"runs {plan.trouble.value}"] += 1
        stream = soak_streams.Stream(connection, run, plan)
        return stream.send(
            work.request_id,
            lambda: self.version,
            lambda: shape.pause_seconds * self.slow_factor,
            lambda: self._ledger.goes_on(run, clock.now()),
        )

    # Orders

    def _order(self, connection: Any, received: scripted.Received) -> None:
        order = standins.read_order(received.body)
        self._ledger.ordered(self.upstream_id, order)
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
