"""The gateways' client of the state group.

The client numbers commands within a session, sends them to the leader, and retries
under the same numbers until an answer arrives or the caller's timeout expires. It finds
the leader by following redirects, first from the members in the settings and then from
those that the replicas name. It therefore still works when all members that it started
with have been replaced.
"""

import itertools
import uuid
from typing import Any, Final

import attrs
import eventlet
import eventlet.event
import result

from bilberrydrum import clock, codec, options, reasons, tasks, transport
from bilberrydrum.state import client, messages, targets

# Commands (or queries) whose number is at least this far above that of the oldest one
# without an answer are not sent yet.
WINDOW: Final = 512
# Most commands or queries in one message.
_MAX_BATCH: Final = 128
# Seconds without an answer after which a command or query is sent again. The delay
# doubles with each attempt, up to `_MAX_RESEND_SECONDS`.
_RESEND_SECONDS: Final = 0.25
_MAX_RESEND_SECONDS: Final = 2.0
# Seconds to wait before the next replica is tried if no leader is known.
_SEARCH_PAUSE_SECONDS: Final = 0.05
_TICK_SECONDS: Final = 0.05


@attrs.define
class _Pending:
    """A command or query without an answer yet."""

    number: int
    data: bytes
    done: eventlet.event.Event = attrs.field(factory=eventlet.event.Event)
    # Time at which it is to be sent, for the first time or again.
    due_at: float = float("-inf")
    # Number of attempts without an answer, which determines the delay before the next.
    n_attempts: int = 0
    # Number of times that it was sent and not refused: each may reach the log.
    n_sent: int = 0
    # The session that it was sent in; 0: none yet.
    session_id: int = 0


class RemoteStateClient:
    """Commands and queries to the state group, from any process."""

    def __init__(self, opts: options.Options, carrier: transport.Transport) -> None:
        self._carrier = carrier
        self._client_id = uuid.uuid4().hex
        members = [each.peer_address for each in opts.state.members]
        self._targets = targets.Targets(members or [opts.peer_address])
        self._next_search_at = float("-inf")
        self._session_id = 0
        self._session_requested_at = float("-inf")
        self._last_number = 0
        self._commands: dict[int, _Pending] = {}
        self._queries: dict[int, _Pending] = {}
        self._wake = eventlet.event.Event()
        self._last_reply_at = float("-inf")
        self._task: Any = None

    def start(self) -> None:
        """Start sending."""
        self._carrier.on(messages.Answers, self._on_answers)
        self._carrier.on(messages.Redirect, self._on_redirect)
        self._carrier.on(messages.SessionOpened, self._on_session_opened)
        self._carrier.on(messages.SessionLost, self._on_session_lost)
        self._task = eventlet.spawn(
            tasks.run_forever, "state-client", self._send_when_due
        )

    def stop(self) -> None:
        """Stop sending; pending commands and queries fail."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        for pending_by_number in (self._commands, self._queries):
            for pending in list(pending_by_number.values()):
                pending.done.send(None)
            pending_by_number.clear()

    def submit(
        self, command: object, timeout: float = 5.0
    ) -> result.Result[Any, client.StateError]:
        """Have `command` committed and return the answer of its apply function."""
        return self._wait(self._commands, command, timeout)

    def query(
        self, query: object, timeout: float = 5.0
    ) -> result.Result[Any, client.StateError]:
        """Answer `query` from a state that holds every command committed before."""
        return self._wait(self._queries, query, timeout)

    def _wait(
        self, pending_by_number: dict[int, _Pending], value: object, timeout: float
    ) -> result.Result[Any, client.StateError]:
        self._last_number += 1
        pending = _Pending(self._last_number, codec.encode(value))
        pending_by_number[pending.number] = pending
        self._wake_up()
        data = None
        try:
            with eventlet.Timeout(timeout, False):
                data = pending.done.wait()
        finally:
            pending_by_number.pop(pending.number, None)
        if data is None:
            return result.Err(
                client.StateError(reasons.Reason.STATE_UNAVAILABLE, pending.n_sent > 0)
            )
        try:
            answer = codec.decode(data)
        except codec.DecodeError as error:
            # The answer is of a newer release. The command has been applied.
            return result.Err(
                client.StateError(reasons.Reason.INTERNAL_ERROR, True, str(error))
            )
        if isinstance(answer, messages.Failed):
            return result.Err(
                client.StateError(reasons.Reason.INTERNAL_ERROR, True, answer.detail)
            )
        return result.Ok(answer)

    # Sending

    def _wake_up(self) -> None:
        if not self._wake.ready():
            self._wake.send(None)

    def _send_when_due(self) -> None:
        with eventlet.Timeout(_TICK_SECONDS, False):
            self._wake.wait()
        # Lets the other tasks that are ready run first, so that what they submit is
        # sent in the same message.
        eventlet.sleep(0)
        self._wake = eventlet.event.Event()
        self._send_due(clock.now())

    def _send_due(self, now: float) -> None:
        if now < self._next_search_at:
            return
        due_queries = self._due(self._queries, now)
        if due_queries:
            self._send_batches(due_queries, now, is_query=True)
        due_commands = self._due(self._commands, now)
        if not due_commands:
            return
        if not self._session_id:
            self._open_session(now)
            return
        self._send_batches(due_commands, now, is_query=False)

    def _due(
        self, pending_by_number: dict[int, _Pending], now: float
    ) -> list[_Pending]:
        if not pending_by_number:
            return []
        # The map is ordered by number. Numbers beyond the window wait, so that the
        # session never has to keep more answers than its limit.
        end = next(iter(pending_by_number)) + WINDOW
        due = []
        for number, pending in pending_by_number.items():
            if number >= end:
                break
            if pending.due_at <= now:
                due.append(pending)
        return due

    def _send_batches(self, due: list[_Pending], now: float, is_query: bool) -> None:
        if (
            any(each.n_attempts for each in due)
            and now - self._last_reply_at > _RESEND_SECONDS
        ):
            # Something was sent before and no reply has arrived since, so the replica
            # may be down.
            self._targets.skip_current(now)
        for pending in due:
            # A command that is sent again stays in its session, because only that
            # session records whether it was applied.
            pending.session_id = pending.session_id or self._session_id
        due.sort(key=lambda each: each.session_id)
        for session_id, group in itertools.groupby(due, lambda each: each.session_id):
            batch = list(group)
            for start in range(0, len(batch), _MAX_BATCH):
                part = batch[start : start + _MAX_BATCH]
                self._send_batch(part, session_id, now, is_query)

    def _send_batch(
        self, batch: list[_Pending], session_id: int, now: float, is_query: bool
    ) -> None:
        items = [messages.Item(each.number, each.data) for each in batch]
        message: object = messages.Ask(self._client_id, items)
        if not is_query:
            lowest = next(iter(self._commands))
            message = messages.Submit(self._client_id, session_id, lowest, items)
        is_sent = self._carrier.send(self._targets.current, message)
        for pending in batch:
            wait = min(_RESEND_SECONDS * 2**pending.n_attempts, _MAX_RESEND_SECONDS)
            pending.due_at = now + wait
            pending.n_attempts += 1
            pending.n_sent += is_sent

    def _open_session(self, now: float) -> None:
        if now - self._session_requested_at < _RESEND_SECONDS:
            return
        if self._session_requested_at > self._last_reply_at:
            self._targets.skip_current(now)
        self._session_requested_at = now
        self._carrier.send(self._targets.current, messages.OpenSession(self._client_id))

    # Receiving

    def _on_answers(self, sender: transport.Sender, answers: messages.Answers) -> None:
        if answers.client_id != self._client_id:
            # Meant for an earlier incarnation of this process, or another client in it.
            return
        self._record_reply(sender)
        pending_by_number = self._queries if answers.is_query else self._commands
        for item in answers.items:
            pending = pending_by_number.pop(item.number, None)
            if pending is not None:
                pending.done.send(item.data)

    def _on_redirect(
        self, sender: transport.Sender, redirect: messages.Redirect
    ) -> None:
        if redirect.client_id != self._client_id:
            return
        now = self._record_reply(sender)
        if sender.address == self._targets.current:
            self._targets.learn(redirect.addresses)
            if not self._targets.follow_redirect(now, redirect.leader_address):
                self._next_search_at = now + _SEARCH_PAUSE_SECONDS
        self._session_requested_at = float("-inf")
        pending_by_number = self._queries if redirect.is_query else self._commands
        for number in redirect.numbers:
            pending = pending_by_number.get(number)
            if pending is not None:
                # The replica has refused this copy, so it will never reach the log.
                pending.n_sent -= 1
                pending.n_attempts = 0
                pending.due_at = now
        self._wake_up()

    def _record_reply(self, sender: transport.Sender) -> float:
        self._last_reply_at = clock.now()
        self._targets.record_answer(sender.address)
        return self._last_reply_at

    def _on_session_opened(
        self, sender: transport.Sender, opened: messages.SessionOpened
    ) -> None:
        if opened.client_id == self._client_id and not self._session_id:
            self._record_reply(sender)
            self._session_id = opened.session_id
            self._wake_up()

    def _on_session_lost(
        self, sender: transport.Sender, lost: messages.SessionLost
    ) -> None:
        if lost.client_id != self._client_id:
            return
        now = self._record_reply(sender)
        if lost.session_id == self._session_id:
            self._session_id = 0
        for number in lost.numbers:
            pending = self._commands.get(number)
            if pending is None or pending.session_id != lost.session_id:
                continue
            if pending.n_sent > 1:
                # An earlier copy may have been applied in the lost session. A new
                # session has no record of it and would apply the command again.
                del self._commands[number]
                pending.done.send(None)
            else:
                pending.session_id = 0
                pending.due_at = now
        self._wake_up()
