"""The planner's orders after given reports and outcomes."""

import unittest

from nose2 import tools

from bilberrydrum.upstreams import model as upstream_model
from bilberrydrum.weights import limiter, orders, planner, swaps, views
from tests import weights_bench


class LoadTest(unittest.TestCase):
    @tools.params((1, 1), (2, 2), (5, 5), (9, 5))
    def test_bundle_caps_concurrent_loads(self, cap, n_begun):
        bench = weights_bench.Bench(5, max_concurrent_loads=cap)
        issued = bench.run_pass()
        self.assertEqual(weights_bench.kinds(issued), [("load", 1)] * n_begun)
        self.assertEqual(bench.run_pass(0.25), [])
        bench.carry_out(issued[0])
        issued = bench.run_pass()
        self.assertEqual(("swap", 1), weights_bench.kinds(issued)[0])
        self.assertEqual(
            weights_bench.kinds(issued)[1:], [("load", 1)] if n_begun < 5 else []
        )

    def test_weight_store_over_its_rate(self):
        """The store refuses two of four concurrent loads and asks for a pause of 3 s.

        No engine is ordered to load during the pause. Afterwards half as many load at a
        time as before, not a quarter, because one overload caused both refusals. Each
        load that succeeds allows one more.
        """
        bench = weights_bench.Bench(12, max_concurrent_loads=4)
        issued = bench.run_pass()
        for order in issued[:2]:
            bench.answer(order, orders.RateLimited(3.0), jitter=0.0)
        for order in issued[2:]:
            bench.answer(order, orders.Failed("500"), jitter=0.0)
        self.assertEqual(bench.run_pass(2.9), [])
        issued = bench.run_pass(0.2)
        self.assertEqual(weights_bench.kinds(issued), [("load", 1)] * 2)
        bench.carry_out(issued[0])
        self.assertEqual(
            weights_bench.kinds(bench.run_pass()), [("swap", 1)] + [("load", 1)] * 2
        )

    def test_one_store_over_its_rate_does_not_stop_loads_from_another(self):
        models = {name: upstream_model.ServedModel(0, (0,)) for name in ("a", "b")}
        bench = weights_bench.Bench()
        bench.report(weights_bench.upstream("e0", models={"a": models["a"]}))
        bench.report(weights_bench.upstream("e1", models={"b": models["b"]}))
        bench.targets = {
            "a": views.Target(1, source="http://127.0.0.1:1"),
            "b": views.Target(1, source="http://127.0.0.1:2"),
        }
        first, second = bench.run_pass()
        bench.answer(first, orders.RateLimited(60.0))
        bench.answer(second, orders.Failed("500"))
        self.assertEqual([each.upstream_id for each in bench.run_pass(30.0)], ["e1"])

    def test_a_version_is_prepared_ahead_and_not_swapped_in(self):
        bench = weights_bench.Bench(2, version=1, weight_version=1, prepared_version=2)
        for order in bench.run_pass():
            self.assertEqual(order.action.kind, orders.LOAD)
            bench.carry_out(order)
        self.assertEqual(bench.run_pass(), [])
        bench.want(weight_version=2)
        self.assertEqual(weights_bench.kinds(bench.run_pass()), [("swap", 2)])


class SwapTest(unittest.TestCase):
    @tools.params(
        (1, 0.5, 1),
        (2, 0.5, 1),
        (3, 0.5, 1),
        (5, 0.5, 2),
        (5, 0.01, 1),
        (5, 1.0, 5),
        (870, 0.5, 435),
    )
    def test_one_engine_first_then_a_share_of_them(self, n_engines, share, n_swaps):
        """A version that makes engines fail must not take down all of them.

        One engine swaps first. When it generates with the new version, the others
        follow, at most the given share of all engines at a time.
        """
        bench = weights_bench.Bench(n_engines, loaded=(0, 1), share=share)
        first = bench.run_pass()
        self.assertEqual(weights_bench.kinds(first), [("swap", 1)])
        self.assertEqual(bench.run_pass(0.25), [])
        bench.carry_out(first[0])
        swaps = [each for each in bench.run_pass() if each.action.kind == orders.SWAP]
        self.assertEqual(len(swaps), min(n_swaps, n_engines - 1))

    def test_engines_with_the_oldest_weights_and_the_least_work_go_first(self):
        bench = weights_bench.Bench(weight_version=3, max_concurrent_loads=3)
        load = upstream_model.Load
        bench.report(weights_bench.upstream("e0", 2, load=load(n_running=0)))
        bench.report(weights_bench.upstream("e1", 1, load=load(n_running=7)))
        bench.report(weights_bench.upstream("e2", 1, load=load(n_running=2)))
        self.assertEqual(
            [each.upstream_id for each in bench.run_pass()], ["e2", "e1", "e0"]
        )

    def test_failing_first_swap_is_tried_on_one_engine_at_a_time(self):
        """The first swap to a version fails on every engine.

        If several engines tried it at a time, the version could take down all of them.
        So one engine tries after another, and each one waits after its failure.
        """
        bench = weights_bench.Bench(3, loaded=(0, 1))
        tried = []
        for _ in range(3):
            (order,) = bench.run_pass()
            tried.append(order.upstream_id)
            bench.answer(order, orders.Failed("500"))
        self.assertEqual(tried, ["e000", "e001", "e002"])
        self.assertEqual(bench.run_pass(), [])
        (order,) = bench.run_pass(planner.RETRY_SECONDS)
        self.assertEqual(order.upstream_id, "e000")

    @tools.params((1, 0.5), (2, 1.0), (4, 4.0), (7, 30.0), (12, 30.0))
    def test_swap_fails_n_times(self, n_failures, delay):
        """One of two engines fails its swap several times and then succeeds.

        Each retry waits longer, up to a limit, and has a new order id. The failures are
        reported until the swap succeeds.
        """
        bench = weights_bench.Bench(2, loaded=(0, 1))
        bench.report(weights_bench.upstream("e001", 1, (1,)))
        order_ids = set()
        for _ in range(n_failures):
            (order,) = bench.run_pass(planner.MAX_RETRY_SECONDS)
            order_ids.add(order.order_id)
            bench.answer(order, orders.Failed("500 no memory"), jitter=1.0)
        (retry,) = bench.planner.failed_by_engine_id()["e000"]
        self.assertEqual(
            (retry.n_failures, retry.detail), (n_failures, "500 no memory")
        )
        self.assertEqual(bench.run_pass(delay - 0.01), [])
        (order,) = bench.run_pass(0.02)
        self.assertEqual(len(order_ids | {order.order_id}), n_failures + 1)
        bench.carry_out(order)
        bench.run_pass()
        self.assertEqual(bench.planner.failed_by_engine_id(), {})

    def test_a_slow_first_swap_does_not_hold_up_the_others_for_long(self):
        bench = weights_bench.Bench(3, loaded=(0, 1))
        self.assertEqual(len(bench.run_pass()), 1)
        self.assertEqual(len(bench.run_pass(swaps.FIRST_SWAP_SECONDS - 0.1)), 0)
        self.assertEqual(len(bench.run_pass(0.2)), 1)

    def test_one_order_at_a_time_for_an_engine_with_several_models(self):
        served = upstream_model.ServedModel(0, (0, 1))
        bench = weights_bench.Bench()
        bench.targets = {name: views.Target(1) for name in ("wages", "exits")}
        models = {"wages": served, "exits": served}
        bench.report(weights_bench.upstream("e0", models=models))
        (order,) = bench.run_pass()
        self.assertEqual(bench.run_pass(1.0), [])
        bench.carry_out(order)
        (other,) = bench.run_pass()
        self.assertNotEqual(order.action.model, other.action.model)

    def test_bundle_may_set_an_older_version(self):
        bench = weights_bench.Bench(1, version=4, weight_version=3, only_rises=False)
        (order,) = bench.run_pass()
        self.assertEqual(weights_bench.kinds([order]), [("load", 3)])
        bench.carry_out(order)
        self.assertEqual(weights_bench.kinds(bench.run_pass()), [("swap", 3)])


class ReportTest(unittest.TestCase):
    def test_reports_that_lag_behind_orders(self):
        """An engine has loaded and swapped, but its report still shows neither.

        The swap follows the load without waiting for the report, and no order is issued
        twice while the report may lag. If the report still shows the old version after
        that time, the engine has lost the load, so it is ordered again under a new id.
        """
        bench = weights_bench.Bench(1)
        (load,) = bench.run_pass()
        bench.answer(load, orders.Done())
        (swap,) = bench.run_pass()
        self.assertEqual(weights_bench.kinds([swap]), [("swap", 1)])
        bench.answer(swap, orders.Done())
        self.assertEqual(weights_bench.kinds(bench.run_pass()), [("unload", 0)])
        self.assertEqual(bench.run_pass(weights_bench.LAG - 0.1), [])
        bench.planner.step(bench.now, planner.OrderFinished("1-3", orders.Done(), 0.0))
        (again,) = bench.run_pass(0.2)
        self.assertEqual(weights_bench.kinds([again]), [("load", 1)])
        self.assertNotEqual(again.order_id, load.order_id)

    @tools.params(
        ("before", (0,), 0, [("load", 1)]),
        ("loaded", (0, 1), 0, [("swap", 1)]),
        ("after", (0, 1), 1, [("unload", 0)]),
        ("other", (7,), 7, [("load", 1)]),
    )
    def test_engine_crashes_during_a_swap(self, _name, loaded, version, following):
        """An engine crashes during a swap and restarts, possibly with other weights.

        If the planner relied on its order, it could swap to a version that is not
        loaded. The next order must follow from what the engine reports.
        """
        bench = weights_bench.Bench(1, loaded=(0, 1))
        (swap,) = bench.run_pass()
        bench.answer(swap, orders.Lost("connection reset"))
        bench.engines.clear()
        self.assertEqual(bench.run_pass(1.0), [])
        bench.report(weights_bench.upstream("e000", version, loaded))
        self.assertEqual(weights_bench.kinds(bench.run_pass(1.0)), following)

    @tools.params(("kept", (0, 1)), ("lost", (0,)))
    def test_engine_that_crashes_at_each_swap(self, _name, loaded):
        """An engine crashes at each swap and restarts.

        If the planner dropped the failures while the engine is away or has to load the
        version again, it would crash the engine at a constant rate. The time between
        swaps must grow, whether the version is still in memory or not.
        """
        bench = weights_bench.Bench(1, loaded=loaded)
        gaps = []
        since = bench.now
        while len(gaps) < 6:
            for order in bench.run_pass(0.25):
                if order.action.kind == orders.LOAD:
                    bench.carry_out(order)
                    continue
                gaps.append(bench.now - since)
                since = bench.now
                bench.answer(order, orders.Lost("connection reset"))
                bench.engines.clear()
                bench.run_pass(0.25)
                bench.report(weights_bench.upstream("e000", 0, loaded))
        self.assertEqual(gaps, sorted(gaps))
        self.assertGreater(gaps[-1], 7.0)

    def test_engine_that_restarts_on_another_host_gets_a_new_order(self):
        """An engine's host is lost during a load, and the engine restarts elsewhere.

        The order to the lost host ends only after the time limit for a load. If the
        planner waited for that, the restarted engine, which has the same id, would stay
        without weights. It gets its own order at once, and the late outcome of the
        first order has no effect.
        """
        bench = weights_bench.Bench(1)
        (lost,) = bench.run_pass()
        bench.report(weights_bench.upstream("e000", address="10.0.0.2:1"))
        (order,) = bench.run_pass()
        self.assertEqual(order.address, "10.0.0.2:1")
        bench.answer(lost, orders.Done())
        self.assertEqual(bench.run_pass(), [])

    def test_order_id_is_reused_only_after_a_lost_answer(self):
        bench = weights_bench.Bench(1)
        (first,) = bench.run_pass()
        bench.answer(first, orders.Lost("timeout"))
        (second,) = bench.run_pass(1.0)
        self.assertEqual(second.order_id, first.order_id)
        bench.answer(second, orders.Failed("500"))
        (third,) = bench.run_pass(1.0)
        self.assertNotEqual(third.order_id, first.order_id)


class SupersededTest(unittest.TestCase):
    def test_newer_version_published_during_a_roll_out(self):
        """Version 2 is published while some engines load version 1 and others wait.

        The waiting engines load version 2 instead, and failures to load version 1 are
        dropped. An engine that has loaded version 1 does not swap to it if it can load
        version 2 immediately.
        """
        bench = weights_bench.Bench(4, max_concurrent_loads=2)
        first, second = bench.run_pass()
        bench.answer(first, orders.Failed("500"))
        bench.want(weight_version=2)
        issued = bench.run_pass()
        self.assertEqual(weights_bench.kinds(issued), [("load", 2)])
        bench.carry_out(second)
        bench.run_pass()
        self.assertEqual(bench.planner.failed_by_engine_id(), {})

    def test_intermediate_version_is_used_until_the_newest_can_load(self):
        bench = weights_bench.Bench(weight_version=3, max_concurrent_loads=1)
        bench.report(weights_bench.upstream("e0", 0, (0,)))
        bench.report(weights_bench.upstream("e1", 1, (1, 2)))
        self.assertEqual(
            weights_bench.kinds(bench.run_pass()), [("load", 3), ("swap", 2)]
        )

    def test_unneeded_versions_are_unloaded(self):
        bench = weights_bench.Bench(weight_version=5, prepared_version=6)
        bench.report(weights_bench.upstream("e0", 5, (3, 4, 5, 6, 9)))
        issued = []
        while order := bench.run_pass():
            issued += order
            bench.carry_out(order[0])
        self.assertEqual(
            weights_bench.kinds(issued), [("unload", 3), ("unload", 4), ("unload", 9)]
        )


class FencingTest(unittest.TestCase):
    def test_refused_fencing_number_stops_all_orders(self):
        """An engine refuses an order because it has accepted a higher fencing number.

        A newer controller may be active, for example because this process was suspended
        for a while. Orders to engines that ignore fencing numbers would undo those of
        the newer controller, so no order is issued under the old number. With the
        number of a new lease, planning starts again from the engines' reports.
        """
        bench = weights_bench.Bench(3)
        bench.report(weights_bench.upstream("e003", checks_fencing=False))
        first, *others = bench.run_pass()
        bench.answer(first, orders.Fenced())
        self.assertEqual(bench.run_pass(), [])
        for order in others:
            bench.answer(order, orders.Done())
        self.assertEqual(bench.run_pass(weights_bench.LEASE - 0.01), [])
        bench.number = 4
        issued = bench.run_pass()
        self.assertEqual(
            weights_bench.kinds(issued), [("load", 1)] * len(bench.engines)
        )
        self.assertTrue(all(each.order_id.startswith("4-") for each in issued))

    def test_engine_with_too_high_a_number_delays_only_itself(self):
        """An engine refuses every order, although there is no newer controller.

        The engine's fencing number is higher than the state group's. If its refusals
        stopped all orders for good, no engine would get new weights. After one lease
        length this controller has renewed its lease, so the other engines get their
        orders. The engine that refuses is retried at growing intervals and listed
        among the failures.
        """
        bench = weights_bench.Bench(2)
        bench.answer(bench.run_pass()[0], orders.Fenced())
        for n_failures in (2, 3):
            issued = bench.run_pass(weights_bench.LEASE)
            self.assertEqual(len(issued), 2)
            bench.answer(issued[0], orders.Fenced())
            (failed,) = bench.planner.failed_by_engine_id()["e000"]
            self.assertEqual(failed.n_failures, n_failures)

    def test_answers_to_orders_of_an_earlier_lease_have_no_effect(self):
        bench = weights_bench.Bench(1)
        (order,) = bench.run_pass()
        bench.number = 2
        (reissued,) = bench.run_pass()
        bench.answer(order, orders.Fenced())
        self.assertEqual(bench.run_pass(), [])
        bench.carry_out(reissued)
        self.assertEqual(weights_bench.kinds(bench.run_pass()), [("swap", 1)])

    def test_engines_that_ignore_the_number_wait_for_earlier_orders(self):
        bench = weights_bench.Bench(1)
        bench.report(weights_bench.upstream("e001", checks_fencing=False))
        bench.unfenced = False
        self.assertEqual([each.upstream_id for each in bench.run_pass()], ["e000"])
        bench.unfenced = True
        self.assertEqual([each.upstream_id for each in bench.run_pass()], ["e001"])


class OtherOrdersTest(unittest.TestCase):
    def test_adapters_of_the_bundle(self):
        bench = weights_bench.Bench(1, version=1, adapters=("dry", "wet"))
        issued = []
        while order := bench.run_pass():
            issued += order
            bench.carry_out(order[0])
        self.assertEqual([each.action.adapter for each in issued], ["dry", "wet"])

    def test_role(self):
        bench = weights_bench.Bench(2, version=1)
        bench.roles = {"e001": "prefill", "gone": "prefill"}
        (order,) = bench.run_pass()
        self.assertEqual((order.upstream_id, order.action.role), ("e001", "prefill"))
        bench.carry_out(order)
        self.assertEqual(bench.run_pass(), [])


class LimiterTest(unittest.TestCase):
    def test_a_pause_is_never_shortened(self):
        loads = limiter.Limiter()
        loads.set_cap("planner", 8, 0)
        loads.record_refusal("planner", weights_bench.STORE, 10.0, 0.0, 0.0)
        loads.record_refusal("planner", weights_bench.STORE, 1.0, 0.0, 1.0)
        self.assertFalse(loads.try_begin("planner", weights_bench.STORE, 9.9))
        self.assertTrue(loads.try_begin("planner", weights_bench.STORE, 10.0))
