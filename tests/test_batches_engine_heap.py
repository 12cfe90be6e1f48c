"""Assignment of many items with heaps equals a comparison of all items and engines."""

import statistics
import unittest

import hypothesis
from hypothesis import strategies
from nose2 import tools

from bilberrydrum.batches import memory_forecast, scheduling

# Tokens held and left of one item; 0 left: not known.
NEEDS = strategies.builds(
    memory_forecast.Need, strategies.integers(0, 6), strategies.integers(0, 5)
)
# Each field has just a few values, so that engines tie and items compete.
ITEMS = strategies.builds(
    dict,
    group=strategies.integers(0, 4),
    model=strategies.sampled_from(("m", "o", "")),
    min_version=strategies.integers(1, 2),
    only_version=strategies.sampled_from((None, None, 1, 2)),
    services=strategies.sampled_from((frozenset("s"), frozenset("st"))),
    need=NEEDS,
    excluded_ids=strategies.sampled_from(
        (frozenset(), frozenset({"e00"}), frozenset({"e01", "e03"}))
    ),
    is_suspected=strategies.sampled_from((False, False, True)),
    is_running=strategies.sampled_from((False, False, True)),
    n_events=strategies.sampled_from((0.0, 1.0, 3.0, 5.0, 16.0)),
    max_event_seconds=strategies.sampled_from((float("inf"), 0.045)),
    may_try_unknown=strategies.sampled_from((False, True)),
)
ENGINES = strategies.builds(
    dict,
    service=strategies.sampled_from(("s", "s", "t")),
    n_slots=strategies.integers(0, 5),
    n_running=strategies.integers(0, 5),
    versions_by_model=strategies.fixed_dictionaries(
        {}, optional={"m": strategies.integers(1, 2), "o": strategies.integers(1, 2)}
    ),
    models=strategies.frozensets(strategies.sampled_from(("m", "o"))),
    loading_models=strategies.sampled_from((frozenset(), frozenset(), frozenset("m"))),
    is_silent=strategies.sampled_from((False, False, True)),
    is_slow=strategies.sampled_from((False, False, True)),
    n_cache_tokens=strategies.sampled_from((0, 8, 12)),
    needs=strategies.lists(NEEDS, max_size=3),
    groups=strategies.sets(strategies.integers(0, 4)),
    has_suspected=strategies.sampled_from((False, False, True)),
    event_seconds=strategies.sampled_from((0.0, 0.04, 0.045, 0.06, 0.09)),
    work_factor=strategies.sampled_from((0.5, 1.0, 1.0, 2.5)),
)
# Items that suit all engines and differ only in group, tokens and excluded engines.
ALIKE_ITEMS = strategies.builds(
    dict,
    group=strategies.integers(0, 4),
    model=strategies.just("m"),
    min_version=strategies.just(1),
    services=strategies.just(frozenset("s")),
    need=NEEDS,
    excluded_ids=strategies.frozensets(
        strategies.sampled_from(("e00", "e01", "e02")), max_size=2
    ),
)
ALIKE_ENGINES = strategies.builds(
    dict,
    service=strategies.just("s"),
    n_slots=strategies.integers(2, 6),
    n_running=strategies.integers(0, 3),
    versions_by_model=strategies.just({"m": 1}),
    n_cache_tokens=strategies.sampled_from((0, 8, 16)),
    needs=strategies.lists(NEEDS, max_size=3),
    groups=strategies.sets(strategies.integers(0, 4), max_size=2),
)


def group_key(number):
    return ("b", f"g{number}")


def item_of(number, group=0, **fields):
    return scheduling.WaitingItem(
        ("b", f"i{number:04}"), group_key(group), float(number), 1e6, False, **fields
    )


def engine_of(number, groups=(), needs=(), **fields):
    keys = {group_key(each) for each in groups}
    forecast = memory_forecast.Forecast(needs)
    return scheduling.EngineCapacity(
        f"e{number:02}", group_keys=keys, forecast=forecast, **fields
    )


def peak(needs):
    """Return the largest use of a memory, from the use at each point in time."""
    end = max((each.n_left for each in needs), default=0)
    return max(
        sum(
            each.n_held + (time if each.n_left else 0)
            for each in needs
            if time <= each.n_left or not each.n_left
        )
        for time in range(end + 1)
    )


def can_take(engine, item, needs):
    """Return whether an engine can take an item; all rules in their simplest form."""
    version = engine.versions_by_model.get(item.model)
    has_version = not item.model or (
        version is not None
        and version >= item.min_version
        and item.only_version in (None, version)
    )
    is_faster = (
        engine.event_seconds <= item.max_event_seconds
        if engine.event_seconds
        else item.may_try_unknown
    )
    fits = peak([*needs, item.need]) <= engine.n_cache_tokens
    return (
        engine.service in item.services
        and engine.n_running < engine.n_slots
        and engine.engine_id not in item.excluded_ids
        and item.model not in engine.loading_models
        and not (item.is_running and (engine.is_slow or not is_faster))
        and has_version
        and not (item.is_suspected and engine.has_suspected)
        and (not engine.n_cache_tokens or not engine.n_running or fits)
    )


def end_class(engine, item, items, engines):
    """Return the quarters of the horizon by which the item would end later here."""
    longest = max(each.n_events for each in items if each.model == item.model)
    speeds = sorted(each.event_seconds for each in engines if each.event_seconds)
    share = next((e for e in (0.25, 0.5, 1.0) if item.n_events <= e * longest), 1.0)
    if item.n_events <= longest / 8:
        return 0
    first = fastest = speeds[0] if speeds else 0.0
    own = engine.event_seconds or (statistics.median_low(speeds) if speeds else 0.0)
    for each in speeds:
        if each <= own and each >= 1.25 * first:
            first = each
    later = share * (first / fastest - 1.0) if speeds else 0.0
    if engine.work_factor > 1.0 and fastest:
        lost = 0.5 * (1.0 - 1.0 / engine.work_factor) / (longest * fastest)
        later += min(lost, share * (engine.work_factor - 1.0))
    return int(4 * later)


def rank(engine, item, items, engines):
    load = engine.n_running / max(engine.n_slots, 1)
    if item.group_key in engine.group_keys:
        load -= scheduling.AFFINITY_SHARE
    return (
        engine.is_silent,
        engine.is_slow,
        item.model not in engine.models,
        end_class(engine, item, items, engines),
        load,
        engine.engine_id,
    )


def best_of(able, item, items, engines):
    return min(able, key=lambda each: rank(each, item, items, engines))


def assigned_one_by_one(items, engines, needs_by_id):
    """Return the assignments if each item is compared with each engine."""
    given = []
    for item in items:
        able = [e for e in engines if can_take(e, item, needs_by_id[e.engine_id])]
        if able:
            engine = best_of(able, item, items, engines)
            engine.n_running += 1
            needs_by_id[engine.engine_id].append(item.need)
            engine.group_keys.add(item.group_key)
            engine.has_suspected |= item.is_suspected
            given.append((item.key, engine.engine_id))
    return given


class SameAsOneByOne(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    @hypothesis.given(
        strategies.lists(ITEMS, max_size=25), strategies.lists(ENGINES, max_size=10)
    )
    def test_any_mixture(self, item_fields, engine_fields):
        """An item gets a worse engine than the best, or none though a slot is free.

        The item, its group and its trainer then wait longer than necessary. Items of
        all kinds are assigned to engines that fill up.
        """
        self.check(item_fields, engine_fields)

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(
        strategies.lists(ALIKE_ITEMS, min_size=8, max_size=30),
        strategies.lists(ALIKE_ENGINES, min_size=3, max_size=6),
    )
    def test_items_that_compete(self, item_fields, engine_fields):
        """An engine that one item cannot use is lost for the items after it.

        Many items have the same best engine. One item skips it, because it has failed
        there or needs more memory, but it is still the best engine for the next item.
        """
        self.check(item_fields, engine_fields)

    def check(self, item_fields, engine_fields):
        items = [item_of(n, **fields) for n, fields in enumerate(item_fields)]
        engines = [engine_of(n, **fields) for n, fields in enumerate(engine_fields)]
        others = [engine_of(n, **fields) for n, fields in enumerate(engine_fields)]
        assigned = scheduling.assign(items, engines, 0.0)
        given = [(each.key, each.engine_id) for each in assigned]
        needs_by_id = {
            engine.engine_id: list(fields["needs"])
            for engine, fields in zip(others, engine_fields, strict=True)
        }
        self.assertEqual(given, assigned_one_by_one(items, others, needs_by_id))
        self.assertEqual(engines, others)
        for engine in engines:
            self.assertEqual(
                engine.forecast.peak(), peak(needs_by_id[engine.engine_id])
            )


class CountedCapacity(scheduling.EngineCapacity):
    """An engine that counts each read of any attribute, over all engines."""

    n_reads = 0

    def __getattribute__(self, name):
        CountedCapacity.n_reads += 1
        return super().__getattribute__(name)


class Cost(unittest.TestCase):
    N_ENGINES = 3000

    @tools.params(
        ("many free engines", {}, {}),
        ("all in one group", {}, {"group": 0}),
        (
            "caches are full",
            {"n_cache_tokens": 9, "needs": (memory_forecast.Need(8),)},
            {"need": memory_forecast.Need(2)},
        ),
        ("all failed at the best", {}, {"excluded_ids": frozenset({"e00"})}),
    )
    def test_many_items(self, name, engine_fields, item_fields):
        """A scheduling pass blocks the process while many items wait.

        One process sends all items and forwards all their events, and it does nothing
        else during a scheduling pass. With 3,000 engines and each item compared with
        each engine, a pass for 600 items took 1.8 s. The engines must be examined once,
        so that 600 items cost little more than 60.
        """
        few = self.n_reads(60, engine_fields, item_fields)
        many = self.n_reads(600, engine_fields, item_fields)
        self.assertLess(many, 2 * few, name)

    def test_items_of_falling_lengths(self):
        """A scheduling pass blocks the process while engines have little memory left.

        Each item is a little shorter than the one before it. If the engines without
        room for an item were compared with the next one again, 600 items would cost as
        much as 600 comparisons of all engines.
        """
        fields = {"n_cache_tokens": 9_000, "needs": (memory_forecast.Need(8_000, 900),)}

        def n_reads(n_items):
            needs = [memory_forecast.Need(500, 2_000 - n) for n in range(n_items)]
            return self.n_reads(n_items, fields, {}, needs)

        self.assertLess(n_reads(600), 4 * n_reads(60))

    def n_reads(self, n_items, engine_fields, item_fields, item_needs=()):
        fields = {"service": "s", "n_slots": 6, "n_running": 1, **engine_fields}
        needs = fields.pop("needs", ())
        engines = [
            CountedCapacity(
                f"e{n:02}",
                versions_by_model={"m": 1},
                forecast=memory_forecast.Forecast(needs),
                **fields,
            )
            for n in range(self.N_ENGINES)
        ]
        items = []
        for n in range(n_items):
            values = {"group": n // 8, **item_fields}
            if item_needs:
                values["need"] = item_needs[n]
            values.update(model="m", min_version=1, services=frozenset("s"))
            items.append(item_of(n, **values))
        CountedCapacity.n_reads = 0
        scheduling.assign(items, engines, 0.0)
        return CountedCapacity.n_reads
