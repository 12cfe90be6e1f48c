"""Answer calls while this replica leads; the calling side is in `leader_calls`."""

from collections.abc import Callable
from typing import Any, Final

import eliot
import eventlet

from bilberrydrum import transport
from bilberrydrum.state import leader_calls, messages, replica

# A handler's answer: the call may have its effect, but this replica cannot tell.
UNCLEAR: Final = object()
# Answers a message; None: this replica cannot tell, another may; it has done nothing.
Handler = Callable[[transport.Sender, Any], Any]


class LeaderService:
    """The serving side, beside one replica."""

    def __init__(self, replica_: replica.Replica, carrier: transport.Transport) -> None:
        self._replica = replica_
        self._carrier = carrier

    def serve(self, message_class: type[Any], handler: Handler) -> None:
        """Answer messages of `message_class` with `handler` while this replica leads.

        The handler runs in a task of its own and may wait.
        """

        def take(sender: transport.Sender, message: Any) -> None:
            eventlet.spawn_n(self._answer, handler, sender, message)

        self._carrier.on(message_class, take)

    def _answer(self, handler: Handler, sender: transport.Sender, message: Any) -> None:
        before = self._replica.leadership()
        answer = None
        if before is not None:
            try:
                answer = handler(sender, message)
            except Exception as error:
                eliot.write_traceback()
                answer = messages.Failed(f"{type(error).__name__}: {error}")
        # The lease is looked at again once the answer is made: a process that was
        # stopped in between would answer from the past.
        after = self._replica.leadership()
        is_same = after is not None and before is not None and after.term == before.term
        if answer is None or answer is UNCLEAR or not is_same:
            # What is withheld may be the word of a commit. Called not done, a batch
            # would be refused with the promise that it never runs, and run.
            hint = self._replica.leader_hint()
            answer = leader_calls.NotLeading(
                hint.leader_address, hint.addresses, answer is not None
            )
        self._carrier.answer(sender, answer)
