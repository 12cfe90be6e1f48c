"""Which replica a client sends its requests to.

Replicas redirect clients to the leader that they know. Just after a leader crashed they
still name it, so a redirect to a replica that recently failed to answer is not
followed.
"""

from collections.abc import Sequence
from typing import Final

# A replica that did not answer is not tried again for this long.
SILENT_SECONDS: Final = 1.0


class Targets:
    """The addresses of the replicas, and the one to send requests to."""

    def __init__(self, configured: Sequence[str]) -> None:
        self._configured = list(configured)
        self._addresses = list(configured)
        self._silent_until: dict[str, float] = {}
        self.current = self._addresses[0]

    def learn(self, addresses: Sequence[str]) -> None:
        """Set the members' addresses, with the configured ones as a fallback."""
        if addresses:
            kept = [each for each in self._configured if each not in addresses]
            self._addresses = [*addresses, *kept]
            self._silent_until = {
                address: until
                for address, until in self._silent_until.items()
                if address in self._addresses
            }

    def record_answer(self, address: str) -> None:
        """Record that a replica answers."""
        self._silent_until.pop(address, None)

    def skip_current(self, now: float) -> None:
        """Switch to the next replica, because the current one did not answer."""
        self._silent_until[self.current] = now + SILENT_SECONDS
        self._use_next(now)

    def follow_redirect(self, now: float, leader_address: str) -> bool:
        """Follow a redirect; return whether it names a usable leader.

        Otherwise switch to the next replica.
        """
        is_silent = self._silent_until.get(leader_address, now) > now
        if leader_address and leader_address != self.current and not is_silent:
            self.current = leader_address
            return True
        self._use_next(now)
        return False

    def _use_next(self, now: float) -> None:
        start = 0
        if self.current in self._addresses:
            start = self._addresses.index(self.current) + 1
        ordered = self._addresses[start:] + self._addresses[:start]
        answering = [
            each for each in ordered if self._silent_until.get(each, now) <= now
        ]
        self.current = (answering or ordered)[0]
