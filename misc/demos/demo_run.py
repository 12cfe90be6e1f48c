"""The demo: a rollout on one machine, with or without faults.

Three daemons, five engines, three schedule applications, scorers, a weight store, a
trainer and some planners run as separate processes. An operator rolls bundles. The
figures at the end are computed from the reports and journals of the trainer, the
planners and the applications, and from the observations of the probe.
"""

import argparse
import json
import pathlib
import shutil
import sys
import tempfile
import time
from collections.abc import Callable
from typing import Any, Final

import attrs

from misc import processes
from misc.demos import andes, figures, probe
from tests.fakes import journal

READY_SECONDS: Final = 60.0
# The run fails if the trainer takes longer than this for a step.
STEP_TIMEOUT_SECONDS: Final = 60.0
FREEZE_SECONDS: Final = 6.0
CRASH_TOKENS: Final = 40
PLANNER_STOP_SECONDS: Final = 40.0
ENGINE_OPTIONS: Final = ("--step-seconds", "0.02")


class Run:
    """One run of the demo."""

    def __init__(self, started: processes.Processes, has_faults: bool) -> None:
        self._processes = started
        self._has_faults = has_faults
        self._deployment = andes.Deployment(started)
        self._probe = probe.Probe(self._deployment)
        self._rolled: list[tuple[andes.RolledBundle, list[str]]] = []
        self._trainer: processes.Process | None = None
        self._gateways = list(self._deployment.daemons_by_id)

    def run(self) -> tuple[dict[str, Any], dict[str, Any], list[str]]:
        """Run the demo; return the figures, the details and the violated conditions."""
        deployment = self._deployment
        deployment.start_daemons()
        _print_progress("daemons are ready, starting upstreams")
        deployment.start_upstreams(*ENGINE_OPTIONS)
        self._roll(1, self._gateways)
        self._start_clients()
        for step, action in self._plan():
            self._wait_for_step(step)
            action()
        self._wait_for_trainer()
        self._probe.stop()
        self._stop_planner()
        return self._result()

    def _plan(self) -> list[tuple[int, Callable[[], None]]]:
        """Return the actions, each with the trainer's step after which it is due."""
        if not self._has_faults:
            return [(8, lambda: self._roll(2, self._gateways))]
        return [
            (4, self._kill_gateway),
            (8, self._crash_engine),
            (12, self._freeze_leader),
        ]

    def _start_clients(self) -> None:
        deployment = self._deployment
        options = ("--step-seconds", "0.4", "--n-steps", "24")
        if self._has_faults:
            options = ("--step-seconds", "0.8", "--n-steps", "28")
        deployment.start_planner()
        self._trainer = deployment.start_trainer(*options)

    # Operator.

    def _roll(self, version: int, gateways: list[str]) -> None:
        """Roll a bundle and wait until the probe sees these gateways apply it."""
        callers = [andes.CALLER]
        callers += [probe.caller_of(number) for number in range(1, version + 1)]
        path = self._deployment.write_bundle(version, callers)
        self._probe.expect(version)
        if version == 1:
            self._probe.start()
        rolled = self._deployment.roll(path, version)
        self._probe.report(rolled)
        processes.wait_for(
            lambda: self._probe.has_seen(version, gateways),
            READY_SECONDS,
            f"bundle {version} seen at {', '.join(gateways)}",
        )
        self._rolled.append((rolled, gateways))
        seconds = self._probe.seconds_in_force(rolled, gateways)
        _print_progress(f"bundle {version} in force after {seconds:.2f} s")

    # Faults.

    def _kill_gateway(self) -> None:
        """Kill a gateway, roll a bundle without it, and start it again."""
        leader = self._deployment.leader()
        killed = next(name for name in self._gateways if name != leader)
        others = [name for name in self._gateways if name != killed]
        self._processes[killed].kill()
        _print_progress(f"killed {killed}")
        self._roll(2, others)
        self._processes.restart(killed)
        processes.wait_for(
            lambda: self._probe.has_seen(2, [killed]), READY_SECONDS, f"{killed} back"
        )
        _print_progress(f"{killed} is back")

    def _crash_engine(self) -> None:
        """Crash an engine while it generates, and start it again."""
        engine = "engine-2"
        self._deployment.control(engine, crash_after_tokens=CRASH_TOKENS)
        processes.wait_for(
            lambda: not self._processes[engine].is_running(),
            READY_SECONDS,
            f"{engine} crashed",
        )
        _print_progress(f"{engine} crashed during a stream")
        self._processes.restart(engine)

    def _freeze_leader(self) -> None:
        """Freeze the state group's leader, roll a bundle, and resume the leader."""
        leader = self._deployment.leader()
        others = [name for name in self._gateways if name != leader]
        start = time.monotonic()
        self._processes[leader].freeze()
        _print_progress(f"froze {leader}, the leader")
        try:
            self._roll(3, others)
            time.sleep(max(0.0, start + FREEZE_SECONDS - time.monotonic()))
        finally:
            self._processes[leader].thaw()
        processes.wait_for(
            lambda: self._probe.has_seen(3, [leader]), READY_SECONDS, f"{leader} back"
        )
        _print_progress(f"{leader} is resumed")

    # Clients.

    def _n_steps(self) -> int:
        path = self._deployment.folder / "trainer.journal"
        return sum(1 for _ in journal.read(path, "step"))

    def _wait_for_step(self, step: int) -> None:
        def is_reached() -> bool:
            self._check_trainer()
            return self._n_steps() >= step

        processes.wait_for(is_reached, step * STEP_TIMEOUT_SECONDS, f"step {step}")

    def _check_trainer(self) -> None:
        """Raise at once if the trainer exited with an error."""
        trainer = self._trainer
        if trainer is not None and trainer.popen.poll() not in (None, 0):
            raise processes.ConditionTimeoutError(
                f"the trainer exited with an error:\n{trainer.log_tail()}"
            )

    def _wait_for_trainer(self) -> None:
        n_steps = self._n_steps()
        last = time.monotonic()
        while self._trainer is not None and self._trainer.is_running():
            time.sleep(processes.POLL_SECONDS)
            if self._n_steps() > n_steps:
                n_steps = self._n_steps()
                last = time.monotonic()
            if time.monotonic() - last > STEP_TIMEOUT_SECONDS:
                raise processes.ConditionTimeoutError(
                    f"the trainer stopped making steps after step {n_steps}"
                )
        self._check_trainer()

    def _stop_planner(self) -> None:
        planner = self._processes["planner"]
        if planner.terminate(PLANNER_STOP_SECONDS) != 0:
            raise processes.ConditionTimeoutError(
                f"the planners did not exit with code 0:\n{planner.log_tail()}"
            )

    # Results.

    def _result(self) -> tuple[dict[str, Any], dict[str, Any], list[str]]:
        folder = self._deployment.folder
        trainer = figures.read_report(folder, "trainer")
        planner = figures.read_report(folder, "planner")
        bookings = figures.count_bookings(folder)
        slowest = max(
            self._probe.seconds_in_force(rolled, gateways)
            for rolled, gateways in self._rolled
        )
        breaches = figures.find_breaches(
            trainer, planner, bookings, self._probe.reverts
        )
        details = {
            "trainer": trainer,
            "planner": planner,
            "bookings": attrs.asdict(bookings),
            "reverts": self._probe.reverts,
            "rolls": [
                {
                    "version": rolled.version,
                    "seen_seconds": round(
                        self._probe.seconds_in_force(rolled, gateways), 3
                    ),
                    "reported_seconds": round(
                        rolled.reported_at - rolled.requested_at, 3
                    ),
                }
                for rolled, gateways in self._rolled
            ],
        }
        return figures.summary(trainer, bookings, slowest), details, breaches


def main(arguments: list[str] | None = None) -> int:
    """Run the demo; return 0 if no condition was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--faults",
        action="store_true",
        help="kill a gateway, crash an engine and freeze the state leader",
    )
    parser.add_argument("--folder", help="keep the files of the run here")
    options = parser.parse_args(arguments)
    processes.exit_on_signals()
    folder = pathlib.Path(
        options.folder or tempfile.mkdtemp(prefix="bilberrydrum-demo-")
    )
    folder.mkdir(parents=True, exist_ok=True)
    start = time.monotonic()
    try:
        with processes.Processes(folder) as started:
            summary, details, breaches = Run(started, options.faults).run()
    except (processes.ConditionTimeoutError, andes.ToolError) as error:
        print(f"failed: {error}\nfiles are kept in {folder}", file=sys.stderr)
        return 1
    except SystemExit:
        print(f"interrupted; files are kept in {folder}", file=sys.stderr)
        raise
    _print_progress(f"took {time.monotonic() - start:.1f} s")
    print(json.dumps(details))
    print(json.dumps(summary), flush=True)
    if breaches:
        print(f"violated: {breaches}; files are kept in {folder}", file=sys.stderr)
        return 1
    if not options.folder:
        shutil.rmtree(folder)
    return 0


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


if __name__ == "__main__":
    sys.exit(main())
