"""Upstreams that start again under their name, and words that come late."""

import random
import unittest

import eventlet
from nose2 import tools

from bilberrydrum.fleet import (
    commands,
    control,
    incarnations,
    messages,
    model,
    policy,
)
from bilberrydrum.fleet import liveness as fleet_liveness
from bilberrydrum.state import machine
from tests import helpers
from tests.fakes import lone_leader

SERVICE = "s"
# Upstreams announce themselves this often, in seconds.
ANNOUNCE_SECONDS = 1.2
SILENT_SECONDS = 4.0


def upstream(name="i-1", start=None, sequence=1, address="1.1.1.1:80", **fields):
    values = {"service": SERVICE, **fields}
    service = values.pop("service")
    return model.FleetUpstream(
        name,
        service,
        address,
        "zone",
        6,
        sequence=sequence,
        started_at_ms=start,
        **values,
    )


def leaving(*args, **fields):
    return upstream(*args, is_leaving=True, **fields)


class Leader:
    """The control group's leader, told things one after the other."""

    def __init__(self, clock):
        self.clock = clock
        self.replica = lone_leader.LoneLeader(clock)
        self.carrier = lone_leader.Carrier()
        options = control.ControlOptions(SILENT_SECONDS)
        self.service = control.ControlService(options, self.replica, self.carrier)
        self.service.start()

    def tell(self, message):
        self.carrier.handlers_by_class[type(message)](None, message)
        # Let the task that answers run.
        eventlet.sleep(0)
        eventlet.sleep(0)
        return self.carrier.answers.pop()

    def announce(self, given):
        """Tell whether the announcement was acknowledged."""
        return isinstance(self.tell(messages.Announce(given)), messages.Done)

    def depart(self, name, start=None):
        return self.tell(messages.Depart(name, start))

    def put_policy(self, *services):
        known = tuple(policy.Service(each) for each in services)
        self.tell(messages.SubmitPolicy(policy.Policy(1, (), known), b""))

    @property
    def section(self):
        return commands.section_of(self.replica.state())

    def known(self):
        return [
            (each.upstream_id, each.is_leaving)
            for each in self.section.upstreams_by_id.values()
        ]


class Told(unittest.TestCase):
    """Base of the tests that tell a leader things."""

    def setUp(self):
        self.clock = self.enterContext(helpers.manual_clock())
        self.leader = Leader(self.clock)
        self.addCleanup(self.leader.service.stop)


class NewIncarnations(Told):
    """An upstream crashes and starts again under its name; words of before come late.

    Taken for the earlier one's, the new one's announcements would count as late ones
    (their numbers begin anew), its weights as those of before, and one that had said
    that it leaves would stay gone. What the earlier one said must change nothing.
    """

    @tools.params(
        ("first", [upstream(start=5)], [("i-1/5", False)]),
        (
            "starts again within a second; numbers begin anew",
            [upstream(start=5, sequence=9), upstream(start=6, sequence=1)],
            [("i-1/6", False)],
        ),
        (
            "starts again at another address",
            [upstream(start=5), upstream(start=6, address="1.1.1.2:80")],
            [("i-1/6", False)],
        ),
        (
            "the earlier one's word after the new one's",
            [upstream(start=6), upstream(start=5, sequence=99)],
            [("i-1/6", False)],
        ),
        (
            "the earlier one's leaving after the new one's start",
            [upstream(start=6), leaving(start=5, sequence=99)],
            [("i-1/6", False)],
        ),
        (
            "one that was leaving starts again",
            [leaving(start=5, sequence=9), upstream(start=6)],
            [("i-1/6", False)],
        ),
        (
            "the same start: one incarnation, in the order of its numbers",
            [upstream(start=5, sequence=9), leaving(start=5, sequence=8)],
            [("i-1/5", False)],
        ),
        (
            "the same start, leaving, and a word from before",
            [leaving(start=5, sequence=9), upstream(start=5, sequence=10)],
            [("i-1/5", True)],
        ),
        (
            "an announcement without a start displaces none that has it",
            [upstream(start=5), upstream(sequence=99)],
            [("i-1/5", False)],
        ),
        (
            "one with a start takes the place of one without",
            [upstream(sequence=99), upstream(start=5)],
            [("i-1/5", False)],
        ),
        (
            "another upstream starts at the address",
            [upstream(start=5), upstream("i-2", start=6)],
            [("i-2/6", False)],
        ),
        (
            "an earlier upstream's word after the address was taken over",
            [upstream("i-2", start=6), upstream(start=5, sequence=9)],
            [("i-2/6", False)],
        ),
        (
            "without starts, who was at the address before is the earlier one",
            [upstream(), upstream("i-2"), upstream(sequence=9)],
            [("i-2", False)],
        ),
    )
    def test_announced(self, name, announced, expected):
        for each in announced:
            self.leader.announce(each)
            self.clock.advance(0.1)
        self.assertEqual(self.leader.known(), expected, name)

    @tools.params(
        ("the one that is there", [upstream(start=5)], 5, []),
        ("no start told", [upstream(start=5)], None, []),
        (
            "the one before, late",
            [upstream(start=5), upstream(start=6)],
            5,
            [("i-1/6", False)],
        ),
        ("one that was never heard", [upstream(start=5)], 6, []),
    )
    def test_departed(self, name, announced, start, expected):
        for each in announced:
            self.leader.announce(each)
        self.assertIsInstance(self.leader.depart("i-1", start), messages.Done)
        self.assertEqual(self.leader.known(), expected, name)

    @tools.params(
        ("the same one", upstream(start=5, sequence=99), []),
        ("an earlier one", upstream(start=4, sequence=99), []),
        ("one without a start", upstream(sequence=99), []),
        ("the next one", upstream(start=6), [("i-1/6", False)]),
    )
    def test_announced_after_a_departure(self, name, given, expected):
        self.leader.announce(upstream(start=5))
        self.leader.depart("i-1", 5)
        self.leader.announce(given)
        self.assertEqual(self.leader.known(), expected, name)

    def test_another_leader_in_between(self):
        """The leader is lost between two incarnations; the next one knows the log only.

        It must not take the earlier one's late word for the first that it hears.
        """
        self.leader.announce(upstream(start=5, sequence=50))
        self.leader.announce(upstream(start=6))
        self.leader.replica.held = lone_leader.Leadership(2)
        self.leader.announce(upstream(start=5, sequence=51))
        self.assertEqual(self.leader.known(), [("i-1/6", False)])

    def test_heard_again_after_a_long_cut(self):
        """An upstream is cut off for so long that it is taken out, then heard again.

        It never left. Kept out for good, it would idle though it works.
        """
        self.leader.announce(upstream(sequence=3))
        self.leader.replica.propose(commands.RemoveUpstreams(("i-1",)))
        self.leader.announce(upstream(sequence=3))
        self.assertEqual(self.leader.known(), [])
        self.leader.announce(upstream(sequence=40))
        self.assertEqual(self.leader.known(), [("i-1", False)])


class Doubted(Told):
    """A word of an incarnation that another has replaced is not acknowledged at first.

    Mostly it was held up on its way. But the clock of a host may have gone back over a
    restart, or a crashed upstream's first words may come after its successor's: then
    the doubted one is alive, goes on to announce itself, and the other is not heard.
    """

    def announce_for(self, seconds, *makers):
        """Announce for a time; return whether the last one was acknowledged."""
        is_acknowledged = False
        for number in range(int(seconds / ANNOUNCE_SECONDS) + 1):
            for make in makers:
                is_acknowledged = self.leader.announce(make(100 + number))
            self.clock.advance(ANNOUNCE_SECONDS)
        return is_acknowledged

    @tools.params(
        ("clock went back", upstream(start=9), lambda n: upstream(start=5, sequence=n)),
        (
            "address, starts told",
            upstream("i-2", start=9),
            lambda n: upstream(start=5, sequence=n),
        ),
    )
    def test_believed_once_the_other_is_silent(self, name, first, make):
        self.leader.announce(first)
        self.assertFalse(self.announce_for(SILENT_SECONDS - 1.0, make))
        self.assertEqual(self.leader.known(), [(first.upstream_id, False)], name)
        self.assertTrue(self.announce_for(SILENT_SECONDS, make), name)
        self.assertEqual(self.leader.known(), [("i-1/5", False)], name)

    def test_not_believed_while_the_other_is_heard(self):
        self.leader.announce(upstream(start=9))
        self.announce_for(
            20.0,
            lambda n: upstream(start=5, sequence=n),
            lambda n: upstream(start=9, sequence=n),
        )
        self.assertEqual(self.leader.known(), [("i-1/9", False)])

    def test_one_word_again_and_again_is_not_believed(self):
        """The same held-up announcement is sent again by whoever retries it."""
        self.leader.announce(upstream(start=9))
        self.announce_for(20.0, lambda n: upstream(start=5, sequence=7))
        self.assertEqual(self.leader.known(), [("i-1/9", False)])

    def test_leaving_is_not_acknowledged_while_doubted(self):
        """Acknowledged, it would end though requests are still sent to it."""
        self.leader.announce(upstream(start=9))
        answer = self.leader.tell(messages.Announce(leaving(start=5)))
        self.assertIsInstance(answer, messages.NotTaken)

    def test_claims_are_judged_by_time(self):
        heard = fleet_liveness.Liveness(SILENT_SECONDS, 32.0)
        heard.begin(0.0)
        heard.heard(upstream("i-2"), 1.0)
        answers = [
            heard.is_established(upstream(sequence=n), ("i-2",), at)
            for n, at in ((1, 2.0), (2, 5.9), (3, 6.1))
        ]
        self.assertEqual(answers, [False, False, True])


class HeldUpByACut(Told):
    """Engines crash behind a cut and others start at their addresses, without starts.

    The words of the crashed ones come in the seconds after the cut. Each that is taken
    gives the address back to an engine that is gone: whatever is sent there is turned
    away until the living one announces itself. Before, as on played days, 11 in 3 s.
    """

    @tools.params(*range(5))
    def test_addresses_stay_with_the_living(self, seed):
        rng = random.Random(seed)
        names = [f"i-{n}" for n in range(8)]
        for n, name in enumerate(names):
            self.leader.announce(upstream(name, address=f"1.1.1.{n}:80"))
        self.clock.advance(5.0)
        words = [
            (rng.uniform(0.0, ANNOUNCE_SECONDS) + ANNOUNCE_SECONDS * k, f"new-{n}", k)
            for n in range(len(names))
            for k in range(6)
        ]
        late = [
            (rng.uniform(0.1, 5.0), name, 1 + rng.randint(1, 5))
            for name in names
            for _ in range(3)
        ]
        n_flips, began, at_before = 0, self.clock.now, {}
        for at, name, sequence in sorted(words + late):
            self.clock.now = began + at
            number = name.partition("-")[2]
            self.leader.announce(
                upstream(name, sequence=sequence, address=f"1.1.1.{number}:80")
            )
            holders = {e.address: e.upstream_id for e in self.registered()}
            n_flips += sum(
                at_before.get(address, "").startswith("new") and holder[:3] != "new"
                for address, holder in holders.items()
            )
            at_before = holders
        self.assertEqual(n_flips, 0)
        self.assertEqual({e.upstream_id[:3] for e in self.registered()}, {"new"})

    def registered(self):
        return list(self.leader.section.upstreams_by_id.values())


class Foreign(Told):
    """Announcements of services that the policy does not know take nobody's place."""

    def test_refused_under_a_policy(self):
        self.leader.put_policy(SERVICE)
        self.leader.announce(upstream(start=5))
        for given in (
            upstream("i-9", start=9, service="other"),
            upstream(start=9, service="other"),
            upstream(start=5, sequence=9, service="other"),
        ):
            self.assertFalse(self.leader.announce(given))
        self.assertEqual(self.leader.known(), [("i-1/5", False)])

    def test_taken_before_the_first_policy(self):
        """Upstreams announce themselves before the operator's first policy comes."""
        self.assertTrue(self.leader.announce(upstream()))

    def test_leaving_after_the_service_was_dropped(self):
        """A policy drops a service whose upstreams then leave; they wait for a yes."""
        self.leader.announce(upstream())
        self.leader.put_policy("other")
        self.assertTrue(self.leader.announce(leaving(sequence=2)))
        self.assertEqual(self.leader.known(), [("i-1", True)])


class WholeFleet(unittest.TestCase):
    """Judged beside itself alone, a known upstream is judged as beside the fleet."""

    def test_same_judgement(self):
        rng = random.Random(7)
        section = commands.Section()
        state = machine.State()
        state.sections[commands.SECTION] = section
        n_known = 0
        for index in range(3_000):
            given = upstream(
                f"i-{rng.randrange(6)}",
                start=rng.choice([None, 1, 2, 3]),
                sequence=rng.randrange(8),
                address=f"1.1.1.{rng.randrange(5)}:80",
            )
            n_known += given.upstream_id in section.upstreams_by_id
            former = section.formers_by_announced_id.get(given.announced_id)
            expected = incarnations.judge(
                given, section.upstreams_by_id.values(), former
            )
            self.assertEqual(section.judge(given), expected, index)
            command = commands.PutUpstream(given, rng.random() < 0.3)
            machine.apply(command, state, machine.Context(index, float(index)))
        self.assertGreater(n_known, 100)
