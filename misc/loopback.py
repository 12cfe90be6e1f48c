"""Loopback ports for the processes of a demo, a measurement or a test.

A port is reserved by the process that drew it until that process exits, whether or not
anything listens on the port. Several runs share a machine: without the reservation,
another run would find the port free and take it before the first run listens on it, or
while a killed process of the first run is down. The reservation is the name of a Unix
socket in the kernel's abstract namespace. Only one process at a time can bind such a
name, and the kernel frees it when the process exits.
"""

import random
import socket
from typing import Final

# Listening ports are below the range that the kernel gives to outgoing connections. A
# free port in that range could be taken by such a connection at any moment.
FIRST_PORT: Final = 20_000
LAST_PORT: Final = 32_000

_RESERVATIONS_BY_PORT: Final[dict[int, socket.socket]] = {}


def free_ports(n_ports: int) -> list[int]:
    """Reserve and return `n_ports` different ports on which nothing listens."""
    ports: list[int] = []
    source = random.SystemRandom()
    while len(ports) < n_ports:
        port = source.randint(FIRST_PORT, LAST_PORT)
        if _can_bind(port) and _reserve(port):
            ports.append(port)
    return ports


def _reserve(port: int) -> bool:
    """Reserve a port; return False if this or another process has reserved it."""
    if port in _RESERVATIONS_BY_PORT:
        return False
    reservation = socket.socket(socket.AF_UNIX)
    try:
        reservation.bind(f"\0bilberrydrum-port-{port}")
    except OSError:
        reservation.close()
        return False
    _RESERVATIONS_BY_PORT[port] = reservation
    return True


def _can_bind(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
