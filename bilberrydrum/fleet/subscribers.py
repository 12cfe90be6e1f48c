"""The processes that subscribe to changes at the control group's leader."""

from typing import Final

import attrs

from bilberrydrum import clock
from bilberrydrum.fleet import messages

# How long a subscription lasts without a renewal, in seconds: six renewal intervals.
SUBSCRIPTION_SECONDS: Final = 3.0


@attrs.define
class Subscriber:
    """One subscribed process."""

    renewed_at: float
    # Its last renewal, with the indexes updated by what was sent to it since.
    request: messages.Subscribe


class Subscribers:
    """All subscribers, by address."""

    def __init__(self) -> None:
        self._by_address: dict[str, Subscriber] = {}

    def clear(self) -> None:
        """Forget all subscribers; they subscribe again with each new leader."""
        self._by_address.clear()

    def record_renewal(self, address: str, request: messages.Subscribe) -> Subscriber:
        """Record a renewal."""
        subscriber = Subscriber(clock.now(), request)
        self._by_address[address] = subscriber
        return subscriber

    def live(self) -> dict[str, Subscriber]:
        """Return the subscribers that have renewed in time, by address."""
        since = clock.now() - SUBSCRIPTION_SECONDS
        return {k: v for k, v in self._by_address.items() if v.renewed_at >= since}

    def live_store_addresses(self) -> set[str]:
        """Return the addresses of the stores among the live subscribers."""
        return {
            each.request.store_address
            for each in self.live().values()
            if each.request.store_address
        }
