"""Test support: a relay with scripted upstreams, and scripts of their answers."""

import random
import unittest

import eventlet

from bilberrydrum import clock, quarantine, upstream_protocol
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.fleet import policy
from bilberrydrum.relay import balancing, crash_watch, hedging, model, relay, streams
from bilberrydrum.requests import attempts, connections, watch
from bilberrydrum.requests import model as request_model
from bilberrydrum.upstreams import model as upstream_model
from tests.fakes import scripted

ID = "X-Request-Id"


class Protocol:
    """An `upstream_protocol.UpstreamProtocol` with short header names."""

    request_id_header = ID
    version_field = "version"

    def last_event_number(self, headers):
        return int(headers["Last"]) if "Last" in headers else None

    def relay_headers(self, headers, attempt):
        milliseconds = str(int(attempt.remaining_seconds * 1000))
        if attempt.last_event_number is not None:
            headers = {**headers, "Last": str(attempt.last_event_number)}
        sent = {**headers, ID: attempt.request_id, "X-Only": attempt.announced_id}
        return {**sent, "X-Left": milliseconds}

    def identity_of(self, headers):
        return headers.get("Caller", "")

    def read_head(self, status, headers):
        return upstream_protocol.AnswerHead(
            was_not_run=status == 421 or "Not-Run" in headers,
            is_misdirected=status == 421,
            is_guarantee=status in (408, 421, 429, 503),
            is_genuine="Foreign" not in headers,
        )


class View:
    """Stands in for `fleet.subscriber.Subscriber`, with a fixed registry."""

    def __init__(self, upstreams):
        self.registry = fleet_model.Registry(1, tuple(upstreams))
        self.routes = policy.RouteTable(policy.Policy(1))
        self.crashes = quarantine.CrashHistory()
        self.crashes_index = 0

    def watch(self, callback):
        self.changed = callback


def answer(body=b"ok", status=200, *headers):
    def script(connection, received):
        lines = [f"HTTP/1.1 {status} X", f"{ID}: {received.request_id}", *headers]
        lines.append(f"Content-Length: {len(body)}")
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    return script


def unframed(connection, received):
    head = f"HTTP/1.1 200 X\r\n{ID}: {received.request_id}\r\n\r\n"
    connection.sendall(head.encode() + b"all of it")
    return False


def cut(connection, received):
    head = f"HTTP/1.1 200 X\r\n{ID}: {received.request_id}\r\nContent-Length: 9\r\n\r\n"
    connection.sendall(head.encode() + b"half")
    return False


def close(connection, received):
    return False


def without_id(status, *headers):
    """Return a script that answers with `status` and without the request's id."""

    def script(connection, received):
        lines = [f"HTTP/1.1 {status} X", "Content-Length: 0", *headers]
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")

    return script


def in_turn(*scripts):
    """Return a script that answers each request by the next one of `scripts`."""
    left = list(scripts)

    def script(connection, received):
        return left.pop(0)(connection, received)

    return script


def hang(connection, received):
    eventlet.sleep(5.0)


def answer_with_other_id(connection, received):
    connection.sendall(scripted.answer(received, request_id="other"))


OK = answer()
FULL = answer(b"", 503, "Not-Run: 1")
MISDIRECTED = answer(b"", 421)
FAILED = answer(b"broken", 500)
NOT_GENUINE = answer(b"ok", 200, "Foreign: 1")
IDEMPOTENT = policy.RouteKind.IDEMPOTENT
ONCE = policy.RouteKind.NON_IDEMPOTENT


class RelayCase(unittest.TestCase):
    def relay(self, *scripts):
        self.servers = []
        for script in scripts:
            server = scripted.Scripted(script, kind=upstream_model.KIND_APPLICATION)
            self.addCleanup(server.stop)
            self.servers.append(server)
        # Between idle upstreams the zone decides, so the first one is tried first.
        zones = ["near", *["far"] * (len(scripts) - 1)]
        upstreams = [
            fleet_model.FleetUpstream(f"u{n}", "s", server.address, zones[n], 6)
            for n, server in enumerate(self.servers)
        ]
        self.view = View(upstreams)
        resources = attempts.Resources(
            connections.ConnectionPool(), watch.ClientWatch()
        )
        self.clients = resources.clients
        rng = random.Random(1)
        balancer = balancing.Balancer("near", rng)
        crashes = crash_watch.CrashWatch(self.view, None)
        parts = (Protocol(), self.view, resources, balancer, rng, crashes)
        self.streams = streams.StreamRelay(*parts)
        return relay.Relay(*parts, hedges=hedging.Hedging())

    def handle(
        self,
        relay_,
        kind=IDEMPOTENT,
        seconds=1.0,
        max_attempts=2,
        target=0.05,
        is_client_gone=request_model.never_gone,
    ):
        route = policy.Route(
            "r",
            "h",
            "/",
            kind,
            (policy.Share("s", 1.0),),
            timeout_seconds=seconds,
            target_latency_seconds=target,
            max_attempts=max_attempts,
        )
        inbound = model.Inbound(
            "r1",
            "h",
            "POST",
            "/x?q=1",
            "/x",
            {},
            b"body",
            clock.now() + seconds,
            is_client_gone,
        )
        with eventlet.Timeout(5.0):
            return relay_.handle(inbound, route)

    def handle_stream(
        self, is_resumable, seconds=3.0, headers=None, max_attempts=2, method="POST"
    ):
        """Send a stream through the relay that `relay` has made."""
        route = policy.Route(
            "r",
            "h",
            "/",
            policy.RouteKind.STREAMING,
            (policy.Share("s", 1.0),),
            timeout_seconds=seconds,
            target_latency_seconds=0.05,
            max_attempts=max_attempts,
            is_resumable=is_resumable,
        )
        deadline = clock.now() + seconds
        inbound = model.Inbound(
            "r1", "h", method, "/x", "/x", headers or {}, b"body", deadline
        )
        return self.streams.handle(inbound, route)

    def n_received(self):
        return [len(each.received) for each in self.servers]
