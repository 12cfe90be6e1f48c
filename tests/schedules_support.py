"""Settings of the tests that draw random schedules: the same ones in each run."""

import contextlib
import os
from collections.abc import Iterator

import hypothesis

N_SCHEDULES_VARIABLE = "BILBERRYDRUM_SCHEDULES"


def by_seeds(n_schedules: int) -> hypothesis.settings:
    """Return the settings of a test that draws its schedules from seeds.

    A failing seed is not shrunk, as a smaller seed does not give a simpler schedule.
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
    """Return the settings of a state machine whose rules are a schedule's steps."""
    return hypothesis.settings(
        max_examples=n_schedules,
        stateful_step_count=n_steps,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


@contextlib.contextmanager
def played_by(module: str, seed: int | None = None) -> Iterator[None]:
    """Add the command that repeats a schedule to an error raised in the block.

    Without a seed the command runs all schedules of the module, as many as this run.
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
