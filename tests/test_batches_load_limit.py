"""The adaptive limit on concurrent weight loads."""

import unittest

from nose2 import tools

from bilberrydrum.batches import load_limit, weight_plan
from tests import test_batches_weight_plan


def seconds_to_load_all(n_engines, n_at_once, load_seconds, limit):
    """Simulate a version that is announced while all engines serve the previous one.

    Returns the seconds until all engines serve it. The source of the weights serves
    `n_at_once` engines at full speed; with more of them, each load takes proportionally
    longer.
    """
    versions = dict.fromkeys(range(n_engines), 1)
    seconds = 0.0
    while any(each == 1 for each in versions.values()):
        engines = [
            test_batches_weight_plan.weights(str(n), version)
            for n, version in versions.items()
        ]
        ids = frozenset(each.upstream_id for each in engines)
        bound = limit.max_loading(n_engines)
        wanted = {"m": weight_plan.Wanted(2)}
        loads = weight_plan.plan(engines, {"m": ids}, wanted, bound)
        took = load_seconds * max(1.0, len(loads) / n_at_once)
        seconds += took
        for load in loads:
            versions[int(load.engine_id)] = 2
            limit.record_load(took, len(loads), n_engines)
    return seconds


class Replayed(unittest.TestCase):
    """Trainers announce a version every four seconds; each must reach all engines."""

    @tools.params(
        ("small", 5, 2, 0.9, 2.8),
        # Three rounds. One has two loads more than the source serves at full speed,
        # because the limit grows.
        ("grown", 24, 10, 0.9, 2.9),
        ("grown, a narrow source", 24, 4, 0.9, 8.0),
        ("one engine", 1, 1, 0.9, 0.95),
        ("hundreds", 300, 10, 0.9, 34.0),
        ("hundreds, a wide source", 300, 150, 0.9, 6.0),
    )
    def test_version_reaches_all(self, name, n_engines, n_at_once, load, most):
        limit = load_limit.LoadLimit()
        seconds = seconds_to_load_all(n_engines, n_at_once, load, limit)
        self.assertLessEqual(seconds, most, name)

    def test_follows_a_narrow_source(self):
        """The limit stays far above the capacity of the source.

        The source serves four engines at full speed, so ten concurrent loads take 2.5
        times as long, and all ten engines start nothing in the meantime. After a few
        versions the limit must be near four.
        """
        limit = load_limit.LoadLimit()
        limit.record_load(0.9, 1, 24)
        for _ in range(6):
            seconds_to_load_all(24, 4, 0.9, limit)
        self.assertLessEqual(limit.max_loading(24), 8)
        self.assertGreaterEqual(limit.max_loading(24), 4)


class Bound(unittest.TestCase):
    """The initial limit, and its changes after loads."""

    @tools.params((1, 2), (2, 2), (5, 2), (12, 5), (24, 10))
    def test_first(self, n_engines, expected):
        self.assertEqual(load_limit.LoadLimit().max_loading(n_engines), expected)

    @tools.params(
        ("quick at the bound", [(0.9, 10)], 11),
        ("quick below it", [(0.9, 4)], 10),
        ("never more than half", [(0.9, 12)] * 9, 12),
        ("slow together", [(0.9, 1), (2.0, 10), (2.0, 10)], 8),
        ("slow for another reason", [(0.9, 1), (2.0, 2)], 10),
        ("never below two", [(0.9, 1)] + [(9.0, 3)] * 9, 2),
    )
    def test_record_load(self, name, recorded, expected):
        limit = load_limit.LoadLimit()
        for seconds, n_concurrent in recorded:
            limit.record_load(seconds, n_concurrent, 24)
        self.assertEqual(limit.max_loading(24), expected, name)
