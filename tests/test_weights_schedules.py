"""The planner under random schedules and states."""

import unittest

import hypothesis
import hypothesis.strategies as st

from bilberrydrum.upstreams import model as upstream_model
from bilberrydrum.weights import orders, views
from tests import schedules_support, weights_bench

OUTCOMES = st.sampled_from(["done", "done", "failed", "lost", "lost-done", "rate"])


VERSIONS = st.integers(0, 3)


class UpToDateTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    @hypothesis.given(
        VERSIONS,
        st.frozensets(VERSIONS),
        VERSIONS,
        VERSIONS,
        st.frozensets(st.sampled_from(["dry", "wet"])),
        st.booleans(),
    )
    def test_up_to_date_check_matches_needs(
        self, current, loaded, wanted, prepared, adapters, rises
    ):
        """The check without a view skips exactly the engines that need no order."""
        engine = weights_bench.upstream("e0", current, sorted(loaded))
        target = views.Target(
            wanted, prepared, weights_bench.STORE, 1, tuple(adapters), rises
        )
        view = views.EngineView.of(engine, ())
        needs = list(views.needs("planner", view.models_by_name["planner"], target))
        self.assertEqual(
            views.is_up_to_date(engine, {"planner": target}, {}), needs == []
        )


class ScheduleTest(unittest.TestCase):
    """The newest version reaches all engines after random faults have ended."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(
        st.integers(1, 6),
        st.lists(
            st.tuples(OUTCOMES, st.floats(0, 1), st.integers(0, 9), st.integers(0, 9)),
            max_size=60,
        ),
    )
    @schedules_support.played_by(__name__)
    def test_random_schedules(self, n_engines, schedule):
        """Random faults occur while versions are published.

        Orders fail, or are lost before or after the engine executed them. Engines crash
        and restart with version 0, and reports lag. At any time, an engine has at most
        one order, loads stay within the cap and at most half of the engines swap. When
        the faults end, every engine generates with the newest version within a minute.
        """
        bench = weights_bench.Bench(n_engines, max_concurrent_loads=2)
        in_flight = {}
        actual = dict(bench.engines)

        def run_pass():
            for order in bench.run_pass(0.25):
                self.assertNotIn(order.upstream_id, in_flight)
                in_flight[order.upstream_id] = order
            names = [each.action.kind for each in in_flight.values()]
            self.assertLessEqual(names.count(orders.LOAD), 2)
            self.assertLessEqual(names.count(orders.SWAP), max(1, n_engines // 2))

        def is_possible(order):
            served = actual[order.upstream_id].models["planner"]
            version = order.action.weight_version
            if order.action.kind == orders.SWAP:
                return version in served.loaded_versions
            return (
                order.action.kind != orders.UNLOAD or version != served.weight_version
            )

        def finish(order, outcome, jitter):
            del in_flight[order.upstream_id]
            if outcome == "done" and not is_possible(order):
                outcome = "failed"
            if outcome in ("done", "lost-done") and is_possible(order):
                engine = actual[order.upstream_id]
                actual[order.upstream_id] = weights_bench.carried_out(
                    engine, order.action
                )
            outcomes = {
                "done": orders.Done(),
                "failed": orders.Failed("500"),
                "lost": orders.Lost("reset"),
                "lost-done": orders.Lost("reset"),
                "rate": orders.RateLimited(2.0),
            }
            bench.answer(order, outcomes[outcome], jitter)

        for outcome, jitter, choice, event in schedule:
            run_pass()
            if in_flight:
                ids = sorted(in_flight)
                finish(in_flight[ids[choice % len(ids)]], outcome, jitter)
            if event < 5:
                bench.engines.update(actual)
            if event == 8:
                bench.want(weight_version=bench.targets["planner"].weight_version + 1)
            if event == 9:
                crashed = sorted(actual)[choice % n_engines]
                actual[crashed] = bench.engines[crashed] = weights_bench.upstream(
                    crashed, 0
                )
        newest = bench.targets["planner"].weight_version
        settled = upstream_model.ServedModel(newest, (newest,))
        for _ in range(4 * 60):
            run_pass()
            for order in list(in_flight.values()):
                finish(order, "done", 0.5)
            bench.engines.update(actual)
            served = {each.models["planner"] for each in actual.values()}
            if served == {settled}:
                break
        self.assertEqual(served, {settled})
