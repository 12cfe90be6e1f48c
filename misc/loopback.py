"""Loopback ports for the processes of a demo, a measurement or a test.

A port is held by the process that drew it until that process ends, whether or not
anything listens there: several runs share a machine, and between the drawing and the
start, or while a killed process is down, another run would find the port free and take
it. The claim is the name of a Unix socket in the kernel's abstract namespace, which one
process at a time can bind and which goes with its process.
"""

import random
import socket
from typing import Final

# Listening ports are taken from below the range that the kernel gives to outgoing
# connections: a port probed there could be taken by such a connection at any moment.
FIRST_PORT: Final = 20_000
LAST_PORT: Final = 32_000

_CLAIMS_BY_PORT: Final[dict[int, socket.socket]] = {}


def free_ports(n_ports: int) -> list[int]:
    """Return `n_ports` different ports on which nothing listens, held from now on."""
    ports: list[int] = []
    source = random.SystemRandom()
    while len(ports) < n_ports:
        port = source.randint(FIRST_PORT, LAST_PORT)
        if _can_bind(port) and _claim(port):
            ports.append(port)
    return ports


def _claim(port: int) -> bool:
    """Hold a port against other runs; tell whether nobody had drawn it before."""
    if port in _CLAIMS_BY_PORT:
        return False
    claim = socket.socket(socket.AF_UNIX)
    try:
        claim.bind(f"\0bilberrydrum-port-{port}")
    except OSError:
        claim.close()
        return False
    _CLAIMS_BY_PORT[port] = claim
    return True


def _can_bind(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
