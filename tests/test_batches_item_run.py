"""One attempt to run an item, and every way in which the answer may end."""

import itertools
import unittest

import eventlet
from nose2 import tools

from bilberrydrum import clock, event_stream, reasons, upstream_protocol
from bilberrydrum.batches import item_run, model, texts
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.requests import attempts, connections, watch
from bilberrydrum.upstreams import model as upstream_model
from tests.fakes import scripted

Outcome = item_run.Outcome
ID = "X-Request-Id"


def upstream_at(engine):
    """Return the registry's entry of the engine."""
    return fleet_model.FleetUpstream("e", "s", engine.address, "z", 6)


class Protocol:
    """The header names that the scripted engine uses."""

    request_id_header = ID
    version_field = "version"

    def relay_headers(self, headers, attempt):
        sent = {**headers, ID: attempt.request_id}
        if attempt.last_event_number is not None:
            sent["Last-Event-Id"] = str(attempt.last_event_number)
        return sent

    def identity_of(self, headers):
        return ""

    def read_head(self, status, headers):
        version = headers.get("Version", "")
        return upstream_protocol.AnswerHead(
            is_genuine="Mark" in headers,
            was_not_run=status == 421 or "Not-Run" in headers,
            is_misdirected=status == 421,
            version=int(version) if version else None,
            work_factor=float(headers["Work"]) if "Work" in headers else None,
        )


def chunked(*parts, is_complete=True):
    body = b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in parts)
    return body + (b"0\r\n\r\n" if is_complete else b"")


def answer(body, status=200, headers=("Version: 3",), request_id="i"):
    lines = [f"HTTP/1.1 {status} X", f"{ID}: {request_id}", "Mark: m", *headers]
    lines.append("Transfer-Encoding: chunked")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def with_framing(framing, *events):
    """Return a complete answer whose end is marked by `framing`."""
    lines = ["HTTP/1.1 200 OK", f"{ID}: i", "Mark: m", "Version: 3"]
    body = b"".join(events)
    if framing == "chunks":
        return answer(chunked(*events))
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "no length":
        lines.append("Content-Length: -2")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def event(number, data=b"x", version=b""):
    line = b"version: %s\n" % version if version else b""
    return b"id: %d\n%sdata: %s\n\n" % (number, line, data)


TWO = chunked(event(1, b"a"), event(2, b"b"))


FRAMINGS = ("chunks", "length", "close")
# Where an answer ends, and how many of its events are read then; None for all of them.
ENDS = {
    "whole": None,
    "after an event": 1,
    "in an event": 1,
    "before an event": 0,
    "in the head": 0,
}


def up_to(data, end, first):
    """Return the start of the answer `data`, up to one of ENDS."""
    index = {
        "whole": len(data),
        "after an event": data.index(b"id: %d" % (first + 1)),
        "in an event": data.index(b"id: %d" % (first + 1)) + 8,
        "before an event": data.index(b"\r\n\r\n") + 4,
        "in the head": data.index(b"Mark: m\r\n") + 9,
    }[end]
    return data[:index]


class CarryOut(unittest.TestCase):
    def run_item(
        self,
        data,
        text=None,
        bounds=None,
        find_refusal=lambda: None,
        before=lambda: None,
    ):
        def script(connection, received):
            before()
            connection.sendall(data)
            return False

        return self.run_script(script, text, bounds, find_refusal)

    def run_script(self, script, text=None, bounds=None, find_refusal=lambda: None):
        engine = scripted.Scripted(script, kind=upstream_model.KIND_ENGINE)
        self.addCleanup(engine.stop)
        self.engine = engine
        self.text = text or texts.Text()
        self.work_factors = []
        run = item_run.Run(
            model.Item("i", "/x", {}, b"body", 1),
            "h",
            self.text,
            bounds or texts.Bounds(),
            clock.now() + 5.0,
            find_refusal,
            on_work_factor=self.work_factors.append,
        )
        resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch()
        )
        with eventlet.Timeout(5.0):
            upstream = upstream_at(engine)
            self.ended = item_run.carry_out(resources, Protocol(), upstream, run, 5.0)
        return self.ended.outcome

    @tools.params(
        ("whole", answer(TWO), False),
        ("cut after an event", answer(chunked(event(1), is_complete=False)), True),
        ("no answer", b"", True),
        ("a gap", answer(chunked(event(1), event(3))), False),
        ("impossible", answer(chunked(b"x"), 422), False),
    )
    def test_cut_off(self, name, data, expected):
        """A connection that breaks within an answer is reported as a possible crash."""
        self.run_item(data)
        self.assertEqual(self.ended.is_cut_off, expected, name)

    @tools.params(
        ("reported", answer(TWO, headers=("Version: 3", "Work: 2.5")), [2.5]),
        ("full", answer(chunked(), 503, ("Not-Run: 1", "Work: 2")), [2.0]),
        ("not reported", answer(TWO), []),
        ("not genuine", answer(TWO, headers=("Work: 2",)).replace(b"Mark", b"M"), []),
    )
    def test_work_factor(self, name, data, expected):
        """The engine's speed is not known although its answers report it."""
        self.run_item(data)
        self.assertEqual(self.work_factors, expected, name)

    @tools.params(
        ("whole", answer(TWO), Outcome.COMPLETED, [b"a", b"b"]),
        (
            "cut after an event",
            answer(chunked(event(1, b"a"), is_complete=False)),
            Outcome.BROKEN,
            [b"a"],
        ),
        (
            "cut in an event",
            answer(chunked(event(1, b"a"), b"id: 2\nda")),
            Outcome.BROKEN,
            [b"a"],
        ),
        ("no event", answer(chunked()), Outcome.BROKEN, []),
        ("no version", answer(TWO, headers=()), Outcome.BROKEN, []),
        ("a gap", answer(chunked(event(1), event(3))), Outcome.BROKEN, []),
        ("answer to another request", answer(TWO, request_id="j"), Outcome.BROKEN, []),
        ("no answer", b"", Outcome.BROKEN, []),
        ("not HTTP", b"garbage\r\n\r\n", Outcome.BROKEN, []),
        ("impossible", answer(chunked(b"x"), 422), Outcome.IMPOSSIBLE, []),
        ("failed", answer(chunked(b"x"), 500), Outcome.FAILED, []),
        (
            "full",
            answer(chunked(), 503, headers=("Not-Run: 1",)),
            Outcome.NOT_RUN,
            [],
        ),
        ("503 that may have run", answer(chunked(), 503), Outcome.FAILED, []),
        ("address of another", answer(chunked(), 421), Outcome.MISDIRECTED, []),
        (
            "address of another, no id",
            b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
            Outcome.MISDIRECTED,
            [],
        ),
    )
    def test_outcome(self, name, data, outcome, parts):
        self.assertEqual(self.run_item(data), outcome, name)
        self.assertEqual(self.text.parts, parts, name)

    @tools.params(
        ("can't be done", b"HTTP/1.1 422 X\r\n\r\n"),
        ("can't be done, and a length", b"HTTP/1.1 422 X\r\nContent-Length: 0\r\n\r\n"),
        ("failed", b"HTTP/1.1 500 X\r\n\r\n"),
        ("failed, cut in its head", b"HTTP/1.1 500 X\r\nX-Requ"),
    )
    def test_error_without_a_request_id(self, name, data):
        """An item is given up although no engine has refused it.

        The head of an answer is truncated before the request id, so it may be a surplus
        answer to an earlier request on the connection. If its status were
        applied to this item, 422 would end the item, and 500 would count as its
        failure. Engines send the request id in all answers.
        """
        self.assertEqual(self.run_item(data), Outcome.BROKEN, name)
        self.assertEqual(self.ended.is_cut_off, "cut in its head" in name)

    def test_address_of_another_keeps_the_text(self):
        """Guard against a text that is begun anew because an engine has moved."""
        text = texts.Text([b"a"], {3}, 1)
        outcome = self.run_item(answer(chunked(), 421), text)
        self.assertEqual((outcome, text.parts), (Outcome.MISDIRECTED, [b"a"]))
        self.assertFalse(self.ended.is_cut_off)

    def test_versions_of_each_event(self):
        data = answer(chunked(event(1, b"a"), event(2, b"b", b"4"), event(3, b"c")))
        self.assertEqual(self.run_item(data), Outcome.COMPLETED)
        result = self.text.result("i")
        self.assertEqual((result.text, result.versions), (b"a\nb\nc", (3, 4)))

    @tools.params(
        ("too old", texts.Bounds(4), Outcome.WRONG_VERSION),
        ("single", texts.Bounds(0, True), Outcome.WRONG_VERSION),
        ("both fit", texts.Bounds(3), Outcome.COMPLETED),
    )
    def test_versions_that_the_batch_does_not_allow(self, name, bounds, outcome):
        data = answer(chunked(event(1), event(2, b"b", b"4")))
        self.assertEqual(self.run_item(data, bounds=bounds), outcome, name)

    def test_too_old_version_keeps_the_text(self):
        """An engine with a too old version adds nothing; the text so far is kept."""
        text = texts.Text([b"a"], {5}, 1)
        data = answer(chunked(event(2, b"b")))
        outcome = self.run_item(data, text, bounds=texts.Bounds(4))
        self.assertEqual(outcome, Outcome.WRONG_VERSION)
        self.assertEqual((text.parts, self.ended.version), ([b"a"], 3))

    def test_result_has_the_engine_s_version(self):
        """An item is resumed at an engine that serves an earlier version.

        The result must contain the version of this engine's events. With the newest
        version of the text the engine would get items that it cannot serve.
        """
        text = texts.Text([b"a"], {7}, 1)
        self.assertEqual(
            self.run_item(answer(chunked(event(2, b"b"))), text), Outcome.COMPLETED
        )
        self.assertEqual(self.ended.version, 3)

    def test_resumed_after_the_last_whole_event(self):
        text = texts.Text([b"a"], {2}, 1)
        data = answer(chunked(event(2, b"b")))
        self.assertEqual(self.run_item(data, text), Outcome.COMPLETED)
        self.assertEqual(self.engine.received[0].headers["last-event-id"], "1")
        self.assertEqual(text.result("i").versions, (2, 3))

    def test_resumed_after_the_very_last_event(self):
        """A text is resumed although it is complete already, and is resent forever.

        The batch ended after the item's last event was read but before the end of the
        answer, and the item was submitted again. The engine has no events to add and
        so sends no version. If the answer counted as broken, the item would be resent
        until its deadline.
        """
        text = texts.Text([b"a", b"b"], {2}, 2)
        data = answer(chunked(), headers=())
        self.assertEqual(self.run_item(data, text), Outcome.UNCONFIRMED)
        self.assertEqual(self.run_item(data, text), Outcome.COMPLETED)
        self.assertEqual(text.result("i").text, b"a\nb")

    def test_one_empty_answer_does_not_complete_a_text(self):
        """An incomplete text is listed as completed.

        An engine that is asked to resume after event 1 fails before it generates
        another one, and ends its answer normally: `outcome` completed, `asked_after` 1,
        no event. The next engine generates the rest.
        """
        text = texts.Text([b"a"], {3}, 1)
        empty = answer(chunked())
        self.assertEqual(self.run_item(empty, text), Outcome.UNCONFIRMED)
        rest = answer(chunked(event(2, b"b")))
        self.assertEqual(self.run_item(rest, text), Outcome.COMPLETED)
        self.assertEqual(text.result("i").text, b"a\nb")

    def test_empty_answers_between_events(self):
        """An event resets the count of empty answers: the text was not complete."""
        text = texts.Text([b"a"], {3}, 1)
        empty = answer(chunked())
        self.assertEqual(self.run_item(empty, text), Outcome.UNCONFIRMED)
        more = answer(chunked(event(2, b"b"), is_complete=False))
        self.assertEqual(self.run_item(more, text), Outcome.BROKEN)
        self.assertEqual(self.run_item(empty, text), Outcome.UNCONFIRMED)

    @tools.params(
        ("a bare head", b"HTTP/1.1 200 OK\r\n\r\n"),
        ("and a length", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        (
            "and chunks",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
        ("and an event", b"HTTP/1.1 200 OK\r\nVersion: 3\r\n\r\n" + event(3)),
        ("not yet due", b"HTTP/1.1 200 OK\r\nVersion: 3\r\n\r\n" + event(1)),
    )
    def test_answer_without_a_signature(self, name, data):
        """An incomplete text is listed as completed.

        The item's run breaks off after event 2. The next engine is asked to resume, and
        its answer is damaged: a status line without headers, then the connection
        closes. Without events or an error this looks like an engine that has nothing to
        add. Genuine answers without events carry the engine's signature (125 of 125).
        """
        text = texts.Text([b"a", b"b"], {2}, 2)
        self.assertEqual(self.run_item(data, text), Outcome.BROKEN, name)
        self.assertEqual((text.parts, text.versions), ([b"a", b"b"], {2}), name)

    @tools.params(
        ("chunks", [Outcome.UNCONFIRMED, Outcome.COMPLETED], [b"a", b"b"]),
        ("length", [Outcome.UNCONFIRMED, Outcome.COMPLETED], [b"a", b"b"]),
        ("close", [Outcome.BROKEN, Outcome.BROKEN], []),
        # No answer at all, so the text is kept.
        ("no length", [Outcome.BROKEN, Outcome.BROKEN], [b"a", b"b"]),
    )
    def test_resumed_answer_without_events(self, framing, outcomes, parts):
        """An incomplete text is listed as completed.

        An engine sends the head of its answer and crashes before the first event; its
        host closes the connection normally. Without a length or chunks this looks like
        an engine that has nothing to add, and nothing else shows how many events are
        missing. So the text is generated again from the start: if it were resumed once
        more, the same could happen endlessly.
        """
        text = texts.Text([b"a", b"b"], {2}, 2)
        data = with_framing(framing)
        self.assertEqual([self.run_item(data, text) for _ in range(2)], outcomes)
        self.assertEqual(text.parts, parts)

    @tools.params("chunks", "length", "close")
    def test_complete_with_any_framing(self, framing):
        """An answer without length and chunks ends when the connection closes."""
        body = event(1, b"a") + event(2, b"b")
        outcome = self.run_item(with_framing(framing, body))
        self.assertEqual((outcome, self.text.parts), (Outcome.COMPLETED, [b"a", b"b"]))
        self.assertEqual(self.ended.reading.framing, framing)

    def test_length_that_is_no_number(self):
        """A part of a text is listed as completed, as its length was passed over."""
        body = event(1, b"a") + event(2, b"b")
        outcome = self.run_item(with_framing("no length", body))
        self.assertEqual((outcome, self.text.parts), (Outcome.BROKEN, []))

    @tools.params(0, 2, 3)
    def test_stream_that_starts_late(self, number):
        """A text that lacks its beginning is listed as completed.

        An item starts, and the first event of the answer is not event 1: earlier events
        were lost, or the answer is part of another one. If any number were accepted as
        the first event of an empty text, the rest would be taken for the complete text.
        Genuine streams start with event 1 (1,236 of 1,236).
        """
        data = answer(chunked(event(number), event(number + 1)))
        self.assertEqual((self.run_item(data), self.text.parts), (Outcome.BROKEN, []))

    @tools.params(
        ("cleared", lambda text: text.clear(), 3),
        ("cleared, and started again", lambda text: text.clear(), 1),
        (
            "another run went on",
            lambda text: text.add(event_stream.Event(3, b"y"), 2),
            3,
        ),
        ("and a gap", lambda text: text.add(event_stream.Event(3, b"y"), 2), 4),
    )
    def test_text_that_changes_after_the_request(self, name, change, first):
        """A text gets events of a run that did not resume after its last event.

        The engine is asked to resume after event 2. Before it answers, the text
        changes: it is cleared, or another run appends to it. If the first event of
        the answer is compared with the changed text instead of the request, it may seem
        to follow.
        """
        text = texts.Text([b"a", b"b"], {2}, 2)
        data = answer(chunked(event(first, b"c"), event(first + 1, b"d")))
        outcome = self.run_item(data, text, before=lambda: change(text))
        self.assertEqual((outcome, text.parts), (Outcome.BROKEN, []), name)

    @tools.params(
        ("no event is added", (), [3]),
        ("started again elsewhere", (), [None, 1]),
        ("one event is added", (3,), [4]),
    )
    def test_text_that_changes_before_the_end(self, name, numbers, changes):
        """A completed result has a different text than its run generated.

        The engine is asked to resume after event 2 and completes its answer. The text
        has changed in the meantime, so the end of the answer is not the end of the
        text.
        """
        text = texts.Text([b"a", b"b"], {2}, 2)

        def serve(connection, received):
            head = answer(chunked(*map(event, numbers), is_complete=False))
            connection.sendall(head)
            while text.last_number != 2 + len(numbers):
                eventlet.sleep(0.001)
            for each in changes:
                if each is None:
                    text.clear()
                else:
                    text.add(event_stream.Event(each, b"y"), 2)
            connection.sendall(scripted.LAST_CHUNK)
            return False

        self.assertEqual(self.run_script(serve, text), Outcome.BROKEN, name)
        self.assertEqual(text.parts, [], name)

    def test_two_runs_that_alternate(self):
        """A text contains an event of another run, or one event twice.

        While events of one run arrive, another run appends to the same text. Each run
        sees its own events in order, so only the text can detect this.
        """
        text = texts.Text([b"a"], {2}, 1)

        def serve(connection, received):
            head = answer(chunked(event(2, b"b"), is_complete=False))
            connection.sendall(head)
            while text.last_number != 2:
                eventlet.sleep(0.001)
            text.add(event_stream.Event(3, b"y"), 2)
            connection.sendall(chunked(event(3, b"c")))
            return False

        outcome = self.run_script(serve, text)
        self.assertEqual((outcome, text.parts), (Outcome.BROKEN, []))
        self.assertIn("event 3", self.ended.detail)

    @tools.params(*itertools.product(FRAMINGS, ENDS, (False, True)))
    def test_answer_that_ends_anywhere(self, framing, end, is_resumed):
        """An incomplete text is listed as completed after an answer that broke off.

        The answer ends at each possible place, for each framing. One case can't be
        detected: an answer that is delimited by the close of the connection, which a
        crashing engine closes normally between two events.
        """
        text = texts.Text([b"a"], {3}, 1) if is_resumed else texts.Text()
        first = 2 if is_resumed else 1
        due = [event(n, b"abcd"[n - 1 : n]) for n in range(first, 5)]
        parts = [b"a", b"b", b"c", b"d"]
        data = up_to(with_framing(framing, *due), end, first)
        outcome = self.run_item(data, text)
        is_detectable = (framing, end) != ("close", "after an event")
        is_complete = end == "whole" or not is_detectable
        self.assertEqual(outcome, Outcome.COMPLETED if is_complete else Outcome.BROKEN)
        n_read = ENDS[end]
        if n_read is not None:
            parts = parts[: first - 1 + n_read]
        if (framing, end) == ("close", "before an event"):
            # The answer only closes, without an event.
            parts = []
        self.assertEqual(text.parts, parts)

    def test_answer_that_repeats_an_event(self):
        text = texts.Text([b"a"], {2}, 1)
        outcome = self.run_item(answer(chunked(event(1, b"a"))), text)
        self.assertEqual((outcome, text.parts), (Outcome.BROKEN, []))

    def test_refused_before_it_is_sent(self):
        refusal = reasons.Reason.UPSTREAM_LEFT
        outcome = self.run_item(answer(TWO), find_refusal=lambda: refusal)
        self.assertEqual(outcome, Outcome.NOT_RUN)
        self.assertEqual(self.engine.received, [])

    def test_unreachable(self):
        """The address of a crashed engine refuses connections.

        If the engine counted as full, it would be tried again every few hundredths of a
        second.
        """
        engine = scripted.Scripted(lambda c, r: False, kind=upstream_model.KIND_ENGINE)
        engine.stop()
        run = item_run.Run(
            model.Item("i", "/x", {}, b"", 1),
            "h",
            texts.Text(),
            texts.Bounds(),
            clock.now() + 5.0,
            lambda: None,
        )
        resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch()
        )
        ended = item_run.carry_out(resources, Protocol(), upstream_at(engine), run, 5.0)
        self.assertEqual(ended.outcome, Outcome.UNREACHABLE)

    def test_reader_continues_after_an_event(self):
        reader = event_stream.EventReader("version", 1)
        self.assertEqual(reader.feed(event(2))[0].number, 2)
