"""A signal that arrives while a process starts, before its handler is installed."""

import os
import pathlib
import select
import signal
import subprocess
import sys
import tempfile
import time
import unittest

from tests import helpers

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


class EarlySignals(unittest.TestCase):
    """A gateway as a real process, with no other process to connect to."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        internal = helpers.free_port()
        text = SETTINGS.format(
            frontend=helpers.free_port(),
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

    def has_output(self, seconds):
        return bool(select.select([self.process.stdout], [], [], seconds)[0])

    def test_sighup_before_the_handler_is_installed(self):
        """The settings change during the start, which is reported by SIGHUP.

        By default, SIGHUP ends a process that has not installed a handler.
        """
        deadline = time.monotonic() + START_SECONDS
        # Until the interpreter runs the first line, nothing can ignore the signal. That
        # takes some hundredths of a second.
        time.sleep(0.1)
        while not self.has_output(0.02) and time.monotonic() < deadline:
            self.process.send_signal(signal.SIGHUP)
        self.assertTrue(self.has_output(0.0))
        self.assertIsNone(self.process.poll())
