"""How a soak's engines tell the batch that an attempt is made for."""

import pathlib
import sys
import unittest

import eventlet
from nose2 import tools

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from bilberrydrum_platform import standins, upstreams

from bilberrydrum import clock, upstream_protocol
from bilberrydrum.batches import model as batch_model
from misc.soaks import soak_clients, soak_ledger, soak_runs, soak_upstreams


class Marks(unittest.TestCase):
    """Each attempt tells the batch that it is made for."""

    def setUp(self):
        self.ledger = soak_ledger.Ledger()
        self.upstream = soak_upstreams.Upstream(
            "engines-0", "engines", "127.0.0.1", self.ledger, lambda call: False
        )
        self.upstream.start()
        self.addCleanup(self.upstream.stop)

    def ask(self, batch_id):
        """Send an item's request, as the product does, and read all of its answer."""
        body = soak_runs.Shape(9, 0.02).body("i")
        item = batch_model.Item("i", "/x", {}, body, 9)
        (item,) = soak_clients.marked(soak_clients.marked((item,), "b"), batch_id)
        attempt = upstream_protocol.Attempt(
            "i", self.upstream.announced_id, 5.0, account="trainer"
        )
        headers = upstreams.PlatformProtocol().relay_headers(item.headers, attempt)
        call = standins.Call("POST", item.target, headers, item.body)
        return soak_clients.ask_once(self.upstream.link.address, call, 10.0)

    @tools.params(("b", "before", 1), ("b", "while it runs", 1), ("c", "before", 0))
    def test_engine_tells_the_batch(self, batch_id, ended, n_found):
        for each in ("b", "c"):
            self.ledger.sent(each, ["i"])
            self.ledger.accepted(each, {"i": 9}, 1, 0.0)
        if ended == "before":
            self.ledger.ended("b", clock.now() - 10.0)
        asking = eventlet.spawn(self.ask, batch_id)
        with eventlet.Timeout(10.0):
            while not self.ledger.runs.of("i"):
                clock.sleep(0.005)
        self.assertEqual(len(self.ledger.findings), n_found * (ended == "before"))
        if ended != "before":
            self.ledger.ended("b", clock.now() - 10.0)
        self.assertEqual(asking.wait().status, 200)
        expected = ["i of b outlived it at engines-0-1"] * n_found
        self.assertEqual(self.ledger.findings, expected)

    def test_items_that_come_again_are_marked_anew(self):
        clients = soak_clients.Clients(self.ledger, 1, ["g"], ["c"])
        first = clients._batch(1, 1)
        again = clients._batch(2, 1, first.items[:4])
        for batch in (first, again):
            marks = {e.headers[soak_ledger.BATCH_HEADER] for e in batch.items}
            self.assertEqual(marks, {batch.batch_id})
        self.assertEqual(first.items[0].item_id, again.items[0].item_id)
