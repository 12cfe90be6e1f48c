"""How the events of an item are read, and which versions make its text."""

import unittest

from nose2 import tools

from bilberrydrum import event_stream
from bilberrydrum.batches import model, texts, urgency, work
from bilberrydrum.fleet import policy
from tests import batches_support

batch = batches_support.batch


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
        opened = work.OpenBatches().open(model.KeptBatch.of(batch(), 0.0), 0.0)
        run = opened.runs_by_item_id["i0"]
        run.text.add(event_stream.Event(1, b"a"), 1)
        item = work.waiting_item(opened, run, route, urgency.Pace(), served, False, 0.0)
        self.assertEqual(bool(run.text.parts), keeps_text, name)
        self.assertEqual(item.only_version, only_version, name)
