"""Routing of calls to upstreams, and the ejection of failing ones."""

import collections
import random
import unittest

import attrs
from nose2 import tools

from bilberrydrum.requests import health, routing
from bilberrydrum.upstreams import model

NOW = 1000.0
NEED = routing.Need(model.KIND_ENGINE, "planner")


def engine(upstream_id, n_running=0, zone="a", version=3, **fields):
    values = {
        "max_concurrency": 10,
        "models": {"planner": model.ServedModel(version, (version,), ("dry",))},
        "load": model.Load(n_running),
    }
    return model.Upstream(upstream_id, model.KIND_ENGINE, "", zone, **(values | fields))


APPLICATION = model.Upstream("s1", model.KIND_APPLICATION, "", application="schedule")


def router():
    return routing.Router("a", random.Random(1))


class Eligible(unittest.TestCase):
    @tools.params(
        ("any version", engine("e"), NEED, True),
        ("other model", engine("e"), attrs.evolve(NEED, name="x"), False),
        ("adapter it has", engine("e"), attrs.evolve(NEED, adapter="dry"), True),
        ("adapter it lacks", engine("e"), attrs.evolve(NEED, adapter="x"), False),
        ("new enough", engine("e"), attrs.evolve(NEED, min_weight_version=3), True),
        ("too old", engine("e"), attrs.evolve(NEED, min_weight_version=4), False),
        ("other role", engine("e", role="prefill"), NEED, False),
        ("can't resume", engine("e"), attrs.evolve(NEED, must_resume=True), False),
        (
            "can resume",
            engine("e", can_resume=True),
            attrs.evolve(NEED, must_resume=True),
            True,
        ),
        (
            "excluded",
            engine("e"),
            attrs.evolve(NEED, excluded_upstream_ids=frozenset("e")),
            False,
        ),
        ("an application", APPLICATION, NEED, False),
        ("its own", APPLICATION, routing.Need("application", "schedule"), True),
        ("another", APPLICATION, routing.Need("application", "payroll"), False),
    )
    def test_eligible(self, name, upstream, need, expected):
        self.assertEqual(routing.is_eligible(upstream, need), expected, name)


class Choice(unittest.TestCase):
    def choose(self, subject, *upstreams, now=NOW, n_gateways=1, holders=()):
        chosen = subject.choose(upstreams, now, n_gateways, frozenset(holders))
        if isinstance(chosen, routing.Unavailable):
            return chosen
        return chosen.upstream_id

    @tools.params(
        ("nobody", [], {}, (), routing.Unavailable.NONE_ELIGIBLE),
        ("least loaded", [engine("e1"), engine("e2")], {"e1": 2, "e2": 1}, (), "e2"),
        ("full one", [engine("e1", 10), engine("e2", 9)], {"e1": 1}, (), "e2"),
        (
            "all full",
            [engine("e1", 10), engine("e2", 12)],
            {"e1": 1, "e2": 1},
            (),
            routing.Unavailable.ALL_FULL,
        ),
        ("near one", [engine("e1", zone="b"), engine("e2")], {}, (), "e2"),
        (
            "near one with one call more",
            [engine("e1", zone="b"), engine("e2")],
            {"e2": 1},
            (),
            "e2",
        ),
        ("faster far", [engine("e1", zone="b"), engine("e2")], {"e2": 3}, (), "e1"),
        ("prefix", [engine("e1"), engine("e2")], {"e2": 1}, ("e2",), "e2"),
        ("prefix, loaded", [engine("e1"), engine("e2")], {"e2": 4}, ("e2",), "e1"),
    )
    def test_choice(self, name, upstreams, n_own_by_id, holders, expected):
        for seed in range(20):
            subject = routing.Router("a", random.Random(seed))
            # Reports arrive before the calls begin.
            self.choose(subject, *upstreams)
            for upstream_id, n_own in n_own_by_id.items():
                for _ in range(n_own):
                    subject.record_start(upstream_id, NOW)
            # With 50 gateways the equal share of each is one call.
            chosen = self.choose(subject, *upstreams, n_gateways=50, holders=holders)
            self.assertEqual(chosen, expected, name)

    def test_report_draws_most_calls_to_the_engine_that_is_free(self):
        upstreams = (engine("e1", 9), engine("e2", 1))
        counts = collections.Counter(
            self.choose(routing.Router("a", random.Random(seed)), *upstreams)
            for seed in range(200)
        )
        self.assertGreater(counts["e2"], 0.9 * 200)

    def test_gateways_do_not_all_take_the_engine_that_was_free_before(self):
        """Gateways must not all send their calls to the engine that was free before.

        Reports are a second old, calls are short, and all gateways have the same
        reports. If all chose the engine that was free in the report, they would fill
        it, while engines that have become free since get nothing.
        """
        upstreams = [engine("e0", 4)] + [engine(f"e{i}", 8) for i in range(1, 5)]
        counts = collections.Counter()
        for seed in range(500):
            subject = routing.Router("a", random.Random(seed))
            for upstream in upstreams:
                subject.record_start(upstream.upstream_id, NOW)
                subject.record_end(upstream.upstream_id, NOW, 0.5)
            self.choose(subject, *upstreams)
            counts[self.choose(subject, *upstreams, now=NOW + 1.0)] += 1
        self.assertLess(counts["e0"], 0.4 * 500)
        self.assertGreater(counts["e0"], 0.1 * 500)

    def test_own_calls_in_a_report_are_not_counted_twice(self):
        """A gateway must not count its own calls again when a report contains them.

        An engine with a capacity of ten reports eight calls, all of this gateway. If
        they were counted twice, the engine would look full with two run slots free.
        """
        subject = router()
        for _ in range(8):
            subject.record_start("e1", NOW)
        self.assertEqual(self.choose(subject, engine("e1", 8), n_gateways=50), "e1")

    def test_gateway_keeps_its_equal_share_whatever_reports_say(self):
        """A gateway with late reports must not starve.

        Its report shows the engine as full of other gateways' calls. It may still use
        its equal share, as the shares of all gateways add up to the engine's capacity.
        """
        subject = router()
        full = engine("e1", 10)
        for n_started in range(3):
            chosen = self.choose(subject, full, n_gateways=5)
            if n_started < 2:
                self.assertEqual(chosen, "e1")
                subject.record_start("e1", NOW)
        self.assertIs(chosen, routing.Unavailable.ALL_FULL)

    def test_slow_engine_gets_less_and_is_tried_again_later(self):
        """An engine that was slow for a while must not be avoided permanently.

        One engine was five times as slow as the other. It is avoided while this
        measurement is recent. Without calls it could never show that it has recovered,
        so later it is tried again.
        """
        subject = router()
        fast, slow = engine("fast"), engine("slow")
        for upstream_id, seconds in (("fast", 1.0), ("slow", 5.0)):
            self.choose(subject, fast, slow)
            subject.record_start(upstream_id, NOW)
            subject.record_end(upstream_id, NOW, seconds, 10.0)
        for _ in range(3):
            subject.record_start("fast", NOW)
        self.assertEqual(self.choose(subject, fast, slow), "fast")
        self.assertEqual(self.choose(subject, fast, slow, now=NOW + 200.0), "slow")

    def test_long_calls_do_not_make_an_engine_slow(self):
        subject = router()
        upstreams = (engine("e1"), engine("e2"))
        for upstream_id, size in (("e1", 1000.0), ("e2", 10.0)):
            subject.record_start(upstream_id, NOW)
            subject.record_end(upstream_id, NOW, size * 0.02, size)
        subject.record_start("e2", NOW)
        self.assertEqual(self.choose(subject, *upstreams), "e1")

    def test_equal_engines_are_chosen_by_chance(self):
        """Gateways with the same reports must not all choose the same engine."""
        upstreams = [engine(f"e{i}") for i in range(4)]
        first = {
            routing.Router("a", random.Random(seed)).choose(upstreams, NOW).upstream_id
            for seed in range(50)
        }
        self.assertEqual(len(first), 4)

    def test_busy_engine_is_skipped_for_a_while(self):
        subject = router()
        subject.record_busy("e1", NOW + 0.5)
        self.assertIs(self.choose(subject, engine("e1")), routing.Unavailable.ALL_FULL)
        self.assertEqual(self.choose(subject, engine("e1"), now=NOW + 0.5), "e1")


class Ejection(unittest.TestCase):
    def eject(self, subject, now=NOW):
        while not subject.record_failure("u", now):
            pass

    def test_ejection_is_followed_by_a_single_probe(self):
        subject = health.Health()
        self.eject(subject)
        self.assertFalse(subject.may_use("u", NOW + 0.9))
        self.assertTrue(subject.may_use("u", NOW + 1.0))
        subject.record_start("u", NOW + 1.0)
        self.assertFalse(subject.may_use("u", NOW + 1.1))
        subject.record_success("u")
        self.assertTrue(subject.may_use("u", NOW + 1.2))

    def test_ejection_time_doubles_up_to_a_limit(self):
        subject = health.Health()
        now = NOW
        pauses = []
        for _ in range(8):
            self.eject(subject, now)
            began = now
            while not subject.may_use("u", now):
                now += 0.5
            pauses.append(now - began)
        self.assertEqual(pauses[:4], [1.0, 2.0, 4.0, 8.0])
        self.assertEqual(pauses[-1], health.MAX_EJECTION_SECONDS)

    def test_failures_with_successes_between_do_not_eject(self):
        subject = health.Health()
        for _ in range(20):
            for _ in range(health.EJECT_AFTER_FAILURES - 1):
                self.assertFalse(subject.record_failure("u", NOW))
            subject.record_success("u")

    def test_ejected_upstreams_are_used_when_all_are_ejected(self):
        subject = router()
        self.eject(subject.health)
        chosen = subject.choose([engine("u")], NOW)
        self.assertEqual(chosen.upstream_id, "u")
