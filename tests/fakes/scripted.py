"""A fake upstream on a loopback socket that answers as a script determines."""

import json
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import eventlet

from bilberrydrum.upstreams import model


@attrs.frozen
class Received:
    """One request as the upstream received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id", "")


Script = Callable[[Any, Received], Any]


class Scripted:
    """Accepts connections and calls `script` with the connection and each request.

    If the script returns False, the connection is closed.
    """

    def __init__(self, script: Script, port: int = 0, **fields: Any) -> None:
        self.script = script
        self.received: list[Received] = []
        self.n_connections = 0
        self.n_closed = 0
        self._listener = eventlet.listen(("127.0.0.1", port))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._tasks = [eventlet.spawn(self._accept)]
        self.fields = fields

    def upstream(self, upstream_id: str) -> model.Upstream:
        return model.Upstream(upstream_id, address=self.address, **self.fields)

    def stop(self) -> None:
        self._listener.close()
        for task in self._tasks:
            task.kill()

    def _accept(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            self.n_connections += 1
            self._tasks.append(eventlet.spawn(self._serve, connection))

    def _serve(self, connection: Any) -> None:
        reader = connection.makefile("rb")
        try:
            while (received := read_request(reader)) is not None:
                self.received.append(received)
                if self.script(connection, received) is False:
                    break
        except OSError:
            pass
        finally:
            self.n_closed += 1
            reader.close()
            connection.close()


def read_request(reader: Any) -> Received | None:
    line = reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split()
    headers = {}
    while (line := reader.readline().strip()) != b"":
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return Received(method, target, headers, body)


def answer(
    received: Received,
    body: bytes = b"ok",
    status: str = "200 OK",
    request_id: str = "",
) -> bytes:
    """Return a complete answer with a length, to `received` or to `request_id`."""
    return (
        f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n"
        f"X-Request-Id: {request_id or received.request_id}\r\n\r\n"
    ).encode() + body


def stream_head(received: Received) -> bytes:
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Request-Id: {received.request_id}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
DONE = b"data: [DONE]\n\n"


def event(
    request_id: str,
    text: str = "a",
    token_ids: Iterable[int] = (1,),
    finish_reason: str | None = None,
    weight_version: int | None = 3,
) -> bytes:
    choice = {
        "index": 0,
        "text": text,
        "token_ids": list(token_ids),
        "finish_reason": finish_reason,
    }
    document = {
        "id": request_id,
        "model": "planner",
        "choices": [choice],
        "weight_version": weight_version,
    }
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def complete_stream(received: Received, n_tokens: int = 3) -> bytes:
    """Return a complete stream: its head, `n_tokens` tokens and its end."""
    request_id = received.request_id
    parts = [event(request_id, f"t{i}", [i]) for i in range(n_tokens)]
    parts.append(event(request_id, "", [], "stop"))
    parts.append(DONE)
    body = b"".join(chunk(part) for part in parts)
    return stream_head(received) + body + LAST_CHUNK


def serve(make: Callable[[Received], bytes]) -> Script:
    """Return a script that sends what `make` returns, and keeps the connection."""

    def script(connection: Any, received: Received) -> None:
        connection.sendall(make(received))

    return script


def serve_and_close(make: Callable[[Received], bytes]) -> Script:
    """Return a script that sends what `make` returns, and closes the connection."""

    def script(connection: Any, received: Received) -> bool:
        connection.sendall(make(received))
        return False

    return script
