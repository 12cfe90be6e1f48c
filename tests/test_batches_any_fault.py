"""Drawn troubles of engines: whatever they do, a whole text is the whole output."""

import socket
import struct
import unittest

import attrs
import eventlet
import hypothesis
from hypothesis import strategies

from bilberrydrum import clock
from bilberrydrum.batches import item_run, model, texts
from bilberrydrum.requests import attempts, connections, watch
from bilberrydrum.upstreams import model as upstream_model
from tests import test_batches_item_run as answers
from tests.fakes import scripted

Outcome = item_run.Outcome
# An item's whole output at any engine.
N_EVENTS = 5
OUTPUT = [b"part %d" % n for n in range(1, N_EVENTS + 1)]


@attrs.frozen
class Trouble:
    """What one attempt meets."""

    framing: str
    # What is done to the events that are due.
    damage: str
    # The event that is damaged, counted among those that are due.
    index: int
    # Bytes that are sent of the answer, in 1,000ths of them; 1,000: all.
    sent: int
    is_reset: bool


def damaged(due, trouble):
    """Return the events of `due` as a faulty engine sends them."""
    events = list(due)
    at = trouble.index % max(len(events), 1)
    if trouble.damage == "repeats":
        events[at:at] = events[at : at + 1]
    elif trouble.damage == "leaves out" and at < len(events) - 1:
        del events[at]
    elif trouble.damage == "swaps":
        events[at : at + 2] = reversed(events[at : at + 2])
    elif trouble.damage == "no number" and events:
        events[at] = events[at].replace(b"id: ", b"in: ")
    return events


def due_after(number):
    """Return the events that an engine sends that is asked to go on after `number`."""
    return [answers.event(n, OUTPUT[n - 1]) for n in range(number + 1, N_EVENTS + 1)]


def bytes_of(trouble, asked_after):
    """Return what an engine sends."""
    if trouble.damage == "a bare head":
        return b"HTTP/1.1 200 OK\r\n\r\n"
    due = due_after(0 if trouble.damage == "begins" else asked_after)
    data = answers.with_framing(trouble.framing, *damaged(due, trouble))
    n_sent = len(data) * trouble.sent // 1000
    if trouble.framing == "close" and not trouble.is_reset:
        n_sent = not_between_events(data, n_sent)
    return data[:n_sent]


def not_between_events(data, n_sent):
    """Return an end that can be told: none in order, after an event that is not last.

    An answer without length or chunks that is closed there looks whole (see
    `CarryOut.test_every_end`), also if nothing but line ends of the next one are there.
    """
    head, _, body = data[:n_sent].partition(b"\r\n\r\n")
    is_between = body and not body.rpartition(b"\n\n")[2].strip()
    return n_sent - 3 if is_between and n_sent < len(data) else n_sent


def reset(connection):
    """Have the connection's closing reset it."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


TROUBLES = strategies.builds(
    Trouble,
    strategies.sampled_from(answers.FRAMINGS),
    strategies.sampled_from(
        ("", "", "", "repeats", "leaves out", "swaps", "no number", "a bare head")
        + ("begins",)
    ),
    strategies.integers(0, N_EVENTS - 1),
    strategies.integers(0, 1000) | strategies.just(1000),
    strategies.booleans(),
)


class AnyTrouble(unittest.TestCase):
    """Whatever engines do, a text that is said to be whole is the whole output."""

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(
        strategies.lists(TROUBLES, max_size=6), strategies.integers(0, N_EVENTS)
    )
    def test_text(self, troubles, n_read):
        """An item meets several engines, and is resumed after any of its events.

        Engines end at any byte, in order or by a reset, send a head alone, begin anew
        though asked to go on, and repeat, leave out, swap and spoil events. After these
        comes an engine without a fault, and then the text has to be whole.
        """
        text = texts.Text(OUTPUT[:n_read], {3}, n_read) if n_read else texts.Text()
        for trouble in troubles:
            if self.attempt(text, trouble) is Outcome.COMPLETED:
                break
            self.assertEqual(text.parts, OUTPUT[: len(text.parts)])
        else:
            well = Trouble("chunks", "", 0, 1000, False)
            outcome = self.attempt(text, well)
            if outcome is Outcome.UNCONFIRMED:
                outcome = self.attempt(text, well)
            self.assertEqual(outcome, Outcome.COMPLETED)
        self.assertEqual(text.parts, OUTPUT)

    def attempt(self, text, trouble):
        def script(connection, received):
            asked_after = int(received.headers.get("last-event-id", 0))
            connection.sendall(bytes_of(trouble, asked_after))
            if trouble.is_reset and trouble.sent < 1000:
                reset(connection)
            return False

        engine = scripted.Scripted(script, kind=upstream_model.KIND_ENGINE)
        run = item_run.Run(
            model.Item("i", "/x", {}, b"", 1),
            "h",
            text,
            texts.Bounds(),
            clock.now() + 5.0,
            lambda: None,
        )
        means = attempts.Means(connections.Connections(), watch.Watch())
        try:
            with eventlet.Timeout(5.0):
                upstream = answers.upstream_at(engine)
                ended = item_run.carry_out(
                    means, answers.Protocol(), upstream, run, 5.0
                )
        finally:
            engine.stop()
        return ended.outcome
