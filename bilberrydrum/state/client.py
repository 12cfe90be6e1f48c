"""The gateways' way to the state group.

`StateClient` is what the other parts of the system see of the replicated state. It
finds the leader, sends again when an answer is lost, and marks each command with a
session and a sequence number, so that a command sent twice has one effect and one
answer.
"""

from typing import Any, Final, Protocol

import attrs
import result

from bilberrydrum import problems, reasons

# When a request that the state group did not answer should come back.
RETRY_AFTER_SECONDS: Final = 1.0


@attrs.frozen
class StateError:
    """The state group gave no answer in time.

    `may_have_applied` tells whether the command may have been, or may yet be, applied.
    """

    reason: reasons.Reason
    may_have_applied: bool = True
    detail: str = ""

    def to_problem(self) -> problems.Problem:
        """Return the problem document of a request that needed the answer."""
        outcome = problems.OUTCOME_NOT_RUN
        if self.may_have_applied:
            outcome = problems.OUTCOME_UNKNOWN
        return problems.Problem(
            503,
            self.reason,
            self.detail,
            outcome,
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )


class StateClient(Protocol):
    """Commands and queries to the state group."""

    def submit(
        self, command: object, timeout: float = 5.0
    ) -> result.Result[Any, StateError]:
        """Have `command` committed and return the answer of its apply function."""

    def query(
        self, query: object, timeout: float = 5.0
    ) -> result.Result[Any, StateError]:
        """Answer `query` from a state that holds every command committed before."""
