"""Process lifecycle: settings that change while the process runs."""

import unittest
import unittest.mock

import eventlet
from nose2 import tools

from bilberrydrum.nodes import options, process


class Node:
    """A fake node that records the addresses that it learns."""

    def __init__(self):
        self.learned = []

    def learn_seeds(self, addresses):
        self.learned.append(addresses)

    def failure(self):
        return ""


def node_options(seeds):
    return options.NodeOptions(
        options.Role.GATEWAY, "n", "z", "127.0.0.1:1", "127.0.0.1:2", seeds
    )


class Settings(unittest.TestCase):
    """A settings file may change with or without a signal."""

    def watched(self, stamps, read):
        """Let the process check a few times; return the seeds that it learned."""
        node = Node()
        given = iter(stamps)
        last = [next(given)]

        def stamp():
            last[0] = next(given, last[0])
            return last[0]

        made = process.Process(node_options(()), node, {}, read, stamp, stamp())
        with (
            unittest.mock.patch.object(process, "_WATCH_SECONDS", 0.002),
            unittest.mock.patch.object(process, "SETTINGS_SECONDS", 0.004),
        ):
            task = eventlet.spawn(made._watch)
            eventlet.sleep(0.15)
            task.kill()
        return node.learned

    @tools.params(
        ("unchanged", [1, 1, 1, 1], 0),
        ("changed once", [1, 1, 2, 2, 2], 1),
        ("gone and back", [1, 1, None, None, 3, 3], 2),
    )
    def test_change_without_a_signal(self, name, stamps, expected):
        """The seed addresses change in the settings file, and no signal is sent.

        A process that reads them only at its start would look for a leader at addresses
        where no control process runs any more.
        """
        learned = self.watched(stamps, lambda: node_options(("10.0.0.1:7300",)))
        self.assertEqual(learned, [("10.0.0.1:7300",)] * expected, name)

    def test_partly_written_file(self):
        """The file is read while it is being written, and again once it is complete."""
        answers = [ValueError("half"), ValueError("half"), None]

        def read():
            error = answers.pop(0) if answers else None
            if error is not None:
                raise error
            return node_options(("10.0.0.1:7300",))

        self.assertEqual(self.watched([1, 1, 2, 2], read), [("10.0.0.1:7300",)])
