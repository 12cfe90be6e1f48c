"""Batches: what is kept, how streams are read, and what goes on elsewhere."""

import unittest

import attrs
from nose2 import tools

from bilberrydrum import codec, event_stream
from bilberrydrum.batches import commands, model, texts, urgency, work
from bilberrydrum.fleet import policy
from bilberrydrum.state import machine


def batch(batch_id="b", n_items=2, **fields):
    items = tuple(
        model.Item(f"i{n}", "/p/x", {}, b"body", 10, f"g{n // 2}")
        for n in range(n_items)
    )
    return model.Batch(batch_id, "h", items, **fields)


def accept(given):
    data = model.pack_batch(given)
    return commands.AcceptBatch(given.batch_id, len(given.items), data, 60.0)


def result(item_id="i0", versions=(1,), text=b"x"):
    return model.Result.of(item_id, model.ItemState.COMPLETED, text, versions)


def generated(run, first, n_events):
    """Return the data of events of the run of this name."""
    return [f"{run} {n}".encode() for n in range(first, first + n_events)]


def generate(text, run, n_events, version):
    """Add the next events of a run to `text`."""
    first = (text.last_number or 0) + 1
    for n, data in enumerate(generated(run, first, n_events), first):
        text.add(event_stream.Event(n, data), version)


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
        """Two leaders in turn run the same item and both commit a result.

        A reader may have read the first; the second must not stand at another place,
        nor replace it.
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


class Stream(unittest.TestCase):
    """Events are whole, in order, and name the version that made them."""

    WHOLE = b"id: 1\ndata: a\n\nid: 2\nx-v: 7\ndata: b\ndata: c\n\n"

    @tools.params(1, 3, 100)
    def test_any_cut(self, size):
        reader = event_stream.EventReader("X-V")
        events = []
        for start in range(0, len(self.WHOLE), size):
            events += reader.feed(self.WHOLE[start : start + size])
        expected = [event_stream.Event(1, b"a"), event_stream.Event(2, b"b\nc", 7)]
        self.assertEqual(events, expected)
        self.assertTrue(reader.is_between_events())

    def test_broken_off(self):
        reader = event_stream.EventReader("X-V")
        events = reader.feed(self.WHOLE[:-1])
        self.assertEqual([each.number for each in events], [1])
        self.assertFalse(reader.is_between_events())

    @tools.params(0, 2, 3)
    def test_begins_late(self, number):
        """What is read as a whole stream lacks its beginning.

        A stream that was not asked to go on after an event begins with event 1. Any
        number was taken for its first event.
        """
        reader = event_stream.EventReader("X-V")
        with self.assertRaises(event_stream.EventError):
            reader.feed(b"id: %d\ndata: x\n\n" % number)

    @tools.params(
        ("gap", 1, b"id: 3\ndata: x\n\n"),
        ("twice", 1, b"id: 1\ndata: x\n\n"),
        ("no number", 0, b"data: x\n\n"),
        ("not a number", 0, b"id: x\ndata: x\n\n"),
        ("a number beyond all sense", 0, b"id: " + b"9" * 5000 + b"\ndata: x\n\n"),
        ("a version beyond all sense", 0, b"id: 1\nx-v: " + b"9" * 5000 + b"\n\n"),
        ("not a version", 0, b"id: 1\nx-v: y\ndata: x\n\n"),
        ("endless", 0, b"x" * (event_stream.MAX_EVENT_BYTES + 1)),
    )
    def test_damaged(self, name, last, data):
        reader = event_stream.EventReader("X-V", last)
        with self.assertRaises(event_stream.EventError, msg=name):
            reader.feed(data)


class TextOrder(unittest.TestCase):
    """A text takes the event that follows, and no other."""

    @tools.params(
        ("begins late", 0, 2),
        ("begins at 0", 0, 0),
        ("a gap", 2, 4),
        ("twice", 2, 2),
        ("begins again", 2, 1),
    )
    def test_other_event(self, name, n_events, number):
        """A listed text has an event where another is due.

        Whatever has gone wrong before, it shows in the number of the event that is
        added, and only the text sees all that is added to it.
        """
        text = texts.Text()
        for n in range(n_events):
            text.add(event_stream.Event(n + 1, b"a"), 1)
        with self.assertRaises(event_stream.EventError, msg=name):
            text.add(event_stream.Event(number, b"b"), 2)
        self.assertEqual(
            (text.parts, text.versions), ([b"a"] * n_events, {1} if n_events else set())
        )


class Bounds(unittest.TestCase):
    """Which versions an item's text may come from."""

    @tools.params(
        ("below", (2, False), (), 1, False),
        ("at the bound", (2, False), (), 2, True),
        ("another one", (2, False), (2,), 3, True),
        ("single, first", (2, True), (), 3, True),
        ("single, same", (2, True), (3,), 3, True),
        ("single, another", (2, True), (2,), 3, False),
    )
    def test_allow(self, name, bounds, versions, version, expected):
        text = texts.Text(versions=set(versions))
        allowed = texts.Bounds(*bounds).allow(version, text)
        self.assertEqual(allowed, expected, name)


class SingleVersion(unittest.TestCase):
    """A text that must come from one version, and whose engine broke off."""

    @tools.params(
        ("an engine still has it", {1, 2}, True, 1),
        ("all have left it behind", {2, 3}, False, None),
        ("several versions are allowed", {2, 3}, True, None),
    )
    def test_text(self, name, served, keeps_text, only_version):
        """An item has begun under version 1 when its engine is lost.

        Bound to a version that no engine serves any more, it would wait for ever.
        """
        is_single = name != "several versions are allowed"
        route = policy.Route(
            "r",
            "h",
            "/p/",
            policy.RouteKind.BATCH,
            (policy.Share("s", 1.0),),
            is_single_version=is_single,
        )
        opened = work.Work().open(model.KeptBatch.of(batch(), 0.0), 0.0)
        run = opened.runs_by_item_id["i0"]
        run.text.add(event_stream.Event(1, b"a"), 1)
        item = work.waiting_item(opened, run, route, urgency.Pace(), served, False, 0.0)
        self.assertEqual(bool(run.text.parts), keeps_text, name)
        self.assertEqual(item.only_version, only_version, name)


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
        self.assertIsNone(text.take_progress("i0"))
        opened = work.Work().open(self.kept(), 0.0)
        again = opened.runs_by_item_id["i0"].text
        self.assertEqual(again.parts, [b"0", b"1", b"2", b"3"])
        self.assertEqual((again.versions, again.last_number), ({1, 2}, 4))
        self.assertIsNone(again.take_progress("i0"))

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
        self.assertEqual(answer.kept_by("i0"), self.index if is_joined else 0, name)

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
        self.assertEqual(answer.kept_by("i0"), 0)
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
        under_way = text.take_progress("i0")
        generate(text, "only", 8, 1)
        self.assertIsNone(text.take_progress("i0"))
        under_way.end(7)
        following = text.take_progress("i0").progress
        self.assertEqual((following.n_before, following.follows), (8, 7))

    def test_end_of_a_save_says_nothing_of_a_text_that_began_anew(self):
        text = texts.Text()
        generate(text, "first", 8, 1)
        under_way = text.take_progress("i0")
        text.clear()
        generate(text, "second", 8, 2)
        under_way.end(7)
        following = text.take_progress("i0").progress
        self.assertEqual((following.n_before, following.follows), (0, 0))

    def test_text_that_began_anew_replaces(self):
        first = model.Progress("i0", (b"a", b"b"), (1,), 2)
        anew = model.Progress("i0", (b"x",), (2,), 1)
        self.apply(commands.SaveProgress("b", (first, anew)))
        kept = model.KeptProgress("i0", (b"x",), (2,), 1, self.index)
        self.assertEqual(self.kept().progress_by_item_id["i0"], kept)

    def keep(self, text):
        """Have what is new of `text` committed, and tell it so."""
        save = text.take_progress("i0")
        answer = self.apply(commands.SaveProgress("b", (save.progress,)))
        save.end(answer.kept_by("i0"))

    def lose(self, text):
        """Have what is new of `text` proposed and not committed."""
        text.take_progress("i0").end(0)

    def taken_up(self):
        """Return the text that a new leader goes on from."""
        return work.Work().open(self.kept(), 0.0).runs_by_item_id["i0"].text

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
        opened = work.Work().open(model.KeptBatch.of(batch(), 0.0), 0.0)
        text = opened.runs_by_item_id["i0"].text
        for n in range(7):
            text.add(event_stream.Event(n + 1, b"x"), 1)
        self.assertEqual(opened.take_progress(8), [])
        text.add(event_stream.Event(8, b"x"), 1)
        self.assertEqual(len(opened.take_progress(8)), 1)


class Carried(unittest.TestCase):
    """Groups that were not complete come again in a later batch."""

    def reopen(self, kept_results, min_version, is_complete=False):
        known = work.Work()
        earlier = batch("b1", 2 if not is_complete else 1)
        kept = model.KeptBatch.of(earlier, 0.0)
        kept.results = list(kept_results)
        known.remember(earlier, kept)
        later = model.KeptBatch.of(batch("b2", 2, min_version=min_version), 8.0)
        opened = known.open(later, 8.0)
        return opened, known.carried_results(opened, None)

    @tools.params(
        ("fits", [result(versions=(2, 3))], 2, ["i0"]),
        ("too old", [result(versions=(1, 3))], 2, []),
        ("given up", [model.Result("i0", model.ItemState.TERMINATED)], 0, []),
    )
    def test_results(self, name, kept, min_version, expected):
        _, carried = self.reopen(kept, min_version)
        self.assertEqual([each.item_id for each in carried], expected, name)

    @tools.params(("acme", True), ("beta", False), (None, False))
    def test_texts_belong_to_accounts(self, account, is_found):
        """Another account hands in an item under an id that it has guessed.

        Given what was generated under that id before, it would read another account's
        text, and wait for groups that are none of its own.
        """
        known = work.Work()
        earlier = attrs.evolve(batch("b1", 3), account="acme")
        kept = model.KeptBatch.of(earlier, 0.0)
        kept.results = [result(versions=(2,))]
        opened = known.open(kept, 0.0)
        opened.runs_by_item_id["i1"].text.add(event_stream.Event(1, b"a"), 2)
        known.remember_closed(known.close("b1"))
        later = attrs.evolve(batch("b2", 3, n_wanted_groups=1), account=account)
        again = known.open(model.KeptBatch.of(later, 8.0), 8.0)
        found = [each.item_id for each in known.carried_results(again, None)]
        self.assertEqual(found, ["i0"] if is_found else [])
        went_on = again.runs_by_item_id["i1"].text.last_number == 1
        self.assertEqual(went_on, is_found)

    @tools.params(
        ("the same", {}, True),
        ("another body", {"body": b"other"}, False),
        ("another target", {"target": "/p/y"}, False),
        ("another model", {}, False),
        ("another hint", {"headers": {"Hint": "9"}}, True),
    )
    def test_texts_belong_to_the_same_work(self, name, fields, is_found):
        """A trainer uses an item's id for another prompt.

        Given what the id stood for before, the item's text would be another prompt's,
        or begin with another's and go on with its own.
        """
        known = work.Work()
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
        found = [each.item_id for each in known.carried_results(again, None)]
        self.assertEqual(found, ["i0"] if is_found else [], name)
        went_on = again.runs_by_item_id["i1"].text.last_number == 1
        self.assertEqual(went_on, is_found, name)

    def test_finished_text_is_kept_once(self):
        """Hundreds of items a minute finish in the memory of one process."""
        known = work.Work()
        opened = known.open(model.KeptBatch.of(batch("b1", 2), 0.0), 0.0)
        for item_id in ("i0", "i1"):
            run = opened.runs_by_item_id[item_id]
            run.text.add(event_stream.Event(1, b"a"), 2)
            known.finished("b1", [item_id])
            self.assertEqual(run.text.parts, [])
        known.remember_closed(known.close("b1"))
        again = known.open(model.KeptBatch.of(batch("b2", 2), 8.0), 8.0)
        self.assertIsNone(again.runs_by_item_id["i0"].text.last_number)

    def test_unfinished_text_goes_on(self):
        known = work.Work()
        opened = known.open(model.KeptBatch.of(batch("b1", 2), 0.0), 0.0)
        run = opened.runs_by_item_id["i0"]
        run.text.add(event_stream.Event(1, b"a"), 2)
        known.remember_closed(known.close("b1"))
        again = known.open(model.KeptBatch.of(batch("b2", 2), 8.0), 8.0)
        self.assertEqual(again.runs_by_item_id["i0"].text.last_number, 1)
        self.assertEqual(again.spare_groups, frozenset())

    @tools.params(
        ("adds an event", lambda text: text.add(event_stream.Event(2, b"b"), 2)),
        ("begins anew", texts.Text.clear),
    )
    def test_text_is_not_shared(self, name, write):
        """An item comes again while something of its ended batch still has its text.

        With one text for both, the later batch's attempt, asked to go on after event
        1, adds event 2 to a text that has it already, or to one that is empty.
        """
        known = work.Work()
        opened = known.open(model.KeptBatch.of(batch("b1", 2), 0.0), 0.0)
        run = opened.runs_by_item_id["i0"]
        run.text.add(event_stream.Event(1, b"a"), 2)
        known.remember_closed(known.close("b1"))
        again = known.open(model.KeptBatch.of(batch("b2", 2), 8.0), 8.0)
        write(run.text)
        text = again.runs_by_item_id["i0"].text
        self.assertEqual((text.parts, text.last_number), ([b"a"], 1), name)

    @tools.params(
        ("it had begun", ("i0", "i1"), True, {("b2", "g0")}),
        ("it had not begun", ("i0", "i1"), False, {("b2", "g0")}),
        ("all were complete", ("i0", "i1", "i2", "i3"), False, {("b2", "g1")}),
    )
    def test_carried_group_is_waited_for(self, name, finished, has_begun, expected):
        """A trainer waits for one of two groups, and for each that comes again.

        The second group comes again. Not known as such it goes behind all others, and
        its trainer waits for it until its time is up.
        """
        known = work.Work()
        kept = model.KeptBatch.of(batch("b1", 4), 0.0)
        opened = known.open(kept, 0.0)
        kept.results = [result(each) for each in finished]
        known.finished("b1", finished)
        if has_begun:
            opened.runs_by_item_id["i3"].text.add(event_stream.Event(1, b"a"), 2)
        known.remember_closed(known.close("b1"))
        later = batch("b2", 4, n_wanted_groups=1)
        again = known.open(model.KeptBatch.of(later, 8.0), 8.0)
        self.assertEqual(again.spare_groups, expected, name)
