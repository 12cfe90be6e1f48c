"""Engines of different normal speeds, and engines that become slow."""

import random
import statistics
import unittest

import attrs
from nose2 import tools

from bilberrydrum.batches import engine_shares, engines, slow_engines
from bilberrydrum.fleet import model as fleet_model

FAST = 0.04
SLOW = 0.09


@attrs.frozen
class Pace:
    """Current and normal seconds per event; 0: not known."""

    seconds: float
    normal_seconds: float = 0.0


def find_slow(paces_by_id):
    return slow_engines.find_slow(
        {key: each.seconds for key, each in paces_by_id.items()},
        {k: e.normal_seconds for k, e in paces_by_id.items() if e.normal_seconds},
    )


def engines_of(paces, n_events=300):
    """Return engines that have sent `n_events` each at the given intervals."""
    known = engines.Engines()
    for engine_id, pace in paces.items():
        upstream = fleet_model.FleetUpstream(engine_id, "s", "a", "z", 6)
        known.by_id[engine_id] = engines.Engine(upstream)
        send(known, engine_id, pace, n_events, 100.0)
    return known


def send(known, engine_id, pace, n_events, began):
    for number in range(n_events):
        known.by_id[engine_id].record_pause(pace, began + number / 300)


def n_slots(known, engine_id):
    return known.by_id[engine_id].capacity(engine_shares.Shares()).n_slots


class FindSlow(unittest.TestCase):
    OTHERS = {f"o{n}": Pace(FAST, FAST) for n in range(4)}

    @tools.params(
        ("constantly slower", Pace(SLOW, SLOW), False),
        ("constantly slower, busy for a moment", Pace(2 * SLOW, SLOW), False),
        ("constantly much slower", Pace(3.2 * FAST, 3.2 * FAST), True),
        ("three times slower than usual", Pace(3 * FAST, FAST), True),
        ("slower than usual, not much", Pace(2 * FAST, FAST), False),
        ("speed unknown", Pace(SLOW), True),
        ("was much slower until now", Pace(FAST, 4 * FAST), False),
    )
    def test_one_of_five(self, name, pace, expected):
        """An engine of half the speed loses its items and run slots all the time."""
        slow = find_slow({**self.OTHERS, "e": pace})
        self.assertEqual(slow, {"e"} if expected else set(), name)

    @tools.params(("most are slowed down", 4, set()), ("one is slowed down", 1, {"e0"}))
    def test_slowdown_of_many(self, name, n_slowed, expected):
        """The reader of all streams is delayed, and all engines count as slow."""
        paces = {
            f"e{n}": Pace(FAST * (3 if n < n_slowed else 1), FAST) for n in range(5)
        }
        self.assertEqual(find_slow(paces), expected, name)


class Directly(unittest.TestCase):
    def is_slow(self, pace, others):
        """Return whether an engine is slow, by the rules in their simplest form."""
        median = statistics.median(each.seconds for each in others)
        ratios = [e.seconds / e.normal_seconds for e in others if e.normal_seconds]
        if not pace.normal_seconds or not ratios:
            return pace.seconds > slow_engines.SLOW_FACTOR * median
        if min(pace.seconds, pace.normal_seconds) > 3.0 * median:
            return True
        slowdown = max(statistics.median(ratios), 1.0)
        return pace.seconds / pace.normal_seconds > 2.2 * slowdown

    def test_random_paces(self):
        """An engine is passed over by the comparison that saves calls."""
        rng = random.Random(4)
        values = (0.02, 0.03, 0.05, 0.1, 0.3)
        for _ in range(2_000):
            paces = [
                Pace(rng.choice(values), rng.choice((0.0, *values)))
                for _ in range(rng.randint(2, 9))
            ]
            expected = {
                n
                for n, each in enumerate(paces)
                if self.is_slow(each, paces[:n] + paces[n + 1 :])
            }
            found = find_slow(dict(enumerate(paces)))
            self.assertEqual(found, expected, paces)


class SlowedDown(unittest.TestCase):
    def test_slower_engine_keeps_its_slots(self):
        known = engines_of({"a": SLOW, "b": FAST, "c": FAST, "d": FAST})
        self.assertEqual(known.slow_ids(101.0), frozenset())
        self.assertEqual(n_slots(known, "a"), 6)

    @tools.params(("fast", FAST), ("slow", SLOW))
    def test_slowdown_in_the_middle_of_a_step(self, name, pace):
        """Six items stay for seconds at an engine that has turned 3.5 times slower.

        The slowdown is found before the normal speed has followed, and it stays found
        until it ends, while the engine runs a single item.
        """
        known = engines_of({"a": pace, "b": FAST, "c": FAST, "d": FAST})
        send(known, "a", 3.5 * pace, 40, 101.0)
        send(known, "b", FAST, 40, 101.0)
        self.assertEqual(known.slow_ids(101.2), {"a"}, name)
        self.assertEqual(n_slots(known, "a"), engines.PROBE_SLOTS)
        send(known, "a", 3.5 * pace, 60, 101.3)
        self.assertEqual(known.slow_ids(101.5), {"a"}, name)
        send(known, "a", pace, 60, 101.6)
        self.assertEqual(known.slow_ids(101.8), frozenset(), name)
        self.assertEqual(n_slots(known, "a"), 6)
