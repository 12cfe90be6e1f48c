"""The interface of the gateways to the state group.

The other parts of the system use the replicated state through `StateClient`. It finds
the leader, retries when an answer is lost, and marks each command with a session and a
sequence number, so that a command sent twice has one effect and one answer.
"""

from typing import Any, Final, Protocol

import attrs
import result

from bilberrydrum import problems, reasons

# Seconds after which callers should retry a request that failed because the state
# group did not answer.
RETRY_AFTER_SECONDS: Final = 1.0


@attrs.frozen
class StateError:
    """The state group did not answer in time, or answered with an error.

    `may_have_applied` is true if the command may have been applied or may still be
    applied.
    """

    reason: reasons.Reason
    may_have_applied: bool = True
    detail: str = ""

    def to_problem(self) -> problems.Problem:
        """Return the problem document for a request that depended on the answer."""
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
