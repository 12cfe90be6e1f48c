"""A small HTTP server for fake upstreams: routes, JSON bodies and event streams."""

import json
import re
import signal
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final
from urllib import parse

from bilberrydrum import runtime

runtime.prepare()

import attrs
import eventlet
from eventlet import hubs, wsgi

STATUS_TEXT: Final = {
    200: "200 OK",
    201: "201 Created",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    429: "429 Too Many Requests",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
}


@attrs.frozen
class Request:
    """One request as a handler sees it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    # The named parts of the path, by their name in the route's pattern.
    parts: dict[str, str]

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body) if self.body else {}


@attrs.frozen
class Answer:
    """One answer, with a JSON value, bytes, or an iterator of events as its body."""

    status: int = 200
    value: Any = None
    data: bytes | None = None
    events: Iterator[bytes] | None = None
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Request], Answer]


class Server:
    """HTTP server of one fake upstream."""

    def __init__(self) -> None:
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Add a route; ``{name}`` in the pattern matches one part of the path."""
        expression = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern)
        self._routes.append((method, re.compile(expression), handler))

    def serve(self, port: int) -> None:
        """Serve until the process ends."""
        listener = eventlet.listen(("127.0.0.1", port), backlog=512)
        wsgi.server(
            listener,
            self._application,
            log_output=False,
            max_size=2000,
            keepalive=True,
            debug=False,
            # Each event of a stream is sent at once, not buffered up to 4096 bytes.
            minimum_chunk_size=1,
        )

    def _application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        answer = self._answer(environ)
        headers = list(answer.headers)
        status = STATUS_TEXT[answer.status]
        if answer.events is not None:
            headers.append(("Content-Type", "text/event-stream"))
            start_response(status, headers)
            return answer.events
        data = answer.data
        if data is None:
            data = json.dumps(answer.value).encode()
            headers.append(("Content-Type", "application/json"))
        headers.append(("Content-Length", str(len(data))))
        start_response(status, headers)
        return [data]

    def _answer(self, environ: dict[str, Any]) -> Answer:
        method = environ["REQUEST_METHOD"]
        path = parse.unquote(environ["PATH_INFO"])
        body = environ["wsgi.input"].read()
        for route_method, pattern, handler in self._routes:
            match = pattern.fullmatch(path)
            if route_method != method or match is None:
                continue
            request = Request(
                method,
                path,
                dict(parse.parse_qsl(environ.get("QUERY_STRING", ""))),
                {
                    name[5:].replace("_", "-").lower(): value
                    for name, value in environ.items()
                    if name.startswith("HTTP_")
                },
                body,
                match.groupdict(),
            )
            try:
                return handler(request)
            except (KeyError, ValueError, TypeError) as error:
                return Answer(400, {"error": repr(error)})
        return Answer(404, {"error": f"no route for {method} {path}"})


def on_terminate(action: Callable[[], None]) -> None:
    """Run `action` once, in a task of its own, when SIGTERM arrives."""

    def handle(_number: int, _frame: object) -> None:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        hubs.get_hub().schedule_call_global(0, lambda: eventlet.spawn(action))

    signal.signal(signal.SIGTERM, handle)
