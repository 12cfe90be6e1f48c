"""Answer calls while this replica leads; the calling side is in `leader_calls`."""

from collections.abc import Callable
from typing import Any, Final

import eliot
import eventlet

from bilberrydrum import transport
from bilberrydrum.state import leader_calls, messages, replica

# Returned by a handler when the call may have taken effect, but this replica cannot
# know whether it has.
UNKNOWN_OUTCOME: Final = object()
# Answers a message. None: the call had no effect here, and another replica may be able
# to answer it.
Handler = Callable[[transport.Sender, Any], Any]


class LeaderService:
    """Answers calls in the process of one replica."""

    def __init__(self, replica_: replica.Replica, carrier: transport.Transport) -> None:
        self._replica = replica_
        self._carrier = carrier

    def serve(self, message_class: type[Any], handler: Handler) -> None:
        """Answer messages of `message_class` with `handler` while this replica leads.

        Each call of the handler runs in a task of its own and may block.
        """

        def handle(sender: transport.Sender, message: Any) -> None:
            eventlet.spawn_n(self._answer, handler, sender, message)

        self._carrier.on(message_class, handle)

    def _answer(self, handler: Handler, sender: transport.Sender, message: Any) -> None:
        before = self._replica.leadership()
        answer = None
        if before is not None:
            try:
                answer = handler(sender, message)
            except Exception as error:
                eliot.write_traceback()
                answer = messages.Failed(f"{type(error).__name__}: {error}")
        # The lease is checked again after the handler has returned. If the process was
        # suspended in between, the answer may be out of date.
        after = self._replica.leadership()
        is_same = after is not None and before is not None and after.term == before.term
        if answer is None or answer is UNKNOWN_OUTCOME or not is_same:
            # The withheld answer may confirm a commit. If the caller were told that the
            # call had no effect, a batch would be refused with the guarantee that it
            # never runs, although it was accepted and will run.
            hint = self._replica.leader_hint()
            answer = leader_calls.NotLeading(
                hint.leader_address, hint.addresses, answer is not None
            )
        self._carrier.answer(sender, answer)
