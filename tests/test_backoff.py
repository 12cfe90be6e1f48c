"""Tests of the exponential backoff."""

import unittest

from nose2 import tools

from bilberrydrum import backoff


class BackoffTest(unittest.TestCase):
    @tools.params((1, 0.5), (2, 1.0), (3, 2.0), (4, 4.0), (5, 4.0), (200, 4.0))
    def test_pause_doubles_up_to_the_maximum(self, n_failures, seconds):
        pause = backoff.Backoff(0.5, 4.0)
        for _ in range(n_failures):
            pause.record_failure(100.0)
        self.assertEqual(pause.remaining(100.0), seconds)
        self.assertEqual(pause.remaining(100.0 + seconds), 0.0)

    def test_success_resets_the_pause(self):
        pause = backoff.Backoff(0.5, 4.0)
        pause.record_failure(100.0)
        pause.record_failure(100.0)
        pause.record_success()
        self.assertEqual(pause.remaining(100.0), 0.0)
        pause.record_failure(100.0)
        self.assertEqual(pause.remaining(100.0), 0.5)
