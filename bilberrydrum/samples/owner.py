"""The task that drives the groups this gateway owns.

It renews the owner's lease, takes the list of wanted slots, and starts and stops the
attempts that the schedule names. The lease is counted from when its renewal was sent;
without it nothing is started. What is recorded is checked against the owner's epoch in
the state group.
"""

from typing import Final

import attrs
import eliot
import eventlet
import eventlet.event

from bilberrydrum import clock, codec, counters, interfaces, options, reasons, transport
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

# Longest time between two looks at the schedule while it holds slots: pauses after
# failures end, and attempts turn out to be slow, without any news.
_TICK_SECONDS: Final = 0.1
# The same while it holds none.
_IDLE_TICK_SECONDS: Final = 0.5
# Time for news to gather before a look: a look goes through all slots.
_GATHER_SECONDS: Final = 0.01
_RENEWALS_PER_LEASE: Final = 4
# Leases without renewal after which attempts are stopped.
_ABANDON_LEASES: Final = 5
# Reasons that are the slot's fate rather than an attempt's failure: no waiting.
_SUPERSEDED: Final = (
    reasons.Reason.EPOCH_STALE,
    reasons.Reason.ATTEMPT_SUPERSEDED,
)


@codec.register("samples.wake-owner")
@attrs.frozen
class WakeOwner:
    """The receiver has new work; a hint, the work list is in the state group."""


class OwnerTask:
    """Drives the groups of this gateway."""

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
        self._trails_by_start: dict[tuple[scheduling.Key, int], provenance.Trail] = {}
        self._tasks: list[eventlet.greenthread.GreenThread] = []
        self._wake = eventlet.event.Event()
        self._news = eventlet.event.Event()

    def start(self) -> None:
        """Start renewing and driving."""
        self._bus.on(WakeOwner, lambda sender, message: self.wake())
        self._recorder.start()
        self._tasks.append(eventlet.spawn(self._renew_forever))
        self._tasks.append(eventlet.spawn(self._drive_forever))

    def stop(self) -> None:
        """Hand the groups to other gateways; may be asked for once more."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()
        self._schedule.drop_all()
        # Not what the schedule had: whoever emptied it before, this stop or the task of
        # a renewal, may have been broken off, and the rest would run on.
        self._stop_attempts(
            [scheduling.Cancel(*start) for start in self._attempts_by_start]
        )
        self._recorder.stop()
        if self._leased_until:
            leave = commands.LeaveOwner(self._bus.process_id, self._bus.incarnation)
            self._state.submit(leave, timeout=1.0)

    def wake(self) -> None:
        """Look for new work now."""
        if not self._wake.ready():
            self._wake.send(None)

    def wake_owners(self, process_ids: tuple[str, ...]) -> None:
        """Let other owners, or this one, look for new work now."""
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
            try:
                self._renew()
            except Exception:
                # Without renewals all groups of this gateway would go to others.
                eliot.write_traceback()

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
        if renewed.work is None or not self._learn_requests(renewed.work):
            return
        self._revision = renewed.revision
        self._stop_attempts(self._schedule.update(renewed.index, renewed.work))
        self._tell()

    def _learn_requests(self, work: tuple[commands.Work, ...]) -> bool:
        """Fetch the groups' content that is not known yet."""
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

    def _drive_forever(self) -> None:
        while True:
            is_idle = not self._schedule.wanted_by_key
            tick = _IDLE_TICK_SECONDS if is_idle else _TICK_SECONDS
            with eventlet.Timeout(tick, False):
                self._news.wait()
                clock.sleep(_GATHER_SECONDS)
            self._news = eventlet.event.Event()
            try:
                self._drive()
            except Exception:
                # One bad record must not stop all groups of this gateway.
                eliot.write_traceback()

    def _drive(self) -> None:
        now = clock.now()
        current = self._bundles.current()
        if now >= self._leased_until:
            self._revision = 0
            self._abandon(now)
            return
        if current.is_err():
            return
        bundle = current.unwrap()
        stalled = self._schedule.stalled(now)
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
                self._schedule.failed(now, start.key, start.attempt)
                continue
            is_urgent = start.goes_on_from > 0 or self._schedule.is_assigned(start.key)
            task = attempts.Task(start, request, rule, is_urgent)
            thread = eventlet.spawn(self._attempt, task)
            self._attempts_by_start[(start.key, start.attempt)] = thread

    def _tell(self) -> None:
        """Have the schedule looked at: an attempt ended, or slots are wanted."""
        if not self._news.ready():
            self._news.send(None)

    def _abandon(self, now: float) -> None:
        """Stop all attempts once the lease has been over for long.

        Nothing new is started without the lease, as another gateway may be driving the
        groups by now. What runs goes on for a while: if it was the state group that
        could not be reached, the groups are still this owner's, and stopping would
        throw away the work of all engines. If they are not, the state group refuses
        what is made here.
        """
        lease = self._options.samples.owner_lease_seconds
        if now >= self._leased_until + _ABANDON_LEASES * lease:
            self._stop_attempts(self._schedule.drop_all())

    def _stop_attempts(self, cancels: list[scheduling.Cancel]) -> None:
        for cancel in cancels:
            self._trails_by_start.pop((cancel.key, cancel.attempt), None)
            thread = self._attempts_by_start.pop((cancel.key, cancel.attempt), None)
            if thread is not None:
                thread.kill()

    def _attempt(self, task: attempts.Task) -> None:
        start = task.start
        try:
            reason = self._make(task)
        except Exception:
            eliot.write_traceback()
            reason = reasons.Reason.INTERNAL_ERROR
        self._attempts_by_start.pop((start.key, start.attempt), None)
        self._trails_by_start.pop((start.key, start.attempt), None)
        self._tell()
        if reason is None:
            return
        if reason in _SUPERSEDED:
            counters.dropped(reason)
            self.wake()
        else:
            counters.retried(reason)
        self._schedule.failed(clock.now(), start.key, start.attempt)

    def _make(self, task: attempts.Task) -> reasons.Reason | None:
        """Make, keep and record one attempt; return why it came to nothing."""
        key, number = task.start.key, task.start.attempt
        attempt = attempts.Attempt(
            task,
            self._bundles,
            self._registry,
            self._dispatcher,
            lambda upstream_id, n_tokens: self._schedule.progress(
                clock.now(), key, number, upstream_id, n_tokens
            ),
            lambda: self._generated(key, number),
        )
        earlier = self._trails_by_start.get((key, task.start.goes_on_from))
        if earlier is not None:
            attempt.trail = earlier.copy()
        self._trails_by_start[(key, number)] = attempt.trail
        made = attempt.run()
        if made.is_err():
            return made.unwrap_err()
        if not attempt.is_fit():
            return reasons.Reason.SAMPLE_STALE
        outcome = self._record(task, made.unwrap())
        if outcome.refusal is not None:
            self._store.drop(task.name)
            return outcome.refusal
        # This task has ended its work; it must not be among those to be stopped.
        self._attempts_by_start.pop((key, number), None)
        self._stop_attempts(self._schedule.recorded(outcome.index, key, number))
        return None

    def _generated(self, key: scheduling.Key, attempt: int) -> None:
        self._schedule.generated(key, attempt)
        self._tell()

    def _record(self, task: attempts.Task, made: attempts.Made) -> recorder.Outcome:
        key = task.start.key
        # The payload is kept before its record is committed: a record without a
        # payload would be assigned and then made again.
        holders = self._store.put(task.name, made.payload)
        record = model.Record(
            attempt=task.start.attempt,
            owner_epoch=key.owner_epoch,
            upstream_id=made.upstream_id,
            segments=made.segments,
            score=made.score,
            n_tokens=len(made.payload.token_ids),
            payload_digest=made.payload.digest(),
            holders=holders,
        )
        return self._recorder.record(
            commands.SlotRecord(key.trainer, key.group_id, key.slot, record)
        )
