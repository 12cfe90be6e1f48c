"""The clients of waiting calls: a call ends soon after its client has gone."""

import socket

import eventlet

from bilberrydrum import clock, options
from bilberrydrum.http import edge, server
from bilberrydrum.relay import model
from bilberrydrum.requests import watch
from tests import helpers, relay_support

# An answer that is later than half of the target is hedged.
TARGET_SECONDS = 0.4
REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
LIMITS = options.LimitOptions()


class Served(relay_support.RelayCase):
    """Clients of a gateway, with real connections on both sides."""

    def serve(self, *scripts):
        self.relay_ = self.relay(*scripts)
        self.clients.start()
        self.addCleanup(self.clients.stop)
        self.requests = []
        app = edge.Edge(LIMITS, {}, self.forward)
        port = helpers.free_port()
        self.address = ("127.0.0.1", port)
        http = server.HttpServer(f"127.0.0.1:{port}", app, LIMITS)
        http.start()
        self.addCleanup(http.stop_accepting)
        eventlet.sleep(0)

    def forward(self, request):
        self.requests.append(request)
        given = self.handle(
            self.relay_,
            seconds=4.0,
            target=TARGET_SECONDS,
            is_client_gone=request.is_client_gone,
        )
        status = given.status if isinstance(given, model.Answered) else 503
        return edge.Response(status)

    def send(self, *headers):
        connection = socket.create_connection(self.address)
        self.addCleanup(connection.close)
        lines = b"".join(each + b"\r\n" for each in headers)
        connection.sendall(REQUEST + lines + b"\r\n")
        return connection

    def answered(self):
        """Send a request and read its answer; the server closes the connection."""
        connection = self.send(b"Connection: close")
        while connection.recv(4096):
            pass

    def wait_until(self, condition):
        end = clock.now() + 2 * watch.CHECK_SECONDS + 0.5
        while not condition() and clock.now() < end:
            clock.sleep(0.01)
        self.assertTrue(condition())

    def test_after_a_hedged_request(self):
        """Guard against upstreams that work for clients that have left.

        A request is hedged, answered by its second upstream, and its connection closed
        while the first one still works on it. The check of its client ended the task
        that notices clients that leave.
        """
        self.serve(relay_support.hang, relay_support.OK)
        self.answered()
        self.assertEqual(self.n_received(), [1, 1])
        # The attempt that is left over ends, as its client has got its answer.
        self.wait_until(lambda: not self.clients.n_waiting)
        for each in self.servers:
            each.script = relay_support.hang
        connection = self.send()
        self.wait_until(lambda: self.clients.n_waiting)
        connection.close()
        self.wait_until(lambda: not self.clients.n_waiting)

    def test_client_of_an_answered_request(self):
        """Guard against an error where a client is asked for after its answer."""
        self.serve(relay_support.OK)
        self.answered()
        eventlet.sleep(0.01)
        self.assertTrue(self.requests[0].is_client_gone())

    def test_client_that_waits(self):
        """Guard against calls that are ended although their clients wait."""

        def slowly(connection, received):
            eventlet.sleep(3 * watch.CHECK_SECONDS)
            return relay_support.OK(connection, received)

        self.serve(slowly)
        connection = self.send(b"Connection: close")
        self.assertEqual(connection.recv(4096).split()[1], b"200")
