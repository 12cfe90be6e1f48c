"""What is kept of unfinished texts, and what is taken up of it."""

import unittest

from nose2 import tools

from bilberrydrum import codec, event_stream
from bilberrydrum.batches import commands, model, texts, work
from bilberrydrum.state import machine
from tests import batches_support

batch = batches_support.batch
accept = batches_support.accept
result = batches_support.result
generated = batches_support.generated
generate = batches_support.generate


class KeptProgress(unittest.TestCase):
    """A new leader goes on with long texts where the last one had kept them."""

    def setUp(self):
        self.state = machine.State()
        self.index = 0
        self.apply(accept(batch()))

    def apply(self, command):
        self.index += 1
        return machine.apply(command, self.state, machine.Context(self.index, 1.0))

    def kept(self):
        return commands.section_of(self.state).batches_by_id["b"]

    def test_parts_are_joined(self):
        text = texts.Text()
        for n in range(4):
            text.add(event_stream.Event(n + 1, b"%d" % n), 1 + n // 3)
            if n % 2:
                self.keep(text)
        self.assertIsNone(text.begin_save("i0"))
        opened = work.OpenBatches().open(self.kept(), 0.0)
        again = opened.runs_by_item_id["i0"].text
        self.assertEqual(again.parts, [b"0", b"1", b"2", b"3"])
        self.assertEqual((again.versions, again.last_number), ({1, 2}, 4))
        self.assertIsNone(again.begin_save("i0"))

    def test_gap_is_not_joined(self):
        first = model.Progress("i0", (b"a",), (1,), 1)
        self.apply(commands.SaveProgress("b", (first,)))
        kept = model.KeptProgress("i0", (b"a",), (1,), 1, self.index)
        later = model.Progress("i0", (b"c",), (1,), 3, 2, self.index)
        self.apply(commands.SaveProgress("b", (later,)))
        self.assertEqual(self.kept().progress_by_item_id["i0"], kept)

    @tools.params(
        ("the kept one", 0, True),
        ("an earlier one of as many events", -1, False),
        ("a later one that is not kept", 1, False),
        ("none: an earlier release does not say", None, False),
    )
    def test_part_follows_one_save(self, name, offset, is_joined):
        """A part comes late, from a leader that was deposed, or twice.

        Meanwhile the text may have been replaced by one of as many events.
        """
        first = model.Progress("i0", (b"a", b"b"), (1,), 2)
        anew = model.Progress("i0", (b"x", b"y"), (2,), 2)
        self.apply(commands.SaveProgress("b", (first,)))
        self.apply(commands.SaveProgress("b", (anew,)))
        follows = 0 if offset is None else self.index + offset
        part = model.Progress("i0", (b"z",), (2,), 3, 2, follows)
        answer = self.apply(commands.SaveProgress("b", (part,)))
        parts = (b"x", b"y", b"z") if is_joined else (b"x", b"y")
        self.assertEqual(self.kept().progress_by_item_id["i0"].parts, parts, name)
        self.assertEqual(answer.saved_index("i0"), self.index if is_joined else 0, name)

    def test_two_releases_that_say_nothing(self):
        """A new leader goes on from a text that has events of two runs.

        Stores are brought up to date one by one. What is kept comes from an earlier
        release's snapshot and the part from its leader; neither names an entry, and
        equal silence is no sign that one follows the other.
        """
        self.kept().progress_by_item_id["i0"] = model.KeptProgress(
            "i0", (b"a", b"b"), (1,), 2
        )
        part = model.Progress("i0", (b"z",), (2,), 3, 2)
        answer = self.apply(commands.SaveProgress("b", (part,)))
        self.assertEqual(answer.saved_index("i0"), 0)
        self.assertEqual(self.kept().progress_by_item_id["i0"].parts, (b"a", b"b"))

    def test_doubled_part_is_joined_once(self):
        first = model.Progress("i0", (b"a",), (1,), 1)
        self.apply(commands.SaveProgress("b", (first,)))
        part = model.Progress("i0", (b"b",), (1,), 2, 1, self.index)
        for _ in range(2):
            self.apply(commands.SaveProgress("b", (part,)))
        self.assertEqual(self.kept().progress_by_item_id["i0"].parts, (b"a", b"b"))

    def test_kept_by_an_earlier_release(self):
        """Its snapshot does not say by which entry a text is kept.

        The next leader goes on from the text, and hands it over as a whole at first.
        """
        fields = {
            "item_id": "i0",
            "parts": [b"first 1"],
            "versions": [1],
            "last_number": 1,
            "n_before": 0,
        }
        old = codec.from_plain(fields, model.KeptProgress)
        self.kept().progress_by_item_id["i0"] = old
        text = self.taken_up()
        self.assertEqual(text.parts, [b"first 1"])
        for _ in range(2):
            generate(text, "first", 8, 1)
            self.keep(text)
        self.assertEqual(self.taken_up().parts, text.parts)

    @tools.params(
        ("lacks its beginning", [b"first 3", b"first 4"], 4),
        ("lacks its end", [b"first 1"], 2),
        ("has more than its number says", [b"first 1", b"first 2"], 1),
    )
    def test_text_that_is_none_is_not_taken_up(self, name, parts, last_number):
        """A listed text lacks its first events after stores were brought up to date.

        An earlier release kept texts that did not begin with event 1. Their parts are
        fewer than the number of their last event says, and what is made after that
        event follows well.
        """
        kept = model.KeptProgress("i0", tuple(parts), (1,), last_number, 1)
        self.kept().progress_by_item_id["i0"] = kept
        text = self.taken_up()
        self.assertEqual((text.parts, text.last_number), ([], None), name)
        generate(text, "second", 8, 2)
        self.keep(text)
        self.assertEqual(self.taken_up(), text)

    def test_next_save_waits_for_the_end_of_the_last(self):
        text = texts.Text()
        generate(text, "only", 8, 1)
        under_way = text.begin_save("i0")
        generate(text, "only", 8, 1)
        self.assertIsNone(text.begin_save("i0"))
        under_way.end(7)
        following = text.begin_save("i0").progress
        self.assertEqual((following.n_before, following.follows), (8, 7))

    def test_end_of_a_save_says_nothing_of_a_text_that_began_anew(self):
        text = texts.Text()
        generate(text, "first", 8, 1)
        under_way = text.begin_save("i0")
        text.clear()
        generate(text, "second", 8, 2)
        under_way.end(7)
        following = text.begin_save("i0").progress
        self.assertEqual((following.n_before, following.follows), (0, 0))

    def test_text_that_began_anew_replaces(self):
        first = model.Progress("i0", (b"a", b"b"), (1,), 2)
        anew = model.Progress("i0", (b"x",), (2,), 1)
        self.apply(commands.SaveProgress("b", (first, anew)))
        kept = model.KeptProgress("i0", (b"x",), (2,), 1, self.index)
        self.assertEqual(self.kept().progress_by_item_id["i0"], kept)

    def keep(self, text):
        """Have what is new of `text` committed, and tell it so."""
        save = text.begin_save("i0")
        answer = self.apply(commands.SaveProgress("b", (save.progress,)))
        save.end(answer.saved_index("i0"))

    def lose(self, text):
        """Have what is new of `text` proposed and not committed."""
        text.begin_save("i0").end(0)

    def taken_up(self):
        """Return the text that a new leader goes on from."""
        return work.OpenBatches().open(self.kept(), 0.0).runs_by_item_id["i0"].text

    def test_parts_of_two_texts_are_not_joined(self):
        """A result has the events of two runs, under the versions of the second alone.

        Eight events are kept; the answer is damaged, and the text begins anew. The
        first save of the new text finds the queue full; its second, of as many events
        before as are kept, is committed. The next leader goes on from eight events of
        each: joined by their number, parts need not be of one text.
        """
        text = texts.Text()
        generate(text, "first", 8, 1)
        self.keep(text)
        text.clear()
        generate(text, "second", 8, 2)
        self.lose(text)
        generate(text, "second", 8, 2)
        self.keep(text)
        went_on = self.taken_up()
        self.assertIn(went_on.parts, (text.parts, generated("first", 1, 8)))
        self.assertEqual(went_on.versions, {2} if went_on.parts == text.parts else {1})

    def test_lost_save_is_made_up_for(self):
        """A new leader runs an item of 140 events again from its eighth.

        The second save of a text finds the queue full. What was taken for it counts as
        kept, so each later save lacks these events and is joined to nothing, for as
        long as the item runs.
        """
        text = texts.Text()
        generate(text, "only", 8, 1)
        self.keep(text)
        generate(text, "only", 8, 1)
        self.lose(text)
        for _ in range(4):
            generate(text, "only", 8, 1)
            self.keep(text)
        self.assertEqual(self.taken_up().parts, text.parts)

    def test_nothing_is_kept_of_what_has_ended(self):
        progress = model.Progress("i0", (b"a",), (1,), 1)
        self.apply(commands.SaveProgress("b", (progress,)))
        self.apply(commands.FinishItems("b", (result(),)))
        self.apply(commands.SaveProgress("b", (progress,)))
        self.assertEqual(self.kept().progress_by_item_id, {})

    def test_only_what_is_worth_it_is_taken(self):
        opened = work.OpenBatches().open(model.KeptBatch.of(batch(), 0.0), 0.0)
        text = opened.runs_by_item_id["i0"].text
        for n in range(7):
            text.add(event_stream.Event(n + 1, b"x"), 1)
        self.assertEqual(opened.begin_saves(8), [])
        text.add(event_stream.Event(8, b"x"), 1)
        self.assertEqual(len(opened.begin_saves(8)), 1)
