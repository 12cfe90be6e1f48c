"""Tasks that run as long as their process, and unexpected errors in them.

Nothing starts such a task again, and no other part of the process notices that it has
ended. So an unexpected error must not end it. The error is logged and counted, so that
an operator sees it although the process goes on.
"""

import collections
import contextlib
from collections.abc import Callable, Iterator
from typing import Final, Never

import eliot
import eventlet

from bilberrydrum import clock, counters, log_rate_limit

# Pause after an unexpected error, in seconds. A step that fails each time at once must
# not take the processor from all other tasks.
ERROR_PAUSE_SECONDS: Final = 0.05
# A timeout that leaves the block that it belongs to is unexpected as well, but is not
# an `Exception`.
UNEXPECTED_ERRORS: Final = (Exception, eventlet.Timeout)

_lines_by_task: collections.defaultdict[str, log_rate_limit.LogRateLimit] = (
    collections.defaultdict(log_rate_limit.LogRateLimit)
)


def record_error(task: str) -> None:
    """Log and count the error that is being handled, in the task of that name.

    Of the errors of one task, at most one a second is logged.
    """
    counters.TASK_ERRORS.labels(task).inc()
    n_before = _lines_by_task[task].admit(clock.now())
    if n_before is None:
        return
    eliot.log_message(
        message_type="process:task-failed", task=task, n_not_logged=n_before
    )
    eliot.write_traceback()


@contextlib.contextmanager
def errors_recorded(task: str) -> Iterator[None]:
    """Log and count an unexpected error of the block, and continue after it."""
    try:
        yield
    except UNEXPECTED_ERRORS:
        record_error(task)


def run_forever(task: str, step: Callable[[], object]) -> Never:
    """Call `step` again and again until the calling task is killed.

    Parameters
    ----------
    task : str
        Name of the task in log lines and metrics.
    step : callable
        Does one piece of work, and waits for it or after it.
    """
    while True:
        try:
            step()
        except UNEXPECTED_ERRORS:
            record_error(task)
            clock.sleep(ERROR_PAUSE_SECONDS)
