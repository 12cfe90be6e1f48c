"""Fakes for the sample tests: a state group of one replica, upstreams, a bundle."""

import json
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import result

from bilberrydrum import (
    clock,
    codec,
    interfaces,
    reasons,
    registrations,  # noqa: F401, imported for what it registers
)
from bilberrydrum.bundles import model as bundle_model
from bilberrydrum.requests import model as request_model
from bilberrydrum.samples import commands, model, queries
from bilberrydrum.state import client, machine
from bilberrydrum.upstreams import model as upstream_model
from bilberrydrum.weights import commands as weight_commands

TRAINER = "outage"
RULE = model.Rule(1, 2)


@attrs.define
class Machine:
    """The state machine alone: applies commands, answers queries, sets time by hand."""

    state: machine.State = attrs.field(factory=machine.State)
    index: int = 0
    time: float = 100.0

    def apply(self, command: object) -> Any:
        self.index += 1
        context = machine.Context(self.index, self.time)
        # Encoded and decoded, so that the test notices what a command or an answer
        # loses in transit.
        answer = machine.apply(codec.decode(codec.encode(command)), self.state, context)
        return codec.decode(codec.encode(answer))

    def answer(self, query: object) -> Any:
        query = codec.decode(codec.encode(query))
        answer = machine.answer(query, self.state, self.time)
        return codec.decode(codec.encode(answer))

    def restart(self) -> None:
        """Continue from a snapshot, as after a restart of all processes."""
        self.state = machine.State(
            {
                name: codec.decode(codec.encode(section))
                for name, section in self.state.sections.items()
            }
        )

    def publish(self, version: int, trainer: str = TRAINER) -> None:
        self.apply(weight_commands.PublishWeights(trainer, "planner", version))

    def renew(
        self, process_id: str, incarnation: int = 1, revision: int = 0
    ) -> commands.Renewed:
        renewed: commands.Renewed = self.apply(
            commands.RenewOwner(process_id, incarnation, 3.0, revision)
        )
        return renewed

    def add(self, group_id: str, n_slots: int = 2, prompt: str = "plan") -> Any:
        group = model.GroupRequest(group_id, prompt, n_slots, 64)
        return self.apply(commands.AddGroups(TRAINER, (group,), 10_000))

    def record(
        self,
        group_id: str,
        slot: int,
        attempt: int = 1,
        epoch: int = 1,
        version: int = 0,
        text: str = "",
        holders: tuple[str, ...] = ("gw-1@1", "gw-2@1"),
    ) -> reasons.Reason | None:
        taken = slot_record(group_id, slot, attempt, epoch, version, text, holders)
        command = commands.RecordSamples((taken,), {TRAINER: RULE})
        recorded: commands.Recorded = self.apply(command)
        return recorded.refusals[0]

    def open_reader(self) -> commands.Reader:
        reader: commands.Reader = self.apply(commands.OpenReader(TRAINER))
        return reader

    def read(
        self,
        cursor: int,
        n_samples: int = 2,
        epoch: int = 1,
        rule: model.Rule = RULE,
    ) -> commands.Batch:
        batch: commands.Batch = self.apply(
            commands.AssignBatch(TRAINER, epoch, cursor, n_samples, rule)
        )
        return batch


def slot_record(
    group_id: str,
    slot: int,
    attempt: int = 1,
    epoch: int = 1,
    version: int = 0,
    text: str = "",
    holders: tuple[str, ...] = ("gw-1@1", "gw-2@1"),
) -> commands.SlotRecord:
    payload = model.Payload(text or f"{group_id}/{slot}#{epoch}.{attempt}", (1, 2))
    segments = (model.Segment(version, 0, 1),)
    record = model.Record(
        attempt, epoch, "engine-1", segments, 0.5, 2, payload.digest(), holders
    )
    return commands.SlotRecord(TRAINER, group_id, slot, record)


@attrs.define
class FakeState:
    """A state group of one replica; `faults` lists the errors of the next calls."""

    machine: Machine = attrs.field(factory=Machine)
    # An empty entry is no fault. "lost" applies the command and loses the answer;
    # "refused" does not apply it.
    faults: list[str] = attrs.field(factory=list)
    # While this is set, no call reaches the state group.
    is_unreachable: bool = False
    # Called after each query, whether or not it was answered.
    after_query: Callable[[], None] = lambda: None

    def submit(
        self, command: object, timeout: float = 5.0
    ) -> result.Result[Any, client.StateError]:
        return self._call(self.machine.apply, command)

    def query(
        self, query: object, timeout: float = 5.0
    ) -> result.Result[Any, client.StateError]:
        answer = self._call(self.machine.answer, query)
        self.after_query()
        return answer

    def _call(self, action: Any, value: object) -> Any:
        clock.sleep(0)
        fault = self.faults.pop(0) if self.faults else ""
        if self.is_unreachable or fault == "refused":
            return result.Err(
                client.StateError(reasons.Reason.STATE_UNAVAILABLE, False)
            )
        answer = action(value)
        if fault == "lost":
            return result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE))
        return result.Ok(answer)


@attrs.define
class FakeBundles:
    """A bundle view with the values set by the test."""

    bundle: bundle_model.Bundle
    versions_by_trainer: dict[str, int] = attrs.field(factory=dict)
    gateways: dict[str, interfaces.Gateway] = attrs.field(factory=dict)
    refusal: reasons.Reason | None = None

    def current(self) -> result.Result[bundle_model.Bundle, reasons.Reason]:
        if self.refusal is not None:
            return result.Err(self.refusal)
        return result.Ok(self.bundle)

    def gateways_by_id(self) -> dict[str, interfaces.Gateway]:
        return self.gateways

    def weight_versions_by_trainer(self) -> dict[str, int]:
        return self.versions_by_trainer


@attrs.define
class FakeRegistry:
    """A registry of available engines."""

    upstreams: dict[str, upstream_model.Upstream] = attrs.field(factory=dict)

    def upstreams_by_id(self) -> dict[str, upstream_model.Upstream]:
        return self.upstreams

    def owner_of(self, upstream_id: str) -> str | None:
        return None


Script = list[request_model.StreamEvent | float]


@attrs.define
class FakeDispatcher:
    """Streams and scores by script; a number in a script is a pause in seconds."""

    # Scripts of the next streams; the last one is repeated.
    scripts: list[Script]
    # Bodies of the scorer's next answers; None for the correct one.
    score_bodies: list[bytes | None] = attrs.field(factory=list)
    calls: list[request_model.ModelCall] = attrs.field(factory=list)
    application_calls: list[request_model.ApplicationCall] = attrs.field(factory=list)
    n_closed: int = 0
    # Referenced, so that a stream ends when it is closed and not when it is collected.
    streams: list[Iterator[request_model.StreamEvent]] = attrs.field(factory=list)

    def stream(
        self, call: request_model.ModelCall
    ) -> Iterator[request_model.StreamEvent]:
        self.streams.append(self._stream(call))
        return self.streams[-1]

    def _stream(
        self, call: request_model.ModelCall
    ) -> Iterator[request_model.StreamEvent]:
        self.calls.append(call)
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        try:
            for event in script:
                clock.sleep(event if isinstance(event, float) else 0)
                if not isinstance(event, float):
                    yield event
        finally:
            self.n_closed += 1

    def call_application(
        self, call: request_model.ApplicationCall
    ) -> result.Result[request_model.ApplicationAnswer, request_model.Failed]:
        clock.sleep(0)
        self.application_calls.append(call)
        sample_id = json.loads(call.body)["sample_id"]
        body = json.dumps({"sample_id": sample_id, "score": 0.5}).encode()
        given = self.score_bodies.pop(0) if self.score_bodies else None
        return result.Ok(
            request_model.ApplicationAnswer(200, (), given or body, "scorer-1")
        )


def tokens(*token_ids: int, version: int | None = 0) -> request_model.Tokens:
    text = "".join(f" {i}" for i in token_ids)
    return request_model.Tokens(text, token_ids, version, "engine-1")


def finished(reason: str = "stop") -> request_model.Finished:
    return request_model.Finished(reason, "engine-1")


def engine(upstream_id: str = "engine-1", version: int = 0) -> upstream_model.Upstream:
    return upstream_model.Upstream(
        upstream_id,
        upstream_model.KIND_ENGINE,
        "127.0.0.1:1",
        max_concurrency=4,
        models={"planner": upstream_model.ServedModel(version, (version,))},
        can_resume=True,
    )


def bundle(bound: int = 2, version: int = 1) -> bundle_model.Bundle:
    return bundle_model.Bundle(
        version,
        version - 1,
        models={"planner": bundle_model.ModelRule()},
        trainers={TRAINER: bundle_model.TrainerRule("planner", "scorer", bound)},
    )


def ready_machine() -> Machine:
    """Return a machine with a group of two slots, owned by gw-1 under epoch 1.

    Both slots have a sample of version 0.
    """
    machine = Machine()
    machine.renew("gw-1")
    machine.renew("gw-2")
    machine.add("g0")
    machine.record("g0", 0)
    machine.record("g0", 1)
    machine.open_reader()
    return machine


def positions_of(batch: commands.Batch) -> list[tuple[int, str, int, int]]:
    return [
        (each.position, each.group_id, each.slot, each.record.attempt)
        for each in batch.samples
    ]


def trace(machine: Machine, group_id: str, slot: int) -> queries.Trace:
    found: queries.Trace = machine.answer(queries.GetTrace(TRAINER, group_id, slot))
    return found
