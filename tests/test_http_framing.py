"""Tests of requests that are not whole or not well formed, at the edge.

Each is sent to a real socket. What breaks off or is ambiguous must not be run, and its
connection must not serve anything that follows on it.
"""

import contextlib
import socket
import struct
import unittest

import eventlet
from nose2 import tools

from bilberrydrum import options
from bilberrydrum.http import edge, server
from tests import helpers

LIMITS = options.LimitOptions(
    max_body_bytes=1000,
    max_header_bytes=500,
    max_connections=20,
    read_timeout_seconds=0.3,
)
# Value of SO_LINGER with which closing a socket resets the connection.
NO_LINGER = struct.pack("ii", 1, 0)
HOST = b"Host: h\r\n"
WITH_LENGTH = b"POST /once/a HTTP/1.1\r\n" + HOST + b"Content-Length: 4\r\n\r\nbody"
IN_CHUNKS = (
    b"POST /once/a HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
    b"2;name=value\r\nbo\r\n2\r\ndy\r\n0\r\nTrailer: t\r\n\r\n"
)
CHUNKED_HEAD = IN_CHUNKS.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
NEXT = b"GET /next HTTP/1.1\r\n" + HOST + b"\r\n"


def read_answer(connection):
    connection.settimeout(5)
    parts = []
    with contextlib.suppress(ConnectionError):
        while part := connection.recv(65536):
            parts.append(part)
    return b"".join(parts)


class FramingCase(unittest.TestCase):
    def setUp(self):
        self.received = []
        self.edge = edge.Edge(LIMITS, {}, fallback=self.record)
        self.edge.add("POST", "/v1/control", self.control)
        port = helpers.free_port()
        http = server.HttpServer(f"127.0.0.1:{port}", self.edge, LIMITS)
        http.start()
        self.addCleanup(http.stop_accepting)
        self.address = ("127.0.0.1", port)
        eventlet.sleep(0)

    def record(self, request):
        self.received.append((request.method, request.path, request.body()))
        return edge.Response(200, b"done")

    def control(self, request):
        self.received.append("control")
        return edge.Response(200)

    def connect(self):
        connection = socket.create_connection(self.address, 5)
        self.addCleanup(connection.close)
        return connection

    def send(self, data):
        """Send `data`, close the sending side in order, and return the answer."""
        connection = self.connect()
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        return read_answer(connection)

    def reset(self, data):
        connection = self.connect()
        connection.sendall(data)
        eventlet.sleep(0.002)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        connection.close()

    def wait_until_served(self):
        for _ in range(1000):
            if not self.edge.n_in_flight:
                break
            eventlet.sleep(0.001)
        eventlet.sleep(0.01)


class BrokenOff(FramingCase):
    @tools.params(("length", WITH_LENGTH), ("chunks", IN_CHUNKS))
    def test_closed_at_each_byte(self, name, data):
        """A request that ends within its head or body is run with what had arrived."""
        for n_bytes in range(1, len(data)):
            answer = self.send(data[:n_bytes])
            self.assertEqual(answer[:12], b"HTTP/1.1 400", (n_bytes, answer))
        self.assertEqual(self.received, [])
        self.assertEqual(self.send(data)[:12], b"HTTP/1.1 200")
        self.assertEqual(self.received, [("POST", "/once/a", b"body")])

    @tools.params(("length", WITH_LENGTH), ("chunks", IN_CHUNKS))
    def test_reset_at_each_byte(self, name, data):
        """A reset within a request is taken for its end, and the request is run."""
        for n_bytes in range(1, len(data)):
            self.reset(data[:n_bytes])
        self.wait_until_served()
        self.assertEqual(self.received, [])

    def test_control_call_without_its_body(self):
        """A call whose body has no meaning is carried out before all of it arrived."""
        data = b"POST /v1/control HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo"
        self.assertEqual(self.send(data)[:12], b"HTTP/1.1 400")
        self.assertEqual(self.received, [])


MALFORMED_FIELDS = (
    ("without a colon", b"Content-Length 4", 400),
    ("blank before the colon", b"Content-Length : 4", 400),
    ("blank in the name", b"Content Length: 4", 400),
    ("letter beyond ASCII", b"Content-L\xe4ngth: 4", 400),
    ("no name", b": 4", 400),
    ("folded", b"X-A: a\r\n Content-Length: 4", 400),
    ("first line is folded", b" X-A: a", 400),
    ("carriage return in a value", b"X-A: a\rContent-Length: 4", 400),
    ("NUL in a value", b"X-A: a\x00", 400),
    ("line feed only", b"X-A: a\nContent-Length: 4", 400),
    ("two lengths", b"Content-Length: 0\r\nContent-Length: 4", 400),
    ("list of lengths", b"Content-Length: 4, 4", 400),
    ("signed length", b"Content-Length: +4", 400),
    ("negative length", b"Content-Length: -4", 400),
    ("no number as length", b"Content-Length: 4x", 400),
    ("empty length", b"Content-Length:", 400),
    ("hexadecimal length", b"Content-Length: 0x4", 400),
    ("underscored length", b"Content-Length: 0_4", 400),
    ("length without bound", b"Content-Length: " + b"9" * 30, 400),
    ("other spelling", b"Content_Length: 4", 400),
    ("length and chunks", b"Content-Length: 4\r\nTransfer-Encoding: chunked", 400),
    ("two codings", b"Transfer-Encoding: gzip, chunked", 501),
    ("chunks twice", b"Transfer-Encoding: chunked, chunked", 501),
    ("chunked is not last", b"Transfer-Encoding: chunked, gzip", 501),
    ("unknown coding", b"Transfer-Encoding: identity", 501),
    ("empty coding", b"Transfer-Encoding:", 501),
    ("two hosts", b"Host: other", 400),
)
MALFORMED_LINES = (
    ("no version", b"GET /a", 400),
    ("lower-case version", b"GET /a http/1.1", 400),
    ("newer version", b"GET /a HTTP/2.0", 501),
    ("two blanks", b"GET  /a HTTP/1.1", 400),
    ("blank in the target", b"GET /a b HTTP/1.1", 400),
    ("control character in the target", b"GET /a\x01 HTTP/1.1", 400),
    ("no token as method", b"G(T /a HTTP/1.1", 400),
    ("tab", b"GET\t/a HTTP/1.1", 400),
)
MALFORMED_CHUNKS = (
    ("no size", b"\r\nbody\r\n0\r\n\r\n"),
    ("signed size", b"+4\r\nbody\r\n0\r\n\r\n"),
    ("prefixed size", b"0x4\r\nbody\r\n0\r\n\r\n"),
    ("underscored size", b"0_4\r\nbody\r\n0\r\n\r\n"),
    ("blank before the size", b" 4\r\nbody\r\n0\r\n\r\n"),
    ("blank after the size", b"4 \r\nbody\r\n0\r\n\r\n"),
    ("size without bound", b"0" * 40 + b"4\r\nbody\r\n0\r\n\r\n"),
    ("line feed only", b"4\nbody\n0\n\n"),
    ("longer than its size", b"3\r\nbody\r\n0\r\n\r\n"),
    ("extension without end", b"4;" + b"x" * 9000 + b"\r\nbody\r\n0\r\n\r\n"),
    ("malformed trailer", b"4\r\nbody\r\n0\r\nnot a field\r\n\r\n"),
)


class Malformed(FramingCase):
    def refuses(self, data, status, name):
        # The next request would be run if the rest of this one were skipped or read as
        # another one.
        answer = self.send(data + NEXT)
        self.assertEqual(answer[:12], b"HTTP/1.1 %d" % status, name)
        self.assertEqual(answer.count(b"HTTP/1.1 "), 1, name)
        self.assertIn(b"Connection: close", answer, name)
        self.assertEqual(self.received, [], name)

    @tools.params(*MALFORMED_FIELDS)
    def test_field(self, name, field, status):
        """A body becomes a request of its own, as its length was left out."""
        head = b"POST /once/a HTTP/1.1\r\n" + HOST + field + b"\r\n\r\n"
        self.refuses(head + NEXT, status, name)

    @tools.params(*MALFORMED_LINES)
    def test_request_line(self, name, line, status):
        """A damaged request line is guessed at, and another request is run."""
        self.refuses(line + b"\r\n" + HOST + b"\r\n", status, name)

    @tools.params(*MALFORMED_CHUNKS)
    def test_chunk(self, name, chunks):
        """The rest of a chunked body is read as the next request."""
        head = (
            b"POST /once/a HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        self.refuses(head + chunks, 400, name)

    def test_chunks_in_an_older_version(self):
        """An older client's body is read as the next request."""
        data = (
            CHUNKED_HEAD.replace(b"HTTP/1.1", b"HTTP/1.0") + b"4\r\nbody\r\n0\r\n\r\n"
        )
        self.refuses(data, 400, "HTTP/1.0")

    def test_without_host(self):
        """A request without a host is routed by what another field says."""
        self.refuses(b"GET /a HTTP/1.1\r\n\r\n", 400, "no host")


SOUND = (
    ("with a length", WITH_LENGTH, b"body"),
    ("in chunks", IN_CHUNKS, b"body"),
    ("empty line before", b"\r\n" + WITH_LENGTH, b"body"),
    (
        "obs-text, blanks, empty and repeated fields",
        b"POST /once/a HTTP/1.1\r\nhOST:h\r\nX-A:\t\xe4 b \r\nX-B:\r\nX-A: c\r\n"
        b"content-LENGTH: 4 \r\n\r\nbody",
        b"body",
    ),
    (
        "upper-case digits and coding",
        b"POST /once/a HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: Chunked\r\n\r\n"
        b"00A\r\n0123456789\r\n000\r\n\r\n",
        b"0123456789",
    ),
    ("HTTP/1.0", b"POST /once/a HTTP/1.0\r\nContent-Length: 4\r\n\r\nbody", b"body"),
    ("newer minor version", WITH_LENGTH.replace(b"1.1", b"1.2"), b"body"),
)


class Sound(FramingCase):
    @tools.params(*SOUND)
    def test_unusual(self, name, data, body):
        answer = self.send(data)
        self.assertEqual(answer[:12], b"HTTP/1.1 200", (name, answer))
        self.assertEqual(self.received, [("POST", "/once/a", body)], name)

    @tools.params(("length", WITH_LENGTH), ("chunks", IN_CHUNKS))
    def test_byte_by_byte(self, name, data):
        connection = self.connect()
        for i in range(len(data)):
            connection.sendall(data[i : i + 1])
            eventlet.sleep(0)
        connection.shutdown(socket.SHUT_WR)
        self.assertEqual(read_answer(connection)[:12], b"HTTP/1.1 200")
        self.assertEqual(self.received, [("POST", "/once/a", b"body")])

    def test_two_on_a_connection(self):
        answer = self.send(WITH_LENGTH + IN_CHUNKS + NEXT)
        self.assertEqual(answer.count(b"HTTP/1.1 200"), 3, answer)
        self.assertEqual(
            [each[1] for each in self.received], ["/once/a"] * 2 + ["/next"]
        )

    def test_body_that_was_not_read(self):
        """A refused request's body must not be read as the next request."""
        self.edge.add("GET", "/v1/none", self.control)
        data = WITH_LENGTH.replace(b"/once/a", b"/v1/none")
        self.edge._fallback = None
        answer = self.send(data + data)
        self.assertEqual(answer.count(b"HTTP/1.1 405"), 2, answer)

    def test_expected_continue(self):
        connection = self.connect()
        head, _, body = WITH_LENGTH.partition(b"\r\n\r\n")
        connection.sendall(head + b"\r\nExpect: 100-continue\r\n\r\n")
        connection.settimeout(5)
        self.assertIn(b"100 Continue", connection.recv(100))
        connection.sendall(body)
        connection.shutdown(socket.SHUT_WR)
        self.assertEqual(read_answer(connection)[:12], b"HTTP/1.1 200")


class WithoutEnd(FramingCase):
    @tools.params(
        ("request line", b"GET /", b"a" * 4096, 431),
        ("field", b"GET / HTTP/1.1\r\nX-A: ", b"a" * 4096, 431),
        ("fields", b"GET / HTTP/1.1\r\n", b"X-A: a\r\n" * 512, 431),
        ("body", WITH_LENGTH.replace(b": 4", b": 99999999"), b"a" * 4096, 413),
        ("chunks", CHUNKED_HEAD, b"2\r\nbo\r\n" * 512, 413),
    )
    def test_bytes_at_full_speed(self, name, begin, more, status):
        """A client that never ends its request is given memory without a bound."""
        connection = self.connect()
        connection.sendall(begin)
        with contextlib.suppress(OSError):
            for _ in range(50):
                connection.sendall(more)
                eventlet.sleep(0)
        answer = read_answer(connection)
        self.assertEqual(answer[:12], b"HTTP/1.1 %d" % status, name)
        self.assertEqual(self.received, [])

    @tools.params(
        ("head", b"GET / HTTP/1.1\r\nX-A: ", b"a"),
        ("length", WITH_LENGTH.replace(b": 4", b": 900"), b"a"),
        ("chunks", CHUNKED_HEAD, b"1\r\na\r\n"),
        ("chunk extension", CHUNKED_HEAD + b"1;", b"a"),
    )
    def test_bytes_one_at_a_time(self, name, begin, more):
        """Each byte arrives in time, but the request as a whole never does."""
        connection = self.connect()
        connection.sendall(begin)
        answer = b""
        with contextlib.suppress(OSError):
            for _ in range(100):
                connection.sendall(more)
                eventlet.sleep(0.01)
        answer = read_answer(connection)
        self.assertEqual(answer[:12], b"HTTP/1.1 408", name)
        self.assertEqual(self.received, [])

    def test_unread_body_without_end(self):
        """A refused request's body occupies its connection for ever."""
        connection = self.connect()
        self.edge._fallback = None
        connection.sendall(WITH_LENGTH.replace(b": 4", b": 900"))
        self.assertIn(b" 404 ", read_answer(connection)[:20])
