"""Send items to engines, and decide what becomes of them when an attempt ends."""

from collections.abc import Callable
from typing import Any

import attrs
import eliot
import eventlet

from bilberrydrum import clock, counters, reasons, upstream_protocol
from bilberrydrum.batches import engines, item_run, model, urgency, work
from bilberrydrum.fleet import subscriber
from bilberrydrum.requests import attempts

# A batch and an item of it.
Key = tuple[str, str]


@attrs.frozen
class Hooks:
    """What the runner needs of the process around it."""

    # Hand over an item's result, to be committed.
    finish: Callable[[str, model.Result], None]
    # Hand over unfinished texts, to be kept.
    save: Callable[[str, tuple[model.Progress, ...]], None]
    # The number for an order sent now; None: this process gives no orders.
    fencing_number: Callable[[], int | None]
    # Whether this process may still send items.
    may_send: Callable[[], bool]
    holder: str


class ItemSender:
    """The tasks of the items that run."""

    def __init__(
        self,
        means: attempts.Means,
        protocol: upstream_protocol.UpstreamProtocol,
        view: subscriber.Subscriber,
        hooks: Hooks,
        pace: urgency.Pace,
        wake: Callable[[], None],
    ) -> None:
        self._means = means
        self._protocol = protocol
        self._view = view
        self._hooks = hooks
        self._pace = pace
        # Called when a place at an engine has come free.
        self._wake = wake
        self._tasks_by_key: dict[Key, Any] = {}

    def send(
        self, opened: work.OpenBatch, run: work.ItemRun, engine: engines.Engine
    ) -> None:
        """Start an attempt at `engine`."""
        run.is_running = True
        run.engine_id = engine.upstream_id
        engine.begin(run)
        key = (opened.batch.batch_id, run.item.item_id)
        self._tasks_by_key[key] = eventlet.spawn(
            self._run_item, opened, run, engine, key
        )

    def cancel(self, key: Key) -> None:
        """Break off an item's attempt; what it has read stays with the item."""
        self._tasks_by_key[key].kill()

    def cancel_batch(self, batch_id: str) -> None:
        """Break off all attempts of a batch."""
        for key in [each for each in self._tasks_by_key if each[0] == batch_id]:
            self.cancel(key)

    def stop(self) -> None:
        """Break off all attempts."""
        for key in list(self._tasks_by_key):
            self.cancel(key)

    def give_up(self, opened: work.OpenBatch, run: work.ItemRun, why: str) -> None:
        """End an item without a text."""
        result = model.Result(run.item.item_id, model.ItemState.TERMINATED)
        self._finish(opened, run, result, why)

    def _run_item(
        self,
        opened: work.OpenBatch,
        run: work.ItemRun,
        engine: engines.Engine,
        key: Key,
    ) -> None:
        began = clock.now()
        n_before = len(run.text.parts)
        try:
            ended = self._attempt(opened, run, engine)
        finally:
            engine.end(run)
            run.is_running = False
            run.engine_id = ""
            self._tasks_by_key.pop(key, None)
            self._wake()
        seconds = clock.now() - began
        histogram = counters.ITEM_ATTEMPT_SECONDS.labels(ended.outcome.value)
        histogram.observe(seconds)
        eliot.log_message(
            message_type="batches:attempt",
            batch_id=key[0],
            item_id=key[1],
            upstream_id=engine.upstream_id,
            outcome=ended.outcome.value,
            detail=ended.detail,
            n_events=len(run.text.parts),
            versions=sorted(run.text.versions),
            seconds=round(seconds, 3),
        )
        if ended.outcome is item_run.Outcome.COMPLETED and not n_before:
            n_expected = run.n_expected_output_tokens()
            self._pace.note(n_expected, len(run.text.parts), seconds)
        self._settle(opened, run, engine, ended)

    def _attempt(
        self, opened: work.OpenBatch, run: work.ItemRun, engine: engines.Engine
    ) -> item_run.Ended:
        route = opened.route(self._view.routes)
        deadline = opened.give_up_at(route)
        bounds = opened.bounds(route)
        if not all(bounds.allow(each, item_run.Text()) for each in run.text.versions):
            run.text.clear()
        prepared = item_run.Run(
            run.item,
            opened.batch.host,
            run.text,
            bounds,
            deadline,
            lambda: self._find_refusal(opened, engine),
            engine.stall_seconds,
            lambda seconds: engine.note_pause(seconds, clock.now()),
        )
        return item_run.carry_out(
            self._means,
            self._protocol,
            engine.upstream,
            prepared,
            deadline - clock.now(),
        )

    def _find_refusal(
        self, opened: work.OpenBatch, engine: engines.Engine
    ) -> reasons.Reason | None:
        """Return why nothing must be sent, looked up right before the first byte."""
        if not self._hooks.may_send() or opened.is_ended:
            return reasons.Reason.ATTEMPT_SUPERSEDED
        return self._view.registry.find_refusal(engine.upstream_id)

    def _settle(
        self,
        opened: work.OpenBatch,
        run: work.ItemRun,
        engine: engines.Engine,
        ended: item_run.Ended,
    ) -> None:
        now = clock.now()
        outcome = ended.outcome
        if outcome is item_run.Outcome.COMPLETED:
            engine.succeeded()
            if ended.version is not None:
                # Not the text's versions: others may have made a part of it.
                engine.learn_version(opened.batch.model, ended.version)
            result = run.text.result(run.item.item_id)
            self._finish(opened, run, result, "completed")
            return
        counters.retried(reasons.Reason.UPSTREAM_ERROR)
        if outcome is item_run.Outcome.IMPOSSIBLE:
            self.give_up(opened, run, ended.detail)
            return
        run.exclude(engine.upstream_id, now)
        if outcome is item_run.Outcome.FAILED:
            self._failed(opened, run, ended)
        elif outcome is item_run.Outcome.NOT_RUN:
            engine.turned_away(now)
            run.not_before = now + work.REJECTED_PAUSE_SECONDS
        elif outcome is item_run.Outcome.WRONG_VERSION:
            if ended.version is not None:
                engine.correct_version(opened.batch.model, ended.version)
        else:
            engine.failed(now)

    def _failed(
        self, opened: work.OpenBatch, run: work.ItemRun, ended: item_run.Ended
    ) -> None:
        """Count a failure of the engine's own; the route allows so many."""
        run.n_failures += 1
        route = opened.route(self._view.routes)
        if route is not None and run.n_failures >= route.max_attempts:
            self.give_up(opened, run, ended.detail)

    def _finish(
        self,
        opened: work.OpenBatch,
        run: work.ItemRun,
        result: model.Result,
        why: str,
    ) -> None:
        run.is_done = True
        eliot.log_message(
            message_type="batches:item-ended",
            batch_id=opened.batch.batch_id,
            item_id=run.item.item_id,
            state=result.state.value,
            why=why,
            n_failures=run.n_failures,
            versions=result.versions,
        )
        self._hooks.finish(opened.batch.batch_id, result)
