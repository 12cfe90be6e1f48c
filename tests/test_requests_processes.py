"""A real daemon is told to stop while callers ask without end."""

import pathlib
import tempfile
import threading
import time
import unittest

from misc import processes, request_load, request_site


class GracefulShutdown(unittest.TestCase):
    def test_no_request_is_cut_off(self):
        """SIGTERM comes under load: streams of a second and calls that wait their turn.

        What is in flight ends whole, also what begins while the balancer has not
        noticed yet; each answer says that its connection ends. Then the daemon exits
        with 0, and only then nobody answers.
        """
        with (
            tempfile.TemporaryDirectory() as folder,
            processes.Processes(pathlib.Path(folder)) as started,
        ):
            site = request_site.Site(started, 1, event_seconds=0.02)
            site.start(n_places=8, service_seconds=0.1)
            answers = []

            def ask(path, *arguments, **options):
                answers.append(
                    site.ask(
                        site.gateway,
                        path,
                        *arguments,
                        seconds=6.0,
                        retry_seconds=0.01,
                        **options,
                    )
                )

            callers = [
                threading.Thread(
                    target=ask,
                    args=("/v1/completions", "POST", request_site.COMPLETION),
                    kwargs={"headers": ("X-Caller: desk",)},
                ),
                threading.Thread(
                    target=ask,
                    args=("/apps/slow/x",),
                    kwargs={"headers": ("X-Caller: busy",), "n_connections": 40},
                ),
            ]
            for caller in callers:
                caller.start()
            time.sleep(2.0)
            code = started["gw-0"].terminate(timeout=20.0)
            for caller in callers:
                caller.join()
            site.stop()
        self.assertEqual(code, 0)
        for answer in answers:
            statuses = {int(status): n for status, n in answer["statuses"].items()}
            self.assertGreater(statuses.get(200, 0), 0)
            self.assertGreater(statuses.get(request_load.UNREACHABLE, 0), 0)
            self.assertEqual(statuses.get(request_load.CUT, 0), 0, statuses)
