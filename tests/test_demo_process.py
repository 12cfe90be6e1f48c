"""The demo stops the processes that it started, also when it is interrupted."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

from nose2 import tools

from bilberrydrum import runtime

runtime.prepare()

from misc import processes

DEADLINE = 90.0


def pids_with_argument_containing(text):
    """Return the ids of the processes that have an argument containing `text`."""
    pids = []
    for path in pathlib.Path("/proc").glob("[0-9]*/cmdline"):
        try:
            words = path.read_bytes().split(b"\0")
        except OSError:
            # The process exited meanwhile.
            continue
        if any(text.encode() in word for word in words):
            pids.append(int(path.parent.name))
    return pids


class InterruptTest(unittest.TestCase):
    @tools.params(signal.SIGINT, signal.SIGTERM)
    def test_interrupted_demo_leaves_no_process_behind(self, number):
        """Guards against processes that keep running after an interrupted demo.

        The demo gets a signal while its processes start, and a second one while it
        stops them, which must not abort the stopping. Every process has the demo's
        folder in its command line, by which those that are left over are found.
        """
        with tempfile.TemporaryDirectory() as folder:
            run = pathlib.Path(folder) / "run"
            with processes.Processes(pathlib.Path(folder)) as started:
                demo = started.start_module(
                    "demo", "misc.demos.demo_run", "--folder", str(run)
                )

                def are_started():
                    self.assertTrue(demo.is_running(), demo.log_tail())
                    return len(pids_with_argument_containing(str(run))) >= 4

                processes.wait_for(are_started, DEADLINE, "daemons")
                demo.send(number)
                demo.send(number)
                code = demo.popen.wait(DEADLINE)
            self.assertEqual(128 + number, code, demo.log_tail())
            self.assertEqual([], pids_with_argument_containing(str(run)))

    def test_interrupted_between_start_and_entry(self):
        """Guards against losing a process that was started during the signal.

        The signal arrives after a process was started and before it is recorded. If the
        exit were not deferred, the process would keep running, because only recorded
        processes are stopped; one daemon of four was left running that way.
        """
        ending = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
        handlers = {each: signal.getsignal(each) for each in ending}
        start = subprocess.Popen
        spawned = []

        def start_and_interrupt(*arguments, **options):
            spawned.append(start(*arguments, **options))
            os.kill(os.getpid(), signal.SIGTERM)
            return spawned[0]

        try:
            processes.exit_on_signals()
            with (
                tempfile.TemporaryDirectory() as folder,
                mock.patch("subprocess.Popen", start_and_interrupt),
                self.assertRaises(SystemExit),
                processes.Processes(pathlib.Path(folder)) as started,
            ):
                started.start(
                    "one", [sys.executable, "-c", "import time; time.sleep(30)"]
                )
        finally:
            for each, handler in handlers.items():
                signal.signal(each, handler)
        left = spawned[0].poll() is None
        spawned[0].kill()
        spawned[0].wait()
        self.assertFalse(left, "the process is still running")
