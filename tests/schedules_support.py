"""Settings of the tests that draw schedules: the same ones each time."""

import contextlib
import os
from collections.abc import Iterator

import hypothesis

N_SCHEDULES_VARIABLE = "BILBERRYDRUM_SCHEDULES"


def by_seeds(n_schedules: int) -> hypothesis.settings:
    """Return the settings of a test that draws its schedules from seeds.

    One that fails is not shrunk: a seed says nothing of the schedules near it.
    """
    return hypothesis.settings(
        max_examples=n_schedules,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def of_machine(n_schedules: int, n_steps: int) -> hypothesis.settings:
    """Return the settings of a state machine whose rules are the steps."""
    return hypothesis.settings(
        max_examples=n_schedules,
        stateful_step_count=n_steps,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


@contextlib.contextmanager
def played_by(module: str, seed: int | None = None) -> Iterator[None]:
    """Say with a failure of a schedule which command plays it again.

    Without a seed all the module's schedules are played, as many as in this run.
    """
    command = f"misc/play_schedule {module}"
    n_schedules = os.environ.get(N_SCHEDULES_VARIABLE)
    if seed is not None:
        command += f" --first {seed}"
    elif n_schedules is not None:
        command = f"{N_SCHEDULES_VARIABLE}={n_schedules} {command}"
    try:
        yield
    except Exception as error:
        error.add_note(f"To play it again: {command}")
        raise
