"""The sample service of a gateway, used by trainers and operators."""

from typing import Any, Final

import eventlet
import result

from bilberrydrum import clock, counters, interfaces, options, problems, reasons, tasks
from bilberrydrum import transport as transport_module
from bilberrydrum.bundles import model as bundle_model
from bilberrydrum.samples import (
    commands,
    delivery,
    model,
    owner,
    payloads,
    queries,
    recorder,
)
from bilberrydrum.state import client

_SWEEP_SECONDS: Final = 0.1
# Payloads younger than this are kept, because their record may not be committed yet.
_PAYLOAD_GRACE_SECONDS: Final = 30.0
_PAYLOAD_SWEEP_SECONDS: Final = 5.0
_KEYS_PER_QUERY: Final = 1000

ServiceResult = result.Result[Any, problems.Problem]


class SampleService:
    """Owns the tasks that generate and deliver samples at this gateway."""

    def __init__(
        self,
        options_: options.Options,
        transport: transport_module.Transport,
        state: client.StateClient,
        bundles: interfaces.BundleView,
        registry: interfaces.Registry,
        dispatcher: interfaces.Dispatcher,
    ) -> None:
        self.options = options_
        self._state = state
        self._bundles = bundles
        self._store = payloads.PayloadStore(
            transport, bundles, options_.availability_zone
        )
        self._owner = owner.OwnerTask(
            options_, transport, state, bundles, registry, dispatcher, self._store
        )
        self._reader = delivery.BatchReader(state, bundles, self._store, self._owner)
        self._swept_by_trainer: dict[str, tuple[int, model.Rule]] = {}
        self._tasks: list[eventlet.greenthread.GreenThread] = []

    def start(self) -> None:
        """Start the tasks."""
        self._store.start()
        self._owner.start()
        self._tasks.append(eventlet.spawn(self._repeat, _SWEEP_SECONDS, self._expire))
        self._tasks.append(
            eventlet.spawn(self._repeat, _PAYLOAD_SWEEP_SECONDS, self._drop_payloads)
        )

    def stop(self) -> None:
        """Stop the tasks and release the groups to other gateways."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()
        self._owner.stop()

    def rule(
        self, trainer: str
    ) -> result.Result[bundle_model.TrainerRule, problems.Problem]:
        """Return the trainer's rule in the bundle in force."""
        current = self._bundles.current()
        if current.is_err():
            reason = current.unwrap_err()
            return result.Err(problems.Problem(503, reason, retry_after_seconds=1.0))
        rule = current.unwrap().trainers.get(trainer)
        if rule is None:
            unknown = reasons.Reason.TRAINER_UNKNOWN
            return result.Err(problems.Problem(404, unknown, trainer))
        return result.Ok(rule)

    def open_reader(
        self, trainer: str
    ) -> result.Result[commands.Reader, problems.Problem]:
        """Make the sender the trainer's reader."""
        return self._submit(commands.OpenReader(trainer))

    def add_groups(
        self, trainer: str, groups: tuple[model.GroupRequest, ...]
    ) -> result.Result[commands.GroupsAdded, problems.Problem]:
        """Add groups; adding the same groups again changes nothing."""
        limit = self.options.samples.max_open_slots
        answer = self._submit(commands.AddGroups(trainer, groups, limit))
        if answer.is_err():
            return answer
        added: commands.GroupsAdded = answer.unwrap()
        if added.conflicts:
            detail = ", ".join(added.conflicts)
            conflict = reasons.Reason.GROUP_CONFLICT
            return result.Err(problems.Problem(409, conflict, detail))
        if added.is_full:
            return result.Err(
                problems.Problem(
                    429,
                    reasons.Reason.QUEUE_FULL,
                    f"the groups would exceed the limit of {limit} open slots",
                    retry_after_seconds=1.0,
                )
            )
        self._owner.wake_owners(added.owners)
        return result.Ok(added)

    def read_batch(self, request: delivery.BatchRequest) -> delivery.Answer:
        """Return a batch, or the refusal."""
        return self._reader.read(request)

    def trace(
        self, trainer: str, group_id: str, slot: int
    ) -> result.Result[queries.Trace, problems.Problem]:
        """Return the trace of one sample."""
        return self._query(queries.GetTrace(trainer, group_id, slot))

    def trainers(self) -> result.Result[queries.Trainers, problems.Problem]:
        """Return the status of all trainers."""
        return self._query(queries.ListTrainers())

    def _submit(self, command: object) -> ServiceResult:
        answer = self._state.submit(command)
        if answer.is_err():
            return result.Err(answer.unwrap_err().to_problem())
        return result.Ok(answer.unwrap())

    def _query(self, query: object) -> ServiceResult:
        answer = self._state.query(query)
        if answer.is_err():
            return result.Err(answer.unwrap_err().to_problem())
        return result.Ok(answer.unwrap())

    def _repeat(self, seconds: float, action: Any) -> None:
        while True:
            clock.sleep(seconds)
            with tasks.errors_recorded("samples"):
                action()

    def _expire(self) -> None:
        """Discard waiting samples as soon as they are too stale."""
        versions = self._bundles.weight_versions_by_trainer()
        rules = recorder.rules_by_trainer(self._bundles, set(versions))
        for trainer, rule in rules.items():
            seen = (versions[trainer], rule)
            if self._swept_by_trainer.get(trainer) == seen:
                continue
            answer = self._state.submit(commands.ExpireSamples(trainer, rule))
            if answer.is_err():
                continue
            self._swept_by_trainer[trainer] = seen
            for _ in range(answer.unwrap().n_expired):
                counters.retried(reasons.Reason.SAMPLE_STALE)
            self._owner.wake_owners(answer.unwrap().owners)

    def _drop_payloads(self) -> None:
        keys = self._store.keys_older_than(_PAYLOAD_GRACE_SECONDS)
        for first in range(0, len(keys), _KEYS_PER_QUERY):
            chunk = tuple(keys[first : first + _KEYS_PER_QUERY])
            answer = self._state.query(queries.ListUnusedPayloads(chunk))
            if answer.is_err():
                return
            for key in answer.unwrap().keys:
                self._store.drop(key)
