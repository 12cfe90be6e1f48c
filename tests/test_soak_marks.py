"""The header by which a soak's engines identify the batch of an attempt."""

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


class BatchHeaders(unittest.TestCase):
    """Each attempt of an item names the batch it is sent for."""

    def setUp(self):
        self.ledger = soak_ledger.Ledger()
        self.upstream = soak_upstreams.Upstream(
            "engines-0", "engines", "127.0.0.1", self.ledger, lambda call: False
        )
        self.upstream.start()
        self.addCleanup(self.upstream.stop)

    def send(self, batch_id):
        """Send an item's request as a gateway does and read the complete answer."""
        body = soak_runs.Shape(9, 0.02).body("i")
        item = batch_model.Item("i", "/x", {}, body, 9)
        (item,) = soak_clients.with_batch_header(
            soak_clients.with_batch_header((item,), "b"), batch_id
        )
        attempt = upstream_protocol.Attempt(
            "i", self.upstream.announced_id, 5.0, account="trainer"
        )
        headers = upstreams.PlatformProtocol().relay_headers(item.headers, attempt)
        call = standins.Call("POST", item.target, headers, item.body)
        return soak_clients.send_once(self.upstream.link.address, call, 10.0)

    @tools.params(("b", "before", 1), ("b", "while it runs", 1), ("c", "before", 0))
    def test_engine_records_the_batch(self, batch_id, ended, n_found):
        for each in ("b", "c"):
            self.ledger.record_submission(each, ["i"])
            self.ledger.record_accepted_batch(each, {"i": 9}, 1, 0.0)
        if ended == "before":
            self.ledger.record_end("b", clock.now() - 10.0)
        asking = eventlet.spawn(self.send, batch_id)
        with eventlet.Timeout(10.0):
            while not self.ledger.runs.of("i"):
                clock.sleep(0.005)
        self.assertEqual(len(self.ledger.findings), n_found * (ended == "before"))
        if ended != "before":
            self.ledger.record_end("b", clock.now() - 10.0)
        self.assertEqual(asking.wait().status, 200)
        expected = ["i ran after the end of b at engines-0-1"] * n_found
        self.assertEqual(self.ledger.findings, expected)

    def test_resubmitted_items_name_the_new_batch(self):
        clients = soak_clients.Clients(self.ledger, 1, ["g"], ["c"])
        first = clients._batch(1, 1)
        again = clients._batch(2, 1, first.items[:4])
        for batch in (first, again):
            batch_ids = {e.headers[soak_ledger.BATCH_HEADER] for e in batch.items}
            self.assertEqual(batch_ids, {batch.batch_id})
        self.assertEqual(first.items[0].item_id, again.items[0].item_id)
