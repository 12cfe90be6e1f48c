"""Two runs on one machine never hold the same port."""

import subprocess
import sys
import unittest

from bilberrydrum import runtime

runtime.prepare()

from misc import loopback, processes

N_PORTS = 60
# Few enough that two runs which know nothing of each other draw many ports twice.
DRAW = f"""
from misc import loopback
loopback.LAST_PORT = loopback.FIRST_PORT + {3 * N_PORTS}
print(*loopback.free_ports({N_PORTS}), flush=True)
input()
"""


class FreePortsTest(unittest.TestCase):
    def test_port_of_a_process_that_is_down_is_not_given_to_another_run(self):
        """A killed gateway comes back on its port, whatever ran beside it meanwhile.

        A run draws its ports, and listens on them only once its processes run; while
        one of these is down, nothing listens on its port. A second run drew that port
        in the meantime, and the process ended at its start: "zmq.error.ZMQError:
        Address already in use". Its deployment was not served from then on, and each
        later test waited for its whole deadline.
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
