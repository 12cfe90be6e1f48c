"""Tests of answers without end, at each exchange and beside sound upstreams."""

import tracemalloc
import unittest.mock

import eventlet
from nose2 import tools

from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.relay import model as relay_model
from bilberrydrum.relay import streams
from bilberrydrum.requests import answer_memory, attempts, connections, watch
from tests import framing_support, relay_support
from tests.fakes import scripted

HEAD = framing_support.HEAD
EVENTS = framing_support.EVENTS
with_length = framing_support.with_length
sends = framing_support.sends
EXCHANGES = framing_support.EXCHANGES


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
    (
        "length",
        HEAD + b"Content-Length: 999999999999\r\n\r\n",
        KILOBYTES,
    ),
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


class WithoutEnd(relay_support.RelayCase, framing_support.ExchangeCase):
    def setUp(self):
        framing_support.ExchangeCase.setUp(self)
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
            connection.sendall(
                with_length(
                    HEAD.replace(b" r\r", b" r1\r"),
                    EVENTS,
                )
            )
            return False

        begin = begin.replace(b" r\r", b" r1\r")
        for pause, sent in ((0, more), (0.005, more[:1])):
            self.relay(without_end(begin, sent, pause), whole)
            with unittest.mock.patch.object(attempts, "HEAD_SECONDS", 0.2):
                found = self.handle_stream(True, 4.0)
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
