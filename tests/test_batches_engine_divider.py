"""The division of real engine records, from the batches that trainers submit."""

import unittest

import eliot
import prometheus_client
from nose2 import tools

from bilberrydrum.batches import engine_divider, engines, model, urgency
from bilberrydrum.fleet import model as fleet_model

MODELS = ("m0", "m1", "m2", "m3")
INTERVAL = 4.0


def batch(model_name, step, n_tokens=300, **fields):
    items = tuple(
        model.Item(f"i{n}", "/p/x", {}, b"", 0, f"g{n}", 0, n_tokens // 3)
        for n in range(3)
    )
    batch_id = f"{model_name}-{step}"
    return model.Batch(batch_id, "h", items, step, model_name, **fields)


def upstream(number, versions):
    return fleet_model.FleetUpstream(
        f"e{number:02}", "s", "127.0.0.1:1", "z", 8, versions_by_model=versions
    )


class DividerCase(unittest.TestCase):
    def setUp(self):
        self.engines = engines.Engines()
        for number in range(16):
            self.add_engine(number, dict.fromkeys(MODELS, 0))
        self.newest = dict.fromkeys(MODELS, 0)
        self.pace = urgency.Pace()
        self.divider = engine_divider.EngineDivider(self.pace)
        self.addCleanup(lambda: self.divider.stop())
        self.lines = []
        eliot.add_destinations(self.lines.append)
        self.addCleanup(eliot.remove_destination, self.lines.append)

    def add_engine(self, number, versions):
        added = engines.Engine(upstream(number, versions))
        added.learn(versions)
        self.engines.by_id[added.upstream_id] = added

    def step(self, now):
        return self.divider.step(self.engines, self.newest, now)

    def sizes(self, now):
        return self.step(now).sizes()


class Burst(DividerCase):
    """Four trainers submit their steps within half a second."""

    def test_first_burst(self):
        """Guard against engines that all go to the first batch of a burst."""
        for now in (0.0, 1.0):
            self.assertEqual(set(self.sizes(now).values()), {4})
        for n, name in enumerate(MODELS):
            self.divider.record_submission(batch(name, 0), 2.0 + 0.1 * n)
            for now in (2.01 + 0.1 * n, 2.05 + 0.1 * n):
                self.assertEqual(set(self.sizes(now).values()), {4})
        for now in (2.6, 3.0, 5.9):
            self.assertEqual(set(self.sizes(now).values()), {4})

    def test_trainers_that_start_seconds_apart(self):
        """Guard against engines that load weights twice before a trainer's first step.

        One trainer starts 3 s before the others. It would get all but three engines.
        """
        self.divider.record_submission(batch("m0", 0), 2.0)
        for now in (2.1, 3.0, 4.9):
            self.assertEqual(set(self.sizes(now).values()), {4})

    @tools.params((MODELS,), (MODELS[::-1],))
    def test_later_bursts(self, order):
        """Steps differ in size by a third; the division follows the usual step."""
        n_tokens = {"m0": 1200, "m1": 1200, "m2": 600, "m3": 600}
        settled = None
        for step in range(6):
            at = 2.0 + INTERVAL * step
            for n, name in enumerate(order):
                size = n_tokens[name] * (4 if (step + n) % 2 else 3) // 3
                submitted_at = at + 0.1 * n
                self.divider.record_submission(batch(name, step, size), submitted_at)
                shares = self.step(submitted_at + 0.01)
                settled = settled or shares
                if step > 2:
                    self.assertEqual(shares, settled)
            for later in (1.0, 2.0, 3.0):
                shares = self.step(at + later)
            settled = shares
            for name in order:
                self.divider.record_end(batch(name, step), at + 3.0)
        sizes = settled.sizes()
        self.assertGreater(min(sizes["m0"], sizes["m1"]), max(sizes["m2"], sizes["m3"]))

    def test_one_trainer_gets_idle_engines(self):
        """Guard against engines that are kept idle for models without batches."""
        for step in range(3):
            self.divider.record_submission(batch("m1", step), INTERVAL * step)
            self.step(INTERVAL * step + 3.0)
        self.assertEqual(self.sizes(12.0)["m1"], 13)

    def test_batches_without_step(self):
        """Batches of callers that are no trainers count by what arrived lately."""
        for _ in range(3):
            self.divider.record_submission(batch("m1", -1), 1.0)
        for now in (1.0, 2.0, 7.0):
            sizes = self.sizes(now)
        self.assertEqual(sizes["m1"], 13)

    def test_stopped_trainer(self):
        """Guard against engines that stay with a trainer which has stopped."""
        for step in range(20):
            for name in MODELS if step < 5 else MODELS[1:]:
                at = INTERVAL * step
                self.divider.record_submission(batch(name, step), at)
                self.divider.record_end(batch(name, step), at + 2.0)
            self.step(at + 3.0)
        self.assertEqual(self.step(80.0).sizes()["m0"], 1)


class SlowEngines(DividerCase):
    def test_run_slots_that_are_not_used(self):
        """Guard against a model whose engines are all slow, and get few items.

        A quarter of the engines is 3.5 times slower and gets one item at a time. The
        trainers have equal work, and nobody is behind.
        """
        for _ in range(100):
            self.pace.record(100, 100, 5.0)
        ids = sorted(self.engines.by_id)
        for step in range(4):
            at = INTERVAL * step
            for name in MODELS:
                self.divider.record_submission(batch(name, step, 9000), at)
            for now in (at + 1.0, at + 2.0, at + 3.0):
                for number, engine_id in enumerate(ids):
                    engine = self.engines.by_id[engine_id]
                    engine.was_slow = number < 4
                    engine.record_pause(0.175 if engine.was_slow else 0.05, now)
                shares = self.step(now)
        for name, engine_ids in shares.engine_ids_by_model.items():
            self.assertGreaterEqual(len(engine_ids - set(ids[:4])), 2, name)


class Reports(DividerCase):
    def test_log_and_metrics(self):
        """A trainer is 3 s behind; the division changes once, and says why."""
        for _ in range(100):
            self.pace.record(100, 100, 5.0)
        for step, at in enumerate((0.0, 4.0, 8.0, 15.0)):
            for name in MODELS:
                late = at if name == "m0" else INTERVAL * step
                n_tokens = 21000 if name == "m0" else 3000
                self.divider.record_submission(batch(name, step, n_tokens), late)
            self.step(at + 1.0)
        self.step(18.0)
        sizes = self.sizes(19.0)
        divided = [e for e in self.lines if e["message_type"] == "batches:divided"]
        self.assertEqual(divided[0]["reason"], "engines")
        last = divided[-1]
        self.assertEqual(last["reason"], "lateness")
        self.assertEqual(last["n_engines_by_model"], sizes)
        self.assertAlmostEqual(last["lag_seconds_by_model"]["m0"], 3.0)
        self.assertLess(len(divided), 5)
        for name, expected in (
            ("step_interval_seconds", INTERVAL),
            ("model_engines", sizes["m0"]),
        ):
            self.assertEqual(self.metric(name), expected)
        self.assertGreaterEqual(self.metric("trainer_lag_seconds"), 3.0)
        self.divider.stop()
        self.assertIsNone(self.metric("model_engines"))

    def metric(self, name):
        labels = {"model": "m0"}
        registry = prometheus_client.REGISTRY
        return registry.get_sample_value(f"bilberrydrum_{name}", labels)

    def test_model_that_is_no_longer_served(self):
        """Guard against metrics of a model that stay after its engines have left."""
        registry = prometheus_client.REGISTRY
        name = "bilberrydrum_model_engines"
        self.step(0.0)
        self.assertEqual(registry.get_sample_value(name, {"model": "m3"}), 4.0)
        for each in self.engines.by_id.values():
            del each.versions_by_model["m3"]
        self.step(10.0)
        self.assertIsNone(registry.get_sample_value(name, {"model": "m3"}))
        self.assertIsNotNone(registry.get_sample_value(name, {"model": "m0"}))


class Rates(unittest.TestCase):
    def test_short_slowdowns_are_averaged(self):
        """Guard against engines that move because a host is slow for half a second."""
        rates = engine_divider.EngineRates()
        for n in range(200):
            slow = n % 20 >= 17
            measured = {"a": 400.0 if slow else 1000.0, "b": 1000.0}
            rates.update(measured, 0.2 * n)
        known = rates.of(["a", "b", "new"], 1.0)
        self.assertGreater(known["a"], 750.0)
        self.assertEqual(known["b"], 1000.0)
        self.assertTrue(known["a"] <= known["new"] <= known["b"])

    def test_unknown(self):
        self.assertEqual(engine_divider.EngineRates().of(["a"], 0.0), {"a": 0.0})


class NewLeader(DividerCase):
    """The divider of a process that has just become the stores' leader."""

    def load(self, engine_ids, name, version):
        for each in engine_ids:
            self.engines.by_id[each].learn_version(name, version)

    def load_evenly(self):
        """Load each model at a quarter of the engines; return the engines' ids."""
        ids = sorted(self.engines.by_id)
        self.newest = dict.fromkeys(MODELS, 3)
        for n, name in enumerate(MODELS):
            self.load(ids[n::4], name, 3)
        return ids

    def lead(self, now, kept=()):
        """Replace the divider by one that knows only the stored batches."""
        self.divider.stop()
        self.divider = engine_divider.EngineDivider(self.pace)
        for each, submitted_at, has_ended in kept:
            self.divider.record_submission(each, submitted_at, has_ended=has_ended)
        return self.step(now)

    def test_leader_killed_during_a_reassignment(self):
        """Guard against engines that load weights again after a change of the leader.

        The leader has moved four engines from m0 to m1 and is killed when two of them
        have loaded m1's weights. The stored batches do not show why they were moved.
        The next leader keeps each engine with the model whose weights it has, and does
        not divide by work until a step interval has passed.
        """
        ids = sorted(self.engines.by_id)
        self.newest = {"m0": 9, "m1": 7, "m2": 5, "m3": 5}
        held = {"m0": ids[:6], "m1": ids[6:8], "m2": ids[8:12], "m3": ids[12:]}
        for name, engine_ids in held.items():
            # Every second engine is one version behind, as between two steps.
            self.load(engine_ids[::2], name, self.newest[name])
            self.load(engine_ids[1::2], name, self.newest[name] - 1)
        moved = held["m0"][:2]
        self.load(moved, "m1", 7)
        kept = [
            (batch(name, step), 10.0 + INTERVAL * step, step < 3)
            for step in range(5)
            for name in MODELS
        ]
        expected = {**held, "m0": held["m0"][2:], "m1": held["m1"] + moved}
        for now in (30.0, 30.1, 31.0, 33.0):
            shares = self.lead(now, kept) if now == 30.0 else self.step(now)
            for name, engine_ids in expected.items():
                assigned = sorted(shares.engine_ids_by_model[name])
                self.assertEqual(assigned, sorted(engine_ids), name)
        self.assertNotIn(0, self.sizes(40.0).values())

    def test_lag_is_derived_from_stored_batches(self):
        """Guard against a trainer that loses its help when the leader changes."""
        for _ in range(100):
            self.pace.record(100, 100, 5.0)
        self.load_evenly()
        times = (0.0, 4.0, 8.0, 14.0, 18.0)
        kept = [
            (
                batch(name, step, 21000 if name == "m0" else 3000),
                at if name == "m0" else INTERVAL * step,
                step < 3,
            )
            for step, at in enumerate(times)
            for name in MODELS
        ]
        self.lead(19.0, kept)
        self.assertGreater(self.sizes(24.0)["m0"], 4)
        last = [e for e in self.lines if e["message_type"] == "batches:divided"][-1]
        self.assertEqual(last["reason"], "lateness")
        self.assertGreaterEqual(last["lag_seconds_by_model"]["m0"], 2.0)

    def test_engines_without_weights(self):
        """All processes and engines have just started: the division is equal."""
        self.assertEqual(set(self.lead(0.0).sizes().values()), {4})

    def test_all_engines_are_lost_for_a_moment(self):
        """Guard against engines that load weights again after they were cut off."""
        ids = self.load_evenly()
        before = self.lead(0.0)
        lost = dict(self.engines.by_id)
        self.engines.by_id.clear()
        self.assertEqual(self.sizes(1.0), {})
        self.divider.record_submission(batch("m0", 0), 1.0)
        for each in reversed(ids):
            self.engines.by_id[each] = lost[each]
        self.assertEqual(self.step(5.0), before)

    def test_engine_that_is_not_announced_yet(self):
        """Guard against a new leader that divides all engines anew for a late one.

        The registry of a new leader lists an engine a moment after the others.
        """
        ids = self.load_evenly()
        late = self.engines.by_id.pop(ids[5])
        self.lead(0.0)
        self.engines.by_id[ids[5]] = late
        shares = self.step(0.3)
        for n, name in enumerate(MODELS):
            expected = frozenset(ids[n::4])
            self.assertEqual(shares.engine_ids_by_model[name], expected)
