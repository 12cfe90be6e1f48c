"""How unfinished texts are saved, and how a new leader resumes them."""

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
    """A new leader resumes long texts from what the last leader has saved."""

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
                self.store(text)
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
        ("the stored one", 0, True),
        ("an earlier one of as many events", -1, False),
        ("a later one that is not stored", 1, False),
        ("none: an earlier release does not record it", None, False),
    )
    def test_part_follows_one_save(self, name, offset, is_joined):
        """Guard against a part that is appended to another text.

        A part arrives late, from a deposed leader, or twice. Meanwhile the stored text
        may have been replaced by one with as many events.
        """
        first = model.Progress("i0", (b"a", b"b"), (1,), 2)
        restarted = model.Progress("i0", (b"x", b"y"), (2,), 2)
        self.apply(commands.SaveProgress("b", (first,)))
        self.apply(commands.SaveProgress("b", (restarted,)))
        follows = 0 if offset is None else self.index + offset
        part = model.Progress("i0", (b"z",), (2,), 3, 2, follows)
        answer = self.apply(commands.SaveProgress("b", (part,)))
        parts = (b"x", b"y", b"z") if is_joined else (b"x", b"y")
        self.assertEqual(self.kept().progress_by_item_id["i0"].parts, parts, name)
        self.assertEqual(answer.saved_index("i0"), self.index if is_joined else 0, name)

    def test_two_releases_without_an_index(self):
        """Guard against a stored text with events of two runs during an upgrade.

        Stores are upgraded one by one. The stored text comes from a snapshot of an
        earlier release, and the part from a leader of that release. Neither has the
        index of a log entry, and two missing indexes do not show that the part follows
        the text.
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
        """The snapshot of an earlier release lacks the index of a text's log entry.

        The next leader resumes the text, and its first save contains the complete text.
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
        text = self.resumed_text()
        self.assertEqual(text.parts, [b"first 1"])
        for _ in range(2):
            generate(text, "first", 8, 1)
            self.store(text)
        self.assertEqual(self.resumed_text().parts, text.parts)

    @tools.params(
        ("lacks its beginning", [b"first 3", b"first 4"], 4),
        ("lacks its end", [b"first 1"], 2),
        ("has more than its number says", [b"first 1", b"first 2"], 1),
    )
    def test_invalid_text_is_not_resumed(self, name, parts, last_number):
        """Guard against a listed text that lacks its first events after an upgrade.

        An earlier release stored texts that did not begin with event 1. They have fewer
        parts than the number of their last event, and later events would be appended
        without an error.
        """
        kept = model.KeptProgress("i0", tuple(parts), (1,), last_number, 1)
        self.kept().progress_by_item_id["i0"] = kept
        text = self.resumed_text()
        self.assertEqual((text.parts, text.last_number), ([], None), name)
        generate(text, "second", 8, 2)
        self.store(text)
        self.assertEqual(self.resumed_text(), text)

    def test_next_save_waits_for_the_end_of_the_last(self):
        text = texts.Text()
        generate(text, "only", 8, 1)
        pending = text.begin_save("i0")
        generate(text, "only", 8, 1)
        self.assertIsNone(text.begin_save("i0"))
        pending.end(7)
        following = text.begin_save("i0").progress
        self.assertEqual((following.n_before, following.follows), (8, 7))

    def test_end_of_a_save_is_ignored_after_a_restart(self):
        text = texts.Text()
        generate(text, "first", 8, 1)
        pending = text.begin_save("i0")
        text.clear()
        generate(text, "second", 8, 2)
        pending.end(7)
        following = text.begin_save("i0").progress
        self.assertEqual((following.n_before, following.follows), (0, 0))

    def test_restarted_text_replaces(self):
        first = model.Progress("i0", (b"a", b"b"), (1,), 2)
        restarted = model.Progress("i0", (b"x",), (2,), 1)
        self.apply(commands.SaveProgress("b", (first, restarted)))
        kept = model.KeptProgress("i0", (b"x",), (2,), 1, self.index)
        self.assertEqual(self.kept().progress_by_item_id["i0"], kept)

    def store(self, text):
        """Commit a save of the new events of `text`, and end the save."""
        save = text.begin_save("i0")
        answer = self.apply(commands.SaveProgress("b", (save.progress,)))
        save.end(answer.saved_index("i0"))

    def lose_save(self, text):
        """Begin a save of the new events of `text` that is not committed."""
        text.begin_save("i0").end(0)

    def resumed_text(self):
        """Return the text from which a new leader resumes the item."""
        return work.OpenBatches().open(self.kept(), 0.0).runs_by_item_id["i0"].text

    def test_parts_of_two_texts_are_not_joined(self):
        """Guard against a result with events of two runs and versions of one.

        Eight events are stored. Then the answer is damaged, and the text is restarted.
        The first save of the restarted text is refused because the queue is full. The
        second one, which follows as many events as are stored, is committed. If parts
        were joined by their number, the next leader would resume a text with eight
        events of each run.
        """
        text = texts.Text()
        generate(text, "first", 8, 1)
        self.store(text)
        text.clear()
        generate(text, "second", 8, 2)
        self.lose_save(text)
        generate(text, "second", 8, 2)
        self.store(text)
        resumed = self.resumed_text()
        self.assertIn(resumed.parts, (text.parts, generated("first", 1, 8)))
        self.assertEqual(resumed.versions, {2} if resumed.parts == text.parts else {1})

    def test_lost_save_is_repeated(self):
        """Guard against a text of which nothing is stored after one lost save.

        The second save of a text is refused because the queue is full. If its events
        counted as stored, each later save would lack them and be refused for as long
        as the item runs. A new leader would run an item of 140 events again from its
        eighth event.
        """
        text = texts.Text()
        generate(text, "only", 8, 1)
        self.store(text)
        generate(text, "only", 8, 1)
        self.lose_save(text)
        for _ in range(4):
            generate(text, "only", 8, 1)
            self.store(text)
        self.assertEqual(self.resumed_text().parts, text.parts)

    def test_nothing_is_stored_after_the_result(self):
        progress = model.Progress("i0", (b"a",), (1,), 1)
        self.apply(commands.SaveProgress("b", (progress,)))
        self.apply(commands.FinishItems("b", (result(),)))
        self.apply(commands.SaveProgress("b", (progress,)))
        self.assertEqual(self.kept().progress_by_item_id, {})

    def test_few_new_events_are_not_saved(self):
        opened = work.OpenBatches().open(model.KeptBatch.of(batch(), 0.0), 0.0)
        text = opened.runs_by_item_id["i0"].text
        for n in range(7):
            text.add(event_stream.Event(n + 1, b"x"), 1)
        self.assertEqual(opened.begin_saves(8), [])
        text.add(event_stream.Event(8, b"x"), 1)
        self.assertEqual(len(opened.begin_saves(8)), 1)
