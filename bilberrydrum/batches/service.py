"""The stores' leader: keeps batches, answers gateways, and has the items run."""

from collections.abc import Mapping
from typing import Any, Final

import attrs
import eliot
import eventlet
import eventlet.event
import eventlet.queue
import result

from bilberrydrum import clock, transport, upstream_protocol
from bilberrydrum.batches import commands, hooks, messages, model, runner, texts
from bilberrydrum.fleet import subscriber
from bilberrydrum.relay import crash_watch, relay
from bilberrydrum.requests import attempts
from bilberrydrum.state import fencing, leader_service, replica

# Time for a change to be committed before the caller is sent on to ask again.
COMMIT_SECONDS: Final = 2.0
# Result bytes in one page, so that its JSON stays below a megabyte even if some bytes
# are escaped.
MAX_PAGE_BYTES: Final = 600_000
# How often the leadership is looked at; its lease is checked before each sending.
_LOOK_SECONDS: Final = 0.1
# The same by a replica that was elected and waits for its lease: one round trip and one
# sync, in which no item runs.
_ELECTED_LOOK_SECONDS: Final = 0.01
# Pause after an unexpected error. The next runner breaks off what runs, and may hand
# over at once what fails once more.
_FAULT_PAUSE_SECONDS: Final = 1.0
# Pause before results that were refused are committed again. A full group refuses at
# once: without a pause no other task of this process would run any more, not even the
# one that learns that it leads no longer.
_COMMIT_AGAIN_SECONDS: Final = 0.05
# Results committed in one entry.
_MAX_RESULTS: Final = 64


@attrs.frozen
class _Advance:
    """How far an item is, to be committed while one runner runs only."""

    # Number of the runner that handed it over, in this process.
    runner_number: int
    command: commands.FinishItems


class BatchService:
    """The tasks beside one replica of the stores' group."""

    def __init__(
        self,
        replica_: replica.Replica,
        carrier: transport.Transport,
        view: subscriber.Subscriber,
        protocol: upstream_protocol.UpstreamProtocol,
        means: attempts.Means,
        passing_on: relay.Relay,
        crashes: crash_watch.CrashWatch,
        retention_seconds: float,
        orders_guard: fencing.FencingGuard,
    ) -> None:
        """Make the service; nothing runs before `start`.

        Parameters
        ----------
        passing_on : relay.Relay
            Sends scoring requests.
        crashes : crash_watch.CrashWatch
            Told of the items' runs that break off.
        retention_seconds : float
            How long an ended batch can be read, from its submission on.
        orders_guard : fencing.FencingGuard
            The right to give orders to engines.
        """
        self._replica = replica_
        self._carrier = carrier
        self._view = view
        self._protocol = protocol
        self._means = means
        self._relay = passing_on
        self._crashes = crashes
        self._retention_seconds = retention_seconds
        self._orders_guard = orders_guard
        self._service = leader_service.LeaderService(replica_, carrier)
        self._runner: runner.BatchRunner | None = None
        # How many runners there have been.
        self._n_runners = 0
        # The runner counts on results that were dropped.
        self._lacks_results = False
        self._term = 0
        self._news = eventlet.event.Event()
        self._role_changed = eventlet.event.Event()
        self._advanced: Any = eventlet.queue.Queue()
        self._tasks: list[Any] = []

    def start(self) -> None:
        """Start to answer, and to run items whenever this replica leads."""
        handlers: Mapping[type[Any], leader_service.Handler] = {
            messages.Submit: self._on_submit,
            messages.Read: self._on_read,
            messages.ReadBody: self._on_read_body,
            messages.AskEnd: self._on_ask_end,
        }
        for message_class, handler in handlers.items():
            self._service.serve(message_class, handler)
        self._replica.watch(self._on_applied)
        self._replica.watch_role(self._on_role)
        self._tasks = [
            eventlet.spawn(self._lead),
            eventlet.spawn(self._commit_advances),
        ]

    def stop(self) -> None:
        """Break off all runs."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()
        self._stop_runner()

    # Leadership

    def _lead(self) -> None:
        while True:
            try:
                self._follow_leadership()
            except Exception:
                # Were this task to end, this replica could lead without running items.
                eliot.write_traceback()
            self._wait_for_role()

    def _on_role(self) -> None:
        if not self._role_changed.ready():
            self._role_changed.send(None)

    def _wait_for_role(self) -> None:
        is_waiting = self._runner is None and self._replica.is_elected()
        seconds = _ELECTED_LOOK_SECONDS if is_waiting else _LOOK_SECONDS
        with eventlet.Timeout(seconds, False):
            self._role_changed.wait()
            self._role_changed = eventlet.event.Event()

    def _follow_leadership(self) -> None:
        held = self._replica.leadership()
        if held is None:
            self._stop_runner()
        elif self._runner is None or held.term != self._term or self._lacks_results:
            self._stop_runner()
            self._start_runner(held.term)

    def _start_runner(self, term: int) -> None:
        self._term = term
        self._lacks_results = False
        self._n_runners += 1
        number = self._n_runners

        def hand_over(batch_id: str, **fields: Any) -> None:
            command = commands.FinishItems(batch_id, **fields)
            self._advanced.put(_Advance(number, command))

        given = hooks.Hooks(
            finish=lambda batch_id, each: hand_over(batch_id, results=(each,)),
            keep_text=lambda batch_id, each: hand_over(batch_id, unscored=(each,)),
            score=lambda batch_id, item_id, score: hand_over(
                batch_id, scores=(commands.Score(item_id, score),)
            ),
            save=self._save,
            fencing_number=self._orders_guard.acquire_number,
            may_send=lambda: self._leads(term),
            holder=self._carrier.process_id,
        )
        started = runner.BatchRunner(
            self._protocol,
            self._view,
            self._means,
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
                # Kept, it would fail at each look, and no runner would take its place.
                # One whose stop was only broken off stays, to be stopped once more.
                self._runner = None
                raise
            self._runner = None

    def _leads(self, term: int) -> bool:
        held = self._replica.leadership()
        return held is not None and held.term == term

    def _section(self) -> commands.Section:
        return commands.section_of(self._replica.state())

    # Results

    def _commit_advances(self) -> None:
        while True:
            try:
                self._commit_next()
            except Exception:
                # Were this task to end, no result would be listed until another process
                # leads. The runner holds what is dropped here for finished; a new one
                # takes up what is kept.
                eliot.write_traceback()
                self._lacks_results = True
                self._on_role()
                clock.sleep(_FAULT_PAUSE_SECONDS)

    def _commit_next(self) -> None:
        """Wait for results, and commit those that are there by then."""
        advanced = [self._advanced.get()]
        while not self._advanced.empty() and len(advanced) < _MAX_RESULTS:
            advanced.append(self._advanced.get())
        # The term may change while one of them is proposed. A text of the earlier
        # one could replace a text that another leader has kept, and get its score.
        # The runner may change in one term, too, and makes again what waits here:
        # committed as one command, its text would get the earlier text's score.
        term, number = self._term, self._n_runners
        given = [each.command for each in advanced if each.runner_number == number]
        for command in commands.joined(given):
            self._commit(command, term)

    def _commit(self, command: commands.FinishItems, term: int) -> None:
        while self._leads(term):
            if self._replica.propose(command, COMMIT_SECONDS).is_ok():
                return
            clock.sleep(_COMMIT_AGAIN_SECONDS)
        # Who leads next runs or scores these items again. If the lease comes back
        # before anyone looks, this runner would go on, hold them for finished, and they
        # would never be listed; a new one takes up what is kept.
        if term == self._term:
            self._lacks_results = True
            self._on_role()
        eliot.log_message(
            message_type="batches:results-dropped",
            batch_id=command.batch_id,
            item_ids=command.finished_ids(),
            unscored_ids=[each.item_id for each in command.unscored],
            term=term,
        )

    def _save(self, batch_id: str, saves: tuple[texts.Save, ...]) -> None:
        # Lost, it is run again; nobody waits for it.
        eventlet.spawn_n(self._commit_saves, batch_id, saves)

    def _commit_saves(self, batch_id: str, saves: tuple[texts.Save, ...]) -> None:
        command = commands.SaveProgress(batch_id, tuple(e.progress for e in saves))
        saved = commands.ProgressSaved(0)
        try:
            proposed = self._replica.propose(command, COMMIT_SECONDS)
            if proposed.is_ok():
                saved = proposed.unwrap()
        finally:
            # Not told its end, a text would be kept no further.
            for each in saves:
                each.end(saved.kept_by(each.progress.item_id))

    def _on_applied(self, command: object, answer: Any) -> None:
        active = self._runner
        if isinstance(command, commands.AcceptBatch):
            kept = self._section().batches_by_id.get(command.batch_id)
            if active is not None and kept is not None and answer.is_new:
                active.accept(kept)
        elif isinstance(command, commands.FinishItems):
            kept = self._section().batches_by_id.get(command.batch_id)
            if active is not None and kept is not None:
                # A score whose text is not kept lists nothing; held for finished, the
                # item would never be.
                listed = kept.finished_ids() & set(command.finished_ids())
                active.finished(command.batch_id, sorted(listed))
            self._tell_news()
        elif isinstance(command, commands.EndBatch):
            if active is not None:
                active.end(command.batch_id)
            self._tell_news()

    def _tell_news(self) -> None:
        if not self._news.ready():
            self._news.send(None)
            self._news = eventlet.event.Event()

    # Gateways

    def _on_submit(self, sender: transport.Sender, message: messages.Submit) -> Any:
        if message.batch_id in self._section().batches_by_id:
            return messages.Submitted()
        command = commands.AcceptBatch(
            message.batch_id, message.n_items, message.data, self._retention_seconds
        )
        proposed = self._replica.propose(command, COMMIT_SECONDS)
        if isinstance(proposed, result.Ok):
            return messages.Submitted()
        # Called not done, it would be refused with the promise that it never runs.
        is_unclear = proposed.err_value.may_have_applied
        return leader_service.UNCLEAR if is_unclear else None

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
                self._news.wait()

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
    """Return as many results as fit into one page, at least one."""
    page: list[model.Result] = []
    n_bytes = 0
    for each in results:
        n_bytes += each.n_text_bytes
        if page and n_bytes > MAX_PAGE_BYTES:
            break
        page.append(each)
    return tuple(page)
