"""A replica that is always the leader and commits at once, for tests of leaders."""

import attrs
import result

from bilberrydrum.state import machine, replica


@attrs.define
class Leadership:
    """The leadership of one term."""

    term: int = 1


class LoneLeader:
    """Applies each proposed command at once, at the time of the test's clock."""

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

    def elect(self, term):
        """Become the leader of another term."""
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
    """Records the handlers of messages and the answers."""

    def __init__(self) -> None:
        self.handlers_by_class = {}
        self.answers = []

    def on(self, message_class, handler):
        self.handlers_by_class[message_class] = handler

    def answer(self, sender, answer):
        self.answers.append(answer)

    def send(self, address, message):
        pass
