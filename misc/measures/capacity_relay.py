"""Measure what relayed model requests cost a gateway, per request and per event.

One daemon with both roles relays streams of one fake engine to clients in this process.
Requests are sent at a fixed rate; the number of events per request is varied. The
gateway's processor time per second is fitted as the sum of an idle share, a cost per
request and a cost per event.
"""

import json
import pathlib
import tempfile
import time
from typing import Any, Final

import eventlet
import urllib3

from misc import loopback, processes
from misc.measures import capacity_daemons, capacity_records

RATE: Final = 12.0
# Tokens per request; the engine sends four of them in an event.
TOKENS: Final = (4, 32, 128)
_SETTINGS: Final = """\
process_id: relay
roles: [gateway, state]
peer_address: 127.0.0.1:{peer_port}
log_file: {folder}/relay.log
state:
  members: [{{process_id: relay, peer_address: "127.0.0.1:{peer_port}"}}]
  data_folder: {folder}/data
gateway: {{http_address: "127.0.0.1:{http_port}"}}
"""
_BUNDLE: Final = """\
version: 1
parent: 0
models: {planner: {weight_store: "http://127.0.0.1:1"}}
callers: {planners: {models: [planner]}}
"""


class Relay:
    """The daemon, its engine and the clients."""

    def __init__(self, running: processes.Processes) -> None:
        self._running = running
        self._ports = loopback.free_ports(3)
        self._pool = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=256)
        self.n_requests = 0
        self.n_events = 0
        self.n_failed = 0

    def start(self) -> None:
        """Start the daemon, roll a bundle and wait for the engine."""
        http_port, peer_port, engine_port = self._ports
        settings = self._running.folder / "relay.yaml"
        settings.write_text(
            _SETTINGS.format(
                folder=self._running.folder, http_port=http_port, peer_port=peer_port
            )
        )
        arguments = ("--settings", str(settings))
        self._running.start_module("relay", "bilberrydrum.main", *arguments)
        capacity_daemons.roll_bundle(self._post_json, _BUNDLE)
        self._running.start_module(
            "engine",
            "tests.fakes.engine",
            *("--id", "e0", "--port", str(engine_port), "--checks-fencing"),
            *("--gateway", f"127.0.0.1:{http_port}", "--max-concurrency", "256"),
            *("--step-seconds", "0.01", "--median-length", "4096"),
        )
        capacity_daemons.post_until_done(self._post, "/v1/completions", self._call(4))

    def _call(self, n_tokens: int) -> dict[str, Any]:
        return {
            "model": "planner",
            "prompt": f"outage {self.n_requests}",
            "max_tokens": n_tokens,
            "stream": True,
        }

    def _post(self, path: str, fields: Any) -> tuple[int, bytes]:
        answer = self._pool.request(
            "POST",
            f"http://127.0.0.1:{self._ports[0]}{path}",
            body=json.dumps(fields),
            headers={"X-Operator": "ana", "X-Caller": "planners"},
        )
        return answer.status, answer.data

    def _post_json(self, path: str, fields: Any) -> tuple[int, Any]:
        status, data = self._post(path, fields)
        return status, json.loads(data)

    def _complete(self, n_tokens: int) -> None:
        status, data = self._post("/v1/completions", self._call(n_tokens))
        self.n_requests += 1
        self.n_events += data.count(b"data: ")
        self.n_failed += status != 200 or b"[DONE]" not in data

    def run(self, n_tokens: int, seconds: float) -> dict[str, float]:
        """Send requests at `RATE` for `seconds`; return what the gateway used."""
        self.n_requests = self.n_events = self.n_failed = 0
        pool = eventlet.GreenPool(256)
        started, cpu = time.monotonic(), capacity_daemons.cpu_seconds(self._pid)
        while time.monotonic() - started < seconds:
            pool.spawn_n(self._complete, n_tokens)
            eventlet.sleep(1 / RATE)
        pool.waitall()
        elapsed = time.monotonic() - started
        return {
            "n_tokens": n_tokens,
            "requests_per_second": self.n_requests / elapsed,
            "events_per_second": self.n_events / elapsed,
            "n_failed": self.n_failed,
            "core_share": (capacity_daemons.cpu_seconds(self._pid) - cpu) / elapsed,
            "memory_mib": capacity_daemons.memory_bytes(self._pid) / 2**20,
        }

    def idle_core_share(self, seconds: float) -> float:
        """Return the share of a core that the daemon uses without requests."""
        started, cpu = time.monotonic(), capacity_daemons.cpu_seconds(self._pid)
        eventlet.sleep(seconds)
        return (capacity_daemons.cpu_seconds(self._pid) - cpu) / (
            time.monotonic() - started
        )

    @property
    def _pid(self) -> int:
        return self._running["relay"].pid


def measure(seconds: float) -> dict[str, Any]:
    """Return the costs per request and per event, and the runs they are fitted to."""
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.Processes(pathlib.Path(folder)) as running,
    ):
        relay = Relay(running)
        relay.start()
        idle = relay.idle_core_share(seconds)
        runs = [relay.run(n_tokens, seconds) for n_tokens in TOKENS]
    # All runs have the same request rate, so the slope is the cost of one event.
    points = [(run["events_per_second"], run["core_share"] - idle) for run in runs]
    offset, per_event = capacity_records.fit_line(points)
    rate = sum(run["requests_per_second"] for run in runs) / len(runs)
    per_request = offset / rate
    return {
        "idle_core_share": idle,
        "core_seconds_per_request": per_request,
        "core_seconds_per_event": per_event,
        "runs": runs,
    }
