"""The plan of weight loads: which engines load, and when."""

import unittest

import attrs
from nose2 import tools

from bilberrydrum.batches import demand, engines, weight_plan
from bilberrydrum.fleet import model as fleet_model


def weights(engine_id, version, is_loading=False, n_running=0, model="m"):
    return engines.Engine(
        fleet_model.FleetUpstream(engine_id, "s", "a", "z", 6),
        n_running=n_running,
        versions_by_model={model: version},
        loading=weight_plan.Load(engine_id, model, version + 1) if is_loading else None,
    )


WANTED = weight_plan.Wanted(2)
LAGGING = weight_plan.Wanted(5, lag=1, age_seconds=0.1, has_waiting=True)


class Plan(unittest.TestCase):
    """A few engines load at a time, and half of a model's engines keep serving."""

    @tools.params(
        ("all behind", [("a", 1, 0), ("b", 1, 0), ("c", 1, 0), ("d", 1, 0)], 2),
        ("one loads", [("a", 1, 1), ("b", 1, 0), ("c", 1, 0), ("d", 1, 0)], 1),
        ("two load", [("a", 1, 1), ("b", 1, 1), ("c", 1, 0), ("d", 1, 0)], 0),
        ("two engines", [("a", 1, 0), ("b", 1, 0)], 1),
        ("the only engine", [("a", 1, 0)], 1),
        ("none behind", [("a", 2, 0), ("b", 2, 0)], 0),
    )
    def test_number(self, name, engines, expected):
        given = [weights(each, version, bool(busy)) for each, version, busy in engines]
        shares = {"m": frozenset(each for each, _, _ in engines)}
        loads = weight_plan.plan(given, shares, {"m": WANTED}, 2)
        self.assertEqual(len(loads), expected, name)
        self.assertTrue(all(each.version == 2 for each in loads))

    def test_idle_engine_first(self):
        given = [weights("a", 1, n_running=3), weights("b", 1), weights("c", 1)]
        shares = {"m": frozenset("abc")}
        loads = weight_plan.plan(given, shares, {"m": WANTED}, max_loading=1)
        self.assertEqual([each.engine_id for each in loads], ["b"])

    def test_engines_of_other_models_do_not_load(self):
        given = [weights("a", 1), weights("b", 1)]
        loads = weight_plan.plan(given, {"m": frozenset("a")}, {"m": WANTED}, 2)
        self.assertEqual([each.engine_id for each in loads], ["a"])

    def loaded(self, versions, wanted, n_running=3):
        engines = [weights(k, v, n_running=n_running) for k, v in versions.items()]
        shares = {"m": frozenset(versions)}
        loads = weight_plan.plan(engines, shares, {"m": wanted}, 9)
        return {each.engine_id for each in loads}

    @tools.params(
        ("the step has just arrived", {"a": 3, "b": 3, "c": 4, "d": 4}, {}, {"a", "b"}),
        ("all serve it", {"a": 4, "b": 4, "c": 4, "d": 4}, {}, set()),
        ("later", {"a": 4, "b": 4, "c": 4, "d": 4}, {"age_seconds": 1.6}, {"a", "b"}),
        (
            "nothing waits",
            {"a": 4, "b": 4, "c": 4, "d": 4},
            {"age_seconds": 0.5, "has_waiting": False},
            {"a", "b"},
        ),
        ("half is new", {"a": 5, "b": 4}, {"age_seconds": 9.0}, set()),
        ("one engine", {"a": 4}, {"age_seconds": 9.0}, set()),
        ("one engine, too old", {"a": 3}, {}, {"a"}),
    )
    def test_deferred_loads(self, name, versions, changes, expected):
        """A trainer announces version 5 and submits a step that allows version 4.

        Engines that cannot serve the step load at once. The others serve it first, but
        half of them load before the next version is announced.
        """
        wanted = attrs.evolve(LAGGING, **changes)
        self.assertEqual(self.loaded(versions, wanted), expected, name)

    @tools.params((True, set()), (False, {"b"}))
    def test_idle_engine_loads_the_newest_version(self, has_waiting, expected):
        wanted = attrs.evolve(LAGGING, age_seconds=2.0, has_waiting=has_waiting)
        loaded = self.loaded({"a": 5, "b": 4}, wanted, n_running=0)
        self.assertEqual(loaded, expected)

    def test_halves_alternate(self):
        """Half of the engines are unavailable whenever a step arrives.

        There are eight engines, a version is announced every 4 s, and each step allows
        the previous version. If the halves didn't alternate, each engine would load
        each version: 48 loads for six versions.
        """
        versions = dict.fromkeys("abcdefgh", 1)
        n_loads = 0
        for version in range(2, 8):
            wanted = weight_plan.Wanted(version, 1, 0.1, True)
            n_loads += self.load_all(versions, wanted)
            able = [each for each in versions.values() if each >= version - 1]
            self.assertGreaterEqual(len(able), 4)
            wanted = attrs.evolve(wanted, age_seconds=1.6)
            n_loads += self.load_all(versions, wanted)
        self.assertLessEqual(n_loads, 26)

    @tools.params(
        ("items wait", {"has_waiting": True}, set()),
        ("nothing waits", {}, {"a", "b"}),
        ("loads interrupt", {"keeps_items_running": False}, {"a"}),
    )
    def test_all_engines_load_ahead_of_the_next_step(self, name, changes, expected):
        """Engines that skipped a version load when a step arrives, and its items wait.

        Where loads don't interrupt items, all engines load each version in between, at
        most half of them at a time.
        """
        quiet = attrs.evolve(
            LAGGING, age_seconds=0.5, has_waiting=False, keeps_items_running=True
        )
        wanted = attrs.evolve(quiet, **changes)
        versions = {"a": 4, "b": 4, "c": 5, "d": 5}
        if name == "loads interrupt":
            versions["c"] = 4
        self.assertEqual(self.loaded(versions, wanted), expected, name)

    def test_all_engines_serve_each_step_after_loads_ahead(self):
        """Eight engines, a version every 4 s, each step allows the previous version."""
        versions = dict.fromkeys("abcdefgh", 1)
        for version in range(2, 8):
            wanted = weight_plan.Wanted(version, 1, 0.1, True, keeps_items_running=True)
            able = [each for each in versions.values() if each >= version - 1]
            self.assertEqual(len(able), 8, version)
            self.assertEqual(self.load_all(versions, wanted), 0)
            wanted = attrs.evolve(wanted, age_seconds=1.0, has_waiting=False)
            n_loads = self.load_all(versions, wanted) + self.load_all(versions, wanted)
            self.assertEqual(n_loads, 8)

    def load_all(self, versions, wanted):
        loaded = self.loaded(versions, wanted)
        versions.update(dict.fromkeys(loaded, wanted.version))
        return len(loaded)


class AllowedLag(unittest.TestCase):
    """How old a weight version the steps of a trainer allow."""

    @tools.params(
        ("version first", [("v", 4, 0.0), ("s", 3, 0.1)], 1),
        ("step first", [("v", 3, 0.0), ("s", 3, 4.0), ("v", 4, 4.1)], 1),
        ("every step its own version", [("v", 4, 0.0), ("s", 4, 0.1)], 0),
        ("no step yet", [("v", 4, 0.0)], 0),
    )
    def test_lag(self, name, updates, expected):
        announced = demand.AnnouncedVersions()
        for kind, version, at in updates:
            if kind == "v":
                announced.record({"m": version}, at)
            else:
                announced.record_step("m", version, at)
        announced.record({}, 9.0)
        self.assertEqual(announced.lag("m"), expected, name)

    def test_next_version_changes_nothing_until_its_step_comes(self):
        announced = demand.AnnouncedVersions()
        announced.record({"m": 4}, 0.0)
        announced.record_step("m", 3, 0.1)
        announced.record({"m": 4}, 1.0)
        announced.record({"m": 5}, 4.0)
        self.assertEqual((announced.lag("m"), announced.announced_at("m")), (1, 4.0))
