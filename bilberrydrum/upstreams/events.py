"""Events that the directory handles, and effects that it returns."""

from typing import Any

import attrs

from bilberrydrum import reasons
from bilberrydrum.upstreams import model


@attrs.frozen
class Tick:
    """Time has passed; `zones_by_id` holds the registered gateways."""

    # Availability zones by process id, this gateway included.
    zones_by_id: dict[str, str]


@attrs.frozen
class Announced:
    """An upstream announced itself at this gateway."""

    upstream: model.Upstream
    # The upstream's own incarnation number; None if it sent none.
    incarnation: int | None
    wall_milliseconds: int


@attrs.frozen
class Renewed:
    """An upstream renewed its lease at this gateway; fields not sent are None."""

    upstream_id: str
    load: model.Load | None = None
    models: dict[str, model.ServedModel] | None = None
    role: str | None = None


@attrs.frozen
class Leaving:
    """An upstream announced at this gateway that it is leaving."""

    upstream_id: str


@attrs.frozen
class DrainRequested:
    """An operator asked to give an upstream no new work, or to give it work again."""

    upstream_id: str
    is_drained: bool
    wall_milliseconds: int


@attrs.frozen
class Received:
    """A message of another gateway was received."""

    sender: str
    incarnation: int
    message: Any


Event = Tick | Announced | Renewed | Leaving | DrainRequested | Received


@attrs.frozen
class Send:
    """Send `message` to the gateway `process_id`."""

    process_id: str
    message: Any


@attrs.frozen
class SendAll:
    """Send `message` to all other gateways."""

    message: Any


@attrs.frozen
class Reply:
    """Answer the upstream or operator; without a refusal, the request succeeded."""

    refusal: reasons.Reason | None = None


@attrs.frozen
class LeaveConfirmed:
    """Enough other gateways acknowledged that the upstream is leaving."""

    upstream_id: str
    incarnation: int


@attrs.frozen
class Drop:
    """Count a dropped message."""

    reason: reasons.Reason


@attrs.frozen
class LogChange:
    """Log a change of an upstream's state."""

    kind: str
    upstream_id: str
    gateway: str = ""


Effect = Send | SendAll | Reply | LeaveConfirmed | Drop | LogChange
