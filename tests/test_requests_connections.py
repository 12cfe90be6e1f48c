"""Tests of connecting to upstreams: failed attempts time out and close their sockets.

An upstream's host refuses connections, or does not answer at all because it is cut off.
A gateway that left the sockets of failed attempts open would run out of descriptors and
refuse its own callers. One that waited without a timeout would hold the caller's
request, and the capacity granted to it, until the kernel gives up after two minutes.
"""

import contextlib
import errno
import socket
import unittest
from unittest import mock

import eventlet
from eventlet import hubs
from nose2 import tools

from bilberrydrum import clock
from bilberrydrum.requests import connections
from tests import helpers

TIMEOUT_SECONDS = 2.0


class Recorded(connections._Socket):
    """A socket that the test keeps a reference to.

    A socket without references is closed when it is collected, which would hide that
    the code under test did not close it.
    """

    made = []

    def __init__(self, *arguments, **fields):
        super().__init__(*arguments, **fields)
        self.made.append(self)

    @property
    def is_closed(self):
        return self.fd.fileno() == -1


class ConnectingCase(unittest.TestCase):
    """Test case that records the sockets of the connections that are made."""

    def setUp(self):
        self.pool = connections.ConnectionPool()
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
        """Keep a socket open until the end of the test."""
        self.addCleanup(lambda: kept.close())
        return kept

    def silent_address(self):
        """Return an address at which further attempts to connect get no answer."""
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
        """Begin to connect in a separate task; return the task and its outcomes."""
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
    """After each kind of failure to connect, the socket is closed."""

    def test_refused(self):
        """No process listens at the port, and the host answers with a reset."""
        address = address_of(self.listener().getsockname())
        with self.assertRaises(ConnectionRefusedError):
            self.pool.take(address, TIMEOUT_SECONDS)
        self.assert_one_closed()

    def test_no_answer(self):
        """The host does not answer; connecting ends after its timeout."""
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

    def test_killed_while_connecting(self):
        """The caller's deadline passes while the connection is established."""
        address = self.silent_address()
        task, outcomes = self.begin(address)
        self.assertEqual([each.is_closed for each in self.sockets], [False])
        task.kill()
        self.assertEqual(outcomes, [])
        self.assert_one_closed()

    def test_no_route(self):
        """The local kernel has no route to the address, so nothing is sent."""
        error = OSError(errno.ENETUNREACH, "no route to host")
        with (
            mock.patch.object(Recorded, "connect", side_effect=error),
            self.assertRaises(OSError) as caught,
        ):
            self.pool.take("127.0.0.1:9", TIMEOUT_SECONDS)
        self.assertIs(caught.exception, error)
        self.assert_one_closed()


class Connected(ConnectingCase):
    """The properties of an established connection."""

    def test_connect_timeout_does_not_apply_to_reads(self):
        """An upstream's first byte takes longer than connecting may.

        The attempt's deadline bounds each read. If the socket kept the timeout for
        connecting, such answers would be aborted.
        """
        listener = self.listener()
        listener.listen(1)
        address = address_of(listener.getsockname())
        taken = self.pool.take(address, TIMEOUT_SECONDS)
        self.addCleanup(taken.connection.close)
        self.assertIsNone(taken.connection.sock.gettimeout())

    @tools.params(("IPv4", "127.0.0.1", "{}:{}"), ("IPv6", "::1", "[{}]:{}"))
    def test_family_and_delay(self, name, host, written):
        """The connection works with IPv4 and IPv6, and has Nagle's algorithm off.

        With it on, a small request may wait up to 40 ms for the one before.
        """
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


class Registration(unittest.TestCase):
    """A connection whose socket stays registered at the hub between the reads."""

    N_READS = 20

    def setUp(self):
        self.hub = hubs.get_hub()
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.pool = connections.ConnectionPool()
        address = address_of(listener.getsockname())
        self.connection = self.pool.take(address, TIMEOUT_SECONDS).connection
        self.addCleanup(self.connection.close)
        self.peer, _ = listener.accept()
        self.addCleanup(self.peer.close)
        self.socket = self.connection.sock

    def is_registered(self):
        return self.socket.fileno() in self.hub.listeners[self.hub.READ]

    def settle(self):
        for _ in range(5):
            eventlet.sleep(0)

    def read_all(self, seen):
        while received := self.socket.recv(100):
            seen.append(received)

    def exchange(self):
        """Send bytes one by one while another task reads; return the registrations."""
        seen = []
        with mock.patch.object(self.hub, "add", wraps=self.hub.add) as add:
            task = eventlet.spawn(self.read_all, seen)
            self.settle()
            for number in range(self.N_READS):
                self.peer.sendall(b"%c" % number)
                while len(seen) <= number:
                    eventlet.sleep(0)
        task.kill()
        self.assertEqual(seen, [b"%c" % number for number in range(self.N_READS)])
        own = (self.hub.READ, self.socket.fileno())
        return sum(call.args[:2] == own for call in add.call_args_list)

    def test_registered_once(self):
        """Guard against a registration for each event of a stream."""
        self.assertEqual(self.exchange(), self.N_READS + 1)
        with connections.staying_registered(self.connection):
            self.assertEqual(self.exchange(), 1)
        self.assertFalse(self.is_registered())
        self.assertEqual(self.exchange(), self.N_READS + 1)

    def test_task_that_does_not_read(self):
        """Guard against a hub that reports unread bytes again in each round.

        A relayed stream waits until its client takes an event. If the socket stayed
        registered with the upstream's next events unread, the process would use a full
        core until the client continues.
        """
        with connections.staying_registered(self.connection):
            task = eventlet.spawn(self.read_all, [])
            self.settle()
            self.assertTrue(self.is_registered())
            task.kill()
            self.peer.sendall(b"x")
            self.settle()
            self.assertFalse(self.is_registered())
            self.assertEqual(self.exchange_one(b"y"), b"xy")

    def exchange_one(self, data):
        self.peer.sendall(data)
        received = b""
        while not received.endswith(data):
            received += self.socket.recv(100)
        return received

    def test_descriptor_that_is_used_again(self):
        """Guard against a registration that outlives its descriptor.

        The next connection often gets the same descriptor. The hub would refuse to read
        it while a reader of the old one is registered.
        """
        with connections.staying_registered(self.connection):
            task = eventlet.spawn(self.read_all, [])
            self.settle()
            task.kill()
        number = self.socket.fileno()
        self.assertFalse(self.is_registered())
        self.connection.close()
        self.socket.close()
        self.assertNotIn(number, self.hub.listeners[self.hub.READ])

    def test_interrupted_read(self):
        """A read that a timeout interrupts leaves the connection readable."""
        with connections.staying_registered(self.connection):
            with self.assertRaises(eventlet.Timeout), eventlet.Timeout(0.01):
                self.socket.recv(100)
            self.assertEqual(self.exchange_one(b"z"), b"z")

    def test_end_of_the_connection(self):
        with connections.staying_registered(self.connection):
            seen = []
            task = eventlet.spawn(self.read_all, seen)
            self.settle()
            self.peer.sendall(b"x")
            self.peer.shutdown(socket.SHUT_RDWR)
            task.wait()
        self.assertEqual(seen, [b"x"])
