"""Which order goes to which engine next: events in, orders out."""

import unittest

from nose2 import tools

from bilberrydrum.upstreams import model as upstream_model
from bilberrydrum.weights import limiter, orders, planner, swaps, views
from tests import weights_bench


class LoadTest(unittest.TestCase):
    @tools.params((1, 1), (2, 2), (5, 5), (9, 5))
    def test_no_more_loads_at_a_time_than_the_bundle_says(self, cap, n_begun):
        bench = weights_bench.Bench(5, max_concurrent_loads=cap)
        given = bench.turn()
        self.assertEqual(weights_bench.kinds(given), [("load", 1)] * n_begun)
        self.assertEqual(bench.turn(0.25), [])
        bench.carry_out(given[0])
        given = bench.turn()
        self.assertEqual(("swap", 1), weights_bench.kinds(given)[0])
        self.assertEqual(
            weights_bench.kinds(given)[1:], [("load", 1)] if n_begun < 5 else []
        )

    def test_weight_store_over_its_rate(self):
        """Four loads run at a time; the store refuses two of them for 3 s.

        Until the 3 s are over no engine is told to load. After that half as many load
        at a time as before, for both were refused by one overload, and each load that
        succeeds allows one more.
        """
        bench = weights_bench.Bench(12, max_concurrent_loads=4)
        given = bench.turn()
        for order in given[:2]:
            bench.answer(order, orders.RateLimited(3.0), jitter=0.0)
        for order in given[2:]:
            bench.answer(order, orders.Failed("500"), jitter=0.0)
        self.assertEqual(bench.turn(2.9), [])
        given = bench.turn(0.2)
        self.assertEqual(weights_bench.kinds(given), [("load", 1)] * 2)
        bench.carry_out(given[0])
        self.assertEqual(
            weights_bench.kinds(bench.turn()), [("swap", 1)] + [("load", 1)] * 2
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
        first, second = bench.turn()
        bench.answer(first, orders.RateLimited(60.0))
        bench.answer(second, orders.Failed("500"))
        self.assertEqual([each.upstream_id for each in bench.turn(30.0)], ["e1"])

    def test_a_version_is_prepared_ahead_and_not_swapped_in(self):
        bench = weights_bench.Bench(2, version=1, weight_version=1, prepared_version=2)
        for order in bench.turn():
            self.assertEqual(order.action.kind, orders.LOAD)
            bench.carry_out(order)
        self.assertEqual(bench.turn(), [])
        bench.want(weight_version=2)
        self.assertEqual(weights_bench.kinds(bench.turn()), [("swap", 2)])


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
        """A version that makes engines fail must not take all of them.

        One engine swaps first. Only when it generates with the new version do
        others follow, at most the given share of all engines at a time.
        """
        bench = weights_bench.Bench(n_engines, loaded=(0, 1), share=share)
        first = bench.turn()
        self.assertEqual(weights_bench.kinds(first), [("swap", 1)])
        self.assertEqual(bench.turn(0.25), [])
        bench.carry_out(first[0])
        swaps = [each for each in bench.turn() if each.action.kind == orders.SWAP]
        self.assertEqual(len(swaps), min(n_swaps, n_engines - 1))

    def test_engines_with_the_oldest_weights_and_the_least_work_go_first(self):
        bench = weights_bench.Bench(weight_version=3, max_concurrent_loads=3)
        load = upstream_model.Load
        bench.report(weights_bench.upstream("e0", 2, load=load(n_running=0)))
        bench.report(weights_bench.upstream("e1", 1, load=load(n_running=7)))
        bench.report(weights_bench.upstream("e2", 1, load=load(n_running=2)))
        self.assertEqual(
            [each.upstream_id for each in bench.turn()], ["e2", "e1", "e0"]
        )

    def test_a_first_swap_that_fails_is_tried_by_one_engine_after_another(self):
        """The swap fails on every engine that tries it.

        Never do two engines try at a time, and the one that failed waits longer after
        each failure, while the others go on serving.
        """
        bench = weights_bench.Bench(3, loaded=(0, 1))
        tried = []
        for _ in range(3):
            (order,) = bench.turn()
            tried.append(order.upstream_id)
            bench.answer(order, orders.Failed("500"))
        self.assertEqual(tried, ["e000", "e001", "e002"])
        self.assertEqual(bench.turn(), [])
        (order,) = bench.turn(planner.RETRY_SECONDS)
        self.assertEqual(order.upstream_id, "e000")

    @tools.params((1, 0.5), (2, 1.0), (4, 4.0), (7, 30.0), (12, 30.0))
    def test_swap_fails_n_times(self, n_failures, delay):
        """One engine of two fails its swap n times and then carries it out.

        Each time it is tried again later, the order gets a new id, and what failed
        can be seen until it has worked.
        """
        bench = weights_bench.Bench(2, loaded=(0, 1))
        bench.report(weights_bench.upstream("e001", 1, (1,)))
        order_ids = set()
        for _ in range(n_failures):
            (order,) = bench.turn(planner.MAX_RETRY_SECONDS)
            order_ids.add(order.order_id)
            bench.answer(order, orders.Failed("500 no memory"), jitter=1.0)
        (retry,) = bench.planner.failed_by_engine_id()["e000"]
        self.assertEqual(
            (retry.n_failures, retry.detail), (n_failures, "500 no memory")
        )
        self.assertEqual(bench.turn(delay - 0.01), [])
        (order,) = bench.turn(0.02)
        self.assertEqual(len(order_ids | {order.order_id}), n_failures + 1)
        bench.carry_out(order)
        bench.turn()
        self.assertEqual(bench.planner.failed_by_engine_id(), {})

    def test_a_slow_first_swap_does_not_hold_up_the_others_for_long(self):
        bench = weights_bench.Bench(3, loaded=(0, 1))
        self.assertEqual(len(bench.turn()), 1)
        self.assertEqual(len(bench.turn(swaps.TRIAL_SECONDS - 0.1)), 0)
        self.assertEqual(len(bench.turn(0.2)), 1)

    def test_one_order_at_a_time_for_an_engine_with_several_models(self):
        served = upstream_model.ServedModel(0, (0, 1))
        bench = weights_bench.Bench()
        bench.targets = {name: views.Target(1) for name in ("wages", "exits")}
        models = {"wages": served, "exits": served}
        bench.report(weights_bench.upstream("e0", models=models))
        (order,) = bench.turn()
        self.assertEqual(bench.turn(1.0), [])
        bench.carry_out(order)
        (other,) = bench.turn()
        self.assertNotEqual(order.action.model, other.action.model)

    def test_a_bundle_may_name_an_older_version(self):
        bench = weights_bench.Bench(1, version=4, weight_version=3, only_rises=False)
        (order,) = bench.turn()
        self.assertEqual(weights_bench.kinds([order]), [("load", 3)])
        bench.carry_out(order)
        self.assertEqual(weights_bench.kinds(bench.turn()), [("swap", 3)])


class ReportTest(unittest.TestCase):
    def test_reports_that_lag_behind_orders(self):
        """The engine has loaded and swapped; its report still shows neither.

        The swap follows the load without waiting for the report, and nothing is
        ordered twice while the report may lag. When it should have caught up and
        still shows the old version, the report is believed and the load ordered anew,
        under a new id.
        """
        bench = weights_bench.Bench(1)
        (load,) = bench.turn()
        bench.answer(load, orders.Done())
        (swap,) = bench.turn()
        self.assertEqual(weights_bench.kinds([swap]), [("swap", 1)])
        bench.answer(swap, orders.Done())
        self.assertEqual(weights_bench.kinds(bench.turn()), [("unload", 0)])
        self.assertEqual(bench.turn(weights_bench.LAG - 0.1), [])
        bench.planner.step(bench.now, planner.Answered("1-3", orders.Done(), 0.0))
        (again,) = bench.turn(0.2)
        self.assertEqual(weights_bench.kinds([again]), [("load", 1)])
        self.assertNotEqual(again.order_id, load.order_id)

    @tools.params(
        ("before", (0,), 0, [("load", 1)]),
        ("loaded", (0, 1), 0, [("swap", 1)]),
        ("after", (0, 1), 1, [("unload", 0)]),
        ("other", (7,), 7, [("load", 1)]),
    )
    def test_engine_crashes_in_a_swap(self, _name, loaded, version, following):
        """The engine dies with the swap in hand and comes back, with other weights.

        What it reports then is what counts, whatever it was ordered: it is brought to
        the newest version from where it is.
        """
        bench = weights_bench.Bench(1, loaded=(0, 1))
        (swap,) = bench.turn()
        bench.answer(swap, orders.Lost("connection reset"))
        bench.engines.clear()
        self.assertEqual(bench.turn(1.0), [])
        bench.report(weights_bench.upstream("e000", version, loaded))
        self.assertEqual(weights_bench.kinds(bench.turn(1.0)), following)

    @tools.params(("kept", (0, 1)), ("lost", (0,)))
    def test_engine_that_crashes_at_each_swap(self, _name, loaded):
        """The engine dies at each swap and comes back, with or without the version in
        memory. Its swaps are tried less and less often, also when it has to load first
        each time.
        """
        bench = weights_bench.Bench(1, loaded=loaded)
        gaps = []
        since = bench.now
        while len(gaps) < 6:
            for order in bench.turn(0.25):
                if order.action.kind == orders.LOAD:
                    bench.carry_out(order)
                    continue
                gaps.append(bench.now - since)
                since = bench.now
                bench.answer(order, orders.Lost("connection reset"))
                bench.engines.clear()
                bench.turn(0.25)
                bench.report(weights_bench.upstream("e000", 0, loaded))
        self.assertEqual(gaps, sorted(gaps))
        self.assertGreater(gaps[-1], 7.0)

    def test_engine_that_comes_back_elsewhere_is_not_kept_waiting(self):
        """An engine's host is lost while it loads, and answers nothing any more.

        The order would come to its end only after the longest load. The engine that
        comes back under the same id on another host gets its own order at once; the
        late end of the first has no effect.
        """
        bench = weights_bench.Bench(1)
        (lost,) = bench.turn()
        bench.report(weights_bench.upstream("e000", address="10.0.0.2:1"))
        (order,) = bench.turn()
        self.assertEqual(order.address, "10.0.0.2:1")
        bench.answer(lost, orders.Done())
        self.assertEqual(bench.turn(), [])

    def test_a_lost_answer_and_a_failure_differ(self):
        bench = weights_bench.Bench(1)
        (first,) = bench.turn()
        bench.answer(first, orders.Lost("timeout"))
        (second,) = bench.turn(1.0)
        self.assertEqual(second.order_id, first.order_id)
        bench.answer(second, orders.Failed("500"))
        (third,) = bench.turn(1.0)
        self.assertNotEqual(third.order_id, first.order_id)


class SupersededTest(unittest.TestCase):
    def test_newer_version_published_in_a_roll_out(self):
        """Version 2 is published while some engines load 1 and others wait to.

        Those that wait never load version 1, what failed for it is forgotten, and
        those that have it are not told to swap to it when they can load 2 at once.
        """
        bench = weights_bench.Bench(4, max_concurrent_loads=2)
        first, second = bench.turn()
        bench.answer(first, orders.Failed("500"))
        bench.want(weight_version=2)
        given = bench.turn()
        self.assertEqual(weights_bench.kinds(given), [("load", 2)])
        bench.carry_out(second)
        bench.turn()
        self.assertEqual(bench.planner.failed_by_engine_id(), {})

    def test_a_version_between_is_used_while_the_newest_waits_for_its_load(self):
        bench = weights_bench.Bench(weight_version=3, max_concurrent_loads=1)
        bench.report(weights_bench.upstream("e0", 0, (0,)))
        bench.report(weights_bench.upstream("e1", 1, (1, 2)))
        self.assertEqual(weights_bench.kinds(bench.turn()), [("load", 3), ("swap", 2)])

    def test_versions_of_no_use_are_unloaded(self):
        bench = weights_bench.Bench(weight_version=5, prepared_version=6)
        bench.report(weights_bench.upstream("e0", 5, (3, 4, 5, 6, 9)))
        given = []
        while order := bench.turn():
            given += order
            bench.carry_out(order[0])
        self.assertEqual(
            weights_bench.kinds(given), [("unload", 3), ("unload", 4), ("unload", 9)]
        )


class FencingTest(unittest.TestCase):
    def test_a_refused_number_ends_the_ordering(self):
        """An engine has taken orders under a higher number: there may be a newer
        controller, and this one was stopped for a while. Nothing more is ordered
        under the old number, also not to engines that would not notice; a new lease
        brings a new number and starts over from what the engines report.
        """
        bench = weights_bench.Bench(3)
        bench.report(weights_bench.upstream("e003", checks_fencing=False))
        first, *others = bench.turn()
        bench.answer(first, orders.Fenced())
        self.assertEqual(bench.turn(), [])
        for order in others:
            bench.answer(order, orders.Done())
        self.assertEqual(bench.turn(weights_bench.LEASE - 0.01), [])
        bench.number = 4
        given = bench.turn()
        self.assertEqual(weights_bench.kinds(given), [("load", 1)] * len(bench.engines))
        self.assertTrue(all(each.order_id.startswith("4-") for each in given))

    def test_an_engine_whose_number_is_ahead_holds_up_only_itself(self):
        """One engine refuses every order, though no newer controller exists: its
        number is ahead of the state group's. After a whole lease the right was
        renewed, so the others get their orders; that engine is tried less and less
        often, and can be seen among the failures.
        """
        bench = weights_bench.Bench(2)
        bench.answer(bench.turn()[0], orders.Fenced())
        for n_failures in (2, 3):
            given = bench.turn(weights_bench.LEASE)
            self.assertEqual(len(given), 2)
            bench.answer(given[0], orders.Fenced())
            (failed,) = bench.planner.failed_by_engine_id()["e000"]
            self.assertEqual(failed.n_failures, n_failures)

    def test_answers_to_orders_of_an_earlier_lease_have_no_effect(self):
        bench = weights_bench.Bench(1)
        (order,) = bench.turn()
        bench.number = 2
        (anew,) = bench.turn()
        bench.answer(order, orders.Fenced())
        self.assertEqual(bench.turn(), [])
        bench.carry_out(anew)
        self.assertEqual(weights_bench.kinds(bench.turn()), [("swap", 1)])

    def test_engines_that_ignore_the_number_wait_for_the_earlier_controller(self):
        bench = weights_bench.Bench(1)
        bench.report(weights_bench.upstream("e001", checks_fencing=False))
        bench.unfenced = False
        self.assertEqual([each.upstream_id for each in bench.turn()], ["e000"])
        bench.unfenced = True
        self.assertEqual([each.upstream_id for each in bench.turn()], ["e001"])


class OtherOrdersTest(unittest.TestCase):
    def test_adapters_of_the_bundle(self):
        bench = weights_bench.Bench(1, version=1, adapters=("dry", "wet"))
        given = []
        while order := bench.turn():
            given += order
            bench.carry_out(order[0])
        self.assertEqual([each.action.adapter for each in given], ["dry", "wet"])

    def test_role(self):
        bench = weights_bench.Bench(2, version=1)
        bench.roles = {"e001": "prefill", "gone": "prefill"}
        (order,) = bench.turn()
        self.assertEqual((order.upstream_id, order.action.role), ("e001", "prefill"))
        bench.carry_out(order)
        self.assertEqual(bench.turn(), [])


class LimiterTest(unittest.TestCase):
    def test_a_pause_is_never_shortened(self):
        loads = limiter.Limiter()
        loads.set_cap("planner", 8, 0)
        loads.refused("planner", weights_bench.STORE, 10.0, 0.0, 0.0)
        loads.refused("planner", weights_bench.STORE, 1.0, 0.0, 1.0)
        self.assertFalse(loads.try_begin("planner", weights_bench.STORE, 9.9))
        self.assertTrue(loads.try_begin("planner", weights_bench.STORE, 10.0))
