"""Decisions of the control group: policies, registrations, retirement."""

import unittest

import attrs
from nose2 import tools

from bilberrydrum.fleet import (
    bootstrap,
    commands,
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
    """A request is routed by its host and the longest matching path prefix."""

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
    """Every fault is found and reported with its route."""

    @tools.params(
        ("sound", document(route()), []),
        ("service", document(route(shares=(("t", 1.0),))), ["no service is named 't'"]),
        (
            "weights",
            document(route(shares=(("s", 0.0),))),
            ["must add up to more than 0"],
        ),
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


class FakeReplica:
    """A state machine that applies commands; its log only counts them."""

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
    """The first content of the highest version is in force."""

    @tools.params(
        ("first", [(3, b"x")], 3, b"x"),
        ("higher", [(3, b"x"), (7, b"y")], 7, b"y"),
        ("older again", [(3, b"x"), (7, b"y"), (3, b"x")], 7, b"y"),
        ("same version, other content", [(3, b"x"), (3, b"y")], 3, b"x"),
    )
    def test_in_force(self, name, sent, version, content):
        replica = FakeReplica()
        for each, data in sent:
            taken = replica.apply(commands.PutPolicy(document(version=each), data))
        self.assertEqual(taken.version, version, name)
        self.assertEqual(replica.section.document, content)
        self.assertEqual(replica.section.policy.version, version)


class Registration(unittest.TestCase):
    """Announcements are delayed, duplicated and reordered; addresses are reused."""

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
        ("delayed by a partition", [upstream(), NEXT, upstream()], [("i-2", False)]),
    )
    def test_announcements(self, name, announced, expected):
        replica = FakeReplica()
        for each in announced:
            replica.apply(commands.PutUpstream(each))
        known = replica.section.upstreams_by_id.values()
        self.assertEqual([(e.upstream_id, e.is_leaving) for e in known], expected, name)

    def test_late_announcement_after_departure(self):
        """An upstream departs, and an earlier announcement arrives after its departure.

        If that registered it again, requests would be sent to a stopped process.
        """
        replica = FakeReplica()
        replica.apply(commands.PutUpstream(upstream()))
        replica.apply(commands.RecordDeparture("i-1"))
        replica.apply(commands.PutUpstream(upstream(sequence=9)))
        self.assertEqual(replica.section.upstreams_by_id, {})

    def test_departures_are_forgotten_after_retention(self):
        replica = FakeReplica()
        replica.apply(commands.RecordDeparture("i-1"))
        replica.apply(
            commands.RecordDeparture("i-2"), commands.FORMER_RETENTION_SECONDS + 1.0
        )
        self.assertEqual(list(replica.section.formers_by_announced_id), ["i-2"])

    def test_silent_until_next_announcement(self):
        replica = FakeReplica()
        replica.apply(commands.PutUpstream(upstream()))
        replica.apply(commands.MarkSilent(("i-1", "i-unknown")))
        self.assertTrue(replica.section.upstreams_by_id["i-1"].is_silent)
        replica.apply(commands.PutUpstream(upstream(sequence=2)))
        self.assertFalse(replica.section.upstreams_by_id["i-1"].is_silent)

    def test_every_change_advances_the_registry_index(self):
        """A gateway whose registry has the current index must not lack any change."""
        replica = FakeReplica()
        before = replica.section.registry_index
        for command in (
            commands.PutUpstream(upstream()),
            commands.MarkSilent(("i-1",)),
            commands.AnnounceVersion("m", 2),
            commands.PutStore("store-1", "1.1.1.2:70"),
            commands.BootstrapStores(("1.1.1.2:70",)),
            commands.RetireStore("store-1"),
            commands.RemoveUpstreams(("i-1",)),
            commands.RecordDeparture("i-2"),
        ):
            replica.apply(command)
            self.assertGreater(replica.section.registry_index, before, command)
            before = replica.section.registry_index


class Versions(unittest.TestCase):
    """Only a higher version replaces the announced one."""

    @tools.params(([2, 3], 3), ([3, 2], 3), ([2, 2], 2))
    def test_newest_announced(self, versions, newest):
        replica = FakeReplica()
        for each in versions:
            replica.apply(commands.AnnounceVersion("m", each))
        self.assertEqual(replica.section.versions_by_model, {"m": newest})


class InitialMembers(unittest.TestCase):
    def test_chosen_once(self):
        """A second list of initial members would start a second, separate group."""
        replica = FakeReplica()
        replica.apply(commands.BootstrapStores(("a", "b")))
        replica.apply(commands.BootstrapStores(("c",)))
        self.assertEqual(replica.section.founder_addresses, ("a", "b"))


class FailureDetection(unittest.TestCase):
    """A silent upstream is marked first and removed much later."""

    @tools.params(
        ("just announced", 0.0, (), ()),
        ("a little late", 3.9, (), ()),
        ("silent", 4.1, ("i-1",), ()),
        ("gone", 33.0, (), ("i-1",)),
    )
    def test_due(self, name, seconds, silent, gone):
        detector = liveness.Liveness(4.0, 32.0)
        detector.reset(100.0)
        detector.record_announcement(upstream(), 110.0)
        due = detector.due(110.0 + seconds, [upstream()])
        self.assertEqual((due.silent_ids, due.gone_ids), (silent, gone), name)

    def test_new_leader_waits_before_marking_silent(self):
        """A new leader has received no announcements; that is not silence."""
        detector = liveness.Liveness(4.0, 32.0)
        detector.reset(100.0)
        self.assertEqual(detector.due(103.9, [upstream()]), liveness.Due())
        self.assertEqual(detector.due(104.1, [upstream()]).silent_ids, ("i-1",))

    def test_marked_once(self):
        detector = liveness.Liveness(4.0, 32.0)
        detector.reset(100.0)
        known = attrs.evolve(upstream(), is_silent=True)
        self.assertEqual(detector.due(110.0, [known]), liveness.Due())

    def test_late_announcement_is_detected(self):
        detector = liveness.Liveness(4.0, 32.0)
        detector.reset(100.0)
        self.assertTrue(detector.record_announcement(upstream(sequence=3), 101.0))
        self.assertFalse(detector.record_announcement(upstream(sequence=2), 102.0))


class Retirement(unittest.TestCase):
    """A store is retired only if others suffice and one of them has replaced it."""

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
        ("no reports", (), False),
        ("still a member", ((2, 9, ("a0", "a3")),), False),
        ("leader lacks the retirement", ((2, 8, ("a0", "a1")),), False),
        ("gone", ((2, 9, ("a0", "a1", "a2")),), True),
        ("not replaced yet", ((2, 9, ("a0", "a1")),), False),
        (
            "report of an older leader",
            ((2, 9, ("a0", "a1", "a2")), (3, 9, ("a0", "a1", "a3"))),
            False,
        ),
    )
    def test_is_done(self, name, reports, expected):
        store = attrs.evolve(self.STORES[3], retiring_index=9)
        given = [retirement.Report(*each) for each in reports]
        self.assertEqual(retirement.is_done(store, given, 3), expected, name)


class InitialMembersByZone(unittest.TestCase):
    """The initial members are spread over as many zones as possible."""

    ZONES = {f"a{n}": f"z{n // 6}" for n in range(30)}

    @tools.params(
        ("five zones, five replicas", ZONES, 5, {"z0", "z1", "z2", "z3", "z4"}),
        ("fewer stores in all", {"a0": "z0", "a6": "z1"}, 5, {"z0", "z1"}),
        ("three zones, five replicas", dict(list(ZONES.items())[:18]), 5, 3),
        ("zones are not known", dict.fromkeys(ZONES, ""), 5, {""}),
    )
    def test_zones(self, name, zones, n_replicas, expected):
        chosen = bootstrap.choose(zones, zones, n_replicas)
        found = [zones[each] for each in chosen]
        if isinstance(expected, int):
            # The loss of one zone must lose less than half of the replicas.
            most = max(found.count(each) for each in found)
            self.assertEqual((len(set(found)), most), (expected, 2), name)
        else:
            self.assertEqual(set(found), expected, name)
        self.assertEqual(len(chosen), min(n_replicas, len(zones)), name)

    def test_store_in_another_zone(self):
        """A store's host returns in another zone, and the registry changes with it."""
        replica = FakeReplica()
        replica.apply(commands.PutStore("s", "a:1", "z0"))
        index = replica.section.registry_index
        replica.apply(commands.PutStore("s", "a:1", "z1"))
        self.assertGreater(replica.section.registry_index, index)
        self.assertEqual(replica.section.stores_by_name["s"].availability_zone, "z1")
