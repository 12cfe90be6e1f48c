"""The forecast of an engine's memory use until its items have ended."""

import unittest

import hypothesis
from hypothesis import strategies
from nose2 import tools

from bilberrydrum.batches import (
    engine_shares,
    engines,
    lifecycle,
    memory_forecast,
    model,
)
from bilberrydrum.fleet import model as fleet_model
from tests import batches_support

Need = memory_forecast.Need
NEEDS = strategies.builds(Need, strategies.integers(0, 50), strategies.integers(0, 40))


def peak(needs):
    """Return the largest use, from the use at each point in time."""
    end = max((each.n_left for each in needs), default=0)
    return max(
        sum(
            each.n_held + (time if each.n_left else 0)
            for each in needs
            if time <= each.n_left or not each.n_left
        )
        for time in range(end + 1)
    )


class Peak(unittest.TestCase):
    @tools.params(
        ("nothing runs", (), 0),
        ("one item", (Need(10, 5),), 15),
        ("the short one ends first", (Need(10, 5), Need(10, 100)), 110),
        ("both end at the same time", (Need(10, 100), Need(10, 100)), 220),
        ("unknown length", (Need(10, 5), Need(300)), 315),
        ("peak at the end of the short one", (Need(90, 5), Need(10, 20)), 110),
    )
    def test_peak(self, name, needs, expected):
        self.assertEqual(memory_forecast.Forecast(needs).peak(), expected, name)

    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    @hypothesis.given(
        strategies.lists(NEEDS, max_size=8), NEEDS, strategies.integers(0, 400)
    )
    def test_room(self, needs, added, n_capacity):
        """An engine is given more items than its memory will hold, and rejects them.

        An item fits exactly if the peak with it stays within the memory.
        """
        forecast = memory_forecast.Forecast(needs)
        fits = forecast.room(added.n_left, n_capacity) >= added.n_held
        self.assertEqual(fits, peak([*needs, added]) <= n_capacity)
        forecast.add(added)
        self.assertEqual(forecast.peak(), peak([*needs, added]))

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(strategies.lists(NEEDS, max_size=8), NEEDS, NEEDS)
    def test_room_decreases(self, needs, added, other):
        """An engine that has room for an item is not compared with it.

        The heap of engines relies on room that only decreases with items added and
        with the length, and on the class of a length.
        """
        forecast = memory_forecast.Forecast(needs)
        before = forecast.room(other.n_left, 200)
        shortest = memory_forecast.shortest_of_class(other.length_class())
        self.assertGreaterEqual(forecast.room(shortest, 200), before)
        forecast.add(added)
        self.assertLessEqual(forecast.room(other.n_left, 200), before)


class NeedOfItem(unittest.TestCase):
    @tools.params(
        ("no maximum, not started", 0, 0, Need(100, 200)),
        ("no maximum, outgrown", 0, 40, Need(500, 200)),
        ("maximum below the estimate", 150, 0, Need(100, 200)),
    )
    def test_maximum(self, name, n_tokens, n_events, expected):
        """An item whose maximum is missing or too small counts as about to end."""
        run = self.run_of(300, 200, n_events, n_tokens)
        self.assertEqual(run.need(10.0), expected, name)

    def run_of(self, n_expected, n_expected_output, n_events=0, n_tokens=700):
        item = model.Item(
            "i", "/", {}, b"", n_tokens, "", n_expected, n_expected_output
        )
        run = lifecycle.ItemRun(item, ("b", "g"))
        batches_support.generate(run.text, "r", n_events, 1)
        return run

    @tools.params(
        ("not started", 300, 200, 0, Need(100, 200)),
        ("half generated", 300, 200, 10, Need(200, 100)),
        ("at its estimate", 300, 200, 20, Need(300, 100)),
        ("far beyond its estimate", 110, 10, 40, Need(500, 200)),
        ("close to its maximum", 110, 10, 59, Need(690, 10)),
        ("at its maximum", 110, 10, 60, Need(700, 1)),
        ("no estimate", 0, 0, 10, Need(700)),
        ("contradictory estimate", 100, 200, 10, Need(100)),
    )
    def test_need(self, name, n_expected, n_expected_output, n_events, expected):
        """Items that outgrow their estimates fill the memory of an engine.

        Such an item is expected to continue, and never beyond its maximum.
        """
        run = self.run_of(n_expected, n_expected_output, n_events)
        self.assertEqual(run.need(10.0), expected, name)


class Limit(unittest.TestCase):
    """Items of 13,000 tokens at an engine whose memory holds three of them."""

    def capacity(self, n_generated):
        engine = engines.Engine(fleet_model.FleetUpstream("e", "s", "a", "z", 8))
        engine.n_cache_tokens = 42_000
        for number in range(3):
            item = model.Item(f"i{number}", "/", {}, b"", 20_000, "", 13_000, 12_000)
            run = lifecycle.ItemRun(item, ("b", "g"))
            batches_support.generate(run.text, "r", n_generated, 1)
            engine.add_run(run)
        conditions = engines.Conditions(tokens_per_event=100.0)
        return engine.capacity(engine_shares.Shares(), conditions)

    @tools.params(
        ("all have just started, long", 0, Need(1_000, 12_000), False),
        ("all have just started, short", 0, Need(1_000, 2_000), True),
        ("all are close to their ends, long", 100, Need(1_000, 12_000), True),
        ("all have outgrown their estimates", 130, Need(1_000, 12_000), False),
    )
    def test_capacity(self, name, n_generated, need, expected):
        """Long items wait although the running ones never fill the memory.

        With the sum of all final sizes, no fourth item would ever fit.
        """
        item = batches_support.waiting(need=need)
        self.assertEqual(self.capacity(n_generated).has_memory(item), expected, name)
