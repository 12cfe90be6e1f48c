"""Reports of crash-causing requests between the processes."""

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
    """Which crashes are reported to the control group, and when."""

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
            reports.record(test_quarantine.crash(upstream_id), at)
        due = reports.due(now, quarantine.CrashHistory())
        self.assertEqual(len(due.reports), n_reported, name)
        is_due = reports.next_due_at(quarantine.CrashHistory()) <= now
        self.assertEqual(is_due, bool(n_reported), name)

    def test_one_more_crash_of_a_suspect(self):
        reports = crash_reports.CrashReports(2)
        reports.record(test_quarantine.crash("c"), 1.0)
        due = reports.due(1.0, test_quarantine.history_of(("a", 0.0)))
        self.assertEqual(
            [each.crash for each in due.reports], [test_quarantine.crash("c")]
        )

    def test_answered_request_is_not_reported(self):
        reports = crash_reports.CrashReports(1)
        reports.record(test_quarantine.crash("a"), 0.0)
        reports.forget("f")
        self.assertEqual(
            reports.due(9.0, quarantine.CrashHistory()), messages.ReportCrashes()
        )

    def test_kept_until_taken(self):
        reports = crash_reports.CrashReports(1)
        reports.record(test_quarantine.crash("a"), 0.0)
        first = reports.due(1.0, quarantine.CrashHistory())
        reports.record(test_quarantine.crash("b"), 1.0)
        second = reports.due(3.0, quarantine.CrashHistory())
        ages = [each.age_seconds for each in second.reports]
        self.assertEqual(ages, [3.0, 2.0])
        reports.remove_acknowledged(first)
        left = reports.due(9.0, quarantine.CrashHistory()).reports
        self.assertEqual([each.crash for each in left], [test_quarantine.crash("b")])

    def test_bounded_while_the_group_is_unavailable(self):
        reports = crash_reports.CrashReports(1)
        recorded = [
            reports.record(test_quarantine.crash("a", f"f{number}"), 0.0)
            for number in range(crash_reports.MAX_PENDING + 1)
        ]
        self.assertEqual(recorded.count(False), 1)
        due = reports.due(9.0, quarantine.CrashHistory())
        self.assertEqual(len(due.reports), crash_reports.MAX_PENDING)


class Group(unittest.TestCase):
    """Crashes that several senders report count together, once each."""

    def setUp(self):
        self.state = machine.State()
        self.index = 0

    def apply(self, command, time):
        self.index += 1
        return machine.apply(command, self.state, machine.Context(self.index, time))

    def report(self, upstream_id, time, age=0.0):
        report = messages.CrashReport(test_quarantine.crash(upstream_id), age)
        return self.apply(crash_commands.RecordCrashes((report,)), time)

    def test_three_senders(self):
        self.report("a", 10.0)
        self.report("a", 10.3, 0.3)
        recorded = self.report("b", 10.5, 0.4)
        self.assertEqual(recorded.standings_by_fingerprint, {"f": "doubtful"})
        index = crash_commands.section_of(self.state).index
        # The same crash, reported by another sender: the history does not change.
        self.assertEqual(self.report("b", 10.6).standings_by_fingerprint, {})
        self.assertEqual(crash_commands.section_of(self.state).index, index)
        recorded = self.report("c", 11.0)
        self.assertEqual(recorded.standings_by_fingerprint, {"f": "quarantined"})

    def test_cleared_and_lapsed(self):
        for number, name in enumerate("abc"):
            self.report(name, float(number))
        expire = crash_commands.ExpireCrashes()
        self.assertEqual(self.apply(expire, 5.0).standings_by_fingerprint, {})
        recorded = self.apply(expire, 2.0 + quarantine.FIRST_SECONDS)
        self.assertEqual(recorded.standings_by_fingerprint, {"f": "doubtful"})
        cleared = crash_commands.RecordCrashes(cleared=("f", "unknown"))
        recorded = self.apply(cleared, 700.0)
        self.assertEqual(recorded.standings_by_fingerprint, {"f": "clear"})

    def clear(self, fingerprint, time):
        self.apply(crash_commands.RecordCrashes(cleared=(fingerprint,)), time)

    def recorded_ids(self):
        history = crash_commands.section_of(self.state).book
        known = history.evidence_by_fingerprint
        return {name: set(each.ended_at_by_id) for name, each in known.items()}

    @tools.params("at once", "after a snapshot", "cleared twice")
    def test_report_that_is_sent_again(self, name):
        """A request that was answered is suspected again.

        A report is committed, but its acknowledgement is lost with the leader. The
        request is answered through another gateway and cleared. If the report, resent
        to the leader of a later term, counts again, it counts after the answer.
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
        self.assertEqual(self.recorded_ids(), {}, name)
        self.report("d", 11.2)
        self.assertEqual(self.recorded_ids(), {"f": {"d"}}, name)

    def test_bounded(self):
        for number in range(2 * crash_commands.MAX_CLEARED):
            report = messages.CrashReport(test_quarantine.crash("a", f"f{number}"), 0.0)
            self.apply(crash_commands.RecordCrashes((report,)), 1.0)
            self.clear(f"f{number}", 1.0)
        section = crash_commands.section_of(self.state)
        known = list(section.cleared_of_by_fingerprint)
        self.assertEqual(len(known), crash_commands.MAX_CLEARED)
        self.assertEqual(known[-1], f"f{number}")


class View:
    """Fake of a process's copy of the group's crash history."""

    def __init__(self):
        self.crashes = quarantine.CrashHistory()
        self.crashes_index = 0
        self.callbacks = []

    def watch(self, callback):
        self.callbacks.append(callback)

    def unwatch(self, callback):
        self.callbacks.remove(callback)


class Calls:
    """Fake of the calls to the group's leader, which accepts all reports."""

    def __init__(self, view, group=None):
        self.view = view
        # If this is not the view's own history, the view is never updated.
        self.group = view.crashes if group is None else group
        self.reports = []
        # Called while a report is in transit.
        self.meanwhile = lambda: None
        self.n_lost_answers = 0

    def call(self, message, timeout):
        self.meanwhile()
        self.reports.append(message)
        for fingerprint in message.cleared:
            self.group.clear(fingerprint)
        for each in message.reports:
            self.group.record(each.crash, 0.0)
        if self.n_lost_answers:
            self.n_lost_answers -= 1
            return result.Err("lost")
        if self.group is not self.view.crashes:
            return result.Ok(messages.CrashesRecorded(self.view.crashes_index + 1))
        self.view.crashes_index += 1
        return result.Ok(messages.CrashesRecorded(self.view.crashes_index))


class LocalHistory(unittest.TestCase):
    """A sender counts its own crashes until the group is known to have them."""

    def test_crash_recorded_while_another_is_reported(self):
        """A request is sent to one more upstream than its crash history allows.

        The second crash of the request is recorded while the first is being reported.
        If the acknowledgement of the first removes both from the sender's own history,
        the second counts nowhere until the next report.
        """
        view = View()
        calls = Calls(view)
        watch = crash_watch.CrashWatch(view, calls)

        def crash_again():
            calls.meanwhile = lambda: None
            watch.record_broken_run(broken_run("b"))
            with eventlet.Timeout(5.0):
                while "b" not in watch.crashed_ids():
                    clock.sleep(0.001)
            calls.meanwhile = record_crashed_ids

        def record_crashed_ids():
            known.append(watch.crashed_ids())

        known = []
        calls.meanwhile = crash_again
        watch.start()
        self.addCleanup(watch.stop)
        watch.record_broken_run(broken_run("a"))
        with eventlet.Timeout(5.0):
            while len(calls.reports) < 2:
                clock.sleep(0.005)
        self.assertEqual(known, [{"a", "b"}])

    @tools.params(
        # Name, number of lost acknowledgements, whether the request is answered while
        # its crash is reported, and whether it is cut off once more before.
        ("while it is reported", 0, True, False),
        ("while it is reported, and the acknowledgement is lost", 1, True, False),
        ("after one more crash", 0, True, True),
        ("before the view is updated", 0, False, False),
    )
    def test_answer_about_a_crash_that_is_reported(
        self, name, n_lost_answers, is_meanwhile, is_cut_off_again
    ):
        """A request that was answered after its crash is still suspected.

        The crash is in transit to the group, or stored there, when the request is
        answered. The sender's copy of the history does not contain it yet. If the
        answer is not reported then, the earlier crash counts for ten minutes more.
        """
        view = View()
        calls = Calls(view, None if is_meanwhile else quarantine.CrashHistory())
        calls.n_lost_answers = n_lost_answers
        watch = crash_watch.CrashWatch(view, calls)

        def answer():
            calls.meanwhile = lambda: None
            if is_cut_off_again:
                self.cut_off(watch, "b")
            watch.record_answer(lambda: "f")

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
        watch.record_broken_run(broken_run(upstream_id))
        self.wait_for(lambda: upstream_id in watch.crashed_ids())

    def wait_for(self, is_so):
        with eventlet.Timeout(5.0):
            while not is_so():
                clock.sleep(0.001)

    def test_answer_while_another_is_reported(self):
        """The second of two answers is reported too: a crash may lie between them."""
        reports = crash_reports.CrashReports(1)
        reports.clear("f")
        first = reports.due(0.0, quarantine.CrashHistory())
        reports.clear("f")
        reports.remove_acknowledged(first)
        second = reports.due(0.0, quarantine.CrashHistory())
        self.assertEqual(second.cleared, ("f",))
        reports.remove_acknowledged(second)
        self.assertEqual(reports.due(0.0, quarantine.CrashHistory()).cleared, ())


def broken_run(upstream_id):
    """Return a run that was cut off, at an address where no process listens."""
    address = f"127.0.0.1:{loopback.free_ports(1)[0]}"
    target = fleet_model.FleetUpstream(upstream_id, "s", address, "z", 1)
    return crash_watch.BrokenRun("r", "f", "POST h/x", target, 0.1)


class OneTrial(unittest.TestCase):
    """Of copies that arrive through several gateways at once, one is sent."""

    def setUp(self):
        self.trials = trials.Trials()

    def test_one_at_a_time(self):
        self.assertTrue(self.trials.grant("f", 0.0))
        self.assertFalse(self.trials.grant("f", 0.1))
        self.assertTrue(self.trials.grant("g", 0.1))
        self.trials.end("f")
        self.assertTrue(self.trials.grant("f", 0.2))

    def test_one_at_an_upstream(self):
        """Two suspected requests are tried at one upstream, which crashes.

        The crash shows nothing of which of them caused it.
        """
        self.assertTrue(self.trials.grant("f", 0.0, ["a", "b"]))
        self.assertEqual(self.trials.upstream_of("f"), "a")
        self.assertTrue(self.trials.grant("g", 0.1, ["a", "b"]))
        self.assertEqual(self.trials.upstream_of("g"), "b")
        self.assertFalse(self.trials.grant("h", 0.2, ["a", "b"]))
        self.trials.end("f")
        self.assertTrue(self.trials.grant("h", 0.3, ["a", "b"]))
        self.assertEqual(self.trials.upstream_of("h"), "a")

    def test_trial_without_outcome(self):
        self.trials.grant("f", 0.0)
        self.assertFalse(self.trials.grant("f", trials.TRIAL_SECONDS - 0.1))
        self.assertTrue(self.trials.grant("f", trials.TRIAL_SECONDS))

    def test_new_leader(self):
        """The previous leader may just have granted a trial of a suspected request."""
        self.trials.grant("f", 0.0)
        self.trials.begin(["f"], 1.0)
        self.assertFalse(self.trials.grant("f", 1.0))
        self.assertTrue(self.trials.grant("g", 1.0))
        self.assertTrue(self.trials.grant("f", 1.0 + trials.TRIAL_SECONDS))
