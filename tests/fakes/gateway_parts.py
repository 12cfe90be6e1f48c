"""Fakes of the parts that a gateway's request path uses: bundle, registry, state."""

from typing import Any

import attrs
import eventlet
import result

from bilberrydrum import clock, codec, interfaces, options, reasons
from bilberrydrum.bundles import model as bundle_model
from bilberrydrum.fleet import crash_commands
from bilberrydrum.state import client, machine
from bilberrydrum.upstreams import model as upstream_model

BUNDLE = bundle_model.Bundle(
    version=1,
    parent=0,
    models={"planner": bundle_model.ModelRule(adapters=("dry",))},
    applications={"schedule": bundle_model.ApplicationRule()},
    callers={
        "desk": bundle_model.CallerRule(
            models=("planner",), applications=("schedule",), staleness_bound=-1
        ),
        "other": bundle_model.CallerRule(applications=("schedule",)),
    },
)


class Bundles:
    """An `interfaces.BundleView` with values that a test sets."""

    def __init__(self, bundle: bundle_model.Bundle = BUNDLE) -> None:
        self.bundle: Any = result.Ok(bundle)
        self.gateways: dict[str, interfaces.Gateway] = {
            "g1": interfaces.Gateway("g1", "127.0.0.1:1", "a", "r", 1)
        }
        self.versions: dict[str, int] = {}
        # The state of the `StateGroup`, if the test has one.
        self.state = machine.State()

    def current(self) -> Any:
        return self.bundle

    def gateways_by_id(self) -> dict[str, interfaces.Gateway]:
        return self.gateways

    def weight_versions_by_trainer(self) -> dict[str, int]:
        return self.versions

    def crashes_index(self) -> int:
        return crash_commands.section_of(self.state).index


class Registry:
    """An `interfaces.Registry` of the given upstreams."""

    def __init__(self, *upstreams: upstream_model.Upstream) -> None:
        self.upstreams = {upstream.upstream_id: upstream for upstream in upstreams}
        self.holders_by_prefix: dict[str, frozenset[str]] = {}

    def upstreams_by_id(self) -> dict[str, upstream_model.Upstream]:
        return dict(self.upstreams)

    def owner_of(self, upstream_id: str) -> str | None:
        return "g1"

    def prefix_holders(self, prefix: str) -> frozenset[str]:
        return self.holders_by_prefix.get(prefix, frozenset())


class StateGroup:
    """A `StateClient` that applies commands at once, unless a test takes its majority.

    Commands and answers pass through the codec, as they do on the wire.
    """

    def __init__(self) -> None:
        self.state = machine.State()
        self.has_majority = True
        # If true, commands are applied, but their answers are lost.
        self.loses_answers = False
        # Difference between the state time and `clock.now`, in seconds.
        self.clock_offset = 1_000_000_000.0
        self.submitted: list[object] = []
        self._index = 0

    def now(self) -> float:
        return clock.now() + self.clock_offset

    def submit(self, command: object, timeout: float = 5.0) -> Any:
        eventlet.sleep(0)
        if not self.has_majority:
            return result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE))
        self.submitted.append(command)
        self._index += 1
        context = machine.Context(self._index, self.now())
        command = codec.decode(codec.encode(command))
        answer = machine.apply(command, self.state, context)
        if self.loses_answers:
            return result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE))
        return result.Ok(codec.decode(codec.encode(answer)))

    def query(self, query: object, timeout: float = 5.0) -> Any:
        eventlet.sleep(0)
        if not self.has_majority:
            return result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE))
        query = codec.decode(codec.encode(query))
        answer = machine.answer(query, self.state, self.now())
        return result.Ok(codec.decode(codec.encode(answer)))


def settings(process_id: str = "g1", **requests: Any) -> options.Options:
    return attrs.evolve(
        options.Options(process_id, availability_zone="a"),
        requests=options.RequestOptions(**requests),
    )
