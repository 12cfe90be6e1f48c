"""The daemon: its components, their start order, and the graceful shutdown.

All components are created and the HTTP server listens before the process registers with
the state group. An operator can therefore inspect and repair a group without a quorum.
A gateway refuses work until it holds a bundle lease.
"""

import gc
import signal
import types
from typing import Any, Final

import attrs
import eliot
import eventlet
import eventlet.event

from bilberrydrum import (
    clock,
    options,
    reasons,
    registrations,  # noqa: F401, imported for its side effects
    transport,
)
from bilberrydrum.bundles import grants, lease
from bilberrydrum.http import (
    bundles,
    callers,
    crashes,
    edge,
    monitoring,
    server,
    state_operators,
    trainers,
    upstreams,
    weights,
)
from bilberrydrum.requests import claims, crash_record, dispatch
from bilberrydrum.samples import service
from bilberrydrum.state import controller, processes, remote, replica
from bilberrydrum.upstreams import registry
from bilberrydrum.weights import rollout

_DRAIN_POLL_SECONDS: Final = 0.05


@attrs.frozen
class Secrets:
    """The secrets in the files that the options name."""

    # Keys for the connections between processes; without them, nothing is encrypted.
    curve_keys: transport.CurveKeys | None = None
    # Bearer tokens by guard of the `edge`; routes of a guard without one are open.
    tokens_by_guard: dict[str, bytes] = attrs.field(factory=dict)


class Daemon:
    """All components of one process, and their tasks."""

    def __init__(self, options_: options.Options, secrets: Secrets) -> None:
        self.options = options_
        self.edge = edge.Edge(options_.limits, secrets.tokens_by_guard)
        self.transport = transport.Transport(
            options_.process_id,
            options_.group,
            options_.peer_address,
            secrets.curve_keys,
        )
        self.replica: replica.Replica | None = None
        self.grants: grants.LeaseGrants | None = None
        if options.ROLE_STATE in options_.roles:
            self.replica = replica.Replica(options_, self.transport)
            self.grants = grants.LeaseGrants(options_, self.transport, self.replica)
        self.state = remote.RemoteStateClient(options_, self.transport)
        self.is_gateway = options.ROLE_GATEWAY in options_.roles
        self.lease = lease.GatewayLease(options_, self.transport, self.state)
        self.registry = registry.UpstreamRegistry(options_, self.transport, self.lease)
        self.dispatcher = dispatch.RequestDispatcher(
            options_,
            self.lease,
            self.registry,
            crash_record.GroupRecord(self.state, self.lease),
        )
        self.claims = claims.Claims(options_, self.state)
        self.samples = service.SampleService(
            options_,
            self.transport,
            self.state,
            self.lease,
            self.registry,
            self.dispatcher,
        )
        self.controller = controller.Controller(options_, self.state)
        self.rollout = rollout.WeightRollout(
            options_, self.state, self.lease, self.registry, self.controller
        )
        self.http = server.HttpServer(
            options_.gateway.http_address, self.edge, options_.limits
        )
        self._is_registered = False
        self._stop_requested = eventlet.event.Event()
        self._n_signals = 0
        self._start_failed = False
        self._add_routes()

    def _add_routes(self) -> None:
        monitoring.add_routes(self.edge, self.find_unready)
        state_operators.add_routes(self.edge, self.options, self.state, self.replica)
        if not self.is_gateway:
            return
        bundles.add_routes(self.edge, self.options, self.state, self.lease)
        callers.add_routes(
            self.edge, self.options, self.lease, self.dispatcher, self.claims
        )
        trainers.add_routes(self.edge, self.samples)
        upstreams.add_routes(self.edge, self.options, self.registry)
        crashes.add_routes(self.edge, self.dispatcher.crashes)
        weights.add_routes(
            self.edge,
            self.options,
            self.state,
            self.lease,
            self.registry,
            self.rollout,
        )

    def find_unready(self) -> list[str]:
        """Return why this process should get no work; empty if it is ready."""
        unready = []
        if self.edge.is_draining:
            unready.append(reasons.Reason.SHUTTING_DOWN.value)
        if not self._is_registered:
            unready.append(reasons.Reason.STATE_UNAVAILABLE.value)
        elif self.is_gateway:
            current = self.lease.current()
            if current.is_err():
                unready.append(current.unwrap_err().value)
        return unready

    def _gateway_tasks(self) -> list[Any]:
        if not self.is_gateway:
            return []
        return [
            self.lease,
            self.registry,
            self.dispatcher,
            self.claims,
            self.samples,
            self.controller,
            self.rollout,
        ]

    def start(self) -> None:
        """Start all tasks, and return once the process is registered."""
        self.transport.start()
        if self.replica is not None and self.grants is not None:
            self.replica.start()
            self.grants.start()
        self.state.start()
        self.http.start()
        self.transport.incarnation = processes.register(self.options, self.state)
        self._is_registered = True
        for task in self._gateway_tasks():
            task.start()
        # The objects created until here exist until the process ends. If they were not
        # frozen, each full garbage collection would traverse them and block all
        # requests for that time.
        gc.collect()
        gc.freeze()
        eliot.log_message(
            message_type="daemon:started",
            process_id=self.options.process_id,
            incarnation=self.transport.incarnation,
        )

    def run(self) -> bool:
        """Start, wait for a signal, and shut down gracefully.

        Returns
        -------
        bool
            True if a signal stopped the process; False if the start failed.
        """
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        starter = eventlet.spawn(self.start)
        starter.link(self._on_started)
        self._stop_requested.wait()
        starter.kill()
        if self._start_failed:
            self.stop()
            return False
        self._drain()
        self.stop()
        return True

    def _on_started(self, starter: Any) -> None:
        try:
            starter.wait()
        except Exception:
            # If a process went on after a failed start, only some tasks would run.
            eliot.write_traceback()
            self._start_failed = True
            self._request_stop()

    def _on_signal(self, number: int, frame: types.FrameType | None) -> None:
        # A signal handler interrupts whichever task runs, so it only schedules.
        eventlet.hubs.get_hub().schedule_call_global(0, self._request_stop)

    def _request_stop(self) -> None:
        self._n_signals += 1
        if not self._stop_requested.ready():
            self._stop_requested.send(None)

    def _drain(self) -> None:
        """Fail the health check for a while, then wait for requests in flight.

        A load balancer thereby stops sending requests before the listening socket is
        closed. After a second signal nothing is waited for.
        """
        limits = self.options.shutdown
        eliot.log_message(message_type="daemon:draining")
        self.edge.is_draining = True
        began = clock.now()
        while clock.now() < began + limits.balancer_seconds and self._n_signals < 2:
            clock.sleep(_DRAIN_POLL_SECONDS)
        self.http.stop_accepting()
        while clock.now() < began + limits.limit_seconds and self._n_signals < 2:
            if self.edge.n_in_flight == 0:
                break
            clock.sleep(_DRAIN_POLL_SECONDS)

    def stop(self) -> None:
        """Stop all tasks and release the leases that they hold."""
        for task in reversed(self._gateway_tasks()):
            task.stop()
        self.state.stop()
        if self.replica is not None and self.grants is not None:
            self.grants.stop()
            self.replica.stop()
        self.transport.stop()
        eliot.log_message(
            message_type="daemon:stopped", n_in_flight=self.edge.n_in_flight
        )
