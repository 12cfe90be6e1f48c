"""The stored state of a batch and its results, and its retention."""

import unittest

from nose2 import tools

from bilberrydrum.batches import commands
from bilberrydrum.state import machine
from tests import batches_support

batch = batches_support.batch
accept = batches_support.accept
result = batches_support.result


class Kept(unittest.TestCase):
    """A batch is accepted once; a result's position and content never change."""

    def setUp(self):
        self.state = machine.State()
        self.index = 0

    def apply(self, command, time=100.0):
        self.index += 1
        return machine.apply(command, self.state, machine.Context(self.index, time))

    def results(self, batch_id="b"):
        kept = commands.section_of(self.state).batches_by_id[batch_id]
        return [(each.item_id, each.text) for each in kept.results]

    def test_accepted_once(self):
        self.assertTrue(self.apply(accept(batch())).is_new)
        self.apply(commands.FinishItems("b", (result(),)))
        self.assertFalse(self.apply(accept(batch())).is_new)
        self.assertEqual(self.results(), [("i0", b"x")])

    def test_item_that_ran_twice_is_listed_once(self):
        """Guard against two results of one item.

        Two leaders in turn run the same item and both commit a result. A reader may
        have read the first one, so the second must neither be appended nor replace it.
        """
        self.apply(accept(batch()))
        self.apply(commands.FinishItems("b", (result(),)))
        self.apply(commands.FinishItems("b", (result(text=b"y"), result("i1"))))
        self.assertEqual(self.results(), [("i0", b"x"), ("i1", b"x")])

    def test_nothing_is_listed_after_the_end(self):
        self.apply(accept(batch()))
        self.assertTrue(self.apply(commands.EndBatch("b")).is_known)
        self.assertTrue(self.apply(commands.EndBatch("b")).is_known)
        self.apply(commands.FinishItems("b", (result(),)))
        self.assertEqual(self.results(), [])

    def test_unknown_batch(self):
        self.assertFalse(self.apply(commands.EndBatch("b")).is_known)
        finished = self.apply(commands.FinishItems("b", (result(),)))
        self.assertEqual(finished.n_appended, 0)

    @tools.params(
        ("young", True, 159.0, True),
        ("old", True, 161.0, False),
        ("old and open", False, 161.0, True),
    )
    def test_retention(self, name, is_ended, time, is_kept):
        self.apply(accept(batch()))
        if is_ended:
            self.apply(commands.EndBatch("b"))
        self.apply(accept(batch("later")), time)
        kept = commands.section_of(self.state).batches_by_id
        self.assertEqual("b" in kept, is_kept, name)
