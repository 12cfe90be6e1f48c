"""Delivery of batches: assign in the state group, fetch from the holders, check.

A sample counts as delivered at the time of the last `CheckBatch` query, which is sent
after all payloads were fetched and finds the batch within the bound. A version that is
published later is newer than the delivery; the batch carries the version it was checked
against. If too much time passes after the check, it is repeated. Otherwise a gateway
whose process was suspended could deliver samples that have become too stale in the
meantime.
"""

from typing import Any, Final

import attrs
import result

from bilberrydrum import clock, counters, interfaces, problems, reasons
from bilberrydrum.samples import commands, model, owner, payloads, queries, recorder
from bilberrydrum.state import client

# Longest time between sending the last check and returning the batch.
MAX_CHECK_AGE_SECONDS: Final = 0.5
_POLL_SECONDS: Final = 0.02
_MAX_POLL_SECONDS: Final = 0.1
# Seconds after which a trainer should retry if there were not enough samples.
_RETRY_AFTER_SECONDS: Final = 1.0
_STATE_TIMEOUT_SECONDS: Final = 5.0


@attrs.frozen
class BatchRequest:
    """A trainer's request for a batch."""

    trainer: str
    reader_epoch: int
    cursor: int
    n_samples: int
    # Time in seconds that the trainer waits.
    wait_seconds: float


@attrs.frozen
class Delivery:
    """A batch with its payloads, in the order of positions."""

    batch: commands.Batch
    payloads: tuple[model.Payload, ...]


Answer = result.Result[Delivery, problems.Problem]


class BatchReader:
    """Answers trainers' batch requests, which may be sent to any gateway."""

    def __init__(
        self,
        state: client.StateClient,
        bundles: interfaces.BundleView,
        store: payloads.PayloadStore,
        owner_task: owner.OwnerTask,
    ) -> None:
        self._state = state
        self._bundles = bundles
        self._store = store
        self._owner = owner_task

    def read(self, request: BatchRequest) -> Answer:
        """Return the batch, or the refusal, within the time that the trainer waits."""
        began = clock.now()
        answer = self._read_until(request, began + request.wait_seconds)
        idle = clock.now() - began
        counters.TRAINER_IDLE_SECONDS.labels(request.trainer).inc(idle)
        if answer.is_ok():
            histogram = counters.SAMPLE_STALENESS.labels(request.trainer)
            for sample in answer.unwrap().batch.samples:
                histogram.observe(sample.staleness)
        return answer

    def _read_until(self, request: BatchRequest, deadline: float) -> Answer:
        while True:
            assigned = self._assign(request)
            if assigned.is_err():
                return result.Err(assigned.unwrap_err())
            batch = assigned.unwrap()
            if batch.refusal is None:
                delivery = self._complete(request, batch)
                if delivery is not None:
                    return result.Ok(delivery)
            elif batch.refusal != reasons.Reason.BATCH_NOT_READY:
                return result.Err(_refusal(batch))
            waited = self._wait(request, deadline)
            if waited is not None:
                return result.Err(waited)

    def _rule(self, trainer: str) -> result.Result[model.Rule, problems.Problem]:
        current = self._bundles.current()
        if current.is_err():
            reason = current.unwrap_err()
            return result.Err(problems.Problem(503, reason, retry_after_seconds=1.0))
        rules = recorder.rules_by_trainer(self._bundles, {trainer})
        if trainer not in rules:
            unknown = reasons.Reason.TRAINER_UNKNOWN
            return result.Err(problems.Problem(404, unknown, trainer))
        return result.Ok(rules[trainer])

    def _assign(
        self, request: BatchRequest
    ) -> result.Result[commands.Batch, problems.Problem]:
        rule = self._rule(request.trainer)
        if rule.is_err():
            return result.Err(rule.unwrap_err())
        answer = self._state.submit(
            commands.AssignBatch(
                request.trainer,
                request.reader_epoch,
                request.cursor,
                request.n_samples,
                rule.unwrap(),
            ),
            timeout=_STATE_TIMEOUT_SECONDS,
        )
        if answer.is_err():
            return result.Err(answer.unwrap_err().to_problem())
        batch: commands.Batch = answer.unwrap()
        for _ in range(batch.n_expired):
            counters.retried(reasons.Reason.SAMPLE_STALE)
        self._owner.wake_owners(batch.owners)
        return result.Ok(batch)

    def _complete(
        self, request: BatchRequest, batch: commands.Batch
    ) -> Delivery | None:
        """Fetch the payloads and check the batch; return None if it must be retried."""
        keys = [_payload_key(request.trainer, each) for each in batch.samples]
        found = self._store.fetch(
            [
                payloads.Wanted(key, each.record.payload_digest, each.record.holders)
                for key, each in zip(keys, batch.samples, strict=True)
            ]
        )
        if len(found) < len(keys):
            self._report_lost(request.trainer, batch, keys, found)
            return None
        if not self._is_current(request, batch):
            return None
        return Delivery(batch, tuple(found[key] for key in keys))

    def _is_current(self, request: BatchRequest, batch: commands.Batch) -> bool:
        rule = self._rule(request.trainer)
        if rule.is_err():
            return False
        queried_at = clock.now()
        answer = self._state.query(
            queries.CheckBatch(
                request.trainer,
                request.reader_epoch,
                request.cursor,
                request.n_samples,
                rule.unwrap(),
            ),
            timeout=_STATE_TIMEOUT_SECONDS,
        )
        if answer.is_err():
            return False
        check: queries.BatchCheck = answer.unwrap()
        # Since the batch was assigned, another gateway may have had one of its samples
        # replaced, or a version may have been published while payloads were fetched.
        return (
            check.refusal is None
            and check.weight_version == batch.weight_version
            and check.fingerprint
            == model.fingerprint(each.record for each in batch.samples)
            and clock.now() - queried_at <= MAX_CHECK_AGE_SECONDS
        )

    def _report_lost(
        self,
        trainer: str,
        batch: commands.Batch,
        keys: list[str],
        found: dict[str, Any],
    ) -> None:
        lost = tuple(
            each
            for key, each in zip(keys, batch.samples, strict=True)
            if key not in found
        )
        answer = self._state.submit(commands.ReportLost(trainer, lost))
        if answer.is_ok():
            for _ in range(answer.unwrap().n_expired):
                counters.retried(reasons.Reason.PAYLOAD_LOST)
            self._owner.wake_owners(answer.unwrap().owners)

    def _wait(self, request: BatchRequest, deadline: float) -> problems.Problem | None:
        """Wait until a batch may be available; return the refusal when time is up."""
        delay = _POLL_SECONDS
        while True:
            if clock.now() + delay > deadline:
                return problems.Problem(
                    503,
                    reasons.Reason.BATCH_NOT_READY,
                    retry_after_seconds=_RETRY_AFTER_SECONDS,
                )
            clock.sleep(delay)
            delay = min(_MAX_POLL_SECONDS, delay * 1.5)
            rule = self._rule(request.trainer)
            if rule.is_err():
                return rule.unwrap_err()
            answer = self._state.query(
                queries.CheckBatch(
                    request.trainer,
                    request.reader_epoch,
                    request.cursor,
                    request.n_samples,
                    rule.unwrap(),
                )
            )
            if answer.is_err():
                return answer.unwrap_err().to_problem()
            if answer.unwrap().refusal != reasons.Reason.BATCH_NOT_READY:
                return None


def _payload_key(trainer: str, assigned: commands.Assigned) -> str:
    return model.payload_key(
        model.sample_id(trainer, assigned.group_id, assigned.slot),
        assigned.record.owner_epoch,
        assigned.record.attempt,
    )


def _refusal(batch: commands.Batch) -> problems.Problem:
    assert batch.refusal is not None
    known = {"acknowledged": batch.acknowledged, "n_assigned": batch.n_assigned}
    return problems.Problem(409, batch.refusal, extra=known)
