"""The task that brings published weights to the engines.

It runs in every gateway and acts only in the one that holds the controller's lease.
At each turn it tells the planner what the registry, the bundle and the state group say
and sends the orders that come back, each in a greenlet of its own; what became of them
returns over a queue.
"""

import random
from collections.abc import Mapping
from typing import Final

import eliot
import eventlet
import eventlet.greenpool
import eventlet.queue

from bilberrydrum import clock, counters, interfaces, options, reasons
from bilberrydrum.state import client
from bilberrydrum.weights import orders, planner, queries, sender, status, views

# Longest time between two turns.
TURN_SECONDS: Final = 0.25
# Time in which answers are gathered before the planner looks at all engines again.
GATHER_SECONDS: Final = 0.02
# Orders on their way at a time.
MAX_FLIGHTS: Final = 1024
_QUERY_TIMEOUT_SECONDS: Final = 2.0


class WeightRollout:
    """Orders engines to load and swap to the newest published versions."""

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
        self._answers: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        self._pool = eventlet.greenpool.GreenPool(MAX_FLIGHTS)
        self._random = random.Random()
        self._versions_by_model: dict[str, int] = {}
        self._publications: queries.Publications | None = None
        # When the publications were asked for, in seconds of `clock.now`.
        self._read_at = 0.0
        self._task: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start the task."""
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop the task; orders on their way come to their own end."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def gives_orders(self) -> bool:
        """Tell whether this process holds the right to order."""
        return self._controller.fencing_number() is not None

    def failed_by_engine_id(self) -> dict[str, list[planner.FailedAction]]:
        """Return the failed orders that this process will give again."""
        if not self.gives_orders():
            return {}
        return self._planner.failed_by_engine_id()

    def actions_by_engine_id(self) -> dict[str, orders.Action]:
        """Return the orders of this process that are on their way."""
        if not self.gives_orders():
            return {}
        return self._planner.actions_by_engine_id()

    def _run(self) -> None:
        while True:
            try:
                self._turn()
            except Exception:
                # One bad turn must not end the roll-out for good.
                eliot.write_traceback()
            self._gather()

    def _turn(self) -> None:
        event = self._observe()
        if event is None:
            return
        for order in self._planner.step(clock.now(), event):
            self._pool.spawn_n(self._carry, order)

    def _gather(self) -> None:
        """Wait for answers, at most one turn, and pass them to the planner."""
        try:
            answer = self._answers.get(timeout=TURN_SECONDS)
        except eventlet.queue.Empty:
            return
        # Answers of a wave come close together; one look at all engines serves them.
        clock.sleep(GATHER_SECONDS)
        while True:
            self._planner.step(clock.now(), answer)
            if self._answers.empty():
                return
            answer = self._answers.get_nowait()

    def _observe(self) -> planner.Observed | None:
        """Return what the planner is to look at; None: nothing may be ordered now.

        Orders on their way are not forgotten then: a lease that is renewed late, or a
        state group that is silent for a while, must not have them given twice.
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
        """Ask the state group, at most once a turn's length."""
        now = clock.now()
        if self._publications is None or now - self._read_at >= TURN_SECONDS:
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

    def _carry(self, order: orders.Order) -> None:
        """Send one order and report its end."""
        is_load = order.action.kind in (orders.LOAD, orders.LOAD_ADAPTER)
        answer_seconds = self._load_seconds if is_load else self._flight_seconds
        try:
            outcome = sender.send(
                order, self._fencing_number, self._flight_seconds, answer_seconds
            )
        except Exception as error:
            eliot.write_traceback()
            outcome = orders.Lost(f"{type(error).__name__}")
        _count(outcome)
        self._answers.put(
            planner.Answered(order.order_id, outcome, self._random.random())
        )

    def _fencing_number(self, order: orders.Order) -> int | None:
        number = self._controller.fencing_number()
        if number is None:
            return None
        # An engine that ignores the number would carry out an order of this
        # controller and one of its predecessor in any order.
        if not (order.checks_fencing or self._controller.may_order_unfenced()):
            return None
        return number


def _count(outcome: orders.Outcome) -> None:
    match outcome:
        case orders.Failed() | orders.Lost():
            counters.retried(reasons.Reason.ORDER_FAILED)
        case orders.RateLimited():
            counters.retried(reasons.Reason.UPSTREAM_BUSY)
        case orders.Fenced():
            counters.dropped(reasons.Reason.ORDER_FENCED)
