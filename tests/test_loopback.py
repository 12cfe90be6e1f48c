"""Test runs on the same machine must not draw the same ports."""

import subprocess
import sys
import unittest

from bilberrydrum import runtime

runtime.prepare()

from misc import loopback, processes

N_PORTS = 60
# The range of ports is so small that two runs without coordination would draw many
# ports twice.
DRAW = f"""
from misc import loopback
loopback.LAST_PORT = loopback.FIRST_PORT + {3 * N_PORTS}
print(*loopback.free_ports({N_PORTS}), flush=True)
input()
"""


class FreePortsTest(unittest.TestCase):
    def test_port_of_a_stopped_process_is_not_drawn_by_another_run(self):
        """A killed gateway restarts on its port while another run is active.

        A run draws its ports in advance, and nothing listens on the port of a process
        that is down. If a second run draws that port in the meantime, the process
        fails at its restart with "zmq.error.ZMQError: Address already in use". Its
        deployment then serves no more requests, and each later test waits until its
        deadline.
        """
        with subprocess.Popen(
            [sys.executable, "-c", DRAW],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=processes.REPOSITORY,
        ) as other:
            held = {int(port) for port in other.stdout.readline().split()}
            last_port, loopback.LAST_PORT = loopback.LAST_PORT, max(held)
            try:
                drawn = set(loopback.free_ports(N_PORTS // 2))
            finally:
                loopback.LAST_PORT = last_port
                other.communicate("\n")
        self.assertEqual(N_PORTS, len(held))
        self.assertEqual(set(), held & drawn)
