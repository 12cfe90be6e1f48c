"""The Andes deployment on one machine: daemons, upstreams and clients.

Every process listens on a free loopback port; all files are in one folder.
"""

import json
import pathlib
import secrets
import time
from typing import Any, Final

import attrs
import urllib3
import yaml

from bilberrydrum import keys
from misc import loopback, processes

ZONES: Final = ("Surquillo", "Callao", "Ate")
OPERATOR: Final = "ana"
TRAINER: Final = "outage"
SECOND_TRAINER: Final = "drill"
CALLER: Final = "planners"
STALENESS_BOUND: Final = 2
TOOL_TIMEOUT_SECONDS: Final = 90.0


class ToolError(Exception):
    """The operators' command-line tool exited with an error.

    `code` is its exit code and `output` its standard output.
    """

    def __init__(
        self, words: tuple[str, ...], code: int, output: str, errors: str
    ) -> None:
        super().__init__(f"{' '.join(words)}: exit code {code}\n{output}{errors}")
        self.code = code
        self.output = output


@attrs.frozen
class Daemon:
    """One daemon of the deployment."""

    process_id: str
    zone: str
    http_address: str
    peer_address: str


@attrs.frozen
class RolledBundle:
    """A bundle that was rolled and is in force."""

    version: int
    digest: str
    # Times of `time.monotonic` before the roll was requested and after the tool
    # reported the bundle in force.
    requested_at: float
    reported_at: float


@attrs.frozen
class Sizes:
    """Number of upstreams of each kind."""

    n_engines: int = 5
    n_schedules: int = 3
    n_scorers: int = 2


class Deployment:
    """The processes of the Andes deployment.

    Parameters
    ----------
    started : processes.Processes
        Starts the processes; its owner stops them.
    sizes : Sizes, optional
        Number of upstreams of each kind.
    """

    def __init__(
        self, started: processes.Processes, sizes: Sizes | None = None
    ) -> None:
        self.processes = started
        self.folder: pathlib.Path = started.folder
        self.engines, schedules, scorers = _upstream_names(sizes or Sizes())
        names = [*self.engines, *schedules, *scorers]
        ports = loopback.free_ports(2 * len(ZONES) + len(names) + 1)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        self.daemons_by_id = {
            f"gw-{zone.lower()}": Daemon(
                f"gw-{zone.lower()}", zone, addresses.pop(), addresses.pop()
            )
            for zone in ZONES
        }
        self.store_address = addresses.pop()
        self.addresses_by_upstream = {name: addresses.pop() for name in names}
        self.operator_token = self._write_token("operator")
        self.upstream_token = self._write_token("upstream")

    def _write_token(self, name: str) -> str:
        path = self.folder / f"{name}.token"
        path.touch(mode=0o600)
        path.write_text(secrets.token_urlsafe(32) + "\n")
        return str(path)

    # Daemons.

    def write_settings(self) -> None:
        """Write a settings file for each daemon."""
        members = [
            {"process_id": daemon.process_id, "peer_address": daemon.peer_address}
            for daemon in self.daemons_by_id.values()
        ]
        self._write_keys()
        for daemon in self.daemons_by_id.values():
            settings: dict[str, Any] = {
                "process_id": daemon.process_id,
                "group": "andes",
                "availability_zone": daemon.zone,
                "region": "Lima",
                "roles": ["gateway", "state"],
                "peer_address": daemon.peer_address,
                "log_file": str(self.folder / f"{daemon.process_id}.log"),
                "state": {
                    "members": members,
                    "data_folder": str(self.folder / f"{daemon.process_id}-data"),
                },
                "gateway": {
                    "http_address": daemon.http_address,
                    "operator_token_file": self.operator_token,
                    "upstream_token_file": self.upstream_token,
                },
                "curve": {
                    "key_file": self._key_path(daemon.process_id),
                    "peers_file": self._peers_path(),
                },
                "shutdown": {"balancer_seconds": 0.5, "limit_seconds": 20},
            }
            path = self._settings_path(daemon.process_id)
            path.write_text(yaml.safe_dump(settings, sort_keys=False))

    def _write_keys(self) -> None:
        """Generate a key pair for each daemon and list the public keys."""
        keys_by_address = {}
        for daemon in self.daemons_by_id.values():
            pair = keys.generate()
            keys.write(self._key_path(daemon.process_id), pair).unwrap()
            keys_by_address[daemon.peer_address] = pair.public
        pathlib.Path(self._peers_path()).write_text(
            yaml.safe_dump({"peers": keys_by_address})
        )

    def _key_path(self, process_id: str) -> str:
        return str(self.folder / f"{process_id}.key")

    def _peers_path(self) -> str:
        return str(self.folder / "peers.yaml")

    def _settings_path(self, process_id: str) -> pathlib.Path:
        return self.folder / f"{process_id}.yaml"

    def start_daemons(self) -> None:
        """Start all daemons and wait until each serves HTTP and has a leader."""
        self.write_settings()
        for process_id in self.daemons_by_id:
            self.processes.start_module(
                process_id,
                "bilberrydrum.main",
                "--settings",
                str(self._settings_path(process_id)),
            )
        for daemon in self.daemons_by_id.values():
            self.processes.wait_until_ready(
                daemon.process_id, daemon.http_address, "/healthz"
            )
        processes.wait_for(lambda: self.leader() != "", 60.0, "a leader")

    def leader(self) -> str:
        """Return the process id of the state group's leader; empty if none is known.

        A replica that a new leader has not contacted yet may still report the old one,
        so the answer with the highest term is used.
        """
        best = (-1, "")
        for process_id in self.daemons_by_id:
            status = self.state_status(process_id)
            if status is not None and status["leader"]:
                best = max(best, (status["term"], status["leader"]))
        return best[1]

    def state_status(self, process_id: str) -> dict[str, Any] | None:
        """Return a daemon's report on the state group; None if it does not answer."""
        answer = self.send_request(
            process_id, "GET", "/v1/state", self.operator_headers()
        )
        if answer is None or answer.status != 200:
            return None
        value: dict[str, Any] = answer.json()
        return value

    def send_request(
        self,
        process_id: str,
        method: str,
        path: str,
        headers: dict[str, str],
        value: Any = None,
        timeout: float = 1.0,
    ) -> urllib3.BaseHTTPResponse | None:
        """Send a request to one daemon; return None if it does not answer."""
        address = self.daemons_by_id[process_id].http_address
        try:
            return urllib3.request(
                method,
                f"http://{address}{path}",
                headers=headers,
                json=value,
                timeout=timeout,
                retries=False,
            )
        except urllib3.exceptions.HTTPError:
            return None

    def operator_headers(self) -> dict[str, str]:
        token = pathlib.Path(self.operator_token).read_text().strip()
        return {"Authorization": f"Bearer {token}", "X-Operator": OPERATOR}

    # Upstreams and clients.

    def _gateway_options(self) -> list[str]:
        return [
            word
            for daemon in self.daemons_by_id.values()
            for word in ("--gateway", daemon.http_address)
        ]

    def _journal(self, name: str) -> list[str]:
        return ["--journal", str(self.folder / f"{name}.journal")]

    def start_upstreams(self, *engine_options: str) -> None:
        """Start the weight store, the engines and the applications."""
        self.processes.start_module(
            "store",
            "tests.fakes.weight_store",
            "--port",
            _port(self.store_address),
            *self._journal("store"),
        )
        for number, name in enumerate(self.addresses_by_upstream):
            kind = name.split("-")[0]
            options: list[str] = []
            if kind == "engine":
                # Only every other engine checks fencing numbers.
                options = ["--checks-fencing"] if number % 2 == 0 else []
                options += ["--seed", str(number), *engine_options]
            self.processes.start_module(
                name,
                f"tests.fakes.{kind}",
                "--id",
                name,
                "--port",
                _port(self.addresses_by_upstream[name]),
                "--zone",
                ZONES[number % len(ZONES)],
                "--token-file",
                self.upstream_token,
                *self._gateway_options(),
                *self._journal(name),
                *options,
            )

    def start_trainer(self, *options: str) -> processes.Process:
        """Start the trainer, which writes ``trainer.report`` and exits by itself."""
        return self.processes.start_module(
            "trainer",
            "tests.fakes.trainer",
            "--id",
            TRAINER,
            "--store",
            f"http://{self.store_address}",
            "--report",
            str(self.folder / "trainer.report"),
            *self._gateway_options(),
            *self._journal("trainer"),
            *options,
        )

    def start_planner(self, *options: str) -> processes.Process:
        """Start the planners, which write ``planner.report`` on SIGTERM."""
        return self.processes.start_module(
            "planner",
            "tests.fakes.planner",
            "--id",
            "planner",
            "--caller",
            CALLER,
            "--report",
            str(self.folder / "planner.report"),
            *self._gateway_options(),
            *self._journal("planner"),
            *options,
        )

    def control(self, upstream: str, **faults: float) -> dict[str, Any]:
        """Switch faults of a fake upstream on or off; return its report."""
        answer = urllib3.request(
            "POST",
            f"http://{self.addresses_by_upstream[upstream]}/control",
            json=faults,
            timeout=5.0,
            retries=False,
        )
        if answer.status != 200:
            raise ValueError(f"{upstream} refused the faults: {answer.data!r}")
        value: dict[str, Any] = answer.json()
        return value

    # Operator.

    def tool(self, *words: str, operator: str = OPERATOR) -> dict[str, Any]:
        """Run the operators' command-line tool; return its JSON output.

        Raises
        ------
        ToolError
            If the exit code is not 0.
        """
        gateways = [
            word if word.startswith("--") else f"http://{word}"
            for word in self._gateway_options()
        ]
        arguments = processes.module_command(
            "bilberrydrum_cli.main",
            *gateways,
            "--token-file",
            self.operator_token,
            "--operator",
            operator,
            "--output",
            "json",
            *words,
        )
        code, output, errors = processes.run_tool(arguments, TOOL_TIMEOUT_SECONDS)
        if code != 0:
            raise ToolError(words, code, output, errors)
        value: dict[str, Any] = json.loads(output) if output.strip() else {}
        return value

    def write_bundle(
        self, version: int, callers: list[str], folder: pathlib.Path | None = None
    ) -> pathlib.Path:
        """Write a bundle that permits `callers` to use the schedule application."""
        bundle = {
            "version": version,
            "parent": version - 1,
            "models": {"planner": {"weight_store": f"http://{self.store_address}"}},
            "applications": {
                "schedule": {"timeout_seconds": 5},
                "scorer": {"idempotent_methods": ["GET", "HEAD", "OPTIONS", "POST"]},
            },
            "callers": {
                name: {"models": ["planner"], "applications": ["schedule"]}
                for name in callers
            },
            "trainers": {
                name: {
                    "model": "planner",
                    "scorer": "scorer",
                    "staleness_bound": STALENESS_BOUND,
                }
                for name in (TRAINER, SECOND_TRAINER)
            },
        }
        path = (folder or self.folder) / f"bundle-{version}.yaml"
        path.write_text(yaml.safe_dump(bundle, sort_keys=False))
        return path

    def roll(self, path: pathlib.Path, version: int) -> RolledBundle:
        """Check, submit, sign off and roll a bundle; wait until it is in force."""
        self.tool("bundle", "check", str(path))
        digest = self.tool("bundle", "submit", str(path))["digest"]
        sign_off_command = ("bundle", "sign-off", str(version), "--digest", digest)
        self.tool(*sign_off_command)
        requested_at = time.monotonic()
        self.tool("bundle", "roll", str(version), "--digest", digest, "--wait")
        return RolledBundle(version, digest, requested_at, time.monotonic())


def _upstream_names(sizes: Sizes) -> tuple[list[str], list[str], list[str]]:
    """Return the names of the engines, schedule applications and scorers."""
    return (
        [f"engine-{i}" for i in range(1, sizes.n_engines + 1)],
        [f"schedule-{i}" for i in range(1, sizes.n_schedules + 1)],
        [f"scorer-{i}" for i in range(1, sizes.n_scorers + 1)],
    )


def _port(address: str) -> str:
    return address.rsplit(":", 1)[1]
