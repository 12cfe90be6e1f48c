"""Placement of items at engines of different speeds."""

import random
import unittest

import attrs
import hypothesis
from hypothesis import strategies
from nose2 import tools

from bilberrydrum.batches import placement, scheduling
from tests import batches_support

FAST_SECONDS = 0.036
SLOW_SECONDS = 0.08
N_SLOTS = 6


def lengths(rng, n_items, longest=144):
    """Return numbers of events: log-normal, and some items five times as long."""
    drawn = [rng.lognormvariate(2.3, 0.84) for _ in range(n_items)]
    factors = [5.0 if rng.random() < 0.08 else 1.0 for _ in range(n_items)]
    return [
        min(max(each * factor, 1.0), longest)
        for each, factor in zip(drawn, factors, strict=True)
    ]


def burst(n_events):
    """Return a burst of items, the longest of which have to start first."""
    return [
        batches_support.waiting(f"i{n:03}", -each, group=f"g{n // 8}", n_events=each)
        for n, each in enumerate(n_events)
    ]


def uneven_engines(n_engines=24, **fields):
    """Return engines of which a quarter is slow."""
    return [
        batches_support.make_engine(
            f"e{n:02}",
            N_SLOTS,
            event_seconds=SLOW_SECONDS if n % 4 == 0 else FAST_SECONDS,
            **fields,
        )
        for n in range(n_engines)
    ]


def end_of(assigned, items, engines):
    """Return when the last item ends, in seconds, if all run as assigned."""
    seconds_by_id = {each.engine_id: each.event_seconds for each in engines}
    n_events_by_key = {each.key: each.n_events for each in items}
    return max(
        n_events_by_key[each.key] * seconds_by_id[each.engine_id] for each in assigned
    )


def without_speeds(engines):
    return [attrs.evolve(each, event_seconds=0.0, group_keys=set()) for each in engines]


class Burst(unittest.TestCase):
    @tools.params(*range(5))
    def test_ends_earlier(self, seed):
        """Long items run at slow engines and end a second after all others."""
        items = burst(lengths(random.Random(seed), 100))
        engines = uneven_engines()
        before = scheduling.assign(items, without_speeds(engines), 0.0)
        after = scheduling.assign(items, engines, 0.0)
        self.assertEqual(len(after), len(before))
        self.assertLess(
            end_of(after, items, engines), 0.7 * end_of(before, items, engines)
        )

    @tools.params(*range(5))
    def test_slow_engines_are_used(self, seed):
        """All items crowd at the fast engines, and a quarter of the engines is idle."""
        items = burst(lengths(random.Random(seed), 100))
        engines = uneven_engines()
        scheduling.assign(items, engines, 0.0)
        slow = [e.n_running for e in engines if e.event_seconds == SLOW_SECONDS]
        fast = [e.n_running for e in engines if e.event_seconds == FAST_SECONDS]
        self.assertGreaterEqual(min(slow), 2)
        self.assertLess(max(fast), N_SLOTS)

    @tools.params(24, 60, 100, 144)
    def test_equal_engines_are_filled_evenly(self, n_items):
        """Long items fill the same few engines, which are a little faster."""
        rng = random.Random(n_items)
        engines = [
            batches_support.make_engine(
                f"e{n:02}", N_SLOTS, event_seconds=rng.uniform(0.04, 0.049)
            )
            for n in range(24)
        ]
        items = [
            attrs.evolve(each, group_key=each.key)
            for each in burst(lengths(rng, n_items))
        ]
        scheduling.assign(items, engines, 0.0)
        counts = [each.n_running for each in engines]
        self.assertLessEqual(max(counts) - min(counts), 1)

    def test_slow_engines_are_filled_evenly(self):
        """Noise in the speeds of slow engines has long items fill one of them.

        The fast engines are full, and the others differ by a hundredth.
        """
        engines = [
            batches_support.make_engine(f"e{n}", N_SLOTS, event_seconds=0.04 * factor)
            for n, factor in enumerate((1.0, 2.24, 2.26))
        ]
        engines[0].n_running = N_SLOTS
        scheduling.assign(burst([100.0] * 6), engines, 0.0)
        self.assertEqual([each.n_running for each in engines], [N_SLOTS, 3, 3])

    def test_all_estimates_are_wrong(self):
        """Items of the wrong length get the fast engines; none is left out."""
        rng = random.Random(3)
        items = burst([rng.choice((1.0, 1e6)) for _ in range(140)])
        engines = uneven_engines()
        self.assertEqual(len(scheduling.assign(items, engines, 0.0)), 140)


class SameAsBefore(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 150.0),
                strategies.integers(0, 6),
                strategies.sampled_from(("m", "o")),
            ),
            max_size=40,
        ),
        strategies.lists(
            strategies.tuples(
                strategies.floats(1.0, 1.24),
                strategies.integers(0, 6),
                strategies.sampled_from((frozenset("m"), frozenset("o"))),
            ),
            max_size=12,
        ),
    )
    def test_about_equal_speeds(self, item_fields, engine_fields):
        """Engines that are about equal are ranked by noise in their speeds."""
        items = [
            batches_support.waiting(
                f"i{n}", n_events=n_events, group=f"g{group}", model=name
            )
            for n, (n_events, group, name) in enumerate(item_fields)
        ]
        engines = [
            scheduling.EngineCapacity(
                f"e{n}",
                "s",
                N_SLOTS,
                n_running,
                {"m": 1, "o": 1},
                models,
                event_seconds=0.04 * factor,
            )
            for n, (factor, n_running, models) in enumerate(engine_fields)
        ]
        before = scheduling.assign(items, without_speeds(engines), 0.0)
        self.assertEqual(scheduling.assign(items, engines, 0.0), before)


class Classes(unittest.TestCase):
    def class_of(self, n_events, engine, longest=100.0):
        items = burst([longest, n_events])
        engines = [*uneven_engines(4), engine]
        return placement.EndClasses(items, engines).of(items[1], engine)

    @tools.params(
        ("long, at a fast engine", 100, FAST_SECONDS, 1.0, 0),
        ("long, at a slow engine", 100, SLOW_SECONDS, 1.0, 4),
        ("half as long", 45, SLOW_SECONDS, 1.0, 2),
        ("short, at a slow engine", 10, SLOW_SECONDS, 1.0, 0),
        ("speed unknown", 100, 0.0, 1.0, 0),
        ("length unknown", 0, SLOW_SECONDS, 1.0, 0),
        ("long, busy for a moment", 100, FAST_SECONDS, 2.5, 0),
        ("host faster than usual", 100, FAST_SECONDS, 0.5, 0),
    )
    def test_class(self, name, n_events, event_seconds, work_factor, expected):
        engine = batches_support.make_engine(
            event_seconds=event_seconds, work_factor=work_factor
        )
        self.assertEqual(self.class_of(n_events, engine), expected, name)

    def test_busy_host_delays_a_short_step(self):
        """An item of half a second runs at a host that is busy for as long."""
        engine = batches_support.make_engine(
            event_seconds=FAST_SECONDS, work_factor=2.5
        )
        self.assertGreater(self.class_of(12, engine, longest=12.0), 0)
