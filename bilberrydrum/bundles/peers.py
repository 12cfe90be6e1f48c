"""Addresses of the deployment's other processes, to detect which of them have left.

A fleet replaces hosts all day. Connections to hosts that have left would otherwise be
kept and retried until the process runs out of sockets.
"""

from collections.abc import Iterable

import attrs


@attrs.define
class KnownPeers:
    """The addresses that are registered, and others that messages were sent to."""

    addresses: frozenset[str] = frozenset()
    # Number of the registry change that `addresses` reflects.
    change: int = -1
    # Unregistered addresses that messages were sent to, since the last call of
    # `find_unknown` and in the interval before that call.
    _unknown: set[str] = attrs.field(factory=set)
    _earlier_unknown: set[str] = attrs.field(factory=set)

    def replace(self, change: int, addresses: Iterable[str]) -> frozenset[str]:
        """Replace the registered addresses; return those no longer registered."""
        if change == self.change:
            return frozenset()
        self.change = change
        earlier, self.addresses = self.addresses, frozenset(addresses)
        return earlier - self.addresses

    def record_sent(self, address: str) -> None:
        """Record that a message was sent to `address`."""
        if address not in self.addresses:
            self._unknown.add(address)

    def find_unknown(self) -> set[str]:
        """Return unregistered addresses that messages were sent to some time ago.

        One case is a process that was dropped from the registry and got an answer that
        says so. The answer opened a connection, which no later change of the registered
        addresses would close.
        """
        found = self._earlier_unknown - self.addresses
        self._earlier_unknown, self._unknown = self._unknown, set()
        return found
