"""The WSGI edge: requests, responses, routes and the limits on what clients send.

Handlers take a `Request` and return a `Response`; to refuse, they raise
`problems.ProblemError`. The edge turns every refusal into a problem document and counts
it by its reason.
"""

import collections
import hmac
import http
import json
import select
import socket
import urllib.parse
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final

import attrs
import eliot
import eventlet

from bilberrydrum import counters, options, problems, reasons

GUARD_NONE: Final = ""
GUARD_OPERATOR: Final = "operator"
GUARD_UPSTREAM: Final = "upstream"

# Set in the environment of a request whose answer says that its connection ends.
ENDS_CONNECTION: Final = "bilberrydrum.ends-connection"

_READ_CHUNK: Final = 64 * 1024


def refuse(
    status: int, reason: reasons.Reason, detail: str = "", **fields: Any
) -> problems.ProblemError:
    """Return the exception that ends a request with a problem document."""
    return problems.ProblemError(problems.Problem(status, reason, detail, **fields))


@attrs.define
class Request:
    """One HTTP request."""

    environ: dict[str, Any]
    limits: options.LimitOptions
    # Values of the route's variables, by name.
    variables: dict[str, str] = attrs.field(factory=dict)

    @property
    def method(self) -> str:
        """The method, in capitals."""
        return str(self.environ["REQUEST_METHOD"])

    @property
    def path(self) -> str:
        """The path, decoded."""
        return str(self.environ["PATH_INFO"])

    @property
    def query_string(self) -> str:
        """The query as sent, without the question mark."""
        return str(self.environ.get("QUERY_STRING", ""))

    def query(self, name: str, default: str = "") -> str:
        """Return the last value of a query parameter."""
        values = urllib.parse.parse_qs(self.query_string).get(name)
        return values[-1] if values else default

    def query_number(self, name: str, default: float) -> float:
        """Return a query parameter as a finite number; refuse what is none."""
        text = self.query(name)
        if not text:
            return default
        return _number(f"query parameter {name}", text)

    def header(self, name: str, default: str = "") -> str:
        """Return a request header's value."""
        key = name.upper().replace("-", "_")
        if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            key = f"HTTP_{key}"
        return str(self.environ.get(key, default))

    def header_number(self, name: str, default: float) -> float:
        """Return a header as a finite number; refuse what is none."""
        text = self.header(name)
        if not text:
            return default
        return _number(f"header {name}", text)

    def body(self) -> bytes:
        """Read the whole body; refuse one too large, too slow or cut short."""
        if "bilberrydrum.body" not in self.environ:
            self.environ["bilberrydrum.body"] = _read_body(self.environ, self.limits)
        return bytes(self.environ["bilberrydrum.body"])

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object; refuse anything else."""
        try:
            value = json.loads(self.body() or b"{}")
        except (ValueError, RecursionError) as error:
            raise refuse(400, reasons.Reason.INVALID_JSON, str(error)) from error
        if not isinstance(value, dict):
            raise refuse(400, reasons.Reason.INVALID_JSON, "not a JSON object")
        return value

    def is_client_gone(self) -> bool:
        """Tell whether the client has closed the connection."""
        connection = self.environ["eventlet.input"].get_socket()
        try:
            readable, _, _ = select_now(connection)
            return bool(readable) and not connection.recv(1, socket.MSG_PEEK)
        except OSError:
            return True


def select_now(connection: Any) -> tuple[list[Any], list[Any], list[Any]]:
    """Return what can be done on `connection` now, without waiting."""
    poll = _original_poll()
    poll.register(connection.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
    events = poll.poll(0)
    return ([connection] if events else [], [], [])


def _original_poll() -> Any:
    # eventlet removes `select.poll`, which would block the hub; with no time to wait
    # it cannot.
    return eventlet.patcher.original("select").poll()


def _number(what: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if value != value or value in (float("inf"), float("-inf")):
        raise refuse(400, reasons.Reason.INVALID_REQUEST, f"{what}: not a number")
    return value


@attrs.define
class Response:
    """One HTTP answer; an iterable body is streamed in chunks."""

    status: int = 200
    body: bytes | Iterable[bytes] = b""
    headers: list[tuple[str, str]] = attrs.field(factory=list)

    @classmethod
    def of_json(cls, value: Any, status: int = 200) -> "Response":
        """Return an answer with `value` as its JSON body."""
        body = json.dumps(value).encode()
        return cls(status, body, [("Content-Type", "application/json")])


Handler = Callable[[Request], Response]


@attrs.frozen
class Route:
    """A method and a path pattern.

    ``{name}`` takes one segment, ``{name...}`` all that are left.
    """

    method: str
    segments: tuple[str, ...]
    handler: Handler
    guard: str

    def match(self, segments: list[str]) -> dict[str, str] | None:
        """Return the variables' values, or None if the path does not match."""
        variables = {}
        for i, pattern in enumerate(self.segments):
            if pattern.endswith("...}"):
                variables[pattern[1:-4]] = "/".join(segments[i:])
                return variables
            if i >= len(segments):
                return None
            if pattern.startswith("{"):
                variables[pattern[1:-1]] = segments[i]
            elif pattern != segments[i]:
                return None
        return variables if len(segments) == len(self.segments) else None


class Edge:
    """The WSGI application."""

    def __init__(
        self,
        limits: options.LimitOptions,
        tokens_by_guard: dict[str, bytes],
        fallback: Handler | None = None,
    ) -> None:
        self._own_limits = limits
        self._limits = limits
        # Serves what no route takes; None: such requests are refused.
        self._fallback = fallback
        self._tokens_by_guard = tokens_by_guard
        self._routes_by_head: dict[str, list[Route]] = collections.defaultdict(list)
        # Requests being worked on, for a graceful shutdown.
        self.n_in_flight = 0
        # Set once the process is told to stop.
        self.is_draining = False

    def apply_limits(self, max_header_bytes: int, max_body_bytes: int) -> None:
        """Take over what an operator allows a client to send; 0: as the process has it.

        What the process itself can take is not exceeded.
        """
        own = self._own_limits
        self._limits = attrs.evolve(
            own,
            max_header_bytes=min(
                max_header_bytes or own.max_header_bytes, own.max_header_bytes
            ),
            max_body_bytes=min(
                max_body_bytes or own.max_body_bytes, own.max_body_bytes
            ),
        )

    def routes(self) -> list[Route]:
        """Return all routes, for tests that compare them with the documentation."""
        return [route for routes in self._routes_by_head.values() for route in routes]

    def add(
        self, method: str, pattern: str, handler: Handler, guard: str = GUARD_NONE
    ) -> None:
        """Serve `pattern` with `handler`; method ``*`` takes any."""
        segments = tuple(pattern.strip("/").split("/"))
        # The first two segments find a route quickly on the path of every request.
        head = "/".join(segments[:2]) if segments[0] == "v1" else segments[0]
        self._routes_by_head[head].append(Route(method, segments, handler, guard))

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request (WSGI)."""
        self.n_in_flight += 1
        request = Request(environ, self._limits)
        try:
            response = self._respond(request)
        except BaseException:
            self.n_in_flight -= 1
            raise
        status = f"{response.status} {_phrase(response.status)}"
        body = response.body
        headers = response.headers
        if isinstance(body, bytes):
            headers = [*headers, ("Content-Length", str(len(body)))]
            body = (body,)
        if self.is_draining:
            # A client that is not told would send its next request on a connection
            # that is being closed, and could not know whether it ran.
            headers = [*headers, ("Connection", "close")]
            environ[ENDS_CONNECTION] = True
        start_response(status, headers)
        # Counted until it is written: a client that reads slowly would be cut off by
        # a shutdown that took the request for done.
        return _CountedBody(self, body)

    def _respond(self, request: Request) -> Response:
        try:
            self._check_headers(request)
            return self._find(request)(request)
        except problems.ProblemError as error:
            counters.refused(error.problem.reason)
            return Response(
                error.problem.status, error.problem.to_json(), error.problem.headers()
            )
        except Exception:
            eliot.write_traceback()
            counters.refused(reasons.Reason.INTERNAL_ERROR)
            # How far the request got is not known here, so it must not be called
            # not-run.
            problem = problems.Problem(
                500,
                reasons.Reason.INTERNAL_ERROR,
                outcome=problems.OUTCOME_UNKNOWN,
            )
            return Response(500, problem.to_json(), problem.headers())

    def _check_headers(self, request: Request) -> None:
        raw = request.environ.get("headers_raw", ())
        n_bytes = sum(len(name) + len(value) + 4 for name, value in raw)
        if n_bytes > self._limits.max_header_bytes:
            raise refuse(431, reasons.Reason.HEADERS_TOO_LARGE)

    def _find(self, request: Request) -> Handler:
        segments = request.path.strip("/").split("/")
        head = "/".join(segments[:2]) if segments[0] == "v1" else segments[0]
        methods = []
        for route in self._routes_by_head.get(head, ()):
            variables = route.match(segments)
            if variables is None:
                continue
            if route.method not in ("*", request.method):
                methods.append(route.method)
                continue
            self._check_token(request, route.guard)
            request.variables = variables
            return route.handler
        if self._fallback is not None:
            return self._fallback
        if methods:
            raise refuse(
                405, reasons.Reason.METHOD_NOT_ALLOWED, f"use {', '.join(methods)}"
            )
        raise refuse(404, reasons.Reason.NOT_FOUND, request.path)

    def _check_token(self, request: Request, guard: str) -> None:
        token = self._tokens_by_guard.get(guard)
        if token is None:
            return
        given = request.header("Authorization").removeprefix("Bearer ").encode()
        if not hmac.compare_digest(given, token):
            raise refuse(401, reasons.Reason.UNAUTHORIZED, f"{guard} token needed")


class _CountedBody:
    """A streamed body that tells the edge when it has ended, whole or not."""

    def __init__(self, edge: Edge, body: Iterable[bytes]) -> None:
        self._edge = edge
        self._body = body

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """End the body; the WSGI server calls this once."""
        self._edge.n_in_flight -= 1
        close = getattr(self._body, "close", None)
        if close is not None:
            close()


def _phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"


def _read_body(environ: dict[str, Any], limits: options.LimitOptions) -> bytes:
    length_text = environ.get("CONTENT_LENGTH") or ""
    length = int(length_text) if length_text.isdecimal() else None
    if length is not None and length > limits.max_body_bytes:
        raise refuse(413, reasons.Reason.BODY_TOO_LARGE)
    timeout = eventlet.Timeout(limits.read_timeout_seconds)
    try:
        parts, n_bytes = [], 0
        while part := environ["wsgi.input"].read(_READ_CHUNK):
            n_bytes += len(part)
            if n_bytes > limits.max_body_bytes:
                raise refuse(413, reasons.Reason.BODY_TOO_LARGE)
            parts.append(part)
    except eventlet.Timeout as error:
        if error is not timeout:
            raise
        raise refuse(408, reasons.Reason.READ_TIMEOUT) from error
    except (OSError, ValueError) as error:
        # eventlet raises ValueError's kin for a broken chunk.
        raise refuse(400, reasons.Reason.BODY_TRUNCATED, str(error)) from error
    finally:
        timeout.cancel()
    if length is not None and n_bytes < length:
        raise refuse(400, reasons.Reason.BODY_TRUNCATED)
    return b"".join(parts)
