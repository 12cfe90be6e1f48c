"""The assignment of waiting items to engines."""

import collections
import unittest

from nose2 import tools

from bilberrydrum.batches import memory_forecast, scheduling
from tests import batches_support

waiting = batches_support.waiting
make_engine = batches_support.make_engine


def held(n_tokens):
    return memory_forecast.Forecast([memory_forecast.Need(n_tokens)])


class Assign(unittest.TestCase):
    """The order in which items are assigned, and the engines that they get."""

    def keys(self, items, engines):
        assigned = scheduling.assign(items, engines, 0.0)
        return [(each.key[1], each.engine_id) for each in assigned]

    @tools.params(
        ("no free slot", make_engine(n_running=2), ()),
        ("version too old", make_engine(version=0), ()),
        ("loads its model", make_engine(loading_models=frozenset({"m"})), ()),
        ("loads another model", make_engine(loading_models=frozenset({"o"})), ("i",)),
        ("other service", make_engine(service="t"), ()),
        (
            "memory full",
            make_engine(n_running=1, n_cache_tokens=9, forecast=held(5)),
            (),
        ),
        ("memory empty", make_engine(n_cache_tokens=4), ("i",)),
        ("failed there", make_engine("bad"), ()),
    )
    def test_can_take(self, name, given, expected):
        item = waiting(need=memory_forecast.Need(5), excluded_ids=frozenset({"bad"}))
        taken = tuple(item_id for item_id, _ in self.keys([item], [given]))
        self.assertEqual(taken, expected, name)

    @tools.params(
        ("two engines", ("e1", "e2"), ["a", "b"], ["e1", "e2"]),
        ("one engine", ("e1",), ["a"], ["e1"]),
    )
    def test_suspected_items_are_kept_apart(self, name, engine_ids, taken, where):
        """An innocent item is quarantined together with one that crashes engines.

        Two items were running at the same engine in both of two crashes, and one of
        them caused these. If they shared an engine again, nothing would distinguish
        them.
        """
        items = [waiting(each, group="g", is_suspected=True) for each in "ab"]
        given = self.keys(items, [make_engine(each, 6) for each in engine_ids])
        self.assertEqual([item_id for item_id, _ in given], taken, name)
        self.assertEqual(sorted(engine_id for _, engine_id in given), where, name)

    def test_suspected_item_does_not_block_others(self):
        items = [waiting("doubtful", is_suspected=True), waiting("other")]
        given = self.keys(items, [make_engine("e", 6, has_suspected=True)])
        self.assertEqual(given, [("other", "e")])

    def test_least_time_left_first(self):
        """An urgent item waits behind one that could start later.

        Run slots are scarce. Items are ordered by their latest start; items that are
        late already, and items that no trainer waits for, come after all others.
        """
        items = [
            waiting("spare", start_by=0.5, is_spare=True),
            waiting("late", start_by=-1.0),
            waiting("perhaps-late", start_by=-1.0, late_at=1.0),
            waiting("short", start_by=4.0),
            waiting("long", start_by=1.0),
        ]
        taken = self.keys(items, [make_engine(n_slots=5)])
        names = [item_id for item_id, _ in taken]
        self.assertEqual(names, ["perhaps-late", "long", "short", "late", "spare"])

    def test_group_stays_together_within_limits(self):
        """Items of two groups are assigned to two empty engines.

        If all items of a group went to one engine, it could be full while the other is
        idle. If items were spread evenly, each prompt would be processed at each
        engine.
        """
        items = [waiting(f"{g}{n}", group=g) for g in "xy" for n in range(4)]
        taken = self.keys(items, [make_engine("e1", 8), make_engine("e2", 8)])
        n_by_engine = collections.Counter(engine for _, engine in taken)
        self.assertLessEqual(max(n_by_engine.values()), 4 + 8 * 0.25 / 2)
        pairs = {(item_id[0], engine) for item_id, engine in taken}
        self.assertLess(len(pairs), 4)

    def test_group_leaves_a_busy_engine(self):
        busy = make_engine("e1", 8, n_running=4, group_keys={("b", "x")})
        taken = self.keys([waiting("x0", group="x")], [busy, make_engine("e2", 8)])
        self.assertEqual(taken, [("x0", "e2")])

    @tools.params(
        ("silent", {"is_silent": True}),
        ("meant for another model", {"models": frozenset({"o"})}),
    )
    def test_second_choice(self, name, fields):
        engines = [make_engine("e1", **fields), make_engine("e2", n_running=1)]
        self.assertEqual(self.keys([waiting()], engines), [("i", "e2")], name)

    def test_resumed_text_of_one_version(self):
        item = waiting(only_version=1)
        engines = [
            make_engine("e1", version=2),
            make_engine("e2", version=1, n_running=1),
        ]
        self.assertEqual(self.keys([item], engines), [("i", "e2")])
