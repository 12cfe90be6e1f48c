"""Tests of relayed requests whose upstream's answer breaks off or is malformed.

The first upstream's answer is cut at each byte; the second one is sound.
"""

import itertools

from nose2 import tools

from bilberrydrum.relay import model, streams
from tests import framing_support, relay_support

HEAD = framing_support.HEAD.replace(b" r\r", b" r1\r")
EVENTS = framing_support.EVENTS
FIRST_EVENT = EVENTS[: EVENTS.index(b"id: 2")]
FRAMINGS = (framing_support.with_length, framing_support.in_chunks)
MALFORMED = (
    HEAD.replace(b"HTTP/1.1", b"HTTP/2"),
    HEAD + b"Content-Length 4\r\n",
    HEAD + b"Content-Length: 4\r\nContent-Length: 9\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n0x4\r\n",
)


def rest(connection, received):
    """Answer with the events that follow the last one that was received."""
    begin = {"1": len(FIRST_EVENT), "2": len(EVENTS)}.get(
        received.headers.get("last"), 0
    )
    connection.sendall(framing_support.with_length(HEAD, EVENTS[begin:]))


class Relayed(relay_support.RelayCase):
    def answers(self):
        """Return all beginnings of answers, each with how its connection ends."""
        for framing, is_reset in itertools.product(FRAMINGS, (False, True)):
            whole = framing(HEAD, EVENTS)
            for n_bytes in range(len(whole)):
                yield whole[:n_bytes], is_reset
        for data in MALFORMED:
            yield data + b"\r\nbody", False

    def test_idempotent_request(self):
        """A request that another upstream can serve gets a part of an answer."""
        for data, is_reset in self.answers():
            first = framing_support.sends(data, is_reset)
            found = self.handle(self.relay(first, relay_support.OK))
            self.assertIsInstance(found, model.Answered, data)
            self.assertEqual((found.status, found.body), (200, b"ok"), data)

    def test_request_that_may_run_once(self):
        """It gets a part of an answer, runs twice, or is said not to have run."""
        for data, is_reset in self.answers():
            first = framing_support.sends(data, is_reset)
            relay = self.relay(first, relay_support.OK)
            found = self.handle(relay, kind=relay_support.ONCE)
            self.assertIsInstance(found, model.Refused, data)
            self.assertTrue(found.may_have_run, data)
            self.assertEqual(self.n_received(), [1, 0], data)

    def stream(self, is_resumable):
        """Return the bytes of a stream, and whether it ended as complete."""
        found = self.handle_stream(is_resumable, 2.0)
        if isinstance(found, model.Refused):
            return b"", not found.may_have_run
        received = b""
        try:
            for part in found.parts:
                received += part
        except streams.BrokenError:
            return received, False
        return received, True

    def test_resumed_stream(self):
        """A stream lacks an event, or has one twice, after a break at any byte."""
        for data, is_reset in self.answers():
            self.relay(framing_support.sends(data, is_reset), rest)
            self.assertEqual(self.stream(True), (EVENTS, True), data)

    def test_stream_that_may_run_once(self):
        """A part of a stream ends as complete, or the stream runs twice."""
        for data, is_reset in self.answers():
            self.relay(framing_support.sends(data, is_reset), rest)
            received, is_complete = self.stream(False)
            self.assertFalse(is_complete, data)
            self.assertIn(received, (b"", FIRST_EVENT, EVENTS), data)
            self.assertEqual(self.n_received(), [1, 0], data)

    @tools.params(*FRAMINGS)
    def test_whole(self, framing):
        self.relay(framing_support.sends(framing(HEAD, EVENTS)), rest)
        self.assertEqual(self.stream(False), (EVENTS, True))
        self.assertEqual(self.n_received(), [1, 0])
