"""Test support: exchanges with an upstream that sends any bytes on a real socket."""

import socket
import struct
import unittest
import unittest.mock

import eventlet

from bilberrydrum import clock, upstream_protocol
from bilberrydrum.batches import item_run, model, texts
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.requests import (
    attempts,
    connections,
    outgoing_requests,
    single_calls,
    text_streams,
    watch,
)
from bilberrydrum.weights import orders, sender
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
