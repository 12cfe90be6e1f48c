"""Send items to engines, and decide what becomes of them when an attempt ends."""

import functools
from collections.abc import Callable
from typing import Final

import eliot

from bilberrydrum import clock, counters, quarantine, reasons, upstream_protocol
from bilberrydrum.batches import (
    engines,
    hooks,
    item_run,
    item_tasks,
    lifecycle,
    model,
    texts,
    urgency,
    work,
)
from bilberrydrum.fleet import policy, subscriber
from bilberrydrum.relay import crash_watch
from bilberrydrum.requests import attempts, fingerprints

# Detail of an attempt that was broken off before its first turn.
_NOT_BEGUN: Final = "not-begun"


class ItemSender:
    """The tasks of the items that run."""

    def __init__(
        self,
        means: attempts.Means,
        protocol: upstream_protocol.UpstreamProtocol,
        view: subscriber.Subscriber,
        given_hooks: hooks.Hooks,
        pace: urgency.Pace,
        crashes: crash_watch.CrashWatch,
        wake: Callable[[], None],
    ) -> None:
        self._means = means
        self._protocol = protocol
        self._view = view
        self._hooks = given_hooks
        self._pace = pace
        self._crashes = crashes
        # Called when a place at an engine has come free.
        self._wake = wake
        self._tasks = item_tasks.ItemTasks()

    def standing(
        self, opened: work.OpenBatch, run: lifecycle.ItemRun
    ) -> quarantine.Standing:
        """Return whether an item is held to end engines."""
        return self._crashes.standing(lambda: self._fingerprint(opened, run))

    def send(
        self, opened: work.OpenBatch, run: lifecycle.ItemRun, engine: engines.Engine
    ) -> None:
        """Start an attempt at `engine`."""
        run.is_suspected = bool(self.standing(opened, run))
        run.begin_generating(engine.upstream_id)
        engine.begin(run)
        key = (opened.batch.batch_id, run.item.item_id)
        run_item = functools.partial(self._run_item, opened, run, engine, key)
        not_begun = functools.partial(self._not_begun, opened, run, engine, key)
        self._tasks.start(key, run_item, not_begun)

    def take_away(self, key: item_tasks.Key) -> None:
        """Break off an item's attempt; what it has read stays with the item."""
        self._tasks.cancel(key, item_tasks.BreakOff.MOVED)

    def cancel_batch(self, batch_id: str) -> None:
        """Break off all attempts of a batch."""
        self._tasks.cancel_batch(batch_id)

    def stop(self) -> None:
        """Break off all attempts."""
        self._tasks.cancel_all()

    def give_up(self, opened: work.OpenBatch, run: lifecycle.ItemRun, why: str) -> None:
        """End an item without a text."""
        result = model.Result(run.item.item_id, model.ItemState.TERMINATED)
        self._finish(opened, run, result, why)

    def _run_item(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        engine: engines.Engine,
        key: item_tasks.Key,
    ) -> None:
        began = clock.now()
        n_before = len(run.text.parts)
        try:
            ended = self._attempt(opened, run, engine)
        finally:
            self._ended(run, engine, key)
        seconds = clock.now() - began
        histogram = counters.ITEM_ATTEMPT_SECONDS.labels(ended.outcome.value)
        histogram.observe(seconds)
        _log_attempt(opened, run, engine, ended, seconds)
        if ended.outcome is item_run.Outcome.COMPLETED and not n_before:
            n_expected = run.n_expected_output_tokens()
            self._pace.record(n_expected, len(run.text.parts), seconds)
        self._settle(opened, run, engine, ended)
        self._tell_crashes(opened, run, engine, ended, seconds)

    def _tell_crashes(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        engine: engines.Engine,
        ended: item_run.Ended,
        seconds: float,
    ) -> None:
        """Hold a crash against the item, or clear it."""
        is_whole = ended.outcome is item_run.Outcome.COMPLETED
        if is_whole or run.has_survived():
            self._crashes.was_answered(lambda: self._fingerprint(opened, run))
        if ended.is_cut_off:
            broken = crash_watch.BrokenRun(
                run.item.item_id,
                self._fingerprint(opened, run),
                crash_watch.subject_of("POST", opened.batch.host, run.item.target),
                engine.upstream,
                seconds,
                was_well=run.has_survived(),
            )
            self._crashes.run_broke(broken)

    def _fingerprint(self, opened: work.OpenBatch, run: lifecycle.ItemRun) -> str:
        """Return what is the same whenever the item's work is asked for."""
        item = run.item
        if not run.fingerprint:
            identity = self._protocol.identity_of(item.headers)
            run.fingerprint = fingerprints.of_request(
                "POST",
                opened.batch.host,
                item.target,
                identity,
                item.body,
                opened.batch.account or "",
            )
        return run.fingerprint

    def _not_begun(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        engine: engines.Engine,
        key: item_tasks.Key,
    ) -> None:
        ended = item_run.Ended(item_run.Outcome.BROKEN_OFF, _NOT_BEGUN)
        _log_attempt(opened, run, engine, ended, 0.0)
        self._ended(run, engine, key)

    def _ended(
        self, run: lifecycle.ItemRun, engine: engines.Engine, key: item_tasks.Key
    ) -> None:
        engine.end(run)
        run.end_generating()
        self._tasks.ended(key)
        self._wake()

    def _attempt(
        self, opened: work.OpenBatch, run: lifecycle.ItemRun, engine: engines.Engine
    ) -> item_run.Ended:
        route = opened.route(self._view.routes)
        deadline = opened.give_up_at(route)
        bounds = opened.bounds(route)
        if not all(bounds.allow(each, texts.Text()) for each in run.text.versions):
            run.text.clear()
        prepared = item_run.Run(
            run.item,
            opened.batch.host,
            run.text,
            bounds,
            deadline,
            lambda: self._find_refusal(opened, run, engine),
            engine.stall_seconds,
            functools.partial(_note_pause, run, engine),
            account=opened.batch.account,
            priority=self._rank(opened, route),
        )
        began = clock.now()
        try:
            return item_run.carry_out(
                self._means, self._protocol, engine.upstream, prepared, deadline - began
            )
        except item_tasks.BrokenOff as broken_off:
            why = broken_off.why.value
            ended = item_run.Ended(
                item_run.Outcome.BROKEN_OFF, why, reading=prepared.reading
            )
            _log_attempt(opened, run, engine, ended, clock.now() - began)
            raise

    def _rank(self, opened: work.OpenBatch, route: policy.Route | None) -> int | None:
        account = opened.batch.account
        if not account or route is None:
            return None
        return self._view.routes.precedence_of(route, account).engine_rank()

    def _find_refusal(
        self, opened: work.OpenBatch, run: lifecycle.ItemRun, engine: engines.Engine
    ) -> reasons.Reason | None:
        """Return why nothing must be sent, looked up right before the first byte."""
        if not self._hooks.may_send() or opened.is_ended:
            return reasons.Reason.ATTEMPT_SUPERSEDED
        if self.standing(opened, run) is quarantine.Standing.QUARANTINED:
            return reasons.Reason.REQUEST_QUARANTINED
        return self._view.registry.find_refusal(engine.upstream_id)

    def _settle(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
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
            self._completed(opened, run)
            return
        if outcome is item_run.Outcome.UNCONFIRMED:
            # It waits, and is sent again at once.
            engine.succeeded()
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

    def _completed(self, opened: work.OpenBatch, run: lifecycle.ItemRun) -> None:
        result = run.text.result(run.item.item_id)
        if run.item.scoring is None:
            self._finish(opened, run, result, "completed")
            return
        run.set_complete_text(result)
        self._hooks.keep_text(opened.batch.batch_id, result)

    def _failed(
        self, opened: work.OpenBatch, run: lifecycle.ItemRun, ended: item_run.Ended
    ) -> None:
        """Count a failure of the engine's own; the route allows so many."""
        run.n_failures += 1
        route = opened.route(self._view.routes)
        if route is not None and run.n_failures >= route.max_attempts:
            self.give_up(opened, run, ended.detail)

    def _finish(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        result: model.Result,
        why: str,
    ) -> None:
        run.finish()
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


def _log_attempt(
    opened: work.OpenBatch,
    run: lifecycle.ItemRun,
    engine: engines.Engine,
    ended: item_run.Ended,
    seconds: float,
) -> None:
    eliot.log_message(
        message_type="batches:attempt",
        batch_id=opened.batch.batch_id,
        item_id=run.item.item_id,
        upstream_id=engine.upstream_id,
        outcome=ended.outcome.value,
        detail=ended.detail,
        asked_after=ended.reading.asked_after,
        first_number=ended.reading.first_number,
        last_number=ended.reading.last_number,
        framing=ended.reading.framing,
        n_events=len(run.text.parts),
        versions=sorted(run.text.versions),
        seconds=round(seconds, 3),
    )


def _note_pause(run: lifecycle.ItemRun, engine: engines.Engine, seconds: float) -> None:
    run.record_pause(seconds)
    engine.note_pause(seconds, clock.now())
