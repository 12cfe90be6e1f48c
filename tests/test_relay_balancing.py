"""Tests of the choice of the upstream that a relayed request is sent to."""

import random
import unittest

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

    def test_reported_load_counts_while_it_is_fresh(self):
        balancer = balancing.Balancer("near", random.Random(1))
        known = self.upstreams("near", "near")
        head = upstream_protocol.AnswerHead(n_running=2, n_waiting=3)
        balancer.record_success("u0", head, 100.0)
        for _ in range(20):
            chosen = balancer.choose(known, (), 100.1)
            self.assertEqual(chosen.upstream_id, "u1")
