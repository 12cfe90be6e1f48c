"""Listen for clients before the rest of a process is there.

Imports take a gateway some 0.4 s. Connections that come meanwhile wait in the kernel's
queue and are served right after, where they would have been refused: a client that was
refused has used up one of its few tries.
"""

from typing import Any, Final

import eventlet

# Connections that wait in the kernel's queue.
BACKLOG: Final = 1024


def listen(address: str) -> Any:
    """Return a socket that listens at `address`, ``IP:port``.

    Raises
    ------
    OSError
        If the address is taken.
    """
    host, _, port = address.rpartition(":")
    return eventlet.listen((host, int(port)), backlog=BACKLOG)
