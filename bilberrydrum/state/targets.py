"""Which replica a client asks next.

Replicas name the leader that they know of. Just after a leader is lost they still name
it, so a replica that was silent a moment ago is not gone back to on their word.
"""

from collections.abc import Sequence
from typing import Final

# A replica that did not answer is passed over for this long.
SILENT_SECONDS: Final = 1.0


class Targets:
    """The addresses of the replicas and the one to ask."""

    def __init__(self, configured: Sequence[str]) -> None:
        self._configured = list(configured)
        self._addresses = list(configured)
        self._silent_until: dict[str, float] = {}
        self.current = self._addresses[0]

    def learn(self, addresses: Sequence[str]) -> None:
        """Take over the members' addresses; the configured ones stay as a last hope."""
        if addresses:
            kept = [each for each in self._configured if each not in addresses]
            self._addresses = [*addresses, *kept]
            self._silent_until = {
                address: until
                for address, until in self._silent_until.items()
                if address in self._addresses
            }

    def heard(self, address: str) -> None:
        """Note that a replica answers."""
        self._silent_until.pop(address, None)

    def give_up_current(self, now: float) -> None:
        """Ask the next one: the current one did not answer."""
        self._silent_until[self.current] = now + SILENT_SECONDS
        self._move_on(now)

    def redirected(self, now: float, leader_address: str) -> bool:
        """Follow a redirect; False if it names no leader worth asking."""
        is_silent = self._silent_until.get(leader_address, now) > now
        if leader_address and leader_address != self.current and not is_silent:
            self.current = leader_address
            return True
        self._move_on(now)
        return False

    def _move_on(self, now: float) -> None:
        start = 0
        if self.current in self._addresses:
            start = self._addresses.index(self.current) + 1
        in_turn = self._addresses[start:] + self._addresses[:start]
        answering = [
            each for each in in_turn if self._silent_until.get(each, now) <= now
        ]
        self.current = (answering or in_turn)[0]
