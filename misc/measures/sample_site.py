"""A deployment for the sample measurements: daemons, engines, scorers and trainers."""

import json
import pathlib
import time
from typing import Any, Final

import attrs
import urllib3
import yaml

from misc import loopback, processes
from tests.fakes import journal

N_ENGINES: Final = 5
N_SCORERS: Final = 2
SCORER: Final = "scorer"
POLICY_PLAIN: Final = "plain"
# Kinds of faults in a run: no fault at all.
NO_FAULTS: Final = "none"
# One swap fails and one engine is killed.
FAULTS: Final = "faults"
# One engine is slow from the start, by the factor below.
SLOW_ENGINE: Final = "slow_engine"
SLOWNESS: Final = 3.0
START_SECONDS: Final = 60.0
OPERATOR: Final = {"X-Operator": "measure"}


@attrs.frozen
class Workload:
    """The workload of a deployment; lengths and times are assumptions."""

    name: str
    zones: tuple[str, ...]
    model: str
    trainers: tuple[str, ...]
    staleness_bound: int
    # Duration of an engine step, in which each running sample gets one token.
    step_seconds: float
    max_concurrency: int
    # Per trainer and training step.
    n_groups: int
    n_slots: int
    # Duration of a training step, in engine steps.
    train_engine_steps: float
    publish_every: int
    n_steps_ahead: int
    median_length: int
    max_tokens: int
    measure_seconds: float
    n_warm_steps: int = 3
    second_attempt_budget: float = 0.05


@attrs.frozen
class Run:
    """The raw figures of one run."""

    reports: tuple[dict[str, Any], ...]
    # Tokens generated for the delivered samples, in all attempts, and delivered tokens.
    n_tokens_made: int
    n_tokens_delivered: int
    # Wall-clock time at which the first engine was killed; 0 if it was not.
    engine_lost_at: float
    # Measured duration of a step, by engine.
    step_seconds: tuple[float, ...]
    # Tokens that the engines generated during the measurement.
    n_tokens_in_window: int


class Site:
    """The processes of one run."""

    def __init__(
        self, load: Workload, policy: str, faults: str, started: processes.Processes
    ) -> None:
        self.load = load
        self._policy = policy
        self._faults = faults
        self._processes = started
        self._folder: pathlib.Path = started.folder
        n_daemons = len(load.zones)
        ports = loopback.free_ports(2 * n_daemons + N_ENGINES + N_SCORERS + 1)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        self._http = [addresses.pop() for _ in range(n_daemons)]
        self._peers = [addresses.pop() for _ in range(n_daemons)]
        self._engines = [addresses.pop() for _ in range(N_ENGINES)]
        self._scorers = [addresses.pop() for _ in range(N_SCORERS)]
        self._store = addresses.pop()

    def run(self) -> Run:
        """Start everything, measure, and return the figures."""
        self._start_daemons()
        self._roll_bundle()
        self._start_upstreams()
        if self._faults == SLOW_ENGINE:
            self._control(2, slowness=SLOWNESS)
        trainers = [self._start_trainer(name) for name in self.load.trainers]
        lost_at = self._inject_faults() if self._faults == FAULTS else 0.0
        for trainer in trainers:
            code = trainer.popen.wait(START_SECONDS + 4 * self.load.measure_seconds)
            if code != 0:
                raise SystemExit(
                    f"trainer exit code {code}, expected 0:\n{trainer.log_tail()}"
                )
        return self._collect(lost_at)

    def _gateways(self) -> list[str]:
        return [word for each in self._http for word in ("--gateway", each)]

    def _start_daemons(self) -> None:
        members = [
            {"process_id": f"gw-{i}", "peer_address": peer}
            for i, peer in enumerate(self._peers)
        ]
        plain = self._policy == POLICY_PLAIN
        module = "misc.measures.plain_daemon" if plain else "bilberrydrum.main"
        for i, zone in enumerate(self.load.zones):
            settings = {
                "process_id": f"gw-{i}",
                "group": "measure",
                "availability_zone": zone,
                "roles": ["gateway", "state"],
                "peer_address": self._peers[i],
                "log_file": str(self._folder / f"gw-{i}.log"),
                "state": {
                    "members": members,
                    "data_folder": str(self._folder / f"gw-{i}-data"),
                },
                "gateway": {"http_address": self._http[i]},
                # The plain policy sends all attempts at once, which must not be
                # refused.
                "requests": {"max_queue_per_caller": 4096},
                "samples": {"second_attempt_budget": self.load.second_attempt_budget},
            }
            path = self._folder / f"gw-{i}.yaml"
            path.write_text(yaml.safe_dump(settings))
            self._processes.start_module(f"gw-{i}", module, "--settings", str(path))
        for i, address in enumerate(self._http):
            self._processes.wait_until_ready(f"gw-{i}", address, "/healthz")

    def _request_until_done(self, method: str, path: str, value: Any = None) -> Any:
        """Retry a request to the first daemon until it succeeds."""
        deadline = time.monotonic() + START_SECONDS
        answer = None
        while time.monotonic() < deadline:
            try:
                answer = urllib3.request(
                    method,
                    f"http://{self._http[0]}{path}",
                    json=value,
                    headers=OPERATOR,
                    timeout=5.0,
                    retries=False,
                )
                if answer.status < 300:
                    return answer.json()
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(0.1)
        raise SystemExit(
            f"{path} did not succeed; last answer: {answer and answer.data!r}"
        )

    def _roll_bundle(self) -> None:
        trainers = {
            name: {
                "model": self.load.model,
                "scorer": SCORER,
                "staleness_bound": self.load.staleness_bound,
            }
            for name in self.load.trainers
        }
        bundle = {
            "version": 1,
            "parent": 0,
            "models": {self.load.model: {"weight_store": f"http://{self._store}"}},
            "applications": {SCORER: {"idempotent_methods": ["GET", "POST"]}},
            "trainers": trainers,
        }
        sent = {"content": yaml.safe_dump(bundle), "file_name": "bundle.yaml"}
        digest = self._request_until_done("POST", "/v1/bundles", sent)["digest"]
        for verb in ("sign-off", "roll"):
            self._request_until_done(
                "POST", f"/v1/bundles/1/{verb}", {"digest": digest}
            )
        for i, address in enumerate(self._http):
            self._processes.wait_until_ready(f"gw-{i}", address)

    def _start_upstreams(self) -> None:
        load = self.load
        self._start("store", "tests.fakes.weight_store", self._store, "--rate", "50")
        for i, address in enumerate(self._engines):
            self._start(
                f"engine-{i}",
                "misc.measures.sample_engine",
                address,
                *("--id", f"engine-{i}"),
                *("--zone", load.zones[i % len(load.zones)]),
                *("--models", load.model),
                *("--step-seconds", str(load.step_seconds)),
                *("--max-concurrency", str(load.max_concurrency)),
                *("--max-waiting", "4096"),
                *("--median-length", str(load.median_length)),
                *("--prefill-steps", "2"),
                *("--checks-fencing", "--journal", self._journal(i)),
                *self._gateways(),
            )
        for i, address in enumerate(self._scorers):
            self._start(
                f"scorer-{i}",
                "tests.fakes.scorer",
                address,
                *("--id", f"scorer-{i}"),
                *("--zone", load.zones[i % len(load.zones)]),
                *self._gateways(),
            )
        n_upstreams = N_ENGINES + N_SCORERS
        processes.wait_for(
            lambda: (
                len(self._request_until_done("GET", "/v1/upstreams")["upstreams"])
                == n_upstreams
            ),
            START_SECONDS,
            "upstreams",
        )

    def _start(self, name: str, module: str, address: str, *arguments: str) -> None:
        port = address.rpartition(":")[2]
        self._processes.start_module(name, module, "--port", port, *arguments)

    def _journal(self, i: int) -> str:
        return str(self._folder / f"engine-{i}.journal")

    def _start_trainer(self, name: str) -> processes.Process:
        load = self.load
        return self._processes.start_module(
            f"trainer-{name}",
            "misc.measures.sample_trainer",
            *("--id", name, "--model", load.model),
            *("--store", f"http://{self._store}"),
            *("--n-groups", str(load.n_groups), "--n-slots", str(load.n_slots)),
            *("--max-tokens", str(load.max_tokens)),
            *("--n-steps-ahead", str(load.n_steps_ahead)),
            *("--step-seconds", str(load.train_engine_steps * load.step_seconds)),
            *("--publish-every", str(load.publish_every)),
            *("--n-warm-steps", str(load.n_warm_steps)),
            *("--measure-seconds", str(load.measure_seconds)),
            *("--report", str(self._folder / f"{name}.report")),
            *("--journal", str(self._folder / f"{name}.journal")),
            *self._gateways(),
        )

    def _inject_faults(self) -> float:
        """Let one swap fail and kill one engine, in the middle of the measurement."""
        journals = [self._folder / f"{name}.journal" for name in self.load.trainers]

        def is_warm() -> bool:
            return all(
                len(list(journal.read(path, "step"))) >= self.load.n_warm_steps
                for path in journals
            )

        processes.wait_for(is_warm, START_SECONDS * 4, "the warm-up")
        self._control(1, fail_swaps=1)
        time.sleep(self.load.measure_seconds / 3)
        self._processes["engine-0"].kill()
        return time.time()

    def _control(self, i_engine: int, **faults: float) -> None:
        urllib3.request(
            "POST", f"http://{self._engines[i_engine]}/control", json=faults
        )

    def _collect(self, lost_at: float) -> Run:
        reports = tuple(
            json.loads((self._folder / f"{name}.report").read_text())
            for name in self.load.trainers
        )
        delivered: dict[str, int] = {}
        for report in reports:
            delivered |= report.pop("n_tokens_by_sample")
        made = dict.fromkeys(delivered, 0)
        for i in range(N_ENGINES):
            for event in journal.read(pathlib.Path(self._journal(i)), "stream"):
                sample_id = event["id"].partition("#")[0]
                if sample_id in made:
                    made[sample_id] += sum(segment[2] for segment in event["segments"])
        # An engine that was killed has not written its last streams to the journal,
        # although their first tokens may have been delivered.
        n_made = sum(max(made[each], delivered[each]) for each in delivered)
        paces = tuple(self._step_seconds(i) for i in range(N_ENGINES))
        began = min(report["began"] for report in reports)
        ended = max(report["ended"] for report in reports)
        n_in_window = sum(
            self._n_tokens(i, ended) - self._n_tokens(i, began)
            for i in range(N_ENGINES)
        )
        n_delivered = sum(delivered.values())
        return Run(reports, n_made, n_delivered, lost_at, paces, n_in_window)

    def _n_tokens(self, i_engine: int, until: float) -> int:
        """Return the tokens an engine had generated by `until`, accurate to 0.5 s."""
        pace_events = journal.read(pathlib.Path(self._journal(i_engine)), "pace")
        counts = [note["n_tokens"] for note in pace_events if note["time"] <= until]
        return int(max(counts, default=0))

    def _step_seconds(self, i_engine: int) -> float:
        pace = list(journal.read(pathlib.Path(self._journal(i_engine)), "pace"))[-1]
        return float(pace["busy_seconds"]) / max(1, pace["n_steps"])
