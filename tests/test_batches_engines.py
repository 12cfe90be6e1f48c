"""Engines: who has which, which load what, and which item goes where."""

import collections
import random
import statistics
import unittest

import attrs
from nose2 import tools

from bilberrydrum import reasons
from bilberrydrum.batches import (
    demand,
    engine_shares,
    engines,
    lifecycle,
    orders,
    scheduling,
    weight_plan,
)
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy
from bilberrydrum.requests import attempts, connections, watch
from tests import test_batches
from tests.fakes import node_protocol


class Shares(unittest.TestCase):
    """Engines follow the demand, and stay where they are while it hardly changes."""

    ENGINES = ("e1", "e2", "e3", "e4", "e5")

    @tools.params(
        ("by demand", {"a": 20.0, "b": 40.0, "c": 40.0}, {"a": 1, "b": 2, "c": 2}),
        ("alike", {"a": 1.0, "b": 1.0}, {"a": 2, "b": 3}),
        ("no demand at all", {"a": 0.0, "b": 0.0}, {"a": 2, "b": 3}),
        ("one without demand", {"a": 90.0, "b": 0.0}, {"a": 4, "b": 1}),
        ("one model", {"a": 1.0}, {"a": 5}),
    )
    def test_sizes(self, name, demand, expected):
        shares = engine_shares.divide(self.ENGINES, demand, engine_shares.Shares())
        sizes = {k: len(v) for k, v in shares.engine_ids_by_model.items()}
        self.assertEqual(sizes, expected, name)
        everyone = [e for ids in shares.engine_ids_by_model.values() for e in ids]
        self.assertEqual(sorted(everyone), list(self.ENGINES))

    def test_more_models_than_engines(self):
        shares = engine_shares.divide(
            ("e1",), {"a": 1.0, "b": 1.0}, engine_shares.Shares()
        )
        self.assertEqual(shares.models_of("e1"), ["a", "b"])

    def test_stays_while_demand_hardly_changes(self):
        first = engine_shares.divide(
            self.ENGINES, {"a": 40.0, "b": 60.0}, engine_shares.Shares()
        )
        second = engine_shares.divide(self.ENGINES, {"a": 52.0, "b": 48.0}, first)
        self.assertEqual(second, first)
        third = engine_shares.divide(self.ENGINES, {"a": 90.0, "b": 10.0}, first)
        self.assertNotEqual(third, first)

    def test_lost_engine_is_replaced_only_where_it_was(self):
        first = engine_shares.divide(
            self.ENGINES, {"a": 40.0, "b": 60.0}, engine_shares.Shares()
        )
        lost = min(first.engine_ids_by_model["b"])
        left = [each for each in self.ENGINES if each != lost]
        second = engine_shares.divide(left, {"a": 40.0, "b": 60.0}, first)
        kept = first.engine_ids_by_model["a"]
        self.assertEqual(second.engine_ids_by_model["a"], kept)


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
    """A few engines load at a time, and half of a model's go on serving."""

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
        ("the step just came", {"a": 3, "b": 3, "c": 4, "d": 4}, {}, {"a", "b"}),
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
    def test_put_off(self, name, versions, changes, expected):
        """A trainer names version 5 and hands in a step that allows 4.

        What cannot serve the step loads at once; engines that can are left to it, but
        half of them load before the next version is named.
        """
        wanted = attrs.evolve(LAGGING, **changes)
        self.assertEqual(self.loaded(versions, wanted), expected, name)

    @tools.params((True, set()), (False, {"b"}))
    def test_idle_engine_is_renewed(self, has_waiting, expected):
        wanted = attrs.evolve(LAGGING, age_seconds=2.0, has_waiting=has_waiting)
        loaded = self.loaded({"a": 5, "b": 4}, wanted, n_running=0)
        self.assertEqual(loaded, expected)

    def test_halves_load_by_turns(self):
        """Eight engines, a version every 4 s, each step allows the version before.

        Without taking turns each engine loads each version: 48 loads for six versions,
        and half of the engines are away whenever a step comes.
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

    def load_all(self, versions, wanted):
        loaded = self.loaded(versions, wanted)
        versions.update(dict.fromkeys(loaded, wanted.version))
        return len(loaded)


class Named(unittest.TestCase):
    """How old a version a trainer's steps allow."""

    @tools.params(
        ("version first", [("v", 4, 0.0), ("s", 3, 0.1)], 1),
        ("step first", [("v", 3, 0.0), ("s", 3, 4.0), ("v", 4, 4.1)], 1),
        ("every step its own version", [("v", 4, 0.0), ("s", 4, 0.1)], 0),
        ("no step yet", [("v", 4, 0.0)], 0),
    )
    def test_lag(self, name, news, expected):
        named = demand.NamedVersions()
        for kind, version, at in news:
            if kind == "v":
                named.note({"m": version}, at)
            else:
                named.note_step("m", version, at)
        named.note({}, 9.0)
        self.assertEqual(named.lag("m"), expected, name)

    def test_next_version_changes_nothing_until_its_step_comes(self):
        named = demand.NamedVersions()
        named.note({"m": 4}, 0.0)
        named.note_step("m", 3, 0.1)
        named.note({"m": 4}, 1.0)
        named.note({"m": 5}, 4.0)
        self.assertEqual((named.lag("m"), named.named_at("m")), (1, 4.0))


def waiting(item_id="i", start_by=1.0, **fields):
    values = {"model": "m", "min_version": 1, "services": frozenset({"s"})}
    values.update(fields)
    group = values.pop("group", item_id)
    is_spare = values.pop("is_spare", False)
    late_at = values.pop("late_at", start_by)
    return scheduling.WaitingItem(
        ("b", item_id), ("b", group), start_by, late_at, is_spare, **values
    )


def place(engine_id="e", n_slots=2, n_running=0, version=1, **fields):
    values = {"models": frozenset({"m"})}
    values.update(fields)
    service = values.pop("service", "s")
    return scheduling.Place(
        engine_id, service, n_slots, n_running, {"m": version}, **values
    )


class Assign(unittest.TestCase):
    """What goes first, and where."""

    def keys(self, items, places):
        assigned = scheduling.assign(items, places, 0.0)
        return [(each.key[1], each.engine_id) for each in assigned]

    @tools.params(
        ("no place", place(n_running=2), ()),
        ("version too old", place(version=0), ()),
        ("loads its model", place(loading_models=frozenset({"m"})), ()),
        ("loads another model", place(loading_models=frozenset({"o"})), ("i",)),
        ("other service", place(service="t"), ()),
        ("memory full", place(n_running=1, n_cache_tokens=9, n_tokens=5), ()),
        ("memory empty", place(n_cache_tokens=4), ("i",)),
        ("failed there", place("bad"), ()),
    )
    def test_can_take(self, name, given, expected):
        item = waiting(n_tokens=5, excluded_ids=frozenset({"bad"}))
        taken = tuple(item_id for item_id, _ in self.keys([item], [given]))
        self.assertEqual(taken, expected, name)

    @tools.params(
        ("two engines", ("e1", "e2"), ["a", "b"], ["e1", "e2"]),
        ("one engine", ("e1",), ["a"], ["e1"]),
    )
    def test_doubtful_items_are_kept_apart(self, name, engine_ids, taken, where):
        """Two items were cut off together twice; one of them ends engines.

        On one engine again they would look alike for good, and the innocent one would
        be held back with the other.
        """
        items = [waiting(each, group="g", is_doubtful=True) for each in "ab"]
        given = self.keys(items, [place(each, 6) for each in engine_ids])
        self.assertEqual([item_id for item_id, _ in given], taken, name)
        self.assertEqual(sorted(engine_id for _, engine_id in given), where, name)

    def test_doubtful_item_leaves_the_engine_to_others(self):
        items = [waiting("doubtful", is_doubtful=True), waiting("other")]
        given = self.keys(items, [place("e", 6, has_doubtful=True)])
        self.assertEqual(given, [("other", "e")])

    def test_least_time_left_first(self):
        """Places are scarce while two trainers wait.

        An item that has to start soon waits behind none that could start later; what
        is late already, and what no trainer waits for, goes behind all others.
        """
        items = [
            waiting("spare", start_by=0.5, is_spare=True),
            waiting("late", start_by=-1.0),
            waiting("perhaps-late", start_by=-1.0, late_at=1.0),
            waiting("short", start_by=4.0),
            waiting("long", start_by=1.0),
        ]
        taken = self.keys(items, [place(n_slots=5)])
        names = [item_id for item_id, _ in taken]
        self.assertEqual(names, ["perhaps-late", "long", "short", "late", "spare"])

    def test_group_stays_together_within_reason(self):
        """Items of two groups meet two empty engines.

        All of a group on one engine would fill that one while the other idles; each
        on an engine of its own would have every prompt read everywhere.
        """
        items = [waiting(f"{g}{n}", group=g) for g in "xy" for n in range(4)]
        taken = self.keys(items, [place("e1", 8), place("e2", 8)])
        n_by_engine = collections.Counter(engine for _, engine in taken)
        self.assertLessEqual(max(n_by_engine.values()), 4 + 8 * 0.25 / 2)
        pairs = {(item_id[0], engine) for item_id, engine in taken}
        self.assertLess(len(pairs), 4)

    def test_group_leaves_a_busy_engine(self):
        busy = place("e1", 8, n_running=4, group_keys={("b", "x")})
        taken = self.keys([waiting("x0", group="x")], [busy, place("e2", 8)])
        self.assertEqual(taken, [("x0", "e2")])

    @tools.params(
        ("silent", {"is_silent": True}),
        ("meant for another model", {"models": frozenset({"o"})}),
    )
    def test_second_choice(self, name, fields):
        places = [place("e1", **fields), place("e2", n_running=1)]
        self.assertEqual(self.keys([waiting()], places), [("i", "e2")], name)

    def test_resumed_text_of_one_version(self):
        item = waiting(only_version=1)
        places = [place("e1", version=2), place("e2", version=1, n_running=1)]
        self.assertEqual(self.keys([item], places), [("i", "e2")])


class SlowEngine(unittest.TestCase):
    """An engine turns slow in the middle of its streams."""

    def engines(self, paces, age=0.0):
        known = engines.Engines()
        for engine_id, pace in paces.items():
            upstream = fleet_model.FleetUpstream(engine_id, "s", "a", "z", 2)
            known.by_id[engine_id] = engines.Engine(upstream)
            for n in range(100):
                known.by_id[engine_id].note_pause(pace, 100.0 - age + n / 1000)
        return known

    @tools.params(
        ("alike", {"a": 0.04, "b": 0.03, "c": 0.04}, 0.0, set()),
        ("one slow", {"a": 0.15, "b": 0.03, "c": 0.04}, 0.0, {"a"}),
        (
            "two slow of five",
            {"a": 0.15, "b": 0.15, "c": 0.04, "d": 0.04, "e": 0.04},
            0.0,
            {"a", "b"},
        ),
        ("long ago", {"a": 0.15, "b": 0.03, "c": 0.04}, 4.0, set()),
        ("alone", {"a": 0.15}, 0.0, set()),
    )
    def test_slow(self, name, paces, age, expected):
        self.assertEqual(self.engines(paces, age).slow_ids(100.1), expected, name)

    def test_slow_among_many(self):
        """Drawn paces: slow is who is slower than the others' median by the factor."""
        rng = random.Random(11)
        for n_engines in [2, 3, 4, 5] * 20 + [300, 301]:
            drawn = rng.choices([0.02, 0.03, 0.05, 0.1, 0.3], k=n_engines)
            known = engines.Engines()
            for number, pace in enumerate(drawn):
                upstream = fleet_model.FleetUpstream(str(number), "s", "a", "z", 2)
                known.by_id[str(number)] = engines.Engine(
                    upstream, pace_seconds=pace, paced_at=100.0
                )
            expected = {
                str(number)
                for number, pace in enumerate(drawn)
                if pace
                > engines.SLOW_FACTOR
                * statistics.median(drawn[:number] + drawn[number + 1 :])
            }
            self.assertEqual(known.slow_ids(100.1), expected, drawn)

    def test_slow_engine_is_tried_with_one_item(self):
        """All items were moved away from a slow engine, so its pace is not known.

        Given all its places again, it would hold up a dozen items at each try.
        """
        known = self.engines({"a": 0.15, "b": 0.03, "c": 0.04})
        known.slow_ids(100.1)
        shares = engine_shares.Shares()
        self.assertEqual(known.slow_ids(110.0), frozenset())
        self.assertEqual(known.by_id["a"].place(shares).n_slots, 1)
        self.assertEqual(known.by_id["b"].place(shares).n_slots, 2)
        for n in range(60):
            known.by_id["a"].note_pause(0.04, 110.0 + n / 100)
            known.by_id["b"].note_pause(0.04, 110.0 + n / 100)
        known.slow_ids(110.7)
        self.assertEqual(known.by_id["a"].place(shares).n_slots, 2)

    def test_belief_in_a_version_is_corrected(self):
        """An engine is believed to serve version 3 and answers under version 2.

        Left at that, items that ask for 3 would be sent there again and again, and it
        would not be told to load.
        """
        engine = self.engines({"a": 0.04}).by_id["a"]
        engine.learn_version("m", 3)
        engine.learn_version("m", 2)
        self.assertEqual(engine.versions_by_model, {"m": 3})
        engine.correct_version("m", 2)
        self.assertEqual(engine.versions_by_model, {"m": 2})

    def test_a_load_is_no_sign_of_slowness(self):
        known = self.engines({"a": 0.04, "b": 0.04})
        known.by_id["a"].loading = weight_plan.Load("a", "m", 2)
        known.by_id["a"].note_pause(1.2, 100.1)
        self.assertEqual(known.slow_ids(100.1), frozenset())

    def test_items_move_where_there_is_room(self):
        """A slow engine holds items of every group; two places are free elsewhere.

        Left there, they would take four times as long and hold up their trainer.
        """
        items = [waiting(each, is_at_slow=True) for each in ("x", "y", "z")]
        places = [place("slow", 9, is_slow=True), place("e2", 4, n_running=2)]
        moved = [each.engine_id for each in scheduling.assign(items, places, 0.0)]
        self.assertEqual(moved, ["e2", "e2"])

    @tools.params(
        ("the one at the slow engine is more urgent", 1.0, 2.0, "slow"),
        ("the one that waits is more urgent", 2.0, 1.0, "waits"),
    )
    def test_items_at_slow_engines_go_by_the_time_left(self, name, slow, waits, first):
        """Two fifths of the engines are slow, and items wait for each place elsewhere.

        Moved only to places that nobody waits for, a long item stays where it takes six
        times as long; its trainer, which waits for it, misses its next steps.
        """
        items = [
            waiting("slow", start_by=slow, is_at_slow=True),
            waiting("waits", start_by=waits),
        ]
        places = [place("slow", 6, is_slow=True, n_running=6), place("e2", 1)]
        given = scheduling.assign(items, places, 0.0)
        self.assertEqual([each.key[1] for each in given], [first], name)

    def test_engine_that_failed_is_passed_over_for_a_while_only(self):
        """The one engine that serves a version fails once.

        Passed over for good, the items would wait until their time is up.
        """
        run = lifecycle.ItemRun(test_batches.batch().items[0], ("b", "g0"))
        run.exclude("e", 100.0)
        self.assertEqual(run.excluded_ids(100.5), {"e"})
        self.assertEqual(run.excluded_ids(101.5), frozenset())


class Incarnations(unittest.TestCase):
    """An engine crashes while it is told to load, and starts again under its name.

    It counts its orders anew, so an order that was made for the one before would be
    carried out by the next. It may also serve other weights than its predecessor did.
    """

    def setUp(self):
        self.engine = node_protocol.PlainEngine()
        self.addCleanup(self.engine.stop)

    def carry_out(self, known_start, reported_start, is_wanted=True):
        self.engine.started_at_ms = reported_start
        upstream = fleet_model.FleetUpstream(
            "e", "s", self.engine.address, "z", 2, started_at_ms=known_start
        )
        means = attempts.Means(connections.Connections(), watch.Watch())
        sender = orders.OrderSender(means, node_protocol.PlainProtocol(), lambda: 1)
        load = weight_plan.Load(upstream.upstream_id, "m", 2)
        order = orders.Order(load, True, "holder", lambda: is_wanted)
        sender.carry_out(upstream, order)
        return [each["announced_id"] for each in self.engine.orders]

    @tools.params(
        ("the same one", 5, 5, ["e"]),
        ("the next one", 5, 6, []),
        ("starts are not told", None, None, ["e"]),
        ("an engine that reports no start", 5, None, ["e"]),
    )
    def test_orders(self, name, known_start, reported_start, expected):
        self.assertEqual(self.carry_out(known_start, reported_start), expected, name)

    def test_engine_that_is_gone_meanwhile(self):
        self.assertEqual(self.carry_out(5, 5, is_wanted=False), [])

    def test_the_next_one_is_judged_by_itself(self):
        known = engines.Engines()
        services = {"s": policy.Service("s", models=("m",))}
        first = fleet_model.FleetUpstream(
            "e", "s", "a", "z", 2, versions_by_model={"m": 9}, started_at_ms=5
        )
        known.refresh([first], services)
        known.by_id[first.upstream_id].failed(100.0)
        following = attrs.evolve(first, versions_by_model={"m": 8}, started_at_ms=6)
        known.refresh([following], services)
        (engine,) = known.by_id.values()
        self.assertEqual(engine.versions_by_model, {"m": 8})
        self.assertFalse(engine.is_passed_over(100.1))

    def test_text_goes_on_at_the_next_one(self):
        """Its streams broke with it; nothing is sent to it any more.

        The next one has its name and address but is not passed over for its failures,
        and what it serves is asked anew.
        """
        first = fleet_model.FleetUpstream("e", "s", "a", "z", 2, started_at_ms=5)
        following = attrs.evolve(first, started_at_ms=6)
        run = lifecycle.ItemRun(test_batches.batch().items[0], ("b", "g0"))
        run.exclude(first.upstream_id, 100.0)
        self.assertNotIn(following.upstream_id, run.excluded_ids(100.1))
        registry = fleet_model.Registry(1, (following,))
        self.assertIsNone(registry.find_refusal(following.upstream_id))
        self.assertEqual(
            registry.find_refusal(first.upstream_id), reasons.Reason.UPSTREAM_LEFT
        )
