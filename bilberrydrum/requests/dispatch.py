"""The dispatcher: takes calls through admission, routing, attempts and retries.

A call runs in the task that makes it, and that task owns the call's connection. The
decisions are made in `admission`, `routing`, `health` and `retries`. Waiting calls are
granted capacity when another call ends, and by a task of the dispatcher at short
intervals, since a report of an upstream may show free capacity as well.
"""

import contextlib
import itertools
import random
import uuid
from collections.abc import Callable, Generator, Iterator, Mapping
from typing import Any, Final

import eventlet
import eventlet.event
import result

from bilberrydrum import clock, interfaces, options, reasons, tasks
from bilberrydrum.requests import (
    admission,
    attempts,
    calls,
    connections,
    crash_memory,
    crash_record,
    model,
    outgoing_requests,
    queues,
    recovery,
    retries,
    routing,
    text_streams,
    watch,
)
from bilberrydrum.upstreams import model as upstream_model

# Time between scheduling passes over the queue when no call ends, in seconds.
QUEUE_PASS_SECONDS: Final = 0.02
# Time between counts of the gateways that share the upstreams, in seconds.
_COUNT_SECONDS: Final = 1.0
# Time between checks whether the client of a waiting call is still connected, in
# seconds.
CLIENT_CHECK_SECONDS: Final = 0.25


class RefusedError(Exception):
    """The call was not admitted."""

    def __init__(self, reason: reasons.Reason, retry_after_seconds: float) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after_seconds = retry_after_seconds


class RequestDispatcher:
    """Calls to upstreams (`interfaces.Dispatcher`)."""

    def __init__(
        self,
        settings: options.Options,
        bundles: interfaces.BundleView,
        registry: interfaces.Registry,
        record: crash_record.CrashRecord | None = None,
    ) -> None:
        self._bundles = bundles
        self._registry = registry
        self._rng = random.Random()
        self._resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch()
        )
        self._process_token = uuid.uuid4().hex[:12]
        self._attempt_numbers = itertools.count(1)
        self._admission = admission.Admission(
            settings.requests.max_queue_per_caller, self._rng
        )
        self._router = routing.Router(settings.availability_zone, self._rng)
        self.budget = retries.RetryBudget(settings.requests.retry_budget)
        self.crashes = crash_memory.CrashMemory(record or crash_record.LocalRecord())
        self._recovery = recovery.Recovery(
            self._router,
            self._resources.pool,
            self.budget,
            settings.requests.max_attempts,
            self.crashes,
        )
        # Sent when a call begins to wait and no other call was waiting.
        self._queued = eventlet.event.Event()
        self._events_by_number: dict[int, eventlet.event.Event] = {}
        self._upstreams_by_id: Mapping[str, upstream_model.Upstream] = {}
        self._eligible_by_need: dict[routing.Need, list[upstream_model.Upstream]] = {}
        self._counted_at = float("-inf")
        self._n_gateways = 1
        self._task: Any = None

    def start(self) -> None:
        """Start the dispatcher's tasks."""
        self._resources.clients.start()
        self.crashes.start()
        self._task = eventlet.spawn(
            tasks.run_forever, "dispatcher", self._schedule_when_queued
        )

    def stop(self) -> None:
        """Stop, and close the idle connections."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        self.crashes.stop()
        self._resources.clients.stop()
        self._resources.pool.close()

    @property
    def n_in_flight(self) -> int:
        """Number of calls at upstreams."""
        return self._admission.n_in_flight

    @property
    def n_waiting(self) -> int:
        """Number of calls in the queue."""
        return self._admission.n_waiting

    def drain(self, limit_seconds: float) -> bool:
        """Wait up to `limit_seconds` until no call is left; return whether none is."""
        end = clock.now() + limit_seconds
        while self.n_in_flight or self.n_waiting:
            if clock.now() >= end:
                return False
            clock.sleep(QUEUE_PASS_SECONDS)
        return True

    def stream(self, call: model.ModelCall) -> Iterator[model.StreamEvent]:
        """Generate on an engine; the last event is `Finished` or `Failed`."""
        progress = recovery.Progress(calls.need_of(call))
        self.budget.count_first_attempt()
        while True:
            refusal = self._recovery.find_refusal(call, progress)
            if refusal is not None:
                yield refusal
                return
            try:
                with self._admitted(call, progress) as upstream:
                    outgoing = outgoing_requests.for_engine(
                        call, self._attempt_id(call), self._refusal_of(call)
                    )
                    events = text_streams.stream(self._resources, upstream, outgoing)
                    finished = yield from _relay_tokens(events, progress)
                self._recovery.record_answer(call)
                # The consumer may close the iterator here, so what an answer changes is
                # recorded before. Otherwise the call would be suspected of crashes that
                # its answer clears it of.
                yield finished
                return
            except RefusedError as error:
                yield _refused(error, progress)
                return
            except attempts.AttemptError as error:
                failed = self._recovery.handle_failure(call, progress, upstream, error)
                if failed is not None:
                    yield failed
                    return

    def call_application(
        self, call: model.ApplicationCall
    ) -> result.Result[model.ApplicationAnswer, model.Failed]:
        """Call a plain service and return its complete answer."""
        progress = recovery.Progress(calls.need_of(call))
        self.budget.count_first_attempt()
        while True:
            refusal = self._recovery.find_refusal(call, progress)
            if refusal is not None:
                return _give_up(progress, refusal)
            try:
                with self._admitted(call, progress) as upstream:
                    outgoing = outgoing_requests.for_application(
                        call, self._attempt_id(call), self._refusal_of(call)
                    )
                    mean = self._admission.mean_seconds(progress.need)
                    outgoing.deadline = self._recovery.attempt_deadline(
                        call, progress, mean, clock.now()
                    )
                    answer = attempts.call(self._resources, upstream, outgoing)
                self._recovery.record_answer(call)
                return result.Ok(answer)
            except RefusedError as error:
                return _give_up(progress, _refused(error, progress))
            except attempts.AttemptError as error:
                failed = self._recovery.handle_failure(call, progress, upstream, error)
                if failed is not None:
                    return _give_up(progress, failed)

    def _attempt_id(self, call: calls.Call) -> str:
        number = next(self._attempt_numbers)
        return f"{call.request_id}/{self._process_token}-{number:x}"

    def _refusal_of(self, call: calls.Call) -> Callable[[], reasons.Reason | None]:
        """Return a function that returns why `call` must not be sent now, or None."""

        def find_refusal() -> reasons.Reason | None:
            # The bundle's lease is checked again at every attempt: while the call
            # waited, or the process was suspended, another bundle may have come into
            # force.
            bundle = self._bundles.current()
            if isinstance(bundle, result.Err):
                return bundle.err_value
            # Other copies of the call may have crashed upstreams meanwhile.
            refusal = self.crashes.find_refusal(call, has_run=False)
            if refusal is not None:
                return refusal
            return call.find_refusal(bundle.ok_value)

        return find_refusal

    def predict_refusal(
        self, call: model.ModelCall | model.ApplicationCall
    ) -> model.Failed | None:
        """Return the refusal that `call` would get now, or None; change nothing.

        This saves the preparation of a call that would be refused, where that is
        expensive, as the claim of a request that must not run twice.
        """
        refused = self._admission.predict_refusal(clock.now(), self._ticket(call))
        if refused is None:
            return None
        return model.Failed(
            refused.reason, False, retry_after_seconds=refused.retry_after_seconds
        )

    def _ticket(
        self, call: calls.Call, progress: recovery.Progress | None = None
    ) -> queues.Ticket:
        progress = progress or recovery.Progress(calls.need_of(call))
        return queues.Ticket(
            call.client,
            progress.need,
            call.deadline,
            call.share,
            calls.priority_of(call),
            calls.cost_of(call),
            call.max_in_flight,
            calls.prefix_of(call),
            progress.number,
        )

    @contextlib.contextmanager
    def _admitted(
        self, call: calls.Call, progress: recovery.Progress
    ) -> Iterator[upstream_model.Upstream]:
        """Hold capacity at an upstream while the block runs."""
        ticket = self._ticket(call, progress)
        ticket.need = ticket.need.without(self.crashes.occupied_ids(call))
        upstream = self._wait_for_capacity(call, ticket)
        # If the upstream turns out to be busy, the call is queued again at its old
        # position.
        progress.number = ticket.number
        progress.began_at = ticket.granted_at
        is_complete = False
        try:
            with self.crashes.occupying(call, upstream.upstream_id):
                yield upstream
            is_complete = True
            self._router.health.record_success(upstream.upstream_id)
        finally:
            self._release(upstream, ticket, progress, is_complete)

    def _release(
        self,
        upstream: upstream_model.Upstream,
        ticket: queues.Ticket,
        progress: recovery.Progress,
        is_complete: bool,
    ) -> None:
        now = clock.now()
        seconds = now - ticket.granted_at if is_complete else None
        cost = 1.0
        if progress.need.kind == upstream_model.KIND_ENGINE:
            cost = float(progress.n_tokens)
        self._router.record_end(upstream.upstream_id, now, seconds, cost)
        self._admission.record_end(now, ticket, cost, is_complete)
        if self._admission.n_waiting:
            self._schedule_waiting()

    def _wait_for_capacity(
        self, call: calls.Call, ticket: queues.Ticket
    ) -> upstream_model.Upstream:
        for effect in self._admission.offer(clock.now(), ticket, self._assign):
            if effect.ticket is ticket:
                return _upstream_of(effect)
            self._notify(effect)
        ready = eventlet.event.Event()
        self._events_by_number[ticket.number] = ready
        if not self._queued.ready():
            self._queued.send(None)
        is_taken = False
        try:
            while not ready.ready():
                ready.wait(CLIENT_CHECK_SECONDS)
                if not ready.ready() and call.is_client_gone():
                    raise RefusedError(reasons.Reason.CALLER_GONE, 0.0)
            is_taken = True
            return _upstream_of(ready.wait())
        finally:
            del self._events_by_number[ticket.number]
            self._admission.withdraw(ticket)
            if not is_taken and ready.ready():
                self._return_capacity(ready.wait())

    def _return_capacity(self, effect: admission.Effect) -> None:
        # The task was killed after its call was granted capacity and before it ran
        # again. If the capacity were not returned, it would be lost permanently.
        if isinstance(effect, admission.Granted):
            now = clock.now()
            self._router.record_end(effect.upstream.upstream_id, now, None)
            self._admission.record_end(now, effect.ticket, 0.0, False)

    def _notify(self, effect: admission.Effect) -> None:
        ready = self._events_by_number.get(effect.ticket.number)
        if ready is not None and not ready.ready():
            ready.send(effect)

    def _schedule_when_queued(self) -> None:
        self._queued.wait()
        clock.sleep(QUEUE_PASS_SECONDS)
        if self._admission.n_waiting:
            self._schedule_waiting()
        else:
            # Sleep until a call waits: an idle gateway has nothing to do.
            self._queued = eventlet.event.Event()

    def _schedule_waiting(self) -> None:
        for effect in self._admission.schedule_waiting(clock.now(), self._assign):
            self._notify(effect)

    def _assign(
        self, ticket: queues.Ticket
    ) -> upstream_model.Upstream | routing.Unavailable:
        now = clock.now()
        self._refresh(now)
        eligible = self._eligible_by_need.get(ticket.need)
        if eligible is None:
            eligible = [
                upstream
                for upstream in self._upstreams_by_id.values()
                if routing.is_eligible(upstream, ticket.need)
            ]
            self._eligible_by_need[ticket.need] = eligible
        holders: frozenset[str] = frozenset()
        if ticket.prefix:
            holders = self._registry.prefix_holders(ticket.prefix)
        chosen = self._router.choose(
            eligible, now, self._n_gateways, holders, ticket.need.queue_depth
        )
        if not isinstance(chosen, routing.Unavailable):
            self._router.record_start(chosen.upstream_id, now)
        return chosen

    def _refresh(self, now: float) -> None:
        latest = self._registry.upstreams_by_id()
        if latest is not self._upstreams_by_id:
            self._upstreams_by_id = latest
            self._eligible_by_need.clear()
            self._router.keep_only(frozenset(latest))
        if now >= self._counted_at + _COUNT_SECONDS:
            self._counted_at = now
            self._n_gateways = max(1, len(self._bundles.gateways_by_id()))


def _relay_tokens(
    events: Generator[model.Tokens | model.Finished, None, None],
    progress: recovery.Progress,
) -> Generator[model.Tokens, None, model.Finished]:
    """Yield the tokens of an attempt, and return how it finished."""
    with contextlib.closing(events):
        for event in events:
            if isinstance(event, model.Finished):
                return event
            progress.record_event(event)
            yield event
    raise AssertionError("expected `Finished` as the attempt's last event, got none")


def _give_up(
    progress: recovery.Progress, failed: model.Failed
) -> result.Result[model.ApplicationAnswer, model.Failed]:
    # The service's own complete answer that it failed is forwarded if there is no
    # better one.
    if progress.answer is not None:
        return result.Ok(progress.answer)
    return result.Err(failed)


def _upstream_of(effect: admission.Effect) -> upstream_model.Upstream:
    if isinstance(effect, admission.Refused):
        raise RefusedError(effect.reason, effect.retry_after_seconds)
    return effect.upstream


def _refused(error: RefusedError, progress: recovery.Progress) -> model.Failed:
    if progress.last_failure is not None and error.reason is reasons.Reason.NO_UPSTREAM:
        # There is no other upstream to try. The failure of the last one is a more
        # useful reason than that.
        return progress.last_failure
    return model.Failed(
        error.reason,
        progress.may_have_run,
        retry_after_seconds=error.retry_after_seconds,
    )
