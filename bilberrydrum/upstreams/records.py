"""What gateways tell each other of one upstream, and which of two reports is newer.

Each upstream has one home, the gateway that answers for its lease. Only the home
writes its record, so two records of equal version are equal. Records are merged by
taking the one of higher version; the order in which they arrive does not matter.
"""

import hashlib
import time
from typing import Final

import attrs

from bilberrydrum import codec
from bilberrydrum.upstreams import model

# The home hears its renewals.
STATE_STANDS: Final = "stands"
# The home has not heard a renewal for the length of the lease.
STATE_LAPSED: Final = "lapsed"
# It said that it is leaving: final for this life of the upstream.
STATE_LEFT: Final = "left"

Version = tuple[int, bool, int, str, int]


@codec.register("upstreams.record")
@attrs.frozen
class Record:
    """One upstream as its home reports it."""

    upstream: model.Upstream
    home: str
    # Rises when the upstream announces itself after it had left, or with a higher
    # incarnation of its own.
    life: int
    # Rises with each change of home within a life.
    epoch: int
    state: str = STATE_STANDS
    # The operators' wish that it gets no new work, and the number that orders wishes.
    is_drained: bool = False
    drain_number: int = 0

    @property
    def upstream_id(self) -> str:
        """The upstream's id."""
        return self.upstream.upstream_id

    def version(self) -> Version:
        """Return what orders the records of one upstream.

        Having left comes before the epoch: a gateway that has not heard of it may
        still take the upstream over, and such a record, though of a higher epoch, must
        not bring it back. Only a new life does.
        """
        return (
            self.life,
            self.state == STATE_LEFT,
            self.epoch,
            self.home,
            self.upstream.change,
        )

    def digest(self) -> int:
        """Return 64 bits that tell this record from any other."""
        text = f"{self.upstream_id} {self.version()} {self.state} {self.drain_number}"
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def wall_milliseconds() -> int:
    """Return the wall clock, for the first life of an upstream that names none.

    Two gateways that never heard of each other's record of an upstream still give the
    later announcement the higher life, as far as their clocks agree.
    """
    return int(time.time() * 1000)
