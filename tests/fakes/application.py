"""Common parts of fake plain services: announcement, faults and shutdown."""

import argparse
import os
from typing import Any

from bilberrydrum import runtime

runtime.prepare()

import attrs
import eventlet

from tests.fakes import announcer, faults, gateways, journal, server


class Application:
    """One process of a fake plain service.

    Parameters
    ----------
    name : str
        Name of the application.
    options : argparse.Namespace
        Parsed options of `parser`.
    """

    def __init__(self, name: str, options: argparse.Namespace) -> None:
        self.name = name
        self.options = options
        self.faults = faults.ApplicationFaults()
        self.journal = journal.Journal(options.journal)
        self.server = server.Server()
        self.server.add("POST", "/control", self._control)
        self._n_running = 0
        client = gateways.GatewayClient(options.gateway, options.token_file)
        self._announcer = announcer.Announcer(
            options.id, client, self._announcement, self._renewal
        )

    def add(self, method: str, pattern: str, handler: server.Handler) -> None:
        """Serve a method and a path, with the faults that are enabled."""

        def serve(request: server.Request) -> server.Answer:
            self._n_running += 1
            try:
                return self._with_faults(handler, request)
            finally:
                self._n_running -= 1

        self.server.add(method, pattern, serve)

    def run(self) -> None:
        """Serve until SIGTERM."""
        server.on_terminate(self._stop)
        eventlet.spawn(self._announcer.run)
        self.server.serve(self.options.port)

    def _with_faults(
        self, handler: server.Handler, request: server.Request
    ) -> server.Answer:
        answer = handler(request)
        eventlet.sleep(self.options.service_seconds)
        if request.method != "GET":
            eventlet.sleep(self.faults.slow_changes_seconds)
        return answer

    def _control(self, request: server.Request) -> server.Answer:
        for name, value in request.json().items():
            if not hasattr(self.faults, name):
                return server.Answer(400, {"error": f"unknown fault: {name}"})
            setattr(self.faults, name, value)
        return server.Answer(value=attrs.asdict(self.faults))

    def _announcement(self) -> dict[str, Any]:
        return {
            "kind": "application",
            "application": self.name,
            "address": f"127.0.0.1:{self.options.port}",
            "availability_zone": self.options.zone,
            "max_concurrency": self.options.max_concurrency,
            **self._renewal(),
        }

    def _renewal(self) -> dict[str, Any]:
        return {"load": {"n_running": self._n_running, "n_waiting": 0}}

    def _stop(self) -> None:
        """Send a leave, wait up to `leave_seconds` for calls in progress, and exit."""
        self._announcer.leave()
        with eventlet.Timeout(self.options.leave_seconds, False):
            while self._n_running:
                eventlet.sleep(0.05)
        os._exit(0)


def parser(description: str | None) -> argparse.ArgumentParser:
    """Return a parser with the command-line options of an application."""
    arguments = argparse.ArgumentParser(description=description)
    announcer.add_options(arguments)
    arguments.add_argument("--max-concurrency", type=int, default=8)
    arguments.add_argument("--service-seconds", type=float, default=0.005)
    return arguments
