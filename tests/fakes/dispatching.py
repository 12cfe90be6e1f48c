"""A test case with a dispatcher and scripted upstreams."""

import unittest

from bilberrydrum.requests import crash_record, dispatch
from bilberrydrum.upstreams import model as upstream_model
from tests.fakes import gateway_parts, scripted


class Gateway(unittest.TestCase):
    """A dispatcher and the upstreams that it sends calls to."""

    def setUp(self):
        self.registry = gateway_parts.Registry()
        self.state = gateway_parts.StateGroup()
        self.fakes = {}
        self.start()

    def start(self, **options):
        self.dispatcher = self.start_dispatcher(**options)

    def start_dispatcher(self, **options):
        """Start and return the dispatcher of one more gateway."""
        bundles = gateway_parts.Bundles()
        bundles.state = self.state.state
        started = dispatch.RequestDispatcher(
            gateway_parts.settings(**options),
            bundles,
            self.registry,
            crash_record.GroupRecord(self.state, bundles),
        )
        started.start()
        self.addCleanup(started.stop)
        return started

    def engine(self, upstream_id, script, weight_version=3, **fields):
        fields.setdefault("can_resume", True)
        fake = scripted.Scripted(
            script,
            kind="engine",
            models={"planner": upstream_model.ServedModel(weight_version)},
            **fields,
        )
        return self.add(upstream_id, fake)

    def application(self, upstream_id, script, **fields):
        fake = scripted.Scripted(
            script, kind="application", application="schedule", **fields
        )
        return self.add(upstream_id, fake)

    def add(self, upstream_id, fake):
        self.addCleanup(fake.stop)
        self.fakes[upstream_id] = fake
        self.registry.upstreams[upstream_id] = fake.upstream(upstream_id)
        return fake

    def n_received(self):
        return sum(len(fake.received) for fake in self.fakes.values())
