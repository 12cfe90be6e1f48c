"""A replica that leads alone and commits at once, for tests of what a leader does."""

import attrs
import result

from bilberrydrum.state import machine, replica


@attrs.define
class Leadership:
    """A leadership of one term."""

    term: int = 1


class LoneLeader:
    """Applies what is proposed; its clock is that of the test."""

    def __init__(self, clock) -> None:
        self._clock = clock
        self._state = machine.State()
        self._index = 0
        self._watchers = []
        self._role_watchers = []
        self.held = Leadership()

    def leadership(self):
        return self.held

    def leader_hint(self):
        return replica.LeaderHint()

    def state(self):
        return self._state

    def watch(self, callback):
        self._watchers.append(callback)

    def watch_role(self, callback):
        self._role_watchers.append(callback)

    def is_elected(self):
        return self.held is not None

    def hold(self, term):
        """Be elected in another term."""
        self.held = Leadership(term)
        for each in self._role_watchers:
            each()

    def propose(self, command, timeout=5.0):
        self._index += 1
        context = machine.Context(self._index, self._clock.now)
        answer = machine.apply(command, self._state, context)
        for each in self._watchers:
            each(command, answer)
        return result.Ok(answer)


class Carrier:
    """Hands messages to their handlers and keeps the answers."""

    def __init__(self) -> None:
        self.handlers_by_class = {}
        self.answers = []

    def on(self, message_class, handler):
        self.handlers_by_class[message_class] = handler

    def answer(self, sender, answer):
        self.answers.append(answer)

    def send(self, address, message):
        pass
