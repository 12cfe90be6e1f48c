"""Compare mechanisms on simulated loads, paired by seed: ``python -m simulation``.

Each variant has one mechanism switched off. Two figures are printed: the number of late
groups in each step, of those that its trainer waits for, and the time until enough
groups of a step are complete. Differences in brackets are against the same seeds with
every mechanism on.
"""

import argparse
import statistics
import sys
from typing import Final

import attrs

from bilberrydrum import runtime

runtime.prepare()

from simulation import load, rollouts

_SMALL: Final = (load.Trainer(8, 8, 23.0), load.Trainer(10, 4, 10.0))
_LARGE: Final = (
    load.Trainer(12, 8, 17.0),
    load.Trainer(8, 8, 10.0),
    load.Trainer(11, 8, 17.0),
    load.Trainer(7, 16, 17.0),
)
LOADS_BY_NAME: Final = {
    "2 trainers, 6 engines": load.Load(_SMALL),
    "2 trainers, 4 engines": load.Load(_SMALL, n_engines=4),
    "2 trainers, 3 engines, 1 scorer": load.Load(_SMALL, n_engines=3, n_upstreams=1),
    "4 trainers, 23 engines": load.Load(
        _LARGE, n_engines=23, engine_capacity=8, n_upstreams=8
    ),
    "4 trainers, 12 engines": load.Load(
        _LARGE, n_engines=12, engine_capacity=8, n_upstreams=4
    ),
}
_FULL: Final = load.Policy()
VARIANTS_BY_NAME: Final = {
    "everything on": _FULL,
    "no spare groups": attrs.evolve(_FULL, has_spare_groups=False),
    "no tiers": attrs.evolve(_FULL, has_tiers=False),
    "batches by submission": attrs.evolve(_FULL, has_start_by=False),
    "no engine shares": attrs.evolve(_FULL, has_shares=False),
    "no division": attrs.evolve(_FULL, has_division=False),
    "oldest text scored first": attrs.evolve(_FULL, has_scoring_order=False),
    "no reserved slots": attrs.evolve(_FULL, n_reserved_slots=0),
}


def main() -> int:
    """Print one line for each load and variant."""
    parser = argparse.ArgumentParser(description="Compare simulated mechanisms.")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--steps", type=int, default=10, help="steps of each trainer")
    options = parser.parse_args()
    for load_name, workload in LOADS_BY_NAME.items():
        first: list[tuple[float, float]] = []
        for name, policy in VARIANTS_BY_NAME.items():
            print(f"{load_name}: {name}", end="\r", file=sys.stderr, flush=True)
            figures = [
                _figures(workload, policy, seed, options.steps)
                for seed in range(options.seeds)
            ]
            first = first or figures
            print(_line(load_name, name, first, figures), flush=True)
    return 0


def _figures(
    workload: load.Load, policy: load.Policy, seed: int, n_steps: int
) -> tuple[float, float]:
    """Return the late groups per step, and the mean seconds of a step."""
    seen = rollouts.Simulation(workload, policy, seed).run(n_steps)
    n_all = n_steps * len(workload.trainers)
    return seen.n_late_groups / n_all, statistics.fmean(seen.step_seconds or [0.0])


def _line(
    load_name: str,
    name: str,
    first: list[tuple[float, float]],
    figures: list[tuple[float, float]],
) -> str:
    parts = [f"{load_name:<32} {name:<26}"]
    for number, unit in enumerate(("late groups a step", "s a step")):
        values = [each[number] for each in figures]
        changes = [a[number] - b[number] for a, b in zip(figures, first, strict=True)]
        error = statistics.stdev(changes) / len(changes) ** 0.5
        mean = statistics.fmean(values)
        parts.append(
            f"{mean:6.2f} {unit} ({statistics.fmean(changes):+.2f}+-{error:.2f})"
        )
    return "  ".join(parts)


if __name__ == "__main__":
    sys.exit(main())
