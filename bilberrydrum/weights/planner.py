"""Which order goes to which engine next.

The planner compares what the engines report with what the deployment wants and gives
each engine at most one order at a time:

* a version is loaded while the engine still generates with an older one, as many
  engines at a time as the bundle and the weight store allow;
* once loaded it is swapped in, on one engine first and, when that worked, on a share
  of the engines at a time, so that the others keep the trainers fed;
* versions that are no longer of use are unloaded, and missing adapters loaded.

What an engine reports is believed over what it was ordered. The answer to an order
stands in for the report only as long as a report may lag.
"""

import functools
import itertools
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from bilberrydrum.upstreams import model as upstream_model
from bilberrydrum.weights import limiter, orders, swaps, views

# Delay before an order that failed is given again, doubled with each failure.
RETRY_SECONDS: Final = 0.5
MAX_RETRY_SECONDS: Final = 30.0
# How long an engine that is away is remembered.
FORGET_SECONDS: Final = 300.0


@attrs.frozen
class Observed:
    """What is reported and what is wanted, now."""

    # The right to order that this process holds.
    fencing_number: int
    may_order_unfenced: bool
    engines_by_id: Mapping[str, upstream_model.Upstream]
    targets_by_model: Mapping[str, views.Target]
    # Role that an engine is to have, where an operator asked for one.
    roles_by_id: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Answered:
    """An order has come to an end."""

    order_id: str
    outcome: orders.Outcome
    # Between 0 and 1, drawn for this event.
    jitter: float


@attrs.define
class Retry:
    """An action that did not succeed and will be tried again."""

    n_failures: int
    # When, in seconds of `clock.now`.
    at: float
    detail: str
    # Id to send it under again, when the engine may have carried it out; empty: a
    # new one.
    order_id: str = ""


@attrs.frozen
class FailedAction:
    """An action that did not succeed, for the operators."""

    action: orders.Action
    n_failures: int
    detail: str


@attrs.define
class Engine:
    """What the planner remembers of one engine."""

    acknowledgements: list[views.Acknowledgement] = attrs.field(factory=list)
    retries_by_action: dict[orders.Action, Retry] = attrs.field(factory=dict)
    # When it was last reported, in seconds of `clock.now`.
    seen_at: float = 0.0


class Planner:
    """The pure decision: events in, orders out.

    Parameters
    ----------
    swap_share : float
        Share of a model's engines that may swap at a time.
    lease_seconds : float
        Length of the lease behind the right to order.
    """

    def __init__(self, swap_share: float, lease_seconds: float) -> None:
        self._swap_share = swap_share
        self._lease_seconds = lease_seconds
        self._fencing_number = 0
        # Number under which an engine refused an order as old, and until when nothing
        # is ordered under it.
        self._refused_number = 0
        self._refused_until = 0.0
        self._order_numbers = itertools.count(1)
        self._targets_by_model: Mapping[str, views.Target] = {}
        self._engines_by_id: dict[str, Engine] = {}
        self._flights_by_engine_id: dict[str, orders.Flight] = {}
        self._engine_ids_by_order_id: dict[str, str] = {}
        self._limiter = limiter.Limiter()

    def step(self, now: float, event: object) -> list[orders.Order]:
        """Take `event` at `now`, in seconds, and return the orders to send."""
        return self._take(event, now)

    def failed_by_engine_id(self) -> dict[str, list[FailedAction]]:
        """Return what did not succeed and will be tried again."""
        return {
            engine_id: [
                FailedAction(action, retry.n_failures, retry.detail)
                for action, retry in engine.retries_by_action.items()
            ]
            for engine_id, engine in self._engines_by_id.items()
            if engine.retries_by_action
        }

    def actions_by_engine_id(self) -> dict[str, orders.Action]:
        """Return what engines are being told to do now."""
        return {
            engine_id: flight.order.action
            for engine_id, flight in self._flights_by_engine_id.items()
        }

    @functools.singledispatchmethod
    def _take(self, event: object, now: float) -> list[orders.Order]:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_take.register
    def _(self, event: Answered, now: float) -> list[orders.Order]:
        engine_id = self._engine_ids_by_order_id.pop(event.order_id, None)
        if engine_id is None:
            # The order was given under an earlier right to order, or to an engine
            # that has come back elsewhere since.
            return []
        order = self._flights_by_engine_id.pop(engine_id).order
        engine = self._engines_by_id.setdefault(engine_id, Engine(seen_at=now))
        self._settle(event.outcome, order, engine, event.jitter, now)
        return []

    @_take.register
    def _(self, event: Observed, now: float) -> list[orders.Order]:
        if event.fencing_number == self._refused_number and now < self._refused_until:
            # A newer controller may be at work: whatever this one sends is refused, or
            # undoes the other's orders at engines that do not check. If the right
            # still stands a whole lease later, it was renewed after the refusal, and
            # it is the engine whose number is ahead; the others must not wait for it.
            return []
        if event.fencing_number != self._fencing_number:
            self._forget_all()
            self._fencing_number = event.fencing_number
        self._targets_by_model = event.targets_by_model
        self._forget_moved(event, now)
        census = swaps.Census(event.targets_by_model, self._swap_share)
        views_by_id = self._look(event, census, now)
        slots = census.slots(self._flights_by_engine_id.values(), now)
        self._count_loads(event)
        return list(self._plan(event, views_by_id, slots, now))

    def _forget_all(self) -> None:
        self._engines_by_id.clear()
        self._flights_by_engine_id.clear()
        self._engine_ids_by_order_id.clear()

    def _forget_moved(self, event: Observed, now: float) -> None:
        """Forget orders to engines that came back elsewhere, and engines long gone.

        A host that is lost answers nothing, not even a refusal; waiting for the
        order's end would keep the engine's next life from its weights.
        """
        for engine_id, flight in list(self._flights_by_engine_id.items()):
            upstream = event.engines_by_id.get(engine_id)
            if upstream is not None and upstream.address != flight.order.address:
                del self._flights_by_engine_id[engine_id]
                del self._engine_ids_by_order_id[flight.order.order_id]
        for engine_id, engine in list(self._engines_by_id.items()):
            if engine_id in event.engines_by_id:
                engine.seen_at = now
            elif now - engine.seen_at > FORGET_SECONDS:
                # An engine that crashes at each swap is away for a while each time;
                # what failed is remembered so that its next tries are spaced out.
                del self._engines_by_id[engine_id]

    def _look(
        self, event: Observed, census: swaps.Census, now: float
    ) -> dict[str, views.EngineView]:
        """Return what is known of the engines that may lack something."""
        views_by_id = {}
        for engine_id, upstream in event.engines_by_id.items():
            engine = self._engines_by_id.get(engine_id)
            if engine is None and views.is_settled(
                upstream, event.targets_by_model, event.roles_by_id
            ):
                # Nearly all engines, nearly always: no more than this is spent on them.
                census.add_settled(upstream)
                continue
            view = self._view(upstream, engine, now)
            views_by_id[engine_id] = view
            census.add(view)
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
        for engine_id, flight in self._flights_by_engine_id.items():
            action = flight.order.action
            if engine_id not in event.engines_by_id:
                # It is gone, and so is its load.
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
        slots: swaps.Slots,
        now: float,
    ) -> Iterable[orders.Order]:
        # Engines with the oldest weights first: theirs are the stalest samples.
        # Among them those with the least work, which lose the least by a pause.
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
            if engine_id in self._flights_by_engine_id:
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
                    yield self._give(upstream, action, retry, now)
                    break

    def _retry_of(self, engine_id: str, action: orders.Action) -> Retry | None:
        engine = self._engines_by_id.get(engine_id)
        return None if engine is None else engine.retries_by_action.get(action)

    def _forget_unwanted(
        self, engine_id: str, wanted: list[orders.Action], view: views.EngineView
    ) -> None:
        """Forget failures of what is done or made needless, and then the engine."""
        engine = self._engines_by_id.get(engine_id)
        if engine is None:
            return
        for action in engine.retries_by_action.keys() - set(wanted):
            # An engine that lost its memory in a swap has to load first. Its swap is
            # still to come, and is not tried sooner for that.
            if not views.is_swap_to_come(action, view, self._targets_by_model):
                del engine.retries_by_action[action]
        if not (engine.retries_by_action or engine.acknowledgements):
            del self._engines_by_id[engine_id]

    def _may_begin(
        self,
        action: orders.Action,
        retry: Retry | None,
        slots: swaps.Slots,
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

    def _give(
        self,
        upstream: upstream_model.Upstream,
        action: orders.Action,
        retry: Retry | None,
        now: float,
    ) -> orders.Order:
        order_id = retry.order_id if retry is not None else ""
        if not order_id:
            # Order ids of different controllers differ by the fencing number.
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
        self._flights_by_engine_id[upstream.upstream_id] = orders.Flight(order, now)
        self._engine_ids_by_order_id[order_id] = upstream.upstream_id
        return order

    def _settle(
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
                    self._limiter.succeeded(action.model, target.max_concurrent_loads)
            case orders.Failed(detail):
                self._retry_later(engine, action, detail, "", jitter, now)
            case orders.Lost(detail):
                # Sent again under its own id, the order has one effect.
                self._retry_later(engine, action, detail, order.order_id, jitter, now)
            case orders.RateLimited(retry_after):
                if action.kind == orders.LOAD:
                    self._limiter.refused(
                        action.model, order.source, retry_after, jitter, now
                    )
                else:
                    self._retry_later(engine, action, "busy", "", jitter, now)
                    retry = engine.retries_by_action[action]
                    retry.at = max(retry.at, now + retry_after)
            case orders.Fenced():
                self._refused_number = self._fencing_number
                self._refused_until = now + self._lease_seconds
                self._forget_all()
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
        # Half of the delay is drawn at random: engines that failed together would
        # otherwise come back together.
        at = now + delay * (0.5 + 0.5 * jitter)
        engine.retries_by_action[action] = Retry(n_failures, at, detail, order_id)
