"""The tools shared by the tests."""

import pathlib
import unittest

from tests import helpers


class FreePorts(unittest.TestCase):
    def test_port_is_outside_the_range_of_outgoing_connections(self):
        """A test's process could not listen on the port that was found free for it.

        It failed with "Address already in use" on port 60592. The port was in the range
        for outgoing connections, and a connection of another test got it first.
        """
        text = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
        lowest, highest = (int(each) for each in text.split())
        for _ in range(100):
            port = helpers.free_port()
            self.assertFalse(lowest <= port <= highest, port)
