"""What the control group knows of upstreams and of the stores."""

import functools
from collections.abc import Mapping

import attrs

from bilberrydrum import codec, reasons


@codec.register("fleet.upstream")
@attrs.frozen
class FleetUpstream:
    """One incarnation of an upstream, as it announced itself."""

    # Its own name for itself: one segment of a path, so it has no slash. An upstream
    # that starts again may keep it.
    announced_id: str
    service: str
    # ``IP:port``; may be taken over by another upstream once this one has ended.
    address: str
    availability_zone: str
    # Requests that it works on at a time.
    n_slots: int
    is_leaving: bool = False
    # Seconds for which it is slower than usual after its start.
    cold_seconds: float = 0.0
    # Weight versions by model; empty: a plain service.
    versions_by_model: dict[str, int] = attrs.field(factory=dict)
    # Number of the announcement; a later one of the same upstream has a higher one.
    sequence: int = 0
    # Not heard from for long: it may have crashed, or only its announcements are lost.
    is_silent: bool = False
    # Unix time of its start, in milliseconds; None: not told, and its name alone tells
    # it from its other incarnations.
    started_at_ms: int | None = None

    # Made once: each look at a fleet of thousands asks each upstream for it.
    @functools.cached_property
    def upstream_id(self) -> str:
        """Name of this incarnation, unlike that of any other.

        Whatever is known of an upstream hangs on it: a load that an earlier incarnation
        reported, its failures or its weight versions say nothing of the next one.
        """
        if self.started_at_ms is None:
            return self.announced_id
        return f"{self.announced_id}/{self.started_at_ms}"


@codec.register("fleet.store")
@attrs.frozen
class Store:
    """A process that can hold a replica of the stores' group."""

    # Name of its host.
    name: str
    # Address of its ROUTER for the stores' group, ``IP:port``.
    address: str
    # Index of the log entry since which it is being emptied; 0: it is not.
    retiring_index: int = 0
    availability_zone: str = ""


@codec.register("fleet.registry")
@attrs.frozen
class Registry:
    """What gateways and stores act on, besides the policy."""

    # Index of the last log entry that changed it; a higher one is newer.
    index: int = 0
    upstreams: tuple[FleetUpstream, ...] = ()
    # Newest named version by model.
    versions_by_model: dict[str, int] = attrs.field(factory=dict)
    stores: tuple[Store, ...] = ()
    # Addresses that the stores' group starts with; empty: not chosen yet.
    founder_addresses: tuple[str, ...] = ()

    @functools.cached_property
    def upstreams_by_id(self) -> Mapping[str, FleetUpstream]:
        """All upstreams by the names of their incarnations."""
        return {each.upstream_id: each for each in self.upstreams}

    def of_service(self, service: str) -> list[FleetUpstream]:
        """Return the upstreams of one service."""
        return [each for each in self.upstreams if each.service == service]

    def find_refusal(self, upstream_id: str) -> reasons.Reason | None:
        """Return why an upstream must be sent nothing any more; None: it may."""
        found = self.upstreams_by_id.get(upstream_id)
        if found is None or found.is_leaving:
            return reasons.Reason.UPSTREAM_LEFT
        return None
