"""For how long a process may act on the keys of the policy that it has.

Answers the load in which a key was taken away and its holder goes on sending, to a
process that is cut off from the control group, frozen, or has just started: what it
holds may be older than the change. A process without accounts to check, or one whose
deployment lets taken keys work on for a while, needs no lease.
"""

from typing import Final

import attrs

# Share of the time within which a taken key must be dead everywhere. The rest is for
# what follows the last look at the lease: the request's way to the upstream, and the
# difference between two hosts' clocks. Eight renewals of half a second fit into a bound
# of 5 s, so that an election of the control leader (1.3 s) costs no request.
_LEASE_SHARE: Final = 0.8


@attrs.define
class PolicyLease:
    """When the control leader last said that the policy here is the newest."""

    # Time within which a taken key must be dead everywhere, in seconds; 0: no bound.
    revocation_seconds: float = 0.0
    # Sending time of the latest renewal that was answered, in seconds of `clock.now`.
    confirmed_at: float = float("-inf")

    def confirm(self, asked_at: float) -> None:
        """Note the answer to a renewal that was sent at `asked_at`.

        Counted from the sending: the answer may have been under way for long, and a key
        may have been taken away meanwhile.
        """
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def is_valid(self, now: float) -> bool:
        """Tell whether keys may be judged by the policy here."""
        if not self.revocation_seconds:
            return True
        return now - self.confirmed_at < self.revocation_seconds * _LEASE_SHARE
