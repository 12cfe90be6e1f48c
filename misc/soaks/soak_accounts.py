"""Keys and reports of use in a soak: what was sent, run and reported, and what broke.

Keys come and go with each policy. Clients go on with keys that were taken away, as
clients do; what runs of that later than the bound is a finding.
"""

import random
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs
import eventlet
from bilberrydrum_platform import standin_accounts

from tests.fakes import scripted

# Time within which a key that was taken away must be dead; as in the settings.
REVOCATION_SECONDS: Final = 5.0
TRAINER_KEY: Final = "key-of-the-trainer"
DESK_KEY: Final = "key-of-the-desk"
# Share of the requests that carry a key which was taken away.
_DEAD_SHARE: Final = 0.2
_TRAINER: Final = "trainer"
_DESK: Final = "desk"
# Shares of the receiver's calls that get no answer, that are carried out later without
# one, and that are turned away.
_SILENT_SHARE: Final = 0.1
_LATE_SHARE: Final = 0.1
_BUSY_SHARE: Final = 0.1


def accounts_of(version: int) -> tuple[standin_accounts.Account, ...]:
    """Return the accounts of a policy; each has one key that the next one lacks."""
    passing = (f"key-{version}", f"key-{version - 3}")
    return (
        standin_accounts.Account(_TRAINER, (TRAINER_KEY,)),
        standin_accounts.Account(_DESK, (DESK_KEY, *passing)),
    )


@attrs.frozen
class _Sent:
    key: str
    at: float


class Accounts:
    """The part of the ledger that concerns keys and reports."""

    def __init__(self, find: Callable[[str], None]) -> None:
        self._find = find
        self._live_keys: set[str] = set()
        self._taken_at_by_key: dict[str, float] = {}
        self._sent_by_request: dict[str, _Sent] = {}
        self._reports_by_window: dict[int, dict[str, int]] = {}
        self._holders_by_number: dict[int, str] = {}
        self.n_reports = 0

    def put(self, accounts: Sequence[standin_accounts.Account], now: float) -> None:
        """Note the accounts of a policy that was acknowledged."""
        keys = {key for each in accounts for key in each.keys}
        for key in self._live_keys - keys:
            self._taken_at_by_key.setdefault(key, now)
        self._live_keys = keys

    def choose_key(self, rng: random.Random) -> str:
        """Return a key of the desk, sometimes a dead one."""
        dead = sorted(self._taken_at_by_key)
        if dead and rng.random() < _DEAD_SHARE:
            return rng.choice(dead[-4:])
        return rng.choice(sorted(self._live_keys - {TRAINER_KEY}) or [DESK_KEY])

    def sent(self, request_id: str, key: str, now: float) -> None:
        """Note a request that is about to be sent."""
        self._sent_by_request[request_id] = _Sent(key, now)

    def answered(self, request_id: str, status: int) -> None:
        """Note a request's answer."""
        sent = self._sent_by_request.get(request_id)
        if status == 401 and sent is not None and sent.key in (DESK_KEY, TRAINER_KEY):
            self._find(f"{request_id} was refused with 401 under a key in force")

    def ran(self, request_id: str, claim: standin_accounts.CallerIdentity) -> None:
        """Note a request that an upstream got; items are the trainer's."""
        sent = self._sent_by_request.get(request_id)
        is_desk = sent is not None and sent.key != TRAINER_KEY
        expected = _DESK if is_desk else _TRAINER
        if claim.has_key:
            self._find(f"{request_id} came to an upstream with its key")
        if claim.account != expected:
            self._find(f"{request_id} of {expected} ran as one of {claim.account!r}")
        taken_at = self._taken_at_by_key.get(sent.key) if sent is not None else None
        if sent is None or taken_at is None:
            return
        if sent.at - taken_at > REVOCATION_SECONDS:
            late = sent.at - taken_at
            self._find(f"{request_id} ran, sent {late:.1f} s after its key was dead")

    def reported(self, report: standin_accounts.Report) -> None:
        """Note a report that the receiver has taken."""
        self.n_reports += 1
        known = self._reports_by_window.setdefault(report.window, report.counts)
        if known != report.counts:
            self._find(f"window {report.window}: two reports, {known}, {report.counts}")
        holder = self._holders_by_number.setdefault(report.number, report.holder)
        if holder != report.holder:
            self._find(f"reports with {report.number} by {holder}, {report.holder}")


class Receiver:
    """Takes reports: late, twice, or without a word."""

    def __init__(self, accounts: Accounts) -> None:
        self._accounts = accounts
        self._highest_number = 0
        self._server = scripted.Scripted(self._take, kind="receiver")
        self.address = self._server.address

    def stop(self) -> None:
        """Take nothing more."""
        self._server.stop()

    def _take(self, connection: Any, received: scripted.Received) -> Any:
        report = standin_accounts.read_report(received.headers, received.body)
        chance = random.random()
        if chance < _BUSY_SHARE:
            return self._answer(connection, received, "429 X")
        if chance < _BUSY_SHARE + _LATE_SHARE:
            eventlet.spawn_after(random.uniform(1.0, 3.0), self._carry_out, report)
            return False
        status = self._carry_out(report)
        if chance < _BUSY_SHARE + _LATE_SHARE + _SILENT_SHARE:
            return False
        return self._answer(connection, received, status)

    def _carry_out(self, report: standin_accounts.Report) -> str:
        if report.number < self._highest_number:
            return "409 X"
        self._highest_number = report.number
        self._accounts.reported(report)
        return "200 OK"

    @staticmethod
    def _answer(connection: Any, received: scripted.Received, status: str) -> None:
        connection.sendall(scripted.answer(received, b"", status))
