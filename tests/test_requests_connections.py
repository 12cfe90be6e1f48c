"""Connecting to upstreams: what fails leaves nothing behind and has an end.

An upstream's host refuses connections, or takes none and says nothing, as when it is
cut off. A gateway that leaves the sockets of such tries open runs out of them, and
refuses its own callers; one that waits without a bound keeps the caller's request, and
the place that it holds, until the network gives up, after two minutes.
"""

import contextlib
import errno
import socket
import unittest
from unittest import mock

import eventlet
from nose2 import tools

from bilberrydrum import clock
from bilberrydrum.requests import connections
from tests import helpers

TIMEOUT_SECONDS = 2.0


class Recorded(connections._Socket):
    """A socket that is kept in sight, so that only closing it closes it."""

    made = []

    def __init__(self, *arguments, **fields):
        super().__init__(*arguments, **fields)
        self.made.append(self)

    @property
    def is_closed(self):
        return self.fd.fileno() == -1


class ConnectingCase(unittest.TestCase):
    """Connections that are made while their sockets are watched."""

    def setUp(self):
        self.pool = connections.Connections()
        self.addCleanup(self.pool.close)
        self.sockets = []
        for patch in (
            mock.patch.object(connections, "_Socket", Recorded),
            mock.patch.object(Recorded, "made", self.sockets),
        ):
            patch.start()
            self.addCleanup(patch.stop)
        self.addCleanup(lambda: [each.close() for each in self.sockets])

    def listener(self, family=socket.AF_INET, host="127.0.0.1"):
        listener = self.keep(socket.socket(family, socket.SOCK_STREAM))
        listener.bind((host, 0))
        return listener

    def keep(self, kept):
        """Keep a socket until the end of the test: one that nobody holds is closed."""
        self.addCleanup(lambda: kept.close())
        return kept

    def silent_address(self):
        """Return an address whose host answers no more attempts to connect."""
        listener = self.listener()
        listener.listen(0)
        address = listener.getsockname()
        for _ in range(4):
            filler = self.keep(socket.socket())
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(address)
        return address_of(address)

    def begin(self, address, timeout=TIMEOUT_SECONDS):
        """Begin to connect in a task of its own; return the task and its outcome."""
        outcomes = []

        def take():
            try:
                outcomes.append(self.pool.take(address, timeout))
            except OSError as error:
                outcomes.append(error)

        task = eventlet.spawn(take)
        self.addCleanup(task.kill)
        clock.sleep(0)
        return task, outcomes

    def turns(self, n_turns=5):
        for _ in range(n_turns):
            clock.sleep(0)

    def assert_one_closed(self):
        self.assertEqual([each.is_closed for each in self.sockets], [True])
        self.assertEqual(self.pool.n_idle, 0)


def address_of(pair):
    return f"{pair[0]}:{pair[1]}"


class Failing(ConnectingCase):
    """Each way that connecting fails, and the socket that it used."""

    def test_refused(self):
        """Nothing listens there: the host answers with a reset at once."""
        address = address_of(self.listener().getsockname())
        with self.assertRaises(ConnectionRefusedError):
            self.pool.take(address, TIMEOUT_SECONDS)
        self.assert_one_closed()

    def test_no_answer(self):
        """The host drops what it is sent; the try ends after the time it was given."""
        address = self.silent_address()
        with helpers.manual_clock() as hub_clock:
            _, outcomes = self.begin(address)
            self.turns()
            hub_clock.advance(TIMEOUT_SECONDS - 0.1)
            self.turns()
            self.assertEqual(outcomes, [])
            self.assertEqual([each.is_closed for each in self.sockets], [False])
            hub_clock.advance(0.2)
            self.turns()
        self.assertEqual([type(each) for each in outcomes], [TimeoutError])
        self.assert_one_closed()

    def test_broken_off(self):
        """The caller's time ends while its request's connection is being made."""
        address = self.silent_address()
        task, outcomes = self.begin(address)
        self.assertEqual([each.is_closed for each in self.sockets], [False])
        task.kill()
        self.assertEqual(outcomes, [])
        self.assert_one_closed()

    def test_no_way_there(self):
        """The host's own network refuses the address before anything is sent."""
        error = OSError(errno.ENETUNREACH, "no way there")
        with (
            mock.patch.object(Recorded, "connect", side_effect=error),
            self.assertRaises(OSError) as caught,
        ):
            self.pool.take("127.0.0.1:9", TIMEOUT_SECONDS)
        self.assertIs(caught.exception, error)
        self.assert_one_closed()


class Connected(ConnectingCase):
    """What a connection is like once it is made."""

    def test_time_to_connect_is_no_bound_on_what_follows(self):
        """The attempt's deadline bounds each read; a socket's own bound would cut off.

        An upstream's first byte may take longer than connecting may.
        """
        listener = self.listener()
        listener.listen(1)
        address = address_of(listener.getsockname())
        taken = self.pool.take(address, TIMEOUT_SECONDS)
        self.addCleanup(taken.connection.close)
        self.assertIsNone(taken.connection.sock.gettimeout())

    @tools.params(("IPv4", "127.0.0.1", "{}:{}"), ("IPv6", "::1", "[{}]:{}"))
    def test_family_and_delay(self, name, host, written):
        """Small requests go out at once: each waits up to 40 ms for the one before."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = self.listener(family, host)
        listener.listen(1)
        address = written.format(host, listener.getsockname()[1])
        taken = self.pool.take(address, TIMEOUT_SECONDS)
        self.addCleanup(taken.connection.close)
        self.assertFalse(taken.is_kept, name)
        connected = taken.connection.sock
        self.assertEqual(connected.getpeername()[0], host)
        no_delay = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        self.assertTrue(no_delay, name)
