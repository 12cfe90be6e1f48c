"""Unit tests of the parts that replicate the upstreams."""

import unittest

from nose2 import tools

from bilberrydrum.upstreams import (
    loads,
    messages,
    model,
    ownership,
    prefixes,
    records,
    relayed_loads,
    table,
    views,
)
from tests import upstreams_net

LOAD = model.Load(4, 0, 0.5, 1000.0)


def record(upstream_id="e0", life=1, epoch=1, state="stands", home="a", change=1):
    upstream = upstreams_net.engine(upstream_id, change=change)
    return records.Record(upstream, home, life, epoch, state)


class Versions(unittest.TestCase):
    @tools.params(
        ("a later change", record(change=1), record(change=2)),
        ("a later epoch, fewer changes", record(change=9), record(epoch=2)),
        ("left, against a later epoch", record(epoch=9), record(state="left")),
        (
            "a new incarnation, against left",
            record(state="left", epoch=9),
            record(life=2),
        ),
        ("equal epochs: the later owner by name", record(change=9), record(home="b")),
    )
    def test_which_of_two_records_is_newer(self, case, old, new):
        self.assertGreater(new.version(), old.version(), case)
        for first, second in ((old, new), (new, old)):
            known = table.Table("own", 1, 2.0, 2.75, 1.0)
            known.merge(first, 0.0)
            known.merge(second, 0.0)
            self.assertEqual(new, known.records_by_id["e0"], case)


class SenderClock(unittest.TestCase):
    def test_a_message_that_waited_counts_from_when_it_was_sent(self):
        """A process is paused for 10 s. A message sent just before is read after it
        resumes, and must count as 10 s old. The sender's clock is 500 s ahead.
        """
        clock = views.SenderClock()
        clock.calibrate(600_010, 100_000, 100.02)
        self.assertAlmostEqual(101.0, clock.local_time(601_000, 101.01), delta=0.02)
        self.assertAlmostEqual(101.5, clock.local_time(601_500, 111.5), delta=0.03)

    def test_timestamps_are_unknown_without_a_fresh_answer(self):
        clock = views.SenderClock()
        self.assertIsNone(clock.local_time(5_000, 1.0))
        # An answer that took 9 s may itself have waited.
        clock.calibrate(5_000, 1_000, 10.0)
        self.assertFalse(clock.is_known)

    def test_a_slow_answer_makes_messages_older_never_newer(self):
        """On a busy host an answer takes 1 s. If it were ignored, the owner's messages
        would not count and the owner would be asked again: 96 gateways that start at
        once would ask each other endlessly. A fast answer later corrects it.
        """
        clock = views.SenderClock()
        clock.calibrate(500_100, 0, 1.0)
        self.assertLess(clock.local_time(501_900, 1.9), 1.9)
        self.assertFalse(clock.is_exact)
        clock.calibrate(503_000, 3_000, 3.01)
        self.assertTrue(clock.is_exact)
        self.assertAlmostEqual(3.5, clock.local_time(503_500, 3.501), delta=0.02)

    def test_clocks_that_run_at_different_rates_stay_calibrated(self):
        """The sender's clock is 0.01% slow: after hours it differs by more than a
        lease. Fresh messages must still count as fresh.
        """
        clock = views.SenderClock()
        clock.calibrate(0, 0, 0.001)
        now = 0.0
        for _ in range(20_000):
            now += 1.0
            dated = clock.local_time(int(now * 1000 * 0.9999), now)
        self.assertLess(now - dated, 0.1)


class Loads(unittest.TestCase):
    @tools.params(
        ("nothing changed", LOAD, False),
        ("one request more", model.Load(5, 0, 0.5, 1000.0), False),
        ("a quarter of its capacity", model.Load(8, 0, 0.5, 1000.0), True),
        ("it began to queue", model.Load(4, 1, 0.5, 1000.0), True),
        ("its cache is full", model.Load(4, 0, 0.95, 1000.0), True),
        ("its cache is fuller", model.Load(4, 0, 0.85, 1000.0), False),
        ("half its speed", model.Load(4, 0, 0.5, 500.0), True),
        ("a little slower", model.Load(4, 0, 0.5, 900.0), False),
    )
    def test_when_a_load_is_published(self, case, load, is_published):
        self.assertEqual(is_published, loads.affects_routing(LOAD, load, 16), case)

    def test_loads_of_many_owners_in_columns(self):
        """Two owners, one with two changes; the changes in between are coalesced."""
        first = messages.LoadItem(7, "e0", model.Load(1, 2, 0.25, 900.0))
        second = messages.LoadItem(5, "e1", model.Load(3, 0, 0.0, 0.0))
        third = messages.LoadItem(12, "e2", model.Load())
        packed = relayed_loads.pack(
            {
                "a": messages.Changes(99, 2, 7, loads=(first, second)),
                "b": messages.Changes(99, 11, 12, loads=(third,)),
            }
        )
        self.assertEqual(
            [
                ("a", messages.Changes(0, 2, 5, loads=(second,))),
                ("a", messages.Changes(0, 5, 7, loads=(first,))),
                ("b", messages.Changes(0, 11, 12, loads=(third,))),
            ],
            relayed_loads.unpack(packed),
        )


class Log(unittest.TestCase):
    def setUp(self):
        self.own = ownership.Ownership(1, 2.0, 1.0)
        for i in range(3):
            self.own.put(record(f"e{i}"), 0.0)

    def fetched(self, since, now=1.0):
        return self.own.fetched(messages.Fetch(since, 0), now)

    def test_only_what_is_missing_is_fetched(self):
        since = self.own.change
        self.own.put(record("e1"), 0.5)
        fetched = self.fetched(since)
        self.assertFalse(fetched.is_full)
        self.assertEqual(["e1"], [item.upstream_id for item in fetched.changes.items])

    def test_all_is_fetched_when_the_log_does_not_reach_back(self):
        """A gateway was away so long that the end of an upstream is no longer in the
        log. It must get everything, or it would keep that upstream.
        """
        since = self.own.change
        self.own.end(record("e1", state="left"), 0.0)
        self.own.forget(ownership.KEEP_ENDED_SECONDS + 1.0)
        fetched = self.fetched(since, ownership.KEEP_ENDED_SECONDS + 2.0)
        self.assertTrue(fetched.is_full)
        ids = {item.upstream_id for item in fetched.changes.items}
        self.assertEqual({"e0", "e2"}, ids)

    def test_a_replica_that_applied_the_same_changes_has_the_same_digest(self):
        view = views.View(1)
        view.apply(self.fetched(0).changes, 0.0)
        self.own.put_load("e1", LOAD)
        self.own.end(record("e2", state="lapsed"), 0.0)
        self.assertFalse(view.apply_heartbeat(self.own.heartbeat(0.0), 0.0))
        view.apply(self.fetched(view.change).changes, 0.0)
        self.assertEqual(self.own.digest, view.digest)

    def test_late_upstreams_are_listed_one_by_one(self):
        self.own.renew("e0", 5.0)
        self.own.renew("e1", 5.0)
        self.own.renew("e2", 3.9)
        heartbeat = self.own.heartbeat(5.2)
        self.assertEqual(["e2"], [late.upstream_id for late in heartbeat.late])
        self.assertLessEqual(heartbeat.age, 200)


class Prefixes(unittest.TestCase):
    def setUp(self):
        self.hints = prefixes.PrefixHints()

    def apply(self, sequence, stored=(), removed=(), is_cleared=False, engine="e0"):
        event = messages.Prefixes(engine, sequence, stored, removed, is_cleared)
        return self.hints.apply(event, 0.0)

    @tools.params(
        ("in order", [(1, ("p",), ()), (2, (), ("p",))], False),
        ("a gap", [(1, ("p",), ()), (9, ("q",), ())], True),
        ("repeated", [(1, ("q",), ()), (2, (), ("p",)), (2, ("p",), ())], False),
        ("overtaken", [(1, ("q",), ()), (3, (), ("p",)), (2, ("p",), ())], False),
        ("restarted", [(1, ("p",), ()), (5, ("p",), ()), (1, ("q",), ())], False),
    )
    def test_late_and_missing_events(self, case, events, is_held):
        for sequence, stored, removed in events:
            self.apply(sequence, stored, removed)
        self.assertEqual(is_held, "e0" in self.hints.holders("p", 1.0), case)

    def test_the_hints_of_an_engine_are_bounded(self):
        for i in range(prefixes.MAX_PREFIXES + 10):
            self.apply(i + 1, (f"p{i}",))
        self.assertEqual(frozenset(), self.hints.holders("p5", 1.0))
        self.assertEqual({"e0"}, self.hints.holders("p10", 1.0))

    def test_events_are_merged_before_they_are_forwarded(self):
        """Many small events between two messages make one message, the last event of a
        prefix counts, and a restart of the engine clears what came before.
        """
        outgoing = prefixes.Outgoing()
        for sequence, stored, removed in (
            (7, ("old",), ()),
            (1, ("p", "q"), ()),
            (2, (), ("p",)),
        ):
            outgoing.add(messages.Prefixes("e0", sequence, stored, removed))
        joined = messages.Prefixes("e0", 2, ("q",), ("p",), True)
        self.assertEqual([joined], outgoing.take())
        self.assertEqual([], outgoing.take())
        many = tuple(f"p{i}" for i in range(prefixes.MAX_FORWARDED + 5))
        outgoing.add(messages.Prefixes("e0", 3, many))
        self.assertEqual(prefixes.MAX_FORWARDED, len(outgoing.take()[0].stored))

    def test_hints_expire_and_are_dropped_with_their_engine(self):
        self.apply(1, ("p",))
        self.apply(1, ("p",), engine="e1")
        self.hints.keep_only(["e1"])
        self.assertEqual({"e1"}, self.hints.holders("p", 1.0))
        self.assertEqual(frozenset(), self.hints.holders("p", prefixes.KEEP_SECONDS))
