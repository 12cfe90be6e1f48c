"""The order in which items start, and its effect on the end of a batch."""

import heapq
import unittest

from nose2 import tools

from bilberrydrum.batches import scheduling, urgency


def seconds_of(batch_seconds, n_slots, key):
    """Replay one batch: start items in the order of `key` as run slots become free.

    Returns
    -------
    float
        Time until the last item ends, in seconds.
    """
    free_at = [0.0] * n_slots
    last = 0.0
    for seconds in sorted(batch_seconds, key=key):
        began = heapq.heappop(free_at)
        heapq.heappush(free_at, began + seconds)
        last = max(last, began + seconds)
    return last


def batch_seconds(n_items=144, long_every=10, long_seconds=4.8, short_seconds=0.6):
    """Return the durations of a batch's items; a tenth are eight times as long."""
    return [
        long_seconds if n % long_every == 0 else short_seconds for n in range(n_items)
    ]


class Replayed(unittest.TestCase):
    """The items of one trainer's batch fill the engines of its model."""

    def test_last_item(self):
        """144 items share 37 run slots; a tenth take 4.8 s, the others 0.6 s.

        Shortest first, the long ones start last and the batch takes 6.9 s. Longest
        first, the short ones fill the gaps, and the batch takes no more time than a
        long one and a few short ones.
        """
        items = batch_seconds()
        shortest_first = seconds_of(items, 37, lambda each: each)
        longest_first = seconds_of(items, 37, lambda each: -each)
        self.assertGreater(shortest_first, 6.5)
        self.assertLess(longest_first, 5.0)

    def test_order_is_by_what_is_left(self):
        """The scheduler starts the long items of the batch before the short ones."""
        pace = urgency.Pace()
        pace.record(100, 100, 5.0)
        items = []
        for number, seconds in enumerate(batch_seconds()):
            left = pace.remaining_seconds(round(seconds / 0.05), 0)
            key = ("b", str(number))
            group = ("b", f"g{number // 16}")
            items.append(
                scheduling.WaitingItem(
                    key, group, 7.5 - left, 7.5, False, "m", 1, frozenset({"s"})
                )
            )
        capacities = [
            scheduling.EngineCapacity(f"e{n}", "s", 6, 0, {"m": 1}) for n in range(3)
        ]
        started = [each.key[1] for each in scheduling.assign(items, capacities, 0.0)]
        self.assertEqual(len(started), 18)
        n_long = sum(1 for each in started if int(each) % 10 == 0)
        self.assertEqual(n_long, 15)


class Tiers(unittest.TestCase):
    """Which groups go first, whatever their times."""

    @tools.params(
        ("in time", [("g", 5.0, False)], urgency.Tier.IN_TIME),
        ("one item is late", [("g", 5.0, False), ("g", -0.1, False)], 1),
        ("not waited for", [("g", 5.0, True)], urgency.Tier.SPARE),
        ("late and not waited for", [("g", -5.0, True)], urgency.Tier.SPARE),
    )
    def test_tier(self, name, given, expected):
        candidates = [urgency.Candidate(*each) for each in given]
        tiers = urgency.tiers_by_group(candidates, 0.0)
        self.assertEqual(tiers, {"g": expected}, name)

    def test_overload(self):
        """Guard against an overload in which every group ends late.

        The groups of two batches need twice the available time. If only their due times
        counted, each group would end late. Groups that can no longer be in time go
        last, so that the others are in time.
        """
        candidates = [
            urgency.Candidate("old", -0.5, False),
            urgency.Candidate("new", 0.5, False),
        ]
        tiers = urgency.tiers_by_group(candidates, 0.0)
        self.assertLess(tiers["new"], tiers["old"])


class Successors(unittest.TestCase):
    """A step is late after a power failure, and the trainer's next one is submitted.

    The trainer submits the step after the next only when it has finished the late one.
    If the late step went after its successor, it would delay the trainer by another
    five seconds, and the last step of the simulated day would never be submitted.
    """

    @tools.params(
        (
            "the late step does not go last",
            [("old", -0.5, 7.5), ("new", 0.5, 11.5)],
            ["old", "new"],
        ),
        ("nothing comes after it", [("new", -0.5, 11.5)], []),
        (
            "the next one is late as well",
            [("old", -0.5, 7.5), ("new", -0.1, 11.5)],
            ["old"],
        ),
    )
    def test_late_step(self, name, given, in_time):
        candidates = [
            urgency.Candidate(key, late_at, False, "m", done_by)
            for key, late_at, done_by in given
        ]
        tiers = urgency.tiers_by_group(candidates, 0.0)
        first = [key for key, tier in tiers.items() if tier is urgency.Tier.IN_TIME]
        self.assertEqual(first, in_time, name)

    def test_other_trainers_are_not_delayed(self):
        """Only the same trainer's next step keeps a late step from going last."""
        candidates = [
            urgency.Candidate("late", -0.5, False, "m", 7.5),
            urgency.Candidate("other", 0.5, False, "n", 11.5),
        ]
        tiers = urgency.tiers_by_group(candidates, 0.0)
        self.assertLess(tiers["other"], tiers["late"])


class Spare(unittest.TestCase):
    """Surplus groups, which a trainer does not wait for."""

    LONGEST = {("b", "x"): 5, ("b", "y"): 90, ("b", "z"): 40}

    @tools.params(
        ("all", set(), 0, set()),
        ("more than there are", set(), 9, set()),
        ("two", set(), 2, {("b", "y")}),
        ("one", set(), 1, {("b", "y"), ("b", "z")}),
        ("a long one was resubmitted", {("b", "y")}, 2, {("b", "z")}),
        ("more were resubmitted", {("b", "y"), ("b", "z")}, 1, {("b", "x")}),
    )
    def test_groups(self, name, resubmitted, n_wanted, expected):
        spare = urgency.spare_groups(self.LONGEST, frozenset(resubmitted), n_wanted)
        self.assertEqual(spare, expected, name)


class Paces(unittest.TestCase):
    """The expected duration of an item."""

    def test_before_any_was_seen(self):
        seconds = urgency.Pace().remaining_seconds(20, 0)
        self.assertAlmostEqual(seconds, 20 * urgency.FIRST_EVENT_SECONDS)

    @tools.params(
        ("from the start", 400, 0, 2.0),
        ("half done", 400, 20, 1.0),
        ("longer than expected", 400, 60, 0.05),
    )
    def test_learned(self, name, n_tokens, n_events, expected):
        pace = urgency.Pace()
        pace.record(200, 20, 1.0)
        seconds = pace.remaining_seconds(n_tokens, n_events)
        self.assertAlmostEqual(seconds, expected, msg=name)

    @tools.params((0, 5), (5, 0))
    def test_unusable_measurement(self, n_tokens, n_events):
        pace = urgency.Pace()
        pace.record(n_tokens, n_events, 100.0)
        self.assertAlmostEqual(
            pace.remaining_seconds(1, 0), urgency.FIRST_EVENT_SECONDS
        )
