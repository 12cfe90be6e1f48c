"""Reports of use: what gateways count, what is closed, and what is told outside.

BILBERRYDRUM_SCHEDULES sets how many drawn schedules are run.
"""

import contextlib
import os
import random
import unittest

import attrs
import hypothesis
import result
from hypothesis import strategies
from nose2 import tools

from bilberrydrum import interfaces, reasons
from bilberrydrum.state import client, machine, tenure
from bilberrydrum.usage import (
    agreed_time,
    commands,
    gathering,
    meter,
    model,
    reporter,
)
from tests import helpers
from tests.fakes import receiver

N_SCHEDULES = int(os.environ.get("BILBERRYDRUM_SCHEDULES", "60"))
OPTIONS = model.UsageOptions(5.0, 10.0, "outside")
# The hub's clock says 1,000 when the time of day is this; a window's first moment.
UNIX = 1_700_000_000.0
FIRST = model.window_at(UNIX, 5.0)


def telling(
    counts=None,
    complete_before=FIRST + 1,
    incarnation="a",
    sequence=1,
    is_last=False,
):
    told = tuple(
        model.WindowCounts(window, n_by_account)
        for window, n_by_account in (counts or {}).items()
    )
    return model.Telling(incarnation, sequence, complete_before, told, is_last)


class AgreedTime(unittest.TestCase):
    """Clocks of a third of the hosts jump by two seconds and back."""

    @tools.params(
        ("none", [], None),
        ("alone", [7.0], 7.0),
        ("a third ahead", [7.0, 7.001, 6.999, 7.002, 9.0, 9.0], 7.0015),
        ("a third behind", [7.0, 7.001, 6.999, 5.0, 7.002, 5.0], 6.9995),
        ("one beyond all sense", [7.0, 7.0, 1e9], 7.0),
    )
    def test_median(self, name, offsets, expected):
        found = agreed_time.median_offset(offsets)
        if expected is None:
            self.assertIsNone(found, name)
        else:
            self.assertAlmostEqual(found, expected, msg=name)

    def test_fastest_answer_counts(self):
        """An answer that was under way for a second may be off by half of it."""
        time = agreed_time.AgreedTime()
        time.learn(UNIX + 0.9, 1000.0, 1001.0)
        time.learn(UNIX + 2.0005, 1002.0, 1002.001)
        time.learn(UNIX + 3.1, 1003.0, 1004.0)
        self.assertAlmostEqual(time.unix_time(1010.0), UNIX + 10.0, places=6)


class Metered(unittest.TestCase):
    """What a gateway has counted, and what it says of windows to come."""

    def setUp(self):
        held = helpers.manual_clock()
        self.clock = held.__enter__()
        self.addCleanup(held.__exit__, None, None, None)
        self.meter = meter.Meter(5.0)
        self.learn()

    def learn(self, closed_before=0):
        unix_time = UNIX + self.clock.now - 1000.0
        self.meter.learn(unix_time, self.clock.now, self.clock.now, closed_before)

    def run_one(self, account="acme", began=True, seconds=0.01):
        with meter.attempt(self.meter, account) as attempt:
            attempt.began_at = self.clock.now if began else None
            self.clock.advance(seconds)

    def counts(self):
        told = self.meter.telling().counts
        return {each.window - FIRST: each.n_by_account for each in told}

    def test_by_window_and_account(self):
        self.run_one()
        self.run_one("beta")
        self.run_one(began=False)
        self.run_one("")
        self.run_one(None)
        self.clock.advance(4.99)
        self.run_one()
        self.assertEqual(self.counts(), {0: {"acme": 1, "beta": 1}, 1: {"acme": 1}})

    def test_by_the_sending(self):
        """A request counts where it was sent, however long it takes."""
        self.clock.advance(4.9)
        self.run_one(seconds=1.0)
        self.assertEqual(self.counts(), {0: {"acme": 1}})

    def test_complete_once_nothing_is_under_way(self):
        self.clock.advance(4.9)
        with meter.attempt(self.meter, "acme"):
            self.clock.advance(1.0)
            self.assertEqual(self.meter.telling().complete_before, FIRST)
        self.assertEqual(self.meter.telling().complete_before, FIRST + 1)

    def test_told_until_closed(self):
        """A telling may be lost, so all is told again until its window is closed."""
        self.run_one()
        first, second = self.meter.telling(), self.meter.telling()
        self.assertEqual(first.counts, second.counts)
        self.assertLess(first.sequence, second.sequence)
        self.learn(FIRST + 1)
        self.assertEqual(self.counts(), {})
        self.run_one()
        self.assertEqual(self.counts(), {}, "counted after its window was closed")

    def test_bounded(self):
        """Without a control group the oldest windows go."""
        for _ in range(meter.MAX_WINDOWS + 5):
            self.run_one()
            self.clock.advance(5.0)
        self.assertEqual(len(self.counts()), meter.MAX_WINDOWS)

    def test_last_words(self):
        self.assertFalse(self.meter.telling().is_last)
        self.meter.is_stopping = True
        self.assertTrue(self.meter.telling().is_last)

    def test_before_the_first_answer(self):
        fresh = meter.Meter(5.0)
        with meter.attempt(fresh, "acme") as attempt:
            attempt.began_at = self.clock.now
        self.assertIsNone(fresh.telling())

    def test_not_counted(self):
        with meter.attempt(None, "acme") as attempt:
            attempt.began_at = 1.0


class Gathered(unittest.TestCase):
    """When a window is closed, and with what; times since the window's first moment."""

    DONE = telling({FIRST: {"acme": 2}})
    OPEN = telling({FIRST: {"acme": 2}}, FIRST)

    @tools.params(
        ("told by all", [("g1", DONE), ("g2", DONE)], 5.1, {"acme": 4}),
        ("not over", [("g1", DONE)], 4.9, None),
        ("one still has work under way", [("g1", DONE), ("g2", OPEN)], 5.1, None),
        ("waited for no longer", [("g1", DONE), ("g2", OPEN)], 11.0, {"acme": 4}),
        ("nobody told anything", [], 5.1, {}),
        (
            "killed and started again",
            [("g1", OPEN), ("g1", telling({FIRST: {"beta": 1}}, incarnation="b"))],
            5.1,
            {"acme": 2, "beta": 1},
        ),
        (
            "told twice, the later first",
            [
                ("g1", telling({FIRST: {"acme": 3}}, sequence=2)),
                ("g1", telling({FIRST: {"acme": 1}}, sequence=1)),
            ],
            5.1,
            {"acme": 3},
        ),
        (
            "stopped in order",
            [("g1", telling({FIRST: {"acme": 1}}, FIRST, is_last=True))],
            5.1,
            {"acme": 1},
        ),
    )
    def test_close(self, name, told, seconds, expected):
        gathered = gathering.Gathering(OPTIONS, 900.0)
        for address, each in told:
            gathered.note(address, each, 1004.0)
        closed = gathered.closable(FIRST, UNIX + seconds, 1000.0 + seconds, 3.0)
        counts = [each.n_by_account for each in closed]
        self.assertEqual(counts, [] if expected is None else [expected], name)

    def test_a_new_leader_waits_to_be_told(self):
        gathered = gathering.Gathering(OPTIONS, 1004.0)
        gathered.note("g1", self.DONE, 1004.5)
        self.assertEqual(list(gathered.closable(FIRST, UNIX + 6, 1006.0, 3.0)), [])
        closed = list(gathered.closable(FIRST, UNIX + 7.5, 1007.5, 3.0))
        self.assertEqual(closed, [model.WindowCounts(FIRST, {"acme": 2})])

    def test_after_a_long_stand_still(self):
        """All windows since then are closed, in order, the empty ones too."""
        gathered = gathering.Gathering(OPTIONS, 900.0)
        gathered.note("g1", telling({FIRST + 2: {"acme": 1}}, FIRST + 9), 1040.0)
        closed = list(gathered.closable(FIRST, UNIX + 21.0, 1041.0, 3.0))
        self.assertEqual([each.window - FIRST for each in closed], [0, 1, 2, 3])
        self.assertEqual(closed[2].n_by_account, {"acme": 1})

    def test_former_processes_are_forgotten(self):
        gathered = gathering.Gathering(OPTIONS, 900.0)
        gathered.note("g1", self.DONE, 1004.0)
        gathered.note("g1", telling({}, FIRST + 3, "b"), 1004.0)
        self.assertEqual(gathered.first_window(), FIRST)
        gathered.forget_before(FIRST + 1)
        self.assertIsNone(gathered.first_window())


class Closed(unittest.TestCase):
    """The first content of a window stands, whoever comes with another one."""

    def apply(self, *given):
        state = machine.State()
        for index, command in enumerate(given, 1):
            machine.apply(command, state, machine.Context(index, float(index)))
        return commands.section_of(state)

    def close(self, window, n):
        return commands.CloseWindows((model.WindowCounts(window, {"acme": n}),))

    def test_once(self):
        section = self.apply(self.close(5, 1), self.close(5, 2), self.close(4, 3))
        self.assertEqual(section.closed_before, 6)
        pending = {k: v.n_by_account for k, v in section.pending_by_window.items()}
        self.assertEqual(pending, {5: {"acme": 1}})

    def test_confirmed(self):
        confirm = commands.ConfirmWindows((5,))
        section = self.apply(self.close(5, 1), confirm, confirm, self.close(5, 2))
        self.assertEqual(section.pending_by_window, {})

    def test_bounded(self):
        given = [self.close(n, 1) for n in range(commands.MAX_PENDING + 3)]
        section = self.apply(*given)
        self.assertEqual(min(section.pending_by_window), 3)


class Group:
    """A control group of several replicas with one state, of which one leads."""

    def __init__(self, clock):
        self.clock = clock
        self.state_ = machine.State()
        self.term = 0
        self.leader = None
        self.index = 0
        # The next commands are applied, but nobody is told.
        self.loses_answers = False

    def elect(self, replica):
        self.term += 1
        self.leader = replica
        replica.held = interfaces.Leadership(self.term, self.clock.now)

    def commit(self, replica, command):
        if replica is not self.leader or replica.is_deposed():
            return result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE))
        self.index += 1
        context = machine.Context(self.index, self.clock.now)
        answer = machine.apply(command, self.state_, context)
        if self.loses_answers:
            return result.Err(client.StateError(reasons.Reason.STATE_UNAVAILABLE, True))
        return result.Ok(answer)


@attrs.define(eq=False)
class Replica:
    """One of them; a frozen one does not know that it was deposed until it looks."""

    group: Group
    held: interfaces.Leadership | None = None

    def is_deposed(self):
        return self.held is None or self.held.term != self.group.term

    def leadership(self):
        return None if self.is_deposed() else self.held

    def state(self):
        return self.group.state_

    def propose(self, command, timeout=5.0):
        return self.group.commit(self, command)


class World:
    """Three control processes, two gateways, and the receiver."""

    def __init__(self, clock, is_fenced=True):
        self.clock = clock
        self.receiver = receiver.Receiver(is_fenced)
        self.group = Group(clock)
        self.replicas = [Replica(self.group) for _ in range(3)]
        self.reporters = [
            self.make_reporter(n, each, is_fenced)
            for n, each in enumerate(self.replicas)
        ]
        self.meters = {f"g{n}": meter.Meter(5.0) for n in range(2)}
        # What upstreams began, by window and account.
        self.truth = {}
        self.lead(0)

    def make_reporter(self, n, replica, is_fenced):
        made = reporter.UsageReporter(
            OPTIONS,
            replica,
            receiver.PlainReports(),
            f"control-{n}",
            tenure.Tenure(replica, 3.0, is_fenced),
            self.receiver.call,
        )
        made.unix_time = lambda: UNIX + self.clock.now - 1000.0
        return made

    def lead(self, n):
        self.group.elect(self.replicas[n])

    def renew(self, address):
        leading = [
            each
            for each, replica in zip(self.reporters, self.replicas, strict=True)
            if replica.leadership() is not None
        ]
        for each in leading:
            told = self.meters[address].telling()
            each.heard(address, 0.0, told)
            self.meters[address].learn(
                each.unix_time(), self.clock.now, self.clock.now, each.closed_before()
            )

    def serve(self, address, account="acme"):
        with meter.attempt(self.meters[address], account) as attempt:
            attempt.began_at = self.clock.now
        window = model.window_at(UNIX + self.clock.now - 1000.0, 5.0)
        counts = self.truth.setdefault(window, {})
        counts[account] = counts.get(account, 0) + 1

    def step(self, seconds=0.5):
        self.clock.advance(seconds)
        for address in self.meters:
            self.renew(address)
        for each in self.reporters:
            each.close_windows()
            each.report()

    def run(self, seconds):
        for _ in range(int(seconds / 0.5)):
            self.step()


@contextlib.contextmanager
def world(is_fenced=True):
    with helpers.manual_clock() as clock:
        made = World(clock, is_fenced)
        made.run(4.0)
        yield made


class Reported(unittest.TestCase):
    """From a request at a gateway to the receiver, with what may go wrong between."""

    def check(self, made, is_exact=True):
        self.assertEqual(made.receiver.broken, [])
        if is_exact:
            told = made.receiver.counts_by_window
            for window, counts in made.truth.items():
                self.assertEqual(told.get(window), counts, window - FIRST)

    def serve_and_run(self, made, seconds=8.0):
        for _ in range(int(seconds * 2)):
            made.serve("g0")
            made.serve("g1", "beta")
            made.step()

    def test_calm(self):
        """Each window's report is there soon after its end, and exact."""
        with world() as made:
            self.serve_and_run(made)
            made.run(7.0)
            self.check(made)
            self.assertEqual(made.group.state_.sections["usage"].pending_by_window, {})

    @tools.params("answers", "silent", "late", "down", "busy")
    def test_receiver(self, how):
        """The receiver is out of order for 20 s; then all windows are caught up."""
        with world() as made:
            made.receiver.how = how
            self.serve_and_run(made, 20.0)
            made.receiver.how = "answers"
            made.run(10.0)
            made.receiver.carry_out_late(random.Random(1))
            self.check(made)

    def test_holder_changes_between_the_commit_and_the_call(self):
        """The next leader reports what was closed, not what it would have closed."""
        with world() as made:
            made.receiver.how = "down"
            self.serve_and_run(made)
            closed = dict(made.group.state_.sections["usage"].pending_by_window)
            self.assertTrue(closed)
            made.lead(1)
            made.receiver.how = "answers"
            made.run(9.0)
            self.check(made)
            for window, counts in closed.items():
                self.assertEqual(
                    made.receiver.counts_by_window[window], counts.n_by_account
                )

    def test_holder_changes_between_the_call_and_its_answer(self):
        """Sent by the first, and again by the second: the same to the receiver."""
        with world() as made:
            made.receiver.how = "silent"
            self.serve_and_run(made)
            made.lead(2)
            made.receiver.how = "answers"
            made.run(9.0)
            self.check(made)

    def test_commit_whose_answer_is_lost(self):
        with world() as made:
            made.group.loses_answers = True
            self.serve_and_run(made)
            made.group.loses_answers = False
            made.run(9.0)
            self.check(made)

    def test_gateway_killed(self):
        """What it told last counts; what it had not told is lost, and nothing else."""
        with world() as made:
            self.serve_and_run(made, 3.0)
            made.serve("g0")
            made.meters["g0"] = meter.Meter(5.0)
            made.run(12.0)
            self.check(made, is_exact=False)
            missing = {
                window: counts["acme"] - made.receiver.counts_by_window[window]["acme"]
                for window, counts in made.truth.items()
            }
            self.assertEqual(sum(missing.values()), 1, missing)

    def test_gateway_cut_off_over_a_windows_end(self):
        """Its counts come four seconds late and are waited for."""
        with world() as made:
            held = made.meters.pop("g1")
            for _ in range(8):
                made.serve("g0")
                with meter.attempt(held, "beta") as attempt:
                    attempt.began_at = made.clock.now
                window = model.window_at(UNIX + made.clock.now - 1000.0, 5.0)
                counts = made.truth.setdefault(window, {})
                counts["beta"] = counts.get("beta", 0) + 1
                made.step()
            made.meters["g1"] = held
            made.run(12.0)
            self.check(made)

    def test_leaders_change_in_series(self):
        with world() as made:
            for n in (1, 2, 0, 1):
                self.serve_and_run(made, 6.0)
                made.lead(n)
            made.run(14.0)
            self.check(made)

    def test_refused_number_is_not_used_again(self):
        """The receiver has seen a higher number: the holder stops calling."""
        with world() as made:
            made.receiver.highest_number = 99
            self.serve_and_run(made)
            made.run(12.0)
            self.assertEqual(made.receiver.n_refused, 1)

    def test_turns(self):
        """A leads, B leads and acts, A leads again: A waits until its turn is over."""
        with world() as made:
            first, second = made.replicas[:2]
            right = tenure.Tenure(first, 3.0, True)
            self.assertIsNotNone(right.take_number())
            made.group.elect(second)
            self.assertIsNone(right.take_number())
            made.group.elect(first)
            made.clock.advance(2.0)
            self.assertIsNone(right.take_number())
            made.clock.advance(1.5)
            self.assertIsNotNone(right.take_number())

    @tools.params((True, 1), (False, None))
    def test_new_holder(self, is_fenced, expected):
        """Where numbers are not checked, what the one before sent must be over."""
        with helpers.manual_clock() as clock:
            group = Group(clock)
            replica = Replica(group)
            group.elect(replica)
            right = tenure.Tenure(replica, 3.0, is_fenced)
            self.assertEqual(right.take_number(), expected)
            clock.advance(3.0)
            self.assertEqual(right.take_number(), 1)


STEPS = strategies.lists(
    strategies.sampled_from(
        [
            *["serve g0", "serve g1", "step", "step", "step 2"],
            *["lead 0", "lead 1", "lead 2", "kill g0", "carry out"],
            *["answers", "silent", "late", "down", "busy", "lose", "keep"],
        ]
    ),
    min_size=10,
    max_size=80,
)


class Schedules(unittest.TestCase):
    """Leaders, gateways and the receiver fail in any order."""

    @hypothesis.settings(
        derandomize=True, max_examples=N_SCHEDULES, deadline=None, database=None
    )
    @hypothesis.given(
        steps=STEPS, is_fenced=strategies.booleans(), seed=strategies.integers(0, 99)
    )
    def test_no_two_reports_differ(self, steps, is_fenced, seed):
        rng = random.Random(seed)
        with world(is_fenced) as made:
            for each in steps:
                self.carry_out(made, each, rng)
            made.receiver.how = "answers"
            made.group.loses_answers = False
            made.run(15.0)
            made.receiver.carry_out_late(rng)
            self.assertEqual(made.receiver.broken, [])
            # Nothing is reported that did not begin.
            for window, counts in made.receiver.counts_by_window.items():
                truth = made.truth.get(window, {})
                for account, n in counts.items():
                    self.assertLessEqual(n, truth.get(account, 0))
            # All that was closed is reported in the end.
            section = made.group.state_.sections["usage"]
            self.assertEqual(section.pending_by_window, {})

    def carry_out(self, made, step, rng):
        kind, _, what = step.partition(" ")
        if kind == "serve":
            made.serve(what, rng.choice(["acme", "beta"]))
        elif kind == "step":
            made.step(float(what or 0.5))
        elif kind == "lead":
            made.lead(int(what))
        elif kind == "kill":
            made.meters[what] = meter.Meter(5.0)
            made.renew(what)
        elif kind == "carry":
            made.receiver.carry_out_late(rng)
        elif kind in ("lose", "keep"):
            made.group.loses_answers = kind == "lose"
        else:
            made.receiver.how = kind
