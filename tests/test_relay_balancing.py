"""Tests of the choice of the upstream that a relayed request is sent to."""

import random
import unittest

from nose2 import tools

from bilberrydrum import upstream_protocol
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.relay import balancing


class Balance(unittest.TestCase):
    """The choice by zone, load and failures, as observed by one gateway."""

    def upstreams(self, *zones):
        return [
            fleet_model.FleetUpstream(f"u{n}", "s", f"a{n}", zone, 2)
            for n, zone in enumerate(zones)
        ]

    def test_near_until_busy(self):
        balancer = balancing.Balancer("near", random.Random(1))
        known = self.upstreams("near", "far")
        chosen = []
        for _ in range(3):
            upstream = balancer.choose(known, (), 100.0)
            balancer.record_start(upstream.upstream_id)
            chosen.append(upstream.upstream_id)
        self.assertEqual(chosen, ["u0", "u1", "u0"])

    def test_failed_upstream_is_avoided_during_backoff(self):
        balancer = balancing.Balancer("near", random.Random(1))
        known = self.upstreams("near", "far")
        balancer.record_failure("u0", 100.0)
        self.assertEqual(balancer.choose(known, (), 100.1).upstream_id, "u1")
        self.assertEqual(balancer.choose(known, (), 100.6).upstream_id, "u0")

    def test_all_failed(self):
        """All upstreams have failed and are in backoff.

        Refusing all requests would turn a short fault into an outage, so the upstream
        whose backoff ends first is chosen.
        """
        balancer = balancing.Balancer("near", random.Random(1))
        balancer.record_failure("u0", 100.2)
        balancer.record_failure("u1", 100.0)
        known = self.upstreams("near", "far")
        self.assertEqual(balancer.choose(known, (), 100.3).upstream_id, "u1")

    def test_only_upstream_whose_address_another_one_has(self):
        """Guard against requests that all ask an address that rejects them at once.

        A later failure of another kind must not keep the only upstream from being
        tried, as the address may be its own again.
        """
        balancer = balancing.Balancer("near", random.Random(1))
        known = self.upstreams("near")
        balancer.record_misdirection("u0", 100.0)
        self.assertIsNone(balancer.choose(known, (), 100.4))
        self.assertEqual(balancer.ranked(known, (), 100.4), [])
        self.assertEqual(balancer.choose(known, (), 100.6).upstream_id, "u0")
        balancer.record_failure("u0", 100.6)
        self.assertEqual(balancer.choose(known, (), 100.7).upstream_id, "u0")
        balancer.record_misdirection("u0", 100.7)
        balancer.record_success("u0", upstream_protocol.AnswerHead(), 100.7)
        self.assertEqual(balancer.choose(known, (), 100.7).upstream_id, "u0")

    def test_reported_load_counts_while_it_is_fresh(self):
        balancer = balancing.Balancer("near", random.Random(1))
        known = self.upstreams("near", "near")
        head = upstream_protocol.AnswerHead(n_running=2, n_waiting=3)
        balancer.record_success("u0", head, 100.0)
        for _ in range(20):
            chosen = balancer.choose(known, (), 100.1)
            self.assertEqual(chosen.upstream_id, "u1")

    @tools.params(
        ("equal loads", (1, 1.0), (1, 2.5), 100.1, "u0"),
        ("half the load, three times as slow", (2, 1.0), (1, 3.0), 100.1, "u0"),
        ("half the load, a bit slower", (2, 1.0), (1, 1.2), 100.1, "u1"),
        ("both idle", (0, 1.0), (0, 2.5), 100.1, "u0"),
        ("faster than usual", (2, 0.4), (1, 1.0), 100.1, "u0"),
        ("without a factor", (2, None), (1, None), 100.1, "u1"),
        ("one without a factor", (1, None), (1, 2.5), 100.1, "u0"),
        (
            "a busy host reports that it is far too fast",
            (5, 0.01),
            (1, 1.0),
            100.1,
            "u1",
        ),
        ("far too slow to be true", (1, 1e9), (2, 1.0), 100.1, "u0"),
    )
    def test_weighted_load(self, name, first, second, now, expected):
        """Requests wait at a slow host because it reports fewer of them."""
        self.assertEqual(self.chosen(first, second, now), {expected}, name)

    def test_factor_is_ignored_when_the_report_is_too_old(self):
        """A host is avoided although it has become as fast as the others since."""
        self.assertEqual(self.chosen((0, 1.0), (0, 9.0), 100.4), {"u0"})
        self.assertEqual(self.chosen((0, 1.0), (0, 9.0), 100.6), {"u0", "u1"})

    def chosen(self, first, second, now):
        """Return the choices between two upstreams with reports of time 100."""
        balancer = balancing.Balancer("near", random.Random(1))
        for upstream_id, (n_running, factor) in (("u0", first), ("u1", second)):
            head = upstream_protocol.AnswerHead(
                n_running=n_running, n_waiting=0, work_factor=factor
            )
            balancer.record_success(upstream_id, head, 100.0)
        known = self.upstreams("near", "near")
        return {balancer.choose(known, (), now).upstream_id for _ in range(20)}
