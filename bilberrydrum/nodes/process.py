"""Process lifecycle: start, signal handling, reload of settings, graceful stop."""

import gc
import os
import signal
import types
from collections.abc import Callable
from typing import Any, Final, Protocol

import eliot
import eventlet
import eventlet.event
import eventlet.hubs

from bilberrydrum import clock, tasks
from bilberrydrum.http import edge, server
from bilberrydrum.nodes import options

_POLL_SECONDS: Final = 0.02
_WATCH_SECONDS: Final = 0.5
EXIT_FAILED: Final = 1
# How often the settings file is checked for changes without a signal, in seconds.
SETTINGS_SECONDS: Final = 2.0
# How long the balancer may go on sending new clients, in seconds. It removes a process
# after two failed readiness checks, one a second.
BALANCER_SECONDS: Final = 2.3
# Share of the shutdown time in which running requests may complete. The rest is for
# transferring leaderships and closing connections.
_DRAIN_SHARE: Final = 0.8


class Node(Protocol):
    """The parts that a process runs."""

    def start(self) -> None:
        """Start all tasks."""

    def stop(self) -> None:
        """Stop all tasks."""

    def learn_seeds(self, addresses: tuple[str, ...]) -> None:
        """Add control addresses from changed settings."""

    def failure(self) -> str:
        """Return why the process must exit, or an empty string."""


class Process:
    """Runs one node and its HTTP servers, and handles signals."""

    def __init__(
        self,
        node_options: options.NodeOptions,
        node: Node,
        edges_by_address: dict[str, edge.Edge],
        read_options: Callable[[], options.NodeOptions],
        settings_stamp: Callable[[], object] = lambda: None,
        stamp_read: object = None,
        on_draining: Callable[[], None] = lambda: None,
        flush_log: Callable[[], None] = lambda: None,
    ) -> None:
        """Make the process; nothing runs before `run`.

        Parameters
        ----------
        settings_stamp : callable
            Returns a value that differs once the settings have changed. It detects
            changes without a signal.
        stamp_read : object
            The value that it returned before the options were read.
        """
        self._options = node_options
        self._node = node
        self._edges_by_address = edges_by_address
        self._read_options = read_options
        self._settings_stamp = settings_stamp
        self._stamp_read = stamp_read
        self._on_draining = on_draining
        self._flush_log = flush_log
        self._servers = [
            server.HttpServer(address, each, each.own_limits)
            for address, each in edges_by_address.items()
        ]
        self._stop_requested = eventlet.event.Event()
        # When the settings are checked next, in seconds of `clock.now`.
        self._check_settings_at = 0.0

    def run(self) -> None:
        """Start the node, and return after a signal has stopped it gracefully."""
        signal.signal(signal.SIGTERM, self._on_terminate)
        signal.signal(signal.SIGINT, self._on_terminate)
        signal.signal(signal.SIGHUP, self._on_hangup)
        self._node.start()
        for each in self._servers:
            each.start()
        # The objects created until now live as long as the process. If the garbage
        # collector traversed them in each full collection, it would delay all requests.
        gc.freeze()
        gc.enable()
        eliot.log_message(
            message_type="process:started",
            name=self._options.name,
            role=self._options.role.value,
            availability_zone=self._options.availability_zone,
            is_first_start=self._options.is_first_start,
        )
        watcher = eventlet.spawn(self._watch)
        self._stop_requested.wait()
        watcher.kill()
        self._drain()
        self._node.stop()
        eliot.log_message(message_type="process:stopped", name=self._options.name)
        self._flush_log()

    def _watch(self) -> None:
        """Exit when the node has failed; reload the settings when they change.

        If its replica has stopped, the process would keep running to no use. After a
        restart the replica reopens its data folder or joins as a new replica.
        """
        self._check_settings_at = clock.now() + SETTINGS_SECONDS
        tasks.run_forever("process-watch", self._watch_once)

    def _watch_once(self) -> None:
        clock.sleep(_WATCH_SECONDS)
        failure = self._node.failure()
        if failure:
            eliot.log_message(message_type="process:failed", detail=failure)
            self._flush_log()
            os._exit(EXIT_FAILED)
        if clock.now() >= self._check_settings_at:
            self._check_settings_at = clock.now() + SETTINGS_SECONDS
            if self._settings_stamp() != self._stamp_read:
                self._reload()

    def _on_terminate(self, number: int, frame: types.FrameType | None) -> None:
        # A signal handler can interrupt any task between two instructions, so it only
        # schedules the work.
        _schedule(self._request_stop)

    def _on_hangup(self, number: int, frame: types.FrameType | None) -> None:
        _schedule(self._reload_on_signal)

    def _request_stop(self) -> None:
        if not self._stop_requested.ready():
            self._stop_requested.send(None)

    def _reload_on_signal(self) -> None:
        with tasks.errors_recorded("settings-reload"):
            self._reload()

    def _reload(self) -> None:
        stamp = self._settings_stamp()
        try:
            read = self._read_options()
        except (OSError, ValueError) as error:
            # The file may be partly written; the options read before stay in force.
            eliot.log_message(message_type="process:reload-failed", detail=repr(error))
            return
        self._stamp_read = stamp
        self._node.learn_seeds(read.seed_addresses)
        eliot.log_message(
            message_type="process:reloaded", seed_addresses=read.seed_addresses
        )

    def _drain(self) -> None:
        """Stop accepting connections, and let running requests complete."""
        eliot.log_message(message_type="process:draining", name=self._options.name)
        self._on_draining()
        began = clock.now()
        for each in self._edges_by_address.values():
            each.is_draining = True
        if self._options.ready_address:
            # The balancer sends new clients here until its readiness checks fail. If
            # the server stopped accepting at once, they would get no answer.
            clock.sleep(BALANCER_SECONDS)
        for server_ in self._servers:
            server_.stop_accepting()
        deadline = began + self._options.shutdown_seconds * _DRAIN_SHARE
        while clock.now() < deadline and self._n_in_flight():
            clock.sleep(_POLL_SECONDS)

    def _n_in_flight(self) -> int:
        return sum(each.n_in_flight for each in self._edges_by_address.values())


def _schedule(call: Callable[[], Any]) -> None:
    eventlet.hubs.get_hub().schedule_call_global(0, call)
