"""Updates of the registry: what is sent to which process, and when."""

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
    """Return the control group's state for `registry`."""
    return commands.Section(
        registry_index=registry.index,
        upstreams_by_id={each.upstream_id: each for each in registry.upstreams},
        versions_by_model=dict(registry.versions_by_model),
        stores_by_name={each.name: each for each in registry.stores},
        founder_addresses=registry.founder_addresses,
    )


class Changes(unittest.TestCase):
    """A process with an earlier registry gets the changes since."""

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
            log.record(section_of(each))
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
        self.assertEqual(changes.apply_change(self.BEFORE, sent), after, name)

    @tools.params(5, 6, 7, 8)
    def test_change_since_any_state(self, index):
        """A process may have any earlier state, also one the log never recorded."""
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
        reached = changes.apply_change(known, change)
        self.assertEqual(reached.index, 9)
        self.assertEqual(
            {each.upstream_id: each for each in reached.upstreams},
            {each.upstream_id: each for each in states[-1].upstreams},
        )

    def test_gateways_get_no_loaded_versions(self):
        """Loaded versions are sent only to stores, which send items to engines."""
        first, second = self.BEFORE.upstreams
        loaded = attrs.evolve(first, versions_by_model={"m": 2}, sequence=9)
        after = attrs.evolve(self.BEFORE, index=6, upstreams=(loaded, second))
        log = self.log(self.BEFORE, after)
        self.assertEqual(log.change_since(5, is_gateway=True).upstreams, ())
        self.assertEqual(log.change_since(5, is_gateway=False).upstreams, (loaded,))
        versions = [
            e.versions_by_model for e in log.full_registry(is_gateway=True).upstreams
        ]
        self.assertEqual(versions, [{}, {}])
        self.assertEqual(log.full_registry(is_gateway=False), after)

    @tools.params(
        ("a version", {"versions_by_model": {"m": 2}, "sequence": 9}, False),
        ("leaving", {"is_leaving": True}, True),
        ("silent", {"is_silent": True}, True),
        ("another address", {"address": "2.2.2.2:80"}, True),
    )
    def test_urgent_changes(self, name, fields, is_urgent):
        """Loaded versions are no reason to push to gateways before their renewal."""
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
    def test_added_and_removed_upstreams_are_urgent(self, name, ids, is_urgent):
        log = self.log(self.BEFORE, self.after(6, upstreams=ids))
        self.assertEqual(log.can_wait(5), not is_urgent, name)

    @tools.params(
        ("the one that it was made for", 0, True),
        ("between", 1, True),
        ("between, with an entry that changes back", 2, True),
        ("the newest", 4, False),
    )
    def test_applied_to_a_state_in_between(self, name, position, is_applied):
        """A process applies a change half a second late, though it was pushed at once.

        A push is a difference from the index in the process's last renewal. When the
        answer to that renewal arrives first, the process already has a later state. If
        the push were dropped, so would be all further ones until a renewal finds
        nothing new.
        """
        states = [
            self.BEFORE,
            self.after(6, upstreams=("a", "b!", "c")),
            self.after(7, upstreams=("a!", "b!")),
            self.after(8, upstreams=("a", "b!", "d")),
            self.after(9, upstreams=("a", "b!", "d!")),
        ]
        change = self.log(*states).change_since(5, is_gateway=False)
        reached = changes.apply_change(states[position], change)
        self.assertEqual(reached is not None, is_applied, name)
        if reached is not None:
            self.assertEqual(reached, states[-1], name)

    def test_difference_of_two_states(self):
        """A change made by the previous release applies only to its base state."""
        change = attrs.evolve(
            self.log(self.BEFORE, self.after(9)).change_since(5, is_gateway=False),
            is_cumulative=False,
        )
        self.assertIsNone(changes.apply_change(self.after(7), change))
        self.assertIsNotNone(changes.apply_change(self.BEFORE, change))

    def test_other_state(self):
        """An earlier change was lost; the next one must not be applied without it."""
        later = attrs.evolve(self.BEFORE, index=7)
        log = self.log(later, attrs.evolve(later, index=8))
        change = log.change_since(7, is_gateway=False)
        self.assertIsNone(changes.apply_change(self.BEFORE, change))

    def test_before_the_leadership(self):
        """A leader does not know the changes from before its term."""
        log = self.log(self.BEFORE, self.after(9))
        self.assertFalse(log.reaches_back_to(4))
        self.assertFalse(log.can_wait(4))
        self.assertTrue(log.reaches_back_to(5))

    def test_number_of_remembered_removals_is_bounded(self):
        ids = tuple(f"u{n}" for n in range(registry_log.MAX_REMOVED + 1))
        log = self.log(
            self.after(6, upstreams=ids),
            self.after(7, upstreams=ids[1:]),
            self.after(8, upstreams=()),
        )
        self.assertFalse(log.reaches_back_to(6))
        self.assertTrue(log.reaches_back_to(7))


class FeedContent(unittest.TestCase):
    """The content of the leader's updates."""

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

    def test_complete_registry_then_changes(self):
        for number in range(40):
            self.put(f"u{number}")
        first = self.make(0)
        self.assertTrue(first.registry)
        self.put("late")
        second = self.make(self.section.registry_index - 1)
        self.assertFalse(second.registry)
        self.assertLess(len(second.registry_change), len(first.registry) / 10)
        registry = changes.apply_change(
            codec.decode(first.registry), codec.decode(second.registry_change)
        )
        self.assertEqual(registry, self.section.registry())

    def test_far_behind(self):
        """Hundreds of upstreams announce themselves while a process is delayed.

        If the complete registry were sent each time to 300 processes of a fleet of
        3,000 upstreams, the leader would send 33 MB a second and need more memory than
        it has.
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
        reached = changes.apply_change(known, codec.decode(feed.registry_change))
        self.assertEqual(reached, self.section.registry())

    def test_loaded_versions_can_wait(self):
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


N_HISTORIES = 20
N_STEPS = 200


class RandomHistories(unittest.TestCase):
    """Processes reach the current registry under random changes and leaders."""

    def setUp(self):
        few = mock.patch.object(registry_log, "MAX_REMOVED", 5)
        few.start()
        self.addCleanup(few.stop)

    def change(self, section, rng):
        """Apply a random change to the fleet."""
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
        """Return the registry of a process after its renewal."""
        can_wait = is_gateway and leader.can_wait(section, known.index)
        address = "" if is_gateway else "x:1"
        has = messages.Subscribe(registry_index=known.index, store_address=address)
        feed = leader.make(section, crash_commands.Section(), has, ())
        if feed.registry:
            reached = codec.decode(feed.registry)
        elif feed.registry_change:
            reached = changes.apply_change(known, codec.decode(feed.registry_change))
        else:
            reached = known
        if can_wait:
            self.assertEqual(
                fields_used_by_gateways(reached), fields_used_by_gateways(known)
            )
        return reached

    def check(self, reached, section, is_gateway):
        current = section.registry()
        visible = registry_log.for_gateways if is_gateway else lambda each: each
        self.assertEqual(
            {each.upstream_id: each for each in reached.upstreams},
            {each.upstream_id: visible(each) for each in current.upstreams},
        )
        self.assertEqual(
            attrs.evolve(reached, upstreams=()), attrs.evolve(current, upstreams=())
        )

    def test_processes_reach_the_current_registry(self):
        """A process keeps an upstream that was removed, or never gets a new one.

        Upstreams are added, removed and added again, also between two states that the
        leader records, and in the term of another leader, which has sent processes
        changes that this one has not seen.
        """
        for seed in range(N_HISTORIES):
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


def fields_used_by_gateways(registry):
    """Return the fields whose changes a gateway must get at once."""
    upstreams = {
        each.upstream_id: (each.service, each.address, each.is_leaving, each.is_silent)
        for each in registry.upstreams
    }
    return upstreams, registry.stores
