"""Run the items of all open batches, at the leader of the stores' group.

A single process sends all items, so it knows what runs at each engine without a query,
and commits each result that it reads. The state of running items exists in its memory
only. Unfinished texts are saved to the replicated state now and then, and a new leader
resumes the unfinished items from these saves. `scheduling` and `engine_divider` decide
which engine runs what; `loader` orders engines to load new weights.
"""

import collections
import contextlib
import functools
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final

import attrs
import eliot
import eventlet
import eventlet.event

from bilberrydrum import clock, counters, tasks, upstream_protocol
from bilberrydrum.batches import (
    backlog,
    engine_divider,
    engine_shares,
    engines,
    hooks,
    item_sender,
    lifecycle,
    loader,
    model,
    moves,
    scheduling,
    score_sender,
    urgency,
    work,
)
from bilberrydrum.fleet import policy, subscriber
from bilberrydrum.relay import crash_watch, relay
from bilberrydrum.requests import attempts

# Maximum time between two scheduling passes, in seconds. A pass without any other cause
# finds items whose time is up and engines whose backoff has ended.
_PASS_INTERVAL_SECONDS: Final = 0.25
# Delay before a pass, in seconds, so that changes that arrive together share one pass.
_COALESCE_SECONDS: Final = 0.01
# Pause before a pass, as a multiple of the duration of the last one. With many items, a
# pass is always due. Without a pause, consecutive passes would leave the process no
# time to read the events of the items that it has sent.
_PAUSE_FACTOR: Final = 2.0
# Minimum interval at which moves from constantly slower engines are considered, in
# seconds. A move saves more than this, and each consideration visits all items.
_MOVES_SECONDS: Final = 0.25
# A new leader remembers the incomplete groups of batches that were submitted at most
# this many seconds ago, because a trainer submits such groups again with its next step.
# The time is limited because each batch takes milliseconds to decode.
_REUSE_SECONDS: Final = 20.0
# Interval at which unfinished texts are saved, in seconds, and the minimum number of
# new events for a save. An item of 140 events takes 5 s, which its group and its
# trainer would have to wait again if it were not saved.
_PROGRESS_SECONDS: Final = 0.5
_PROGRESS_EVENTS: Final = 8


class BatchRunner:
    """The waiting and running items, during the leadership of one process."""

    def __init__(
        self,
        protocol: upstream_protocol.UpstreamProtocol,
        view: subscriber.Subscriber,
        resources: attempts.Resources,
        given_hooks: hooks.Hooks,
        relay_: relay.Relay,
        crashes: crash_watch.CrashWatch,
    ) -> None:
        self._view = view
        self._hooks = given_hooks
        self._engines = engines.Engines()
        self._work = work.OpenBatches()
        self._wake = eventlet.event.Event()
        self._pace = urgency.Pace()
        self._divider = engine_divider.EngineDivider(self._pace)
        self._shares = engine_shares.Shares()
        self._items = item_sender.ItemSender(
            resources, protocol, view, given_hooks, self._pace, crashes, self.wake
        )
        self._scores = score_sender.ScoreSender(
            relay_, view, given_hooks, self._pace, self.wake
        )
        loader_hooks = loader.LoaderHooks(
            given_hooks.holder,
            given_hooks.fencing_number,
            self._needs_single_version,
            self.wake,
        )
        self._loader = loader.Loader(resources, protocol, self._engines, loader_hooks)
        self._task: Any = None
        self._is_watching = False
        self._progress_at = float("-inf")
        self._moves_at = float("-inf")
        # Duration of the last scheduling pass, in seconds.
        self._pass_seconds = 0.0

    # Start and stop

    def start(self, kept: Iterable[model.KeptBatch]) -> None:
        """Start to run the open batches among `kept`."""
        self._view.watch(self.wake)
        self._is_watching = True
        for each in kept:
            self.accept(each)
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Cancel all runs; may be called again, since a call may be cancelled."""
        if self._is_watching:
            # This comes before any call that yields to other tasks. One of them may
            # cancel this stop and call `stop` again. The second call would fail on
            # removing the watcher twice and leave the runs active.
            self._is_watching = False
            self._view.unwatch(self.wake)
        if self._task is not None:
            self._task.kill()
            self._task = None
        self._loader.stop()
        self._items.stop()
        self._scores.stop()
        self._divider.stop()

    def wake(self) -> None:
        """Make a scheduling pass due without waiting for the maximum interval."""
        if not self._wake.ready():
            self._wake.send(None)

    # Batches

    def accept(self, kept: model.KeptBatch) -> None:
        """Run a batch that is stored, or remember it if it has ended."""
        age = max(time.time() - kept.submitted_at, 0.0)
        if kept.is_ended:
            if age <= _REUSE_SECONDS:
                ended = kept.decode()
                self._work.remember(ended, kept)
                with _errors_logged():
                    self._divider.record_submission(
                        ended, clock.now() - age, has_ended=True
                    )
            return
        opened = self._work.open(kept, clock.now() - age)
        batch = opened.batch
        eliot.log_message(
            message_type="batches:accepted",
            batch_id=batch.batch_id,
            step=batch.step,
            model=batch.model,
            min_version=batch.min_version,
            n_items=len(batch.items),
            n_finished=len(kept.results),
            age_seconds=round(age, 3),
        )
        self._loader.record_step(batch.model, batch.min_version)
        with _errors_logged():
            self._divider.record_submission(
                batch, opened.submitted_at, opened.spare_groups
            )
        for result in self._work.reusable_results(opened, self._route_of(opened)):
            self._submit_reusable(opened, result)
        self.wake()

    def has_queue(self) -> bool:
        """Return whether items wait for an engine."""
        return any(
            True for opened in self._work.open_batches() for _ in opened.waiting_runs()
        )

    def retry_after_seconds(self, batch: model.Batch) -> float:
        """Return after how many seconds there is room for a batch; 0: there is."""
        route = work.route_of(batch, self._view.routes)
        n_tokens = sum(each.n_likely_output_tokens() for each in batch.items)
        queued: collections.Counter[tuple[str, str]] = collections.Counter()
        for each in self._work.open_batches():
            owner = backlog.owner_of(each.batch.account, each.batch.model)
            queued[owner] += each.n_waiting_tokens()
        submission = backlog.Submission(
            backlog.owner_of(batch.account, batch.model),
            n_tokens,
            route.max_queue_seconds if route is not None else 0.0,
        )
        rate = self._pace.throughput.tokens_per_second()
        return backlog.retry_after_seconds(submission, queued, rate)

    def _submit_reusable(self, opened: work.OpenBatch, result: model.Result) -> None:
        run = opened.runs_by_item_id[result.item_id]
        if run.item.is_finished_by(result):
            self._hooks.finish(opened.batch.batch_id, result)
        else:
            self._hooks.keep_text(opened.batch.batch_id, result)

    def mark_finished(self, batch_id: str, item_ids: Iterable[str]) -> None:
        """Mark items whose results are committed as finished."""
        self._work.mark_finished(batch_id, item_ids)

    def end(self, batch_id: str) -> None:
        """Cancel the runs of a batch that has ended."""
        # The batch is closed first, because cancelling a run yields to other tasks. In
        # a batch that is still open, the scheduling loop would send the cancelled items
        # again, and nothing would cancel those runs.
        closed = self._work.close(batch_id)
        self._items.cancel_batch(batch_id)
        self._scores.cancel_batch(batch_id)
        if closed is not None:
            self._work.remember_closed(closed)
            with _errors_logged():
                self._divider.record_end(closed.batch, clock.now())
        self.wake()

    # The loop

    def _run(self) -> None:
        while True:
            with eventlet.Timeout(_PASS_INTERVAL_SECONDS, False):
                self._wake.wait()
            clock.sleep(_pause_seconds(self._pass_seconds))
            self._wake = eventlet.event.Event()
            self._pass_seconds = 0.0
            if not self._hooks.may_send():
                continue
            began = clock.now()
            # If this task ended, no item would run until the leader changes.
            with tasks.errors_recorded("batches-passes"):
                self._run_pass()
            self._pass_seconds = clock.now() - began

    def _run_pass(self) -> None:
        now = clock.now()
        self._engines.refresh(
            self._view.registry.upstreams, self._view.routes.services_by_name
        )
        self._give_up_late(now)
        usable = self._engines.usable(now)
        self._divide_engines(now)
        self._load_weights(usable, now)
        self._send_items(usable, now)
        self._scores.step(self._work.open_batches(), now)
        self._save_progress(now)

    def _save_progress(self, now: float) -> None:
        if now - self._progress_at < _PROGRESS_SECONDS:
            return
        self._progress_at = now
        for opened in self._work.open_batches():
            saves = opened.begin_saves(_PROGRESS_EVENTS)
            if saves:
                self._hooks.save(opened.batch.batch_id, tuple(saves))

    def _give_up_late(self, now: float) -> None:
        for opened in self._work.open_batches():
            route = self._route_of(opened)
            if now < opened.give_up_at(route):
                continue
            for run in [*opened.waiting_runs(), *opened.unscored_runs()]:
                self._items.give_up(opened, run, "out of time")

    def _divide_engines(self, now: float) -> None:
        versions_by_model = self._view.registry.versions_by_model
        with _errors_logged():
            self._shares = self._divider.step(self._engines, versions_by_model, now)

    def _load_weights(self, usable: Sequence[engines.Engine], now: float) -> None:
        waiting_models = {
            opened.batch.model
            for opened in self._work.open_batches()
            if any(True for _ in opened.waiting_runs())
        }
        self._pace.throughput.observe(bool(waiting_models), now)
        versions_by_model = self._view.registry.versions_by_model
        self._loader.step(now, usable, versions_by_model, waiting_models, self._shares)

    def _send_items(self, usable: Sequence[engines.Engine], now: float) -> None:
        slow_ids = self._engines.slow_ids(now)
        if not any(_may_have_free_slot(each) for each in usable):
            # Under load this is the usual case, and there are hundreds of items.
            return
        items = self._sendable(now) + self._movable(usable, slow_ids, now)
        if not items:
            return
        conditions = self._engines.conditions(
            now, slow_ids, self._pace.tokens_per_event
        )
        capacities = [each.capacity(self._shares, conditions) for each in usable]
        for assignment in scheduling.assign(
            items, capacities, now, self._work.count_running
        ):
            self._send(assignment)

    def _sendable(self, now: float) -> list[scheduling.WaitingItem]:
        """Return the items that wait for engine capacity."""
        return self._waiting_items(
            (opened, run)
            for opened in self._work.open_batches()
            for run in opened.waiting_runs()
            if run.not_before <= now
        )

    def _movable(
        self,
        usable: Sequence[engines.Engine],
        slow_ids: frozenset[str],
        now: float,
    ) -> list[scheduling.WaitingItem]:
        """Return the running items that may move to faster engines."""
        sources_by_id = {}
        if slow_ids or now - self._moves_at >= _MOVES_SECONDS:
            self._moves_at = now
            sources_by_id = self._engines.move_sources(usable, slow_ids)
        if not sources_by_id:
            return []
        found = work.movable_runs(self._work, sources_by_id, self._pace)
        found_by_key = {each.key: each for each in found}
        movable = self._waiting_items((each.opened, each.run) for each in found)
        return [
            attrs.evolve(
                each,
                is_running=True,
                max_event_seconds=found_by_key[each.key].max_event_seconds,
                may_try_unknown=found_by_key[each.key].source.is_slow,
            )
            for each in movable
        ]

    def _waiting_items(
        self, pairs: Iterable[tuple[work.OpenBatch, lifecycle.ItemRun]]
    ) -> list[scheduling.WaitingItem]:
        # Cached, since each call of `versions_of` visits all engines, of which there
        # may be thousands, and both are needed for each item.
        served_by = functools.cache(self._engines.versions_of)
        precedence_of = functools.cache(self._precedence_of)
        now = clock.now()
        found = []
        for opened, run in pairs:
            item = self._waiting_item(opened, run, served_by, precedence_of, now)
            if item is not None:
                found.append(item)
        return found

    def _waiting_item(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        served_by: Callable[[str], set[int]],
        precedence_of: Callable[[work.OpenBatch], policy.Precedence],
        now: float,
    ) -> scheduling.WaitingItem | None:
        route = opened.route(self._view.routes)
        if route is None:
            return None
        must_run_apart = self._items.must_run_apart(opened, run)
        # Only items that must run apart may have to wait.
        if must_run_apart and self._items.must_wait(opened, run):
            return None
        served: set[int] = set()
        if route.is_single_version:
            served = served_by(opened.batch.model)
        return work.waiting_item(
            opened,
            run,
            route,
            self._pace,
            served,
            must_run_apart,
            now,
            precedence_of(opened),
        )

    def _precedence_of(self, opened: work.OpenBatch) -> policy.Precedence:
        route = self._route_of(opened)
        assert route is not None
        return self._view.routes.precedence_of(route, opened.batch.account)

    def _cancel_for_move(
        self, assignment: scheduling.Assignment, run: lifecycle.ItemRun
    ) -> None:
        """Cancel an item's run at a slower engine, from which it is moved away."""
        gain = self._expected_gain(assignment, run)
        counters.ITEM_MOVES.inc()
        eliot.log_message(
            message_type="batches:moved",
            batch_id=assignment.key[0],
            item_id=assignment.key[1],
            slow_upstream_id=run.engine_id,
            upstream_id=assignment.engine_id,
            n_events=len(run.text.parts),
            gain_seconds=None if gain is None else round(gain, 3),
        )
        run.n_moves += 1
        run.exclude(run.engine_id, clock.now())
        self._items.cancel_for_move(assignment.key)

    def _expected_gain(
        self, assignment: scheduling.Assignment, run: lifecycle.ItemRun
    ) -> float | None:
        """Return the expected gain of a move in seconds; None if it is not known."""
        here = self._engines.by_id.get(run.engine_id)
        there = self._engines.by_id[assignment.engine_id].speed.known_seconds
        if here is None or not here.pace_seconds or not there:
            return None
        seconds = max(here.pace_seconds, here.speed.known_seconds)
        return moves.gain_seconds(work.n_events_left(run, self._pace), seconds, there)

    def _needs_single_version(self, model_name: str) -> bool:
        routes = [self._route_of(each) for each in self._work.of_model(model_name)]
        return any(route is not None and route.is_single_version for route in routes)

    def _route_of(self, opened: work.OpenBatch) -> policy.Route | None:
        return opened.route(self._view.routes)

    def _send(self, assignment: scheduling.Assignment) -> None:
        found = self._work.find(assignment.key)
        if found is None:
            return
        opened, run = found
        if run.engine_id:
            self._cancel_for_move(assignment, run)
        # Cancelling a run, of this item or of one before it, yields to other tasks. The
        # item or its batch may have ended since the assignment, and sending the item
        # would run it once more.
        if opened.is_ended or run.stage is not lifecycle.Stage.WAITING:
            return
        self._items.send(opened, run, self._engines.by_id[assignment.engine_id])


def _errors_logged() -> contextlib.AbstractContextManager[None]:
    """Log an unexpected error in the division of the engines, and continue after it.

    Items can still run without a division. The error would otherwise end the scheduling
    pass before any item is sent, or the task that applies the log, and with it the
    replica.
    """
    return tasks.errors_recorded("engine-division")


def _may_have_free_slot(engine: engines.Engine) -> bool:
    """Return False only if `engine` certainly takes no other item now."""
    n_slots = max(engine.upstream.n_slots, engines.PROBE_SLOTS)
    return engine.n_running < n_slots


def _pause_seconds(pass_seconds: float) -> float:
    """Return the pause before the next scheduling pass, in seconds.

    `pass_seconds` is the duration of the last pass.
    """
    return min(
        max(_COALESCE_SECONDS, _PAUSE_FACTOR * pass_seconds), _PASS_INTERVAL_SECONDS
    )
