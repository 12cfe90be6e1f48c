"""The upstream's side of the lease interface: announce, renew, leave."""

import argparse
from collections.abc import Callable
from typing import Any, Final

from bilberrydrum import runtime

runtime.prepare()

import eventlet

from tests.fakes import gateways

RETRY_SECONDS: Final = 0.1
REQUEST_SECONDS: Final = 1.0
N_LEAVE_TRIES: Final = 20


class Announcer:
    """Keeps one upstream registered with the gateways.

    Parameters
    ----------
    upstream_id : str
        Name of the upstream.
    client : gateways.GatewayClient
        The gateways to announce to, one at a time.
    announcement : callable
        Returns the announcement as it is now.
    renewal : callable
        Returns the body of a renewal as it is now.
    """

    def __init__(
        self,
        upstream_id: str,
        client: gateways.GatewayClient,
        announcement: Callable[[], dict[str, Any]],
        renewal: Callable[[], dict[str, Any]],
    ) -> None:
        self._path = f"/v1/upstreams/{upstream_id}"
        self._client = client
        self._announcement = announcement
        self._renewal = renewal
        self._renew_seconds = RETRY_SECONDS
        self._is_announced = False
        self._is_leaving = False
        self._wake = eventlet.Event()

    def run(self) -> None:
        """Announce and renew until `leave` is called."""
        while not self._is_leaving:
            gateway = self._client.current
            is_known = self._renew() if self._is_announced else self._announce()
            # After a change of gateway, announce again: the new one may not know it.
            self._is_announced = is_known and self._client.current == gateway
            self._wait(self._renew_seconds if is_known else RETRY_SECONDS)

    def renew_now(self) -> None:
        """Report a change without waiting for the next renewal."""
        if not self._wake.ready():
            self._wake.send()

    def leave(self) -> None:
        """Ask the gateways for no new work, until one of them confirms."""
        self._is_leaving = True
        for _ in range(N_LEAVE_TRIES):
            answer = self._client.request(
                "POST", f"{self._path}/leave", {}, timeout=REQUEST_SECONDS
            )
            if answer is not None and answer.status in (200, 404):
                return
            # Too few gateways acknowledged the leave, or this one did not answer.
            self._client.use_next_gateway()
            eventlet.sleep(RETRY_SECONDS)

    def send_cache_events(self, sequence: int, events: list[dict[str, str]]) -> None:
        """Send cache events without a retry; lost events leave a gap."""
        if self._is_announced:
            self._client.request(
                "POST",
                f"{self._path}/cache-events",
                {"sequence": sequence, "events": events},
                timeout=REQUEST_SECONDS,
            )

    def _announce(self) -> bool:
        return self._send("PUT", self._path, self._announcement())

    def _renew(self) -> bool:
        return self._send("POST", f"{self._path}/renew", self._renewal())

    def _send(self, method: str, path: str, value: dict[str, Any]) -> bool:
        answer = self._client.request(method, path, value, timeout=REQUEST_SECONDS)
        if answer is None:
            return False
        if answer.status == 200:
            self._renew_seconds = float(answer.json()["renew_seconds"])
            return True
        if answer.status >= 500:
            self._client.use_next_gateway()
        return False

    def _wait(self, seconds: float) -> None:
        with eventlet.Timeout(seconds, False):
            self._wake.wait()
        if self._wake.ready():
            self._wake = eventlet.Event()


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that every upstream has."""
    parser.add_argument("--id", required=True, help="upstream id")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--gateway", action="append", required=True)
    parser.add_argument("--token-file", default="")
    parser.add_argument("--zone", default="local")
    parser.add_argument("--journal", default="")
    parser.add_argument(
        "--leave-seconds",
        type=float,
        default=1.0,
        help="time that work in progress gets after SIGTERM",
    )
