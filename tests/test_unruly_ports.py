"""Clients of the other ports that do not behave: readiness, metrics, peers."""

from nose2 import tools

from tests import unruly_support as support

MIB = support.MIB
READY, METRICS = support.standins.READY_PORT, support.METRICS_PORT
# Ports of the transports: to the control group and to the stores' group.
CONTROL_PEERS, GATEWAY_PEERS, STORE_PEERS = (7300, 7302, 7305)
# Greeting and first command of a ZeroMQ connection (ZMTP 3.0, without encryption).
GREETING = b"\xff" + b"\0" * 8 + b"\x7f\x03\0NULL" + b"\0" * 48
_READY_COMMAND = b"\x05READY\x0bSocket-Type\0\0\0\x06DEALER"
HANDSHAKE = GREETING + b"\x04" + bytes([len(_READY_COMMAND)]) + _READY_COMMAND


def bodies(target="/api/readyz"):
    yield support.head(target, f"Content-Length: {8 * MIB}", method="GET")
    for _ in range(127):
        yield b"x" * 64 * 1024


def metrics_bodies():
    return bodies("/metrics")


def heads():
    yield b"GET /api/readyz HTTP/1.1\r\nHost: h\r\n"
    yield (b"X-Field: " + b"x" * 1400 + b"\r\n") * 80


def unfinished_message():
    yield HANDSHAKE
    yield b"\x02" + (80 * MIB).to_bytes(8, "big")
    for _ in range(8 * 16):
        yield b"x" * 64 * 1024


def damaged_messages():
    yield HANDSHAKE
    for _ in range(16):
        yield b"\x02" + (MIB).to_bytes(8, "big") + b"x" * MIB


def many_frames():
    yield HANDSHAKE
    for _ in range(16):
        yield b"\x01\x01x" * 100_000


PROBES = (
    ("gateway", READY, bodies),
    ("gateway", READY, heads),
    ("gateway", METRICS, metrics_bodies),
    ("control", METRICS, metrics_bodies),
    ("store-0", METRICS, metrics_bodies),
)
PEERS = (
    ("control", CONTROL_PEERS),
    ("gateway", GATEWAY_PEERS),
    ("store-0", STORE_PEERS),
)
SIZES = support.Sizes(gateway_mb=88, control_mb=120, store_mb=120)


class Ports(support.UnrulyCase):
    def check_port(self, name, port, shape):
        site = self.start_site(SIZES)
        crowd = self.crowd(site, name, port)
        crowd.send(shape)
        self.check(site, crowd, f"{name}:{port} {shape.__name__}")
        self.assertEqual(site.submit(2, 100), 202)

    @tools.params(*PROBES)
    def test_crowd_of_probes_stays_within_the_memory(self, name, port, shape):
        """Guards against ports for probes whose input isn't bounded like clients'."""
        self.check_port(name, port, shape)

    @tools.params(*PEERS)
    def test_crowd_of_unfinished_messages(self, name, port):
        """Guards against messages between processes that never end."""
        self.check_port(name, port, unfinished_message)

    @tools.params(*PEERS)
    def test_crowd_of_damaged_messages(self, name, port):
        """Guards against messages between processes that wait in queues."""
        self.check_port(name, port, damaged_messages)

    @tools.params(*PEERS)
    def test_crowd_of_frames_without_end(self, name, port):
        """Guards against messages of many small frames."""
        self.check_port(name, port, many_frames)
