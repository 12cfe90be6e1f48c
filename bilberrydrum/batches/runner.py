"""Run the items of all open batches, at the leader of the stores' group.

One process sends all items, so it knows what runs at each engine without asking, and a
result is committed by the process that read it. Runs and texts that are not finished
live in memory only: a new leader starts the unfinished items again. The decisions are
in `scheduling` and `engine_shares`; `loader` has engines load new weights.
"""

import functools
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final

import attrs
import eliot
import eventlet
import eventlet.event

from bilberrydrum import clock, quarantine, upstream_protocol
from bilberrydrum.batches import (
    demand,
    engine_shares,
    engines,
    hooks,
    item_sender,
    lifecycle,
    loader,
    model,
    scheduling,
    score_sender,
    urgency,
    work,
)
from bilberrydrum.fleet import policy, subscriber
from bilberrydrum.relay import crash_watch, relay
from bilberrydrum.requests import attempts

# Looks at the clock when nothing else happens: for items whose time is up and engines
# whose backoff has ended.
_TICK_SECONDS: Final = 0.25
# News that come together are looked at together.
_GATHER_SECONDS: Final = 0.01
# Time between two looks, as a multiple of what the last one took. Looks are due all the
# time where items are many; one right after the other, they leave the process no time
# to read the items' events, and what is sent is not served.
_REST_FACTOR: Final = 2.0
# Times that one item may be taken away from a slow engine.
_MAX_MOVES: Final = 3
# A new leader looks for groups that may come again in the batches of this many seconds:
# a trainer hands them in with its next step. Each batch takes milliseconds to decode.
_CARRY_SECONDS: Final = 20.0
# How often unfinished texts are kept, and the fewest new events of one that are worth
# it: an item of 140 events takes 5 s, and its group and trainer wait for it.
_PROGRESS_SECONDS: Final = 0.5
_PROGRESS_EVENTS: Final = 8
# Demand of a model counts the batches of this many seconds: several steps. A trainer
# whose step is late hands in nothing meanwhile. Counted over 8 s, two steps, it lost
# its engines to the others, and they had to be loaded again for its next step: of 17
# engines that loaded one model's version, 9 had been another's a second before.
_DEMAND_SECONDS: Final = 24.0


class BatchRunner:
    """The items that wait and run, while one process leads."""

    def __init__(
        self,
        protocol: upstream_protocol.UpstreamProtocol,
        view: subscriber.Subscriber,
        means: attempts.Means,
        given_hooks: hooks.Hooks,
        passing_on: relay.Relay,
        crashes: crash_watch.CrashWatch,
    ) -> None:
        self._view = view
        self._hooks = given_hooks
        self._engines = engines.Engines()
        self._work = work.Work()
        self._shares = engine_shares.Shares()
        self._demand = demand.Demand(_DEMAND_SECONDS)
        self._wake = eventlet.event.Event()
        self._pace = urgency.Pace()
        self._items = item_sender.ItemSender(
            means, protocol, view, given_hooks, self._pace, crashes, self.wake
        )
        self._scores = score_sender.ScoreSender(
            passing_on, view, given_hooks, self._pace, self.wake
        )
        duties = loader.Duties(
            given_hooks.holder,
            given_hooks.fencing_number,
            self._needs_single,
            self.wake,
        )
        self._loader = loader.Loader(means, protocol, self._engines, duties)
        self._task: Any = None
        self._is_watching = False
        self._progress_at = float("-inf")
        # Time that the last look took.
        self._look_seconds = 0.0

    # Life

    def start(self, kept: Iterable[model.KeptBatch]) -> None:
        """Take over the open batches among `kept` and start to run them."""
        self._view.watch(self.wake)
        self._is_watching = True
        for each in kept:
            self.accept(each)
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Break off all runs; may be asked for once more, as it may be broken off."""
        if self._is_watching:
            # Before anything lets other tasks run, among them one that breaks off this
            # stop and begins another: that would fail, and leave the runs going on.
            self._is_watching = False
            self._view.unwatch(self.wake)
        if self._task is not None:
            self._task.kill()
            self._task = None
        self._loader.stop()
        self._items.stop()
        self._scores.stop()

    def wake(self) -> None:
        """Look at once what can be sent."""
        if not self._wake.ready():
            self._wake.send(None)

    # Batches

    def accept(self, kept: model.KeptBatch) -> None:
        """Run a batch that is kept from now on."""
        age = max(time.time() - kept.submitted_at, 0.0)
        if kept.is_ended:
            if age <= _CARRY_SECONDS:
                self._work.remember(kept.decode(), kept)
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
        self._loader.note_step(batch.model, batch.min_version)
        self._demand.record(batch.model, opened.n_expected_output_tokens(), clock.now())
        for result in self._work.carried_results(opened, self._route_of(opened)):
            self._take_carried(opened, result)
        self.wake()

    def _take_carried(self, opened: work.OpenBatch, result: model.Result) -> None:
        run = opened.runs_by_item_id[result.item_id]
        if run.item.is_settled_by(result):
            self._hooks.finish(opened.batch.batch_id, result)
        else:
            self._hooks.keep_text(opened.batch.batch_id, result)

    def finished(self, batch_id: str, item_ids: Iterable[str]) -> None:
        """Note items whose results are committed."""
        self._work.finished(batch_id, item_ids)

    def end(self, batch_id: str) -> None:
        """Break off the runs of a batch that has ended."""
        # Closed first: breaking off a run lets other tasks run. In a batch that was
        # still open, the loop would send again what was just broken off, and nobody
        # would break that off.
        closed = self._work.close(batch_id)
        self._items.cancel_batch(batch_id)
        self._scores.cancel_batch(batch_id)
        if closed is not None:
            self._work.remember_closed(closed)
        self.wake()

    # The loop

    def _run(self) -> None:
        while True:
            with eventlet.Timeout(_TICK_SECONDS, False):
                self._wake.wait()
            clock.sleep(_pause_seconds(self._look_seconds))
            self._wake = eventlet.event.Event()
            self._look_seconds = 0.0
            if not self._hooks.may_send():
                continue
            began = clock.now()
            try:
                self._look()
            except Exception:
                # Were this task to end, no item would run until another leader.
                eliot.write_traceback()
            self._look_seconds = clock.now() - began

    def _look(self) -> None:
        now = clock.now()
        self._engines.refresh(
            self._view.registry.upstreams, self._view.routes.services_by_name
        )
        self._give_up_late(now)
        usable = self._engines.usable(now)
        self._divide(now)
        self._load_weights(usable, now)
        self._send_items(usable, now)
        self._scores.step(self._work.open_batches(), now)
        self._save_progress(now)

    def _save_progress(self, now: float) -> None:
        if now - self._progress_at < _PROGRESS_SECONDS:
            return
        self._progress_at = now
        for opened in self._work.open_batches():
            progress = opened.take_progress(_PROGRESS_EVENTS)
            if progress:
                self._hooks.save(opened.batch.batch_id, tuple(progress))

    def _give_up_late(self, now: float) -> None:
        for opened in self._work.open_batches():
            route = self._route_of(opened)
            if now < opened.give_up_at(route):
                continue
            for run in [*opened.waiting_runs(), *opened.unscored_runs()]:
                self._items.give_up(opened, run, "out of time")

    def _divide(self, now: float) -> None:
        models = self._engines.models()
        demand = self._demand.by_model(models, now)
        assignable = [each.upstream_id for each in self._engines.assignable(now)]
        self._shares = engine_shares.divide(assignable, demand, self._shares)

    def _load_weights(self, usable: Sequence[engines.Engine], now: float) -> None:
        waiting_models = {
            opened.batch.model
            for opened in self._work.open_batches()
            if any(True for _ in opened.waiting_runs())
        }
        versions_by_model = self._view.registry.versions_by_model
        self._loader.step(now, usable, versions_by_model, waiting_models, self._shares)

    def _send_items(self, usable: Sequence[engines.Engine], now: float) -> None:
        slow_ids = self._engines.slow_ids(now)
        items = self._sendable(now) + self._movable(slow_ids)
        if not items:
            return
        places = [each.capacity(self._shares, slow_ids) for each in usable]
        for assignment in scheduling.assign(
            items, places, now, self._work.count_running
        ):
            self._send(assignment)

    def _sendable(self, now: float) -> list[scheduling.WaitingItem]:
        """Return the items that wait for a place."""
        return self._waiting_items(
            (opened, run)
            for opened in self._work.open_batches()
            for run in opened.waiting_runs()
            if run.not_before <= now
        )

    def _movable(self, slow_ids: frozenset[str]) -> list[scheduling.WaitingItem]:
        """Return the items that run at slow engines and may go on elsewhere."""
        if not slow_ids:
            return []
        movable = self._waiting_items(
            (opened, run)
            for opened in self._work.open_batches()
            for run in opened.runs_by_item_id.values()
            if run.engine_id in slow_ids and run.n_moves < _MAX_MOVES
        )
        return [attrs.evolve(each, is_at_slow=True) for each in movable]

    def _waiting_items(
        self, pairs: Iterable[tuple[work.OpenBatch, lifecycle.ItemRun]]
    ) -> list[scheduling.WaitingItem]:
        # Asked for each item, before thousands of engines.
        served_by = functools.cache(self._engines.versions_of)
        found = [self._waiting_item(*each, served_by) for each in pairs]
        return [each for each in found if each is not None]

    def _waiting_item(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        served_by: Callable[[str], set[int]],
    ) -> scheduling.WaitingItem | None:
        route = self._route_of(opened)
        standing = self._items.standing(opened, run)
        if route is None or standing is quarantine.Standing.QUARANTINED:
            # It waits until it is given up: its caller is told nothing that is not so.
            return None
        served: set[int] = set()
        if route.is_single_version:
            served = served_by(opened.batch.model)
        is_doubtful = standing is quarantine.Standing.DOUBTFUL
        account = opened.batch.account
        return work.waiting_item(
            opened,
            run,
            route,
            self._pace,
            served,
            is_doubtful,
            clock.now(),
            self._view.routes.precedence_of(route, account),
        )

    def _take_away(
        self, assignment: scheduling.Assignment, run: lifecycle.ItemRun
    ) -> None:
        """Break off an item's run at a slow engine."""
        eliot.log_message(
            message_type="batches:moved",
            batch_id=assignment.key[0],
            item_id=assignment.key[1],
            slow_upstream_id=run.engine_id,
            upstream_id=assignment.engine_id,
            n_events=len(run.text.parts),
        )
        run.n_moves += 1
        run.exclude(run.engine_id, clock.now())
        self._items.cancel_for_move(assignment.key)

    def _needs_single(self, model_name: str) -> bool:
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
            self._take_away(assignment, run)
        # Taking away, of this item or of one before it, lets other tasks run: the item
        # or its batch may have ended since it was assigned, and would run once more.
        if opened.is_ended or run.stage is not lifecycle.Stage.WAITING:
            return
        self._items.send(opened, run, self._engines.by_id[assignment.engine_id])


def _pause_seconds(look_seconds: float) -> float:
    """Return the pause before the look after one that took `look_seconds`."""
    return min(max(_GATHER_SECONDS, _REST_FACTOR * look_seconds), _TICK_SECONDS)
