"""The processes, links and upstreams of a soak, and the injection of faults."""

import json
import pathlib
import shutil
import sys
from collections.abc import Iterator
from typing import Any, Final

import attrs
import eventlet
from bilberrydrum_platform import standins
from eventlet import semaphore

from bilberrydrum import clock
from bilberrydrum.nodes import options
from misc import processes
from misc.soaks import (
    soak_accounts,
    soak_faults,
    soak_ledger,
    soak_links,
    soak_upstreams,
)

# Internal ports by role, one for each of the two transports.
_PORTS_BY_ROLE: Final = {
    options.Role.CONTROL: (7300, 7301),
    options.Role.GATEWAY: (7302, 7303),
    options.Role.STORE: (7304, 7305),
}
DELAY_SECONDS: Final = 0.15
CLOCK_STEP_SECONDS: Final = 3.0
_TORN_BYTES: Final = b"\x5a" * 37
_TERMINATE_SECONDS: Final = 8.0
# Type of the log lines that report an unhandled exception.
_ERROR_MARK: Final = '"eliot:traceback"'


@attrs.frozen
class Sizes:
    """Number of processes of each role and of upstreams of each service."""

    n_controls: int = 3
    n_stores: int = 3
    n_gateways: int = 2
    n_engines: int = 3
    n_apps: int = 2


def errors(folder: pathlib.Path) -> Iterator[tuple[str, str]]:
    """Yield the process's name and a text for each unhandled exception in the logs.

    If a failed task was restarted at once, its log line is the only trace of the error.
    """
    for path in sorted(folder.glob("*.out")):
        for line in path.read_text(errors="replace").splitlines():
            if _ERROR_MARK in line and line.endswith("}"):
                document = json.loads(line)
                yield path.stem, f"{document['exception']}: {document['reason']}"


class Site:
    """One deployment on its own loopback network."""

    def __init__(
        self,
        folder: pathlib.Path,
        network_number: int,
        sizes: Sizes,
        ledger: soak_ledger.Ledger,
        announce: Any,
    ) -> None:
        self._folder = folder
        self._ledger = ledger
        self.processes = processes.Processes(folder)
        self.hosts_by_name: dict[str, standins.ProcessSettings] = {}
        self.links_by_name: dict[str, list[soak_links.Link]] = {}
        self._tasks: list[Any] = []
        # Names of the processes that a fault keeps stopped.
        self._down: set[str] = set()
        self._receiver = soak_accounts.Receiver(ledger.accounts)
        self._make_hosts(network_number, sizes)
        self._start_locks_by_name = {
            name: semaphore.Semaphore() for name in self.hosts_by_name
        }
        self.upstreams_by_name = {
            f"{service}-{n}": soak_upstreams.Upstream(
                f"{service}-{n}",
                service,
                f"127.{network_number}.2.{200 + n}",
                ledger,
                announce,
            )
            for service, n_upstreams in (
                ("engines", sizes.n_engines),
                ("apps", sizes.n_apps),
            )
            for n in range(n_upstreams)
        }

    def _make_hosts(self, network_number: int, sizes: Sizes) -> None:
        seeds = tuple(
            f"127.{network_number}.2.{n + 1}" for n in range(min(sizes.n_controls, 3))
        )
        counts = (
            (options.Role.CONTROL, sizes.n_controls),
            (options.Role.STORE, sizes.n_stores),
            (options.Role.GATEWAY, sizes.n_gateways),
        )
        number = 0
        for role, n_hosts in counts:
            for n in range(n_hosts):
                number += 1
                name = f"{role.value}-{n}"
                has_disk = role is not options.Role.GATEWAY
                self.hosts_by_name[name] = standins.ProcessSettings(
                    name,
                    role,
                    f"127.{network_number}.2.{number}",
                    f"127.{network_number}.1.{number}",
                    f"zone-{n % 3}",
                    str(self._folder / f"{name}-data") if has_disk else "",
                    seeds,
                    is_first_start=True,
                    receiver_address=self._receiver.address,
                )

    def targets(self) -> soak_faults.Targets:
        """Return the processes and upstreams that faults may be drawn for."""
        names_by_role: dict[str, list[str]] = {}
        for host in self.hosts_by_name.values():
            names_by_role.setdefault(host.role.value, []).append(host.name)
        return soak_faults.Targets(
            {role: tuple(names) for role, names in names_by_role.items()},
            (options.Role.CONTROL.value, options.Role.STORE.value),
            tuple(self.upstreams_by_name),
        )

    def addresses(self, role: options.Role, port: int) -> list[str]:
        """Return the addresses at which the processes of a role serve `port`."""
        return [
            f"{each.own_ip}:{port}"
            for each in self.hosts_by_name.values()
            if each.role is role
        ]

    # Start and stop

    def start(self) -> None:
        """Start all links, processes and upstreams."""
        for host in self.hosts_by_name.values():
            self.links_by_name[host.name] = [
                soak_links.Link((host.public_ip, port), (host.own_ip, port))
                for port in _PORTS_BY_ROLE[host.role]
            ]
            self._start_process(host.name)
        for upstream in self.upstreams_by_name.values():
            upstream.start()

    def stop(self) -> None:
        """Stop all tasks, upstreams, processes and links."""
        for task in self._tasks:
            task.kill()
        for upstream in self.upstreams_by_name.values():
            upstream.stop()
        self._receiver.stop()
        self.processes.stop_all()
        for links in self.links_by_name.values():
            for link in links:
                link.stop()

    def _start_process(self, name: str) -> None:
        # Runs in a separate task that `heal` does not kill. If a fault's task were
        # killed after it has started a process but before the process is recorded, the
        # process would keep running and hold its ports.
        eventlet.spawn(self._start_if_down, name).wait()

    def _start_if_down(self, name: str) -> None:
        # Other tasks run while a process is being started. If two of them found it down
        # and started it, one of the two processes would never be stopped.
        with self._start_locks_by_name[name]:
            known = self.processes.processes_by_name.get(name)
            if known is None or not known.is_running():
                self._start(name)

    def _start(self, name: str) -> None:
        host = self.hosts_by_name[name]
        settings_path = self._folder / f"{name}.toml"
        # Renamed into place, because a process that reads half a file exits.
        part = settings_path.with_suffix(".part")
        part.write_text(standins.settings_text(host))
        part.rename(settings_path)
        script = str(processes.REPOSITORY / "misc" / "soaks" / "soak_node.py")
        clock_path = str(self._folder / f"{name}.clock")
        command = [sys.executable, script, str(settings_path), host.own_ip, clock_path]
        self.processes.start(name, command)
        # Only the first start bootstraps the groups.
        self.hosts_by_name[name] = attrs.evolve(host, is_first_start=False)

    def heal(self) -> None:
        """End all faults and start the processes and upstreams that are down."""
        # `watch` must not report a process that a fault has stopped as one that exited
        # by itself. Killed tasks remove their processes from `_down`, so it is filled
        # again after they were killed.
        self._down.update(self.hosts_by_name)
        for task in self._tasks:
            task.kill()
        self._tasks.clear()
        self._down.update(self.hosts_by_name)
        for links in self.links_by_name.values():
            for link in links:
                link.heal()
        for name in self.hosts_by_name:
            (self._folder / f"{name}.clock").write_text("0")
            process = self.processes[name]
            process.thaw()
            if not process.is_running():
                self._start_process(name)
        self._down.clear()
        for upstream in self.upstreams_by_name.values():
            upstream.slow_factor = 1.0
            upstream.link.heal()
            if not upstream.is_up:
                upstream.start()

    def watch(self) -> None:
        """Restart each process that has exited by itself (body of a task)."""
        while True:
            eventlet.sleep(0.3)
            for name, process in self.processes.processes_by_name.items():
                if name not in self._down and not process.is_running():
                    exit_code = process.popen.returncode
                    self._ledger.record_unexpected_exit(name, exit_code, clock.now())
                    self._start_process(name)

    # Faults

    def inject(self, fault: soak_faults.Fault) -> None:
        """Start a task that applies a fault and ends it after its duration."""
        if fault.target == soak_faults.LEADER:
            fault = attrs.evolve(fault, target=self.leader())
        self._tasks.append(eventlet.spawn(self._inject, fault))

    def _inject(self, fault: soak_faults.Fault) -> None:
        disturbance = eventlet.spawn(self._record_disturbances, fault.seconds)
        kind = fault.kind
        if kind in soak_faults.LINK_KINDS:
            self._apply_link_fault(fault)
        elif kind in soak_faults.UPSTREAM_KINDS:
            self._apply_upstream_fault(fault)
        elif kind is soak_faults.Kind.KILL_ALL:
            self._kill(list(self.hosts_by_name), fault)
        elif kind is soak_faults.Kind.KILL_ROLE:
            targets = self.targets().processes_by_role[fault.target]
            self._kill(list(targets), fault)
        elif kind in (
            soak_faults.Kind.KILL,
            soak_faults.Kind.TEAR,
            soak_faults.Kind.WIPE,
            soak_faults.Kind.TERMINATE,
        ):
            self._kill([fault.target], fault)
        else:
            self._apply_process_fault(fault)
        disturbance.wait()
        self._ledger.record_disturbance(clock.now())

    def leader(self) -> str:
        """Return the leading store as far as the engines know, else the first store."""
        stores = [
            each
            for each in self.hosts_by_name.values()
            if each.role is options.Role.STORE
        ]
        address = self._ledger.leader.partition(":")[0]
        named = [each.name for each in stores if each.public_ip == address]
        return [*named, stores[0].name][0]

    def _record_disturbances(self, seconds: float) -> None:
        end = clock.now() + seconds
        while clock.now() < end:
            self._ledger.record_disturbance(clock.now())
            eventlet.sleep(0.2)

    def _kill(self, names: list[str], fault: soak_faults.Fault) -> None:
        names = [each for each in names if each not in self._down]
        self._down.update(names)
        try:
            for name in names:
                if fault.kind is soak_faults.Kind.TERMINATE:
                    self.processes[name].thaw()
                    self.processes[name].terminate(_TERMINATE_SECONDS)
                self.processes[name].kill()
            for name in names:
                self._damage_disk(name, fault.kind)
            eventlet.sleep(fault.seconds)
            for name in names:
                self._start_process(name)
        finally:
            self._down.difference_update(names)

    def _damage_disk(self, name: str, kind: soak_faults.Kind) -> None:
        folder = pathlib.Path(self.hosts_by_name[name].data_folder)
        if kind is soak_faults.Kind.WIPE:
            shutil.rmtree(folder, ignore_errors=True)
        elif kind is soak_faults.Kind.TEAR:
            logs = sorted(folder.glob("log-*"), key=lambda each: int(each.name[4:]))
            if logs:
                with logs[-1].open("ab") as file:
                    file.write(_TORN_BYTES)

    def _apply_process_fault(self, fault: soak_faults.Fault) -> None:
        process = self.processes[fault.target]
        if fault.kind is soak_faults.Kind.PAUSE:
            process.freeze()
            eventlet.sleep(fault.seconds)
            process.thaw()
        elif fault.kind is soak_faults.Kind.HANGUP:
            process.hang_up()
        else:
            path = self._folder / f"{fault.target}.clock"
            sign = 1 if fault.seconds > 1.8 else -1
            path.write_text(str(sign * CLOCK_STEP_SECONDS))
            eventlet.sleep(fault.seconds)
            path.write_text("0")

    def _links_of(self, name: str) -> list[soak_links.Link]:
        if name in self.links_by_name:
            return self.links_by_name[name]
        return [self.upstreams_by_name[name].link]

    def _apply_link_fault(self, fault: soak_faults.Fault) -> None:
        links = self._links_of(fault.target)
        states = {
            soak_faults.Kind.SILENCE: soak_links.State.SILENT,
            soak_faults.Kind.SILENCE_INWARD: soak_links.State.SILENT_INWARD,
            soak_faults.Kind.SILENCE_OUTWARD: soak_links.State.SILENT_OUTWARD,
        }
        for link in links:
            if fault.kind is soak_faults.Kind.RESET:
                link.reset()
            elif fault.kind is soak_faults.Kind.MUTE:
                link.mute()
            elif fault.kind is soak_faults.Kind.DELAY:
                link.delay_seconds = DELAY_SECONDS
            else:
                link.state = states[fault.kind]
        eventlet.sleep(fault.seconds)
        for link in links:
            link.heal()

    def _apply_upstream_fault(self, fault: soak_faults.Fault) -> None:
        upstream = self.upstreams_by_name[fault.target]
        if not upstream.is_up:
            return
        if fault.kind is soak_faults.Kind.SLOW:
            upstream.slow_factor = soak_upstreams.SLOW_FACTOR
            eventlet.sleep(fault.seconds)
            upstream.slow_factor = 1.0
            return
        if fault.kind is soak_faults.Kind.LEAVE:
            upstream.leave()
            eventlet.sleep(2 * soak_upstreams.ANNOUNCE_SECONDS)
        upstream.crash()
        eventlet.sleep(fault.seconds)
        if not upstream.is_up:
            upstream.start()
