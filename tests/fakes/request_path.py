"""Request paths of several gateways with one state group, and ways to suspend them."""

from typing import Any

import eventlet
import eventlet.event

from bilberrydrum import options
from bilberrydrum.http import callers, edge
from bilberrydrum.requests import claims, claims_state, dispatch
from tests.fakes import gateway_parts, wsgi

HEADERS = {"X-Caller": "desk"}


class StoppableStateClient:
    """One gateway's client of the state group, at which it can be suspended.

    From outside, a killed process and a suspended one look the same: neither sends
    anything. So each stop is a wait that ends when the test resumes the gateway.
    """

    def __init__(self, group: gateway_parts.StateGroup) -> None:
        self._group = group
        self.stops_before: type | None = None
        self.stops_after: type | None = None
        self.resumed = eventlet.event.Event()
        self.is_stopped = False

    def submit(self, command: object, timeout: float = 5.0) -> Any:
        if isinstance(command, self.stops_before or ()):
            self._stop()
        answer = self._group.submit(command, timeout)
        if isinstance(command, self.stops_after or ()):
            self._stop()
        return answer

    def query(self, query: object, timeout: float = 5.0) -> Any:
        return self._group.query(query, timeout)

    def resume(self) -> None:
        """Resume the gateway if it is suspended, and don't suspend it again."""
        self.stops_before = self.stops_after = None
        if self.is_stopped:
            self.is_stopped = False
            self.resumed.send(None)
            self.resumed = eventlet.event.Event()

    def _stop(self) -> None:
        self.is_stopped = True
        self.resumed.wait()


class Gateway:
    """The request path of one gateway."""

    def __init__(
        self,
        process_id: str,
        group: gateway_parts.StateGroup,
        registry: gateway_parts.Registry,
        **requests: Any,
    ) -> None:
        settings = gateway_parts.settings(process_id, **requests)
        self.bundles = gateway_parts.Bundles()
        self.state = StoppableStateClient(group)
        self.dispatcher = dispatch.RequestDispatcher(settings, self.bundles, registry)
        self.claims = claims.Claims(settings, self.state)
        self.edge = edge.Edge(options.LimitOptions(), {})
        callers.add_routes(
            self.edge, settings, self.bundles, self.dispatcher, self.claims
        )
        self.dispatcher.start()
        self.claims.start()

    def stop(self) -> None:
        self.claims.stop()
        self.dispatcher.stop()

    def send(
        self, method: str, target: str, body: Any = b"", **headers: str
    ) -> wsgi.Pending:
        """Send a request; underscores in header names are replaced by hyphens."""
        sent_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        return wsgi.send(self.edge, method, target, body, HEADERS | sent_headers)

    def book(
        self, key: str = "k", body: bytes = b"window 7", **headers: str
    ) -> wsgi.Pending:
        return self.send(
            "POST", "/apps/schedule/book", body, Idempotency_Key=key, **headers
        )


STOPS: dict[str, tuple[str, type]] = {
    "before the claim": ("stops_before", claims_state.ClaimKey),
    "after the claim, before the first byte": ("stops_after", claims_state.ClaimKey),
    "after the answer, before it is recorded": (
        "stops_before",
        claims_state.FinishClaim,
    ),
    "after it is recorded, before the caller's answer": (
        "stops_after",
        claims_state.FinishClaim,
    ),
}
