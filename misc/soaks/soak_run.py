"""One seeded run of the soak: start, faults beside traffic, healing, last checks."""

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
# Time for everything to be served again once all faults have ended. A wiped replica
# joins anew within some seconds; the rest is for a busy machine.
RECOVERY_SECONDS: Final = 25.0
_LOOK_SECONDS: Final = 0.1
# Below the ports of outgoing connections, and used by no process of a run.
_CLAIM_PORT: Final = 19_999
# Times that a request which ends upstreams is sent once all is calm, each time to two
# gateways: one time more than may reach any.
_LAST_CRASHING: Final = 4


@attrs.frozen
class Outcome:
    """What one run has shown."""

    seed: int
    n_faults: int
    counts: dict[str, int]
    findings: tuple[str, ...]
    # Where the processes' lines are; empty: they were removed.
    folder: str


class Run:
    """One run."""

    def __init__(self, seed: int, seconds: float, slot: int) -> None:
        self._seed = seed
        self._seconds = seconds
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.ledger = soak_ledger.Ledger()
        self._site = soak_site.Site(
            self._folder, slot, soak_site.Sizes(), self.ledger, self._announce
        )
        role = options.Role
        self._gateways = self._site.addresses(role.GATEWAY, standins.CLIENT_PORT)
        controls = self._site.addresses(role.CONTROL, standins.CONTROL_PORT)
        self.clients = soak_clients.Clients(self.ledger, seed, self._gateways, controls)

    def _announce(self, call: standins.Call) -> bool:
        return self.clients.announce(call)

    def carry_out(self, keeps_folder: bool = False) -> Outcome:
        """Run, and return what was found."""
        faults = soak_faults.draw(self._seed, self._seconds, self._site.targets())
        watcher = eventlet.spawn(self._site.watch)
        try:
            self._site.start()
            self._wait("a first policy", self.clients.put_policy, START_SECONDS)
            self._wait("service at the start", self._is_served, START_SECONDS)
            self.clients.start()
            self._inject(faults)
            self._site.heal()
            self._check_at_the_end()
        finally:
            watcher.kill()
            self.clients.stop()
            self._site.stop()
        for process, error in soak_site.errors(self._folder):
            self.ledger.failed(process, error)
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
                self.ledger.findings.append(f"not within {seconds:g} s: {what}")
                return
            eventlet.sleep(_LOOK_SECONDS)

    def _is_served(self) -> bool:
        served = [self.clients.look_up_at(each) for each in self._gateways]
        return all(served) and self.clients.is_batch_served()

    def _check_at_the_end(self) -> None:
        n_reports = self.ledger.accounts.n_reports
        self._wait("service after healing", self._is_served, RECOVERY_SECONDS)
        self._wait(
            "a report after healing",
            lambda: self.ledger.accounts.n_reports > n_reports,
            RECOVERY_SECONDS,
        )
        self.clients.stop()
        self._wait("calm", self._is_calm, RECOVERY_SECONDS)
        ends = eventlet.spawn(self.clients.end_while_it_runs)
        for _ in range(_LAST_CRASHING):
            self.clients.send_crashing()
            eventlet.sleep(2 * soak_upstreams.DOWN_SECONDS)
        if not ends.wait():
            self.ledger.findings.append("no batch could be ended while its items ran")
        self._wait("the policy read back", self.clients.read_policy, RECOVERY_SECONDS)
        for batch_id in self.ledger.batch_ids():
            what = f"{batch_id} read from the start"
            self._wait(what, lambda b=batch_id: self.clients.read_whole(b), 10.0)
            if self.ledger.must_finish(batch_id):
                self._finish(batch_id)

    def _is_calm(self) -> bool:
        return self.ledger.is_calm(clock.now())

    def _finish(self, batch_id: str) -> None:
        def is_whole() -> bool:
            self.clients.read(batch_id, self.ledger.n_listed(batch_id))
            return not self.ledger.missing(batch_id)

        self._wait(f"all items of {batch_id}", is_whole, RECOVERY_SECONDS)


class NoNetworkError(Exception):
    """All loopback networks are in use."""


@contextlib.contextmanager
def network(numbers: Sequence[int] = range(20, 251)) -> Iterator[int]:
    """Hold a loopback network of a run's own while the block runs.

    Runs side by side that drew the same one would send each other their items. The
    network's address of its own is listened at: whoever finds it taken goes on.
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
