"""The routes for health, readiness and metrics of one process."""

from collections.abc import Callable

import prometheus_client

from bilberrydrum import options, reasons
from bilberrydrum.http import edge


def add_routes(edge_: edge.Edge, find_unready: Callable[[], list[str]]) -> None:
    """Add `/healthz`, `/readyz` and `/metrics`.

    Parameters
    ----------
    edge_ : Edge
        The edge to which the routes are added.
    find_unready : callable
        Returns the reasons why this process should get no work; empty if it is ready.
    """

    def healthz(request: edge.Request) -> edge.Response:
        # A draining process fails its health check, so that load balancers send new
        # requests elsewhere while the requests in flight are completed.
        if edge_.is_draining:
            raise edge.refuse(503, reasons.Reason.SHUTTING_DOWN)
        return edge.Response.of_json({"status": "ok"})

    def readyz(request: edge.Request) -> edge.Response:
        unready = find_unready()
        status = 503 if unready else 200
        return edge.Response.of_json({"ready": not unready, "why": unready}, status)

    edge_.add("GET", "/healthz", healthz)
    edge_.add("GET", "/readyz", readyz)
    edge_.add("GET", "/metrics", _metrics)


def metrics_edge(limits: options.LimitOptions) -> edge.Edge:
    """Return an edge that serves `/metrics` only."""
    edge_ = edge.make_probe_edge(limits)
    edge_.add("GET", "/metrics", _metrics)
    return edge_


def _metrics(request: edge.Request) -> edge.Response:
    content_type = ("Content-Type", prometheus_client.CONTENT_TYPE_LATEST)
    return edge.Response(200, prometheus_client.generate_latest(), [content_type])
