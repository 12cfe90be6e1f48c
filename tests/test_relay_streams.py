"""Tests of relayed streams: when they are resumed, and when they are complete."""

import socket
import struct

import eventlet
from nose2 import tools

from bilberrydrum.relay import model, streams
from tests import relay_support

ID = relay_support.ID
answer = relay_support.answer
close = relay_support.close
answer_with_other_id = relay_support.answer_with_other_id
FULL = relay_support.FULL
FAILED = relay_support.FAILED
NOT_GENUINE = relay_support.NOT_GENUINE
# A failure that does not say that the request did not run.
UNKNOWN_503 = relay_support.answer(b"", 503)
MISDIRECTED = relay_support.MISDIRECTED
MISDIRECTED_WITHOUT_ID = relay_support.without_id(421)


def events(*numbers, is_whole=True):
    def script(connection, received):
        head = f"HTTP/1.1 200 X\r\n{ID}: {received.request_id}\r\n"
        connection.sendall(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in numbers:
            data = b"id: %d\ndata: x\n\n" % number
            connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))
        if is_whole:
            connection.sendall(b"0\r\n\r\n")
        return False

    return script


def framed(framing, *numbers):
    """Return a script that answers with this framing: chunks, a length or neither.

    "cut in its ..." has the framing but ends before the announced end.
    """
    if framing.endswith("chunks"):
        return events(*numbers, is_whole=framing == "chunks")

    def script(connection, received):
        body = b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)
        head = f"HTTP/1.1 200 X\r\n{ID}: {received.request_id}\r\n"
        if framing.endswith("length"):
            n_missing = 0 if framing == "length" else 9
            head += f"Content-Length: {len(body) + n_missing}\r\n"
        connection.sendall(head.encode() + b"\r\n" + body)
        return False

    return script


def half_an_event(connection, received):
    events(1, is_whole=False)(connection, received)
    connection.sendall(b"7\r\nid: 2\nd\r\n")
    return False


class Streams(relay_support.RelayCase):
    """The caller's events, and the number of requests that each upstream received."""

    def stream(self, scripts, is_resumable, headers=None, n_attempts=2, method="POST"):
        self.relay(*scripts)
        return self.stream_again(is_resumable, headers, n_attempts, method)

    def stream_again(self, is_resumable, headers=None, n_attempts=2, method="POST"):
        """Send a stream through the same relay as the one before."""
        with eventlet.Timeout(5.0):
            answer = self.handle_stream(is_resumable, 3.0, headers, n_attempts, method)
            if isinstance(answer, model.Answered):
                return [], str(answer.status)
            if isinstance(answer, model.Refused):
                return [], "may have run" if answer.may_have_run else "not run"
            numbers = []
            try:
                for part in answer.parts:
                    numbers.append(int(part.split(b"\n")[0][4:]))
            except streams.BrokenError:
                return numbers, "broken"
            return numbers, "whole"

    CUT = staticmethod(events(1, 2, is_whole=False))

    @tools.params(
        ("whole", (events(1, 2),), False, [1, 2], "whole", [1]),
        ("full, then whole", (FULL, events(1)), False, [1], "whole", [1, 1]),
        ("cut", (CUT, events(3)), False, [1, 2], "broken", [1, 0]),
        ("cut, resumed", (CUT, events(3)), True, [1, 2, 3], "whole", [1, 1]),
        ("cut in an event", (half_an_event, events(2)), True, [1, 2], "whole", [1, 1]),
        ("resumed from event 1", (CUT, events(1)), True, [1, 2], "broken", [1, 1]),
        (
            "cut twice",
            (CUT, events(3, is_whole=False)),
            True,
            [1, 2, 3],
            "broken",
            [1, 1],
        ),
        ("resumed, not genuine", (CUT, NOT_GENUINE), True, [1, 2], "broken", [1, 1]),
        ("resumed and failed", (CUT, FAILED), True, [1, 2], "broken", [1, 1]),
        ("resumed, both full", (CUT, FULL, FULL), True, [1, 2], "broken", [1, 1, 1]),
        (
            "resumed, another id",
            (CUT, answer_with_other_id),
            True,
            [1, 2],
            "broken",
            [1, 1],
        ),
        ("closed", (close, events(1)), False, [], "may have run", [1, 0]),
        ("closed, resumable", (close, events(1)), True, [1], "whole", [1, 1]),
        ("failed", (FAILED, events(1)), False, [], "500", [1, 0]),
        ("503 of its own", (UNKNOWN_503, events(1)), False, [], "may have run", [1, 0]),
        ("503, resumable", (UNKNOWN_503, events(1)), True, [1], "whole", [1, 1]),
        ("failed, resumable", (FAILED, events(1)), True, [1], "whole", [1, 1]),
        ("both full", (FULL, FULL), True, [], "not run", [1, 1]),
        ("address", (MISDIRECTED, events(1)), False, [1], "whole", [1, 1]),
        ("address, no id", (MISDIRECTED_WITHOUT_ID, events(1)), False, [1], "whole")
        + ([1, 1],),
        ("address, resumable", (MISDIRECTED, events(1)), True, [1], "whole", [1, 1]),
        ("both addresses", (MISDIRECTED,) * 2, False, [], "not run", [1, 1]),
        ("both, resumable", (MISDIRECTED,) * 2, True, [], "not run", [1, 1]),
    )
    def test_stream(self, name, scripts, is_resumable, numbers, outcome, n_received):
        self.assertEqual(self.stream(scripts, is_resumable), (numbers, outcome), name)
        self.assertEqual(self.n_received(), n_received, name)

    def test_resumed_at_a_reused_address(self):
        """Guard against 421s that use up the attempts of a stream to be resumed."""
        other = relay_support.in_turn(MISDIRECTED, MISDIRECTED, events(3))
        given = self.stream((self.CUT, other, other, other), True)
        self.assertEqual(given, ([1, 2, 3], "whole"))
        self.assertEqual(self.n_received(), [1, 1, 1, 1])

    def test_only_upstream_is_not_asked_by_each_retry(self):
        """Guard against a storm of retries at an address that refuses each of them."""
        self.stream((MISDIRECTED,), False)
        for _ in range(20):
            self.assertEqual(self.stream_again(False), ([], "not run"))
        self.assertEqual(self.n_received(), [1])

    @tools.params(True, False)
    def test_reused_address_is_not_asked_again_at_once(self, is_resumable):
        """Guard against each stream that goes to a reused address first."""
        self.stream((MISDIRECTED, events(1)), is_resumable)
        for _ in range(10):
            self.assertEqual(self.stream_again(is_resumable), ([1], "whole"))
        self.assertEqual(self.n_received(), [1, 11])

    def test_resumed_after_the_last_complete_event(self):
        self.stream((self.CUT, events(3)), True)
        self.assertEqual(self.servers[1].received[0].headers["last"], "2")

    @tools.params(
        ("goes on", events(5, 6), ["4"]),
        ("from its beginning", events(1, 2), ["4", "4"]),
        ("with the event before", events(4, 5), ["4", "4"]),
        ("begins late", events(6), ["4", "4"]),
        ("a gap", events(5, 7), ["4", "5"]),
        ("twice", events(5, 5), ["4", "5"]),
    )
    def test_stream_that_its_caller_resumes(self, name, first, asked_after):
        """The caller resumes after event 4, and an upstream continues with a wrong one.

        Forwarded, the caller's text would have a gap or a repetition. So the rest is
        requested from another upstream.
        """

        def sound(connection, received):
            numbers = range(int(received.headers["last"]) + 1, 7)
            return events(*numbers)(connection, received)

        given = self.stream((first, sound), True, {"Last": "4"})
        self.assertEqual(given, ([5, 6], "whole"), name)
        asked = [each.headers["last"] for one in self.servers for each in one.received]
        self.assertEqual(asked, asked_after, name)

    @tools.params(
        ("chunks", "whole"),
        ("length", "whole"),
        ("close", "broken"),
        ("cut in its chunks", "broken"),
        ("cut in its length", "broken"),
    )
    def test_resumed_stream_without_further_events(self, framing, outcome):
        """A stream of which the second half is missing ends as complete.

        The first run breaks off after event 2. The engine that is asked to resume after
        it answers 200, and its own run fails before the first event. An engine that has
        nothing to add marks the end by a length or a last chunk (125 of 125 answers in
        an experiment); one that crashed before its first event did not (9 of 9). So an
        answer that merely ends with its connection must reach the caller as a break.
        """
        given = self.stream((self.CUT, framed(framing)), True)
        self.assertEqual(given, ([1, 2], outcome))

    def test_another_engine_is_tried_after_an_answer_that_ends_with_its_connection(
        self,
    ):
        asked_after = []

        def go_on(connection, received):
            asked_after.append(received.headers["last"])
            script = framed("close") if len(asked_after) == 1 else events(3)
            return script(connection, received)

        given = self.stream((self.CUT, go_on, go_on), True, n_attempts=3)
        self.assertEqual(given, ([1, 2, 3], "whole"))
        self.assertEqual(asked_after, ["2", "2"])

    @tools.params(
        # Framing of the answer, whether the stream is resumable, the number after which
        # the caller resumes it; the expected events and outcome.
        ("chunks", True, None, [1], "whole"),
        ("length", True, None, [1], "whole"),
        ("close", True, None, [1], "whole"),
        ("chunks", True, "0", [1], "whole"),
        ("chunks", False, None, [], "broken"),
        ("length", False, None, [], "broken"),
        ("close", False, None, [], "broken"),
        ("chunks", True, "4", [], "whole"),
        ("length", True, "4", [], "whole"),
        ("close", True, "4", [5], "whole"),
        ("cut in its chunks", True, "4", [5], "whole"),
    )
    def test_first_answer_without_an_event(
        self, framing, is_resumable, last, numbers, outcome
    ):
        """The caller gets a stream without any event that looks complete.

        The engine accepts the request, answers 200, and its run fails before event 1,
        or before the event after the last one that the caller has. A resumable stream
        is requested from another engine; of any other one the caller sees a break. A
        caller that resumes after the very last event gets a complete stream without
        events.
        """
        headers = {} if last is None else {"Last": last}
        scripts = (framed(framing), events(*(numbers or [1])))
        given = self.stream(scripts, is_resumable, headers)
        self.assertEqual(given, (numbers, outcome))

    @tools.params((True, [1, 2], "whole"), (False, [1], "broken"))
    def test_reset_is_not_the_end_of_a_stream(self, is_resumable, numbers, outcome):
        """The upstream crashes between two events of an answer without framing.

        Its connections are reset. If the reset is read as the end of the answer, the
        truncated stream looks complete.
        """

        def reset(connection, received):
            framed("close", 1)(connection, received)
            # Without this pause the reset may overtake the event.
            eventlet.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.fd.close()
            return False

        given = self.stream((reset, events(2)), is_resumable)
        self.assertEqual(given, (numbers, outcome))

    def test_answer_to_a_head_request_is_complete(self):
        given = self.stream((framed("length"),), True, method="HEAD")
        self.assertEqual((given, self.n_received()), (([], "whole"), [1]))

    @tools.params(
        ("begins late", events(2, 3), events(1, 2, 3), True, [1, 2, 3], "whole"),
        ("begins late, runs once", events(2, 3), events(1), False, [], "broken"),
        ("begins with 0", events(0, 1), events(1, 2), True, [1, 2], "whole"),
    )
    def test_stream_that_does_not_begin_with_its_first_event(
        self, name, first, second, is_resumable, numbers, outcome
    ):
        """The caller gets a stream without its beginning that looks complete.

        The request did not ask to resume, but the engine's answer begins with event 2,
        like an answer to a request that resumes after event 1. The relay must not
        accept an arbitrary number for the first event.
        """
        given = self.stream((first, second), is_resumable)
        self.assertEqual(given, (numbers, outcome), name)
