"""The life of a process of one role: start, signals, graceful stop."""

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

from bilberrydrum import clock
from bilberrydrum.http import edge, server
from bilberrydrum.nodes import options

_POLL_SECONDS: Final = 0.02
_WATCH_SECONDS: Final = 0.5
EXIT_FAILED: Final = 1
# How often a change of the settings file without a signal is looked for, in seconds.
SETTINGS_SECONDS: Final = 2.0
# Two questions of the balancer without a good answer, one a second, take a process out.
BALANCER_SECONDS: Final = 2.3
# Share of the time for stopping that requests under way may use; the rest is for
# handing leaderships over and closing.
_DRAIN_SHARE: Final = 0.8


class Node(Protocol):
    """What a process runs."""

    def start(self) -> None:
        """Start all tasks."""

    def stop(self) -> None:
        """End all tasks."""

    def learn_seeds(self, addresses: tuple[str, ...]) -> None:
        """Take over control addresses from changed settings."""

    def failure(self) -> str:
        """Return why the node cannot go on; empty: it can."""


class Process:
    """One node, its HTTP servers, and the signals."""

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
            Returns what differs once the settings have changed; they may change
            without a signal.
        stamp_read : object
            What it returned before the options were read.
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
            server.HttpServer(address, each, node_options.limits)
            for address, each in edges_by_address.items()
        ]
        self._stop_asked = eventlet.event.Event()

    def run(self) -> None:
        """Start, and return once a signal has stopped the process gracefully."""
        signal.signal(signal.SIGTERM, self._on_terminate)
        signal.signal(signal.SIGINT, self._on_terminate)
        signal.signal(signal.SIGHUP, self._on_hangup)
        self._node.start()
        for each in self._servers:
            each.start()
        # What was made until now stays for good; walking through it in each full
        # collection would hold up all requests meanwhile.
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
        self._stop_asked.wait()
        watcher.kill()
        self._drain()
        self._node.stop()
        eliot.log_message(message_type="process:stopped", name=self._options.name)
        self._flush_log()

    def _watch(self) -> None:
        """End the process when its node cannot go on; read changed settings.

        A replica that has stopped would leave the process there, alive and without
        use. Started again, it opens its folder anew or joins as a new replica.
        """
        look_at = clock.now() + SETTINGS_SECONDS
        while True:
            clock.sleep(_WATCH_SECONDS)
            failure = self._node.failure()
            if failure:
                eliot.log_message(message_type="process:failed", detail=failure)
                self._flush_log()
                os._exit(EXIT_FAILED)
            if clock.now() >= look_at:
                look_at = clock.now() + SETTINGS_SECONDS
                if self._settings_stamp() != self._stamp_read:
                    self._reload()

    def _on_terminate(self, number: int, frame: types.FrameType | None) -> None:
        # A handler runs between two steps of any task, so it only schedules.
        _schedule(self._ask_to_stop)

    def _on_hangup(self, number: int, frame: types.FrameType | None) -> None:
        _schedule(self._reload)

    def _ask_to_stop(self) -> None:
        if not self._stop_asked.ready():
            self._stop_asked.send(None)

    def _reload(self) -> None:
        stamp = self._settings_stamp()
        try:
            read = self._read_options()
        except (OSError, ValueError) as error:
            # The file may be in the middle of being written; what was read before
            # stands.
            eliot.log_message(message_type="process:reload-failed", detail=repr(error))
            return
        self._stamp_read = stamp
        self._node.learn_seeds(read.seed_addresses)
        eliot.log_message(
            message_type="process:reloaded", seed_addresses=read.seed_addresses
        )

    def _drain(self) -> None:
        """Let no new connection in, and answer what has been read."""
        eliot.log_message(message_type="process:draining", name=self._options.name)
        self._on_draining()
        began = clock.now()
        for each in self._edges_by_address.values():
            each.is_draining = True
        if self._options.ready_address:
            # Until the balancer has noticed, it sends new clients here; closed at
            # once, the process would turn them away without an answer.
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
