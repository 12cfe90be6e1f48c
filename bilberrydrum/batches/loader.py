"""Have engines load the versions that trainers name, at the stores' leader.

The decisions are in `weight_plan` and `load_limit`; this module follows what trainers
ask for, gives the orders, and notes how long they take.
"""

from collections.abc import Callable, Collection, Mapping
from typing import Any

import attrs
import eventlet

from bilberrydrum import clock, upstream_protocol
from bilberrydrum.batches import (
    demand,
    engine_shares,
    engines,
    load_limit,
    orders,
    weight_plan,
)
from bilberrydrum.requests import attempts


@attrs.frozen
class Duties:
    """What the loader needs of the process around it."""

    # Name by which engines know who gives an order.
    holder: str
    # The number for an order sent now; None: this process gives no orders.
    fencing_number: Callable[[], int | None]
    # Whether texts of a model must come from one version.
    needs_single: Callable[[str], bool]
    # Called when a load has ended.
    wake: Callable[[], None]


class Loader:
    """The loads that are under way, while one process leads."""

    def __init__(
        self,
        means: attempts.Means,
        protocol: upstream_protocol.UpstreamProtocol,
        known: engines.Engines,
        duties: Duties,
    ) -> None:
        self._sender = orders.OrderSender(means, protocol, duties.fencing_number)
        self._engines = known
        self._duties = duties
        self._limit = load_limit.LoadLimit()
        self._named = demand.AnnouncedVersions()
        self._tasks: list[Any] = []

    def stop(self) -> None:
        """Wait for no load any more."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()

    def note_step(self, model_name: str, min_version: int) -> None:
        """Take in the oldest version that a new step allows."""
        self._named.record_step(model_name, min_version, clock.now())

    def step(
        self,
        now: float,
        usable: Collection[engines.Engine],
        versions_by_model: Mapping[str, int],
        waiting_models: Collection[str],
        shares: engine_shares.Shares,
    ) -> None:
        """Begin the loads that are due.

        Parameters
        ----------
        usable : collection of engines.Engine
            The engines that may be sent work now.
        versions_by_model : mapping of str to int
            The newest version that was named of each model.
        waiting_models : collection of str
            Models of which items wait for a place.
        shares : engine_shares.Shares
            The engines of each model.
        """
        self._named.record(versions_by_model, now)
        wanted_by_model = {
            name: weight_plan.Wanted(
                version,
                self._named.lag(name),
                now - self._named.announced_at(name),
                name in waiting_models,
            )
            for name, version in versions_by_model.items()
        }
        loads = weight_plan.plan(
            usable,
            shares.engine_ids_by_model,
            wanted_by_model,
            self._limit.max_loading(len(self._engines.by_id)),
        )
        self._tasks = [each for each in self._tasks if not each.dead]
        for load in loads:
            engine = self._engines.by_id[load.engine_id]
            engine.loading = load
            self._tasks.append(eventlet.spawn(self._load, engine, load))

    def _load(self, engine: engines.Engine, load: weight_plan.Load) -> None:
        began = clock.now()
        n_concurrent = self._engines.n_loading()
        try:
            # What runs goes on under the new version where the step allows both: the
            # engine serves without a pause, and only what it had stored is read again.
            keeps_running = not self._duties.needs_single(load.model)
            order = orders.Order(
                load,
                keeps_running,
                self._duties.holder,
                lambda: self._engines.by_id.get(engine.upstream_id) is engine,
            )
            report = self._sender.carry_out(engine.upstream, order)
            if report is None:
                engine.record_failure(clock.now())
                return
            engine.learn(report.versions_by_model)
            n_concurrent = max(n_concurrent, self._engines.n_loading())
            seconds = clock.now() - began
            self._limit.record_load(seconds, n_concurrent, len(self._engines.by_id))
        finally:
            engine.loading = None
            self._duties.wake()
