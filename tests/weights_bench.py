"""A test bench for the planner, with reported engines and a manual clock."""

import attrs

from bilberrydrum.upstreams import model as upstream_model
from bilberrydrum.weights import orders, planner, views
from tests.fakes import trace

STORE = "http://127.0.0.1:1"
LAG = views.REPORT_LAG_SECONDS
LEASE = 3.0


def upstream(engine_id, version=0, loaded=None, **fields):
    loaded = (version,) if loaded is None else loaded
    served = upstream_model.ServedModel(version, tuple(loaded))
    fields.setdefault("models", {"planner": served})
    fields.setdefault("checks_fencing", True)
    fields.setdefault("address", f"10.0.0.1:{engine_id}")
    return upstream_model.Upstream(engine_id, upstream_model.KIND_ENGINE, **fields)


class Bench:
    """A planner, the engines as they are reported, and a manual clock."""

    def __init__(self, n_engines=0, version=0, loaded=None, share=0.5, **target):
        self.planner = planner.Planner(share, LEASE)
        self.now = 100.0
        self.number = 1
        self.unfenced = True
        self.roles = {}
        self.engines = {}
        for i in range(n_engines):
            self.report(upstream(f"e{i:03}", version, loaded))
        target.setdefault("weight_version", 1)
        target.setdefault("source", STORE)
        target.setdefault("max_concurrent_loads", 1000)
        self.targets = {"planner": views.Target(**target)}

    def report(self, engine):
        self.engines[engine.upstream_id] = engine

    def want(self, **fields):
        self.targets["planner"] = attrs.evolve(self.targets["planner"], **fields)

    def run_pass(self, seconds=0.0):
        self.now += seconds
        event = planner.Observed(
            self.number, self.unfenced, self.engines, self.targets, self.roles
        )
        ordered = self.planner.step(self.now, event)
        trace.note(self.now, event, ordered)
        return ordered

    def answer(self, order, outcome, jitter=1.0):
        event = planner.OrderFinished(order.order_id, outcome, jitter)
        trace.note(self.now, event)
        self.planner.step(self.now, event)

    def carry_out(self, order):
        """Answer an order with `Done`, and report the engine's new state."""
        self.answer(order, orders.Done())
        self.report(carried_out(self.engines[order.upstream_id], order.action))


def carried_out(engine, action):
    """Return the engine's report after it has executed `action`."""
    if action.kind == orders.SET_ROLE:
        return attrs.evolve(engine, role=action.role)
    served = engine.models[action.model]
    loaded = set(served.loaded_versions)
    if action.kind == orders.LOAD:
        loaded.add(action.weight_version)
    elif action.kind == orders.UNLOAD:
        loaded.discard(action.weight_version)
    elif action.kind == orders.SWAP:
        served = attrs.evolve(served, weight_version=action.weight_version)
    elif action.kind == orders.LOAD_ADAPTER:
        served = attrs.evolve(served, adapters=(*served.adapters, action.adapter))
    served = attrs.evolve(served, loaded_versions=tuple(sorted(loaded)))
    return attrs.evolve(engine, models={**engine.models, action.model: served})


def kinds(issued):
    return [(each.action.kind, each.action.weight_version) for each in issued]
