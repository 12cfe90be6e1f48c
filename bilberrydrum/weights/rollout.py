"""The task that rolls out published weights to the engines.

It runs in every gateway, but issues orders only in the one that holds the controller's
lease. Each pass gives the planner the current registry, bundle and publications, and
sends the resulting orders, each in its own greenlet. Their outcomes return to the task
through a queue.
"""

import random
from collections.abc import Mapping
from typing import Final

import eliot
import eventlet
import eventlet.greenpool
import eventlet.queue

from bilberrydrum import clock, counters, interfaces, options, reasons, tasks
from bilberrydrum.state import client
from bilberrydrum.weights import orders, planner, queries, sender, status, views

# Longest time between two passes.
PASS_INTERVAL_SECONDS: Final = 0.25
# Time for which outcomes are collected before the next pass over all engines.
COLLECT_SECONDS: Final = 0.02
# Largest number of orders in flight.
MAX_IN_FLIGHT_ORDERS: Final = 1024
_QUERY_TIMEOUT_SECONDS: Final = 2.0
_TASK: Final = "weight-rollout"


class WeightRollout:
    """Orders engines to load the newest published versions and swap to them."""

    def __init__(
        self,
        options: options.Options,
        state: client.StateClient,
        bundles: interfaces.BundleView,
        registry: interfaces.Registry,
        controller: interfaces.ControllerLease,
    ) -> None:
        self._flight_seconds = options.upstreams.order_flight_seconds
        self._load_seconds = options.samples.load_timeout_seconds
        self._state = state
        self._bundles = bundles
        self._registry = registry
        self._controller = controller
        self._planner = planner.Planner(
            options.samples.swap_share, options.upstreams.controller_lease_seconds
        )
        self._finished_orders: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        self._pool = eventlet.greenpool.GreenPool(MAX_IN_FLIGHT_ORDERS)
        self._random = random.Random()
        self._versions_by_model: dict[str, int] = {}
        self._publications: queries.Publications | None = None
        # Time of the last query for the publications, in seconds of `clock.now`.
        self._read_at = 0.0
        self._task: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start the task."""
        self._task = eventlet.spawn(tasks.run_forever, _TASK, self._run_once)

    def stop(self) -> None:
        """Stop the task; orders in flight are not cancelled."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def gives_orders(self) -> bool:
        """Return whether this process holds the controller lease."""
        return self._controller.fencing_number() is not None

    def failed_by_engine_id(self) -> dict[str, list[planner.FailedAction]]:
        """Return the failed orders that this process will issue again."""
        if not self.gives_orders():
            return {}
        return self._planner.failed_by_engine_id()

    def actions_by_engine_id(self) -> dict[str, orders.Action]:
        """Return the actions of this process's orders in flight."""
        if not self.gives_orders():
            return {}
        return self._planner.actions_by_engine_id()

    def _run_once(self) -> None:
        with tasks.errors_recorded(_TASK):
            self._run_pass()
        self._collect_finished()

    def _run_pass(self) -> None:
        event = self._observe()
        if event is None:
            return
        for order in self._planner.step(clock.now(), event):
            self._pool.spawn_n(self._send_order, order)

    def _collect_finished(self) -> None:
        """Wait for outcomes, at most one interval, and pass them to the planner."""
        try:
            finished = self._finished_orders.get(timeout=PASS_INTERVAL_SECONDS)
        except eventlet.queue.Empty:
            return
        # Orders issued together tend to finish together; one pass then handles all of
        # their outcomes.
        clock.sleep(COLLECT_SECONDS)
        while True:
            self._planner.step(clock.now(), finished)
            if self._finished_orders.empty():
                return
            finished = self._finished_orders.get_nowait()

    def _observe(self) -> planner.Observed | None:
        """Return the planner's next event, or None if no orders may be issued.

        With None the planner is not called and keeps its orders in flight. If it
        dropped them whenever a lease is renewed late or the state group does not
        answer, it would issue them twice.
        """
        number = self._controller.fencing_number()
        if number is None:
            return None
        bundle = self._bundles.current()
        publications = self._read_publications()
        if bundle.is_err() or publications is None:
            return None
        targets = status.targets_by_model(bundle.unwrap(), publications)
        self._log_changes(targets)
        return planner.Observed(
            number,
            self._controller.may_order_unfenced(),
            status.engines_of(self._registry.upstreams_by_id()),
            targets,
            publications.roles_by_upstream_id,
        )

    def _read_publications(self) -> queries.Publications | None:
        """Return the publications, queried at most once in each interval."""
        now = clock.now()
        if self._publications is None or now - self._read_at >= PASS_INTERVAL_SECONDS:
            answer = self._state.query(
                queries.ListPublications(), _QUERY_TIMEOUT_SECONDS
            )
            self._publications = answer.unwrap() if answer.is_ok() else None
            self._read_at = now
        return self._publications

    def _log_changes(self, targets: Mapping[str, views.Target]) -> None:
        for model, target in targets.items():
            if self._versions_by_model.get(model) != target.weight_version:
                self._versions_by_model[model] = target.weight_version
                eliot.log_message(
                    message_type="weights:target",
                    model=model,
                    weight_version=target.weight_version,
                )

    def _send_order(self, order: orders.Order) -> None:
        """Send one order and queue its outcome for the planner."""
        is_load = order.action.kind in (orders.LOAD, orders.LOAD_ADAPTER)
        answer_seconds = self._load_seconds if is_load else self._flight_seconds
        try:
            outcome = sender.send(
                order, self._fencing_number, self._flight_seconds, answer_seconds
            )
        except tasks.UNEXPECTED_ERRORS as error:
            tasks.record_error("weight-order")
            outcome = orders.Lost(f"{type(error).__name__}")
        _count_outcome(outcome)
        self._finished_orders.put(
            planner.OrderFinished(order.order_id, outcome, self._random.random())
        )

    def _fencing_number(self, order: orders.Order) -> int | None:
        number = self._controller.fencing_number()
        if number is None:
            return None
        # An engine that ignores fencing numbers executes orders in the order of their
        # arrival. While an order of the previous controller may still be in flight, it
        # could arrive after this one and undo it.
        if not (order.checks_fencing or self._controller.may_order_unfenced()):
            return None
        return number


def _count_outcome(outcome: orders.Outcome) -> None:
    match outcome:
        case orders.Failed() | orders.Lost():
            counters.retried(reasons.Reason.ORDER_FAILED)
        case orders.RateLimited():
            counters.retried(reasons.Reason.UPSTREAM_BUSY)
        case orders.Fenced():
            counters.dropped(reasons.Reason.ORDER_FENCED)
