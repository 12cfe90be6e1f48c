"""A store that stops while its runner, which leads no more, is being stopped."""

import eventlet

from bilberrydrum import clock
from tests import test_batches_ended as ended_batches


class Stop(ended_batches.RunnerCase):
    def test_stop_that_was_itself_broken_off(self):
        """A store that is told to stop ends with a traceback, and its items run on.

        It has lost the leadership, and its task breaks off the runner's attempts; each
        of these steps lets other tasks run. The process is told to stop, which breaks
        off that very task and then stops the runner once more: that failed with
        `ValueError` at the watcher which was gone already, so that neither the other
        attempts nor the replica were stopped.
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
