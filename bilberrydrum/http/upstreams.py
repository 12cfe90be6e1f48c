"""The upstreams' interface, and the operators' view of the upstreams."""

from typing import Any

import result

from bilberrydrum import codec, options, reasons
from bilberrydrum.http import edge
from bilberrydrum.upstreams import announcements, registry

# Retry-After for an upstream that could not be served, in seconds.
_RETRY_AFTER = 0.5


def add_routes(
    edge_: edge.Edge, options_: options.Options, registry_: registry.UpstreamRegistry
) -> None:
    """Add the upstreams' and the operators' routes under ``/v1/upstreams``."""
    handlers = _Handlers(options_.upstreams, registry_)
    upstream, operator = edge.GUARD_UPSTREAM, edge.GUARD_OPERATOR
    path = "/v1/upstreams/{id}"
    edge_.add("PUT", path, handlers.announce, upstream)
    edge_.add("POST", f"{path}/renew", handlers.renew, upstream)
    edge_.add("POST", f"{path}/leave", handlers.leave, upstream)
    edge_.add("POST", f"{path}/cache-events", handlers.handle_cache_events, upstream)
    edge_.add("GET", "/v1/upstreams", handlers.list, operator)
    edge_.add("POST", f"{path}/drain", handlers.drain, operator)
    edge_.add("DELETE", f"{path}/drain", handlers.undrain, operator)


class _Handlers:
    """Handlers of the routes."""

    def __init__(
        self, options_: options.UpstreamOptions, registry_: registry.UpstreamRegistry
    ) -> None:
        self._registry = registry_
        self._lease = {
            "lease_seconds": options_.lease_seconds,
            "renew_seconds": options_.renew_seconds,
        }

    def announce(self, request: edge.Request) -> edge.Response:
        """Handle ``PUT /v1/upstreams/{id}``."""
        checked = announcements.announcement(request.variables["id"], request.json())
        announcement = _valid(checked)
        _refuse_if_gone(request)
        _raise_on_error(self._registry.announce(announcement))
        return edge.Response.of_json(self._lease)

    def renew(self, request: edge.Request) -> edge.Response:
        """Handle ``POST /v1/upstreams/{id}/renew``."""
        renewed = _valid(announcements.renewal(request.variables["id"], request.json()))
        _refuse_if_gone(request)
        _raise_on_error(self._registry.renew(renewed))
        return edge.Response.of_json(self._lease)

    def leave(self, request: edge.Request) -> edge.Response:
        """Handle ``POST /v1/upstreams/{id}/leave``."""
        _raise_on_error(self._registry.leave(request.variables["id"]))
        return edge.Response.of_json({})

    def handle_cache_events(self, request: edge.Request) -> edge.Response:
        """Handle ``POST /v1/upstreams/{id}/cache-events``."""
        checked = announcements.cache_events(request.variables["id"], request.json())
        self._registry.handle_cache_events(_valid(checked))
        return edge.Response.of_json({})

    def list(self, request: edge.Request) -> edge.Response:
        """Handle ``GET /v1/upstreams``."""
        upstreams = [
            {
                **codec.to_plain(status.upstream),
                "home": status.home,
                "state": status.state,
                "is_drained": status.is_drained,
                "lease_seconds": round(status.lease_seconds, 3),
            }
            for _, status in sorted(self._registry.statuses_by_id().items())
        ]
        return edge.Response.of_json({"upstreams": upstreams})

    def drain(self, request: edge.Request) -> edge.Response:
        """Handle ``POST /v1/upstreams/{id}/drain``."""
        _raise_on_error(self._registry.drain(request.variables["id"], True))
        return edge.Response.of_json({"is_drained": True})

    def undrain(self, request: edge.Request) -> edge.Response:
        """Handle ``DELETE /v1/upstreams/{id}/drain``."""
        _raise_on_error(self._registry.drain(request.variables["id"], False))
        return edge.Response.of_json({"is_drained": False})


def _valid(checked: result.Result[Any, Any]) -> Any:
    if isinstance(checked, result.Ok):
        return checked.ok_value
    raise edge.refuse(
        400,
        reasons.Reason.INVALID_REQUEST,
        "; ".join(f"{finding.field}: {finding.message}" for finding in checked.err()),
        findings=tuple(checked.err()),
    )


def _refuse_if_gone(request: edge.Request) -> None:
    # After this process was suspended for a while, its sockets contain requests that
    # upstreams abandoned long ago. If such a request were handled as a current one, an
    # upstream that is gone would be listed.
    if request.is_client_gone():
        raise edge.refuse(400, reasons.Reason.CALLER_GONE)


def _raise_on_error(reply: result.Result[None, reasons.Reason]) -> None:
    if isinstance(reply, result.Ok):
        return
    reason = reply.err_value
    if reason == reasons.Reason.NOT_FOUND:
        raise edge.refuse(404, reason, "announce again")
    if reason == reasons.Reason.PEER_UNREACHABLE:
        detail = "too few gateways have received it so far; send it again"
        raise edge.refuse(503, reason, detail, retry_after_seconds=_RETRY_AFTER)
    if reason in (reasons.Reason.STATE_UNAVAILABLE, reasons.Reason.SHUTTING_DOWN):
        detail = "this gateway is starting or stopping"
        raise edge.refuse(503, reason, detail, retry_after_seconds=_RETRY_AFTER)
    raise edge.refuse(409, reason)
