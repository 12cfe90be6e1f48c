"""Fake planners, which look up crew windows and book them.

A lookup is retried over all gateways without limit. A booking carries an
Idempotency-Key and is retried with the same key until its outcome is known. Some
bookings that did not run, according to the answer, are given up. The process runs until
SIGTERM, finishes the requests in progress and writes its report.
"""

import argparse
import collections
import json
import os
import pathlib
import random
from typing import Any, Final

from bilberrydrum import runtime

runtime.prepare()

import eventlet

from tests.fakes import gateways, journal, server

OUTCOME_NOT_RUN: Final = "not-run"
OUTCOME_UNKNOWN: Final = "unknown"
# One in this many answers that a booking did not run makes the planner give it up.
GIVE_UP_EVERY: Final = 3


class Planner:
    """A number of planners, each in its own task."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.journal = journal.Journal(options.journal)
        self.outcomes_by_booking: dict[str, str] = {}
        self.n_lookups = 0
        self.n_mismatched = 0
        self.n_by_retry: collections.Counter[str] = collections.Counter()
        self._n_not_run = 0
        self._is_stopping = False

    def run(self) -> dict[str, Any]:
        """Work until stopped; return the report."""
        server.on_terminate(self._stop)
        tasks = [eventlet.spawn(self._work, i) for i in range(self.options.n_planners)]
        for task in tasks:
            task.wait()
        outcomes = collections.Counter(self.outcomes_by_booking.values())
        return {
            "n_lookups": self.n_lookups,
            "n_bookings": outcomes["booked"],
            "n_unknown": outcomes["unknown"],
            "n_given_up": outcomes["given-up"],
            "n_mismatched": self.n_mismatched,
            "n_by_retry": dict(self.n_by_retry),
        }

    def _stop(self) -> None:
        self._is_stopping = True

    def _work(self, number: int) -> None:
        client = gateways.GatewayClient(
            self.options.gateway, self.options.token_file, number
        )
        source = random.Random(number)
        n_done = 0
        while not self._is_stopping:
            n_done += 1
            name = f"{self.options.id}-{number}-{n_done}"
            window = self._look_up(client, f"crew-{number}", name)
            self._book(client, f"crew-{number}", window, name)
            eventlet.sleep(source.expovariate(1 / self.options.pause_seconds))

    def _headers(self, **more: str) -> dict[str, str]:
        return {
            "X-Caller": self.options.caller,
            "X-Timeout-Seconds": str(self.options.timeout_seconds),
            **more,
        }

    def _look_up(self, client: gateways.GatewayClient, crew: str, name: str) -> str:
        """Return a free window of a crew."""
        path = f"/apps/{self.options.application}/windows?crew={crew}&lookup_id={name}"
        while True:
            answer = client.request(
                "GET", path, headers=self._headers(), timeout=self._client_timeout
            )
            if answer is not None and answer.status == 200:
                value = answer.json()
                self.n_lookups += 1
                if value["lookup_id"] != name:
                    self._mismatch(name, value)
                window: str = value["windows"][0]
                return window
            self._pause(client, answer)

    def _book(
        self, client: gateways.GatewayClient, crew: str, window: str, name: str
    ) -> None:
        """Book a window, at most once."""
        body = {"booking_id": name, "crew": crew, "window": window}
        headers = self._headers(**{"Idempotency-Key": f'"{name}"'})
        self.journal.write("asked", booking_id=name)
        while True:
            answer = client.request(
                "POST",
                f"/apps/{self.options.application}/bookings",
                body,
                headers,
                timeout=self._client_timeout,
            )
            outcome = self._outcome(name, answer)
            if outcome is not None:
                break
            self._pause(client, answer)
        self.outcomes_by_booking[name] = outcome
        self.journal.write("outcome", booking_id=name, outcome=outcome)

    def _outcome(self, name: str, answer: gateways.Answer | None) -> str | None:
        """Return the final outcome of a booking, or None if it must be retried."""
        if answer is None:
            return None
        if answer.status == 201:
            value = answer.json()
            if value["booking_id"] != name:
                self._mismatch(name, value)
            return "booked"
        problem = answer.problem()
        if problem.get("reason") == "outcome-unknown":
            return "unknown"
        if problem.get("outcome") == OUTCOME_NOT_RUN:
            self._n_not_run += 1
            if self._n_not_run % GIVE_UP_EVERY == 0:
                return "given-up"
        return None

    @property
    def _client_timeout(self) -> float:
        return float(self.options.timeout_seconds) + 1.0

    def _mismatch(self, name: str, value: dict[str, Any]) -> None:
        self.n_mismatched += 1
        self.journal.write("mismatch", name=name, value=value)

    def _pause(
        self, client: gateways.GatewayClient, answer: gateways.Answer | None
    ) -> None:
        if answer is None:
            self.n_by_retry["no-answer"] += 1
            eventlet.sleep(0.05)
            return
        reason = answer.problem().get("reason", str(answer.status))
        self.n_by_retry[reason] += 1
        client.use_next_gateway()
        eventlet.sleep(answer.retry_after(most=0.5))


def main() -> None:
    """Plan and write the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--gateway", action="append", required=True)
    parser.add_argument("--token-file", default="")
    parser.add_argument("--caller", default="planner")
    parser.add_argument("--application", default="schedule")
    parser.add_argument("--n-planners", type=int, default=6)
    parser.add_argument("--pause-seconds", type=float, default=0.3)
    parser.add_argument("--timeout-seconds", type=float, default=4.0)
    parser.add_argument("--journal", default="")
    parser.add_argument("--report", default="")
    options = parser.parse_args()
    report = json.dumps(Planner(options).run())
    if options.report:
        partial = pathlib.Path(f"{options.report}.part")
        partial.write_text(report + "\n")
        os.replace(partial, options.report)
    print(report)


if __name__ == "__main__":
    main()
