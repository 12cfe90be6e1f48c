"""A protocol of upstreams for tests, and a fake engine that implements it."""

import json
from typing import Any

import attrs
import eventlet

from bilberrydrum import clock, upstream_protocol
from tests.fakes import scripted

ID = "X-Request-Id"


class PlainProtocol:
    """An `upstream_protocol.UpstreamProtocol` with its own header names."""

    request_id_header = ID
    version_field = "version"

    def relay_headers(self, headers, attempt):
        sent = {**headers, ID: attempt.request_id, "X-Only": attempt.announced_id}
        if attempt.last_event_number is not None:
            sent["Last"] = str(attempt.last_event_number)
        return sent

    def last_event_number(self, headers):
        return int(headers["Last"]) if "Last" in headers else None

    def identity_of(self, headers):
        return headers.get("Caller", "")

    def read_head(self, status, headers):
        version = headers.get("Version", "")
        return upstream_protocol.AnswerHead(
            was_not_run=status == 421 or "Not-Run" in headers,
            is_misdirected=status == 421,
            is_guarantee=status in (408, 421, 429, 503),
            version=int(version) if version else None,
            signature=headers.get("Signature", ""),
        )

    def order(self, order):
        body = json.dumps(attrs.asdict(order)).encode()
        return upstream_protocol.OrderMessage("POST", "/order", {}, body)

    def report_request(self, announced_id):
        return upstream_protocol.OrderMessage("GET", "/report", {})

    def read_report(self, body):
        return upstream_protocol.EngineReport(**json.loads(body))


class PlainEngine:
    """An engine that answers each item with a few events and applies orders at once.

    Requests with targets under ``/plain/`` get a plain answer with a signature.
    """

    def __init__(self, n_events: int = 3) -> None:
        self.n_events = n_events
        # Ids of the items and plain requests that it has received, in order.
        self.request_ids: list[str] = []
        # When each item was received, in seconds of `clock.now`, and the number of the
        # event after which it was to resume (0: from its start).
        self.received_at: list[float] = []
        self.resumed_after: list[int] = []
        # Plain requests are not answered while this is set.
        self.is_silent = False
        self.version = 1
        self.started_at_ms: int | None = None
        self.orders: list[dict[str, Any]] = []
        # When each of them was received, in seconds of `clock.now`.
        self.ordered_at: list[float] = []
        # An order is carried out only by `finish_load` while this is set.
        self.holds_loads = False
        # Only the first half of each text is sent while this is set.
        self.holds_texts = False
        self.server = scripted.Scripted(self.answer, kind="engine")

    @property
    def address(self) -> str:
        return self.server.address

    def stop(self) -> None:
        self.server.stop()

    def finish_load(self) -> None:
        """Carry out the last order."""
        self.version = self.orders[-1]["version"]

    def _is_loading(self) -> bool:
        return bool(self.orders) and self.orders[-1]["version"] != self.version

    def answer(self, connection: Any, received: scripted.Received) -> None:
        """Answer one request on its connection."""
        if received.target == "/report":
            report = {
                "versions_by_model": {"m": self.version},
                "is_busy": self._is_loading(),
                "sequence": len(self.orders),
                "started_at_ms": self.started_at_ms,
            }
            self._send(connection, received, json.dumps(report).encode())
        elif received.target == "/order":
            order = json.loads(received.body)
            self.orders.append(order)
            self.ordered_at.append(clock.now())
            if not self.holds_loads:
                self.finish_load()
            self._send(connection, received, b"")
        elif received.target.startswith("/plain/"):
            self.request_ids.append(received.request_id)
            while self.is_silent:
                eventlet.sleep(0.02)
            signature = f"Signature: by-{received.request_id}\r\n"
            text = scripted.answer(received).decode()
            connection.sendall(text.replace("\r\n", f"\r\n{signature}", 1).encode())
        else:
            self.request_ids.append(received.request_id)
            self.received_at.append(clock.now())
            self.resumed_after.append(int(received.headers.get("last", 0)))
            self._stream(connection, received)

    def _send(self, connection: Any, received: scripted.Received, body: bytes) -> None:
        connection.sendall(scripted.answer(received, body))

    def _stream(self, connection: Any, received: scripted.Received) -> None:
        first = int(received.headers.get("last", 0)) + 1
        sent = stream(received, first, self.n_events, self.version)
        next_number = max(self.n_events // 2 + 1, first)
        # The number is preceded by the size of its chunk.
        half = sent.index(b"id: %d\n" % next_number) if self.holds_texts else 0
        connection.sendall(sent[:half])
        while self.holds_texts:
            eventlet.sleep(0.02)
        connection.sendall(sent[half:])


def stream(
    received: scripted.Received, first: int, last: int, version: int = 1
) -> bytes:
    """Return a complete stream of the events from `first` to `last`."""
    head = f"HTTP/1.1 200 OK\r\n{ID}: {received.request_id}\r\n"
    head += f"Version: {version}\r\nTransfer-Encoding: chunked\r\n\r\n"
    sent = head.encode()
    for number in range(first, last + 1):
        event = b"id: %d\ndata: e%d\n\n" % (number, number)
        sent += b"%x\r\n%s\r\n" % (len(event), event)
    return sent + b"0\r\n\r\n"
