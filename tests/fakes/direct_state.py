"""A state group of one replica, as Replica and StateClient."""

from typing import Any

import result

from bilberrydrum import codec, interfaces, reasons
from bilberrydrum.state import client, machine


class DirectState:
    """Applies commands to a `machine.State` at once, and leads by default."""

    def __init__(self, state: machine.State | None = None) -> None:
        self.machine_state = machine.State() if state is None else state
        self.leads_since: float | None = 0.0
        self.term = 1
        self.index = 0
        # Wall clock time of the commands.
        self.time = 0.0
        self.is_reachable = True
        # Number of commands whose answer is lost after they were applied.
        self.n_answers_to_lose = 0
        self.commands: list[object] = []
        self._watchers: list[Any] = []

    def leadership(self) -> interfaces.Leadership | None:
        if self.leads_since is None:
            return None
        return interfaces.Leadership(self.term, self.leads_since)

    def state(self) -> machine.State:
        return self.machine_state

    def watch(self, callback: Any) -> None:
        self._watchers.append(callback)

    def apply(self, command: object) -> Any:
        # Encoded and decoded, as in the log.
        command = codec.decode(codec.encode(command))
        self.index += 1
        context = machine.Context(self.index, self.time)
        answer = machine.apply(command, self.machine_state, context)
        self.commands.append(command)
        for callback in self._watchers:
            callback(command, answer)
        return codec.decode(codec.encode(answer))

    def propose(
        self, command: object, timeout: float = 5.0
    ) -> result.Result[Any, client.StateError]:
        if not self.is_reachable:
            return result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE))
        answer = self.apply(command)
        if self.n_answers_to_lose:
            self.n_answers_to_lose -= 1
            return result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE))
        return result.Ok(answer)

    submit = propose

    def query(
        self, query: object, timeout: float = 5.0
    ) -> result.Result[Any, client.StateError]:
        if not self.is_reachable:
            error = client.StateError(reasons.Reason.STATE_UNAVAILABLE, False)
            return result.Err(error)
        answer = machine.answer(query, self.machine_state, self.time)
        return result.Ok(codec.decode(codec.encode(answer)))
