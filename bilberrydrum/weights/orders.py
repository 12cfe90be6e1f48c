"""Orders to engines and their outcomes."""

from typing import Any, Final

import attrs

LOAD: Final = "load"
SWAP: Final = "swap"
UNLOAD: Final = "unload"
LOAD_ADAPTER: Final = "load_adapter"
SET_ROLE: Final = "set_role"

# Reason in an engine's answer to an order with an outdated fencing number.
STALE_FENCING: Final = "stale-fencing"


@attrs.frozen
class Action:
    """What an order makes an engine do.

    Several orders may carry the same action; they differ in their ids.
    """

    kind: str
    model: str = ""
    weight_version: int = 0
    adapter: str = ""
    role: str = ""


@attrs.frozen
class Order:
    """One order to one engine.

    It does not contain the fencing number, which is read when the order is sent and
    not when it is created.
    """

    # Unique among all orders. An order that is sent again because its answer was lost
    # keeps its id, so that the engine can detect that it has already executed it.
    order_id: str
    upstream_id: str
    # ``IP:port`` of the engine.
    address: str
    action: Action
    # Base URL of the weight store from which the engine loads weights.
    source: str = ""
    checks_fencing: bool = False

    def body(self, fencing_number: int) -> dict[str, Any]:
        """Return the order as a JSON object with `fencing_number`."""
        return {
            "order_id": self.order_id,
            **attrs.asdict(self.action),
            "source": self.source,
            "fencing_number": fencing_number,
        }


@attrs.frozen
class InFlightOrder:
    """An order that has been issued and has no outcome yet."""

    order: Order
    # Time at which it was issued, in seconds of `clock.now`.
    issued_at: float


@attrs.frozen
class Done:
    """The engine has executed the order."""


@attrs.frozen
class Failed:
    """The engine answered that the order failed, or could not be connected to."""

    detail: str


@attrs.frozen
class Lost:
    """The order was sent and no answer arrived: the engine may have executed it."""

    detail: str


@attrs.frozen
class RateLimited:
    """The engine or its weight store is over its limit and asks for a later retry."""

    retry_after_seconds: float


@attrs.frozen
class Fenced:
    """The engine has accepted an order with a higher fencing number."""


@attrs.frozen
class NotSent:
    """The right to issue the order had expired before it was written."""


Outcome = Done | Failed | Lost | RateLimited | Fenced | NotSent
