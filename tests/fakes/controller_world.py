"""Candidates for the controller lease, whose messages are delivered by the test."""

from typing import Any

import attrs

from bilberrydrum.state import controller_commands, controller_lease
from tests.fakes import direct_state

LEASE = 3.0
FLIGHT = 10.0


@attrs.define(eq=False)
class Candidate:
    """A process that tries to acquire the lease, with a clock of its own rate."""

    decision: controller_lease.ControllerDecision
    rate: float = 1.0
    # Answers that the process has not read yet.
    unread: list[Any] = attrs.field(factory=list)


class World:
    """The candidates and the state group; the test delivers every message."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.state = direct_state.DirectState()
        self.n_started = 0
        # Messages in transit: the sender, the message and when it was sent.
        self.in_flight: list[tuple[Candidate, object, float]] = []

    def candidate(
        self, process_id: str, rate: float = 1.0, lease: float = LEASE
    ) -> Candidate:
        timing = controller_lease.Timing(lease, 0.05, FLIGHT)
        self.n_started += 1
        decision = controller_lease.ControllerDecision(
            process_id, f"token-{self.n_started}", timing
        )
        return Candidate(decision, rate)

    def send(self, candidate: Candidate, event: object) -> None:
        for effect in candidate.decision.step(self.now * candidate.rate, event):
            sent_at = self.now * candidate.rate
            self.in_flight.append((candidate, effect.message, sent_at))

    def deliver(self, index: int = -1) -> None:
        """Deliver a message to the state group; its answer waits to be read."""
        candidate, message, sent_at = self.in_flight.pop(index)
        if isinstance(message, controller_commands.AskController):
            answer = self.state.query(message).unwrap()
        else:
            answer = self.state.apply(message)
        event = controller_lease.Answered(message, sent_at, answer)
        candidate.unread.append(event)

    def run_round(self, candidate: Candidate) -> None:
        """Run one round of the candidate, with all its answers delivered at once."""
        self.send(candidate, controller_lease.Due())
        while self.in_flight:
            self.deliver()
            self.send(candidate, candidate.unread.pop())

    def number(self, candidate: Candidate) -> int | None:
        return candidate.decision.fencing_number(self.now * candidate.rate)

    def may_order_unfenced(self, candidate: Candidate) -> bool:
        now = self.now * candidate.rate
        return candidate.decision.may_order_unfenced(now)
