"""How long a process may accept API keys by the policy that it has.

After a key has been revoked its holder may go on sending requests, also to a process
that is partitioned from the control group, was suspended, or has just started, and
whose policy may therefore be older than the revocation. The lease bounds the time for
which such a process accepts the key. A process without accounts to check, or one whose
deployment sets no bound on revocation, needs no lease.
"""

from typing import Final

import attrs

# Share of the revocation bound for which a confirmation is valid. The rest covers what
# follows the last check of the lease: sending the request to the upstream, and the
# difference between the clocks of two hosts. With a bound of 5 s the lease lasts for
# eight renewals of half a second, so an election of the control leader (1.3 s) causes
# no refusals.
_LEASE_SHARE: Final = 0.8


@attrs.define
class PolicyLease:
    """When the control leader last confirmed that the policy here is the newest."""

    # Time within which a revoked key must be refused everywhere, in seconds; 0 if
    # unbounded.
    revocation_seconds: float = 0.0
    # When the latest answered renewal was sent, in seconds of `clock.now`.
    confirmed_at: float = float("-inf")

    def confirm(self, sent_at: float) -> None:
        """Record the answer to a renewal that was sent at `sent_at`.

        The lease starts when the renewal was sent, as the answer may have been delayed
        and a key revoked in the meantime.
        """
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def is_valid(self, now: float) -> bool:
        """Return whether keys may be checked by the policy here."""
        if not self.revocation_seconds:
            return True
        return now - self.confirmed_at < self.revocation_seconds * _LEASE_SHARE
