"""When the division of the engines changes, and which engines move."""

import unittest

import attrs
from nose2 import tools

from bilberrydrum.batches import division, engine_shares, lateness

# With a rate of 1,000 tokens per second and engine, this step takes 2 s + 1 s of work
# on 4 engines, and may take 7.5 s.
LOAD = lateness.Load(4.0, 4000.0, 2.0, 7.5, n_open=2)


def rates(n_fast, n_slow=0):
    fast = {f"e{n:02}": 1000.0 for n in range(n_fast)}
    return fast | {f"s{n:02}": 1000.0 / 3.5 for n in range(n_slow)}


def sizes(engine_ids_by_model):
    return {name: len(ids) for name, ids in engine_ids_by_model.items()}


def equal_parts(rates_by_engine, models):
    """Assign every n-th engine to the same model."""
    ids = sorted(rates_by_engine)
    return {m: frozenset(ids[n :: len(models)]) for n, m in enumerate(models)}


class Lateness(unittest.TestCase):
    @tools.params(
        ("reserve", LOAD, 4000.0, 4 * -2.25),
        ("behind, with a reserve", attrs.evolve(LOAD, lag_seconds=10.0), 4000.0, 1.0),
        ("too few engines", LOAD, 500.0, 4 * 4.0),
        ("long items", attrs.evolve(LOAD, longest_seconds=7.0), 4000.0, 4 * 0.25),
        ("too long items", attrs.evolve(LOAD, longest_seconds=9.0), 4000.0, 4 * 0.5),
        ("nothing asked for", attrs.evolve(LOAD, n_tokens=0.0), 0.0, -16.0),
    )
    def test_prediction(self, name, load, rate, expected):
        self.assertAlmostEqual(load.lateness_seconds(rate), expected, msg=name)


class Moves(unittest.TestCase):
    """Engines move to the trainers that would be the furthest behind."""

    def rebalanced(self, loads, rates_by_engine):
        before = equal_parts(rates_by_engine, list(loads))
        after = lateness.rebalance(loads, rates_by_engine, before)
        everyone = [e for ids in after.values() for e in ids]
        self.assertEqual(sorted(everyone), sorted(rates_by_engine))
        return before, after

    def test_trainer_behind_gets_engines(self):
        behind = attrs.evolve(LOAD, n_tokens=16000.0, lag_seconds=3.0)
        loads = {"a": behind, "b": LOAD, "c": LOAD}
        _, after = self.rebalanced(loads, rates(9))
        self.assertGreater(len(after["a"]), 3)
        for name in ("b", "c"):
            rate = 1000.0 * len(after[name])
            self.assertLessEqual(LOAD.lateness_seconds(rate), 0.0)

    def test_no_trainer_is_starved(self):
        """Guard against a hopeless trainer that takes the engines of all others."""
        hopeless = attrs.evolve(LOAD, n_tokens=1e6, lag_seconds=100.0)
        _, after = self.rebalanced({"a": hopeless, "b": LOAD, "c": LOAD}, rates(9))
        self.assertTrue(all(after.values()))

    def test_hopeless_trainer_does_not_make_others_late(self):
        """Guard against one trainer whose growing lag makes all trainers late.

        Its items are too long for its steps, so no number of engines helps it.
        """
        hopeless = attrs.evolve(LOAD, longest_seconds=9.0, lag_seconds=100.0)
        other = attrs.evolve(LOAD, n_tokens=8000.0)
        loads = {"a": hopeless, "b": other, "c": other}
        _, after = self.rebalanced(loads, rates(9))
        for name in ("b", "c"):
            rate = 1000.0 * len(after[name])
            self.assertLessEqual(other.lateness_seconds(rate), 1.0)

    def test_trainer_on_time_gets_no_engines(self):
        """Guard against engines that move because a length is overestimated.

        One trainer is on time although its items should be too long for that. Another
        one is behind and needs engines.
        """
        loads = {
            "a": attrs.evolve(LOAD, longest_seconds=9.0, n_tokens=9000.0),
            "b": attrs.evolve(LOAD, n_tokens=14000.0, lag_seconds=2.0),
            "c": LOAD,
        }
        before, after = self.rebalanced(loads, rates(9))
        self.assertLessEqual(after["a"], before["a"])
        self.assertGreater(len(after["b"]), 3)

    @tools.params(
        ("a small gain", attrs.evolve(LOAD, n_tokens=12100.0, lag_seconds=0.6)),
        ("long items", attrs.evolve(LOAD, longest_seconds=9.0, n_tokens=400.0)),
    )
    def test_no_move_without_gain(self, name, load):
        """Guard against loads of weights that cost more than the moves gain."""
        before, after = self.rebalanced({"a": load, "b": LOAD, "c": LOAD}, rates(9))
        self.assertEqual(after, before, name)

    def test_trainers_that_are_all_behind(self):
        """The engines can't do the work: lateness is shared, work is not dropped."""
        loads = {
            name: attrs.evolve(LOAD, n_tokens=n_tokens, lag_seconds=1.0)
            for name, n_tokens in (("a", 30000.0), ("b", 60000.0), ("c", 90000.0))
        }
        _, after = self.rebalanced(loads, rates(24))
        late = [loads[m].lateness_seconds(1000.0 * len(after[m])) for m in loads]
        unmoved = [loads[m].lateness_seconds(8000.0) for m in loads]
        self.assertGreater(min(late), 0.0)
        self.assertLess(max(late) - min(late), 0.5 * (max(unmoved) - min(unmoved)))

    def test_slow_engines_count_less(self):
        """All engines of one model are slow; it gets others."""
        given = rates(8, 4)
        loads = {"a": attrs.evolve(LOAD, lag_seconds=2.0, n_tokens=10000.0), "b": LOAD}
        before = {
            "a": frozenset(e for e in given if e[0] == "s"),
            "b": frozenset(e for e in given if e[0] == "e"),
        }
        after = lateness.rebalance(loads, given, before)
        self.assertGreater(len(after["a"]), 4)
        self.assertLess(loads["b"].lateness_seconds(1000.0 * len(after["b"])), 0)


class Fill(unittest.TestCase):
    @tools.params(
        ("one engine without a model", {"a": 4, "b": 4}, 9, {"a": 5, "b": 4}),
        ("a model without engines", {"a": 8}, 8, {"a": 7, "b": 1}),
    )
    def test_fill(self, name, held, n_engines, expected):
        ids = iter(sorted(rates(n_engines)))
        before = {m: frozenset(next(ids) for _ in range(n)) for m, n in held.items()}
        loads = {"a": attrs.evolve(LOAD, lag_seconds=1.0), "b": LOAD}
        after = lateness.fill(loads, rates(n_engines), before)
        self.assertEqual(sizes(after), expected, name)


class Changes(unittest.TestCase):
    """The time and reason of each change."""

    def setUp(self):
        self.division = division.Division()
        self.rates = rates(12)
        self.loads = {"a": LOAD, "b": LOAD, "c": LOAD}
        self.submitted_at = float("-inf")

    def update(self, now):
        inputs = division.Inputs(self.rates, self.loads, self.submitted_at)
        return self.division.update(inputs, now)

    def sizes(self):
        return self.division.shares.sizes()

    def set_load(self, name, **fields):
        self.loads[name] = attrs.evolve(LOAD, **fields)

    def test_equal_without_work(self):
        for name in "abc":
            self.set_load(name, n_tokens=0.0)
        self.assertTrue(self.update(0.0))
        self.assertEqual(set(self.sizes().values()), {4})

    def test_burst_does_not_move_engines(self):
        """Guard against engines that follow the order in which batches arrive.

        The trainers submit within half a second. The batch of the first one is all the
        work that is known. If the engines followed it, they would load its weights and
        be filled with its items, and load again when the other batches arrive.
        """
        for name in "abc":
            self.set_load(name, n_tokens=0.0)
        self.update(0.0)
        for n, name in enumerate("abc"):
            self.set_load(name)
            self.submitted_at = 10.0 + 0.2 * n
            self.assertFalse(self.update(self.submitted_at + 0.01))
        self.assertFalse(self.update(11.0))
        self.assertEqual(set(self.sizes().values()), {4})

    def test_continuous_submissions_postpone_a_change_briefly(self):
        """Guard against many trainers that keep the division as it is for ever."""
        self.update(0.0)
        self.set_load("a", n_tokens=20000.0)
        for n in range(30):
            self.submitted_at = 10.0 + 0.1 * n
            self.update(self.submitted_at)
        self.assertGreater(self.sizes()["a"], 4)

    def test_changes_are_a_step_apart(self):
        """Guard against engines that load weights all the time."""
        self.update(0.0)
        changed_at = []
        for n in range(400):
            now = 10.0 + 0.05 * n
            late = "abc"[n // 10 % 3]
            for name in "abc":
                lag = 5.0 if name == late else 0.0
                self.set_load(name, n_tokens=14000.0, lag_seconds=lag)
            if self.update(now):
                changed_at.append(now)
        gaps = [b - a for a, b in zip(changed_at, changed_at[1:], strict=False)]
        self.assertGreater(len(gaps), 1)
        self.assertGreaterEqual(min(gaps), 4.0)

    def test_slow_engines_of_one_model(self):
        """Guard against a model that gets its number of engines, all of them slow."""
        self.rates = rates(8, 4)
        for name in "abc":
            self.set_load(name, n_tokens=7000.0)
        self.division.resume(
            engine_shares.Shares(
                {
                    "a": frozenset(e for e in self.rates if e[0] == "s"),
                    "b": frozenset(f"e{n:02}" for n in range(4)),
                    "c": frozenset(f"e{n:02}" for n in range(4, 8)),
                }
            ),
            0.0,
        )
        self.update(0.0)
        self.assertTrue(self.update(10.0))
        self.assertEqual(self.division.reason, division.Reason.WORK)
        settled = self.division.shares
        seconds = [
            7000.0 / sum(self.rates[each] for each in engine_ids)
            for engine_ids in settled.engine_ids_by_model.values()
        ]
        self.assertLess(max(seconds), 1.5 * min(seconds))
        for now in (20.0, 30.0):
            self.assertFalse(self.update(now))

    def test_reasons(self):
        self.update(0.0)
        self.assertEqual(self.division.reason, division.Reason.ENGINES)
        self.set_load("a", n_tokens=8000.0)
        self.assertTrue(self.update(10.0))
        self.assertEqual(self.division.reason, division.Reason.WORK)
        self.set_load("b", lag_seconds=5.0, n_tokens=14000.0)
        self.assertTrue(self.update(20.0))
        self.assertEqual(self.division.reason, division.Reason.LATENESS)

    def test_helped_trainer_keeps_engines_that_it_needs(self):
        """Guard against a trainer that gets and loses the same engines in turn."""
        self.update(0.0)
        self.set_load("a", longest_seconds=6.5, n_tokens=9000.0, lag_seconds=3.0)
        self.assertTrue(self.update(10.0))
        helped = self.sizes()["a"]
        self.set_load("a", longest_seconds=6.5, n_tokens=9000.0)
        self.set_load("b", n_tokens=9000.0)
        self.set_load("c", n_tokens=9000.0)
        self.update(20.0)
        self.assertEqual(self.sizes()["a"], helped)
        for name in "abc":
            self.set_load(name)
        self.update(30.0)
        self.assertEqual(set(self.sizes().values()), {4})

    def test_lost_and_returned_engines(self):
        """An availability zone with a third of the engines is lost, then returns."""
        self.update(0.0)
        everyone = dict(self.rates)
        for lost in list(self.rates)[:4]:
            del self.rates[lost]
        self.assertTrue(self.update(1.0))
        self.assertEqual(sum(self.sizes().values()), 8)
        self.assertGreaterEqual(min(self.sizes().values()), 2)
        self.rates = everyone
        self.assertTrue(self.update(9.0))
        self.assertEqual(set(self.sizes().values()), {4})

    def test_fewer_engines_than_models(self):
        self.rates = rates(2)
        self.set_load("a", lag_seconds=9.0)
        self.update(0.0)
        self.assertEqual(set(self.sizes().values()), {2})
        self.rates = rates(12)
        self.update(10.0)
        self.assertTrue(self.division.shares.is_disjoint())
        self.assertEqual(sum(self.sizes().values()), 12)

    @tools.params((0, 0), (0, 3), (3, 0))
    def test_nothing_to_divide(self, n_engines, n_models):
        """Guard against scheduling passes that fail without engines or models."""
        self.rates = rates(n_engines)
        self.loads = dict(list(self.loads.items())[:n_models])
        for now in (0.0, 10.0, 20.0):
            self.update(now)
        self.assertEqual(sum(self.sizes().values()), 0)

    def test_unknown_rates(self):
        """Nothing has been generated yet: engines can't be compared."""
        self.rates = dict.fromkeys(self.rates, 0.0)
        self.set_load("a", lag_seconds=9.0)
        self.update(0.0)
        self.update(10.0)
        self.assertEqual(set(self.sizes().values()), {4})


class LoadedVersions(unittest.TestCase):
    @tools.params(
        ("newest", {"a": 9, "b": 3}, {"a"}),
        ("one behind", {"a": 8, "b": 3}, {"a"}),
        ("both as old", {"a": 7, "b": 5}, set()),
        ("none loaded", {}, set()),
        ("only one model", {"b": 0}, {"b"}),
    )
    def test_loaded(self, name, versions, expected):
        shares = engine_shares.loaded({"e": versions}, {"a": 9, "b": 7})
        self.assertEqual(set(shares.models_of("e")), expected, name)
