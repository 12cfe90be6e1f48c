"""Tests of answers without a length or chunks, which end with their connection.

Such an answer is complete if the connection is closed in order, and truncated if it is
reset. eventlet's own sockets report a reset as the end of the data. If the difference
goes unnoticed, callers get truncated answers to look-ups as complete ones, and half a
text is stored as the complete text of an item: `outcome` completed with `framing`
close, although the upstream's run broke off and its connection was reset.
"""

import socket
import struct
import unittest

import eventlet
from nose2 import tools

from bilberrydrum import clock
from bilberrydrum.batches import item_run, model, texts
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.requests import attempts, connections, outgoing_requests, watch
from tests.fakes import node_protocol, scripted

# Value of SO_LINGER with which closing a socket resets the connection.
NO_LINGER = struct.pack("ii", 1, 0)
# Time for the sent bytes to be read before the connection ends, in seconds.
PAUSE_SECONDS = 0.05
HEAD = f"HTTP/1.1 200 OK\r\n{node_protocol.ID}: r\r\nVersion: 1\r\n".encode()


def ends(body, is_reset, pauses):
    def script(connection, received):
        connection.sendall(HEAD + b"\r\n" + body)
        if pauses:
            eventlet.sleep(PAUSE_SECONDS)
        if is_reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        # Close the descriptor itself: the fake upstream still has a file that uses it.
        connection.fd.close()
        return False

    return script


class Unframed(unittest.TestCase):
    def setUp(self):
        self.resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch()
        )
        self.addCleanup(self.resources.pool.close)

    def upstream(self, script):
        server = scripted.Scripted(script, kind="engine")
        self.addCleanup(server.stop)
        return fleet_model.FleetUpstream("u", "s", server.address, "z", 1)

    @tools.params(
        ("closed", False, False, True),
        ("closed later", False, True, True),
        ("reset", True, False, False),
        ("reset later", True, True, False),
    )
    def test_look_up(self, name, is_reset, pauses, is_whole):
        upstream = self.upstream(ends(b"all or a part", is_reset, pauses))
        outgoing = outgoing_requests.Outgoing(
            "r",
            "GET",
            "/",
            {},
            b"",
            clock.now() + 5.0,
            True,
            lambda: None,
            id_header=node_protocol.ID,
            accepts_unframed=True,
        )
        try:
            given = attempts.call(self.resources, upstream, outgoing).body
        except attempts.AttemptError:
            given = None
        self.assertEqual(given, b"all or a part" if is_whole else None, name)

    @tools.params(
        ("closed", False, False, item_run.Outcome.COMPLETED),
        ("closed later", False, True, item_run.Outcome.COMPLETED),
        ("reset", True, False, item_run.Outcome.BROKEN),
        ("reset later", True, True, item_run.Outcome.BROKEN),
    )
    def test_text(self, name, is_reset, pauses, outcome):
        body = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        upstream = self.upstream(ends(body, is_reset, pauses))
        run = item_run.Run(
            model.Item("r", "/x", {}, b"", 1),
            "h",
            texts.Text(),
            texts.Bounds(),
            clock.now() + 5.0,
            lambda: None,
        )
        ended = item_run.carry_out(
            self.resources, node_protocol.PlainProtocol(), upstream, run, 5.0
        )
        self.assertEqual(ended.outcome, outcome, name)
