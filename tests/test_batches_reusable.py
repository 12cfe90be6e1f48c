"""The texts that a batch reuses of earlier batches with the same items."""

import unittest

import attrs
from nose2 import tools

from bilberrydrum import event_stream
from bilberrydrum.batches import model, texts, work
from tests import batches_support

batch = batches_support.batch
result = batches_support.result


class ReusedWork(unittest.TestCase):
    """Incomplete groups are submitted again in a later batch."""

    def reopen(self, kept_results, min_version, is_complete=False):
        known = work.OpenBatches()
        earlier = batch("b1", 2 if not is_complete else 1)
        kept = model.KeptBatch.of(earlier, 0.0)
        kept.results = list(kept_results)
        known.remember(earlier, kept)
        later = model.KeptBatch.of(batch("b2", 2, min_version=min_version), 8.0)
        opened = known.open(later, 8.0)
        return opened, known.reusable_results(opened, None)

    @tools.params(
        ("fits", [result(versions=(2, 3))], 2, ["i0"]),
        ("too old", [result(versions=(1, 3))], 2, []),
        ("given up", [model.Result("i0", model.ItemState.TERMINATED)], 0, []),
    )
    def test_results(self, name, kept, min_version, expected):
        _, reused = self.reopen(kept, min_version)
        self.assertEqual([each.item_id for each in reused], expected, name)

    @tools.params(("acme", True), ("beta", False), (None, False))
    def test_texts_belong_to_accounts(self, account, is_found):
        """Guard against an account that reads another account's texts.

        It submits an item under an id that it has guessed. If reuse ignored the
        account, it would get the text that was generated under that id for the other
        account, and its batch would wait for groups that are not its own.
        """
        known = work.OpenBatches()
        earlier = attrs.evolve(batch("b1", 3), account="acme")
        kept = model.KeptBatch.of(earlier, 0.0)
        kept.results = [result(versions=(2,))]
        opened = known.open(kept, 0.0)
        opened.runs_by_item_id["i1"].text.add(event_stream.Event(1, b"a"), 2)
        known.remember_closed(known.close("b1"))
        later = attrs.evolve(batch("b2", 3, n_wanted_groups=1), account=account)
        again = known.open(model.KeptBatch.of(later, 8.0), 8.0)
        found = [each.item_id for each in known.reusable_results(again, None)]
        self.assertEqual(found, ["i0"] if is_found else [])
        is_resumed = again.runs_by_item_id["i1"].text.last_number == 1
        self.assertEqual(is_resumed, is_found)

    @tools.params(
        ("the same", {}, True),
        ("another body", {"body": b"other"}, False),
        ("another target", {"target": "/p/y"}, False),
        ("another model", {}, False),
        ("another hint", {"headers": {"Hint": "9"}}, True),
    )
    def test_texts_belong_to_the_same_work(self, name, fields, is_found):
        """Guard against a text of another prompt.

        A trainer uses an item's id again for another prompt. If reuse went by the id
        alone, the item's text would be that of the earlier prompt, or would begin with
        events of the earlier prompt.
        """
        known = work.OpenBatches()
        earlier = batch("b1", 3)
        kept = model.KeptBatch.of(earlier, 0.0)
        kept.results = [result(versions=(2,))]
        opened = known.open(kept, 0.0)
        opened.runs_by_item_id["i1"].text.add(event_stream.Event(1, b"a"), 2)
        known.remember_closed(known.close("b1"))
        items = tuple(attrs.evolve(each, **fields) for each in earlier.items)
        model_name = "m" if name == "another model" else ""
        later = attrs.evolve(earlier, batch_id="b2", items=items, model=model_name)
        again = known.open(model.KeptBatch.of(later, 8.0), 8.0)
        found = [each.item_id for each in known.reusable_results(again, None)]
        self.assertEqual(found, ["i0"] if is_found else [], name)
        is_resumed = again.runs_by_item_id["i1"].text.last_number == 1
        self.assertEqual(is_resumed, is_found, name)

    def test_finished_text_is_kept_once(self):
        """Guard against finished texts that stay in the runner's memory.

        Hundreds of items finish per minute in one process.
        """
        known = work.OpenBatches()
        opened = known.open(model.KeptBatch.of(batch("b1", 2), 0.0), 0.0)
        for item_id in ("i0", "i1"):
            run = opened.runs_by_item_id[item_id]
            run.text.add(event_stream.Event(1, b"a"), 2)
            known.mark_finished("b1", [item_id])
            self.assertEqual(run.text.parts, [])
        known.remember_closed(known.close("b1"))
        again = known.open(model.KeptBatch.of(batch("b2", 2), 8.0), 8.0)
        self.assertIsNone(again.runs_by_item_id["i0"].text.last_number)

    def test_unfinished_text_is_resumed(self):
        known = work.OpenBatches()
        opened = known.open(model.KeptBatch.of(batch("b1", 2), 0.0), 0.0)
        run = opened.runs_by_item_id["i0"]
        run.text.add(event_stream.Event(1, b"a"), 2)
        known.remember_closed(known.close("b1"))
        again = known.open(model.KeptBatch.of(batch("b2", 2), 8.0), 8.0)
        self.assertEqual(again.runs_by_item_id["i0"].text.last_number, 1)
        self.assertEqual(again.spare_groups, frozenset())

    @tools.params(
        ("adds an event", lambda text: text.add(event_stream.Event(2, b"b"), 2)),
        ("is restarted", texts.Text.clear),
    )
    def test_text_is_not_shared(self, name, write):
        """Guard against two attempts that write to one text.

        An item is submitted again while an attempt of its ended batch still has its
        text. If both batches shared the text, the later batch's attempt, resumed after
        event 1, would add event 2 to a text that already has it or has been cleared.
        """
        known = work.OpenBatches()
        opened = known.open(model.KeptBatch.of(batch("b1", 2), 0.0), 0.0)
        run = opened.runs_by_item_id["i0"]
        run.text.add(event_stream.Event(1, b"a"), 2)
        known.remember_closed(known.close("b1"))
        again = known.open(model.KeptBatch.of(batch("b2", 2), 8.0), 8.0)
        write(run.text)
        text = again.runs_by_item_id["i0"].text
        self.assertEqual((text.parts, text.last_number), ([b"a"], 1), name)

    @tools.params(
        ("it had started", ("i0", "i1"), True, {("b2", "g0")}),
        ("it had not started", ("i0", "i1"), False, {("b2", "g0")}),
        ("all were complete", ("i0", "i1", "i2", "i3"), False, {("b2", "g1")}),
    )
    def test_resubmitted_group_is_waited_for(
        self, name, finished, has_started, expected
    ):
        """Guard against a resubmitted group that is treated as a surplus group.

        A trainer waits for one of two groups, and for each resubmitted group. If the
        resubmitted second group were not recognized, its items would go after all
        others, and its trainer would wait until they are given up.
        """
        known = work.OpenBatches()
        kept = model.KeptBatch.of(batch("b1", 4), 0.0)
        opened = known.open(kept, 0.0)
        kept.results = [result(each) for each in finished]
        known.mark_finished("b1", finished)
        if has_started:
            opened.runs_by_item_id["i3"].text.add(event_stream.Event(1, b"a"), 2)
        known.remember_closed(known.close("b1"))
        later = batch("b2", 4, n_wanted_groups=1)
        again = known.open(model.KeptBatch.of(later, 8.0), 8.0)
        self.assertEqual(again.spare_groups, expected, name)
