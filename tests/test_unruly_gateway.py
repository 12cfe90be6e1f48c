"""Clients of a gateway that do not behave."""

from nose2 import tools

from tests import unruly_support as support

MIB = support.MIB
CALM_MB = (88, 150)
# Bodies of legal size; together they are far over the memory of the gateway.
BODY_BYTES = 8 * MIB
# A client sends at most so much of a body that is over the limit.
OVER_BYTES = 40 * MIB


def whole(target):
    return support.announced(target, BODY_BYTES, BODY_BYTES)


def nearly_whole(target):
    return support.announced(target, BODY_BYTES, BODY_BYTES - 1)


def in_pieces(target):
    return support.announced(target, BODY_BYTES, BODY_BYTES - 1, part_bytes=1000)


def large_chunks(target):
    return support.chunked(target, MIB, BODY_BYTES)


def tiny_chunks(target):
    return support.chunked(target, 1, 150_000)


def over_announced(target):
    return support.announced(target, 1024 * MIB, OVER_BYTES)


def over_sent(target):
    return support.chunked(target, 64 * 1024, OVER_BYTES)


def pipelined(target):
    request = support.head(target, "Content-Length: 100000") + b"x" * 100_000
    return (request for _ in range(100))


SHAPES = (
    whole,
    nearly_whole,
    in_pieces,
    large_chunks,
    tiny_chunks,
    over_announced,
    over_sent,
    pipelined,
)


class Bodies(support.UnrulyCase):
    @tools.params(*SHAPES)
    def test_crowd_of_bodies_stays_within_the_memory(self, shape):
        """Guards against bodies that together take more memory than the process has."""
        site = self.start_site(support.Sizes(gateway_mb=88))
        crowd = self.crowd(site, "gateway", support.standins.CLIENT_PORT)
        crowd.send(lambda: shape("/once/x"))
        self.check(site, crowd, shape.__name__)
        status = site.ask_until_served("/once/", support.MAX_BODY_BYTES, 50, 0.2)
        self.assertEqual((status, site.findings()), (200, []), shape.__name__)

    @tools.params(
        *((mb, path) for mb in CALM_MB for path in ("/once/", "/safe/")),
        (88, "/once/", 64 * 1024),
    )
    def test_largest_legal_body_is_served_in_calm(self, memory_mb, path, chunk_bytes=0):
        """Guards against copies of a body that exceed the memory of the process."""
        site = self.start_site(support.Sizes(gateway_mb=memory_mb))
        status = site.ask(path, support.MAX_BODY_BYTES, chunk_bytes=chunk_bytes)
        self.assertEqual((status, site.findings()), (200, []))

    def test_largest_legal_body_in_small_chunks_is_served_in_calm(self):
        """Guards against parts of a body that take more as objects than their bytes."""
        self.test_largest_legal_body_is_served_in_calm(88, "/once/", 1000)


class Connections(support.UnrulyCase):
    def test_crowd_of_unfinished_heads(self):
        """Guards against heads that together take more memory than the process has."""
        site = self.start_site(support.Sizes(gateway_mb=88))
        crowd = self.crowd(site, "gateway", support.standins.CLIENT_PORT)
        field = b"X-Field: " + b"x" * 1400 + b"\r\n"
        start = b"GET /once/x HTTP/1.1\r\nHost: h\r\n"
        crowd.send(lambda: iter([start + field * 80]), n_clients=500)
        self.check(site, crowd, "heads")

    def test_crowd_of_idle_connections(self):
        """Guards against kept connections that take all descriptors or the memory."""
        site = self.start_site(support.Sizes(gateway_mb=88))
        crowd = self.crowd(site, "gateway", support.standins.CLIENT_PORT)
        request = support.head("/once/x", "Content-Length: 1") + b"x"
        crowd.send(lambda: iter([request]), n_clients=800)
        self.check(site, crowd, "idle")

    def test_crowd_that_does_not_read_its_answers(self):
        """Guards against answers that wait for clients which do not read them."""
        site = self.start_site(support.Sizes(gateway_mb=88), answer_bytes=6 * MIB)
        crowd = self.crowd(site, "gateway", support.standins.CLIENT_PORT)
        target = f"/safe{support.LARGE_ANSWER}"
        request = support.head(target, "Content-Length: 1") + b"x"
        crowd.send(lambda: iter([request] * 3))
        self.check(site, crowd, "answers")
