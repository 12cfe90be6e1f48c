"""The replicated record of one upstream, and the order of its versions.

Each upstream has one owner: the gateway that manages its lease. Only the owner writes
the record, so two records of equal version are equal. Records are merged by taking the
one with the higher version; the order in which they arrive does not matter.
"""

import hashlib
import time
from typing import Final

import attrs

from bilberrydrum import codec
from bilberrydrum.upstreams import model

# The owner receives its renewals.
STATE_ACTIVE: Final = "stands"
# The owner has not received a renewal for the length of the lease.
STATE_EXPIRED: Final = "lapsed"
# It announced that it is leaving. This is final for this incarnation of the upstream.
STATE_LEFT: Final = "left"

Version = tuple[int, bool, int, str, int]


@codec.register("upstreams.record")
@attrs.frozen
class Record:
    """One upstream as its owner reports it."""

    upstream: model.Upstream
    # Process id of the owner.
    home: str
    # Incarnation number of the upstream. It rises when the upstream announces itself
    # after it had left, or sends a higher incarnation number of its own.
    life: int
    # Rises with each change of owner within an incarnation.
    epoch: int
    state: str = STATE_ACTIVE
    # Whether an operator asked to give it no new work, and the number that orders these
    # drain requests.
    is_drained: bool = False
    drain_number: int = 0

    @property
    def upstream_id(self) -> str:
        """The upstream's id."""
        return self.upstream.upstream_id

    def version(self) -> Version:
        """Return the key that orders the records of one upstream.

        Having left ranks above the epoch: a gateway that has not received the leave may
        still take the upstream over, and such a record, though of a higher epoch, must
        not bring the upstream back. Only a new incarnation does.
        """
        return (
            self.life,
            self.state == STATE_LEFT,
            self.epoch,
            self.home,
            self.upstream.change,
        )

    def digest(self) -> int:
        """Return a 64-bit hash that identifies this version of the record."""
        text = f"{self.upstream_id} {self.version()} {self.state} {self.drain_number}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def wall_milliseconds() -> int:
    """Return the wall clock in milliseconds, to number incarnations and drain requests.

    It is used for the first incarnation of an upstream that sends no number. Two
    gateways that never received each other's record of an upstream still give the later
    announcement the higher number, as far as their clocks agree.
    """
    return int(time.time() * 1000)
