"""What processes are told of the registry, and when."""

import random
import unittest
from unittest import mock

import attrs
from nose2 import tools

from bilberrydrum import codec
from bilberrydrum.fleet import (
    changes,
    commands,
    crash_commands,
    feeds,
    messages,
    model,
    registry_log,
)
from tests import test_fleet


def section_of(registry):
    """Return what the control group holds when it tells `registry`."""
    return commands.Section(
        registry_index=registry.index,
        upstreams_by_id={each.upstream_id: each for each in registry.upstreams},
        versions_by_model=dict(registry.versions_by_model),
        stores_by_name={each.name: each for each in registry.stores},
        founder_addresses=registry.founder_addresses,
    )


class Changes(unittest.TestCase):
    """A process with an earlier registry gets what changed since."""

    BEFORE = model.Registry(
        5,
        (test_fleet.upstream("a"), test_fleet.upstream("b")),
        {"m": 1},
        (model.Store("s0", "x:1"),),
        ("x:1",),
    )

    def log(self, *registries):
        log = registry_log.RegistryLog()
        for each in registries:
            log.note(section_of(each))
        return log

    def after(self, index=9, **fields):
        if "upstreams" in fields:
            fields["upstreams"] = tuple(
                test_fleet.upstream(each.strip("!"), is_leaving=each.endswith("!"))
                for each in fields["upstreams"]
            )
        return attrs.evolve(self.BEFORE, index=index, **fields)

    @tools.params(
        ("nothing but the index", {}, (), ()),
        ("a new one", {"upstreams": ("a", "b", "c")}, ("c",), ()),
        ("one gone", {"upstreams": ("b",)}, (), ("a",)),
        ("one leaves", {"upstreams": ("a", "b!")}, ("b",), ()),
        ("a version", {"versions_by_model": {"m": 2, "n": 1}}, (), ()),
        ("a store", {"stores": (model.Store("s1", "x:2"),)}, (), ()),
        ("founders", {"founder_addresses": ("x:2",)}, (), ()),
    )
    def test_change(self, name, fields, put, gone):
        after = self.after(**fields)
        change = self.log(self.BEFORE, after).change_since(5, is_gateway=False)
        self.assertEqual(tuple(e.upstream_id for e in change.upstreams), put, name)
        self.assertEqual(change.gone_ids, gone, name)
        sent = codec.decode(codec.encode(change))
        self.assertEqual(changes.changed(self.BEFORE, sent), after, name)

    @tools.params(5, 6, 7, 8)
    def test_change_since_any_state(self, index):
        """Processes are how far behind they are, also at states between two looks."""
        states = [
            self.BEFORE,
            self.after(6, upstreams=("a", "b", "c")),
            self.after(7, upstreams=("a", "c")),
            self.after(8, upstreams=("a", "c", "b")),
            self.after(9, upstreams=("a", "c!", "b", "d")),
        ]
        seen = self.log(*states[::2])
        known = next(each for each in states if each.index == index)
        change = seen.change_since(index, is_gateway=False)
        reached = changes.changed(known, change)
        self.assertEqual(reached.index, 9)
        self.assertEqual(
            {each.upstream_id: each for each in reached.upstreams},
            {each.upstream_id: each for each in states[-1].upstreams},
        )

    def test_what_gateways_are_told(self):
        """What engines have loaded concerns those who send them items only."""
        first, second = self.BEFORE.upstreams
        loaded = attrs.evolve(first, versions_by_model={"m": 2}, sequence=9)
        after = attrs.evolve(self.BEFORE, index=6, upstreams=(loaded, second))
        log = self.log(self.BEFORE, after)
        self.assertEqual(log.change_since(5, is_gateway=True).upstreams, ())
        self.assertEqual(log.change_since(5, is_gateway=False).upstreams, (loaded,))
        versions = [e.versions_by_model for e in log.whole(is_gateway=True).upstreams]
        self.assertEqual(versions, [{}, {}])
        self.assertEqual(log.whole(is_gateway=False), after)

    @tools.params(
        ("a version", {"versions_by_model": {"m": 2}, "sequence": 9}, False),
        ("leaving", {"is_leaving": True}, True),
        ("silent", {"is_silent": True}, True),
        ("another address", {"address": "2.2.2.2:80"}, True),
    )
    def test_what_cannot_wait(self, name, fields, is_urgent):
        """What engines load is told to gateways with their next renewal only."""
        first, second = self.BEFORE.upstreams
        upstreams = (attrs.evolve(first, **fields), second)
        after = attrs.evolve(self.BEFORE, index=6, upstreams=upstreams)
        log = self.log(self.BEFORE, after)
        self.assertEqual(log.can_wait(5), not is_urgent, name)
        self.assertTrue(log.can_wait(6), name)

    @tools.params(
        ("new", ("a", "b", "c"), True),
        ("gone", ("a",), True),
        ("same", ("a", "b"), False),
    )
    def test_comings_and_goings_cannot_wait(self, name, ids, is_urgent):
        log = self.log(self.BEFORE, self.after(6, upstreams=ids))
        self.assertEqual(log.can_wait(5), not is_urgent, name)

    @tools.params(
        ("the one that it was made for", 0, True),
        ("between", 1, True),
        ("between, with a line that changes back", 2, True),
        ("the newest", 4, False),
    )
    def test_taken_at_a_state_between(self, name, position, is_taken):
        """A process hears of a change half a second late, though it was pushed at once.

        Its renewal's answer and the next push cross: the push is made for what the
        renewal said that the process has, and the process is further by then. Dropped,
        each push would be, until a renewal finds nothing new.
        """
        states = [
            self.BEFORE,
            self.after(6, upstreams=("a", "b!", "c")),
            self.after(7, upstreams=("a!", "b!")),
            self.after(8, upstreams=("a", "b!", "d")),
            self.after(9, upstreams=("a", "b!", "d!")),
        ]
        change = self.log(*states).change_since(5, is_gateway=False)
        reached = changes.changed(states[position], change)
        self.assertEqual(reached is not None, is_taken, name)
        if reached is not None:
            self.assertEqual(reached, states[-1], name)

    def test_difference_of_two_states(self):
        """A leader of the release before compares two states and knows none between."""
        change = attrs.evolve(
            self.log(self.BEFORE, self.after(9)).change_since(5, is_gateway=False),
            is_cumulative=False,
        )
        self.assertIsNone(changes.changed(self.after(7), change))
        self.assertIsNotNone(changes.changed(self.BEFORE, change))

    def test_other_state(self):
        """The change before was lost; taken all the same, its part would be missing."""
        later = attrs.evolve(self.BEFORE, index=7)
        log = self.log(later, attrs.evolve(later, index=8))
        change = log.change_since(7, is_gateway=False)
        self.assertIsNone(changes.changed(self.BEFORE, change))

    def test_before_the_leadership(self):
        """What changed before this leader's time is not known to it."""
        log = self.log(self.BEFORE, self.after(9))
        self.assertFalse(log.reaches_back_to(4))
        self.assertFalse(log.can_wait(4))
        self.assertTrue(log.reaches_back_to(5))

    def test_departures_are_remembered_up_to_a_number(self):
        ids = tuple(f"u{n}" for n in range(registry_log.MAX_GONE + 1))
        log = self.log(
            self.after(6, upstreams=ids),
            self.after(7, upstreams=ids[1:]),
            self.after(8, upstreams=()),
        )
        self.assertFalse(log.reaches_back_to(6))
        self.assertTrue(log.reaches_back_to(7))


class Fed(unittest.TestCase):
    """What the leader sends to whom."""

    def setUp(self):
        self.feeds = feeds.Feeds()
        self.section = commands.Section(registry_index=1)

    def put(self, upstream_id):
        self.section.upstreams_by_id[upstream_id] = test_fleet.upstream(upstream_id)
        self.section.registry_index += 1

    def make(self, registry_index):
        has = messages.Subscribe(registry_index=registry_index, store_address="x:1")
        crashes = crash_commands.Section()
        return self.feeds.make(self.section, crashes, has, ())

    def test_whole_then_changes(self):
        for number in range(40):
            self.put(f"u{number}")
        first = self.make(0)
        self.assertTrue(first.registry)
        self.put("late")
        second = self.make(self.section.registry_index - 1)
        self.assertFalse(second.registry)
        self.assertLess(len(second.registry_change), len(first.registry) / 10)
        registry = changes.changed(
            codec.decode(first.registry), codec.decode(second.registry_change)
        )
        self.assertEqual(registry, self.section.registry())

    def test_far_behind(self):
        """Hundreds of upstreams announce themselves while a process is held up.

        Sent the whole registry each time, 300 processes of a fleet of 3,000 upstreams
        cost their leader 33 MB a second and more memory than it has.
        """
        self.put("first")
        self.make(0)
        index = self.section.registry_index
        known = self.section.registry()
        for number in range(300):
            self.put(f"u{number}")
            self.make(self.section.registry_index - 1)
        feed = self.make(index)
        self.assertFalse(feed.registry)
        reached = changes.changed(known, codec.decode(feed.registry_change))
        self.assertEqual(reached, self.section.registry())

    def test_what_can_wait(self):
        self.put("u0")
        self.make(0)
        index = self.section.registry_index
        engine = test_fleet.upstream("u0", sequence=2, versions_by_model={"m": 1})
        self.section.upstreams_by_id["u0"] = engine
        self.section.registry_index += 1
        self.assertTrue(self.feeds.can_wait(self.section, index))
        self.assertFalse(self.feeds.can_wait(self.section, 0))
        self.put("u1")
        self.assertFalse(self.feeds.can_wait(self.section, index))

    def test_up_to_date(self):
        feed = self.make(1)
        self.assertEqual((feed.registry, feed.registry_change), (b"", b""))


N_COURSES = 20
N_STEPS = 200


class AnyCourse(unittest.TestCase):
    """Whoever leads, and however far a process is behind, it gets what there is."""

    def setUp(self):
        few = mock.patch.object(registry_log, "MAX_GONE", 5)
        few.start()
        self.addCleanup(few.stop)

    def change(self, section, rng):
        """Let something happen to the fleet."""
        section.registry_index += rng.randrange(1, 3)
        index = section.registry_index
        chance = rng.random()
        upstreams = section.upstreams_by_id
        if chance < 0.35 or not upstreams:
            upstream_id = f"u{rng.randrange(12)}"
            upstreams[upstream_id] = test_fleet.upstream(
                upstream_id,
                address=f"1.1.1.{rng.randrange(3)}:80",
                sequence=index,
                is_leaving=rng.random() < 0.2,
            )
        elif chance < 0.6:
            del upstreams[rng.choice(list(upstreams))]
        elif chance < 0.85:
            upstream_id = rng.choice(list(upstreams))
            upstreams[upstream_id] = attrs.evolve(
                upstreams[upstream_id], versions_by_model={"m": index}, sequence=index
            )
        elif chance < 0.93:
            section.versions_by_model[f"m{rng.randrange(2)}"] = index
        else:
            name = f"s{rng.randrange(3)}"
            section.stores_by_name[name] = model.Store(name, f"x:{index}")

    def feed(self, leader, section, known, is_gateway):
        """Return what a process has after its renewal."""
        can_wait = is_gateway and leader.can_wait(section, known.index)
        address = "" if is_gateway else "x:1"
        has = messages.Subscribe(registry_index=known.index, store_address=address)
        feed = leader.make(section, crash_commands.Section(), has, ())
        if feed.registry:
            reached = codec.decode(feed.registry)
        elif feed.registry_change:
            reached = changes.changed(known, codec.decode(feed.registry_change))
        else:
            reached = known
        if can_wait:
            self.assertEqual(used_by_gateways(reached), used_by_gateways(known))
        return reached

    def check(self, reached, section, is_gateway):
        current = section.registry()
        told = registry_log.for_gateways if is_gateway else lambda each: each
        self.assertEqual(
            {each.upstream_id: each for each in reached.upstreams},
            {each.upstream_id: told(each) for each in current.upstreams},
        )
        self.assertEqual(
            attrs.evolve(reached, upstreams=()), attrs.evolve(current, upstreams=())
        )

    def test_what_processes_have(self):
        """A process sends to an upstream that is gone, or never hears of one.

        Upstreams come, go and come again, also between two looks of the leader and
        while another one leads, which has told processes what this one has not seen.
        """
        for seed in range(N_COURSES):
            rng = random.Random(seed)
            section = commands.Section()
            leaders = [feeds.Feeds(), feeds.Feeds()]
            known = dict.fromkeys(range(6), model.Registry())
            for _ in range(N_STEPS):
                self.change(section, rng)
                if rng.random() < 0.05:
                    leaders.reverse()
                    leaders[0].clear()
                for number in known:
                    if rng.random() < 0.2:
                        is_gateway = number % 2 == 0
                        known[number] = self.feed(
                            leaders[0], section, known[number], is_gateway
                        )
                        self.check(known[number], section, is_gateway)


def used_by_gateways(registry):
    """Return what a gateway must know at once."""
    upstreams = {
        each.upstream_id: (each.service, each.address, each.is_leaving, each.is_silent)
        for each in registry.upstreams
    }
    return upstreams, registry.stores
