"""The assignment of engines to models."""

import unittest

from nose2 import tools

from bilberrydrum.batches import engine_shares


class Shares(unittest.TestCase):
    """Shares follow the demand, and stay unchanged while it hardly changes."""

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

    def test_unchanged_while_demand_hardly_changes(self):
        first = engine_shares.divide(
            self.ENGINES, {"a": 40.0, "b": 60.0}, engine_shares.Shares()
        )
        second = engine_shares.divide(self.ENGINES, {"a": 52.0, "b": 48.0}, first)
        self.assertEqual(second, first)
        third = engine_shares.divide(self.ENGINES, {"a": 90.0, "b": 10.0}, first)
        self.assertNotEqual(third, first)

    def test_lost_engine_changes_only_its_model(self):
        first = engine_shares.divide(
            self.ENGINES, {"a": 40.0, "b": 60.0}, engine_shares.Shares()
        )
        lost = min(first.engine_ids_by_model["b"])
        left = [each for each in self.ENGINES if each != lost]
        second = engine_shares.divide(left, {"a": 40.0, "b": 60.0}, first)
        kept = first.engine_ids_by_model["a"]
        self.assertEqual(second.engine_ids_by_model["a"], kept)
