"""The pause after failures."""

import unittest

from nose2 import tools

from bilberrydrum import backoff


class Pauses(unittest.TestCase):
    @tools.params((1, 0.5), (2, 1.0), (3, 2.0), (4, 4.0), (5, 4.0), (200, 4.0))
    def test_doubles_up_to_the_longest(self, n_failures, seconds):
        pause = backoff.Backoff(0.5, 4.0)
        for _ in range(n_failures):
            pause.failed(100.0)
        self.assertEqual(pause.remaining(100.0), seconds)
        self.assertEqual(pause.remaining(100.0 + seconds), 0.0)

    def test_success_ends_it(self):
        pause = backoff.Backoff(0.5, 4.0)
        pause.failed(100.0)
        pause.failed(100.0)
        pause.succeeded()
        self.assertEqual(pause.remaining(100.0), 0.0)
        pause.failed(100.0)
        self.assertEqual(pause.remaining(100.0), 0.5)
