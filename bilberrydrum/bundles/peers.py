"""Addresses of the system's other processes, to notice which have left.

A fleet replaces hosts all day. Connections to those that have gone would be kept, and
tried again, until the process runs out of sockets.
"""

from collections.abc import Iterable

import attrs


@attrs.define
class KnownPeers:
    """The addresses that were known last."""

    addresses: frozenset[str] = frozenset()
    # The number of the change that they are from.
    change: int = -1
    # Others that were answered, now and before the last look.
    _strangers: set[str] = attrs.field(factory=set)
    _earlier_strangers: set[str] = attrs.field(factory=set)

    def replace(self, change: int, addresses: Iterable[str]) -> frozenset[str]:
        """Take the addresses of now; return those that are known no more."""
        if change == self.change:
            return frozenset()
        self.change = change
        earlier, self.addresses = self.addresses, frozenset(addresses)
        return earlier - self.addresses

    def note_sent(self, address: str) -> None:
        """Note that something was sent to `address`."""
        if address not in self.addresses:
            self._strangers.add(address)

    def find_strangers(self) -> set[str]:
        """Return addresses that were sent to a while ago and still aren't known.

        A process that is known no more, and was told so, is one: the answer opened a
        connection that no change of the addresses would close.
        """
        found = self._earlier_strangers - self.addresses
        self._earlier_strangers, self._strangers = self._strangers, set()
        return found
