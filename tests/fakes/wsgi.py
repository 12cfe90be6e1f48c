"""A client of the edge without HTTP: one WSGI call per request, in its own task."""

import io
import json
import socket
from collections.abc import Callable
from typing import Any

import attrs
import eventlet

from bilberrydrum.http import edge


def run_until(condition: Callable[[], bool], n_turns: int = 30_000) -> None:
    """Let tasks and sockets go on until `condition` holds, whatever the clock says."""
    pause = eventlet.patcher.original("time").sleep
    for _ in range(n_turns):
        if condition():
            return
        eventlet.sleep(0)
        pause(0.0001)
    raise AssertionError("the condition did not come true")


@attrs.frozen
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes
    # False if the body's iterator raised, which cuts the connection.
    is_whole: bool = True

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
    """A request's body, with the client's connection."""

    def __init__(self, body: bytes, connection: Any) -> None:
        super().__init__(body)
        self._connection = connection

    def get_socket(self) -> Any:
        return self._connection


class Pending:
    """A request on its way; `hang_up` closes the client's end."""

    def __init__(self, app: edge.Edge, environ: dict[str, Any], client: Any) -> None:
        self._client = client
        self._task = eventlet.spawn(self._run, app, environ)

    def hang_up(self) -> None:
        self._client.close()

    def wait(self, n_turns: int = 30_000) -> Answer:
        run_until(lambda: self.is_done, n_turns)
        answer: Answer = self._task.wait()
        return answer

    def on_done(self, callback: Callable[[Answer], None]) -> None:
        """Call `callback` with the answer in the moment it is whole."""
        self._task.link(lambda task: callback(task.wait()))

    @property
    def is_done(self) -> bool:
        return bool(self._task.dead)

    def _run(self, app: edge.Edge, environ: dict[str, Any]) -> Answer:
        started: list[Any] = []

        def start_response(status: str, headers: list[tuple[str, str]]) -> None:
            started.append((int(status.split()[0]), dict(headers)))

        parts = []
        is_whole = True
        body = app(environ, start_response)
        try:
            for part in body:
                parts.append(part)
        except Exception:
            is_whole = False
        finally:
            close = getattr(body, "close", None)
            if close is not None:
                close()
        status, headers = started[0]
        return Answer(status, headers, b"".join(parts), is_whole)


def environ_of(
    method: str, target: str, body: bytes = b"", token: str = ""
) -> dict[str, Any]:
    """Return what a WSGI server says of a request, an operator's if it has a token."""
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
    """Make a request in this task, and return its whole answer."""
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
    """Start a request; a body that is not bytes is sent as JSON."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    given = headers or {}
    near, far = socket.socketpair()
    stream = _Input(data, near)
    environ = environ_of(method, target, data)
    environ["RAW_PATH_INFO"] = environ["PATH_INFO"]
    environ["wsgi.input"] = environ["eventlet.input"] = stream
    environ["headers_raw"] = tuple(given.items())
    for name, value in given.items():
        environ["HTTP_" + name.upper().replace("-", "_")] = value
    return Pending(app, environ, far)
