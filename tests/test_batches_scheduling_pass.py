"""What one look of the runner costs where engines and items are many."""

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
    """A runner whose looks are called by hand; nothing is sent."""

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
        self.runner = runner.BatchRunner(
            None,
            self.view,
            attempts.Means(connections.Connections(), watch.Watch()),
            given_hooks(),
            None,
            types.SimpleNamespace(standing=lambda fingerprint: standing),
        )
        items = tuple(
            model.Item(f"i{n}", "/p/x", {}, b"body", 20, f"g{n // 8}")
            for n in range(N_ITEMS)
        )
        batch = model.Batch("b", "h", items, model="m")
        self.runner.accept(model.KeptBatch.of(batch, 0.0))

    def change(self, *upstreams):
        """Have the registry change to that of these upstreams."""
        self.view.registry = fleet_model.Registry(
            self.view.registry.index + 1, counted.CountedTuple(upstreams)
        )

    def run_pass(self):
        """Look once; return the engines that items are sent to."""
        with mock.patch.object(self.runner._items, "send") as send:
            self.runner._run_pass()
        return [call.args[2] for call in send.call_args_list]


class ManyItems(SchedulingPassCase):
    def test_versions_are_gathered_once(self):
        """600 items of one version each wait before 3,000 engines.

        For each item all engines were asked which versions they have: 0.2 s a look.
        """
        whole = engines.Engines.versions_of
        asked = []

        def versions_of(known, name):
            asked.append(name)
            return whole(known, name)

        with mock.patch.object(engines.Engines, "versions_of", versions_of):
            self.assertEqual(len(self.run_pass()), N_ITEMS)
        self.assertEqual(asked, ["m"])


class ManyEngines(SchedulingPassCase):
    """Most looks find the registry as it was."""

    def test_registry_is_gone_through_once(self):
        """A look before 3,000 engines at which nothing is to do takes 20 to 40 ms.

        Looks come with each item and each load that ends, a hundred times a second; the
        registry, which changes less often, was gone through at each.
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
    def test_announced_version_stands(self, name, answered, expected):
        """An engine that has announced version 2 answers under another one.

        Within one incarnation versions only rise: an answer under version 1 had begun
        before. Not looked at again while the registry stays as it is, what is announced
        has to outlive the answer.
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
    """Items and loads end all the time, and each end makes a look due."""

    STEP_SECONDS = 0.005
    N_STEPS = 200

    @tools.params(
        ("few engines", 0.002, 66, 100, 0.2),
        ("3,000 engines", 0.06, 7, 9, 0.36),
        ("stalled while it looked", 1.0, 3, 5, 1.0),
    )
    def test_time_for_others(self, name, pass_seconds, least, most, share):
        """Nearly nothing is served before 3,000 engines, by a process at full load.

        A look was due 10 ms after the last, however long that had taken. With looks of
        60 ms the process had a seventh of its time left to read the events of all
        items, and to commit their results.
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
        """Stand for the other tasks, one of which ends an item."""
        self.runner.wake()
        for _ in range(4):
            eventlet.sleep(0)


class CallsPerEngine(SchedulingPassCase):
    """What a look costs for each engine, in calls of functions."""

    def test_nothing_waits(self):
        """A look before 3,000 engines at which nothing is to do takes 20 ms.

        Each engine was asked some fifteen questions, one of them the median of all
        others' paces, and copied for the plan of loads.
        """
        for run in self.runner._work.open_batches()[0].runs_by_item_id.values():
            run.finish()
        self.assertLess(self.n_calls(400) - self.n_calls(200), 200 * 6)

    def n_calls(self, n_engines):
        """Return how many calls a look before so many engines makes."""
        self.change(*(upstream(n) for n in range(n_engines)))
        self.run_pass()
        for number, engine in enumerate(self.runner._engines.by_id.values()):
            engine.note_pause(0.03 + number % 7 / 1000, clock.now())
        events = collections.Counter()
        sys.setprofile(lambda frame, event, argument: events.update((event,)))
        try:
            self.run_pass()
        finally:
            sys.setprofile(None)
        return events["call"] + events["c_call"]
