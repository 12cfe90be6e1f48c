"""The first moments of a process: who waits, who is refused, and what signals do."""

import os
import pathlib
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

import eventlet
from nose2 import tools

from bilberrydrum import clock
from bilberrydrum.fleet import policy
from bilberrydrum.nodes import gateway, options
from bilberrydrum.relay import model as relay_model
from tests import helpers
from tests.fakes import node_protocol

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_SECONDS = 20.0
SETTINGS = """
node_name = "frontend-a-1"
role = "gateway"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "a"
internal_ports = [{internal},{last}]
seeds = ["127.0.0.1:1"]
heartbeat_ms = 1200
[listen]
frontend = "127.0.0.1:{frontend}"
ready = "127.0.0.1:{ready}"
[limits]
max_fds = 1000
[fault_tolerance]
machines = 1
[bounds]
retention_s = 120
fencing_enforced = true
lease_ms = 3000
grace_s = 8
"""


class Process(unittest.TestCase):
    """A real gateway that reaches nobody."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.port = helpers.free_port()
        internal = helpers.free_port()
        text = SETTINGS.format(
            frontend=self.port,
            ready=helpers.free_port(),
            internal=internal,
            last=internal + 15,
        )
        path = pathlib.Path(folder.name) / "boot.toml"
        path.write_text(text)
        environment = {**os.environ, "BILBERRYDRUM_NODE_FILE": str(path)}
        command = [sys.executable, "-W", "ignore", str(ROOT / "platform" / "launch.py")]
        self.process = subprocess.Popen(
            command, env=environment, stdout=subprocess.PIPE, cwd=ROOT
        )
        self.addCleanup(self.end)

    def end(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()

    def connect(self):
        deadline = time.monotonic() + START_SECONDS
        while True:
            try:
                return socket.create_connection(("127.0.0.1", self.port), timeout=5.0)
            except OSError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.005)

    def has_output(self, seconds):
        return bool(select.select([self.process.stdout], [], [], seconds)[0])

    def test_client_waits_while_the_process_is_made(self):
        """A gateway was killed and starts again; a client comes while it imports.

        Refused there, the client would have used up one of its tries. It is taken
        before the process is whole, and gets an answer once it is.
        """
        connection = self.connect()
        self.addCleanup(connection.close)
        self.assertFalse(self.has_output(0.0))
        head = b"GET /x HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 400\r\n\r\n"
        connection.sendall(head)
        connection.settimeout(START_SECONDS)
        self.assertTrue(connection.recv(100).startswith(b"HTTP/1.1 503"))

    def test_hangup_before_there_is_a_handler(self):
        """Settings change while a process starts, and a signal tells it so."""
        deadline = time.monotonic() + START_SECONDS
        # The interpreter itself needs some hundredths of a second.
        time.sleep(0.1)
        while not self.has_output(0.02) and time.monotonic() < deadline:
            self.process.send_signal(signal.SIGHUP)
        self.assertTrue(self.has_output(0.0))
        self.assertIsNone(self.process.poll())


ROUTE = policy.Route(
    "r", "h", "/x/", policy.RouteKind.IDEMPOTENT, (policy.Share("s", 1.0),)
)


class FirstPolicy(unittest.TestCase):
    """All processes start together; look-ups come before the first policy does."""

    def setUp(self):
        given = options.NodeOptions(
            options.Role.GATEWAY, "n", "z", "127.0.0.1:1", "127.0.0.1:2", ()
        )
        self.gateway = gateway.Gateway(given, node_protocol.PlainProtocol())

    def put_policy(self):
        view = self.gateway.view
        view.routes = policy.RouteTable(policy.Policy(1, (ROUTE,)))
        view._policy_index = 1
        for callback in view._watchers:
            callback()

    def ask(self, patience):
        began = clock.now()
        found = self.gateway.find_route("r1", "h", "/x/y", patience)
        return found, clock.now() - began

    def test_policy_comes(self):
        """Refused, those that come with their last try would be lost."""
        eventlet.spawn_after(0.05, self.put_policy)
        found, seconds = self.ask(0.5)
        self.assertEqual(found, ROUTE)
        self.assertLess(seconds, 0.3)

    @tools.params(
        ("short of time", 0.05, 0.0, 0.3),
        ("says nothing", 0.0, 0.0, 0.05),
        ("not a young process", 5.0, 10.0, 0.05),
    )
    def test_no_policy_comes(self, name, patience, age, most):
        self.gateway._made_at -= age
        found, seconds = self.ask(patience)
        self.assertIsInstance(found, relay_model.Refused, name)
        self.assertFalse(found.may_have_run)
        self.assertLess(seconds, most, name)
