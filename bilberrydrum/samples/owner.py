"""The task that runs the attempts for the groups that this gateway owns.

It renews the owner's lease, receives the list of wanted slots, and starts and stops
attempts according to the schedule. The lease is counted from the time when its renewal
was sent. Without a lease no attempt is started. The state group checks each record
against the epoch of the group's owner.
"""

from typing import Final

import attrs
import eventlet
import eventlet.event

from bilberrydrum import (
    clock,
    codec,
    counters,
    interfaces,
    options,
    reasons,
    tasks,
    transport,
)
from bilberrydrum.samples import (
    attempts,
    capacity,
    commands,
    model,
    payloads,
    provenance,
    queries,
    recorder,
    scheduling,
)
from bilberrydrum.state import client

# Longest time between two scheduling passes while there are wanted slots. The end of a
# backoff, or an attempt that turns out to be slow, does not request a pass.
_PASS_INTERVAL_SECONDS: Final = 0.1
# The same while there are no wanted slots.
_IDLE_PASS_INTERVAL_SECONDS: Final = 0.5
# Delay between the request for a pass and the pass, so that one pass serves many
# requests. A pass goes through all slots.
_COALESCE_SECONDS: Final = 0.01
_RENEWALS_PER_LEASE: Final = 4
# Attempts are stopped when the lease expired this number of lease durations ago.
_STOP_AFTER_LEASES: Final = 5
# Refusals that mean that the group has another owner or the slot another sample. The
# attempt counts as dropped, not as retried, and the lease is renewed at once to get the
# current work list.
_SUPERSEDED: Final = (
    reasons.Reason.EPOCH_STALE,
    reasons.Reason.ATTEMPT_SUPERSEDED,
)


@codec.register("samples.wake-owner")
@attrs.frozen
class WakeOwner:
    """Notifies an owner of new work, as a hint; the work list is in the state group."""


class OwnerTask:
    """Runs the attempts for the groups of this gateway."""

    def __init__(
        self,
        options_: options.Options,
        bus: transport.Transport,
        state: client.StateClient,
        bundles: interfaces.BundleView,
        registry: interfaces.Registry,
        dispatcher: interfaces.Dispatcher,
        store: payloads.PayloadStore,
    ) -> None:
        self._options = options_
        self._bus = bus
        self._state = state
        self._bundles = bundles
        self._registry = registry
        self._dispatcher = dispatcher
        self._store = store
        self._recorder = recorder.Recorder(state, bundles)
        self._schedule = scheduling.Schedule(options_.samples.second_attempt_budget)
        self._revision = 0
        self._leased_until = 0.0
        self._requests_by_group: dict[tuple[str, str], model.GroupRequest] = {}
        self._attempts_by_start: dict[
            tuple[scheduling.Key, int], eventlet.greenthread.GreenThread
        ] = {}
        self._outputs_by_start: dict[
            tuple[scheduling.Key, int], provenance.PartialOutput
        ] = {}
        self._tasks: list[eventlet.greenthread.GreenThread] = []
        self._wake = eventlet.event.Event()
        self._pass_requested = eventlet.event.Event()

    def start(self) -> None:
        """Start renewing the lease and scheduling attempts."""
        self._bus.on(WakeOwner, lambda sender, message: self.wake())
        self._recorder.start()
        self._tasks.append(eventlet.spawn(self._renew_forever))
        self._tasks.append(eventlet.spawn(self._schedule_forever))

    def stop(self) -> None:
        """Stop all attempts and release the groups; may be called again."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()
        self._schedule.drop_all()
        # All running attempts are stopped, and not only those in the schedule. If an
        # earlier `stop` or renewal was interrupted after it emptied the schedule, its
        # remaining attempts would otherwise continue to run.
        self._stop_attempts(
            [scheduling.Cancel(*start) for start in self._attempts_by_start]
        )
        self._recorder.stop()
        if self._leased_until:
            leave = commands.LeaveOwner(self._bus.process_id, self._bus.incarnation)
            self._state.submit(leave, timeout=1.0)

    def wake(self) -> None:
        """Renew the lease now, which returns new work."""
        if not self._wake.ready():
            self._wake.send(None)

    def wake_owners(self, process_ids: tuple[str, ...]) -> None:
        """Notify these owners, which may include this one, of new work."""
        gateways = self._bundles.gateways_by_id()
        for process_id in process_ids:
            if process_id == self._bus.process_id:
                self.wake()
            elif process_id in gateways:
                self._bus.send(gateways[process_id].peer_address, WakeOwner())

    def _renew_forever(self) -> None:
        interval = self._options.samples.owner_lease_seconds / _RENEWALS_PER_LEASE
        while True:
            with eventlet.Timeout(interval, False):
                self._wake.wait()
            self._wake = eventlet.event.Event()
            # If this task ended, the lease would expire and all groups of this gateway
            # would be reassigned.
            with tasks.errors_recorded("sample-lease"):
                self._renew()

    def _renew(self) -> None:
        lease = self._options.samples.owner_lease_seconds
        sent_at = clock.now()
        answer = self._state.submit(
            commands.RenewOwner(
                self._bus.process_id, self._bus.incarnation, lease, self._revision
            ),
            timeout=lease / 2,
        )
        if answer.is_err():
            return
        renewed: commands.Renewed = answer.unwrap()
        if not renewed.is_current:
            self._stop_attempts(self._schedule.drop_all())
            return
        margin = 1 - self._options.state.drift_margin
        self._leased_until = sent_at + lease * margin
        if renewed.work is None or not self._fetch_requests(renewed.work):
            return
        self._revision = renewed.revision
        self._stop_attempts(self._schedule.update(renewed.index, renewed.work))
        self._request_pass()

    def _fetch_requests(self, work: tuple[commands.Work, ...]) -> bool:
        """Fetch the content of unknown groups; return False if a query failed."""
        listed = {(each.trainer, each.group_id) for each in work}
        known = self._requests_by_group
        self._requests_by_group = {
            group: request for group, request in known.items() if group in listed
        }
        unknown_by_trainer: dict[str, list[str]] = {}
        for trainer, group_id in sorted(listed - known.keys()):
            unknown_by_trainer.setdefault(trainer, []).append(group_id)
        for trainer, group_ids in unknown_by_trainer.items():
            answer = self._state.query(queries.GetRequests(trainer, tuple(group_ids)))
            if answer.is_err():
                return False
            for request in answer.unwrap().requests:
                self._requests_by_group[(trainer, request.group_id)] = request
        return True

    def _schedule_forever(self) -> None:
        while True:
            is_idle = not self._schedule.wanted_by_key
            pause = _IDLE_PASS_INTERVAL_SECONDS if is_idle else _PASS_INTERVAL_SECONDS
            with eventlet.Timeout(pause, False):
                self._pass_requested.wait()
                clock.sleep(_COALESCE_SECONDS)
            self._pass_requested = eventlet.event.Event()
            # A single faulty record must not stop the attempts for all groups of this
            # gateway.
            with tasks.errors_recorded("sample-passes"):
                self._run_pass()

    def _run_pass(self) -> None:
        now = clock.now()
        current = self._bundles.current()
        if now >= self._leased_until:
            self._revision = 0
            self._stop_after_lease_expiry(now)
            return
        if current.is_err():
            return
        bundle = current.unwrap()
        stalled = self._schedule.cancel_stalled(now)
        self._stop_attempts(stalled)
        for _ in stalled:
            counters.retried(reasons.Reason.UPSTREAM_TIMEOUT)
        pools = capacity.pools(
            bundle,
            self._registry.upstreams_by_id(),
            len(self._bundles.gateways_by_id()),
        )
        for start in self._schedule.starts(now, pools):
            request = self._requests_by_group.get(
                (start.key.trainer, start.key.group_id)
            )
            rule = bundle.trainers.get(start.key.trainer)
            if request is None or rule is None:
                self._schedule.record_failure(now, start.key, start.attempt)
                continue
            is_urgent = start.resumes_attempt > 0 or self._schedule.is_assigned(
                start.key
            )
            task = attempts.Task(start, request, rule, is_urgent)
            thread = eventlet.spawn(self._attempt_task, task)
            self._attempts_by_start[(start.key, start.attempt)] = thread

    def _request_pass(self) -> None:
        """Request a scheduling pass, because an attempt ended or slots are wanted."""
        if not self._pass_requested.ready():
            self._pass_requested.send(None)

    def _stop_after_lease_expiry(self, now: float) -> None:
        """Stop all attempts if the lease expired `_STOP_AFTER_LEASES` leases ago.

        No attempt is started without the lease, because another gateway may own the
        groups. Running attempts continue for a while: if the state group was
        unavailable, the groups still belong to this owner, and stopping would waste the
        work of all engines. If the groups were reassigned, the state group refuses the
        records of these attempts.
        """
        lease = self._options.samples.owner_lease_seconds
        if now >= self._leased_until + _STOP_AFTER_LEASES * lease:
            self._stop_attempts(self._schedule.drop_all())

    def _stop_attempts(self, cancels: list[scheduling.Cancel]) -> None:
        for cancel in cancels:
            self._outputs_by_start.pop((cancel.key, cancel.attempt), None)
            thread = self._attempts_by_start.pop((cancel.key, cancel.attempt), None)
            if thread is not None:
                thread.kill()

    def _attempt_task(self, task: attempts.Task) -> None:
        start = task.start
        try:
            reason = self._run_attempt(task)
        except tasks.UNEXPECTED_ERRORS:
            tasks.record_error("sample-attempt")
            reason = reasons.Reason.INTERNAL_ERROR
        self._attempts_by_start.pop((start.key, start.attempt), None)
        self._outputs_by_start.pop((start.key, start.attempt), None)
        self._request_pass()
        if reason is None:
            return
        if reason in _SUPERSEDED:
            counters.dropped(reason)
            self.wake()
        else:
            counters.retried(reason)
        self._schedule.record_failure(clock.now(), start.key, start.attempt)

    def _run_attempt(self, task: attempts.Task) -> reasons.Reason | None:
        """Run one attempt, store its payload and record it; return why it failed."""
        key, number = task.start.key, task.start.attempt
        attempt = attempts.Attempt(
            task,
            self._bundles,
            self._registry,
            self._dispatcher,
            lambda upstream_id, n_tokens: self._schedule.record_progress(
                clock.now(), key, number, upstream_id, n_tokens
            ),
            lambda: self._on_generated(key, number),
        )
        earlier = self._outputs_by_start.get((key, task.start.resumes_attempt))
        if earlier is not None:
            attempt.resume_from(earlier)
        self._outputs_by_start[(key, number)] = attempt.output
        scored = attempt.run()
        if scored.is_err():
            return scored.unwrap_err()
        if not attempt.is_within_bound():
            return reasons.Reason.SAMPLE_STALE
        outcome = self._record(task, scored.unwrap())
        if outcome.refusal is not None:
            self._store.drop(task.name)
            return outcome.refusal
        # This attempt is finished. Its own task must not be among those to be stopped.
        self._attempts_by_start.pop((key, number), None)
        self._stop_attempts(self._schedule.mark_recorded(outcome.index, key, number))
        return None

    def _on_generated(self, key: scheduling.Key, attempt: int) -> None:
        self._schedule.mark_generated(key, attempt)
        self._request_pass()

    def _record(
        self, task: attempts.Task, scored: attempts.ScoredAttempt
    ) -> recorder.Outcome:
        key = task.start.key
        # The payload is stored before its record is committed. Otherwise a record
        # without a payload could be assigned, and its sample would have to be generated
        # again.
        holders = self._store.put(task.name, scored.payload)
        record = model.Record(
            attempt=task.start.attempt,
            owner_epoch=key.owner_epoch,
            upstream_id=scored.upstream_id,
            segments=scored.segments,
            score=scored.score,
            n_tokens=len(scored.payload.token_ids),
            payload_digest=scored.payload.digest(),
            holders=holders,
        )
        return self._recorder.record(
            commands.SlotRecord(key.trainer, key.group_id, key.slot, record)
        )
