"""Measure what daemons use without requests, by role and number of gateways.

Three replicas of the state group and some gateways run as separate processes, with
engines that announce themselves and renew through a randomly chosen gateway each time,
as through a load balancer. Processor time and memory are read from /proc. Bytes are
those of the connections between the daemons, from the kernel's counters (`ss`), plus 54
bytes of Ethernet, IP and TCP headers per segment.
"""

import collections
import json
import os
import pathlib
import re
import subprocess
import tempfile
import time
from collections.abc import Callable
from typing import Any, Final

import attrs
import urllib3

from misc import loopback, processes

ZONES: Final = ("surquillo", "callao", "ate")
HEADER_BYTES: Final = 54
# Upstreams per gateway at the planned full size: 870 upstreams and 330 gateways.
ENGINES_PER_GATEWAY: Final = 870 / 330
WAIT_SECONDS: Final = 90.0
TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
_SETTINGS: Final = """\
process_id: {name}
group: capacity
availability_zone: {zone}
roles: [{role}]
peer_address: 127.0.0.1:{peer_port}
log_file: {folder}/{name}.log
state:
  members: {members}
  data_folder: {folder}/{name}-data
gateway: {{http_address: "127.0.0.1:{http_port}"{gateway_options}}}
samples: {{{sample_options}}}
"""
# Longer leases for many gateways; a bundle is still in force everywhere within 10 s.
_LONG_LEASE_GATEWAY_OPTIONS: Final = (
    ", bundle_lease_seconds: 8, bundle_renew_seconds: 2.5"
)
_LONG_LEASE_SAMPLE_OPTIONS: Final = "owner_lease_seconds: 9"
_BUNDLE: Final = """\
version: 1
parent: 0
models: {planner: {weight_store: "http://127.0.0.1:1"}}
applications: {scorer: {}}
trainers: {outage: {model: planner, scorer: scorer}}
"""
_SOCKET: Final = re.compile(
    r"127\.0\.0\.1:(\d+)\s+127\.0\.0\.1:(\d+).*?pid=(\d+),.*?(?=bytes_|segs_)(.*)"
)
_COUNTER: Final = re.compile(r"(bytes_sent|bytes_received|segs_out|segs_in):(\d+)")


# Sends a POST; returns status and body.
Post = Callable[[str, Any], tuple[int, Any]]


@attrs.frozen
class Daemon:
    """One daemon and its ports."""

    name: str
    role: str
    peer_port: int
    http_port: int


@attrs.frozen
class Usage:
    """Resources that a process has used since its start, and its current memory."""

    cpu_seconds: float
    memory_bytes: int
    bytes_sent: int
    bytes_received: int
    disk_bytes: int


class Deployment:
    """Three replicas, some gateways and their engines."""

    def __init__(
        self, running: processes.Processes, n_gateways: int, has_long_leases: bool
    ) -> None:
        self.running = running
        self._has_long_leases = has_long_leases
        self.n_gateways = n_gateways
        self.n_engines = round(n_gateways * ENGINES_PER_GATEWAY)
        names = [(f"replica-{i}", "state") for i in range(len(ZONES))]
        names += [(f"gateway-{i}", "gateway") for i in range(n_gateways)]
        ports = iter(loopback.free_ports(2 * len(names) + 1))
        self.daemons = [
            Daemon(name, role, next(ports), next(ports)) for name, role in names
        ]
        self.gateways = [each for each in self.daemons if each.role == "gateway"]
        self._engines_port = next(ports)
        self._pool = urllib3.PoolManager(retries=False, timeout=5.0)

    def start(self) -> None:
        """Start everything and wait until every gateway lists all engines."""
        members = json.dumps(
            [
                {
                    "process_id": each.name,
                    "peer_address": f"127.0.0.1:{each.peer_port}",
                }
                for each in self.daemons
                if each.role == "state"
            ]
        )
        for i, daemon in enumerate(self.daemons):
            settings = self.running.folder / f"{daemon.name}.yaml"
            settings.write_text(
                _SETTINGS.format(
                    name=daemon.name,
                    zone=ZONES[i % len(ZONES)],
                    role=daemon.role,
                    peer_port=daemon.peer_port,
                    http_port=daemon.http_port,
                    folder=self.running.folder,
                    members=members,
                    gateway_options=_LONG_LEASE_GATEWAY_OPTIONS
                    if self._has_long_leases
                    else "",
                    sample_options=_LONG_LEASE_SAMPLE_OPTIONS
                    if self._has_long_leases
                    else "",
                )
            )
            arguments = ("--settings", str(settings))
            self.running.start_module(daemon.name, "bilberrydrum.main", *arguments)
        roll_bundle(self._post, _BUNDLE)
        for gateway in self.gateways:
            address = f"127.0.0.1:{gateway.http_port}"
            self.running.wait_until_ready(gateway.name, address, timeout=WAIT_SECONDS)
        self._start_engines()
        processes.wait_for(self._are_listed, WAIT_SECONDS, "all engines listed")

    def _start_engines(self) -> None:
        gateways = []
        for gateway in self.gateways:
            gateways += ["--gateway", f"127.0.0.1:{gateway.http_port}"]
        self.running.start_module(
            "engines",
            "misc.measures.light_engines",
            *("--port", str(self._engines_port), "--engines", str(self.n_engines)),
            *("--swap-seconds", "0.2", "--load-seconds", "0.2"),
            *("--store-rate", "1000"),
            *gateways,
        )

    def _are_listed(self) -> bool:
        return all(
            len(
                self.send_request(gateway, "GET", "/v1/upstreams")[1].get(
                    "upstreams", ()
                )
            )
            == self.n_engines
            for gateway in self.gateways
        )

    def _post(self, path: str, fields: Any) -> tuple[int, Any]:
        return self.send_request(self.gateways[0], "POST", path, fields)

    def send_request(
        self, daemon: Daemon, method: str, path: str, fields: Any = None
    ) -> tuple[int, Any]:
        """Send one request to a daemon; return status and body."""
        answer = self._pool.request(
            method,
            f"http://127.0.0.1:{daemon.http_port}{path}",
            body=json.dumps(fields or {}),
            headers={"X-Operator": "ana"},
        )
        return answer.status, json.loads(answer.data)

    def parts_by_name(self) -> dict[str, str]:
        """Return each daemon's part: leader, follower, controller or gateway."""
        parts = {}
        _, state = self.send_request(self.daemons[0], "GET", "/v1/state")
        for daemon in self.daemons:
            if daemon.role == "state":
                is_leader = state["leader"] == daemon.name
                parts[daemon.name] = "leader" if is_leader else "follower"
            else:
                _, answer = self.send_request(daemon, "GET", "/v1/weights")
                gives_orders = answer.get("gives_orders")
                parts[daemon.name] = "controller" if gives_orders else "gateway"
        return parts

    def usage_by_name(self) -> dict[str, Usage]:
        """Return the resources that each daemon has used since its start."""
        sockets = subprocess.run(
            ["ss", "-tinpO", "state", "established"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        counters = _counters_by_pid(sockets, {each.peer_port for each in self.daemons})
        return {
            each.name: _usage(self.running[each.name].pid, counters)
            for each in self.daemons
        }


def roll_bundle(post: Post, content: str) -> None:
    """Submit, sign off and roll a first bundle; retry each step until it succeeds."""
    body = {"content": content, "file_name": "b.yaml"}
    digest = {"digest": post_until_done(post, "/v1/bundles", body)["digest"]}
    post_until_done(post, "/v1/bundles/1/sign-off", digest)
    post_until_done(post, "/v1/bundles/1/roll", digest)


def post_until_done(post: Post, path: str, fields: Any) -> Any:
    """Retry a request until it succeeds; return the answer's body."""
    answers = []

    def is_done() -> bool:
        try:
            status, answer = post(path, fields)
        except urllib3.exceptions.HTTPError:
            return False
        answers.append(answer)
        return status < 300

    processes.wait_for(is_done, WAIT_SECONDS, path)
    return answers[-1]


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+)", status)
    return int(found[1]) * 1024 if found else 0


def _counters_by_pid(sockets: str, ports: set[int]) -> dict[int, dict[str, int]]:
    """Return the sums of the kernel's counters for connections on `ports`."""
    counters: dict[int, dict[str, int]] = collections.defaultdict(
        lambda: collections.defaultdict(int)
    )
    for line in sockets.splitlines():
        found = _SOCKET.search(line)
        if found is None or not ports & {int(found[1]), int(found[2])}:
            continue
        for name, value in _COUNTER.findall(found[4]):
            counters[int(found[3])][name] += int(value)
    return counters


def _usage(pid: int, counters: dict[int, dict[str, int]]) -> Usage:
    disk = re.search(r"write_bytes: (\d+)", pathlib.Path(f"/proc/{pid}/io").read_text())
    own = counters[pid]
    return Usage(
        cpu_seconds=cpu_seconds(pid),
        memory_bytes=memory_bytes(pid),
        bytes_sent=own["bytes_sent"] + HEADER_BYTES * own["segs_out"],
        bytes_received=own["bytes_received"] + HEADER_BYTES * own["segs_in"],
        disk_bytes=int(disk[1]) if disk else 0,
    )


def measure(n_gateways: int, seconds: float, has_long_leases: bool) -> dict[str, Any]:
    """Return the resource usage per second of each part, with `n_gateways` gateways."""
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.Processes(pathlib.Path(folder)) as running,
    ):
        deployment = Deployment(running, n_gateways, has_long_leases)
        deployment.start()
        time.sleep(seconds / 4)
        parts = deployment.parts_by_name()
        before, started = deployment.usage_by_name(), time.monotonic()
        time.sleep(seconds)
        after, elapsed = deployment.usage_by_name(), time.monotonic() - started
        rows: dict[str, Any] = collections.defaultdict(list)
        for name, part in parts.items():
            rows[part].append(_rates(before[name], after[name], elapsed))
        return {
            "n_gateways": n_gateways,
            "n_engines": deployment.n_engines,
            "parts": {part: _summary(each) for part, each in rows.items()},
        }


def _rates(before: Usage, after: Usage, seconds: float) -> dict[str, float]:
    return {
        "core_share": (after.cpu_seconds - before.cpu_seconds) / seconds,
        "memory_mib": after.memory_bytes / 2**20,
        "sent_per_second": (after.bytes_sent - before.bytes_sent) / seconds,
        "received_per_second": (after.bytes_received - before.bytes_received) / seconds,
        "disk_per_second": (after.disk_bytes - before.disk_bytes) / seconds,
    }


def _summary(rows: list[dict[str, float]]) -> dict[str, list[float]]:
    """Return the mean and the largest value of each figure."""
    return {
        name: [
            round(sum(row[name] for row in rows) / len(rows), 5),
            round(max(row[name] for row in rows), 5),
        ]
        for name in rows[0]
    }
