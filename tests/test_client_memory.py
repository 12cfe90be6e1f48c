"""The memory of clients: who fits, who yields, and what documents and batches take."""

import contextlib
import json
import tracemalloc
import unittest
import unittest.mock
import zlib

import msgpack
from nose2 import tools

from bilberrydrum import memory, packing
from bilberrydrum.batches import batch_memory, model
from bilberrydrum.http import client_memory, json_documents

MIB = 1024 * 1024
BUDGET = 40 * MIB
PHASES = client_memory.Phase


class Socket:
    """A fake connection whose task ends as soon as it is shut down."""

    def __init__(self):
        self.on_shutdown = lambda: None

    def shutdown(self, how):
        self.on_shutdown()


class Clients(unittest.TestCase):
    def setUp(self):
        self.resident = 0
        self.contexts = contextlib.ExitStack()
        self.addCleanup(self.contexts.close)
        budget = memory.Budget(
            BUDGET, 2 * BUDGET, resident=lambda: self.resident, release=lambda: None
        )
        self.memory = client_memory.ClientMemory(budget)
        patched = unittest.mock.patch.object(client_memory.clock, "now", self.now)
        patched.start()
        self.addCleanup(patched.stop)
        self.time = 100.0

    def now(self):
        return self.time

    def connect(self):
        connection = Socket()
        holding = self.contexts.enter_context(self.memory.connection(connection))
        connection.on_shutdown = lambda: holding.shrink_to(0)
        return holding

    @tools.params(
        ("small", 60 * 1024, 0, True),
        ("large", 30 * MIB, 0, True),
        ("into the reserve", 36 * MIB, 0, False),
        ("more than all", 50 * MIB, 0, False),
        ("heap is full", 30 * MIB, 60 * MIB, False),
    )
    def test_body_fits(self, name, n_bytes, resident, fits):
        """Guards against bodies that leave nothing for small ones, or for the heap."""
        self.resident = resident
        holding = self.connect()
        if fits:
            holding.grow_to(n_bytes)
        else:
            with self.assertRaises(client_memory.MemoryFullError, msg=name):
                holding.grow_to(n_bytes)
        self.assertEqual(self.memory.budget.n_bytes, holding.n_bytes)

    def test_small_body_fits_beside_large_ones(self):
        """Guards against large bodies that lock all other clients out."""
        self.connect().grow_to(20 * MIB)
        with self.assertRaises(client_memory.MemoryFullError):
            self.connect().grow_to(20 * MIB)
        self.connect().grow_to(1000)
        self.connect().grow_to(60 * 1024)

    @tools.params(
        (PHASES.INPUT, 1.5, True),
        (PHASES.INPUT, 0.5, False),
        (PHASES.OUTPUT, 1.5, True),
        (PHASES.IDLE, 0.5, True),
        (PHASES.WORK, 60.0, False),
    )
    def test_stalled_client_yields(self, phase, seconds, yields):
        """Guards against stalled clients that keep the memory, and against dropping
        clients that wait for this process.
        """
        stalled = self.connect()
        stalled.grow_to(30 * MIB)
        with stalled.waiting(phase):
            self.time += seconds
            asking = self.connect()
            if yields:
                asking.grow_to(20 * MIB)
            else:
                with self.assertRaises(client_memory.MemoryFullError):
                    asking.grow_to(20 * MIB)
        self.assertEqual(stalled.is_dropped, yields)

    def test_nobody_yields_to_what_never_fits(self):
        """Guards against a request over all memory that drops everybody else."""
        stalled = self.connect()
        with stalled.waiting(PHASES.IDLE):
            self.time += 60.0
            with self.assertRaises(client_memory.MemoryFullError) as caught:
                self.connect().grow_to(50 * MIB)
        self.assertTrue(caught.exception.is_final)
        self.assertFalse(stalled.is_dropped)


class Documents(unittest.TestCase):
    @tools.params(
        b'{"a": [1, 2.5, null, true], "b": {"c": "\\u00e9 \\" x"}}',
        '{"a": "\U0001f600 \u00e9 \\\\", "\u00e9": "\\ud83d\\ude00"}'.encode(),
        b"[[],{}]",
    )
    def test_value_is_the_same(self, body):
        """Guards against escapes that change a document."""
        text = json_documents.ascii_text(body)
        self.assertEqual(json_documents.decode(text), json.loads(body))

    @tools.params(
        b"[" + b"[]," * 50_000 + b"[]]",
        b"[" + b'{"a":1},' * 20_000 + b"{}]",
        b"[" + b'"ab",' * 40_000 + b'""]',
        b"[" + b"1.5," * 40_000 + b"1]",
        ('["' + "x" * 200_000 + '\U0001f600"]').encode(),
        b'["' + b"x" * 200_000 + b'\\n"]',
    )
    def test_bound_is_above_what_is_taken(self, body):
        """Guards against documents that take more as objects than was charged."""
        text = json_documents.ascii_text(body)
        bound = json_documents.peak_bytes(text)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        value = json_documents.decode(text)
        taken = tracemalloc.get_traced_memory()[1]
        self.assertTrue(value)
        self.assertLessEqual(taken + len(text), bound)


class Batches(unittest.TestCase):
    def kept(self, batch_id, n_bytes):
        item = model.Item(batch_id, "/x", {}, bytes(n_bytes), 1)
        batch = model.Batch(batch_id, "h", (item,))
        return model.KeptBatch.of(batch, 0.0)

    def test_size_counts_what_is_inflated(self):
        """Guards against batches that deflate to a thousandth of their items."""
        size = batch_memory.Size.of(self.kept("a", 8 * MIB).data)
        self.assertGreater(size.n_items, 8 * MIB)
        self.assertLess(size.n_packed, MIB)
        data = zlib.compress(b"x" * 100)
        self.assertEqual(batch_memory.Size.of(data).n_items, 100)

    @tools.params(
        ("fits", 0, 2 * MIB, 0.0),
        ("no memory", 9, 2 * MIB, batch_memory.FULL_RETRY_SECONDS),
        ("small beside many", 7, 1000, 0.0),
    )
    def test_room(self, name, n_kept, n_bytes, seconds):
        """Guards against batches that a store accepts without memory for them."""
        kept = [self.kept(str(n), MIB) for n in range(n_kept)]
        asked = batch_memory.BatchMemory(10 * MIB)
        size = batch_memory.Size(1000, n_bytes)
        self.assertEqual(asked.retry_after("b", size, kept, 1.0), seconds, name)

    def test_one_large_batch_arrives_at_a_time(self):
        """Guards against large batches that arrive at a store at the same time."""
        asked = batch_memory.BatchMemory(100 * MIB)
        size = batch_memory.Size(2 * MIB, 2 * MIB)
        answers = [asked.retry_after(each, size, [], 1.0) for each in "aba"]
        self.assertEqual(answers, [0.0, batch_memory.BUSY_RETRY_SECONDS, 0.0])
        self.assertEqual(asked.retry_after("b", size, [], 5.0), 0.0)
        asked.record_end("b")
        self.assertEqual(asked.retry_after("c", size, [], 5.0), 0.0)


class Packing(unittest.TestCase):
    @tools.params(
        [1, b"small", None],
        ["name", {"data": bytes(2 * MIB), "n": 7, "more": [b"", "x"]}],
        [(1, 2, 0.5, 0, bytes(MIB)), (2, 2, 0.5, 0, b"y")],
    )
    def test_bytes_are_those_of_the_library(self, value):
        """Guards against large entries that other releases could not read."""
        self.assertEqual(packing.pack(value), msgpack.packb(value))
