"""Checks of account keys and usage reports in a soak.

Each policy adds a key and revokes an older one. Some requests are sent with a revoked
key, as by clients that were not updated; one that still runs after the revocation bound
is a finding.
"""

import random
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs
import eventlet
from bilberrydrum_platform import standin_accounts

from tests.fakes import scripted

# Time in seconds after which a revoked key must be rejected; equal to the bound in the
# settings files.
REVOCATION_SECONDS: Final = 5.0
TRAINER_KEY: Final = "key-of-the-trainer"
DESK_KEY: Final = "key-of-the-desk"
# Share of the requests that carry a revoked key.
_REVOKED_SHARE: Final = 0.2
_TRAINER: Final = "trainer"
_DESK: Final = "desk"
# Shares of the reports that the receiver stores without answering, that it stores 1 to
# 3 s later without answering, and that it rejects with 429.
_SILENT_SHARE: Final = 0.1
_LATE_SHARE: Final = 0.1
_BUSY_SHARE: Final = 0.1


def accounts_of(version: int) -> tuple[standin_accounts.Account, ...]:
    """Return the accounts of a policy; the next policy revokes one of their keys."""
    temporary = (f"key-{version}", f"key-{version - 3}")
    return (
        standin_accounts.Account(_TRAINER, (TRAINER_KEY,)),
        standin_accounts.Account(_DESK, (DESK_KEY, *temporary)),
    )


@attrs.frozen
class _Sent:
    key: str
    at: float


class Accounts:
    """The part of the ledger that checks account keys and usage reports."""

    def __init__(self, add_finding: Callable[[str], None]) -> None:
        self._add_finding = add_finding
        self._valid_keys: set[str] = set()
        self._revoked_at_by_key: dict[str, float] = {}
        self._sent_by_request: dict[str, _Sent] = {}
        self._reports_by_window: dict[int, dict[str, int]] = {}
        self._holders_by_number: dict[int, str] = {}
        self.n_reports = 0

    def record_accounts(
        self, accounts: Sequence[standin_accounts.Account], now: float
    ) -> None:
        """Record the accounts of an acknowledged policy."""
        keys = {key for each in accounts for key in each.keys}
        for key in self._valid_keys - keys:
            self._revoked_at_by_key.setdefault(key, now)
        self._valid_keys = keys

    def choose_key(self, rng: random.Random) -> str:
        """Return a key of the account `desk`, sometimes a revoked one."""
        revoked = sorted(self._revoked_at_by_key)
        if revoked and rng.random() < _REVOKED_SHARE:
            return rng.choice(revoked[-4:])
        return rng.choice(sorted(self._valid_keys - {TRAINER_KEY}) or [DESK_KEY])

    def record_sent(self, request_id: str, key: str, now: float) -> None:
        """Record a request before it is sent."""
        self._sent_by_request[request_id] = _Sent(key, now)

    def record_answer(self, request_id: str, status: int) -> None:
        """Record the status of a request's answer."""
        sent = self._sent_by_request.get(request_id)
        if status == 401 and sent is not None and sent.key in (DESK_KEY, TRAINER_KEY):
            self._add_finding(f"{request_id} was refused with 401 with a valid key")

    def record_run(
        self, request_id: str, claim: standin_accounts.CallerIdentity
    ) -> None:
        """Check the account and the key of a request that has reached an upstream.

        A request that `record_sent` does not know is one of a batch and belongs to the
        trainer.
        """
        sent = self._sent_by_request.get(request_id)
        is_desk = sent is not None and sent.key != TRAINER_KEY
        expected = _DESK if is_desk else _TRAINER
        if claim.has_key:
            self._add_finding(f"{request_id} reached an upstream with its key")
        if claim.account != expected:
            self._add_finding(
                f"{request_id} of {expected} ran under account {claim.account!r}"
            )
        revoked_at = self._revoked_at_by_key.get(sent.key) if sent is not None else None
        if sent is None or revoked_at is None:
            return
        if sent.at - revoked_at > REVOCATION_SECONDS:
            late = sent.at - revoked_at
            self._add_finding(
                f"{request_id} ran although sent {late:.1f} s after its key was revoked"
            )

    def record_report(self, report: standin_accounts.Report) -> None:
        """Record a usage report that the receiver has stored."""
        self.n_reports += 1
        known = self._reports_by_window.setdefault(report.window, report.counts)
        if known != report.counts:
            self._add_finding(
                f"window {report.window} has two reports: {known} and {report.counts}"
            )
        holder = self._holders_by_number.setdefault(report.number, report.holder)
        if holder != report.holder:
            self._add_finding(
                f"reports numbered {report.number} from {holder} and {report.holder}"
            )


class Receiver:
    """Receiver of usage reports that delays, rejects or leaves some unanswered."""

    def __init__(self, accounts: Accounts) -> None:
        self._accounts = accounts
        self._highest_number = 0
        self._server = scripted.Scripted(self._handle, kind="receiver")
        self.address = self._server.address

    def stop(self) -> None:
        """Stop accepting reports."""
        self._server.stop()

    def _handle(self, connection: Any, received: scripted.Received) -> Any:
        report = standin_accounts.read_report(received.headers, received.body)
        chance = random.random()
        if chance < _BUSY_SHARE:
            return self._answer(connection, received, "429 X")
        if chance < _BUSY_SHARE + _LATE_SHARE:
            eventlet.spawn_after(random.uniform(1.0, 3.0), self._process, report)
            return False
        status = self._process(report)
        if chance < _BUSY_SHARE + _LATE_SHARE + _SILENT_SHARE:
            return False
        return self._answer(connection, received, status)

    def _process(self, report: standin_accounts.Report) -> str:
        if report.number < self._highest_number:
            return "409 X"
        self._highest_number = report.number
        self._accounts.record_report(report)
        return "200 OK"

    @staticmethod
    def _answer(connection: Any, received: scripted.Received, status: str) -> None:
        connection.sendall(scripted.answer(received, b"", status))
