"""Calls to the leader of a group: what callers learn when the leadership changes."""

import unittest
from collections.abc import Callable
from typing import Any

import attrs
import eventlet
import eventlet.event
import result
from nose2 import tools

from bilberrydrum import interfaces, transport
from bilberrydrum.batches import messages as batch_messages
from bilberrydrum.state import leader_calls, leader_service

MESSAGE = batch_messages.AskEnd("b")
TAKEN = batch_messages.EndTaken(True)


@attrs.define
class Replica:
    """Leads in `term`; 0: it does not lead."""

    term: int = 0

    def leadership(self) -> interfaces.Leadership | None:
        return interfaces.Leadership(self.term, 0.0) if self.term else None

    def leader_hint(self) -> leader_calls.NotLeading:
        return leader_calls.NotLeading("at-a", ("at-a",))


class FakeTransport:
    """Delivers calls to the only replica, and its answers to the caller."""

    def __init__(self) -> None:
        self._handlers: dict[type[Any], transport.Handler] = {}
        self._answered = eventlet.event.Event()

    def on(self, message_class: type[Any], handler: transport.Handler) -> None:
        self._handlers[message_class] = handler

    def answer(self, sender: transport.Sender, message: object) -> None:
        self._answered.send(message)

    def call(self, address: str, message: object, timeout: float) -> Any:
        self._answered = eventlet.event.Event()
        self._handlers[type(message)](transport.Sender("p", address, 0), message)
        return result.Ok(self._answered.wait())


class LeadershipChange(unittest.TestCase):
    def call(self, handler: Callable[[Replica], Any], term: int) -> Any:
        with eventlet.Timeout(10.0):
            fake_transport: Any = FakeTransport()
            replica: Any = Replica(term)
            service = leader_service.LeaderService(replica, fake_transport)
            service.serve(batch_messages.AskEnd, lambda *given: handler(replica))
            calls = leader_calls.LeaderCalls(fake_transport, ["at-a"])
            return calls.call(MESSAGE, 0.5)

    @staticmethod
    def commits(replica: Replica) -> Any:
        return TAKEN

    @staticmethod
    def commits_and_loses_its_lease(replica: Replica) -> Any:
        replica.term = 0
        return TAKEN

    @staticmethod
    def commits_and_leads_again(replica: Replica) -> Any:
        replica.term += 1
        return TAKEN

    @staticmethod
    def has_no_effect(replica: Replica) -> Any:
        return None

    @staticmethod
    def has_unknown_outcome(replica: Replica) -> Any:
        return leader_service.UNKNOWN_OUTCOME

    @tools.params(
        # Name, what the replica does with the call, its term; whether the caller learns
        # that the call may have taken effect.
        ("lost its lease", "commits_and_loses_its_lease", 3, True),
        ("leads in another term", "commits_and_leads_again", 3, True),
        ("does not lead", "commits", 0, False),
        ("was refused by the log", "has_no_effect", 3, False),
        ("not committed in time", "has_unknown_outcome", 3, True),
    )
    def test_effect_of_a_call_without_an_answer(
        self, name: str, handler: str, term: int, may_have_applied: bool
    ) -> None:
        """A batch is refused with the guarantee that it never runs, but it runs.

        The leader commits the batch and loses its lease before it has answered. If it
        then answered that it does not lead and the call had no effect, and no other
        leader were found in time, the gateway would answer 503.
        """
        answer = self.call(getattr(self, handler), term)
        self.assertEqual(answer.unwrap_err().may_have_applied, may_have_applied, name)

    @tools.params(("first attempt", False), ("after a lost answer", True))
    def test_refusal(self, name: str, is_answer_lost: bool) -> None:
        """Guard against a batch that runs although its submission was refused.

        The first attempt was not answered, so it may still arrive and be accepted.
        """
        answers: list[Any] = [batch_messages.Refused(2.0)]
        if is_answer_lost:
            answers.insert(0, leader_service.UNKNOWN_OUTCOME)
        answer = self.call(lambda replica: answers.pop(0), 3)
        if is_answer_lost:
            self.assertTrue(answer.unwrap_err().may_have_applied, name)
        else:
            self.assertEqual(answer.unwrap(), batch_messages.Refused(2.0), name)

    def test_answer_of_a_leader(self) -> None:
        self.assertEqual(self.call(self.commits, 3), result.Ok(TAKEN))
