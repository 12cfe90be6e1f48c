"""The cost of one scheduling pass of the runner with many engines and items."""

import collections
import sys
import types
import unittest
from unittest import mock

import attrs
import eventlet
from nose2 import tools

from bilberrydrum import clock, quarantine
from bilberrydrum.batches import engines, hooks, model, runner
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy
from bilberrydrum.relay import crash_watch
from bilberrydrum.requests import attempts, connections, watch
from tests import helpers
from tests.fakes import counted

N_ENGINES = 20
N_ITEMS = 60


def upstream(number, version=1):
    versions = {"m": version}
    return fleet_model.FleetUpstream(
        f"e{number:02}", "s", "127.0.0.1:1", "z", 6, versions_by_model=versions
    )


def given_hooks():
    return hooks.Hooks(
        finish=lambda *each: None,
        keep_text=lambda *each: None,
        score=lambda *each: None,
        save=lambda *each: None,
        fencing_number=lambda: None,
        may_send=lambda: True,
        holder="h",
    )


class SchedulingPassCase(unittest.TestCase):
    """A runner whose scheduling passes are called by the test; nothing is sent."""

    def setUp(self):
        share = policy.Share("s", 1.0)
        route = policy.Route(
            "r", "h", "/p/", policy.RouteKind.BATCH, (share,), is_single_version=True
        )
        service = policy.Service("s", models=("m",))
        self.view = types.SimpleNamespace(
            routes=policy.RouteTable(policy.Policy(1, (route,), (service,))),
            registry=fleet_model.Registry(
                1, counted.CountedTuple(upstream(n) for n in range(N_ENGINES))
            ),
            watch=lambda callback: None,
            unwatch=lambda callback: None,
        )
        standing = quarantine.Standing.CLEAR
        self.must_wait = False
        self.runner = runner.BatchRunner(
            None,
            self.view,
            attempts.Resources(connections.ConnectionPool(), watch.ClientWatch()),
            given_hooks(),
            None,
            types.SimpleNamespace(
                standing=lambda fingerprint: standing,
                must_run_apart=lambda fingerprint: self.must_wait,
                must_wait=lambda fingerprint: self.must_wait,
            ),
        )
        items = tuple(
            model.Item(f"i{n}", "/p/x", {}, b"body", 20, f"g{n // 8}")
            for n in range(N_ITEMS)
        )
        batch = model.Batch("b", "h", items, model="m")
        self.runner.accept(model.KeptBatch.of(batch, 0.0))

    def change(self, *upstreams):
        """Replace the registry by one with these upstreams."""
        self.view.registry = fleet_model.Registry(
            self.view.registry.index + 1, counted.CountedTuple(upstreams)
        )

    def run_pass(self):
        """Run one scheduling pass; return the engines to which items are sent."""
        with mock.patch.object(self.runner._items, "send") as send:
            self.runner._run_pass()
        return [call.args[2] for call in send.call_args_list]


class WaitsForQuiet(SchedulingPassCase):
    def test_item_is_sent_once_no_engine_crashes(self):
        """Guard against an unrelated item that is quarantined in a burst of crashes."""
        self.must_wait = True
        self.assertEqual(self.run_pass(), [])
        self.must_wait = False
        self.assertEqual(len(self.run_pass()), N_ITEMS)


class ErrorInTheDivision(SchedulingPassCase):
    """Guard against an error in the division of the engines that stops all items."""

    def test_items_are_sent(self):
        divider = self.runner._divider
        with mock.patch.object(divider, "step", side_effect=ValueError("step")):
            self.assertEqual(len(self.run_pass()), N_ITEMS)

    def test_batches_are_accepted_and_ended(self):
        divider = self.runner._divider
        batch = model.Batch("b2", "h", (model.Item("i", "/p/x", {}, b"", 20),))
        with (
            mock.patch.object(divider, "record_submission", side_effect=ValueError),
            mock.patch.object(divider, "record_end", side_effect=ValueError),
        ):
            self.runner.accept(model.KeptBatch.of(batch, 0.0))
            self.assertEqual(len(self.run_pass()), N_ITEMS + 1)
            self.runner.end("b2")


class ManyItems(SchedulingPassCase):
    def test_versions_are_gathered_once(self):
        """Guard against a pass that visits all engines for each waiting item.

        If the versions of all engines are collected once per item, this takes 0.2 s per
        pass with 600 items that each need a single version, and 3,000 engines.
        """
        original = engines.Engines.versions_of
        asked = []

        def versions_of(known, name):
            asked.append(name)
            return original(known, name)

        with mock.patch.object(engines.Engines, "versions_of", versions_of):
            self.assertEqual(len(self.run_pass()), N_ITEMS)
        self.assertEqual(asked, ["m"])


class ManyEngines(SchedulingPassCase):
    """Most scheduling passes find the registry unchanged."""

    def test_registry_is_gone_through_once(self):
        """Guard against a pass that iterates over an unchanged registry.

        Each item and each load that ends causes a pass, a hundred times a second. The
        registry changes less often. If each pass iterates over it, a pass with nothing
        to do takes 20 to 40 ms with 3,000 engines.
        """
        self.run_pass()
        counted.CountedTuple.n_passes = 0
        for _ in range(5):
            self.run_pass()
        self.assertEqual(counted.CountedTuple.n_passes, 0)
        self.change(upstream(0), upstream(1))
        self.run_pass()
        self.assertEqual(counted.CountedTuple.n_passes, 1)

    def test_change_of_the_registry(self):
        self.run_pass()
        stays, goes, is_new = upstream(0), upstream(1), upstream(50)
        self.change(stays, goes)
        self.run_pass()
        leaving = attrs.evolve(stays, is_leaving=True)
        self.change(attrs.evolve(leaving, versions_by_model={"m": 2}), is_new)
        sent_to = {each.upstream_id for each in self.run_pass()}
        known = self.runner._engines.by_id
        self.assertEqual(known.keys(), {"e00", "e50"})
        self.assertEqual(known["e00"].versions_by_model, {"m": 2})
        self.assertEqual(sent_to, {"e50"})

    @tools.params(("earlier", 1, 2), ("the same", 2, 2), ("later", 3, 3))
    def test_announced_version_is_kept(self, name, answered, expected):
        """Guard against an announced version that is lost to an older answer.

        An engine that has announced version 2 answers under another version. Within one
        incarnation versions only increase, so an answer under version 1 had begun
        before. The registry is not read again while it is unchanged, so the announced
        version has to be kept when the answer arrives.
        """
        self.change(upstream(0, version=2))
        self.run_pass()
        self.runner._engines.by_id["e00"].correct_version("m", answered)
        self.run_pass()
        versions = self.runner._engines.by_id["e00"].versions_by_model
        self.assertEqual(versions, {"m": expected}, name)

    def test_change_of_the_policy(self):
        self.run_pass()
        policy_ = self.view.routes.policy
        service = policy.Service("s", models=("m",), n_cache_tokens=99)
        changed = attrs.evolve(policy_, version=2, services=(service,))
        self.view.routes = policy.RouteTable(changed)
        self.run_pass()
        known = self.runner._engines.by_id.values()
        self.assertEqual({each.n_cache_tokens for each in known}, {99})


class LongPasses(SchedulingPassCase):
    """Items and loads end all the time, and each end makes a pass due."""

    STEP_SECONDS = 0.005
    N_STEPS = 200

    @tools.params(
        ("few engines", 0.002, 66, 100, 0.2),
        ("3,000 engines", 0.06, 7, 9, 0.36),
        ("stalled during a pass", 1.0, 3, 5, 1.0),
    )
    def test_time_for_others(self, name, pass_seconds, least, most, share):
        """Guard against passes that leave no time for the other tasks.

        With 3,000 engines a pass takes 60 ms. If the next one is due 10 ms after it,
        however long it has taken, the process has a seventh of its time left to read
        the events of all items and to commit their results. At full load it then serves
        almost nothing.
        """
        passes = []

        def run_pass():
            passes.append(pass_seconds)
            manual.advance(pass_seconds)

        with helpers.manual_clock() as manual:
            began = manual()
            with mock.patch.object(self.runner, "_run_pass", run_pass):
                self.runner.start([])
                for _ in range(self.N_STEPS):
                    self.work()
                    manual.advance(self.STEP_SECONDS)
            self.runner.stop()
            seconds = manual() - began
        self.assertTrue(least <= len(passes) <= most, (name, len(passes)))
        self.assertLessEqual(sum(passes) / seconds, share, name)

    def work(self):
        """Simulate the other tasks, one of which ends an item."""
        self.runner.wake()
        for _ in range(4):
            eventlet.sleep(0)


class CallsPerEngine(SchedulingPassCase):
    """The cost of a pass per engine, in function calls."""

    def test_nothing_waits(self):
        """Guard against many calls per engine in a pass with nothing to do.

        If a pass makes some fifteen calls for each engine, one of them for the median
        of all other engines' paces, and copies each engine for the plan of loads, it
        takes 20 ms with 3,000 engines.
        """
        for run in self.runner._work.open_batches()[0].runs_by_item_id.values():
            run.finish()
        self.assertLess(self.n_calls(400) - self.n_calls(200), 200 * 6)

    def n_calls(self, n_engines):
        """Return the number of calls that a pass with `n_engines` engines makes."""
        self.change(*(upstream(n) for n in range(n_engines)))
        self.run_pass()
        for number, engine in enumerate(self.runner._engines.by_id.values()):
            engine.record_pause(0.03 + number % 7 / 1000, clock.now())
        events = collections.Counter()
        sys.setprofile(lambda frame, event, argument: events.update((event,)))
        try:
            self.run_pass()
        finally:
            sys.setprofile(None)
        return events["call"] + events["c_call"]


class CallsPerItem(SchedulingPassCase):
    """The cost of a pass per waiting item, in look-ups and function calls."""

    N_PASSES = 3

    def setUp(self):
        super().setUp()
        self.change(*(upstream(n) for n in range(N_ITEMS)))

    def count(self, owner, name):
        """Return the number of calls of a method in some passes that send all items."""
        original = getattr(owner, name)
        with mock.patch.object(owner, name, autospec=True, side_effect=original) as spy:
            for _ in range(self.N_PASSES):
                self.assertEqual(len(self.run_pass()), N_ITEMS)
        return spy.call_count

    def test_route_of_a_batch(self):
        """Guard against a look-up of the route for each item in each pass.

        The items of a batch have the same route until the policy changes.
        """
        find = policy.RouteTable.find
        self.view.routes = policy.RouteTable(self.view.routes.policy)
        self.assertEqual(self.count(policy.RouteTable, "find"), 1)
        changed = attrs.evolve(self.view.routes.policy, version=2, routes=())
        self.view.routes = policy.RouteTable(changed)
        with mock.patch.object(
            policy.RouteTable, "find", autospec=True, side_effect=find
        ) as spy:
            self.assertEqual(self.run_pass(), [])
        self.assertEqual(spy.call_count, 1)

    def test_services_of_a_changed_route(self):
        """Guard against items that are sent to the services of an earlier policy."""
        self.run_pass()
        known = self.view.routes.policy
        route = attrs.evolve(known.routes[0], shares=(policy.Share("t", 1.0),))
        changed = attrs.evolve(known, version=2, routes=(route,))
        self.view.routes = policy.RouteTable(changed)
        self.assertEqual(self.run_pass(), [])

    def test_precedence_of_a_batch(self):
        """Guard against a look-up of the account for each item in each pass."""
        n_found = self.count(policy.RouteTable, "precedence_of")
        self.assertEqual(n_found, self.N_PASSES)

    def test_calls(self):
        """Guard against many calls per item in a pass that can send some of them.

        Hundreds of items wait after each submission. At 68 calls for each of them, most
        for values that are the same for all items of a batch, passes took a third of
        the process's time.
        """
        more = self.n_calls(400) - self.n_calls(200)
        self.assertLess(more, 200 * 55)

    def test_full_engines(self):
        """Guard against a description of each waiting item while all engines are full.

        Each event of an item may make a pass due, and under load none of them can send
        anything.
        """
        more = self.n_calls(400, n_free=0) - self.n_calls(200, n_free=0)
        self.assertLess(more, 200 * 5)

    def n_calls(self, n_items, n_free=1):
        """Return the number of calls that a pass with `n_items` waiting items makes.

        There are `n_free` free run slots, and no request has a crash history.
        """
        view = types.SimpleNamespace(crashes=quarantine.CrashHistory())
        self.runner._items._crashes = crash_watch.CrashWatch(view, None)
        self.runner.end("b")
        items = tuple(
            model.Item(f"i{n}", "/p/x", {}, b"body", 20, f"g{n // 8}")
            for n in range(n_items)
        )
        batch = model.Batch(f"b{n_items}", "h", items, model="m")
        self.runner.accept(model.KeptBatch.of(batch, 0.0))
        self.run_pass()
        known = list(self.runner._engines.by_id.values())
        for engine in known:
            engine.n_running = engine.upstream.n_slots
        known[0].n_running -= n_free
        events = collections.Counter()
        sys.setprofile(lambda frame, event, argument: events.update((event,)))
        try:
            with mock.patch.object(self.runner, "_send"):
                self.runner._run_pass()
        finally:
            sys.setprofile(None)
        self.runner.end(batch.batch_id)
        return events["call"] + events["c_call"]
