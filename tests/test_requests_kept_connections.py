"""Connections that are kept for reuse, and for how long."""

import socket
import unittest

from nose2 import tools

from bilberrydrum.requests import connections
from tests import helpers


class Idle(unittest.TestCase):
    def setUp(self):
        replaced = helpers.manual_clock()
        self.clock = self.enterContext(replaced)
        self.pool = connections.Connections()
        self.addCleanup(self.pool.close)

    def keep(self, address, **fields):
        """Keep a connection that has just served a request; return its socket."""
        host, _, port = address.partition(":")
        connection = connections.Connection(host, int(port))
        connection.sock, other = socket.socketpair()
        self.addCleanup(other.close)
        self.pool.keep(address, connection, **fields)
        return connection.sock

    def test_upstreams_that_nothing_is_sent_to_any_more(self):
        """A store before 300 engines has 1,172 connections, 4 for each engine.

        Kept connections were looked at only when one to the same upstream was taken,
        the last one kept first. Those below it, and all to an engine that has no work
        for a while, stayed open: up to one for each place at each engine. Before 3,000
        engines these are more than the process may have descriptors.
        """
        kept = [self.keep(f"10.0.0.{n}:80") for n in range(100) for _ in range(3)]
        self.clock.advance(connections.MAX_IDLE_SECONDS + 0.1)
        for _ in range(40):
            self.keep("10.0.1.1:80")
        self.assertEqual(self.pool.n_idle, 40)
        self.assertEqual({each.fileno() for each in kept}, {-1})

    @tools.params(("by the default", {}, 4.0), ("shorter", {"idle_seconds": 1.0}, 1.0))
    def test_time(self, name, fields, seconds):
        first = self.keep("10.0.0.1:80", **fields)
        self.clock.advance(seconds - 0.1)
        self.keep("10.0.0.2:80")
        self.assertNotEqual(first.fileno(), -1, name)
        self.clock.advance(0.2)
        self.keep("10.0.0.3:80")
        self.assertEqual(first.fileno(), -1, name)

    def test_connection_in_use(self):
        """One that was taken is nobody's to close, also if it is kept again later."""
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.getsockname()[1]}"
        used = self.pool.take(address, 1.0).connection
        self.pool.keep(address, used)
        self.assertIs(self.pool.take(address, 1.0).connection, used)
        self.clock.advance(connections.MAX_IDLE_SECONDS + 0.1)
        self.keep("10.0.0.1:80")
        self.assertIsNotNone(used.sock)
        self.pool.keep(address, used)
        self.clock.advance(connections.MAX_IDLE_SECONDS - 0.1)
        self.keep("10.0.0.1:80")
        self.assertIsNotNone(used.sock)
        self.assertIs(self.pool.take(address, 1.0).connection, used)
        used.close()

    def test_forgotten_upstream(self):
        self.keep("10.0.0.1:80")
        self.pool.forget("10.0.0.1:80")
        again = self.keep("10.0.0.1:80")
        self.clock.advance(connections.MAX_IDLE_SECONDS / 2)
        self.keep("10.0.0.2:80")
        self.assertEqual(self.pool.n_idle, 2)
        self.assertNotEqual(again.fileno(), -1)
