"""Lookups in a process's copy of the registry."""

import unittest

import attrs
from nose2 import tools

from bilberrydrum import reasons
from bilberrydrum.fleet import model
from tests import test_fleet
from tests.fakes import counted

N_UPSTREAMS = 3000


class FindRefusal(unittest.TestCase):
    """Checks before each attempt whether an upstream may still be sent requests."""

    @tools.params(
        ("present", "a", None),
        ("leaving", "b", reasons.Reason.UPSTREAM_LEFT),
        ("gone", "c", reasons.Reason.UPSTREAM_LEFT),
        ("an earlier incarnation", "d/1", reasons.Reason.UPSTREAM_LEFT),
        ("its next one", "d/2", None),
    )
    def test_answer(self, name, upstream_id, expected):
        upstreams = (
            test_fleet.upstream("a"),
            test_fleet.upstream("b", is_leaving=True),
            test_fleet.upstream("d", started_at_ms=2),
        )
        registry = model.Registry(1, upstreams)
        self.assertIs(registry.find_refusal(upstream_id), expected, name)
        self.assertIs(registry.find_refusal(upstream_id), expected, name)

    def test_many_lookups(self):
        """Each item waits for half a millisecond of searching with 3,000 engines.

        The process that sends all items makes this lookup for each of them. If each
        lookup iterated over all upstreams, it would take that long; the upstreams must
        be iterated over only once for each registry.
        """
        names = [f"e{n}" for n in range(N_UPSTREAMS)]
        upstreams = counted.CountedTuple(test_fleet.upstream(each) for each in names)
        registry = model.Registry(1, upstreams)
        counted.CountedTuple.n_passes = 0
        for each in names[:100]:
            self.assertIsNone(registry.find_refusal(each))
        self.assertLessEqual(counted.CountedTuple.n_passes, 1)

    def test_later_registry(self):
        """A lookup in one state of the registry does not affect the next state."""
        before = model.Registry(1, (test_fleet.upstream("a"),))
        self.assertIsNone(before.find_refusal("a"))
        leaving = test_fleet.upstream("a", is_leaving=True)
        after = attrs.evolve(before, upstreams=(leaving,))
        self.assertIs(after.find_refusal("a"), reasons.Reason.UPSTREAM_LEFT)


class Name(unittest.TestCase):
    """The id of an incarnation follows from its announced id and start."""

    def test_next_incarnation(self):
        first = test_fleet.upstream("a", started_at_ms=1)
        self.assertEqual(first.upstream_id, "a/1")
        second = attrs.evolve(first, started_at_ms=2)
        self.assertEqual(second.upstream_id, "a/2")
        self.assertEqual(first, test_fleet.upstream("a", started_at_ms=1))
