"""Tests of idle connections: they are closed when they expire."""

import socket
import unittest

from nose2 import tools

from bilberrydrum.requests import connections
from tests import helpers


class Idle(unittest.TestCase):
    def setUp(self):
        replaced = helpers.manual_clock()
        self.clock = self.enterContext(replaced)
        self.pool = connections.ConnectionPool()
        self.addCleanup(self.pool.close)

    def keep(self, address, **fields):
        """Add an idle connection to the pool; return its socket."""
        host, _, port = address.partition(":")
        connection = connections.Connection(host, int(port))
        connection.sock, other = socket.socketpair()
        self.addCleanup(other.close)
        self.pool.keep(address, connection, **fields)
        return connection.sock

    def test_idle_connections_to_unused_upstreams_expire(self):
        """A store keeps more idle connections than it may have descriptors.

        The connection kept last is taken first. If idle connections are checked only
        when one to the same upstream is taken, the others, and all to an engine without
        work, stay open: up to one for each run slot of each engine (1,172 with 300
        engines, four for each). With 3,000 engines these are more than the process's
        limit of descriptors.
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
        """A connection in use must not be closed by the check for expired ones.

        Nor may the time at which it was first kept count after it is kept again.
        """
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
