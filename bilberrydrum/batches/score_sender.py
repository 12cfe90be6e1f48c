"""Make the scoring requests of whole texts, and take their scores.

A scoring request goes the way of any request that is passed on: by the route of its
host and path, to upstreams that `relay` chooses, again elsewhere after a failure.
"""

import collections
import functools
from collections.abc import Callable

import attrs
import eliot

from bilberrydrum import clock, counters, reasons
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
    """The tasks of the items that are being scored."""

    def __init__(
        self,
        passing_on: relay.Relay,
        view: subscriber.Subscriber,
        given_hooks: hooks.Hooks,
        pace: urgency.Pace,
        wake: Callable[[], None],
    ) -> None:
        self._relay = passing_on
        self._view = view
        self._hooks = given_hooks
        self._pace = pace
        # Called when a place has come free.
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
            n_free = self._n_places(route) - self._n_by_route[name]
            for each in scoring.choose(candidates, n_free):
                self._send(*runs_by_key[each.key], route)

    def _route_of(self, run: lifecycle.ItemRun, now: float) -> policy.Route | None:
        """Return the route of a scoring request that may be made now."""
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

    def _n_places(self, route: policy.Route) -> int:
        return scoring.n_places(
            each.n_slots
            for service in route.services()
            for each in self._view.registry.of_service(service)
            if not each.is_leaving and not each.is_silent
        )

    def cancel_batch(self, batch_id: str) -> None:
        """Break off the scoring requests of a batch."""
        self._tasks.cancel_batch(batch_id)

    def stop(self) -> None:
        """Break off all scoring requests."""
        self._tasks.cancel_all()

    def _send(
        self, opened: work.OpenBatch, run: lifecycle.ItemRun, route: policy.Route
    ) -> None:
        run.begin_scoring()
        self._n_by_route[route.name] += 1
        key = (opened.batch.batch_id, run.item.item_id)
        score = functools.partial(self._score, opened, run, route, key)
        self._tasks.start(key, score, functools.partial(self._ended, run, route, key))

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
        # Were the attempt to end by a fault in this program, the item would otherwise
        # be sent again at once, as fast as it fails.
        run.not_before = began + scoring.LONG_PAUSE_SECONDS
        try:
            answer = self._ask(opened, run, request, route)
        finally:
            self._ended(run, route, key)
        self._settle(opened, run, request, route, answer, clock.now() - began)

    def _ended(
        self, run: lifecycle.ItemRun, route: policy.Route, key: item_tasks.Key
    ) -> None:
        run.end_scoring()
        self._n_by_route[route.name] -= 1
        self._tasks.ended(key)
        self._wake()

    def _ask(
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

    def _settle(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        request: model.ScoringRequest,
        route: policy.Route,
        answer: relay_model.Answered | relay_model.Refused,
        seconds: float,
    ) -> None:
        run.n_scoring_failures += answer.n_failures
        signature = ""
        if isinstance(answer, relay_model.Answered):
            signature = answer.signature
        verdict = scoring.judge(
            answer, bool(signature), run.n_scoring_failures, route.max_attempts
        )
        counters.SCORING_SECONDS.labels(verdict.value).observe(seconds)
        eliot.log_message(
            message_type="batches:scoring",
            batch_id=opened.batch.batch_id,
            item_id=run.item.item_id,
            request_id=request.request_id,
            route=route.name,
            outcome=verdict.value,
            reason=getattr(getattr(answer, "reason", None), "value", ""),
            status=getattr(answer, "status", 0),
            n_failures=run.n_scoring_failures,
            seconds=round(seconds, 3),
        )
        self._follow(opened, run, verdict, signature, seconds)

    def _follow(
        self,
        opened: work.OpenBatch,
        run: lifecycle.ItemRun,
        verdict: scoring.Verdict,
        signature: str,
        seconds: float,
    ) -> None:
        now = clock.now()
        batch_id = opened.batch.batch_id
        if verdict is scoring.Verdict.SCORED:
            self._pace.record_scoring(seconds)
            unscored = run.unscored
            run.finish()
            if unscored is not None:
                self._hooks.score(batch_id, run.item.item_id, signature)
        elif verdict is scoring.Verdict.GIVEN_UP:
            run.finish()
            given_up = model.Result(run.item.item_id, model.ItemState.TERMINATED)
            self._hooks.finish(batch_id, given_up)
        elif verdict is scoring.Verdict.AGAIN:
            run.not_before = now + scoring.PAUSE_SECONDS
        else:
            run.not_before = now + scoring.LONG_PAUSE_SECONDS
