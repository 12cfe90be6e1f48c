"""One seeded run of the soak: start, faults under traffic, healing, final checks."""

import contextlib
import pathlib
import random
import shutil
import socket
import tempfile
from collections.abc import Callable, Iterator, Sequence
from typing import Final

import attrs
import eventlet
from bilberrydrum_platform import standins

from bilberrydrum import clock
from bilberrydrum.nodes import options
from misc.soaks import (
    soak_clients,
    soak_faults,
    soak_ledger,
    soak_site,
    soak_upstreams,
)

START_SECONDS: Final = 40.0
# Time in seconds in which all requests must be served again after the last fault. A
# wiped replica rejoins within a few seconds; the rest allows for a busy machine.
RECOVERY_SECONDS: Final = 25.0
_POLL_SECONDS: Final = 0.1
# Port that claims a loopback network. It is below the range of the ports of outgoing
# connections, and no process of a run uses it.
_CLAIM_PORT: Final = 19_999
# How often a crash-causing request is sent to each gateway after the last fault: once
# more than `soak_ledger.MAX_LATE_ATTEMPTS`, so that a missing quarantine is found.
_N_FINAL_CRASHING: Final = 4


@attrs.frozen
class Outcome:
    """The result of one run."""

    seed: int
    n_faults: int
    counts: dict[str, int]
    findings: tuple[str, ...]
    # Folder with the logs of the processes; empty if it was removed.
    folder: str


class Run:
    """One run."""

    def __init__(self, seed: int, seconds: float, network_number: int) -> None:
        self._seed = seed
        self._seconds = seconds
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.ledger = soak_ledger.Ledger()
        self._site = soak_site.Site(
            self._folder, network_number, soak_site.Sizes(), self.ledger, self._announce
        )
        role = options.Role
        self._gateways = self._site.addresses(role.GATEWAY, standins.CLIENT_PORT)
        controls = self._site.addresses(role.CONTROL, standins.CONTROL_PORT)
        self.clients = soak_clients.Clients(self.ledger, seed, self._gateways, controls)

    def _announce(self, call: standins.Call) -> bool:
        return self.clients.send_to_control(call)

    def execute(self, keeps_folder: bool = False) -> Outcome:
        """Execute the run and return its outcome."""
        faults = soak_faults.draw(self._seed, self._seconds, self._site.targets())
        watcher = eventlet.spawn(self._site.watch)
        try:
            self._site.start()
            self._wait("a first policy", self.clients.submit_policy, START_SECONDS)
            self._wait("service at the start", self._is_served, START_SECONDS)
            self.clients.start()
            self._inject(faults)
            self._site.heal()
            self._check_after_healing()
        finally:
            watcher.kill()
            self.clients.stop()
            self._site.stop()
        for process, error in soak_site.errors(self._folder):
            self.ledger.record_process_error(process, error)
        has_findings = bool(self.ledger.findings)
        if not has_findings and not keeps_folder:
            shutil.rmtree(self._folder)
        return Outcome(
            self._seed,
            len(faults),
            dict(self.ledger.counts),
            tuple(self.ledger.findings),
            str(self._folder) if has_findings or keeps_folder else "",
        )

    def _inject(self, faults: tuple[soak_faults.Fault, ...]) -> None:
        began = clock.now()
        for fault in faults:
            eventlet.sleep(max(began + fault.at - clock.now(), 0.0))
            self._site.inject(fault)
        eventlet.sleep(max(began + self._seconds - clock.now(), 0.0))

    def _wait(self, what: str, condition: Callable[[], bool], seconds: float) -> None:
        deadline = clock.now() + seconds
        while not condition():
            if clock.now() >= deadline:
                self.ledger.findings.append(f"timed out after {seconds:g} s: {what}")
                return
            eventlet.sleep(_POLL_SECONDS)

    def _is_served(self) -> bool:
        served = [self.clients.look_up_at(each) for each in self._gateways]
        return all(served) and self.clients.is_batch_served()

    def _check_after_healing(self) -> None:
        n_reports = self.ledger.accounts.n_reports
        self._wait("service after healing", self._is_served, RECOVERY_SECONDS)
        self._wait(
            "a report after healing",
            lambda: self.ledger.accounts.n_reports > n_reports,
            RECOVERY_SECONDS,
        )
        self.clients.stop()
        self._wait("no effects of faults", self._is_undisturbed, RECOVERY_SECONDS)
        ending = eventlet.spawn(self.clients.end_while_running)
        for _ in range(_N_FINAL_CRASHING):
            self.clients.send_crashing()
            eventlet.sleep(2 * soak_upstreams.DOWN_SECONDS)
        if not ending.wait():
            self.ledger.findings.append("no batch could be ended while its items ran")
        self._wait("the policy read back", self.clients.read_policy, RECOVERY_SECONDS)
        for batch_id in self.ledger.batch_ids():
            what = f"{batch_id} read from the start"
            self._wait(what, lambda b=batch_id: self.clients.read_from_start(b), 10.0)
            if self.ledger.must_finish(batch_id):
                self._finish(batch_id)

    def _is_undisturbed(self) -> bool:
        return self.ledger.is_undisturbed(clock.now())

    def _finish(self, batch_id: str) -> None:
        def is_complete() -> bool:
            self.clients.read(batch_id, self.ledger.n_listed(batch_id))
            return not self.ledger.missing(batch_id)

        self._wait(f"all items of {batch_id}", is_complete, RECOVERY_SECONDS)


class NoNetworkError(Exception):
    """All loopback networks are in use."""


@contextlib.contextmanager
def network(numbers: Sequence[int] = range(20, 251)) -> Iterator[int]:
    """Hold a loopback network for one run while the block runs; yield its number.

    If two concurrent runs used the same network, each would send its items to the
    upstreams of the other. A run claims its network by listening on one address of it;
    a run that finds this address in use tries the next network.
    """
    for number in random.SystemRandom().sample(list(numbers), len(numbers)):
        with socket.socket() as claim:
            try:
                claim.bind((f"127.{number}.3.1", _CLAIM_PORT))
                claim.listen()
            except OSError:
                continue
            yield number
            return
    raise NoNetworkError(f"none of {len(numbers)} loopback networks is free")
