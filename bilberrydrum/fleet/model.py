"""Upstreams and stores as the control group records them."""

import functools
from collections.abc import Mapping

import attrs

from bilberrydrum import codec, reasons


@codec.register("fleet.upstream")
@attrs.frozen
class FleetUpstream:
    """One incarnation of an upstream, as it announced itself."""

    # The id that the upstream gives itself: one segment of a path, so it has no slash.
    # An upstream that restarts may keep it.
    announced_id: str
    service: str
    # ``IP:port``; another upstream may take it over once this one has stopped.
    address: str
    availability_zone: str
    # Number of requests that it runs concurrently.
    n_slots: int
    is_leaving: bool = False
    # How long it is slower than usual after its start, in seconds.
    cold_seconds: float = 0.0
    # Loaded weight versions by model; empty for a plain service.
    versions_by_model: dict[str, int] = attrs.field(factory=dict)
    # Sequence number of the announcement; it rises within one incarnation.
    sequence: int = 0
    # Its announcements are overdue: it may have crashed, or they were lost.
    is_silent: bool = False
    # Unix time of its start, in milliseconds. None if the upstream does not send it;
    # then its incarnations cannot be told apart.
    started_at_ms: int | None = None

    # Cached, as each scheduling pass reads it for each of thousands of upstreams.
    @functools.cached_property
    def upstream_id(self) -> str:
        """Unique id of this incarnation.

        All records of an upstream are kept under it, as the load, failures and weight
        versions of an earlier incarnation do not apply to the next one.
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
    # Index of the log entry that started its retirement; 0 if it is not retiring.
    retiring_index: int = 0
    availability_zone: str = ""


@codec.register("fleet.registry")
@attrs.frozen
class Registry:
    """Upstreams, weight versions and stores, as sent to gateways and stores."""

    # Index of the last log entry that changed it; a higher one is newer.
    index: int = 0
    upstreams: tuple[FleetUpstream, ...] = ()
    # Newest announced weight version by model.
    versions_by_model: dict[str, int] = attrs.field(factory=dict)
    stores: tuple[Store, ...] = ()
    # Addresses of the initial members of the stores' group; empty until chosen.
    founder_addresses: tuple[str, ...] = ()

    @functools.cached_property
    def upstreams_by_id(self) -> Mapping[str, FleetUpstream]:
        """All upstreams by the ids of their incarnations."""
        return {each.upstream_id: each for each in self.upstreams}

    def of_service(self, service: str) -> list[FleetUpstream]:
        """Return the upstreams of one service."""
        return [each for each in self.upstreams if each.service == service]

    def find_refusal(self, upstream_id: str) -> reasons.Reason | None:
        """Return why no request may be sent to an upstream; None if it may."""
        found = self.upstreams_by_id.get(upstream_id)
        if found is None or found.is_leaving:
            return reasons.Reason.UPSTREAM_LEFT
        return None
