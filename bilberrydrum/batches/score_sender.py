"""Send scoring requests for complete texts and handle the scores.

A scoring request is relayed like any other request: its host and path select the route,
`relay` chooses the upstream and retries at another one after a failure.
"""

import collections
import functools
from collections.abc import Callable

import attrs
import eliot

from bilberrydrum import clock, counters, reasons, tasks
from bilberrydrum.batches import (
    hooks,
    item_tasks,
    lifecycle,
    model,
    scoring,
    urgency,
    work,
)
from bilberrydrum.fleet import policy, subscriber
from bilberrydrum.relay import model as relay_model
from bilberrydrum.relay import relay


class ScoreSender:
    """Runs one task for each item that is being scored."""

    def __init__(
        self,
        request_relay: relay.Relay,
        view: subscriber.Subscriber,
        given_hooks: hooks.Hooks,
        pace: urgency.Pace,
        wake: Callable[[], None],
    ) -> None:
        self._relay = request_relay
        self._view = view
        self._hooks = given_hooks
        self._pace = pace
        # Called when another scoring request may be sent.
        self._wake = wake
        self._tasks = item_tasks.ItemTasks()
        self._n_by_route: collections.Counter[str] = collections.Counter()

    def step(self, batches: list[work.OpenBatch], now: float) -> None:
        """Send the scoring requests that are due."""
        waiting: dict[str, list[scoring.Unscored]] = collections.defaultdict(list)
        routes_by_name: dict[str, policy.Route] = {}
        runs_by_key = {}
        for opened in batches:
            for run in opened.unscored_runs():
                route = self._route_of(run, now)
                if route is None:
                    continue
                unscored = opened.unscored(run, opened.route(self._view.routes))
                routes_by_name[route.name] = route
                waiting[route.name].append(unscored)
                runs_by_key[unscored.key] = (opened, run)
        for name, candidates in waiting.items():
            route = routes_by_name[name]
            n_free = self._n_slots(route) - self._n_by_route[name]
            for each in scoring.choose(candidates, n_free):
                self._send(*runs_by_key[each.key], route)

    def _route_of(self, run: lifecycle.ItemRun, now: float) -> policy.Route | None:
        """Return the route of an item's scoring request if it may be sent now."""
        request = run.item.scoring
        if request is None or now < run.not_before:
            return None
        path = request.target.partition("?")[0]
        route = self._view.routes.find(request.host, path)
        if route is None:
            run.not_before = now + scoring.LONG_PAUSE_SECONDS
            eliot.log_message(
                message_type="batches:no-scoring-route",
                item_id=run.item.item_id,
                request_id=request.request_id,
                host=request.host,
                path=path,
                policy_version=self._view.routes.policy.version,
            )
        return route

    def _n_slots(self, route: policy.Route) -> int:
        return scoring.max_concurrent(
            each.n_slots
            for service in route.services()
            for each in self._view.registry.of_service(service)
            if not each.is_leaving and not each.is_silent
        )

    def cancel_batch(self, batch_id: str) -> None:
        """Cancel the scoring requests of a batch."""
        self._tasks.cancel_batch(batch_id)

    def stop(self) -> None:
        """Cancel all scoring requests."""
        self._tasks.cancel_all()

    def _send(
        self, opened: work.OpenBatch, run: lifecycle.ItemRun, route: policy.Route
    ) -> None:
        run.begin_scoring()
        self._n_by_route[route.name] += 1
        key = (opened.batch.batch_id, run.item.item_id)
        score = functools.partial(self._score, opened, run, route, key)
        guarded = tasks.errors_recorded("scoring")(score)
        self._tasks.start(
            key, guarded, functools.partial(self._release, run, route, key)
        )

    def _score(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        route: policy.Route,
        key: item_tasks.Key,
    ) -> None:
        request = run.item.scoring
        assert request is not None
        began = clock.now()
        # If the attempt ended with an unexpected exception, the item would otherwise be
        # resent at once, in a tight loop.
        run.not_before = began + scoring.LONG_PAUSE_SECONDS
        try:
            answer = self._request_score(opened, run, request, route)
        finally:
            self._release(run, route, key)
        self._apply_result(opened, run, request, route, answer, clock.now() - began)

    def _release(
        self, run: lifecycle.ItemRun, route: policy.Route, key: item_tasks.Key
    ) -> None:
        run.end_scoring()
        self._n_by_route[route.name] -= 1
        self._tasks.remove(key)
        self._wake()

    def _request_score(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        request: model.ScoringRequest,
        route: policy.Route,
    ) -> relay_model.Answered | relay_model.Refused:
        inbound = relay_model.Inbound(
            request.request_id,
            request.host,
            "POST",
            request.target,
            request.target.partition("?")[0],
            {"Host": request.host},
            request.body,
            opened.give_up_at(opened.route(self._view.routes)),
            may_run_again=True,
            find_refusal=lambda: self._find_refusal(opened),
            account=opened.batch.account,
        )
        n_left = max(route.max_attempts - run.n_scoring_failures, 1)
        return self._relay.handle(inbound, attrs.evolve(route, max_attempts=n_left))

    def _find_refusal(self, opened: work.OpenBatch) -> reasons.Reason | None:
        if not self._hooks.may_send() or opened.is_ended:
            return reasons.Reason.ATTEMPT_SUPERSEDED
        return None

    def _apply_result(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        request: model.ScoringRequest,
        route: policy.Route,
        answer: relay_model.Answered | relay_model.Refused,
        seconds: float,
    ) -> None:
        run.n_scoring_failures += answer.n_failures
        if isinstance(answer, relay_model.Refused) and answer.may_have_run:
            run.n_broken_scorings += 1
        signature = ""
        if isinstance(answer, relay_model.Answered):
            signature = answer.signature
        decision = scoring.decide(
            answer, bool(signature), run.n_scoring_failures, route.max_attempts
        )
        counters.SCORING_SECONDS.labels(decision.value).observe(seconds)
        eliot.log_message(
            message_type="batches:scoring",
            batch_id=opened.batch.batch_id,
            item_id=run.item.item_id,
            request_id=request.request_id,
            route=route.name,
            outcome=decision.value,
            reason=getattr(getattr(answer, "reason", None), "value", ""),
            status=getattr(answer, "status", 0),
            n_failures=run.n_scoring_failures,
            seconds=round(seconds, 3),
        )
        self._apply_decision(opened, run, decision, signature, seconds)

    def _apply_decision(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        decision: scoring.Decision,
        signature: str,
        seconds: float,
    ) -> None:
        now = clock.now()
        batch_id = opened.batch.batch_id
        if decision is scoring.Decision.SCORED:
            self._pace.record_scoring(seconds)
            unscored = run.unscored
            run.finish()
            if unscored is not None:
                self._hooks.score(batch_id, run.item.item_id, signature)
        elif decision is scoring.Decision.GIVEN_UP:
            run.finish()
            given_up = model.Result(run.item.item_id, model.ItemState.TERMINATED)
            self._hooks.finish(batch_id, given_up)
        elif decision is scoring.Decision.RETRY:
            run.not_before = now + scoring.pause_seconds(run.n_broken_scorings)
        else:
            run.not_before = now + scoring.LONG_PAUSE_SECONDS
