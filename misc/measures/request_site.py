"""Daemons and small upstreams for misc/measure_requests."""

import json
import os
import pathlib
import sys
import threading
import time
from typing import Any, Final

import urllib3
import yaml

from misc import loopback, processes

BUNDLE: Final = {
    "version": 1,
    "parent": 0,
    "models": {"planner": {"weight_store": "http://127.0.0.1:1"}},
    "applications": {"schedule": {}, "slow": {}},
    "callers": {
        "desk": {
            "models": ["planner"],
            "applications": ["schedule"],
            "max_in_flight": 1000,
        },
        "busy": {"applications": ["slow"], "max_in_flight": 1000},
    },
}
COMPLETION: Final = json.dumps(
    {"model": "planner", "prompt": "p", "max_tokens": 50, "stream": True}
)
RENEW_SECONDS: Final = 0.5
START_SECONDS: Final = 30.0


class Site:
    """Some daemons, a bare relay, and the upstreams of both."""

    def __init__(
        self,
        started: processes.Processes,
        n_daemons: int,
        event_seconds: float = 0.0,
    ) -> None:
        self._processes = started
        # Seconds between two events of a stream.
        self._event_seconds = str(event_seconds)
        ports = loopback.free_ports(2 * n_daemons + 5)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        self.daemons = [addresses.pop() for _ in range(n_daemons)]
        self._peers = [addresses.pop() for _ in range(n_daemons)]
        self.gateway = self.daemons[0]
        self.upstream, self._stream_upstream, self._slow = addresses[:3]
        self.relay, self.stream_relay = addresses[3:]
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)
        self._announced: dict[str, dict[str, Any]] = {}
        self._stopping = threading.Event()
        self._renewing = threading.Thread(target=self._renew, daemon=True)

    def start(self, max_concurrency: int, service_seconds: float) -> None:
        """Start everything, put the bundle in force and announce the upstreams."""
        for i, address in enumerate(self.daemons):
            self._start_daemon(i, address)
        self._start_upstream("fast", self.upstream)
        self._start_upstream(
            "stream",
            self._stream_upstream,
            "--n-events",
            "50",
            "--seconds",
            self._event_seconds,
        )
        self._start_upstream("slow", self._slow, "--seconds", str(service_seconds))
        for name, address, upstream in (
            ("relay", self.relay, self.upstream),
            ("stream-relay", self.stream_relay, self._stream_upstream),
        ):
            self._start_program(
                name, "relay", "--port", _port(address), "--upstream", upstream
            )
        for address in self.daemons:
            self._wait_until(lambda a=address: self._status(a, "/v1/state") == 200)
        self._roll()
        self._announced = {
            "fast": _application("schedule", self.upstream, 64),
            "stream": _engine(self._stream_upstream, 64),
            "slow": _application("slow", self._slow, max_concurrency),
        }
        for name in self._announced:
            self._wait_until(lambda n=name: self._announce(n) == 200)
        self._renewing.start()
        for address in self.daemons:
            self._wait_until(lambda a=address: self._status(a, "/readyz") == 200)
            self._wait_until(lambda a=address: len(self._active_ids(a)) == 3)

    def stop(self) -> None:
        """Stop the renewals; the owner of the processes stops those."""
        self._stopping.set()
        self._renewing.join()

    def run_callers(
        self,
        address: str,
        path: str,
        method: str = "GET",
        body: str = "",
        headers: tuple[str, ...] = (),
        n_connections: int = 16,
        rate: float = 0.0,
        retry_seconds: float = 0.0,
        seconds: float = 2.0,
        measured_process: str = "",
        leaves_when_told: bool = False,
        warm_seconds: float = 0.3,
    ) -> Any:
        """Run callers in a separate process and return their figures.

        If `measured_process` is given, the figures include the processor time of that
        process per request. With `leaves_when_told`, a caller stops after an answer
        that announces the end of its connection.
        """
        arguments = [
            "-m",
            "misc.measures.request_load",
            "callers",
            "--address",
            address,
        ]
        arguments += ["--path", path, "--method", method, "--body", body]
        arguments += ["--n-connections", str(n_connections), "--rate", str(rate)]
        arguments += ["--retry-seconds", str(retry_seconds)]
        arguments += ["--seconds", str(seconds), "--warm-seconds", str(warm_seconds)]
        arguments += ["--leave-when-told"] if leaves_when_told else []
        for header in headers:
            arguments += ["--header", header]
        cpu_before = self.cpu_seconds(measured_process) if measured_process else 0.0
        code, output, errors = processes.run_tool(
            [sys.executable, *arguments], timeout=seconds + 30.0
        )
        if code != 0:
            raise RuntimeError(errors)
        answer = json.loads(output)
        if measured_process:
            spent = self.cpu_seconds(measured_process) - cpu_before
            answer["cpu_ms"] = 1000.0 * spent / max(1, answer["n_in_all"])
        return answer

    def cpu_seconds(self, name: str) -> float:
        """Return the processor time that a process has used, in seconds."""
        text = pathlib.Path(f"/proc/{self._processes[name].pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def n_answered(self, address: str) -> float:
        """Return how many callers' requests a daemon has answered with 200."""
        try:
            text = self._http.request("GET", f"http://{address}/metrics").data.decode()
        except urllib3.exceptions.HTTPError:
            return 0.0
        name = 'bilberrydrum_requests_total{kind="caller",status="200"} '
        lines = [line for line in text.splitlines() if line.startswith(name)]
        return sum(float(line.rpartition(" ")[2]) for line in lines)

    def memory_mib(self, name: str) -> float:
        """Return the resident memory of a process, in MiB."""
        path = pathlib.Path(f"/proc/{self._processes[name].pid}/statm")
        n_pages = int(path.read_text().split()[1])
        return n_pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    def leave_spread(self, number: int) -> float:
        """Return the seconds from an upstream's leave until no gateway lists it."""
        upstream_id = f"leaver-{number}"
        self._announced[upstream_id] = _application("slow", self._slow, 1)
        self._wait_until(lambda: self._announce(upstream_id) == 200)
        for address in self.daemons:
            self._wait_until(lambda a=address: upstream_id in self._active_ids(a))
        del self._announced[upstream_id]
        owner = self.daemons[number % len(self.daemons)]
        began = time.monotonic()
        self._wait_until(
            lambda: (
                self._status(owner, f"/v1/upstreams/{upstream_id}/leave", "POST", {})
                == 200
            )
        )
        for address in self.daemons:
            self._wait_until(lambda a=address: upstream_id not in self._active_ids(a))
        return time.monotonic() - began

    def _start_daemon(self, number: int, address: str) -> None:
        name = f"gw-{number}"
        folder = self._processes.folder
        settings = {
            "process_id": name,
            "group": "measure",
            "availability_zone": f"zone-{number}",
            "roles": ["gateway", "state"],
            "peer_address": self._peers[number],
            "log_file": str(folder / f"{name}.log"),
            "state": {
                "members": [
                    {"process_id": f"gw-{i}", "peer_address": peer}
                    for i, peer in enumerate(self._peers)
                ],
                "data_folder": str(folder / f"{name}-data"),
            },
            "gateway": {"http_address": address},
        }
        path = folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        self._processes.start_module(name, "bilberrydrum.main", "--settings", str(path))

    def _start_upstream(self, name: str, address: str, *arguments: str) -> None:
        self._start_program(name, "upstream", "--port", _port(address), *arguments)

    def _start_program(self, name: str, *arguments: str) -> None:
        self._processes.start_module(name, "misc.measures.request_load", *arguments)

    def _roll(self) -> None:
        content = {"content": yaml.safe_dump(BUNDLE), "file_name": "b.yaml"}
        digests: list[str] = []

        def submit() -> bool:
            status, answer = self._call(self.gateway, "/v1/bundles", "POST", content)
            digests.append(answer.get("digest", ""))
            return status in (200, 201)

        self._wait_until(submit)
        digest = {"digest": digests[-1]}
        for step in ("sign-off", "roll"):
            path = f"/v1/bundles/1/{step}"
            self._wait_until(
                lambda p=path: (
                    self._status(self.gateway, p, "POST", digest) in (200, 202)
                )
            )

    def _renew(self) -> None:
        while not self._stopping.wait(RENEW_SECONDS):
            for name in list(self._announced):
                path = f"/v1/upstreams/{name}/renew"
                self._status(self.gateway, path, "POST", {"load": {}})

    def _announce(self, name: str) -> int:
        path = f"/v1/upstreams/{name}"
        return self._status(self.gateway, path, "PUT", self._announced[name])

    def _active_ids(self, address: str) -> set[str]:
        _, answer = self._call(address, "/v1/upstreams", "GET", None)
        return {
            upstream["upstream_id"]
            for upstream in answer.get("upstreams", ())
            if upstream["state"] == "stands"
        }

    def _status(
        self, address: str, path: str, method: str = "GET", body: Any = None
    ) -> int:
        return self._call(address, path, method, body)[0]

    def _call(
        self, address: str, path: str, method: str, body: Any
    ) -> tuple[int, dict[str, Any]]:
        try:
            answer = self._http.request(
                method,
                f"http://{address}{path}",
                json=body,
                headers={"X-Operator": "ana", "Content-Type": "application/json"},
            )
            document = answer.json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return 0, {}
        return answer.status, document if isinstance(document, dict) else {}

    def _wait_until(self, condition: Any) -> None:
        deadline = time.monotonic() + START_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                raise RuntimeError(
                    "the daemons or upstreams did not become ready in time"
                )
            time.sleep(0.005)


def _port(address: str) -> str:
    return address.rpartition(":")[2]


def _application(name: str, address: str, max_concurrency: int) -> dict[str, Any]:
    return {
        "kind": "application",
        "application": name,
        "address": address,
        "availability_zone": "zone-0",
        "max_concurrency": max_concurrency,
    }


def _engine(address: str, max_concurrency: int) -> dict[str, Any]:
    return {
        "kind": "engine",
        "address": address,
        "availability_zone": "zone-0",
        "max_concurrency": max_concurrency,
        "models": {"planner": {"weight_version": 1, "loaded_versions": [1]}},
        "role": "generate",
        "can_resume": False,
    }
