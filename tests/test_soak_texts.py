"""The check of texts by the runs that made them, and the faults of these runs."""

import pathlib
import sys
import unittest

from nose2 import tools

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from misc.soaks import soak_runs, soak_streams

# Three runs of an item of eight events, as the number of the event after which the run
# was asked to resume and the number of the last event made. The first ends early after
# event 5, the second resumes its text, the third starts from the beginning.
RUNS = ((0, 5), (5, 8), (0, 8))


class Texts(unittest.TestCase):
    """A text is checked against the runs that made its events."""

    def setUp(self):
        self.runs = soak_runs.Runs()
        made = [self.runs.begin("i", "e", after, 8) for after, _ in RUNS]
        self.data_by_event = {
            (run.number, n): run.make_event(n, 2)
            for run, (after, last) in zip(made, RUNS, strict=True)
            for n in range(after + 1, last + 1)
        }

    @tools.params(
        ("of one run", [(2, 1, 8)], ""),
        ("resumed text", [(0, 1, 5), (1, 6, 8)], ""),
        ("nothing", [], "it ends after event 0"),
        ("without its end", [(0, 1, 5)], "it ends after event 5 of 8"),
        ("without its beginning", [(2, 3, 8)], "event 1 is 'i:3/8"),
        ("an event missing", [(2, 1, 3), (2, 5, 8)], "event 4 is 'i:5/8"),
        ("an event twice", [(2, 1, 3), (2, 3, 8)], "event 4 is 'i:3/8"),
        ("two runs mixed", [(0, 1, 2), (2, 3, 8)], "it changes after event 2"),
        ("resumed after another run", [(2, 1, 5), (1, 6, 8)], ""),
        ("back to the first", [(0, 1, 5), (1, 6, 7), (2, 8, 8)], "it changes after"),
    )
    def test_order(self, name, pieces, expected):
        events = [(run, n) for run, a, b in pieces for n in range(a, b + 1)]
        text = "\n".join(self.data_by_event[each] for each in events)
        found = list(self.runs.text_errors("i", 8, text))
        self.assertEqual(len(found), bool(expected), found)
        self.assertTrue(not expected or found[0].startswith(expected), found)

    @tools.params(
        ("under another version", "i:1/8:3:0", "which run 0"),
        ("not made by its run", "i:1/8:2:1", "which run 1"),
        ("of an unknown run", "i:1/8:2:9", "event 1 is"),
        ("not the data of an event", "what", "event 1 is"),
    )
    def test_event_that_was_not_made(self, name, text, expected):
        (found,) = self.runs.text_errors("i", 8, text)
        self.assertIn(expected, found)

    def test_shape_is_read_back(self):
        shapes = [soak_runs.Shape.draw(f"i-{n}") for n in range(200)]
        for shape in shapes:
            self.assertEqual(soak_runs.Shape.read(shape.body("i")), shape)
        self.assertTrue(any(2.0 <= e.n_events * e.pause_seconds <= 4.0 for e in shapes))


class StreamFaults(unittest.TestCase):
    """The drawing of faults in engines' streams."""

    def plans(self, n_runs, resume_after=0, n_expected=30):
        runs = soak_runs.Runs()
        drawn = [
            runs.begin(f"i-{n}", "e", resume_after, n_expected) for n in range(2000)
        ]
        return [soak_streams.draw(run, n_runs) for run in drawn]

    def test_all_kinds_are_drawn(self):
        drawn = {each.fault for each in self.plans(2, resume_after=6)}
        self.assertEqual(drawn, {None, *soak_streams.StreamFault})

    def test_faults_affect_expected_events(self):
        for plan in self.plans(1) + self.plans(2, resume_after=6):
            self.assertTrue(plan.fault is None or 1 <= plan.at < 30, plan)

    def test_late_runs_have_no_fault(self):
        self.assertEqual({each.fault for each in self.plans(5)}, {None})
