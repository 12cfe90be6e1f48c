"""Each kind of request, trailers, refusals, and memory after a crowd, at a gateway."""

import socket

import eventlet
from nose2 import tools

from tests import unruly_support as support

MIB = support.MIB
SIZES = support.Sizes(gateway_mb=88)
PORT = support.standins.CLIENT_PORT
BODY_BYTES = 8 * MIB
# Bodies of this size of which the gateway has room for, and no more.
N_HELD = 4


def nearly_whole(target):
    return support.announced(target, BODY_BYTES, BODY_BYTES - 1)


def trailers(target):
    yield support.head(target, "Transfer-Encoding: chunked")
    yield b"1\r\nx\r\n0\r\n"
    field = b"X-Trailer: " + b"x" * 100 + b"\r\n"
    for _ in range(10_000):
        yield field * 10


def trickling(target):
    """Yield a body that does not end and never stalls."""
    yield from support.announced(target, BODY_BYTES, BODY_BYTES - 1000)
    for _ in range(500):
        eventlet.sleep(0.1)
        yield b"x"


class Kinds(support.UnrulyCase):
    @tools.params(
        *((nearly_whole, path) for path in ("/once/", "/safe/", "/stream/")),
        *((trailers, path) for path in ("/once/", "/safe/", "/stream/")),
    )
    def test_crowd_at_each_kind_of_route(self, shape, path):
        """Guards against a kind of request whose body is read in another way."""
        site = self.start_site(SIZES)
        crowd = self.crowd(site, "gateway", PORT)
        crowd.send(lambda: shape(f"{path}x"))
        self.check(site, crowd, f"{shape.__name__} {path}")

    def test_crowd_that_does_not_read_its_streams(self):
        """Guards against events that wait for clients which do not read them."""
        site = self.start_site(SIZES)
        crowd = self.crowd(site, "gateway", PORT)
        target = f"/stream{support.LARGE_ANSWER}"
        request = support.head(target, "Content-Length: 1") + b"x"
        crowd.send(lambda: iter([request]))
        eventlet.sleep(2.0)
        self.check(site, crowd, "streams")

    def test_memory_is_back_after_each_crowd(self):
        """Guards against crowds that leave less memory than the largest body needs."""
        site = self.start_site(SIZES)
        for n in range(3):
            crowd = self.crowd(site, "gateway", PORT)
            crowd.send(lambda: nearly_whole("/once/x"))
            self.check(site, crowd, f"crowd {n}")
            n_free = SIZES.gateway_mb * MIB - site.resident("gateway")
            self.assertGreaterEqual(n_free, support.MAX_BODY_BYTES, f"crowd {n}")

    def test_refusal_says_when_to_come_back_and_is_true(self):
        """Guards against refusals without Retry-After, and of requests that ran."""
        site = self.start_site(SIZES)
        crowd = self.crowd(site, "gateway", PORT)
        crowd.send(lambda: trickling("/once/x"), N_HELD)
        crowd.wait()
        answer = self.ask_refused(site)
        self.assertIn(b"HTTP/1.1 503 ", answer.split(b"\r\n")[0])
        fields = answer.partition(b"\r\n\r\n")[0].lower()
        self.assertIn(b"retry-after: 1", fields)
        self.assertIn(b"connection: close", fields)
        self.assertIn(b'"outcome": "not-run"', answer)
        crowd.close()
        self.assertEqual(site.ask_until_served("/once/"), 200)
        ran = {each.headers.get("x-attempt-id") for each in site.app.received}
        self.assertNotIn("refused", ran)

    def ask_refused(self, site):
        """Send a large body beside others; return all that is answered."""
        parts = support.announced("/once/x", BODY_BYTES, BODY_BYTES)
        head = next(parts).replace(b"X-Attempt-Id: unruly", b"X-Attempt-Id: refused")
        address = site.address("gateway", PORT)
        received = b""
        with socket.create_connection(address, support.DEADLINE_SECONDS) as connection:
            connection.sendall(head)
            for part in parts:
                connection.sendall(part)
            # An empty read: the connection is closed.
            while data := connection.recv(65536):
                received += data
        return received
