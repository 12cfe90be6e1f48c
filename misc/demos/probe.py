"""Observe from outside which bundle each gateway applies.

Each bundle of a run permits one more caller to use the schedule application. A lookup
under that caller's name therefore shows whether a gateway applies that bundle or an
older one, independently of the gateway's own report.
"""

import threading
import time
from typing import Final

from misc.demos import andes

PAUSE_SECONDS: Final = 0.05
# A request that is sent to a frozen gateway is answered after the gateway resumes. That
# answer is checked too, so the timeout is longer than a freeze.
REQUEST_TIMEOUT_SECONDS: Final = 20.0
# A request may be in flight while a newer bundle comes into force, and may then be
# answered by the older one. An answer that arrives this long afterwards is too late to
# be explained by that.
IN_FLIGHT_SECONDS: Final = 2.0
STATUS_FORBIDDEN: Final = 403


def caller_of(version: int) -> str:
    """Return the caller that the bundle of a version is the first to permit."""
    return f"desk-{version}"


class Probe:
    """Sends lookups to every gateway continuously, from one thread for each."""

    def __init__(self, deployment: andes.Deployment) -> None:
        self._deployment = deployment
        self._version = 1
        self._is_stopping = threading.Event()
        # Time at which each gateway was first seen to apply a version, by version.
        self.seen_by_version: dict[int, dict[str, float]] = {}
        # Time at which a version was reported to be in force everywhere.
        self.reported_by_version: dict[int, float] = {}
        self.reverts: list[str] = []
        self._threads = [
            threading.Thread(target=self._watch, args=(process_id,), daemon=True)
            for process_id in deployment.daemons_by_id
        ]

    def start(self) -> None:
        """Start sending lookups."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending lookups."""
        self._is_stopping.set()

    def expect(self, version: int) -> None:
        """Send lookups for the caller of this version from now on."""
        self._version = version

    def report(self, rolled: andes.RolledBundle) -> None:
        """Record when a version was reported to be in force everywhere."""
        self.reported_by_version[rolled.version] = rolled.reported_at

    def seconds_in_force(
        self, rolled: andes.RolledBundle, gateways: list[str]
    ) -> float:
        """Return the seconds from the request to roll until the gateways applied it."""
        seen = self.seen_by_version.get(rolled.version, {})
        return max(seen[gateway] - rolled.requested_at for gateway in gateways)

    def has_seen(self, version: int, gateways: list[str]) -> bool:
        """Return whether all these gateways were seen to apply a version."""
        seen = self.seen_by_version.get(version, {})
        return all(gateway in seen for gateway in gateways)

    def _watch(self, process_id: str) -> None:
        while not self._is_stopping.is_set():
            version = self._version
            sent = time.monotonic()
            answer = self._deployment.send_request(
                process_id,
                "GET",
                f"/apps/schedule/windows?crew=probe&lookup_id={process_id}",
                {"X-Caller": caller_of(version)},
                timeout=REQUEST_TIMEOUT_SECONDS,
            )
            received = time.monotonic()
            if answer is not None and answer.status == 200:
                seen = self.seen_by_version.setdefault(version, {})
                seen.setdefault(process_id, received)
            elif answer is not None and answer.status == STATUS_FORBIDDEN:
                self._check_revert(process_id, version, sent, received)
            time.sleep(PAUSE_SECONDS)

    def _check_revert(
        self, process_id: str, version: int, sent: float, received: float
    ) -> None:
        """Record a gateway that applies an older bundle after a newer one was in force.

        The newer one was in force there if this gateway was seen to apply it, or if it
        was reported to be in force everywhere.
        """
        in_force_times = [
            each
            for each in (
                self.seen_by_version.get(version, {}).get(process_id),
                self.reported_by_version.get(version),
            )
            if each is not None
        ]
        if in_force_times and (
            sent > min(in_force_times)
            or received > min(in_force_times) + IN_FLIGHT_SECONDS
        ):
            self.reverts.append(f"{process_id} applied a bundle older than {version}")
