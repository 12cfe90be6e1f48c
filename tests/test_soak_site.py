"""The processes of a soak: their start, their logged errors and their networks."""

import json
import pathlib
import sys
import tempfile
import unittest
from unittest import mock

import eventlet
from nose2 import tools

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from bilberrydrum_platform import standins

from misc.soaks import soak_ledger, soak_run, soak_site


class Starting(unittest.TestCase):
    """A process is recorded even if the task that starts it is killed."""

    def test_no_process_is_left_behind(self):
        """Healing kills a fault's task after it has started a process.

        If the process were not recorded, it would keep running and hold its ports, and
        each process started in its place would exit, also after the end of the run.
        """
        with tempfile.TemporaryDirectory() as folder:
            site = soak_site.Site(
                pathlib.Path(folder),
                19,
                soak_site.Sizes(),
                soak_ledger.Ledger(),
                lambda call: True,
            )
            self.addCleanup(site.stop)
            started = []

            def start(name):
                started.append(name)
                eventlet.sleep(0.05)
                site.processes.processes_by_name[name] = Running()

            with mock.patch.object(site, "_start", start):
                fault = eventlet.spawn(site._start_process, "gateway-0")
                eventlet.sleep(0.01)
                fault.kill()
                site._start_process("gateway-0")
        self.assertEqual(started, ["gateway-0"])


class Errors(unittest.TestCase):
    """An exception in a process's log is found, whatever was restarted afterwards."""

    def test_errors(self):
        line = {"message_type": "eliot:traceback", "exception": "E", "reason": "why"}
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "store-1.out")
            complete = json.dumps(line)
            path.write_text(f"not json\n{complete}\n{complete[:-9]}")
            found = list(soak_site.errors(path.parent))
        self.assertEqual(found, [("store-1", "E: why")])


class Leader(unittest.TestCase):
    """Faults of the leader are applied to the store that sent the last order."""

    @tools.params(("", "store-0"), ("127.19.2.5:7304", "store-1"))
    def test_leader(self, holder, expected):
        ledger = soak_ledger.Ledger()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            site = soak_site.Site(path, 19, soak_site.Sizes(), ledger, lambda _: True)
            self.addCleanup(site.stop)
            order = standins.ReceivedOrder("m", 2, holder, 7, 0)
            ledger.record_order("e", order)
            self.assertEqual(site.leader(), expected)


class Running:
    """Stand-in for a running process."""

    def is_running(self):
        return True

    def send(self, number):
        pass

    def thaw(self):
        pass

    @property
    def popen(self):
        return mock.Mock()


class Networks(unittest.TestCase):
    """Concurrent soaks use different loopback networks."""

    def test_network_in_use_is_not_drawn(self):
        """Two concurrent soaks must not use the same loopback network.

        If they do, upstreams of one receive items of the other: seed 202 reported that
        item s31011-batch-3-11 of seed 31011 was scored before its text was complete,
        and its processes exited 418 times.
        """
        # Soaks that run concurrently with this test draw from other numbers.
        numbers = range(18, 20)
        with soak_run.network(numbers) as first:
            with soak_run.network(numbers) as second:
                self.assertEqual({first, second}, set(numbers))
                none_left = self.assertRaises(soak_run.NoNetworkError)
                with none_left, soak_run.network(numbers):
                    pass
            with soak_run.network(numbers) as again:
                self.assertEqual(again, second)
