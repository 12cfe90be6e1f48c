"""Tests of the HTTP edge: refusals, limits, streams and draining."""

import contextlib
import json
import socket
import unittest

import eventlet
import eventlet.wsgi
from nose2 import tools

from bilberrydrum import counters, options
from bilberrydrum.http import edge, monitoring, server
from tests import helpers

LIMITS = options.LimitOptions(
    max_body_bytes=100,
    max_header_bytes=1000,
    max_connections=2,
    read_timeout_seconds=0.3,
)


def refusals(reason):
    return counters.REFUSALS.labels(reason)._value.get()


def read_answer(connection):
    """Read until the server closes the connection, or sends nothing for 5 s."""
    connection.settimeout(5)
    parts = []
    with contextlib.suppress(OSError):
        while part := connection.recv(65536):
            parts.append(part)
    return b"".join(parts)


def problem_of(answer):
    return json.loads(answer.partition(b"\r\n\r\n")[2])


def failing_stream():
    yield b"first"
    raise OSError("the upstream is gone")


class EdgeCase(unittest.TestCase):
    def setUp(self):
        self.edge = edge.Edge(LIMITS, {edge.GUARD_OPERATOR: b"secret"})
        self.edge.add("POST", "/v1/echo", self.echo)
        self.edge.add("GET", "/v1/items/{name...}", self.show)
        self.edge.add("GET", "/v1/secret", self.show, edge.GUARD_OPERATOR)
        self.edge.add("GET", "/v1/stream", self.stream)
        self.edge.add("GET", "/v1/broken", self.fail)
        monitoring.add_routes(self.edge, list)
        self.port = helpers.free_port()
        self.server = server.HttpServer(f"127.0.0.1:{self.port}", self.edge, LIMITS)
        self.server.start()
        eventlet.sleep(0)

    def tearDown(self):
        self.server.stop_accepting()

    def echo(self, request):
        return edge.Response.of_json(request.json())

    def show(self, request):
        return edge.Response.of_json(request.variables)

    def stream(self, request):
        return edge.Response(200, failing_stream())

    def fail(self, request):
        raise RuntimeError("a fault of the handler")

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.port))

    def send(self, data):
        with self.connect() as connection:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            return read_answer(connection)

    @tools.params(
        ("not json", b"POST /v1/echo", b"{", 400, "invalid-json"),
        ("no object", b"POST /v1/echo", b"[1]", 400, "invalid-json"),
        ("deep nesting", b"POST /v1/echo", b"[" * 99, 400, "invalid-json"),
        ("too large", b"POST /v1/echo", b"x" * 101, 413, "body-too-large"),
        ("no such path", b"GET /v1/nothing", b"", 404, "not-found"),
        ("no such verb", b"DELETE /v1/echo", b"", 405, "method-not-allowed"),
        ("no token", b"GET /v1/secret", b"", 401, "unauthorized"),
        ("handler fails", b"GET /v1/broken", b"", 500, "internal-error"),
    )
    def test_bad_request_gets_problem_document(self, name, line, body, status, reason):
        before = refusals(reason)
        length = str(len(body)).encode()
        answer = self.send(
            line
            + b" HTTP/1.1\r\nHost: h\r\nContent-Length: "
            + length
            + b"\r\n\r\n"
            + body
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 %d " % status), answer)
        self.assertEqual(problem_of(answer)["reason"], reason)
        self.assertEqual(refusals(reason), before + 1)
        self.assertEqual(self.edge.n_in_flight, 0)

    @tools.params(
        (
            "truncated body",
            b"POST /v1/echo HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{}",
            400,
            "body-truncated",
        ),
        (
            "truncated chunk",
            b"POST /v1/echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"9\r\n{}",
            400,
            "body-truncated",
        ),
        (
            "large headers",
            b"GET /v1/echo HTTP/1.1\r\nHost: h\r\nX-A: " + b"a" * 1200 + b"\r\n\r\n",
            431,
            "headers-too-large",
        ),
        ("not HTTP", b"nonsense\r\n\r\n", 400, "invalid-request"),
    )
    def test_broken_bytes_get_problem_document(self, name, data, status, reason):
        before = refusals(reason)
        answer = self.send(data)
        self.assertTrue(answer.startswith(b"HTTP/1.1 %d " % status), answer)
        self.assertEqual(problem_of(answer)["reason"], reason)
        self.assertEqual(refusals(reason), before + 1)

    @tools.params(
        ("slow headers", b"GET /v1/items/a HTTP/1.1\r\nX-A:"),
        (
            "slow body",
            b"POST /v1/echo HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{",
        ),
    )
    def test_slow_request_is_refused_in_time(self, name, data):
        """A client sends half of a request and then keeps the connection open.

        Without a limit on the time to read, such clients could occupy all connections.
        """
        with self.connect() as connection:
            connection.sendall(data)
            answer = read_answer(connection)
        self.assertEqual(problem_of(answer)["reason"], "read-timeout")

    def test_connection_beyond_limit_is_refused_with_retry_after(self):
        """Two clients hold all connections; a third one must be answered at once.

        Otherwise it would wait in the kernel's queue until another one leaves.
        """
        before = refusals("too-many-connections")
        with self.connect() as first, self.connect() as second:
            first.sendall(b"GET /healthz HTTP/1.1\r\n")
            second.sendall(b"GET /healthz HTTP/1.1\r\n")
            eventlet.sleep(0.05)
            answer = self.send(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
        self.assertIn(b"Retry-After: 1", answer)
        self.assertEqual(refusals("too-many-connections"), before + 1)

    def test_failed_stream_has_no_last_chunk(self):
        """The upstream fails in mid-stream, and the caller must notice the truncation.

        With a last chunk, the partial answer would look complete.
        """
        answer = self.send(b"GET /v1/stream HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b"first", answer)
        self.assertNotIn(b"\r\n0\r\n\r\n", answer)
        self.assertEqual(self.edge.n_in_flight, 0)

    def test_rest_of_path_is_one_variable(self):
        answer = self.send(b"GET /v1/items/a/b/2 HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertEqual(problem_of(answer), {"name": "a/b/2"})

    def test_correct_token_is_accepted(self):
        answer = self.send(
            b"GET /v1/secret HTTP/1.1\r\nHost: h\r\n"
            b"Authorization: Bearer secret\r\n\r\n"
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)

    def test_draining_fails_health_check_and_closes_after_answer(self):
        """During a graceful shutdown, the health check must fail for load balancers.

        Requests must still be answered, and their connections closed afterwards.
        """
        self.edge.is_draining = True
        with self.connect() as connection:
            connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
            answer = read_answer(connection)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
        with self.connect() as connection:
            connection.sendall(b"GET /v1/items/a HTTP/1.1\r\nHost: h\r\n\r\n")
            answer = read_answer(connection)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)


class Limits(unittest.TestCase):
    """An operator reduces the limits on requests."""

    @tools.params(
        ("limits of the process", (0, 0), (512, 100)),
        ("narrower", (300, 50), (300, 50)),
        ("wider than those of the process", (9000, 9000), (512, 100)),
        ("wider again after narrower", (300, 50), (512, 100), (0, 0)),
    )
    def test_apply_limits(self, name, first, expected, *later):
        own = options.LimitOptions(max_header_bytes=512, max_body_bytes=100)
        app = edge.Edge(own, {})
        for limits in (first, *later):
            app.apply_limits(*limits)
        applied = app._limits
        found = (applied.max_header_bytes, applied.max_body_bytes)
        self.assertEqual(found, expected, name)
