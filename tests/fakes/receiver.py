"""The receiver of usage reports, outside the system, with all its failure modes.

It keeps the reports that it has accepted, and records violations: two reports of one
window that differ, a lower number after a higher one, two holders with the same number.
"""

import json
import random
from typing import Any

import attrs

from bilberrydrum import upstream_protocol
from bilberrydrum.requests import single_calls


class PlainReports:
    """Implements `usage.reporter.ReportProtocol`."""

    def report(self, counts, holder, number):
        body = {
            "window": counts.window,
            "counts": counts.n_by_account,
            "holder": holder,
            "number": number,
        }
        data = json.dumps(body, sort_keys=True).encode()
        return upstream_protocol.OrderMessage("POST", "/usage", {}, data)


@attrs.define
class Receiver:
    """Accepts reports as a platform would; `mode` sets how it treats the next calls."""

    is_fenced: bool = True
    # One of: answers, silent (carried out, but no answer), late (no answer, carried out
    # when `carry_out_late` is called), down, busy.
    mode: str = "answers"
    counts_by_window: dict[int, dict[str, int]] = attrs.field(factory=dict)
    highest_number: int = -1
    holders_by_number: dict[int, str] = attrs.field(factory=dict)
    n_refused: int = 0
    late: list[dict[str, Any]] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)

    def call(self, prepare):
        """Replace `single_calls.call`."""
        message = prepare()
        if message is None:
            return single_calls.Reply(is_withheld=True)
        if self.mode == "down":
            return single_calls.Reply()
        if self.mode == "busy":
            return single_calls.Reply(429)
        report = json.loads(message.body)
        if self.mode == "late":
            self.late.append(report)
            return single_calls.Reply()
        status = self.handle_report(report)
        return single_calls.Reply(0 if self.mode == "silent" else status)

    def carry_out_late(self, rng: random.Random) -> None:
        """Carry out the calls that got no answer, in any order, after newer calls."""
        rng.shuffle(self.late)
        for report in self.late:
            self.handle_report(report, is_late=True)
        self.late.clear()

    def handle_report(self, report: dict[str, Any], is_late: bool = False) -> int:
        """Carry out one report; return the status of the answer."""
        number, holder = report["number"], report["holder"]
        known = self.holders_by_number.setdefault(number, holder)
        if known != holder:
            self.violations.append(f"{known} and {holder} both have {number}")
        if number < self.highest_number:
            if self.is_fenced:
                self.n_refused += 1
                return 409
            if not is_late:
                self.violations.append(f"{number} after {self.highest_number}")
        self.highest_number = max(self.highest_number, number)
        window, counts = report["window"], report["counts"]
        if self.counts_by_window.setdefault(window, counts) != counts:
            self.violations.append(f"window {window}: two reports")
        return 200
