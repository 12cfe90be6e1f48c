"""Tests of upstreams' answers that are not whole or not well formed.

Each exchange with an upstream reads the same answers from a real socket: cut at each
byte and then closed in order or reset, malformed, or without end.
"""

import socket
import struct
import tracemalloc
import unittest
import unittest.mock

import eventlet
from nose2 import tools

from bilberrydrum import clock, upstream_protocol
from bilberrydrum.batches import item_run, model, texts
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy
from bilberrydrum.relay import model as relay_model
from bilberrydrum.relay import streams
from bilberrydrum.requests import (
    answer_memory,
    attempts,
    connections,
    outgoing_requests,
    single_calls,
    text_streams,
    watch,
)
from bilberrydrum.weights import orders, sender
from tests import relay_support
from tests.fakes import node_protocol, scripted

# Value of SO_LINGER with which closing a socket resets the connection.
NO_LINGER = struct.pack("ii", 1, 0)
HEAD = f"HTTP/1.1 200 OK\r\n{node_protocol.ID}: r\r\nVersion: 1\r\n".encode()
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
TOKENS = (
    b'data: {"id": "r", "choices": [{"text": "a", "token_ids": [1]}],'
    b' "weight_version": 1}\n\n'
    b'data: {"id": "r", "choices": [{"finish_reason": "stop"}]}\n\ndata: [DONE]\n\n'
)


def in_chunks(head, body):
    middle = len(body) // 2
    chunks = scripted.chunk(body[:middle]) + scripted.chunk(body[middle:])
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\nT: t\r\n\r\n"


def with_length(head, body):
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def until_close(head, body):
    return head + b"\r\n" + body


def end(connection, is_reset):
    if is_reset:
        # What was sent has to arrive before the reset discards it.
        eventlet.sleep(0.002)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    # Close the descriptor itself: the fake upstream still has a file that uses it.
    connection.fd.close()


def sends(data, is_reset=False):
    def script(connection, received):
        connection.sendall(data)
        end(connection, is_reset)
        return False

    return script


class ExchangeCase(unittest.TestCase):
    def setUp(self):
        self.resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch()
        )
        self.addCleanup(self.resources.pool.close)
        self.script = sends(b"")
        self.server = scripted.Scripted(lambda *args: self.script(*args), kind="engine")
        self.addCleanup(self.server.stop)
        self.upstream = fleet_model.FleetUpstream("u", "s", self.server.address, "z", 1)

    def outgoing(self, seconds=5.0):
        return outgoing_requests.Outgoing(
            "r",
            "POST",
            "/",
            {},
            b"body",
            clock.now() + seconds,
            True,
            lambda: None,
            id_header=node_protocol.ID,
            accepts_unframed=True,
            may_repeat=True,
        )

    # Each exchange returns what it takes for the whole answer, or None.

    def plain(self, seconds=5.0):
        try:
            return attempts.call(
                self.resources, self.upstream, self.outgoing(seconds)
            ).body
        except attempts.AttemptError:
            return None

    def item(self, seconds=5.0):
        run = item_run.Run(
            model.Item("r", "/x", {}, b"", 1),
            "h",
            texts.Text(),
            texts.Bounds(),
            clock.now() + seconds,
            lambda: None,
        )
        ended = item_run.carry_out(
            self.resources, node_protocol.PlainProtocol(), self.upstream, run, seconds
        )
        if ended.outcome is item_run.Outcome.BROKEN:
            return None
        return b"".join(run.text.parts)

    def text(self, seconds=5.0):
        try:
            stream = text_streams.stream(
                self.resources, self.upstream, self.outgoing(seconds)
            )
            return list(stream)
        except attempts.AttemptError:
            return None

    def call(self, seconds=5.0):
        message = upstream_protocol.OrderMessage("POST", "/order", {}, b"")
        reply = single_calls.call(
            self.resources.pool, self.server.address, lambda: message, seconds, "test"
        )
        return reply.body if reply.status else None

    def order(self, seconds=5.0):
        order = orders.Order(
            "o", "u", self.server.address, orders.Action("load", "m", 1)
        )
        outcome = sender.send(order, lambda _: 1, seconds, seconds)
        return None if isinstance(outcome, orders.Lost) else outcome


EXCHANGES = (
    ("plain", EVENTS),
    ("item", EVENTS),
    ("text", TOKENS),
    ("call", b"{}"),
    ("order", b"{}"),
)
FRAMINGS = (with_length, in_chunks, until_close)
ENDS = (("closed", False), ("reset", True))
CUTS = [
    (exchange, body, framing, how, is_reset)
    for exchange, body in EXCHANGES
    for framing in FRAMINGS
    for how, is_reset in ENDS
]


class BrokenOff(ExchangeCase):
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


class Malformed(ExchangeCase):
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


class Sound(ExchangeCase):
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
        self.assertEqual([self.plain(), self.plain()], [EVENTS, EVENTS])
        self.assertEqual(self.server.n_connections, 1)


def without_end(begin, more, pause):
    """Return a script that sends `more` again and again until its peer closes."""

    def script(connection, received):
        connection.sendall(begin)
        while True:
            connection.sendall(more)
            eventlet.sleep(pause)

    return script


CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
KILOBYTES = b"x" * 16384
ENDLESS = (
    ("status line", b"HTTP/1.1 200 ", KILOBYTES),
    ("no line", b"", KILOBYTES),
    ("field", HEAD + b"X-A: ", KILOBYTES),
    ("fields", HEAD, b"X-A: a\r\n" * 100),
    ("interim answers", b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    ("length", HEAD + b"Content-Length: 999999999999\r\n\r\n", KILOBYTES),
    ("until close", HEAD + b"\r\n", KILOBYTES),
    ("chunks", CHUNKED, scripted.chunk(KILOBYTES)),
    ("small chunks", CHUNKED, scripted.chunk(b"x") * 100),
    ("chunk size", CHUNKED, b"0" * 1000),
    ("chunk extension", CHUNKED + b"1;", KILOBYTES),
    ("trailers", CHUNKED + b"0\r\n", b"X-A: a\r\n" * 100),
    ("empty events", HEAD + b"\r\n", b"\n\n" * 1000),
    ("events that are none", HEAD + b"\r\n", b": comment\n" * 1000),
    ("error", HEAD.replace(b"200", b"500") + b"\r\n", KILOBYTES),
)


class WithoutEnd(relay_support.RelayCase, ExchangeCase):
    def setUp(self):
        ExchangeCase.setUp(self)
        self.memory = answer_memory.AnswerMemory(1024 * 1024)
        self.resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch(), self.memory
        )

    def ends(self, exchange, name, seconds):
        with eventlet.Timeout(20.0):
            outcome = getattr(self, exchange)(seconds)
        self.assertIsNone(outcome, (exchange, name))
        self.assertEqual(self.memory.n_bytes, 0)
        self.assertEqual(self.resources.pool.n_idle, 0)

    @tools.params(*ENDLESS)
    def test_at_full_speed(self, name, begin, more):
        """An answer is read for ever, and takes all memory."""
        self.script = without_end(begin, more, 0)
        for exchange, _ in EXCHANGES:
            self.ends(exchange, name, 0.5)
        for _ in range(200):
            eventlet.sleep(0.001)
        self.assertEqual(self.server.n_closed, self.server.n_connections)

    @tools.params(*ENDLESS)
    def test_slowly(self, name, begin, more):
        """Each byte arrives in time, but the answer as a whole never does."""
        self.script = without_end(begin, more[:1], 0.005)
        for exchange, _ in EXCHANGES:
            self.ends(exchange, name, 0.1)

    @tools.params(*ENDLESS)
    def test_plain_request_goes_elsewhere(self, name, begin, more):
        """A request that another upstream can serve fails for its whole time."""
        for pause, sent in ((0, more), (0.005, more[:1])):
            relay = self.relay(without_end(begin, sent, pause), relay_support.OK)
            found = self.handle(relay, seconds=2.0)
            self.assertIsInstance(found, relay_model.Answered, name)
            self.assertEqual((found.status, found.body), (200, b"ok"), name)
            self.assertEqual(self.n_received(), [1, 1], name)

    @tools.params(*ENDLESS)
    def test_request_that_may_run_once(self, name, begin, more):
        """A request runs twice, or its client is told that it did not run."""
        relay = self.relay(without_end(begin, more, 0), relay_support.OK)
        found = self.handle(relay, kind=relay_support.ONCE, seconds=0.5)
        self.assertIsInstance(found, relay_model.Refused, name)
        self.assertTrue(found.may_have_run, name)
        self.assertEqual(self.n_received(), [1, 0], name)

    @tools.params(*ENDLESS)
    def test_stream_goes_elsewhere(self, name, begin, more):
        """A stream that another upstream can resume ends at its time limit."""

        def whole(connection, received):
            connection.sendall(with_length(HEAD.replace(b" r\r", b" r1\r"), EVENTS))
            return False

        begin = begin.replace(b" r\r", b" r1\r")
        for pause, sent in ((0, more), (0.005, more[:1])):
            self.relay(without_end(begin, sent, pause), whole)
            route = policy.Route(
                "r",
                "h",
                "/",
                policy.RouteKind.STREAMING,
                (policy.Share("s", 1.0),),
                timeout_seconds=4.0,
                target_latency_seconds=0.05,
                max_attempts=2,
                is_resumable=True,
            )
            inbound = relay_model.Inbound(
                "r1", "h", "POST", "/x", "/x", {}, b"", clock.now() + 4.0
            )
            with unittest.mock.patch.object(attempts, "HEAD_SECONDS", 0.2):
                found = self.streams.handle(inbound, route)
            if name == "error":
                # The request's own time limit bounds an error's body.
                continue
            self.assertIsInstance(found, relay_model.Streamed, name)
            with unittest.mock.patch.object(streams, "STALL_SECONDS", 0.2):
                self.assertEqual(b"".join(found.parts), EVENTS, name)

    def test_all_upstreams_at_once(self):
        """Answers without end take all memory together, and sound ones are dropped."""
        script = without_end(HEAD + b"\r\n", KILOBYTES, 0)
        endless = [scripted.Scripted(script, kind="engine") for _ in range(40)]
        for each in endless:
            self.addCleanup(each.stop)
        ended = []

        def read(server):
            upstream = fleet_model.FleetUpstream("u", "s", server.address, "z", 1)
            try:
                attempts.call(self.resources, upstream, self.outgoing(10.0))
            except attempts.AttemptError as error:
                ended.append(error.reason)

        self.script = sends(with_length(HEAD, b"x" * 1000))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        tasks = [eventlet.spawn(read, each) for each in endless]
        n_sound = 0
        while len(ended) < len(endless):
            n_sound += self.plain() is not None
            self.assertLessEqual(self.memory.n_bytes, self.memory.max_bytes)
        for each in tasks:
            each.wait()
        _, peak = tracemalloc.get_traced_memory()
        self.assertGreater(n_sound, 0)
        self.assertEqual(self.memory.n_bytes, 0)
        # The sum itself, what a growing buffer copies, and one part of each answer.
        self.assertLess(peak, 2 * self.memory.max_bytes + 40 * 4 * 16384)
