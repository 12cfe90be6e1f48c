"""What one look of the runner costs where engines and items are many."""

import types
import unittest
from unittest import mock

from bilberrydrum import quarantine
from bilberrydrum.batches import engines, hooks, model, runner
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy
from bilberrydrum.requests import attempts, connections, watch

N_ENGINES = 20
N_ITEMS = 60


class CountedTuple(tuple):
    """Upstreams that count how often they are gone through."""

    n_passes = 0

    def __iter__(self):
        CountedTuple.n_passes += 1
        return super().__iter__()


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


class LookCase(unittest.TestCase):
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
                1, CountedTuple(upstream(n) for n in range(N_ENGINES))
            ),
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

    def look(self):
        """Look once; return the engines that items are sent to."""
        with mock.patch.object(self.runner._items, "send") as send:
            self.runner._look()
        return [call.args[2] for call in send.call_args_list]


class ManyItems(LookCase):
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
            self.assertEqual(len(self.look()), N_ITEMS)
        self.assertEqual(asked, ["m"])
