"""The tests' own tools."""

import pathlib
import unittest

from tests import helpers


class FreePorts(unittest.TestCase):
    def test_not_one_of_outgoing_connections(self):
        """A test's process could not listen at the port that was found free for it.

        "Address already in use" on port 60592: the port was one of those that the
        system gives to outgoing connections, and one of another test got it first.
        """
        text = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
        lowest, highest = (int(each) for each in text.split())
        for _ in range(100):
            port = helpers.free_port()
            self.assertFalse(lowest <= port <= highest, port)
