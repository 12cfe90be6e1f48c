"""Reading the body of an answer with one timer for all reads."""

import math
import unittest
from unittest import mock

import eventlet
from eventlet import hubs
from nose2 import tools

from bilberrydrum import clock, reasons
from bilberrydrum.requests import (
    attempts,
    body_reader,
    connections,
    outgoing_requests,
    watch,
)
from tests import helpers
from tests.fakes import scripted

PART = b"part"


class Answer:
    """An answer whose parts arrive when the test sends them; the last one is empty."""

    def __init__(self):
        self.parts = eventlet.Queue()

    def read1(self, n_bytes):
        return self.parts.get()


class BodyReaderCase(unittest.TestCase):
    def setUp(self):
        self.answer = Answer()
        self.resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch()
        )

    def reader(self, deadline=math.inf, is_idempotent=True, **fields):
        outgoing = outgoing_requests.Outgoing(
            "r", "POST", "/", {}, b"", deadline, is_idempotent, lambda: None, **fields
        )
        return body_reader.BodyReader(self.resources, outgoing, self.answer)

    def read_later(self, body, max_wait):
        """Begin a read in another task; return its list of results."""
        ended = []

        def read():
            try:
                ended.append(body.read(max_wait))
            except attempts.AttemptError as error:
                ended.append(error.reason)

        eventlet.spawn(read)
        self.settle()
        return ended

    def settle(self):
        for _ in range(5):
            eventlet.sleep(0)


class Limits(BodyReaderCase):
    def test_each_read_has_its_own_limit(self):
        """Guard against a limit that counts from an earlier read.

        A stream sends an event every 0.9 s. If its timer was not moved with each read,
        a healthy stream of any length would be cut off after the first second.
        """
        with helpers.manual_clock() as manual, self.reader() as body:
            for _ in range(5):
                ended = self.read_later(body, 1.0)
                manual.advance(0.9)
                self.settle()
                self.answer.parts.put(PART)
                self.settle()
                self.assertEqual(ended, [PART])
            ended = self.read_later(body, 1.0)
            manual.advance(0.99)
            self.settle()
            self.assertEqual(ended, [])
            manual.advance(0.01)
            self.settle()
        self.assertEqual(ended, [reasons.Reason.UPSTREAM_TIMEOUT])

    @tools.params(
        ("limit of this read", math.inf, 1.0),
        ("deadline", 1001.0, 4.0),
        ("deadline, and no limit", 1001.0, math.inf),
    )
    def test_shorter_limit(self, name, deadline, max_wait):
        """Guard against a read that ends at the later limit of the one before it.

        While an engine loads weights, its streams may be silent for four times as long.
        If the timer stayed at that time after the load, a stream that stalls then would
        be detected seconds too late.
        """
        with helpers.manual_clock() as manual, self.reader(deadline) as body:
            ended = self.read_later(body, 4.0)
            self.answer.parts.put(PART)
            self.settle()
            self.assertEqual(ended, [PART])
            ended = self.read_later(body, max_wait)
            manual.advance(0.99)
            self.settle()
            self.assertEqual(ended, [])
            manual.advance(0.01)
            self.settle()
        self.assertEqual(ended, [reasons.Reason.UPSTREAM_TIMEOUT], name)

    def test_time_between_reads(self):
        """Guard against a timer that interrupts its task outside of a read.

        A relayed stream waits for its client between two reads. If the timer raised
        there, the stream would break although its upstream has not paused.
        """
        with helpers.manual_clock() as manual, self.reader() as body:
            self.answer.parts.put(PART)
            self.assertEqual(body.read(1.0), PART)
            manual.advance(5.0)
            self.settle()
            ended = self.read_later(body, 1.0)
            manual.advance(0.9)
            self.settle()
            self.assertEqual(ended, [])
            self.answer.parts.put(PART)
            self.settle()
        self.assertEqual(ended, [PART])

    def test_timeout_of_the_caller(self):
        """A timeout around the read is not taken for the read's own."""
        with (
            self.reader() as body,
            self.assertRaises(eventlet.Timeout),
            eventlet.Timeout(0.01),
        ):
            body.read(60.0)


class ClientGone(BodyReaderCase):
    @tools.params(
        ("may run twice", True, reasons.Reason.CALLER_GONE),
        ("must not run twice", False, PART),
    )
    def test_client_gone(self, name, is_idempotent, expected):
        """A read ends when its client is gone, unless the request must not run twice.

        Without the check, an upstream would work for callers that have given up.
        """
        reader = self.reader(is_idempotent=is_idempotent, is_client_gone=lambda: True)
        with reader as body:
            ended = self.read_later(body, 60.0)
            self.resources.clients.check_all()
            self.answer.parts.put(PART)
            self.settle()
        self.assertEqual(ended, [expected], name)


class Cost(BodyReaderCase):
    """The stores' leader reads the streams of all running items in one process."""

    N_PARTS = 200

    def count(self, **fields):
        """Return the numbers of timers and client checks that the reads of a body make.

        A part is read every 0.05 s, with a limit of 1 s.
        """
        hub = hubs.get_hub()
        schedule = hub.schedule_call_global
        with helpers.manual_clock() as manual, self.reader(**fields) as body:
            for _ in range(self.N_PARTS):
                self.answer.parts.put(PART)
            with (
                mock.patch.object(
                    hub, "schedule_call_global", wraps=schedule
                ) as timers,
                mock.patch.object(
                    self.resources.clients,
                    "ending_with_client",
                    wraps=self.resources.clients.ending_with_client,
                ) as checks,
            ):
                for _ in range(self.N_PARTS):
                    body.read(1.0)
                    manual.advance(0.05)
        return timers.call_count, checks.call_count

    def test_one_timer_for_many_reads(self):
        """Guard against a timer for each event of each stream.

        With 192 streams of 20 events a second, the process would create and cancel
        3,840 timers a second.
        """
        self.assertEqual(self.count(), (1, 0))

    def test_request_with_a_client(self):
        """Guard against a stream whose client is not checked."""
        _, n_checks = self.count(is_client_gone=lambda: False)
        self.assertEqual(n_checks, self.N_PARTS)

    def test_timer_is_cancelled(self):
        """Guard against a timer that keeps a finished stream in memory."""
        with self.reader(clock.now() + 3600.0) as body:
            self.answer.parts.put(b"")
            self.assertIsNone(body.read(3600.0))
            timer = body._timer._timer
            self.assertTrue(timer.pending)
        self.assertFalse(timer.pending)


class Streams(unittest.TestCase):
    """Streams from a socket, in all framings."""

    N_EVENTS = 20

    def script(self, is_chunked):
        def script(connection, received):
            framing = "Transfer-Encoding: chunked\r\n" if is_chunked else ""
            connection.sendall(f"HTTP/1.1 200 OK\r\n{framing}\r\n".encode())
            for _ in range(self.N_EVENTS):
                connection.sendall(scripted.chunk(PART) if is_chunked else PART)
                for _ in range(10):
                    eventlet.sleep(0)
            if is_chunked:
                connection.sendall(b"0\r\n\r\n")
            return False

        return script

    @tools.params(("chunks", True), ("close", False))
    def test_registered_once(self, name, is_chunked):
        """Guard against a registration at the hub for each event of a stream."""
        server = scripted.Scripted(self.script(is_chunked), kind="engine")
        self.addCleanup(server.stop)
        resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch()
        )
        outgoing = outgoing_requests.Outgoing(
            "r", "POST", "/", {}, b"", clock.now() + 5.0, True, lambda: None
        )
        opened = attempts.open_answer(resources.pool, server.address, outgoing)
        connection = opened[0]
        number = connection.sock.fileno()
        hub = hubs.get_hub()
        with (
            mock.patch.object(hub, "add", wraps=hub.add) as add,
            body_reader.reading(resources, outgoing, *opened) as body,
        ):
            received = b"".join(body.parts(lambda: 5.0))
        connection.close()
        self.assertEqual(received, PART * self.N_EVENTS)
        own = [call for call in add.call_args_list if call.args[1] == number]
        self.assertEqual(len(own), 1, name)
        self.assertNotIn(number, hub.listeners[hub.READ])
