"""How a soak judges texts by the runs that made them, and what goes wrong in these."""

import pathlib
import sys
import unittest

from nose2 import tools

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from misc.soaks import soak_runs, soak_streams

# What three runs of an item of eight events make: one breaks off after event 5, the
# second goes on with it, the third begins anew. By run: asked to go on after, made to.
RUNS = ((0, 5), (5, 8), (0, 8))


class Texts(unittest.TestCase):
    """A text is judged by the runs that made its events."""

    def setUp(self):
        self.runs = soak_runs.Runs()
        made = [self.runs.begin("i", "e", after, 8) for after, _ in RUNS]
        self.data_by_event = {
            (run.number, n): run.make(n, 2)
            for run, (after, last) in zip(made, RUNS, strict=True)
            for n in range(after + 1, last + 1)
        }

    @tools.params(
        ("of one run", [(2, 1, 8)], ""),
        ("gone on with", [(0, 1, 5), (1, 6, 8)], ""),
        ("nothing", [], "it ends after event 0"),
        ("without its end", [(0, 1, 5)], "it ends after event 5 of 8"),
        ("without its beginning", [(2, 3, 8)], "event 1 is 'i:3/8"),
        ("an event missing", [(2, 1, 3), (2, 5, 8)], "event 4 is 'i:5/8"),
        ("an event twice", [(2, 1, 3), (2, 3, 8)], "event 4 is 'i:3/8"),
        ("two by turns", [(0, 1, 2), (2, 3, 8)], "it goes on after event 2"),
        ("asked after another", [(2, 1, 5), (1, 6, 8)], ""),
        ("back to the first", [(0, 1, 5), (1, 6, 7), (2, 8, 8)], "it goes on after"),
    )
    def test_order(self, name, pieces, expected):
        events = [(run, n) for run, a, b in pieces for n in range(a, b + 1)]
        text = "\n".join(self.data_by_event[each] for each in events)
        found = list(self.runs.faults("i", 8, text))
        self.assertEqual(len(found), bool(expected), found)
        self.assertTrue(not expected or found[0].startswith(expected), found)

    @tools.params(
        ("under another version", "i:1/8:3:0", "which run 0"),
        ("never made by its run", "i:1/8:2:1", "which run 1"),
        ("of no run", "i:1/8:2:9", "event 1 is"),
        ("no event's data", "what", "event 1 is"),
    )
    def test_event_that_was_not_made(self, name, text, expected):
        (found,) = self.runs.faults("i", 8, text)
        self.assertIn(expected, found)

    def test_shape_is_read_back(self):
        shapes = [soak_runs.Shape.draw(f"i-{n}") for n in range(200)]
        for shape in shapes:
            self.assertEqual(soak_runs.Shape.read(shape.body("i")), shape)
        self.assertTrue(any(2.0 <= e.n_events * e.pause_seconds <= 4.0 for e in shapes))


class Troubles(unittest.TestCase):
    """What goes wrong in engines' runs."""

    def plans(self, n_runs, asked_after=0, n_due=30):
        runs = soak_runs.Runs()
        drawn = [runs.begin(f"i-{n}", "e", asked_after, n_due) for n in range(2000)]
        return [soak_streams.draw(run, n_runs) for run in drawn]

    def test_all_come(self):
        drawn = {each.trouble for each in self.plans(2, asked_after=6)}
        self.assertEqual(drawn, {None, *soak_streams.Trouble})

    def test_within_the_events_that_are_due(self):
        for plan in self.plans(1) + self.plans(2, asked_after=6):
            self.assertTrue(plan.trouble is None or 1 <= plan.at < 30, plan)

    def test_item_is_made_some_time(self):
        self.assertEqual({each.trouble for each in self.plans(5)}, {None})
