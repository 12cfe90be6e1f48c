"""What processes tell one another of requests that end upstreams."""

import unittest

import eventlet
import result
from nose2 import tools

from bilberrydrum import clock, codec, quarantine
from bilberrydrum.fleet import crash_commands, messages, trials
from bilberrydrum.fleet import model as fleet_model
from bilberrydrum.relay import crash_reports, crash_watch
from bilberrydrum.state import machine
from misc import loopback
from tests import test_quarantine


class Reports(unittest.TestCase):
    """What the control group is told, and when."""

    @tools.params(
        ("at once", 1, (("a", 0.0),), 0.05, 0),
        ("not answered elsewhere", 1, (("a", 0.0),), 0.11, 1),
        ("second crash", 1, (("a", 0.0), ("b", 0.04)), 0.05, 2),
        ("only sender, first", 2, (("a", 0.0),), 99.0, 0),
        ("only sender, second", 2, (("a", 0.0), ("b", 50.0)), 50.0, 2),
    )
    def test_due(self, name, n_to_report, crashes, now, n_reported):
        reports = crash_reports.CrashReports(n_to_report)
        for upstream_id, at in crashes:
            reports.note(test_quarantine.crash(upstream_id), at)
        due = reports.due(now, quarantine.Book())
        self.assertEqual(len(due.reports), n_reported, name)
        is_due = reports.next_due_at(quarantine.Book()) <= now
        self.assertEqual(is_due, bool(n_reported), name)

    def test_one_more_crash_of_a_suspect(self):
        reports = crash_reports.CrashReports(2)
        reports.note(test_quarantine.crash("c"), 1.0)
        due = reports.due(1.0, test_quarantine.book_of(("a", 0.0)))
        self.assertEqual(
            [each.crash for each in due.reports], [test_quarantine.crash("c")]
        )

    def test_bystander_is_not_reported(self):
        reports = crash_reports.CrashReports(1)
        reports.note(test_quarantine.crash("a"), 0.0)
        reports.forget("f")
        self.assertEqual(reports.due(9.0, quarantine.Book()), messages.ReportCrashes())

    def test_kept_until_taken(self):
        reports = crash_reports.CrashReports(1)
        reports.note(test_quarantine.crash("a"), 0.0)
        first = reports.due(1.0, quarantine.Book())
        reports.note(test_quarantine.crash("b"), 1.0)
        second = reports.due(3.0, quarantine.Book())
        ages = [each.age_seconds for each in second.reports]
        self.assertEqual(ages, [3.0, 2.0])
        reports.reported(first)
        left = reports.due(9.0, quarantine.Book()).reports
        self.assertEqual([each.crash for each in left], [test_quarantine.crash("b")])

    def test_bounded_while_the_group_is_away(self):
        reports = crash_reports.CrashReports(1)
        noted = [
            reports.note(test_quarantine.crash("a", f"f{number}"), 0.0)
            for number in range(crash_reports.MAX_WAITING + 1)
        ]
        self.assertEqual(noted.count(False), 1)
        due = reports.due(9.0, quarantine.Book())
        self.assertEqual(len(due.reports), crash_reports.MAX_WAITING)


class Group(unittest.TestCase):
    """What several senders have seen counts together, once each."""

    def setUp(self):
        self.state = machine.State()
        self.index = 0

    def apply(self, command, time):
        self.index += 1
        return machine.apply(command, self.state, machine.Context(self.index, time))

    def report(self, upstream_id, time, age=0.0):
        report = messages.CrashReport(test_quarantine.crash(upstream_id), age)
        return self.apply(crash_commands.NoteCrashes((report,)), time)

    def test_three_senders(self):
        self.report("a", 10.0)
        self.report("a", 10.3, 0.3)
        noted = self.report("b", 10.5, 0.4)
        self.assertEqual(noted.standings_by_fingerprint, {"f": "doubtful"})
        index = crash_commands.section_of(self.state).index
        # The same again, by another sender: nobody has to be told.
        self.assertEqual(self.report("b", 10.6).standings_by_fingerprint, {})
        self.assertEqual(crash_commands.section_of(self.state).index, index)
        noted = self.report("c", 11.0)
        self.assertEqual(noted.standings_by_fingerprint, {"f": "quarantined"})

    def test_cleared_and_lapsed(self):
        for number, name in enumerate("abc"):
            self.report(name, float(number))
        lapse = crash_commands.LapseCrashes()
        self.assertEqual(self.apply(lapse, 5.0).standings_by_fingerprint, {})
        noted = self.apply(lapse, 2.0 + quarantine.FIRST_SECONDS)
        self.assertEqual(noted.standings_by_fingerprint, {"f": "doubtful"})
        cleared = crash_commands.NoteCrashes(cleared=("f", "unknown"))
        noted = self.apply(cleared, 700.0)
        self.assertEqual(noted.standings_by_fingerprint, {"f": "clear"})

    def clear(self, fingerprint, time):
        self.apply(crash_commands.NoteCrashes(cleared=(fingerprint,)), time)

    def held_ids(self):
        book = crash_commands.section_of(self.state).book
        known = book.evidence_by_fingerprint
        return {name: set(each.ended_at_by_id) for name, each in known.items()}

    @tools.params("at once", "after a snapshot", "cleared twice")
    def test_report_that_is_sent_again(self, name):
        """A request that was answered is held to be doubtful.

        A report is committed; its answer is lost with the leader. The request is
        answered through another gateway, and cleared. The report, sent again to the
        leader of a later term, counted once more, after the answer.
        """
        self.report("a", 10.0)
        self.report("b", 10.1)
        self.clear("f", 10.2)
        if name == "after a snapshot":
            section = codec.encode(crash_commands.section_of(self.state))
            sections = {crash_commands.SECTION: codec.decode(section)}
            self.state = machine.State(sections)
        if name == "cleared twice":
            self.report("c", 10.3)
            self.clear("f", 10.4)
        self.report("a", 11.0)
        self.report("b", 11.1)
        self.assertEqual(self.held_ids(), {}, name)
        self.report("d", 11.2)
        self.assertEqual(self.held_ids(), {"f": {"d"}}, name)

    def test_bounded(self):
        for number in range(2 * crash_commands.MAX_CLEARED):
            report = messages.CrashReport(test_quarantine.crash("a", f"f{number}"), 0.0)
            self.apply(crash_commands.NoteCrashes((report,)), 1.0)
            self.clear(f"f{number}", 1.0)
        section = crash_commands.section_of(self.state)
        known = list(section.cleared_of_by_fingerprint)
        self.assertEqual(len(known), crash_commands.MAX_CLEARED)
        self.assertEqual(known[-1], f"f{number}")


class View:
    """Stands for a process's copy of what the group holds against requests."""

    def __init__(self):
        self.crashes = quarantine.Book()
        self.crashes_index = 0
        self.callbacks = []

    def watch(self, callback):
        self.callbacks.append(callback)

    def unwatch(self, callback):
        self.callbacks.remove(callback)


class Calls:
    """Stands for the way to the group's leader, which takes all that it is told."""

    def __init__(self, view, group=None):
        self.view = view
        # Another than the view's: the view is never told.
        self.group = view.crashes if group is None else group
        self.reports = []
        # Called while a report is on its way.
        self.meanwhile = lambda: None
        self.n_lost_answers = 0

    def call(self, message, timeout):
        self.meanwhile()
        self.reports.append(message)
        for fingerprint in message.cleared:
            self.group.clear(fingerprint)
        for each in message.reports:
            self.group.note(each.crash, 0.0)
        if self.n_lost_answers:
            self.n_lost_answers -= 1
            return result.Err("lost")
        if self.group is not self.view.crashes:
            return result.Ok(messages.CrashesRecorded(self.view.crashes_index + 1))
        self.view.crashes_index += 1
        return result.Ok(messages.CrashesRecorded(self.view.crashes_index))


class OwnBook(unittest.TestCase):
    """What a sender has seen counts until the group is known to have it."""

    def test_crash_that_is_noted_while_another_is_reported(self):
        """A request is sent to one more upstream than its sender's evidence allows.

        Its first crash is on the way to the group when the second one comes. The
        group's word that it has the first took both from the sender's own book; of the
        second, nobody knew until the next report.
        """
        view = View()
        calls = Calls(view)
        watch = crash_watch.CrashWatch(view, calls)

        def crash_again():
            calls.meanwhile = lambda: None
            watch.run_broke(broken_run("b"))
            with eventlet.Timeout(5.0):
                while "b" not in watch.ended_ids():
                    clock.sleep(0.001)
            calls.meanwhile = note_ended_ids

        def note_ended_ids():
            known.append(watch.ended_ids())

        known = []
        calls.meanwhile = crash_again
        watch.start()
        self.addCleanup(watch.stop)
        watch.run_broke(broken_run("a"))
        with eventlet.Timeout(5.0):
            while len(calls.reports) < 2:
                clock.sleep(0.005)
        self.assertEqual(known, [{"a", "b"}])

    @tools.params(
        # Name, answers of the group that are lost; whether the request is answered
        # while its crash is reported, and cut off once more before.
        ("while it is told", 0, True, False),
        ("while it is told, and the group's answer is lost", 1, True, False),
        ("after one more crash", 0, True, True),
        ("before the group's word is back", 0, False, False),
    )
    def test_answer_about_a_crash_that_is_reported(
        self, name, n_lost_answers, is_meanwhile, is_cut_off_again
    ):
        """A request is held to be doubtful that was answered since its crash.

        The crash is on its way to the group, or taken there, when the request is
        answered. Its sender's copy of the record does not show it yet, so the group was
        told nothing of the answer: the crash before it counted for ten minutes more.
        """
        view = View()
        calls = Calls(view, None if is_meanwhile else quarantine.Book())
        calls.n_lost_answers = n_lost_answers
        watch = crash_watch.CrashWatch(view, calls)

        def answer():
            calls.meanwhile = lambda: None
            if is_cut_off_again:
                self.cut_off(watch, "b")
            watch.was_answered(lambda: "f")

        if is_meanwhile:
            calls.meanwhile = answer
        watch.start()
        self.addCleanup(watch.stop)
        self.cut_off(watch, "a")
        self.wait_for(lambda: calls.reports)
        if not is_meanwhile:
            answer()
        self.wait_for(lambda: any(each.cleared for each in calls.reports))
        self.assertEqual(calls.group.evidence_by_fingerprint, {}, name)

    def cut_off(self, watch, upstream_id):
        watch.run_broke(broken_run(upstream_id))
        self.wait_for(lambda: upstream_id in watch.ended_ids())

    def wait_for(self, is_so):
        with eventlet.Timeout(5.0):
            while not is_so():
                clock.sleep(0.001)

    def test_answers_while_one_is_told(self):
        """The second of two answers is told, too: a crash may lie between them."""
        reports = crash_reports.CrashReports(1)
        reports.clear("f")
        first = reports.due(0.0, quarantine.Book())
        reports.clear("f")
        reports.reported(first)
        second = reports.due(0.0, quarantine.Book())
        self.assertEqual(second.cleared, ("f",))
        reports.reported(second)
        self.assertEqual(reports.due(0.0, quarantine.Book()).cleared, ())


def broken_run(upstream_id):
    """Return a run that was cut off, at an upstream where nobody listens."""
    address = f"127.0.0.1:{loopback.free_ports(1)[0]}"
    target = fleet_model.FleetUpstream(upstream_id, "s", address, "z", 1)
    return crash_watch.BrokenRun("r", "f", "POST h/x", target, 0.1)


class OneTrial(unittest.TestCase):
    """Copies that come through several gateways at once: one of them is sent."""

    def setUp(self):
        self.trials = trials.Trials()

    def test_one_at_a_time(self):
        self.assertTrue(self.trials.grant("f", 0.0))
        self.assertFalse(self.trials.grant("f", 0.1))
        self.assertTrue(self.trials.grant("g", 0.1))
        self.trials.end("f")
        self.assertTrue(self.trials.grant("f", 0.2))

    def test_trial_of_which_nothing_is_heard(self):
        self.trials.grant("f", 0.0)
        self.assertFalse(self.trials.grant("f", trials.TRIAL_SECONDS - 0.1))
        self.assertTrue(self.trials.grant("f", trials.TRIAL_SECONDS))

    def test_new_leader(self):
        """The leader before may just have granted one, of what was doubtful then."""
        self.trials.grant("f", 0.0)
        self.trials.begin(["f"], 1.0)
        self.assertFalse(self.trials.grant("f", 1.0))
        self.assertTrue(self.trials.grant("g", 1.0))
        self.assertTrue(self.trials.grant("f", 1.0 + trials.TRIAL_SECONDS))
