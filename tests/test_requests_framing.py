"""Tests of upstreams' answers that are not whole or not well formed.

Each exchange with an upstream reads the same answers from a real socket: cut at each
byte and then closed in order or reset, or malformed.
"""

import eventlet
from nose2 import tools

from tests import framing_support

HEAD = framing_support.HEAD
EVENTS = framing_support.EVENTS
in_chunks = framing_support.in_chunks
with_length = framing_support.with_length
until_close = framing_support.until_close
sends = framing_support.sends
EXCHANGES = framing_support.EXCHANGES
FRAMINGS = framing_support.FRAMINGS
ENDS = framing_support.ENDS

CUTS = [
    (exchange, body, framing, how, is_reset)
    for exchange, body in EXCHANGES
    for framing in FRAMINGS
    for how, is_reset in ENDS
]


class BrokenOff(framing_support.ExchangeCase):
    @tools.params(*CUTS)
    def test_cut_at_each_byte(self, exchange, body, framing, how, is_reset):
        """An answer that breaks off is taken for a whole one."""
        whole = framing(HEAD, body)
        n_head = whole.index(b"\r\n\r\n") + 4
        # Nothing marks the end of the last kind but its connection's orderly end.
        is_known = framing is not until_close or is_reset
        # A text is whole once its finish reason was read.
        n_text = whole.index(b"stop") if exchange == "text" else len(whole)
        n_bytes = min(len(whole), n_text) if is_known else n_head
        for n in range(n_bytes):
            self.script = sends(whole[:n], is_reset)
            self.assertIsNone(getattr(self, exchange)(), (n, whole[:n]))
        self.assertEqual(self.resources.pool.n_idle, 0)
        if not is_reset:
            self.script = sends(whole)
            self.assertIsNotNone(getattr(self, exchange)())


MALFORMED_HEADS = (
    ("no HTTP", b"garbage\r\n"),
    ("older", b"HTTP/0.9 200 OK\r\n"),
    ("newer", b"HTTP/2 200 OK\r\n"),
    ("lower case", b"http/1.1 200 OK\r\n"),
    ("no status", b"HTTP/1.1 OK\r\n"),
    ("status of two digits", b"HTTP/1.1 20 OK\r\n"),
    ("status of four digits", b"HTTP/1.1 2000 OK\r\n"),
    ("blanks", b"HTTP/1.1  200 OK\r\n"),
    ("line feed only", b"HTTP/1.1 200 OK\n"),
    ("empty line before", b"\r\nHTTP/1.1 200 OK\r\n"),
    ("bytes before", b"}HTTP/1.1 200 OK\r\n"),
    ("other protocol", b"HTTP/1.1 101 Switching\r\n"),
)
MALFORMED_FIELDS = (
    ("without a colon", b"Content-Length 4"),
    ("blank before the colon", b"Content-Length : 4"),
    ("letter beyond ASCII", b"Content-L\xe4ngth: 4"),
    ("folded", b"X-A: a\r\n Content-Length: 4"),
    ("carriage return", b"X-A: a\rContent-Length: 4"),
    ("NUL", b"X-A: a\x00"),
    ("line feed only", b"X-A: a\nContent-Length: 4"),
    ("two lengths", b"Content-Length: 0\r\nContent-Length: 4"),
    ("signed length", b"Content-Length: +4"),
    ("negative length", b"Content-Length: -2"),
    ("no number", b"Content-Length: 4x"),
    ("empty length", b"Content-Length:"),
    ("length without bound", b"Content-Length: " + b"9" * 30),
    ("length and chunks", b"Content-Length: 4\r\nTransfer-Encoding: chunked"),
    ("two codings", b"Transfer-Encoding: gzip, chunked"),
    ("chunked is not last", b"Transfer-Encoding: chunked, gzip"),
    ("unknown coding", b"Transfer-Encoding: identity"),
)
MALFORMED_CHUNKS = (
    ("no size", b"\r\n{}\r\n0\r\n\r\n"),
    ("signed size", b"+2\r\n{}\r\n0\r\n\r\n"),
    ("prefixed size", b"0x2\r\n{}\r\n0\r\n\r\n"),
    ("underscored size", b"0_2\r\n{}\r\n0\r\n\r\n"),
    ("blank before the size", b" 2\r\n{}\r\n0\r\n\r\n"),
    ("line feed only", b"2\n{}\n0\n\n"),
    ("longer than its size", b"1\r\n{}\r\n0\r\n\r\n"),
    ("shorter than its size", b"4\r\n{}\r\n0\r\n\r\n"),
    ("malformed trailer", b"2\r\n{}\r\n0\r\nno field\r\n\r\n"),
    ("size of zero cut short", b"2\r\n{}\r\n0"),
)


class Malformed(framing_support.ExchangeCase):
    def refuses(self, data, name):
        for exchange, _ in EXCHANGES:
            self.script = sends(data)
            self.assertIsNone(getattr(self, exchange)(), (name, exchange))
        self.assertEqual(self.resources.pool.n_idle, 0)

    @tools.params(*MALFORMED_HEADS)
    def test_status_line(self, name, line):
        """Bytes that are no answer are taken for one."""
        rest = HEAD.partition(b"\r\n")[2]
        self.refuses(with_length(line + rest, b"{}"), name)

    @tools.params(*MALFORMED_FIELDS)
    def test_field(self, name, field):
        """A part of an answer is taken for all of it, as its length was left out."""
        self.refuses(HEAD + field + b"\r\n\r\n{}", name)

    @tools.params(*MALFORMED_CHUNKS)
    def test_chunk(self, name, chunks):
        """A damaged body is guessed at."""
        self.refuses(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks, name)


class Sound(framing_support.ExchangeCase):
    @tools.params(*EXCHANGES)
    def test_byte_by_byte(self, exchange, body):
        for framing in FRAMINGS:
            whole = framing(HEAD, body)

            def slowly(connection, received, whole=whole):
                for i in range(len(whole)):
                    connection.sendall(whole[i : i + 1])
                    eventlet.sleep(0)
                return False

            self.script = slowly
            self.assertIsNotNone(getattr(self, exchange)(), framing.__name__)
            # The upstream closes the connection at this moment.
            self.resources.pool.close()

    @tools.params(
        (
            "interim answers",
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nA: b\r\n\r\n",
        ),
        ("no reason", b""),
    )
    def test_unusual_head(self, name, before):
        line = b"HTTP/1.1 200 \r\n" + HEAD.partition(b"\r\n")[2]
        fields = b"X-A:\t\xe4 b \r\nX-B:\r\n"
        self.script = sends(before + with_length(line + fields, EVENTS))
        self.assertEqual(self.plain(), EVENTS, name)

    @tools.params(204, 304)
    def test_status_without_a_body(self, status):
        line = b"HTTP/1.1 %d X\r\n" % status
        self.script = sends(line + HEAD.partition(b"\r\n")[2] + b"\r\n")
        self.assertEqual(self.plain(), b"")

    def test_connection_with_surplus_is_not_kept(self):
        """The next request is answered by bytes that were read before it was sent."""

        def script(connection, received):
            surplus = with_length(HEAD, b"second")
            connection.sendall(with_length(HEAD, b"first") + surplus[:20])
            eventlet.sleep(0.01)
            connection.sendall(surplus[20:])

        self.script = script
        self.assertEqual([self.plain(), self.plain()], [b"first", b"first"])
        self.assertEqual(self.server.n_connections, 2)

    def test_connection_is_kept_after_any_marked_end(self):
        def script(connection, received):
            connection.sendall(in_chunks(HEAD, EVENTS))

        self.script = script
        self.assertEqual(
            [self.plain(), self.plain()],
            [EVENTS, EVENTS],
        )
        self.assertEqual(self.server.n_connections, 1)
