"""A store that is stopped while it stops its runner after a loss of leadership."""

import eventlet

from bilberrydrum import clock
from tests import test_batches_ended as ended_batches


class Stop(ended_batches.RunnerCase):
    def test_stop_after_a_cancelled_stop(self):
        """Guard against a store that stops with a traceback while its items run on.

        The store has lost the leadership, and a task cancels the runner's attempts.
        Each cancellation yields to other tasks. Then the process stops, which kills
        that task and stops the runner again. If the second stop fails with `ValueError`
        on removing the watcher twice, neither the other attempts nor the replica stop.
        """
        self.begin(4)
        watchers = [self.runner.wake]
        self.view.unwatch = watchers.remove
        first = eventlet.spawn(self.runner.stop)
        while watchers:
            eventlet.sleep(0)
        first.kill()
        self.runner.stop()
        self.wait_for(lambda: self.engine.n_running == 0)
        clock.sleep(2 * ended_batches.EVENT_SECONDS)
        self.assertEqual(len(self.engine.received), 4)
