"""What the control group decides: policies, registrations, retirement."""

import unittest

import attrs
from nose2 import tools

from bilberrydrum.fleet import (
    commands,
    founding,
    liveness,
    model,
    policy,
    policy_check,
    retirement,
)
from bilberrydrum.state import machine


def route(name="r", host="h", prefix="/a/", shares=(("s", 1.0),), **fields):
    values = {"timeout_seconds": 1.0, "kind": policy.RouteKind.IDEMPOTENT}
    values.update(fields)
    return policy.Route(
        name,
        host,
        prefix,
        shares=tuple(policy.Share(*each) for each in shares),
        **values,
    )


def document(*routes, version=1, services=("s",)):
    return policy.Policy(
        version, routes, tuple(policy.Service(each) for each in services)
    )


class FindRoute(unittest.TestCase):
    """A request goes by its host and the longest prefix that begins its path."""

    TABLE = policy.RouteTable(
        document(
            route("short", prefix="/a/"),
            route("long", prefix="/a/b/"),
            route("root", prefix="/"),
            route("other", host="Other", prefix="/a/"),
            route("only", host="narrow", prefix="/x/"),
        )
    )

    @tools.params(
        ("h", "/a/1", "short"),
        ("h", "/a/b/1", "long"),
        ("h", "/a/bc/1", "short"),
        ("h", "/a", "root"),
        ("H", "/a/b/", "long"),
        ("other", "/a/b/1", "other"),
        ("narrow", "/y/1", None),
        ("unknown", "/a/1", None),
    )
    def test_find(self, host, path, name):
        found = self.TABLE.find(host, path)
        self.assertEqual(found.name if found else None, name)


class CheckPolicy(unittest.TestCase):
    """Every fault is found, each with the route that has it."""

    @tools.params(
        ("sound", document(route()), []),
        ("service", document(route(shares=(("t", 1.0),))), ["no service is named 't'"]),
        ("weights", document(route(shares=(("s", 0.0),))), ["add up to nothing"]),
        ("negative", document(route(shares=(("s", -1.0), ("s", 3.0)))), ["negative"]),
        ("timeout", document(route(timeout_seconds=0.0)), ["timeout"]),
        ("prefix", document(route(prefix="a/")), ["slash"]),
        ("place", document(route(), route("r2", host="H")), ["host and prefix"]),
        ("names", document(services=("s", "s")), ["same name"]),
        (
            "all at once",
            document(route(timeout_seconds=0.0, shares=(("t", 1.0),), max_attempts=0)),
            ["no service", "timeout", "attempt"],
        ),
    )
    def test_findings(self, name, given, expected):
        found = [each.message for each in policy_check.check(given)]
        self.assertEqual(len(found), len(expected), found)
        for text, part in zip(found, expected, strict=True):
            self.assertIn(part, text, name)


class World:
    """A state and a log that only counts."""

    def __init__(self):
        self.state = machine.State()
        self.index = 0
        self.time = 0.0

    def apply(self, command, seconds=1.0):
        self.index += 1
        self.time += seconds
        context = machine.Context(self.index, self.time)
        return machine.apply(command, self.state, context)

    @property
    def section(self):
        return commands.section_of(self.state)


def upstream(upstream_id="i-1", address="1.1.1.1:80", sequence=1, **fields):
    return model.FleetUpstream(
        upstream_id, "s", address, "zone", 6, sequence=sequence, **fields
    )


class PutPolicy(unittest.TestCase):
    """The first content of the highest version stands."""

    @tools.params(
        ("first", [(3, b"x")], 3, b"x"),
        ("higher", [(3, b"x"), (7, b"y")], 7, b"y"),
        ("older again", [(3, b"x"), (7, b"y"), (3, b"x")], 7, b"y"),
        ("same version, other content", [(3, b"x"), (3, b"y")], 3, b"x"),
    )
    def test_in_force(self, name, sent, version, content):
        world = World()
        for each, data in sent:
            taken = world.apply(commands.PutPolicy(document(version=each), data))
        self.assertEqual(taken.version, version, name)
        self.assertEqual(world.section.document, content)
        self.assertEqual(world.section.policy.version, version)


class Registration(unittest.TestCase):
    """Announcements come late, doubled and out of order; addresses are reused."""

    LEAVING = upstream(sequence=5, is_leaving=True)
    NEXT = upstream("i-2", sequence=1)

    @tools.params(
        ("new", [upstream()], [("i-1", False)]),
        ("leaving", [upstream(), LEAVING], [("i-1", True)]),
        (
            "older after it",
            [upstream(), LEAVING, upstream(sequence=4)],
            [("i-1", True)],
        ),
        (
            "newer after it",
            [upstream(), LEAVING, upstream(sequence=6)],
            [("i-1", True)],
        ),
        ("address taken over", [upstream(), NEXT], [("i-2", False)]),
        ("held up by a cut", [upstream(), NEXT, upstream()], [("i-2", False)]),
    )
    def test_announcements(self, name, announced, expected):
        world = World()
        for each in announced:
            world.apply(commands.PutUpstream(each))
        known = world.section.upstreams_by_id.values()
        self.assertEqual([(e.upstream_id, e.is_leaving) for e in known], expected, name)

    def test_late_announcement_of_one_that_left(self):
        """An upstream leaves, and an announcement from before arrives after it.

        Registered again, it would be sent requests that nobody answers.
        """
        world = World()
        world.apply(commands.PutUpstream(upstream()))
        world.apply(commands.NoteDeparture("i-1"))
        world.apply(commands.PutUpstream(upstream(sequence=9)))
        self.assertEqual(world.section.upstreams_by_id, {})

    def test_departed_are_forgotten_in_the_end(self):
        world = World()
        world.apply(commands.NoteDeparture("i-1"))
        world.apply(commands.NoteDeparture("i-2"), commands.FORMER_SECONDS + 1.0)
        self.assertEqual(list(world.section.formers_by_announced_id), ["i-2"])

    def test_silent_and_heard_again(self):
        world = World()
        world.apply(commands.PutUpstream(upstream()))
        world.apply(commands.MarkSilent(("i-1", "i-unknown")))
        self.assertTrue(world.section.upstreams_by_id["i-1"].is_silent)
        world.apply(commands.PutUpstream(upstream(sequence=2)))
        self.assertFalse(world.section.upstreams_by_id["i-1"].is_silent)

    def test_registry_index_tells_every_change(self):
        """A gateway that keeps a registry with the same index must miss nothing."""
        world = World()
        before = world.section.registry_index
        for command in (
            commands.PutUpstream(upstream()),
            commands.MarkSilent(("i-1",)),
            commands.NameVersion("m", 2),
            commands.PutStore("store-1", "1.1.1.2:70"),
            commands.FoundStores(("1.1.1.2:70",)),
            commands.RetireStore("store-1"),
            commands.RemoveUpstreams(("i-1",)),
            commands.NoteDeparture("i-2"),
        ):
            world.apply(command)
            self.assertGreater(world.section.registry_index, before, command)
            before = world.section.registry_index


class Versions(unittest.TestCase):
    """Named versions only rise."""

    @tools.params(([2, 3], 3), ([3, 2], 3), ([2, 2], 2))
    def test_named(self, versions, newest):
        world = World()
        for each in versions:
            world.apply(commands.NameVersion("m", each))
        self.assertEqual(world.section.versions_by_model, {"m": newest})


class Founders(unittest.TestCase):
    def test_chosen_once(self):
        """A second list of founders would start a second group beside the first."""
        world = World()
        world.apply(commands.FoundStores(("a", "b")))
        world.apply(commands.FoundStores(("c",)))
        self.assertEqual(world.section.founder_addresses, ("a", "b"))


class Silence(unittest.TestCase):
    """Who is not heard is marked first and removed much later."""

    @tools.params(
        ("just heard", 0.0, (), ()),
        ("a little late", 3.9, (), ()),
        ("silent", 4.1, ("i-1",), ()),
        ("gone", 33.0, (), ("i-1",)),
    )
    def test_due(self, name, seconds, silent, gone):
        heard = liveness.Liveness(4.0, 32.0)
        heard.begin(100.0)
        heard.heard(upstream(), 110.0)
        due = heard.due(110.0 + seconds, [upstream()])
        self.assertEqual((due.silent_ids, due.gone_ids), (silent, gone), name)

    def test_new_leader_gives_everyone_time(self):
        """A new leader has heard nobody; that must not look like silence."""
        heard = liveness.Liveness(4.0, 32.0)
        heard.begin(100.0)
        self.assertEqual(heard.due(103.9, [upstream()]), liveness.Due())
        self.assertEqual(heard.due(104.1, [upstream()]).silent_ids, ("i-1",))

    def test_marked_once(self):
        heard = liveness.Liveness(4.0, 32.0)
        heard.begin(100.0)
        known = attrs.evolve(upstream(), is_silent=True)
        self.assertEqual(heard.due(110.0, [known]), liveness.Due())

    def test_late_announcement_is_told(self):
        heard = liveness.Liveness(4.0, 32.0)
        heard.begin(100.0)
        self.assertTrue(heard.heard(upstream(sequence=3), 101.0))
        self.assertFalse(heard.heard(upstream(sequence=2), 102.0))


class Retirement(unittest.TestCase):
    """A store goes only when the group has enough others and has let it go."""

    STORES = tuple(model.Store(f"s{i}", f"a{i}") for i in range(4))

    @tools.params(
        ("four of four", ("a0", "a1", "a2", "a3"), (), True),
        ("another is down", ("a0", "a1", "a3"), (), False),
        ("one retires already", ("a0", "a1", "a2", "a3"), ("s1",), False),
    )
    def test_may_retire(self, name, live, retiring, expected):
        stores = [
            attrs.evolve(each, retiring_index=9) if each.name in retiring else each
            for each in self.STORES
        ]
        may = retirement.may_retire(stores[3], stores, live, 3)
        self.assertEqual(may, expected, name)

    @tools.params(
        ("nobody says", (), False),
        ("still a member", ((2, 9, ("a0", "a3")),), False),
        ("does not know yet", ((2, 8, ("a0", "a1")),), False),
        ("gone", ((2, 9, ("a0", "a1", "a2")),), True),
        ("its place is not taken", ((2, 9, ("a0", "a1")),), False),
        (
            "an older leader's word",
            ((2, 9, ("a0", "a1", "a2")), (3, 9, ("a0", "a1", "a3"))),
            False,
        ),
    )
    def test_is_done(self, name, reports, expected):
        store = attrs.evolve(self.STORES[3], retiring_index=9)
        given = [retirement.Report(*each) for each in reports]
        self.assertEqual(retirement.is_done(store, given, 3), expected, name)


class FoundersByZone(unittest.TestCase):
    """The stores' group starts in as many zones as there are."""

    ZONES = {f"a{n}": f"z{n // 6}" for n in range(30)}

    @tools.params(
        ("five zones, five replicas", ZONES, 5, {"z0", "z1", "z2", "z3", "z4"}),
        ("fewer stores in all", {"a0": "z0", "a6": "z1"}, 5, {"z0", "z1"}),
        ("three zones, five replicas", dict(list(ZONES.items())[:18]), 5, 3),
        ("zones are not known", dict.fromkeys(ZONES, ""), 5, {""}),
    )
    def test_zones(self, name, zones, n_replicas, expected):
        chosen = founding.choose(zones, zones, n_replicas)
        found = [zones[each] for each in chosen]
        if isinstance(expected, int):
            # A zone that is lost takes less than half.
            most = max(found.count(each) for each in found)
            self.assertEqual((len(set(found)), most), (expected, 2), name)
        else:
            self.assertEqual(set(found), expected, name)
        self.assertEqual(len(chosen), min(n_replicas, len(zones)), name)

    def test_store_in_another_zone(self):
        """A store's host comes back in another zone: everyone is told."""
        world = World()
        world.apply(commands.PutStore("s", "a:1", "z0"))
        index = world.section.registry_index
        world.apply(commands.PutStore("s", "a:1", "z1"))
        self.assertGreater(world.section.registry_index, index)
        self.assertEqual(world.section.stores_by_name["s"].availability_zone, "z1")
