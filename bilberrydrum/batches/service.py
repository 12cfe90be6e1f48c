"""The batch service of a store: stores batches, serves gateways and runs items.

Every replica of the stores' group has the service. Only the leader accepts batches,
answers gateways and runs items.
"""

from collections.abc import Mapping
from typing import Any, Final

import attrs
import eliot
import eventlet
import eventlet.event
import eventlet.queue
import result

from bilberrydrum import clock, counters, reasons, tasks, transport, upstream_protocol
from bilberrydrum.batches import (
    batch_memory,
    commands,
    hooks,
    messages,
    model,
    runner,
    texts,
)
from bilberrydrum.fleet import subscriber
from bilberrydrum.relay import crash_watch, relay
from bilberrydrum.requests import attempts
from bilberrydrum.state import fencing, leader_service, replica

# Memory for all batches where that of the process is not configured, in bytes.
DEFAULT_BATCH_BYTES: Final = 1024 * 1024 * 1024
# Timeout in seconds for the commit of a change, after which the caller has to retry.
COMMIT_SECONDS: Final = 2.0
# Maximum size of the results in one page, in bytes. It keeps the page's JSON below a
# megabyte even if some bytes are escaped.
MAX_PAGE_BYTES: Final = 600_000
# Interval at which this replica's leadership is checked, in seconds. Its lease is also
# checked before each request to an engine.
_ROLE_CHECK_SECONDS: Final = 0.1
# The same at a replica that was elected and waits for its lease. That takes one round
# trip and one sync, during which no item runs.
_ELECTED_CHECK_SECONDS: Final = 0.01
# Pause after an unexpected error, in seconds. The error leads to a new runner, which
# cancels all runs and may at once queue an update that fails in the same way.
_ERROR_PAUSE_SECONDS: Final = 1.0
# Pause before a refused commit of results is retried, in seconds. A group with a full
# queue refuses immediately. Without a pause, the retries would keep all other tasks of
# this process from running, also the one that detects the loss of leadership.
_COMMIT_RETRY_SECONDS: Final = 0.05
# Maximum number of updates that are committed together.
_MAX_RESULTS: Final = 64


@attrs.frozen
class _ItemUpdate:
    """An update of an item, valid only while the runner that queued it is active."""

    # Number of the runner that queued it, counted in this process.
    runner_number: int
    command: commands.FinishItems


class BatchService:
    """Stores batches and, while its replica leads, runs their items."""

    def __init__(
        self,
        replica_: replica.Replica,
        carrier: transport.Transport,
        view: subscriber.Subscriber,
        protocol: upstream_protocol.UpstreamProtocol,
        resources: attempts.Resources,
        relay_: relay.Relay,
        crashes: crash_watch.CrashWatch,
        retention_seconds: float,
        orders_guard: fencing.FencingGuard,
        max_batch_bytes: int = DEFAULT_BATCH_BYTES,
    ) -> None:
        """Create the service; no task runs before `start`.

        Parameters
        ----------
        relay_ : relay.Relay
            Sends scoring requests.
        crashes : crash_watch.CrashWatch
            Records runs that were cut off, and classifies items by their crashes.
        retention_seconds : float
            Time in seconds for which a batch that has ended can be read, counted from
            its submission.
        orders_guard : fencing.FencingGuard
            The right to send orders to engines.
        max_batch_bytes : int
            Memory for all batches that are kept.
        """
        self._memory = batch_memory.BatchMemory(max_batch_bytes)
        self._replica = replica_
        self._carrier = carrier
        self._view = view
        self._protocol = protocol
        self._resources = resources
        self._relay = relay_
        self._crashes = crashes
        self._retention_seconds = retention_seconds
        self._orders_guard = orders_guard
        self._service = leader_service.LeaderService(replica_, carrier)
        self._runner: runner.BatchRunner | None = None
        # Number of runners started so far.
        self._n_runners = 0
        # Whether updates were dropped that the active runner treats as committed.
        self._has_dropped_results = False
        # Batches that were proposed in this term and may still be committed.
        self._proposed_ids: set[str] = set()
        self._term = 0
        self._results_changed = eventlet.event.Event()
        self._role_changed = eventlet.event.Event()
        self._updates: Any = eventlet.queue.Queue()
        self._tasks: list[Any] = []

    def start(self) -> None:
        """Start to serve gateways, and to run items whenever this replica leads."""
        handlers: Mapping[type[Any], leader_service.Handler] = {
            messages.AskRoom: self._on_ask_room,
            messages.Submit: self._on_submit,
            messages.Read: self._on_read,
            messages.ReadBody: self._on_read_body,
            messages.AskEnd: self._on_ask_end,
        }
        for message_class, handler in handlers.items():
            self._service.serve(message_class, handler)
        self._replica.watch(self._on_applied)
        self._replica.watch_role(self._on_role_change)
        self._tasks = [
            eventlet.spawn(self._lead),
            eventlet.spawn(self._commit_updates),
        ]

    def stop(self) -> None:
        """Stop all tasks and cancel all runs."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()
        self._stop_runner()

    # Leadership

    def _lead(self) -> None:
        while True:
            # If this task ended, this replica could lead without running items.
            with tasks.errors_recorded("batches-leadership"):
                self._follow_leadership()
            self._wait_for_role()

    def _on_role_change(self) -> None:
        if not self._role_changed.ready():
            self._role_changed.send(None)

    def _wait_for_role(self) -> None:
        is_waiting = self._runner is None and self._replica.is_elected()
        seconds = _ELECTED_CHECK_SECONDS if is_waiting else _ROLE_CHECK_SECONDS
        with eventlet.Timeout(seconds, False):
            self._role_changed.wait()
            self._role_changed = eventlet.event.Event()

    def _follow_leadership(self) -> None:
        held = self._replica.leadership()
        if held is None:
            self._stop_runner()
        elif (
            self._runner is None or held.term != self._term or self._has_dropped_results
        ):
            self._stop_runner()
            self._start_runner(held.term)

    def _start_runner(self, term: int) -> None:
        if term != self._term:
            # Earlier proposals are committed by now, or lost.
            self._proposed_ids.clear()
        self._term = term
        self._has_dropped_results = False
        self._n_runners += 1
        number = self._n_runners

        def enqueue(batch_id: str, **fields: Any) -> None:
            command = commands.FinishItems(batch_id, **fields)
            self._updates.put(_ItemUpdate(number, command))

        given = hooks.Hooks(
            finish=lambda batch_id, each: enqueue(batch_id, results=(each,)),
            keep_text=lambda batch_id, each: enqueue(batch_id, unscored=(each,)),
            score=lambda batch_id, item_id, score: enqueue(
                batch_id, scores=(commands.Score(item_id, score),)
            ),
            save=self._save,
            fencing_number=self._orders_guard.acquire_number,
            may_send=lambda: self._is_leading(term),
            holder=self._carrier.process_id,
        )
        started = runner.BatchRunner(
            self._protocol,
            self._view,
            self._resources,
            given,
            self._relay,
            self._crashes,
        )
        kept = self._section().batches_by_id.values()
        eliot.log_message(message_type="batches:leads", term=term, n_batches=len(kept))
        self._runner = started
        started.start(list(kept))

    def _stop_runner(self) -> None:
        if self._runner is not None:
            eliot.log_message(message_type="batches:stops-leading", term=self._term)
            try:
                self._runner.stop()
            except Exception:
                # If the runner were kept, its stop would fail at each check, and no new
                # runner would start. A runner whose stop was merely cancelled is kept,
                # so that it is stopped again.
                self._runner = None
                raise
            self._runner = None

    def _is_leading(self, term: int) -> bool:
        held = self._replica.leadership()
        return held is not None and held.term == term

    def _section(self) -> commands.Section:
        return commands.section_of(self._replica.state())

    # Results

    def _commit_updates(self) -> None:
        while True:
            try:
                self._commit_next()
            except tasks.UNEXPECTED_ERRORS:
                # If this task ended, no result would be listed until another process
                # leads. The runner treats the updates dropped here as committed, so it
                # is replaced by one that starts from the stored state.
                tasks.record_error("batches-commits")
                self._has_dropped_results = True
                self._on_role_change()
                clock.sleep(_ERROR_PAUSE_SECONDS)

    def _commit_next(self) -> None:
        """Wait for an update, and commit all that are queued, up to the maximum."""
        updates = [self._updates.get()]
        while not self._updates.empty() and len(updates) < _MAX_RESULTS:
            updates.append(self._updates.get())
        # The term may change during a proposal. An update of the earlier term could
        # then replace a text that another leader has stored, and get that text's score.
        # The runner may also change within a term, and then generates the queued texts
        # again. If both runners' updates were committed as one command, the new
        # runner's text would get the score of the earlier text.
        term, number = self._term, self._n_runners
        given = [each.command for each in updates if each.runner_number == number]
        for command in commands.merge_by_batch(given):
            self._commit(command, term)

    def _commit(self, command: commands.FinishItems, term: int) -> None:
        while self._is_leading(term):
            if self._replica.propose(command, COMMIT_SECONDS).is_ok():
                return
            clock.sleep(_COMMIT_RETRY_SECONDS)
        # The next leader runs or scores these items again. If this process regains the
        # lease before the loss is noticed, the same runner would continue and treat the
        # items as finished, and they would never be listed. So a new runner is started,
        # which starts from the stored state.
        if term == self._term:
            self._has_dropped_results = True
            self._on_role_change()
        eliot.log_message(
            message_type="batches:results-dropped",
            batch_id=command.batch_id,
            item_ids=command.finished_ids(),
            unscored_ids=[each.item_id for each in command.unscored],
            term=term,
        )

    def _save(self, batch_id: str, saves: tuple[texts.Save, ...]) -> None:
        # Nothing waits for the commit: the events of a lost save are saved again, or
        # generated again under another leader.
        eventlet.spawn_n(self._commit_saves, batch_id, saves)

    def _commit_saves(self, batch_id: str, saves: tuple[texts.Save, ...]) -> None:
        command = commands.SaveProgress(batch_id, tuple(e.progress for e in saves))
        saved = commands.ProgressSaved(0)
        try:
            proposed = self._replica.propose(command, COMMIT_SECONDS)
            if proposed.is_ok():
                saved = proposed.unwrap()
        finally:
            # A text begins no further save before its last one has ended.
            for each in saves:
                each.end(saved.saved_index(each.progress.item_id))

    def _on_applied(self, command: object, answer: Any) -> None:
        active = self._runner
        if isinstance(command, commands.AcceptBatch):
            kept = self._section().batches_by_id.get(command.batch_id)
            if active is not None and kept is not None and answer.is_new:
                active.accept(kept)
        elif isinstance(command, commands.FinishItems):
            kept = self._section().batches_by_id.get(command.batch_id)
            if active is not None and kept is not None:
                # A score whose text is not stored lists no result. If its item were
                # marked as finished, the item would never be listed.
                listed = kept.finished_ids() & set(command.finished_ids())
                active.mark_finished(command.batch_id, sorted(listed))
            self._notify_readers()
        elif isinstance(command, commands.EndBatch):
            if active is not None:
                active.end(command.batch_id)
            self._notify_readers()

    def _notify_readers(self) -> None:
        if not self._results_changed.ready():
            self._results_changed.send(None)
            self._results_changed = eventlet.event.Event()

    # Gateways

    def _on_submit(self, sender: transport.Sender, message: messages.Submit) -> Any:
        if message.batch_id in self._section().batches_by_id:
            return messages.Submitted()
        refused = self._find_refusal(message)
        if refused is not None:
            self._memory.record_end(message.batch_id)
            return refused
        try:
            return self._store(message)
        finally:
            self._memory.record_end(message.batch_id)

    def _on_ask_room(self, sender: transport.Sender, message: messages.AskRoom) -> Any:
        is_stored = message.batch_id in self._section().batches_by_id
        if is_stored or message.batch_id in self._proposed_ids:
            # It may run, so that a refusal would be a false promise.
            return messages.Room()
        size = batch_memory.Size(message.n_packed_bytes, message.n_item_bytes)
        return self._refuse_full(message.batch_id, size) or messages.Room()

    def _refuse_full(
        self, batch_id: str, size: batch_memory.Size
    ) -> messages.Refused | None:
        kept = self._section().batches_by_id.values()
        seconds = self._memory.retry_after(batch_id, size, kept, clock.now())
        return self._refuse(batch_id, seconds) if seconds else None

    def _store(self, message: messages.Submit) -> Any:
        command = commands.AcceptBatch(
            message.batch_id, message.n_items, message.data, self._retention_seconds
        )
        self._proposed_ids.add(message.batch_id)
        proposed = self._replica.propose(command, COMMIT_SECONDS)
        if isinstance(proposed, result.Ok):
            self._proposed_ids.discard(message.batch_id)
            return messages.Submitted()
        # The batch may still be committed. If the answer said that it was not, the
        # gateway would refuse the batch with the promise that it never runs.
        is_unclear = proposed.err_value.may_have_applied
        if not is_unclear:
            self._proposed_ids.discard(message.batch_id)
        return leader_service.UNKNOWN_OUTCOME if is_unclear else None

    def _find_refusal(self, message: messages.Submit) -> messages.Refused | None:
        """Return the refusal of a batch that is not stored; None: it is accepted."""
        active = self._runner
        if active is None or not message.accepts_refusal:
            return None
        if message.batch_id in self._proposed_ids:
            # An earlier message with this batch may still be committed. A refusal would
            # promise that the batch does not run.
            return None
        size = batch_memory.Size.of(message.data)
        refused = self._refuse_full(message.batch_id, size)
        if refused is not None or not active.has_queue():
            return refused
        seconds = active.retry_after_seconds(model.unpack_batch(message.data))
        return self._refuse(message.batch_id, seconds) if seconds else None

    def _refuse(self, batch_id: str, seconds: float) -> messages.Refused:
        counters.refused(reasons.Reason.BATCH_QUEUE_FULL)
        eliot.log_message(
            message_type="batches:refused",
            batch_id=batch_id,
            retry_after_seconds=round(seconds, 3),
        )
        return messages.Refused(seconds)

    def _on_read(self, sender: transport.Sender, message: messages.Read) -> Any:
        deadline = clock.now() + message.wait_seconds
        while True:
            kept = self._section().batches_by_id.get(message.batch_id)
            if kept is None:
                return messages.Page(False)
            results = _page(kept.results[max(message.position, 0) :])
            remaining = deadline - clock.now()
            if results or kept.is_ended or remaining <= 0:
                return messages.Page(True, kept.n_items, results)
            with eventlet.Timeout(remaining, False):
                self._results_changed.wait()

    def _on_read_body(
        self, sender: transport.Sender, message: messages.ReadBody
    ) -> Any:
        kept = self._section().batches_by_id.get(message.batch_id)
        if kept is None or kept.is_ended:
            return messages.Body(False)
        if message.item_id in kept.finished_ids():
            return messages.Body(False)
        for item in kept.decode().items:
            if item.item_id == message.item_id:
                return messages.Body(True, item.body)
        return messages.Body(False)

    def _on_ask_end(self, sender: transport.Sender, message: messages.AskEnd) -> Any:
        kept = self._section().batches_by_id.get(message.batch_id)
        if kept is None:
            return messages.EndTaken(False)
        if not kept.is_ended:
            command = commands.EndBatch(message.batch_id)
            if not self._replica.propose(command, COMMIT_SECONDS).is_ok():
                return None
            eliot.log_message(
                message_type="batches:ended",
                batch_id=message.batch_id,
                n_results=len(kept.results),
                n_items=kept.n_items,
            )
        return messages.EndTaken(True)


def _page(results: list[model.Result]) -> tuple[model.Result, ...]:
    """Return the results that fit into one page, at least one if there is any."""
    page: list[model.Result] = []
    n_bytes = 0
    for each in results:
        n_bytes += each.n_text_bytes
        if page and n_bytes > MAX_PAGE_BYTES:
            break
        page.append(each)
    return tuple(page)
