"""Test of the graceful shutdown of a daemon process under load."""

import pathlib
import tempfile
import threading
import unittest

from misc import processes
from misc.measures import request_site


class GracefulShutdown(unittest.TestCase):
    def test_no_request_is_cut_off(self):
        """SIGTERM arrives while streams of one second run and calls wait in the queue.

        No request may be cut off: those in flight are completed, as are those that
        arrive while the load balancer has not noticed yet. Each answer announces that
        its connection will be closed. When all callers have left, the daemon exits with
        status 0.
        """
        with (
            tempfile.TemporaryDirectory() as folder,
            processes.Processes(pathlib.Path(folder)) as started,
        ):
            site = request_site.Site(started, 1, event_seconds=0.02)
            site.start(max_concurrency=8, service_seconds=0.1)
            answers = []

            def run_callers(path, *arguments, **options):
                answers.append(
                    site.run_callers(
                        site.gateway,
                        path,
                        *arguments,
                        seconds=60.0,
                        leaves_when_told=True,
                        warm_seconds=0.0,
                        **options,
                    )
                )

            callers = [
                threading.Thread(
                    target=run_callers,
                    args=("/v1/completions", "POST", request_site.COMPLETION),
                    kwargs={"headers": ("X-Caller: desk",)},
                ),
                threading.Thread(
                    target=run_callers,
                    args=("/apps/slow/x",),
                    kwargs={"headers": ("X-Caller: busy",), "n_connections": 16},
                ),
            ]
            # Streams are started first, so that both kinds are in flight.
            for n_answered, caller in zip((16, 48), callers, strict=True):
                caller.start()
                processes.wait_for(
                    lambda n=n_answered: site.n_answered(site.gateway) >= n,
                    60.0,
                    "answers to callers",
                )
            code = started["gw-0"].terminate(timeout=60.0)
            for caller in callers:
                caller.join()
            site.stop()
        self.assertEqual(code, 0)
        for answer in answers:
            statuses = {int(status): n for status, n in answer["statuses"].items()}
            self.assertGreater(statuses.get(200, 0), 0)
            self.assertEqual(answer["n_told"], 16, statuses)
            self.assertEqual(set(statuses), {200})
