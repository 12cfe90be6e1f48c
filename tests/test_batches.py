"""Batches: what is kept, how streams are read, and what is sent where."""

import collections
import unittest

import attrs
from nose2 import tools

from bilberrydrum import event_stream
from bilberrydrum.batches import (
    commands,
    engine_shares,
    engines,
    item_run,
    model,
    scheduling,
    urgency,
    weight_plan,
    work,
)
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy
from bilberrydrum.state import machine


def batch(batch_id="b", n_items=2, **fields):
    items = tuple(
        model.Item(f"i{n}", "/p/x", {}, b"body", 10, f"g{n // 2}")
        for n in range(n_items)
    )
    return model.Batch(batch_id, "h", items, **fields)


def accept(given):
    data = model.pack_batch(given)
    return commands.AcceptBatch(given.batch_id, len(given.items), data, 60.0)


def result(item_id="i0", versions=(1,), text=b"x"):
    return model.Result.of(item_id, model.ItemState.COMPLETED, text, versions)


class Kept(unittest.TestCase):
    """A batch is accepted once; a result's position and content never change."""

    def setUp(self):
        self.state = machine.State()
        self.index = 0

    def apply(self, command, time=100.0):
        self.index += 1
        return machine.apply(command, self.state, machine.Context(self.index, time))

    def results(self, batch_id="b"):
        kept = commands.section_of(self.state).batches_by_id[batch_id]
        return [(each.item_id, each.text) for each in kept.results]

    def test_accepted_once(self):
        self.assertTrue(self.apply(accept(batch())).is_new)
        self.apply(commands.FinishItems("b", (result(),)))
        self.assertFalse(self.apply(accept(batch())).is_new)
        self.assertEqual(self.results(), [("i0", b"x")])

    def test_item_that_ran_twice_is_listed_once(self):
        """Two leaders in turn run the same item and both commit a result.

        A reader may have read the first; the second must not stand at another place,
        nor replace it.
        """
        self.apply(accept(batch()))
        self.apply(commands.FinishItems("b", (result(),)))
        self.apply(commands.FinishItems("b", (result(text=b"y"), result("i1"))))
        self.assertEqual(self.results(), [("i0", b"x"), ("i1", b"x")])

    def test_nothing_is_listed_after_the_end(self):
        self.apply(accept(batch()))
        self.assertTrue(self.apply(commands.EndBatch("b")).is_known)
        self.assertTrue(self.apply(commands.EndBatch("b")).is_known)
        self.apply(commands.FinishItems("b", (result(),)))
        self.assertEqual(self.results(), [])

    def test_unknown_batch(self):
        self.assertFalse(self.apply(commands.EndBatch("b")).is_known)
        finished = self.apply(commands.FinishItems("b", (result(),)))
        self.assertEqual(finished.n_appended, 0)

    @tools.params(
        ("young", True, 159.0, True),
        ("old", True, 161.0, False),
        ("old and open", False, 161.0, True),
    )
    def test_retention(self, name, is_ended, time, is_kept):
        self.apply(accept(batch()))
        if is_ended:
            self.apply(commands.EndBatch("b"))
        self.apply(accept(batch("later")), time)
        kept = commands.section_of(self.state).batches_by_id
        self.assertEqual("b" in kept, is_kept, name)


class Stream(unittest.TestCase):
    """Events are whole, in order, and name the version that made them."""

    WHOLE = b"id: 1\ndata: a\n\nid: 2\nx-v: 7\ndata: b\ndata: c\n\n"

    @tools.params(1, 3, 100)
    def test_any_cut(self, size):
        reader = event_stream.EventReader("X-V")
        events = []
        for start in range(0, len(self.WHOLE), size):
            events += reader.feed(self.WHOLE[start : start + size])
        expected = [event_stream.Event(1, b"a"), event_stream.Event(2, b"b\nc", 7)]
        self.assertEqual(events, expected)
        self.assertTrue(reader.is_between_events())

    def test_broken_off(self):
        reader = event_stream.EventReader("X-V")
        events = reader.feed(self.WHOLE[:-1])
        self.assertEqual([each.number for each in events], [1])
        self.assertFalse(reader.is_between_events())

    @tools.params(
        ("gap", 1, b"id: 3\ndata: x\n\n"),
        ("twice", 1, b"id: 1\ndata: x\n\n"),
        ("no number", None, b"data: x\n\n"),
        ("not a number", None, b"id: x\ndata: x\n\n"),
        ("not a version", None, b"id: 1\nx-v: y\ndata: x\n\n"),
        ("endless", None, b"x" * (event_stream.MAX_EVENT_BYTES + 1)),
    )
    def test_damaged(self, name, last, data):
        reader = event_stream.EventReader("X-V", last)
        with self.assertRaises(event_stream.EventError, msg=name):
            reader.feed(data)


class Bounds(unittest.TestCase):
    """Which versions an item's text may come from."""

    @tools.params(
        ("below", (2, False), (), 1, False),
        ("at the bound", (2, False), (), 2, True),
        ("another one", (2, False), (2,), 3, True),
        ("single, first", (2, True), (), 3, True),
        ("single, same", (2, True), (3,), 3, True),
        ("single, another", (2, True), (2,), 3, False),
    )
    def test_allow(self, name, bounds, versions, version, expected):
        text = item_run.Text(versions=set(versions))
        allowed = item_run.Bounds(*bounds).allow(version, text)
        self.assertEqual(allowed, expected, name)


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
    return weight_plan.EngineWeights(engine_id, {model: version}, is_loading, n_running)


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
        named = work.NamedVersions()
        for kind, version, at in news:
            if kind == "v":
                named.note({"m": version}, at)
            else:
                named.note_step("m", version, at)
        named.note({}, 9.0)
        self.assertEqual(named.lag("m"), expected, name)

    def test_next_version_changes_nothing_until_its_step_comes(self):
        named = work.NamedVersions()
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
        items = [waiting(each) for each in ("x", "y", "z")]
        places = [place("slow", 9, is_slow=True), place("e2", 4, n_running=2)]
        moved = [each.engine_id for each in scheduling.move(items, places, 0.0)]
        self.assertEqual(moved, ["e2", "e2"])

    def test_engine_that_failed_is_passed_over_for_a_while_only(self):
        """The one engine that serves a version fails once.

        Passed over for good, the items would wait until their time is up.
        """
        run = work.ItemRun(batch().items[0], ("b", "g0"))
        run.exclude("e", 100.0)
        self.assertEqual(run.excluded_ids(100.5), {"e"})
        self.assertEqual(run.excluded_ids(101.5), frozenset())


class SingleVersion(unittest.TestCase):
    """A text that must come from one version, and whose engine broke off."""

    @tools.params(
        ("an engine still has it", {1, 2}, True, 1),
        ("all have left it behind", {2, 3}, False, None),
        ("several versions are allowed", {2, 3}, True, None),
    )
    def test_text(self, name, served, keeps_text, only_version):
        """An item has begun under version 1 when its engine is lost.

        Bound to a version that no engine serves any more, it would wait for ever.
        """
        is_single = name != "several versions are allowed"
        route = policy.Route(
            "r",
            "h",
            "/p/",
            policy.RouteKind.BATCH,
            (policy.Share("s", 1.0),),
            is_single_version=is_single,
        )
        opened = work.Work().open(model.KeptBatch.of(batch(), 0.0), 0.0)
        run = opened.runs_by_item_id["i0"]
        run.text.add(event_stream.Event(1, b"a"), 1)
        item = work.waiting_item(opened, run, route, urgency.Pace(), served, 0.0)
        self.assertEqual(bool(run.text.parts), keeps_text, name)
        self.assertEqual(item.only_version, only_version, name)


class KeptProgress(unittest.TestCase):
    """A new leader goes on with long texts where the last one had kept them."""

    def setUp(self):
        self.state = machine.State()
        self.apply(accept(batch()))

    def apply(self, command):
        return machine.apply(command, self.state, machine.Context(1, 1.0))

    def kept(self):
        return commands.section_of(self.state).batches_by_id["b"]

    def test_parts_are_joined(self):
        text = item_run.Text()
        for n in range(4):
            text.add(event_stream.Event(n, b"%d" % n), 1 + n // 3)
            if n % 2:
                progress = text.take_progress("i0")
                self.apply(commands.SaveProgress("b", (progress,)))
        self.assertIsNone(text.take_progress("i0"))
        opened = work.Work().open(self.kept(), 0.0)
        again = opened.runs_by_item_id["i0"].text
        self.assertEqual(again.parts, [b"0", b"1", b"2", b"3"])
        self.assertEqual((again.versions, again.last_number), ({1, 2}, 3))
        self.assertIsNone(again.take_progress("i0"))

    def test_gap_is_not_joined(self):
        first = model.Progress("i0", (b"a",), (1,), 1)
        later = model.Progress("i0", (b"c",), (1,), 3, n_before=2)
        self.apply(commands.SaveProgress("b", (first, later)))
        self.assertEqual(self.kept().progress_by_item_id["i0"], first)

    def test_text_that_began_anew_replaces(self):
        first = model.Progress("i0", (b"a", b"b"), (1,), 2)
        anew = model.Progress("i0", (b"x",), (2,), 1)
        self.apply(commands.SaveProgress("b", (first, anew)))
        self.assertEqual(self.kept().progress_by_item_id["i0"], anew)

    def test_nothing_is_kept_of_what_has_ended(self):
        progress = model.Progress("i0", (b"a",), (1,), 1)
        self.apply(commands.SaveProgress("b", (progress,)))
        self.apply(commands.FinishItems("b", (result(),)))
        self.apply(commands.SaveProgress("b", (progress,)))
        self.assertEqual(self.kept().progress_by_item_id, {})

    def test_only_what_is_worth_it_is_taken(self):
        opened = work.Work().open(model.KeptBatch.of(batch(), 0.0), 0.0)
        text = opened.runs_by_item_id["i0"].text
        for n in range(7):
            text.add(event_stream.Event(n, b"x"), 1)
        self.assertEqual(opened.take_progress(8), [])
        text.add(event_stream.Event(7, b"x"), 1)
        self.assertEqual(len(opened.take_progress(8)), 1)


class Carried(unittest.TestCase):
    """Groups that were not complete come again in a later batch."""

    def reopen(self, kept_results, min_version, is_complete=False):
        known = work.Work()
        earlier = batch("b1", 2 if not is_complete else 1)
        kept = model.KeptBatch.of(earlier, 0.0)
        kept.results = list(kept_results)
        known.remember(earlier, kept)
        later = model.KeptBatch.of(batch("b2", 2, min_version=min_version), 8.0)
        opened = known.open(later, 8.0)
        return opened, known.carried_results(opened, None)

    @tools.params(
        ("fits", [result(versions=(2, 3))], 2, ["i0"]),
        ("too old", [result(versions=(1, 3))], 2, []),
        ("given up", [model.Result("i0", model.ItemState.TERMINATED)], 0, []),
    )
    def test_results(self, name, kept, min_version, expected):
        _, carried = self.reopen(kept, min_version)
        self.assertEqual([each.item_id for each in carried], expected, name)

    def test_finished_text_is_kept_once(self):
        """Hundreds of items a minute finish in the memory of one process."""
        known = work.Work()
        opened = known.open(model.KeptBatch.of(batch("b1", 2), 0.0), 0.0)
        for item_id in ("i0", "i1"):
            run = opened.runs_by_item_id[item_id]
            run.text.add(event_stream.Event(1, b"a"), 2)
            known.finished("b1", [result(item_id)])
            self.assertEqual(run.text.parts, [])
        known.end("b1")
        again = known.open(model.KeptBatch.of(batch("b2", 2), 8.0), 8.0)
        self.assertIsNone(again.runs_by_item_id["i0"].text.last_number)

    def test_unfinished_text_goes_on(self):
        known = work.Work()
        opened = known.open(model.KeptBatch.of(batch("b1", 2), 0.0), 0.0)
        run = opened.runs_by_item_id["i0"]
        run.text.add(event_stream.Event(1, b"a"), 2)
        known.end("b1")
        again = known.open(model.KeptBatch.of(batch("b2", 2), 8.0), 8.0)
        self.assertEqual(again.runs_by_item_id["i0"].text.last_number, 1)
        self.assertEqual(again.spare_groups, frozenset())

    @tools.params(
        ("it had begun", ("i0", "i1"), True, {("b2", "g0")}),
        ("it had not begun", ("i0", "i1"), False, {("b2", "g0")}),
        ("all were complete", ("i0", "i1", "i2", "i3"), False, {("b2", "g1")}),
    )
    def test_carried_group_is_waited_for(self, name, finished, has_begun, expected):
        """A trainer waits for one of two groups, and for each that comes again.

        The second group comes again. Not known as such it goes behind all others, and
        its trainer waits for it until its time is up.
        """
        known = work.Work()
        kept = model.KeptBatch.of(batch("b1", 4), 0.0)
        opened = known.open(kept, 0.0)
        kept.results = [result(each) for each in finished]
        known.finished("b1", kept.results)
        if has_begun:
            opened.runs_by_item_id["i3"].text.add(event_stream.Event(1, b"a"), 2)
        known.end("b1")
        later = batch("b2", 4, n_wanted_groups=1)
        again = known.open(model.KeptBatch.of(later, 8.0), 8.0)
        self.assertEqual(again.spare_groups, expected, name)
