"""What the directory is told, and what it asks to have done."""

from typing import Any

import attrs

from bilberrydrum import reasons
from bilberrydrum.upstreams import model


@attrs.frozen
class Tick:
    """Time has passed; the other gateways are these."""

    # Availability zones by process id, this gateway included.
    zones_by_id: dict[str, str]


@attrs.frozen
class Announced:
    """An upstream announced itself here."""

    upstream: model.Upstream
    # The upstream's own number for its start; None: it gave none.
    incarnation: int | None
    wall_milliseconds: int


@attrs.frozen
class Renewed:
    """An upstream renewed its lease here; None stands for what it left out."""

    upstream_id: str
    load: model.Load | None = None
    models: dict[str, model.ServedModel] | None = None
    role: str | None = None


@attrs.frozen
class Leaving:
    """An upstream says here that it is leaving."""

    upstream_id: str


@attrs.frozen
class DrainAsked:
    """An operator wants an upstream to get no new work, or to get some again."""

    upstream_id: str
    is_drained: bool
    wall_milliseconds: int


@attrs.frozen
class Heard:
    """A message of another gateway."""

    sender: str
    incarnation: int
    message: Any


Event = Tick | Announced | Renewed | Leaving | DrainAsked | Heard


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
    """Answer the upstream or operator; None: done."""

    refusal: reasons.Reason | None = None


@attrs.frozen
class LeaveKnown:
    """Enough other gateways know that the upstream is leaving."""

    upstream_id: str
    life: int


@attrs.frozen
class Drop:
    """Count a dropped message."""

    reason: reasons.Reason


@attrs.frozen
class Note:
    """Log a change of state."""

    kind: str
    upstream_id: str
    gateway: str = ""


Effect = Send | SendAll | Reply | LeaveKnown | Drop | Note
