"""The processes of a soak: how they start, their errors and their networks."""

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
    """A process takes a while to start, and the task that starts it is ended."""

    def test_no_process_is_left_behind(self):
        """Healing ends the task of a fault between a start and its note.

        The process runs on and nobody knows of it: whoever starts the next one finds
        its ports taken, until the end of the run and after it.
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
    """An error that a process met is found, also if it was replaced at once."""

    def test_errors(self):
        line = {"message_type": "eliot:traceback", "exception": "E", "reason": "why"}
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "store-1.out")
            whole = json.dumps(line)
            path.write_text(f"not json\n{whole}\n{whole[:-9]}")
            found = list(soak_site.errors(path.parent))
        self.assertEqual(found, [("store-1", "E: why")])


class Leader(unittest.TestCase):
    """Faults of the leader go to the store that sent the last order."""

    @tools.params(("", "store-0"), ("127.19.2.5:7304", "store-1"))
    def test_leader(self, holder, expected):
        ledger = soak_ledger.Ledger()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            site = soak_site.Site(path, 19, soak_site.Sizes(), ledger, lambda _: True)
            self.addCleanup(site.stop)
            order = standins.ReceivedOrder("m", 2, holder, 7, 0)
            ledger.ordered("e", order)
            self.assertEqual(site.leader(), expected)


class Running:
    """Stands for a process that has not ended."""

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
    """Soaks that run side by side have loopback networks of their own."""

    def test_network_in_use_is_not_drawn(self):
        """Two soaks drew the same network: each one's upstreams got the other's items.

        The lines of one named items of the other ("s31011-batch-3-11 was to be scored
        before its text was whole", in seed 202), and its processes ended 418 times.
        """
        # Soaks that run beside this test draw none of these.
        numbers = range(18, 20)
        with soak_run.network(numbers) as first:
            with soak_run.network(numbers) as second:
                self.assertEqual({first, second}, set(numbers))
                none_left = self.assertRaises(soak_run.NoNetworkError)
                with none_left, soak_run.network(numbers):
                    pass
            with soak_run.network(numbers) as again:
                self.assertEqual(again, second)
