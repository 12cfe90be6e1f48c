"""The journal of a fake engine's orders."""

import json
import pathlib
import tempfile
import types
import unittest

from bilberrydrum import runtime

runtime.prepare()

import eventlet

from tests.fakes import faults, journal, orders, server


class WaitingLoad(unittest.TestCase):
    def test_accepted_orders_are_journaled_in_their_order(self):
        """A load waits for the weight store while a later order is carried out.

        In the order of their ends, the journal shows a lower fencing number after a
        higher one, though the engine accepted none.
        """
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "journal"
        fake = orders.Orders(
            ["m"],
            0,
            True,
            0.0,
            faults.EngineFaults(),
            journal.Journal(str(path)),
            lambda: None,
        )
        busy = types.SimpleNamespace(status=429, headers={"Retry-After": "0.05"})
        done = types.SimpleNamespace(status=200, headers={})
        answers = [busy, done, done]
        fake._pool = types.SimpleNamespace(request=lambda *_, **__: answers.pop(0))
        tasks = [eventlet.spawn(fake.serve, load_of(number)) for number in (472, 476)]
        for task in tasks:
            self.assertEqual(task.wait().status, 200)
        for kind, expected in (("accepted", [472, 476]), ("order", [476, 472])):
            found = [
                each["order"]["fencing_number"] for each in journal.read(path, kind)
            ]
            self.assertEqual(found, expected, kind)


def load_of(number):
    order = {
        "order_id": f"o{number}",
        "fencing_number": number,
        "kind": "load",
        "model": "m",
        "weight_version": number,
        "source": "http://store",
    }
    return server.Request("POST", "/orders", {}, {}, json.dumps(order).encode(), {})
