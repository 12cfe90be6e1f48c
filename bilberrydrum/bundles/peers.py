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

    def replace(self, change: int, addresses: Iterable[str]) -> frozenset[str]:
        """Take the addresses of now; return those that are known no more."""
        if change == self.change:
            return frozenset()
        self.change = change
        earlier, self.addresses = self.addresses, frozenset(addresses)
        return earlier - self.addresses
