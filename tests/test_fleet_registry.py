"""What a process looks up in its copy of the registry."""

import unittest

import attrs
from nose2 import tools

from bilberrydrum import reasons
from bilberrydrum.fleet import model
from tests import test_fleet
from tests.fakes import counted

N_UPSTREAMS = 3000


class FindRefusal(unittest.TestCase):
    """Whether an upstream may still be sent to, asked right before each sending."""

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

    def test_many_sendings(self):
        """Each item before 3,000 engines waits for half a millisecond of searching.

        The process that sends all items asks this for each of them, and went through
        all upstreams each time. They are gone through once for each registry.
        """
        names = [f"e{n}" for n in range(N_UPSTREAMS)]
        upstreams = counted.CountedTuple(test_fleet.upstream(each) for each in names)
        registry = model.Registry(1, upstreams)
        counted.CountedTuple.n_passes = 0
        for each in names[:100]:
            self.assertIsNone(registry.find_refusal(each))
        self.assertLessEqual(counted.CountedTuple.n_passes, 1)

    def test_registry_after(self):
        """What was looked up in one state says nothing of the next."""
        before = model.Registry(1, (test_fleet.upstream("a"),))
        self.assertIsNone(before.find_refusal("a"))
        leaving = test_fleet.upstream("a", is_leaving=True)
        after = attrs.evolve(before, upstreams=(leaving,))
        self.assertIs(after.find_refusal("a"), reasons.Reason.UPSTREAM_LEFT)


class Name(unittest.TestCase):
    """The name of an incarnation follows what it is made of."""

    def test_next_incarnation(self):
        first = test_fleet.upstream("a", started_at_ms=1)
        self.assertEqual(first.upstream_id, "a/1")
        second = attrs.evolve(first, started_at_ms=2)
        self.assertEqual(second.upstream_id, "a/2")
        self.assertEqual(first, test_fleet.upstream("a", started_at_ms=1))
