"""Send items to engines, and handle the result of each attempt."""

import functools
from collections.abc import Callable
from typing import Final

import eliot

from bilberrydrum import (
    clock,
    counters,
    reasons,
    tasks,
    upstream_protocol,
)
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

# Detail of an attempt that was cancelled before its task was scheduled.
_NOT_STARTED: Final = "not-begun"
# Pause before an item is sent again after an unexpected error, in seconds.
_ERROR_PAUSE_SECONDS: Final = 0.5


class ItemSender:
    """Runs one task for each item that is being generated."""

    def __init__(
        self,
        resources: attempts.Resources,
        protocol: upstream_protocol.UpstreamProtocol,
        view: subscriber.Subscriber,
        given_hooks: hooks.Hooks,
        pace: urgency.Pace,
        crashes: crash_watch.CrashWatch,
        wake: Callable[[], None],
    ) -> None:
        self._resources = resources
        self._protocol = protocol
        self._view = view
        self._hooks = given_hooks
        self._pace = pace
        self._crashes = crashes
        # Called when a run slot at an engine has become free.
        self._wake = wake
        self._tasks = item_tasks.ItemTasks()

    def must_run_apart(self, opened: work.OpenBatch, run: lifecycle.ItemRun) -> bool:
        """Return whether an item must not run where another such item does."""
        return self._crashes.must_run_apart(lambda: self._fingerprint(opened, run))

    def must_wait(self, opened: work.OpenBatch, run: lifecycle.ItemRun) -> bool:
        """Return whether an item must not run yet, because engines are crashing."""
        return self._crashes.must_wait(lambda: self._fingerprint(opened, run))

    def send(
        self, opened: work.OpenBatch, run: lifecycle.ItemRun, engine: engines.Engine
    ) -> None:
        """Start an attempt of an item at `engine`."""
        run.is_suspected = self.must_run_apart(opened, run)
        run.begin_generating(engine.upstream_id)
        engine.add_run(run)
        key = (opened.batch.batch_id, run.item.item_id)
        run_item = functools.partial(self._run_item, opened, run, engine, key)
        on_cancel = functools.partial(
            self._cancelled_before_start, opened, run, engine, key
        )
        self._tasks.start(
            key, functools.partial(_run_guarded, run, run_item), on_cancel
        )

    def cancel_for_move(self, key: item_tasks.Key) -> None:
        """Cancel an item's attempt so that it can resume elsewhere; keep its text."""
        self._tasks.cancel(key, item_tasks.CancelReason.MOVED)

    def cancel_batch(self, batch_id: str) -> None:
        """Cancel all attempts of a batch."""
        self._tasks.cancel_batch(batch_id)

    def stop(self) -> None:
        """Cancel all attempts."""
        self._tasks.cancel_all()

    def give_up(self, opened: work.OpenBatch, run: lifecycle.ItemRun, why: str) -> None:
        """Finish an item as terminated, without a text."""
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
            attempt_result = self._attempt(opened, run, engine)
        finally:
            self._release(run, engine, key)
        seconds = clock.now() - began
        histogram = counters.ITEM_ATTEMPT_SECONDS.labels(attempt_result.outcome.value)
        histogram.observe(seconds)
        _log_attempt(opened, run, engine, attempt_result, seconds)
        if attempt_result.outcome is item_run.Outcome.COMPLETED:
            n_expected = run.n_expected_output_tokens()
            self._pace.throughput.record_finished(n_expected)
            if not n_before:
                self._pace.record(n_expected, len(run.text.parts), seconds)
        self._apply_result(opened, run, engine, attempt_result)
        self._update_crash_history(opened, run, engine, attempt_result, seconds)

    def _update_crash_history(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        engine: engines.Engine,
        attempt_result: item_run.AttemptResult,
        seconds: float,
    ) -> None:
        """Report a crash during the attempt, and clear the item after a healthy run."""
        is_complete = attempt_result.outcome is item_run.Outcome.COMPLETED
        if is_complete or run.was_healthy():
            self._crashes.record_answer(lambda: self._fingerprint(opened, run))
        if attempt_result.is_cut_off:
            broken = crash_watch.BrokenRun(
                run.item.item_id,
                self._fingerprint(opened, run),
                crash_watch.subject_of("POST", opened.batch.host, run.item.target),
                engine.upstream,
                seconds,
                was_healthy=run.was_healthy(),
            )
            self._crashes.record_broken_run(broken)

    def _fingerprint(self, opened: work.OpenBatch, run: lifecycle.ItemRun) -> str:
        """Return a digest that is the same each time the same work is requested."""
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

    def _cancelled_before_start(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        engine: engines.Engine,
        key: item_tasks.Key,
    ) -> None:
        attempt_result = item_run.AttemptResult(
            item_run.Outcome.CANCELLED, _NOT_STARTED
        )
        _log_attempt(opened, run, engine, attempt_result, 0.0)
        self._release(run, engine, key)

    def _release(
        self, run: lifecycle.ItemRun, engine: engines.Engine, key: item_tasks.Key
    ) -> None:
        engine.remove_run(run)
        run.end_generating()
        self._tasks.remove(key)
        self._wake()

    def _attempt(
        self, opened: work.OpenBatch, run: lifecycle.ItemRun, engine: engines.Engine
    ) -> item_run.AttemptResult:
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
            functools.partial(self._record_pause, opened, run, engine),
            lambda factor: engine.record_work_factor(factor, clock.now()),
            account=opened.batch.account,
            priority=self._rank(opened, route),
        )
        began = clock.now()
        try:
            return item_run.carry_out(
                self._resources,
                self._protocol,
                engine.upstream,
                prepared,
                deadline - began,
            )
        except item_tasks.Cancelled as cancelled:
            why = cancelled.why.value
            attempt_result = item_run.AttemptResult(
                item_run.Outcome.CANCELLED, why, reading=prepared.reading
            )
            _log_attempt(opened, run, engine, attempt_result, clock.now() - began)
            raise

    def _record_pause(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        engine: engines.Engine,
        seconds: float,
    ) -> None:
        run.record_pause(seconds)
        engine.record_pause(seconds, clock.now())
        if run.is_suspected and run.was_healthy():
            # If the item stayed suspected until its end, the others that must run apart
            # would wait for it, for seconds each.
            engine.clear_suspicion(run)
            self._crashes.record_answer(lambda: self._fingerprint(opened, run))
            self._wake()

    def _rank(self, opened: work.OpenBatch, route: policy.Route | None) -> int | None:
        account = opened.batch.account
        if not account or route is None:
            return None
        return self._view.routes.precedence_of(route, account).engine_rank()

    def _find_refusal(
        self, opened: work.OpenBatch, run: lifecycle.ItemRun, engine: engines.Engine
    ) -> reasons.Reason | None:
        """Return why the item must not be sent; called right before the first byte."""
        if not self._hooks.may_send() or opened.is_ended:
            return reasons.Reason.ATTEMPT_SUPERSEDED
        return self._view.registry.find_refusal(engine.upstream_id)

    def _apply_result(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        engine: engines.Engine,
        attempt_result: item_run.AttemptResult,
    ) -> None:
        now = clock.now()
        outcome = attempt_result.outcome
        if outcome is item_run.Outcome.COMPLETED:
            engine.record_success()
            if attempt_result.version is not None:
                # The version of this attempt's last event, not the text's versions:
                # other engines may have generated parts of the text.
                engine.learn_version(opened.batch.model, attempt_result.version)
            self._completed(opened, run)
            return
        if outcome is item_run.Outcome.UNCONFIRMED:
            # The item is waiting again and is resent at once.
            engine.record_success()
            return
        counters.retried(reasons.Reason.UPSTREAM_ERROR)
        if outcome is item_run.Outcome.IMPOSSIBLE:
            self.give_up(opened, run, attempt_result.detail)
            return
        run.exclude(engine.upstream_id, now)
        if outcome is item_run.Outcome.FAILED:
            self._failed(opened, run, attempt_result)
        elif outcome is item_run.Outcome.NOT_RUN:
            engine.record_rejection(now)
            run.not_before = now + work.REJECTED_PAUSE_SECONDS
        elif outcome is item_run.Outcome.WRONG_VERSION:
            if attempt_result.version is not None:
                engine.correct_version(opened.batch.model, attempt_result.version)
        elif outcome is item_run.Outcome.MISDIRECTED:
            engine.record_misdirection(now)
        else:
            engine.record_failure(now)

    def _completed(self, opened: work.OpenBatch, run: lifecycle.ItemRun) -> None:
        result = run.text.result(run.item.item_id)
        if run.item.scoring is None:
            self._finish(opened, run, result, "completed")
            return
        run.set_complete_text(result)
        self._hooks.keep_text(opened.batch.batch_id, result)

    def _failed(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        attempt_result: item_run.AttemptResult,
    ) -> None:
        """Count an error answer; give the item up at the route's `max_attempts`."""
        run.n_failures += 1
        route = opened.route(self._view.routes)
        if route is not None and run.n_failures >= route.max_attempts:
            self.give_up(opened, run, attempt_result.detail)

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


def _run_guarded(run: lifecycle.ItemRun, run_item: Callable[[], None]) -> None:
    try:
        run_item()
    except tasks.UNEXPECTED_ERRORS:
        tasks.record_error("item-attempt")
        # Otherwise the item would be sent again at once, in a tight loop.
        run.not_before = clock.now() + _ERROR_PAUSE_SECONDS


def _log_attempt(
    opened: work.OpenBatch,
    run: lifecycle.ItemRun,
    engine: engines.Engine,
    attempt_result: item_run.AttemptResult,
    seconds: float,
) -> None:
    eliot.log_message(
        message_type="batches:attempt",
        batch_id=opened.batch.batch_id,
        item_id=run.item.item_id,
        group=run.group_key[1],
        is_spare=run.group_key in opened.spare_groups,
        upstream_id=engine.upstream_id,
        outcome=attempt_result.outcome.value,
        detail=attempt_result.detail,
        asked_after=attempt_result.reading.asked_after,
        first_number=attempt_result.reading.first_number,
        last_number=attempt_result.reading.last_number,
        framing=attempt_result.reading.framing or "",
        n_events=len(run.text.parts),
        versions=sorted(run.text.versions),
        seconds=round(seconds, 3),
    )
