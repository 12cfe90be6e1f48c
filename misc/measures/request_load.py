"""Programs for misc/measure_requests: a fast upstream, a bare relay, and callers.

The upstream and the callers speak minimal HTTP over plain sockets, so that they use
less processor time than what is measured. The relay is the simplest one that can be
built from eventlet's WSGI server and urllib3: it sends each request on and returns the
answer.
"""

import argparse
import json
import random
import sys
import time
from typing import Any

from bilberrydrum import runtime

runtime.prepare()

import eventlet
import eventlet.wsgi
import urllib3

READ_BYTES = 64 * 1024
# Recorded in place of a status: the connection closed before the answer was complete,
# or could not be opened.
INCOMPLETE = 0
UNREACHABLE = -1


def read_head(connection: Any, data: bytes) -> tuple[bytes, bytes]:
    """Return a message's head and the bytes after it; both empty at end of stream."""
    while b"\r\n\r\n" not in data:
        part = connection.recv(READ_BYTES)
        if not part:
            return b"", b""
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    return head, rest


def header(head: bytes, name: bytes) -> bytes:
    """Return a header's value; empty if there is none."""
    at = head.lower().find(b"\r\n" + name + b":")
    if at < 0:
        return b""
    return head[at + len(name) + 3 :].split(b"\r\n", 1)[0].strip()


class Upstream:
    """Answers every request after a fixed time, or streams tokens like an engine."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options

    def run(self) -> None:
        listener = eventlet.listen(("127.0.0.1", self.options.port), backlog=1024)
        while True:
            connection, _ = listener.accept()
            eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection: Any) -> None:
        data = b""
        try:
            while True:
                head, data = read_head(connection, data)
                if not head:
                    return
                length = int(header(head, b"content-length") or 0)
                while len(data) < length:
                    data += connection.recv(READ_BYTES)
                data = data[length:]
                self._answer(connection, header(head, b"x-request-id"))
        except OSError:
            pass
        finally:
            connection.close()

    def _answer(self, connection: Any, request_id: bytes) -> None:
        if self.options.n_events:
            self._stream(connection, request_id.decode())
            return
        if self.options.seconds:
            eventlet.sleep(self.options.seconds)
        body = b"x" * self.options.body_bytes
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Request-Id: "
            + request_id
            + b"\r\nContent-Length: %d\r\n\r\n" % len(body)
            + body
        )

    def _stream(self, connection: Any, request_id: str) -> None:
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        n_events = self.options.n_events
        for i in range(n_events):
            reason = "stop" if i == n_events - 1 else None
            choice = {
                "index": 0,
                "text": "abcd",
                "token_ids": [i],
                "finish_reason": reason,
            }
            event = {"id": request_id, "model": "planner", "choices": [choice]}
            event["weight_version"] = 1
            send_chunk(connection, b"data: " + json.dumps(event).encode() + b"\n\n")
            if self.options.seconds:
                eventlet.sleep(self.options.seconds)
        send_chunk(connection, b"data: [DONE]\n\n")
        connection.sendall(b"0\r\n\r\n")


def send_chunk(connection: Any, data: bytes) -> None:
    connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))


class Relay:
    """The bare relay, with which a gateway is compared."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        host, _, port = options.upstream.partition(":")
        self.pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=256)

    def run(self) -> None:
        listener = eventlet.listen(("127.0.0.1", self.options.port), backlog=1024)
        eventlet.wsgi.server(
            listener, self._serve, log_output=False, minimum_chunk_size=1
        )

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Any:
        headers = {"X-Request-Id": environ.get("HTTP_X_REQUEST_ID", "")}
        body = environ["wsgi.input"].read()
        answer = self.pool.urlopen(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            body=body or None,
            headers=headers,
            preload_content=False,
        )
        answer_headers = [("Content-Type", answer.headers["Content-Type"])]
        if "Content-Length" not in answer.headers:
            start_response("200 OK", answer_headers)
            return self._relay_body(answer)
        data = answer.read()
        answer.release_conn()
        start_response("200 OK", [*answer_headers, ("Content-Length", str(len(data)))])
        return [data]

    def _relay_body(self, answer: Any) -> Any:
        while part := answer.read1(READ_BYTES):
            yield part
        answer.release_conn()


class Callers:
    """Callers that keep connections open and send one request after the other."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.statuses: dict[int, int] = {}
        self.seconds: list[float] = []
        self.n_events = 0
        self.n_in_all = 0
        # Number of answers that announced the end of their connection.
        self.n_told = 0
        self._rng = random.Random(1)
        self._next_at = 0.0
        body = options.body.encode()
        extra = "".join(f"{line}\r\n" for line in options.header)
        self._request = (
            f"{options.method} {options.path} HTTP/1.1\r\nHost: x\r\n{extra}"
            f"X-Request-Id: %s\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def run(self) -> dict[str, Any]:
        self._next_at = time.monotonic()
        tasks = [
            eventlet.spawn(self._send_requests, i)
            for i in range(self.options.n_connections)
        ]
        eventlet.sleep(self.options.warm_seconds)
        self.statuses.clear()
        self.seconds.clear()
        self.n_events = 0
        began = time.monotonic()
        while time.monotonic() < began + self.options.seconds:
            if all(task.dead for task in tasks):
                break
            eventlet.sleep(0.01)
        elapsed = time.monotonic() - began
        statuses, seconds = dict(self.statuses), sorted(self.seconds)
        n_events = self.n_events
        for task in tasks:
            task.kill()
        n_complete = statuses.get(200, 0)
        return {
            "n_per_second": n_complete / elapsed,
            "n_events_per_second": n_events / elapsed,
            "statuses": statuses,
            "n_in_all": self.n_in_all,
            "n_told": self.n_told,
            "p50_ms": 1000 * quantile(seconds, 0.5),
            "p99_ms": 1000 * quantile(seconds, 0.99),
        }

    def _send_requests(self, number: int) -> None:
        host, _, port = self.options.address.partition(":")
        connection = None
        n_sent = 0
        while True:
            began = time.monotonic()
            if self.options.rate:
                began = self._wait_until_due()
            n_sent += 1
            status = UNREACHABLE
            try:
                if connection is None:
                    connection = eventlet.connect((host, int(port)))
                status = INCOMPLETE
                connection.sendall(self._request % b"%d-%d" % (number, n_sent))
                status, is_last = self._read(connection)
                if is_last:
                    connection = None
                    self.n_told += 1
            except OSError:
                connection = None
            self.statuses[status] = self.statuses.get(status, 0) + 1
            self.n_in_all += 1
            if connection is None and status == 200 and self.options.leave_when_told:
                return
            if status == 200:
                self.seconds.append(time.monotonic() - began)
            elif self.options.retry_seconds:
                eventlet.sleep(self.options.retry_seconds)

    def _wait_until_due(self) -> float:
        """Wait until the next request is due; return the time at which it was due.

        Due times do not depend on answers. Latencies are counted from the due time, so
        the delay of a request behind a late answer is part of its latency.
        """
        at = self._next_at
        self._next_at += self._rng.expovariate(self.options.rate)
        eventlet.sleep(max(0.0, at - time.monotonic()))
        return at

    def _read(self, connection: Any) -> tuple[int, bool]:
        """Return the status of a complete answer, and whether the connection closes."""
        head, data = read_head(connection, b"")
        if not head:
            raise ConnectionError("closed")
        status = int(head.split(b" ", 2)[1])
        length = header(head, b"content-length")
        is_last = header(head, b"connection").lower() == b"close"
        if not length:
            while not data.endswith(b"0\r\n\r\n"):
                part = connection.recv(READ_BYTES)
                if not part:
                    raise ConnectionError("cut")
                self.n_events += part.count(b"data: {")
                data = data[-8:] + part
            return status, is_last
        while len(data) < int(length):
            part = connection.recv(READ_BYTES)
            if not part:
                raise ConnectionError("cut")
            data += part
        return status, is_last


def quantile(ordered: list[float], share: float) -> float:
    """Return a quantile of sorted values; NaN if there are none."""
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    programs = parser.add_subparsers(dest="program", required=True)
    upstream = programs.add_parser("upstream")
    upstream.add_argument("--port", type=int, required=True)
    upstream.add_argument("--seconds", type=float, default=0.0)
    upstream.add_argument("--body-bytes", type=int, default=256)
    upstream.add_argument("--n-events", type=int, default=0)
    relay = programs.add_parser("relay")
    relay.add_argument("--port", type=int, required=True)
    relay.add_argument("--upstream", required=True)
    callers = programs.add_parser("callers")
    callers.add_argument("--address", required=True)
    callers.add_argument("--method", default="GET")
    callers.add_argument("--path", required=True)
    callers.add_argument("--body", default="")
    callers.add_argument("--header", action="append", default=[])
    callers.add_argument("--n-connections", type=int, default=16)
    callers.add_argument("--leave-when-told", action="store_true")
    callers.add_argument("--rate", type=float, default=0.0)
    callers.add_argument("--retry-seconds", type=float, default=0.0)
    callers.add_argument("--warm-seconds", type=float, default=0.3)
    callers.add_argument("--seconds", type=float, default=3.0)
    options = parser.parse_args()
    if options.program == "upstream":
        Upstream(options).run()
    elif options.program == "relay":
        Relay(options).run()
    else:
        json.dump(Callers(options).run(), sys.stdout)
    return 0


if __name__ == "__main__":
    sys.exit(main())
