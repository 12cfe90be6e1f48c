"""Decides which order each engine receives next.

The planner compares what the engines report with the targets of their models and issues
at most one order at a time to each engine:

* A version is loaded while the engine still generates with an older one, on as many
  engines at a time as the bundle and the weight store allow.
* Once loaded, the version is swapped in, on one engine first. After that swap has
  succeeded, a share of the engines swaps at a time, while the others go on generating
  samples for the trainers.
* Versions that are no longer needed are unloaded, and missing adapters are loaded.

An engine's report takes precedence over the orders that it received. The answer to an
order supplements the report only for the time by which a report may lag.
"""

import functools
import itertools
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from bilberrydrum.upstreams import model as upstream_model
from bilberrydrum.weights import limiter, orders, swaps, views

# Delay before an order that failed is issued again; it doubles with each failure.
RETRY_SECONDS: Final = 0.5
MAX_RETRY_SECONDS: Final = 30.0
# Time for which the failures of an engine that is no longer reported are kept.
FORGET_SECONDS: Final = 300.0


@attrs.frozen
class Observed:
    """The engines as reported, the targets, and the right to issue orders."""

    # Fencing number of the controller lease that this process holds.
    fencing_number: int
    # Whether orders may go to engines that ignore fencing numbers.
    may_order_unfenced: bool
    engines_by_id: Mapping[str, upstream_model.Upstream]
    targets_by_model: Mapping[str, views.Target]
    # Roles that operators have set, by engine.
    roles_by_id: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class OrderFinished:
    """An order has an outcome."""

    order_id: str
    outcome: orders.Outcome
    # Random number between 0 and 1, drawn for this event.
    jitter: float


@attrs.define
class Retry:
    """An action that did not succeed and will be retried."""

    n_failures: int
    # Time of the next attempt, in seconds of `clock.now`.
    at: float
    detail: str
    # Order id to reuse, because the engine may have executed that order; if it is
    # empty, the next attempt gets a new id.
    order_id: str = ""


@attrs.frozen
class FailedAction:
    """An action that did not succeed, as shown to operators."""

    action: orders.Action
    n_failures: int
    detail: str


@attrs.define
class Engine:
    """The planner's records of one engine."""

    acknowledgements: list[views.Acknowledgement] = attrs.field(factory=list)
    retries_by_action: dict[orders.Action, Retry] = attrs.field(factory=dict)
    # Time at which it was last reported, in seconds of `clock.now`.
    seen_at: float = 0.0


class Planner:
    """Decides orders from events; it performs no input or output.

    Parameters
    ----------
    swap_share : float
        Share of a model's engines that may swap at a time.
    lease_seconds : float
        Length of the controller lease in seconds.
    """

    def __init__(self, swap_share: float, lease_seconds: float) -> None:
        self._swap_share = swap_share
        self._lease_seconds = lease_seconds
        self._fencing_number = 0
        # Fencing number that an engine refused as outdated, and the time until which
        # no order is issued under it.
        self._refused_number = 0
        self._refused_until = 0.0
        self._order_numbers = itertools.count(1)
        self._targets_by_model: Mapping[str, views.Target] = {}
        self._engines_by_id: dict[str, Engine] = {}
        self._in_flight_by_engine_id: dict[str, orders.InFlightOrder] = {}
        self._engine_ids_by_order_id: dict[str, str] = {}
        self._limiter = limiter.Limiter()

    def step(self, now: float, event: object) -> list[orders.Order]:
        """Handle `event` at `now`, in seconds, and return the orders to send."""
        return self._handle_event(event, now)

    def failed_by_engine_id(self) -> dict[str, list[FailedAction]]:
        """Return the actions that did not succeed and will be retried."""
        return {
            engine_id: [
                FailedAction(action, retry.n_failures, retry.detail)
                for action, retry in engine.retries_by_action.items()
            ]
            for engine_id, engine in self._engines_by_id.items()
            if engine.retries_by_action
        }

    def actions_by_engine_id(self) -> dict[str, orders.Action]:
        """Return the actions of the orders in flight."""
        return {
            engine_id: in_flight.order.action
            for engine_id, in_flight in self._in_flight_by_engine_id.items()
        }

    @functools.singledispatchmethod
    def _handle_event(self, event: object, now: float) -> list[orders.Order]:
        raise TypeError(
            f"expected an OrderFinished or Observed event, got {type(event).__name__}"
        )

    @_handle_event.register
    def _(self, event: OrderFinished, now: float) -> list[orders.Order]:
        engine_id = self._engine_ids_by_order_id.pop(event.order_id, None)
        if engine_id is None:
            # The order was issued under an earlier lease, or the engine has moved to
            # another address since then.
            return []
        order = self._in_flight_by_engine_id.pop(engine_id).order
        engine = self._engines_by_id.setdefault(engine_id, Engine(seen_at=now))
        self._handle_outcome(event.outcome, order, engine, event.jitter, now)
        return []

    @_handle_event.register
    def _(self, event: Observed, now: float) -> list[orders.Order]:
        if event.fencing_number == self._refused_number and now < self._refused_until:
            # A newer controller may be active. Engines that check fencing numbers would
            # refuse the orders of this one; on the others, its orders would undo those
            # of the newer controller. One lease length is enough: if this process
            # still holds the lease afterwards, it has renewed it since the refusal, so
            # there is no newer controller. The engine's own number is then too high,
            # and the other engines must not wait for it.
            return []
        if event.fencing_number != self._fencing_number:
            self._reset()
            self._fencing_number = event.fencing_number
        self._targets_by_model = event.targets_by_model
        self._forget_moved(event, now)
        counts = swaps.EngineCounts(event.targets_by_model, self._swap_share)
        views_by_id = self._build_views(event, counts, now)
        slots = counts.slots(self._in_flight_by_engine_id.values(), now)
        self._count_loads(event)
        return list(self._plan(event, views_by_id, slots, now))

    def _reset(self) -> None:
        self._engines_by_id.clear()
        self._in_flight_by_engine_id.clear()
        self._engine_ids_by_order_id.clear()

    def _forget_moved(self, event: Observed, now: float) -> None:
        """Drop orders to engines that moved, and records of engines that are gone.

        An engine on a lost host does not answer at all, so its order ends only after
        the longest timeout. Waiting for that would leave the engine's next
        incarnation, at another address, without its weights for that time.
        """
        for engine_id, in_flight in list(self._in_flight_by_engine_id.items()):
            upstream = event.engines_by_id.get(engine_id)
            if upstream is not None and upstream.address != in_flight.order.address:
                del self._in_flight_by_engine_id[engine_id]
                del self._engine_ids_by_order_id[in_flight.order.order_id]
        for engine_id, engine in list(self._engines_by_id.items()):
            if engine_id in event.engines_by_id:
                engine.seen_at = now
            elif now - engine.seen_at > FORGET_SECONDS:
                # The records are kept for a while because an engine that crashes during
                # each swap is absent after each one. Without its failures the delay
                # between its swaps would never grow.
                del self._engines_by_id[engine_id]

    def _build_views(
        self, event: Observed, counts: swaps.EngineCounts, now: float
    ) -> dict[str, views.EngineView]:
        """Return views of the engines that may need an order."""
        views_by_id = {}
        for engine_id, upstream in event.engines_by_id.items():
            engine = self._engines_by_id.get(engine_id)
            if engine is None and views.is_up_to_date(
                upstream, event.targets_by_model, event.roles_by_id
            ):
                # This is the case for nearly all engines most of the time, so no view
                # is built for them.
                counts.add_up_to_date(upstream)
                continue
            view = self._view(upstream, engine, now)
            views_by_id[engine_id] = view
            counts.add(view)
        return views_by_id

    def _view(
        self, upstream: upstream_model.Upstream, engine: Engine | None, now: float
    ) -> views.EngineView:
        if engine is None:
            return views.EngineView.of(upstream, ())
        engine.acknowledgements = [
            each
            for each in engine.acknowledgements
            if now - each.at < views.REPORT_LAG_SECONDS
            and not views.is_reported(each.action, upstream)
        ]
        return views.EngineView.of(upstream, engine.acknowledgements)

    def _count_loads(self, event: Observed) -> None:
        n_loading_by_model = dict.fromkeys(event.targets_by_model, 0)
        for engine_id, in_flight in self._in_flight_by_engine_id.items():
            action = in_flight.order.action
            if engine_id not in event.engines_by_id:
                # The engine is gone, and its load with it.
                continue
            if action.kind == orders.LOAD and action.model in n_loading_by_model:
                n_loading_by_model[action.model] += 1
        for model, n_loading in n_loading_by_model.items():
            cap = event.targets_by_model[model].max_concurrent_loads
            self._limiter.set_cap(model, cap, n_loading)

    def _plan(
        self,
        event: Observed,
        views_by_id: Mapping[str, views.EngineView],
        slots: swaps.SwapSlots,
        now: float,
    ) -> Iterable[orders.Order]:
        # Engines with the oldest weights come first, because their samples are the
        # stalest. Of these, the engines with the fewest running requests come first,
        # because a pause delays the fewest requests there.
        by_need = sorted(
            views_by_id,
            key=lambda engine_id: (
                views_by_id[engine_id].oldest_version(),
                event.engines_by_id[engine_id].load.n_running,
                engine_id,
            ),
        )
        for engine_id in by_need:
            upstream = event.engines_by_id[engine_id]
            if engine_id in self._in_flight_by_engine_id:
                continue
            if not (upstream.checks_fencing or event.may_order_unfenced):
                continue
            wanted = views.wanted(
                views_by_id[engine_id],
                event.targets_by_model,
                event.roles_by_id.get(engine_id),
            )
            self._forget_unwanted(engine_id, wanted, views_by_id[engine_id])
            for action in wanted:
                retry = self._retry_of(engine_id, action)
                if self._may_begin(action, retry, slots, now):
                    yield self._issue(upstream, action, retry, now)
                    break

    def _retry_of(self, engine_id: str, action: orders.Action) -> Retry | None:
        engine = self._engines_by_id.get(engine_id)
        return None if engine is None else engine.retries_by_action.get(action)

    def _forget_unwanted(
        self, engine_id: str, wanted: list[orders.Action], view: views.EngineView
    ) -> None:
        """Drop failures of actions that are no longer wanted, and unused records."""
        engine = self._engines_by_id.get(engine_id)
        if engine is None:
            return
        for action in engine.retries_by_action.keys() - set(wanted):
            # An engine that restarted during a swap has to load the version first, so
            # the swap is not wanted for that time. Its failures are kept, because the
            # swap follows the load and would otherwise be retried without its delay.
            if not views.is_pending_swap(action, view, self._targets_by_model):
                del engine.retries_by_action[action]
        if not (engine.retries_by_action or engine.acknowledgements):
            del self._engines_by_id[engine_id]

    def _may_begin(
        self,
        action: orders.Action,
        retry: Retry | None,
        slots: swaps.SwapSlots,
        now: float,
    ) -> bool:
        if retry is not None and now < retry.at:
            return False
        if action.kind == orders.SWAP:
            return slots.try_take(action.model)
        if action.kind == orders.LOAD:
            source = self._targets_by_model[action.model].source
            return self._limiter.try_begin(action.model, source, now)
        return True

    def _issue(
        self,
        upstream: upstream_model.Upstream,
        action: orders.Action,
        retry: Retry | None,
        now: float,
    ) -> orders.Order:
        order_id = retry.order_id if retry is not None else ""
        if not order_id:
            # The fencing number makes the ids of different controllers differ.
            order_id = f"{self._fencing_number}-{next(self._order_numbers)}"
        target = self._targets_by_model.get(action.model)
        order = orders.Order(
            order_id,
            upstream.upstream_id,
            upstream.address,
            action,
            "" if target is None else target.source,
            upstream.checks_fencing,
        )
        self._in_flight_by_engine_id[upstream.upstream_id] = orders.InFlightOrder(
            order, now
        )
        self._engine_ids_by_order_id[order_id] = upstream.upstream_id
        return order

    def _handle_outcome(
        self,
        outcome: orders.Outcome,
        order: orders.Order,
        engine: Engine,
        jitter: float,
        now: float,
    ) -> None:
        action = order.action
        match outcome:
            case orders.Done():
                engine.retries_by_action.pop(action, None)
                engine.acknowledgements.append(views.Acknowledgement(action, now))
                target = self._targets_by_model.get(action.model)
                if action.kind == orders.LOAD and target is not None:
                    self._limiter.record_success(
                        action.model, target.max_concurrent_loads
                    )
            case orders.Failed(detail):
                self._retry_later(engine, action, detail, "", jitter, now)
            case orders.Lost(detail):
                # With the same id, the engine executes the order only once.
                self._retry_later(engine, action, detail, order.order_id, jitter, now)
            case orders.RateLimited(retry_after):
                if action.kind == orders.LOAD:
                    self._limiter.record_refusal(
                        action.model, order.source, retry_after, jitter, now
                    )
                else:
                    self._retry_later(engine, action, "busy", "", jitter, now)
                    retry = engine.retries_by_action[action]
                    retry.at = max(retry.at, now + retry_after)
            case orders.Fenced():
                self._refused_number = self._fencing_number
                self._refused_until = now + self._lease_seconds
                self._reset()
                self._engines_by_id[order.upstream_id] = engine
                self._retry_later(engine, action, "fenced", "", jitter, now)
            case orders.NotSent():
                pass

    def _retry_later(
        self,
        engine: Engine,
        action: orders.Action,
        detail: str,
        order_id: str,
        jitter: float,
        now: float,
    ) -> None:
        retry = engine.retries_by_action.get(action)
        n_failures = 1 if retry is None else retry.n_failures + 1
        delay = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2.0 ** (n_failures - 1))
        # Half of the delay is random: engines that failed at the same time would
        # otherwise retry at the same time.
        at = now + delay * (0.5 + 0.5 * jitter)
        engine.retries_by_action[action] = Retry(n_failures, at, detail, order_id)
