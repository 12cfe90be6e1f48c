"""A client that calls the edge by WSGI, without HTTP, with one task per request."""

import io
import json
import socket
from collections.abc import Callable
from typing import Any

import attrs
import eventlet

from bilberrydrum.http import edge


def run_until(condition: Callable[[], bool], max_polls: int = 30_000) -> None:
    """Run tasks and sockets until `condition` holds, regardless of the hub's clock."""
    pause = eventlet.patcher.original("time").sleep
    for _ in range(max_polls):
        if condition():
            return
        eventlet.sleep(0)
        pause(0.0001)
    raise AssertionError("the condition did not become true")


@attrs.frozen
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes
    # False if the body's iterator raised: a server would then cut off the connection.
    is_complete: bool = True

    @property
    def document(self) -> Any:
        return json.loads(self.body)

    @property
    def outcome(self) -> str:
        return str(self.document["outcome"])

    @property
    def reason(self) -> str:
        return str(self.document["reason"])


class _Input(io.BytesIO):
    """A request's body that also gives access to the client's connection."""

    def __init__(self, body: bytes, connection: Any) -> None:
        super().__init__(body)
        self._connection = connection

    def get_socket(self) -> Any:
        return self._connection


class Pending:
    """A request in flight; `disconnect` closes the client's end of its connection."""

    def __init__(self, app: edge.Edge, environ: dict[str, Any], client: Any) -> None:
        self._client = client
        self._task = eventlet.spawn(self._run, app, environ)

    def disconnect(self) -> None:
        self._client.close()

    def wait(self, max_polls: int = 30_000) -> Answer:
        run_until(lambda: self.is_done, max_polls)
        answer: Answer = self._task.wait()
        return answer

    def on_done(self, callback: Callable[[Answer], None]) -> None:
        """Call `callback` with the answer as soon as it is complete."""
        self._task.link(lambda task: callback(task.wait()))

    @property
    def is_done(self) -> bool:
        return bool(self._task.dead)

    def _run(self, app: edge.Edge, environ: dict[str, Any]) -> Answer:
        started: list[Any] = []

        def start_response(status: str, headers: list[tuple[str, str]]) -> None:
            started.append((int(status.split()[0]), dict(headers)))

        parts = []
        is_complete = True
        body = app(environ, start_response)
        try:
            for part in body:
                parts.append(part)
        except Exception:
            is_complete = False
        finally:
            close = getattr(body, "close", None)
            if close is not None:
                close()
        status, headers = started[0]
        return Answer(status, headers, b"".join(parts), is_complete)


def environ_of(
    method: str, target: str, body: bytes = b"", token: str = ""
) -> dict[str, Any]:
    """Return the WSGI environment of a request, with a bearer token if given."""
    path, _, query = target.partition("?")
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "QUERY_STRING": query,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    if token:
        environ["HTTP_AUTHORIZATION"] = f"Bearer {token}"
    return environ


def call(app: edge.Edge, environ: dict[str, Any]) -> Answer:
    """Make a request in this task, and return the complete answer."""
    started: list[Any] = []
    parts = app(environ, lambda *head: started.append(head))
    body = b"".join(parts)
    status, headers = started[0]
    return Answer(int(status.split()[0]), dict(headers), body)


def send(
    app: edge.Edge,
    method: str,
    target: str,
    body: Any = b"",
    headers: dict[str, str] | None = None,
) -> Pending:
    """Start a request in a new task; a body other than bytes is sent as JSON."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    sent_headers = headers or {}
    near, far = socket.socketpair()
    stream = _Input(data, near)
    environ = environ_of(method, target, data)
    environ["RAW_PATH_INFO"] = environ["PATH_INFO"]
    environ["wsgi.input"] = environ["eventlet.input"] = stream
    environ["headers_raw"] = tuple(sent_headers.items())
    for name, value in sent_headers.items():
        environ["HTTP_" + name.upper().replace("-", "_")] = value
    return Pending(app, environ, far)
