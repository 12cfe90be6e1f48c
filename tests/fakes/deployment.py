"""A test case with two gateways, one application and optional engines."""

import unittest

from bilberrydrum.upstreams import model as upstream_model
from tests.fakes import gateway_parts, request_path, scripted


class Deployment(unittest.TestCase):
    """Two gateways in front of one application; tests add engines."""

    def setUp(self):
        self.group = gateway_parts.StateGroup()
        self.registry = gateway_parts.Registry()
        self.application = scripted.Scripted(
            scripted.serve(self.book), kind="application", application="schedule"
        )
        self.addCleanup(self.application.stop)
        self.registry.upstreams["a1"] = self.application.upstream("a1")
        self.first = self.gateway("g1")
        self.second = self.gateway("g2")

    def gateway(self, process_id, **options):
        gateway = request_path.Gateway(process_id, self.group, self.registry, **options)
        self.addCleanup(gateway.stop)
        return gateway

    def book(self, received):
        return scripted.answer(received, b"booked", "201 Created")

    def engine(self, upstream_id, script, **fields):
        fake = scripted.Scripted(
            script,
            kind="engine",
            models={"planner": upstream_model.ServedModel(3)},
            **fields,
        )
        self.addCleanup(fake.stop)
        self.registry.upstreams[upstream_id] = fake.upstream(upstream_id)
        return fake

    @property
    def n_bookings(self):
        return len(self.application.received)

    def stop_first(self, point):
        how, command = request_path.STOPS[point]
        setattr(self.first.state, how, command)
