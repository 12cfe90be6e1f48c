"""The WSGI application: requests, responses, routes and limits on requests.

Handlers take a `Request` and return a `Response`, or raise `problems.ProblemError` to
refuse the request. The edge answers each refusal with a problem document, and counts it
by reason.
"""

import collections
import hmac
import http
import io
import json
import select
import socket
import urllib.parse
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final

import attrs
import eliot
import eventlet

from bilberrydrum import clock, counters, memory, options, problems, reasons
from bilberrydrum.http import client_memory, json_documents
from bilberrydrum.http1 import errors

GUARD_NONE: Final = ""
GUARD_OPERATOR: Final = "operator"
GUARD_UPSTREAM: Final = "upstream"

# WSGI environment key that is set if the connection ends with the answer.
ENDS_CONNECTION: Final = "bilberrydrum.ends-connection"

# WSGI environment keys of the connection's memory, and of the body.
HOLDING: Final = "bilberrydrum.holding"
_BODY: Final = "bilberrydrum.body"
# When a client that was refused for lack of memory may retry, in seconds.
MEMORY_RETRY_SECONDS: Final = 1.0

# Limits on probes of readiness and metrics.
_MAX_PROBE_BYTES: Final = 8 * 1024
_MAX_PROBE_CONNECTIONS: Final = 32
_PROBE_MEMORY_BYTES: Final = 4 * 1024 * 1024

_READ_CHUNK: Final = 64 * 1024
# Parts of a body that are read before other tasks get to run.
_N_PARTS_PER_TURN: Final = 16


def refuse(
    status: int, reason: reasons.Reason, detail: str = "", **fields: Any
) -> problems.ProblemError:
    """Return the exception to raise for a refusal with a problem document."""
    return problems.ProblemError(problems.Problem(status, reason, detail, **fields))


@attrs.define
class Request:
    """One HTTP request."""

    environ: dict[str, Any]
    limits: options.LimitOptions
    # Values of the variables in the route's pattern, by name.
    variables: dict[str, str] = attrs.field(factory=dict)

    @property
    def method(self) -> str:
        """The method, in upper case."""
        return str(self.environ["REQUEST_METHOD"])

    @property
    def path(self) -> str:
        """The path, decoded."""
        return str(self.environ["PATH_INFO"])

    @property
    def query_string(self) -> str:
        """The undecoded query, without the question mark."""
        return str(self.environ.get("QUERY_STRING", ""))

    def query(self, name: str, default: str = "") -> str:
        """Return the last value of a query parameter."""
        values = urllib.parse.parse_qs(self.query_string).get(name)
        return values[-1] if values else default

    def query_number(self, name: str, default: float) -> float:
        """Return a query parameter as a finite number; refuse any other value."""
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
        """Return a header as a finite number; refuse any other value."""
        text = self.header(name)
        if not text:
            return default
        return _number(f"header {name}", text)

    def body(self) -> bytes:
        """Return the complete body; refuse one too large, too slow or truncated."""
        if _BODY not in self.environ:
            self.environ[_BODY] = _read_body(self.environ, self.limits, self.holding)
        return bytes(self.environ[_BODY])

    @property
    def holding(self) -> client_memory.Holding:
        """The memory that the request's connection has."""
        if HOLDING not in self.environ:
            self.environ[HOLDING] = client_memory.unbounded()
        found: client_memory.Holding = self.environ[HOLDING]
        return found

    def drop_body(self) -> None:
        """Free the body, which is not needed any more."""
        self.environ[_BODY] = b""

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object; refuse anything else."""
        try:
            value = self.decode_json()
        except (ValueError, RecursionError) as error:
            raise refuse(400, reasons.Reason.INVALID_JSON, str(error)) from error
        if not isinstance(value, dict):
            raise refuse(400, reasons.Reason.INVALID_JSON, "not a JSON object")
        return value

    def decode_json(self) -> Any:
        """Return the value of the body, for which memory is charged.

        The body of a large document is freed first.

        Raises
        ------
        ValueError, RecursionError
            If the body is not JSON.
        """
        if len(self.body()) <= client_memory.SMALL_BYTES:
            return json.loads(self.body() or b"{}")
        text = json_documents.ascii_text(self._take_body())
        self.reserve(json_documents.peak_bytes(text))
        return json_documents.decode(text)

    def _take_body(self) -> bytes:
        body = self.body()
        self.drop_body()
        return body

    def reserve(self, n_bytes: int) -> None:
        """Charge `n_bytes` in all until the request is answered, or refuse it."""
        try:
            self.holding.grow_to(n_bytes)
        except client_memory.MemoryFullError as error:
            raise refuse_for_memory(error) from error

    def is_client_gone(self) -> bool:
        """Return whether the connection to the client is closed, on either side.

        May be called at any time, also after the request was answered.
        """
        connection = self.environ["eventlet.input"].get_socket()
        if connection.fileno() < 0:
            # Closed here. A task may still work for a request that was answered, such
            # as the first of two hedged attempts.
            return True
        try:
            readable, _, _ = select_now(connection)
            return bool(readable) and not connection.recv(1, socket.MSG_PEEK)
        except OSError:
            return True


def select_now(connection: Any) -> tuple[list[Any], list[Any], list[Any]]:
    """Return the ready sockets, as `select.select` would without waiting."""
    poll = _original_poll()
    poll.register(connection.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
    events = poll.poll(0)
    return ([connection] if events else [], [], [])


def _original_poll() -> Any:
    # eventlet removes `select.poll`, as it would block the hub. With a timeout of 0 it
    # does not block.
    return eventlet.patcher.original("select").poll()


def _number(what: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if value != value or value in (float("inf"), float("-inf")):
        raise refuse(
            400, reasons.Reason.INVALID_REQUEST, f"{what}: must be a finite number"
        )
    return value


@attrs.define
class Response:
    """One HTTP answer; a body other than bytes is streamed in chunks."""

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

    ``{name}`` matches one segment, ``{name...}`` all remaining ones.
    """

    method: str
    segments: tuple[str, ...]
    handler: Handler
    guard: str
    # Largest body, if it differs from that of the limits; 0: it does not.
    max_body_bytes: int = 0

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


def make_probe_edge(limits: options.LimitOptions) -> "Edge":
    """Return an edge for probes, which have no body and come from few clients.

    It has memory of its own: probes are answered also while clients have all of theirs.
    """
    own = attrs.evolve(
        limits,
        max_body_bytes=min(limits.max_body_bytes, _MAX_PROBE_BYTES),
        max_header_bytes=min(limits.max_header_bytes, _MAX_PROBE_BYTES),
        max_connections=min(limits.max_connections, _MAX_PROBE_CONNECTIONS),
    )
    return Edge(own, {}, budget=memory.Budget(_PROBE_MEMORY_BYTES))


class Edge:
    """The WSGI application."""

    def __init__(
        self,
        limits: options.LimitOptions,
        tokens_by_guard: dict[str, bytes],
        fallback: Handler | None = None,
        budget: memory.Budget | None = None,
    ) -> None:
        self._own_limits = limits
        # Shared by all clients of the process.
        self.memory = client_memory.ClientMemory(
            budget or memory.Budget.of_process(limits.memory_mb)
        )
        self._limits = limits
        # Handles requests that match no route; if None, they are refused.
        self._fallback = fallback
        self._tokens_by_guard = tokens_by_guard
        self._routes_by_head: dict[str, list[Route]] = collections.defaultdict(list)
        # Number of requests in flight; a graceful shutdown waits until it is 0.
        self.n_in_flight = 0
        # Number of connections that are only open until their last answer was read.
        self.n_lingering = 0
        # Whether a graceful shutdown has begun.
        self.is_draining = False

    def apply_limits(self, max_header_bytes: int, max_body_bytes: int) -> None:
        """Set the limits of the operators' policy on requests.

        Parameters
        ----------
        max_header_bytes, max_body_bytes : int
            The limits, in bytes; 0 for those of the process's own options, which are
            never exceeded.
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

    @property
    def own_limits(self) -> options.LimitOptions:
        """The limits that no policy exceeds."""
        return self._own_limits

    def routes(self) -> list[Route]:
        """Return all routes; tests compare them with the documentation."""
        return [route for routes in self._routes_by_head.values() for route in routes]

    def add(
        self,
        method: str,
        pattern: str,
        handler: Handler,
        guard: str = GUARD_NONE,
        max_body_bytes: int = 0,
    ) -> None:
        """Serve `pattern` with `handler`; method ``*`` matches any method."""
        segments = tuple(pattern.strip("/").split("/"))
        # Routes are indexed by their first two segments, as each request is looked up.
        head = "/".join(segments[:2]) if segments[0] == "v1" else segments[0]
        route = Route(method, segments, handler, guard, max_body_bytes)
        self._routes_by_head[head].append(route)

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request (WSGI)."""
        self.n_in_flight += 1
        request = Request(environ, self._limits)
        try:
            response = self._respond(request)
        except BaseException:
            self.n_in_flight -= 1
            raise
        request.drop_body()
        response = _fit_into_memory(response, request.holding)
        status = f"{response.status} {_phrase(response.status)}"
        body = response.body
        headers = response.headers
        if isinstance(body, bytes):
            headers = [*headers, ("Content-Length", str(len(body)))]
            body = _slices(body)
        if request.holding.is_dropped:
            environ[ENDS_CONNECTION] = True
        if self.is_draining or ENDS_CONNECTION in environ:
            # Without this header, a client could send its next request on a connection
            # that is being closed, and could not know whether that request ran.
            headers = [*headers, ("Connection", "close")]
            environ[ENDS_CONNECTION] = True
        start_response(status, headers)
        # The request is in flight until its body is written. Otherwise a shutdown would
        # cut off a client that reads slowly.
        return _CountedBody(self, body, request.holding)

    def _respond(self, request: Request) -> Response:
        try:
            self._check_headers(request)
            handler = self._find(request)
            if handler is not self._fallback:
                # A request that breaks off within its body is not carried out, also
                # where its body has no meaning.
                request.body()
            return handler(request)
        except problems.ProblemError as error:
            counters.refused(error.problem.reason)
            return Response(
                error.problem.status, error.problem.to_json(), error.problem.headers()
            )
        except Exception:
            eliot.write_traceback()
            counters.refused(reasons.Reason.INTERNAL_ERROR)
            # The request may have run before the exception, so the outcome must not be
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
            if route.max_body_bytes:
                request.limits = attrs.evolve(
                    request.limits, max_body_bytes=route.max_body_bytes
                )
            return route.handler
        if self._fallback is not None:
            return self._fallback
        if methods:
            raise refuse(
                405,
                reasons.Reason.METHOD_NOT_ALLOWED,
                f"allowed methods: {', '.join(methods)}",
            )
        raise refuse(404, reasons.Reason.NOT_FOUND, request.path)

    def _check_token(self, request: Request, guard: str) -> None:
        token = self._tokens_by_guard.get(guard)
        if token is None:
            return
        given = request.header("Authorization").removeprefix("Bearer ").encode()
        if not hmac.compare_digest(given, token):
            raise refuse(401, reasons.Reason.UNAUTHORIZED, f"{guard} token required")


class _CountedBody:
    """A body that decrements the edge's requests in flight when it is closed."""

    def __init__(
        self, edge: Edge, body: Iterable[bytes], holding: client_memory.Holding
    ) -> None:
        self._edge = edge
        self._body = body
        self._holding = holding

    def __iter__(self) -> Iterator[bytes]:
        holding = self._holding
        for part in self._body:
            holding.phase = client_memory.Phase.OUTPUT
            holding.moved_at = clock.now()
            yield part
            holding.phase = client_memory.Phase.WORK

    def close(self) -> None:
        """Close the body; the WSGI server calls this once, also after a failure."""
        self._edge.n_in_flight -= 1
        self._holding.phase = client_memory.Phase.WORK
        self._holding.release()
        close = getattr(self._body, "close", None)
        if close is not None:
            close()


def _phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"


def _slices(body: bytes) -> Iterable[bytes]:
    """Return the parts in which a body is written; each shows that the client reads."""
    if len(body) <= client_memory.SMALL_BYTES:
        return (body,)
    starts = range(0, len(body), client_memory.SMALL_BYTES)
    return (body[n : n + client_memory.SMALL_BYTES] for n in starts)


def _fit_into_memory(response: Response, holding: client_memory.Holding) -> Response:
    """Charge an answer until its client has read it; replace it if it does not fit."""
    if not isinstance(response.body, bytes):
        return response
    holding.release()
    try:
        holding.grow_to(len(response.body))
    except client_memory.MemoryFullError as error:
        counters.refused(reasons.Reason.MEMORY_FULL)
        problem = problems.Problem(
            502,
            reasons.Reason.MEMORY_FULL,
            str(error),
            outcome=problems.OUTCOME_UNKNOWN,
        )
        return Response(502, problem.to_json(), problem.headers())
    return response


def _read_body(
    environ: dict[str, Any],
    limits: options.LimitOptions,
    holding: client_memory.Holding,
) -> bytes:
    """Return the complete body; after a refusal, its connection is closed.

    Where the next request would begin is not known then.
    """
    try:
        with holding.waiting(client_memory.Phase.INPUT):
            return _read_within(environ, limits, holding)
    except problems.ProblemError:
        environ[ENDS_CONNECTION] = True
        raise


def _read_within(
    environ: dict[str, Any],
    limits: options.LimitOptions,
    holding: client_memory.Holding,
) -> bytes:
    length_text = environ.get("CONTENT_LENGTH") or ""
    length = int(length_text) if length_text.isdecimal() else None
    if length is not None and length > limits.max_body_bytes:
        raise refuse(413, reasons.Reason.BODY_TOO_LARGE)
    timeout = eventlet.Timeout(limits.read_timeout_seconds)
    try:
        # Its value is the body itself, not a copy, and grows in place.
        buffer, n_parts = io.BytesIO(), 0
        while part := environ["wsgi.input"].read(_READ_CHUNK):
            n_bytes = buffer.tell() + len(part)
            if n_bytes > limits.max_body_bytes:
                raise refuse(413, reasons.Reason.BODY_TOO_LARGE)
            holding.grow_to(n_bytes)
            buffer.write(part)
            holding.record_progress()
            n_parts += 1
            if n_parts % _N_PARTS_PER_TURN == 0:
                # Reading does not switch tasks while there is input.
                eventlet.sleep(0)
    except client_memory.MemoryFullError as error:
        raise refuse_for_memory(error) from error
    except eventlet.Timeout as error:
        if error is not timeout:
            raise
        raise refuse(408, reasons.Reason.READ_TIMEOUT) from error
    except (errors.IncompleteError, OSError) as error:
        if holding.is_dropped:
            raise _refuse_stalled() from error
        counters.malformed("client", "body", errors.Fault.INCOMPLETE)
        raise refuse(400, reasons.Reason.BODY_TRUNCATED, str(error)) from error
    except errors.MessageError as error:
        counters.malformed("client", "body", error.fault)
        raise refuse(400, reasons.Reason.INVALID_REQUEST, str(error)) from error
    finally:
        timeout.cancel()
    return buffer.getvalue()


def refuse_for_memory(error: client_memory.MemoryFullError) -> problems.ProblemError:
    """Return the refusal of a request for which there is no memory."""
    if error.is_final:
        # It would not fit without any other client either.
        return refuse(413, reasons.Reason.BODY_TOO_LARGE, str(error))
    return refuse(
        503,
        reasons.Reason.MEMORY_FULL,
        str(error),
        retry_after_seconds=MEMORY_RETRY_SECONDS,
    )


def _refuse_stalled() -> problems.ProblemError:
    return refuse(
        503,
        reasons.Reason.MEMORY_FULL,
        "stalled",
        retry_after_seconds=MEMORY_RETRY_SECONDS,
    )
