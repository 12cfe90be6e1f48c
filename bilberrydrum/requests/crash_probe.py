"""Probe whether an upstream has crashed, after a run there broke off.

After a crash no process listens at the upstream's port, so a new connection is refused
within a round trip. An upstream that closed a connection for another reason accepts
the next one. A host that is down or partitioned does neither, and its upstream counts
as not crashed: the prober cannot know whether it is still running.
"""

import socket
from typing import Final

from bilberrydrum import reasons

# Timeout of the connection, in seconds: some thirty round trips between availability
# zones. It is short because a caller may wait for the result before its request is
# tried elsewhere.
PROBE_SECONDS: Final = 0.1
# Reasons with which an attempt fails if its upstream crashes in the middle of it.
BROKEN_REASONS: Final = frozenset(
    {
        reasons.Reason.CONNECTION_RESET,
        reasons.Reason.ANSWER_TRUNCATED,
        # The request was sent on a kept connection, which broke, and a new connection
        # could not be opened.
        reasons.Reason.CONNECT_FAILED,
    }
)


def has_crashed(address: str) -> bool:
    """Return whether no process listens at `address`, ``IP:port``, any more."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host.strip("[]"), int(port)), PROBE_SECONDS):
            return False
    except ConnectionRefusedError:
        return True
    except OSError:
        # The host is down or partitioned, or the address no longer resolves.
        return False
