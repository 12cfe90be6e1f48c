"""Clients that submit and read batches and do not behave."""

import itertools

from nose2 import tools

from tests import unruly_support as support

MIB = support.MIB
SIZES = support.Sizes(n_stores=3)
TARGET = "/batches/x"
# Items of which a batch of about 30 MB consists, and their size.
N_ITEMS, ITEM_BYTES = 22, MIB


def nearly_whole():
    return support.announced(TARGET, 8 * MIB, 8 * MIB - 1)


def chunks():
    return support.chunked(TARGET, 64 * 1024, 8 * MIB)


def _document(body):
    return iter([support.head(TARGET, f"Content-Length: {len(body)}"), body])


def dense_lists():
    return _document(b'{"requests": [' + b"[]," * (2 * MIB // 3) + b"[]]}")


def dense_objects():
    return _document(b'{"requests": [' + b'{"a":1},' * (2 * MIB // 8) + b"{}]}")


def wide_text():
    return _document(b'{"requests": "' + b"x" * 8 * MIB + '\U0001f600"}'.encode())


class Submissions(support.UnrulyCase):
    def check_batches(self, site, crowd, name):
        self.check(site, crowd, name)
        self.assertEqual(site.submit(2, 100), 202, f"{name}: a small batch")
        self.assertEqual(site.findings(), [], name)

    @tools.params(nearly_whole, chunks, dense_lists, dense_objects, wide_text)
    def test_crowd_of_submissions_stays_within_the_memory(self, shape):
        """Guards against submissions that take many times their size as objects."""
        site = self.start_site(SIZES)
        crowd = self.crowd(site, "gateway", support.standins.CLIENT_PORT)
        crowd.send(shape)
        self.check_batches(site, crowd, shape.__name__)

    def test_crowd_of_whole_batches_stays_within_the_memory(self):
        """Guards against batches that gateways and stores hold several times over."""
        self.check_whole_batches("random", support.os.urandom)

    def test_crowd_of_batches_of_zeros_stays_within_the_memory(self):
        """Guards against batches that are small only while they are deflated."""
        self.check_whole_batches("zeros", bytes)

    def check_whole_batches(self, name, fill):
        site = self.start_site(SIZES)
        crowd = self.crowd(site, "gateway", support.standins.CLIENT_PORT)
        numbers = itertools.count()

        def submission():
            batch_id = f"large-{next(numbers)}"
            call = support.batch_call(batch_id, N_ITEMS, ITEM_BYTES, fill)
            return iter([support.raw(call)])

        crowd.send(submission, n_clients=6)
        self.check_batches(site, crowd, name)

    @tools.params(("", "many items"), ("\U0001f600", "text beyond Latin-1"))
    def test_large_batch_is_accepted_in_calm(self, suffix, name):
        """Guards against copies of a batch that exceed the memory of a process."""
        site = self.start_site(SIZES)
        status = site.submit(N_ITEMS, ITEM_BYTES, suffix=suffix)
        self.assertEqual((status, site.findings()), (202, []), name)

    def test_crowd_that_does_not_read_bodies_of_items(self):
        """Guards against bodies of items that wait for clients."""
        site = self.start_site(SIZES)
        call = support.batch_call("one", 1, 8 * MIB)
        port = support.standins.CLIENT_PORT
        self.assertEqual(site.call("gateway", port, call)[0], 202)
        crowd = self.crowd(site, "gateway", port)
        request = support.head("/api/items/one?id=one-0", method="GET")
        crowd.send(lambda: iter([request] * 3))
        self.check(site, crowd, "item bodies")
