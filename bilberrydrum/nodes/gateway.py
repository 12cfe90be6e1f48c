"""The gateway: serves clients and has no persistent state.

All gateways may crash at once, as all state that must survive them is kept by the
control group and the stores.
"""

import random
from typing import Final

import eliot

from bilberrydrum import clock, counters, memory, reasons, upstream_protocol
from bilberrydrum.fleet import messages, policy, subscriber
from bilberrydrum.nodes import links, options
from bilberrydrum.relay import (
    balancing,
    callers,
    crash_watch,
    hedging,
    relay,
    shared_health,
    streams,
)
from bilberrydrum.relay import model as relay_model
from bilberrydrum.requests import answer_memory, attempts, connections, watch
from bilberrydrum.usage import meter as usage_meter

# When clients should retry at a gateway without a policy, in seconds. If all processes
# start together, gateways have a policy after about 1.5 s.
NO_POLICY_RETRY_SECONDS: Final = 0.5
# Timeout in seconds for a stopping gateway to send its last usage counts. It suffices
# for calls to the leader and one other control process, and the gateway still stops
# within the time that it has.
LAST_RENEWAL_SECONDS: Final = 0.8


class Gateway:
    """The parts of one gateway."""

    def __init__(
        self,
        node: options.NodeOptions,
        protocol: upstream_protocol.UpstreamProtocol,
        budget: memory.Budget | None = None,
    ) -> None:
        """Make the parts; nothing runs before `start`.

        `budget` is shared with the clients of the process; None: there are none.
        """
        self._control = links.ControlLink(node)
        self._stores = links.StoreLink(node)
        self._meter = (
            usage_meter.Meter(node.usage.window_seconds) if node.usage else None
        )
        self._shared = shared_health.SharedHealth(
            balancing.FIRST_BACKOFF_SECONDS, balancing.MAX_BACKOFF_SECONDS
        )
        self.view = subscriber.Subscriber(
            self._control.carrier,
            self._control.calls,
            self._make_request,
            node.revocation_seconds,
            self._on_answer,
        )
        self.view.watch(self._on_registry_change)
        self.store_calls = self._stores.calls
        self._clients = watch.ClientWatch()
        self._pool = connections.ConnectionPool()
        resources = attempts.Resources(
            self._pool,
            self._clients,
            answer_memory.AnswerMemory(node.answer_memory_bytes, budget),
        )
        rng = random.Random()
        self.callers = callers.Callers(self.view, rng)
        balancer = balancing.Balancer(node.availability_zone, rng, self._shared)
        self._crashes = crash_watch.CrashWatch(self.view, self._control.calls)
        parts = (
            protocol,
            self.view,
            resources,
            balancer,
            rng,
            self._crashes,
            self._meter,
        )
        self.relay = relay.Relay(*parts, hedging.Hedging())
        self.streams = streams.StreamRelay(*parts)
        self.is_draining = False

    def _make_request(self) -> messages.Subscribe:
        snapshot = self._meter.snapshot() if self._meter is not None else None
        now = clock.now()
        return messages.Subscribe(
            usage=snapshot,
            observations=self._shared.due(now),
            observations_index=self._shared.known_index(now),
        )

    def _on_answer(self, feed: messages.Feed, sent_at: float) -> None:
        if self._meter is not None:
            self._meter.update(
                feed.unix_time, sent_at, clock.now(), feed.usage_closed_before
            )
        counters.UPSTREAM_OBSERVATIONS.labels("sent").inc(self._shared.confirm_sent())
        if feed.observations:
            self._apply_observations(feed, sent_at)

    def _apply_observations(self, feed: messages.Feed, sent_at: float) -> None:
        applied = self._shared.apply(
            feed.observations, feed.observations_index, sent_at, clock.now()
        )
        counters.UPSTREAM_OBSERVATIONS.labels("applied").inc(applied.n_applied)
        counters.UPSTREAM_OBSERVATIONS.labels("outdated").inc(applied.n_outdated)
        for each in applied.changes:
            _log_avoidance(each)

    def _on_registry_change(self) -> None:
        stores = self.view.registry.stores
        self.store_calls.learn([each.address for each in stores])

    def is_ready(self) -> bool:
        """Return whether the balancer should send new clients here.

        False while keys cannot be checked, as another gateway may be able to serve the
        clients at once.
        """
        if not self.view.has_policy or self.is_draining:
            return False
        return self.view.routes.accounts is None or self.view.is_policy_confirmed()

    def find_route(
        self, request_id: str, host: str, path: str
    ) -> policy.Route | relay_model.Refused:
        """Return the route of a request, or its refusal."""
        if not self.view.has_policy:
            reason = reasons.Reason.NO_BUNDLE
            refused = relay_model.Refused(reason, False, NO_POLICY_RETRY_SECONDS)
        else:
            route = self.view.routes.find(host, path)
            if route is not None:
                return route
            refused = relay_model.Refused(reasons.Reason.NOT_FOUND, False)
        counters.refused(refused.reason)
        eliot.log_message(
            message_type="relay:refused",
            request_id=request_id,
            reason=refused.reason.value,
            host=host,
            path=path,
            policy_version=self.view.routes.policy.version,
        )
        return refused

    def begin_draining(self) -> None:
        """Report not ready, as the process is going to stop."""
        self.is_draining = True

    def start(self) -> None:
        """Start all tasks."""
        self._control.carrier.start()
        self._stores.carrier.start()
        self._clients.start()
        self.view.start()
        self._crashes.start()

    def failure(self) -> str:
        """Return an empty string: a gateway never has to exit by itself."""
        return ""

    def learn_seeds(self, addresses: tuple[str, ...]) -> None:
        """Add control addresses from changed settings."""
        self._control.calls.learn(addresses)

    def stop(self) -> None:
        """Stop all tasks."""
        self._crashes.stop()
        self.view.stop()
        self._send_last_counts()
        self._clients.stop()
        self._pool.close()
        self._control.carrier.stop()
        self._stores.carrier.stop()

    def _send_last_counts(self) -> None:
        """Send the usage counted since the last renewal; only this process has it."""
        if self._meter is not None:
            self._meter.is_stopping = True
            self.view.renew(LAST_RENEWAL_SECONDS)


def _log_avoidance(change: shared_health.Avoidance) -> None:
    if change.failure is None:
        eliot.log_message(
            message_type="relay:upstream-answers", upstream_id=change.upstream_id
        )
        return
    eliot.log_message(
        message_type="relay:upstream-avoided",
        upstream_id=change.upstream_id,
        n_gateways=change.failure.n_gateways,
        seconds=round(change.failure.until - clock.now(), 3),
    )
