"""Where a gateway of the daemon keeps what it holds against calls.

With a state group, the group keeps it for all gateways: grants of the bundle's lease
tell how far the record is, and a gateway that is behind reads it. Without one, as in
tests of a single gateway, it is the gateway's own.
"""

import abc
import functools
import time
from collections.abc import Callable
from typing import Any, Final, Protocol

import eliot
import eventlet
import result

from bilberrydrum import clock, interfaces, quarantine
from bilberrydrum.fleet import crash_commands, messages
from bilberrydrum.state import client, machine

# How often it is looked whether the record has changed; grants come twice a second.
_LOOK_SECONDS: Final = 0.1
# Time for the state group to answer.
_CALL_SECONDS: Final = 2.0


class CrashRecord(Protocol):
    """What `relay.crash_watch` asks of its surroundings, and what operators do."""

    crashes: quarantine.Book
    crashes_index: int

    def start(self) -> None:
        """Start to follow the record."""

    def stop(self) -> None:
        """Stop to follow it."""

    def watch(self, callback: Callable[[], None]) -> None:
        """Call `callback()` after each change; it must not block."""

    def unwatch(self, callback: Callable[[], None]) -> None:
        """Call `callback` no more."""

    def call(self, message: object, timeout: float) -> result.Result[Any, Any]:
        """Take a report."""

    def lift(self, fingerprint: str) -> None:
        """Forget what is held against one call, as an operator wishes."""


class _Followed(abc.ABC):
    """What is common to both records."""

    def __init__(self) -> None:
        self.crashes = quarantine.Book()
        self.crashes_index = 0
        self._watchers: list[Callable[[], None]] = []

    def watch(self, callback: Callable[[], None]) -> None:
        """Call `callback()` after each change; it must not block."""
        self._watchers.append(callback)

    def unwatch(self, callback: Callable[[], None]) -> None:
        """Call `callback` no more."""
        self._watchers.remove(callback)

    def call(self, message: object, timeout: float) -> result.Result[Any, Any]:
        """Take a report."""
        return self._call(message)

    @functools.singledispatchmethod
    def _call(self, message: Any) -> result.Result[Any, Any]:
        raise TypeError(f"no answer to {type(message).__name__}")

    @_call.register
    def _report(self, message: messages.ReportCrashes) -> result.Result[Any, Any]:
        command = crash_commands.NoteCrashes(message.reports, message.cleared)
        return self._commit(command).map(
            lambda noted: messages.CrashesRecorded(self.crashes_index)
        )

    def lift(self, fingerprint: str) -> None:
        """Forget what is held against one call, as an operator wishes."""
        self._commit(crash_commands.NoteCrashes(cleared=(fingerprint,)))
        eliot.log_message(message_type="crashes:lifted", fingerprint=fingerprint)

    @abc.abstractmethod
    def _commit(self, command: object) -> result.Result[Any, Any]:
        """Have a command applied, and take what came of it."""

    def _take(self, section: crash_commands.Section) -> None:
        if section.index <= self.crashes_index:
            return
        self.crashes = section.book
        self.crashes_index = section.index
        for callback in self._watchers:
            callback()


class OwnRecord(_Followed):
    """The record of one gateway by itself."""

    def __init__(self) -> None:
        super().__init__()
        self._state = machine.State()
        self._n_commands = 0

    def start(self) -> None:
        """There is nothing to follow."""

    def stop(self) -> None:
        """There is nothing to follow."""

    def _commit(self, command: object) -> result.Result[Any, Any]:
        self._n_commands += 1
        context = machine.Context(self._n_commands, time.time())
        answer = machine.apply(command, self._state, context)
        self._take(crash_commands.section_of(self._state))
        return result.Ok(answer)


class GroupRecord(_Followed):
    """The record that the state group keeps for all gateways."""

    def __init__(
        self, state: client.StateClient, bundles: interfaces.BundleView
    ) -> None:
        super().__init__()
        self._state = state
        self._bundles = bundles
        self._task: Any = None

    def start(self) -> None:
        """Start to follow the record."""
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop to follow it."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def _run(self) -> None:
        while True:
            clock.sleep(_LOOK_SECONDS)
            if self._bundles.crashes_index() > self.crashes_index:
                self._read()
            if self.crashes.is_due(time.time()):
                self._commit(crash_commands.LapseCrashes())

    def _commit(self, command: object) -> result.Result[Any, Any]:
        answer = self._state.submit(command, _CALL_SECONDS)
        if answer.is_ok():
            self._read()
        return answer

    def _read(self) -> None:
        answer = self._state.query(crash_commands.ReadCrashes(), _CALL_SECONDS)
        if isinstance(answer, result.Ok):
            self._take(answer.ok_value)
