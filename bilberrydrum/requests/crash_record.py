"""Storage of the daemon's crash history.

With a state group, the group stores the history for all gateways. Grants of the
bundle's lease carry the index of the history, and a gateway whose copy is older reads
it. Without a state group, as in tests of a single gateway, the gateway stores the
history itself.
"""

import abc
import functools
import time
from collections.abc import Callable
from typing import Any, Final, Protocol

import eliot
import eventlet
import result

from bilberrydrum import clock, interfaces, quarantine, tasks
from bilberrydrum.fleet import crash_commands, messages
from bilberrydrum.state import client, machine

# Interval between checks whether the record has changed, in seconds. Grants arrive
# twice a second.
_POLL_SECONDS: Final = 0.1
# Timeout of calls to the state group, in seconds.
_CALL_SECONDS: Final = 2.0


class CrashRecord(Protocol):
    """A crash history as `relay.crash_watch` and operators use it."""

    crashes: quarantine.CrashHistory
    crashes_index: int

    def start(self) -> None:
        """Start to follow the record."""

    def stop(self) -> None:
        """Stop following the record."""

    def watch(self, callback: Callable[[], None]) -> None:
        """Call `callback()` after each change; it must not block."""

    def unwatch(self, callback: Callable[[], None]) -> None:
        """Stop calling `callback`."""

    def call(self, message: object, timeout: float) -> result.Result[Any, Any]:
        """Apply a report to the history."""

    def lift(self, fingerprint: str) -> None:
        """Drop the crash history of one call on behalf of an operator."""


class _WatchedRecord(abc.ABC):
    """Base of both records: a copy of the history, and callbacks on its changes."""

    def __init__(self) -> None:
        self.crashes = quarantine.CrashHistory()
        self.crashes_index = 0
        self._watchers: list[Callable[[], None]] = []

    def watch(self, callback: Callable[[], None]) -> None:
        """Call `callback()` after each change; it must not block."""
        self._watchers.append(callback)

    def unwatch(self, callback: Callable[[], None]) -> None:
        """Stop calling `callback`."""
        self._watchers.remove(callback)

    def call(self, message: object, timeout: float) -> result.Result[Any, Any]:
        """Apply a report to the history."""
        return self._call(message)

    @functools.singledispatchmethod
    def _call(self, message: Any) -> result.Result[Any, Any]:
        raise TypeError(f"no answer to {type(message).__name__}")

    @_call.register
    def _report(self, message: messages.ReportCrashes) -> result.Result[Any, Any]:
        # Each gateway of the daemon keeps only its own calls apart.
        command = crash_commands.RecordCrashes(
            message.reports, message.cleared, are_kept_apart=False
        )
        return self._commit(command).map(
            lambda applied: messages.CrashesRecorded(self.crashes_index)
        )

    def lift(self, fingerprint: str) -> None:
        """Drop the crash history of one call on behalf of an operator."""
        self._commit(crash_commands.RecordCrashes(cleared=(fingerprint,)))
        eliot.log_message(message_type="crashes:lifted", fingerprint=fingerprint)

    @abc.abstractmethod
    def _commit(self, command: object) -> result.Result[Any, Any]:
        """Apply a command, and update the copy of the history."""

    def _apply_section(self, section: crash_commands.Section) -> None:
        if section.index <= self.crashes_index:
            return
        self.crashes = section.book
        self.crashes_index = section.index
        for callback in self._watchers:
            callback()


class LocalRecord(_WatchedRecord):
    """A record that one gateway stores itself."""

    def __init__(self) -> None:
        super().__init__()
        self._state = machine.State()
        self._n_commands = 0

    def start(self) -> None:
        """Do nothing: a local record is always up to date."""

    def stop(self) -> None:
        """Do nothing: a local record is always up to date."""

    def _commit(self, command: object) -> result.Result[Any, Any]:
        self._n_commands += 1
        context = machine.Context(self._n_commands, time.time())
        answer = machine.apply(command, self._state, context)
        self._apply_section(crash_commands.section_of(self._state))
        return result.Ok(answer)


class GroupRecord(_WatchedRecord):
    """The record that the state group stores for all gateways."""

    def __init__(
        self, state: client.StateClient, bundles: interfaces.BundleView
    ) -> None:
        super().__init__()
        self._state = state
        self._bundles = bundles
        self._task: Any = None

    def start(self) -> None:
        """Start to follow the record."""
        self._task = eventlet.spawn(
            tasks.run_forever, "crash-record", self._follow_record
        )

    def stop(self) -> None:
        """Stop following the record."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def _follow_record(self) -> None:
        clock.sleep(_POLL_SECONDS)
        if self._bundles.crashes_index() > self.crashes_index:
            self._read()
        if self.crashes.is_due(time.time()):
            self._commit(crash_commands.ExpireCrashes())

    def _commit(self, command: object) -> result.Result[Any, Any]:
        answer = self._state.submit(command, _CALL_SECONDS)
        if answer.is_ok():
            self._read()
        return answer

    def _read(self) -> None:
        answer = self._state.query(crash_commands.ReadCrashes(), _CALL_SECONDS)
        if isinstance(answer, result.Ok):
            self._apply_section(answer.ok_value)
