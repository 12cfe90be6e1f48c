"""Random faults of engines: a text reported as complete is the complete output."""

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
# The complete output of the item, the same at every engine.
N_EVENTS = 5
OUTPUT = [b"part %d" % n for n in range(1, N_EVENTS + 1)]


@attrs.frozen
class Fault:
    """The fault that one attempt meets."""

    framing: str
    # What is done to the events that the engine should send.
    damage: str
    # Index of the damaged event among these.
    index: int
    # Share of the answer's bytes that is sent, in thousandths.
    sent: int
    is_reset: bool


def damaged(due, fault):
    """Return the events `due` as the faulty engine sends them."""
    events = list(due)
    at = fault.index % max(len(events), 1)
    if fault.damage == "repeats":
        events[at:at] = events[at : at + 1]
    elif fault.damage == "leaves out" and at < len(events) - 1:
        del events[at]
    elif fault.damage == "swaps":
        events[at : at + 2] = reversed(events[at : at + 2])
    elif fault.damage == "no number" and events:
        events[at] = events[at].replace(b"id: ", b"in: ")
    return events


def due_after(number):
    """Return the events that an engine should send when resuming after `number`."""
    return [answers.event(n, OUTPUT[n - 1]) for n in range(number + 1, N_EVENTS + 1)]


def bytes_of(fault, asked_after):
    """Return the bytes that the faulty engine sends."""
    if fault.damage == "a bare head":
        return b"HTTP/1.1 200 OK\r\n\r\n"
    due = due_after(0 if fault.damage == "begins" else asked_after)
    data = answers.with_framing(fault.framing, *damaged(due, fault))
    n_sent = len(data) * fault.sent // 1000
    if fault.framing == "close" and not fault.is_reset:
        n_sent = not_between_events(data, n_sent)
    return data[:n_sent]


def not_between_events(data, n_sent):
    """Return `n_sent`, moved back if the cut would look like a complete answer.

    An answer without length or chunks whose connection is closed between two events
    looks complete (see `CarryOut.test_every_end`), also if only line ends of the next
    event were sent. No reader can detect such a cut.
    """
    head, _, body = data[:n_sent].partition(b"\r\n\r\n")
    is_between = body and not body.rpartition(b"\n\n")[2].strip()
    return n_sent - 3 if is_between and n_sent < len(data) else n_sent


def reset(connection):
    """Make the connection send a reset when it is closed."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


FAULTS = strategies.builds(
    Fault,
    strategies.sampled_from(answers.FRAMINGS),
    strategies.sampled_from(
        ("", "", "", "repeats", "leaves out", "swaps", "no number", "a bare head")
        + ("begins",)
    ),
    strategies.integers(0, N_EVENTS - 1),
    strategies.integers(0, 1000) | strategies.just(1000),
    strategies.booleans(),
)


class AnyFault(unittest.TestCase):
    """Whatever engines do, a text reported as complete is the complete output."""

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(
        strategies.lists(FAULTS, max_size=6), strategies.integers(0, N_EVENTS)
    )
    def test_text(self, faults, n_read):
        """Guard against a damaged text that is reported as complete.

        An item runs at several faulty engines and is resumed after any of its events.
        Engines end the answer at any byte, in order or by a reset, send only a head,
        start at the beginning instead of resuming, and repeat, omit, swap and damage
        events. The last engine has no fault, and the text must then be complete.
        """
        text = texts.Text(OUTPUT[:n_read], {3}, n_read) if n_read else texts.Text()
        for fault in faults:
            if self.attempt(text, fault) is Outcome.COMPLETED:
                break
            self.assertEqual(text.parts, OUTPUT[: len(text.parts)])
        else:
            healthy = Fault("chunks", "", 0, 1000, False)
            outcome = self.attempt(text, healthy)
            if outcome is Outcome.UNCONFIRMED:
                outcome = self.attempt(text, healthy)
            self.assertEqual(outcome, Outcome.COMPLETED)
        self.assertEqual(text.parts, OUTPUT)

    def attempt(self, text, fault):
        def script(connection, received):
            asked_after = int(received.headers.get("last-event-id", 0))
            connection.sendall(bytes_of(fault, asked_after))
            if fault.is_reset and fault.sent < 1000:
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
        resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch()
        )
        try:
            with eventlet.Timeout(5.0):
                upstream = answers.upstream_at(engine)
                ended = item_run.carry_out(
                    resources, answers.Protocol(), upstream, run, 5.0
                )
        finally:
            engine.stop()
        return ended.outcome
