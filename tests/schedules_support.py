"""Settings of the tests that draw schedules: the same ones each time."""

import hypothesis


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
