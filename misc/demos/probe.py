"""Watch from outside which bundle each gateway acts on.

Each bundle of a run lets one caller more use the schedule application, so a lookup
under that caller's name tells whether a gateway acts on that bundle or an older one.
Nothing is taken from the gateway's own report.
"""

import threading
import time
from typing import Final

from misc.demos import andes

PAUSE_SECONDS: Final = 0.05
# A request may wait in a frozen gateway; its answer once it goes on counts.
PATIENCE_SECONDS: Final = 20.0
# An answer this long after its request was overtaken is not one that was under way.
UNDER_WAY_SECONDS: Final = 2.0
STATUS_FORBIDDEN: Final = 403


def caller_of(version: int) -> str:
    """Return the caller that the bundle of a version lets in for the first time."""
    return f"desk-{version}"


class Probe:
    """Asks every gateway again and again, one task for each."""

    def __init__(self, deployment: andes.Deployment) -> None:
        self._deployment = deployment
        self._version = 1
        self._is_stopping = threading.Event()
        # When a gateway was first seen to act on a version.
        self.seen_by_version: dict[int, dict[str, float]] = {}
        # When a version was reported to be in force everywhere.
        self.reported_by_version: dict[int, float] = {}
        self.reverts: list[str] = []
        self._threads = [
            threading.Thread(target=self._watch, args=(process_id,), daemon=True)
            for process_id in deployment.daemons_by_id
        ]

    def start(self) -> None:
        """Start asking."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop asking."""
        self._is_stopping.set()

    def expect(self, version: int) -> None:
        """Ask for the caller of this version from now on."""
        self._version = version

    def report(self, rolled: andes.Rolled) -> None:
        """Note that a version was reported to be in force everywhere."""
        self.reported_by_version[rolled.version] = rolled.reported

    def seconds_in_force(self, rolled: andes.Rolled, gateways: list[str]) -> float:
        """Return the time from asking for the roll until these gateways acted on it."""
        seen = self.seen_by_version.get(rolled.version, {})
        return max(seen[gateway] - rolled.asked for gateway in gateways)

    def has_seen(self, version: int, gateways: list[str]) -> bool:
        """Tell whether these gateways were seen to act on a version."""
        seen = self.seen_by_version.get(version, {})
        return all(gateway in seen for gateway in gateways)

    def _watch(self, process_id: str) -> None:
        while not self._is_stopping.is_set():
            version = self._version
            sent = time.monotonic()
            answer = self._deployment.ask(
                process_id,
                "GET",
                f"/apps/schedule/windows?crew=probe&lookup_id={process_id}",
                {"X-Caller": caller_of(version)},
                timeout=PATIENCE_SECONDS,
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
        """Note a gateway that acts on an older bundle after the newer held there.

        It held there if this gateway was seen to act on it, or if it was reported to
        be in force everywhere.
        """
        held = [
            time_
            for time_ in (
                self.seen_by_version.get(version, {}).get(process_id),
                self.reported_by_version.get(version),
            )
            if time_ is not None
        ]
        if held and (sent > min(held) or received > min(held) + UNDER_WAY_SECONDS):
            self.reverts.append(f"{process_id} acted on a bundle before {version}")
